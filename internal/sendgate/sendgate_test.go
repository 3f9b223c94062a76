package sendgate

import (
	"errors"
	"math/rand/v2"
	"testing"

	"troutusher/policy"
)

// modelCall is the model's state of one call.
type modelCall struct {
	permit  *Permit
	gate    int // index in model.gates, or replacedGate
	started bool
	stopped int // how often stop was called
}

const (
	gateCount    = 3
	replacedGate = gateCount // index in model.closed for all gates that were closed and replaced
)

// model is a reference model of a scope, with which it compares the scope after each operation.
type model struct {
	t      *testing.T
	seed   uint64
	rng    *rand.Rand
	scope  *Scope
	gates  []*Gate
	closed [gateCount + 1]bool
	until  policy.Time
	now    policy.Time
	calls  []*modelCall
	counts *resultCounts
}

// resultCounts counts the results of the operations in the simulated runs.
type resultCounts struct{ firstBytes, lastBytes, refused, stopped int }

func newModel(t *testing.T, seed uint64, counts *resultCounts) *model {
	scope := &Scope{}
	m := &model{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), scope: scope, now: 1000, counts: counts}
	for range gateCount {
		m.gates = append(m.gates, scope.Gate())
	}
	m.closed[replacedGate] = true
	return m
}

// mayStart reports whether the model permits a call to begin.
func (m *model) mayStart(call *modelCall) bool {
	return m.until <= m.now && !m.closed[call.gate] && call.stopped == 0
}

// hold applies a random Retry-After time, which may lie in the past.
func (m *model) hold() {
	until := m.now + policy.Time(m.rng.IntN(200)) - 50
	m.scope.HoldUntil(m.now, until)
	m.until = max(m.until, until)
}

func (m *model) closeGate() {
	i := m.rng.IntN(gateCount)
	m.gates[i].Close()
	m.closed[i] = true
}

// reopenGate replaces a closed gate by a new one, as for an endpoint that is listed again. Calls
// of the old gate stay with the old gate.
func (m *model) reopenGate() {
	i := m.rng.IntN(gateCount)
	if !m.closed[i] {
		return
	}
	m.gates[i], m.closed[i] = m.scope.Gate(), false
	for _, call := range m.calls {
		if call.gate == i {
			call.gate = replacedGate
		}
	}
}

func (m *model) acquire() {
	call := &modelCall{gate: m.rng.IntN(gateCount)}
	permit, err := m.gates[call.gate].Acquire(m.now, func(error) {
		call.stopped++
		m.counts.stopped++
	})
	if (err == nil) != m.mayStart(call) {
		m.t.Fatalf("seed %d: Acquire(%d) = %v; gate %d, Retry-After until %d, closed gates %v",
			m.seed, m.now, err, call.gate, m.until, m.closed)
	}
	if call.permit = permit; err == nil {
		m.calls = append(m.calls, call)
	}
}

// advance lets a random call make its next step.
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
		m.counts.refused++
		if !IsRefusal(err) {
			m.t.Fatalf("seed %d: IsRefusal(%v) = false, want true", m.seed, err)
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
		m.t.Fatalf("seed %d: AllowFirstByte(%d) = %v; gate %d, Retry-After until %d, closed gates %v, stopped %d times",
			m.seed, m.now, err, call.gate, m.until, m.closed, call.stopped)
	}
	if call.started = err == nil; call.started {
		m.counts.firstBytes++
	}
	return err
}

func (m *model) lastByte(call *modelCall) error {
	err := call.permit.AllowLastByte(m.now)
	if (err == nil) != (m.until <= m.now) {
		m.t.Fatalf("seed %d: AllowLastByte(%d) = %v; Retry-After until %d", m.seed, m.now, err, m.until)
	}
	if err == nil {
		m.counts.lastBytes++
	}
	return err
}

// step performs one random operation, and then checks that the stop reasons of all calls agree
// with the model.
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
			m.t.Fatalf("seed %d: StopReason() = %v, but stop was called %d times",
				m.seed, call.permit.StopReason(), call.stopped)
		}
	}
}

// Guards against a sequence of drains, Retry-Afters and calls after which the scope permits a
// send that it should refuse, or the reverse. Runs random sequences against a reference model:
//   - no first or last byte is permitted before a Retry-After time;
//   - no first byte is permitted at an endpoint that is drained or removed;
//   - no call is stopped twice, or after its first byte;
//   - a call that may no longer begin is stopped at once.
func TestScopeAgreesWithModel(t *testing.T) {
	var counts resultCounts
	for seed := range uint64(400) {
		m := newModel(t, seed, &counts)
		for range 300 {
			m.step()
		}
		for _, call := range m.calls {
			call.permit.Release()
		}
		if len(m.scope.permits) > 0 {
			t.Fatalf("seed %d: scope holds %d permits after all were released, want 0", seed, len(m.scope.permits))
		}
	}
	if counts.firstBytes < 5000 || counts.lastBytes < 2000 || counts.refused < 1000 || counts.stopped < 300 {
		t.Errorf("results of all runs = %+v, want at least 5000 first bytes, 2000 last bytes, 1000 refusals, 300 stops",
			counts)
	}
}

// A drain and a Retry-After stop the calls that wait for a connection. They do not stop a call
// whose first byte was sent, but a Retry-After refuses its last byte.
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
		t.Errorf("calls stopped after Close = %v, want only \"waiting\", with %v", stopped, ErrEndpointDraining)
	}
	if err := started.AllowLastByte(1); err != nil {
		t.Errorf("AllowLastByte(1) of a call that began before Close = %v, want nil", err)
	}
	sibling.HoldUntil(1, 100)
	var held RetryAfterError
	if len(stopped) != 2 || !errors.As(stopped["other"], &held) || held.Remaining != 99 {
		t.Errorf("calls stopped after HoldUntil(1, 100) = %v, want also \"other\", with 99 µs remaining", stopped)
	}
	if err := started.AllowLastByte(99); !errors.As(err, &held) || held.Remaining != 1 {
		t.Errorf("AllowLastByte(99) after HoldUntil(1, 100) = %v, want a RetryAfterError with 1 µs remaining", err)
	}
	sibling.HoldUntil(2, 50) // must not shorten the time
	if _, err := sibling.Acquire(99, nil); !errors.As(err, &held) {
		t.Errorf("Acquire(99) after HoldUntil(1, 100) and HoldUntil(2, 50) = %v, want a RetryAfterError", err)
	}
	if err := started.AllowLastByte(100); err != nil {
		t.Errorf("AllowLastByte(100) after HoldUntil(1, 100) = %v, want nil", err)
	}
	if other.StopReason() == nil || IsRefusal(errors.New("x")) {
		t.Errorf("StopReason() of a stopped call = %v, want an error; IsRefusal of an unrelated error = %v, want false",
			other.StopReason(), IsRefusal(errors.New("x")))
	}
}
