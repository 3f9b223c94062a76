package respserver

import (
	"bytes"
	"syscall"

	"troutusher/internal/connlimit"
	"troutusher/internal/resp"
)

const connsPerPage = 256

// connMode says what the event loop waits for on a connection.
type connMode uint8

const (
	modeReading       connMode = iota // the next command, or the rest of one
	modeAwaitingReply                 // the reply to a pending request
	modeDelayingError                 // the end of the delay before an error reply
	modeWriting                       // room in the socket for the rest of a reply
	modeLingering                     // the client's close, after the server's last reply; input is discarded
)

// conn is a client's connection. Most connections are idle, so conn is small: state that only a few
// connections need at a time is in connBuffers.
type conn struct {
	fd              int32  // 0 or -1 when the slot is empty
	sequence        uint32 // number of the slot's last command; a new connection in the slot continues the count
	mode            connMode
	errorCount      uint8 // error replies so far
	readable        bool  // unread input may be waiting in the socket
	peerClosed      bool  // the client has closed, or the connection broke
	inReadyQueue    bool
	awaitingMemory  bool           // waits for memory
	inMemoryQueue   bool           // its slot is in Server.memoryWaiters
	draining        bool           // the limiter has asked for its close
	closeAfterWrite bool           // close after the current reply
	memory          int32          // bytes held for its commands
	requestMemory   int32          // the part of memory that the pending request holds
	lingeredBytes   int32          // bytes discarded while lingering
	readyAt         connlimit.Time // since when it has waited for its turn: readable, and no reply in progress
	receivedAt      connlimit.Time // when its unread input was first noticed
	reader          *resp.Reader   // nil between commands
	buffers         *connBuffers   // nil when it needs none
}

// connBuffers holds the state of a connection that most connections do not need.
type connBuffers struct {
	unprocessed []byte  // input that was read and not parsed yet
	inputBytes  int     // size of the buffer that holds unprocessed, also of its part that was parsed
	unwritten   []byte  // the rest of a reply
	errorReply  string  // an error reply whose delay is running
	pending     Pending // the request that awaits its reply, or nil
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
		c.buffers.unprocessed, c.buffers.inputBytes = nil, 0
	}
}

// keepUnprocessed keeps input for later. If it is the connection's own memory, it is the rest of the
// unprocessed input that was taken before; otherwise it is copied.
func (c *conn) keepUnprocessed(input []byte, owned bool) {
	buffers := c.ensureBuffers()
	if !owned {
		input = bytes.Clone(input)
		buffers.inputBytes = cap(input)
	}
	buffers.unprocessed = input
}

// takeUnprocessed returns the input that was kept.
func (c *conn) takeUnprocessed() []byte {
	input := c.buffers.unprocessed
	c.buffers.unprocessed = nil
	return input
}

// unprocessedBytes returns the memory of the input that was kept. What was parsed of a buffer is not freed
// before the rest of it is.
func (c *conn) unprocessedBytes() int {
	if !c.hasUnprocessed() {
		return 0
	}
	return c.buffers.inputBytes
}

// connAt returns the connection in a slot.
func (s *Server) connAt(slot uint32) *conn { return &s.connPages[slot/connsPerPage][slot%connsPerPage] }

// forEachConn calls a function for every open connection.
func (s *Server) forEachConn(do func(slot uint32, c *conn)) {
	for page := range s.connPages {
		for i := range s.connPages[page] {
			if c := &s.connPages[page][i]; c.fd > 0 {
				do(uint32(page*connsPerPage+i), c)
			}
		}
	}
}

// register puts a socket into a slot and adds it to the poller. If that fails it closes the socket
// and returns nil.
func (s *Server) register(slot uint32, fd int, now, receivedAt connlimit.Time) *conn {
	for int(slot) >= len(s.connPages)*connsPerPage {
		s.connPages = append(s.connPages, new([connsPerPage]conn))
	}
	c := s.connAt(slot)
	*c = conn{
		fd: int32(fd), sequence: c.sequence, inReadyQueue: c.inReadyQueue, inMemoryQueue: c.inMemoryQueue,
		readable: true, readyAt: now, receivedAt: receivedAt,
	}
	if err := s.poller.add(fd, int32(slot), eventsAll); err != nil {
		s.options.Logger.Warn("client connection could not be watched for events; it is closed", "err", err)
		s.closeConn(slot, c)
		return nil
	}
	return c
}

// markReady adds a connection to the ready queue, unless it is in it.
func (s *Server) markReady(slot uint32, c *conn) {
	if !c.inReadyQueue {
		c.inReadyQueue = true
		s.readyQueue = append(s.readyQueue, slot)
	}
}

// closeConn closes a connection at once, whatever it is doing, and frees its slot.
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
	*c = conn{fd: -1, sequence: c.sequence, inReadyQueue: c.inReadyQueue, inMemoryQueue: c.inMemoryQueue}
	s.limiter.Remove(connlimit.SlotID(slot))
	if pending != nil {
		pending.ReplyDone(false)
	}
}

// closeFD closes a socket. An error can be ignored: the descriptor is released in any case, and the
// kernel has already taken over all data that was written.
func closeFD(fd int) { _ = syscall.Close(fd) }
