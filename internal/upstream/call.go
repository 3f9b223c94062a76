package upstream

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"troutusher/internal/sendgate"
	"troutusher/policy"
)

const (
	// maxConnAttempts is on how many connections the writing of one call is begun.
	maxConnAttempts = 4
	// lateResponseGrace is for what has come of a response by the time that its call
	// is given up.
	lateResponseGrace = 10 * time.Millisecond
)

// CallOptions are what a [Call] may do.
type CallOptions struct {
	// SendBy is the moment by which the last byte is written, or never is; 0 for any
	// time.
	SendBy policy.Time
	// WarmingUp has connections over TLS opened one at a time, by calls that
	// MayConnect.
	WarmingUp bool
	// MayConnect reports that the policy has counted on a connection being opened.
	MayConnect bool
	// OnSent is called once the last byte is written; it may be nil.
	OnSent func()
	// ElapsedBefore is for how long the call was in flight in another process.
	ElapsedBefore time.Duration
}

// Call is one call to an endpoint. It is made by [Call.Do] or goes on by
// [Call.Adopt], once.
type Call struct {
	ctx           context.Context
	cancel        context.CancelCauseFunc
	sendBy        policy.Time
	onSent        func()
	elapsedBefore time.Duration
	connRequest   connRequest

	mu        sync.Mutex
	conn      *poolConn // once its last byte is written
	suspended bool
	// resumeHere is there once the call is to be suspended; then it says whether the
	// call goes on in this process.
	resumeHere chan bool
}

// NewCall returns a call that ends with ctx at the latest. [Call.Release] has to be
// called once it is not needed any more.
func NewCall(ctx context.Context, options CallOptions) *Call {
	ctx, cancel := context.WithCancelCause(ctx)
	return &Call{
		ctx:           ctx,
		cancel:        cancel,
		sendBy:        options.SendBy,
		onSent:        options.OnSent,
		elapsedBefore: options.ElapsedBefore,
		connRequest:   connRequest{warmingUp: options.WarmingUp, mayConnect: options.MayConnect},
	}
}

// Cancel gives the call up. Its result says whether it may have run.
func (c *Call) Cancel() { c.cancel(errCancelled) }

// Release frees what the call holds. It ends one that is in flight.
func (c *Call) Release() { c.cancel(nil) }

// Do makes the call. It reports the result once, as soon as that is certain, and
// returns when the call's connection carries nothing of it any more.
func (c *Call) Do(endpoint *Endpoint, request Request, report func(Result)) {
	start := time.Now()
	ctx, cancel := context.WithTimeoutCause(c.ctx, request.Timeout, context.DeadlineExceeded)
	defer cancel()
	req, err := newCallRequest(endpoint.address, &request)
	if err != nil {
		report(Result{Outcome: policy.NotSent, Err: err, Elapsed: elapsedSince(start)})
		return
	}
	text, err := encodeRequest(req)
	if err != nil {
		report(Result{Outcome: policy.NotSent, Err: err, Elapsed: elapsedSince(start)})
		return
	}
	conn, outcome, err := c.send(ctx, endpoint, text)
	if err != nil {
		report(c.unsentResult(outcome, err, start))
		return
	}
	c.markSent(conn)
	if c.onSent != nil {
		c.onSent()
	}
	c.awaitResponse(ctx, conn, req, start, request.LoadFields, report)
}

// unsentResult is the result of a call whose last byte was not written.
func (c *Call) unsentResult(outcome policy.Outcome, err error, start time.Time) Result {
	result := Result{Outcome: outcome, Err: err, ConnectionsOpened: c.connRequest.opened}
	if errors.Is(context.Cause(c.ctx), errHandedOver) {
		result.Outcome = policy.NotSent
	}
	var budget handshakeBudgetError
	var held sendgate.RetryAfterError
	switch {
	case errors.As(err, &budget):
		result.RetryAfter = budget.retryAfter.Microseconds()
	case errors.As(err, &held):
		result.RetryAfter = held.Remaining
	}
	result.Elapsed = elapsedSince(start)
	return result
}

// send gets a connection and writes the request to it. With an error, its last byte
// was not written. A connection that turns out to be of no use before then is
// replaced: nothing of the call counts so far.
func (c *Call) send(ctx context.Context, endpoint *Endpoint, request []byte) (*poolConn, policy.Outcome, error) {
	permit, err := endpoint.gate.Acquire(endpoint.pool.now(), c.cancel)
	if err != nil {
		return nil, policy.NotSent, err
	}
	defer permit.Release()
	permit.SendBy = c.sendBy
	for attemptsLeft := maxConnAttempts - 1; ; attemptsLeft-- {
		conn, err := endpoint.acquire(ctx, &c.connRequest)
		if reason := permit.StopReason(); err != nil && (reason != nil || notAttempted(err)) {
			return nil, policy.NotSent, cmp.Or(reason, err)
		}
		if err != nil {
			return nil, policy.ConnectFailed, err
		}
		if err = conn.trySend(ctx, permit, request); err == nil {
			return conn, 0, nil // the caller watches on
		}
		if sendgate.IsRefusal(err) {
			return nil, policy.NotSent, err
		}
		if rejected := conn.recordAlert(err); rejected != nil { // nothing ran
			return nil, policy.NotSent, rejected
		}
		if attemptsLeft == 0 || ctx.Err() != nil {
			return nil, policy.ConnectFailed, err
		}
		permit.Restart()
	}
}

// trySend writes the request to a connection. With an error, its last byte was not
// written, and the connection is given back or closed.
func (c *poolConn) trySend(ctx context.Context, permit *sendgate.Permit, request []byte) error {
	c.remaining = maxResponseBytes
	unwatch := context.AfterFunc(ctx, func() { c.expireAt(pastDeadline) })
	untouched, err := c.writeRequest(ctx, permit, request)
	unwatched := unwatch() // else its deadline may be set at any moment
	switch {
	case err == nil:
	case untouched && unwatched:
		c.release()
	default:
		c.discard()
	}
	return err
}

// awaitResponse waits for the response to a request that is written.
func (c *Call) awaitResponse(
	ctx context.Context,
	conn *poolConn,
	req *http.Request,
	start time.Time,
	loadFields []string,
	report func(Result),
) {
	// What has come already is read all the same: it may be a Retry-After time.
	unwatch := context.AfterFunc(ctx, func() { conn.expireAt(time.Now().Add(lateResponseGrace)) })
	if !c.awaitFirstByte(ctx, conn) {
		unwatch()
		conn.discard()
		return
	}
	reported, discarded := false, false
	keep := readResponse(conn, req, loadFields, func(result Result) {
		reported = true
		result.ConnectionsOpened = c.connRequest.opened
		result.Elapsed = elapsedSince(start)
		if result.Outcome == policy.ConnectionReset {
			result.Outcome = outcomeWithoutResponse(ctx)
		}
		_ = conn.recordAlert(result.Err) // the result stays as it is
		if result.Outcome != policy.Delivered && (result.Err != nil || result.Malformed) {
			// The message may be sent again as soon as the result is reported, and the
			// endpoint counts two copies for as long as this connection is open.
			conn.discard()
			discarded = true
		}
		// Nobody waits for the call any more; what is left of its response has its
		// own bound.
		report(result)
	})
	switch ended := !unwatch(); {
	case discarded:
	case ended || !reported || !keep:
		conn.discard()
	default:
		conn.release()
	}
}

// outcomeWithoutResponse is the outcome of a call that was written and has no
// response.
func outcomeWithoutResponse(ctx context.Context) policy.Outcome {
	switch {
	case errors.Is(context.Cause(ctx), errCancelled):
		return policy.Cancelled
	case ctx.Err() != nil:
		return policy.TimedOut
	}
	return policy.ConnectionReset
}
