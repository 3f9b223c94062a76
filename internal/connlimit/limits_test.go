package connlimit

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Each line of testdata/limits.txt holds a number of connections, a number of descriptors and the
// default limits for them, in the order of the struct's fields.
func TestDefaultLimitsFixture(t *testing.T) {
	want, err := os.ReadFile("testdata/limits.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for line := range strings.Lines(string(want)) {
		var conns, descriptors int
		if _, err := fmt.Sscan(line, &conns, &descriptors); err != nil {
			t.Fatal(err)
		}
		l := DefaultLimits(conns, descriptors)
		fmt.Fprintln(&got, conns, descriptors,
			l.MaxConns, l.MaxUnvalidated, l.SingleUseEvictionThreshold,
			l.FirstCommandTimeout, l.CommandTimeout, l.IdleTimeout,
			l.EvictionGrace, l.EvictionWait, l.MaxQueueWait, l.TimerTick)
	}
	if got.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got.String(), want)
	}
}

func TestShedRequest(t *testing.T) {
	limits := DefaultLimits(100, 200)
	for name, c := range map[string]struct {
		waited      Time
		queued      int
		serviceTime Time
		retryAfter  Time
		shed        bool
	}{
		"not late":     {waited: 0, queued: 1e6, serviceTime: 100},
		"just in time": {waited: limits.MaxQueueWait - 1, queued: 1e6, serviceTime: 100},
		"late":         {waited: limits.MaxQueueWait, queued: 10, serviceTime: 20, retryAfter: 200e3, shed: true},
		"long queue":   {waited: limits.MaxQueueWait, queued: 100_000, serviceTime: 40, retryAfter: 8e6, shed: true},
	} {
		t.Run(name, func(t *testing.T) {
			retryAfter, shed := limits.ShedRequest(c.waited, c.queued, c.serviceTime)
			if retryAfter != c.retryAfter || shed != c.shed {
				t.Errorf("ShedRequest(%d, %d, %d) = %d, %v, want %d, %v",
					c.waited, c.queued, c.serviceTime, retryAfter, shed, c.retryAfter, c.shed)
			}
		})
	}
}

func TestLimitsValidate(t *testing.T) {
	for name, change := range map[string]func(*Limits){
		"MaxConns":                   func(l *Limits) { l.MaxConns = 0 },
		"SingleUseEvictionThreshold": func(l *Limits) { l.SingleUseEvictionThreshold = -1 },
		"TimerTick":                  func(l *Limits) { l.TimerTick = 0 },
		"IdleTimeout":                func(l *Limits) { l.IdleTimeout = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			limits := smallLimits()
			change(&limits)
			if _, err := New(limits, 0); err == nil {
				t.Errorf("New with an invalid %s = nil error, want an error", name)
			}
		})
	}
}
