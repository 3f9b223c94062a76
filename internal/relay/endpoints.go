package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"troutusher/decide"
)

const (
	callPath    = "/v1/messages"
	probePath   = "/health/live"
	answerMost  = 1 << 20         // bytes of an answer that are read
	probeWait   = 2 * time.Second // a probe that takes longer has failed
	idleMargin  = 10              // one part in so many of the keep-alive is left unused
	longestWait = 10 * time.Minute
)

// endpoint is one address of a destination, with its kept-alive connections.
// The loop owns it; calls use its address as it was when they began.
type endpoint struct {
	id       string
	num      decide.Endpoint
	cell     int
	zone     int
	hostPort string
	gone     bool // drained or removed: nothing new goes there
	goneAt   decide.Time
	answerAt decide.Time // when it last answered at all
	conns    *http.Transport
	calls    map[*call]bool
}

// suspect books how a call went and reports whether the endpoint's idle
// connections are to be given up. After a machine was silent or died, each of
// them would hang or be reset under a call that may then have run.
func (ep *endpoint) suspect(o *outcome, now decide.Time) bool {
	switch o.what {
	case decide.Reset, decide.NoConnect:
		return true
	case decide.TimedOut, decide.Cancelled:
		return ep.answerAt < now-o.took // others that were sent later were answered: one slow call
	}
	if o.status != 0 {
		ep.answerAt = now
	}
	return false
}

// newConns makes the connections of one endpoint. Each endpoint has its own,
// so that its idle ones can be given back alone.
func newConns(set *decide.Settings, idle int) *http.Transport {
	keep := time.Duration(set.KeepAlive) * time.Microsecond
	connect := time.Duration(set.ConnectTimeout) * time.Microsecond
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connect, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: idle, // the default of two would close the rest after each burst
		// A request written to a connection that the endpoint is closing ends
		// as a reset: ours close first.
		IdleConnTimeout:        keep - keep/idleMargin,
		MaxResponseHeaderBytes: 64 << 10,
		DisableCompression:     true,
		Protocols:              http1(),
	}
}

// Stages of a call.
const (
	callWaiting int32 = iota // for a connection: stopped now, it has never run
	callSending              // bytes may be under way
	callWritten              // the last byte is written
	callStopped              // stopped before its first byte
)

var (
	errCancelled = errors.New("cancelled")
	errDrained   = errors.New("endpoint drained")
)

// call is one call out.
type call struct {
	m       *message
	ep      *endpoint
	attempt int
	stage   atomic.Int32
	broken  atomic.Bool // the connection broke before the last byte was written
	ctx     context.Context
	stop    context.CancelCauseFunc
}

// outcome is what became of a call or a probe.
type outcome struct {
	what    decide.Outcome
	wait    decide.Time
	slots   bool // not sent, since all slots were taken
	settled bool // the message is over
	took    decide.Time
	load    decide.Load
	status  int
	err     error
}

// drained stops the call if its first byte is not written yet.
func (c *call) drained() {
	if c.stage.CompareAndSwap(callWaiting, callStopped) {
		c.stop(errDrained)
	}
}

// payload is a request body that net/http cannot rewind and so never sends
// twice by itself. An Idempotency-Key makes a POST replayable to it, where it
// could get the body again or there is none.
type payload struct{ *bytes.Reader }

func (payload) Close() error { return nil }

// newCallRequest makes the request of a call. Its GetBody stays nil.
func newCallRequest(ctx context.Context, hostPort, id, key string, body []byte, timeout time.Duration) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hostPort+callPath, nil)
	if err != nil {
		return nil, err
	}
	req.Body = payload{bytes.NewReader(body)} // also when empty: a missing body may be replayed
	req.ContentLength = int64(len(body))
	req.Header.Set("X-Request-ID", id)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	req.Header["User-Agent"] = nil
	return req, nil
}

// run makes the call and returns when its connection carries nothing of it any
// more: after the whole answer, or with the connection closed.
func (c *call) run(conns *http.Transport, hostPort string, rec *record, limit time.Duration, loads []string) outcome {
	began := time.Now()
	ctx, cancel := context.WithTimeoutCause(c.ctx, limit, context.DeadlineExceeded)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			if !c.stage.CompareAndSwap(callWaiting, callSending) && c.stage.Load() == callStopped {
				cancel() // a drain came first
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err != nil {
				c.broken.Store(true)
				return
			}
			c.stage.CompareAndSwap(callSending, callWritten)
		},
	})
	req, err := newCallRequest(ctx, hostPort, rec.ID, rec.Key, rec.body, limit)
	if err != nil {
		return outcome{what: decide.NotSent, err: err}
	}
	resp, err := conns.RoundTrip(req)
	o := outcome{took: time.Since(began).Microseconds()}
	if err != nil {
		o.what, o.err = c.failure(ctx, err), err
		return o
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	readAnswer(resp, &o, loads)
	io.Copy(io.Discard, io.LimitReader(resp.Body, answerMost)) // read to the end, it can carry the next call
	return o
}

// failure maps a call without an answer. What never ran is claimed only where
// it is certain: no connection, or one that broke before the last byte.
func (c *call) failure(ctx context.Context, err error) decide.Outcome {
	switch stage := c.stage.Load(); {
	case stage == callStopped:
		return decide.NotSent
	case stage == callWaiting:
		return decide.NoConnect
	case stage == callSending && c.broken.Load() && ctx.Err() == nil:
		return decide.NoConnect
	}
	switch {
	case errors.Is(context.Cause(ctx), errCancelled):
		return decide.Cancelled
	case ctx.Err() != nil:
		return decide.TimedOut
	}
	return decide.Reset
}

// readAnswer maps an answer to an outcome.
func readAnswer(resp *http.Response, o *outcome, loads []string) {
	o.load = readLoad(resp.Header.Get("X-Server-Load"), loads)
	switch resp.StatusCode {
	case http.StatusOK:
		o.what, o.settled = decide.Delivered, true
	case http.StatusTooManyRequests:
		o.what, o.wait = decide.Full, retryAfter(resp.Header.Get("Retry-After"))
	case http.StatusServiceUnavailable:
		if o.what = decide.Full; resp.Header.Get("Slots-Taken") == "1" {
			o.what, o.slots = decide.NotSent, true
		}
	case http.StatusGatewayTimeout: // has had all its attempts
		o.what = decide.NotSent
	case http.StatusGone:
		o.what, o.settled = decide.NotSent, true
	default: // 500, and what no page names: it may have run
		o.what = decide.Errored
	}
}

// retryAfter reads seconds with decimals.
func retryAfter(s string) decide.Time {
	v, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(v > 0) {
		return 0
	}
	return decide.Time(min(v, longestWait.Seconds()) * 1e6)
}

// readLoad reads a report such as x0=0.4,x1=25.
func readLoad(s string, fields []string) (l decide.Load) {
	if len(fields) == 0 {
		return l
	}
	for part := range strings.SplitSeq(s, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0) {
			continue
		}
		switch name {
		case "x0":
			l.Left = v
		case "x1":
			l.Limit = v
		}
	}
	return l
}

// probe asks an endpoint whether it is alive.
func probe(ctx context.Context, conns *http.Transport, hostPort string) outcome {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hostPort+probePath, nil)
	if err != nil {
		return outcome{what: decide.NotSent, err: err}
	}
	resp, err := conns.RoundTrip(req)
	o := outcome{took: time.Since(began).Microseconds()}
	if err != nil {
		o.err, o.what = err, decide.Reset
		if ctx.Err() != nil {
			o.what = decide.TimedOut
		}
		return o
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	switch resp.StatusCode {
	case http.StatusOK:
		o.what = decide.Delivered
	case http.StatusServiceUnavailable:
		o.what = decide.Full
	default:
		o.what = decide.Errored
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, answerMost))
	return o
}
