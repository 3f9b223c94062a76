package main

import (
	"context"
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

// measureCrowd measures idle connections.
func measureCrowd(args []string, out, errs io.Writer) int {
	f := flags("crowd", "[flags]", aboutCrowd, out, errs)
	idle := f.String("idle", "0,1000,10000", "`numbers` of idle connections, each measured with a relay of its own")
	length := f.Duration("length", 5*time.Second, "how long each part lasts")
	active := f.Int("clients", 32, "`number` of clients that ask one message after another")
	memory := f.Int("memory", 192, "the relay's memory limit in `MB`")
	program := f.String("relay", "", "the relay `program`; the one beside this where it is left out")
	old := f.Bool(
		"old", false, "the program reads no operator's file: measure memory and messages only, within its 4 s",
	)
	_, code, done := parse(f, args, 0)
	if done {
		return code
	}
	var counts []int
	for s := range strings.SplitSeq(*idle, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || n < 0 || n > 1<<20 {
			printf(errs, "troutusher crowd: --idle: %q is no number of connections\n", s)
			return exitConfig
		}
		counts = append(counts, n)
	}
	if *length <= 0 || *length > time.Hour || *active < 1 || *active > 10_000 || *memory < 16 {
		printLine(errs, "troutusher crowd: --length, --clients or --memory: out of range")
		return exitConfig
	}
	if *program == "" {
		self, err := os.Executable()
		if err != nil {
			return fail(errs, "crowd", err, exitFailed)
		}
		*program = filepath.Join(filepath.Dir(self), "troutusher")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for i, n := range counts {
		dir, err := os.MkdirTemp("", "crowd")
		if err != nil {
			return fail(errs, "crowd", err, exitFailed)
		}
		x, err := idlebench.Measure(ctx, idlebench.Options{
			Command: []string{*program}, Dir: dir, Idle: n, Length: *length, Active: *active,
			Patience: 400 * time.Millisecond, MemoryMB: *memory, Operator: !*old,
		})
		_ = os.RemoveAll(dir) // the measurement does not depend on it
		if err != nil {
			return fail(errs, "crowd", err, exitFailed)
		}
		if i == 0 {
			printLine(out, "   idle  resident  bytes each  idle CPU  messages/s  delivered/s  p50 ms  p99 ms  "+
				"past 400 ms  relay's cores")
		}
		printf(out, "%7d  %5.1f MB  %10.0f  %7.2f%%  %10.0f  %11.0f  %6.2f  %6.2f  %10.3f%%  %13.2f\n", x.Idle,
			float64(x.IdleKB)/1024, x.BytesEach, 100*x.IdleCPU, x.PerSecond, x.Delivered,
			ms(x.Answers.ValueAtQuantile(50)), ms(x.Answers.ValueAtQuantile(99)), 100*x.LateShare, x.CPU)
		if w := x.Wake; w != nil {
			printf(out, "         all ask in 1 s: %d taken on, %d refused (%d with a time), %d closed with "+
				"no answer; p50 %.0f p99 %.0f most %.0f ms, %d past 400 ms; over after %.2f s; peak %.1f MB\n",
				w.Taken, w.Refused, w.WithTime, w.Closed, ms(w.Answers.ValueAtQuantile(50)),
				ms(w.Answers.ValueAtQuantile(99)), ms(w.Answers.Max()), w.Late, w.Took.Seconds(),
				float64(w.PeakKB)/1024)
		}
	}
	return 0
}

func ms(us int64) float64 { return float64(us) / 1000 }
