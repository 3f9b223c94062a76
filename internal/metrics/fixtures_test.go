package metrics

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
		LogText,
		LongestStepKey,
		Submitted,
		Accepted,
		Recovered,
		Attempts,
		CrossZoneAttempts,
		ConnectionsOpened,
		Delivered,
		Rejected,
		Failed,
		TimedOut,
		ConnectFailed,
		ConnectionReset,
		Cancelled,
		NotSent,
		FirstAttempts,
		FirstAttemptDelayMS,
		GivenUp,
		HealthChecks,
		Untraced,
		HandedBackPrefix,
		RecoveredUntried,
		UntriedExpired,
		UntriedUnroutable,
		UntriedAttempted,
		UntriedDelivered,
		UntriedHandedBackPrefix,
		UntriedGivenUpPrefix,
		groupName(7),
		groupName(OtherDestinations),
		fmt.Sprint(maxDestinations),
	}, "\n") + "\n"
	if got != string(want) {
		t.Errorf("keys are\n%swant\n%s", got, want)
	}
}
