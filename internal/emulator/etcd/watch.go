package etcd

import (
	"slices"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// maxFragmentEvents is the maximum number of events in one response, if the client has
// allowed fragments.
const maxFragmentEvents = 100

// watch is one watch of a stream.
type watch struct {
	id           int64
	key, end     string
	nextRevision int64 // the first revision that has not been sent
	fragment     bool  // the client allows fragments
}

// watchStream is a stream that carries the watches of one client.
type watchStream struct {
	*Member
	etcdserverpb.Watch_WatchServer
	number  int // position among the streams that the member has served, from 1
	watches []*watch
	nextID  int64
}

// Watch serves a stream of watches.
func (m *Member) Watch(stream etcdserverpb.Watch_WatchServer) error {
	if err := m.beginCall(stream.Context()); err != nil {
		return err
	}
	m.streamsOpened++
	w := &watchStream{Member: m, Watch_WatchServer: stream, number: m.streamsOpened}
	m.cluster.mu.Unlock()
	requests := w.receive()
	for {
		changed, err := w.sendPending()
		if err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-changed:
		case request, ok := <-requests:
			if !ok {
				return nil
			}
			if err := w.handleRequest(request); err != nil {
				return err
			}
		}
	}
}

// receive returns a channel of the stream's requests, which is closed when the stream ends.
func (w *watchStream) receive() <-chan *etcdserverpb.WatchRequest {
	requests := make(chan *etcdserverpb.WatchRequest)
	go func() {
		defer close(requests)
		for {
			request, err := w.Recv()
			if err != nil {
				return
			}
			select {
			case requests <- request:
			case <-w.Context().Done():
				return
			}
		}
	}()
	return requests
}

// sendPending sends the changes that the watches have not sent yet. It returns a channel
// that is closed at the next change.
func (w *watchStream) sendPending() (changed <-chan struct{}, err error) {
	w.cluster.mu.Lock()
	if w.noLeader {
		w.cluster.mu.Unlock()
		return nil, errNoLeader
	}
	if !w.authorized(w.Context()) {
		w.cluster.mu.Unlock()
		return nil, status.Error(codes.Unauthenticated, "etcdserver: invalid auth token")
	}
	changed = w.cluster.changed
	responses := w.pendingResponses()
	silenced := w.number <= w.silencedStreams
	w.cluster.mu.Unlock()
	return changed, w.sendAll(responses, silenced)
}

// handleRequest creates or cancels a watch, or reports progress.
func (w *watchStream) handleRequest(request *etcdserverpb.WatchRequest) error {
	w.cluster.mu.Lock()
	var responses []*etcdserverpb.WatchResponse
	switch {
	case request.GetCreateRequest() != nil:
		responses = append(responses, w.createWatch(request.GetCreateRequest()))
	case request.GetProgressRequest() != nil: // first send all changes up to the reported revision
		progress := &etcdserverpb.WatchResponse{Header: w.header(), WatchId: -1}
		responses = append(w.pendingResponses(), progress)
	case request.GetCancelRequest() != nil:
		responses = append(responses, w.cancelWatch(request.GetCancelRequest().WatchId))
	}
	silenced := w.number <= w.silencedStreams
	w.cluster.mu.Unlock()
	return w.sendAll(responses, silenced)
}

// createWatch adds a watch. The caller holds mu.
func (w *watchStream) createWatch(request *etcdserverpb.WatchCreateRequest) *etcdserverpb.WatchResponse {
	created := &watch{
		id:           w.nextID,
		key:          string(request.Key),
		end:          string(request.RangeEnd),
		nextRevision: request.StartRevision,
		fragment:     request.Fragment,
	}
	w.nextID++
	if created.nextRevision == 0 {
		created.nextRevision = w.cluster.store.Revision() + 1
	}
	w.watches = append(w.watches, created)
	return &etcdserverpb.WatchResponse{Header: w.header(), WatchId: created.id, Created: true}
}

// cancelWatch removes the watch with an id, if there is one. The caller holds mu.
func (w *watchStream) cancelWatch(id int64) *etcdserverpb.WatchResponse {
	w.watches = slices.DeleteFunc(w.watches, func(open *watch) bool { return open.id == id })
	return &etcdserverpb.WatchResponse{Header: w.header(), WatchId: id, Canceled: true}
}

// sendAll sends responses, unless the stream is silenced.
func (w *watchStream) sendAll(responses []*etcdserverpb.WatchResponse, silenced bool) error {
	if silenced {
		return nil
	}
	for _, response := range responses {
		if err := w.Send(response); err != nil {
			return err
		}
	}
	return nil
}

// pendingResponses returns responses with the changes that the watches have not sent yet. It
// cancels watches whose next revision has been compacted. The caller holds mu.
func (w *watchStream) pendingResponses() (responses []*etcdserverpb.WatchResponse) {
	store := w.cluster.store
	open := w.watches[:0]
	for _, watch := range w.watches {
		changes, err := store.Changes(watch.key, watch.end, watch.nextRevision, store.Revision())
		if err != nil {
			responses = append(responses, &etcdserverpb.WatchResponse{
				Header: w.header(), WatchId: watch.id, Canceled: true, CompactRevision: store.Compacted(),
				CancelReason: err.Error(),
			})
			continue
		}
		open = append(open, watch)
		watch.nextRevision = store.Revision() + 1
		responses = append(responses, w.changeResponses(watch, changes)...)
	}
	w.watches = open
	return responses
}

// changeResponses returns the responses that report changes on a watch: one, or one for each
// fragment.
func (w *watchStream) changeResponses(target *watch, changes []Version) (responses []*etcdserverpb.WatchResponse) {
	length := max(len(changes), 1)
	if target.fragment {
		length = maxFragmentEvents
	}
	fragments := slices.Collect(slices.Chunk(changes, length))
	for i, fragment := range fragments {
		response := &etcdserverpb.WatchResponse{Header: w.header(), WatchId: target.id, Fragment: i < len(fragments)-1}
		for _, version := range fragment {
			response.Events = append(response.Events, watchEvent(version))
		}
		responses = append(responses, response)
	}
	return responses
}

// watchEvent converts a change to an event of the API.
func watchEvent(version Version) *mvccpb.Event {
	if version.Deleted {
		deleted := &mvccpb.KeyValue{Key: []byte(version.Key), ModRevision: version.ModRevision}
		return &mvccpb.Event{Type: mvccpb.DELETE, Kv: deleted}
	}
	return &mvccpb.Event{Type: mvccpb.PUT, Kv: keyValue(version)}
}
