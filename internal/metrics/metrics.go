// Package metrics counts what a relay does, by second and destination, in bounded
// memory, for a log that can be added up over a fleet: what one relay does is
// seldom wrong by itself.
//
// It must never read a clock, or be asked anything by what decides.
package metrics

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strings"
)

const (
	microsPerSecond = 1_000_000 // µs
	maxDestinations = 256       // destinations counted apart in one second; the others are counted as one, numbered Rest
)

// OtherDestinations is the number under which destinations beyond the bound are counted.
const OtherDestinations = -1

// What is counted of a destination, by the names that the log has.
const (
	Submitted           = "in"      // messages handed in
	Accepted            = "taken"   // of them, taken on
	Recovered           = "resumed" // taken up from an earlier process
	Attempts            = "sent"    // attempts
	CrossZoneAttempts   = "crossed" // of them, to another zone
	ConnectionsOpened   = "dialed"  // connections opened for them
	Delivered           = "ok"
	Rejected            = "full" // turned away there
	Failed              = "errored"
	TimedOut            = "timed_out"
	ConnectFailed       = "no_connect"
	ConnectionReset     = "reset"
	Cancelled           = "cancelled"
	NotSent             = "not_sent"
	FirstAttempts       = "firsts"   // first attempts ...
	FirstAttemptDelayMS = "first_ms" // ... and how long their messages had been held, in ms, added up
	GivenUp             = "given_up"
	HealthChecks        = "probed"
	Untraced            = "untold" // messages shown to the policy, of which the log does not tell from their hand-in on
	HandedBackPrefix    = "back_"  // handed back or refused, with the rule that decided it

	// Of those taken up, the ones of which no attempt was ever logged.
	RecoveredUntried        = "untried"
	UntriedExpired          = "untried_over"      // of them, their time was over as the process found them
	UntriedUnroutable       = "untried_nowhere"   // of them, in time, and no list named an endpoint for them
	UntriedAttempted        = "untried_tried"     // a call of it has gone out since
	UntriedDelivered        = "untried_ok"        // of these, delivered
	UntriedHandedBackPrefix = "untried_back_"     // handed back with no call, with the rule that decided it
	UntriedGivenUpPrefix    = "untried_given_up_" // given up with no call, likewise
)

// LogText is the text of a tally's line; Longest names a field that the driver adds,
// the longest step of the loop since the line before, in µs.
const (
	LogText        = "tally"
	LongestStepKey = "step_us"
)

// Recorder counts one second after another.
type Recorder struct {
	second        int64 // the second
	started       bool
	byDestination map[int]map[string]int64
}

// NewRecorder makes an empty tally.
func NewRecorder() *Recorder { return &Recorder{byDestination: map[int]map[string]int64{}} }

// Add counts n of what for a destination.
func (t *Recorder) Add(dest int, what string, n int64) {
	if n == 0 {
		return
	}
	d := t.byDestination[dest]
	if d == nil {
		if len(t.byDestination) >= maxDestinations {
			dest = OtherDestinations
		}
		if d = t.byDestination[dest]; d == nil {
			d = map[string]int64{}
			t.byDestination[dest] = d
		}
	}
	d[what] += n
}

// Flush ends the second before now (µs of Unix time), if one has passed and
// anything was counted in it, and shows it as attributes for a structured log:
// the second, and a group for each destination, in order.
func (t *Recorder) Flush(now int64) []any {
	s := now / microsPerSecond
	if !t.started || s == t.second {
		t.started, t.second = true, s
		return nil
	}
	was := t.second
	t.second = s
	if len(t.byDestination) == 0 {
		return nil
	}
	args := []any{"second", was}
	for _, id := range sortedKeys(t.byDestination) {
		d, attrs := t.byDestination[id], []any{}
		for _, what := range sortedKeys(d) {
			attrs = append(attrs, slog.Int64(what, d[what]))
		}
		args = append(args, slog.Group(groupName(id), attrs...))
	}
	clear(t.byDestination)
	return args
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

const otherDestinationsName = "rest"

func groupName(dest int) string {
	if dest == OtherDestinations {
		return otherDestinationsName
	}
	return fmt.Sprintf("d%d", dest)
}

// ParseKey reads an attribute's name as the log writes it: the destination and what
// was counted. ok is false for any other name.
func ParseKey(name string) (dest int, what string, ok bool) {
	id, what, found := strings.Cut(name, ".")
	if !found || what == "" {
		return 0, "", false
	}
	if id == otherDestinationsName {
		return OtherDestinations, what, true
	}
	if n, err := fmt.Sscanf(id, "d%d", &dest); n != 1 || err != nil || groupName(dest) != id || dest < 0 {
		return 0, "", false
	}
	return dest, what, true
}
