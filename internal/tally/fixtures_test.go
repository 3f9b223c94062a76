package tally

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// The keys of the counts are read by the log statistics, also from logs of earlier
// releases.
func TestKeysAreUnchanged(t *testing.T) {
	want, err := os.ReadFile("testdata/keys.txt")
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Join([]string{
		Line, Longest, In, Taken, Resumed, Sent, Crossed, Dialed, Delivered, Full, Errored, TimedOut, NoConnect,
		Reset, Cancelled, NotSent, Firsts, FirstMS, GivenUp, Probed, Untold, Back, Untried, UntriedOver,
		UntriedNowhere, UntriedTried, UntriedDelivered, UntriedBack, UntriedGivenUp,
		group(7), group(Rest), fmt.Sprint(most),
	}, "\n") + "\n"
	if got != string(want) {
		t.Errorf("keys are\n%swant\n%s", got, want)
	}
}
