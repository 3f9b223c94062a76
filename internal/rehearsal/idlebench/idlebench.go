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
	Command  []string      // starts the relay
	Env      []string      // more of its environment
	Dir      string        // for its files; a new one each time
	Idle     int           // connections
	Length   time.Duration // of each part
	Active   int           // clients that ask one message after another
	Patience time.Duration // how long a client waits for an answer
	MemoryMB int           // the relay's limit
	Operator bool          // the relay reads an operator's file: an older one does not, and closes idle ones after 4 s
	Progress func(string)
}

// Result is what was seen.
type Result struct {
	Idle      int     // connections that were open at the end
	BaseKB    int     // resident before them
	IdleKB    int     // resident with them
	BytesEach float64 // of resident memory
	IdleCPU   float64 // cores, while nothing happens
	Opened    time.Duration
	PerSecond float64 // messages taken on, with Active clients asking
	Refused   int
	Delivered float64                 // calls a second that the partner answered meanwhile
	Answers   *hdrhistogram.Histogram // µs, of those
	CPU       float64                 // cores of the relay meanwhile
	LateShare float64                 // answers past Patience
	Wake      *Wake
	PeakKB    int
}

// Wake is what came of all asking within one second.
type Wake struct {
	Asked, Taken, Refused, WithTime, Late, Closed int
	Answers                                       *hdrhistogram.Histogram // µs
	Took                                          time.Duration           // from the first question to the last answer
	PeakKB                                        int
}

const (
	answerMost = 60 * int64(time.Second/time.Microsecond)
	openers    = 64
	settleMost = 5 * time.Second
	perSource  = 10_000 // connections from one address: the ports of one do not reach far
)

// errExitZero is the end of a process that should still run.
var errExitZero = errors.New("exit status 0")

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, answerMost, 3) }

// Measure starts a relay and measures it.
func Measure(ctx context.Context, o Options) (*Result, error) {
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && uint64(o.Idle+o.Active+400) > limit.Cur {
		return nil, fmt.Errorf("crowd: %d connections, and a process may have %d descriptors here", o.Idle, limit.Cur)
	}
	p, err := newPartner()
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
					HostPort: p.ln.Addr().String(),
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
	r, err := start(ctx, &o, reg.Addr(0))
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.partner = p
	return r.measure(ctx, &o)
}

// measure goes through the parts.
func (r *relay) measure(ctx context.Context, o *Options) (*Result, error) {
	x := &Result{}
	r.settle(ctx)
	x.BaseKB = r.status("VmRSS:")
	begun := time.Now()
	idle, failed := r.open(o.Idle)
	defer func() {
		for _, c := range idle {
			_ = c.Close()
		}
	}()
	x.Opened = time.Since(begun)
	if len(idle) < o.Idle {
		return nil, fmt.Errorf("crowd: only %d of %d connections could be opened: %w", len(idle), o.Idle, failed)
	}
	x.IdleKB = r.status("VmRSS:")
	o.Progress(fmt.Sprintf("%d connections open", len(idle)))
	if o.Operator {
		r.settle(ctx)
		x.IdleKB = r.status("VmRSS:")
		cpu, at := r.cpu(), time.Now()
		if err := pause(ctx, o.Length); err != nil {
			return nil, err
		}
		x.IdleCPU = (r.cpu() - cpu).Seconds() / time.Since(at).Seconds()
	}
	if o.Idle > 0 {
		x.BytesEach = float64(x.IdleKB-x.BaseKB) * 1024 / float64(o.Idle)
	}
	o.Progress("clients ask")
	r.load(ctx, o, x)
	if o.Idle > 0 && o.Operator {
		o.Progress("all ask within a second")
		x.Wake = r.wake(ctx, o, idle)
		x.Wake.PeakKB = r.status("VmHWM:")
	}
	x.Idle = len(idle)
	x.PeakKB = r.status("VmHWM:")
	select {
	case err := <-r.done:
		r.done <- err
		return nil, fmt.Errorf("crowd: the relay ended: %w", errors.Join(err, errors.New(r.log)))
	default:
	}
	return x, ctx.Err()
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
