package logstats

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/fstest"

	"troutusher/internal/metrics"
)

// relayLog writes what a relay's own logger writes: in each of the seconds 3 messages
// submitted for destination 4 and 2 attempts, one of them rejected.
func relayLog(seconds ...int64) string {
	var b bytes.Buffer
	log := slog.New(slog.NewTextHandler(&b, nil))
	log.Info("ready", "name", "n", "endpoints", 3)
	log.Warn("discovery: call over", "whole", false, "end", "refused", "err", "status 503")
	log.Info("list", "revision", 7, "whole", true, "members", 3)
	log.Info("policy", "says", "dest 4: seen failing, trial calls")
	recorder := metrics.NewRecorder()
	for _, second := range seconds {
		recorder.Flush(second * 1e6)
		recorder.Add(4, metrics.Submitted, 3)
		recorder.Add(4, metrics.Attempts, 2)
		recorder.Add(4, metrics.Rejected, 1)
		recorder.Add(4, metrics.HandedBackPrefix+"time", 1)
		recorder.Add(9, metrics.Attempts, 1)
		if args := recorder.Flush((second + 1) * 1e6); args != nil {
			log.Info(metrics.LogText, append(args, metrics.LongestStepKey, 100*second)...)
		}
	}
	return b.String()
}

func readReport(t *testing.T, files map[string]string) *Report {
	t.Helper()
	report, err := ReadReport(logFolder(files), "logs")
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// Counts of all relays add up, by second and destination, and what one relay
// saw stands beside.
func TestReportSums(t *testing.T) {
	report := readReport(t, map[string]string{
		"n0.log": relayLog(100, 101), "n1.log": relayLog(101), "n2.log": relayLog(101, 103), "notes.txt": "x",
	})
	got := report.CountsAt(101, 4)
	if got[metrics.Submitted] != 9 || got[metrics.Attempts] != 6 || got.HandedBack() != 3 {
		t.Errorf("second 101: %v", got)
	}
	if got := report.SecondTotals(101)[metrics.Attempts]; got != 9 {
		t.Errorf("second 101, all destinations: %d sent", got)
	}
	if got := report.DestinationTotals(4)[metrics.Rejected]; got != 5 {
		t.Errorf("destination 4: %d turned away", got)
	}
	if median, most := report.MedianAndMaxPerRelay(4, metrics.Attempts); median != 4 || most != 4 {
		t.Errorf("one relay sent %d in the middle, %d at most", median, most)
	}
	if report.FirstSecond != 100 || report.LastSecond != 103 || fmt.Sprint(report.Destinations) != "[4 9]" ||
		len(report.Relays) != 3 || len(report.Starts) != 3 {
		t.Errorf("from %d to %d, destinations %v, relays %v",
			report.FirstSecond, report.LastSecond, report.Destinations, report.Relays)
	}
	if report.DiscoveryCalls["calls"] != 3 || report.DiscoveryCalls["refused"] != 3 ||
		len(report.ListRevisions) != 1 || report.ListRevisions[0].Relays != 3 ||
		report.PolicyMessages["dest 4: seen failing, trial calls"] != 3 {
		t.Errorf("discovery %v, lists %v, says %v", report.DiscoveryCalls, report.ListRevisions, report.PolicyMessages)
	}
}

// A collector's prefix before each line, a truncated last line, foreign lines and
// empty files are counted and change nothing else.
func TestReportOfDamagedLogs(t *testing.T) {
	good := relayLog(100, 101)
	var prefixed strings.Builder
	for _, line := range strings.SplitAfter(good, "\n") {
		if line != "" {
			prefixed.WriteString("12.345 " + line)
		}
	}
	truncated := good[:strings.LastIndex(good, "second=")] // within the last line
	report := readReport(t, map[string]string{
		"a.log": prefixed.String(),
		"b.log": "panic: x\n\n{\"json\":1}\n" + good,
		"c.log": truncated[:len(truncated)-len("msg=tally ")],
		"d.log": "",
		"e.log": "nothing of ours\n",
		"f.log": good + strings.Repeat("x", 3*maxLineBytes) + "\n",
	})
	if len(report.Relays) != 4 || len(report.EmptyFiles) != 2 ||
		report.TruncatedLines != 1 || report.ForeignLines != 4 {
		t.Errorf("relays %v, empty %v, %d truncated, %d foreign",
			report.Relays, report.EmptyFiles, report.TruncatedLines, report.ForeignLines)
	}
	if got := report.CountsAt(100, 4)[metrics.Submitted]; got != 12 {
		t.Errorf("%d in second 100, want 12", got)
	}
	if got := report.CountsAt(101, 4)[metrics.Submitted]; got != 9 {
		t.Errorf("%d in second 101, want 9: the truncated line counts nothing", got)
	}
	_, err := ReadReport(fstest.MapFS{"d.log": &fstest.MapFile{}}, "logs")
	if !errors.Is(err, errNoLogs) || !strings.Contains(err.Error(), "logs") {
		t.Errorf("a folder without a log: %v", err)
	}
}

// A relay whose clock is wrong must not fill the memory, nor the page.
func TestWrongClock(t *testing.T) {
	report := readReport(t, map[string]string{"a.log": relayLog(100, 101), "b.log": relayLog(100 + 10*maxSecondSpan)})
	if report.InvalidCounts != 1 || report.LastSecond != 101 {
		t.Errorf("%d invalid counts, to %d", report.InvalidCounts, report.LastSecond)
	}
}

// The tables hold the sums; the page holds them too, with a plot for all and
// one for each destination, and no address of anything else.
func TestReports(t *testing.T) {
	report := readReport(t, map[string]string{"n0.log": relayLog(100, 101), "n1.log": relayLog(101)})
	var text, page bytes.Buffer
	four := 4
	if err := report.WriteText(&text, &four); err != nil {
		t.Fatal(err)
	}
	if err := report.WriteHTML(&page); err != nil {
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
	html := strings.ReplaceAll(page.String(), "http://www.w3.org/", "") // XML names, not addresses
	if strings.Contains(html, "http:") || strings.Contains(html, "https:") || strings.Contains(html, "<script") {
		t.Error("the page needs something else")
	}
}

// FuzzReport: no line makes it fail, hang, or count what is below nothing.
func FuzzReport(f *testing.F) {
	f.Add(relayLog(100))
	f.Add("time=2026-01-01T00:00:00Z level=INFO msg=tally second=9223372036854775807 d4.in=-3")
	f.Add("time=2026-01-01T00:00:00Z level=INFO msg=tally second=5 d4.in=9223372036854775807\n" +
		"time=2026-01-01T00:00:00Z level=INFO msg=tally second=5 d4.in=9223372036854775807")
	f.Add("time=\"\nx")
	f.Fuzz(func(t *testing.T, text string) {
		report, err := ReadReport(logFolder(map[string]string{"a.log": text}), "x")
		if err != nil {
			return
		}
		for _, dest := range report.Destinations {
			for name, n := range report.DestinationTotals(dest) {
				if n < 0 {
					t.Fatalf("%s of %d: %d", name, dest, n)
				}
			}
		}
		if report.LastSecond-report.FirstSecond > 2*maxSecondSpan {
			t.Fatalf("%d seconds", report.LastSecond-report.FirstSecond)
		}
	})
}
