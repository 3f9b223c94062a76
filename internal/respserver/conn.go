package respserver

import (
	"syscall"

	"troutusher/internal/connlimit"
	"troutusher/internal/resp"
)

const connsPerPage = 256

// connMode is what the event loop waits for on a connection.
type connMode uint8

const (
	modeReading       connMode = iota // the next command, or the rest of one
	modeAwaitingReply                 // the reply to a pending request
	modeDelayingError                 // the end of the delay before an error reply
	modeWriting                       // room in the socket for the rest of a reply
	modeLingering                     // the client's close, after a last error
)

// conn is a client's connection. It is small, since most are idle; what only few
// have at a time is in connBuffers.
type conn struct {
	fd              int32  // -1 for none
	sequence        uint32 // of its last command
	mode            connMode
	errorCount      uint8
	readable        bool
	peerClosed      bool // the client has closed, or the connection broke
	inReadyQueue    bool
	awaitingMemory  bool
	draining        bool  // closed once it has no input
	closeAfterWrite bool  // the reply that is being written is the last
	memory          int32 // bytes of its commands
	requestMemory   int32 // of them, those of the pending request
	lingeredBytes   int32
	readyAt         connlimit.Time // when it became readable, or was free to be served after that
	receivedAt      connlimit.Time // when what is read now was received at the latest
	reader          *resp.Reader   // nil between commands
	buffers         *connBuffers   // nil if they are empty
}

// connBuffers is what a connection has only now and then.
type connBuffers struct {
	unprocessed []byte // read, and not parsed
	unwritten   []byte // the rest of a reply
	errorReply  string // delayed
	pending     Pending
}

func (c *conn) ensureBuffers() *connBuffers {
	if c.buffers == nil {
		c.buffers = new(connBuffers)
	}
	return c.buffers
}

func (c *conn) hasUnprocessed() bool { return c.buffers != nil && len(c.buffers.unprocessed) > 0 }

func (c *conn) dropUnprocessed() {
	if c.buffers != nil {
		c.buffers.unprocessed = nil
	}
}

// connAt returns the connection of a slot.
func (s *Server) connAt(slot uint32) *conn { return &s.connPages[slot/connsPerPage][slot%connsPerPage] }

// forEachConn calls a function with every open connection.
func (s *Server) forEachConn(do func(slot uint32, c *conn)) {
	for page := range s.connPages {
		for i := range s.connPages[page] {
			if c := &s.connPages[page][i]; c.fd > 0 {
				do(uint32(page*connsPerPage+i), c)
			}
		}
	}
}

// register puts a socket into a slot and watches it. It returns nil if that
// failed; the socket is closed then.
func (s *Server) register(slot uint32, fd int, now, receivedAt connlimit.Time) *conn {
	for int(slot) >= len(s.connPages)*connsPerPage {
		s.connPages = append(s.connPages, new([connsPerPage]conn))
	}
	c := s.connAt(slot)
	*c = conn{
		fd: int32(fd), sequence: c.sequence, inReadyQueue: c.inReadyQueue,
		readable: true, readyAt: now, receivedAt: receivedAt,
	}
	if err := s.poller.add(fd, int32(slot), eventsAll); err != nil {
		s.options.Logger.Warn("clients: watch", "err", err)
		s.closeConn(slot, c)
		return nil
	}
	return c
}

// markReady queues a connection for its turn.
func (s *Server) markReady(slot uint32, c *conn) {
	if !c.inReadyQueue {
		c.inReadyQueue = true
		s.readyQueue = append(s.readyQueue, slot)
	}
}

// closeConn closes a connection as it is.
func (s *Server) closeConn(slot uint32, c *conn) {
	closeFD(int(c.fd))
	c.fd = -1
	s.timers.Cancel(slot)
	if c.reader != nil {
		s.releaseReader(c)
	}
	s.memoryUsed -= int(c.memory)
	var pending Pending
	if c.buffers != nil {
		pending = c.buffers.pending
	}
	*c = conn{fd: -1, sequence: c.sequence, inReadyQueue: c.inReadyQueue}
	s.limiter.Remove(connlimit.SlotID(slot))
	if pending != nil {
		pending.ReplyDone(false)
	}
}

// closeFD closes a socket. An error changes nothing: the descriptor is free in
// any case, and what was written is with the system.
func closeFD(fd int) { _ = syscall.Close(fd) }
