// Package link carries packets and descriptors between two processes of one
// relay, over a local socket in the state folder.
//
// It owns the socket's file and the bounds of a packet. It must never know what
// a packet means, and believes nothing of one from another user.
package link

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Bounds.
const (
	SocketName     = "relay.sock" // in the state folder
	MaxBodySize    = 32 << 10     // bytes of one packet
	MaxDescriptors = 64           // descriptors with one packet
	maxPathLength  = 100          // of a socket's name, which has 108 bytes with its end
)

// Packet is one message.
type Packet struct {
	Kind byte
	Body []byte
	FDs  []int // the receiver's, close-on-exec
}

// Conn is one connection.
type Conn struct {
	conn *net.UnixConn
	buf  []byte
	oob  []byte
}

// Listener waits for links.
type Listener struct{ ln *net.UnixListener }

// socketAddress names the socket, by a shorter way where its path is too long.
func socketAddress(dir string) (name string, done func(), err error) {
	path := filepath.Join(dir, SocketName)
	if len(path) <= maxPathLength {
		return path, func() {}, nil
	}
	d, err := os.Open(dir)
	if err != nil {
		return "", nil, fmt.Errorf("link: %w", err)
	}
	return filepath.Join("/proc/self/fd", strconv.Itoa(int(d.Fd())), SocketName), func() { d.Close() }, nil
}

// Listen opens the socket of a folder, in the place of whoever had it. The
// caller must own the folder's lock.
func Listen(dir string) (*Listener, error) {
	name, done, err := socketAddress(dir)
	if err != nil {
		return nil, err
	}
	defer done()
	if err := os.Remove(filepath.Join(dir, SocketName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("link: %w", err)
	}
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: name, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	ln.SetUnlinkOnClose(false) // it may be another's by then
	return &Listener{ln}, nil
}

// Accept waits for the next link.
func (l *Listener) Accept() (*Conn, error) {
	for {
		c, err := l.ln.AcceptUnix()
		if err != nil {
			return nil, fmt.Errorf("link: %w", err)
		}
		if sameUser(c) {
			return newConn(c), nil
		}
		c.Close()
	}
}

// Close ends the listening.
func (l *Listener) Close() error { return l.ln.Close() }

// Dial links to whoever listens in a folder.
func Dial(dir string) (*Conn, error) {
	name, done, err := socketAddress(dir)
	if err != nil {
		return nil, err
	}
	defer done()
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: name, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	if !sameUser(c) {
		c.Close()
		return nil, errors.New("link: it is another user's")
	}
	return newConn(c), nil
}

func newConn(c *net.UnixConn) *Conn {
	return &Conn{conn: c, buf: make([]byte, MaxBodySize+2), oob: make([]byte, syscall.CmsgSpace(4*MaxDescriptors))}
}

// sameUser reports whether the other side is a process of our own user.
func sameUser(c *net.UnixConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	ok := false
	err = raw.Control(func(fd uintptr) {
		cred, err := syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
		ok = err == nil && int(cred.Uid) == os.Getuid()
	})
	return err == nil && ok
}

// Send sends one packet. The descriptors stay the sender's, too.
func (l *Conn) Send(kind byte, body []byte, by time.Time, fds ...int) error {
	if len(body) > MaxBodySize || len(fds) > MaxDescriptors {
		return fmt.Errorf("link: a packet of %d bytes and %d descriptors", len(body), len(fds))
	}
	l.conn.SetWriteDeadline(by)
	var oob []byte
	if len(fds) > 0 {
		oob = syscall.UnixRights(fds...)
	}
	if _, _, err := l.conn.WriteMsgUnix(append([]byte{kind}, body...), oob, nil); err != nil {
		return fmt.Errorf("link: %w", err)
	}
	return nil
}

// SendParts sends a text of any length: parts of kind more, and the last one of
// kind last, with the descriptors.
func (l *Conn) SendParts(more, last byte, text []byte, by time.Time, fds ...int) error {
	for len(text) > MaxBodySize {
		if err := l.Send(more, text[:MaxBodySize], by); err != nil {
			return err
		}
		text = text[MaxBodySize:]
	}
	return l.Send(last, text, by, fds...)
}

// Receive waits for a packet. Its body holds until the next call.
func (l *Conn) Receive(by time.Time) (Packet, error) {
	l.conn.SetReadDeadline(by)
	n, oobn, flags, _, err := l.conn.ReadMsgUnix(l.buf, l.oob)
	if err != nil {
		return Packet{}, fmt.Errorf("link: %w", err)
	}
	var fds []int
	if oobn > 0 {
		msgs, err := syscall.ParseSocketControlMessage(l.oob[:oobn])
		if err != nil {
			return Packet{}, fmt.Errorf("link: %w", err)
		}
		for i := range msgs {
			got, err := syscall.ParseUnixRights(&msgs[i])
			if err == nil {
				fds = append(fds, got...)
			}
		}
	}
	if n == 0 || n > MaxBodySize+1 || flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		for _, fd := range fds {
			syscall.Close(fd)
		}
		if n == 0 {
			return Packet{}, errors.New("link: ended by the other side")
		}
		return Packet{}, errors.New("link: a packet was cut")
	}
	return Packet{l.buf[0], l.buf[1:n], fds}, nil
}

// CloseRead lets the other side say nothing more; what it has said can still be
// received.
func (l *Conn) CloseRead() error { return l.conn.CloseRead() }

// Close ends the link.
func (l *Conn) Close() error { return l.conn.Close() }
