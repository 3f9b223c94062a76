// Package idlebench measures what many idle connections cost a relay. It starts a real
// relay process, opens connections that send one PING and then nothing, and measures memory
// and CPU; then how many messages one core carries beside them, and what comes of a message
// from each of them within one second. It takes no part in rehearsals and checks no rules.
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

// Options say what is measured.
type Options struct {
	Command       []string      // starts the relay
	Env           []string      // more of its environment
	Dir           string        // for its files; a new one each time
	Idle          int           // connections
	Length        time.Duration // of each part
	ActiveClients int           // each sends one message after another
	Patience      time.Duration // how long a client waits for a reply
	MemoryMB      int           // the relay's limit

	// WithOperatorFile says that the relay reads an operator's file. One of an early
	// release does not, and closes idle connections after 4 s.
	WithOperatorFile bool

	// OnProgress, if set, is called with what comes next.
	OnProgress func(string)
}

// Result is what was measured.
type Result struct {
	Idle               int // connections that were open at the end
	BaseKB             int // resident memory before them
	IdleKB             int // resident memory with them
	PeakKB             int // most resident memory
	BytesPerConnection float64
	OpenDuration       time.Duration // of opening all connections
	IdleCores          float64       // CPU of the relay while nothing happens

	// What follows is of the part in which the clients were active.
	AcceptedPerSecond  float64 // messages
	DeliveredPerSecond float64 // messages
	Rejected           int
	ReplyLatency       *hdrhistogram.Histogram // µs
	LateShare          float64                 // replies after Patience
	RelayCores         float64                 // CPU of the relay

	Burst *BurstResult // nil where it was not measured
}

// BurstResult is what came of a message from each idle connection within one second.
type BurstResult struct {
	Sent             int
	Accepted         int
	Rejected         int
	RejectedWithTime int                     // of Rejected, those told when to come again
	Late             int                     // replies after Patience
	Closed           int                     // connections that were closed without a reply
	ReplyLatency     *hdrhistogram.Histogram // µs
	Duration         time.Duration           // from the first message to the last reply
	PeakKB           int                     // most resident memory
}

const (
	maxLatencyMicros = 60 * int64(time.Second/time.Microsecond)
	histogramDigits  = 3

	spareDescriptors = 400     // of this process, beside its connections
	endpointRate     = 100_000 // calls a second that the endpoint is said to bear

	currentMemory = "VmRSS:" // of proc(5)
	peakMemory    = "VmHWM:"
)

// errExitZero is the end of a process that should still run.
var errExitZero = errors.New("exit status 0")

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
}

// Measure starts a relay and measures it.
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

// checkDescriptors returns an error where this process may not have enough of them.
func checkDescriptors(options *Options) error {
	needed := uint64(options.Idle + options.ActiveClients + spareDescriptors)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && needed > limit.Cur {
		return fmt.Errorf("crowd: %d connections, and a process may have %d descriptors here", options.Idle, limit.Cur)
	}
	return nil
}

// startRegistry starts a registry whose list names one endpoint.
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

// measure goes through the parts of the measurement.
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
		return nil, fmt.Errorf("crowd: only %d of %d connections could be opened: %w", len(idle), options.Idle, openErr)
	}
	options.OnProgress(fmt.Sprintf("%d connections open", len(idle)))
	if err := r.measureIdle(ctx, options, result); err != nil {
		return nil, err
	}
	options.OnProgress("clients ask")
	r.runClients(ctx, options, result)
	if options.Idle > 0 && options.WithOperatorFile {
		options.OnProgress("all ask within a second")
		result.Burst = r.runBurst(options, idle)
		result.Burst.PeakKB = r.memoryKB(peakMemory)
	}
	result.Idle = len(idle)
	result.PeakKB = r.memoryKB(peakMemory)
	select {
	case err := <-r.exited:
		r.exited <- err // for close
		return nil, fmt.Errorf("crowd: the relay ended: %w", errors.Join(err, errors.New(r.logPath)))
	default:
	}
	return result, ctx.Err()
}

// measureIdle measures memory, and CPU where the relay keeps idle connections long enough.
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

func sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}
