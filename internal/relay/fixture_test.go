package relay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// updateFixturesEnv makes tests write their fixtures in place of comparing with them. It is meant
// only for a form that is new: rewriting an existing fixture would hide an incompatible change.
const updateFixturesEnv = "TROUTUSHER_TEST_RECORD"

// readFixture returns the text of a fixture in testdata.
func readFixture(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// compareWithFixture compares a text with a fixture, line by line.
func compareWithFixture(t *testing.T, name, got string) {
	t.Helper()
	if os.Getenv(updateFixturesEnv) != "" {
		if err := os.WriteFile(filepath.Join("testdata", name), []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	wantLines := strings.Split(readFixture(t, name), "\n")
	gotLines := strings.Split(got, "\n")
	for i := range max(len(wantLines), len(gotLines)) {
		var wantLine, gotLine string
		if i < len(wantLines) {
			wantLine = wantLines[i]
		}
		if i < len(gotLines) {
			gotLine = gotLines[i]
		}
		if wantLine != gotLine {
			t.Errorf("%s, line %d:\n got %s\nwant %s", name, i+1, gotLine, wantLine)
		}
	}
}
