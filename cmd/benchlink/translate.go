package main

import (
	"math"

	"troutusher/internal/wire"
	"troutusher/policy"
)

const (
	flagEstimate = 1 // Flags of an EvCall: its Estimate is valid
	noteNoSlot   = 1 // Note of an EvResolved with StatusMoot: all slots for calls were taken
)

var outcomeByStatus = map[uint8]policy.Outcome{
	wire.StatusOK:     policy.Delivered,
	wire.StatusError:  policy.Failed,
	wire.StatusFull:   policy.Rejected,
	wire.StatusLate:   policy.TimedOut,
	wire.StatusNoConn: policy.ConnectFailed,
	wire.StatusReset:  policy.ConnectionReset,
	wire.StatusCancel: policy.Cancelled,
	wire.StatusMoot:   policy.NotSent,
}

var updateKindBySync = map[uint8]policy.ListUpdateKind{
	wire.SyncDelta:  policy.ListDelta,
	wire.SyncFull:   policy.ListFull,
	wire.SyncCached: policy.ListCached,
	wire.SyncFailed: policy.ListFailed,
}

// reportLayout holds the positions of the known values within a load report, -1 for a value that the report lacks.
type reportLayout struct{ remaining, limit int }

// newReportLayout finds the positions of two values among the names of a load report's fields: x0, the share of the
// endpoint's capacity that remains, and x1, its limit.
func newReportLayout(fields []string) reportLayout {
	layout := reportLayout{remaining: -1, limit: -1}
	for i, field := range fields {
		switch field {
		case "x0":
			layout.remaining = i
		case "x1":
			layout.limit = i
		}
	}
	return layout
}

func (l reportLayout) loadReport(record *wire.Event) policy.LoadReport {
	return policy.LoadReport{Remaining: reportValue(record, l.remaining), Limit: reportValue(record, l.limit)}
}

// reportValue returns the value at a position of a record's load report, 0 if the report has none there.
func reportValue(record *wire.Event, position int) float64 {
	if position < 0 || position >= record.Reports {
		return 0
	}
	return float64(record.Report[position])
}

// endpointUpdates converts a list of endpoints of the wire to updates for the policy.
func endpointUpdates(entries []wire.Entry) []policy.EndpointUpdate {
	updates := make([]policy.EndpointUpdate, len(entries))
	for i, entry := range entries {
		updates[i] = policy.EndpointUpdate{
			Endpoint:    policy.EndpointID(entry.Endpoint),
			Zone:        int(entry.Zone),
			Kind:        int(entry.Kind),
			Destination: int(entry.Dest),
			State:       policy.Readiness(entry.State),
			Rate:        float64(entry.Nominal),
		}
	}
	return updates
}

// policyEvent converts a record to an event of the policy. It returns false for a record that the policy has no event
// for.
func (h *host) policyEvent(instance *instance, record *wire.Event) (policy.Event, bool) {
	event := policy.Event{
		Message:  record.Ticket,
		Endpoint: policy.EndpointID(record.Endpoint),
		Attempt:  int(record.Attempt),
		Latency:  policy.Time(record.Took),
		Outcome:  outcomeByStatus[record.Status],
	}
	if record.Reports > 0 {
		event.Load = instance.report.loadReport(record)
	}
	switch record.Code {
	case wire.EvSync:
		event.Kind, event.ListUpdate = policy.EvListUpdated, updateKindBySync[record.Kind]
		if event.ListUpdate != policy.ListFailed {
			event.Updates = h.lists[record.Sheet]
		}
	case wire.EvCall:
		fillMessage(&event, record)
	case wire.EvBegun:
		event.Kind = policy.EvReplyStarted
	case wire.EvResolved:
		fillEndOfAttempt(&event, record)
	case wire.EvLapsed:
		event.Kind = policy.EvMessageWithdrawn
	case wire.EvAlarm:
		event.Kind, event.Token = policy.EvTimer, record.Token
	case wire.EvHealth:
		event.Kind = policy.EvHealthChecked
	default:
		return event, false
	}
	return event, true
}

// fillMessage fills in the event of a submitted message.
func fillMessage(event *policy.Event, record *wire.Event) {
	event.Kind = policy.EvMessageSubmitted
	event.Key = record.Subject
	event.TimeLeft = policy.Time(record.Grace)
	event.Class = int(record.Class)
	event.Destination, event.Tenant = int(record.Dest), int(record.Tenant)
	if record.Flags&flagEstimate != 0 {
		event.EstimatedCost = policy.Time(record.Estimate)
	}
}

// fillEndOfAttempt fills in the event of an attempt that has ended. event.Outcome is already set.
func fillEndOfAttempt(event *policy.Event, record *wire.Event) {
	event.Kind, event.MessageFinished = policy.EvAttemptEnded, record.Settled
	switch event.Outcome {
	case policy.Rejected:
		const microsecondsPerMillisecond = 1000
		event.RetryAfter = policy.Time(record.Note) * microsecondsPerMillisecond
	case policy.NotSent:
		event.NoFreeSlot = record.Note == noteNoSlot
	}
}

// wireAction converts an action of a relay's policy to a record.
func wireAction(relay uint16, action *policy.Action) wire.Action {
	record := wire.Action{
		Relay:    relay,
		Ticket:   action.Message,
		Endpoint: uint64(action.Endpoint),
		Attempt:  uint8(action.Attempt),
		At:       uint64(action.TimeoutAt),
		After:    uint32(min(max(action.After, 0), math.MaxUint32)),
		Token:    action.Token,
		Text:     action.Text,
	}
	switch action.Kind {
	case policy.ActSend:
		record.Code = wire.ActDeliver
	case policy.ActReject:
		record.Code = wire.ActRefuse
	case policy.ActFail:
		record.Code = wire.ActLose
	case policy.ActCancel:
		record.Code = wire.ActCancel
	case policy.ActTimer:
		record.Code = wire.ActRemind
	case policy.ActHealthCheck:
		record.Code = wire.ActProbe
	case policy.ActCloseIdle:
		record.Code = wire.ActClose
	case policy.ActWatch:
		record.Code, record.On = wire.ActListen, true
	case policy.ActFetch:
		record.Code = wire.ActRead
	case policy.ActLog:
		record.Code = wire.ActLog
	}
	return record
}
