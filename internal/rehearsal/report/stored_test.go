package report

import (
	"bytes"
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"

	"troutusher/internal/rehearsal/checker"
	"troutusher/internal/rehearsal/runner"
)

var updateFixtures = flag.Bool("update-fixtures", false, "overwrite the stored reports with the current output")

// TestStoredReports compares the text, JSON and HTML of reports, and the text of comparisons, byte
// by byte with the files in testdata. It also reads the stored JSON and writes it again. It guards
// against unintended changes of the formats that users and their tools read.
func TestStoredReports(t *testing.T) {
	o := testOutcome(t)
	o.Restarts = checker.RestartCounts{Unattempted: 12, Attempted: 9, Ended: 3}
	o.RelayFailures = []string{"relay 1 ended by itself"}
	o.UnservedRequests = 4
	o.Calls[1] = runner.CallCounts{Started: 9, Delivered: 5, Rejected: 3, Failed: 1, Executed: 6, HealthChecks: 2}
	for i := range maxViolationsShown + 2 {
		o.Violations = append(o.Violations, checker.Violation{
			Rule:     checker.RuleAtMostOnce,
			At:       int64(i) * 1_500_000,
			Message:  i,
			ID:       "<m>",
			Relay:    0,
			Endpoint: 1,
			Evidence: "a < b",
		})
	}
	o.Violations = append(o.Violations, checker.Violation{
		Rule: checker.RuleRecovery, At: 9e6, Message: -1, Relay: -1, Endpoint: 2, Evidence: "pushed over",
	})
	failed, passed := New(o, testEnvironment), New(testOutcome(t), testEnvironment)
	o.RehearsalErrors = []string{"a port"}
	invalid := New(o, testEnvironment)
	joined := Join([]*Report{passed, failed, passed})
	for name, write := range map[string]func(io.Writer) error{
		"failed.txt":  failed.WriteText,
		"failed.json": failed.WriteJSON,
		"failed.html": failed.WriteHTML,
		"void.txt":    invalid.WriteText,
		"joined.txt":  joined.WriteText,
		"joined.html": joined.WriteHTML,
		"compare.txt": func(w io.Writer) error { return Compare(w, passed, failed) },
		"compare-joined.txt": func(w io.Writer) error {
			return Compare(w, joined, Join([]*Report{failed, passed}))
		},
	} {
		var got bytes.Buffer
		if err := write(&got); err != nil {
			t.Fatal(err)
		}
		path := filepath.Join("testdata", name)
		if *updateFixtures {
			if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got.Bytes(), want) {
			t.Errorf("%s: got\n%s\nwant\n%s", name, got.Bytes(), want)
		}
	}
	stored, err := Load(filepath.Join("testdata", "failed.json"))
	if err != nil {
		t.Fatal(err)
	}
	var rewritten bytes.Buffer
	if err := stored.WriteJSON(&rewritten); err != nil {
		t.Fatal(err)
	}
	if want, err := os.ReadFile(
		filepath.Join("testdata", "failed.json"),
	); err != nil ||
		!bytes.Equal(rewritten.Bytes(), want) {
		t.Errorf("failed.json after Load and WriteJSON: got\n%s\nwant the stored file (read error: %v)",
			rewritten.Bytes(), err)
	}
}
