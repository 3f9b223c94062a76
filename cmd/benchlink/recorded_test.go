package main

import (
	"bytes"
	"os"
	"testing"
)

// TestRecordedSession plays recorded frames, among them each kind of event and a start with bad settings, and
// compares the replies byte for byte.
func TestRecordedSession(t *testing.T) {
	frames, err := os.ReadFile("testdata/frames.bin")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/replies.bin")
	if err != nil {
		t.Fatal(err)
	}
	got, err := run(t, frames)
	if err != nil {
		t.Fatal(err)
	}
	for at := range min(len(got), len(want)) {
		if got[at] != want[at] {
			t.Fatalf("replies differ from byte %d on", at)
		}
	}
	if !bytes.Equal(got, want) {
		t.Fatalf("replies of %d bytes, want %d", len(got), len(want))
	}
}
