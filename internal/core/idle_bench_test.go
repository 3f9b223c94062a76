package core

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"

	"troutusher/internal/idlestore"
	"troutusher/policy"
)

// These benchmarks give the figures of docs/measurements/idle.md:
//
//	go test -run '^$' -bench Idle -benchtime 1x ./internal/core
//
// The resident memory that BenchmarkIdleMemory reports is correct only if the process runs a single
// case.

// residentBytes returns the resident memory of the process.
func residentBytes(b *testing.B) float64 {
	b.Helper()
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		b.Skip(err)
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	if err != nil {
		b.Fatal(err)
	}
	return pages * float64(os.Getpagesize())
}

// idleCore returns a core whose list has dests destinations with endpoints endpoints each. With
// passivate at most 1,024 destinations are active, otherwise all.
func idleCore(b *testing.B, dests, endpoints int, passivate bool) *Core {
	b.Helper()
	settings := testSettings()
	if passivate {
		settings.Passivation = idlestore.Limits{MaxActive: 1024, IdleTimeout: 60e6}
	}
	c := newTestCore(b, settings)
	for d := 0; d < dests; d += 1000 {
		c.Step(3600e6, []Event{listEvent(policy.ListDelta, idleMembers(d, min(d+1000, dests), endpoints)...)}, nil)
	}
	return c
}

// idleMembers returns the endpoints of the destinations from, ..., to-1, with IDs and addresses of
// about 13 bytes.
func idleMembers(from, to, endpoints int) []Member {
	members := make([]Member, 0, (to-from)*endpoints)
	for d := from; d < to; d++ {
		for e := range endpoints {
			members = append(members, Member{
				ID:       fmt.Sprintf("shop-%07d-%d", d, e),
				HostPort: fmt.Sprintf("10.%d.%d.%d:8080", d>>16&255, d>>8&255, d&255),
				Locality: "a", Flavor: "k", Dest: d, Phase: Up, Rate: 40,
			})
		}
	}
	return members
}

// BenchmarkIdleMemory measures the memory of one destination, active or passive.
func BenchmarkIdleMemory(b *testing.B) {
	for _, endpoints := range []int{1, 3} {
		for _, n := range []int{1000, 100_000, 1_000_000} {
			for label, passivate := range map[string]bool{"active": false, "passive": true} {
				b.Run(fmt.Sprintf("%d/%d/%s", endpoints, n, label), func(b *testing.B) {
					var before, after runtime.MemStats
					debug.FreeOSMemory()
					residentBefore := residentBytes(b)
					runtime.ReadMemStats(&before)
					c := idleCore(b, n, endpoints, passivate)
					debug.FreeOSMemory()
					runtime.ReadMemStats(&after)
					b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-B/dest")
					b.ReportMetric((residentBytes(b)-residentBefore)/float64(n), "resident-B/dest")
					if _, bytes := c.PassiveDestinations(); bytes > 0 {
						b.ReportMetric(float64(bytes)/float64(n-1024), "store-B/dest")
					}
					runtime.KeepAlive(c)
				})
			}
		}
	}
}

// measureDeliveries delivers n messages one after another. It returns the total duration of the steps
// of each message, from its submission to its end.
func measureDeliveries(
	b *testing.B, c *Core, now policy.Time, n int, dest func(i int) int,
) (took []time.Duration) {
	b.Helper()
	var effects []Effect
	for i := range n {
		began := time.Now()
		id := strconv.Itoa(int(now)) + "-" + strconv.Itoa(i)
		events, done := []Event{submission(plainRecord(id, dest(i), c.wallTime(now+20e6)))}, false
		for turn := 0; !done; turn++ {
			if turn > 100 {
				b.Fatalf("message %d has not ended after 100 steps", i)
			}
			effects = c.Step(now, events, effects[:0])
			events = events[:0]
			for _, effect := range effects {
				switch e := effect.(type) {
				case AppendThenReply:
					events = append(events, ReplyDelivered{Request: e.Request, OK: true})
				case AppendThenSend:
					events = append(events, AttemptFinished{Call: e.Call, Result: deliveredResult})
				case AppendRecord:
					done = done || e.Record.Kind == RecordDone
				case SendReply:
					b.Fatalf("message %d: reply %+v, want it accepted", i, e.Reply)
				}
			}
			now += 50e3
		}
		took = append(took, time.Since(began))
	}
	return took
}

// BenchmarkIdleMessage measures the time to deliver a message to an active destination, depending on
// the number of passive ones.
func BenchmarkIdleMessage(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			c := idleCore(b, n, 1, true)
			measureDeliveries(b, c, 3700e6, 2000, func(i int) int { return i % 500 })
			runtime.GC()
			b.ResetTimer()
			for range b.N {
				measureDeliveries(b, c, c.now+1e6, 20_000, func(i int) int { return i % 500 })
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/20_000/float64(b.N), "ns/message")
		})
	}
}

// BenchmarkIdleList measures a full list update in which one in a hundred members has changed: the
// longest step, during which the core handles nothing else, and the garbage of the whole update.
func BenchmarkIdleList(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			c := idleCore(b, n, 1, true)
			list := &EndpointList{Complete: true, Members: idleMembers(0, n, 1)}
			var longest time.Duration
			var before, after runtime.MemStats
			for i := range b.N {
				for k := i % 100; k < n; k += 100 {
					list.Members[k].Rate++
				}
				runtime.GC()
				runtime.ReadMemStats(&before)
				now := policy.Time(4000e6 + i*1e6)
				events := []Event{EndpointListUpdated{Kind: policy.ListFull, List: list}}
				for more := true; more; {
					began := time.Now()
					effects := c.Step(now, events, nil)
					longest = max(longest, time.Since(began))
					more, events = false, nil
					for k := range effects {
						more = more || is[StepAgain](effects[k])
					}
				}
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(longest.Microseconds())/1000, "ms/longest-step")
			b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/list")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/(1<<20), "MB-garbage")
		})
	}
}

// BenchmarkIdleActivate measures the time to activate one passive destination, and the longest step
// while 10,000 destinations are activated at 10 a step. About a thousand others are active.
func BenchmarkIdleActivate(b *testing.B) {
	for _, n := range []int{100_000, 1_000_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			c := idleCore(b, n, 1, true)
			var single, longest time.Duration
			activated := 2000
			for range b.N {
				began := time.Now()
				for range 100 {
					c.activate(activated)
					c.runPolicy()
					activated++
				}
				single += time.Since(began) / 100
				var events []Event
				for i := range 10_000 {
					id, deadline := fmt.Sprint(activated, i), c.wallTime(c.now+20e6)
					events = append(events, submission(plainRecord(id, activated, deadline)))
					activated++
					if len(events) == 10 { // the number in one step at 10,000 messages a second
						began := time.Now()
						c.Step(c.now+1000, events, nil)
						longest = max(longest, time.Since(began))
						events = events[:0]
					}
				}
			}
			b.ReportMetric(float64(single.Nanoseconds())/float64(b.N), "ns/one")
			b.ReportMetric(float64(longest.Microseconds()), "us/longest-step")
		})
	}
}
