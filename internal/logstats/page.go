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

// maxDestinationPlots is the number of destinations that have a plot of their own.
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

// countSeries draws one count.
func countSeries(title, name string) series {
	return series{title, func(c Counts) float64 { return float64(c[name]) }}
}

// trafficSeries is what is drawn of all destinations, and of each.
var trafficSeries = []series{
	countSeries("handed in", metrics.Submitted),
	countSeries("sent", metrics.Attempts),
	countSeries("delivered", metrics.Delivered),
	countSeries("turned away", metrics.Rejected),
	{"refused here", func(c Counts) float64 { return float64(c.HandedBack()) }},
}

// costSeries is what costs endpoints or zones more than a call.
var costSeries = []series{
	countSeries("connections opened", metrics.ConnectionsOpened),
	countSeries("no connection", metrics.ConnectFailed),
	countSeries("crossed zones", metrics.CrossZoneAttempts),
	countSeries("probes", metrics.HealthChecks),
}

// plotSVG draws series over the seconds. countsAt returns the counts of a second.
func (r *Report) plotSVG(title string, countsAt func(second int64) Counts, lines []series) ([]byte, error) {
	p := plot.New()
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
		return nil, fmt.Errorf("plot: %w", err)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("plot: %w", err)
	}
	svg := b.Bytes()
	if start := bytes.Index(svg, []byte("<svg")); start > 0 { // an XML head has no place within a page
		svg = svg[start:]
	}
	return svg, nil
}

// writePlots writes a plot of all destinations, one of what is costly, and one of each
// destination.
func (r *Report) writePlots(b *bytes.Buffer) error {
	write := func(title string, countsAt func(second int64) Counts, lines []series) error {
		svg, err := r.plotSVG(title, countsAt, lines)
		b.Write(svg)
		return err
	}
	if err := write("all destinations", r.SecondTotals, trafficSeries); err != nil {
		return err
	}
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

// WriteHTML writes the report as one page that needs nothing else.
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
