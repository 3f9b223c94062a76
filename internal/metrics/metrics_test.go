package metrics

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// flushedText is a flushed second as a text handler logs it.
func flushedText(args []any) string {
	var b bytes.Buffer
	slog.New(slog.NewTextHandler(&b, nil)).Info(LogText, args...)
	_, text, _ := strings.Cut(strings.TrimSpace(b.String()), "msg="+LogText)
	return strings.TrimSpace(text)
}

// A second is shown once it is over, in order, and then forgotten.
func TestFlush(t *testing.T) {
	recorder := NewRecorder()
	if recorder.Flush(10*microsPerSecond) != nil {
		t.Error("something is shown before anything was counted")
	}
	recorder.Add(12, Attempts, 2)
	recorder.Add(3, Submitted, 1)
	recorder.Add(3, HandedBackPrefix+"time", 1)
	recorder.Add(12, Attempts, 1)
	recorder.Add(12, ConnectionsOpened, 0) // nothing
	if recorder.Flush(10*microsPerSecond+microsPerSecond-1) != nil {
		t.Error("a second is shown before it is over")
	}
	if got, want := flushedText(
		recorder.Flush(13*microsPerSecond),
	), "second=10 d3.back_time=1 d3.in=1 d12.sent=3"; got != want {
		t.Errorf("shown %q, want %q", got, want)
	}
	if recorder.Flush(14*microsPerSecond) != nil {
		t.Error("shown twice")
	}
}

// Any number of destinations is counted in bounded memory, and none is lost.
func TestManyDestinations(t *testing.T) {
	recorder := NewRecorder()
	recorder.Flush(0)
	for i := range 100000 {
		recorder.Add(i, Submitted, 1)
	}
	if len(recorder.byDestination) > maxDestinations+1 {
		t.Errorf("%d destinations are kept", len(recorder.byDestination))
	}
	if got := recorder.byDestination[OtherDestinations][Submitted]; got != 100000-maxDestinations {
		t.Errorf("%d counted together, want %d", got, 100000-maxDestinations)
	}
}

// The names that the log has are read as they were written, and no others.
func TestParseKey(t *testing.T) {
	for _, dest := range []int{0, 7, 12345, OtherDestinations} {
		if got, name, ok := ParseKey(groupName(dest) + "." + Attempts); !ok || got != dest || name != Attempts {
			t.Errorf("%d is read as %d, %q, %v", dest, got, name, ok)
		}
	}
	for _, key := range []string{
		"", "d", "d1", "d1.", "1.in", "d01.in", "d-1.in", "d+1.in", "d1x.in", "d99999999999999999999.in",
		"rests.in", ".in",
	} {
		if dest, name, ok := ParseKey(key); ok {
			t.Errorf("%q is read as %d, %q", key, dest, name)
		}
	}
}
