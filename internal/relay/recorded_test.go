package relay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// recordEnv has tests write the fixtures that they otherwise compare with. Only
// ever for a form that is new.
const recordEnv = "TROUTUSHER_TEST_RECORD"

// recorded is a fixture's text.
func recorded(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// sameAsRecorded compares what is sent today with a fixture, line by line.
func sameAsRecorded(t *testing.T, name, got string) {
	t.Helper()
	if os.Getenv(recordEnv) != "" {
		if err := os.WriteFile(filepath.Join("testdata", name), []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want := strings.Split(recorded(t, name), "\n")
	lines := strings.Split(got, "\n")
	for i := range max(len(want), len(lines)) {
		var a, b string
		if i < len(want) {
			a = want[i]
		}
		if i < len(lines) {
			b = lines[i]
		}
		if a != b {
			t.Errorf("%s, line %d:\n got %s\nwant %s", name, i+1, b, a)
		}
	}
}
