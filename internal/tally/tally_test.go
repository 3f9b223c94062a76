package tally

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

func text(args []any) string {
	var b bytes.Buffer
	slog.New(slog.NewTextHandler(&b, nil)).Info("tally", args...)
	_, s, _ := strings.Cut(strings.TrimSpace(b.String()), "msg=tally")
	return strings.TrimSpace(s)
}

// A second is shown once it is over, in order, and then forgotten.
func TestTurn(t *testing.T) {
	c := New()
	if c.Turn(10*second) != nil {
		t.Error("something is shown before anything was counted")
	}
	c.Add(12, Sent, 2)
	c.Add(3, In, 1)
	c.Add(3, Back+"time", 1)
	c.Add(12, Sent, 1)
	c.Add(12, Dialed, 0) // nothing
	if c.Turn(10*second+second-1) != nil {
		t.Error("a second is shown before it is over")
	}
	if got, want := text(c.Turn(13*second)), "second=10 d3.back_time=1 d3.in=1 d12.sent=3"; got != want {
		t.Errorf("shown %q, want %q", got, want)
	}
	if c.Turn(14*second) != nil {
		t.Error("shown twice")
	}
}

// Any number of destinations is counted in bounded memory, and none is lost.
func TestManyDestinations(t *testing.T) {
	c := New()
	c.Turn(0)
	for i := range 100000 {
		c.Add(i, In, 1)
	}
	if len(c.dests) > most+1 {
		t.Errorf("%d destinations are kept", len(c.dests))
	}
	if got := c.dests[Rest][In]; got != 100000-most {
		t.Errorf("%d counted together, want %d", got, 100000-most)
	}
}

// The names that the log has are read as they were written, and no others.
func TestKey(t *testing.T) {
	for _, id := range []int{0, 7, 12345, Rest} {
		if d, what, ok := Key(group(id) + "." + Sent); !ok || d != id || what != Sent {
			t.Errorf("%d is read as %d, %q, %v", id, d, what, ok)
		}
	}
	for _, bad := range []string{"", "d", "d1", "d1.", "1.in", "d01.in", "d-1.in", "d+1.in", "d1x.in", "d99999999999999999999.in", "rests.in", ".in"} {
		if d, what, ok := Key(bad); ok {
			t.Errorf("%q is read as %d, %q", bad, d, what)
		}
	}
}
