// Package tally counts what a relay does, by second and destination, in bounded
// memory, for a log that can be added up over a fleet: what one relay does is
// seldom wrong by itself.
//
// It must never read a clock, or be asked anything by what decides.
package tally

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strings"
)

const (
	second = 1_000_000 // µs
	most   = 256       // destinations counted apart in one second; the others are counted as one, numbered Rest
)

// Rest is the number under which destinations beyond the bound are counted.
const Rest = -1

// What is counted of a destination, by the names that the log has.
const (
	In        = "in"      // messages handed in
	Taken     = "taken"   // of them, taken on
	Resumed   = "resumed" // taken up from an earlier process
	Sent      = "sent"    // attempts
	Crossed   = "crossed" // of them, to another zone
	Dialed    = "dialed"  // connections opened for them
	Delivered = "ok"
	Full      = "full" // turned away there
	Errored   = "errored"
	TimedOut  = "timed_out"
	NoConnect = "no_connect"
	Reset     = "reset"
	Cancelled = "cancelled"
	NotSent   = "not_sent"
	Firsts    = "firsts"   // first attempts ...
	FirstMS   = "first_ms" // ... and how long their messages had been held, in ms, added up
	GivenUp   = "given_up"
	Probed    = "probed"
	Untold    = "untold" // messages shown to the policy, of which the log does not tell from their hand-in on
	Back      = "back_"  // handed back or refused, with the rule that decided it

	// Of those taken up, the ones of which no attempt was ever logged.
	Untried          = "untried"
	UntriedOver      = "untried_over"      // of them, their time was over as the process found them
	UntriedNowhere   = "untried_nowhere"   // of them, in time, and no list named an endpoint for them
	UntriedTried     = "untried_tried"     // a call of it has gone out since
	UntriedDelivered = "untried_ok"        // of these, delivered
	UntriedBack      = "untried_back_"     // handed back with no call, with the rule that decided it
	UntriedGivenUp   = "untried_given_up_" // given up with no call, likewise
)

// Line is the text of a tally's line; Longest names a field that the driver adds,
// the longest step of the loop since the line before, in µs.
const (
	Line    = "tally"
	Longest = "step_us"
)

// Tally counts one second after another.
type Tally struct {
	at    int64 // the second
	begun bool
	dests map[int]map[string]int64
}

// New makes an empty tally.
func New() *Tally { return &Tally{dests: map[int]map[string]int64{}} }

// Add counts n of what for a destination.
func (t *Tally) Add(dest int, what string, n int64) {
	if n == 0 {
		return
	}
	d := t.dests[dest]
	if d == nil {
		if len(t.dests) >= most {
			dest = Rest
		}
		if d = t.dests[dest]; d == nil {
			d = map[string]int64{}
			t.dests[dest] = d
		}
	}
	d[what] += n
}

// Turn ends the second before now (µs of Unix time), if one has passed and
// anything was counted in it, and shows it as attributes for a structured log:
// the second, and a group for each destination, in order.
func (t *Tally) Turn(now int64) []any {
	s := now / second
	if !t.begun || s == t.at {
		t.begun, t.at = true, s
		return nil
	}
	was := t.at
	t.at = s
	if len(t.dests) == 0 {
		return nil
	}
	args := []any{"second", was}
	for _, id := range sorted(t.dests) {
		d, attrs := t.dests[id], []any{}
		for _, what := range sorted(d) {
			attrs = append(attrs, slog.Int64(what, d[what]))
		}
		args = append(args, slog.Group(group(id), attrs...))
	}
	clear(t.dests)
	return args
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

const restName = "rest"

func group(dest int) string {
	if dest == Rest {
		return restName
	}
	return fmt.Sprintf("d%d", dest)
}

// Key reads an attribute's name as the log writes it: the destination and what
// was counted. ok is false for any other name.
func Key(name string) (dest int, what string, ok bool) {
	id, what, found := strings.Cut(name, ".")
	if !found || what == "" {
		return 0, "", false
	}
	if id == restName {
		return Rest, what, true
	}
	if n, err := fmt.Sscanf(id, "d%d", &dest); n != 1 || err != nil || group(dest) != id || dest < 0 {
		return 0, "", false
	}
	return dest, what, true
}
