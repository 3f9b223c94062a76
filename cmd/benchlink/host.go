package main

import (
	"fmt"
	"io"
	"math"

	"troutusher/internal/settings"
	"troutusher/internal/wire"
	"troutusher/policy"
)

const listCount = 16 // lists of endpoints that frames can name

// instance is one relay of those that the process hosts.
type instance struct {
	engine *policy.Engine
	report reportLayout
	events []policy.Event // of the frame that is handled
	queued bool           // it has events in this frame
}

// host keeps the instances of one process apart, and the lists of endpoints that they share.
type host struct {
	instances  map[uint16]*instance
	lists      [listCount][]policy.EndpointUpdate
	order      []uint16 // instances with events in this frame, by their first event
	actions    []policy.Action
	reply      []wire.Action
	replyFrame []byte
}

func newHost() *host { return &host{instances: map[uint16]*instance{}} }

// handleFrame reads one frame and returns its reply, which is good until the next one.
func (h *host) handleFrame(in io.Reader) ([]byte, error) {
	clock, events, err := wire.ReadBatch(in)
	if err != nil {
		return nil, err
	}
	if clock > math.MaxInt64 {
		return nil, fmt.Errorf("batch header: clock %d is out of range", clock)
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

// step gives an instance its events of the frame.
func (h *host) step(now policy.Time, id uint16, instance *instance) {
	h.actions = instance.engine.Step(now, instance.events, h.actions[:0])
	instance.events, instance.queued = instance.events[:0], false
	for i := range h.actions {
		h.reply = append(h.reply, wireAction(id, &h.actions[i]))
	}
}

// handleRecord keeps a record for its instance, or changes the host's own tables.
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

// start replaces an instance by a new one; one that cannot be made is reported.
func (h *host) start(record *wire.Event) {
	instance, err := newInstance(record)
	if err != nil {
		h.reply = append(h.reply, wire.Action{Code: wire.ActBug, Relay: record.Relay, Text: err.Error()})
		delete(h.instances, record.Relay)
		return
	}
	h.instances[record.Relay] = instance
}

// queue keeps a record for its instance; one for an instance that has ended is dropped.
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

// newInstance makes an instance from its settings text.
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
