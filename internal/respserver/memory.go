package respserver

import (
	"syscall"

	"troutusher/internal/resp"
)

const (
	// maxSpareReaders bounds how many unused readers are kept for reuse.
	maxSpareReaders = 64
	// smallCommandSize is the size in bytes below which the server still reads part of a command when
	// the memory limit is reached.
	smallCommandSize = 4 << 10
)

// takeReader returns a reader for a new command, a spare one if there is any.
func (s *Server) takeReader() *resp.Reader {
	n := len(s.spareReaders)
	if n == 0 {
		return new(resp.Reader)
	}
	reader := s.spareReaders[n-1]
	s.spareReaders = s.spareReaders[:n-1]
	return reader
}

// releaseReader takes a connection's reader back when its command has ended.
func (s *Server) releaseReader(c *conn) {
	c.reader.Reset()
	if len(s.spareReaders) < maxSpareReaders {
		s.spareReaders = append(s.spareReaders, c.reader)
	}
	c.reader = nil
	size := 0
	if c.mode == modeAwaitingReply {
		size = int(c.requestMemory)
	}
	s.accountMemory(c, size)
}

// releaseBuffers frees a connection's buffers if it needs none of them now.
func (s *Server) releaseBuffers(c *conn) {
	if b := c.buffers; b != nil && b.unprocessed == nil && b.unwritten == nil && b.pending == nil {
		c.buffers = nil
	}
	s.accountMemory(c, 0)
}

// accountMemory updates memoryUsed with the memory that a connection's commands hold now.
// requestSize is the memory of its pending request.
func (s *Server) accountMemory(c *conn, requestSize int) {
	size := requestSize + c.unprocessedBytes()
	if c.reader != nil {
		size += c.reader.BufferBytes()
	}
	s.memoryUsed += size - int(c.memory)
	c.memory = int32(size)
}

// readableBytes returns how many bytes of a connection's input may be read now; 0 if it has to wait for
// memory. At MemoryLimit and above, only a command that has arrived whole is read, or part of a small one;
// from twice the limit on, only the former. Input that is already in memory is always processed.
func (s *Server) readableBytes(c *conn) int {
	if s.memoryUsed < s.options.MemoryLimit || c.hasUnprocessed() {
		return readBufferSize
	}
	if c.reader == nil && c.readable {
		if size := s.peekCommand(c); size > 0 {
			return size
		}
	}
	if s.memoryUsed < 2*s.options.MemoryLimit && (c.reader == nil || c.reader.BufferBytes() < smallCommandSize) {
		return smallCommandSize
	}
	return 0
}

// peekCommand returns the size of the command at the start of a connection's input, without reading it, or
// 0 if the command is not complete. It returns the size of a buffer if the input has ended.
func (s *Server) peekCommand(c *conn) int {
	input := s.readBuffer[:]
	n, _, err := syscall.Recvfrom(int(c.fd), input, syscall.MSG_PEEK)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return 0
	case err != nil || n == 0:
		return len(input)
	}
	s.peekReader.Reset()
	size, complete, _ := s.peekReader.Feed(input[:n]) // an error completes the command, and is found again
	if !complete {
		return 0
	}
	return size
}

// waitForMemory queues a connection until there is memory to continue reading.
func (s *Server) waitForMemory(slot uint32, c *conn) {
	c.awaitingMemory = true
	if !c.inMemoryQueue {
		c.inMemoryQueue = true
		s.memoryWaiters = append(s.memoryWaiters, slot)
	}
}

// serveMemoryWaiters serves the connections that wait for memory, in order, while memory is below
// the limit.
func (s *Server) serveMemoryWaiters() {
	n := 0
	for ; n < len(s.memoryWaiters) && s.memoryUsed < s.options.MemoryLimit; n++ {
		slot := s.memoryWaiters[n]
		c := s.connAt(slot)
		c.inMemoryQueue = false
		if c.fd > 0 && c.awaitingMemory {
			c.awaitingMemory = false
			s.serveConn(slot, c)
			s.applyCloseActions()
		}
	}
	s.memoryWaiters = s.memoryWaiters[:copy(s.memoryWaiters, s.memoryWaiters[n:])]
}
