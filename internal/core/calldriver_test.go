package core

import (
	"fmt"
	"slices"
	"strings"

	"troutusher/internal/sendgate"
	"troutusher/policy"
)

// callDriver makes the calls of a simulation in steps, as the sockets do: a connection
// that is waited for, a first byte, a last one, a response that is read and reported at
// times of their own. It checks each byte against the Retry-Afters that were told, of
// which it keeps its own account.
type callDriver struct {
	sim              *simulation
	scopes           map[string]*sendgate.Scope
	endpoints        map[policy.EndpointID]*driverEndpoint
	calls            []*driverCall
	retryAfterUntil  map[string]policy.Time // the latest, by scope
	extraRetryAfter  policy.Time            // some Retry-Afters are so much longer
	retryAfterScopes map[string]bool        // scopes that told one
	callsSent        int
	callsBlocked     int // calls that the gate blocked
}

type driverEndpoint struct {
	scope  string
	gate   *sendgate.Gate
	dest   int
	closed bool
}

type driverCall struct {
	coreCall *Call
	endpoint *driverEndpoint
	permit   *sendgate.Permit
	step     callStep
}

// callStep is what a call does next.
type callStep int

const (
	stepAcquire callStep = iota
	stepFirstByte
	stepLastByte
	stepResponse
)

func newCallDriver(sim *simulation) *callDriver {
	return &callDriver{
		sim: sim, scopes: map[string]*sendgate.Scope{}, endpoints: map[policy.EndpointID]*driverEndpoint{},
		retryAfterUntil: map[string]policy.Time{}, retryAfterScopes: map[string]bool{},
	}
}

func (d *callDriver) openEndpoint(e OpenEndpoint) {
	name := fmt.Sprintf("dest %d", e.Dest)
	if e.IndependentRoute {
		name = "route " + d.sim.idOf(e.Endpoint)
	}
	if d.scopes[name] == nil {
		d.scopes[name] = &sendgate.Scope{}
	}
	d.endpoints[e.Endpoint] = &driverEndpoint{scope: name, gate: d.scopes[name].Gate(), dest: e.Dest}
}

func (sim *simulation) idOf(number policy.EndpointID) string {
	if endpoint := sim.core.endpoints.byNumber[number]; endpoint != nil {
		return endpoint.id
	}
	return fmt.Sprint("forgotten ", number) // in the same step: its destination is passive
}

func (d *callDriver) closeEndpoint(number policy.EndpointID) {
	if endpoint := d.endpoints[number]; endpoint != nil {
		endpoint.closed = true
		endpoint.gate.Close()
	}
}

func (d *callDriver) forgetEndpoint(number policy.EndpointID) {
	if endpoint := d.endpoints[number]; endpoint != nil {
		if !endpoint.closed {
			d.sim.failf("endpoint %d is forgotten and not closed", number)
		}
		if strings.HasPrefix(endpoint.scope, "route ") {
			delete(d.scopes, endpoint.scope)
		}
	}
	delete(d.endpoints, number)
}

// recordRetryAfter is what reads a response: the gate is told of it at once.
func (d *callDriver) recordRetryAfter(endpoint *driverEndpoint, retryAfter policy.Time) {
	until := d.sim.now + retryAfter
	endpoint.gate.HoldUntil(d.sim.now, until)
	d.retryAfterUntil[endpoint.scope] = max(d.retryAfterUntil[endpoint.scope], until)
	d.retryAfterScopes[endpoint.scope] = true
}

// finishCall has the core told of a call's end, now or at any later step.
func (d *callDriver) finishCall(sent *driverCall, result *Result) {
	if sent.permit != nil {
		sent.permit.Release()
		sent.permit = nil
	}
	d.calls = slices.DeleteFunc(d.calls, func(other *driverCall) bool { return other == sent })
	d.sim.queue = append(d.sim.queue, AttemptFinished{Call: sent.coreCall, Result: result})
}

func (d *callDriver) blockCall(sent *driverCall, err error) {
	d.callsBlocked++
	d.finishCall(sent, &Result{Outcome: policy.NotSent, Err: err})
}

// advance moves the calls on, each by a step or not.
func (d *callDriver) advance() {
	for _, sent := range slices.Clone(d.calls) {
		if d.sim.rng.IntN(3) > 0 && d.advanceCall(sent) {
			sent.step++
		}
	}
}

// advanceCall does what a call does next and reports whether that was all done.
func (d *callDriver) advanceCall(sent *driverCall) bool {
	sim := d.sim
	switch sent.step {
	case stepAcquire:
		var err error
		if sent.permit, err = sent.endpoint.gate.Acquire(sim.now, func(error) {}); err != nil {
			d.blockCall(sent, err)
			return false
		}
		return true
	case stepFirstByte:
		if sim.rng.IntN(2) == 0 {
			return false // the connection takes its time
		}
		return d.sendFirstByte(sent)
	case stepLastByte:
		return d.sendLastByte(sent)
	}
	result := d.randomResult(sent)
	if result.RetryAfter > 0 {
		if d.extraRetryAfter > 0 && sim.rng.IntN(3) == 0 {
			result.RetryAfter += d.extraRetryAfter
		}
		d.recordRetryAfter(sent.endpoint, result.RetryAfter)
	}
	d.finishCall(sent, result)
	return false
}

func (d *callDriver) sendFirstByte(sent *driverCall) bool {
	if d.sim.rng.IntN(8) == 0 {
		d.finishCall(sent, &Result{Outcome: policy.ConnectFailed})
		return false
	}
	if err := sent.permit.AllowFirstByte(d.sim.now); err != nil {
		d.blockCall(sent, err)
		return false
	}
	if sent.endpoint.closed {
		d.sim.failf("%s begins at an endpoint that has left", sent.coreCall.Record.ID)
	}
	return true
}

func (d *callDriver) sendLastByte(sent *driverCall) bool {
	sim, record, endpoint := d.sim, sent.coreCall.Record, sent.endpoint
	if err := sent.permit.AllowLastByte(sim.now); err != nil {
		d.blockCall(sent, err)
		return false
	}
	if until := d.retryAfterUntil[endpoint.scope]; sim.now < until {
		sim.failf("%s is sent %d ms before the Retry-After of %s", record.ID, (until-sim.now)/1000, endpoint.scope)
	}
	if endpoint.dest != record.Dest {
		sim.failf("%s for %d goes to %d", record.ID, record.Dest, endpoint.dest)
	}
	sent.permit.Release()
	sent.permit = nil
	d.callsSent++
	return true
}

func (d *callDriver) randomResult(sent *driverCall) *Result {
	elapsed := d.sim.now - sent.coreCall.SentAt()
	result := delivered(elapsed)
	switch d.sim.rng.IntN(8) {
	case 0, 1:
		result = rejected(policy.Time(d.sim.rng.IntN(900e3)))
	case 2: // the head of its response came, and no more
		result = rejected(policy.Time(d.sim.rng.IntN(900e3)))
		result.Outcome, result.Malformed = policy.Failed, true
	case 3: // nobody read the response
		result = &Result{Outcome: policy.TimedOut, Elapsed: elapsed}
	case 4:
		result = &Result{Outcome: policy.Rejected, Status: 503}
	case 5:
		result = &Result{Outcome: policy.ConnectionReset}
	}
	if sent.endpoint == nil { // it left before the handover
		result = &Result{Outcome: policy.ConnectionReset}
	}
	return result
}
