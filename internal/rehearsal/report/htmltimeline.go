package report

import (
	"fmt"
	"html"
	"math"
	"slices"
	"strings"
)

// Dimensions of the timeline, in units of the SVG's viewBox.
const (
	pageWidth   = 980.0
	labelWidth  = 150.0
	rightMargin = 20.0 // keeps the last label of the time axis inside the drawing
	rowHeight   = 26.0
	plotHeight  = 120.0
)

// writeTimeline writes an SVG of the weights and faults over time. Below the plot of the weights
// it has a row for each partner and, if a fault affected relays, one for the relays.
func (r *Report) writeTimeline(b *strings.Builder) {
	c := &chart{Report: r, Builder: b, seconds: float64(max(len(r.Seconds), 1))}
	relayRow := slices.ContainsFunc(r.Faults, func(f Fault) bool { return len(f.Relays) > 0 })
	rows := len(r.Partners)
	if relayRow {
		rows++
	}
	height := chartTop + rowHeight*float64(rows) + 30
	fmt.Fprintf(b, "<svg viewBox=\"0 0 %.0f %.0f\" role=\"img\" aria-label=\"Service and faults over time\">\n",
		pageWidth, height)
	c.drawWeights()
	c.drawAxis()
	for i := range r.Partners {
		c.drawPartner(i)
	}
	if relayRow {
		c.drawRelays()
	}
	c.drawViolations(height - 20)
	fmt.Fprintf(b, "<text x=\"%.1f\" y=\"%.1f\">rows: service by second of arrival, from red (none) to green "+
		"(all); black bars: faults; dashed red: broken rules</text></svg>\n",
		labelWidth, height-6)
}

const (
	chartWidth = pageWidth - labelWidth - rightMargin
	chartTop   = plotHeight + 40
)

// chart draws a timeline as SVG.
type chart struct {
	*Report
	*strings.Builder
	seconds float64 // length of the time axis
}

// xOf returns the x coordinate of a time in seconds.
func (c *chart) xOf(second float64) float64 {
	return labelWidth + chartWidth*min(max(second/c.seconds, 0), 1)
}

// drawWeights draws bars of the weights asked for and delivered, by second of arrival.
func (c *chart) drawWeights() {
	highest := 1e-9
	for _, second := range c.Seconds {
		highest = max(highest, second.WeightAsked)
	}
	c.WriteString(`<text x="0" y="16">worth a second</text>` +
		`<text x="0" y="34" style="fill:#8a94a6">grey: asked for</text>` +
		`<text x="0" y="52" style="fill:#2563a8">blue: delivered</text>`)
	fmt.Fprintf(c.Builder, "<text x=\"%.1f\" y=\"12\" text-anchor=\"end\">%.0f</text>", labelWidth-6, highest)
	for i, second := range c.Seconds {
		for _, bar := range []struct {
			weight float64
			color  string
		}{{second.WeightAsked, "#c9d0da"}, {second.WeightDelivered, "#2563a8"}} {
			height := plotHeight * bar.weight / highest
			fmt.Fprintf(c.Builder, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>",
				c.xOf(float64(i)), plotHeight-height, max(chartWidth/c.seconds-1, 0.5), height, bar.color)
		}
	}
}

// drawAxis draws the labels of the time axis.
func (c *chart) drawAxis() {
	step := math.Max(1, math.Ceil(c.seconds/12))
	for second := 0.0; second <= c.seconds; second += step {
		fmt.Fprintf(c.Builder, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"middle\">%.0f s</text>",
			c.xOf(second), plotHeight+18, second)
	}
	c.WriteString("\n")
}

// drawPartner draws the row of the i-th partner: its service ratio by second, and its faults.
func (c *chart) drawPartner(i int) {
	p := &c.Partners[i]
	y := chartTop + rowHeight*float64(i)
	name := html.EscapeString(p.Name)
	fmt.Fprintf(c.Builder, "<text x=\"0\" y=\"%.1f\">%s %.2f</text>", y+16, name, p.ServiceRatio)
	for second := range c.Seconds {
		if i >= len(c.Seconds[second].Partners) {
			continue
		}
		service := c.Seconds[second].Partners[i]
		fmt.Fprintf(c.Builder, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"16\" fill=\"%s\">"+
			"<title>%s, second %d: %s</title></rect>",
			c.xOf(float64(second)), y+6, max(chartWidth/c.seconds-0.5, 0.5), heatColor(service), name, second,
			serviceText(service))
	}
	for _, f := range c.Faults {
		for _, partner := range f.Partners {
			if partner == i {
				c.drawFault(&f, y+2)
			}
		}
	}
	c.WriteString("\n")
}

// drawRelays draws the row of the faults that affect relays or their endpoint lists.
func (c *chart) drawRelays() {
	y := chartTop + rowHeight*float64(len(c.Partners))
	fmt.Fprintf(c.Builder, "<text x=\"0\" y=\"%.1f\">relays, list</text>", y+16)
	for _, f := range c.Faults {
		if len(f.Relays) > 0 {
			c.drawFault(&f, y+10)
		}
	}
}

// drawViolations draws a vertical line at the time of each rule violation.
func (c *chart) drawViolations(bottom float64) {
	for _, rule := range c.Rules {
		for _, v := range rule.Violations {
			fmt.Fprintf(c.Builder, "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"0\" y2=\"%.1f\" stroke=\"#b3261e\" "+
				"stroke-dasharray=\"3 3\"><title>%s: %s</title></line>",
				c.xOf(v.AtS), c.xOf(v.AtS), bottom, html.EscapeString(rule.Rule), html.EscapeString(v.Evidence))
		}
	}
}

// drawFault draws a fault as a bar at height y. A short fault is drawn longer than it was, so
// that it is visible.
func (c *chart) drawFault(f *Fault, y float64) {
	until := max(f.UntilS, f.FromS+0.15)
	fmt.Fprintf(c.Builder, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"4\" fill=\"#1c2330\" "+
		"opacity=\".75\"><title>%s from %.1f to %.1f s</title></rect>",
		c.xOf(f.FromS), y, max(c.xOf(until)-c.xOf(f.FromS), 2), html.EscapeString(f.Kind), f.FromS, f.UntilS)
}

// heatColor returns the color of a service ratio, from red (0) to green (1), or grey if nothing
// was asked for.
func heatColor(service float64) string {
	if service < 0 {
		return "#eef0f3"
	}
	return fmt.Sprintf("hsl(%.0f 55%% 55%%)", 130*min(max(service, 0), 1))
}

// serviceText returns the tooltip text of a service ratio.
func serviceText(service float64) string {
	if service < 0 {
		return "nothing asked for"
	}
	return fmt.Sprintf("service %.2f", service)
}
