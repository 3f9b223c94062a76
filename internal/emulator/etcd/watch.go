package etcd

import (
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

// Watch serves one stream.
func (m *Member) Watch(stream etcdserverpb.Watch_WatchServer) error {
	if err := m.enter(stream.Context()); err != nil {
		return err
	}
	m.streams++
	no := m.streams
	m.c.mu.Unlock()
	requests := make(chan *etcdserverpb.WatchRequest)
	go func() {
		defer close(requests)
		for {
			r, err := stream.Recv()
			if err != nil {
				return
			}
			select {
			case requests <- r:
			case <-stream.Context().Done():
				return
			}
		}
	}()
	var all []*watched
	ids := int64(0)
	for {
		m.c.mu.Lock()
		if m.noLeader {
			m.c.mu.Unlock()
			return errNoLeader
		}
		if !m.allowed(stream.Context()) {
			m.c.mu.Unlock()
			return status.Error(codes.Unauthenticated, "etcdserver: invalid auth token")
		}
		wake := m.c.wake
		out := m.news(&all)
		still := no <= m.still
		m.c.mu.Unlock()
		if err := send(stream, still, out); err != nil {
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
			m.c.mu.Lock()
			out := []*etcdserverpb.WatchResponse{}
			switch {
			case r.GetCreateRequest() != nil:
				q := r.GetCreateRequest()
				w := &watched{
					id: ids, key: string(q.Key), end: string(q.RangeEnd), next: q.StartRevision, fragment: q.Fragment,
				}
				ids++
				if w.next == 0 {
					w.next = m.c.store.Revision() + 1
				}
				all = append(all, w)
				out = append(out, &etcdserverpb.WatchResponse{Header: m.header(), WatchId: w.id, Created: true})
			case r.GetProgressRequest() != nil: // everything up to it has been told
				out = append(m.news(&all), &etcdserverpb.WatchResponse{Header: m.header(), WatchId: -1})
			case r.GetCancelRequest() != nil:
				for i, w := range all {
					if w.id == r.GetCancelRequest().WatchId {
						all = append(all[:i], all[i+1:]...)
						break
					}
				}
				out = append(
					out,
					&etcdserverpb.WatchResponse{
						Header: m.header(), WatchId: r.GetCancelRequest().WatchId, Canceled: true,
					},
				)
			}
			still := no <= m.still
			m.c.mu.Unlock()
			if err := send(stream, still, out); err != nil {
				return err
			}
		}
	}
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
