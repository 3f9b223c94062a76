package link

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// connectedPair links both ends of a folder's socket.
func connectedPair(t *testing.T, dir string) (a, b *Conn) {
	t.Helper()
	ln, err := Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan *Conn, 1)
	go func() {
		l, err := ln.Accept()
		if err != nil {
			t.Error(err)
		}
		got <- l
	}()
	if a, err = Dial(dir); err != nil {
		t.Fatal(err)
	}
	b = <-got
	t.Cleanup(func() {
		for _, c := range []io.Closer{a, b, ln} {
			_ = c.Close() // the test may have closed it
		}
	})
	return a, b
}

func mustClose(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
}

func testDeadline() time.Time { return time.Now().Add(10 * time.Second) }

// Texts of any length arrive whole and in order, and descriptors with them, as
// the same open files.
func TestPacketsAndDescriptors(t *testing.T) {
	for _, dir := range []string{t.TempDir(), filepath.Join(t.TempDir(), strings.Repeat("long", 30))} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		a, b := connectedPair(t, dir)
		rng := rand.New(rand.NewPCG(1, 2))
		for _, size := range []int{0, 1, MaxBodySize, MaxBodySize + 1, 5*MaxBodySize + 77} {
			text := make([]byte, size)
			for i := range text {
				text[i] = byte(rng.Uint32())
			}
			r, w, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			sent := make(chan error, 1)
			go func() { sent <- a.SendParts('p', 'S', text, testDeadline(), int(w.Fd())) }()
			var got []byte
			for {
				p, err := b.Receive(testDeadline())
				if err != nil {
					t.Fatal(err)
				}
				got = append(got, p.Body...)
				if p.Kind != 'S' {
					continue
				}
				if len(p.FDs) != 1 {
					t.Fatalf("%d descriptors", len(p.FDs))
				}
				f := os.NewFile(uintptr(p.FDs[0]), "passed")
				_, err = io.WriteString(f, "here")
				if err := errors.Join(err, f.Close()); err != nil {
					t.Fatal(err)
				}
				break
			}
			if err := <-sent; err != nil || !bytes.Equal(got, text) {
				t.Fatalf("%d bytes became %d, %v", size, len(got), err)
			}
			mustClose(t, w)
			if said, err := io.ReadAll(r); string(said) != "here" || err != nil {
				t.Errorf("through the passed descriptor: %q, %v", said, err)
			}
			mustClose(t, r)
		}
		if err := a.Send('x', make([]byte, MaxBodySize+1), testDeadline()); err == nil {
			t.Error("a packet over the bound is sent")
		}
	}
}

// What was sent before an end is received; after CloseRead nothing more can be sent.
func TestLastPackets(t *testing.T) {
	a, b := connectedPair(t, t.TempDir())
	if err := a.Send('M', nil, testDeadline()); err != nil {
		t.Fatal(err)
	}
	if err := b.CloseRead(); err != nil {
		t.Fatal(err)
	}
	if err := a.Send('R', nil, testDeadline()); err == nil {
		t.Error("a packet goes out that nobody will receive")
	}
	if p, err := b.Receive(testDeadline()); err != nil || p.Kind != 'M' {
		t.Errorf("the packet before: %q, %v", p.Kind, err)
	}
	if _, err := b.Receive(testDeadline()); err == nil {
		t.Error("something comes after the end")
	}
	c, d := connectedPair(t, t.TempDir())
	if err := c.Send('M', nil, testDeadline()); err != nil {
		t.Fatal(err)
	}
	mustClose(t, c)
	if p, err := d.Receive(testDeadline()); err != nil || p.Kind != 'M' {
		t.Errorf("before the other's end: %q, %v", p.Kind, err)
	}
	if _, err := d.Receive(testDeadline()); err == nil {
		t.Error("the other's end is not seen")
	}
}

// A socket that a dead process left has no listener, and a new one takes its place.
func TestStaleSocket(t *testing.T) {
	dir := t.TempDir()
	ln, err := Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	mustClose(t, ln)
	if _, err := Dial(dir); err == nil {
		t.Error("connected to nobody")
	}
	if a, b := connectedPair(t, dir); a == nil || b == nil {
		t.Error("not taken over")
	}
}
