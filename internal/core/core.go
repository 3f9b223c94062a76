// Package core is the life cycle of messages as a deterministic state machine:
// events go in, it steps the policy, and effects come out that drivers execute.
//
// It owns which messages are held, which calls are open, and the order in which
// things are logged, replied and sent. A message that ends in the step that
// received it is rejected and never logged; any other is logged, then
// acknowledged, then sent, and each attempt is logged before its first byte.
//
// It must never start a goroutine, read a clock, touch a socket or a file, draw a
// random number or depend on the order of a map: the same events at the same times
// give the same effects. It decides nothing that package policy can decide.
//
// The files follow the phases of a message: submit, reply, attempt, outcome, end;
// then recovery, shutdown, handover and passivation.
package core

import (
	"log/slog"

	"troutusher/internal/idlestore"
	"troutusher/internal/metrics"
	"troutusher/internal/msgtrace"
	"troutusher/policy"
)

// Settings are what a core is given at its start. Zones, Kinds, Classes and Tenants
// are the indexes of names in the settings of the policy.
type Settings struct {
	Policy  policy.Settings
	Seed    uint64
	Epoch   int64 // Unix microseconds at time 0 of its clock
	Zones   map[string]int
	Kinds   map[string]int
	Classes map[string]int
	Tenants map[string]int
	// TracesPerSecond is how many messages a second are traced in the log from their
	// submission on.
	TracesPerSecond int
	// Passivation says which destinations are passivated; the zero value is for none.
	Passivation idlestore.Limits
	// ConnectionCost is what opening a connection costs a destination of a flavor, in
	// calls; nil where it costs nothing anywhere. Its results must not change.
	ConnectionCost func(dest int, flavor string) float64
}

// Core is the state of one relay.
type Core struct {
	settings Settings
	policy   *policy.Engine
	now      policy.Time

	messages          messageTable
	endpoints         endpointTable
	knownDestinations map[int]bool        // active destinations that a list has named
	retryAfter        map[int]policy.Time // by destination: nothing is sent before
	listUpdate        *listUpdate         // an endpoint list that is applied in part; nil for none
	listBatchSize     int                 // how many of its members are applied in one step
	passivation       passivationState
	deferral          deferral
	shutdown          shutdown

	policyEvents   []policy.Event  // for the next step of the policy
	actions        []policy.Action // of its last step; the memory is reused
	deferredEvents []Event         // for the next step
	timers         timers
	effects        []Effect // of this step

	classCounts    []ClassCounts // by class, in the order of the settings
	metrics        *metrics.Recorder
	traceSampler   *msgtrace.Sampler
	openCalls      int
	listRevision   int64  // of the endpoint list that was heard last
	stateVersion   uint64 // see StateVersion
	completedCalls uint64
}

// New makes a core that holds no message.
func New(settings Settings) (*Core, error) {
	engine, err := policy.New(settings.Policy, settings.Seed)
	if err != nil {
		return nil, err
	}
	return &Core{
		settings:          settings,
		policy:            engine,
		messages:          newMessageTable(),
		endpoints:         newEndpointTable(),
		knownDestinations: map[int]bool{},
		retryAfter:        map[int]policy.Time{},
		listBatchSize:     defaultListBatchSize,
		passivation:       newPassivationState(settings.Passivation),
		classCounts:       make([]ClassCounts, len(settings.Policy.Classes)),
		metrics:           metrics.NewRecorder(),
		traceSampler:      msgtrace.NewSampler(settings.TracesPerSecond),
	}, nil
}

// Observe takes in what happened without a decision of the policy, and appends what
// follows at once to effects.
func (c *Core) Observe(now policy.Time, events []Event, effects []Effect) []Effect {
	c.beginStep(now, effects)
	deferred := c.deferredEvents
	c.deferredEvents = nil
	for _, event := range deferred {
		c.handleEvent(event)
	}
	for _, event := range events {
		c.handleEvent(event)
	}
	return c.takeEffects()
}

// Step takes in what happened by now, lets the policy decide, and appends what is to
// be done to effects, in order.
func (c *Core) Step(now policy.Time, events []Event, effects []Effect) []Effect {
	c.effects = c.Observe(now, events, effects)
	if c.listUpdate != nil && c.applyListBatch(c.listBatchSize) {
		c.emit(StepAgain{})
	}
	if c.timers.due(c.now) {
		c.policyEvents = append(c.policyEvents, policy.Event{Kind: policy.EvTimer})
	}
	if len(c.policyEvents) > 0 {
		c.runPolicy()
	}
	c.passivateIdle()
	if args := c.metrics.Flush(c.wallTime(c.now)); args != nil {
		c.log(slog.LevelInfo, metrics.LogText, args...)
	}
	return c.takeEffects()
}

// handleEvent applies one event and passes it on to the policy.
func (c *Core) handleEvent(event Event) {
	switch event := event.(type) {
	case Submitted:
		c.submit(event.Request)
	case ReplyDelivered:
		c.replyDelivered(event.Request, event.OK)
	case LogWriteFailed:
		c.rejectNotLogged(event.Request)
	case EndpointListUpdated:
		c.applyList(event.List, event.Kind)
	case AttemptFinished:
		c.finishAttempt(event.Call, event.Result, true)
	case AttemptNotLogged:
		c.finishAttempt(event.Call, &Result{Outcome: policy.NotSent, Err: errNotLogged}, false)
	case HealthChecked:
		c.policyEvents = append(c.policyEvents, policy.Event{
			Kind: policy.EvHealthChecked, Endpoint: event.Endpoint, Outcome: event.Result.Outcome,
			Latency: event.Result.Elapsed, Load: event.Result.Load,
		})
	case IdentityRejected:
		c.policyEvents = append(c.policyEvents, policy.Event{
			Kind: policy.EvIdentityRejected, Endpoint: event.Endpoint, RetryAfter: event.Duration,
		})
	case Started:
		c.endDeferral()
	case ShutdownRequested:
		c.beginShutdown()
	}
}

// NextWakeup is the time at which to call Step though nothing happens; 0 for none.
func (c *Core) NextWakeup() policy.Time { return c.timers.next() }

// HeldMessages is how many messages are held.
func (c *Core) HeldMessages() int { return c.messages.held }

// OpenCalls is how many calls are open.
func (c *Core) OpenCalls() int { return c.openCalls }

// UnansweredRequests is how many requests have no reply yet.
func (c *Core) UnansweredRequests() int { return len(c.messages.unanswered) }

// ListRevision is the revision of the endpoint list that was heard last.
func (c *Core) ListRevision() int64 { return c.listRevision }

// beginStep sets the time, which never goes back, and where effects are appended.
func (c *Core) beginStep(now policy.Time, effects []Effect) {
	c.now, c.effects = max(now, c.now), effects
}

// takeEffects ends a step.
func (c *Core) takeEffects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) appendRecord(record *Record) { c.emit(AppendRecord{Record: record}) }

// wallTime is a time of the core's clock in Unix microseconds.
func (c *Core) wallTime(t policy.Time) int64 { return c.settings.Epoch + t }

// fromWallTime is a time in Unix microseconds on the core's clock.
func (c *Core) fromWallTime(micros int64) policy.Time { return micros - c.settings.Epoch }

// indexOf is the index of a name; -1 where there is none.
func indexOf(indexes map[string]int, name string) int {
	if i, ok := indexes[name]; ok {
		return i
	}
	return -1
}
