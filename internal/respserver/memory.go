package respserver

import "troutusher/internal/resp"

const (
	// maxSpareReaders bounds the readers that are kept for the next command.
	maxSpareReaders = 64
	// smallCommandSize is up to where a command is read on when memory is short.
	smallCommandSize = 4 << 10
)

// takeReader returns a reader for a command.
func (s *Server) takeReader() *resp.Reader {
	n := len(s.spareReaders)
	if n == 0 {
		return new(resp.Reader)
	}
	reader := s.spareReaders[n-1]
	s.spareReaders = s.spareReaders[:n-1]
	return reader
}

// releaseReader takes back a connection's reader after a command.
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

// releaseBuffers frees what an idle connection does not need.
func (s *Server) releaseBuffers(c *conn) {
	if b := c.buffers; b != nil && b.unprocessed == nil && b.unwritten == nil && b.pending == nil {
		c.buffers = nil
	}
	s.accountMemory(c, 0)
}

// accountMemory accounts for the memory of a connection's commands; requestSize
// is that of its pending request.
func (s *Server) accountMemory(c *conn, requestSize int) {
	size := requestSize
	if c.reader != nil {
		size += c.reader.BufferBytes()
	}
	if c.buffers != nil {
		size += cap(c.buffers.unprocessed)
	}
	s.memoryUsed += size - int(c.memory)
	c.memory = int32(size)
}

// hasMemory reports whether there is memory to read on. When it is short, small
// commands still are read; at twice the limit nothing is.
func (s *Server) hasMemory(c *conn) bool {
	if s.memoryUsed < s.options.MemoryLimit || c.hasUnprocessed() {
		return true
	}
	return s.memoryUsed < 2*s.options.MemoryLimit && (c.reader == nil || c.reader.BufferBytes() < smallCommandSize)
}

// waitForMemory queues a connection until there is memory to read on.
func (s *Server) waitForMemory(slot uint32, c *conn) {
	if !c.awaitingMemory {
		c.awaitingMemory = true
		s.memoryWaiters = append(s.memoryWaiters, slot)
	}
}

// serveMemoryWaiters serves connections that wait for memory, in order, as long
// as there is some.
func (s *Server) serveMemoryWaiters() {
	n := 0
	for ; n < len(s.memoryWaiters) && s.memoryUsed < s.options.MemoryLimit; n++ {
		slot := s.memoryWaiters[n]
		c := s.connAt(slot)
		if c.fd > 0 && c.awaitingMemory {
			c.awaitingMemory = false
			s.serveConn(slot, c)
			s.applyCloseActions()
		}
	}
	s.memoryWaiters = s.memoryWaiters[:copy(s.memoryWaiters, s.memoryWaiters[n:])]
}
