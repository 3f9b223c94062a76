package logstats

import (
	"bytes"
	"fmt"
	"html"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"troutusher/internal/metrics"
	"troutusher/internal/texttable"
)

// column is one figure of the tables.
type column struct {
	name string
	of   func(Counts) string
}

func plain(name, what string) column {
	return column{name, func(c Counts) string { return fmt.Sprint(c[what]) }}
}

// per is a ratio, with nothing where there is nothing to divide by.
func per(a, b int64, digits int) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.*f", digits, float64(a)/float64(b))
}

var columns = []column{
	plain("in", metrics.Submitted),
	plain("taken", metrics.Accepted),
	plain("resumed", metrics.Recovered),
	plain("sent", metrics.Attempts),
	plain("ok", metrics.Delivered),
	plain(
		"full",
		metrics.Rejected,
	),
	plain("errors", metrics.Failed),
	plain("late", metrics.TimedOut),
	plain("no-conn", metrics.ConnectFailed),
	plain("reset", metrics.ConnectionReset),
	{"refused", func(c Counts) string { return fmt.Sprint(c.Handed()) }},
	plain("given-up", metrics.GivenUp),
	plain("dials", metrics.ConnectionsOpened),
	{"msg/conn", func(c Counts) string { return per(c[metrics.Attempts], c[metrics.ConnectionsOpened], 1) }},
	plain("probes", metrics.HealthChecks),
	{"crossed", func(c Counts) string { return per(c[metrics.CrossZoneAttempts], c[metrics.Attempts], 2) }},
	{"held-ms", func(c Counts) string { return per(c[metrics.FirstAttemptDelayMS], c[metrics.FirstAttempts], 0) }},
}

// rows calls f with each row of a table, its head first: of destinations, or of
// seconds for one destination (nil for all).
func (d *Day) rows(perSecond bool, dest *int, f func(cells []string)) {
	head := []string{"dest"}
	if perSecond {
		head[0] = "second"
	}
	for _, c := range columns {
		head = append(head, c.name)
	}
	if !perSecond {
		head = append(head, "one relay: sent, middle", "most")
	}
	f(head)
	row := func(name string, c Counts, more ...string) {
		cells := []string{name}
		for _, col := range columns {
			cells = append(cells, col.of(c))
		}
		f(append(cells, more...))
	}
	if perSecond {
		for s := d.From; s <= d.To; s++ {
			c := d.Second(s)
			if dest != nil {
				c = d.At(s, *dest)
			}
			if len(c) > 0 {
				row(fmt.Sprint(s-d.From), c)
			}
		}
		return
	}
	all := Counts{}
	for _, id := range d.Dests {
		c := d.Dest(id)
		all.add(c)
		median, most := d.Spread(id, metrics.Attempts)
		row(destName(id), c, fmt.Sprint(median), fmt.Sprint(most))
	}
	row("all", all, "", "")
}

func destName(id int) string {
	if id == metrics.OtherDestinations {
		return "others"
	}
	return fmt.Sprint(id)
}

// notes are what is told beside the tables, a line each.
func (d *Day) notes() []string {
	lines := []string{fmt.Sprintf("%d relays, %d starts; %d seconds", len(d.Relays), len(d.Starts), d.To-d.From+1)}
	if len(d.Empty) > 0 {
		lines = append(lines,
			fmt.Sprintf("%d without a readable line: %v", len(d.Empty), d.Empty[:min(len(d.Empty), 10)]))
	}
	if d.Foreign+d.Torn+d.Strange > 0 {
		lines = append(
			lines,
			fmt.Sprintf("left out: %d foreign lines, %d torn ones, %d counts that cannot be", d.Foreign, d.Torn,
				d.Strange),
		)
	}
	if n := len(d.Starts); n > 0 {
		lines = append(
			lines,
			fmt.Sprintf("ready: the first %s, the last %s after it", d.Starts[0].Format(time.RFC3339Nano),
				d.Starts[n-1].Sub(d.Starts[0])),
		)
	}
	if d.Longest > 0 {
		lines = append(lines, fmt.Sprintf("longest step of a loop: %.1f ms, %s", d.Longest.Seconds()*1e3, d.LongestAt))
	}
	if len(d.Discovery) > 0 {
		text := "calls to discovery that ended, all relays:"
		for _, k := range slices.Sorted(maps.Keys(d.Discovery)) {
			text += fmt.Sprintf(" %s %d", k, d.Discovery[k])
		}
		lines = append(lines, text)
	}
	why := Counts{}
	for _, id := range d.Dests {
		for k, n := range d.Dest(id) {
			if len(k) > len(metrics.HandedBackPrefix) && k[:len(metrics.HandedBackPrefix)] == metrics.HandedBackPrefix {
				why[k[len(metrics.HandedBackPrefix):]] += n
			}
		}
	}
	if len(why) > 0 {
		text := "handed back or refused here, by rule:"
		for _, k := range slices.Sorted(maps.Keys(why)) {
			text += fmt.Sprintf(" %s %d", k, why[k])
		}
		lines = append(lines, text)
	}
	for _, l := range d.Lists {
		lines = append(
			lines,
			fmt.Sprintf("list %d: heard by %d relays, the last %s after the first", l.Revision, l.Relays,
				l.Last.Sub(l.First).Round(time.Millisecond)),
		)
	}
	for _, s := range slices.Sorted(maps.Keys(d.Says)) {
		lines = append(lines, fmt.Sprintf("%d relays: %s", d.Says[s], s))
	}
	return lines
}

// WriteText writes the report as tables; the seconds are those of one
// destination where one is named.
func (d *Day) WriteText(w io.Writer, dest *int) error {
	b := &strings.Builder{}
	writeLines(b, d.notes())
	for _, perSecond := range []bool{false, true} {
		b.WriteString("\n")
		table := texttable.NewAlignedRight()
		d.rows(perSecond, dest, func(cells []string) {
			table.Rowf("%s\t", strings.Join(cells, "\t"))
		})
		b.WriteString(table.String())
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeLines writes a line each.
func writeLines(b *strings.Builder, lines []string) {
	for _, l := range lines {
		b.WriteString(l)
		b.WriteString("\n")
	}
}

// series is one line of a plot.
type series struct {
	name string
	of   func(Counts) float64
}

func rate(name, what string) series {
	return series{name, func(c Counts) float64 { return float64(c[what]) }}
}

// draw draws lines over the seconds as SVG.
func (d *Day) draw(title string, at func(second int64) Counts, lines ...series) (string, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", "a second, all relays"
	p.Legend.Top = true
	var args []any
	for _, l := range lines {
		var xy plotter.XYs
		for s := d.From; s <= d.To; s++ {
			xy = append(xy, plotter.XY{X: float64(s - d.From), Y: l.of(at(s))})
		}
		args = append(args, l.name, xy)
	}
	if err := plotutil.AddLines(p, args...); err != nil {
		return "", fmt.Errorf("plot: %w", err)
	}
	c := vgsvg.New(22*vg.Centimeter, 7*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", fmt.Errorf("plot: %w", err)
	}
	text := b.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 { // without its XML head it stands in a page
		text = text[at:]
	}
	return string(text), nil
}

// WriteHTML writes the report as one page that needs nothing else.
func (d *Day) WriteHTML(w io.Writer) error {
	b := &bytes.Buffer{}
	b.WriteString(`<!doctype html><html lang="en"><meta charset="utf-8">`)
	fmt.Fprintf(b, "<title>Fleet: %d relays</title>\n<style>%s</style>\n", len(d.Relays), style)
	fmt.Fprintf(b, "<h1>Fleet: %d relays</h1>\n<ul>", len(d.Relays))
	for _, l := range d.notes() {
		fmt.Fprintf(b, "<li>%s</li>", html.EscapeString(l))
	}
	fmt.Fprint(b, "</ul>\n")
	lines := []series{
		rate("handed in", metrics.Submitted),
		rate("sent", metrics.Attempts),
		rate("delivered", metrics.Delivered),
		rate("turned away", metrics.Rejected),
		{"refused here", func(c Counts) float64 { return float64(c.Handed()) }},
	}
	plots := []func() (string, error){
		func() (string, error) { return d.draw("all destinations", d.Second, lines...) },
		func() (string, error) {
			return d.draw(
				"what is dear", d.Second, rate("connections opened", metrics.ConnectionsOpened),
				rate("no connection", metrics.ConnectFailed), rate("crossed zones", metrics.CrossZoneAttempts),
				rate("probes", metrics.HealthChecks),
			)
		},
	}
	for _, id := range d.Dests[:min(len(d.Dests), 40)] {
		plots = append(plots, func() (string, error) {
			return d.draw("destination "+destName(id), func(s int64) Counts { return d.At(s, id) }, lines...)
		})
	}
	for _, p := range plots {
		svg, err := p()
		if err != nil {
			return err
		}
		b.WriteString(svg)
	}
	for _, perSecond := range []bool{false, true} {
		fmt.Fprint(b, "<table>\n")
		d.rows(perSecond, nil, func(cells []string) {
			fmt.Fprint(b, "<tr>")
			for _, c := range cells {
				fmt.Fprintf(b, "<td>%s", html.EscapeString(c))
			}
			fmt.Fprint(b, "\n")
		})
		fmt.Fprint(b, "</table>\n")
	}
	fmt.Fprint(b, "</html>\n")
	_, err := w.Write(b.Bytes())
	return err
}

const style = "body{font:14px/1.4 system-ui,sans-serif;max-width:1100px;margin:2em auto;padding:0 1em;" +
	"color:#1c2330}\n" +
	"table{border-collapse:collapse;margin:1em 0}" +
	"td{padding:.1em .6em;text-align:right;border-bottom:1px solid #d9dde3}" +
	"svg{display:block;margin:1em 0;max-width:100%;height:auto}"
