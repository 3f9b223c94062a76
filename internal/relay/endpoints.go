package relay

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/sendgate"
	"troutusher/internal/tlsdial"
	"troutusher/policy"
)

const (
	callPath            = "/v1/messages"
	healthPath          = "/health/live"
	maxResponseBytes    = 192 << 10              // bytes of an answer that are read, with what comes ahead of it
	responseReadTimeout = 300 * time.Millisecond // from an answer's first byte to its last: it is written at once
	lateResponseGrace   = 10 * time.Millisecond  // for what has come of an answer by the time that it is given up
	maxConnAttempts     = 4                      // connections on which one call is begun
	maxInterimResponses = 8                      // 1xx answers ahead of the last
	healthCheckTimeout  = 2 * time.Second        // a probe that takes longer has failed
	maxRetryAfter       = 10 * time.Minute
	maxLoad             = 1e6 // no figure of a load report is higher
)

var ErrCancelled = errors.New("cancelled")

// Call is one call out.
type Call struct {
	SendBy        policy.Time // its last byte goes out by then or never; 0 for any time
	OnSent        func()      // told once its last byte is written; may be nil
	ctx           context.Context
	cancel        context.CancelCauseFunc
	elapsedBefore time.Duration // it was out for so long in another process
	connRequest   connRequest   // of a connection over TLS

	mu         sync.Mutex
	conn       *poolConn // once its last byte is out
	resumeHere chan bool // it is to come to rest; then: whether to go on here
	suspended  bool
}

// Result is what became of a call or a probe.
type Result struct {
	Outcome           policy.Outcome
	RetryAfter        policy.Time
	SlotsExhausted    bool // not sent, since all slots were taken
	ConnectionsOpened int  // connections over TLS that were opened for it
	Final             bool // the message is over
	Elapsed           policy.Time
	Load              policy.LoadReport
	Status            int
	Malformed         bool // an answer came and cannot be believed
	Err               error
}

// coreResult is the outcome in the core's words.
func (o *Result) coreResult() *core.Result {
	return &core.Result{Outcome: o.Outcome, RetryAfter: o.RetryAfter, SlotsExhausted: o.SlotsExhausted, Final: o.Final, ConnectionsOpened: o.ConnectionsOpened, Elapsed: o.Elapsed, Load: o.Load,
		Status: o.Status, Malformed: o.Malformed, Err: o.Err}
}

// newCallRequest makes the request of a call. Its GetBody stays nil.
func newCallRequest(hostPort, id, key string, body []byte, timeout time.Duration) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+hostPort+callPath, nil)
	if err != nil {
		return nil, err
	}
	if req.ContentLength = int64(len(body)); len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	req.Header.Set("X-Request-ID", id)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	req.Header["User-Agent"] = nil
	return req, nil
}

// Do makes the call. It tells what became of it once, as soon as that is
// certain, and returns when the call's connection carries nothing of it any
// more.
func (c *Call) Do(h *Endpoint, rec *record, limit time.Duration, loads []string, tell func(Result)) {
	began := time.Now()
	ctx, cancel := context.WithTimeoutCause(c.ctx, limit, context.DeadlineExceeded)
	defer cancel()
	end := func(what policy.Outcome, err error) {
		tell(Result{Outcome: what, Err: err, Elapsed: time.Since(began).Microseconds()})
	}
	req, err := newCallRequest(h.addr, rec.ID, rec.Key, rec.Body, limit)
	if err != nil {
		end(policy.NotSent, err)
		return
	}
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		end(policy.NotSent, err)
		return
	}
	conn, what, err := c.send(ctx, h, text.Bytes())
	if err != nil {
		if errors.Is(context.Cause(c.ctx), errHandedOver) {
			what = policy.NotSent
		}
		wait := policy.Time(0) // after which it may be tried again
		var turn handshakeBudgetError
		var held sendgate.RetryAfterError
		switch {
		case errors.As(err, &turn):
			wait = turn.retryAfter.Microseconds()
		case errors.As(err, &held):
			wait = held.Remaining
		}
		tell(Result{Outcome: what, Err: err, RetryAfter: wait, ConnectionsOpened: c.connRequest.opened, Elapsed: time.Since(began).Microseconds()})
		return
	}
	c.markSent(conn)
	if c.OnSent != nil {
		c.OnSent()
	}
	c.awaitResponse(ctx, conn, req, began, loads, tell)
}

// awaitResponse waits for the answer to a call that is out.
func (c *Call) awaitResponse(ctx context.Context, conn *poolConn, req *http.Request, began time.Time, loads []string, tell func(Result)) {
	// What lies there already has come, and is heard: it may be a wait.
	unwatch := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now().Add(lateResponseGrace)) })
	if !c.awaitFirstByte(ctx, conn) {
		unwatch()
		conn.discard()
		return
	}
	told, dropped := false, false
	keep := readResponse(conn, req, loads, func(o Result) {
		told, o.ConnectionsOpened = true, c.connRequest.opened
		o.Elapsed = time.Since(began).Microseconds()
		if o.Outcome == policy.ConnectionReset {
			o.Outcome = c.outcomeWithoutResponse(ctx)
		}
		if conn.tls != nil && o.Err != nil { // its word that it does not accept us may come late: the next call is spared
			conn.tls.Endpoint().RecordAlert(o.Err)
		}
		if o.Outcome != policy.Delivered && (o.Err != nil || o.Malformed) {
			// What is told now may go out again at once, and the endpoint counts two
			// copies for as long as this connection is open.
			conn.discard()
			dropped = true
		}
		// Nobody waits for the call any more; what is left of its answer has
		// its own bound.
		tell(o)
	})
	switch over := !unwatch(); {
	case dropped:
	case over || !told || !keep:
		conn.discard()
	default:
		conn.release()
	}
}

var pastDeadline = time.Unix(1, 0)

// send gets a connection and writes the call to it. With an error, its last
// byte was not written. A connection that turns out to be of no use before
// then is replaced: nothing of the call counts so far.
func (c *Call) send(ctx context.Context, h *Endpoint, text []byte) (*poolConn, policy.Outcome, error) {
	pass, err := h.gate.Acquire(h.pool.now(), c.cancel)
	if err != nil {
		return nil, policy.NotSent, err
	}
	defer pass.Release()
	pass.SendBy = c.SendBy
	for left := maxConnAttempts - 1; ; left-- {
		conn, err := h.acquire(ctx, &c.connRequest)
		if why := pass.StopReason(); err != nil && (why != nil || notAttempted(err)) {
			return nil, policy.NotSent, cmp.Or(why, err)
		}
		if err != nil {
			return nil, policy.ConnectFailed, err
		}
		conn.remaining = maxResponseBytes
		stop := context.AfterFunc(ctx, func() { conn.SetDeadline(pastDeadline) })
		clean, err := conn.writeRequest(ctx, pass, text)
		mine := stop() // else its deadline may be set at any moment
		if err == nil {
			return conn, 0, nil // the caller watches on
		}
		if clean && mine {
			conn.release()
		} else {
			conn.discard()
		}
		if sendgate.IsRefusal(err) {
			return nil, policy.NotSent, err
		}
		if conn.tls != nil {
			if out, refused := conn.tls.Endpoint().RecordAlert(err); refused { // it has closed on who we are: nothing ran
				return nil, policy.NotSent, out
			}
		}
		if left == 0 || ctx.Err() != nil {
			return nil, policy.ConnectFailed, err
		}
		pass.Restart()
	}
}

// notAttempted reports whether there is no connection for a reason that is not the
// endpoint's health.
func notAttempted(err error) bool {
	var out *tlsdial.RejectedError
	var turn handshakeBudgetError
	return err == errPoolFull || sendgate.IsRefusal(err) || err == errConnectNotAllowed || errors.As(err, &out) || errors.As(err, &turn)
}

// outcomeWithoutResponse maps a call that was written and has no answer.
func (c *Call) outcomeWithoutResponse(ctx context.Context) policy.Outcome {
	switch {
	case errors.Is(context.Cause(ctx), ErrCancelled):
		return policy.Cancelled
	case ctx.Err() != nil:
		return policy.TimedOut
	}
	return policy.ConnectionReset
}

// readResponse reads an answer and tells its outcome: a first line with 200 is
// true whatever follows it; anything else is believed only once all of it has
// been read and makes sense, since a spoilt answer is that of a call that may
// have run. It reports whether the connection can carry another call.
func readResponse(conn *poolConn, req *http.Request, loads []string, tell func(Result)) (keep bool) {
	status, err := 0, error(nil)
	stop := func() bool { return true }
	defer func() { stop() }()
	begun := false
	for hints := 0; ; hints++ {
		var line string
		if _, err = conn.reader.Peek(1); err == nil {
			begun = true
			stop = conn.startReadTimeout(responseReadTimeout)
		}
		if line, err = peekStatusLine(conn.reader); err == nil {
			status, err = parseStatus(line)
		}
		if err == nil && status < 200 && hints >= maxInterimResponses {
			err = errors.New("too many answers ahead of the last")
		}
		if err != nil {
			o := Result{Outcome: policy.ConnectionReset, Err: err}
			if begun && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
				o.Outcome, o.Malformed = policy.Failed, true
			}
			tell(o)
			return false
		}
		if status >= 200 {
			break
		}
		// The answer itself may come much later than what is ahead of it.
		if err := skipHead(conn.reader); err != nil || !stop() {
			tell(Result{Outcome: policy.Failed, Malformed: true, Err: err})
			return false
		}
		begun = false
	}
	if status == http.StatusOK {
		tell(Result{Outcome: policy.Delivered, Final: true, Status: status})
	}
	resp, err := http.ReadResponse(conn.reader, req)
	told := policy.Time(0)
	if err == nil {
		if status == http.StatusTooManyRequests {
			// It binds from here on, whatever becomes of the rest of the answer.
			if wait, bad := parseRetryAfter(resp.Header.Get("Retry-After")); bad == nil && wait > 0 {
				told = wait
				now := conn.endpoint.pool.now()
				conn.endpoint.gate.HoldUntil(now, now+wait)
			}
		}
		if resp.ContentLength > maxBodySize {
			err = errResponseTooLarge
		} else {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		resp.Body.Close()
	}
	if status == http.StatusOK {
		return err == nil && !resp.Close
	}
	o := Result{Status: status, Err: err}
	if err == nil {
		o.Load = parseLoad(resp.Header.Get("X-Server-Load"), loads)
		o.Err = o.readHead(resp.Header)
	}
	if o.Err != nil {
		o.Outcome, o.Malformed, o.RetryAfter, o.SlotsExhausted, o.Final = policy.Failed, true, told, false, false
	}
	tell(o)
	return o.Err == nil && !resp.Close
}

// startReadTimeout gives what is left of an answer some time. The call's own limit stays.
func (c *poolConn) startReadTimeout(d time.Duration) (stop func() bool) {
	t := time.AfterFunc(d, func() { c.SetReadDeadline(pastDeadline) })
	return t.Stop
}

// readHead maps the head of an answer other than 200 to an outcome. An error means
// that the head cannot be believed.
func (o *Result) readHead(head http.Header) error {
	switch o.Status {
	case http.StatusTooManyRequests:
		wait, err := parseRetryAfter(head.Get("Retry-After"))
		if err != nil {
			return err
		}
		o.Outcome, o.RetryAfter = policy.Rejected, wait
	case http.StatusServiceUnavailable:
		if o.Outcome = policy.Rejected; head.Get("Slots-Taken") == "1" {
			o.Outcome, o.SlotsExhausted = policy.NotSent, true
		}
	case http.StatusGatewayTimeout: // has had all its attempts
		o.Outcome = policy.NotSent
	case http.StatusGone:
		o.Outcome, o.Final = policy.NotSent, true
	default: // 500, and what no page names: it may have run
		o.Outcome = policy.Failed
	}
	return nil
}

// parseRetryAfter reads seconds with decimals. None told is no wait.
func parseRetryAfter(s string) (policy.Time, error) {
	if s = strings.TrimSpace(s); s == "" {
		return 0, nil
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= 0 && v <= maxRetryAfter.Seconds()) {
		return 0, fmt.Errorf("Retry-After: %.40q", s)
	}
	return policy.Time(v * 1e6), nil
}

// parseLoad reads a report such as x0=0.4,x1=25.
func parseLoad(s string, fields []string) (l policy.LoadReport) {
	if len(fields) == 0 {
		return l
	}
	for part := range strings.SplitSeq(s, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v <= maxLoad) {
			continue
		}
		switch name {
		case "x0":
			l.Remaining = v
		case "x1":
			l.Limit = v
		}
	}
	return l
}

// checkHealth asks an endpoint whether it is alive.
func checkHealth(ctx context.Context, h *Endpoint) Result {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	o := Result{Outcome: policy.NotSent}
	if o.Err = func() error {
		req, err := http.NewRequest(http.MethodGet, "http://"+h.addr+healthPath, nil)
		if err != nil {
			return err
		}
		var text bytes.Buffer
		if err := req.Write(&text); err != nil {
			return err
		}
		pass, err := h.gate.Acquire(h.pool.now(), func(error) { cancel() })
		if err != nil {
			return err
		}
		defer pass.Release()
		conn, err := h.acquire(ctx, &connRequest{warmingUp: true, mayConnect: true})
		if why := pass.StopReason(); err != nil && (why != nil || notAttempted(err)) {
			return cmp.Or(why, err)
		}
		if o.Outcome = policy.ConnectFailed; err != nil {
			return err
		}
		conn.remaining = maxResponseBytes
		unwatch := context.AfterFunc(ctx, func() { conn.SetDeadline(pastDeadline) })
		keep := false
		if _, err = conn.writeRequest(ctx, pass, text.Bytes()); err == nil {
			keep = readResponse(conn, req, nil, func(x Result) { o.Outcome, o.Status, err = x.Outcome, x.Status, x.Err })
		} else if sendgate.IsRefusal(err) {
			o.Outcome = policy.NotSent
		}
		if !unwatch() || !keep {
			conn.discard()
		} else {
			conn.release()
		}
		return err
	}(); ctx.Err() != nil && o.Status == 0 && !sendgate.IsRefusal(o.Err) {
		o.Outcome = policy.TimedOut
	}
	o.Elapsed = time.Since(began).Microseconds()
	return o
}
