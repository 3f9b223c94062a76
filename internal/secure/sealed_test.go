package secure

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

	"troutusher/internal/devca"
	"troutusher/internal/operator"
)

const name = "pay.example.org"

type site struct {
	dir, key string
	own      *devca.Made
	rule     operator.TLSRule
	log      bytes.Buffer
}

func newSite(t testing.TB) *site {
	t.Helper()
	s := &site{dir: t.TempDir()}
	root, err := devca.Issue(nil, "root", nil, devca.Authority)
	if err != nil {
		t.Fatal(err)
	}
	if s.own, err = devca.Issue(root, name, nil); err != nil {
		t.Fatal(err)
	}
	roots, _, err := root.Write(s.dir, "roots", false)
	if err != nil {
		t.Fatal(err)
	}
	s.key = filepath.Join(s.dir, "session.key")
	if err := os.WriteFile(s.key, bytes.Repeat([]byte("k"), 32), 0o600); err != nil {
		t.Fatal(err)
	}
	s.rule = operator.TLSRule{Name: "pay", Destinations: []int{1, 2}, ServerName: name, Roots: roots}
	return s
}

func (s *site) partners(t testing.TB) *Partners {
	t.Helper()
	p, err := New(Options{Rules: []operator.TLSRule{s.rule}, Handshakes: operator.Handshakes{SessionKey: s.key, CPUShare: 1, BurstMS: 1000}, State: s.dir,
		Log: slog.New(slog.NewTextHandler(&s.log, nil)), Barred: func(uint64, time.Duration) {}})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// shake makes a handshake with a server over a pipe of sockets and waits for the
// session that comes behind it.
func (s *site) shake(t testing.TB, e *Peer, addr string) *Conn {
	t.Helper()
	turn, _, err := e.Begin(false, false)
	if err != nil || turn == nil {
		t.Fatal("no turn: ", err)
	}
	raw, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c, err := turn.Shake(context.Background(), raw)
	if err != nil {
		t.Fatal(err)
	}
	c.SetReadDeadline(time.Now().Add(30 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err != nil { // the server's one byte comes behind its sessions
		t.Fatal(err)
	}
	return c
}

func serve(t testing.TB, cfg *tls.Config) string {
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
func TestSessionsOutlastTheProcess(t *testing.T) {
	s := newSite(t)
	addr := serve(t, &tls.Config{Certificates: []tls.Certificate{s.own.TLS()}})
	p := s.partners(t)
	c := s.shake(t, p.Peer(1, 1, "", nil), addr)
	if c.Resumed {
		t.Fatal("resumed from nothing")
	}
	c.Close()
	p.Save(s.dir)
	path := filepath.Join(s.dir, sealedName)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if info, _ := os.Stat(path); info.Mode().Perm() != 0o600 || bytes.Contains(text, []byte("ticket")) || bytes.Contains(text, s.own.Raw[:40]) {
		t.Error("the file can be read")
	}
	next := s.partners(t)
	if _, err := os.Stat(path); err == nil {
		t.Error("the file is there still: another process would show its tickets again")
	}
	other := s.shake(t, next.Peer(2, 2, "", nil), addr)
	if other.Resumed {
		t.Error("a session of one destination is shown for another")
	}
	c = s.shake(t, next.Peer(1, 1, "", nil), addr)
	if !c.Resumed {
		t.Error("not resumed by the next process")
	}
	// Damaged at any byte, cut at any length, under another key: an empty cache.
	key := bytes.Repeat([]byte("k"), 32)
	for i := range text {
		b := bytes.Clone(text)
		b[i] ^= 1
		if _, err := unseal(key, b); err == nil {
			t.Fatalf("byte %d changed, and it is read", i)
		}
		if _, err := unseal(key, text[:i]); err == nil {
			t.Fatalf("cut at %d, and it is read", i)
		}
	}
	if _, err := unseal(bytes.Repeat([]byte("q"), 32), text); err == nil {
		t.Error("read under another key")
	}
	if all, err := unseal(key, text); err != nil || len(all) == 0 {
		t.Errorf("the file itself: %v", err)
	}
	text[4] = 9
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	s.log.Reset()
	if p := s.partners(t); p.sessions.Len() != 0 || !strings.Contains(s.log.String(), "version 9") {
		t.Errorf("another version: %d sessions, %s", p.sessions.Len(), s.log.String())
	}
	// A state folder that cannot be written loses the sessions and nothing else.
	s.log.Reset()
	next.Save(filepath.Join(s.dir, "none"))
	if !strings.Contains(s.log.String(), "not kept") || strings.Contains(s.log.String(), "kkkk") {
		t.Errorf("a folder that is not there: %s", s.log.String())
	}
}

func TestSessionKeyFile(t *testing.T) {
	s := newSite(t)
	for want, set := range map[string]func() error{
		"mode 0644":   func() error { return os.Chmod(s.key, 0o644) },
		"31 bytes":    func() error { os.Chmod(s.key, 0o600); return os.WriteFile(s.key, make([]byte, 31), 0o600) },
		"no such":     func() error { return os.Remove(s.key) },
		"no regular ": func() error { os.Remove(s.key); return os.Mkdir(s.key, 0o700) },
	} {
		os.Remove(s.key)
		os.WriteFile(s.key, make([]byte, 32), 0o600)
		if err := set(); err != nil {
			t.Fatal(err)
		}
		if _, err := readKeyFile(s.key); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

func FuzzUnseal(f *testing.F) {
	key := bytes.Repeat([]byte("k"), 32)
	good, err := seal(key, []sealedSession{{Dest: 1, Rule: "pay", Sum: make([]byte, 32)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(sealedMagic))
	f.Fuzz(func(t *testing.T, text []byte) {
		if all, err := unseal(key, text); err == nil && !bytes.Equal(text, good) {
			t.Errorf("%d sessions out of a file that nobody sealed", len(all))
		}
	})
}
