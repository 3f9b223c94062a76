package h1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/event"
	"troutusher/internal/seededrand"
)

const ms, sec endpoint.Time = 1000, 1_000_000

// harness runs a server and keeps the events of its model.
type harness struct {
	t         testing.TB
	server    *Server
	began     time.Time
	mu        sync.Mutex
	effectsOf map[string]int // by message
	events    []event.Event
}

// newHarness starts a server with the specified endpoints. Messages are known if their IDs begin with
// "m".
func newHarness(t testing.TB, specs ...endpoint.Spec) *harness {
	t.Helper()
	h := &harness{t: t, began: time.Now(), effectsOf: map[string]int{}}
	var lastNumber atomic.Int64
	lookup := func(id string) (endpoint.Message, bool) {
		return endpoint.Message{Number: int(lastNumber.Add(1)), Destination: 1}, strings.HasPrefix(id, "m")
	}
	model, err := endpoint.New(specs, endpoint.Rules{Relays: 2}, 5, lookup, h.record)
	if err != nil {
		t.Fatal(err)
	}
	clock := func() endpoint.Time { return time.Since(h.began).Microseconds() }
	if h.server, err = New(model, 2, clock); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.server.Close)
	return h
}

func (h *harness) record(e event.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.Kind == event.TookEffect {
		h.effectsOf[e.ID]++
	}
	h.events = append(h.events, e)
}

func (h *harness) injectFault(f *endpoint.Fault) {
	h.server.Update(func(m *endpoint.Model, now endpoint.Time) { m.InjectFault(now, 0, f) })
}

func (h *harness) clearFault(f *endpoint.Fault) {
	h.server.Update(func(m *endpoint.Model, now endpoint.Time) { m.ClearFault(now, 0, f) })
}

func (h *harness) waitFor(description string, condition func() bool) {
	h.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		h.mu.Lock()
		ok := condition()
		h.mu.Unlock()
		if ok {
			return
		}
	}
	h.t.Fatalf("timed out after 20 s waiting for %s", description)
}

func plainSpec() endpoint.Spec {
	return endpoint.Spec{
		Name:        "p",
		Destination: 1,
		Endpoints:   1,
		Capacity:    1000,
		QueueLimit:  100,
		ServiceTimes: []endpoint.ServiceTime{
			{Mean: 5 * ms, Distribution: seededrand.Constant},
		},
		ClassMix:    []float64{1},
		RateLimit:   endpoint.RateLimit{Kind: endpoint.NoLimit},
		WarmUpShare: 1,
		Cancel:      endpoint.CancelNone,
	}
}

// client is a connection of a relay to an endpoint.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (h *harness) dial() *client {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.server.Addr(0, 0))
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = conn.Close() })
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) sendCall(id string) {
	_, _ = fmt.Fprintf(c, "POST /v1/messages HTTP/1.1\r\nX-Request-ID: %s\r\nX-Timeout-Ms: 100\r\n"+
		"Content-Length: 4\r\n\r\nbody", id)
}

func (c *client) readResponse(wait time.Duration) (*http.Response, error) {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return resp, err
}

// expectStatus reads the response to a request and fails the test unless it has the wanted status.
func (h *harness) expectStatus(c *client, request string, want int) {
	h.t.Helper()
	resp, err := c.readResponse(5 * time.Second)
	if err != nil || resp.StatusCode != want {
		h.t.Fatalf("response to %s = %v, error %v, want status %d", request, resp, err, want)
	}
}

// The responses of the model reach the caller with their status and Retry-After, and requests for other
// messages or paths get 400 and 404.
func TestResponses(t *testing.T) {
	h := newHarness(t, plainSpec())
	c := h.dial()
	for _, test := range []struct {
		fault      *endpoint.Fault
		status     int
		retryAfter string
	}{
		{nil, 200, ""},
		{&endpoint.Fault{Kind: endpoint.RejectAll}, 503, ""},
		{&endpoint.Fault{Kind: endpoint.RejectWithRetryAfter, Magnitude: 0.4}, 429, "0.400"},
		{&endpoint.Fault{Kind: endpoint.ErrorResponses, Share: 1}, 500, ""},
		{nil, 200, ""},
	} {
		if test.fault != nil {
			h.injectFault(test.fault)
		}
		c.sendCall("m1")
		resp, err := c.readResponse(5 * time.Second)
		if err != nil || resp.StatusCode != test.status || resp.Header.Get("Retry-After") != test.retryAfter {
			t.Fatalf("response under fault %+v = %v, error %v, want status %d and Retry-After %q",
				test.fault, resp, err, test.status, test.retryAfter)
		}
		if test.fault != nil {
			h.clearFault(test.fault)
		}
	}
	c.sendCall("unknown")
	h.expectStatus(c, "a call for an unknown message", 400)
	_, _ = io.WriteString(c, "GET /health/live HTTP/1.1\r\n\r\n")
	h.expectStatus(c, "a health check", 200)
	_, _ = io.WriteString(c, "GET /stats HTTP/1.1\r\n\r\n")
	h.expectStatus(c, "a request for an unknown path", 404)
}

// A crashed endpoint resets its connections and refuses new ones. After each of several crashes it serves
// again at the same address.
func TestCrashedEndpointRefusesConnectionsAndRecoversAtItsAddress(t *testing.T) {
	h := newHarness(t, plainSpec())
	c := h.dial()
	f := &endpoint.Fault{Kind: endpoint.Crash}
	for range 3 {
		h.injectFault(f)
		if _, err := c.readResponse(5 * time.Second); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("read from an open connection after the crash: error %v, want ECONNRESET", err)
		}
		if _, err := net.Dial("tcp", h.server.Addr(0, 0)); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("dial of a crashed endpoint: error %v, want ECONNREFUSED", err)
		}
		h.clearFault(f)
		c = h.dial()
		c.sendCall("m1")
		h.expectStatus(c, "a call after the recovery", 200)
	}
}

// An unreachable machine neither answers on open connections nor establishes new ones, although the
// kernel of this machine would accept them. When it is back, the old connections are reset.
func TestBlackholedMachineIsUnresponsive(t *testing.T) {
	h := newHarness(t, plainSpec())
	c := h.dial()
	c.sendCall("m1")
	_, _ = c.readResponse(5 * time.Second)
	f := &endpoint.Fault{Kind: endpoint.Blackhole}
	h.injectFault(f)
	h.server.AwaitUnresponsive(0)
	c.sendCall("m2")
	if _, err := c.readResponse(200 * time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read from an open connection to a blackholed endpoint: error %v, want a timeout", err)
	}
	if conn, err := net.DialTimeout("tcp", h.server.Addr(0, 0), 200*time.Millisecond); err == nil {
		_ = conn.Close()
		t.Error("dial of a blackholed endpoint established a connection, want a timeout")
	}
	h.clearFault(f)
	if _, err := c.readResponse(5 * time.Second); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read from the old connection after the recovery: error %v, want ECONNRESET", err)
	}
	c = h.dial()
	c.sendCall("m3")
	h.expectStatus(c, "a call on a new connection after the recovery", 200)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.effectsOf["m2"] != 0 || h.effectsOf["m3"] != 1 {
		t.Errorf("effects by message = %v, want none of m2 and one of m3", h.effectsOf)
	}
}

// A call whose caller has disconnected still takes effect, and the events show the end of the call before
// its effect.
func TestCallTakesEffectAfterItsCallerHasDisconnected(t *testing.T) {
	s := plainSpec()
	s.Capacity, s.ServiceTimes[0].Mean = 10, 100*ms
	h := newHarness(t, s)
	c := h.dial()
	c.sendCall("m1")
	h.waitFor("the call to arrive", func() bool { return len(h.events) > 1 })
	_ = c.Close()
	h.waitFor(
		"the effect and the CallFinal event of the call",
		func() bool { return h.effectsOf["m1"] == 1 && h.events[len(h.events)-1].Kind == event.CallFinal },
	)
	h.mu.Lock()
	defer h.mu.Unlock()
	order := ""
	for _, e := range h.events {
		order += e.Kind.String() + "; "
	}
	if want := "call's first byte; call; call's end; ran; call over; "; order != want {
		t.Errorf("order of events = %s\nwant %s", order, want)
	}
}

// A call can take effect although its caller gets only a connection reset.
func TestCallWhoseConnectionIsResetTakesEffect(t *testing.T) {
	h := newHarness(t, plainSpec())
	h.injectFault(&endpoint.Fault{Kind: endpoint.ConnectionReset, Share: 1})
	c := h.dial()
	c.sendCall("m1")
	if _, err := c.readResponse(5 * time.Second); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read of the response: error %v, want ECONNRESET", err)
	}
	h.waitFor("the effect of the call", func() bool { return h.effectsOf["m1"] == 1 })
}

// A LateResponse fault delays the response until the fault's magnitude after the timeout that the caller
// stated in its request.
func TestLateResponseComesAfterTheCallersTimeout(t *testing.T) {
	h := newHarness(t, plainSpec())
	h.injectFault(&endpoint.Fault{Kind: endpoint.LateResponse, Share: 1, Magnitude: 0.05})
	c := h.dial()
	at := time.Now()
	c.sendCall("m1")
	resp, err := c.readResponse(5 * time.Second)
	if took := time.Since(at); err != nil || resp.StatusCode != 200 || took < 150*time.Millisecond {
		t.Errorf("response = %v, error %v after %v, want status 200 after 150 ms (timeout 100 ms + 50 ms) or more",
			resp, err, took)
	}
}

// An HTTP client cannot parse a response with a defect, except for the duplicate, which it reads as two
// responses. The call takes effect all the same.
func TestMalformedResponses(t *testing.T) {
	h := newHarness(t, plainSpec())
	for _, defect := range []endpoint.ResponseDefect{
		endpoint.GarbageBytes, endpoint.EndlessHeader, endpoint.WrongLength, endpoint.DuplicateResponse,
	} {
		f := &endpoint.Fault{Kind: endpoint.MalformedResponse, Share: 1, Defect: defect}
		h.injectFault(f)
		c := h.dial()
		c.sendCall("m-" + string(defect))
		resp, err := c.readResponse(300 * time.Millisecond)
		if defect == endpoint.DuplicateResponse {
			if err != nil || resp.StatusCode != 200 {
				t.Errorf("first response with defect %q = %v, error %v, want status 200", defect, resp, err)
			}
			if again, err := c.readResponse(5 * time.Second); err != nil || again.StatusCode != 200 {
				t.Errorf("second response with defect %q = %v, error %v, want status 200", defect, again, err)
			}
		} else if err == nil {
			t.Errorf("response with defect %q was parsed as %v, want an error", defect, resp)
		}
		h.clearFault(f)
		h.waitFor("the effect of the call", func() bool { return h.effectsOf["m-"+string(defect)] == 1 })
		_ = c.Close()
	}
}

// Invalid requests get status 400 or a closed connection, and a second call before the response to the
// first resets the connection. The server still serves other connections.
func TestInvalidRequestEndsOnlyItsConnection(t *testing.T) {
	h := newHarness(t, plainSpec())
	for _, text := range []string{
		"\x00\xff\x00\r\n\r\n", "POST /v1/messages HTTP/1.1\r\nContent-Length: 999999999\r\n\r\n",
		"POST /v1/messages HTTP/1.1\r\nContent-Length: -4\r\n\r\n", "POST /v1/messages HTTP/1.1\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n",
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 64<<10),
	} {
		c := h.dial()
		_, _ = io.WriteString(c, text)
		c.CloseWrite()
		if resp, err := c.readResponse(5 * time.Second); err == nil && resp.StatusCode != 400 {
			t.Errorf("response to %.40q = %v, want status 400", text, resp)
		}
	}
	c := h.dial()
	c.sendCall("m1")
	c.sendCall("m2") // before the response to m1
	if _, err := c.readResponse(5 * time.Second); err == nil {
		if _, err = c.readResponse(5 * time.Second); err == nil {
			t.Error("two concurrent calls on one connection both got a response, want the connection reset")
		}
	}
	c = h.dial()
	c.sendCall("m3")
	h.expectStatus(c, "a valid call after the invalid requests", 200)
}

func (c *client) CloseWrite() { _ = c.Conn.(*net.TCPConn).CloseWrite() }
