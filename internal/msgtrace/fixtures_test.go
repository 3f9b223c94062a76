package msgtrace

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
		Accepted, Rejected, Withdrawn, Delivered, EndpointFinished, AttemptFailed, Ended, NoticeDelivered, Recovered,
		Ready, Stopping, Stopped, fmt.Sprint(DefaultPerSecond),
	}, "\n") + "\n"
	if got != string(want) {
		t.Errorf("lines are\n%swant\n%s", got, want)
	}
}
