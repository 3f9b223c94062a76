package respserver

import (
	"strconv"
	"strings"
	"syscall"
	"time"

	"troutusher/internal/connlimit"
)

const (
	// writeTimeout is how long a client may take to read a reply.
	writeTimeout = 2 * time.Second
	// Error replies are delayed, and their number on one connection is bounded, so that a client that
	// repeats an invalid command in a loop cannot use up the processor.
	errorReplyDelay  = 100 * time.Millisecond
	maxErrorsPerConn = 10
	// The server lingers before it closes a connection after a reply, and discards what the client
	// still sends. Closing at once would reset the connection and lose the reply.
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 256 << 10
	// maxLingerReads bounds how many reads of a lingering connection are done in a row.
	maxLingerReads = 16

	errorPrefix = "-ERR"
)

// BusyReply returns the reply that rejects a request. It includes the time after which the client
// should retry, unless retryAfterMillis is zero or less.
func BusyReply(retryAfterMillis int64) string {
	if retryAfterMillis <= 0 {
		return "-BUSY\r\n"
	}
	return "-BUSY " + strconv.FormatInt(retryAfterMillis, 10) + "\r\n"
}

// ErrorReply returns the reply to an invalid command. It replaces all characters except printable
// ASCII, since an error reply is a single line.
func ErrorReply(err error) string {
	text := strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, err.Error())
	return errorPrefix + " " + text + "\r\n"
}

// deliverReply writes the reply to a pending request, unless the client has left.
func (s *Server) deliverReply(t *task) {
	c := s.connAt(t.slot)
	if c.fd <= 0 || c.sequence != t.sequence || c.mode != modeAwaitingReply {
		return
	}
	c.requestMemory = 0
	s.accountMemory(c, 0)
	s.reply(t.slot, c, t.reply)
}

// reply writes a reply, or delays it if it is an error reply.
func (s *Server) reply(slot uint32, c *conn, text string) {
	if strings.HasPrefix(text, errorPrefix) {
		s.delayError(slot, c, text, false)
		return
	}
	s.write(slot, c, text)
}

// replyError replies to an invalid command. fatal means that the connection is closed after the reply,
// because it is not known where the next command begins.
func (s *Server) replyError(slot uint32, c *conn, err error, fatal bool) {
	s.delayError(slot, c, ErrorReply(err), fatal)
}

// delayError starts the delay of an error reply.
func (s *Server) delayError(slot uint32, c *conn, text string, fatal bool) {
	c.errorCount++
	c.closeAfterWrite = c.closeAfterWrite || fatal || c.errorCount >= maxErrorsPerConn
	c.mode = modeDelayingError
	c.ensureBuffers().errorReply = text
	s.timers.Set(slot, s.now()+errorReplyDelay.Microseconds())
}

// writeDelayedError writes an error reply at the end of its delay.
func (s *Server) writeDelayedError(slot uint32, c *conn) {
	text := c.buffers.errorReply
	c.buffers.errorReply = ""
	s.write(slot, c, text)
}

// write writes a reply. What the socket does not take at once is kept for flush.
func (s *Server) write(slot uint32, c *conn, text string) {
	n, err := syscall.Write(int(c.fd), []byte(text))
	switch {
	case n == len(text):
		s.replyWritten(slot, c)
	case err != nil && err != syscall.EAGAIN && err != syscall.EINTR:
		s.closeConn(slot, c)
	default:
		c.mode = modeWriting
		c.ensureBuffers().unwritten = []byte(text[max(n, 0):])
		s.timers.Set(slot, s.now()+writeTimeout.Microseconds())
		if err == syscall.EINTR {
			s.markReady(slot, c)
		}
	}
}

// flush writes more of a reply that did not fit into the socket before.
func (s *Server) flush(slot uint32, c *conn) {
	n, err := syscall.Write(int(c.fd), c.buffers.unwritten)
	if n > 0 {
		c.buffers.unwritten = c.buffers.unwritten[n:]
	}
	switch {
	case len(c.buffers.unwritten) == 0:
		c.buffers.unwritten = nil
		s.timers.Cancel(slot)
		s.replyWritten(slot, c)
	case err != nil && err != syscall.EAGAIN && err != syscall.EINTR:
		s.closeConn(slot, c)
	}
}

// replyWritten continues after a reply: with the next command, or with closing the connection.
func (s *Server) replyWritten(slot uint32, c *conn) {
	if c.buffers != nil && c.buffers.pending != nil {
		pending := c.buffers.pending
		c.buffers.pending = nil
		pending.ReplyDone(true)
	}
	if c.closeAfterWrite {
		s.startLinger(slot, c)
		return
	}
	c.mode, c.readyAt = modeReading, s.now() // a command that was sent ahead waits for its turn from now on
	s.releaseBuffers(c)
	s.limiter.ReplyWritten(connlimit.SlotID(slot), c.readyAt)
	if c.buffers != nil || c.readable {
		s.markReady(slot, c)
	}
}

// startLinger closes the server's side of a connection and waits for the client to close its side.
func (s *Server) startLinger(slot uint32, c *conn) {
	c.mode, c.lingeredBytes = modeLingering, 0
	c.dropUnprocessed()
	_ = syscall.Shutdown(int(c.fd), syscall.SHUT_WR) // fails if the client has closed; the next read shows that
	s.timers.Set(slot, s.now()+lingerTimeout.Microseconds())
	s.markReady(slot, c)
}

// linger discards what a client still sends.
func (s *Server) linger(slot uint32, c *conn) {
	for range maxLingerReads {
		n, err := syscall.Read(int(c.fd), s.readBuffer[:])
		switch {
		case err == syscall.EAGAIN:
			c.readable = false
			return
		case err == syscall.EINTR:
			continue
		case err != nil || n == 0:
			s.closeConn(slot, c)
			return
		}
		if c.lingeredBytes += int32(n); c.lingeredBytes > maxLingerBytes {
			s.closeConn(slot, c)
			return
		}
	}
	s.markReady(slot, c)
}
