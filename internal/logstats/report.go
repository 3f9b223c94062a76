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

// column is one figure of the tables.
type column struct {
	name   string
	format func(Counts) string
}

// countColumn shows one count.
func countColumn(title, name string) column {
	return column{title, func(c Counts) string { return fmt.Sprint(c[name]) }}
}

// ratio formats a/b, or "-" where b is zero.
func ratio(a, b int64, digits int) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.*f", digits, float64(a)/float64(b))
}

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

// headCells returns the titles of the columns, after a first one.
func headCells(first string, more ...string) []string {
	cells := []string{first}
	for _, column := range columns {
		cells = append(cells, column.name)
	}
	return append(cells, more...)
}

// rowCells returns a row of the columns' figures, after its name.
func rowCells(name string, counts Counts, more ...string) []string {
	cells := []string{name}
	for _, column := range columns {
		cells = append(cells, column.format(counts))
	}
	return append(cells, more...)
}

// destinationRows returns a table with a row for each destination, its head first.
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

// secondRows returns a table with a row for each second, its head first: of one
// destination, or of all where dest is nil.
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

func destinationName(dest int) string {
	if dest == metrics.OtherDestinations {
		return "others"
	}
	return fmt.Sprint(dest)
}

// summaryLines returns what the report tells beside its tables.
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

// inputLines returns what was read, and what could not be.
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

// handedBackByReason returns how many messages were handed back or rejected for each
// reason, over all destinations.
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

// countsText returns counts in the order of their names, a blank before each.
func countsText(counts Counts) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		text += fmt.Sprintf(" %s %d", name, counts[name])
	}
	return text
}

// WriteText writes the report as tables. The seconds are those of one destination where
// dest names one.
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

// writeLines writes each string as a line.
func writeLines(b *strings.Builder, lines []string) {
	for _, line := range lines {
		b.WriteString(line)
		b.WriteString("\n")
	}
}
