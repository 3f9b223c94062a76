package logstats

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"troutusher/internal/metrics"
	"troutusher/internal/texttable"
)

// column is a column of the tables. format returns the text of its cell for the counts of a row.
type column struct {
	name   string
	format func(Counts) string
}

// countColumn returns a column that shows one count. name is the count's name in package metrics.
func countColumn(title, name string) column {
	return column{title, func(c Counts) string { return fmt.Sprint(c[name]) }}
}

// ratio formats a/b with a number of decimals, or returns "-" if b is zero.
func ratio(a, b int64, digits int) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.*f", digits, float64(a)/float64(b))
}

// columns are the columns of the tables of destinations and of seconds, after the first one. "full" are
// calls that an endpoint rejected, "late" are calls that timed out, and "refused" are messages that the
// relays rejected or handed back. "held-ms" is the mean delay of first attempts in ms.
var columns = []column{
	countColumn("in", metrics.Submitted),
	countColumn("taken", metrics.Accepted),
	countColumn("resumed", metrics.Recovered),
	countColumn("sent", metrics.Attempts),
	countColumn("ok", metrics.Delivered),
	countColumn("full", metrics.Rejected),
	countColumn("errors", metrics.Failed),
	countColumn("late", metrics.TimedOut),
	countColumn("no-conn", metrics.ConnectFailed),
	countColumn("reset", metrics.ConnectionReset),
	{"refused", func(c Counts) string { return fmt.Sprint(c.HandedBack()) }},
	countColumn("given-up", metrics.GivenUp),
	countColumn("dials", metrics.ConnectionsOpened),
	{"msg/conn", func(c Counts) string { return ratio(c[metrics.Attempts], c[metrics.ConnectionsOpened], 1) }},
	countColumn("probes", metrics.HealthChecks),
	{"crossed", func(c Counts) string { return ratio(c[metrics.CrossZoneAttempts], c[metrics.Attempts], 2) }},
	{"held-ms", func(c Counts) string { return ratio(c[metrics.FirstAttemptDelayMS], c[metrics.FirstAttempts], 0) }},
}

// headCells returns the head row of a table: first, the titles of the columns, then more.
func headCells(first string, more ...string) []string {
	cells := []string{first}
	for _, column := range columns {
		cells = append(cells, column.name)
	}
	return append(cells, more...)
}

// rowCells returns a row of a table: its name, the values of the columns, then more.
func rowCells(name string, counts Counts, more ...string) []string {
	cells := []string{name}
	for _, column := range columns {
		cells = append(cells, column.format(counts))
	}
	return append(cells, more...)
}

// destinationRows returns the rows of the table of destinations: the head, a row for each destination,
// and the sums.
func (r *Report) destinationRows() [][]string {
	rows := [][]string{headCells("dest", "one relay: sent, middle", "most")}
	totals := Counts{}
	for _, dest := range r.Destinations {
		counts := r.DestinationTotals(dest)
		totals.addAll(counts)
		median, most := r.MedianAndMaxPerRelay(dest, metrics.Attempts)
		rows = append(rows, rowCells(destinationName(dest), counts, fmt.Sprint(median), fmt.Sprint(most)))
	}
	return append(rows, rowCells("all", totals, "", ""))
}

// secondRows returns the rows of the table of seconds: the head, and a row for each second with counts.
// The seconds are numbered from the report's first one.
// The counts are those of one destination, or the sums over all of them if dest is nil.
func (r *Report) secondRows(dest *int) [][]string {
	rows := [][]string{headCells("second")}
	for second := r.FirstSecond; second <= r.LastSecond; second++ {
		counts := r.SecondTotals(second)
		if dest != nil {
			counts = r.CountsAt(second, *dest)
		}
		if len(counts) > 0 {
			rows = append(rows, rowCells(fmt.Sprint(second-r.FirstSecond), counts))
		}
	}
	return rows
}

// destinationName returns a destination's name in the report.
func destinationName(dest int) string {
	if dest == metrics.OtherDestinations {
		return "others"
	}
	return fmt.Sprint(dest)
}

// summaryLines returns the lines of the report that precede its tables.
func (r *Report) summaryLines() []string {
	lines := r.inputLines()
	if n := len(r.Starts); n > 0 {
		lines = append(lines, fmt.Sprintf("ready: the first %s, the last %s after it",
			r.Starts[0].Format(time.RFC3339Nano), r.Starts[n-1].Sub(r.Starts[0])))
	}
	if r.LongestStep > 0 {
		lines = append(lines, fmt.Sprintf("longest step of a loop: %.1f ms, %s",
			r.LongestStep.Seconds()*1e3, r.LongestStepAt))
	}
	if len(r.DiscoveryCalls) > 0 {
		lines = append(lines, "calls to discovery that ended, all relays:"+countsText(r.DiscoveryCalls))
	}
	if reasons := r.handedBackByReason(); len(reasons) > 0 {
		lines = append(lines, "handed back or refused here, by rule:"+countsText(reasons))
	}
	for _, list := range r.ListRevisions {
		lines = append(lines, fmt.Sprintf("list %d: heard by %d relays, the last %s after the first",
			list.Revision, list.Relays, list.LastSeen.Sub(list.FirstSeen).Round(time.Millisecond)))
	}
	for _, message := range slices.Sorted(maps.Keys(r.PolicyMessages)) {
		lines = append(lines, fmt.Sprintf("%d relays: %s", r.PolicyMessages[message], message))
	}
	return lines
}

// inputLines returns the lines of the report about its input and about what was skipped.
func (r *Report) inputLines() []string {
	lines := []string{fmt.Sprintf("%d relays, %d starts; %d seconds",
		len(r.Relays), len(r.Starts), r.LastSecond-r.FirstSecond+1)}
	if len(r.EmptyFiles) > 0 {
		lines = append(lines, emptyFilesLine(r.EmptyFiles))
	}
	if r.ForeignLines+r.TruncatedLines+r.InvalidCounts > 0 {
		lines = append(lines, fmt.Sprintf("left out: %d foreign lines, %d torn ones, %d counts that cannot be",
			r.ForeignLines, r.TruncatedLines, r.InvalidCounts))
	}
	return lines
}

// handedBackByReason returns, for each reason, the number of messages of all destinations that were
// handed back or rejected.
func (r *Report) handedBackByReason() Counts {
	reasons := Counts{}
	for _, dest := range r.Destinations {
		for name, n := range r.DestinationTotals(dest) {
			if reason, ok := strings.CutPrefix(name, metrics.HandedBackPrefix); ok && reason != "" {
				reasons[reason] += n
			}
		}
	}
	return reasons
}

// countsText returns the names and values of counts, sorted by name, with a space before each name.
func countsText(counts Counts) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		text += fmt.Sprintf(" %s %d", name, counts[name])
	}
	return text
}

// WriteText writes the report as text. The table of seconds is that of one destination, or of all of
// them if dest is nil.
func (r *Report) WriteText(w io.Writer, dest *int) error {
	b := &strings.Builder{}
	writeLines(b, r.summaryLines())
	for _, rows := range [][][]string{r.destinationRows(), r.secondRows(dest)} {
		b.WriteString("\n")
		table := texttable.NewAlignedRight()
		for _, cells := range rows {
			table.Rowf("%s\t", strings.Join(cells, "\t"))
		}
		b.WriteString(table.String())
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeLines writes strings as lines.
func writeLines(b *strings.Builder, lines []string) {
	for _, line := range lines {
		b.WriteString(line)
		b.WriteString("\n")
	}
}
