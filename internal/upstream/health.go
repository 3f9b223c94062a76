package upstream

import (
	"cmp"
	"context"
	"time"

	"troutusher/internal/sendgate"
	"troutusher/policy"
)

const healthCheckTimeout = 2 * time.Second // a health check that takes longer fails

// CheckHealth sends a health check to the endpoint and returns its result.
func (e *Endpoint) CheckHealth(ctx context.Context) Result {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	result := e.checkHealth(ctx, cancel)
	// The check ended without a response when its time was over. If the send gate stopped it, it was
	// not sent, and that result stays.
	if ctx.Err() != nil && result.Status == 0 && !sendgate.IsRefusal(result.Err) {
		result.Outcome = policy.TimedOut
	}
	result.Elapsed = elapsedSince(start)
	return result
}

func (e *Endpoint) checkHealth(ctx context.Context, cancel context.CancelFunc) Result {
	req, err := newHealthRequest(e.address)
	if err != nil {
		return Result{Outcome: policy.NotSent, Err: err}
	}
	text, err := encodeRequest(req)
	if err != nil {
		return Result{Outcome: policy.NotSent, Err: err}
	}
	permit, err := e.gate.Acquire(e.pool.now(), func(error) { cancel() })
	if err != nil {
		return Result{Outcome: policy.NotSent, Err: err}
	}
	defer permit.Release()
	conn, err := e.acquire(ctx, &connRequest{repeatable: true, warmingUp: true, mayConnect: true})
	if reason := permit.StopReason(); err != nil && (reason != nil || notAttempted(err)) {
		return Result{Outcome: policy.NotSent, Err: cmp.Or(reason, err)}
	}
	if err != nil {
		return Result{Outcome: policy.ConnectFailed, Err: err}
	}
	conn.remaining = maxResponseBytes
	conn.message = ""
	unwatch := context.AfterFunc(ctx, func() { conn.expireAt(pastDeadline) })
	result := Result{Outcome: policy.ConnectFailed}
	keep := false
	if _, result.Err = conn.writeRequest(ctx, permit, text); result.Err == nil {
		_, keep = conn.readNext(req, nil, func(response Result) {
			result = Result{Outcome: response.Outcome, Status: response.Status, Err: response.Err}
		})
	} else if sendgate.IsRefusal(result.Err) {
		result.Outcome = policy.NotSent
	}
	if !unwatch() || !keep {
		conn.discard()
	} else {
		conn.release()
	}
	return result
}
