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
func TestAnswersFixture(t *testing.T) {
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
		for answer := range strings.Lines(all(t, conn)) {
			fmt.Fprintf(&got, "> %q\n", answer)
		}
	}
	if got.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got.String(), want)
	}
}

// The lines of STATS that this package writes: names, order, units.
func TestFiguresFixture(t *testing.T) {
	want, err := os.ReadFile("testdata/figures.txt")
	if err != nil {
		t.Fatal(err)
	}
	b := NewBoard([]string{"first", "second"})
	b.Show(0, Ends{Answered: 1, Deferred: 2, Errored: 3})
	b.Show(1, Ends{Answered: 4, Deferred: 5, Errored: 6})
	b.Late(1)
	b.Sends.Store(7)
	b.Current.Store(8)
	b.Listed.Store(9)
	b.Avoided.Store(10)
	if got := string(b.Append(nil)); got != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}
