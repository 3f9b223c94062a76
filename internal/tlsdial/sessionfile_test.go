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

// testSite is the configuration of one site with a TLS rule, and its log.
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

// handshake makes a handshake with a server and waits for the session that follows it.
func (s *testSite) handshake(t testing.TB, e *Endpoint, addr string) *Conn {
	t.Helper()
	permit, _, err := e.Acquire(false, false)
	if err != nil || permit == nil {
		t.Fatal("no permit: ", err)
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
	if _, err := c.Read(make([]byte, 1)); err != nil { // the server's one byte follows its sessions
		t.Fatal(err)
	}
	return c
}

// startTLSServer accepts connections until the test ends. Each gets one byte, and what
// it sends is read and dropped.
func startTLSServer(t testing.TB, cfg *tls.Config) string {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", cfg)
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

// serveOneByte may fail at any point: the client decides how the handshake ends.
func serveOneByte(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	if _, err := c.Write([]byte("x")); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c)
}

// The next process resumes stored sessions, each ticket once. The file is encrypted,
// is removed once it is read, and is ignored when it cannot be used.
func TestSessionsSurviveRestart(t *testing.T) {
	s := newTestSite(t)
	addr := startTLSServer(t, &tls.Config{Certificates: []tls.Certificate{s.certificate.TLSCertificate()}})
	d := s.newDialer(t)
	c := s.handshake(t, d.Endpoint(1, 1, "", nil), addr)
	if c.Resumed {
		t.Fatal("resumed from nothing")
	}
	_ = c.Close()
	d.SaveSessions(s.stateDir)
	path := filepath.Join(s.stateDir, sessionsFile)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	readable := bytes.Contains(text, []byte("ticket")) || bytes.Contains(text, s.certificate.Raw[:40])
	if info.Mode().Perm() != 0o600 || readable {
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
	if d := s.newDialer(t); d.sessions.Len() != 0 || !strings.Contains(s.log.String(), "version 9") {
		t.Errorf("another version: %d sessions, %s", d.sessions.Len(), s.log.String())
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
	for _, c := range []struct {
		name, want string
		prepare    func(path string) error
	}{
		{"readable by all", "mode 0644", func(path string) error { return os.Chmod(path, 0o644) }},
		{"too short", "31 bytes", func(path string) error { return os.WriteFile(path, make([]byte, 31), 0o600) }},
		{"missing", "no such", os.Remove},
		{"a folder", "no regular ", func(path string) error {
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
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

func FuzzDecryptSessions(f *testing.F) {
	key := bytes.Repeat([]byte("k"), 32)
	good, err := encryptSessions(key, []storedSession{{Destination: 1, Rule: "pay", IdentitySum: make([]byte, 32)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(append([]byte(sessionsMagic), sessionsVersion))
	f.Fuzz(func(t *testing.T, text []byte) {
		if all, err := decryptSessions(key, text); err == nil && !bytes.Equal(text, good) {
			t.Errorf("%d sessions out of a file that was not encrypted with the key", len(all))
		}
	})
}
