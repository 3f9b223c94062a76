package relay

import (
	"time"

	"troutusher/internal/core"
	"troutusher/internal/upstream"
)

// callRequest returns what an attempt of the core sends.
func callRequest(call *core.Call, loadFields []string) upstream.Request {
	return upstream.Request{
		ID:             call.Record.ID,
		IdempotencyKey: call.Record.Key,
		Body:           call.Record.Body,
		Timeout:        time.Duration(call.Timeout) * time.Microsecond,
		LoadFields:     loadFields,
	}
}

// coreResult returns the result of a call or a health check as the core takes it.
func coreResult(result upstream.Result) *core.Result {
	return &core.Result{
		Outcome:           result.Outcome,
		RetryAfter:        result.RetryAfter,
		SlotsExhausted:    result.SlotsExhausted,
		Final:             result.Final,
		ConnectionsOpened: result.ConnectionsOpened,
		Elapsed:           result.Elapsed,
		Load:              result.Load,
		Status:            result.Status,
		Malformed:         result.Malformed,
		Err:               result.Err,
	}
}
