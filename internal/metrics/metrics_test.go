package metrics

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// flushedText returns the attributes of a flushed second as slog's text handler writes them.
func flushedText(args []any) string {
	var b bytes.Buffer
	slog.New(slog.NewTextHandler(&b, nil)).Info(LogText, args...)
	_, text, _ := strings.Cut(strings.TrimSpace(b.String()), "msg="+LogText)
	return strings.TrimSpace(text)
}

// TestFlush checks that a second's counts are returned once it has ended, ordered by destination and
// name, and only once.
func TestFlush(t *testing.T) {
	recorder := NewRecorder()
	if recorder.Flush(10*microsPerSecond) != nil {
		t.Error("Flush(10 s) before the first count returned attributes, want nil")
	}
	recorder.Add(12, Attempts, 2)
	recorder.Add(3, Submitted, 1)
	recorder.Add(3, HandedBackPrefix+"time", 1)
	recorder.Add(12, Attempts, 1)
	recorder.Add(12, ConnectionsOpened, 0) // must not appear in the log
	if recorder.Flush(10*microsPerSecond+microsPerSecond-1) != nil {
		t.Error("Flush(10.999999 s) returned attributes before second 10 ended, want nil")
	}
	if got, want := flushedText(
		recorder.Flush(13*microsPerSecond),
	), "second=10 d3.back_time=1 d3.in=1 d12.sent=3"; got != want {
		t.Errorf("Flush(13 s) = %q, want %q", got, want)
	}
	if recorder.Flush(14*microsPerSecond) != nil {
		t.Error("Flush(14 s) returned attributes again, want nil")
	}
}

// TestManyDestinations counts 100,000 destinations in one second. The recorder's memory must stay
// bounded, and the counts of the destinations beyond the bound must not be lost.
func TestManyDestinations(t *testing.T) {
	recorder := NewRecorder()
	recorder.Flush(0)
	for i := range 100000 {
		recorder.Add(i, Submitted, 1)
	}
	if len(recorder.byDestination) > maxDestinations+1 {
		t.Errorf("destinations held = %d, want at most %d", len(recorder.byDestination), maxDestinations+1)
	}
	if got := recorder.byDestination[OtherDestinations][Submitted]; got != 100000-maxDestinations {
		t.Errorf("submitted messages of other destinations = %d, want %d", got, 100000-maxDestinations)
	}
}

// TestParseKey checks that ParseKey reads the keys that a recorder writes, and rejects all others.
func TestParseKey(t *testing.T) {
	for _, dest := range []int{0, 7, 12345, OtherDestinations} {
		if got, name, ok := ParseKey(groupName(dest) + "." + Attempts); !ok || got != dest || name != Attempts {
			t.Errorf("ParseKey(%q) = %d, %q, %v, want %d, %q, true",
				groupName(dest)+"."+Attempts, got, name, ok, dest, Attempts)
		}
	}
	for _, key := range []string{
		"", "d", "d1", "d1.", "1.in", "d01.in", "d-1.in", "d+1.in", "d1x.in", "d99999999999999999999.in",
		"rests.in", ".in",
	} {
		if dest, name, ok := ParseKey(key); ok {
			t.Errorf("ParseKey(%q) = %d, %q, true, want false", key, dest, name)
		}
	}
}
