package upstream

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

// Guards against a wrong outcome of a response. A call that may have run must not count as one that
// never ran, because that one may be sent again.
func TestOutcomeOfResponse(t *testing.T) { forEachTransport(t, testOutcomeOfResponse) }

func testOutcomeOfResponse(t *testing.T, tr *transport) {
	for name, test := range map[string]struct {
		response   string
		outcome    policy.Outcome
		retryAfter policy.Time
		slots      bool // want SlotsExhausted
		final      bool
	}{
		"delivered": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			outcome:  policy.Delivered, final: true,
		},
		"delivered, body truncated": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
			outcome:  policy.Delivered, final: true,
		},
		"server error": {response: "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", outcome: policy.Failed},
		"Retry-After": {
			response: "HTTP/1.1 429 W\r\nRetry-After: 0.75\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Rejected, retryAfter: 750000,
		},
		"overloaded": {response: "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n", outcome: policy.Rejected},
		"slots taken": {
			response: "HTTP/1.1 503 F\r\nSlots-Taken: 1\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.NotSent, slots: true,
		},
		"no attempts left": {response: "HTTP/1.1 504 A\r\nContent-Length: 0\r\n\r\n", outcome: policy.NotSent},
		"message ended": {
			response: "HTTP/1.1 410 G\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.NotSent, final: true,
		},
		"unknown status code": {response: "HTTP/1.1 418 T\r\nContent-Length: 0\r\n\r\n", outcome: policy.Failed},
		"redirect is not followed": {
			response: "HTTP/1.1 307 R\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Failed,
		},
		"closed without a response": {response: "", outcome: policy.ConnectionReset},
		"malformed status line":     {response: "what?\r\n\r\n", outcome: policy.Failed},
		"truncated status line":     {response: "HTTP/1.1 20", outcome: policy.ConnectionReset},
		"interim response, then delivered": {
			response: "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Delivered, final: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
				if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
					respond(conn, test.response)
				}
			}))
			result := callOnce(t, endpoint, Request{ID: "m", IdempotencyKey: "k", Body: []byte("b")})
			if result.Outcome != test.outcome || result.RetryAfter != test.retryAfter ||
				result.SlotsExhausted != test.slots || result.Final != test.final {
				t.Errorf("Call.Do reported %+v, want outcome %d, RetryAfter %d, SlotsExhausted %v, Final %v",
					result, test.outcome, test.retryAfter, test.slots, test.final)
			}
		})
	}
}

func TestParseRetryAfter(t *testing.T) {
	for s, want := range map[string]policy.Time{
		"1.5": 1500000, " 2 ": 2000000, "": 0, "0": 0,
		"soon": -1, "-1": -1, "NaN": -1, "Inf": -1, "1e99": -1,
	} {
		got, err := parseRetryAfter(s)
		if (err != nil) != (want < 0) || err == nil && got != want {
			t.Errorf("parseRetryAfter(%q) = %d, %v, want %d (-1 means an error)", s, got, err, want)
		}
	}
}

func TestParseLoad(t *testing.T) {
	fields := []string{"x0", "x1"}
	for s, want := range map[string]policy.LoadReport{
		"x0=0.4,x1=25": {Remaining: 0.4, Limit: 25}, "x1=3": {Limit: 3}, "": {},
		"x0=?,x1=-2": {}, "x1=NaN": {}, "x1=Inf,x0=+Inf": {}, "x1=1e300": {},
	} {
		if got := parseLoad(s, fields); got != want {
			t.Errorf("parseLoad(%q) = %+v, want %+v", s, got, want)
		}
	}
	if got := parseLoad("x0=1", nil); got != (policy.LoadReport{}) {
		t.Errorf("parseLoad without fields = %+v, want an empty report", got)
	}
}

// Guards against trusting malformed responses. After a malformed response the call may have
// run, whatever its status line says, unless the code is 200. A response must also not
// exceed the limits of size and time, so that an endpoint cannot hold up the relay.
func TestMalformedResponses(t *testing.T) { forEachTransport(t, testMalformedResponses) }

func testMalformedResponses(t *testing.T, tr *transport) {
	const interim = "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nLink: x\r\n\r\nHTTP/1.1 102 P\r\n\r\n"
	long := strings.Repeat("x", 8000)
	for name, test := range map[string]struct {
		response string
		endless  bool // the endpoint sends bytes until the connection is closed
		outcome  policy.Outcome
		final    bool
		kept     bool // the connection is kept
	}{
		"rejected, truncated body": {
			response: "HTTP/1.1 503 F\r\nContent-Length: 9\r\n\r\nno",
			outcome:  policy.Failed,
		},
		"negative Retry-After": {
			response: "HTTP/1.1 429 W\r\nRetry-After: -3\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Failed,
		},
		"message ended, truncated head": {response: "HTTP/1.1 410 G\r\nContent-Le", outcome: policy.Failed},
		"not sent, two Content-Length headers": {
			response: "HTTP/1.1 504 A\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n",
			outcome:  policy.Failed,
		},
		"rejected, Content-Length not a number": {
			response: "HTTP/1.1 503 F\r\nContent-Length: many\r\n\r\n",
			outcome:  policy.Failed,
		},
		"rejected, negative Content-Length": {
			response: "HTTP/1.1 503 F\r\nContent-Length: -1\r\n\r\n",
			outcome:  policy.Failed,
		},
		"rejected, body of 3 GB": {
			response: "HTTP/1.1 503 F\r\nContent-Length: 3221225472\r\n\r\n",
			endless:  true, outcome: policy.Failed,
		},
		"rejected, endless head": {response: "HTTP/1.1 503 F\r\n", endless: true, outcome: policy.Failed},
		"rejected, truncated chunks": {
			response: "HTTP/1.1 503 F\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
			outcome:  policy.Failed,
		},
		"noise":                      {response: "\x00\xff\x13noise\x00", outcome: policy.Failed},
		"noise before a status line": {response: "\x00\xffnoise\r\nHTTP/1.1 503 F\r\n\r\n", outcome: policy.Failed},
		"endless status line":        {response: "HTTP/1.1 503 " + long, endless: true, outcome: policy.Failed},
		"status code of four digits": {
			response: "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Failed,
		},
		"unsupported HTTP version": {
			response: "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Failed,
		},
		"delivered, body of 3 GB": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n",
			endless:  true, outcome: policy.Delivered, final: true,
		},
		"delivered, truncated head": {response: "HTTP/1.1 200 OK\r\nX-", outcome: policy.Delivered, final: true},
		"delivered, noise instead of headers": {
			response: "HTTP/1.1 200 OK\r\n\x00\x01\xff",
			outcome:  policy.Delivered, final: true,
		},
		"delivered, negative Content-Length": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n",
			outcome:  policy.Delivered, final: true,
		},
		"several interim responses": {
			response: interim + upstreamtest.OKResponse,
			outcome:  policy.Delivered, final: true, kept: true,
		},
		"too many interim responses": {
			response: strings.Repeat("HTTP/1.1 100 C\r\n\r\n", 500),
			outcome:  policy.Failed,
		},
		"truncated interim response": {response: "HTTP/1.1 103 E\r\n", outcome: policy.Failed},
		"rejected, followed by a second copy": {
			response: "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Rejected,
		},
		"delivered, followed by a second copy": {
			response: upstreamtest.OKResponse + upstreamtest.OKResponse,
			outcome:  policy.Delivered, final: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan int, 1)
			endpoint := tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				if !upstreamtest.ReadRequest(reader) {
					return
				}
				respond(conn, test.response)
				n := 0
				for test.endless {
					m, err := conn.Write([]byte(long))
					if n += m; err != nil {
						closed <- n
						return
					}
				}
				waitClosed(reader) // the endpoint does not close the connection itself
				closed <- n
			}))
			result := callOnce(t, endpoint, Request{ID: "m", Body: []byte("b")})
			if result.Outcome != test.outcome || result.Final != test.final {
				t.Errorf("Call.Do reported %+v, want outcome %d, Final %v", result, test.outcome, test.final)
			}
			if result.Elapsed > (testTimeout / 2).Microseconds() {
				t.Errorf("call took %d us, want at most %d us", result.Elapsed, (testTimeout / 2).Microseconds())
			}
			if _, idle := endpoint.pool.counts(); (idle != 0) != test.kept {
				t.Errorf("idle connections after the call = %d, want connection kept %v", idle, test.kept)
			}
			endpoint.CloseIdle()
			if n := <-closed; n > 64<<20 {
				t.Errorf("endpoint sent %d bytes before the connection was closed, want at most %d", n, 64<<20)
			}
		})
	}
}

// Guards against reporting a delivery late: its status line proves it, so the result must be
// reported before the rest of the response arrives.
func TestDeliveredAtStatusLine(t *testing.T) { forEachTransport(t, testDeliveredAtStatusLine) }

func testDeliveredAtStatusLine(t *testing.T, tr *transport) {
	release := make(chan struct{})
	endpoint := tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
		if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
			respond(conn, "HTTP/1.1 200 OK\r\n")
			<-release
		}
	}))
	results, ended := startAndWatch(endpoint, Request{ID: "m"})
	if result := <-results; result.Outcome != policy.Delivered {
		t.Errorf("Call.Do reported %+v, want outcome Delivered", result)
	}
	select {
	case <-ended:
		t.Error("Call.Do returned before the end of the response, want it to wait for the rest")
	default:
	}
	<-ended
	close(release)
}

// Guards against applying the read timeout to the time between an interim response and the
// final one. The timeout limits only the time from a response's first byte to its last.
func TestInterimLongBeforeResponse(t *testing.T) { forEachTransport(t, testInterimLongBeforeResponse) }

func testInterimLongBeforeResponse(t *testing.T, tr *transport) {
	release := make(chan struct{})
	endpoint := tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
		if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
			respond(conn, "HTTP/1.1 102 P\r\n\r\n")
			<-release
			respond(conn, upstreamtest.OKResponse)
		}
	}))
	results, ended := startAndWatch(endpoint, Request{ID: "m"})
	select {
	case result := <-results:
		t.Fatalf("Call.Do reported %+v before the final response, want no result", result)
	case <-time.After(2 * responseReadTimeout):
	}
	close(release)
	if result := <-results; result.Outcome != policy.Delivered {
		t.Errorf("Call.Do reported %+v, want outcome Delivered", result)
	}
	<-ended
}
