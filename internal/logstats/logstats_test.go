package logstats

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"troutusher/internal/metrics"
)

// relayLog writes what a relay's own logger writes: so many messages in and
// sent to destination 4 in each of the seconds, one of them turned away.
func relayLog(seconds ...int64) string {
	var b bytes.Buffer
	log := slog.New(slog.NewTextHandler(&b, nil))
	log.Info("ready", "name", "n", "endpoints", 3)
	log.Warn("discovery: call over", "whole", false, "end", "refused", "err", "status 503")
	log.Info("list", "revision", 7, "whole", true, "members", 3)
	log.Info("policy", "says", "dest 4: seen failing, trial calls")
	c := metrics.NewRecorder()
	for _, s := range seconds {
		c.Flush(s * 1e6)
		c.Add(4, metrics.Submitted, 3)
		c.Add(4, metrics.Attempts, 2)
		c.Add(4, metrics.Rejected, 1)
		c.Add(4, metrics.HandedBackPrefix+"time", 1)
		c.Add(9, metrics.Attempts, 1)
		if args := c.Flush((s + 1) * 1e6); args != nil {
			log.Info(metrics.LogText, append(args, metrics.LongestStepKey, 100*s)...)
		}
	}
	return b.String()
}

func read(t *testing.T, files map[string]string) *Day {
	t.Helper()
	dir := fstest.MapFS{}
	for name, text := range files {
		dir[name] = &fstest.MapFile{Data: []byte(text)}
	}
	d, err := Read(dir, "logs")
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Counts of all relays add up, by second and destination, and what one relay
// saw stands beside.
func TestSums(t *testing.T) {
	d := read(
		t,
		map[string]string{
			"n0.log": relayLog(100, 101), "n1.log": relayLog(101), "n2.log": relayLog(101, 103), "notes.txt": "x",
		},
	)
	if got := d.At(101, 4); got[metrics.Submitted] != 9 || got[metrics.Attempts] != 6 || got.Handed() != 3 {
		t.Errorf("second 101: %v", got)
	}
	if got := d.Second(101)[metrics.Attempts]; got != 9 {
		t.Errorf("second 101, all destinations: %d sent", got)
	}
	if got := d.Dest(4)[metrics.Rejected]; got != 5 {
		t.Errorf("destination 4: %d turned away", got)
	}
	if median, most := d.Spread(4, metrics.Attempts); median != 4 || most != 4 {
		t.Errorf("one relay sent %d in the middle, %d at most", median, most)
	}
	if d.From != 100 || d.To != 103 || fmt.Sprint(d.Dests) != "[4 9]" || len(d.Relays) != 3 || len(d.Starts) != 3 {
		t.Errorf("from %d to %d, destinations %v, relays %v", d.From, d.To, d.Dests, d.Relays)
	}
	if d.Discovery["calls"] != 3 || d.Discovery["refused"] != 3 || len(d.Lists) != 1 || d.Lists[0].Relays != 3 ||
		d.Says["dest 4: seen failing, trial calls"] != 3 {
		t.Errorf("discovery %v, lists %v, says %v", d.Discovery, d.Lists, d.Says)
	}
}

// A collector's mark before each line, a torn last line, foreign lines and
// empty files are told and change nothing else.
func TestDamage(t *testing.T) {
	good := relayLog(100, 101)
	var marked strings.Builder
	for _, l := range strings.SplitAfter(good, "\n") {
		if l != "" {
			marked.WriteString("12.345 " + l)
		}
	}
	torn := good[:strings.LastIndex(good, "second=")] // within the last line
	d := read(t, map[string]string{
		"a.log": marked.String(),
		"b.log": "panic: x\n\n{\"json\":1}\n" + good,
		"c.log": torn[:len(torn)-len("msg=tally ")],
		"d.log": "",
		"e.log": "nothing of ours\n",
		"f.log": good + strings.Repeat("x", 3*lineMost) + "\n",
	})
	if len(d.Relays) != 4 || len(d.Empty) != 2 || d.Torn != 1 || d.Foreign != 4 {
		t.Errorf("relays %v, empty %v, %d torn, %d foreign", d.Relays, d.Empty, d.Torn, d.Foreign)
	}
	if got := d.At(100, 4)[metrics.Submitted]; got != 12 {
		t.Errorf("%d in second 100, want 12", got)
	}
	if got := d.At(101, 4)[metrics.Submitted]; got != 9 {
		t.Errorf("%d in second 101, want 9: the torn line counts nothing", got)
	}
	_, err := Read(fstest.MapFS{"d.log": &fstest.MapFile{}}, "logs")
	if !errors.Is(err, errNothing) || !strings.Contains(err.Error(), "logs") {
		t.Errorf("a folder without a log: %v", err)
	}
}

// A relay whose clock is wrong must not fill the memory, nor the page.
func TestWrongClock(t *testing.T) {
	d := read(t, map[string]string{"a.log": relayLog(100, 101), "b.log": relayLog(100 + 10*secondsMax)})
	if d.Strange != 1 || d.To != 101 {
		t.Errorf("%d strange, to %d", d.Strange, d.To)
	}
}

// The tables hold the sums; the page holds them too, with a plot for all and
// one for each destination, and no address of anything else.
func TestReports(t *testing.T) {
	d := read(t, map[string]string{"n0.log": relayLog(100, 101), "n1.log": relayLog(101)})
	var text, page bytes.Buffer
	four := 4
	if err := d.WriteText(&text, &four); err != nil {
		t.Fatal(err)
	}
	if err := d.WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"2 relays, 2 starts; 2 seconds", "by rule: time 3", "list 7: heard by 2 relays",
		"2 relays: dest 4: seen failing", "longest step of a loop: 10.1 ms, n0 in second 101",
	} {
		if !strings.Contains(text.String(), want) || !strings.Contains(page.String(), want) {
			t.Errorf("%q is missing", want)
		}
	}
	rows := strings.Split(text.String(), "\n")
	last := strings.Fields(rows[len(rows)-2])
	if got := fmt.Sprint(last[:7]); got != "[1 6 0 0 4 0 2]" {
		t.Errorf("second 1 of destination 4: %s", got)
	}
	if n := strings.Count(page.String(), "<svg"); n != 4 {
		t.Errorf("%d plots, want 4", n)
	}
	if s := strings.ReplaceAll(page.String(), "http://www.w3.org/", ""); strings.Contains(s, "http:") ||
		strings.Contains(s, "https:") || strings.Contains(s, "<script") {
		t.Error("the page needs something else")
	}
}

// FuzzRead: no line makes it fail, hang, or count what is below nothing.
func FuzzRead(f *testing.F) {
	f.Add(relayLog(100))
	f.Add("time=2026-01-01T00:00:00Z level=INFO msg=tally second=9223372036854775807 d4.in=-3")
	f.Add("time=2026-01-01T00:00:00Z level=INFO msg=tally second=5 d4.in=9223372036854775807\n" +
		"time=2026-01-01T00:00:00Z level=INFO msg=tally second=5 d4.in=9223372036854775807")
	f.Add("time=\"\nx")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Read(fstest.MapFS{"a.log": &fstest.MapFile{Data: []byte(text), ModTime: time.Time{}}}, "x")
		if err != nil {
			return
		}
		for _, id := range d.Dests {
			for k, n := range d.Dest(id) {
				if n < 0 {
					t.Fatalf("%s of %d: %d", k, id, n)
				}
			}
		}
		if d.To-d.From > 2*secondsMax {
			t.Fatalf("%d seconds", d.To-d.From)
		}
	})
}
