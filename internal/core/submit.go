package core

import (
	"errors"
	"fmt"

	"troutusher/internal/metrics"
	"troutusher/policy"
)

// Errors in replies to submissions. Their texts are part of the protocol.
var (
	errAlreadySubmitted = errors.New("id is being handed in already")
	errGivenUp          = errors.New("given up")
)

// Request is a request of a client to submit a message. It gets one reply.
type Request struct {
	Record *Record
	Class  int
	Tenant int         // -1 for none
	Queued policy.Time // how long the request may have waited unread; its deadline counts from the start of this wait
	Handle any         // for use by the driver
}

// submit passes a message to the policy. A message that the policy ends in the same step is
// rejected and not logged; otherwise it is accepted.
func (c *Core) submit(request *Request) {
	record := request.Record
	c.metrics.Add(record.Dest, metrics.Submitted, 1)
	if reply, replied := c.replyWithoutPolicy(request); replied {
		c.reply(request, reply)
		return
	}
	c.activate(record.Dest)
	c.passivation.active.Touch(record.Dest, c.now)
	m := c.messages.add(record, c.now)
	m.request = request
	if m.traced = c.traceSampler.Sample(c.wallTime(c.now)); !m.traced {
		c.metrics.Add(record.Dest, metrics.Untraced, 1)
	}
	c.messages.unanswered[request] = m
	c.policyEvents = append(c.policyEvents, policy.Event{
		Kind: policy.EvMessageSubmitted, Message: m.number, Class: request.Class, Destination: record.Dest,
		Tenant: request.Tenant, TimeLeft: c.fromWallTime(record.Deadline) - c.now,
	})
}

// replyWithoutPolicy returns the reply to a request that does not reach the policy, because it
// is rejected or because its message is held or has ended already. replied is false for other requests.
func (c *Core) replyWithoutPolicy(request *Request) (reply Reply, replied bool) {
	record := request.Record
	held := c.messages.byID[record.ID]
	switch {
	case c.shutdown.requested && !c.acceptsDuringShutdown(request):
		c.countsOf(record.Class).Deferred++
		c.metrics.Add(record.Dest, metrics.HandedBackPrefix+"stopping", 1)
		return Reply{RetryAfterMS: shutdownRetryMS}, true
	case held != nil && held.acknowledged:
		return Reply{OK: true}, true
	case held != nil:
		return Reply{Err: errAlreadySubmitted}, true
	}
	if reply, ended := c.ended.reply(record.ID); ended {
		return reply, true
	}
	switch {
	case len(c.knownDestinations) > 0 && !c.knowsDestination(record.Dest):
		// Holding the message would be useless, and the policy would keep the unknown
		// destination forever. A destination whose endpoints are only temporarily gone is known.
		c.countsOf(record.Class).Failed++
		return Reply{Err: fmt.Errorf("dest: no list names %d", record.Dest)}, true
	case c.settings.Policy.MaxPending > 0 && c.messages.held >= c.settings.Policy.MaxPending:
		c.countsOf(record.Class).Deferred++
		c.metrics.Add(record.Dest, metrics.HandedBackPrefix+"most_held", 1)
		return Reply{}, true
	}
	return Reply{}, false
}

// acceptSubmitted accepts the messages that the policy has not ended in the step that received
// them. Their records are logged, and then their clients get the reply.
func (c *Core) acceptSubmitted(submitted []*message) {
	for _, m := range submitted {
		if m.request == nil || m.finished {
			continue
		}
		request := m.request
		m.request, m.logged = nil, true
		c.metrics.Add(m.record.Dest, metrics.Accepted, 1)
		c.emit(AppendThenReply{Request: request})
	}
}
