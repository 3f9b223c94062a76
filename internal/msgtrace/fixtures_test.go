package msgtrace

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestLineTextsAreUnchanged compares the texts of the log lines with recorded ones. The log
// statistics read these texts, also from logs of earlier releases, and would miss a changed one.
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
		t.Errorf("line texts =\n%swant\n%s", got, want)
	}
}
