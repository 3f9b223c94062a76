package resp

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// testdata/commands.txt holds inputs ("<"), and after each the reader's results: commands (">"),
// errors ("!") and the pending bytes of an incomplete command ("~"). An input is a sequence of quoted
// strings; N*"x" repeats a string N times.
func TestCommandsFixture(t *testing.T) {
	want, err := os.ReadFile("testdata/commands.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for line := range strings.Lines(string(want)) {
		if input, ok := strings.CutPrefix(line, "< "); ok {
			got.WriteString(line + describe(t, expand(t, strings.TrimSpace(input))))
		} else if strings.HasPrefix(line, "#") {
			got.WriteString(line)
		}
	}
	if got.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got.String(), want)
	}
}

// expand decodes an input of the fixture.
func expand(t *testing.T, row string) []byte {
	t.Helper()
	var input strings.Builder
	for row != "" {
		times := 1
		if star := strings.IndexByte(row, '*'); star > 0 && row[0] != '"' {
			n, err := strconv.Atoi(row[:star])
			if err != nil {
				t.Fatal(err)
			}
			times, row = n, row[star+1:]
		}
		quoted, err := strconv.QuotedPrefix(row)
		if err != nil {
			t.Fatalf("decode %.80q: %v", row, err)
		}
		text, _ := strconv.Unquote(quoted)
		input.WriteString(strings.Repeat(text, times))
		row = strings.TrimSpace(row[len(quoted):])
	}
	return []byte(input.String())
}

// describe feeds input to a reader, up to the first error that the reader cannot continue after, and
// returns the results in the form of the fixture.
func describe(t *testing.T, input []byte) string {
	t.Helper()
	var r Reader
	var out strings.Builder
	for len(input) > 0 {
		n, complete, err := r.Feed(input)
		input = input[n:]
		switch {
		case err != nil:
			fmt.Fprintf(&out, "! %q\n", err.Error())
			if !errors.Is(err, ErrTooLong) {
				return out.String()
			}
		case complete:
			out.WriteString(">")
			for _, arg := range r.Args() {
				if len(arg) > 64 {
					fmt.Fprintf(&out, " %d*%q", len(arg), arg[:1])
				} else {
					fmt.Fprintf(&out, " %q", arg)
				}
			}
			out.WriteString("\n")
		}
	}
	if r.Incomplete() {
		if pending, ok := r.Pending(); ok {
			fmt.Fprintf(&out, "~ %q\n", pending)
		} else {
			out.WriteString("~ not kept\n")
		}
	}
	return out.String()
}
