package core

import (
	"log/slog"
	"slices"

	"troutusher/policy"
)

// A core can be carried over into another process. What is held lies in the
// log, and the other core reads it there; what the log does not have comes as
// Carried. Until the other has all of it, this one can go on as if nothing had
// been asked of it.

// HandoverState is what a core knows beside its log. Moments are those of the
// exporting core's clock.
type HandoverState struct {
	Revision          int64                `json:"revision,omitempty"` // of the list that it goes by
	Members           []HandoverMember     `json:"members"`
	KnownDestinations []int                `json:"named"`
	RetryAfters       []HandoverRetryAfter `json:"waits,omitempty"`
	Calls             []HandoverCall       `json:"calls"`
	Weights           []HandoverWeight     `json:"worth"`
	Policy            *policy.Snapshot     `json:"policy"`
}

// HandoverMember is an endpoint that the list holds, or one that has left and is
// still bound by a wait or a call.
type HandoverMember struct {
	Member
	Number     policy.EndpointID `json:"number"`
	RetryAfter policy.Time       `json:"wait_until,omitempty"`
}

// HandoverRetryAfter is a wait that a destination has told.
type HandoverRetryAfter struct {
	Dest  int         `json:"dest"`
	Until policy.Time `json:"until"`
}

// HandoverCall is a call that is out, whole, and not answered.
type HandoverCall struct {
	Message  string      `json:"message"`
	Endpoint string      `json:"endpoint"` // its id
	SentAt   policy.Time `json:"sent"`
	Deadline policy.Time `json:"until"`
	call     *Call
}

// HandoverWeight is what a held message was found worth when it was taken on.
type HandoverWeight struct {
	Message string  `json:"message"`
	Weight  float64 `json:"worth"`
}

// Call is the exporting core's.
func (c *HandoverCall) Call() *Call { return c.call }

// BeginHandover has no new call begun, until Thaw. All else goes on.
func (r *Core) BeginHandover() { r.handingOver = true }

// ResumeSends ends Cede: what was put off meanwhile is sent, where there is still time
// for it.
func (r *Core) ResumeSends(now policy.Time, fx []Effect) []Effect {
	r.now, r.effects, r.handingOver = max(now, r.now), fx, false
	r.sendDeferred()
	return r.takeEffects()
}

// DeferSends has no call or probe begun until Begin: the list that is known may be
// old, and what has drained since must not be sent to. Messages are taken on,
// answered, logged and ended meanwhile as ever, since no client waits for calls.
func (r *Core) DeferSends() { r.sendsDeferred = true }

func (r *Core) start() {
	if !r.sendsDeferred {
		return
	}
	r.sendsDeferred = false
	r.sendDeferred()
	for _, num := range r.deferredHealthChecks {
		if ep := r.endpointsByNumber[num]; ep != nil && !ep.retired {
			r.checkHealth(ep)
		}
	}
	r.deferredHealthChecks = nil
}

// sendDeferred sends what was put off, oldest first.
func (r *Core) sendDeferred() {
	var put []*message
	for _, m := range r.messages {
		if m.pendingSend != nil && m.acknowledged && !r.mustDeferSend(m) {
			put = append(put, m)
		}
	}
	slices.SortFunc(put, func(a, b *message) int { return int(a.number) - int(b.number) })
	for _, m := range put {
		a := m.pendingSend
		m.pendingSend = nil
		r.startAttempt(m, a)
	}
}

// ExportHandover shows what another core needs to go on in this one's place. No request
// may wait for its answer, and no call be on its way to its endpoint.
func (r *Core) ExportHandover(now policy.Time) *HandoverState {
	r.now = max(now, r.now)
	r.finishListUpdate()
	c := &HandoverState{Revision: r.listRevision, Policy: r.policy.Snapshot(r.now), Members: r.handoverMembers(), RetryAfters: r.handoverRetryAfters()}
	members, lanes := r.passiveState(true)
	c.Members, c.Policy.Limiters = append(c.Members, members...), append(c.Policy.Limiters, lanes...)
	for dest := range r.knownDestinations {
		c.KnownDestinations = append(c.KnownDestinations, dest)
	}
	c.KnownDestinations = append(c.KnownDestinations, r.departedDestinations()...)
	slices.Sort(c.KnownDestinations)
	held := make([]*message, 0, len(r.messages))
	for _, m := range r.messages {
		if !m.finished && m.logged {
			held = append(held, m)
		}
	}
	slices.SortFunc(held, func(a, b *message) int { return int(a.number) - int(b.number) })
	for _, m := range held {
		c.Weights = append(c.Weights, HandoverWeight{m.record.ID, r.policy.Weight(m.number)})
		if k := m.call; k != nil && k.endpoint != nil {
			c.Calls = append(c.Calls, HandoverCall{m.record.ID, k.endpoint.id, k.sentAt, k.sentAt + k.Timeout, k})
		}
	}
	return c
}

// handoverMembers are the endpoints that another core should know.
func (r *Core) handoverMembers() (all []HandoverMember) {
	for _, ep := range r.endpoints {
		m := HandoverMember{Member: ep.member, Number: ep.number, RetryAfter: ep.retryAfter}
		switch {
		case ep.listed && !ep.retired:
		case ep.listed || ep.retryAfter > r.now || len(ep.calls) > 0:
			m.Phase = Draining
		default:
			continue
		}
		all = append(all, m)
	}
	return all
}

// handoverRetryAfters are the waits of destinations that last.
func (r *Core) handoverRetryAfters() (all []HandoverRetryAfter) {
	for dest, until := range r.retryAfter {
		if until > r.now {
			all = append(all, HandoverRetryAfter{dest, until})
		}
	}
	slices.SortFunc(all, func(a, b HandoverRetryAfter) int { return a.Dest - b.Dest })
	return all
}

// importHandover takes over what another core knew, and returns the calls that it had
// out and the worths that it had found, by message.
func (r *Core) importHandover(c *HandoverState, shift policy.Time) (map[string]*HandoverCall, map[string]float64) {
	for _, w := range c.RetryAfters {
		r.retryAfter[w.Dest] = max(r.retryAfter[w.Dest], w.Until+shift)
	}
	l := &EndpointList{Revision: c.Revision, Complete: true}
	for i := range c.Members {
		l.Members = append(l.Members, c.Members[i].Member)
	}
	r.applyList(l, policy.ListCached)
	r.finishListUpdate()
	for _, dest := range c.KnownDestinations {
		if !r.isPassive(dest) {
			r.knownDestinations[dest] = true
			r.passivation.roster.Touch(dest, r.now)
		}
	}
	p := c.Policy
	if p == nil {
		p = &policy.Snapshot{}
	}
	r.activateAll(p)
	r.runPolicy() // the policy knows the endpoints from here on
	r.translateMemory(p, c.Members, shift)
	for _, ep := range r.endpoints {
		if ep.retryAfter > 0 {
			r.emit(ApplyRetryAfter{Endpoint: ep.number, Until: r.retryAfterOf(ep)})
		}
	}
	if c.Policy != nil {
		r.policy.LoadSnapshot(r.now, p, shift)
	}
	calls, worth := map[string]*HandoverCall{}, map[string]float64{}
	for i := range c.Calls {
		calls[c.Calls[i].Message] = &c.Calls[i]
	}
	for _, w := range c.Weights {
		worth[w.Message] = w.Weight
	}
	return calls, worth
}

// resumeCall books a call that the other core had out, and has the driver wait for
// its end.
func (r *Core) resumeCall(m *message, k *HandoverCall, shift policy.Time, e *policy.Event) {
	ep := r.endpointsByID[k.Endpoint]
	if ep == nil {
		return
	}
	sent := k.SentAt + shift
	c := &Call{Record: m.record, Endpoint: ep.number, Timeout: max(k.Deadline+shift-r.now, 1), message: m, endpoint: ep, independentRoute: r.hasIndependentRoutes(ep.flavor), attempt: m.attempts - 1, sentAt: sent}
	m.call = c
	ep.calls = append(ep.calls, c)
	r.openCalls++
	e.AttemptSentAt, e.AttemptEndpoint = max(sent, 1), ep.number
	r.emit(ResumeCall{Call: c})
	r.log(slog.LevelInfo, "call goes on", "message", m.record.ID, "endpoint", ep.number, "left_ms", c.Timeout/1000)
}
