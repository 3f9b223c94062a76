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
	// maxConnAttempts is the maximum number of connections on which the relay starts to
	// write one call.
	maxConnAttempts = 4
	// lateResponseGrace is the time for reading a response that has already arrived
	// when its call is cancelled or times out.
	lateResponseGrace = 10 * time.Millisecond
)

// CallOptions configure a [Call].
type CallOptions struct {
	// SendBy is the latest time, by the pool's clock, at which the last byte may be
	// written; after it the call is not sent. 0 means no limit.
	SendBy policy.Time
	// WarmingUp reports that the endpoint is warming up, which means that it recovers from
	// an outage and gets calls at a limited rate. Its TLS connections are then opened one at
	// a time. The endpoint's TLS settings can also give a handshake a cost, which counts
	// against that rate (see ChargesHandshakes in package tlsdial). If they do, only calls
	// with MayConnect open connections to the endpoint.
	WarmingUp bool
	// MayConnect reports that the policy has charged the handshake for a new connection
	// against the endpoint's rate, so that this call may open one.
	MayConnect bool
	// OnSent is called after the last byte is written; it may be nil.
	OnSent func()
	// ElapsedBefore is how long the call was already in flight in another process.
	ElapsedBefore time.Duration
}

// Call is one call to an endpoint. Exactly one of [Call.Do], which sends it, and
// [Call.Adopt], which continues a call of another process, is called, and only once.
type Call struct {
	ctx           context.Context
	cancel        context.CancelCauseFunc
	sendBy        policy.Time
	onSent        func()
	elapsedBefore time.Duration
	connRequest   connRequest

	mu        sync.Mutex
	conn      *poolConn // nil until the last byte is written
	suspended bool      // the call waits for a value from resumeHere
	// resumeHere is nil unless InFlight.Suspend has asked the call to suspend. The channel
	// then receives true if the call continues in this process, and false if another
	// process has adopted it.
	resumeHere chan bool
}

// NewCall returns a call that is cancelled when ctx is done. The caller must call
// [Call.Release] when it no longer needs the call.
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

// Cancel cancels the call. Its result states whether the call may have run.
func (c *Call) Cancel() { c.cancel(errCancelled) }

// Release frees the resources of the call. A call that is still in flight ends.
func (c *Call) Release() { c.cancel(nil) }

// Do acquires a connection, writes the request and reads the response. It calls report
// once, as soon as the result is certain, and returns when the call's connection carries
// no more data of the call. It does not call report if another process has adopted the
// call; see [InFlight.Abandon].
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
	endpoint.pool.closeUnconfirmed(request.ID)
	c.connRequest.repeatable = request.Repeatable
	conn, outcome, err := c.send(ctx, endpoint, text)
	if err != nil {
		report(c.unsentResult(outcome, err, start))
		return
	}
	conn.message, conn.repeatable = request.ID, request.Repeatable
	c.markSent(conn)
	if c.onSent != nil {
		c.onSent()
	}
	c.awaitResponse(ctx, conn, req, start, request.LoadFields, report)
}

// unsentResult returns the result of a call whose last byte was not written. If the call was
// stopped for a handover, its outcome is NotSent even if a connection attempt failed: the relay
// broke that attempt off itself, so the failure says nothing about the endpoint.
func (c *Call) unsentResult(outcome policy.Outcome, err error, start time.Time) Result {
	result := Result{Outcome: outcome, Err: err, ConnectionsOpened: c.connRequest.opened}
	if errors.Is(context.Cause(c.ctx), errHandedOver) {
		result.Outcome = policy.NotSent
	}
	var budget handshakeBudgetError
	var retryAfter sendgate.RetryAfterError
	switch {
	case errors.As(err, &budget):
		result.RetryAfter = budget.retryAfter.Microseconds()
	case errors.As(err, &retryAfter):
		result.RetryAfter = retryAfter.Remaining
	}
	result.Elapsed = elapsedSince(start)
	return result
}

// send asks the send gate for a permit, acquires a connection and writes the request to
// it. An error means that the last byte was not written. If a connection breaks before the
// request's last byte is written, send tries another connection, up to maxConnAttempts in
// all: an endpoint cannot run a call that it received in part.
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
			return conn, 0, nil // from here the caller closes the connection when ctx ends
		}
		if sendgate.IsRefusal(err) {
			return nil, policy.NotSent, err
		}
		if rejected := conn.recordAlert(err); rejected != nil { // the call did not run
			return nil, policy.NotSent, rejected
		}
		if attemptsLeft == 0 || ctx.Err() != nil {
			return nil, policy.ConnectFailed, err
		}
		permit.Restart()
	}
}

// trySend writes the request to the connection. An error means that the last byte was
// not written and that the connection was released or closed.
func (c *poolConn) trySend(ctx context.Context, permit *sendgate.Permit, request []byte) error {
	c.remaining = maxResponseBytes
	unwatch := context.AfterFunc(ctx, func() { c.expireAt(pastDeadline) })
	untouched, err := c.writeRequest(ctx, permit, request)
	unwatched := unwatch() // if false, the deadline may still be set at any moment
	switch {
	case err == nil:
	case untouched && unwatched:
		c.release()
	default:
		c.discard()
	}
	return err
}

// awaitResponse waits for the response to a request whose last byte was written, and
// reports its result. Then it returns the connection to the pool, or closes it if it
// cannot carry another call. It reports nothing if another process continues the call.
func (c *Call) awaitResponse(
	ctx context.Context,
	conn *poolConn,
	req *http.Request,
	start time.Time,
	loadFields []string,
	report func(Result),
) {
	// When ctx ends, a response that has already arrived is still read, within
	// lateResponseGrace: it may contain a Retry-After time.
	unwatch := context.AfterFunc(ctx, func() { conn.expireAt(time.Now().Add(lateResponseGrace)) })
	if !c.awaitFirstByte(ctx, conn) {
		unwatch()
		conn.discard()
		return
	}
	reported, discarded := false, false
	var delayed *Result
	keep := readAnswer(conn, req, loadFields, func(result Result) {
		reported = true
		result.ConnectionsOpened = c.connRequest.opened
		result.Elapsed = elapsedSince(start) - result.confirmedAfter.Microseconds()
		if result.Outcome == policy.ConnectionReset {
			result.Outcome = outcomeWithoutResponse(ctx)
		}
		// The error may be a TLS alert by which the endpoint rejects the relay's certificate. It
		// is recorded but does not change the outcome, because the call may have run.
		_ = conn.recordAlert(result.Err)
		if result.Outcome != policy.Delivered && (result.Err != nil || result.Malformed) {
			// The connection is closed before the result is reported. The message may be sent
			// again as soon as the result is known, and if this connection were still open
			// then, the endpoint would count this call and the new one as two copies of the
			// message.
			conn.discard()
			discarded = true
		}
		if conn.unconfirmed(time.Now()) {
			// The result is reported once closeUnconfirmed can find the connection.
			delayed = &result
			return
		}
		// With status 200 the result is reported before the header and the body are read, unless the
		// response had to be confirmed.
		// responseReadTimeout, which started at the first byte, bounds the time for reading them.
		report(result)
	})
	switch ended := !unwatch(); {
	case discarded:
	case ended || !reported || !keep:
		conn.discard()
	default:
		conn.release()
	}
	if delayed != nil {
		report(*delayed)
	}
}

// outcomeWithoutResponse returns the outcome of a call that was written completely but
// received no response.
func outcomeWithoutResponse(ctx context.Context) policy.Outcome {
	switch {
	case errors.Is(context.Cause(ctx), errCancelled):
		return policy.Cancelled
	case ctx.Err() != nil:
		return policy.TimedOut
	}
	return policy.ConnectionReset
}
