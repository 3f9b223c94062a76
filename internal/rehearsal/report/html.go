package report

import (
	"fmt"
	"html"
	"io"
	"math"
	"slices"
	"strings"
)

// Figures of the timeline, in the units of its drawing.
const (
	pageWidth   = 980.0
	labelWidth  = 150.0
	rightMargin = 20.0 // for the last label
	rowHeight   = 26.0
	plotHeight  = 120.0
)

// WriteHTML writes the report as one page that needs nothing else: no script,
// no font, no address.
func (r *Report) WriteHTML(w io.Writer) error {
	b := &strings.Builder{}
	e := html.EscapeString
	fmt.Fprintf(b, "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>%s: %s</title>\n"+
		"<style>%s</style>\n",
		e(r.Scenario), e(r.Verdict), stylesheet)
	fmt.Fprintf(b, "<h1>%s <span class=\"%s\">%s</span></h1><p>%s. Seed %d, release %s, %s, %s, %d cores.</p>\n",
		e(r.Scenario), e(r.Verdict), e(r.Verdict), e(r.About), r.Seed, e(r.Environment.Release), e(r.Environment.Go),
		e(r.Environment.System), r.Environment.Cores)
	if len(r.Reasons) > 0 {
		fmt.Fprint(b, "<ul>")
		for _, why := range r.Reasons {
			fmt.Fprintf(b, "<li>%s</li>", e(why))
		}
		fmt.Fprint(b, "</ul>\n")
	}
	fmt.Fprintf(
		b,
		"<p class=\"big\">Service <b>%.3f</b> (floor %.2f): worth %.1f of %.1f; worst 10 s <b>%.3f</b> from %d s on. "+
			"%d messages: %d delivered, %d refused for good, %d failed, %d unheard.</p>\n",
		r.Service.ServiceRatio,
		r.MinService,
		r.Service.WeightDelivered,
		r.Service.WeightAsked,
		r.WorstWindow.ServiceRatio,
		r.WorstWindow.FromS,
		r.Service.Messages,
		r.Service.Delivered,
		r.Service.Rejected,
		r.Service.Failed,
		r.Service.Unanswered,
	)
	if mean, dev, n := r.Noise(); n > 1 {
		fmt.Fprintf(b, "<p>%d runs: mean %.4f, standard deviation %.4f. The figures are those of the run in the "+
			"middle.</p>\n",
			n, mean, dev)
	}
	r.writeTimeline(b)
	r.writeTables(b)
	fmt.Fprint(b, "</html>\n")
	_, err := io.WriteString(w, b.String())
	return err
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

// writeTimeline draws worth and faults over time: a row for each partner.
func (r *Report) writeTimeline(b *strings.Builder) {
	c := &chart{Report: r, Builder: b, seconds: float64(max(len(r.Seconds), 1))}
	relayRow := slices.ContainsFunc(r.Faults, func(f Fault) bool { return len(f.Relays) > 0 })
	rows := len(r.Partners)
	if relayRow {
		rows++
	}
	high := chartTop + rowHeight*float64(rows) + 30
	fmt.Fprintf(b, "<svg viewBox=\"0 0 %.0f %.0f\" role=\"img\" aria-label=\"Service and faults over time\">\n",
		pageWidth, high)
	c.drawWeights()
	c.drawAxis()
	for i := range r.Partners {
		c.drawPartner(i)
	}
	if relayRow {
		c.drawRelays()
	}
	c.drawViolations(high - 20)
	fmt.Fprintf(b, "<text x=\"%.1f\" y=\"%.1f\">rows: service by second of arrival, from red (none) to green "+
		"(all); black bars: faults; dashed red: broken rules</text></svg>\n",
		labelWidth, high-6)
}

const (
	chartWidth = pageWidth - labelWidth - rightMargin
	chartTop   = plotHeight + 40
)

// chart draws a timeline as SVG.
type chart struct {
	*Report
	*strings.Builder
	seconds float64
}

// xOf is where a second is drawn.
func (c *chart) xOf(s float64) float64 { return labelWidth + chartWidth*min(max(s/c.seconds, 0), 1) }

// drawWeights draws what was asked for and delivered, by second of arrival.
func (c *chart) drawWeights() {
	most := 1e-9
	for _, s := range c.Seconds {
		most = max(most, s.WeightAsked)
	}
	c.WriteString(`<text x="0" y="16">worth a second</text>` +
		`<text x="0" y="34" style="fill:#8a94a6">grey: asked for</text>` +
		`<text x="0" y="52" style="fill:#2563a8">blue: delivered</text>`)
	fmt.Fprintf(c.Builder, "<text x=\"%.1f\" y=\"12\" text-anchor=\"end\">%.0f</text>", labelWidth-6, most)
	for i, s := range c.Seconds {
		for _, bar := range []struct {
			v     float64
			color string
		}{{s.WeightAsked, "#c9d0da"}, {s.WeightDelivered, "#2563a8"}} {
			h := plotHeight * bar.v / most
			fmt.Fprintf(c.Builder, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>",
				c.xOf(float64(i)), plotHeight-h, max(chartWidth/c.seconds-1, 0.5), h, bar.color)
		}
	}
}

func (c *chart) drawAxis() {
	step := math.Max(1, math.Ceil(c.seconds/12))
	for s := 0.0; s <= c.seconds; s += step {
		fmt.Fprintf(c.Builder, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"middle\">%.0f s</text>",
			c.xOf(s), plotHeight+18, s)
	}
	c.WriteString("\n")
}

// drawPartner draws a partner's row: its service by second, and its faults.
func (c *chart) drawPartner(i int) {
	p := &c.Partners[i]
	y := chartTop + rowHeight*float64(i)
	name := html.EscapeString(p.Name)
	fmt.Fprintf(c.Builder, "<text x=\"0\" y=\"%.1f\">%s %.2f</text>", y+16, name, p.ServiceRatio)
	for s := range c.Seconds {
		if i >= len(c.Seconds[s].Partners) {
			continue
		}
		v := c.Seconds[s].Partners[i]
		fmt.Fprintf(c.Builder, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"16\" fill=\"%s\">"+
			"<title>%s, second %d: %s</title></rect>",
			c.xOf(float64(s)), y+6, max(chartWidth/c.seconds-0.5, 0.5), heatColor(v), name, s, serviceText(v))
	}
	for _, f := range c.Faults {
		for _, hit := range f.Partners {
			if hit == i {
				drawFault(c.Builder, &f, c.xOf, y+2)
			}
		}
	}
	c.WriteString("\n")
}

// drawRelays draws the row of faults of relays and lists.
func (c *chart) drawRelays() {
	y := chartTop + rowHeight*float64(len(c.Partners))
	fmt.Fprintf(c.Builder, "<text x=\"0\" y=\"%.1f\">relays, list</text>", y+16)
	for _, f := range c.Faults {
		if len(f.Relays) > 0 {
			drawFault(c.Builder, &f, c.xOf, y+10)
		}
	}
}

func (c *chart) drawViolations(bottom float64) {
	for _, rule := range c.Rules {
		for _, v := range rule.Violations {
			fmt.Fprintf(c.Builder, "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"0\" y2=\"%.1f\" stroke=\"#b3261e\" "+
				"stroke-dasharray=\"3 3\"><title>%s: %s</title></line>",
				c.xOf(v.AtS), c.xOf(v.AtS), bottom, html.EscapeString(rule.Rule), html.EscapeString(v.Evidence))
		}
	}
}

// drawFault draws a fault over a row.
func drawFault(b *strings.Builder, f *Fault, x func(float64) float64, y float64) {
	until := max(f.UntilS, f.FromS+0.15)
	fmt.Fprintf(b, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"4\" fill=\"#1c2330\" "+
		"opacity=\".75\"><title>%s from %.1f to %.1f s</title></rect>",
		x(f.FromS), y, max(x(until)-x(f.FromS), 2), html.EscapeString(f.Kind), f.FromS, f.UntilS)
}

func heatColor(v float64) string {
	if v < 0 {
		return "#eef0f3"
	}
	return fmt.Sprintf("hsl(%.0f 55%% 55%%)", 130*min(max(v, 0), 1))
}

func serviceText(v float64) string {
	if v < 0 {
		return "nothing asked for"
	}
	return fmt.Sprintf("service %.2f", v)
}

func (r *Report) writeTables(b *strings.Builder) {
	e := html.EscapeString
	group := func(what string, all []Group) {
		fmt.Fprintf(b, "<table><tr><th>%s<th>messages<th>service<th>delivered<th>refused<th>failed</tr>", what)
		for _, g := range all {
			fmt.Fprintf(b, "<tr><td>%s<td>%d<td>%.3f<td>%d<td>%d<td>%d</tr>", e(g.Name), g.Messages, g.ServiceRatio,
				g.Delivered, g.Rejected, g.Failed)
		}
		fmt.Fprint(b, "</table>\n")
	}
	group("class", r.Classes)
	group("portal", r.Portals)
	fmt.Fprint(b, "<table><tr><th>partner<th>endpoints<th>messages<th>service<th>calls<th>turned "+
		"away<th>failed<th>wasted<th>took effect<th>probes</tr>")
	for _, p := range r.Partners {
		fmt.Fprintf(b, "<tr><td>%s<td>%d<td>%d<td>%.3f<td>%d<td>%d<td>%d<td>%d<td>%d<td>%d</tr>", e(p.Name),
			p.Endpoints, p.Messages, p.ServiceRatio, p.Calls.Started, p.Calls.Rejected, p.Calls.Failed, p.Wasted,
			p.Calls.Executed, p.Calls.HealthChecks)
	}
	fmt.Fprint(b, "</table>\n<table><tr><th>ms from the planned "+
		"moment<th>count<th>p50<th>p90<th>p99<th>p99.9<th>most</tr>")
	for _, q := range []struct {
		name string
		q    Quantiles
	}{{"to the first answer", r.ReplyLatency}, {"to the delivery", r.DeliveryLatency}} {
		fmt.Fprintf(b, "<tr><td>%s<td>%d<td>%.1f<td>%.1f<td>%.1f<td>%.1f<td>%.1f</tr>", q.name, q.q.Count, q.q.P50,
			q.q.P90, q.q.P99, q.q.P999, q.q.Max)
	}
	fmt.Fprint(b, "</table>\n<h2>Rules</h2><ul>")
	for _, rule := range r.Rules {
		if len(rule.Violations) == 0 {
			fmt.Fprintf(b, "<li>kept: %s</li>", e(rule.Rule))
			continue
		}
		fmt.Fprintf(b, "<li class=\"broken\">broken %d times: %s<ul>", len(rule.Violations), e(rule.Rule))
		for _, v := range rule.Violations {
			fmt.Fprintf(b, "<li>at %.3f s, message %s (%d of the plan): %s</li>", v.AtS, e(v.Message), v.Planned,
				e(v.Evidence))
		}
		fmt.Fprint(b, "</ul></li>")
	}
	fmt.Fprint(b, "</ul>\n")
}
