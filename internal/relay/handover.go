package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"troutusher/internal/config"
	"troutusher/internal/core"
	"troutusher/internal/handover"
	"troutusher/internal/handover/link"
	"troutusher/internal/lifecycle"
	"troutusher/internal/respserver"
	"troutusher/policy"
)

// The hand-over to a process that is started beside this one, and the taking
// over from one. Who owns what, and when, package takeover says; here is what
// it takes to do so: the lock, the link, and what goes over it.

// errRestartFromLog: another process took the work over and died before it served. All
// that was owed lies in the log.
var errRestartFromLog = errors.New("the process that took over is gone: to be started from the log")

const (
	lockFileName         = "relay.lock"
	handoverVersion      = 2 // of what goes over the link
	acquireTimeout       = 5500 * time.Millisecond
	clientQuiesceTimeout = time.Second            // for requests to be answered
	callQuiesceTimeout   = 600 * time.Millisecond // for calls whose answer has begun
	callCancelTimeout    = 200 * time.Millisecond // for what is called off then
	packetTimeout        = time.Second
	claimTimeout         = 700 * time.Millisecond
	servingTimeout       = 10 * time.Second
	lockRetryInterval    = 5 * time.Millisecond
	// addressInUseTimeout is how long the address of clients may still be another process's
	// that has let go of the lock.
	addressInUseTimeout  = time.Second
	acquireRetryInterval = 50 * time.Millisecond
)

// Kinds of packet.
const (
	packetHello     = 'H' // linkHello, either way
	packetRequest   = 'T' // the taker is ready
	packetReject    = 'N' // not now
	packetPart      = 'p' // the beginning of the next one's body
	packetState     = 'S' // handed
	packetListeners = 'L' // descriptors of listeners
	packetClients   = 'C' // []front.Held, with a descriptor each
	packetLock      = 'F' // the descriptor that holds the lock
	packetCalls     = 'K' // []string, the messages, with a descriptor each
	packetEnd       = 'E'
	packetClaim     = 'M'
	packetServing   = 'R'
)

type helloBody struct {
	Version int `json:"form"`
	PID     int `json:"pid"`
}

// handoverState is what goes over beside descriptors.
type handoverState struct {
	Core        *core.HandoverState `json:"core"`
	ClockOrigin int64               `json:"mono"` // µs of the system's monotonic clock at moment 0 of the core's
	// ClientsPausedAt is when, on the same clock, clients were last read; 0 where the
	// process before does not tell.
	ClientsPausedAt int64 `json:"frozen,omitempty"`
	// DiscoveryAddr is the address of discovery that the list is from; Again is set where
	// the process before was told to read its configuration again.
	DiscoveryAddr   string `json:"agent,omitempty"`
	ReloadRequested bool   `json:"again,omitempty"`
}

// inheritedState is what a process has from the one before.
type inheritedState struct {
	handoverState
	listeners []int
	clients   []respserver.ConnSnapshot
	calls     map[string]int // a descriptor for each message whose call is out
	lock      *os.File       // as the giver has it: one lock, held by both
	conn      *link.Conn
}

// close gives up what was not used.
func (h *inheritedState) close() {
	for _, fd := range h.listeners {
		syscall.Close(fd)
	}
	for i := range h.clients {
		syscall.Close(h.clients[i].FD)
	}
	for _, fd := range h.calls {
		syscall.Close(fd)
	}
	if h.lock != nil {
		h.lock.Close()
	}
	if h.conn != nil {
		h.conn.Close()
	}
	*h = inheritedState{}
}

// monotonicMicros is the system's monotonic clock in µs, the same in every process.
func monotonicMicros() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return t.Nano() / 1000
}

// stateLock is the lock on the state folder.
type stateLock struct {
	path string
	file *os.File
	held bool
}

func openLock(dir string) (*stateLock, error) {
	path := filepath.Join(dir, lockFileName)
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	return &stateLock{path: path, file: f}, nil
}

// tryAcquire takes the lock if nobody has it.
func (l *stateLock) tryAcquire() bool {
	l.held = l.held || syscall.Flock(int(l.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
	return l.held
}

// adopt has the lock in the form in which another process holds it as well: it
// is free once both have closed it.
func (l *stateLock) adopt(f *os.File) {
	l.file.Close()
	l.file, l.held = f, true
}

// release gives up this process's part in the lock. It is closed and not
// unlocked: the other process may hold it, too.
func (l *stateLock) release() error {
	l.file.Close()
	l.held = false
	f, err := os.OpenFile(l.path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return fmt.Errorf("lock: %w", err)
	}
	l.file = f
	return nil
}

func (l *stateLock) close() { l.file.Close() }

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

// ---- the side that serves

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
func (r *Relay) handOver(t *handoverRequest, cl *clientServer) error {
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
			if err := r.quiesce(cl); err != nil {
				r.log.Warn("hand-over: not at rest", "err", err)
				t.conn.Send(packetReject, nil, time.Now().Add(packetTimeout))
				do = g.Step(handover.QuiesceTimedOut)
				break
			}
			do = g.Step(handover.Quiesced)
		case handover.SendState:
			if err := r.sendState(t.conn, cl); err != nil {
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
			r.releaseResources(cl)
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
			r.resumeServing(cl)
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

var errHandoverComplete = errors.New("handed over")

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
func (r *Relay) quiesce(cl *clientServer) error {
	quiet := make(chan struct{})
	r.stateSaver.pause() // the file is the other's from here on
	r.clientsPausedAt = monotonicMicros()
	cl.server.Pause(func() { close(quiet) })
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
	written := make(chan struct{})
	r.wal.queue.Put(walRequest{onWritten: func(error) { close(written) }})
	<-written
}

// processUntil goes on with the loop's work until something holds, or time is up.
func (r *Relay) processUntil(until func() bool, wait time.Duration) bool {
	end := time.Now().Add(wait)
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for !until() {
		if time.Now().After(end) {
			return false
		}
		select {
		case <-r.inbox.Ready():
		case <-tick.C:
		}
		r.processInbox()
	}
	return true
}

// sendState sends what the other process needs.
func (r *Relay) sendState(l *link.Conn, cl *clientServer) error {
	by := time.Now().Add(packetTimeout)
	r.pool.closeIdleIf(func(*poolConn) bool { return true })
	carried := r.core.ExportHandover(r.now())
	ids, fds := []string{}, []int{}
	carried.Calls = slices.DeleteFunc(carried.Calls, func(k core.HandoverCall) bool {
		c, ok := k.Call().Handle.(*Call)
		if !ok {
			return true
		}
		conn := c.suspendedConn()
		if conn == nil {
			return true // its answer goes on here, and is not waited for
		}
		fd, err := conn.descriptor()
		if err != nil {
			return true
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
	listeners, conns := cl.server.Export(most)
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
func (r *Relay) resumeServing(cl *clientServer) {
	r.log.Warn("hand-over: came to nothing, this process serves on")
	r.notices.resume()
	r.stateSaver.resume()
	r.inFlight.Resume(true)
	r.execute(r.core.ResumeSends(r.now(), r.effects[:0]))
	cl.server.Resume()
	r.lifecycle.resumeServing()
}

// releaseResources closes what the other process has now.
func (r *Relay) releaseResources(cl *clientServer) {
	r.lifecycle.completeHandover()
	r.inFlight.Resume(false)
	r.discovery.stop()
	cl.server.Close()
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

// descriptor is the connection's descriptor, which stays its own.
func (c *poolConn) descriptor() (fd int, err error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errors.New("no socket")
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	return fd, raw.Control(func(n uintptr) { fd = int(n) })
}

// duties during a hand-over.

func (d *processLifecycle) startHandover() (ok bool) {
	d.transition(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		ok = m.StartHandover()
		return lifecycle.Answer{}, lifecycle.NoAction
	})
	return ok
}

func (d *processLifecycle) resumeServing() {
	d.transition(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		return lifecycle.Answer{}, m.StartServing()
	})
}

func (d *processLifecycle) completeHandover() {
	d.transition(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		m.CompleteHandover()
		return lifecycle.Answer{}, lifecycle.NoAction
	})
}

// resumeCall has a call that the process before had out go on here.
func (r *Relay) resumeCall(out *core.Call) {
	ctx, stop := context.WithCancelCause(r.ctx)
	c := &Call{ctx: ctx, cancel: stop, elapsedBefore: time.Duration(r.now()-out.SentAt()) * time.Microsecond}
	out.Handle = c
	tell := func(o Result) { r.post(core.AttemptFinished{Call: out, Result: o.coreResult()}) }
	fd, ok := r.inheritedCalls[out.Record.ID]
	if !ok {
		stop(nil)
		tell(Result{Outcome: policy.ConnectionReset, Err: errors.New("its connection was not handed over")})
		return
	}
	delete(r.inheritedCalls, out.Record.ID)
	h := r.endpoints[out.Endpoint]
	if h == nil { // its endpoint has left
		h = r.pool.newEndpoint("")
		h.closed = true
	}
	limit := time.Duration(out.Timeout) * time.Microsecond
	r.inFlight.Add(out, c)
	go func() {
		defer stop(nil)
		defer r.inFlight.Remove(out)
		if err := c.Adopt(h, fd, out.Record, limit, r.cfg.LoadReportFields, tell); err != nil {
			tell(Result{Outcome: policy.ConnectionReset, Err: err})
		}
	}()
}
