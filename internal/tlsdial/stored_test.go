package tlsdial

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"troutusher/internal/operatorconfig"
	"troutusher/internal/tlspolicy"
)

func readFixture(t *testing.T, file string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// Guards against a change of the session file's format, which would drop the sessions
// that an earlier release stored. A file of an earlier release must decrypt to the same
// sessions, these must have the same JSON, and their identities must be those by which
// this release looks sessions up.
func TestStoredSessions(t *testing.T) {
	key := bytes.Repeat([]byte("k"), 32)
	sealed, want := readFixture(t, "sessions.sealed"), readFixture(t, "sessions.json")
	sessions, err := decryptSessions(key, sealed)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(sessions); err != nil || !bytes.Equal(got, want) {
		t.Errorf("JSON of the stored sessions, error %v:\n%s\nwant\n%s", err, got, want)
	}
	reencrypted, err := encryptSessions(key, sessions)
	if err != nil || !bytes.Equal(reencrypted[:5], sealed[:5]) || len(reencrypted) != len(sealed) {
		t.Errorf("encryptSessions: error %v, %d bytes with header % x; want %d bytes with header % x",
			err, len(reencrypted), reencrypted[:min(5, len(reencrypted))], len(sealed), sealed[:5])
	}
	s := newTestSite(t)
	s.rule.Roots = filepath.Join("testdata", "roots.pem")
	if err := os.WriteFile(filepath.Join(s.stateDir, "sessions.sealed"), sealed, 0o600); err != nil {
		t.Fatal(err)
	}
	now := sessions[0].Until.Add(-time.Hour)
	d, err := New(Options{
		Rules:      []operatorconfig.TLSRule{s.rule},
		Handshakes: operatorconfig.Handshakes{SessionKey: s.keyFile},
		StateDir:   s.stateDir,
		Clock:      func() time.Time { return now },
		Log:        slog.New(slog.DiscardHandler),
		OnRejected: func(uint64, time.Duration) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	r := d.rules[0]
	for _, stored := range sessions {
		id := r.policy.SessionIdentity(stored.Destination, r.files.Current().RootsSum, nil)
		if !bytes.Equal(id.Sum[:], stored.IdentitySum) || id.Rule != stored.Rule {
			t.Errorf("SessionIdentity(%d) = %s %x, want %s %x",
				stored.Destination, id.Rule, id.Sum, stored.Rule, stored.IdentitySum)
		}
		_, err := tls.ParseSessionState(stored.State) // the encoding of State may change with the Go version
		if has := d.sessions.Has(id, now); has != (err == nil) {
			t.Errorf("destination %d: session restored = %v, but ParseSessionState = error %v",
				stored.Destination, has, err)
		}
	}
}

// Guards against an unintended change of the log lines that docs/operators/tls.md names
// for operators to look for.
func TestLogLines(t *testing.T) {
	s := newTestSite(t)
	dir := t.TempDir()
	for file, mode := range map[string]os.FileMode{"own.pem": 0o644, "own.key": 0o600, "roots.pem": 0o644} {
		if err := os.WriteFile(filepath.Join(dir, file), readFixture(t, file), mode); err != nil {
			t.Fatal(err)
		}
	}
	s.rule.Roots = filepath.Join(dir, "roots.pem")
	s.rule.Certificate = filepath.Join(dir, "own.pem")
	s.rule.Key = filepath.Join(dir, "own.key")
	now := time.Date(2125, 12, 25, 12, 0, 0, 0, time.UTC)
	dropTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}
	var log bytes.Buffer
	d, err := New(Options{
		Rules:      []operatorconfig.TLSRule{s.rule},
		Clock:      func() time.Time { return now },
		Log:        slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{ReplaceAttr: dropTime})),
		OnRejected: func(uint64, time.Duration) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	e := d.Endpoint(9, 1, "", nil)
	reject := func(cause tlspolicy.FailureCause) {
		d.mu.Lock()
		defer d.mu.Unlock()
		_ = d.recordRejection(e, &tlspolicy.IdentityError{Cause: cause, Rule: "pay", Err: errors.New("test")})
	}
	reject(tlspolicy.Expired)
	reject(tlspolicy.Expired)
	reject(tlspolicy.NameMismatch)
	d.mu.Lock()
	d.recordVerified(e, &Conn{validUntil: now.Add(365 * 24 * time.Hour)})
	d.mu.Unlock()
	if err := os.WriteFile(s.rule.Roots, []byte("nothing"), 0o644); err != nil {
		t.Fatal(err)
	}
	d.ReloadFiles()
	if err := os.WriteFile(s.rule.Roots, append(readFixture(t, "roots.pem"), '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
	d.ReloadFiles()
	d.sessionKey = bytes.Repeat([]byte("k"), 32)
	d.SaveSessions(filepath.Join(dir, "none"))
	if got, want := strings.ReplaceAll(log.String(), dir, "DIR"), string(readFixture(t, "log.txt")); got != want {
		t.Errorf("log lines:\n%swant\n%s", got, want)
	}
}
