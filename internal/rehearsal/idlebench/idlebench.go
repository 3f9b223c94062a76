// Package idlebench measures the memory and CPU that many idle client connections cost a relay.
// It starts a real relay process and opens connections that send one PING and then nothing. It
// measures the relay's memory and idle CPU, then the throughput of active clients beside the idle
// connections, and last the replies to a burst of one message from each idle connection within one
// second. It takes no part in rehearsals and checks no rules.
package idlebench

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"troutusher/internal/emulator/registry"
	"troutusher/internal/event"
)

// Options configure a measurement.
type Options struct {
	Command       []string      // program and arguments that start the relay
	Env           []string      // additional environment of the relay, as KEY=value
	Dir           string        // directory of the relay's files; a new one for each measurement
	Idle          int           // number of idle connections
	Length        time.Duration // of the idle part and of the part with active clients
	ActiveClients int           // number of clients that each send one message after another
	LateAfter     time.Duration // a reply that takes longer counts as late
	MemoryMB      int           // the relay's memory limit

	// WithOperatorFile states that the relay reads an operator's file. Relays of early releases
	// do not, and close idle connections after 4 s, so the idle CPU and the burst are then not
	// measured.
	WithOperatorFile bool

	// OnProgress, if set, is called with a description of the part that begins next.
	OnProgress func(string)
}

// Result has the figures of a measurement.
type Result struct {
	Idle               int           // number of idle connections
	BaseKB             int           // resident memory before they were opened
	IdleKB             int           // resident memory while they were idle
	PeakKB             int           // peak resident memory
	BytesPerConnection float64       // increase of resident memory per idle connection
	OpenDuration       time.Duration // time to open all connections
	IdleCores          float64       // CPU cores that the relay uses while all connections are idle

	// Figures of the part with active clients.
	AcceptedPerSecond  float64 // messages
	DeliveredPerSecond float64 // messages
	Rejected           int
	ReplyLatency       *hdrhistogram.Histogram // µs
	LateShare          float64                 // share of the replies that took longer than LateAfter
	RelayCores         float64                 // CPU cores that the relay used

	Burst *BurstResult // nil if it was not measured
}

// BurstResult has the figures of the burst: one message from each idle connection within one
// second.
type BurstResult struct {
	Sent                   int
	Accepted               int
	Rejected               int
	RejectedWithRetryAfter int                     // of Rejected, those with a Retry-After
	Late                   int                     // replies that took longer than LateAfter
	Closed                 int                     // connections that failed without a reply
	ReplyLatency           *hdrhistogram.Histogram // µs
	Duration               time.Duration           // from the first message to the last reply
	PeakKB                 int                     // peak resident memory
}

const (
	maxLatencyMicros = 60 * int64(time.Second/time.Microsecond)
	histogramDigits  = 3 // significant decimal digits

	spareDescriptors = 400     // file descriptors of this process in addition to its connections
	endpointRate     = 100_000 // capacity, in calls per second, that the registry states for the endpoint

	// Fields of /proc/PID/status.
	currentMemory = "VmRSS:"
	peakMemory    = "VmHWM:"
)

// errExitZero is the error for a relay process that exited with status 0 but should still run.
var errExitZero = errors.New("exit status 0")

// newHistogram returns an empty histogram of latencies in µs.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
}

// Measure starts a relay with one destination and one endpoint, measures it and stops it.
func Measure(ctx context.Context, options Options) (*Result, error) {
	if options.OnProgress == nil {
		options.OnProgress = func(string) {}
	}
	if err := checkDescriptors(&options); err != nil {
		return nil, err
	}
	endpoint, err := startEndpoint()
	if err != nil {
		return nil, err
	}
	defer endpoint.close()
	discovery, err := startRegistry(endpoint.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	defer discovery.Close()
	r, err := startRelay(ctx, &options, discovery.Addr(0))
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.endpoint = endpoint
	return r.measure(ctx, &options)
}

// checkDescriptors returns an error if this process may open too few file descriptors for the
// connections.
func checkDescriptors(options *Options) error {
	needed := uint64(options.Idle + options.ActiveClients + spareDescriptors)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && needed > limit.Cur {
		return fmt.Errorf("open %d idle connections: need %d file descriptors, limit is %d",
			options.Idle, needed, limit.Cur)
	}
	return nil
}

// startRegistry starts a registry whose endpoint list has one endpoint.
func startRegistry(endpointAddr string) (*registry.Registry, error) {
	start := time.Now()
	return registry.New(registry.Config{
		Relays: 1,
		Clock:  func() event.Time { return time.Since(start).Microseconds() },
		Emit:   func(event.Event) {},
		Members: func(int) []registry.Member {
			return []registry.Member{{
				ID: "s-1", HostPort: endpointAddr, Locality: "a", Flavor: "k", Cell: 1, Phase: registry.PhaseUp,
				Size: endpointRate,
			}}
		},
	})
}

// measure runs the parts of the measurement one after another.
func (r *relay) measure(ctx context.Context, options *Options) (*Result, error) {
	result := &Result{}
	r.waitIdle(ctx)
	result.BaseKB = r.memoryKB(currentMemory)
	start := time.Now()
	idle, openErr := r.openIdle(options.Idle)
	defer func() {
		for _, conn := range idle {
			_ = conn.Close()
		}
	}()
	result.OpenDuration = time.Since(start)
	if len(idle) < options.Idle {
		return nil, fmt.Errorf("open idle connections: only %d of %d succeeded: %w", len(idle), options.Idle, openErr)
	}
	options.OnProgress(fmt.Sprintf("%d idle connections open, measuring memory and CPU", len(idle)))
	if err := r.measureIdle(ctx, options, result); err != nil {
		return nil, err
	}
	options.OnProgress("active clients submit messages")
	r.runClients(ctx, options, result)
	if options.Idle > 0 && options.WithOperatorFile {
		options.OnProgress("each idle connection submits one message within a second")
		result.Burst = r.runBurst(options, idle)
		result.Burst.PeakKB = r.memoryKB(peakMemory)
	}
	result.Idle = len(idle)
	result.PeakKB = r.memoryKB(peakMemory)
	select {
	case err := <-r.exited:
		r.exited <- err // close receives it again
		return nil, fmt.Errorf("relay ended during the measurement: %w",
			errors.Join(err, errors.New("log file "+r.logPath)))
	default:
	}
	return result, ctx.Err()
}

// measureIdle measures the memory that the idle connections take. It measures the idle CPU only
// WithOperatorFile, since other relays close idle connections too early.
func (r *relay) measureIdle(ctx context.Context, options *Options, result *Result) error {
	result.IdleKB = r.memoryKB(currentMemory)
	if options.WithOperatorFile {
		r.waitIdle(ctx)
		result.IdleKB = r.memoryKB(currentMemory)
		cpu, start := r.cpuTime(), time.Now()
		if err := sleep(ctx, options.Length); err != nil {
			return err
		}
		result.IdleCores = (r.cpuTime() - cpu).Seconds() / time.Since(start).Seconds()
	}
	if options.Idle > 0 {
		result.BytesPerConnection = float64(result.IdleKB-result.BaseKB) * 1024 / float64(options.Idle)
	}
	return nil
}

// sleep waits, and returns the context's error if ctx ends first.
func sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}
