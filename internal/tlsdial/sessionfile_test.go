package tlsdial

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"troutusher/internal/operatorconfig"
	"troutusher/internal/testca"
)

const serverName = "pay.example.org"

// testSite is the configuration of one relay with a TLS rule, and its log.
type testSite struct {
	stateDir, keyFile string
	certificate       *testca.Issued
	rule              operatorconfig.TLSRule
	log               bytes.Buffer // of its dialers
}

func newTestSite(t testing.TB) *testSite {
	t.Helper()
	s := &testSite{stateDir: t.TempDir()}
	root, err := testca.Issue(nil, "root", nil, testca.AsAuthority)
	if err != nil {
		t.Fatal(err)
	}
	if s.certificate, err = testca.Issue(root, serverName, nil); err != nil {
		t.Fatal(err)
	}
	roots, _, err := root.WriteFiles(s.stateDir, "roots", false)
	if err != nil {
		t.Fatal(err)
	}
	s.keyFile = filepath.Join(s.stateDir, "session.key")
	if err := os.WriteFile(s.keyFile, bytes.Repeat([]byte("k"), 32), 0o600); err != nil {
		t.Fatal(err)
	}
	s.rule = operatorconfig.TLSRule{Name: "pay", Destinations: []int{1, 2}, ServerName: serverName, Roots: roots}
	return s
}

func (s *testSite) newDialer(t testing.TB) *Dialer {
	t.Helper()
	d, err := New(Options{
		Rules:      []operatorconfig.TLSRule{s.rule},
		Handshakes: operatorconfig.Handshakes{SessionKey: s.keyFile, CPUShare: 1, BurstMS: 1000},
		StateDir:   s.stateDir,
		Log:        slog.New(slog.NewTextHandler(&s.log, nil)),
		OnRejected: func(uint64, time.Duration) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// handshake performs a handshake with a server and waits until the server has sent its
// sessions.
func (s *testSite) handshake(t testing.TB, e *Endpoint, addr string) *Conn {
	t.Helper()
	permit, _, err := e.Acquire(false, false)
	if err != nil || permit == nil {
		t.Fatalf("Acquire = %v, error %v, want a permit", permit, err)
	}
	raw, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c, err := permit.Handshake(context.Background(), raw)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil { // the server sends this byte after its sessions
		t.Fatal(err)
	}
	return c
}

// startTLSServer starts a server that runs until the test ends, and returns its address.
// The server sends one byte on each connection and discards what it receives.
func startTLSServer(t testing.TB, config *tls.Config) string {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		stop()
		_ = ln.Close()
		running.Wait()
	})
	running.Add(1)
	go func() {
		defer running.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			running.Add(1)
			go func() {
				defer running.Done()
				serveOneByte(ctx, c)
			}()
		}
	}()
	return ln.Addr().String()
}

// serveOneByte sends one byte and discards what it receives. It ignores errors, since the
// client may end the connection at any point.
func serveOneByte(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	if _, err := c.Write([]byte("x")); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c)
}

// Guards against a restart that loses the stored sessions or presents a ticket twice. The
// next process must resume a stored session, for the same destination only. The file must
// be encrypted, must be removed when it is read, and must be ignored if it is unusable.
func TestSessionsSurviveRestart(t *testing.T) {
	s := newTestSite(t)
	addr := startTLSServer(t, &tls.Config{Certificates: []tls.Certificate{s.certificate.TLSCertificate()}})
	d := s.newDialer(t)
	c := s.handshake(t, d.Endpoint(1, 1, "", nil), addr)
	if c.Resumed {
		t.Fatal("first handshake was resumed, want a full one")
	}
	_ = c.Close()
	d.SaveSessions(s.stateDir)
	path := filepath.Join(s.stateDir, sessionsFile)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	readable := bytes.Contains(content, []byte("ticket")) || bytes.Contains(content, s.certificate.Raw[:40])
	if info.Mode().Perm() != 0o600 || readable {
		t.Errorf("session file: mode %04o, plaintext visible %v; want 0600, false", info.Mode().Perm(), readable)
	}
	next := s.newDialer(t)
	if _, err := os.Stat(path); err == nil {
		t.Error("session file still exists after it was read: another process would present its tickets again")
	}
	other := s.handshake(t, next.Endpoint(2, 2, "", nil), addr)
	if other.Resumed {
		t.Error("a session of destination 1 was presented for destination 2")
	}
	c = s.handshake(t, next.Endpoint(1, 1, "", nil), addr)
	if !c.Resumed {
		t.Error("the next process made a full handshake, want a resumed one")
	}
	// A file that is damaged at any byte, truncated at any length or encrypted with another
	// key must not be decrypted.
	key := bytes.Repeat([]byte("k"), 32)
	for i := range content {
		b := bytes.Clone(content)
		b[i] ^= 1
		if _, err := decryptSessions(key, b); err == nil {
			t.Fatalf("decryptSessions(file with byte %d changed) = nil error, want an error", i)
		}
		if _, err := decryptSessions(key, content[:i]); err == nil {
			t.Fatalf("decryptSessions(file truncated to %d bytes) = nil error, want an error", i)
		}
	}
	if _, err := decryptSessions(bytes.Repeat([]byte("q"), 32), content); err == nil {
		t.Error("decryptSessions(another key) = nil error, want an error")
	}
	if sessions, err := decryptSessions(key, content); err != nil || len(sessions) == 0 {
		t.Errorf("decryptSessions(unchanged file) = %d sessions, error %v; want at least 1, no error",
			len(sessions), err)
	}
	content[4] = 9
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	s.log.Reset()
	if d := s.newDialer(t); d.sessions.Len() != 0 || !strings.Contains(s.log.String(), "version 9") {
		t.Errorf("file of version 9: restored %d sessions, want 0; log: %s", d.sessions.Len(), s.log.String())
	}
	// If the state folder cannot be written, only the sessions are lost, and the log line
	// does not contain the key.
	s.log.Reset()
	next.SaveSessions(filepath.Join(s.stateDir, "none"))
	if !strings.Contains(s.log.String(), "cannot save") || strings.Contains(s.log.String(), "kkkk") {
		t.Errorf("SaveSessions(missing folder): log %q, want \"cannot save\" and no key", s.log.String())
	}
}

func TestSessionKeyFile(t *testing.T) {
	s := newTestSite(t)
	for _, c := range []struct {
		name, want string
		prepare    func(path string) error
	}{
		{"readable by all users", "mode 0644", func(path string) error { return os.Chmod(path, 0o644) }},
		{"too short", "31 bytes", func(path string) error { return os.WriteFile(path, make([]byte, 31), 0o600) }},
		{"missing", "no such", os.Remove},
		{"folder", "not a regular ", func(path string) error {
			return errors.Join(os.Remove(path), os.Mkdir(path, 0o700))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := os.RemoveAll(s.keyFile); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(s.keyFile, make([]byte, 32), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := c.prepare(s.keyFile); err != nil {
				t.Fatal(err)
			}
			if _, err := readSessionKey(s.keyFile); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("readSessionKey = error %v, want one that contains %q", err, c.want)
			}
		})
	}
}

func FuzzDecryptSessions(f *testing.F) {
	key := bytes.Repeat([]byte("k"), 32)
	valid, err := encryptSessions(key, []storedSession{{Destination: 1, Rule: "pay", IdentitySum: make([]byte, 32)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(append([]byte(sessionsMagic), sessionsVersion))
	f.Fuzz(func(t *testing.T, content []byte) {
		if sessions, err := decryptSessions(key, content); err == nil && !bytes.Equal(content, valid) {
			t.Errorf("decryptSessions accepted a file that was not encrypted with the key: %d sessions", len(sessions))
		}
	})
}
