package logstats

import (
	"bytes"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"testing/fstest"

	"troutusher/internal/metrics"
)

// previousRelease is a folder with logs of three relays of the previous release, one of which was
// restarted and one killed, and with the reports that the previous release wrote about them.
const previousRelease = "testdata/previous-release"

// plots matches the plots of a page. The paths in them depend on the plot library's version, so that
// the test does not compare them.
var plots = regexp.MustCompile(`(?s)<svg.*?</svg>`)

// TestReportsOnPreviousRelease compares the reports on logs of the previous release with those that the
// previous release wrote itself: a change must not alter how existing logs are read and reported.
func TestReportsOnPreviousRelease(t *testing.T) {
	dir := os.DirFS(previousRelease)
	tests := map[string]func(w io.Writer) error{
		"report.txt":              func(w io.Writer) error { return writeReport(dir, w, nil) },
		"destination-2.txt":       func(w io.Writer) error { dest := 2; return writeReport(dir, w, &dest) },
		"page-without-plots.html": func(w io.Writer) error { return writePageWithoutPlots(dir, w) },
		"ends.txt": func(w io.Writer) error {
			outcomes, err := ReadOutcomes(dir, ".")
			if err != nil {
				return err
			}
			return outcomes.WriteText(w)
		},
		"restarts.txt": func(w io.Writer) error {
			restarts, err := ReadRestarts(dir, ".")
			if err != nil {
				return err
			}
			return restarts.WriteText(w)
		},
		"message.txt": func(w io.Writer) error {
			trace, err := ReadMessageTrace(dir, ".", "bce4c8cbcf73ab5f")
			if err != nil {
				return err
			}
			return trace.WriteText(w)
		},
	}
	for name, write := range tests {
		t.Run(name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join(previousRelease, name))
			if err != nil {
				t.Fatal(err)
			}
			var got bytes.Buffer
			if err := write(&got); err != nil {
				t.Fatal(err)
			}
			if got.String() != string(want) {
				t.Errorf("report =\n%s\nwant\n%s", got.String(), want)
			}
		})
	}
}

func writeReport(dir fs.FS, w io.Writer, dest *int) error {
	report, err := ReadReport(dir, ".")
	if err != nil {
		return err
	}
	return report.WriteText(w, dest)
}

func writePageWithoutPlots(dir fs.FS, w io.Writer) error {
	report, err := ReadReport(dir, ".")
	if err != nil {
		return err
	}
	var page bytes.Buffer
	if err := report.WriteHTML(&page); err != nil {
		return err
	}
	_, err = w.Write(plots.ReplaceAll(page.Bytes(), []byte("<svg>")))
	return err
}

// TestMixedReleases checks that a report sums logs of the previous release and of this one, as they occur
// together while a fleet is upgraded.
func TestMixedReleases(t *testing.T) {
	const sharedSecond = 1796189908 // all three relays of the previous release have counts for it
	files := fstest.MapFS{"n4.log": {Data: []byte(relayLog(sharedSecond))}}
	for _, name := range []string{"n1.log", "n2.log", "n3.log"} {
		text, err := os.ReadFile(filepath.Join(previousRelease, name))
		if err != nil {
			t.Fatal(err)
		}
		files[name] = &fstest.MapFile{Data: text}
	}
	report, err := ReadReport(files, ".")
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Relays) != 4 || len(report.Starts) != 6 {
		t.Errorf("report: relays %v, starts %v, want 4 relays, 6 starts", report.Relays, report.Starts)
	}
	// 17 messages are in the report of the previous release, and 3 are from this release's relay.
	if got := report.SecondTotals(sharedSecond)[metrics.Submitted]; got != 17+3 {
		t.Errorf("SecondTotals(%d): %d submitted, want 20", sharedSecond, got)
	}
}
