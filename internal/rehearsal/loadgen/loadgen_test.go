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

type testDriver struct {
	d    *Driver
	mu   sync.Mutex
	said []event.Event
	hook func(*event.Event)
}

func (r *testDriver) emit(e event.Event) {
	r.mu.Lock()
	r.said = append(r.said, e)
	r.mu.Unlock()
	if r.hook != nil {
		r.hook(&e)
	}
}

func (r *testDriver) count(k event.Kind) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.said {
		if e.Kind == k {
			n++
		}
	}
	return n
}

func startDriver(p *scenario.Plan, relays ...string) *testDriver {
	r := &testDriver{}
	began := time.Now()
	r.d = New(
		Config{
			Plan: p, Relays: relays, Emit: r.emit, Clock: func() event.Time { return time.Since(began).Microseconds() },
		},
	)
	return r
}

func (r *testDriver) outcomes() map[Outcome]int {
	n := map[Outcome]int{}
	for _, x := range r.d.Results() {
		n[x.Outcome]++
	}
	return n
}

// deliver ends each message that was taken on.
func (r *testDriver) deliver(e *event.Event) {
	if e.Kind == event.Accepted {
		r.d.HandleEvent(&event.Event{Kind: event.CallEnded, Status: 200, ID: e.ID})
	}
}

func TestEachArrivalIsSubmittedOnceInTime(t *testing.T) {
	p := loadPlan(t, 1, 200, 3000)
	a, b := newRelayDouble(t, nil), newRelayDouble(t, nil)
	r := startDriver(p, a.ln.Addr().String(), b.ln.Addr().String())
	r.hook = r.deliver
	r.d.Run(t.Context())
	n := len(p.Arrivals)
	if got := r.outcomes(); got[Delivered] != n || r.count(event.Submitted) != n || len(a.got)+len(b.got) != n {
		t.Fatalf("%d messages: ends %v, %d hand-ins, %d and %d came", n, got, r.count(event.Submitted), len(a.got),
			len(b.got))
	}
	if math.Abs(float64(len(a.got)-len(b.got))) > 1 {
		t.Errorf("dealt %d and %d", len(a.got), len(b.got))
	}
	var at []event.Time
	for _, e := range r.said {
		if e.Kind == event.Submitted {
			at = append(at, e.At)
		}
	}
	slices.Sort(at)
	for i := range at {
		if d := at[i] - p.Arrivals[i].At; d < 0 || d > 300_000 {
			t.Fatalf("hand-in %d is %d µs off", i, d)
		}
	}
	for _, line := range a.got {
		if !strings.Contains(line, "c=a,t=portal,d=") || !strings.HasSuffix(line, ",dest=1") {
			t.Fatalf("handed in: %s", line)
		}
	}
	ids := map[string]bool{}
	for _, line := range append(a.got, b.got...) {
		id, _, _ := strings.Cut(line, " ")
		if ids[id] || len(id) != 16 {
			t.Fatalf("id %q", id)
		}
		ids[id] = true
	}
}

func TestRetriesAreMarked(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply func(id string, n int) string
		end   Outcome
		puts  int
		mark  string // of the last
		event event.Kind
	}{
		{"taken at the second try", func(_ string, n int) string {
			return map[bool]string{true: "-BUSY 30\r\n", false: "+OK\r\n"}[n == 1]
		}, Delivered, 2, "r=1", event.Rejected},
		{"refused to the last", func(string, int) string { return "-BUSY\r\n" }, Rejected, 3, "r=1", event.Rejected},
		{"failed", func(string, int) string { return "-ERR given up\r\n" }, Failed, 1, "dest=1", event.Failed},
		{
			"any bulk string is a yes", func(string, int) string { return "$4\r\nfine\r\n" }, Delivered, 1, "dest=1",
			event.Accepted,
		},
		{
			"no answer", func(_ string, n int) string { return map[bool]string{true: "", false: "+OK\r\n"}[n == 1] },
			Delivered, 2, "again=1", event.ClientTimedOut,
		},
		{
			"cut off", func(_ string, n int) string { return map[bool]string{true: "close", false: "+OK\r\n"}[n == 1] },
			Delivered, 2, "again=1", event.ConnectionEnded,
		},
		{
			"rubbish", func(string, int) string { return "-" + strings.Repeat("x", 600) + "\r\n" }, Unanswered, 4,
			"again=1", event.ConnectionEnded,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := loadPlan(t, 1, 50, 4000)
			p.Arrivals = p.Arrivals[:1]
			s := newRelayDouble(t, nil)
			s.says = c.reply
			r := startDriver(p, s.ln.Addr().String())
			r.hook = r.deliver
			r.d.Run(t.Context())
			if got := r.d.Results()[0]; got.Outcome != c.end || got.Submissions != c.puts {
				t.Errorf("%+v, want %s after %d hand-ins", got, c.end, c.puts)
			}
			if len(s.got) != c.puts || !strings.HasSuffix(s.got[len(s.got)-1], c.mark) {
				t.Errorf("came: %v, want %d, the last with %s", s.got, c.puts, c.mark)
			}
			if r.count(c.event) == 0 {
				t.Errorf("no event %s", c.event)
			}
		})
	}
}

func TestNoticesEndMessages(t *testing.T) {
	for status, want := range map[int]Outcome{event.NoticeAbandoned: Failed, event.NoticeReturned: Rejected} {
		p := loadPlan(t, 1, 50, 4000)
		p.Arrivals = p.Arrivals[:1]
		s := newRelayDouble(t, nil)
		r := startDriver(p, s.ln.Addr().String())
		r.hook = func(e *event.Event) {
			if e.Kind == event.Accepted {
				go r.d.HandleEvent(&event.Event{Kind: event.NoticeReceived, Status: status, ID: e.ID, Wait: 1000})
			}
		}
		r.d.Run(t.Context())
		if got := r.d.Results()[0]; got.Outcome != want {
			t.Errorf("%+v, want %s", got, want)
		}
	}
}

func TestMessagesOfAStoppedRelayGoToAnother(t *testing.T) {
	p := loadPlan(t, 1, 100, 4000)
	a, b := newRelayDouble(t, nil), newRelayDouble(t, nil)
	_ = a.ln.Close() // connections are refused
	r := startDriver(p, a.ln.Addr().String(), b.ln.Addr().String())
	r.hook = r.deliver
	r.d.RelayDown(0, 200_000) // the front goes on dealing to it for a while
	r.d.Run(t.Context())
	if got := r.outcomes(); got[Delivered] != len(p.Arrivals) || len(b.got) != len(p.Arrivals) {
		t.Errorf("ends %v, %d came", got, len(b.got))
	}
}

func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	p := loadPlan(t, 1, 50, 4000)
	p.Arrivals = p.Arrivals[:2]
	p.Arrivals[1].At = p.Arrivals[0].At + 200_000
	s := newRelayDouble(t, nil)
	r := startDriver(p, s.ln.Addr().String())
	r.hook = func(e *event.Event) {
		if r.deliver(e); e.Kind == event.Accepted {
			s.mu.Lock()
			_ = s.all[0].Close()
			s.mu.Unlock()
		}
	}
	r.d.Run(t.Context())
	if got := r.outcomes(); got[Delivered] != 2 || r.count(event.ConnectionEnded) != 0 ||
		r.count(event.Submitted) != 2 {
		t.Errorf("ends %v, events %v", got, r.said)
	}
}

func TestEarnedWeight(t *testing.T) {
	c := &scenario.Class{LatencyObjectiveMS: 1000, DeadlineMS: 3000, Weight: 3, LateWeight: 0.5}
	for _, x := range []struct {
		end  Outcome
		at   event.Time
		want float64
	}{
		{Delivered, 0, 3},
		{Delivered, 1e6, 3},
		{Delivered, 2e6, 2.25},
		{Delivered, 3e6, 1.5},
		{Delivered, 3e6 + 1, 0},
		{Failed, 0, 0},
	} {
		if got := EarnedWeight(c, &Result{Outcome: x.end, Elapsed: x.at}); math.Abs(got-x.want) > 1e-9 {
			t.Errorf("%s at %d: %v, want %v", x.end, x.at, got, x.want)
		}
	}
}

// FuzzReply: no answer, however odd, does more than end a hand-in.
func FuzzReply(f *testing.F) {
	for _, s := range []string{
		"+OK\r\n", "-BUSY 30\r\n", "$2\r\nok\r\n", "$-1\r\n", "$99999999999999999999\r\n", "", "\n",
		"-BUSY 9999999999999\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		here, there := net.Pipe()
		go func() {
			_, _ = io.CopyN(io.Discard, there, 4)
			_, _ = there.Write(text)
			_ = there.Close()
		}()
		c := &conn{Conn: here, reader: bufio.NewReaderSize(here, 512), request: []byte("PING")}
		written, reply, err := c.roundTrip(time.Now().Add(5 * time.Second))
		_ = here.Close()
		if !written || err == nil && len(reply) > maxReplyBytes {
			t.Fatalf("%v, %d bytes, %v", written, len(reply), err)
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

// BenchmarkDriver has stand-ins and driver play 5,000 messages a second on one
// core, judged as they go, against a relay that only passes on and shares that
// core.
func BenchmarkDriver(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const rate, seconds = 5000.0, 4.0
	for b.Loop() {
		p := loadPlan(b, seconds, rate, 5000)
		r := &testDriver{}
		began := time.Now()
		clock := func() event.Time { return time.Since(began).Microseconds() }
		judge := checker.New(p.CheckerConfig())
		var mu sync.Mutex
		seen := func(e event.Event) {
			mu.Lock()
			judge.Step(e)
			mu.Unlock()
		}
		delivered := func(e event.Event) { seen(e); r.d.HandleEvent(&e) }
		w, err := endpoint.New(
			p.Specs, endpoint.Rules{Relays: 1}, p.ServiceTimeSeed(),
			func(id string) (endpoint.Message, bool) { return r.d.Lookup(id) }, delivered,
		)
		if err != nil {
			b.Fatal(err)
		}
		srv, err := h1.New(w, 1, clock)
		if err != nil {
			b.Fatal(err)
		}
		var turn atomic.Int64
		s := newRelayDouble(b, func(int) string { return srv.Addr(int(turn.Add(1)%4), 0) })
		r.d = New(Config{Plan: p, Relays: []string{s.ln.Addr().String()}, Emit: seen, Clock: clock, Start: clock()})
		var before, after syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
		at := time.Now()
		r.d.Run(b.Context())
		took := time.Since(at).Seconds()
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
		cpu := float64(after.Utime.Nano()+after.Stime.Nano()-before.Utime.Nano()-before.Stime.Nano()) / 1e9
		late, _ := srv.TimerLag(99)
		b.ReportMetric(float64(r.outcomes()[Delivered])/took, "delivered/s")
		b.ReportMetric(100*cpu/took, "%core")
		b.ReportMetric(float64(r.d.Lateness(99))/1000, "driver-late-ms")
		b.ReportMetric(float64(late)/1000, "standin-late-ms")
		if v := judge.Violations(); len(v) > 0 {
			b.Errorf("%d violations, the first: %s", len(v), v[0].String())
		}
		srv.Close()
	}
}
