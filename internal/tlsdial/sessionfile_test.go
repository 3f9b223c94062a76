package tlsdial

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"troutusher/internal/operatorconfig"
	"troutusher/internal/testca"
)

const serverName = "pay.example.org"

type testSite struct {
	stateDir, keyFile string
	certificate       *testca.Issued
	rule              operatorconfig.TLSRule
	log               bytes.Buffer
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
	p, err := New(Options{Rules: []operatorconfig.TLSRule{s.rule}, Handshakes: operatorconfig.Handshakes{SessionKey: s.keyFile, CPUShare: 1, BurstMS: 1000}, StateDir: s.stateDir,
		Log: slog.New(slog.NewTextHandler(&s.log, nil)), OnRejected: func(uint64, time.Duration) {}})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// handshake makes a handshake with a server over a pipe of sockets and waits for the
// session that comes behind it.
func (s *testSite) handshake(t testing.TB, e *Endpoint, addr string) *Conn {
	t.Helper()
	turn, _, err := e.Acquire(false, false)
	if err != nil || turn == nil {
		t.Fatal("no turn: ", err)
	}
	raw, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c, err := turn.Handshake(context.Background(), raw)
	if err != nil {
		t.Fatal(err)
	}
	c.SetReadDeadline(time.Now().Add(30 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err != nil { // the server's one byte comes behind its sessions
		t.Fatal(err)
	}
	return c
}

func startTLSServer(t testing.TB, cfg *tls.Config) string {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); c.Write([]byte("x")); io.Copy(io.Discard, c) }()
		}
	}()
	return ln.Addr().String()
}

// Guards sessions over a restart: the next process resumes, each ticket once, and
// the file holds nothing that can be read, is gone once read, and tells nothing
// of itself when it cannot be used.
func TestSessionsSurviveRestart(t *testing.T) {
	s := newTestSite(t)
	addr := startTLSServer(t, &tls.Config{Certificates: []tls.Certificate{s.certificate.TLSCertificate()}})
	p := s.newDialer(t)
	c := s.handshake(t, p.Endpoint(1, 1, "", nil), addr)
	if c.Resumed {
		t.Fatal("resumed from nothing")
	}
	c.Close()
	p.SaveSessions(s.stateDir)
	path := filepath.Join(s.stateDir, sessionsFile)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if info, _ := os.Stat(path); info.Mode().Perm() != 0o600 || bytes.Contains(text, []byte("ticket")) || bytes.Contains(text, s.certificate.Raw[:40]) {
		t.Error("the file can be read")
	}
	next := s.newDialer(t)
	if _, err := os.Stat(path); err == nil {
		t.Error("the file is there still: another process would show its tickets again")
	}
	other := s.handshake(t, next.Endpoint(2, 2, "", nil), addr)
	if other.Resumed {
		t.Error("a session of one destination is shown for another")
	}
	c = s.handshake(t, next.Endpoint(1, 1, "", nil), addr)
	if !c.Resumed {
		t.Error("not resumed by the next process")
	}
	// Damaged at any byte, cut at any length, under another key: an empty cache.
	key := bytes.Repeat([]byte("k"), 32)
	for i := range text {
		b := bytes.Clone(text)
		b[i] ^= 1
		if _, err := decryptSessions(key, b); err == nil {
			t.Fatalf("byte %d changed, and it is read", i)
		}
		if _, err := decryptSessions(key, text[:i]); err == nil {
			t.Fatalf("cut at %d, and it is read", i)
		}
	}
	if _, err := decryptSessions(bytes.Repeat([]byte("q"), 32), text); err == nil {
		t.Error("read under another key")
	}
	if all, err := decryptSessions(key, text); err != nil || len(all) == 0 {
		t.Errorf("the file itself: %v", err)
	}
	text[4] = 9
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	s.log.Reset()
	if p := s.newDialer(t); p.sessions.Len() != 0 || !strings.Contains(s.log.String(), "version 9") {
		t.Errorf("another version: %d sessions, %s", p.sessions.Len(), s.log.String())
	}
	// A state folder that cannot be written loses the sessions and nothing else.
	s.log.Reset()
	next.SaveSessions(filepath.Join(s.stateDir, "none"))
	if !strings.Contains(s.log.String(), "not kept") || strings.Contains(s.log.String(), "kkkk") {
		t.Errorf("a folder that is not there: %s", s.log.String())
	}
}

func TestSessionKeyFile(t *testing.T) {
	s := newTestSite(t)
	for want, set := range map[string]func() error{
		"mode 0644":   func() error { return os.Chmod(s.keyFile, 0o644) },
		"31 bytes":    func() error { os.Chmod(s.keyFile, 0o600); return os.WriteFile(s.keyFile, make([]byte, 31), 0o600) },
		"no such":     func() error { return os.Remove(s.keyFile) },
		"no regular ": func() error { os.Remove(s.keyFile); return os.Mkdir(s.keyFile, 0o700) },
	} {
		os.Remove(s.keyFile)
		os.WriteFile(s.keyFile, make([]byte, 32), 0o600)
		if err := set(); err != nil {
			t.Fatal(err)
		}
		if _, err := readSessionKey(s.keyFile); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

func FuzzDecryptSessions(f *testing.F) {
	key := bytes.Repeat([]byte("k"), 32)
	good, err := encryptSessions(key, []storedSession{{Destination: 1, Rule: "pay", IdentitySum: make([]byte, 32)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(sessionsMagic))
	f.Fuzz(func(t *testing.T, text []byte) {
		if all, err := decryptSessions(key, text); err == nil && !bytes.Equal(text, good) {
			t.Errorf("%d sessions out of a file that nobody sealed", len(all))
		}
	})
}
