package places

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
		l := Default(conns, descriptors)
		fmt.Fprintln(&got, conns, descriptors, l.Places, l.Strangers, l.Held, l.First, l.Whole, l.Quiet, l.Unread, l.Near, l.Patience, l.Tick)
	}
	if got.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got.String(), want)
	}
}
