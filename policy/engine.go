// Package policy makes every decision of a relay: where a message goes, when it is tried again, and what is
// rejected. Its interface (settings, events, actions) is api.go.
//
// The ordinary path is adaptive throttling for each destination (requests against accepts, a capped
// probability of a drop) with a window on the calls in flight; what departs from it names its condition at
// its place.
//
// The files that choose are listed under policy in deploy/balancer.toml, a file a concern: the endpoint list
// (endpoints.go), admission and load shedding (admission.go), retries and timeouts (retry.go), the choice of
// message and endpoint (dispatch.go, ordering.go), outcomes (outcome.go), connections (connection.go),
// ejection and recovery (recovery.go), rates (ratelimit.go), and the ageing of what was learned (aging.go).
// The other files hold state and data structures, and choose nothing.
package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	second       = Time(1e6)
	randomStream = 0x9e3779b97f4a7c15 // second half of the seed of every engine
)

// seconds is a span of time as a number of seconds.
func seconds(span Time) float64 { return float64(span) / float64(second) }

// New makes an engine from its settings; the seed feeds all its draws.
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

// Step takes the events that have happened by now and appends what to do about them to actions. The same seed
// and the same steps give the same actions.
func (e *Engine) Step(now Time, events []Event, actions []Action) []Action {
	e.now, e.actions = max(now, e.now), actions
	e.pollList()
	for i := range events {
		e.handle(&events[i])
	}
	runDue(&e.timers, e.now)
	e.shedLoad()
	e.dispatch()
	e.scheduleTimer()
	actions, e.actions = e.actions, nil
	return actions
}

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
	case EvTimer, EvHealthChecked: // the time alone is news, and no health check is asked for
	}
}

// pollList asks for the endpoint list in good time where changes are not pushed.
func (e *Engine) pollList() {
	if e.settings.PollList && (e.polledAt == 0 || e.now-e.polledAt >= e.settings.PollInterval/2) {
		e.polledAt = e.now
		e.emit(Action{Kind: ActWatch})
	}
}

// scheduleTimer asks for one timer at the next moment at which something may change by itself.
func (e *Engine) scheduleTimer() {
	next := e.timers.nextTime()
	if e.settings.PollList {
		next = min(next, e.polledAt+max(e.settings.PollInterval/2, second))
	}
	if next == math.MaxInt64 || e.timerAt > e.now && e.timerAt <= next {
		return
	}
	e.timerAt = max(next, e.now+e.settings.TickInterval)
	e.emit(Action{Kind: ActTimer, After: e.timerAt - e.now})
}

func (e *Engine) emit(action Action) { e.actions = append(e.actions, action) }

func (e *Engine) logf(format string, args ...any) {
	e.emit(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}
