// Package metrics counts what a relay does, by second and destination, in bounded
// memory. The counts go into the log, where they can be added up over a fleet: what one
// relay does is seldom wrong by itself.
//
// It must never read a clock, and nothing that decides may read the counts.
package metrics

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
)

const (
	microsPerSecond = 1_000_000
	// maxDestinations is how many destinations are counted separately in one second.
	// The others are counted together, as OtherDestinations.
	maxDestinations = 256
)

// OtherDestinations is the number under which destinations beyond the bound are counted.
const OtherDestinations = -1

// Names of the counts of a destination, as they stand in the log. The names of outcomes
// count attempts that ended so.
const (
	Submitted           = "in"      // messages submitted
	Accepted            = "taken"   // of them, accepted
	Recovered           = "resumed" // messages recovered from an earlier process
	Attempts            = "sent"
	CrossZoneAttempts   = "crossed" // of them, to another zone
	ConnectionsOpened   = "dialed"  // for attempts
	Delivered           = "ok"
	Rejected            = "full" // by the endpoint
	Failed              = "errored"
	TimedOut            = "timed_out"
	ConnectFailed       = "no_connect"
	ConnectionReset     = "reset"
	Cancelled           = "cancelled"
	NotSent             = "not_sent"
	FirstAttempts       = "firsts"
	FirstAttemptDelayMS = "first_ms" // how long the messages of first attempts had been held, in ms, added up
	GivenUp             = "given_up"
	HealthChecks        = "probed"
	Untraced            = "untold" // messages that are not traced from their submission on
	HandedBackPrefix    = "back_"  // messages handed back or rejected; the reason follows

	// Of recovered messages, those without any attempt in the log.
	RecoveredUntried        = "untried"
	UntriedExpired          = "untried_over"      // of them, past their deadline when they were recovered
	UntriedUnroutable       = "untried_nowhere"   // of them, in time, without an endpoint in the list
	UntriedAttempted        = "untried_tried"     // attempted since
	UntriedDelivered        = "untried_ok"        // of these, delivered
	UntriedHandedBackPrefix = "untried_back_"     // handed back without a call; the reason follows
	UntriedGivenUpPrefix    = "untried_given_up_" // given up without a call; the reason follows
)

const (
	// LogText is the text of the line that shows the counts of a second.
	LogText = "tally"
	// LongestStepKey names an attribute that the driver adds to the line: the longest
	// step of the event loop since the line before, in µs.
	LongestStepKey = "step_us"
)

// Recorder counts one second after another.
type Recorder struct {
	started       bool
	second        int64 // Unix time
	byDestination map[int]map[string]int64
}

// NewRecorder makes a recorder that has counted nothing.
func NewRecorder() *Recorder { return &Recorder{byDestination: map[int]map[string]int64{}} }

// Add adds n to a count of a destination.
func (r *Recorder) Add(dest int, name string, n int64) {
	if n != 0 {
		r.countsOf(dest)[name] += n
	}
}

// countsOf are the counts of a destination, or of all beyond the bound.
func (r *Recorder) countsOf(dest int) map[string]int64 {
	counts := r.byDestination[dest]
	if counts == nil && len(r.byDestination) >= maxDestinations {
		dest = OtherDestinations
		counts = r.byDestination[dest]
	}
	if counts == nil {
		counts = map[string]int64{}
		r.byDestination[dest] = counts
	}
	return counts
}

// Flush ends the second before now (Unix time in µs), if one has passed and anything
// was counted in it, and returns it as attributes of a structured log: the second, and
// a group for each destination, in order.
func (r *Recorder) Flush(now int64) []any {
	second := now / microsPerSecond
	if !r.started || second == r.second {
		r.started, r.second = true, second
		return nil
	}
	ended := r.second
	r.second = second
	if len(r.byDestination) == 0 {
		return nil
	}
	args := []any{"second", ended}
	for _, dest := range sortedKeys(r.byDestination) {
		counts, attrs := r.byDestination[dest], []any{}
		for _, name := range sortedKeys(counts) {
			attrs = append(attrs, slog.Int64(name, counts[name]))
		}
		args = append(args, slog.Group(groupName(dest), attrs...))
	}
	clear(r.byDestination)
	return args
}

// sortedKeys are the keys of a map, in order; they take one allocation.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := slices.AppendSeq(make([]K, 0, len(m)), maps.Keys(m))
	slices.Sort(keys)
	return keys
}

const otherDestinationsName = "rest"

// groupName is the name of a destination in the log.
func groupName(dest int) string {
	if dest == OtherDestinations {
		return otherDestinationsName
	}
	return fmt.Sprintf("d%d", dest)
}

// ParseKey parses the key of an attribute as the log has it: the destination and the
// name of the count. ok is false for any other key.
func ParseKey(key string) (dest int, name string, ok bool) {
	group, name, found := strings.Cut(key, ".")
	if !found || name == "" {
		return 0, "", false
	}
	if group == otherDestinationsName {
		return OtherDestinations, name, true
	}
	if n, err := fmt.Sscanf(group, "d%d", &dest); n != 1 || err != nil || groupName(dest) != group || dest < 0 {
		return 0, "", false
	}
	return dest, name, true
}
