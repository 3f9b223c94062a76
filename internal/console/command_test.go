package console

import (
	"bytes"
	"strings"
	"testing"
)

// The first line that is found does not depend on the pieces in which the input arrives. A line is
// shorter than maxLineBytes, and its reply has one of the known forms.
func FuzzFirstLine(f *testing.F) {
	for _, input := range []string{
		"READY\n", "\r\n", "STATS\r\nDRAIN\n", "\x00\xff\n",
		strings.Repeat("a", maxLineBytes), strings.Repeat("b", maxLineBytes-1) + "\n",
	} {
		f.Add([]byte(input))
	}
	handlers := testHandlers()
	f.Fuzz(func(t *testing.T, input []byte) {
		want, complete, err := firstLine(input)
		for n := range input {
			line, partComplete, partErr := firstLine(input[:n])
			if partErr != nil && err == nil || partComplete && (!complete || !bytes.Equal(line, want)) {
				t.Fatalf("firstLine of the first %d bytes = %q, %v, %v; of all bytes %q, %v, %v",
					n, line, partComplete, partErr, want, complete, err)
			}
		}
		if !complete {
			return
		}
		if len(want) >= maxLineBytes || bytes.IndexByte(want, '\n') >= 0 {
			t.Fatalf("firstLine(...) = %q, want a line without line end and below the limit", want)
		}
		reply := string(handlers.Execute(want))
		known := reply == wantStats || strings.HasPrefix(reply, "YES ") || strings.HasPrefix(reply, "NO ")
		if !known || reply[len(reply)-1] != '\n' {
			t.Fatalf("Execute(%q) = %q, want metrics, YES or NO", want, reply)
		}
	})
}

func BenchmarkStats(b *testing.B) {
	handlers := testHandlers()
	b.ReportAllocs()
	for b.Loop() {
		handlers.Execute([]byte("STATS"))
	}
}
