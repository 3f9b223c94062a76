package main

import (
	"fmt"
	"io"
	"math"

	"troutusher/internal/settings"
	"troutusher/internal/wire"
	"troutusher/policy"
)

const listCount = 16 // numbered lists of endpoints that frames can refer to

// instance is one of the relays that the process hosts.
type instance struct {
	engine *policy.Engine
	report reportLayout
	events []policy.Event // events of the current frame
	queued bool           // the instance has events in the current frame
}

// host holds the relays of one process, which share nothing but the lists of endpoints.
type host struct {
	instances  map[uint16]*instance // by relay number
	lists      [listCount][]policy.EndpointUpdate
	order      []uint16 // relays with events in the current frame, ordered by their first event
	actions    []policy.Action
	reply      []wire.Action
	replyFrame []byte
}

func newHost() *host { return &host{instances: map[uint16]*instance{}} }

// handleFrame reads one frame and returns its reply, which is valid until the next call.
func (h *host) handleFrame(in io.Reader) ([]byte, error) {
	clock, events, err := wire.ReadBatch(in)
	if err != nil {
		return nil, err
	}
	if clock > math.MaxInt64 {
		return nil, fmt.Errorf("batch header: clock %d is over the maximum of %d", clock, int64(math.MaxInt64))
	}
	h.reply, h.order = h.reply[:0], h.order[:0]
	for i := range events {
		h.handleRecord(&events[i])
	}
	for _, id := range h.order {
		if instance := h.instances[id]; instance != nil && instance.queued {
			h.step(policy.Time(clock), id, instance)
		}
	}
	h.replyFrame, err = wire.AppendReply(h.replyFrame[:0], h.reply)
	return h.replyFrame, err
}

// step passes the frame's events of an instance to its engine, and adds the resulting actions to the reply.
func (h *host) step(now policy.Time, id uint16, instance *instance) {
	h.actions = instance.engine.Step(now, instance.events, h.actions[:0])
	instance.events, instance.queued = instance.events[:0], false
	for i := range h.actions {
		h.reply = append(h.reply, wireAction(id, &h.actions[i]))
	}
}

// handleRecord queues a record for its instance, or updates the host's instances and lists.
func (h *host) handleRecord(record *wire.Event) {
	switch record.Code {
	case wire.EvTable:
		h.lists[record.Sheet] = endpointUpdates(record.Entries)
	case wire.EvUp:
		h.start(record)
	case wire.EvPowerOff:
		delete(h.instances, record.Relay)
	default:
		h.queue(record)
	}
}

// start creates an instance, which replaces any earlier one of the same relay. If that fails, the relay has no
// instance any more and the reply reports the error.
func (h *host) start(record *wire.Event) {
	instance, err := newInstance(record)
	if err != nil {
		h.reply = append(h.reply, wire.Action{Code: wire.ActBug, Relay: record.Relay, Text: err.Error()})
		delete(h.instances, record.Relay)
		return
	}
	h.instances[record.Relay] = instance
}

// queue adds a record to the events of its instance. It drops a record of a relay that has no instance, since that
// relay has stopped.
func (h *host) queue(record *wire.Event) {
	instance := h.instances[record.Relay]
	if instance == nil {
		return
	}
	event, ok := h.policyEvent(instance, record)
	if !ok {
		return
	}
	instance.events = append(instance.events, event)
	if !instance.queued {
		instance.queued = true
		h.order = append(h.order, record.Relay)
	}
}

// newInstance creates an instance from the settings text and the seed of its EvUp record.
func newInstance(record *wire.Event) (*instance, error) {
	text, err := wire.ParseSettings(record.Text)
	if err != nil {
		return nil, err
	}
	mapped, err := settings.ForPolicy(text)
	if err != nil {
		return nil, err
	}
	engine, err := policy.New(mapped, record.Token)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &instance{engine: engine, report: newReportLayout(text.Report.Fields)}, nil
}
