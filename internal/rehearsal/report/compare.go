package report

import (
	"fmt"
	"io"
	"math"
	"strings"

	"troutusher/internal/texttable"
)

// Compare writes how a report differs from an earlier one, and whether the difference in
// service is beyond the noise of both.
func Compare(w io.Writer, before, after *Report) error {
	b := &strings.Builder{}
	fmt.Fprintf(b, "before: %s, seed %d, release %s; after: %s, seed %d, release %s\n", before.Scenario, before.Seed,
		before.Environment.Release, after.Scenario, after.Seed, after.Environment.Release)
	if before.Scenario != after.Scenario || before.Seed != after.Seed {
		fmt.Fprintln(b, "these are not the same rehearsal: the difference is not the relays' alone")
	}
	writeServiceComparison(b, before, after)
	b.WriteString(comparisonTable(before, after))
	_, err := io.WriteString(w, b.String())
	return err
}

// writeServiceComparison compares the services. Their noise is known where each was played
// more than once.
func writeServiceComparison(b *strings.Builder, before, after *Report) {
	meanBefore, deviationBefore, runsBefore := before.Noise()
	meanAfter, deviationAfter, runsAfter := after.Noise()
	difference := meanAfter - meanBefore
	if runsBefore <= 1 || runsAfter <= 1 {
		fmt.Fprintf(b, "service %.4f -> %.4f: %+.4f; the noise is not known, since one side was played once "+
			"(--repeat N)\n", meanBefore, meanAfter, difference)
		return
	}
	// Welch's standard error of the difference of two means.
	standardError := math.Sqrt(deviationBefore*deviationBefore/float64(runsBefore) +
		deviationAfter*deviationAfter/float64(runsAfter))
	judgement := "within the noise"
	if math.Abs(difference) > 2*standardError && meanAfter != meanBefore {
		judgement = "beyond the noise"
	}
	fmt.Fprintf(b, "service %.4f (deviation %.4f, %d runs) -> %.4f (%.4f, %d): %+.4f, %s (twice the standard "+
		"error is %.4f)\n", meanBefore, deviationBefore, runsBefore, meanAfter, deviationAfter, runsAfter, difference,
		judgement, 2*standardError)
}

// comparison is a table of the figures of two reports.
type comparison struct{ *texttable.Table }

// row adds a figure with its difference.
func (c comparison) row(name string, before, after float64, format string) {
	c.Rowf("%s\t"+format+"\t"+format+"\t%+.3f\t", name, before, after, after-before)
}

// groups adds the services of groups that both reports have.
func (c comparison) groups(what string, before, after []Group) {
	for i := range after {
		for j := range before {
			if before[j].Name == after[i].Name {
				c.row(what+" "+after[i].Name, before[j].ServiceRatio, after[i].ServiceRatio, "%.3f")
			}
		}
	}
}

// comparisonTable returns a table of the figures of both.
func comparisonTable(before, after *Report) string {
	c := comparison{texttable.NewAlignedRight()}
	c.Rowf("\tbefore\tafter\tdifference\t")
	c.row("worst 10 s", before.WorstWindow.ServiceRatio, after.WorstWindow.ServiceRatio, "%.3f")
	c.groups("class", before.Classes, after.Classes)
	c.groups("portal", before.Portals, after.Portals)
	c.groups("partner", before.partnerGroups(), after.partnerGroups())
	c.row("refusals", float64(before.Service.Rejections), float64(after.Service.Rejections), "%.0f")
	c.row("wasted calls", float64(before.wastedCalls()), float64(after.wastedCalls()), "%.0f")
	c.row("ms to the first answer, p99", before.ReplyLatency.P99, after.ReplyLatency.P99, "%.1f")
	c.row("ms to the delivery, p50", before.DeliveryLatency.P50, after.DeliveryLatency.P50, "%.1f")
	c.row("ms to the delivery, p99", before.DeliveryLatency.P99, after.DeliveryLatency.P99, "%.1f")
	c.row("broken rules", float64(before.ViolationCount()), float64(after.ViolationCount()), "%.0f")
	return c.String()
}

// partnerGroups returns the partners as groups.
func (r *Report) partnerGroups() []Group {
	groups := make([]Group, len(r.Partners))
	for i := range r.Partners {
		groups[i] = Group{Name: r.Partners[i].Name, Service: r.Partners[i].Service}
	}
	return groups
}

// wastedCalls counts the calls that were not delivered.
func (r *Report) wastedCalls() (n int) {
	for i := range r.Partners {
		n += r.Partners[i].Wasted
	}
	return n
}
