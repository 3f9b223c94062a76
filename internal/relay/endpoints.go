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

	"troutusher/decide"
	"troutusher/internal/core"
	"troutusher/internal/gate"
	"troutusher/internal/secure"
)

const (
	callPath    = "/v1/messages"
	probePath   = "/health/live"
	answerMost  = 192 << 10              // bytes of an answer that are read, with what comes ahead of it
	answerWait  = 300 * time.Millisecond // from an answer's first byte to its last: it is written at once
	lateWait    = 10 * time.Millisecond  // for what has come of an answer by the time that it is given up
	connsMost   = 4                      // connections on which one call is begun
	hintsMost   = 8                      // 1xx answers ahead of the last
	probeWait   = 2 * time.Second        // a probe that takes longer has failed
	longestWait = 10 * time.Minute
	loadMost    = 1e6 // no figure of a load report is higher
)

var errCancelled = errors.New("cancelled")

// call is one call out.
type call struct {
	by      decide.Time // its last byte goes out by then or never; 0 for any time
	written func()      // told once its last byte is written; may be nil
	ctx     context.Context
	stop    context.CancelCauseFunc
	before  time.Duration // it was out for so long in another process
	want    want          // of a connection over TLS

	mu     sync.Mutex
	conn   *poolConn // once its last byte is out
	ceding chan bool // it is to come to rest; then: whether to go on here
	parked bool
}

// outcome is what became of a call or a probe.
type outcome struct {
	what    decide.Outcome
	wait    decide.Time
	slots   bool // not sent, since all slots were taken
	opened  int  // connections over TLS that were opened for it
	settled bool // the message is over
	took    decide.Time
	load    decide.LoadReport
	status  int
	spoilt  bool // an answer came and cannot be believed
	err     error
}

// result is the outcome in the core's words.
func (o *outcome) result() *core.Result {
	return &core.Result{Outcome: o.what, RetryAfter: o.wait, SlotsExhausted: o.slots, Final: o.settled, ConnectionsOpened: o.opened, Elapsed: o.took, Load: o.load,
		Status: o.status, Malformed: o.spoilt, Err: o.err}
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

// run makes the call. It tells what became of it once, as soon as that is
// certain, and returns when the call's connection carries nothing of it any
// more.
func (c *call) run(h *home, rec *record, limit time.Duration, loads []string, tell func(outcome)) {
	began := time.Now()
	ctx, cancel := context.WithTimeoutCause(c.ctx, limit, context.DeadlineExceeded)
	defer cancel()
	end := func(what decide.Outcome, err error) {
		tell(outcome{what: what, err: err, took: time.Since(began).Microseconds()})
	}
	req, err := newCallRequest(h.addr, rec.ID, rec.Key, rec.Body, limit)
	if err != nil {
		end(decide.NotSent, err)
		return
	}
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		end(decide.NotSent, err)
		return
	}
	conn, what, err := c.send(ctx, h, text.Bytes())
	if err != nil {
		if errors.Is(context.Cause(c.ctx), errCeded) {
			what = decide.NotSent
		}
		wait := decide.Time(0) // after which it may be tried again
		var turn errNoTurn
		var held gate.ErrWait
		switch {
		case errors.As(err, &turn):
			wait = turn.wait.Microseconds()
		case errors.As(err, &held):
			wait = held.Left
		}
		tell(outcome{what: what, err: err, wait: wait, opened: c.want.opened, took: time.Since(began).Microseconds()})
		return
	}
	c.sent(conn)
	if c.written != nil {
		c.written()
	}
	c.answer(ctx, conn, req, began, loads, tell)
}

// answer waits for the answer to a call that is out.
func (c *call) answer(ctx context.Context, conn *poolConn, req *http.Request, began time.Time, loads []string, tell func(outcome)) {
	// What lies there already has come, and is heard: it may be a wait.
	unwatch := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now().Add(lateWait)) })
	if !c.begun(ctx, conn) {
		unwatch()
		conn.drop()
		return
	}
	told, dropped := false, false
	keep := readAnswer(conn, req, loads, func(o outcome) {
		told, o.opened = true, c.want.opened
		o.took = time.Since(began).Microseconds()
		if o.what == decide.ConnectionReset {
			o.what = c.unanswered(ctx)
		}
		if conn.tls != nil && o.err != nil { // its word that it does not accept us may come late: the next call is spared
			conn.tls.Peer().Refused(o.err)
		}
		if o.what != decide.Delivered && (o.err != nil || o.spoilt) {
			// What is told now may go out again at once, and the endpoint counts two
			// copies for as long as this connection is open.
			conn.drop()
			dropped = true
		}
		// Nobody waits for the call any more; what is left of its answer has
		// its own bound.
		tell(o)
	})
	switch over := !unwatch(); {
	case dropped:
	case over || !told || !keep:
		conn.drop()
	default:
		conn.put()
	}
}

var longAgo = time.Unix(1, 0)

// send gets a connection and writes the call to it. With an error, its last
// byte was not written. A connection that turns out to be of no use before
// then is replaced: nothing of the call counts so far.
func (c *call) send(ctx context.Context, h *home, text []byte) (*poolConn, decide.Outcome, error) {
	pass, err := h.gate.Enter(h.pool.now(), c.stop)
	if err != nil {
		return nil, decide.NotSent, err
	}
	defer pass.Leave()
	pass.By = c.by
	for left := connsMost - 1; ; left-- {
		conn, err := h.get(ctx, &c.want)
		if why := pass.Stopped(); err != nil && (why != nil || neverAsked(err)) {
			return nil, decide.NotSent, cmp.Or(why, err)
		}
		if err != nil {
			return nil, decide.ConnectFailed, err
		}
		conn.left = answerMost
		stop := context.AfterFunc(ctx, func() { conn.SetDeadline(longAgo) })
		clean, err := conn.write(ctx, pass, text)
		mine := stop() // else its deadline may be set at any moment
		if err == nil {
			return conn, 0, nil // the caller watches on
		}
		if clean && mine {
			conn.put()
		} else {
			conn.drop()
		}
		if gate.Refused(err) {
			return nil, decide.NotSent, err
		}
		if conn.tls != nil {
			if out, refused := conn.tls.Peer().Refused(err); refused { // it has closed on who we are: nothing ran
				return nil, decide.NotSent, out
			}
		}
		if left == 0 || ctx.Err() != nil {
			return nil, decide.ConnectFailed, err
		}
		pass.Again()
	}
}

// neverAsked reports whether there is no connection for a reason that is not the
// endpoint's health.
func neverAsked(err error) bool {
	var out *secure.Out
	var turn errNoTurn
	return err == errNoRoom || gate.Refused(err) || err == errUnpaid || errors.As(err, &out) || errors.As(err, &turn)
}

// unanswered maps a call that was written and has no answer.
func (c *call) unanswered(ctx context.Context) decide.Outcome {
	switch {
	case errors.Is(context.Cause(ctx), errCancelled):
		return decide.Cancelled
	case ctx.Err() != nil:
		return decide.TimedOut
	}
	return decide.ConnectionReset
}

// readAnswer reads an answer and tells its outcome: a first line with 200 is
// true whatever follows it; anything else is believed only once all of it has
// been read and makes sense, since a spoilt answer is that of a call that may
// have run. It reports whether the connection can carry another call.
func readAnswer(conn *poolConn, req *http.Request, loads []string, tell func(outcome)) (keep bool) {
	status, err := 0, error(nil)
	stop := func() bool { return true }
	defer func() { stop() }()
	begun := false
	for hints := 0; ; hints++ {
		var line string
		if _, err = conn.in.Peek(1); err == nil {
			begun = true
			stop = conn.bound(answerWait)
		}
		if line, err = firstLine(conn.in); err == nil {
			status, err = statusOf(line)
		}
		if err == nil && status < 200 && hints >= hintsMost {
			err = errors.New("too many answers ahead of the last")
		}
		if err != nil {
			o := outcome{what: decide.ConnectionReset, err: err}
			if begun && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
				o.what, o.spoilt = decide.Failed, true
			}
			tell(o)
			return false
		}
		if status >= 200 {
			break
		}
		// The answer itself may come much later than what is ahead of it.
		if err := skipHead(conn.in); err != nil || !stop() {
			tell(outcome{what: decide.Failed, spoilt: true, err: err})
			return false
		}
		begun = false
	}
	if status == http.StatusOK {
		tell(outcome{what: decide.Delivered, settled: true, status: status})
	}
	resp, err := http.ReadResponse(conn.in, req)
	told := decide.Time(0)
	if err == nil {
		if status == http.StatusTooManyRequests {
			// It binds from here on, whatever becomes of the rest of the answer.
			if wait, bad := retryAfter(resp.Header.Get("Retry-After")); bad == nil && wait > 0 {
				told = wait
				now := conn.home.pool.now()
				conn.home.gate.Tell(now, now+wait)
			}
		}
		if resp.ContentLength > bodyMost {
			err = errTooBig
		} else {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		resp.Body.Close()
	}
	if status == http.StatusOK {
		return err == nil && !resp.Close
	}
	o := outcome{status: status, err: err}
	if err == nil {
		o.load = readLoad(resp.Header.Get("X-Server-Load"), loads)
		o.err = o.read(resp.Header)
	}
	if o.err != nil {
		o.what, o.spoilt, o.wait, o.slots, o.settled = decide.Failed, true, told, false, false
	}
	tell(o)
	return o.err == nil && !resp.Close
}

// bound gives what is left of an answer some time. The call's own limit stays.
func (c *poolConn) bound(d time.Duration) (stop func() bool) {
	t := time.AfterFunc(d, func() { c.SetReadDeadline(longAgo) })
	return t.Stop
}

// read maps the head of an answer other than 200 to an outcome. An error means
// that the head cannot be believed.
func (o *outcome) read(head http.Header) error {
	switch o.status {
	case http.StatusTooManyRequests:
		wait, err := retryAfter(head.Get("Retry-After"))
		if err != nil {
			return err
		}
		o.what, o.wait = decide.Rejected, wait
	case http.StatusServiceUnavailable:
		if o.what = decide.Rejected; head.Get("Slots-Taken") == "1" {
			o.what, o.slots = decide.NotSent, true
		}
	case http.StatusGatewayTimeout: // has had all its attempts
		o.what = decide.NotSent
	case http.StatusGone:
		o.what, o.settled = decide.NotSent, true
	default: // 500, and what no page names: it may have run
		o.what = decide.Failed
	}
	return nil
}

// retryAfter reads seconds with decimals. None told is no wait.
func retryAfter(s string) (decide.Time, error) {
	if s = strings.TrimSpace(s); s == "" {
		return 0, nil
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= 0 && v <= longestWait.Seconds()) {
		return 0, fmt.Errorf("Retry-After: %.40q", s)
	}
	return decide.Time(v * 1e6), nil
}

// readLoad reads a report such as x0=0.4,x1=25.
func readLoad(s string, fields []string) (l decide.LoadReport) {
	if len(fields) == 0 {
		return l
	}
	for part := range strings.SplitSeq(s, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v <= loadMost) {
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

// probe asks an endpoint whether it is alive.
func probe(ctx context.Context, h *home) outcome {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	o := outcome{what: decide.NotSent}
	if o.err = func() error {
		req, err := http.NewRequest(http.MethodGet, "http://"+h.addr+probePath, nil)
		if err != nil {
			return err
		}
		var text bytes.Buffer
		if err := req.Write(&text); err != nil {
			return err
		}
		pass, err := h.gate.Enter(h.pool.now(), func(error) { cancel() })
		if err != nil {
			return err
		}
		defer pass.Leave()
		conn, err := h.get(ctx, &want{cold: true, paid: true})
		if why := pass.Stopped(); err != nil && (why != nil || neverAsked(err)) {
			return cmp.Or(why, err)
		}
		if o.what = decide.ConnectFailed; err != nil {
			return err
		}
		conn.left = answerMost
		unwatch := context.AfterFunc(ctx, func() { conn.SetDeadline(longAgo) })
		keep := false
		if _, err = conn.write(ctx, pass, text.Bytes()); err == nil {
			keep = readAnswer(conn, req, nil, func(x outcome) { o.what, o.status, err = x.what, x.status, x.err })
		} else if gate.Refused(err) {
			o.what = decide.NotSent
		}
		if !unwatch() || !keep {
			conn.drop()
		} else {
			conn.put()
		}
		return err
	}(); ctx.Err() != nil && o.status == 0 && !gate.Refused(o.err) {
		o.what = decide.TimedOut
	}
	o.took = time.Since(began).Microseconds()
	return o
}
