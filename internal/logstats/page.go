package logstats

import (
	"bytes"
	"fmt"
	"html"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"troutusher/internal/metrics"
)

// maxDestinationPlots is the maximum number of destinations that have their own plot.
const maxDestinationPlots = 40

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// series is one line of a plot.
type series struct {
	name  string
	value func(Counts) float64
}

// countSeries returns the series that shows one metric under a name of its own in the legend.
func countSeries(legend, metric string) series {
	return series{legend, func(c Counts) float64 { return float64(c[metric]) }}
}

// trafficSeries are the series of the plot of all destinations and of the plot of each destination.
// "turned away" are calls that an endpoint rejected. "refused here" are messages that the relays
// themselves rejected or handed back to their clients, to be submitted again.
var trafficSeries = []series{
	countSeries("handed in", metrics.Submitted),
	countSeries("sent", metrics.Attempts),
	countSeries("delivered", metrics.Delivered),
	countSeries("turned away", metrics.Rejected),
	{"refused here", func(c Counts) float64 { return float64(c.HandedBack()) }},
}

// costSeries are the series of the plot of costly operations. These burden endpoints, or the network
// between zones, in addition to the calls that deliver messages.
var costSeries = []series{
	countSeries("connections opened", metrics.ConnectionsOpened),
	countSeries("no connection", metrics.ConnectFailed),
	countSeries("crossed zones", metrics.CrossZoneAttempts),
	countSeries("probes", metrics.HealthChecks),
}

// plotSVG draws series over all seconds of the report. countsAt returns the counts of a second.
func (r *Report) plotSVG(title string, countsAt func(second int64) Counts, lines []series) ([]byte, error) {
	p := plot.New()
	// The Y axis shows how often the counted events occurred per second, summed over all relays.
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", "a second, all relays"
	p.Legend.Top = true
	var args []any
	for _, line := range lines {
		var points plotter.XYs
		for second := r.FirstSecond; second <= r.LastSecond; second++ {
			points = append(points, plotter.XY{X: float64(second - r.FirstSecond), Y: line.value(countsAt(second))})
		}
		args = append(args, line.name, points)
	}
	if err := plotutil.AddLines(p, args...); err != nil {
		return nil, fmt.Errorf("plot %q: add lines: %w", title, err)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("plot %q: encode as SVG: %w", title, err)
	}
	svg := b.Bytes()
	if start := bytes.Index(svg, []byte("<svg")); start > 0 { // HTML allows no XML declaration before an inline SVG
		svg = svg[start:]
	}
	return svg, nil
}

// writePlots writes the plot of all destinations, the plot of costly operations, and the plots of the
// first maxDestinationPlots destinations.
func (r *Report) writePlots(b *bytes.Buffer) error {
	write := func(title string, countsAt func(second int64) Counts, lines []series) error {
		svg, err := r.plotSVG(title, countsAt, lines)
		b.Write(svg)
		return err
	}
	if err := write("all destinations", r.SecondTotals, trafficSeries); err != nil {
		return err
	}
	// The title means costly operations.
	if err := write("what is dear", r.SecondTotals, costSeries); err != nil {
		return err
	}
	for _, dest := range r.Destinations[:min(len(r.Destinations), maxDestinationPlots)] {
		countsAt := func(second int64) Counts { return r.CountsAt(second, dest) }
		if err := write("destination "+destinationName(dest), countsAt, trafficSeries); err != nil {
			return err
		}
	}
	return nil
}

// WriteHTML writes the report as one self-contained HTML page: summary, plots, the table of
// destinations and the table of seconds.
func (r *Report) WriteHTML(w io.Writer) error {
	b := &bytes.Buffer{}
	b.WriteString(`<!doctype html><html lang="en"><meta charset="utf-8">`)
	fmt.Fprintf(b, "<title>Fleet: %d relays</title>\n<style>%s</style>\n", len(r.Relays), pageStyle)
	fmt.Fprintf(b, "<h1>Fleet: %d relays</h1>\n<ul>", len(r.Relays))
	for _, line := range r.summaryLines() {
		fmt.Fprintf(b, "<li>%s</li>", html.EscapeString(line))
	}
	b.WriteString("</ul>\n")
	if err := r.writePlots(b); err != nil {
		return err
	}
	for _, rows := range [][][]string{r.destinationRows(), r.secondRows(nil)} {
		writeHTMLTable(b, rows)
	}
	b.WriteString("</html>\n")
	_, err := w.Write(b.Bytes())
	return err
}

// writeHTMLTable writes rows of cells as an HTML table.
func writeHTMLTable(b *bytes.Buffer, rows [][]string) {
	b.WriteString("<table>\n")
	for _, cells := range rows {
		b.WriteString("<tr>")
		for _, cell := range cells {
			fmt.Fprintf(b, "<td>%s", html.EscapeString(cell))
		}
		b.WriteString("\n")
	}
	b.WriteString("</table>\n")
}

const pageStyle = "body{font:14px/1.4 system-ui,sans-serif;max-width:1100px;margin:2em auto;padding:0 1em;" +
	"color:#1c2330}\n" +
	"table{border-collapse:collapse;margin:1em 0}" +
	"td{padding:.1em .6em;text-align:right;border-bottom:1px solid #d9dde3}" +
	"svg{display:block;margin:1em 0;max-width:100%;height:auto}"
