package main

import (
	"bytes"
	"os"
	"testing"
)

// TestRecordedSession replays recorded frames and compares the replies byte for byte with the recorded ones. The frames
// include each kind of event and a start with invalid settings.
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
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			t.Fatalf("replies: byte %d = %#x, want %#x", i, got[i], want[i])
		}
	}
	if !bytes.Equal(got, want) {
		t.Fatalf("replies: %d bytes, want %d", len(got), len(want))
	}
}
