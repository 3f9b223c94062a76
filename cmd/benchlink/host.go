package main

import (
	"fmt"
	"io"
	"math"

	"troutusher/internal/settings"
	"troutusher/internal/wire"
	"troutusher/policy"
)

// instance is one hosted instance.
type instance struct {
	engine               *policy.Engine
	remainingAt, limitAt int // places of the load values in a report; -1 when absent
	kinds                int
	events               []policy.Event
	queued               bool
}

// host keeps the instances of one process apart and the lists they share.
type host struct {
	instances  map[uint16]*instance
	lists      [16][]policy.EndpointUpdate
	order      []uint16 // relays with events in this turn, by first event
	actions    []policy.Action
	reply      []wire.Action
	replyFrame []byte
}

func newHost() *host { return &host{instances: map[uint16]*instance{}} }

// handleFrame reads one frame and returns its reply.
func (h *host) handleFrame(in io.Reader) ([]byte, error) {
	clock, events, err := wire.ReadBatch(in)
	if err != nil {
		return nil, err
	}
	if clock > math.MaxInt64 {
		return nil, fmt.Errorf("batch header: clock %d is out of range", clock)
	}
	now := policy.Time(clock)
	h.reply, h.order = h.reply[:0], h.order[:0]
	for i := range events {
		if err := h.handleRecord(now, &events[i]); err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
	}
	for _, id := range h.order {
		if r := h.instances[id]; r != nil && r.queued {
			h.stepInstance(now, id, r)
		}
	}
	h.replyFrame, err = wire.AppendReply(h.replyFrame[:0], h.reply)
	return h.replyFrame, err
}

func (h *host) stepInstance(now policy.Time, id uint16, r *instance) {
	h.actions = r.engine.Step(now, r.events, h.actions[:0])
	r.events, r.queued = r.events[:0], false
	for i := range h.actions {
		h.reply = append(h.reply, wireAction(id, &h.actions[i]))
	}
}

// handleRecord hands an event to its instance, or changes the host's own tables.
func (h *host) handleRecord(now policy.Time, e *wire.Event) error {
	switch e.Code {
	case wire.EvTable:
		list := make([]policy.EndpointUpdate, len(e.Entries))
		for i, x := range e.Entries {
			list[i] = policy.EndpointUpdate{Endpoint: policy.EndpointID(x.Endpoint), Zone: int(x.Zone), Kind: int(x.Kind),
				Destination: int(x.Dest), State: policy.Readiness(x.State), Rate: float64(x.Nominal)}
		}
		h.lists[e.Sheet] = list
		return nil
	case wire.EvUp:
		r, err := newInstance(e)
		if err != nil {
			h.reply = append(h.reply, wire.Action{Code: wire.ActBug, Relay: e.Relay, Text: err.Error()})
			delete(h.instances, e.Relay)
			return nil
		}
		h.instances[e.Relay] = r
		return nil
	case wire.EvPowerOff:
		delete(h.instances, e.Relay)
		return nil
	}
	r := h.instances[e.Relay]
	if r == nil {
		return nil // an event for a life that is over
	}
	ev, ok := h.policyEvent(r, e)
	if !ok {
		return nil
	}
	r.events = append(r.events, ev)
	if !r.queued {
		r.queued = true
		h.order = append(h.order, e.Relay)
	}
	return nil
}

var outcomeByStatus = map[uint8]policy.Outcome{wire.StatusOK: policy.Delivered, wire.StatusError: policy.Failed,
	wire.StatusFull: policy.Rejected, wire.StatusLate: policy.TimedOut, wire.StatusNoConn: policy.ConnectFailed,
	wire.StatusReset: policy.ConnectionReset, wire.StatusCancel: policy.Cancelled, wire.StatusMoot: policy.NotSent}

var updateKindBySync = map[uint8]policy.ListUpdateKind{wire.SyncDelta: policy.ListDelta, wire.SyncFull: policy.ListFull,
	wire.SyncCached: policy.ListCached, wire.SyncFailed: policy.ListFailed}

// policyEvent maps a record to the interface's words.
func (h *host) policyEvent(r *instance, e *wire.Event) (policy.Event, bool) {
	ev := policy.Event{Message: e.Ticket, Endpoint: policy.EndpointID(e.Endpoint), Attempt: int(e.Attempt),
		Latency: policy.Time(e.Took), Outcome: outcomeByStatus[e.Status]}
	if e.Reports > 0 {
		ev.Load = policy.LoadReport{Remaining: reportValue(e, r.remainingAt), Limit: reportValue(e, r.limitAt)}
	}
	switch e.Code {
	case wire.EvSync:
		ev.Kind, ev.ListUpdate = policy.EvListUpdated, updateKindBySync[e.Kind]
		if ev.ListUpdate != policy.ListFailed {
			ev.Updates = h.lists[e.Sheet]
		}
	case wire.EvCall:
		ev.Kind, ev.Key, ev.TimeLeft, ev.Class = policy.EvMessageSubmitted, e.Subject, policy.Time(e.Grace), int(e.Class)
		ev.Destination, ev.Tenant = int(e.Dest), int(e.Tenant)
		if e.Flags&1 != 0 {
			ev.EstimatedCost = policy.Time(e.Estimate)
		}
	case wire.EvBegun:
		ev.Kind = policy.EvReplyStarted
	case wire.EvResolved:
		ev.Kind, ev.MessageFinished = policy.EvAttemptEnded, e.Settled
		switch ev.Outcome {
		case policy.Rejected:
			ev.RetryAfter = policy.Time(e.Note) * 1000
		case policy.NotSent:
			ev.NoFreeSlot = e.Note == 1
		}
	case wire.EvLapsed:
		ev.Kind = policy.EvMessageWithdrawn
	case wire.EvAlarm:
		ev.Kind, ev.Token = policy.EvTimer, e.Token
	case wire.EvHealth:
		ev.Kind = policy.EvHealthChecked
	default:
		return ev, false
	}
	return ev, true
}

func reportValue(e *wire.Event, at int) float64 {
	if at < 0 || at >= e.Reports {
		return 0
	}
	return float64(e.Report[at])
}

// wireAction maps the interface's words to a record.
func wireAction(id uint16, a *policy.Action) wire.Action {
	w := wire.Action{Relay: id, Ticket: a.Message, Endpoint: uint64(a.Endpoint), Attempt: uint8(a.Attempt),
		At: uint64(a.TimeoutAt), Token: a.Token, Text: a.Text}
	w.After = uint32(min(max(a.After, 0), math.MaxUint32))
	switch a.Kind {
	case policy.ActSend:
		w.Code = wire.ActDeliver
	case policy.ActReject:
		w.Code = wire.ActRefuse
	case policy.ActFail:
		w.Code = wire.ActLose
	case policy.ActCancel:
		w.Code = wire.ActCancel
	case policy.ActTimer:
		w.Code = wire.ActRemind
	case policy.ActHealthCheck:
		w.Code = wire.ActProbe
	case policy.ActCloseIdle:
		w.Code = wire.ActClose
	case policy.ActWatch:
		w.Code, w.On = wire.ActListen, true
	case policy.ActFetch:
		w.Code = wire.ActRead
	case policy.ActLog:
		w.Code = wire.ActLog
	}
	return w
}

// newInstance makes an instance from its settings text.
func newInstance(e *wire.Event) (*instance, error) {
	s, err := wire.ParseSettings(e.Text)
	if err != nil {
		return nil, err
	}
	set, err := settings.ForPolicy(s)
	if err != nil {
		return nil, err
	}
	p, err := policy.New(set, e.Token)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := &instance{engine: p, remainingAt: -1, limitAt: -1}
	for i, f := range s.Report.Fields {
		switch f {
		case "x0":
			r.remainingAt = i
		case "x1":
			r.limitAt = i
		}
	}
	return r, nil
}
