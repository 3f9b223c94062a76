// Package idlebench measures what many idle connections cost a relay: it starts a
// real relay process, opens connections that say one PING and then nothing, and
// tells memory and CPU; then how many messages one core carries beside them,
// and what happens when all of them ask within one second.
//
// It owns the measuring and the stand-ins that this needs. It must never judge
// the rules or take part in a rehearsal.
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
	maxLatencyMicros        = 60 * int64(time.Second/time.Microsecond)
	openConcurrency         = 64
	settleTimeout           = 5 * time.Second
	maxConnectionsPerSource = 10_000 // connections from one address: the ports of one do not reach far
)

// errExitZero is the end of a process that should still run.
var errExitZero = errors.New("exit status 0")

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

// Measure starts a relay and measures it.
func Measure(ctx context.Context, o Options) (*Result, error) {
	if o.OnProgress == nil {
		o.OnProgress = func(string) {}
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(
		syscall.RLIMIT_NOFILE,
		&limit,
	); err == nil &&
		uint64(o.Idle+o.ActiveClients+400) > limit.Cur {
		return nil, fmt.Errorf("crowd: %d connections, and a process may have %d descriptors here", o.Idle, limit.Cur)
	}
	p, err := startEndpoint()
	if err != nil {
		return nil, err
	}
	defer p.close()
	began := time.Now()
	reg, err := registry.New(registry.Config{
		Relays: 1, Clock: func() event.Time {
			return time.Since(began).Microseconds()
		}, Emit: func(event.Event) {},
		Members: func(int) []registry.Member {
			return []registry.Member{
				{
					ID:       "s-1",
					HostPort: p.listener.Addr().String(),
					Locality: "a",
					Flavor:   "k",
					Cell:     1,
					Phase:    registry.PhaseUp,
					Size:     100_000,
				},
			}
		},
	})
	if err != nil {
		return nil, err
	}
	defer reg.Close()
	r, err := startRelay(ctx, &o, reg.Addr(0))
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.endpoint = p
	return r.measure(ctx, &o)
}

// measure goes through the parts.
func (r *relay) measure(ctx context.Context, o *Options) (*Result, error) {
	x := &Result{}
	r.waitIdle(ctx)
	x.BaseKB = r.memoryKB("VmRSS:")
	begun := time.Now()
	idle, failed := r.openIdle(o.Idle)
	defer func() {
		for _, c := range idle {
			_ = c.Close()
		}
	}()
	x.OpenDuration = time.Since(begun)
	if len(idle) < o.Idle {
		return nil, fmt.Errorf("crowd: only %d of %d connections could be opened: %w", len(idle), o.Idle, failed)
	}
	x.IdleKB = r.memoryKB("VmRSS:")
	o.OnProgress(fmt.Sprintf("%d connections open", len(idle)))
	if o.WithOperatorFile {
		r.waitIdle(ctx)
		x.IdleKB = r.memoryKB("VmRSS:")
		cpu, at := r.cpuTime(), time.Now()
		if err := sleep(ctx, o.Length); err != nil {
			return nil, err
		}
		x.IdleCores = (r.cpuTime() - cpu).Seconds() / time.Since(at).Seconds()
	}
	if o.Idle > 0 {
		x.BytesPerConnection = float64(x.IdleKB-x.BaseKB) * 1024 / float64(o.Idle)
	}
	o.OnProgress("clients ask")
	r.runClients(ctx, o, x)
	if o.Idle > 0 && o.WithOperatorFile {
		o.OnProgress("all ask within a second")
		x.Burst = r.runBurst(ctx, o, idle)
		x.Burst.PeakKB = r.memoryKB("VmHWM:")
	}
	x.Idle = len(idle)
	x.PeakKB = r.memoryKB("VmHWM:")
	select {
	case err := <-r.exited:
		r.exited <- err
		return nil, fmt.Errorf("crowd: the relay ended: %w", errors.Join(err, errors.New(r.logPath)))
	default:
	}
	return x, ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
