package etcd

import (
	"slices"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// watch is one watch of a stream.
type watch struct {
	id           int64
	key, end     string
	nextRevision int64
	fragment     bool
}

// watchStream is one stream of watches.
type watchStream struct {
	*Member
	etcdserverpb.Watch_WatchServer
	number  int // of the streams of this member
	watches []*watch
	nextID  int64
}

// Watch serves one stream.
func (m *Member) Watch(stream etcdserverpb.Watch_WatchServer) error {
	if err := m.beginCall(stream.Context()); err != nil {
		return err
	}
	m.streamsOpened++
	w := &watchStream{Member: m, Watch_WatchServer: stream, number: m.streamsOpened}
	m.cluster.mu.Unlock()
	requests := w.receive()
	for {
		wake, err := w.sendPending()
		if err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-wake:
		case r, ok := <-requests:
			if !ok {
				return nil
			}
			if err := w.handleRequest(r); err != nil {
				return err
			}
		}
	}
}

// receive reads requests until the stream ends.
func (w *watchStream) receive() <-chan *etcdserverpb.WatchRequest {
	requests := make(chan *etcdserverpb.WatchRequest)
	go func() {
		defer close(requests)
		for {
			r, err := w.Recv()
			if err != nil {
				return
			}
			select {
			case requests <- r:
			case <-w.Context().Done():
				return
			}
		}
	}()
	return requests
}

// sendPending sends what the watches have not been told, and returns what wakes them next.
func (w *watchStream) sendPending() (wake <-chan struct{}, err error) {
	w.cluster.mu.Lock()
	if w.noLeader {
		w.cluster.mu.Unlock()
		return nil, errNoLeader
	}
	if !w.authorized(w.Context()) {
		w.cluster.mu.Unlock()
		return nil, status.Error(codes.Unauthenticated, "etcdserver: invalid auth token")
	}
	wake = w.cluster.changed
	out := w.pendingResponses(&w.watches)
	silent := w.number <= w.silencedStreams
	w.cluster.mu.Unlock()
	return wake, sendAll(w, silent, out)
}

// handleRequest answers one request.
func (w *watchStream) handleRequest(r *etcdserverpb.WatchRequest) error {
	w.cluster.mu.Lock()
	out := []*etcdserverpb.WatchResponse{}
	switch {
	case r.GetCreateRequest() != nil:
		out = append(out, w.createWatch(r.GetCreateRequest()))
	case r.GetProgressRequest() != nil: // everything up to it has been told
		out = append(w.pendingResponses(&w.watches), &etcdserverpb.WatchResponse{Header: w.header(), WatchId: -1})
	case r.GetCancelRequest() != nil:
		id := r.GetCancelRequest().WatchId
		if i := slices.IndexFunc(w.watches, func(x *watch) bool { return x.id == id }); i >= 0 {
			w.watches = slices.Delete(w.watches, i, i+1)
		}
		out = append(out, &etcdserverpb.WatchResponse{Header: w.header(), WatchId: id, Canceled: true})
	}
	silent := w.number <= w.silencedStreams
	w.cluster.mu.Unlock()
	return sendAll(w, silent, out)
}

// createWatch begins a watch. The caller holds mu.
func (w *watchStream) createWatch(q *etcdserverpb.WatchCreateRequest) *etcdserverpb.WatchResponse {
	x := &watch{
		id: w.nextID, key: string(q.Key), end: string(q.RangeEnd), nextRevision: q.StartRevision, fragment: q.Fragment,
	}
	w.nextID++
	if x.nextRevision == 0 {
		x.nextRevision = w.cluster.store.Revision() + 1
	}
	w.watches = append(w.watches, x)
	return &etcdserverpb.WatchResponse{Header: w.header(), WatchId: x.id, Created: true}
}

func sendAll(stream etcdserverpb.Watch_WatchServer, still bool, all []*etcdserverpb.WatchResponse) error {
	for _, r := range all {
		if still {
			continue
		}
		if err := stream.Send(r); err != nil {
			return err
		}
	}
	return nil
}

// pendingResponses is what the watches of a stream have not been told. The caller holds mu.
func (m *Member) pendingResponses(all *[]*watch) (out []*etcdserverpb.WatchResponse) {
	kept := (*all)[:0]
	for _, w := range *all {
		events, err := m.cluster.store.Changes(w.key, w.end, w.nextRevision, m.cluster.store.Revision())
		if err != nil {
			out = append(
				out,
				&etcdserverpb.WatchResponse{
					Header: m.header(), WatchId: w.id, Canceled: true, CompactRevision: m.cluster.store.Compacted(),
					CancelReason: err.Error(),
				},
			)
			continue
		}
		kept = append(kept, w)
		w.nextRevision = m.cluster.store.Revision() + 1
		r := &etcdserverpb.WatchResponse{Header: m.header(), WatchId: w.id}
		for i, v := range events {
			e := &mvccpb.Event{Type: mvccpb.PUT, Kv: keyValue(v)}
			if v.Deleted {
				e = &mvccpb.Event{
					Type: mvccpb.DELETE, Kv: &mvccpb.KeyValue{Key: []byte(v.Key), ModRevision: v.ModRevision},
				}
			}
			if r.Events = append(r.Events, e); w.fragment && len(r.Events) >= maxFragmentEvents && i < len(events)-1 {
				r.Fragment = true
				out = append(out, r)
				r = &etcdserverpb.WatchResponse{Header: m.header(), WatchId: w.id}
			}
		}
		if len(r.Events) > 0 {
			out = append(out, r)
		}
	}
	*all = kept
	return out
}

// maxFragmentEvents is how many events go into one answer, where fragments are asked for.
const maxFragmentEvents = 100
