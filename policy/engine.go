// Package policy makes the delivery decisions of a relay: which endpoint a message is sent to, when it is retried,
// and which messages are rejected. Its interface (settings, events, actions) is in settings.go and api.go.
//
// In normal operation each destination has adaptive throttling (a drop probability computed from requests and
// accepts, with an upper limit) and a window that limits the calls in flight. Code for any other case states the
// condition under which it applies.
//
// The files that make decisions are listed under policy in deploy/balancer.toml, one for each concern:
//
//   - endpoints.go: updates of the endpoint list, and endpoints that have not proved their identity
//   - admission.go: admission of messages, load shedding, and the end of messages that cannot be delivered
//   - retry.go: limits on the attempts of a message, and when an attempt is given up
//   - dispatch.go: the choice of the next message and its endpoint, and the guards on each send
//   - ordering.go: the order of waiting messages by the weight that they lose, and the time of the next call
//   - outcome.go: the effect of an attempt's outcome on its message, its call, its endpoint and its limiter
//   - connection.go: the cost of connections, endpoints that run out of them, and how long idle ones are kept
//   - outage.go: outages across changes of the endpoint list
//   - recovery.go: ejection of unhealthy endpoints, and the ramp and budget of their recovery
//   - ratelimit.go: adaptive throttling, the window of calls in flight, and the rate of each limiter
//   - aging.go: what remains of learned state after a restart or a long idle time
//
// The other files hold state and data structures and make no decisions.
package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	second       = Time(1e6)
	randomStream = 0x9e3779b97f4a7c15 // second word of the PCG seed, the same for every engine
)

// seconds converts a duration to seconds.
func seconds(span Time) float64 { return float64(span) / float64(second) }

// New returns an engine with the given settings. All its random numbers derive from the seed.
func New(settings Settings, seed uint64) (*Engine, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	settings.Classes = slices.Clone(settings.Classes)
	settings.StreamsPerConnection = max(settings.StreamsPerConnection, 1)
	settings.TickInterval = max(settings.TickInterval, second/1000)
	return &Engine{
		settings:             settings,
		rng:                  rand.New(rand.NewPCG(seed, randomStream)),
		endpoints:            map[EndpointID]*endpoint{},
		messages:             map[uint32]*message{},
		orderedQueues:        map[uint64]*orderedQueue{},
		tenantQuotas:         make([]tokenBucket, len(settings.Tenants)),
		connectFailureRatios: make([]float64, max(len(settings.DestinationKinds), 1)),
		shareDivisor:         math.Pow(float64(settings.Relays), shareExponent),
	}, nil
}

// Step handles the events that have happened up to now and appends the resulting actions to actions. It is
// deterministic: the same seed and the same steps give the same actions.
func (e *Engine) Step(now Time, events []Event, actions []Action) []Action {
	e.now = max(now, e.now)
	e.actions = actions
	e.pollList()
	for i := range events {
		e.handle(&events[i])
	}
	e.runTimers()
	e.shedLoad()
	e.dispatch()
	e.scheduleTimer()
	actions = e.actions
	e.actions = nil
	return actions
}

// handle passes an event to the function that handles its kind.
func (e *Engine) handle(event *Event) {
	switch event.Kind {
	case EvListUpdated:
		e.updateEndpoints(event)
	case EvMessageSubmitted:
		e.admit(event)
	case EvReplyStarted:
		e.startReply(event)
	case EvAttemptEnded:
		e.endAttempt(event)
	case EvIdentityRejected:
		e.rejectIdentity(event)
	case EvMessageWithdrawn:
		if message := e.messages[event.Message]; message != nil {
			e.finishMessage(message)
		}
	case EvTimer, EvHealthChecked:
		// A timer only advances the clock, and the engine requests no health checks.
	}
}

// pollList requests the endpoint list if updates are not pushed. It does so after half the time for which a list counts
// as fresh, so that the new list arrives before the old one is outdated.
func (e *Engine) pollList() {
	if !e.settings.PollList {
		return
	}
	if e.polledAt == 0 || e.now-e.polledAt >= e.settings.PollInterval/2 {
		e.polledAt = e.now
		e.emit(Action{Kind: ActWatch})
	}
}

// runTimers calls the functions that are due, including those that they add.
func (e *Engine) runTimers() {
	for due, ok := e.timers.popDue(e.now); ok; due, ok = e.timers.popDue(e.now) {
		due.run()
	}
}

// scheduleTimer requests a timer for the next time at which a decision may change without an event, unless the timer
// that was requested last fires early enough.
func (e *Engine) scheduleTimer() {
	next := e.timers.nextTime()
	if e.settings.PollList {
		next = min(next, e.polledAt+max(e.settings.PollInterval/2, second))
	}
	pendingTimerSuffices := e.timerAt > e.now && e.timerAt <= next
	if next == math.MaxInt64 || pendingTimerSuffices {
		return
	}
	e.timerAt = max(next, e.now+e.settings.TickInterval)
	e.emit(Action{Kind: ActTimer, After: e.timerAt - e.now})
}

// emit appends an action to those of the current step.
func (e *Engine) emit(action Action) { e.actions = append(e.actions, action) }

// logf asks the relay to log a line.
func (e *Engine) logf(format string, args ...any) {
	e.emit(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}
