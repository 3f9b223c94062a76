package loadgen

import (
	"errors"
	"io"
	"net"

	"golang.org/x/sys/unix"
)

// endedAfterReading reports whether the relay closed the connection, with err, after it had read all that was
// sent on it. A close over unread bytes resets the connection, and bytes that arrive after a close are not
// acknowledged. So the relay has read everything if the connection ended without a reset and all bytes are
// acknowledged.
func (c *conn) endedAfterReading(err error) bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || !errors.Is(err, io.EOF) {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	acknowledged := uint64(0)
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acknowledged = info.Bytes_acked // counts the connection's SYN as one byte
		}
	})
	return err == nil && acknowledged > c.sent
}
