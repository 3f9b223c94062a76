package link

import (
	"bytes"
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
	t.Cleanup(func() { a.Close(); b.Close(); ln.Close() })
	return a, b
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
				io.WriteString(f, "here")
				f.Close()
				break
			}
			if err := <-sent; err != nil || !bytes.Equal(got, text) {
				t.Fatalf("%d bytes became %d, %v", size, len(got), err)
			}
			w.Close()
			if said, err := io.ReadAll(r); string(said) != "here" || err != nil {
				t.Errorf("through the passed descriptor: %q, %v", said, err)
			}
			r.Close()
		}
		if err := a.Send('x', make([]byte, MaxBodySize+1), testDeadline()); err == nil {
			t.Error("a packet over the bound is sent")
		}
	}
}

// What was said before an end is heard; after Shut nothing more can be said.
func TestTheLastWord(t *testing.T) {
	a, b := connectedPair(t, t.TempDir())
	if err := a.Send('M', nil, testDeadline()); err != nil {
		t.Fatal(err)
	}
	b.CloseRead()
	if err := a.Send('R', nil, testDeadline()); err == nil {
		t.Error("a word goes out that nobody will hear")
	}
	if p, err := b.Receive(testDeadline()); err != nil || p.Kind != 'M' {
		t.Errorf("the word before: %q, %v", p.Kind, err)
	}
	if _, err := b.Receive(testDeadline()); err == nil {
		t.Error("something comes after the end")
	}
	c, d := connectedPair(t, t.TempDir())
	c.Send('M', nil, testDeadline())
	c.Close()
	if p, err := d.Receive(testDeadline()); err != nil || p.Kind != 'M' {
		t.Errorf("before the other's end: %q, %v", p.Kind, err)
	}
	if _, err := d.Receive(testDeadline()); err == nil {
		t.Error("the other's end is not seen")
	}
}

// A socket that a dead process left is nobody's, and a new listener takes its
// place.
func TestLeftSocket(t *testing.T) {
	dir := t.TempDir()
	ln, err := Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	if _, err := Dial(dir); err == nil {
		t.Error("linked to nobody")
	}
	if a, b := connectedPair(t, dir); a == nil || b == nil {
		t.Error("not taken over")
	}
}
