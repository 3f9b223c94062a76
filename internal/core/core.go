// Package core implements the life cycle of messages as a deterministic state machine.
// It takes in events, runs the policy on them, and returns effects for drivers to execute.
//
// The package keeps track of the held messages, which are those that have not ended, and of
// the open calls. It defines the order of log records, replies and sends. A message that ends
// in the step that received it is rejected and never written to the write-ahead log. Any other
// message is logged, then acknowledged, then sent, and each attempt is logged before the first
// byte of its call.
//
// The same events at the same times give the same effects. Therefore the package starts
// no goroutine, reads no clock, uses no socket or file, draws no random number, and does
// not depend on the iteration order of a map. Decisions that either package could make, such
// as when and to which endpoint a message is sent, are left to package policy.
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

// Settings are the settings of a core. Zones, DestinationKinds, Classes and Tenants
// map names to their indexes in the settings of the policy. The endpoint list calls the name of a
// destination's kind the flavor of its endpoints.
type Settings struct {
	Policy           policy.Settings
	Seed             uint64 // of the policy's random numbers
	Epoch            int64  // Unix time, in microseconds, of time 0 of the core's clock
	Zones            map[string]int
	DestinationKinds map[string]int
	Classes          map[string]int
	Tenants          map[string]int
	// TracesPerSecond is the maximum number of submitted messages per second whose trace is
	// logged. Recovered messages are always traced.
	TracesPerSecond int
	// Passivation determines when an idle destination is passivated, which means that its
	// state is packed into a compact store. With the zero value, none is passivated.
	Passivation idlestore.Limits
	// ConnectionCost returns what opening a connection to an endpoint of a flavor costs the
	// destination, as a number of calls that cost it the same. It must always return the same
	// result for the same arguments. It is nil if connections cost nothing.
	ConnectionCost func(dest int, flavor string) float64
}

// Core is the state of one relay.
type Core struct {
	settings Settings
	policy   *policy.Engine
	now      policy.Time

	messages          messageTable
	ended             endedMessages
	endpoints         endpointTable
	knownDestinations map[int]bool        // named by a list and not passive, see passivation.go
	retryAfter        map[int]policy.Time // by destination: the time before which nothing is sent
	listUpdate        *listUpdate         // the endpoint list that has been applied in part; nil for none
	listBatchSize     int                 // members of listUpdate that are applied in one step
	passivation       passivationState
	deferral          deferral
	shutdown          shutdown

	policyEvents   []policy.Event  // input of the policy's next step
	actions        []policy.Action // output of the policy's last step; the memory is reused
	deferredEvents []Event         // to be handled in the next step
	timers         timers
	effects        []Effect // output of the current step

	classCounts    []ClassCounts // by class, in the order of the settings
	metrics        *metrics.Recorder
	traceSampler   *msgtrace.Sampler
	openCalls      int
	listRevision   int64  // of the last endpoint list received
	stateVersion   uint64 // see StateVersion
	completedCalls uint64 // see CompletedCalls
}

// New returns a core that holds no message.
func New(settings Settings) (*Core, error) {
	engine, err := policy.New(settings.Policy, settings.Seed)
	if err != nil {
		return nil, err
	}
	return &Core{
		settings:          settings,
		policy:            engine,
		messages:          newMessageTable(),
		ended:             newEndedMessages(),
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

// Observe handles events without running the policy. It appends to effects only what follows
// from the events without a decision of the policy. The next Step passes the events on to the
// policy.
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

// Step handles the events that happened up to now. It then applies the next batch of an
// endpoint list, runs the policy if it has input or a timer is due, passivates idle
// destinations and logs metrics that are due. It appends the resulting effects to effects, in
// the order in which they are to be executed.
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

// handleEvent applies one event, and queues an event for the policy if the policy needs one.
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

// NextWakeup returns the time at which Step must be called even if there is no event; 0
// for none.
func (c *Core) NextWakeup() policy.Time { return c.timers.next() }

// HeldMessages returns the number of held messages.
func (c *Core) HeldMessages() int { return c.messages.held }

// OpenCalls returns the number of open calls.
func (c *Core) OpenCalls() int { return c.openCalls }

// UnansweredRequests returns the number of requests that have no reply yet.
func (c *Core) UnansweredRequests() int { return len(c.messages.unanswered) }

// ListRevision returns the revision of the last endpoint list received.
func (c *Core) ListRevision() int64 { return c.listRevision }

// beginStep sets the time and the slice to which effects are appended. If now lies before
// the current time, the time stays as it is.
func (c *Core) beginStep(now policy.Time, effects []Effect) {
	c.now, c.effects = max(now, c.now), effects
}

// takeEffects ends a step and returns its effects.
func (c *Core) takeEffects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) appendRecord(record *Record) { c.emit(AppendRecord{Record: record}) }

// wallTime converts a time of the core's clock to Unix microseconds.
func (c *Core) wallTime(t policy.Time) int64 { return c.settings.Epoch + t }

// fromWallTime converts Unix microseconds to a time of the core's clock.
func (c *Core) fromWallTime(micros int64) policy.Time { return micros - c.settings.Epoch }

// indexOf returns the index of a name, or -1 if there is none.
func indexOf(indexes map[string]int, name string) int {
	if i, ok := indexes[name]; ok {
		return i
	}
	return -1
}
