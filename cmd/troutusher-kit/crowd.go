package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"troutusher/internal/rehearsal/idlebench"
)

const aboutCrowd = `Starts a relay for each number of idle connections, and tells what they cost it
in memory and CPU, how many messages a second it carries beside them, and what
happens when all of them ask within one second. Needs as many descriptors in
each of two processes. Nothing else should run on the machine meanwhile.`

// crowdFlags is what the flags of "troutusher crowd" say.
type crowdFlags struct {
	idle, program  string
	length         time.Duration
	active, memory int
	old            bool
}

// measureCrowd measures idle connections.
func measureCrowd(args []string, out, errs io.Writer) int {
	var x crowdFlags
	f := flags("crowd", "[flags]", aboutCrowd, out, errs)
	f.StringVar(&x.idle, "idle", "0,1000,10000",
		"`numbers` of idle connections, each measured with a relay of its own")
	f.DurationVar(&x.length, "length", 5*time.Second, "how long each part lasts")
	f.IntVar(&x.active, "clients", 32, "`number` of clients that ask one message after another")
	f.IntVar(&x.memory, "memory", 192, "the relay's memory limit in `MB`")
	f.StringVar(&x.program, "relay", "", "the relay `program`; the one beside this where it is left out")
	f.BoolVar(&x.old, "old", false,
		"the program reads no operator's file: measure memory and messages only, within its 4 s")
	_, code, done := parse(f, args, 0)
	if done {
		return code
	}
	counts, err := x.counts()
	if err != nil {
		return fail(errs, "crowd", err, exitConfig)
	}
	if x.program == "" {
		self, err := os.Executable()
		if err != nil {
			return fail(errs, "crowd", err, exitFailed)
		}
		x.program = filepath.Join(filepath.Dir(self), "troutusher")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for i, n := range counts {
		r, err := x.measure(ctx, n)
		if err != nil {
			return fail(errs, "crowd", err, exitFailed)
		}
		if i == 0 {
			printLine(out, "   idle  resident  bytes each  idle CPU  messages/s  delivered/s  p50 ms  p99 ms  "+
				"past 400 ms  relay's cores")
		}
		writeCrowd(out, r)
	}
	return 0
}

// counts checks the flags and returns the numbers of idle connections.
func (x *crowdFlags) counts() ([]int, error) {
	var counts []int
	for s := range strings.SplitSeq(x.idle, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || n < 0 || n > 1<<20 {
			return nil, fmt.Errorf("--idle: %q is no number of connections", s)
		}
		counts = append(counts, n)
	}
	if x.length <= 0 || x.length > time.Hour || x.active < 1 || x.active > 10_000 || x.memory < 16 {
		return nil, errors.New("--length, --clients or --memory: out of range")
	}
	return counts, nil
}

// measure measures a relay with a number of idle connections.
func (x *crowdFlags) measure(ctx context.Context, idle int) (*idlebench.Result, error) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // the measurement does not depend on it
	return idlebench.Measure(ctx, idlebench.Options{
		Command: []string{x.program}, Dir: dir, Idle: idle, Length: x.length, Active: x.active,
		Patience: 400 * time.Millisecond, MemoryMB: x.memory, Operator: !x.old,
	})
}

func writeCrowd(out io.Writer, r *idlebench.Result) {
	printf(out, "%7d  %5.1f MB  %10.0f  %7.2f%%  %10.0f  %11.0f  %6.2f  %6.2f  %10.3f%%  %13.2f\n",
		r.Idle, float64(r.IdleKB)/1024, r.BytesEach, 100*r.IdleCPU, r.PerSecond, r.Delivered,
		ms(r.Answers.ValueAtQuantile(50)), ms(r.Answers.ValueAtQuantile(99)), 100*r.LateShare, r.CPU)
	if w := r.Wake; w != nil {
		printf(out, "         all ask in 1 s: %d taken on, %d refused (%d with a time), %d closed with "+
			"no answer; p50 %.0f p99 %.0f most %.0f ms, %d past 400 ms; over after %.2f s; peak %.1f MB\n",
			w.Taken, w.Refused, w.WithTime, w.Closed, ms(w.Answers.ValueAtQuantile(50)),
			ms(w.Answers.ValueAtQuantile(99)), ms(w.Answers.Max()), w.Late, w.Took.Seconds(),
			float64(w.PeakKB)/1024)
	}
}

func ms(us int64) float64 { return float64(us) / 1000 }
