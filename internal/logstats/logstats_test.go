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

// relayLog returns a log as a relay's logger writes it. For destination 4, each of the seconds has 3
// submitted messages, one of them handed back, and 2 attempts, one of them rejected. Destination 9 has
// 1 attempt.
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

// readReport returns the report on log files, given by name and contents.
func readReport(t *testing.T, files map[string]string) *Report {
	t.Helper()
	report, err := ReadReport(logFolder(files), "logs")
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// TestReportSums checks the sums over all relays by second and destination, the median and maximum of a
// single relay, and the counts of relays that received a list or logged a policy message.
func TestReportSums(t *testing.T) {
	report := readReport(t, map[string]string{
		"n0.log": relayLog(100, 101), "n1.log": relayLog(101), "n2.log": relayLog(101, 103), "notes.txt": "x",
	})
	got := report.CountsAt(101, 4)
	if got[metrics.Submitted] != 9 || got[metrics.Attempts] != 6 || got.HandedBack() != 3 {
		t.Errorf("CountsAt(101, 4) = %v, want 9 submitted, 6 attempts, 3 handed back", got)
	}
	if got := report.SecondTotals(101)[metrics.Attempts]; got != 9 {
		t.Errorf("SecondTotals(101): %d attempts, want 9", got)
	}
	if got := report.DestinationTotals(4)[metrics.Rejected]; got != 5 {
		t.Errorf("DestinationTotals(4): %d rejected attempts, want 5", got)
	}
	if median, maximum := report.MedianAndMaxPerRelay(4, metrics.Attempts); median != 4 || maximum != 4 {
		t.Errorf("MedianAndMaxPerRelay(4, attempts) = %d, %d, want 4, 4", median, maximum)
	}
	if report.FirstSecond != 100 || report.LastSecond != 103 || fmt.Sprint(report.Destinations) != "[4 9]" ||
		len(report.Relays) != 3 || len(report.Starts) != 3 {
		t.Errorf("report: seconds %d to %d, destinations %v, relays %v, %d starts, "+
			"want seconds 100 to 103, destinations [4 9], 3 relays, 3 starts",
			report.FirstSecond, report.LastSecond, report.Destinations, report.Relays, len(report.Starts))
	}
	if report.DiscoveryCalls["calls"] != 3 || report.DiscoveryCalls["refused"] != 3 ||
		len(report.ListRevisions) != 1 || report.ListRevisions[0].Relays != 3 ||
		report.PolicyMessages["dest 4: seen failing, trial calls"] != 3 {
		t.Errorf("report: discovery calls %v, lists %v, policy messages %v, "+
			"want 3 refused calls, 1 list of 3 relays, 1 policy message of 3 relays",
			report.DiscoveryCalls, report.ListRevisions, report.PolicyMessages)
	}
}

// TestReportOfDamagedLogs reads logs with a collector's prefix on each line, a truncated last line,
// lines of other programs, a line that is too long, and empty files. They must be counted, and must not
// change the sums of the readable lines.
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
		t.Errorf("report: relays %v, empty files %v, %d truncated lines, %d foreign lines, "+
			"want 4 relays, 2 empty files, 1 truncated line, 4 foreign lines",
			report.Relays, report.EmptyFiles, report.TruncatedLines, report.ForeignLines)
	}
	if got := report.CountsAt(100, 4)[metrics.Submitted]; got != 12 {
		t.Errorf("CountsAt(100, 4): %d submitted, want 12", got)
	}
	if got := report.CountsAt(101, 4)[metrics.Submitted]; got != 9 {
		t.Errorf("CountsAt(101, 4): %d submitted, want 9: the truncated line must not count", got)
	}
	_, err := ReadReport(fstest.MapFS{"d.log": &fstest.MapFile{}}, "logs")
	if !errors.Is(err, errNoLogs) || !strings.Contains(err.Error(), "logs") {
		t.Errorf("ReadReport(folder without a readable log) = error %v, want %v with the folder's name", err, errNoLogs)
	}
}

// TestWrongClock reads the log of a relay whose clock is far ahead. Its second must be dropped: a
// report that reached from the other relays' seconds to it would fill the memory and the page.
func TestWrongClock(t *testing.T) {
	report := readReport(t, map[string]string{"a.log": relayLog(100, 101), "b.log": relayLog(100 + 10*maxSecondSpan)})
	if report.InvalidCounts != 1 || report.LastSecond != 101 {
		t.Errorf("report: %d invalid counts, last second %d, want 1 and 101", report.InvalidCounts, report.LastSecond)
	}
}

// TestReports checks that the text and the page hold the sums, that the page has a plot of all
// destinations, one of the costs and one of each destination, and that it refers to no other resource.
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
			t.Errorf("%q is missing in the text or the page", want)
		}
	}
	rows := strings.Split(text.String(), "\n")
	last := strings.Fields(rows[len(rows)-2])
	if got := fmt.Sprint(last[:7]); got != "[1 6 0 0 4 0 2]" {
		t.Errorf("row of second 1 of destination 4 = %s, want [1 6 0 0 4 0 2]", got)
	}
	if n := strings.Count(page.String(), "<svg"); n != 4 {
		t.Errorf("page has %d plots, want 4", n)
	}
	html := strings.ReplaceAll(page.String(), "http://www.w3.org/", "") // XML namespaces, which no browser loads
	if strings.Contains(html, "http:") || strings.Contains(html, "https:") || strings.Contains(html, "<script") {
		t.Error("page has a URL or a script, want a page that needs no other resource")
	}
}

// FuzzReport checks that no input makes the reader panic or hang, gives a negative sum, or gives a span
// of seconds that is too long.
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
					t.Fatalf("DestinationTotals(%d)[%q] = %d, want at least 0", dest, name, n)
				}
			}
		}
		if report.LastSecond-report.FirstSecond > 2*maxSecondSpan {
			t.Fatalf("report spans %d seconds, want at most %d", report.LastSecond-report.FirstSecond, 2*maxSecondSpan)
		}
	})
}
