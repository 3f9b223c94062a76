package sendgate

import (
	"errors"
	"math/rand/v2"
	"testing"

	"troutusher/policy"
)

// modelCall is one call as the rules see it: how far it is, and how often it was
// stopped.
type modelCall struct {
	permit  *Permit
	gate    int // of model.gates; closedGate for one that has been replaced
	started bool
	stopped int
}

const (
	openGates  = 3
	closedGate = openGates // stands for all gates that are closed and replaced
)

// model compares a scope with the rules.
type model struct {
	t      *testing.T
	seed   uint64
	rng    *rand.Rand
	scope  *Scope
	gates  []*Gate
	closed [openGates + 1]bool
	until  policy.Time
	now    policy.Time
	calls  []*modelCall
	tried  *trials
}

// trials counts what the model has tried.
type trials struct{ firstBytes, lastBytes, refused, stopped int }

func newModel(t *testing.T, seed uint64, tried *trials) *model {
	scope := &Scope{}
	m := &model{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), scope: scope, now: 1000, tried: tried}
	for range openGates {
		m.gates = append(m.gates, scope.Gate())
	}
	m.closed[closedGate] = true
	return m
}

// mayStart reports whether a call that has not begun may begin by the rules.
func (m *model) mayStart(call *modelCall) bool {
	return m.until <= m.now && !m.closed[call.gate] && call.stopped == 0
}

// hold applies a Retry-After time, which may be over already.
func (m *model) hold() {
	until := m.now + policy.Time(m.rng.IntN(200)) - 50
	m.scope.HoldUntil(m.now, until)
	m.until = max(m.until, until)
}

func (m *model) closeGate() {
	i := m.rng.IntN(openGates)
	m.gates[i].Close()
	m.closed[i] = true
}

// reopenGate has an endpoint come back, as a new gate; calls of the old one stay with
// that.
func (m *model) reopenGate() {
	i := m.rng.IntN(openGates)
	if !m.closed[i] {
		return
	}
	m.gates[i], m.closed[i] = m.scope.Gate(), false
	for _, call := range m.calls {
		if call.gate == i {
			call.gate = closedGate
		}
	}
}

func (m *model) acquire() {
	call := &modelCall{gate: m.rng.IntN(openGates)}
	permit, err := m.gates[call.gate].Acquire(m.now, func(error) {
		call.stopped++
		m.tried.stopped++
	})
	if (err == nil) != m.mayStart(call) {
		m.t.Fatalf("seed %d: acquires at %d: %v; held until %d, closed %v", m.seed, m.now, err, m.until, m.closed)
	}
	if call.permit = permit; err == nil {
		m.calls = append(m.calls, call)
	}
}

// advance has one call try its next step.
func (m *model) advance() {
	i := m.rng.IntN(len(m.calls))
	call := m.calls[i]
	var err error
	switch {
	case !call.started:
		err = m.firstByte(call)
	case m.rng.IntN(4) == 0:
		call.permit.Restart()
		call.started = false
		return
	default:
		err = m.lastByte(call)
	}
	if err != nil {
		m.tried.refused++
		if !IsRefusal(err) {
			m.t.Fatalf("%v is not known as a refusal", err)
		}
	}
	if err != nil || call.started && m.rng.IntN(2) == 0 {
		call.permit.Release()
		m.calls = append(m.calls[:i], m.calls[i+1:]...)
	}
}

func (m *model) firstByte(call *modelCall) error {
	err := call.permit.AllowFirstByte(m.now)
	if (err == nil) != m.mayStart(call) {
		m.t.Fatalf("seed %d: first byte at %d: %v; held until %d, closed %v", m.seed, m.now, err, m.until, m.closed)
	}
	if call.started = err == nil; call.started {
		m.tried.firstBytes++
	}
	return err
}

func (m *model) lastByte(call *modelCall) error {
	err := call.permit.AllowLastByte(m.now)
	if (err == nil) != (m.until <= m.now) {
		m.t.Fatalf("seed %d: last byte at %d: %v; held until %d", m.seed, m.now, err, m.until)
	}
	if err == nil {
		m.tried.lastBytes++
	}
	return err
}

// step does one thing drawn at random, and checks all calls after it.
func (m *model) step() {
	m.now += policy.Time(m.rng.IntN(30))
	switch k := m.rng.IntN(12); {
	case k == 0:
		m.hold()
	case k == 1 && m.rng.IntN(3) == 0:
		m.closeGate()
	case k == 2:
		m.reopenGate()
	case k < 6:
		m.acquire()
	case len(m.calls) > 0:
		m.advance()
	}
	for _, call := range m.calls {
		if call.stopped > 1 || (call.permit.StopReason() != nil) != (call.stopped == 1) {
			m.t.Fatalf("seed %d: stopped %d times, says %v", m.seed, call.stopped, call.permit.StopReason())
		}
	}
}

// Whatever comes in whatever order: no last byte before a Retry-After time, no first
// byte then or at an endpoint that has left, nothing stopped twice or once it has
// begun, and whatever could not go out any more is stopped at once.
func TestNothingSentAgainstTheRules(t *testing.T) {
	var tried trials
	for seed := range uint64(400) {
		m := newModel(t, seed, &tried)
		for range 300 {
			m.step()
		}
		for _, call := range m.calls {
			call.permit.Release()
		}
		if len(m.scope.permits) > 0 {
			t.Fatalf("seed %d: %d permits are kept that were released", seed, len(m.scope.permits))
		}
	}
	if tried.firstBytes < 5000 || tried.lastBytes < 2000 || tried.refused < 1000 || tried.stopped < 300 {
		t.Errorf("too little was tried: %+v", tried)
	}
}

// Calls that wait for a connection are stopped by a drain and by a Retry-After time; one
// on its way is not, but its last byte is refused by the latter.
func TestStopsCallsWaitingForConnection(t *testing.T) {
	var scope Scope
	draining, sibling := scope.Gate(), scope.Gate()
	stopped := map[string]error{}
	acquire := func(gate *Gate, name string) *Permit {
		t.Helper()
		permit, err := gate.Acquire(0, func(reason error) { stopped[name] = reason })
		if err != nil {
			t.Fatal(err)
		}
		return permit
	}
	started, waiting := acquire(draining, "started"), acquire(draining, "waiting")
	other := acquire(sibling, "other")
	if err := started.AllowFirstByte(0); err != nil {
		t.Fatal(err)
	}
	draining.Close()
	if len(stopped) != 1 || !errors.Is(stopped["waiting"], ErrEndpointDraining) ||
		!errors.Is(waiting.AllowFirstByte(1), ErrEndpointDraining) {
		t.Errorf("at a drain stopped %v", stopped)
	}
	if err := started.AllowLastByte(1); err != nil {
		t.Errorf("a call that had begun before a drain: %v", err)
	}
	sibling.HoldUntil(1, 100)
	var held RetryAfterError
	if len(stopped) != 2 || !errors.As(stopped["other"], &held) || held.Remaining != 99 {
		t.Errorf("at a wait stopped %v", stopped)
	}
	if err := started.AllowLastByte(99); !errors.As(err, &held) || held.Remaining != 1 {
		t.Errorf("a last byte inside the wait: %v", err)
	}
	sibling.HoldUntil(2, 50) // a shorter one that is told later changes nothing
	if _, err := sibling.Acquire(99, nil); !errors.As(err, &held) {
		t.Errorf("acquires inside the longer wait: %v", err)
	}
	if err := started.AllowLastByte(100); err != nil {
		t.Errorf("at the end of the wait: %v", err)
	}
	if other.StopReason() == nil || IsRefusal(errors.New("x")) {
		t.Error("what was stopped does not say so, or everything is a refusal")
	}
}
