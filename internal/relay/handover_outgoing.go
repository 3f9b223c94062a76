package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"

	"troutusher/internal/config"
	"troutusher/internal/core"
	"troutusher/internal/handover"
	"troutusher/internal/handover/link"
	"troutusher/internal/upstream"
)

// ---- the side that serves

// errRestartFromLog: another process took the work over and died before it served. All
// that was owed lies in the log.
var errRestartFromLog = errors.New("the process that took over is gone: to be started from the log")

var errHandoverComplete = errors.New("handed over")

// handoverRequest is another process that is ready to take the work over.
type handoverRequest struct {
	conn *link.Conn
	pid  int
	done chan struct{}
}

func (t *handoverRequest) close() { t.conn.Close(); close(t.done) }

// acceptHandovers waits for processes that want to take the work over, and has the loop
// hand it to them, one at a time.
func (r *Relay) acceptHandovers(ln *link.Listener) {
	for {
		l, err := ln.Accept()
		if err != nil {
			return // closed
		}
		pid, err := r.awaitRequest(l)
		if err != nil {
			r.log.Warn("hand-over: not begun", "err", err)
			l.Close()
			continue
		}
		t := &handoverRequest{conn: l, pid: pid, done: make(chan struct{})}
		r.inbox.Put(loopInput{handover: t})
		select {
		case <-t.done:
		case <-r.ctx.Done():
			return
		}
	}
}

func (r *Relay) awaitRequest(l *link.Conn) (pid int, err error) {
	p, err := l.Receive(time.Now().Add(packetTimeout))
	if err != nil {
		return 0, err
	}
	var hello helloBody
	if p.Kind != packetHello || json.Unmarshal(p.Body, &hello) != nil {
		return 0, fmt.Errorf("link: %q came first", p.Kind)
	}
	text, _ := json.Marshal(helloBody{handoverVersion, os.Getpid()})
	if err := l.Send(packetHello, text, time.Now().Add(packetTimeout)); err != nil {
		return 0, err
	}
	if p, err = l.Receive(time.Now().Add(acquireTimeout)); err != nil { // it gets itself ready meanwhile
		return 0, err
	}
	if p.Kind != packetRequest {
		return 0, fmt.Errorf("link: %q came in place of a take-over", p.Kind)
	}
	r.log.Info("hand-over: asked for", "pid", hello.PID)
	return hello.PID, nil
}

// handOver hands the work over. The loop stands still meanwhile. It returns nil
// where this process goes on as before, and errGiven where nothing is left to
// do.
func (r *Relay) handOver(t *handoverRequest) error {
	defer t.close()
	began := time.Now()
	hitFailpoint(failpointOutgoingRequested)
	var g handover.Outgoing
	if !r.lifecycle.startHandover() {
		t.conn.Send(packetReject, nil, time.Now().Add(packetTimeout))
		return nil
	}
	for do := g.Step(handover.HandoverRequested); ; {
		switch do {
		case handover.Quiesce:
			if err := r.quiesce(); err != nil {
				r.log.Warn("hand-over: not at rest", "err", err)
				t.conn.Send(packetReject, nil, time.Now().Add(packetTimeout))
				do = g.Step(handover.QuiesceTimedOut)
				break
			}
			do = g.Step(handover.Quiesced)
		case handover.SendState:
			if err := r.sendState(t.conn); err != nil {
				r.log.Warn("hand-over: broken", "err", err)
				do = g.Step(handover.SuccessorLost)
				break
			}
			hitFailpoint(failpointOutgoingAllSent)
			g.Step(handover.StateSent)
			do = r.awaitPacket(t.conn, &g, handover.OwnershipClaimed, packetClaim, claimTimeout)
		case handover.ReleaseResources:
			r.log.Info("hand-over: it is the other's", "took_ms", time.Since(began).Milliseconds(), "held", r.core.HeldMessages())
			hitFailpoint(failpointOutgoingClaimed)
			r.releaseResources()
			if err := r.lock.release(); err != nil {
				return err
			}
			hitFailpoint(failpointOutgoingReleased)
			do = r.awaitPacket(t.conn, &g, handover.SuccessorServing, packetServing, servingTimeout)
		case handover.TryLock:
			switch {
			case r.lock.tryAcquire():
				do = g.Step(handover.LockRegained)
			case r.stopRequested():
				return errHandoverComplete
			default:
				time.Sleep(lockRetryInterval)
				do = g.Step(handover.LockUnavailable)
			}
		case handover.ResumeServing:
			r.resumeServing()
			return nil
		case handover.RestartFromLog:
			return errRestartFromLog // which lets the lock go
		case handover.Exit:
			r.forwardReload(t)
			return errHandoverComplete
		default:
			return fmt.Errorf("hand-over: nothing to do")
		}
	}
}

// awaitPacket waits for a word. Where it does not come, nothing more can be said by
// the other side, and what it had said by then is heard.
func (r *Relay) awaitPacket(l *link.Conn, g *handover.Outgoing, event handover.OutgoingEvent, kind byte, wait time.Duration) handover.OutgoingAction {
	p, err := l.Receive(time.Now().Add(wait))
	if err != nil {
		l.CloseRead()
		if p, err = l.Receive(time.Now().Add(wait)); err != nil {
			r.log.Warn("hand-over: the other process is gone", "err", err)
			return g.Step(handover.SuccessorLost)
		}
	}
	if p.Kind != kind {
		l.CloseRead()
		return g.Step(handover.SuccessorLost)
	}
	return g.Step(event)
}

// quiesce brings everything to rest: what clients handed in is answered, no call
// is on its way to its endpoint, and the log is written.
func (r *Relay) quiesce() error {
	quiet := make(chan struct{})
	r.stateSaver.pause() // the file is the other's from here on
	r.clientsPausedAt = monotonicMicros()
	r.clients.server.Pause(func() { close(quiet) })
	isQuiet := func() bool {
		select {
		case <-quiet:
			return r.core.UnansweredRequests() == 0
		default:
			return false
		}
	}
	if !r.processUntil(isQuiet, clientQuiesceTimeout) {
		return errors.New("requests of clients have no answer")
	}
	hitFailpoint(failpointOutgoingRequestsAnswered)
	r.core.BeginHandover()
	r.flushLog() // what was logged by now is out
	r.inFlight.Suspend()
	// One over TLS, whose keys are in this process alone, or whose answer goes on
	// has that time. Then it is called off and may have run, and its connection is
	// over before the other process is told of its message.
	if !r.processUntil(r.inFlight.AllSuspended, callQuiesceTimeout) {
		r.inFlight.CancelUnsuspended()
		if !r.processUntil(r.inFlight.AllSuspended, callCancelTimeout) {
			return errors.New("calls do not come to rest")
		}
	}
	r.notices.pause()
	r.processInbox()
	r.flushLog()
	return nil
}

// flushLog waits until all that was handed to the log is written.
func (r *Relay) flushLog() {
	r.wal.Flush()
}

// sendState sends what the other process needs.
func (r *Relay) sendState(l *link.Conn) error {
	by := time.Now().Add(packetTimeout)
	r.pool.CloseIdle()
	carried := r.core.ExportHandover(r.now())
	ids, fds := []string{}, []int{}
	carried.Calls = slices.DeleteFunc(carried.Calls, func(k core.HandoverCall) bool {
		c, ok := k.Call().Handle.(*upstream.Call)
		if !ok {
			return true
		}
		fd, ok := c.SuspendedFD()
		if !ok {
			return true // its answer goes on here, and is not waited for
		}
		ids, fds = append(ids, k.Message), append(fds, fd)
		return false
	})
	r.reloadsHandedOver = r.reloadsRequested.Load()
	text, err := json.Marshal(handoverState{carried, monotonicMicros() - r.now(), r.clientsPausedAt, r.discoveryAddr, r.reloadsHandedOver > 0})
	if err != nil {
		return err
	}
	hitFailpoint(failpointOutgoingQuiesced)
	if err := l.SendParts(packetPart, packetState, text, by); err != nil {
		return err
	}
	hitFailpoint(failpointOutgoingStateSent)
	// Both processes have them for a moment: what is left of the descriptors
	// bounds how many clients go over. The others were idle longest.
	most := r.cfg.Limits.Sockets - 2*config.ReservedDescriptors - 2*len(fds)
	listeners, conns := r.clients.server.Export(most)
	if err := l.Send(packetListeners, nil, by, listeners...); err != nil {
		return err
	}
	hitFailpoint(failpointOutgoingListenersSent)
	for chunk := range slices.Chunk(conns, link.MaxDescriptors) {
		text, err := json.Marshal(chunk)
		if err != nil {
			return err
		}
		pass := make([]int, len(chunk))
		for i := range chunk {
			pass[i] = chunk[i].FD
		}
		if err := l.SendParts(packetPart, packetClients, text, by, pass...); err != nil {
			return err
		}
	}
	hitFailpoint(failpointOutgoingClientsSent)
	for at := 0; at < len(ids); at += link.MaxDescriptors {
		end := min(at+link.MaxDescriptors, len(ids))
		text, err := json.Marshal(ids[at:end])
		if err != nil {
			return err
		}
		if err := l.SendParts(packetPart, packetCalls, text, by, fds[at:end]...); err != nil {
			return err
		}
	}
	hitFailpoint(failpointOutgoingCallsSent)
	if err := l.Send(packetLock, nil, by, int(r.lock.file.Fd())); err != nil {
		return err
	}
	hitFailpoint(failpointOutgoingLockSent)
	r.log.Info("hand-over: sent", "held", r.core.HeldMessages(), "calls", len(ids), "clients", len(conns))
	return l.Send(packetEnd, nil, by)
}

// resumeServing ends the rest.
func (r *Relay) resumeServing() {
	r.log.Warn("hand-over: came to nothing, this process serves on")
	r.notices.resume()
	r.stateSaver.resume()
	r.inFlight.Resume()
	r.execute(r.core.ResumeSends(r.now(), r.effects[:0]))
	r.clients.server.Resume()
	r.lifecycle.resumeServing()
}

// releaseResources closes what the other process has now.
func (r *Relay) releaseResources() {
	r.lifecycle.completeHandover()
	r.inFlight.Abandon()
	r.discovery.stop()
	r.clients.server.Close()
	r.closeLog()
}

// forwardReload has the other process read the configuration again, where that was asked
// of this one after it had told the other of all.
func (r *Relay) forwardReload(t *handoverRequest) {
	if r.reloadsRequested.Load() > r.reloadsHandedOver || len(r.reload.Signals) > 0 {
		if err := syscall.Kill(t.pid, syscall.SIGHUP); err != nil {
			r.log.Error("hand-over: the other process is not told to read its configuration again", "err", err)
		}
	}
}

// stopRequested reports whether this process is to end.
func (r *Relay) stopRequested() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}
