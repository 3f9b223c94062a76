package logstats

import (
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
	"strconv"
	"strings"

	"troutusher/internal/metrics"
	"troutusher/internal/msgtrace"
	"troutusher/internal/texttable"
)

// Restarts says what became of the messages that starts found taken on: sums
// over all relays and starts. A message that two starts find counts for both.
type Restarts struct {
	Starts    int   // of processes
	Found     int64 // messages taken up
	Untried   int64 // of them, those of which no attempt was ever logged
	Over      int64 // of these, those whose time was over as they were found
	Nowhere   int64 // and those in time of a destination without an endpoint in the list
	Tried     int64 // called since
	Delivered int64 // of these
	Back      Counts
	GivenUp   Counts // with no call, by rule
	left      *left
}

// ReadRestarts adds up the tallies of all relays' logs.
func ReadRestarts(dir fs.FS, name string) (*Restarts, error) {
	r := &Restarts{Back: Counts{}, GivenUp: Counts{}}
	var err error
	r.left, err = each(dir, name, func(_ string, e *entry) {
		switch e.text {
		case msgtrace.Ready:
			r.Starts++
		case metrics.LogText:
			for _, k := range e.order {
				n, err := strconv.ParseInt(e.fields[k], 10, 64)
				if _, what, ok := metrics.ParseKey(k); ok && err == nil && n > 0 && n < countMost {
					r.add(what, n)
				}
			}
		}
	})
	if err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Restarts) add(what string, n int64) {
	for name, sum := range map[string]*int64{
		metrics.Recovered:         &r.Found,
		metrics.RecoveredUntried:  &r.Untried,
		metrics.UntriedExpired:    &r.Over,
		metrics.UntriedUnroutable: &r.Nowhere,
		metrics.UntriedAttempted:  &r.Tried,
		metrics.UntriedDelivered:  &r.Delivered,
	} {
		if what == name {
			*sum += n
			return
		}
	}
	if why, ok := strings.CutPrefix(what, metrics.UntriedHandedBackPrefix); ok {
		r.Back[why] += n
	} else if why, ok := strings.CutPrefix(what, metrics.UntriedGivenUpPrefix); ok {
		r.GivenUp[why] += n
	}
}

// Ended is how many were ended with no call.
func (r *Restarts) Ended() (n int64) {
	for _, by := range []Counts{r.Back, r.GivenUp} {
		for _, k := range by {
			n += k
		}
	}
	return n
}

// Broken tells what is wrong: over half of what was found untried was ended with
// no call; nil where it was not.
func (r *Restarts) Broken() error {
	if n := r.Ended(); 2*n > r.Untried {
		return fmt.Errorf("of %d messages that starts found untried %d were ended with no call", r.Untried, n)
	}
	return nil
}

// WriteText writes the sums.
func (r *Restarts) WriteText(out io.Writer) error {
	b := &strings.Builder{}
	writeLines(b, r.left.notes())
	table := texttable.New()
	row := func(n int64, text string) { table.Rowf("%d\t%s", n, text) }
	row(int64(r.Starts), "starts")
	row(r.Found, "messages found taken on, with no end")
	row(r.Untried, "of them untried")
	row(r.Over, "  their time was over by then")
	row(r.Nowhere, "  in time, with no endpoint in the list that was known")
	callable := r.Untried - r.Over - r.Nowhere
	row(r.Tried, fmt.Sprintf("  called since: %s of the untried, %s of those with time and an endpoint",
		per(r.Tried, r.Untried, 3), per(r.Tried, callable, 3)))
	row(r.Delivered, "    of these delivered")
	for _, by := range []struct {
		counts Counts
		text   string
	}{{r.Back, "  handed back with no call: "}, {r.GivenUp, "  given up with no call: "}} {
		for _, why := range slices.Sorted(maps.Keys(by.counts)) {
			row(by.counts[why], by.text+why)
		}
	}
	row(r.Untried-r.Tried-r.Ended(), "  neither by the end of the logs, or of their process")
	b.WriteString(table.String())
	if err := r.Broken(); err != nil {
		fmt.Fprintln(b, "BROKEN:", err)
	}
	_, err := io.WriteString(out, b.String())
	return err
}
