package metrics

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

func flushedText(args []any) string {
	var b bytes.Buffer
	slog.New(slog.NewTextHandler(&b, nil)).Info("tally", args...)
	_, s, _ := strings.Cut(strings.TrimSpace(b.String()), "msg=tally")
	return strings.TrimSpace(s)
}

// A second is shown once it is over, in order, and then forgotten.
func TestFlush(t *testing.T) {
	c := NewRecorder()
	if c.Flush(10*microsPerSecond) != nil {
		t.Error("something is shown before anything was counted")
	}
	c.Add(12, Attempts, 2)
	c.Add(3, Submitted, 1)
	c.Add(3, HandedBackPrefix+"time", 1)
	c.Add(12, Attempts, 1)
	c.Add(12, ConnectionsOpened, 0) // nothing
	if c.Flush(10*microsPerSecond+microsPerSecond-1) != nil {
		t.Error("a second is shown before it is over")
	}
	if got, want := flushedText(c.Flush(13*microsPerSecond)), "second=10 d3.back_time=1 d3.in=1 d12.sent=3"; got != want {
		t.Errorf("shown %q, want %q", got, want)
	}
	if c.Flush(14*microsPerSecond) != nil {
		t.Error("shown twice")
	}
}

// Any number of destinations is counted in bounded memory, and none is lost.
func TestManyDestinations(t *testing.T) {
	c := NewRecorder()
	c.Flush(0)
	for i := range 100000 {
		c.Add(i, Submitted, 1)
	}
	if len(c.byDestination) > maxDestinations+1 {
		t.Errorf("%d destinations are kept", len(c.byDestination))
	}
	if got := c.byDestination[OtherDestinations][Submitted]; got != 100000-maxDestinations {
		t.Errorf("%d counted together, want %d", got, 100000-maxDestinations)
	}
}

// The names that the log has are read as they were written, and no others.
func TestParseKey(t *testing.T) {
	for _, id := range []int{0, 7, 12345, OtherDestinations} {
		if d, what, ok := ParseKey(groupName(id) + "." + Attempts); !ok || d != id || what != Attempts {
			t.Errorf("%d is read as %d, %q, %v", id, d, what, ok)
		}
	}
	for _, bad := range []string{"", "d", "d1", "d1.", "1.in", "d01.in", "d-1.in", "d+1.in", "d1x.in", "d99999999999999999999.in", "rests.in", ".in"} {
		if d, what, ok := ParseKey(bad); ok {
			t.Errorf("%q is read as %d, %q", bad, d, what)
		}
	}
}
