package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"troutusher/internal/rehearsal/idlebench"
)

const crowdAbout = `Starts a relay for each number of idle connections, and tells what they cost it
in memory and CPU, how many messages a second it carries beside them, and what
happens when all of them ask within one second. Needs as many descriptors in
each of two processes. Nothing else should run on the machine meanwhile.`

// lateReplyThreshold is the time after which a reply to a client counts as late. The printed
// texts contain the number as well.
const lateReplyThreshold = 400 * time.Millisecond

// Limits of the values of flags.
const (
	maxIdleConnections = 1 << 20
	maxBenchLength     = time.Hour
	maxActiveClients   = 10_000
	minMemoryMB        = 16
)

// idleBenchFlags holds the flags of "troutusher crowd".
type idleBenchFlags struct {
	idleCounts          string
	relayProgram        string
	length              time.Duration
	activeClients       int
	memoryMB            int
	withoutOperatorFile bool
}

// register defines the flags in set.
func (b *idleBenchFlags) register(set *flag.FlagSet) {
	set.StringVar(&b.idleCounts, "idle", "0,1000,10000",
		"`numbers` of idle connections, each measured with a relay of its own")
	set.DurationVar(&b.length, "length", 5*time.Second, "how long each part lasts")
	set.IntVar(&b.activeClients, "clients", 32, "`number` of clients that ask one message after another")
	set.IntVar(&b.memoryMB, "memory", 192, "the relay's memory limit in `MB`")
	set.StringVar(&b.relayProgram, "relay", "", "the relay `program`; the one beside this where it is left out")
	set.BoolVar(&b.withoutOperatorFile, "old", false,
		"the program reads no operator's file: measure memory and messages only, within its 4 s")
}

// runCrowd runs "troutusher crowd", which measures what idle connections cost a relay.
func runCrowd(args []string, stdout, stderr io.Writer) int {
	var b idleBenchFlags
	set := newFlagSet("crowd", "[flags]", crowdAbout, stdout, stderr)
	b.register(set)
	_, code, done := parseFlags(set, args, 0)
	if done {
		return code
	}
	counts, err := b.parseIdleCounts()
	if err != nil {
		return fail(stderr, "crowd", err, exitConfig)
	}
	if b.relayProgram == "" {
		if b.relayProgram, err = defaultRelayPath(); err != nil {
			return fail(stderr, "crowd", err, exitFailed)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for i, idle := range counts {
		result, err := b.measure(ctx, idle)
		if err != nil {
			return fail(stderr, "crowd", err, exitFailed)
		}
		if i == 0 {
			printLine(stdout, "   idle  resident  bytes each  idle CPU  messages/s  delivered/s  p50 ms  p99 ms  "+
				"past 400 ms  relay's cores")
		}
		writeIdleBench(stdout, result)
	}
	return 0
}

// parseIdleCounts validates the flags and returns the numbers of idle connections to measure.
func (b *idleBenchFlags) parseIdleCounts() ([]int, error) {
	var counts []int
	for text := range strings.SplitSeq(b.idleCounts, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || n < 0 || n > maxIdleConnections {
			return nil, fmt.Errorf("--idle: %q is not a number of connections from 0 to %d", text, maxIdleConnections)
		}
		counts = append(counts, n)
	}
	if b.length <= 0 || b.length > maxBenchLength || b.activeClients < 1 || b.activeClients > maxActiveClients ||
		b.memoryMB < minMemoryMB {
		return nil, fmt.Errorf("--length %v, --clients %d or --memory %d is out of range: "+
			"want a length above 0 and up to %v, 1 to %d clients and at least %d MB",
			b.length, b.activeClients, b.memoryMB, maxBenchLength, maxActiveClients, minMemoryMB)
	}
	return counts, nil
}

// measure starts a relay in a temporary folder and measures it with the given number of idle
// connections.
func (b *idleBenchFlags) measure(ctx context.Context, idle int) (*idlebench.Result, error) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a folder that is left over does not affect the result
	return idlebench.Measure(ctx, idlebench.Options{
		Command: []string{b.relayProgram}, Dir: dir, Idle: idle, Length: b.length, ActiveClients: b.activeClients,
		LateAfter: lateReplyThreshold, MemoryMB: b.memoryMB, WithOperatorFile: !b.withoutOperatorFile,
	})
}

func writeIdleBench(stdout io.Writer, r *idlebench.Result) {
	printf(
		stdout,
		"%7d  %5.1f MB  %10.0f  %7.2f%%  %10.0f  %11.0f  %6.2f  %6.2f  %10.3f%%  %13.2f\n",
		r.Idle,
		float64(r.IdleKB)/1024,
		r.BytesPerConnection,
		100*r.IdleCores,
		r.AcceptedPerSecond,
		r.DeliveredPerSecond,
		milliseconds(r.ReplyLatency.ValueAtQuantile(50)),
		milliseconds(r.ReplyLatency.ValueAtQuantile(99)),
		100*r.LateShare,
		r.RelayCores,
	)
	if burst := r.Burst; burst != nil {
		printf(
			stdout,
			"         all ask in 1 s: %d taken on, %d refused (%d with a time), %d closed with "+
				"no answer; p50 %.0f p99 %.0f most %.0f ms, %d past 400 ms; over after %.2f s; peak %.1f MB\n",
			burst.Accepted,
			burst.Rejected,
			burst.RejectedWithRetryAfter,
			burst.Closed,
			milliseconds(burst.ReplyLatency.ValueAtQuantile(50)),
			milliseconds(
				burst.ReplyLatency.ValueAtQuantile(99),
			),
			milliseconds(burst.ReplyLatency.Max()),
			burst.Late,
			burst.Duration.Seconds(),
			float64(burst.PeakKB)/1024,
		)
	}
}

// milliseconds converts microseconds to milliseconds.
func milliseconds(micros int64) float64 { return float64(micros) / 1000 }
