package respserver

import (
	"errors"
	"syscall"
	"time"

	"troutusher/internal/connlimit"
	"troutusher/internal/resp"
)

const (
	readBufferSize = 16 << 10 // most bytes that one read returns
	// maxCommandsPerTurn bounds how many commands of one connection are served in a row.
	maxCommandsPerTurn = 16
	// batchTime is how long ready connections are served in one turn of the event loop.
	// lateBatchTime applies instead if the first of them has waited longer than MaxQueueWait.
	batchTime     = 5 * time.Millisecond
	lateBatchTime = 20 * time.Millisecond
	// connsPerClockRead is how many connections are served between two checks of the clock.
	connsPerClockRead = 16
	// serviceTimeWeight is the weight of one batch in the smoothed service time.
	serviceTimeWeight = 1.0 / 8
	// clientReplyTimeout is how long a client waits for a reply. A request that has waited longer in a
	// queue counts as having waited this long: the difference does not matter, since its client has
	// given up.
	clientReplyTimeout = 400 * time.Millisecond
)

// serveReady serves the connections in the ready queue, in order, for at most batchTime. If the first
// of them has already waited too long the bound is lateBatchTime: rejecting late requests is cheap,
// and their clients should learn of it soon.
func (s *Server) serveReady() {
	if len(s.readyQueue) == 0 {
		return
	}
	startedAt := s.now()
	limit := batchTime
	if startedAt-s.connAt(s.readyQueue[0]).readyAt > s.options.Limits.MaxQueueWait {
		limit = lateBatchTime
	}
	served := 0
	for served < len(s.readyQueue) && (served%connsPerClockRead != 0 || s.now()-startedAt < limit.Microseconds()) {
		slot := s.readyQueue[served]
		served++
		c := s.connAt(slot)
		c.inReadyQueue = false
		if c.fd > 0 {
			s.serveConn(slot, c)
			s.applyCloseActions()
		}
	}
	rest := copy(s.readyQueue, s.readyQueue[served:])
	s.readyQueue = s.readyQueue[:rest]
	// The service time includes the other work of the event loop since the last batch, because it is
	// used to predict how long a connection waits in the queue.
	if served >= connsPerClockRead {
		serviceTime := float64(s.now()-s.lastBatchAt) / float64(served)
		s.serviceTimeMicros += (serviceTime - s.serviceTimeMicros) * serviceTimeWeight
	}
	s.lastBatchAt = s.now()
}

// serveConn reads, writes or closes a connection as its mode requires, for at most
// maxCommandsPerTurn commands.
func (s *Server) serveConn(slot uint32, c *conn) {
	for range maxCommandsPerTurn {
		switch c.mode {
		case modeAwaitingReply:
			if c.peerClosed { // the client has left before its reply
				s.closeConn(slot, c)
			}
			return
		case modeWriting:
			if c.peerClosed {
				s.closeConn(slot, c)
			} else {
				s.flush(slot, c)
			}
			if c.fd <= 0 || c.mode == modeWriting {
				return
			}
		case modeDelayingError:
			return
		case modeLingering:
			s.linger(slot, c)
			return
		default:
			size := s.readableBytes(c)
			if size == 0 {
				s.waitForMemory(slot, c)
				return
			}
			c.awaitingMemory = false
			if !s.readUpTo(slot, c, size) {
				return
			}
		}
	}
	s.markReady(slot, c)
}

// readConn reads input up to the end of one command at most, without regard to the memory limit. It
// returns false if there is no input or the connection was closed.
func (s *Server) readConn(slot uint32, c *conn) bool { return s.readUpTo(slot, c, readBufferSize) }

// readUpTo reads like readConn, but at most limit bytes from the socket.
func (s *Server) readUpTo(slot uint32, c *conn, limit int) bool {
	if c.hasUnprocessed() {
		s.parse(slot, c, c.takeUnprocessed(), true)
		return c.fd > 0
	}
	if !c.readable {
		return false
	}
	input := s.readBuffer[:limit]
	n, err := syscall.Read(int(c.fd), input)
	for err == syscall.EINTR {
		n, err = syscall.Read(int(c.fd), input)
	}
	switch {
	case err == syscall.EAGAIN:
		c.readable = false
		return false
	case err != nil || n == 0:
		s.closeConn(slot, c)
		return false
	}
	s.parse(slot, c, input[:n], false)
	return c.fd > 0
}

// parse parses input up to the end of one command at most and keeps the rest for later. owned means
// that input is the connection's own memory, so that the rest need not be copied.
func (s *Server) parse(slot uint32, c *conn, input []byte, owned bool) {
	now := s.now()
	if c.reader == nil {
		s.limiter.CommandStarted(connlimit.SlotID(slot), now)
		c.reader = s.takeReader()
	} else {
		s.limiter.CommandContinued(connlimit.SlotID(slot), now)
	}
	n, complete, err := c.reader.Feed(input)
	inSync := err == nil || errors.Is(err, resp.ErrTooLong) // it is known where the next command begins
	if rest := input[n:]; len(rest) > 0 && inSync {
		c.keepUnprocessed(rest, owned)
	}
	if !complete {
		s.accountMemory(c, 0)
		return
	}
	if err != nil {
		s.limiter.CommandRead(connlimit.SlotID(slot), connlimit.CommandInvalid, now)
		s.replyError(slot, c, err, !inSync)
	} else {
		s.dispatch(slot, c, now)
	}
	if c.fd > 0 && c.reader != nil {
		s.releaseReader(c)
	}
}

// dispatch passes a complete command to the handler and acts on its reply.
func (s *Server) dispatch(slot uint32, c *conn, now connlimit.Time) {
	c.sequence++
	receivedAt := max(c.receivedAt, now-clientReplyTimeout.Microseconds())
	retryAfter, shed := s.options.Limits.ShedRequest(now-c.readyAt, len(s.readyQueue), int64(s.serviceTimeMicros))
	reply := s.options.Handler(&Command{
		Args:       c.reader.Args(),
		ReceivedAt: s.timeOf(receivedAt),
		QueueDelay: time.Duration(now-receivedAt) * time.Microsecond,
		ID:         RequestID{slot, c.sequence},
		Shed:       shed,
		RetryAfter: time.Duration(retryAfter) * time.Microsecond,
	})
	s.limiter.CommandRead(connlimit.SlotID(slot), reply.Kind, now)
	if reply.Pending == nil {
		s.reply(slot, c, reply.Text)
		return
	}
	c.mode, c.requestMemory = modeAwaitingReply, int32(reply.PendingBytes)
	c.ensureBuffers().pending = reply.Pending
	if c.peerClosed {
		s.closeConn(slot, c)
	}
}
