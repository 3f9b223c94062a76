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

	"troutusher/decide"
	"troutusher/internal/core"
	"troutusher/internal/duty"
	"troutusher/internal/front"
	"troutusher/internal/takeover"
	"troutusher/internal/takeover/link"
)

// The hand-over to a process that is started beside this one, and the taking
// over from one. Who owns what, and when, package takeover says; here is what
// it takes to do so: the lock, the link, and what goes over it.

// errStartAnew: another process took the work over and died before it served. All
// that was owed lies in the log.
var errStartAnew = errors.New("the process that took over is gone: to be started from the log")

const (
	lockName   = "relay.lock"
	linkForm   = 2 // of what goes over the link
	claimWait  = 5500 * time.Millisecond
	quietWait  = time.Second            // for requests to be answered
	parkWait   = 600 * time.Millisecond // for calls whose answer has begun
	cutWait    = 200 * time.Millisecond // for what is called off then
	sendWait   = time.Second
	mineWait   = 700 * time.Millisecond
	servesWait = 10 * time.Second
	lockPause  = 5 * time.Millisecond
	// addressWait is how long the address of clients may still be another process's
	// that has let go of the lock.
	addressWait = time.Second
	lookPause   = 50 * time.Millisecond
)

// Kinds of packet.
const (
	pktHello   = 'H' // linkHello, either way
	pktTake    = 'T' // the taker is ready
	pktRefuse  = 'N' // not now
	pktPart    = 'p' // the beginning of the next one's body
	pktState   = 'S' // handed
	pktListen  = 'L' // descriptors of listeners
	pktConns   = 'C' // []front.Held, with a descriptor each
	pktLock    = 'F' // the descriptor that holds the lock
	pktCalls   = 'K' // []string, the messages, with a descriptor each
	pktEnd     = 'E'
	pktMine    = 'M'
	pktServing = 'R'
)

type linkHello struct {
	Form int `json:"form"`
	PID  int `json:"pid"`
}

// handed is what goes over beside descriptors.
type handed struct {
	Core *core.HandoverState `json:"core"`
	Mono int64               `json:"mono"` // µs of the system's monotonic clock at moment 0 of the core's
	// Frozen is when, on the same clock, clients were last read; 0 where the
	// process before does not tell.
	Frozen int64 `json:"frozen,omitempty"`
	// Agent is the address of discovery that the list is from; Again is set where
	// the process before was told to read its configuration again.
	Agent string `json:"agent,omitempty"`
	Again bool   `json:"again,omitempty"`
}

// inheritance is what a process has from the one before.
type inheritance struct {
	handed
	listeners []int
	conns     []front.ConnSnapshot
	calls     map[string]int // a descriptor for each message whose call is out
	lock      *os.File       // as the giver has it: one lock, held by both
	link      *link.Link
}

// close gives up what was not used.
func (h *inheritance) close() {
	for _, fd := range h.listeners {
		syscall.Close(fd)
	}
	for i := range h.conns {
		syscall.Close(h.conns[i].FD)
	}
	for _, fd := range h.calls {
		syscall.Close(fd)
	}
	if h.lock != nil {
		h.lock.Close()
	}
	if h.link != nil {
		h.link.Close()
	}
	*h = inheritance{}
}

// mono is the system's monotonic clock in µs, the same in every process.
func mono() int64 {
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
	path := filepath.Join(dir, lockName)
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	return &stateLock{path: path, file: f}, nil
}

// try takes the lock if nobody has it.
func (l *stateLock) try() bool {
	l.held = l.held || syscall.Flock(int(l.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
	return l.held
}

// adopt has the lock in the form in which another process holds it as well: it
// is free once both have closed it.
func (l *stateLock) adopt(f *os.File) {
	l.file.Close()
	l.file, l.held = f, true
}

// leave gives up this process's part in the lock. It is closed and not
// unlocked: the other process may hold it, too.
func (l *stateLock) leave() error {
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

// claim makes this process the owner of the state folder: alone, or with what
// the process that owned it hands over. ready is called before that is asked
// for it.
func (r *Relay) claim(ready func()) (*inheritance, error) {
	end := time.Now().Add(claimWait)
	var t takeover.Taker
	h := &inheritance{}
	look := func() takeover.TakerDo {
		if r.lock.try() {
			return t.Step(takeover.Free)
		}
		return t.Step(takeover.Held)
	}
	var why error
	gone := func(err error) takeover.TakerDo {
		why = err
		return t.Step(takeover.GiverGone)
	}
	for do := look(); ; {
		switch do {
		case takeover.StartAlone:
			h.close()
			return nil, nil
		case takeover.Connect:
			l, err := greet(r.cfg.State, end)
			if err != nil {
				do = gone(err)
				break
			}
			h.link = l
			cross(seamLinked)
			do = t.Step(takeover.Linked)
		case takeover.AskForAll:
			ready()
			cross(seamHeard)
			if err := h.receive(end, func() { t.Step(takeover.Began) }); err != nil {
				do = gone(err)
				break
			}
			cross(seamWhole)
			do = t.Step(takeover.Whole)
		case takeover.Lock:
			if h.lock == nil {
				do = t.Step(takeover.TooLate)
				break
			}
			r.lock.adopt(h.lock)
			h.lock = nil
			cross(seamLocked)
			do = t.Step(takeover.Locked)
		case takeover.SayMine:
			if err := h.link.Send(pktMine, nil, time.Now().Add(sendWait)); err != nil {
				do = gone(err)
				break
			}
			cross(seamMine)
			do = t.Step(takeover.MineSaid)
		case takeover.TakeUp:
			r.taker = t
			return h, nil
		case takeover.LookAgain:
			h.close()
			if err := r.lock.leave(); err != nil {
				return nil, err
			}
			if !time.Now().Before(end) {
				return nil, fmt.Errorf("%s: another process owns it and does not hand over: %w", r.cfg.State, why)
			}
			time.Sleep(lookPause)
			do = look()
		default:
			h.close()
			return nil, fmt.Errorf("%s: the process that owns it did not let go in time", r.cfg.State)
		}
	}
}

// greet links to the process that owns a folder.
func greet(dir string, end time.Time) (*link.Link, error) {
	l, err := link.Dial(dir)
	if err != nil {
		return nil, err
	}
	by := time.Now().Add(sendWait)
	text, _ := json.Marshal(linkHello{linkForm, os.Getpid()})
	if err := l.Send(pktHello, text, by); err != nil {
		l.Close()
		return nil, err
	}
	p, err := l.Receive(minTime(by, end))
	var hello linkHello
	if err == nil && (p.Kind != pktHello || json.Unmarshal(p.Body, &hello) != nil || hello.Form != linkForm) {
		err = fmt.Errorf("link: it speaks another form (%d, here %d)", hello.Form, linkForm)
	}
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// receive asks for everything and takes it in.
func (h *inheritance) receive(end time.Time, began func()) error {
	if err := h.link.Send(pktTake, nil, end); err != nil {
		return err
	}
	h.calls = map[string]int{}
	var body []byte
	for {
		p, err := h.link.Receive(end)
		if err != nil {
			return err
		}
		began()
		body = append(body, p.Body...)
		if p.Kind == pktPart {
			continue
		}
		if err := h.take(p.Kind, body, p.FDs); err != nil {
			for _, fd := range p.FDs {
				syscall.Close(fd)
			}
			return err
		}
		if p.Kind == pktEnd {
			return nil
		}
		body = body[:0]
	}
}

// take takes one packet in; with an error, none of its descriptors.
func (h *inheritance) take(kind byte, body []byte, fds []int) error {
	wrong := func(err error) error { return fmt.Errorf("link: packet %q: %v", kind, err) }
	switch kind {
	case pktState:
		if err := json.Unmarshal(body, &h.handed); err != nil || h.Core == nil {
			return wrong(err)
		}
	case pktLock:
		if len(fds) != 1 || h.lock != nil {
			return wrong(fmt.Errorf("%d descriptors", len(fds)))
		}
		h.lock = os.NewFile(uintptr(fds[0]), lockName)
	case pktListen:
		h.listeners = append(h.listeners, fds...)
	case pktConns:
		var conns []front.ConnSnapshot
		if err := json.Unmarshal(body, &conns); err != nil || len(conns) != len(fds) {
			return wrong(err)
		}
		for i := range conns {
			conns[i].FD = fds[i]
		}
		h.conns = append(h.conns, conns...)
	case pktCalls:
		var ids []string
		if err := json.Unmarshal(body, &ids); err != nil || len(ids) != len(fds) {
			return wrong(err)
		}
		for i, id := range ids {
			h.calls[id] = fds[i]
		}
	case pktEnd:
		if h.Core == nil {
			return errors.New("link: ended without a state")
		}
	case pktRefuse:
		return errors.New("it is handing over already, or ends")
	default:
		return wrong(errors.New("unknown"))
	}
	return nil
}

// ---- the side that serves

// taking is another process that is ready to take the work over.
type taking struct {
	link *link.Link
	pid  int
	done chan struct{}
}

func (t *taking) end() { t.link.Close(); close(t.done) }

// offer waits for processes that want to take the work over, and has the loop
// hand it to them, one at a time.
func (r *Relay) offer(ln *link.Listener) {
	for {
		l, err := ln.Accept()
		if err != nil {
			return // closed
		}
		pid, err := r.greeted(l)
		if err != nil {
			r.log.Warn("hand-over: not begun", "err", err)
			l.Close()
			continue
		}
		t := &taking{link: l, pid: pid, done: make(chan struct{})}
		r.in.put(happening{taking: t})
		select {
		case <-t.done:
		case <-r.ctx.Done():
			return
		}
	}
}

func (r *Relay) greeted(l *link.Link) (pid int, err error) {
	p, err := l.Receive(time.Now().Add(sendWait))
	if err != nil {
		return 0, err
	}
	var hello linkHello
	if p.Kind != pktHello || json.Unmarshal(p.Body, &hello) != nil {
		return 0, fmt.Errorf("link: %q came first", p.Kind)
	}
	text, _ := json.Marshal(linkHello{linkForm, os.Getpid()})
	if err := l.Send(pktHello, text, time.Now().Add(sendWait)); err != nil {
		return 0, err
	}
	if p, err = l.Receive(time.Now().Add(claimWait)); err != nil { // it gets itself ready meanwhile
		return 0, err
	}
	if p.Kind != pktTake {
		return 0, fmt.Errorf("link: %q came in place of a take-over", p.Kind)
	}
	r.log.Info("hand-over: asked for", "pid", hello.PID)
	return hello.PID, nil
}

// give hands the work over. The loop stands still meanwhile. It returns nil
// where this process goes on as before, and errGiven where nothing is left to
// do.
func (r *Relay) give(t *taking, cl *clients) error {
	defer t.end()
	began := time.Now()
	cross(seamAsked)
	var g takeover.Giver
	if !r.duty.cede() {
		t.link.Send(pktRefuse, nil, time.Now().Add(sendWait))
		return nil
	}
	for do := g.Step(takeover.Asked); ; {
		switch do {
		case takeover.Quiet:
			if err := r.still(cl); err != nil {
				r.log.Warn("hand-over: not at rest", "err", err)
				t.link.Send(pktRefuse, nil, time.Now().Add(sendWait))
				do = g.Step(takeover.NotStill)
				break
			}
			do = g.Step(takeover.Still)
		case takeover.Send:
			if err := r.sendAll(t.link, cl); err != nil {
				r.log.Warn("hand-over: broken", "err", err)
				do = g.Step(takeover.Broken)
				break
			}
			cross(seamSent)
			g.Step(takeover.Sent)
			do = r.hear(t.link, &g, takeover.SaidMine, pktMine, mineWait)
		case takeover.LetGo:
			r.log.Info("hand-over: it is the other's", "took_ms", time.Since(began).Milliseconds(), "held", r.core.HeldMessages())
			cross(seamOthers)
			r.letGo(cl)
			if err := r.lock.leave(); err != nil {
				return err
			}
			cross(seamLetOver)
			do = r.hear(t.link, &g, takeover.SaidServes, pktServing, servesWait)
		case takeover.TryLock:
			switch {
			case r.lock.try():
				do = g.Step(takeover.LockBack)
			case r.stopAsked():
				return errGiven
			default:
				time.Sleep(lockPause)
				do = g.Step(takeover.LockTaken)
			}
		case takeover.GoOnAsBefore:
			r.goOnAsBefore(cl)
			return nil
		case takeover.StartAnew:
			return errStartAnew // which lets the lock go
		case takeover.End:
			r.passOn(t)
			return errGiven
		default:
			return fmt.Errorf("hand-over: nothing to do")
		}
	}
}

var errGiven = errors.New("handed over")

// hear waits for a word. Where it does not come, nothing more can be said by
// the other side, and what it had said by then is heard.
func (r *Relay) hear(l *link.Link, g *takeover.Giver, event takeover.GiverEvent, kind byte, wait time.Duration) takeover.GiverDo {
	p, err := l.Receive(time.Now().Add(wait))
	if err != nil {
		l.Shut()
		if p, err = l.Receive(time.Now().Add(wait)); err != nil {
			r.log.Warn("hand-over: the other process is gone", "err", err)
			return g.Step(takeover.Broken)
		}
	}
	if p.Kind != kind {
		l.Shut()
		return g.Step(takeover.Broken)
	}
	return g.Step(event)
}

// still brings everything to rest: what clients handed in is answered, no call
// is on its way to its endpoint, and the log is written.
func (r *Relay) still(cl *clients) error {
	quiet := make(chan struct{})
	r.keeper.halt() // the file is the other's from here on
	r.frozen = mono()
	cl.front.Pause(func() { close(quiet) })
	isQuiet := func() bool {
		select {
		case <-quiet:
			return r.core.UnansweredRequests() == 0
		default:
			return false
		}
	}
	if !r.pump(isQuiet, quietWait) {
		return errors.New("requests of clients have no answer")
	}
	cross(seamQuiet)
	r.core.BeginHandover()
	r.barrier() // what was logged by now is out
	r.out.Suspend()
	// One over TLS, whose keys are in this process alone, or whose answer goes on
	// has that time. Then it is called off and may have run, and its connection is
	// over before the other process is told of its message.
	if !r.pump(r.out.AllSuspended, parkWait) {
		r.out.CancelUnsuspended()
		if !r.pump(r.out.AllSuspended, cutWait) {
			return errors.New("calls do not come to rest")
		}
	}
	r.notices.pause()
	r.turn()
	r.barrier()
	return nil
}

// barrier waits until all that was handed to the log is written.
func (r *Relay) barrier() {
	written := make(chan struct{})
	r.wal.in.put(walOp{then: func(error) { close(written) }})
	<-written
}

// pump goes on with the loop's work until something holds, or time is up.
func (r *Relay) pump(until func() bool, wait time.Duration) bool {
	end := time.Now().Add(wait)
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for !until() {
		if time.Now().After(end) {
			return false
		}
		select {
		case <-r.in.ready:
		case <-tick.C:
		}
		r.turn()
	}
	return true
}

// sendAll sends what the other process needs.
func (r *Relay) sendAll(l *link.Link, cl *clients) error {
	by := time.Now().Add(sendWait)
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
		fd, err := conn.fd()
		if err != nil {
			return true
		}
		ids, fds = append(ids, k.Message), append(fds, fd)
		return false
	})
	r.told = r.asked.Load()
	text, err := json.Marshal(handed{carried, mono() - r.now(), r.frozen, r.agent, r.told > 0})
	if err != nil {
		return err
	}
	cross(seamStill)
	if err := l.SendParts(pktPart, pktState, text, by); err != nil {
		return err
	}
	cross(seamState)
	// Both processes have them for a moment: what is left of the descriptors
	// bounds how many clients go over. The others were idle longest.
	most := r.cfg.Limits.Sockets - 2*ownSockets - 2*len(fds)
	listeners, conns := cl.front.Export(most)
	if err := l.Send(pktListen, nil, by, listeners...); err != nil {
		return err
	}
	cross(seamListen)
	for chunk := range slices.Chunk(conns, link.FDsMost) {
		text, err := json.Marshal(chunk)
		if err != nil {
			return err
		}
		pass := make([]int, len(chunk))
		for i := range chunk {
			pass[i] = chunk[i].FD
		}
		if err := l.SendParts(pktPart, pktConns, text, by, pass...); err != nil {
			return err
		}
	}
	cross(seamConns)
	for at := 0; at < len(ids); at += link.FDsMost {
		end := min(at+link.FDsMost, len(ids))
		text, err := json.Marshal(ids[at:end])
		if err != nil {
			return err
		}
		if err := l.SendParts(pktPart, pktCalls, text, by, fds[at:end]...); err != nil {
			return err
		}
	}
	cross(seamCalls)
	if err := l.Send(pktLock, nil, by, int(r.lock.file.Fd())); err != nil {
		return err
	}
	cross(seamLock)
	r.log.Info("hand-over: sent", "held", r.core.HeldMessages(), "calls", len(ids), "clients", len(conns))
	return l.Send(pktEnd, nil, by)
}

// goOnAsBefore ends the rest.
func (r *Relay) goOnAsBefore(cl *clients) {
	r.log.Warn("hand-over: came to nothing, this process serves on")
	r.notices.resume()
	r.keeper.resume()
	r.out.Resume(true)
	r.carryOut(r.core.ResumeSends(r.now(), r.effects[:0]))
	cl.front.Resume()
	r.duty.back()
}

// letGo closes what the other process has now.
func (r *Relay) letGo(cl *clients) {
	r.duty.gone()
	r.out.Resume(false)
	r.discovery.stop()
	cl.front.Close()
	r.closeLog()
}

// passOn has the other process read the configuration again, where that was asked
// of this one after it had told the other of all.
func (r *Relay) passOn(t *taking) {
	if r.asked.Load() > r.told || len(r.re.Asked) > 0 {
		if err := syscall.Kill(t.pid, syscall.SIGHUP); err != nil {
			r.log.Error("hand-over: the other process is not told to read its configuration again", "err", err)
		}
	}
}

// stopAsked reports whether this process is to end.
func (r *Relay) stopAsked() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// fd is the connection's descriptor, which stays its own.
func (c *poolConn) fd() (fd int, err error) {
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

func (d *duties) cede() (ok bool) {
	d.move(func(m *duty.Machine) (duty.Answer, duty.Do) { ok = m.Cede(); return duty.Answer{}, duty.Nothing })
	return ok
}

func (d *duties) back() {
	d.move(func(m *duty.Machine) (duty.Answer, duty.Do) { return duty.Answer{}, m.Serve() })
}

func (d *duties) gone() {
	d.move(func(m *duty.Machine) (duty.Answer, duty.Do) { m.Gone(); return duty.Answer{}, duty.Nothing })
}

// goOn has a call that the process before had out go on here.
func (r *Relay) goOn(out *core.Call) {
	ctx, stop := context.WithCancelCause(r.ctx)
	c := &Call{ctx: ctx, cancel: stop, elapsedBefore: time.Duration(r.now()-out.SentAt()) * time.Microsecond}
	out.Handle = c
	tell := func(o Result) { r.tell(core.Event{Kind: core.AttemptFinished, Call: out, Result: o.coreResult()}) }
	fd, ok := r.passed[out.Record.ID]
	if !ok {
		stop(nil)
		tell(Result{Outcome: decide.ConnectionReset, Err: errors.New("its connection was not handed over")})
		return
	}
	delete(r.passed, out.Record.ID)
	h := r.homes[out.Endpoint]
	if h == nil { // its endpoint has left
		h = r.pool.newEndpoint("")
		h.closed = true
	}
	limit := time.Duration(out.Timeout) * time.Microsecond
	r.out.Add(out, c)
	go func() {
		defer stop(nil)
		defer r.out.Remove(out)
		if err := c.Adopt(h, fd, out.Record, limit, r.cfg.loads, tell); err != nil {
			tell(Result{Outcome: decide.ConnectionReset, Err: err})
		}
	}()
}
