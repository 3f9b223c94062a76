package console

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// testdata/answers.txt holds commands ("<") and the lines of the reply to each (">"), as they are sent
// over a connection.
func TestRepliesFixture(t *testing.T) {
	want, err := os.ReadFile("testdata/answers.txt")
	if err != nil {
		t.Fatal(err)
	}
	server := startServer(t)
	var got strings.Builder
	for line := range strings.Lines(string(want)) {
		quoted, ok := strings.CutPrefix(line, "< ")
		if !ok {
			continue
		}
		command, err := strconv.Unquote(strings.TrimSpace(quoted))
		if err != nil {
			t.Fatal(err)
		}
		conn := dial(t, server)
		send(t, conn, command)
		got.WriteString(line)
		for reply := range strings.Lines(readAll(t, conn)) {
			fmt.Fprintf(&got, "> %q\n", reply)
		}
	}
	if got.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got.String(), want)
	}
}

// Operators' tools parse the metrics, so names, order and units must not change.
func TestStatsFixture(t *testing.T) {
	want, err := os.ReadFile("testdata/figures.txt")
	if err != nil {
		t.Fatal(err)
	}
	stats := NewStats([]string{"first", "second"})
	stats.SetOutcomes(0, Outcomes{Delivered: 1, Deferred: 2, Failed: 3})
	stats.SetOutcomes(1, Outcomes{Delivered: 4, Deferred: 5, Failed: 6})
	stats.AddShed(1)
	stats.Sends.Store(7)
	stats.Pending.Store(8)
	stats.Endpoints.Store(9)
	stats.UnhealthyEndpoints.Store(10)
	if got := string(stats.AppendTo(nil)); got != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}
