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

// previousRelease holds the logs of three relays of the release before, one of them
// restarted and one killed, and that release's reports on them.
const previousRelease = "testdata/previous-release"

// plots matches the plots of a page. Their paths depend on the plot library's release.
var plots = regexp.MustCompile(`(?s)<svg.*?</svg>`)

// The reports on logs of the release before are those that it wrote itself.
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
				t.Errorf("got\n%s\nwant\n%s", got.String(), want)
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

// Logs of the release before and of this one add up in one report.
func TestMixedReleases(t *testing.T) {
	const sharedSecond = 1796189908 // seen by all three relays of the release before
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
		t.Errorf("relays %v, starts %v", report.Relays, report.Starts)
	}
	// 17 messages in the report of the release before, and 3 of this one's relay.
	if got := report.SecondTotals(sharedSecond)[metrics.Submitted]; got != 17+3 {
		t.Errorf("%d submitted, want 20", got)
	}
}
