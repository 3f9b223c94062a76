package report

import (
	"fmt"
	"io"
	"math"
	"strings"

	"troutusher/internal/texttable"
)

// Compare writes how a report differs from an earlier one, and whether the difference of the
// service ratios is larger than the noise: the scatter of the service ratios between runs of the
// same plan.
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

// writeServiceComparison compares the mean service ratios. The noise is only known if both
// reports have more than one run.
func writeServiceComparison(b *strings.Builder, before, after *Report) {
	meanBefore, deviationBefore, runsBefore := before.Noise()
	meanAfter, deviationAfter, runsAfter := after.Noise()
	difference := meanAfter - meanBefore
	if runsBefore <= 1 || runsAfter <= 1 {
		fmt.Fprintf(b, "service %.4f -> %.4f: %+.4f; the noise is not known, since one side was played once "+
			"(--repeat N)\n", meanBefore, meanAfter, difference)
		return
	}
	// The standard error of the difference of two means, as in Welch's t-test.
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

// comparison is a table that shows the figures of two reports side by side.
type comparison struct{ *texttable.Table }

// row adds a row for one figure: both values, formatted with format, and their difference.
func (c comparison) row(name string, before, after float64, format string) {
	c.Rowf("%s\t"+format+"\t"+format+"\t%+.3f\t", name, before, after, after-before)
}

// groups adds a row with the service ratios of each group that both reports have. groupKind is
// "class", "portal" or "partner".
func (c comparison) groups(groupKind string, before, after []Group) {
	for i := range after {
		for j := range before {
			if before[j].Name == after[i].Name {
				c.row(groupKind+" "+after[i].Name, before[j].ServiceRatio, after[i].ServiceRatio, "%.3f")
			}
		}
	}
}

// comparisonTable returns the table of the figures of both reports.
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

// partnerGroups returns the partners as groups, so that comparison.groups can compare them.
func (r *Report) partnerGroups() []Group {
	groups := make([]Group, len(r.Partners))
	for i := range r.Partners {
		groups[i] = Group{Name: r.Partners[i].Name, Service: r.Partners[i].Service}
	}
	return groups
}

// wastedCalls returns the number of calls, to all partners, that delivered no message.
func (r *Report) wastedCalls() (n int) {
	for i := range r.Partners {
		n += r.Partners[i].Wasted
	}
	return n
}
