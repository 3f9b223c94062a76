package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

// answerDelay is how long the endpoints of these tests take for an answer.
const answerDelay = 100 * time.Millisecond

// answerText returns a response with a status.
func answerText(status int) string {
	text := fmt.Sprintf("HTTP/1.1 %d S\r\nContent-Length: 0\r\n", status)
	if status == http.StatusTooManyRequests {
		text += "Retry-After: 0\r\n"
	}
	return text + "\r\n"
}

// copyingEndpoint answers the n-th call with the n-th status after answerDelay. On a connection that has
// carried a call before, it writes the response to that call again, copyDelay after the last byte.
func copyingEndpoint(t *testing.T, tr *transport, copyDelay time.Duration, statuses ...int) *Endpoint {
	t.Helper()
	var calls atomic.Int32
	return tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
		earlier := ""
		for reader := bufio.NewReader(conn); upstreamtest.ReadRequest(reader); {
			lastByteAt := time.Now()
			answer := answerText(statuses[calls.Add(1)-1])
			answerAt, copyAt := lastByteAt.Add(answerDelay), lastByteAt.Add(copyDelay)
			if earlier != "" && copyAt.Before(answerAt) {
				time.Sleep(time.Until(copyAt))
				respond(conn, earlier)
			}
			time.Sleep(time.Until(answerAt))
			respond(conn, answer)
			if earlier != "" && !copyAt.Before(answerAt) {
				time.Sleep(time.Until(copyAt))
				respond(conn, earlier)
			}
			earlier = answer
		}
	}))
}

var outcomeOfStatus = map[int]policy.Outcome{
	http.StatusOK: policy.Delivered, http.StatusTooManyRequests: policy.Rejected,
	http.StatusInternalServerError: policy.Failed, http.StatusServiceUnavailable: policy.Rejected,
	http.StatusGatewayTimeout: policy.NotSent,
}

// Guards against taking a copy of an earlier answer, which arrives after the last byte of the next call,
// for the answer to that call, and each later answer for that to the call after it: a message would be
// over that was rejected, or be sent again while its call is still out.
func TestLateCopyOfEarlierAnswer(t *testing.T) { forEachTransport(t, testLateCopyOfEarlierAnswer) }

func testLateCopyOfEarlierAnswer(t *testing.T, tr *transport) {
	statuses := []int{
		http.StatusOK, http.StatusServiceUnavailable, http.StatusInternalServerError, http.StatusTooManyRequests,
		http.StatusGatewayTimeout,
	}
	delays := []time.Duration{0, 2 * time.Millisecond, 50 * time.Millisecond}
	if tr.site != nil {
		delays = delays[1:2]
	}
	for _, copied := range statuses {
		for _, answer := range statuses {
			for _, delay := range delays {
				t.Run(fmt.Sprintf("copy of %d before %d after %v", copied, answer, delay), func(t *testing.T) {
					t.Parallel()
					sequence := []int{http.StatusOK, copied, answer, http.StatusServiceUnavailable, http.StatusOK}
					endpoint := copyingEndpoint(t, tr, delay, sequence...)
					for n, status := range sequence {
						result := callOnce(t, endpoint, Request{ID: fmt.Sprint(n)})
						if result.Outcome != outcomeOfStatus[status] || result.Status != status {
							t.Errorf("call %d: got %+v, want status %d", n, result, status)
						}
						waitReusable(endpoint)
					}
				})
			}
		}
	}
}

// Guards against losing the answer of an endpoint that has become quicker, and against counting the time
// of its confirmation as a response time.
func TestEarlyAnswerIsConfirmed(t *testing.T) {
	var calls atomic.Int32
	endpoint := openPlain(testPool(t), upstreamtest.ServeTCP(t, func(conn net.Conn) {
		for reader := bufio.NewReader(conn); upstreamtest.ReadRequest(reader); {
			if calls.Add(1) == 1 {
				time.Sleep(answerDelay)
			}
			respond(conn, upstreamtest.OKResponse)
		}
	}))
	for n := range 3 {
		result := callOnce(t, endpoint, Request{ID: "m"})
		if result.Outcome != policy.Delivered {
			t.Fatalf("call %d: got %+v, want outcome Delivered", n, result)
		}
		if n > 0 && result.Elapsed >= answerDelay.Microseconds() {
			t.Errorf("call %d: elapsed %d µs, want less than %d", n, result.Elapsed, answerDelay.Microseconds())
		}
		waitReusable(endpoint)
	}
	if n := calls.Load(); n != 3 {
		t.Errorf("calls = %d, want 3", n)
	}
}

// Guards against taking a copy for the answer to a call that then breaks or times out: the message would
// be over although it may not have run.
func TestCopyWithoutAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		timeout time.Duration
		end     func(net.Conn, *bufio.Reader)
		want    policy.Outcome
	}{
		"reset":   {testTimeout, func(conn net.Conn, _ *bufio.Reader) { resetOnClose(conn) }, policy.ConnectionReset},
		"closed":  {testTimeout, func(net.Conn, *bufio.Reader) {}, policy.ConnectionReset},
		"timeout": {answerDelay, func(_ net.Conn, reader *bufio.Reader) { waitClosed(reader) }, policy.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := openPlain(testPool(t), upstreamtest.ServeTCP(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				upstreamtest.ReadRequest(reader)
				time.Sleep(answerDelay)
				respond(conn, upstreamtest.OKResponse)
				upstreamtest.ReadRequest(reader)
				respond(conn, upstreamtest.OKResponse)
				c.end(conn, reader)
			}))
			callOnce(t, endpoint, Request{ID: "a"})
			waitReusable(endpoint)
			if result := callOnce(t, endpoint, Request{ID: "b", Timeout: c.timeout}); result.Outcome != c.want {
				t.Errorf("second call: got %+v, want outcome %v", result, c.want)
			}
		})
	}
}

// silentAfterCopy is an endpoint that answers two calls on each connection, the second one more slowly.
// When the next call has come, it writes the last response again and then falls silent.
func silentAfterCopy(t *testing.T, tr *transport) *Endpoint {
	t.Helper()
	return tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for n := range 2 {
			if !upstreamtest.ReadRequest(reader) {
				return
			}
			time.Sleep(time.Duration(n+1) * answerDelay)
			respond(conn, upstreamtest.OKResponse)
		}
		if upstreamtest.ReadRequest(reader) {
			respond(conn, upstreamtest.OKResponse)
		}
		waitClosed(reader)
	}))
}

// Guards against forgetting a message that was never answered: its endpoint falls silent behind a copy
// of an earlier answer, so that nothing follows the copy.
func TestCopyBeforeSilence(t *testing.T) {
	forEachTransport(t, func(t *testing.T, tr *transport) {
		endpoint := silentAfterCopy(t, tr)
		for n := range 2 {
			result := callOnce(t, endpoint, Request{ID: fmt.Sprint(n)})
			if result.Outcome != policy.Delivered {
				t.Fatalf("call %d: got %+v, want outcome Delivered", n, result)
			}
			waitIdle(endpoint, n == 0)
		}
		result := callOnce(t, endpoint, Request{ID: "c", Repeatable: true})
		if result.Outcome != policy.ConnectionReset {
			t.Errorf("call behind which the endpoint fell silent: got %+v, want outcome ConnectionReset", result)
		}
	})
}

// Guards a message that must not be sent again against an answer in doubt: it gets a connection of its
// own while a copy of the last answer may be on its way. Other messages share connections.
func TestNoCopyBeforeUnrepeatableMessage(t *testing.T) {
	forEachTransport(t, func(t *testing.T, tr *transport) {
		endpoint := silentAfterCopy(t, tr)
		callOnce(t, endpoint, Request{ID: "a"})
		waitIdle(endpoint, true)
		callOnce(t, endpoint, Request{ID: "b"})
		waitIdle(endpoint, false)
		if result := callOnce(t, endpoint, Request{ID: "c"}); result.Outcome != policy.Delivered {
			t.Errorf("call behind an answer: got %+v, want outcome Delivered", result)
		}
		if open, _ := endpoint.pool.counts(); open != 2 {
			t.Errorf("connections after a call behind an answer = %d, want 2", open)
		}
	})
}

// Guards the choice of a connection: one that is settled is used before one that carried a call just now.
func TestSettledConnectionIsPreferred(t *testing.T) {
	endpoint := openPlain(testPool(t), newCountingEndpoint(t, http.StatusOK).address)
	for id := range 2 { // each opens a connection
		callOnce(t, endpoint, Request{ID: fmt.Sprint(id)})
	}
	waitIdle(endpoint, true)
	callOnce(t, endpoint, Request{ID: "b", Repeatable: true})
	waitIdle(endpoint, false)
	endpoint.pool.mu.Lock()
	defer endpoint.pool.mu.Unlock()
	index, _ := endpoint.chooseIdleLocked(false, time.Now())
	if index != 0 || len(endpoint.pool.idle) != 2 {
		t.Errorf("chosen connection = %d of %d, want 0 of 2: the one that is settled", index, len(endpoint.pool.idle))
	}
}

// Guards the calls after one whose answer came before the copy: the copy arrives while the connection is
// idle or carries the next call.
func TestCopyAfterTheAnswer(t *testing.T) {
	for _, delay := range []time.Duration{answerDelay + 5*time.Millisecond, 150 * time.Millisecond} {
		sequence := []int{
			http.StatusOK, http.StatusOK, http.StatusServiceUnavailable, http.StatusOK, http.StatusOK,
			http.StatusInternalServerError, http.StatusOK,
		}
		endpoint := copyingEndpoint(t, &transport{}, delay, sequence...)
		for n, status := range sequence {
			if result := callOnce(t, endpoint, Request{ID: fmt.Sprint(n)}); result.Status != status {
				t.Errorf("copies after %v, call %d: got %+v, want status %d", delay, n, result, status)
			}
		}
	}
}

// Guards an endpoint that is known to send copies: one that comes as late as its answers do cannot be told
// from them, so no connection may carry a second call.
func TestOneCallAConnectionAfterCopy(t *testing.T) {
	forEachTransport(t, func(t *testing.T, tr *transport) {
		endpoint := copyingEndpoint(t, tr, 0, http.StatusOK, http.StatusServiceUnavailable, http.StatusOK)
		callOnce(t, endpoint, Request{ID: "a"}) // its connection stays idle
		endpoint.times.copySeen(time.Now())
		for n, want := range []policy.Outcome{policy.Rejected, policy.Delivered} {
			waitReusable(endpoint)
			if result := callOnce(t, endpoint, Request{ID: fmt.Sprint(n)}); result.Outcome != want {
				t.Errorf("call %d: got %+v, want outcome %v", n, result, want)
			}
			if open, _ := endpoint.pool.counts(); open != 0 {
				t.Errorf("connections open after call %d = %d, want 0", n, open)
			}
		}
	})
}

// Guards a message that may be repeated against two calls at once: it is rejected, which may be a copy,
// and sent again while the rejected call may still be out. The first call's connection must be closed.
func TestRejectionThatMayBeCopyIsRepeated(t *testing.T) {
	closed := make(chan struct{}, 1)
	pool := testPool(t)
	pool.idleTimeout = time.Hour
	copying := openPlain(pool, upstreamtest.ServeTCP(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for upstreamtest.ReadRequest(reader) {
			respond(conn, answerText(http.StatusServiceUnavailable))
		}
		closed <- struct{}{}
	}))
	other := openPlain(pool, newCountingEndpoint(t, http.StatusOK).address)
	for _, id := range []string{"a", "b"} { // the second response may be a copy of the first
		if result := callOnce(t, copying, Request{ID: id, Repeatable: true}); result.Outcome != policy.Rejected {
			t.Fatalf("call %s: got %+v, want outcome Rejected", id, result)
		}
		if id == "a" {
			waitReusable(copying)
		}
	}
	if open, idle := pool.counts(); open != 1 || idle != 1 {
		t.Fatalf("connections open = %d, idle = %d, want 1 and 1, which rests", open, idle)
	}
	callOnce(t, other, Request{ID: "c", Repeatable: true})
	select {
	case <-closed:
		t.Fatal("connection of message b closed by a call of another message")
	default:
	}
	if result := callOnce(t, other, Request{ID: "b", Repeatable: true}); result.Outcome != policy.Delivered {
		t.Errorf("second call of b: got %+v, want outcome Delivered", result)
	}
	<-closed
}

// Guards the connections of endpoints that reject much: after a rejection, and after a second one in a
// row that was confirmed, the connection carries further calls.
func TestConnectionKeptAfterRejections(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		var conns atomic.Int32
		endpoint := openPlain(testPool(t), upstreamtest.ServeTCP(t, func(conn net.Conn) {
			conns.Add(1)
			for reader := bufio.NewReader(conn); upstreamtest.ReadRequest(reader); {
				respond(conn, answerText(http.StatusServiceUnavailable))
			}
		}))
		for n := range 4 {
			result := callOnce(t, endpoint, Request{ID: fmt.Sprint(n), Repeatable: repeatable})
			if result.Outcome != policy.Rejected {
				t.Errorf("call %d: got %+v, want outcome Rejected", n, result)
			}
			waitReusable(endpoint)
		}
		if conns.Load() != 1 {
			t.Errorf("connections for 4 rejections, repeatable %v = %d, want 1", repeatable, conns.Load())
		}
	}
}
