package core

import (
	"fmt"
	"slices"
	"strings"

	"troutusher/internal/sendgate"
	"troutusher/policy"
)

// callDriver makes the calls of a simulation step by step, as sockets do: it acquires a permit, waits
// for a connection, writes the first byte, writes the last byte and reads the response. Time passes
// between these steps. The driver records each received Retry-After itself and checks that no request
// is completed before its end.
type callDriver struct {
	sim              *simulation
	scopes           map[string]*sendgate.Scope
	endpoints        map[policy.EndpointID]*driverEndpoint
	calls            []*driverCall
	retryAfterUntil  map[string]policy.Time // when the latest Retry-After ends, by scope
	extraRetryAfter  policy.Time            // added to a third of the Retry-Afters
	retryAfterScopes map[string]bool        // scopes that received a Retry-After
	callsSent        int
	callsBlocked     int // calls that the send gate blocked
}

// driverEndpoint is an endpoint that the core has opened.
type driverEndpoint struct {
	scope  string
	gate   *sendgate.Gate
	dest   int
	closed bool
}

// driverCall is a call in progress.
type driverCall struct {
	coreCall *Call
	endpoint *driverEndpoint
	permit   *sendgate.Permit
	step     callStep
}

// callStep is the next step of a call.
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

// idOf returns the ID of an endpoint for use in scope names.
func (sim *simulation) idOf(number policy.EndpointID) string {
	if endpoint := sim.core.endpoints.byNumber[number]; endpoint != nil {
		return endpoint.id
	}
	return fmt.Sprint("forgotten ", number) // its destination was passivated in the same step
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
			d.sim.failf("ForgetEndpoint for endpoint %d, which is not closed", number)
		}
		if strings.HasPrefix(endpoint.scope, "route ") {
			delete(d.scopes, endpoint.scope)
		}
	}
	delete(d.endpoints, number)
}

// recordRetryAfter handles a Retry-After as the reader of a response does: it blocks the gate at
// once, before the core receives the result.
func (d *callDriver) recordRetryAfter(endpoint *driverEndpoint, retryAfter policy.Time) {
	until := d.sim.now + retryAfter
	endpoint.gate.HoldUntil(d.sim.now, until)
	d.retryAfterUntil[endpoint.scope] = max(d.retryAfterUntil[endpoint.scope], until)
	d.retryAfterScopes[endpoint.scope] = true
}

// finishCall ends a call and queues the event for the core, which receives it at a later step.
func (d *callDriver) finishCall(call *driverCall, result *Result) {
	if call.permit != nil {
		call.permit.Release()
		call.permit = nil
	}
	d.calls = slices.DeleteFunc(d.calls, func(other *driverCall) bool { return other == call })
	d.sim.queue = append(d.sim.queue, AttemptFinished{Call: call.coreCall, Result: result})
}

// blockCall ends a call that the send gate blocked.
func (d *callDriver) blockCall(call *driverCall, err error) {
	d.callsBlocked++
	d.finishCall(call, &Result{Outcome: policy.NotSent, Err: err})
}

// advance makes at most one step of each call, and randomly none.
func (d *callDriver) advance() {
	for _, call := range slices.Clone(d.calls) {
		if d.sim.rng.IntN(3) > 0 && d.advanceCall(call) {
			call.step++
		}
	}
}

// advanceCall makes the next step of a call. It reports whether the call then waits for the step
// after it; otherwise the step is not finished or the call has ended.
func (d *callDriver) advanceCall(call *driverCall) bool {
	sim := d.sim
	switch call.step {
	case stepAcquire:
		var err error
		if call.permit, err = call.endpoint.gate.Acquire(sim.now, func(error) {}); err != nil {
			d.blockCall(call, err)
			return false
		}
		return true
	case stepFirstByte:
		if sim.rng.IntN(2) == 0 {
			return false // the connection is not established yet
		}
		return d.sendFirstByte(call)
	case stepLastByte:
		return d.sendLastByte(call)
	}
	result := d.randomResult(call)
	if result.RetryAfter > 0 {
		if d.extraRetryAfter > 0 && sim.rng.IntN(3) == 0 {
			result.RetryAfter += d.extraRetryAfter
		}
		d.recordRetryAfter(call.endpoint, result.RetryAfter)
	}
	d.finishCall(call, result)
	return false
}

func (d *callDriver) sendFirstByte(call *driverCall) bool {
	if d.sim.rng.IntN(8) == 0 {
		d.finishCall(call, &Result{Outcome: policy.ConnectFailed})
		return false
	}
	if err := call.permit.AllowFirstByte(d.sim.now); err != nil {
		d.blockCall(call, err)
		return false
	}
	if call.endpoint.closed {
		d.sim.failf("message %s: first byte to endpoint %d, which is closed",
			call.coreCall.Record.ID, call.coreCall.Endpoint)
	}
	return true
}

func (d *callDriver) sendLastByte(call *driverCall) bool {
	sim, record, endpoint := d.sim, call.coreCall.Record, call.endpoint
	if err := call.permit.AllowLastByte(sim.now); err != nil {
		d.blockCall(call, err)
		return false
	}
	if until := d.retryAfterUntil[endpoint.scope]; sim.now < until {
		sim.failf("message %s was sent %d ms before the end of the Retry-After of scope %q",
			record.ID, (until-sim.now)/1000, endpoint.scope)
	}
	if endpoint.dest != record.Dest {
		sim.failf("message %s for destination %d was sent to destination %d", record.ID, record.Dest, endpoint.dest)
	}
	call.permit.Release()
	call.permit = nil
	d.callsSent++
	return true
}

func (d *callDriver) randomResult(call *driverCall) *Result {
	elapsed := d.sim.now - call.coreCall.SentAt()
	result := delivered(elapsed)
	switch d.sim.rng.IntN(8) {
	case 0, 1:
		result = rejected(policy.Time(d.sim.rng.IntN(900e3)))
	case 2: // the response ends after its headers
		result = rejected(policy.Time(d.sim.rng.IntN(900e3)))
		result.Outcome, result.Malformed = policy.Failed, true
	case 3: // no response is read before the timeout
		result = &Result{Outcome: policy.TimedOut, Elapsed: elapsed}
	case 4:
		result = &Result{Outcome: policy.Rejected, Status: 503}
	case 5:
		result = &Result{Outcome: policy.ConnectionReset}
	}
	if call.endpoint == nil { // the endpoint left before the hand-over
		result = &Result{Outcome: policy.ConnectionReset}
	}
	return result
}
