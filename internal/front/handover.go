package front

import (
	"net"
	"os"
	"slices"
	"syscall"

	"troutusher/internal/places"
)

// A front can be frozen: nothing is accepted, read or closed any more, and what
// was read is answered. Then all it has can be shown to another process, which
// goes on at the very byte. Until Close the connections stay this front's too.

// Held is a client's connection, between commands or in the middle of one.
type Held struct {
	FD    int         `json:"-"`
	Ahead []byte      `json:"ahead,omitempty"` // read, and not answered
	Out   []byte      `json:"out,omitempty"`   // to be written first
	Place places.Kept `json:"place"`
}

// Freeze stops the front at the next command's end. quiet is called, in the
// front's goroutine, once no request waits for its answer.
func (f *Front) Freeze(quiet func()) {
	f.do(func() {
		f.frozen, f.quiet = true, quiet
		f.every(func(slot uint32, c *conn) {
			if c.mode == pausing { // it is owed an error, and no time is left for a pause
				f.timers.Cancel(slot)
				text := c.more.held
				c.more.held = ""
				f.write(slot, c, text)
			}
		})
	})
}

// Thaw has a frozen front go on.
func (f *Front) Thaw() { f.do(func() { f.frozen, f.quiet = false, nil }) }

// every shows every open connection.
func (f *Front) every(fn func(slot uint32, c *conn)) {
	for i := range f.pages {
		for j := range f.pages[i] {
			if c := &f.pages[i][j]; c.fd > 0 {
				fn(uint32(i*pageSize+j), c)
			}
		}
	}
}

// still tells the one who froze the front once nothing is open.
func (f *Front) still() {
	if f.quiet == nil {
		return
	}
	open := false
	f.every(func(_ uint32, c *conn) { open = open || c.mode == waiting })
	if !open {
		quiet := f.quiet
		f.quiet = nil
		quiet()
	}
}

// Export shows the listeners and connections of a frozen front; nil once it has
// ended. Connections that are being closed are not among them, nor those whose
// command is read past. Of the rest there are at most so many: first those with
// a command under way, then those that have asked for something.
func (f *Front) Export(most int) (listeners []int, conns []Held) {
	seen := make(chan struct{})
	f.do(func() {
		defer close(seen)
		for _, l := range f.listeners {
			if !l.isClosed {
				listeners = append(listeners, l.fd)
			}
		}
		now := f.now()
		f.every(func(slot uint32, c *conn) {
			if c.mode != reading && c.mode != writing || c.last || c.gone || f.book.Stage(places.ID(slot)) == places.Leaving {
				return
			}
			h := Held{FD: int(c.fd), Place: f.book.Keep(places.ID(slot), now)}
			if c.rd != nil {
				text, ok := c.rd.Pending()
				if !ok {
					return
				}
				h.Ahead = text
			}
			if c.more != nil {
				h.Ahead = append(h.Ahead, c.more.ahead...)
				if c.mode == writing {
					h.Out = c.more.out
				}
			}
			conns = append(conns, h)
		})
	})
	select {
	case <-seen:
		slices.SortStableFunc(conns, func(a, b Held) int { return a.rank() - b.rank() })
		return listeners, conns[:min(len(conns), max(most, 0))]
	case <-f.done:
		return nil, nil
	}
}

func (h *Held) rank() int {
	switch {
	case len(h.Ahead) > 0 || len(h.Out) > 0:
		return 0
	case h.Place.Asked > 0:
		return 1
	case h.Place.Known:
		return 2
	}
	return 3
}

// Adopt takes over connections of another process's front. It is called before
// Run, and owns the descriptors from then on. It returns how many it kept.
func (f *Front) Adopt(conns []Held) (kept int) {
	for i := range conns {
		h := &conns[i]
		if f.book.Used() >= f.o.Limits.Places || !h.Place.Known && f.book.Strangers() >= f.o.Limits.Strangers {
			syscall.Close(h.FD)
			continue
		}
		now := f.now()
		slot := uint32(f.book.Adopt(h.Place, now))
		for int(slot) >= len(f.pages)*pageSize {
			f.pages = append(f.pages, new([pageSize]conn))
		}
		c := f.conn(slot)
		*c = conn{fd: int32(h.FD), readable: true, edge: now, came: f.unread()}
		syscall.SetNonblock(h.FD, true)
		if err := f.poll.add(h.FD, int32(slot), evAll); err != nil {
			f.o.Log.Warn("clients: watch", "err", err)
			f.drop(slot, c)
			continue
		}
		kept++
		if len(h.Ahead) > 0 {
			c.extra().ahead = h.Ahead
			f.account(c, 0)
		}
		if len(h.Out) > 0 {
			c.mode = writing
			c.extra().out = h.Out
			f.timers.Set(slot, now+writeWait.Microseconds())
		}
		f.enqueue(slot, c)
	}
	return kept
}

// Listener makes a listener of a descriptor that another process passed on.
func Listener(fd int) (net.Listener, error) {
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	return net.FileListener(file)
}
