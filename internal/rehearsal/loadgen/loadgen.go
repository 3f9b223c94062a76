// Package loadgen plays the clients of a rehearsal: messages arrive at their planned times,
// whatever became of earlier ones (open loop), over RESP2 connections that are kept; clients
// retry after rejections; and a front spreads them over the relays. Latency counts from a
// message's planned arrival, also where the driver itself was late. The package records what
// it did and what it was answered, and does not judge a relay.
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

const (
	maxLatenessMicros = 60_000_000  // that the histogram of the driver's lateness holds
	maxLatencyMicros  = 600_000_000 // that the histograms of messages hold
	histogramDigits   = 3
	minConnections    = 8 // that are open to one relay at most, where it allows few
	socketsPerClient  = 3 // of a relay, for each connection that may be open to it
)

// Config is what a driver is made of.
type Config struct {
	Plan   *scenario.Plan
	Relays []string          // addresses
	Emit   func(event.Event) // takes what happens, in order
	Clock  func() event.Time
	Start  event.Time // of the plan
}

// Driver plays a plan's arrivals.
type Driver struct {
	config   Config
	pools    []*pool // by relay
	body     string
	unserved atomic.Int64 // requests that met a connection refused, reset, or closed unread

	// background counts the goroutines that submit messages. They end when ctx does.
	background sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc

	mu          sync.Mutex
	submissions map[string]*submission // by id
	messages    []message              // by index in the plan
	pending     int                    // messages without an end
	done        chan struct{}          // closed once there is none
	relayStates []relayState
	lastRelay   int // that was picked, counted on and on

	// In µs, the last two from a message's planned arrival.
	lateness        *hdrhistogram.Histogram // of the driver itself
	replyLatency    *hdrhistogram.Histogram // to the reply to its first submission
	deliveryLatency *hdrhistogram.Histogram // to its delivery
}

// message is a message of the plan.
type message struct {
	Result
	class *scenario.Class
}

// New makes a driver.
func New(config Config) *Driver {
	d := &Driver{
		config:          config,
		submissions:     map[string]*submission{},
		done:            make(chan struct{}),
		relayStates:     make([]relayState, len(config.Relays)),
		body:            strings.Repeat("b", config.Plan.Scenario.Clients.BodyBytes),
		lateness:        hdrhistogram.New(1, maxLatenessMicros, histogramDigits),
		replyLatency:    hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
		deliveryLatency: hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
	}
	maxConnections := max(minConnections, config.Plan.Scenario.Relays.Sockets/socketsPerClient)
	for _, addr := range config.Relays {
		d.pools = append(d.pools, newPool(addr, maxConnections))
	}
	for i := range config.Plan.Arrivals {
		class := config.Plan.Arrivals[i].Class
		d.messages = append(d.messages, message{class: &config.Plan.Scenario.Classes[class]})
	}
	d.pending = len(d.messages)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// SetStart sets when the plan starts. It is called before Run.
func (d *Driver) SetStart(at event.Time) { d.config.Start = at }

// Run plays the arrivals and returns once every message has its end, or ctx ends.
func (d *Driver) Run(ctx context.Context) {
	defer d.Close()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for i := range d.config.Plan.Arrivals {
		if wait := d.arrival(i) - d.config.Clock(); wait > 0 {
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

// Close ends all submissions and connections.
func (d *Driver) Close() {
	d.cancel()
	for _, pool := range d.pools {
		pool.close()
	}
	d.background.Wait()
}

// arrival is when a message is planned to arrive.
func (d *Driver) arrival(index int) event.Time {
	return d.config.Start + d.config.Plan.Arrivals[index].At
}

// timeLeft is how long a message may still be delivered.
func (d *Driver) timeLeft(index int) event.Time {
	deadline := scenario.Microseconds(d.messages[index].class.DeadlineMS)
	return d.arrival(index) + deadline - d.config.Clock()
}

// submitFirst submits a message for the first time, and records how late that is.
func (d *Driver) submitFirst(index int) {
	defer d.background.Done()
	late := d.config.Clock() - d.arrival(index)
	d.record(d.lateness, late)
	d.submit(index, 0, "")
}

// record adds a time to a histogram. What is beyond the histogram's range is left out.
func (d *Driver) record(histogram *hdrhistogram.Histogram, micros event.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = histogram.RecordValue(max(micros, 1))
}

// Lateness is how late the driver submitted messages for the first time, in µs, at a
// quantile in percent.
func (d *Driver) Lateness(quantile float64) event.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lateness.ValueAtQuantile(quantile)
}

// Latencies are the histograms of first replies and of deliveries, in µs.
func (d *Driver) Latencies() (replies, deliveries *hdrhistogram.Histogram) {
	return d.replyLatency, d.deliveryLatency
}

// Results tells what became of each message of the plan.
func (d *Driver) Results() []Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	results := make([]Result, len(d.messages))
	for i := range results {
		results[i] = d.messages[i].Result
	}
	return results
}

// Progress is the number of messages that were submitted, and of those of them that have no
// end yet.
func (d *Driver) Progress() (submitted, pending int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.messages {
		if d.messages[i].Submissions > 0 {
			submitted++
		}
	}
	return submitted, d.pending - (len(d.messages) - submitted)
}

// Lookup tells the emulated endpoints which message a submission is of.
func (d *Driver) Lookup(id string) (endpoint.Message, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.submissions[id]
	if s == nil {
		return endpoint.Message{}, false
	}
	arrival := &d.config.Plan.Arrivals[s.message]
	return endpoint.Message{
		Number: s.message, Class: arrival.Class, Destination: arrival.Destination, Finished: s.finished,
	}, true
}

// UnservedRequests is how many requests met a connection that was refused, reset, or closed
// with the request unread.
func (d *Driver) UnservedRequests() int { return int(d.unserved.Load()) }

// finish records a message's end. The first end counts.
func (d *Driver) finish(index int, outcome Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := &d.messages[index]
	if m.Outcome != Pending {
		return
	}
	m.Outcome, m.Elapsed = outcome, d.config.Clock()-d.arrival(index)
	if outcome == Delivered {
		_ = d.deliveryLatency.RecordValue(max(m.Elapsed, 1)) // what is beyond the range is left out
	}
	if d.pending--; d.pending == 0 {
		close(d.done)
	}
}
