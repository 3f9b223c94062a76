package main

import (
	"fmt"
	"io"
	"math"

	"troutusher/decide"
	"troutusher/internal/settings"
	"troutusher/internal/wire"
)

// relay is one hosted instance.
type relay struct {
	policy   *decide.Policy
	left, to int // places of the load values in a report; -1 when absent
	kinds    int
	events   []decide.Event
	queued   bool
}

// host keeps the instances of one process apart and the lists they share.
type host struct {
	relays  map[uint16]*relay
	lists   [16][]decide.Entry
	order   []uint16 // relays with events in this turn, by first event
	acts    []decide.Action
	reply   []wire.Action
	scratch []byte
}

func newHost() *host { return &host{relays: map[uint16]*relay{}} }

// turn reads one frame and returns its reply.
func (h *host) turn(in io.Reader) ([]byte, error) {
	clock, events, err := wire.ReadBatch(in)
	if err != nil {
		return nil, err
	}
	if clock > math.MaxInt64 {
		return nil, fmt.Errorf("batch header: clock %d is out of range", clock)
	}
	now := decide.Time(clock)
	h.reply, h.order = h.reply[:0], h.order[:0]
	for i := range events {
		if err := h.take(now, &events[i]); err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
	}
	for _, id := range h.order {
		if r := h.relays[id]; r != nil && r.queued {
			h.step(now, id, r)
		}
	}
	h.scratch, err = wire.AppendReply(h.scratch[:0], h.reply)
	return h.scratch, err
}

func (h *host) step(now decide.Time, id uint16, r *relay) {
	h.acts = r.policy.Step(now, r.events, h.acts[:0])
	r.events, r.queued = r.events[:0], false
	for i := range h.acts {
		h.reply = append(h.reply, action(id, &h.acts[i]))
	}
}

// take hands an event to its instance, or changes the host's own tables.
func (h *host) take(now decide.Time, e *wire.Event) error {
	switch e.Code {
	case wire.EvTable:
		list := make([]decide.Entry, len(e.Entries))
		for i, x := range e.Entries {
			list[i] = decide.Entry{Endpoint: decide.Endpoint(x.Endpoint), Zone: int(x.Zone), Kind: int(x.Kind),
				Dest: int(x.Dest), State: decide.Readiness(x.State), Rate: float64(x.Nominal)}
		}
		h.lists[e.Sheet] = list
		return nil
	case wire.EvUp:
		r, err := start(e)
		if err != nil {
			h.reply = append(h.reply, wire.Action{Code: wire.ActBug, Relay: e.Relay, Text: err.Error()})
			delete(h.relays, e.Relay)
			return nil
		}
		h.relays[e.Relay] = r
		return nil
	case wire.EvPowerOff:
		delete(h.relays, e.Relay)
		return nil
	}
	r := h.relays[e.Relay]
	if r == nil {
		return nil // an event for a life that is over
	}
	ev, ok := h.event(r, e)
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

var outcomes = map[uint8]decide.Outcome{wire.StatusOK: decide.Delivered, wire.StatusError: decide.Errored,
	wire.StatusFull: decide.Full, wire.StatusLate: decide.TimedOut, wire.StatusNoConn: decide.NoConnect,
	wire.StatusReset: decide.Reset, wire.StatusCancel: decide.Cancelled, wire.StatusMoot: decide.NotSent}

var listNews = map[uint8]decide.ListNews{wire.SyncDelta: decide.ListChange, wire.SyncFull: decide.ListFull,
	wire.SyncCached: decide.ListCached, wire.SyncFailed: decide.ListFailed}

// event maps a record to the interface's words.
func (h *host) event(r *relay, e *wire.Event) (decide.Event, bool) {
	ev := decide.Event{Message: e.Ticket, Endpoint: decide.Endpoint(e.Endpoint), Attempt: int(e.Attempt),
		Took: decide.Time(e.Took), Outcome: outcomes[e.Status]}
	if e.Reports > 0 {
		ev.Load = decide.Load{Left: value(e, r.left), Limit: value(e, r.to)}
	}
	switch e.Code {
	case wire.EvSync:
		ev.Kind, ev.List = decide.EvList, listNews[e.Kind]
		if ev.List != decide.ListFailed {
			ev.Entries = h.lists[e.Sheet]
		}
	case wire.EvCall:
		ev.Kind, ev.Key, ev.Left, ev.Class = decide.EvMessage, e.Subject, decide.Time(e.Grace), int(e.Class)
		ev.Dest, ev.Tenant = int(e.Dest), int(e.Tenant)
		if e.Flags&1 != 0 {
			ev.Work = decide.Time(e.Estimate)
		}
	case wire.EvBegun:
		ev.Kind = decide.EvBegun
	case wire.EvResolved:
		ev.Kind, ev.Settled = decide.EvOutcome, e.Settled
		switch ev.Outcome {
		case decide.Full:
			ev.Wait = decide.Time(e.Note) * 1000
		case decide.NotSent:
			ev.Slots = e.Note == 1
		}
	case wire.EvLapsed:
		ev.Kind = decide.EvWithdraw
	case wire.EvAlarm:
		ev.Kind, ev.Token = decide.EvTimer, e.Token
	case wire.EvHealth:
		ev.Kind = decide.EvProbed
	default:
		return ev, false
	}
	return ev, true
}

func value(e *wire.Event, at int) float64 {
	if at < 0 || at >= e.Reports {
		return 0
	}
	return float64(e.Report[at])
}

// action maps the interface's words to a record.
func action(id uint16, a *decide.Action) wire.Action {
	w := wire.Action{Relay: id, Ticket: a.Message, Endpoint: uint64(a.Endpoint), Attempt: uint8(a.Attempt),
		At: uint64(a.At), Token: a.Token, Text: a.Text}
	w.After = uint32(min(max(a.After, 0), math.MaxUint32))
	switch a.Kind {
	case decide.ActSend:
		w.Code = wire.ActDeliver
	case decide.ActRefuse:
		w.Code = wire.ActRefuse
	case decide.ActFail:
		w.Code = wire.ActLose
	case decide.ActCancel:
		w.Code = wire.ActCancel
	case decide.ActTimer:
		w.Code = wire.ActRemind
	case decide.ActProbe:
		w.Code = wire.ActProbe
	case decide.ActClose:
		w.Code = wire.ActClose
	case decide.ActWatch:
		w.Code, w.On = wire.ActListen, true
	case decide.ActFetch:
		w.Code = wire.ActRead
	case decide.ActLog:
		w.Code = wire.ActLog
	}
	return w
}

// start makes an instance from its settings text.
func start(e *wire.Event) (*relay, error) {
	s, err := wire.ParseSettings(e.Text)
	if err != nil {
		return nil, err
	}
	set, err := settings.Policy(s)
	if err != nil {
		return nil, err
	}
	p, err := decide.New(set, e.Token)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := &relay{policy: p, left: -1, to: -1}
	for i, f := range s.Report.Fields {
		switch f {
		case "x0":
			r.left = i
		case "x1":
			r.to = i
		}
	}
	return r, nil
}
