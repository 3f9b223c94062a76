package relay

import (
	"time"

	"troutusher/internal/config"
	"troutusher/internal/core"
	"troutusher/internal/upstream"
	"troutusher/policy"
)

// callRequest returns the request to send for an attempt of the core.
func callRequest(call *core.Call, cfg *config.Config) upstream.Request {
	class := cfg.Policy.Classes[cfg.Classes[call.Record.Class]]
	return upstream.Request{
		ID:             call.Record.ID,
		IdempotencyKey: call.Record.Key,
		Repeatable:     class.Idempotency != policy.NonIdempotent,
		Body:           call.Record.Body,
		Timeout:        time.Duration(call.Timeout) * time.Microsecond,
		LoadFields:     cfg.LoadReportFields,
	}
}

// coreResult converts the result of a call or a health check to the core's type.
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
