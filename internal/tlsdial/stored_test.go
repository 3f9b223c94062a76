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
	text, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// A file of sessions that an earlier release sealed is read to the same content,
// that content has the same JSON, and its identities are those that this release
// looks its sessions up by.
func TestStoredSessions(t *testing.T) {
	key := bytes.Repeat([]byte("k"), 32)
	sealed, want := readFixture(t, "sessions.sealed"), readFixture(t, "sessions.json")
	all, err := decryptSessions(key, sealed)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(all); err != nil || !bytes.Equal(got, want) {
		t.Errorf("content, %v:\n%s\nwant\n%s", err, got, want)
	}
	again, err := encryptSessions(key, all)
	if err != nil || !bytes.Equal(again[:5], sealed[:5]) || len(again) != len(sealed) {
		t.Errorf("sealed anew: %v, %d bytes, want %d", err, len(again), len(sealed))
	}
	s := newTestSite(t)
	s.rule.Roots = filepath.Join("testdata", "roots.pem")
	if err := os.WriteFile(filepath.Join(s.stateDir, "sessions.sealed"), sealed, 0o600); err != nil {
		t.Fatal(err)
	}
	now := all[0].Until.Add(-time.Hour)
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
	for _, x := range all {
		id := r.policy.SessionIdentity(x.Destination, r.files.Current().RootsSum, nil)
		if !bytes.Equal(id.Sum[:], x.IdentitySum) || id.Rule != x.Rule {
			t.Errorf("destination %d: identity %s %x, want %s %x",
				x.Destination, id.Rule, id.Sum, x.Rule, x.IdentitySum)
		}
		_, err := tls.ParseSessionState(x.State) // its form may change with the version of Go
		if has := d.sessions.Has(id, now); has != (err == nil) {
			t.Errorf("destination %d: restored %v, its state: %v", x.Destination, has, err)
		}
	}
}

// The lines that docs/operators/tls.md tells operators to look for.
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
	failed := func(c tlspolicy.FailureCause) {
		d.mu.Lock()
		defer d.mu.Unlock()
		_ = d.recordRejection(e, &tlspolicy.IdentityError{Cause: c, Rule: "pay", Err: errors.New("test")})
	}
	failed(tlspolicy.Expired)
	failed(tlspolicy.Expired)
	failed(tlspolicy.NameMismatch)
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
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
