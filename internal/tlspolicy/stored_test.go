package tlspolicy

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// compareGolden compares a text with a file under testdata.
func compareGolden(t *testing.T, file, got string) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%swant\n%s", file, got, want)
	}
}

// Guards against a change of the names of causes, which stand in logs.
func TestCauseNames(t *testing.T) {
	var b strings.Builder
	for cause := NoCertificate; cause < causeCount; cause++ {
		fmt.Fprintf(&b, "%d %s\n", cause, cause)
	}
	compareGolden(t, "causes.txt", b.String())
}

// Guards against a change of the hash that identifies stored sessions, which would drop
// the sessions that an earlier release stored.
func TestStoredIdentity(t *testing.T) {
	sum := func(s string) []byte { h := sha256.Sum256([]byte(s)); return h[:] }
	var b strings.Builder
	for _, r := range []Rule{
		{Name: "pay", ServerName: "pay.example.org"},
		{Name: "pay", ServerName: "pay.example.org", Pins: []Pin{{1}, {2}}},
	} {
		id := r.SessionIdentity(7, sum("roots"), sum("own"))
		fmt.Fprintf(&b, "%d %s %s\n", id.Destination, id.Rule, hex.EncodeToString(id.Sum[:]))
	}
	compareGolden(t, "identities.txt", b.String())
}

// Guards against a change of the retry times of a rejected endpoint, which are determined
// by the seed, and of the texts that are logged about it.
func TestSeededSchedule(t *testing.T) {
	tracker := NewTrustTracker(7)
	now := noon
	var text strings.Builder
	for _, cause := range []FailureCause{Expired, Expired, NameMismatch, NameMismatch, ClientCertificateRejected} {
		message := tracker.RecordFailure(3, &IdentityError{cause, "pay", errors.New("test")}, now)
		_, retryAt := tracker.MayRetry(3, now)
		fmt.Fprintf(&text, "%v %q\n", retryAt.Sub(now), message)
		now = retryAt
	}
	fmt.Fprintf(&text, "%q\n", tracker.RecordVerified(3, &Verification{ValidUntil: now.Add(time.Hour)}))
	for endpoint := 1; endpoint <= 4; endpoint++ {
		message := tracker.RecordFailure(endpoint+10, &IdentityError{NotYetValid, "pay", errors.New("test")}, now)
		if endpoint == 1 {
			tracker.Remove(3)
		}
		fmt.Fprintf(&text, "%q\n", message)
	}
	compareGolden(t, "schedule.txt", text.String())
}
