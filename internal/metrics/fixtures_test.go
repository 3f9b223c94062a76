package metrics

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestKeysAreUnchanged compares the keys of the counts with recorded ones. The log statistics read
// these keys, also from logs of earlier releases, and would miss the counts under a changed key.
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
		t.Errorf("keys =\n%swant\n%s", got, want)
	}
}
