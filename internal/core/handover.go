package core

import (
	"log/slog"
	"slices"

	"troutusher/policy"
)

// A core can be handed over to another process. The core of the other process reads the held
// messages from the log. State that is not in the log is passed as a HandoverState. Until the
// other core has all of this state, the exporting core can still continue as if no hand-over
// had been requested.

// HandoverState is the state of a core that is not in its log. Times are times of the
// exporting core's clock.
type HandoverState struct {
	Revision          int64                `json:"revision,omitempty"` // of the endpoint list
	Members           []HandoverMember     `json:"members"`
	KnownDestinations []int                `json:"named"` // destinations that a list has named
	RetryAfters       []HandoverRetryAfter `json:"waits,omitempty"`
	Calls             []HandoverCall       `json:"calls"`
	Weights           []HandoverWeight     `json:"worth"`
	Policy            *policy.Snapshot     `json:"policy"`
	Ended             []EndedMessage       `json:"ended,omitempty"`
}

// HandoverMember is an endpoint that the list contains, or one that has been removed from it
// and still has a Retry-After in force or an open call. Number is its number in the core that
// exported it. RetryAfter is set only if a Retry-After applied to this endpoint only.
type HandoverMember struct {
	Member
	Number     policy.EndpointID `json:"number"`
	RetryAfter policy.Time       `json:"wait_until,omitempty"`
}

// HandoverRetryAfter is a Retry-After that applies to all endpoints of a destination.
type HandoverRetryAfter struct {
	Dest  int         `json:"dest"`
	Until policy.Time `json:"until"`
}

// HandoverCall is a call whose request has been written completely and that has no response
// yet.
type HandoverCall struct {
	Message  string      `json:"message"`
	Endpoint string      `json:"endpoint"` // the endpoint's id
	SentAt   policy.Time `json:"sent"`
	Deadline policy.Time `json:"until"`
	call     *Call
}

// HandoverWeight is the weight that a held message had when it was accepted.
type HandoverWeight struct {
	Message string  `json:"message"`
	Weight  float64 `json:"worth"`
}

// Call returns the call in the exporting core.
func (h *HandoverCall) Call() *Call { return h.call }

// ExportHandover returns the state that another core needs to replace this one. It may only be
// called when every request has its reply and no call is partly written.
func (c *Core) ExportHandover(now policy.Time) *HandoverState {
	c.now = max(now, c.now)
	c.finishListUpdate()
	state := &HandoverState{
		Revision: c.listRevision, Policy: c.policy.Snapshot(c.now),
		Members: c.handoverMembers(), RetryAfters: c.handoverRetryAfters(), Ended: c.ended.newest(maxHandedOverEnded),
	}
	members, limiters := c.passiveState()
	state.Members = append(state.Members, members...)
	state.Policy.Limiters = append(state.Policy.Limiters, limiters...)
	for dest := range c.knownDestinations {
		state.KnownDestinations = append(state.KnownDestinations, dest)
	}
	state.KnownDestinations = append(state.KnownDestinations, c.departedDestinations()...)
	slices.Sort(state.KnownDestinations)
	for _, m := range c.pendingMessages() {
		state.Weights = append(state.Weights, HandoverWeight{Message: m.record.ID, Weight: c.policy.Weight(m.number)})
		if call := m.call; call != nil && call.endpoint != nil {
			state.Calls = append(state.Calls, HandoverCall{
				Message: m.record.ID, Endpoint: call.endpoint.id, SentAt: call.sentAt,
				Deadline: call.sentAt + call.Timeout, call: call,
			})
		}
	}
	return state
}

// pendingMessages returns the accepted messages that have not ended, oldest first.
func (c *Core) pendingMessages() []*message {
	unfinished := make([]*message, 0, len(c.messages.byNumber))
	for _, m := range c.messages.byNumber {
		if !m.finished && m.logged {
			unfinished = append(unfinished, m)
		}
	}
	slices.SortFunc(unfinished, byAge)
	return unfinished
}

// importedHandover is the part of a HandoverState that the recovery of messages needs, by
// message. The zero value means that nothing was handed over to this process.
type importedHandover struct {
	present bool
	calls   map[string]*HandoverCall
	weights map[string]float64
	shift   policy.Time // added to times of the exporting core's clock to convert them to this core's
}

// importHandover takes over the state of another core.
func (c *Core) importHandover(state *HandoverState, shift policy.Time) importedHandover {
	for _, retryAfter := range state.RetryAfters {
		c.extendRetryAfter(retryAfter.Dest, retryAfter.Until+shift)
	}
	for _, ended := range state.Ended {
		c.ended.add(ended)
	}
	list := &EndpointList{Revision: state.Revision, Complete: true, Members: membersOf(state.Members)}
	c.applyList(list, policy.ListCached)
	c.finishListUpdate()
	for _, dest := range state.KnownDestinations {
		if !c.isPassive(dest) {
			c.knownDestinations[dest] = true
			c.passivation.active.Touch(dest, c.now)
		}
	}
	c.importPolicy(state, shift)
	imported := importedHandover{
		present: true, calls: map[string]*HandoverCall{}, weights: map[string]float64{}, shift: shift,
	}
	for i := range state.Calls {
		imported.calls[state.Calls[i].Message] = &state.Calls[i]
	}
	for _, weight := range state.Weights {
		imported.weights[weight.Message] = weight.Weight
	}
	return imported
}

// importPolicy takes over the state of another core's policy and the Retry-Afters of its
// endpoints.
func (c *Core) importPolicy(state *HandoverState, shift policy.Time) {
	snapshot := state.Policy
	if snapshot == nil {
		snapshot = &policy.Snapshot{}
	}
	c.activateAll(snapshot)
	c.runPolicy() // makes the endpoints known to the policy before their state is loaded
	c.translateSnapshot(snapshot, state.Members, shift)
	for _, endpoint := range c.endpoints.all {
		if endpoint.retryAfter > 0 {
			c.emit(ApplyRetryAfter{Endpoint: endpoint.number, Until: c.retryAfterOf(endpoint)})
		}
	}
	if state.Policy != nil {
		c.policy.LoadSnapshot(c.now, snapshot, shift)
	}
}

// resumeCall opens a call that was handed over. The driver waits for the end of the call. The
// call is added to event, which reports the message to the policy.
func (c *Core) resumeCall(m *message, handedOver *HandoverCall, shift policy.Time, event *policy.Event) {
	endpoint := c.endpoints.byID[handedOver.Endpoint]
	if endpoint == nil {
		return
	}
	sentAt := handedOver.SentAt + shift
	call := &Call{Timeout: max(handedOver.Deadline+shift-c.now, 1)}
	c.openCall(call, m, endpoint, sentAt)
	event.AttemptSentAt, event.AttemptEndpoint = max(sentAt, 1), endpoint.number
	c.emit(ResumeCall{Call: call})
	c.log(slog.LevelInfo, "call resumed after hand-over", "message", m.record.ID, "endpoint", endpoint.number,
		"left_ms", call.Timeout/microsPerMilli)
}

func membersOf(handedOver []HandoverMember) (members []Member) {
	for i := range handedOver {
		members = append(members, handedOver[i].Member)
	}
	return members
}
