package console

import (
	"bytes"
	"strings"
	"testing"
)

// Whatever comes, in whatever pieces, the same line is read, and within limits.
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
			line, c, e := firstLine(input[:n])
			if e != nil && err == nil || c && (!complete || !bytes.Equal(line, want)) {
				t.Fatalf("%d bytes: %q %v %v; all: %q %v %v", n, line, c, e, want, complete, err)
			}
		}
		if !complete {
			return
		}
		if len(want) >= maxLineBytes || bytes.IndexByte(want, '\n') >= 0 {
			t.Fatalf("line %q", want)
		}
		reply := string(handlers.Execute(want))
		known := reply == wantStats || strings.HasPrefix(reply, "YES ") || strings.HasPrefix(reply, "NO ")
		if !known || reply[len(reply)-1] != '\n' {
			t.Fatalf("%q: reply %q", want, reply)
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
