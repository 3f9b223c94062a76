package report

import (
	"fmt"
	"html"
	"io"
	"strings"
)

// WriteHTML writes the report as a self-contained HTML page: it refers to no script, font or
// other resource by a URL.
func (r *Report) WriteHTML(w io.Writer) error {
	b := &strings.Builder{}
	escape := html.EscapeString
	fmt.Fprintf(b, "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>%s: %s</title>\n"+
		"<style>%s</style>\n",
		escape(r.Scenario), escape(r.Verdict), stylesheet)
	fmt.Fprintf(
		b,
		"<h1>%s <span class=\"%s\">%s</span></h1><p>%s. Seed %d, release %s, %s, %s, %d cores.</p>\n",
		escape(
			r.Scenario,
		),
		escape(r.Verdict),
		escape(r.Verdict),
		escape(r.About),
		r.Seed,
		escape(r.Environment.Release),
		escape(r.Environment.Go),
		escape(r.Environment.System),
		r.Environment.Cores,
	)
	r.writeReasons(b)
	r.writeSummary(b)
	r.writeTimeline(b)
	r.writeTables(b)
	fmt.Fprint(b, "</html>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// writeReasons writes the list of reasons why the rehearsal did not pass.
func (r *Report) writeReasons(b *strings.Builder) {
	if len(r.Reasons) == 0 {
		return
	}
	b.WriteString("<ul>")
	for _, reason := range r.Reasons {
		fmt.Fprintf(b, "<li>%s</li>", html.EscapeString(reason))
	}
	b.WriteString("</ul>\n")
}

// writeSummary writes the service ratio, the counts of messages and, with several runs, their
// noise.
func (r *Report) writeSummary(b *strings.Builder) {
	s := &r.Service
	fmt.Fprintf(b, "<p class=\"big\">Service <b>%.3f</b> (floor %.2f): worth %.1f of %.1f; "+
		"worst 10 s <b>%.3f</b> from %d s on. ",
		s.ServiceRatio, r.MinService, s.WeightDelivered, s.WeightAsked, r.WorstWindow.ServiceRatio, r.WorstWindow.FromS)
	fmt.Fprintf(b, "%d messages: %d delivered, %d refused for good, %d failed, %d unheard.</p>\n",
		s.Messages, s.Delivered, s.Rejected, s.Failed, s.Unanswered)
	if mean, deviation, runs := r.Noise(); runs > 1 {
		fmt.Fprintf(b, "<p>%d runs: mean %.4f, standard deviation %.4f. The figures are those of the run in the "+
			"middle.</p>\n", runs, mean, deviation)
	}
}

const stylesheet = "\n" +
	"" +
	"body{font:15px/1.45 system-ui,sans-serif;max-width:1020px;margin:2em auto;padding:0 1em;color:#1c2330;" +
	"background:#fff}\n" +
	"h1{font-size:1.5em;margin-bottom:.2em}" +
	"h1 span{font-size:.65em;padding:.2em .6em;border-radius:.4em;color:#fff;vertical-align:middle}\n" +
	".passed{background:#1a7f4b}.failed{background:#b3261e}.void{background:#6b6f76}\n" +
	".big{font-size:1.1em}table{border-collapse:collapse;margin:1em 0}" +
	"td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #d9dde3}\n" +
	"td:first-child,th:first-child{text-align:left}svg{width:100%;height:auto;display:block}" +
	"svg text{font:12px system-ui,sans-serif;fill:#39414f}\n" +
	".broken{color:#b3261e}li{margin:.2em 0}"

// writeTables writes the tables of classes, portals, partners and latencies, and the list of
// rules.
func (r *Report) writeTables(b *strings.Builder) {
	writeGroupTable(b, "class", r.Classes)
	writeGroupTable(b, "portal", r.Portals)
	r.writePartnerTable(b)
	r.writeLatencyTable(b)
	r.writeRuleList(b)
}

func writeGroupTable(b *strings.Builder, groupKind string, groups []Group) {
	fmt.Fprintf(b, "<table><tr><th>%s<th>messages<th>service<th>delivered<th>refused<th>failed</tr>", groupKind)
	for _, group := range groups {
		fmt.Fprintf(b, "<tr><td>%s<td>%d<td>%.3f<td>%d<td>%d<td>%d</tr>", html.EscapeString(group.Name),
			group.Messages, group.ServiceRatio, group.Delivered, group.Rejected, group.Failed)
	}
	b.WriteString("</table>\n")
}

func (r *Report) writePartnerTable(b *strings.Builder) {
	b.WriteString("<table><tr><th>partner<th>endpoints<th>messages<th>service<th>calls<th>turned " +
		"away<th>failed<th>wasted<th>took effect<th>probes</tr>")
	for i := range r.Partners {
		p := &r.Partners[i]
		fmt.Fprintf(b, "<tr><td>%s<td>%d<td>%d<td>%.3f<td>%d<td>%d<td>%d<td>%d<td>%d<td>%d</tr>",
			html.EscapeString(p.Name), p.Endpoints, p.Messages, p.ServiceRatio, p.Calls.Started, p.Calls.Rejected,
			p.Calls.Failed, p.Wasted, p.Calls.Executed, p.Calls.HealthChecks)
	}
	b.WriteString("</table>\n")
}

func (r *Report) writeLatencyTable(b *strings.Builder) {
	b.WriteString("<table><tr><th>ms from the planned moment" +
		"<th>count<th>p50<th>p90<th>p99<th>p99.9<th>most</tr>")
	for _, latency := range r.latencies() {
		quantiles := &latency.quantiles
		fmt.Fprintf(b, "<tr><td>%s<td>%d<td>%.1f<td>%.1f<td>%.1f<td>%.1f<td>%.1f</tr>",
			latency.name, quantiles.Count, quantiles.P50, quantiles.P90, quantiles.P99, quantiles.P999,
			quantiles.Max)
	}
	b.WriteString("</table>\n")
}

func (r *Report) writeRuleList(b *strings.Builder) {
	escape := html.EscapeString
	b.WriteString("<h2>Rules</h2><ul>")
	for _, rule := range r.Rules {
		if len(rule.Violations) == 0 {
			fmt.Fprintf(b, "<li>kept: %s</li>", escape(rule.Rule))
			continue
		}
		fmt.Fprintf(b, "<li class=\"broken\">broken %d times: %s<ul>", len(rule.Violations), escape(rule.Rule))
		for _, v := range rule.Violations {
			fmt.Fprintf(b, "<li>at %.3f s, message %s (%d of the plan): %s</li>", v.AtS, escape(v.Message), v.Planned,
				escape(v.Evidence))
		}
		b.WriteString("</ul></li>")
	}
	b.WriteString("</ul>\n")
}
