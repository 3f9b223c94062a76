package respserver

import (
	"net"
	"os"
	"slices"
	"syscall"

	"troutusher/internal/connlimit"
)

// A front can be frozen: nothing is accepted, read or closed any more, and what
// was read is answered. Then all it has can be shown to another process, which
// goes on at the very byte. Until Close the connections stay this front's too.

// ConnSnapshot is a client's connection, between commands or in the middle of one.
type ConnSnapshot struct {
	FD          int                `json:"-"`
	Unprocessed []byte             `json:"ahead,omitempty"` // read, and not answered
	Unwritten   []byte             `json:"out,omitempty"`   // to be written first
	Slot        connlimit.Snapshot `json:"place"`
}

// Pause stops the front at the next command's end. quiet is called, in the
// front's goroutine, once no request waits for its answer.
func (f *Server) Pause(quiet func()) {
	f.runOnLoop(func() {
		f.paused, f.onPaused = true, quiet
		f.forEachConn(func(slot uint32, c *conn) {
			if c.mode == modeDelayingError { // it is owed an error, and no time is left for a pause
				f.timers.Cancel(slot)
				text := c.buffers.errorReply
				c.buffers.errorReply = ""
				f.write(slot, c, text)
			}
		})
	})
}

// Resume has a frozen front go on.
func (f *Server) Resume() { f.runOnLoop(func() { f.paused, f.onPaused = false, nil }) }

// forEachConn shows every open connection.
func (f *Server) forEachConn(fn func(slot uint32, c *conn)) {
	for i := range f.connPages {
		for j := range f.connPages[i] {
			if c := &f.connPages[i][j]; c.fd > 0 {
				fn(uint32(i*pageSize+j), c)
			}
		}
	}
}

// checkPaused tells the one who froze the front once nothing is open.
func (f *Server) checkPaused() {
	if f.onPaused == nil {
		return
	}
	open := false
	f.forEachConn(func(_ uint32, c *conn) { open = open || c.mode == modeAwaitingReply })
	if !open {
		quiet := f.onPaused
		f.onPaused = nil
		quiet()
	}
}

// Export shows the listeners and connections of a frozen front; nil once it has
// ended. Connections that are being closed are not among them, nor those whose
// command is read past. Of the rest there are at most so many: first those with
// a command under way, then those that have asked for something.
func (f *Server) Export(most int) (listeners []int, conns []ConnSnapshot) {
	seen := make(chan struct{})
	f.runOnLoop(func() {
		defer close(seen)
		for _, l := range f.listeners {
			if !l.closed {
				listeners = append(listeners, l.fd)
			}
		}
		now := f.now()
		f.forEachConn(func(slot uint32, c *conn) {
			if c.mode != modeReading && c.mode != modeWriting || c.closeAfterWrite || c.peerClosed || f.limiter.State(connlimit.SlotID(slot)) == connlimit.StateDraining {
				return
			}
			h := ConnSnapshot{FD: int(c.fd), Slot: f.limiter.Snapshot(connlimit.SlotID(slot), now)}
			if c.reader != nil {
				text, ok := c.reader.Pending()
				if !ok {
					return
				}
				h.Unprocessed = text
			}
			if c.buffers != nil {
				h.Unprocessed = append(h.Unprocessed, c.buffers.unprocessed...)
				if c.mode == modeWriting {
					h.Unwritten = c.buffers.unwritten
				}
			}
			conns = append(conns, h)
		})
	})
	select {
	case <-seen:
		slices.SortStableFunc(conns, func(a, b ConnSnapshot) int { return a.handoverPriority() - b.handoverPriority() })
		return listeners, conns[:min(len(conns), max(most, 0))]
	case <-f.done:
		return nil, nil
	}
}

func (h *ConnSnapshot) handoverPriority() int {
	switch {
	case len(h.Unprocessed) > 0 || len(h.Unwritten) > 0:
		return 0
	case h.Slot.Requests > 0:
		return 1
	case h.Slot.Validated:
		return 2
	}
	return 3
}

// Import takes over connections of another process's front. It is called before
// Run, and owns the descriptors from then on. It returns how many it kept.
func (f *Server) Import(conns []ConnSnapshot) (kept int) {
	for i := range conns {
		h := &conns[i]
		if f.limiter.InUse() >= f.options.Limits.MaxConns || !h.Slot.Validated && f.limiter.Unvalidated() >= f.options.Limits.MaxUnvalidated {
			syscall.Close(h.FD)
			continue
		}
		now := f.now()
		slot := uint32(f.limiter.Restore(h.Slot, now))
		for int(slot) >= len(f.connPages)*pageSize {
			f.connPages = append(f.connPages, new([pageSize]conn))
		}
		c := f.connAt(slot)
		*c = conn{fd: int32(h.FD), readable: true, readyAt: now, receivedAt: f.unreadSince()}
		syscall.SetNonblock(h.FD, true)
		if err := f.poller.add(h.FD, int32(slot), eventsAll); err != nil {
			f.options.Logger.Warn("clients: watch", "err", err)
			f.closeConn(slot, c)
			continue
		}
		kept++
		if len(h.Unprocessed) > 0 {
			c.ensureBuffers().unprocessed = h.Unprocessed
			f.accountMemory(c, 0)
		}
		if len(h.Unwritten) > 0 {
			c.mode = modeWriting
			c.ensureBuffers().unwritten = h.Unwritten
			f.timers.Set(slot, now+writeTimeout.Microseconds())
		}
		f.markReady(slot, c)
	}
	return kept
}

// ListenerFromFD makes a listener of a descriptor that another process passed on.
func ListenerFromFD(fd int) (net.Listener, error) {
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	return net.FileListener(file)
}
