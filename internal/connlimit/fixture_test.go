package connlimit

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// testdata/limits.txt holds the limits for some numbers of connections and
// descriptors: a pair of these, then the values in the order of the struct.
func TestDefaultLimitsFixture(t *testing.T) {
	want, err := os.ReadFile("testdata/limits.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for line := range strings.Lines(string(want)) {
		var conns, descriptors int
		if _, err := fmt.Sscan(line, &conns, &descriptors); err != nil {
			t.Fatal(err)
		}
		l := DefaultLimits(conns, descriptors)
		fmt.Fprintln(&got, conns, descriptors, l.MaxConns, l.MaxUnvalidated, l.SingleUseEvictionThreshold, l.FirstCommandTimeout, l.CommandTimeout, l.IdleTimeout, l.EvictionGrace, l.EvictionWait, l.MaxQueueWait, l.TimerTick)
	}
	if got.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got.String(), want)
	}
}
