package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"troutusher/internal/sendgate"
	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

// The forms that endpoints see and send, as files recorded from an earlier build
// under testdata/calls. They do not change with the names of the code.

// readGolden reads a recorded file.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "calls", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// compare compares what was written with a recorded file.
func compare(t *testing.T, name string, written []byte) {
	t.Helper()
	if want := readGolden(t, name); !bytes.Equal(written, want) {
		t.Errorf("got  %q\nwant %q", written, want)
	}
}

// recordingConn keeps what is written to it.
type recordingConn struct {
	*net.TCPConn
	written *bytes.Buffer
}

func (c *recordingConn) Write(b []byte) (int, error) {
	c.written.Write(b)
	return c.TCPConn.Write(b)
}

// TestGoldenRequestBytes compares every byte that a call and a health check write:
// headers, their order and case, the idempotency key and the timeout.
func TestGoldenRequestBytes(t *testing.T) {
	const address = "endpoint.example.org:8080" // the Host header is part of the file
	body := []byte("{\"amount\":12}\x00\xff\r\n")
	callWith := func(id, key string, body []byte, limit time.Duration) func(endpoint *Endpoint) {
		return func(endpoint *Endpoint) {
			callOnce(t, endpoint, Request{ID: id, IdempotencyKey: key, Body: body, Timeout: limit})
		}
	}
	for name, send := range map[string]func(endpoint *Endpoint){
		"call-with-key.request":     callWith("m-0000017", "5c0f6e1a2b3d4c59", body, 1500*time.Millisecond),
		"call-without-key.request":  callWith("m-0000018", "", body, 20*time.Second),
		"call-without-body.request": callWith("m-0000019", "k", nil, 999500*time.Microsecond),
		"health-check.request":      func(endpoint *Endpoint) { endpoint.CheckHealth(context.Background()) },
	} {
		t.Run(name, func(t *testing.T) {
			server := upstreamtest.ServeTCP(t, func(peer net.Conn) {
				if upstreamtest.ReadRequest(bufio.NewReader(peer)) {
					respond(peer, upstreamtest.OKResponse)
				}
			})
			var written bytes.Buffer
			pool := testPool(t)
			pool.staleCheckDelay = time.Microsecond
			endpoint := openPlain(pool, address)
			endpoint.dial = func(_ context.Context, addr string) (net.Conn, error) {
				if addr != address {
					t.Errorf("dialled %q", addr)
				}
				conn, err := net.Dial("tcp", server)
				if err != nil {
					return nil, err
				}
				return &recordingConn{TCPConn: conn.(*net.TCPConn), written: &written}, nil
			}
			send(endpoint)
			compare(t, name, written.Bytes())
		})
	}
	t.Run("call-shortest-limit.request", func(t *testing.T) { // it would time out before it is written
		req, err := newCallRequest(address, &Request{ID: "m-0000020", Body: body[:1], Timeout: 990 * time.Microsecond})
		if err != nil {
			t.Fatal(err)
		}
		var written bytes.Buffer
		if err := req.Write(&written); err != nil {
			t.Fatal(err)
		}
		compare(t, "call-shortest-limit.request", written.Bytes())
	})
}

// recordedResponse is one recorded response of an endpoint and what it means.
type recordedResponse struct {
	Name       string  `json:"name"`
	Response   string  `json:"answer"`
	Outcomes   int     `json:"outcomes"` // how often one was reported
	Outcome    string  `json:"outcome"`
	Status     int     `json:"status"`
	RetryAfter int64   `json:"retry_after_us"`
	Hold       int64   `json:"hold_us"` // how long calls to the destination are held back
	Slots      bool    `json:"slots_taken"`
	Over       bool    `json:"message_over"`
	Malformed  bool    `json:"malformed"`
	Error      bool    `json:"error"`
	LoadLeft   float64 `json:"load_left"`
	LoadLimit  float64 `json:"load_limit"`
	Reusable   bool    `json:"reusable"` // the connection
}

var outcomeNames = map[policy.Outcome]string{
	policy.Delivered:       "delivered",
	policy.Failed:          "failed",
	policy.Rejected:        "rejected",
	policy.TimedOut:        "timed out",
	policy.ConnectFailed:   "connect failed",
	policy.ConnectionReset: "reset",
	policy.Cancelled:       "cancelled",
	policy.NotSent:         "not sent",
}

// readRecorded reads a recorded response as that to a call.
func readRecorded(t *testing.T, response string) recordedResponse {
	t.Helper()
	here, there := net.Pipe()
	go func() {
		respond(there, response)
		_ = there.Close()
	}()
	pool := testPool(t)
	pool.now = func() policy.Time { return 1000 }
	endpoint := openPlain(pool, "endpoint.example.org:8080")
	pool.open++
	conn := newPoolConn(endpoint, here)
	defer conn.discard()
	req, err := newCallRequest(endpoint.address, &Request{ID: "m", IdempotencyKey: "k", Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	got := recordedResponse{Response: response}
	got.Reusable = readResponse(conn, req, []string{"x0", "x1"}, func(result Result) {
		got.Outcomes++
		got.Outcome, got.Status = outcomeNames[result.Outcome], result.Status
		got.RetryAfter, got.Slots = result.RetryAfter, result.SlotsExhausted
		got.Over, got.Malformed, got.Error = result.Final, result.Malformed, result.Err != nil
		got.LoadLeft, got.LoadLimit = result.Load.Remaining, result.Load.Limit
	})
	got.Hold = endpoint.RetryAfter()
	return got
}

// TestGoldenResponses reads recorded responses and compares their results.
func TestGoldenResponses(t *testing.T) {
	var recorded []recordedResponse
	if err := json.Unmarshal(readGolden(t, "answers.json"), &recorded); err != nil {
		t.Fatal(err)
	}
	if len(recorded) < 30 {
		t.Fatalf("%d responses recorded", len(recorded))
	}
	for _, want := range recorded {
		t.Run(want.Name, func(t *testing.T) {
			got := readRecorded(t, want.Response)
			got.Name = want.Name
			if got != want {
				t.Errorf("got  %+v\nwant %+v", got, want)
			}
		})
	}
}

// TestGoldenErrorTexts compares the texts of errors that go into message traces.
func TestGoldenErrorTexts(t *testing.T) {
	got := []string{}
	for _, err := range []error{
		sendgate.ErrEndpointDraining,
		sendgate.RetryAfterError{Remaining: 1234567},
		sendgate.ErrDedupWindowExpired,
		errPoolFull,
		errResponseTooLarge,
		errStaleConn,
		errCancelled,
		errConnectNotAllowed,
		handshakeBudgetError{1234567 * time.Microsecond},
	} {
		got = append(got, err.Error())
		if refusal := sendgate.IsRefusal(err); refusal != (len(got) <= 3) {
			t.Errorf("%v is a refusal of the send gate: %v", err, refusal)
		}
	}
	if text, want := strings.Join(got, "\n")+"\n", string(readGolden(t, "errors.txt")); text != want {
		t.Errorf("got\n%swant\n%s", text, want)
	}
}
