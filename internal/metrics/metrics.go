// Package metrics counts events of a relay by second and destination, in bounded memory. The
// counts are logged, so that they can be summed over all relays of a fleet: most faults show only
// in the sums, while the counts of each single relay look right.
//
// The package never reads a clock; callers pass the time. No code that takes decisions may read the
// counts.
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
	// maxDestinations is the number of destinations that are counted separately in one second.
	// All others are counted together, as OtherDestinations.
	maxDestinations = 256
)

// OtherDestinations is the destination number under which all destinations beyond the first
// maxDestinations of a second are counted.
const OtherDestinations = -1

// Names of the counts of a destination, as the log has them. A count that is named after an outcome
// is the number of attempts with that outcome.
const (
	Submitted           = "in"      // messages submitted
	Accepted            = "taken"   // submitted messages that were accepted
	Recovered           = "resumed" // messages recovered from an earlier process
	Attempts            = "sent"
	CrossZoneAttempts   = "crossed" // attempts sent to another zone
	ConnectionsOpened   = "dialed"  // connections opened for attempts
	Delivered           = "ok"
	Rejected            = "full" // rejected by the endpoint
	Failed              = "errored"
	TimedOut            = "timed_out"
	ConnectFailed       = "no_connect"
	ConnectionReset     = "reset"
	Cancelled           = "cancelled"
	NotSent             = "not_sent"
	FirstAttempts       = "firsts"
	FirstAttemptDelayMS = "first_ms" // sum over first attempts of the time since the message arrived, in ms
	GivenUp             = "given_up" // messages that ended undelivered and were not handed back (see HandedBackPrefix)
	HealthChecks        = "probed"   // health checks of the destination's endpoints
	Untraced            = "untold"   // messages that are not traced from their submission on
	// HandedBackPrefix is followed by a reason. The count is of messages that were rejected or handed
	// back for that reason, so that submitting them again does no harm.
	HandedBackPrefix = "back_"

	// RecoveredUntried counts recovered messages for which the write-ahead log has no attempt. Each
	// of the following counts is of a subset of these messages.
	RecoveredUntried        = "untried"
	UntriedExpired          = "untried_over"      // past their deadline when they were recovered
	UntriedUnroutable       = "untried_nowhere"   // before their deadline, but without an endpoint in the list
	UntriedAttempted        = "untried_tried"     // attempted since the recovery
	UntriedDelivered        = "untried_ok"        // attempted since the recovery and delivered
	UntriedHandedBackPrefix = "untried_back_"     // followed by a reason: handed back without a call
	UntriedGivenUpPrefix    = "untried_given_up_" // followed by a reason: given up without a call
)

const (
	// LogText is the text of the log line that holds the counts of one second.
	LogText = "tally"
	// LongestStepKey is the key of an attribute that the event loop's driver adds to the line: the
	// duration of the longest step of the event loop since the previous line, in µs.
	LongestStepKey = "step_us"
)

// Recorder holds the counts of the current second.
type Recorder struct {
	started       bool                     // Flush has been called, which sets second
	second        int64                    // the current second, in Unix time
	byDestination map[int]map[string]int64 // by destination, then by the name of the count
}

// NewRecorder returns a recorder whose counts are all zero.
func NewRecorder() *Recorder { return &Recorder{byDestination: map[int]map[string]int64{}} }

// Add adds n to a count of a destination.
func (r *Recorder) Add(dest int, name string, n int64) {
	if n != 0 {
		r.countsOf(dest)[name] += n
	}
}

// countsOf returns the counts of a destination, or those of OtherDestinations if the destination is
// beyond the first maxDestinations of this second.
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

// Flush returns the counts of the current second and resets them, if now (Unix time in µs) is in
// another second. The result is a list of attributes for slog: the second, and a group for each
// destination, in ascending order. It is nil if the second has not ended or has no counts.
func (r *Recorder) Flush(now int64) []any {
	second := now / microsPerSecond
	if !r.started || second == r.second {
		r.started, r.second = true, second
		return nil
	}
	endedSecond := r.second
	r.second = second
	if len(r.byDestination) == 0 {
		return nil
	}
	args := []any{"second", endedSecond}
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

// sortedKeys returns the keys of a map in ascending order, with a single allocation.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := slices.AppendSeq(make([]K, 0, len(m)), maps.Keys(m))
	slices.Sort(keys)
	return keys
}

const otherDestinationsName = "rest"

// groupName returns the name of a destination's group of attributes in the log.
func groupName(dest int) string {
	if dest == OtherDestinations {
		return otherDestinationsName
	}
	return fmt.Sprintf("d%d", dest)
}

// ParseKey splits an attribute's key in the log, such as "d7.sent", into the destination and the
// name of the count. ok is false for a key that is not of a count.
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
