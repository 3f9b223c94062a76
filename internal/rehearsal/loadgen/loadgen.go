// Package loadgen simulates the clients of a rehearsal. It is an open-loop load generator:
// messages arrive at their planned times, regardless of the progress of earlier ones. Clients
// submit them over persistent RESP2 connections and retry after rejections, and a simulated
// load balancer spreads them over the relays. Latency is measured from a message's planned
// arrival, even where the load generator itself was late. The package records what it sent
// and the replies, and does not judge the relays.
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
	maxLatenessMicros = 60_000_000  // upper bound of the histogram of the driver's lateness
	maxLatencyMicros  = 600_000_000 // upper bound of the histograms of the messages' latencies
	histogramDigits   = 3           // significant decimal digits
	minConnections    = 8           // lowest limit of connections to one relay, however few sockets it has
	socketsPerClient  = 3           // the driver may open one connection to a relay for this many of its sockets
)

// Config is the configuration of a Driver.
type Config struct {
	Plan   *scenario.Plan
	Relays []string          // their addresses
	Emit   func(event.Event) // receives the events, in order
	Clock  func() event.Time
	Start  event.Time // when the plan starts
}

// Driver is the load generator: it submits the messages of a plan at their planned times.
type Driver struct {
	config   Config
	pools    []*pool      // by index of the relay
	body     string       // of every message
	unserved atomic.Int64 // requests to which no relay replied, see UnservedRequests

	// background counts the goroutines that submit messages. They end when ctx is canceled.
	background sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc

	mu          sync.Mutex
	submissions map[string]*submission // by id
	messages    []message              // by index in the plan
	pending     int                    // messages without a final outcome
	done        chan struct{}          // closed once pending is 0
	relayStates []relayState
	lastRelay   int // its remainder modulo the number of relays is the index of the relay picked last

	// Histograms in µs. The latencies are measured from a message's planned arrival.
	lateness        *hdrhistogram.Histogram // how far behind their planned times messages were first submitted
	replyLatency    *hdrhistogram.Histogram // to the reply to its first submission
	deliveryLatency *hdrhistogram.Histogram // to its delivery
}

// message is a message of the plan.
type message struct {
	Result
	class *scenario.Class
}

// New returns a driver, which submits nothing before Run is called.
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

// SetStart sets when the plan starts. It must be called before Run.
func (d *Driver) SetStart(at event.Time) { d.config.Start = at }

// Run submits the messages at their planned times. It returns once every message has a final
// outcome, or when ctx ends.
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

// Close ends all submissions, closes all connections and waits for the goroutines to end.
func (d *Driver) Close() {
	d.cancel()
	for _, pool := range d.pools {
		pool.close()
	}
	d.background.Wait()
}

// arrival returns the time at which a message is planned to arrive.
func (d *Driver) arrival(index int) event.Time {
	return d.config.Start + d.config.Plan.Arrivals[index].At
}

// timeLeft returns the time left until a message's deadline; it is negative after the deadline.
func (d *Driver) timeLeft(index int) event.Time {
	deadline := scenario.Microseconds(d.messages[index].class.DeadlineMS)
	return d.arrival(index) + deadline - d.config.Clock()
}

// submitFirst submits a message for the first time, and records how far behind its planned
// time that is.
func (d *Driver) submitFirst(index int) {
	defer d.background.Done()
	late := d.config.Clock() - d.arrival(index)
	d.record(d.lateness, late)
	d.submit(index, 0, "")
}

// record adds a time to a histogram, and drops a time beyond the histogram's range.
func (d *Driver) record(histogram *hdrhistogram.Histogram, micros event.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = histogram.RecordValue(max(micros, 1))
}

// Lateness returns how far behind their planned times the driver made the first submissions,
// in µs, at a quantile in percent.
func (d *Driver) Lateness(quantile float64) event.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lateness.ValueAtQuantile(quantile)
}

// Latencies returns the histograms, in µs, of the time to the reply to the first submission
// and of the time to the delivery.
func (d *Driver) Latencies() (replies, deliveries *hdrhistogram.Histogram) {
	return d.replyLatency, d.deliveryLatency
}

// Results returns the results of the messages, in the order of the plan.
func (d *Driver) Results() []Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	results := make([]Result, len(d.messages))
	for i := range results {
		results[i] = d.messages[i].Result
	}
	return results
}

// Progress returns how many messages were submitted at least once, and how many of those have
// no final outcome yet.
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

// Lookup returns the message that a submission belongs to, for the emulated endpoints, and
// whether there is a submission with the ID.
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

// UnservedRequests returns how many requests failed because the connection was refused, reset,
// or closed without a reply.
func (d *Driver) UnservedRequests() int { return int(d.unserved.Load()) }

// finish records a message's outcome, unless the message already has a final one.
func (d *Driver) finish(index int, outcome Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := &d.messages[index]
	if m.Outcome != Pending {
		return
	}
	m.Outcome, m.Elapsed = outcome, d.config.Clock()-d.arrival(index)
	if outcome == Delivered {
		_ = d.deliveryLatency.RecordValue(max(m.Elapsed, 1)) // a value beyond the range is dropped
	}
	if d.pending--; d.pending == 0 {
		close(d.done)
	}
}
