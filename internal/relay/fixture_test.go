package relay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// updateFixturesEnv has tests write the fixtures that they otherwise compare with. Only
// ever for a form that is new.
const updateFixturesEnv = "TROUTUSHER_TEST_RECORD"

// readFixture is a fixture's text.
func readFixture(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// compareWithFixture compares what is sent today with a fixture, line by line.
func compareWithFixture(t *testing.T, name, got string) {
	t.Helper()
	if os.Getenv(updateFixturesEnv) != "" {
		if err := os.WriteFile(filepath.Join("testdata", name), []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want := strings.Split(readFixture(t, name), "\n")
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
