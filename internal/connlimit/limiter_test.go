package connlimit

import (
	"math/rand/v2"
	"testing"
)

func newTestLimiter(t testing.TB, limits Limits) *Limiter {
	t.Helper()
	l, err := New(limits, 0)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func smallLimits() Limits {
	limits := DefaultLimits(24, 96) // MaxUnvalidated is 12
	limits.SingleUseEvictionThreshold = 15
	return limits
}

// modelConn is the test's own record of the state of a connection, kept independently of the limiter.
type modelConn struct {
	midCommand, awaitingReply, validated, draining bool
	sentCommand                                    bool
	slow                                           bool // takes its steps rarely
	requests                                       int

	commandStartedAt Time
	idleSince        Time // when the last command ended, or the connection began
	connectedAt      Time
}

// modelRun drives a limiter with random events and checks it against a model.
type modelRun struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	limits  Limits
	limiter *Limiter
	conns   map[SlotID]*modelConn
	now     Time

	shuttingDown  bool
	allSlotsInUse bool // idle connections may be evicted
}

func newModelRun(t *testing.T, seed uint64) *modelRun {
	t.Helper()
	limits := smallLimits()
	return &modelRun{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)),
		limits: limits, limiter: newTestLimiter(t, limits), conns: map[SlotID]*modelConn{}, now: 1e6,
	}
}

// The test drives a limiter with events in random order. The numbers of open and of unvalidated
// connections must never exceed their limits, and no connection may be closed against the rules of
// the protocol, before its timeout, or while a command is in progress.
func TestCloseActionsFollowProtocol(t *testing.T) {
	for seed := range uint64(400) {
		run := newModelRun(t, seed)
		for range 1500 {
			run.advance()
			run.admit()
			run.stepConns()
			if run.rng.IntN(700) == 0 && !run.shuttingDown {
				run.shutdown()
			}
			if run.rng.IntN(200) == 0 {
				run.outOfDescriptors()
			}
		}
	}
}

func (r *modelRun) advance() {
	r.now += Time(r.rng.IntN(30e3))
	for more := true; more; {
		more = r.limiter.Advance(r.now, 1+r.rng.IntN(5))
		r.check(false)
	}
	r.allSlotsInUse = r.limiter.InUse() >= r.limits.MaxConns
}

// admit asks for a decision in two of three cases, and checks and applies it.
func (r *modelRun) admit() {
	r.t.Helper()
	if r.rng.IntN(3) == 0 {
		return
	}
	decision, until := r.limiter.Decide(r.now)
	hasRoom := r.limiter.InUse() < r.limits.MaxConns && r.limiter.Unvalidated() < r.limits.MaxUnvalidated
	switch {
	case decision == Admit:
		id := r.limiter.Add(r.now)
		if r.conns[id] != nil {
			r.t.Fatalf("seed %d: Add returned slot %d, which is in use", r.seed, id)
		}
		r.conns[id] = &modelConn{connectedAt: r.now, idleSince: r.now, slow: r.rng.IntN(4) == 0}
	case decision == Wait && until <= r.now:
		r.t.Fatalf("seed %d: Decide = Wait until %d, want a time after now, which is %d", r.seed, until, r.now)
	case decision == Evict && len(r.limiter.closeActions) == 0:
		r.t.Fatalf("seed %d: Decide = Evict, but there is no close action", r.seed)
	case decision == Reject && hasRoom:
		r.t.Fatalf("seed %d: Decide = Reject with %d free slots", r.seed, r.limits.MaxConns-r.limiter.InUse())
	}
	r.check(true)
}

// stepConns makes a random choice of connections take their next step.
func (r *modelRun) stepConns() {
	for id, c := range r.conns { // the order does not matter here
		if r.rng.IntN(8) > 0 || c.slow && r.rng.IntN(40) > 0 {
			continue
		}
		r.step(id, c)
		r.check(false)
	}
}

func (r *modelRun) step(id SlotID, c *modelConn) {
	switch {
	case c.awaitingReply:
		c.awaitingReply, c.idleSince = false, r.now
		r.limiter.ReplyWritten(id, r.now)
	case c.midCommand:
		kind := CommandKind(r.rng.IntN(3))
		c.midCommand, c.awaitingReply, c.sentCommand = false, true, true
		if kind != CommandInvalid {
			c.validated = true
		}
		if kind == CommandRequest {
			c.requests++
		}
		r.limiter.CommandRead(id, kind, r.now)
	case r.rng.IntN(5) == 0:
		r.remove(id)
	default:
		c.midCommand, c.commandStartedAt = true, r.now
		r.limiter.CommandStarted(id, r.now)
	}
}

func (r *modelRun) remove(id SlotID) {
	r.limiter.Remove(id)
	delete(r.conns, id)
}

func (r *modelRun) shutdown() {
	r.t.Helper()
	r.shuttingDown = true
	r.limiter.Shutdown(r.now)
	r.check(false)
	idle := r.limiter.Count(StateUnvalidated) + r.limiter.Count(StateIdleSingleUse) + r.limiter.Count(StateIdle)
	if idle > 0 {
		r.t.Fatalf("seed %d: %d idle connections after Shutdown, want 0", r.seed, idle)
	}
}

func (r *modelRun) outOfDescriptors() {
	r.t.Helper()
	r.allSlotsInUse = true
	r.limiter.OutOfDescriptors(r.now)
	r.check(true)
	if decision, until := r.limiter.Decide(r.now); decision != Wait || until < r.now+r.limits.EvictionWait {
		r.t.Fatalf("seed %d: Decide after OutOfDescriptors = %v until %d, want Wait for EvictionWait",
			r.seed, decision, until)
	}
}

// check applies the close actions, checks that each is allowed, and compares the limiter's counts with
// the model's. admitting means that a new connection is to be admitted; only then are evictions for
// its slot allowed.
func (r *modelRun) check(admitting bool) {
	r.t.Helper()
	for _, action := range append([]CloseAction(nil), r.limiter.TakeCloseActions()...) {
		r.checkCloseAction(action, admitting)
	}
	inUse, unvalidated, withRequests := 0, 0, 0
	for _, c := range r.conns {
		inUse++
		if !c.draining && !c.validated {
			unvalidated++
		}
		if !c.draining && c.requests > 0 {
			withRequests++
		}
	}
	l := r.limiter
	if inUse != l.InUse() || inUse > r.limits.MaxConns ||
		unvalidated != l.Unvalidated() || unvalidated > r.limits.MaxUnvalidated || withRequests != l.withRequests {
		r.t.Fatalf("seed %d: model has %d connections, %d unvalidated, %d with requests; limiter has %d, %d, %d",
			r.seed, inUse, unvalidated, withRequests, l.InUse(), l.Unvalidated(), l.withRequests)
	}
}

func (r *modelRun) checkCloseAction(action CloseAction, admitting bool) {
	r.t.Helper()
	c := r.conns[action.Slot]
	if c == nil {
		r.t.Fatalf("seed %d: close action for an empty slot, reason %v", r.seed, action.Reason)
	}
	idle, age := r.now-c.idleSince, r.now-c.connectedAt
	switch {
	case action.Reason == CloseCommandTimeout:
		if elapsed, timeout := r.commandTime(c); !c.midCommand || c.awaitingReply || elapsed < timeout {
			r.t.Fatalf("seed %d: CloseCommandTimeout after %d us, want only after the timeout", r.seed, elapsed)
		}
		r.remove(action.Slot)
		return
	case action.Reason == CloseEvictInvalid:
		if c.validated || !admitting || !c.awaitingReply {
			r.t.Fatalf("seed %d: CloseEvictInvalid is not allowed for %+v", r.seed, c)
		}
		r.remove(action.Slot)
		return
	case action.Reason == CloseEvictCommand:
		allowed := admitting && c.midCommand && !c.draining && (!c.validated || r.allSlotsInUse)
		if elapsed := r.now - c.commandStartedAt; !allowed || elapsed < r.limits.CommandGrace {
			r.t.Fatalf("seed %d: CloseEvictCommand %d us after the command's start is not allowed for %+v",
				r.seed, elapsed, c)
		}
		r.remove(action.Slot)
		return
	case c.midCommand || c.awaitingReply:
		r.t.Fatalf("seed %d: close action %v with a command in progress: %+v", r.seed, action.Reason, c)
	case action.Reason == CloseFirstCommandTimeout && (c.sentCommand || age < r.limits.FirstCommandTimeout),
		action.Reason == CloseIdleTimeout && (!c.sentCommand || idle < r.limits.IdleTimeout),
		action.Reason == CloseEvictUnvalidated && (c.validated || !admitting || idle < r.limits.EvictionGrace),
		action.Reason == CloseEvictIdle && (!c.validated || !admitting || !r.allSlotsInUse),
		action.Reason == CloseEvictSingleUse && (c.requests != 1 || admitting),
		action.Reason == CloseShutdown && !r.shuttingDown && !c.draining:
		r.t.Fatalf("seed %d: close action %v is not allowed at %d for %+v", r.seed, action.Reason, r.now, c)
	}
	if r.rng.IntN(4) == 0 && !c.draining { // a command arrives before the close
		c.draining, c.midCommand, c.commandStartedAt = true, true, r.now
		r.limiter.CommandStarted(action.Slot, r.now)
	} else {
		r.remove(action.Slot)
	}
}

// commandTime returns how long a connection's command has taken and how long it may take.
func (r *modelRun) commandTime(c *modelConn) (elapsed, timeout Time) {
	switch {
	case c.draining:
		return r.now - c.commandStartedAt, r.limits.FirstCommandTimeout
	case c.sentCommand:
		return r.now - c.commandStartedAt, r.limits.CommandTimeout
	default:
		return r.now - c.connectedAt, r.limits.FirstCommandTimeout
	}
}

// The benchmark measures the limiter's work for one command and its reply, with many connections.
func BenchmarkCommandAndReply(b *testing.B) {
	const conns = 50_000
	limiter := newTestLimiter(b, DefaultLimits(100_000, 200_000))
	for range conns {
		limiter.Add(0)
	}
	b.ReportAllocs()
	now := Time(0)
	for i := 0; b.Loop(); i++ {
		now++
		id := SlotID(i % conns)
		limiter.CommandStarted(id, now)
		limiter.CommandRead(id, CommandRequest, now)
		limiter.ReplyWritten(id, now)
		limiter.TakeCloseActions()
	}
}
