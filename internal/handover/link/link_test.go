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

// connectedPair returns both ends of a connection through the socket in a folder.
func connectedPair(t *testing.T, dir string) (a, b *Conn) {
	t.Helper()
	ln, err := Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan *Conn, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- conn
	}()
	if a, err = Dial(dir); err != nil {
		t.Fatal(err)
	}
	b = <-accepted
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

// Guards against bodies that are truncated or reordered when they are split into
// packets, and against descriptors that don't arrive or refer to another file. The
// second folder's path is too long for a socket address.
func TestPacketsAndDescriptors(t *testing.T) {
	for _, dir := range []string{t.TempDir(), filepath.Join(t.TempDir(), strings.Repeat("long", 30))} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		a, b := connectedPair(t, dir)
		rng := rand.New(rand.NewPCG(1, 2))
		for _, size := range []int{0, 1, MaxBodySize, MaxBodySize + 1, 5*MaxBodySize + 77} {
			body := make([]byte, size)
			for i := range body {
				body[i] = byte(rng.Uint32())
			}
			r, w, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			sent := make(chan error, 1)
			go func() { sent <- a.SendParts('p', 'S', body, testDeadline(), int(w.Fd())) }()
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
					t.Fatalf("Receive() = packet with %d descriptors, want 1", len(p.FDs))
				}
				f := os.NewFile(uintptr(p.FDs[0]), "passed")
				_, err = io.WriteString(f, "here")
				if err := errors.Join(err, f.Close()); err != nil {
					t.Fatal(err)
				}
				break
			}
			if err := <-sent; err != nil || !bytes.Equal(got, body) {
				t.Fatalf("SendParts(%d bytes): received %d bytes, error %v, want the same, nil", size, len(got), err)
			}
			mustClose(t, w)
			if written, err := io.ReadAll(r); string(written) != "here" || err != nil {
				t.Errorf("ReadAll(pipe of the passed descriptor) = %q, %v, want \"here\", nil", written, err)
			}
			mustClose(t, r)
		}
		if err := a.Send('x', make([]byte, MaxBodySize+1), testDeadline()); err == nil {
			t.Error("Send(MaxBodySize+1 bytes) = nil, want an error")
		}
	}
}

// Guards against packets that are lost because the connection closes right after they
// were sent, and against sends after CloseRead that seem to succeed although no process
// receives the packet.
func TestLastPackets(t *testing.T) {
	a, b := connectedPair(t, t.TempDir())
	if err := a.Send('M', nil, testDeadline()); err != nil {
		t.Fatal(err)
	}
	if err := b.CloseRead(); err != nil {
		t.Fatal(err)
	}
	if err := a.Send('R', nil, testDeadline()); err == nil {
		t.Error("Send() after the other side's CloseRead = nil, want an error")
	}
	if p, err := b.Receive(testDeadline()); err != nil || p.Kind != 'M' {
		t.Errorf("Receive() after CloseRead = kind %q, %v, want 'M', nil", p.Kind, err)
	}
	if _, err := b.Receive(testDeadline()); err == nil {
		t.Error("Receive() after the last packet = nil, want an error")
	}
	c, d := connectedPair(t, t.TempDir())
	if err := c.Send('M', nil, testDeadline()); err != nil {
		t.Fatal(err)
	}
	mustClose(t, c)
	if p, err := d.Receive(testDeadline()); err != nil || p.Kind != 'M' {
		t.Errorf("Receive() after the other side's Close = kind %q, %v, want 'M', nil", p.Kind, err)
	}
	if _, err := d.Receive(testDeadline()); err == nil {
		t.Error("Receive() on a connection that the other side closed = nil, want an error")
	}
}

// Guards against a start that fails because of the socket file of a dead process:
// nobody listens on it, and Listen has to replace it.
func TestStaleSocket(t *testing.T) {
	dir := t.TempDir()
	ln, err := Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	mustClose(t, ln)
	if _, err := Dial(dir); err == nil {
		t.Error("Dial() without a listener = nil, want an error")
	}
	if a, b := connectedPair(t, dir); a == nil || b == nil {
		t.Error("no connection through a replaced socket")
	}
}
