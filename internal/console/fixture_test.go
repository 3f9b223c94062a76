package console

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"testing"
)

// testdata/answers.txt holds calls ("<") and the answer to each, line by line
// (">"), as they go over a connection.
func TestRepliesFixture(t *testing.T) {
	want, err := os.ReadFile("testdata/answers.txt")
	if err != nil {
		t.Fatal(err)
	}
	c := startConsole(t)
	var got strings.Builder
	for line := range strings.Lines(string(want)) {
		quoted, ok := strings.CutPrefix(line, "< ")
		if !ok {
			continue
		}
		call, err := strconv.Unquote(strings.TrimSpace(quoted))
		if err != nil {
			t.Fatal(err)
		}
		conn := dial(t, c)
		io.WriteString(conn, call)
		got.WriteString(line)
		for answer := range strings.Lines(readAll(t, conn)) {
			fmt.Fprintf(&got, "> %q\n", answer)
		}
	}
	if got.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got.String(), want)
	}
}

// The lines of STATS that this package writes: names, order, units.
func TestStatsFixture(t *testing.T) {
	want, err := os.ReadFile("testdata/figures.txt")
	if err != nil {
		t.Fatal(err)
	}
	b := NewStats([]string{"first", "second"})
	b.SetOutcomes(0, Outcomes{Delivered: 1, Deferred: 2, Failed: 3})
	b.SetOutcomes(1, Outcomes{Delivered: 4, Deferred: 5, Failed: 6})
	b.AddShed(1)
	b.Sends.Store(7)
	b.Pending.Store(8)
	b.Endpoints.Store(9)
	b.UnhealthyEndpoints.Store(10)
	if got := string(b.AppendTo(nil)); got != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}
