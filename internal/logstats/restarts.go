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

// Restarts holds the number of messages that relays recovered from their write-ahead logs when they
// started, and how the untried ones among them ended, summed over all relays and starts. Untried
// messages are those for which the write-ahead log has no attempt. A message that two starts recover
// counts twice.
type Restarts struct {
	Starts     int    // processes that became ready
	Recovered  int64  // recovered messages
	Untried    int64  // recovered messages without an attempt
	Expired    int64  // untried messages past their deadline when they were recovered
	Unroutable int64  // untried messages before their deadline whose destination had no endpoint in the list
	Attempted  int64  // untried messages attempted since the recovery
	Delivered  int64  // untried messages attempted and delivered since the recovery
	HandedBack Counts // untried messages returned to clients, to be submitted again, without a call; by reason
	GivenUp    Counts // untried messages that the relay gave up without a call; by reason

	input *inputSummary
}

// ReadRestarts reads the files *.log in dir, one for each relay, and sums their counts of recovered
// messages. name is the folder's name in errors.
func ReadRestarts(dir fs.FS, name string) (*Restarts, error) {
	r := &Restarts{HandedBack: Counts{}, GivenUp: Counts{}}
	var err error
	r.input, err = forEachLine(dir, name, func(_ string, line *logLine) {
		switch line.text {
		case msgtrace.Ready:
			r.Starts++
		case metrics.LogText:
			r.addCounts(line)
		}
	})
	if err != nil {
		return nil, err
	}
	return r, nil
}

// addCounts adds the counts of a metrics line.
func (r *Restarts) addCounts(line *logLine) {
	for _, key := range line.keys {
		n, err := strconv.ParseInt(line.fields[key], 10, 64)
		if _, name, ok := metrics.ParseKey(key); ok && err == nil && n > 0 && n < maxCount {
			r.add(name, n)
		}
	}
}

// add adds n to the sum of a count. It ignores counts that are not about recovered messages.
func (r *Restarts) add(name string, n int64) {
	switch name {
	case metrics.Recovered:
		r.Recovered += n
	case metrics.RecoveredUntried:
		r.Untried += n
	case metrics.UntriedExpired:
		r.Expired += n
	case metrics.UntriedUnroutable:
		r.Unroutable += n
	case metrics.UntriedAttempted:
		r.Attempted += n
	case metrics.UntriedDelivered:
		r.Delivered += n
	default:
		if reason, ok := strings.CutPrefix(name, metrics.UntriedHandedBackPrefix); ok {
			r.HandedBack[reason] += n
		} else if reason, ok := strings.CutPrefix(name, metrics.UntriedGivenUpPrefix); ok {
			r.GivenUp[reason] += n
		}
	}
}

// EndedWithoutCall returns the number of untried messages that ended without a call.
func (r *Restarts) EndedWithoutCall() (sum int64) {
	for _, byReason := range []Counts{r.HandedBack, r.GivenUp} {
		for _, n := range byReason {
			sum += n
		}
	}
	return sum
}

// Check returns an error if more than half of the untried messages ended without a call.
func (r *Restarts) Check() error {
	if n := r.EndedWithoutCall(); 2*n > r.Untried {
		return fmt.Errorf("of %d messages that starts found untried %d were ended with no call", r.Untried, n)
	}
	return nil
}

// WriteText writes the sums, and the error of Check if there is one.
func (r *Restarts) WriteText(out io.Writer) error {
	b := &strings.Builder{}
	writeLines(b, r.input.lines())
	b.WriteString(r.table())
	if err := r.Check(); err != nil {
		fmt.Fprintln(b, "BROKEN:", err)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// table returns the sums as a table with one line each.
func (r *Restarts) table() string {
	table := texttable.New()
	row := func(n int64, text string) { table.Rowf("%d\t%s", n, text) }
	rowsByReason := func(counts Counts, text string) {
		for _, reason := range slices.Sorted(maps.Keys(counts)) {
			row(counts[reason], text+reason)
		}
	}
	row(int64(r.Starts), "starts")
	row(r.Recovered, "messages found taken on, with no end")
	row(r.Untried, "of them untried")
	row(r.Expired, "  their time was over by then")
	row(r.Unroutable, "  in time, with no endpoint in the list that was known")
	callable := r.Untried - r.Expired - r.Unroutable
	row(r.Attempted, fmt.Sprintf("  called since: %s of the untried, %s of those with time and an endpoint",
		ratio(r.Attempted, r.Untried, 3), ratio(r.Attempted, callable, 3)))
	row(r.Delivered, "    of these delivered")
	rowsByReason(r.HandedBack, "  handed back with no call: ")
	rowsByReason(r.GivenUp, "  given up with no call: ")
	row(r.Untried-r.Attempted-r.EndedWithoutCall(), "  neither by the end of the logs, or of their process")
	return table.String()
}
