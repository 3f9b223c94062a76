package report

import (
	"fmt"
	"io"
	"strings"

	"troutusher/internal/texttable"
)

// maxViolationsShown is the number of violations of a rule that the text form lists. JSON and
// HTML list all.
const maxViolationsShown = 5

// WriteText writes the report as text for a terminal.
func (r *Report) WriteText(w io.Writer) error {
	b := &strings.Builder{}
	fmt.Fprintf(b, "%s (seed %d): %s\n\n", r.Scenario, r.Seed, r.About)
	r.writeTextService(b)
	b.WriteString("\n")
	r.writeTextGroups(b)
	b.WriteString("\n")
	r.writeTextPartners(b)
	b.WriteString("\n")
	r.writeTextLatencies(b)
	r.writeTextCounts(b)
	b.WriteString("\n")
	r.writeTextRules(b)
	fmt.Fprintf(b, "\n%s", r.Verdict)
	if len(r.Reasons) > 0 {
		b.WriteString(": " + strings.Join(r.Reasons, "; "))
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Report) writeTextService(b *strings.Builder) {
	s := &r.Service
	fmt.Fprintf(b, "service %.3f: worth %.1f delivered of %.1f asked for; worst 10 s %.3f, from %d s on\n",
		s.ServiceRatio, s.WeightDelivered, s.WeightAsked, r.WorstWindow.ServiceRatio, r.WorstWindow.FromS)
	if mean, deviation, runs := r.Noise(); runs > 1 {
		fmt.Fprintf(b, "%d runs: mean %.4f, standard deviation %.4f; the figures are those of the run in the middle\n",
			runs, mean, deviation)
	}
	fmt.Fprintf(b, "%d messages, %d hand-ins: %d delivered, %d refused for good, %d failed, %d unheard",
		s.Messages, s.Submissions, s.Delivered, s.Rejected, s.Failed, s.Unanswered)
	if s.Pending > 0 {
		fmt.Fprintf(b, ", %d with no end", s.Pending)
	}
	fmt.Fprintf(b, "; %d refusals in all\n", s.Rejections)
}

func (r *Report) writeTextGroups(b *strings.Builder) {
	t := texttable.NewAlignedRight()
	rows := func(groups []Group) {
		for _, group := range groups {
			t.Rowf("%s\t%d\t%.3f\t%d\t%d\t%d\t",
				group.Name, group.Messages, group.ServiceRatio, group.Delivered, group.Rejected, group.Failed)
		}
	}
	t.Rowf("class\tmessages\tservice\tdelivered\trefused\tfailed\t")
	rows(r.Classes)
	t.Rowf("\t\t\t\t\t\t\nportal\tmessages\tservice\tdelivered\trefused\tfailed\t")
	rows(r.Portals)
	b.WriteString(t.String())
}

func (r *Report) writeTextPartners(b *strings.Builder) {
	t := texttable.NewAlignedRight()
	t.Rowf("partner\tendpoints\tmessages\tservice\tcalls\tturned away\tfailed\twasted\tprobes\t")
	for _, p := range r.Partners {
		t.Rowf("%s\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t",
			p.Name, p.Endpoints, p.Messages, p.ServiceRatio, p.Calls.Started, p.Calls.Rejected, p.Calls.Failed,
			p.Wasted, p.Calls.HealthChecks)
	}
	b.WriteString(t.String())
}

func (r *Report) writeTextLatencies(b *strings.Builder) {
	t := texttable.NewAlignedRight()
	t.Rowf("ms from the planned moment\tcount\tp50\tp90\tp99\tp99.9\tmost\t")
	for _, latency := range r.latencies() {
		quantiles := &latency.quantiles
		t.Rowf("%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t",
			latency.name, quantiles.Count, quantiles.P50, quantiles.P90, quantiles.P99, quantiles.P999,
			quantiles.Max)
	}
	b.WriteString(t.String())
	fmt.Fprintf(b, "the kit was late by (p99): driver %.1f ms, stand-ins %.1f ms; %.0f at most\n",
		r.Lateness.Driver, r.Lateness.Emulators, r.Lateness.Limit)
}

func (r *Report) writeTextCounts(b *strings.Builder) {
	fmt.Fprintf(b, "requests that met a connection refused, reset or closed unread: %d\n", r.UnservedRequests)
	if restarts := r.Restarts; restarts.Unattempted > 0 {
		fmt.Fprintf(b, "untried at a restart, with half of their time left: "+
			"%d, of them %d called and %d ended with no call\n",
			restarts.Unattempted, restarts.Attempted, restarts.Ended)
	}
	if len(r.MemoryKB) == 0 {
		return
	}
	b.WriteString("most resident memory of the relays:")
	for _, kb := range r.MemoryKB {
		fmt.Fprintf(b, " %.1f", float64(kb)/1024)
	}
	b.WriteString(" MB\n")
}

func (r *Report) writeTextRules(b *strings.Builder) {
	for _, rule := range r.Rules {
		if len(rule.Violations) == 0 {
			fmt.Fprintf(b, "kept    %s\n", rule.Rule)
			continue
		}
		fmt.Fprintf(b, "BROKEN  %s, %d times\n", rule.Rule, len(rule.Violations))
		for i, v := range rule.Violations {
			if i == maxViolationsShown {
				fmt.Fprintf(b, "        and %d more\n", len(rule.Violations)-i)
				break
			}
			fmt.Fprintf(b, "        at %.3f s", v.AtS)
			if v.Message != "" {
				fmt.Fprintf(b, ", message %s (%d of the plan)", v.Message, v.Planned)
			}
			fmt.Fprintf(b, ": %s\n", v.Evidence)
		}
	}
}
