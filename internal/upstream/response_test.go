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

func TestOutcomeOfResponse(t *testing.T) { forEachTransport(t, testOutcomeOfResponse) }

func testOutcomeOfResponse(t *testing.T, tr *transport) {
	for name, test := range map[string]struct {
		response   string
		outcome    policy.Outcome
		retryAfter policy.Time
		slots      bool
		final      bool
	}{
		"delivered": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			outcome:  policy.Delivered, final: true,
		},
		"delivered, cut": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
			outcome:  policy.Delivered, final: true,
		},
		"error": {response: "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", outcome: policy.Failed},
		"Retry-After": {
			response: "HTTP/1.1 429 W\r\nRetry-After: 0.75\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Rejected, retryAfter: 750000,
		},
		"full": {response: "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n", outcome: policy.Rejected},
		"slots taken": {
			response: "HTTP/1.1 503 F\r\nSlots-Taken: 1\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.NotSent, slots: true,
		},
		"attempts used up": {response: "HTTP/1.1 504 A\r\nContent-Length: 0\r\n\r\n", outcome: policy.NotSent},
		"message over": {
			response: "HTTP/1.1 410 G\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.NotSent, final: true,
		},
		"no status of ours": {response: "HTTP/1.1 418 T\r\nContent-Length: 0\r\n\r\n", outcome: policy.Failed},
		"no redirect": {
			response: "HTTP/1.1 307 R\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Failed,
		},
		"broken after":       {response: "", outcome: policy.ConnectionReset},
		"nonsense":           {response: "what?\r\n\r\n", outcome: policy.Failed},
		"half a status line": {response: "HTTP/1.1 20", outcome: policy.ConnectionReset},
		"first a hint, then": {
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
				t.Errorf("got %+v", result)
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
			t.Errorf("%q: %d, %v, want %d", s, got, err, want)
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
			t.Errorf("%q: %+v", s, got)
		}
	}
	if got := parseLoad("x0=1", nil); got != (policy.LoadReport{}) {
		t.Errorf("a report where none is due: %+v", got)
	}
}

// Guards what is believed of a response. A malformed one is that of a call that may
// have run, whatever its status line says, unless that says 200; and no response is read
// for longer than it may be or take.
func TestMalformedResponses(t *testing.T) { forEachTransport(t, testMalformedResponses) }

func testMalformedResponses(t *testing.T, tr *transport) {
	const interim = "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nLink: x\r\n\r\nHTTP/1.1 102 P\r\n\r\n"
	long := strings.Repeat("x", 8000)
	for name, test := range map[string]struct {
		response string
		endless  bool // the endpoint goes on sending
		outcome  policy.Outcome
		final    bool
		keeps    bool
	}{
		"refusal with a short body": {
			response: "HTTP/1.1 503 F\r\nContent-Length: 9\r\n\r\nno",
			outcome:  policy.Failed,
		},
		"Retry-After that is negative": {
			response: "HTTP/1.1 429 W\r\nRetry-After: -3\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Failed,
		},
		"message over, head without end": {response: "HTTP/1.1 410 G\r\nContent-Le", outcome: policy.Failed},
		"not sent, two lengths": {
			response: "HTTP/1.1 504 A\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n",
			outcome:  policy.Failed,
		},
		"refusal, length no number": {
			response: "HTTP/1.1 503 F\r\nContent-Length: many\r\n\r\n",
			outcome:  policy.Failed,
		},
		"refusal, negative length": {
			response: "HTTP/1.1 503 F\r\nContent-Length: -1\r\n\r\n",
			outcome:  policy.Failed,
		},
		"refusal of 3 GB": {
			response: "HTTP/1.1 503 F\r\nContent-Length: 3221225472\r\n\r\n",
			endless:  true, outcome: policy.Failed,
		},
		"refusal, endless head": {response: "HTTP/1.1 503 F\r\n", endless: true, outcome: policy.Failed},
		"refusal, chunks cut": {
			response: "HTTP/1.1 503 F\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
			outcome:  policy.Failed,
		},
		"noise":             {response: "\x00\xff\x13noise\x00", outcome: policy.Failed},
		"noise with a line": {response: "\x00\xffnoise\r\nHTTP/1.1 503 F\r\n\r\n", outcome: policy.Failed},
		"endless line":      {response: "HTTP/1.1 503 " + long, endless: true, outcome: policy.Failed},
		"not quite a code": {
			response: "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Failed,
		},
		"another protocol": {
			response: "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Failed,
		},
		"delivered, 3 GB": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n",
			endless:  true, outcome: policy.Delivered, final: true,
		},
		"delivered, head without end": {response: "HTTP/1.1 200 OK\r\nX-", outcome: policy.Delivered, final: true},
		"delivered, noise for a head": {
			response: "HTTP/1.1 200 OK\r\n\x00\x01\xff",
			outcome:  policy.Delivered, final: true,
		},
		"delivered, bad length": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n",
			outcome:  policy.Delivered, final: true,
		},
		"several hints": {
			response: interim + upstreamtest.OKResponse,
			outcome:  policy.Delivered, final: true, keeps: true,
		},
		"hints without end": {
			response: strings.Repeat("HTTP/1.1 100 C\r\n\r\n", 500),
			outcome:  policy.Failed,
		},
		"a hint, then nothing": {response: "HTTP/1.1 103 E\r\n", outcome: policy.Failed},
		"refusal, then a copy behind": {
			response: "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Rejected,
		},
		"delivered, then a copy behind": {
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
				waitClosed(reader) // the connection stays open from this side
				closed <- n
			}))
			result := callOnce(t, endpoint, Request{ID: "m", Body: []byte("b")})
			if result.Outcome != test.outcome || result.Final != test.final {
				t.Errorf("got %+v", result)
			}
			if result.Elapsed > (testTimeout / 2).Microseconds() {
				t.Errorf("took %d us: it waited for what does not come", result.Elapsed)
			}
			if _, idle := endpoint.pool.counts(); (idle != 0) != test.keeps {
				t.Errorf("%d connections kept", idle)
			}
			endpoint.CloseIdle()
			if n := <-closed; n > 64<<20 {
				t.Errorf("%d bytes were sent before the close", n)
			}
		})
	}
}

// Guards the moment at which a delivery is known: with the status line.
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
		t.Errorf("got %+v", result)
	}
	select {
	case <-ended:
		t.Error("the rest of the response was not waited for")
	default:
	}
	<-ended
	close(release)
}

// Guards a final response that comes long after an interim one: only what has begun
// must come quickly.
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
		t.Fatalf("before the final response: %+v", result)
	case <-time.After(2 * responseReadTimeout):
	}
	close(release)
	if result := <-results; result.Outcome != policy.Delivered {
		t.Errorf("got %+v", result)
	}
	<-ended
}
