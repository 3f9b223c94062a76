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

// What the log calls a failure's cause.
func TestCauseNames(t *testing.T) {
	var b strings.Builder
	for c := NoCertificate; c < causeCount; c++ {
		fmt.Fprintf(&b, "%d %s\n", c, c)
	}
	compareGolden(t, "causes.txt", b.String())
}

// The sum under which sessions are stored on disk.
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

// The retries of an endpoint whose identity was rejected, drawn from a seed, and
// what the log says of it.
func TestSeededSchedule(t *testing.T) {
	b := NewTrustTracker(7)
	now := noon
	var text strings.Builder
	for _, c := range []FailureCause{Expired, Expired, NameMismatch, NameMismatch, ClientCertificateRejected} {
		said := b.RecordFailure(3, &IdentityError{c, "pay", errors.New("test")}, now)
		_, at := b.MayRetry(3, now)
		fmt.Fprintf(&text, "%v %q\n", at.Sub(now), said)
		now = at
	}
	fmt.Fprintf(&text, "%q\n", b.RecordVerified(3, &Verification{ValidUntil: now.Add(time.Hour)}))
	for dest := 1; dest <= 4; dest++ {
		said := b.RecordFailure(dest+10, &IdentityError{NotYetValid, "pay", errors.New("test")}, now)
		if dest == 1 {
			b.Remove(3)
		}
		fmt.Fprintf(&text, "%q\n", said)
	}
	compareGolden(t, "schedule.txt", text.String())
}
