package loadgen

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/emulator/endpoint/h1"
	"troutusher/internal/event"
	"troutusher/internal/rehearsal/checker"
	"troutusher/internal/rehearsal/scenario"
)

// smallScenario has one class, one portal and one partner. Its length, its rate and the class's
// deadline are filled in.
const smallScenario = `version = 1
name = "x"
length_s = %v
[clients]
answer_ms = 400
retries = 2
backoff_ms = 20
honour = 1.0
[traffic]
rate_per_s = %v
[[class]]
name = "a"
aim_ms = 1000
deadline_ms = %v
late_worth = 0.2
repeat = "safe"
[[partner]]
name = "p"
endpoints = 4
capacity_per_s = 10000
queue = 10000
service_ms = { all = 5 }
`

func loadPlan(t testing.TB, length, rate, deadline float64) *scenario.Plan {
	t.Helper()
	s, err := scenario.Parse("x", fmt.Appendf(nil, smallScenario, length, rate, deadline))
	if err != nil {
		t.Fatal(err)
	}
	return s.Plan(s.Seed)
}

// testDriver is a Driver with the events that it emitted.
type testDriver struct {
	driver  *Driver
	mu      sync.Mutex
	events  []event.Event
	onEvent func(*event.Event) // called with each event, if set
}

func (r *testDriver) emit(e event.Event) {
	r.mu.Lock()
	r.events = append(r.events, e)
	r.mu.Unlock()
	if r.onEvent != nil {
		r.onEvent(&e)
	}
}

// count returns the number of events of a kind.
func (r *testDriver) count(kind event.Kind) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// newTestDriver returns a driver whose plan starts now.
func newTestDriver(p *scenario.Plan, relays ...string) *testDriver {
	r := &testDriver{}
	start := time.Now()
	r.driver = New(
		Config{
			Plan: p, Relays: relays, Emit: r.emit, Clock: func() event.Time { return time.Since(start).Microseconds() },
		},
	)
	return r
}

// outcomes returns the number of messages by outcome.
func (r *testDriver) outcomes() map[Outcome]int {
	counts := map[Outcome]int{}
	for _, result := range r.driver.Results() {
		counts[result.Outcome]++
	}
	return counts
}

// deliver delivers a message as soon as its relay has accepted it.
func (r *testDriver) deliver(e *event.Event) {
	if e.Kind == event.Accepted {
		r.driver.HandleEvent(&event.Event{Kind: event.CallEnded, Status: 200, ID: e.ID})
	}
}

// Each message of the plan is submitted exactly once, to the relays in turn, with the fields of
// its arrival and an ID of its own, and less than 300 ms after its planned time.
func TestEachArrivalIsSubmittedOnceInTime(t *testing.T) {
	p := loadPlan(t, 1, 200, 3000)
	a, b := newRelayDouble(t, nil), newRelayDouble(t, nil)
	r := newTestDriver(p, a.ln.Addr().String(), b.ln.Addr().String())
	r.onEvent = r.deliver
	r.driver.Run(t.Context())
	n := len(p.Arrivals)
	if got := r.outcomes(); got[Delivered] != n || r.count(event.Submitted) != n ||
		len(a.received)+len(b.received) != n {
		t.Fatalf("%d messages: outcomes %v, %d submitted, relays received %d and %d; want each %s, submitted and "+
			"received once", n, got, r.count(event.Submitted), len(a.received), len(b.received), Delivered)
	}
	if math.Abs(float64(len(a.received)-len(b.received))) > 1 {
		t.Errorf("relays received %d and %d submissions, want a difference of at most 1",
			len(a.received), len(b.received))
	}
	var submittedAt []event.Time
	for _, e := range r.events {
		if e.Kind == event.Submitted {
			submittedAt = append(submittedAt, e.At)
		}
	}
	slices.Sort(submittedAt)
	for i := range submittedAt {
		if late := submittedAt[i] - p.Arrivals[i].At; late < 0 || late > 300_000 {
			t.Fatalf("submission %d made %d µs after its planned time, want 0 to 300000", i, late)
		}
	}
	for _, line := range a.received {
		if !strings.Contains(line, "c=a,t=portal,d=") || !strings.HasSuffix(line, ",dest=1") {
			t.Fatalf("relay received ID and fields %q, want fields c=a,t=portal,d=...,dest=1", line)
		}
	}
	ids := map[string]bool{}
	for _, line := range append(a.received, b.received...) {
		id, _, _ := strings.Cut(line, " ")
		if ids[id] || len(id) != 16 {
			t.Fatalf("submission ID %q (already seen: %v), want a new ID of 16 digits", id, ids[id])
		}
		ids[id] = true
	}
}

// A client retries after a rejection, a missing reply and a closed connection, and a field states
// the reason. It does not retry after any other error reply.
func TestRetriesAreMarked(t *testing.T) {
	for _, c := range []struct {
		name        string
		reply       func(id string, n int) string // to the n-th submission
		outcome     Outcome
		submissions int
		lastField   string // end of the last submission's fields
		event       event.Kind
	}{
		{"accepted at the second submission", func(_ string, n int) string {
			return map[bool]string{true: "-BUSY 30\r\n", false: "+OK\r\n"}[n == 1]
		}, Delivered, 2, "r=1", event.Rejected},
		{"rejected each time", func(string, int) string { return "-BUSY\r\n" }, Rejected, 3, "r=1", event.Rejected},
		{"error reply", func(string, int) string { return "-ERR given up\r\n" }, Failed, 1, "dest=1", event.Failed},
		{
			"a bulk string as reply means accepted", func(string, int) string { return "$4\r\nfine\r\n" },
			Delivered, 1, "dest=1", event.Accepted,
		},
		{
			"no reply within the timeout",
			func(_ string, n int) string { return map[bool]string{true: "", false: "+OK\r\n"}[n == 1] },
			Delivered, 2, "again=1", event.ClientTimedOut,
		},
		{
			"connection closed by the relay",
			func(_ string, n int) string { return map[bool]string{true: "close", false: "+OK\r\n"}[n == 1] },
			Delivered, 2, "again=1", event.ConnectionEnded,
		},
		{
			"reply longer than the limit", func(string, int) string { return "-" + strings.Repeat("x", 600) + "\r\n" },
			Unanswered, 4, "again=1", event.ConnectionEnded,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := loadPlan(t, 1, 50, 4000)
			p.Arrivals = p.Arrivals[:1]
			s := newRelayDouble(t, nil)
			s.reply = c.reply
			r := newTestDriver(p, s.ln.Addr().String())
			r.onEvent = r.deliver
			r.driver.Run(t.Context())
			if got := r.driver.Results()[0]; got.Outcome != c.outcome || got.Submissions != c.submissions {
				t.Errorf("result %+v, want %s after %d submissions", got, c.outcome, c.submissions)
			}
			if len(s.received) != c.submissions || !strings.HasSuffix(s.received[len(s.received)-1], c.lastField) {
				t.Errorf("relay received %v, want %d submissions, the last ending with %s", s.received, c.submissions,
					c.lastField)
			}
			if r.count(c.event) == 0 {
				t.Errorf("no event %q emitted, want at least one", c.event)
			}
		})
	}
}

// A notice ends an accepted message: as failed if the relay abandoned it, and as rejected if the
// relay returned it each time that the client submitted it.
func TestNoticesEndMessages(t *testing.T) {
	for status, want := range map[int]Outcome{event.NoticeGivenUp: Failed, event.NoticeHandedBack: Rejected} {
		p := loadPlan(t, 1, 50, 4000)
		p.Arrivals = p.Arrivals[:1]
		s := newRelayDouble(t, nil)
		r := newTestDriver(p, s.ln.Addr().String())
		r.onEvent = func(e *event.Event) {
			if e.Kind == event.Accepted {
				go r.driver.HandleEvent(&event.Event{Kind: event.NoticeReceived, Status: status, ID: e.ID, Wait: 1000})
			}
		}
		r.driver.Run(t.Context())
		if got := r.driver.Results()[0]; got.Outcome != want {
			t.Errorf("result after notice %d: %+v, want %s", status, got, want)
		}
	}
}

// The load balancer still picks a relay that it has not yet detected as down. Clients whose
// connection is refused there submit to the other relay, and no message is lost.
func TestMessagesOfAStoppedRelayGoToAnother(t *testing.T) {
	p := loadPlan(t, 1, 100, 4000)
	a, b := newRelayDouble(t, nil), newRelayDouble(t, nil)
	_ = a.ln.Close() // connections are refused
	r := newTestDriver(p, a.ln.Addr().String(), b.ln.Addr().String())
	r.onEvent = r.deliver
	r.driver.RelayDown(0, 200_000) // the load balancer picks it for another 200 ms
	r.driver.Run(t.Context())
	if got := r.outcomes(); got[Delivered] != len(p.Arrivals) || len(b.received) != len(p.Arrivals) {
		t.Errorf("outcomes %v, the running relay received %d submissions, want %d delivered and received",
			got, len(b.received), len(p.Arrivals))
	}
}

// The relay closes the connection after the first reply. The second request fails on it and is sent
// again over a new connection, without a resubmission or an event.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	p := loadPlan(t, 1, 50, 4000)
	p.Arrivals = p.Arrivals[:2]
	p.Arrivals[1].At = p.Arrivals[0].At + 200_000
	s := newRelayDouble(t, nil)
	r := newTestDriver(p, s.ln.Addr().String())
	r.onEvent = func(e *event.Event) {
		if r.deliver(e); e.Kind == event.Accepted {
			s.mu.Lock()
			_ = s.conns[0].Close()
			s.mu.Unlock()
		}
	}
	r.driver.Run(t.Context())
	if got := r.outcomes(); got[Delivered] != 2 || r.count(event.ConnectionEnded) != 0 ||
		r.count(event.Submitted) != 2 {
		t.Errorf("outcomes %v, events %v; want 2 messages delivered and submitted once, no %q", got, r.events,
			event.ConnectionEnded)
	}
}

// Guards the weight of a delivery: full up to the latency objective, then falling linearly to the late
// weight at the deadline, and 0 after it and for any outcome but Delivered.
func TestEarnedWeight(t *testing.T) {
	class := &scenario.Class{LatencyObjectiveMS: 1000, DeadlineMS: 3000, Weight: 3, LateWeight: 0.5}
	for _, c := range []struct {
		outcome Outcome
		elapsed event.Time
		want    float64
	}{
		{Delivered, 0, 3},
		{Delivered, 1e6, 3},
		{Delivered, 2e6, 2.25},
		{Delivered, 3e6, 1.5},
		{Delivered, 3e6 + 1, 0},
		{Failed, 0, 0},
	} {
		if got := EarnedWeight(class, &Result{Outcome: c.outcome, Elapsed: c.elapsed}); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("EarnedWeight(%s after %d µs) = %v, want %v", c.outcome, c.elapsed, got, c.want)
		}
	}
}

// FuzzReply checks that no reply, however malformed, causes a panic or is kept beyond the size
// limit.
func FuzzReply(f *testing.F) {
	for _, s := range []string{
		"+OK\r\n", "-BUSY 30\r\n", "$2\r\nok\r\n", "$-1\r\n", "$99999999999999999999\r\n", "", "\n",
		"-BUSY 9999999999999\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		client, relay := net.Pipe()
		go func() {
			_, _ = io.CopyN(io.Discard, relay, 4)
			_, _ = relay.Write(text)
			_ = relay.Close()
		}()
		c := &conn{Conn: client, reader: bufio.NewReaderSize(client, 512), request: []byte("PING")}
		written, reply, err := c.roundTrip(time.Now().Add(5 * time.Second))
		_ = client.Close()
		if !written || err == nil && len(reply) > maxReplyBytes {
			t.Fatalf("roundTrip() = written %v, reply of %d bytes, error %v, want written and a reply of at most "+
				"%d bytes", written, len(reply), err, maxReplyBytes)
		}
		if err == nil {
			p := loadPlan(t, 0.5, 10, 1000)
			p.Arrivals = []scenario.Arrival{{Destination: 1}}
			d := New(
				Config{
					Plan: p, Relays: []string{"127.0.0.1:1"}, Emit: func(event.Event) {},
					Clock: func() event.Time { return 0 },
				},
			)
			d.handleReply(&submission{attempt: 99}, reply, 0)
			d.Close()
		}
	})
}

// BenchmarkDriver runs the driver, the emulated endpoints, the checker and a relayDouble on one
// core at 5,000 messages per second. It reports the delivery rate, the CPU use and how late the
// driver and the emulators were.
func BenchmarkDriver(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const rate, seconds = 5000.0, 4.0
	for b.Loop() {
		p := loadPlan(b, seconds, rate, 5000)
		r := &testDriver{}
		start := time.Now()
		clock := func() event.Time { return time.Since(start).Microseconds() }
		ruleChecker := checker.New(p.CheckerConfig())
		var mu sync.Mutex
		check := func(e event.Event) {
			mu.Lock()
			ruleChecker.Step(e)
			mu.Unlock()
		}
		handleEvent := func(e event.Event) { check(e); r.driver.HandleEvent(&e) }
		emulator, err := endpoint.New(
			p.Specs, endpoint.Rules{Relays: 1}, p.ServiceTimeSeed(),
			func(id string) (endpoint.Message, bool) { return r.driver.Lookup(id) }, handleEvent,
		)
		if err != nil {
			b.Fatal(err)
		}
		server, err := h1.New(emulator, 1, clock)
		if err != nil {
			b.Fatal(err)
		}
		var nextEndpoint atomic.Int64
		s := newRelayDouble(b, func(int) string { return server.Addr(int(nextEndpoint.Add(1)%4), 0) })
		r.driver = New(
			Config{Plan: p, Relays: []string{s.ln.Addr().String()}, Emit: check, Clock: clock, Start: clock()},
		)
		var before, after syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
		runStart := time.Now()
		r.driver.Run(b.Context())
		elapsed := time.Since(runStart).Seconds()
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
		cpu := float64(after.Utime.Nano()+after.Stime.Nano()-before.Utime.Nano()-before.Stime.Nano()) / 1e9
		late, _ := server.TimerLag(99)
		b.ReportMetric(float64(r.outcomes()[Delivered])/elapsed, "delivered/s")
		b.ReportMetric(100*cpu/elapsed, "%core")
		b.ReportMetric(float64(r.driver.Lateness(99))/1000, "driver-late-ms")
		b.ReportMetric(float64(late)/1000, "standin-late-ms")
		if v := ruleChecker.Violations(); len(v) > 0 {
			b.Errorf("%d rule violations, want none; the first: %s", len(v), v[0].String())
		}
		server.Close()
	}
}
