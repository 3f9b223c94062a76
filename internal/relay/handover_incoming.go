package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"troutusher/internal/handover"
	"troutusher/internal/handover/link"
	"troutusher/internal/respserver"
)

// ---- the side that starts

// acquireState makes this process the owner of the state folder: alone, or with what
// the process that owned it hands over. ready is called before that is asked
// for it.
func (r *Relay) acquireState(ready func()) (*inheritedState, error) {
	end := time.Now().Add(acquireTimeout)
	var t handover.Incoming
	h := &inheritedState{}
	look := func() handover.IncomingAction {
		if r.lock.tryAcquire() {
			return t.Step(handover.LockAcquired)
		}
		return t.Step(handover.LockHeld)
	}
	var why error
	gone := func(err error) handover.IncomingAction {
		why = err
		return t.Step(handover.PredecessorLost)
	}
	for do := look(); ; {
		switch do {
		case handover.StartFromLog:
			h.close()
			return nil, nil
		case handover.Connect:
			l, err := connectToOwner(r.cfg.State, end)
			if err != nil {
				do = gone(err)
				break
			}
			h.conn = l
			hitFailpoint(failpointIncomingConnected)
			do = t.Step(handover.Connected)
		case handover.RequestState:
			ready()
			hitFailpoint(failpointIncomingListReceived)
			if err := h.receive(end, func() { t.Step(handover.FirstPacketReceived) }); err != nil {
				do = gone(err)
				break
			}
			hitFailpoint(failpointIncomingAllReceived)
			do = t.Step(handover.AllReceived)
		case handover.AdoptLock:
			if h.lock == nil {
				do = t.Step(handover.TimedOut)
				break
			}
			r.lock.adopt(h.lock)
			h.lock = nil
			hitFailpoint(failpointIncomingLockAdopted)
			do = t.Step(handover.LockAdopted)
		case handover.SendClaim:
			if err := h.conn.Send(packetClaim, nil, time.Now().Add(packetTimeout)); err != nil {
				do = gone(err)
				break
			}
			hitFailpoint(failpointIncomingClaimSent)
			do = t.Step(handover.ClaimSent)
		case handover.TakeOver:
			r.incoming = t
			return h, nil
		case handover.RetryLock:
			h.close()
			if err := r.lock.release(); err != nil {
				return nil, err
			}
			if !time.Now().Before(end) {
				return nil, fmt.Errorf("%s: another process owns it and does not hand over: %w", r.cfg.State, why)
			}
			time.Sleep(acquireRetryInterval)
			do = look()
		default:
			h.close()
			return nil, fmt.Errorf("%s: the process that owns it did not let go in time", r.cfg.State)
		}
	}
}

// connectToOwner links to the process that owns a folder.
func connectToOwner(dir string, end time.Time) (*link.Conn, error) {
	l, err := link.Dial(dir)
	if err != nil {
		return nil, err
	}
	by := time.Now().Add(packetTimeout)
	text, _ := json.Marshal(helloBody{handoverVersion, os.Getpid()})
	if err := l.Send(packetHello, text, by); err != nil {
		l.Close()
		return nil, err
	}
	p, err := l.Receive(earlier(by, end))
	var hello helloBody
	if err == nil && (p.Kind != packetHello || json.Unmarshal(p.Body, &hello) != nil || hello.Version != handoverVersion) {
		err = fmt.Errorf("link: it speaks another form (%d, here %d)", hello.Version, handoverVersion)
	}
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// receive asks for everything and takes it in.
func (h *inheritedState) receive(end time.Time, began func()) error {
	if err := h.conn.Send(packetRequest, nil, end); err != nil {
		return err
	}
	h.calls = map[string]int{}
	var body []byte
	for {
		p, err := h.conn.Receive(end)
		if err != nil {
			return err
		}
		began()
		body = append(body, p.Body...)
		if p.Kind == packetPart {
			continue
		}
		if err := h.addPacket(p.Kind, body, p.FDs); err != nil {
			for _, fd := range p.FDs {
				syscall.Close(fd)
			}
			return err
		}
		if p.Kind == packetEnd {
			return nil
		}
		body = body[:0]
	}
}

// addPacket takes one packet in; with an error, none of its descriptors.
func (h *inheritedState) addPacket(kind byte, body []byte, fds []int) error {
	wrong := func(err error) error { return fmt.Errorf("link: packet %q: %v", kind, err) }
	switch kind {
	case packetState:
		if err := json.Unmarshal(body, &h.handoverState); err != nil || h.Core == nil {
			return wrong(err)
		}
	case packetLock:
		if len(fds) != 1 || h.lock != nil {
			return wrong(fmt.Errorf("%d descriptors", len(fds)))
		}
		h.lock = os.NewFile(uintptr(fds[0]), lockFileName)
	case packetListeners:
		h.listeners = append(h.listeners, fds...)
	case packetClients:
		var conns []respserver.ConnSnapshot
		if err := json.Unmarshal(body, &conns); err != nil || len(conns) != len(fds) {
			return wrong(err)
		}
		for i := range conns {
			conns[i].FD = fds[i]
		}
		h.clients = append(h.clients, conns...)
	case packetCalls:
		var ids []string
		if err := json.Unmarshal(body, &ids); err != nil || len(ids) != len(fds) {
			return wrong(err)
		}
		for i, id := range ids {
			h.calls[id] = fds[i]
		}
	case packetEnd:
		if h.Core == nil {
			return errors.New("link: ended without a state")
		}
	case packetReject:
		return errors.New("it is handing over already, or ends")
	default:
		return wrong(errors.New("unknown"))
	}
	return nil
}
