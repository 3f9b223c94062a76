package policy

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
)

// TestStoredForm guards the JSON form of a Snapshot, which occurs in stored files and in hand-over packets of other
// versions. A recorded snapshot with every key must decode, and encode to the same bytes again.
func TestStoredForm(t *testing.T) {
	text, err := os.ReadFile("testdata/memory.json")
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var snapshot Snapshot
	if err := decoder.Decode(&snapshot); err != nil {
		t.Fatal(err)
	}
	got, err := json.MarshalIndent(&snapshot, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(got, '\n'), text) {
		t.Errorf("MarshalIndent(decoded snapshot) =\n%s\nwant\n%s", got, text)
	}
	limiter, endpoint := snapshot.Limiters[0], snapshot.Limiters[0].Endpoints[0]
	for _, value := range []struct {
		key       string
		got, want float64
	}{
		{"rest_until", float64(endpoint.BackoffUntil), 104},
		{"first_bad", float64(endpoint.FirstFailureAt), 106},
		{"bad_at", float64(endpoint.LastFailureAt), 107},
		{"good_at", float64(endpoint.RecoveredAt), 108},
		{"good_sent", float64(endpoint.RecoverySentAt), 109},
		{"ok_at", float64(endpoint.LastSuccessAt), 110},
		{"need", endpoint.RequiredTokens, 1.13},
		{"wait_until", float64(limiter.RetryAfterUntil), 124},
		{"pause_until", float64(limiter.BackoffUntil), 125},
		{"nominal", limiter.NominalRate, 1.26},
		{"limit", limiter.ReportedRate, 1.27},
		{"boost", limiter.RateMultiplier, 1.28},
		{"cut", limiter.ReducedRate, 1.29},
		{"cut_at", float64(limiter.ReducedAt), 130},
		{"full_run", float64(limiter.RejectionRun), 133},
		{"full_at", float64(limiter.FirstRejectionAt), 134},
	} {
		if value.got != value.want {
			t.Errorf("field of key %q = %v, want %v", value.key, value.got, value.want)
		}
	}
}
