package main

import (
	"math"

	"troutusher/internal/wire"
	"troutusher/policy"
)

const (
	flagEstimate = 1 // of an EvCall: its estimate counts
	noteNoSlot   = 1 // of an EvResolved that was moot: all slots were taken
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

// reportLayout says at which places of a load report its values stand; -1 where they do not.
type reportLayout struct{ remaining, limit int }

// newReportLayout finds the places of x0, the share that is left, and of x1, the limit.
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

func reportValue(record *wire.Event, at int) float64 {
	if at < 0 || at >= record.Reports {
		return 0
	}
	return float64(record.Report[at])
}

// endpointUpdates maps a list of endpoints.
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

// policyEvent maps a record to an event; false for a record that has no meaning here.
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

// wireAction maps an action of an instance to a record.
func wireAction(id uint16, action *policy.Action) wire.Action {
	record := wire.Action{
		Relay:    id,
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
