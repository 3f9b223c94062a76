package etcd

import (
	"slices"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// watched is one watch of a stream.
type watched struct {
	id       int64
	key, end string
	next     int64
	fragment bool
}

// watchStream is one stream of watches.
type watchStream struct {
	*Member
	etcdserverpb.Watch_WatchServer
	number  int // of the streams of this member
	watches []*watched
	nextID  int64
}

// Watch serves one stream.
func (m *Member) Watch(stream etcdserverpb.Watch_WatchServer) error {
	if err := m.enter(stream.Context()); err != nil {
		return err
	}
	m.streams++
	w := &watchStream{Member: m, Watch_WatchServer: stream, number: m.streams}
	m.c.mu.Unlock()
	requests := w.receive()
	for {
		wake, err := w.sendNews()
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
			if err := w.answer(r); err != nil {
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

// sendNews sends what the watches have not been told, and returns what wakes them next.
func (w *watchStream) sendNews() (wake <-chan struct{}, err error) {
	w.c.mu.Lock()
	if w.noLeader {
		w.c.mu.Unlock()
		return nil, errNoLeader
	}
	if !w.allowed(w.Context()) {
		w.c.mu.Unlock()
		return nil, status.Error(codes.Unauthenticated, "etcdserver: invalid auth token")
	}
	wake = w.c.wake
	out := w.news(&w.watches)
	silent := w.number <= w.still
	w.c.mu.Unlock()
	return wake, send(w, silent, out)
}

// answer answers one request.
func (w *watchStream) answer(r *etcdserverpb.WatchRequest) error {
	w.c.mu.Lock()
	out := []*etcdserverpb.WatchResponse{}
	switch {
	case r.GetCreateRequest() != nil:
		out = append(out, w.create(r.GetCreateRequest()))
	case r.GetProgressRequest() != nil: // everything up to it has been told
		out = append(w.news(&w.watches), &etcdserverpb.WatchResponse{Header: w.header(), WatchId: -1})
	case r.GetCancelRequest() != nil:
		id := r.GetCancelRequest().WatchId
		if i := slices.IndexFunc(w.watches, func(x *watched) bool { return x.id == id }); i >= 0 {
			w.watches = slices.Delete(w.watches, i, i+1)
		}
		out = append(out, &etcdserverpb.WatchResponse{Header: w.header(), WatchId: id, Canceled: true})
	}
	silent := w.number <= w.still
	w.c.mu.Unlock()
	return send(w, silent, out)
}

// create begins a watch. The caller holds mu.
func (w *watchStream) create(q *etcdserverpb.WatchCreateRequest) *etcdserverpb.WatchResponse {
	x := &watched{
		id: w.nextID, key: string(q.Key), end: string(q.RangeEnd), next: q.StartRevision, fragment: q.Fragment,
	}
	w.nextID++
	if x.next == 0 {
		x.next = w.c.store.Revision() + 1
	}
	w.watches = append(w.watches, x)
	return &etcdserverpb.WatchResponse{Header: w.header(), WatchId: x.id, Created: true}
}

func send(stream etcdserverpb.Watch_WatchServer, still bool, all []*etcdserverpb.WatchResponse) error {
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

// news is what the watches of a stream have not been told. The caller holds mu.
func (m *Member) news(all *[]*watched) (out []*etcdserverpb.WatchResponse) {
	kept := (*all)[:0]
	for _, w := range *all {
		events, err := m.c.store.Since(w.key, w.end, w.next, m.c.store.Revision())
		if err != nil {
			out = append(
				out,
				&etcdserverpb.WatchResponse{
					Header: m.header(), WatchId: w.id, Canceled: true, CompactRevision: m.c.store.Compacted(),
					CancelReason: err.Error(),
				},
			)
			continue
		}
		kept = append(kept, w)
		w.next = m.c.store.Revision() + 1
		r := &etcdserverpb.WatchResponse{Header: m.header(), WatchId: w.id}
		for i, v := range events {
			e := &mvccpb.Event{Type: mvccpb.PUT, Kv: kv(v)}
			if v.Gone {
				e = &mvccpb.Event{
					Type: mvccpb.DELETE, Kv: &mvccpb.KeyValue{Key: []byte(v.Key), ModRevision: v.Modified},
				}
			}
			if r.Events = append(r.Events, e); w.fragment && len(r.Events) >= fragmentMost && i < len(events)-1 {
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

// fragmentMost is how many events go into one answer, where fragments are asked for.
const fragmentMost = 100
