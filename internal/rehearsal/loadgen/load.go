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

// Outcome is how a message ended for its client.
type Outcome uint8

// Ends of a message.
const (
	Pending    Outcome = iota
	Delivered          // a 200 was written to the relay
	Rejected           // its last refusal; nobody tries again
	Failed             // its relay gave it up
	Unanswered         // its clients heard nothing, and do not try again
)

var outcomeNames = [...]string{"pending", "delivered", "refused", "failed", "unheard"}

// String is the ending's name.
func (e Outcome) String() string { return outcomeNames[e] }

// Result is what became of a message.
type Result struct {
	Outcome     Outcome
	Elapsed     event.Time // of its end, from its planned moment on
	Submissions int
	Rejections  int
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
	config   Config
	pools    []*pool
	body     string
	unserved atomic.Int64 // requests that met a connection refused, reset, or closed unread

	mu              sync.Mutex
	submissions     map[string]*submission
	messages        []message
	pending         int // messages without an end
	done            chan struct{}
	relayStates     []relayState
	lastRelay       int
	lateness        *hdrhistogram.Histogram // of the driver itself, µs
	replyLatency    *hdrhistogram.Histogram // from a message's planned moment to the answer to its first hand-in, µs
	deliveryLatency *hdrhistogram.Histogram // from its planned moment to its delivery, µs
	background      sync.WaitGroup
	ctx             context.Context
	cancel          context.CancelFunc
}

type message struct {
	Result
	class *scenario.Class
}

// submission is one hand-in.
type submission struct {
	id        string
	message   int
	relay     int
	attempt   int
	accepted  bool // taken on
	delivered bool // perhaps before its client heard
	finished  bool // nothing more comes of it
}

// relayState is what the front knows of a relay.
type relayState struct {
	down      bool
	noticedAt event.Time // it goes on dealing connections to it until then
}

// New makes a driver.
func New(cfg Config) *Driver {
	d := &Driver{
		config:          cfg,
		submissions:     map[string]*submission{},
		done:            make(chan struct{}),
		relayStates:     make([]relayState, len(cfg.Relays)),
		body:            strings.Repeat("b", cfg.Plan.Scenario.Clients.BodyBytes),
		lateness:        hdrhistogram.New(1, 60_000_000, 3),
		replyLatency:    hdrhistogram.New(1, 600_000_000, 3),
		deliveryLatency: hdrhistogram.New(1, 600_000_000, 3),
	}
	most := max(8, cfg.Plan.Scenario.Relays.Sockets/3)
	for _, addr := range cfg.Relays {
		d.pools = append(d.pools, &pool{addr: addr, slots: make(chan struct{}, most), returned: make(chan *conn)})
	}
	for _, a := range cfg.Plan.Arrivals {
		d.messages = append(d.messages, message{class: &cfg.Plan.Scenario.Classes[a.Class]})
	}
	d.pending = len(d.messages)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// SetStart sets the moment of the plan's beginning, before Run.
func (d *Driver) SetStart(at event.Time) { d.config.Start = at }

// Run plays the arrivals and returns once every message has its end, or ctx
// ends.
func (d *Driver) Run(ctx context.Context) {
	defer d.Close()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for i, a := range d.config.Plan.Arrivals {
		if wait := d.config.Start + a.At - d.config.Clock(); wait > 0 {
			timer.Reset(time.Duration(wait) * time.Microsecond)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		d.background.Add(1)
		go d.submitFirst(i)
	}
	if len(d.config.Plan.Arrivals) == 0 {
		return
	}
	select {
	case <-d.done:
	case <-ctx.Done():
	}
}

// Close ends what is under way.
func (d *Driver) Close() {
	d.cancel()
	for _, p := range d.pools {
		p.close()
	}
	d.background.Wait()
}

func (d *Driver) submitFirst(num int) {
	defer d.background.Done()
	late := d.config.Clock() - d.config.Start - d.config.Plan.Arrivals[num].At
	d.mu.Lock()
	_ = d.lateness.RecordValue(max(late, 1)) // beyond the range it is left out
	d.mu.Unlock()
	d.submit(num, 0, "")
}

// Lateness is how late the driver began its messages, in µs, at a quantile from 0
// to 100.
func (d *Driver) Lateness(quantile float64) event.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lateness.ValueAtQuantile(quantile)
}

// Latencies are the histograms of first answers and of deliveries, in µs.
func (d *Driver) Latencies() (answers, delivery *hdrhistogram.Histogram) {
	return d.replyLatency, d.deliveryLatency
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

// Progress is the number of messages that have begun, and of those without an end.
func (d *Driver) Progress() (begun, open int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.messages {
		if d.messages[i].Submissions > 0 {
			begun++
		}
	}
	return begun, d.pending - (len(d.messages) - begun)
}

// Lookup tells the stand-ins of a hand-in.
func (d *Driver) Lookup(id string) (endpoint.Message, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.submissions[id]
	if h == nil {
		return endpoint.Message{}, false
	}
	a := &d.config.Plan.Arrivals[h.message]
	return endpoint.Message{Number: h.message, Class: a.Class, Destination: a.Destination, Finished: h.finished}, true
}

// RelayDown tells the front that a relay has ended or is ending; it notices later.
func (d *Driver) RelayDown(relay int, notice event.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.relayStates[relay].down {
		d.relayStates[relay] = relayState{true, d.config.Clock() + notice}
	}
}

// RelayUp tells the front that a relay is ready.
func (d *Driver) RelayUp(relay int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.relayStates[relay] = relayState{}
}

// pickRelay picks the relay of a hand-in; -1 where the front has none.
func (d *Driver) pickRelay(not int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock()
	for range len(d.relayStates) {
		d.lastRelay++
		i := d.lastRelay % len(d.relayStates)
		if s := d.relayStates[i]; (!s.down || now < s.noticedAt) && (i != not || len(d.relayStates) == 1) {
			return i
		}
	}
	return -1
}

const (
	dialTimeout     = time.Second
	relayRetryDelay = 50 * time.Millisecond // before another relay is tried
	maxReplyBytes   = 512                   // bytes of an answer
)

// UnservedRequests is how many requests met a connection that was refused, reset, or closed
// with the request unread.
func (d *Driver) UnservedRequests() int { return int(d.unserved.Load()) }

// timeLeft is how long a message may still be delivered.
func (d *Driver) timeLeft(num int) event.Time {
	return d.config.Start + d.config.Plan.Arrivals[num].At + scenario.Microseconds(
		d.messages[num].class.DeadlineMS,
	) - d.config.Clock()
}

// EarnedWeight is what a message earned: all of its worth within its aim, then less
// in a straight line down to what is left of it at the deadline.
func EarnedWeight(c *scenario.Class, r *Result) float64 {
	if r.Outcome != Delivered {
		return 0
	}
	aim, deadline := float64(scenario.Microseconds(c.LatencyObjectiveMS)), float64(scenario.Microseconds(c.DeadlineMS))
	switch at := float64(r.Elapsed); {
	case at <= aim:
		return c.Weight
	case at > deadline:
		return 0
	default:
		return c.Weight * (1 - (1-c.LateWeight)*(at-aim)/max(deadline-aim, 1))
	}
}
