package story

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// The texts of these lines are read by the log statistics, also from logs of
// earlier releases.
func TestLineTextsAreUnchanged(t *testing.T) {
	want, err := os.ReadFile("testdata/lines.txt")
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Join([]string{
		Taken, Refused, Withdrawn, Delivered, Over, Attempt, Ended, Told, Resumed,
		Ready, Stopping, Stopped, fmt.Sprint(Default),
	}, "\n") + "\n"
	if got != string(want) {
		t.Errorf("lines are\n%swant\n%s", got, want)
	}
}
