// Package link carries packets and descriptors between two processes of one relay,
// over a Unix socket in the state folder.
//
// It owns the socket's file and the bounds of a packet. It must never know what a
// packet means, and accepts none from another user's process.
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

// SocketName is the socket's file in the state folder.
const SocketName = "relay.sock"

// Bounds of one packet.
const (
	MaxBodySize    = 32 << 10 // bytes
	MaxDescriptors = 64
)

// maxPathLength is how long a socket's path may be to be used as it is. The system
// has room for 108 bytes.
const maxPathLength = 100

// Packet is one message.
type Packet struct {
	Kind byte
	Body []byte
	FDs  []int // descriptors, which the receiver has to close; close-on-exec
}

// Conn is one connection. One goroutine may send and another receive.
type Conn struct {
	conn *net.UnixConn
	buf  []byte // of the packet that is received
	oob  []byte // and of its descriptors
}

// Listener accepts connections.
type Listener struct{ ln *net.UnixListener }

// socketAddress is the socket's, by way of the folder's descriptor where the path is
// too long. done has to be called once it was used.
func socketAddress(dir string) (addr *net.UnixAddr, done func(), err error) {
	path := filepath.Join(dir, SocketName)
	done = func() {}
	if len(path) > maxPathLength {
		folder, err := os.Open(dir)
		if err != nil {
			return nil, nil, fmt.Errorf("link: %w", err)
		}
		path = filepath.Join("/proc/self/fd", strconv.Itoa(int(folder.Fd())), SocketName)
		done = func() { _ = folder.Close() }
	}
	return &net.UnixAddr{Name: path, Net: "unixpacket"}, done, nil
}

// Listen opens the socket of a folder, in place of that of any process before. The
// caller must own the folder's lock.
func Listen(dir string) (*Listener, error) {
	addr, done, err := socketAddress(dir)
	if err != nil {
		return nil, err
	}
	defer done()
	if err := os.Remove(filepath.Join(dir, SocketName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("link: %w", err)
	}
	ln, err := net.ListenUnix(addr.Net, addr)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	ln.SetUnlinkOnClose(false) // the file may be another process's by then
	return &Listener{ln}, nil
}

// Accept waits for the next connection of a process of our own user.
func (l *Listener) Accept() (*Conn, error) {
	for {
		conn, err := l.ln.AcceptUnix()
		if err != nil {
			return nil, fmt.Errorf("link: %w", err)
		}
		if sameUser(conn) {
			return newConn(conn), nil
		}
		_ = conn.Close()
	}
}

// Close ends the listening, also a call of Accept.
func (l *Listener) Close() error { return l.ln.Close() }

// Dial connects to the process that listens in a folder.
func Dial(dir string) (*Conn, error) {
	addr, done, err := socketAddress(dir)
	if err != nil {
		return nil, err
	}
	defer done()
	conn, err := net.DialUnix(addr.Net, nil, addr)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	if !sameUser(conn) {
		_ = conn.Close()
		return nil, errors.New("link: it is another user's")
	}
	return newConn(conn), nil
}

func newConn(conn *net.UnixConn) *Conn {
	return &Conn{
		conn: conn,
		buf:  make([]byte, MaxBodySize+2), // one more than the longest packet, to see that one was cut
		oob:  make([]byte, syscall.CmsgSpace(4*MaxDescriptors)),
	}
}

// sameUser reports whether the other side is a process of our own user.
func sameUser(conn *net.UnixConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	same := false
	err = raw.Control(func(fd uintptr) {
		peer, err := syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
		same = err == nil && int(peer.Uid) == os.Getuid()
	})
	return err == nil && same
}

// Send sends one packet. The descriptors stay the sender's, too.
func (c *Conn) Send(kind byte, body []byte, by time.Time, fds ...int) error {
	if len(body) > MaxBodySize || len(fds) > MaxDescriptors {
		return fmt.Errorf("link: a packet of %d bytes and %d descriptors", len(body), len(fds))
	}
	if err := c.conn.SetWriteDeadline(by); err != nil {
		return fmt.Errorf("link: %w", err)
	}
	var oob []byte
	if len(fds) > 0 {
		oob = syscall.UnixRights(fds...)
	}
	if _, _, err := c.conn.WriteMsgUnix(append([]byte{kind}, body...), oob, nil); err != nil {
		return fmt.Errorf("link: %w", err)
	}
	return nil
}

// SendParts sends a body of any length: packets of kind part, and the last one of
// kind last, with the descriptors.
func (c *Conn) SendParts(part, last byte, body []byte, by time.Time, fds ...int) error {
	for len(body) > MaxBodySize {
		if err := c.Send(part, body[:MaxBodySize], by); err != nil {
			return err
		}
		body = body[MaxBodySize:]
	}
	return c.Send(last, body, by, fds...)
}

// Receive waits for a packet. Its body is valid until the next call.
func (c *Conn) Receive(by time.Time) (Packet, error) {
	if err := c.conn.SetReadDeadline(by); err != nil {
		return Packet{}, fmt.Errorf("link: %w", err)
	}
	n, oobn, flags, _, err := c.conn.ReadMsgUnix(c.buf, c.oob)
	if err != nil {
		return Packet{}, fmt.Errorf("link: %w", err)
	}
	fds, err := descriptors(c.oob[:oobn])
	if err != nil {
		return Packet{}, err
	}
	if err := checkWhole(n, flags); err != nil {
		for _, fd := range fds {
			_ = syscall.Close(fd) // nothing was written to it
		}
		return Packet{}, err
	}
	return Packet{Kind: c.buf[0], Body: c.buf[1:n], FDs: fds}, nil
}

// descriptors are those in a packet's control messages.
func descriptors(oob []byte) (fds []int, err error) {
	if len(oob) == 0 {
		return nil, nil
	}
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	for i := range messages {
		rights, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			continue // not descriptors
		}
		fds = append(fds, rights...)
	}
	return fds, nil
}

// checkWhole tells an end, and a packet that is over its bounds, from a whole one.
func checkWhole(size, flags int) error {
	switch {
	case size == 0:
		return errors.New("link: ended by the other side")
	case size > MaxBodySize+1 || flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0:
		return errors.New("link: a packet was cut")
	}
	return nil
}

// CloseRead lets the other side send nothing more; what it has sent can still be
// received.
func (c *Conn) CloseRead() error { return c.conn.CloseRead() }

// Close ends the connection. What was sent can still be received.
func (c *Conn) Close() error { return c.conn.Close() }
