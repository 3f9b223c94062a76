// Package link sends packets and file descriptors between two processes of one relay
// over a Unix socket in the state folder.
//
// It owns the socket file and the size limits of a packet. It does not interpret
// packets, and accepts no connection from another user's process.
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

// SocketName is the name of the socket file in the state folder.
const SocketName = "relay.sock"

// Limits of one packet.
const (
	MaxBodySize    = 32 << 10 // bytes
	MaxDescriptors = 64
)

// maxPathLength is the length of the longest path, in bytes, that is used as the
// socket's address directly. The kernel accepts up to 108 bytes.
const maxPathLength = 100

// Packet is one packet as received.
type Packet struct {
	Kind byte
	Body []byte
	FDs  []int // file descriptors, close-on-exec; the receiver has to close them
}

// Conn is a connection to the other process. One goroutine may send while another
// receives.
type Conn struct {
	conn *net.UnixConn
	buf  []byte // holds the received packet
	oob  []byte // holds the control messages with its descriptors
}

// Listener accepts connections of other processes.
type Listener struct{ ln *net.UnixListener }

// socketAddress returns the address of the socket in a folder. If the path is too long
// the address refers to an open descriptor of the folder. done closes the descriptor
// and must be called once the address was used.
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

// Listen creates the socket in a folder and replaces that of an earlier process. The
// caller must hold the folder's lock.
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
	ln.SetUnlinkOnClose(false) // another process may have replaced the file by then
	return &Listener{ln}, nil
}

// Accept waits for the next connection from a process of the same user. It closes
// connections from other users.
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

// Close closes the listener. A blocked Accept returns an error.
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
		return nil, errors.New("link: the listening process belongs to another user")
	}
	return newConn(conn), nil
}

func newConn(conn *net.UnixConn) *Conn {
	return &Conn{
		conn: conn,
		buf:  make([]byte, MaxBodySize+2), // one byte more than the longest packet, to detect longer ones
		oob:  make([]byte, syscall.CmsgSpace(4*MaxDescriptors)),
	}
}

// sameUser reports whether the process at the other end has the same user ID.
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

// Send sends one packet. The descriptors stay open in this process too.
func (c *Conn) Send(kind byte, body []byte, deadline time.Time, fds ...int) error {
	if len(body) > MaxBodySize || len(fds) > MaxDescriptors {
		return fmt.Errorf("link: packet too large: %d bytes and %d descriptors", len(body), len(fds))
	}
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
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

// SendParts sends a body of any length as several packets. The last one has kind last
// and the descriptors; the packets before it have kind part.
func (c *Conn) SendParts(part, last byte, body []byte, deadline time.Time, fds ...int) error {
	for len(body) > MaxBodySize {
		if err := c.Send(part, body[:MaxBodySize], deadline); err != nil {
			return err
		}
		body = body[MaxBodySize:]
	}
	return c.Send(last, body, deadline, fds...)
}

// Receive waits for a packet. The packet's body is valid until the next call.
func (c *Conn) Receive(deadline time.Time) (Packet, error) {
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return Packet{}, fmt.Errorf("link: %w", err)
	}
	n, oobn, flags, _, err := c.conn.ReadMsgUnix(c.buf, c.oob)
	if err != nil {
		return Packet{}, fmt.Errorf("link: %w", err)
	}
	fds, err := parseDescriptors(c.oob[:oobn])
	if err != nil {
		return Packet{}, err
	}
	if err := checkComplete(n, flags); err != nil {
		for _, fd := range fds {
			_ = syscall.Close(fd) // an error loses no data, since nothing was written
		}
		return Packet{}, err
	}
	return Packet{Kind: c.buf[0], Body: c.buf[1:n], FDs: fds}, nil
}

// parseDescriptors returns the file descriptors in a packet's control messages.
func parseDescriptors(oob []byte) (fds []int, err error) {
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
			continue // a control message of another type
		}
		fds = append(fds, rights...)
	}
	return fds, nil
}

// checkComplete returns an error if the other side has closed the connection, or if
// the kernel truncated the packet because it exceeds the limits.
func checkComplete(size, flags int) error {
	switch {
	case size == 0:
		return errors.New("link: connection closed by the other process")
	case size > MaxBodySize+1 || flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0:
		return errors.New("link: received packet exceeds the size limits and was truncated")
	}
	return nil
}

// CloseRead makes the other side's sends fail from now on. Packets that it sent before
// can still be received.
func (c *Conn) CloseRead() error { return c.conn.CloseRead() }

// Close closes the connection. The other side can still receive the packets that were
// sent before.
func (c *Conn) Close() error { return c.conn.Close() }
