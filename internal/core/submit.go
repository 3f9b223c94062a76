package core

import (
	"errors"
	"fmt"

	"troutusher/internal/metrics"
	"troutusher/policy"
)

// Errors that a submission is replied to with. Their texts are part of the protocol.
var (
	errAlreadySubmitted = errors.New("id is being handed in already")
	errGivenUp          = errors.New("given up")
)

// Request is a message that a client submits. It is replied to once.
type Request struct {
	Record *Record
	Class  int
	Tenant int         // -1 for none
	Queued policy.Time // how long it may have waited unread; its deadline counts from before
	Handle any         // of the driver
}

// submit passes a message on to the policy. Whether it is accepted shows in the same
// step: a message that the policy ends there is rejected and not logged.
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

// replyWithoutPolicy is the reply to a request that the policy has no part in: one
// that is rejected by itself, or whose message is held already.
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
	case len(c.knownDestinations) > 0 && !c.knowsDestination(record.Dest):
		// It would be held in vain, and the policy keeps each destination for good.
		// One whose endpoints are only gone for now is known.
		c.countsOf(record.Class).Failed++
		return Reply{Err: fmt.Errorf("dest: no list names %d", record.Dest)}, true
	case c.settings.Policy.MaxPending > 0 && c.messages.held >= c.settings.Policy.MaxPending:
		c.countsOf(record.Class).Deferred++
		c.metrics.Add(record.Dest, metrics.HandedBackPrefix+"most_held", 1)
		return Reply{}, true
	}
	return Reply{}, false
}

// acceptSubmitted logs the messages that the policy has not ended in the step that
// received them; their clients have their reply after that.
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
