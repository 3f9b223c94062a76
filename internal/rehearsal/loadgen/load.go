// Package loadgen plays the clients of a rehearsal: open-loop arrivals at their
// planned moments over RESP2, kept connections, retries after refusals, and a
// front that deals connections to relays. Latency counts from the planned
// moment of a message, however late the driver was. It must never judge a
// relay; it records what it did and heard.
package loadgen

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/event"
	"troutusher/internal/rehearsal/scenario"
)

// End is how a message ended for its client.
type End uint8

// Ends of a message.
const (
	Pending   End = iota
	Delivered     // a 200 was written to the relay
	Refused       // its last refusal; nobody tries again
	Failed        // its relay gave it up
	Unheard       // its clients heard nothing, and do not try again
)

var endNames = [...]string{"pending", "delivered", "refused", "failed", "unheard"}

// String is the ending's name.
func (e End) String() string { return endNames[e] }

// Result is what became of a message.
type Result struct {
	End      End
	At       event.Time // of its end, from its planned moment on
	HandIns  int
	Refusals int
}

// Config is what a driver is made of.
type Config struct {
	Plan   *scenario.Plan
	Relays []string          // addresses
	Emit   func(event.Event) // takes what happens, in order
	Clock  func() event.Time
	Start  event.Time // moment of the plan's beginning
}

// Driver plays a plan's arrivals.
type Driver struct {
	cfg   Config
	conns []*pool
	body  string
	door  atomic.Int64 // requests that met a connection refused, reset, or closed unread

	mu       sync.Mutex
	ids      map[string]*hand
	messages []message
	open     int // messages without an end
	done     chan struct{}
	front    []seat
	turn     int
	late     *hdrhistogram.Histogram // of the driver itself, µs
	answers  *hdrhistogram.Histogram // from a message's planned moment to the answer to its first hand-in, µs
	delivery *hdrhistogram.Histogram // from its planned moment to its delivery, µs
	waits    sync.WaitGroup
	quit     context.Context
	stop     context.CancelFunc
}

type message struct {
	Result
	class *scenario.Class
}

// hand is one hand-in.
type hand struct {
	id        string
	num       int
	relay     int
	try       int
	heard     bool // taken on
	delivered bool // perhaps before its client heard
	over      bool // nothing more comes of it
}

// seat is what the front knows of a relay.
type seat struct {
	down  bool
	until event.Time // it goes on dealing connections to it until then
}

// New makes a driver.
func New(cfg Config) *Driver {
	d := &Driver{
		cfg: cfg, ids: map[string]*hand{}, done: make(chan struct{}), front: make([]seat, len(cfg.Relays)),
		body: strings.Repeat("b", cfg.Plan.Scenario.Clients.Bodies), late: hdrhistogram.New(1, 60_000_000, 3),
		answers: hdrhistogram.New(1, 600_000_000, 3), delivery: hdrhistogram.New(1, 600_000_000, 3),
	}
	most := max(8, cfg.Plan.Scenario.Relays.Sockets/3)
	for _, addr := range cfg.Relays {
		d.conns = append(d.conns, &pool{addr: addr, free: make(chan struct{}, most), back: make(chan *conn)})
	}
	for _, a := range cfg.Plan.Arrivals {
		d.messages = append(d.messages, message{class: &cfg.Plan.Scenario.Classes[a.Class]})
	}
	d.open = len(d.messages)
	d.quit, d.stop = context.WithCancel(context.Background())
	return d
}

// Begin sets the moment of the plan's beginning, before Run.
func (d *Driver) Begin(at event.Time) { d.cfg.Start = at }

// Run plays the arrivals and returns once every message has its end, or ctx
// ends.
func (d *Driver) Run(ctx context.Context) {
	defer d.Close()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for i, a := range d.cfg.Plan.Arrivals {
		if wait := d.cfg.Start + a.At - d.cfg.Clock(); wait > 0 {
			timer.Reset(time.Duration(wait) * time.Microsecond)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		d.waits.Add(1)
		go d.begin(i)
	}
	if len(d.cfg.Plan.Arrivals) == 0 {
		return
	}
	select {
	case <-d.done:
	case <-ctx.Done():
	}
}

// Close ends what is under way.
func (d *Driver) Close() {
	d.stop()
	for _, p := range d.conns {
		p.close()
	}
	d.waits.Wait()
}

func (d *Driver) begin(num int) {
	defer d.waits.Done()
	late := d.cfg.Clock() - d.cfg.Start - d.cfg.Plan.Arrivals[num].At
	d.mu.Lock()
	_ = d.late.RecordValue(max(late, 1)) // beyond the range it is left out
	d.mu.Unlock()
	d.handIn(num, 0, "")
}

// Late is how late the driver began its messages, in µs, at a quantile from 0
// to 100.
func (d *Driver) Late(quantile float64) event.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.late.ValueAtQuantile(quantile)
}

// Latencies are the histograms of first answers and of deliveries, in µs.
func (d *Driver) Latencies() (answers, delivery *hdrhistogram.Histogram) {
	return d.answers, d.delivery
}

// Results tells what became of each message of the plan.
func (d *Driver) Results() []Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := make([]Result, len(d.messages))
	for i := range r {
		r[i] = d.messages[i].Result
	}
	return r
}

// Open is the number of messages that have begun, and of those without an end.
func (d *Driver) Open() (begun, open int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.messages {
		if d.messages[i].HandIns > 0 {
			begun++
		}
	}
	return begun, d.open - (len(d.messages) - begun)
}

// Lookup tells the stand-ins of a hand-in.
func (d *Driver) Lookup(id string) (endpoint.Message, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.ids[id]
	if h == nil {
		return endpoint.Message{}, false
	}
	a := &d.cfg.Plan.Arrivals[h.num]
	return endpoint.Message{Number: h.num, Class: a.Class, Destination: a.Dest, Finished: h.over}, true
}

// Down tells the front that a relay has ended or is ending; it notices later.
func (d *Driver) Down(relay int, notice event.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.front[relay].down {
		d.front[relay] = seat{true, d.cfg.Clock() + notice}
	}
}

// Up tells the front that a relay is ready.
func (d *Driver) Up(relay int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.front[relay] = seat{}
}

// deal picks the relay of a hand-in; -1 where the front has none.
func (d *Driver) deal(not int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock()
	for range len(d.front) {
		d.turn++
		i := d.turn % len(d.front)
		if s := d.front[i]; (!s.down || now < s.until) && (i != not || len(d.front) == 1) {
			return i
		}
	}
	return -1
}

const (
	dialWait  = time.Second
	frontWait = 50 * time.Millisecond // before another relay is tried
	linesMost = 512                   // bytes of an answer
)

// Door is how many requests met a connection that was refused, reset, or closed
// with the request unread.
func (d *Driver) Door() int { return int(d.door.Load()) }

// left is how long a message may still be delivered.
func (d *Driver) left(num int) event.Time {
	return d.cfg.Start + d.cfg.Plan.Arrivals[num].At + scenario.Micros(d.messages[num].class.DeadlineMS) - d.cfg.Clock()
}

// Worth is what a message earned: all of its worth within its aim, then less
// in a straight line down to what is left of it at the deadline.
func Worth(c *scenario.Class, r *Result) float64 {
	if r.End != Delivered {
		return 0
	}
	aim, deadline := float64(scenario.Micros(c.AimMS)), float64(scenario.Micros(c.DeadlineMS))
	switch at := float64(r.At); {
	case at <= aim:
		return c.Worth
	case at > deadline:
		return 0
	default:
		return c.Worth * (1 - (1-c.LateWorth)*(at-aim)/max(deadline-aim, 1))
	}
}
