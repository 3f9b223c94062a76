// Package front serves clients that speak RESP2: it accepts, reads commands,
// hands each to a handler and writes the answer, for any number of connections
// in one goroutine. An idle connection costs its descriptor, its line in the
// account of places and a small struct: no goroutine, no buffer, no timer.
//
// It owns the clients' sockets. Who holds a place, and until when, package
// places decides; what a command is, package resp; what it means and what is
// answered, the handler. It must never close a connection whose request was
// read and not answered, but where that request's client has left.
package front

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"troutusher/internal/places"
	"troutusher/internal/resp"
	"troutusher/internal/wheel"
)

const (
	readMost   = 16 << 10 // bytes in one read
	turnMost   = 16       // commands of one connection in a row
	acceptMost = 64       // connections accepted in a row
	timersMost = 512      // looked at in a row
	takeMost   = 512      // times that events are taken in a row
	rowMost    = 5 * time.Millisecond
	rowLate    = 20 * time.Millisecond
	spareMost  = 64      // readers kept for the next half command
	smallMost  = 4 << 10 // a half command up to here is read on where memory is short
	pageSize   = 256
	writeWait  = 2 * time.Second
	// Faults are answered a little later than they could be, and only so many on
	// a connection: one that sends the same again and again must not eat the core.
	faultPause = 100 * time.Millisecond
	faultsMost = 10
	// An error must reach a client that is still sending: closing at once would
	// reset the connection and take the error with it.
	lingerWait = 200 * time.Millisecond
	lingerMost = 256 << 10
	tick       = 10 * time.Millisecond
	frozenWait = 20 * time.Millisecond
	// What a client sends as it connects comes a moment later; one that is let in as
	// the front ends has that moment.
	endingWait = 50 * time.Millisecond
	// answerWait is how long a client waits for its answer. A request that has
	// lain unread for longer is nobody's any more.
	answerWait = 400 * time.Millisecond
	backlog    = 4096 // connections that the system may keep for a listener; it takes its own bound where that is less
	busyMemory = 500  // ms after which one may come again whose command there was no memory for
)

var errUnfinished = errors.New("command not finished in time")

// Pending is a request whose answer comes later.
type Pending interface {
	// Said is called once, by the front's goroutine: the answer was written, or
	// its client has left before.
	Said(ok bool)
}

// Ticket names a request that Answer is told the answer of.
type Ticket struct{ slot, turn uint32 }

// Asked is a command.
type Asked struct {
	Args [][]byte // hold until the handler returns
	// At is when the command came whole, or before: what lay in a queue that
	// nobody looked at counts as having come when that queue was last seen empty.
	// A client's time runs from when it sent, and not from when it was read.
	At     time.Time
	Waited time.Duration // how long that is ago
	Ticket Ticket
	// Refuse is set where the command has waited for its turn for so long that
	// its answer would come too late; ComeBack is when to come again.
	Refuse   bool
	ComeBack time.Duration
}

// Reply is what a handler makes of a command: a text to answer at once, or a
// request that is answered later. A text that begins with -ERR is a fault.
type Reply struct {
	Text  string
	What  places.What
	Later Pending
	Size  int // bytes that Later keeps until it is answered
}

// Options are what a front needs.
type Options struct {
	Limits places.Limits
	Memory int // bytes for commands that are being read or wait for their answer
	Log    *slog.Logger
	// Listeners are used where they have an address that is wanted; the others
	// are closed.
	Listeners []net.Listener
	// Unread is since when Listeners, and connections that are adopted, may have
	// stood with nobody to read them; zero where that is not known.
	Unread time.Time
	// Shut has New take the addresses, and nobody come in until Open: the system
	// takes connections, and what is sent on them, as soon as it is let, while
	// nobody here can answer.
	Shut   bool
	Handle func(*Asked) Reply // in the front's goroutine: it must not wait
}

type mode uint8

const (
	reading   mode = iota // for the next command, or in one
	waiting               // for the answer
	pausing               // before a fault is told
	writing               // the answer does not fit into the socket yet
	lingering             // after a last error
)

type conn struct {
	fd       int32 // -1 for none
	turn     uint32
	mode     mode
	faults   uint8
	readable bool
	gone     bool // its client has closed, or the connection broke
	queued   bool
	starved  bool  // waits for memory
	leaving  bool  // is closed once nothing has come
	last     bool  // what is written now is the last
	mem      int32 // bytes of its commands
	kept     int32 // of them, those of the request that waits
	lingered int32
	edge     int64 // when it became readable, or was free to be served after that
	came     int64 // when what is read now had come at the latest
	rd       *resp.Reader
	more     *extra
}

// extra is what few connections have at a time.
type extra struct {
	ahead []byte // read, and not fed
	out   []byte // not written
	held  string // a fault to be told
	open  Pending
}

type answer struct {
	Ticket
	text string
	do   func()
}

// Front is one front.
type Front struct {
	o         Options
	accept    func(listener int) (int, error)
	began     time.Time
	book      *places.Book
	poll      *poller
	timers    *wheel.Wheel // the front's own: pauses, writes, lingering
	due       []uint32
	pages     []*[pageSize]conn
	queue     []uint32 // connections with something to do
	starving  []uint32
	spare     []*resp.Reader
	scratch   [readMost]byte
	mem       int
	each      float64 // µs from one connection's turn to the next one's, smoothed
	lastRow   int64
	listeners []*listener
	shut      []shut
	retry     int64 // when to knock again; 0 for not
	stopped   bool
	frozen    bool   // nothing is accepted, read or closed
	quiet     func() // told once a frozen front owes no answer
	ending    func() // told once a front that is to end owes none
	failed    bool   // accept failed, and that was told

	mu      sync.Mutex
	answers []answer
	woken   atomic.Bool
	done    chan struct{}
}

type listener struct {
	net.Listener
	fd       int
	queue    int  // an epoll set that tells whether somebody is in its queue
	waiting  bool // somebody may be in its queue
	isClosed bool
	since    int64 // when its queue was seen to have somebody, after it was empty
}

// shut is an address that is taken, with nobody let in yet.
type shut struct {
	fd   int
	slot int32
	addr string
}

// asked reports whether somebody is in the queue, and leaves him there.
func (l *listener) asked() bool {
	var ev [1]syscall.EpollEvent
	n, _ := syscall.EpollWait(l.queue, ev[:], 0)
	return n > 0
}

// Close ends the listener; again is as well.
func (l *listener) Close() error {
	if l == nil || l.isClosed {
		return nil
	}
	l.isClosed, l.waiting = true, false
	syscall.Close(l.queue)
	return l.Listener.Close()
}

// New makes a front that listens on all of the addresses.
func New(o Options, addrs ...string) (*Front, error) {
	f := &Front{o: o, accept: accept, began: time.Now(), done: make(chan struct{})}
	var err error
	if f.book, err = places.New(o.Limits, 0); err != nil {
		return nil, err
	}
	f.timers = wheel.New(tick.Microseconds(), 0)
	if f.poll, err = newPoller(); err != nil {
		return nil, fmt.Errorf("clients: %w", err)
	}
	handed := o.Listeners
	for i, addr := range addrs {
		listen := func() error { return f.listen(int32(-1-i), addr) }
		if o.Shut {
			listen = func() error { return f.bind(int32(-1-i), addr) }
		}
		if at := slices.IndexFunc(handed, func(ln net.Listener) bool { return sameAddr(ln, addr) }); at >= 0 {
			ln := handed[at]
			handed = slices.Delete(handed, at, at+1)
			listen = func() error { return f.adoptListener(int32(-1-i), ln, f.unread()) }
		}
		if err := listen(); err != nil {
			for _, l := range f.listeners {
				l.Close()
			}
			f.unbind()
			f.poll.close()
			return nil, err
		}
	}
	for _, ln := range handed { // of addresses that are no longer wanted
		ln.Close()
	}
	return f, nil
}

// unread is since when what is taken over may have stood unread.
func (f *Front) unread() int64 {
	if f.o.Unread.IsZero() {
		return f.now() - answerWait.Microseconds()
	}
	return f.o.Unread.Sub(f.began).Microseconds()
}

// sameAddr reports whether a listener is one for an address.
func sameAddr(ln net.Listener, addr string) bool {
	a, err := net.ResolveTCPAddr("tcp", addr)
	return err == nil && a.String() == ln.Addr().String()
}

// inherited sets the options that connections take over from their listener. They
// do so as they come up, which they can from the moment on in which it listens.
func inherited(fd int) error {
	return os.NewSyscallError("setsockopt", errors.Join(
		syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1),
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1)))
}

// listenConfig is for a listener that has them before it listens.
func listenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) (err error) {
		return errors.Join(c.Control(func(fd uintptr) { err = inherited(int(fd)) }), err)
	}}
}

// listen opens one listener. Accepted connections inherit its options.
func (f *Front) listen(slot int32, addr string) error {
	lc := listenConfig()
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return f.adoptListener(slot, ln, f.now())
}

// bind takes an address, so that no other process can, and lets nobody in.
func (f *Front) bind(slot int32, addr string) error {
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	family, sa := syscall.AF_INET6, syscall.Sockaddr(&syscall.SockaddrInet6{Port: at.Port})
	if ip := at.IP.To4(); ip != nil {
		family, sa = syscall.AF_INET, &syscall.SockaddrInet4{Port: at.Port, Addr: [4]byte(ip)}
	} else if at.IP != nil {
		if at.Zone != "" {
			return f.listen(slot, addr) // of one link: opened at once, which does no harm but for a wait
		}
		sa = &syscall.SockaddrInet6{Port: at.Port, Addr: [16]byte(at.IP.To16())}
	}
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil && at.IP == nil { // all addresses, on a machine that has one family
		sa = &syscall.SockaddrInet4{Port: at.Port}
		fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	}
	if err != nil {
		return fmt.Errorf("listen: %s: %w", addr, os.NewSyscallError("socket", err))
	}
	err = os.NewSyscallError("setsockopt", syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	if at.IP == nil && err == nil && family == syscall.AF_INET6 {
		syscall.SetsockoptInt(fd, syscall.IPPROTO_IPV6, syscall.IPV6_V6ONLY, 0)
	}
	if err == nil {
		err = inherited(fd)
	}
	if err == nil {
		err = os.NewSyscallError("bind", syscall.Bind(fd, sa))
	}
	if err != nil {
		syscall.Close(fd)
		return fmt.Errorf("listen: %s: %w", addr, err)
	}
	f.shut = append(f.shut, shut{fd, slot, addr})
	return nil
}

func (f *Front) unbind() {
	for _, s := range f.shut {
		syscall.Close(s.fd)
	}
	f.shut = nil
}

// Open lets clients come to the addresses of a front that was made shut, when
// all is there that an answer takes. Run does so where it was not done before.
func (f *Front) Open() error {
	for len(f.shut) > 0 {
		s := f.shut[0]
		f.shut = f.shut[1:]
		err := os.NewSyscallError("listen", syscall.Listen(s.fd, backlog))
		if err != nil {
			syscall.Close(s.fd)
			return fmt.Errorf("listen: %s: %w", s.addr, err)
		}
		now := f.now()
		ln, err := Listener(s.fd)
		if err != nil {
			return fmt.Errorf("listen: %s: %w", s.addr, err)
		}
		if err := f.adoptListener(s.slot, ln, now); err != nil {
			return err
		}
	}
	return nil
}

func (f *Front) adoptListener(slot int32, ln net.Listener, since int64) error {
	l := &listener{Listener: ln, waiting: true, since: since}
	var err error
	if l.queue, err = syscall.EpollCreate1(syscall.EPOLL_CLOEXEC); err != nil {
		ln.Close()
		return os.NewSyscallError("epoll_create1", err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		l.Close()
		return fmt.Errorf("listen: %s is no TCP address", ln.Addr())
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		err2 := raw.Control(func(fd uintptr) {
			l.fd = int(fd)
			err = errors.Join(
				inherited(l.fd), // of one that was handed over: its process may have set none
				f.poll.add(l.fd, slot, evIn|evEdge),
				(&poller{fd: l.queue}).add(l.fd, slot, evIn))
		})
		err = errors.Join(err, err2)
	}
	if err != nil {
		l.Close()
		return fmt.Errorf("listen: %s: %w", ln.Addr(), err)
	}
	for len(f.listeners) <= int(-1-slot) {
		f.listeners = append(f.listeners, nil)
	}
	f.listeners[-1-slot] = l
	return nil
}

// Addr is where the first listener listens.
func (f *Front) Addr() net.Addr { return f.listeners[0].Addr() }

// Answer gives the answer to a request, from any goroutine. One whose client
// has left is dropped.
func (f *Front) Answer(t Ticket, text string) { f.post(answer{Ticket: t, text: text}) }

// do has the front's goroutine call a function.
func (f *Front) do(fn func()) { f.post(answer{do: fn}) }

func (f *Front) post(a answer) {
	f.mu.Lock()
	f.answers = append(f.answers, a)
	f.mu.Unlock()
	if !f.woken.Swap(true) {
		f.poll.wake()
	}
}

// CloseIdle closes the connections that carry no request, and each of the
// others after its answer.
func (f *Front) CloseIdle() { f.do(func() { f.book.Stop(f.now()) }) }

// KeepIdle ends what CloseIdle began.
func (f *Front) KeepIdle() { f.do(func() { f.book.Resume() }) }

// CloseListeners ends the accepting of connections.
func (f *Front) CloseListeners() {
	f.do(f.closeListeners)
}

func (f *Front) closeListeners() {
	f.letAllIn()
	for _, l := range f.listeners {
		l.Close()
	}
}

// letAllIn lets in who waits in the listeners' queues by now, as far as there are
// places: with its listener each of them would be reset, maybe under a request.
func (f *Front) letAllIn() {
	f.retry = 0
	for again := true; again && f.retry == 0; {
		again = false
		for _, l := range f.listeners {
			if l != nil && !l.isClosed && l.asked() {
				l.waiting, again = true, true
			}
		}
		f.acceptAll()
	}
}

// End lets go of every client for good: what was sent by now is answered, and each
// connection closes between requests. done is called, in the front's goroutine,
// once nothing that was read is without its answer. From then on nothing is
// accepted or read, so that no request is read that Close would cut off.
func (f *Front) End(done func()) {
	f.do(func() {
		f.ending = done
		f.book.Stop(f.now())
	})
}

// ended freezes a front that was told to end, once nothing is open on it.
func (f *Front) ended(now int64) {
	open := len(f.queue) > 0 || len(f.starving) > 0
	for _, l := range f.listeners {
		open = open || l.waiting
	}
	f.every(func(slot uint32, c *conn) {
		new := f.book.Stage(places.ID(slot)) == places.Silent && now-c.edge < endingWait.Microseconds()
		open = open || new || c.mode != reading || c.rd != nil
	})
	if !open {
		done := f.ending
		f.frozen, f.ending = true, nil
		done()
	}
}

// Close ends the front, with all its connections; it returns once Run has.
func (f *Front) Close() {
	f.do(func() { f.stopped = true })
	<-f.done
}

// Look shows the account of places to a function, in the front's goroutine,
// and returns after it.
func (f *Front) Look(fn func(*places.Book)) {
	seen := make(chan struct{})
	f.do(func() { fn(f.book); close(seen) })
	select {
	case <-seen:
	case <-f.done:
	}
}

func (f *Front) now() int64 { return time.Since(f.began).Microseconds() }

func (f *Front) conn(slot uint32) *conn { return &f.pages[slot/pageSize][slot%pageSize] }

// Run serves until Close.
func (f *Front) Run() error {
	defer close(f.done)
	defer f.end()
	if err := f.Open(); err != nil {
		return err
	}
	var got []answer
	busy, woken := false, false // something came in the last turn; this one is for answers alone
	for {
		f.woken.Store(false)
		f.mu.Lock()
		got, f.answers = f.answers, got[:0]
		f.mu.Unlock()
		for i := range got {
			if got[i].do != nil {
				got[i].do()
			} else {
				f.answered(&got[i])
			}
			f.carryOut()
		}
		clear(got)
		if f.stopped {
			return nil
		}
		if f.frozen {
			if f.still(); f.frozen {
				events, err := f.poll.wait(time.Now().Add(frozenWait), f.woken.Load)
				if err != nil && !errors.Is(err, errWoken) {
					return fmt.Errorf("clients: %w", err)
				}
				for i := range events {
					if events[i].Fd != bellSlot {
						f.event(f.now(), events[i].Fd, events[i].Events)
					}
				}
			}
			continue
		}
		now := f.now()
		more := f.book.Advance(now, timersMost)
		f.carryOut()
		more = f.ownTimers(now) || more
		// On one core the loop that answers, the log and this goroutine could go
		// on among themselves for ever, taking on messages, while nobody looks
		// at endpoints: so what clients send has its turn only with theirs.
		if !woken {
			f.feedStarved()
			f.serveReady()
			f.acceptAll()
		}
		if f.ending != nil {
			if f.ended(now); f.frozen {
				continue
			}
		}
		var events []syscall.EpollEvent
		var err error
		if busy || more || len(f.queue) > 0 || f.knocking() {
			events, err = f.poll.turn(f.woken.Load)
		} else {
			events, err = f.poll.wait(f.until(), f.woken.Load)
		}
		if woken = errors.Is(err, errWoken); woken {
			continue
		}
		if err != nil {
			return fmt.Errorf("clients: %w", err)
		}
		busy = false
		now = f.now()
		for n := 0; len(events) > 0 && n < takeMost; n++ {
			for i := range events {
				if events[i].Fd != bellSlot {
					busy = true
					f.event(now, events[i].Fd, events[i].Events)
				}
			}
			if len(events) < perWait { // else more wait, since when shall be known
				break
			}
			events = f.poll.take()
		}
	}
}

// until is when something is to be done though nothing comes.
func (f *Front) until() time.Time {
	at, have := f.book.Next()
	if t, ok := f.timers.Next(); ok && (!have || t < at) {
		at, have = t, true
	}
	if f.retry != 0 && (!have || f.retry < at) {
		at, have = f.retry, true
	}
	if t := f.now() + tick.Microseconds(); f.ending != nil && (!have || t < at) {
		at, have = t, true
	}
	if !have {
		return time.Time{}
	}
	return f.began.Add(time.Duration(at+1) * time.Microsecond)
}

func (f *Front) end() {
	f.unbind()
	for _, l := range f.listeners {
		l.Close()
	}
	for i := range f.pages {
		for j := range f.pages[i] {
			if c := &f.pages[i][j]; c.fd > 0 {
				f.drop(uint32(i*pageSize+j), c)
			}
		}
	}
	f.poll.close()
}

func (f *Front) event(now int64, slot int32, events uint32) {
	if slot < 0 {
		if l := f.listeners[-1-slot]; !l.waiting {
			l.waiting, l.since = !l.isClosed, now
		}
		return
	}
	c := f.conn(uint32(slot))
	if c.fd <= 0 {
		return
	}
	if events&(evIn|evGone) != 0 && !c.readable {
		c.readable, c.edge, c.came = true, now, now
	}
	if events&evGone != 0 {
		c.gone = true
	}
	f.enqueue(uint32(slot), c)
}

func (f *Front) enqueue(slot uint32, c *conn) {
	if !c.queued {
		c.queued = true
		f.queue = append(f.queue, slot)
	}
}

// serveReady gives the connections that have something to do their turns, in
// the order in which they came to have it, for a while. Where the first have
// waited too long already the while is longer: to refuse costs little, and they
// are to hear it soon.
func (f *Front) serveReady() {
	if len(f.queue) == 0 {
		return
	}
	begun := f.now()
	most := rowMost
	if begun-f.conn(f.queue[0]).edge > f.o.Limits.Patience {
		most = rowLate
	}
	n := 0
	for n < len(f.queue) && (n%16 != 0 || f.now()-begun < most.Microseconds()) {
		slot := f.queue[n]
		n++
		c := f.conn(slot)
		c.queued = false
		if c.fd > 0 {
			f.serve(slot, c)
			f.carryOut()
		}
	}
	rest := copy(f.queue, f.queue[n:])
	f.queue = f.queue[:rest]
	if n >= 16 { // with what the others took since: how fast the queue goes
		f.each += (float64(f.now()-f.lastRow)/float64(n) - f.each) / 8
	}
	f.lastRow = f.now()
}

func (f *Front) serve(slot uint32, c *conn) {
	for range turnMost {
		switch c.mode {
		case waiting:
			if c.gone { // before its answer
				f.drop(slot, c)
			}
			return
		case writing:
			if c.gone {
				f.drop(slot, c)
			} else {
				f.flush(slot, c)
			}
			if c.fd <= 0 || c.mode == writing {
				return
			}
		case pausing:
			return
		case lingering:
			f.linger(slot, c)
			return
		default:
			if !f.room(c) {
				if !c.starved {
					c.starved = true
					f.starving = append(f.starving, slot)
				}
				return
			}
			if !f.read(slot, c) {
				return
			}
		}
	}
	f.enqueue(slot, c)
}

// read takes what has come, up to the end of a command; false where nothing
// has, or the connection is gone.
func (f *Front) read(slot uint32, c *conn) bool {
	if c.more != nil && len(c.more.ahead) > 0 {
		data := c.more.ahead
		c.more.ahead = nil
		f.feed(slot, c, data, true)
		return c.fd > 0
	}
	if !c.readable {
		return false
	}
	n, err := syscall.Read(int(c.fd), f.scratch[:])
	for err == syscall.EINTR {
		n, err = syscall.Read(int(c.fd), f.scratch[:])
	}
	switch {
	case err == syscall.EAGAIN:
		c.readable = false
		return false
	case err != nil || n == 0:
		f.drop(slot, c)
		return false
	}
	f.feed(slot, c, f.scratch[:n], false)
	return c.fd > 0
}

// feed gives bytes to the reader. What lies behind the end of a command stays
// for later; own tells that data is the connection's already.
func (f *Front) feed(slot uint32, c *conn, data []byte, own bool) {
	now := f.now()
	if c.rd == nil {
		f.book.Begin(places.ID(slot), now)
		c.rd = f.reader()
	}
	took, whole, err := c.rd.Feed(data)
	if rest := data[took:]; len(rest) > 0 && (err == nil || err == resp.ErrTooLong) {
		if !own {
			rest = append([]byte(nil), rest...)
		}
		c.extra().ahead = rest
	}
	if !whole {
		f.account(c, 0)
		return
	}
	switch {
	case err == resp.ErrTooLong:
		f.book.Whole(places.ID(slot), places.Useless, now)
		f.fault(c, slot, err, false)
	case err != nil:
		f.book.Whole(places.ID(slot), places.Useless, now)
		f.fault(c, slot, err, true)
	default:
		f.command(slot, c, now)
	}
	if c.fd > 0 && c.rd != nil {
		f.giveBack(c)
	}
}

func (f *Front) giveBack(c *conn) {
	c.rd.Reset()
	if len(f.spare) < spareMost {
		f.spare = append(f.spare, c.rd)
	}
	c.rd = nil
	size := 0
	if c.mode == waiting {
		size = int(c.kept)
	}
	f.account(c, size)
}

// command hands a command to the handler.
func (f *Front) command(slot uint32, c *conn, now int64) {
	c.turn++
	waited := now - c.edge
	came := max(c.came, now-answerWait.Microseconds())
	asked := Asked{Args: c.rd.Args(), At: f.began.Add(time.Duration(came) * time.Microsecond), Waited: time.Duration(now-came) * time.Microsecond, Ticket: Ticket{slot, c.turn}}
	back, refuse := f.o.Limits.Refuse(waited, len(f.queue), int64(f.each))
	asked.Refuse, asked.ComeBack = refuse, time.Duration(back)*time.Microsecond
	reply := f.o.Handle(&asked)
	f.book.Whole(places.ID(slot), reply.What, now)
	switch {
	case reply.Later != nil:
		c.mode, c.kept = waiting, int32(reply.Size)
		c.extra().open = reply.Later
		if c.gone {
			f.drop(slot, c)
		}
	case strings.HasPrefix(reply.Text, "-ERR"):
		f.deny(c, slot, reply.Text, false)
	default:
		f.write(slot, c, reply.Text)
	}
}

// answered writes the answer of a request.
func (f *Front) answered(a *answer) {
	c := f.conn(a.slot)
	if c.fd <= 0 || c.turn != a.turn || c.mode != waiting {
		return // its client has left
	}
	c.kept = 0
	f.account(c, 0)
	if strings.HasPrefix(a.text, "-ERR") {
		f.deny(c, a.slot, a.text, false)
		return
	}
	f.write(a.slot, c, a.text)
}

func (f *Front) write(slot uint32, c *conn, text string) {
	n, err := syscall.Write(int(c.fd), []byte(text))
	switch {
	case n == len(text):
		f.written(slot, c)
	case err != nil && err != syscall.EAGAIN && err != syscall.EINTR:
		f.drop(slot, c)
	default:
		c.mode = writing
		c.extra().out = []byte(text[max(n, 0):])
		f.timers.Set(slot, f.now()+writeWait.Microseconds())
		if err == syscall.EINTR {
			f.enqueue(slot, c)
		}
	}
}

// flush writes on what did not fit before.
func (f *Front) flush(slot uint32, c *conn) {
	n, err := syscall.Write(int(c.fd), c.more.out)
	if n > 0 {
		c.more.out = c.more.out[n:]
	}
	switch {
	case len(c.more.out) == 0:
		c.more.out = nil
		f.timers.Cancel(slot)
		f.written(slot, c)
	case err != nil && err != syscall.EAGAIN && err != syscall.EINTR:
		f.drop(slot, c)
	}
}

// written books that an answer is with its client.
func (f *Front) written(slot uint32, c *conn) {
	if m := c.more; m != nil && m.open != nil {
		open := m.open
		m.open = nil
		open.Said(true)
	}
	if c.last {
		f.beginLinger(slot, c)
		return
	}
	c.mode, c.edge = reading, f.now() // what was sent ahead has waited for its turn only from here on
	f.trim(c)
	f.book.Answered(places.ID(slot), c.edge)
	if c.more != nil || c.readable {
		f.enqueue(slot, c)
	}
}

// fault answers what cannot be used; fatal where the connection is out of step.
func (f *Front) fault(c *conn, slot uint32, err error, fatal bool) {
	f.deny(c, slot, Fault(err), fatal)
}

func (f *Front) deny(c *conn, slot uint32, text string, fatal bool) {
	c.faults++
	c.last = c.last || fatal || c.faults >= faultsMost
	c.mode = pausing
	c.extra().held = text
	f.timers.Set(slot, f.now()+faultPause.Microseconds())
}

// ownTimers carries out what the front's own timers bring.
func (f *Front) ownTimers(now int64) (more bool) {
	f.due, more = f.timers.Advance(now, timersMost, f.due[:0])
	for _, slot := range f.due {
		c := f.conn(slot)
		switch {
		case c.fd <= 0:
		case c.mode == pausing:
			text := c.more.held
			c.more.held = ""
			f.write(slot, c, text)
		default: // it reads no answer, or has lingered long enough
			f.drop(slot, c)
		}
		f.carryOut()
	}
	return more
}

func (f *Front) beginLinger(slot uint32, c *conn) {
	c.mode, c.lingered = lingering, 0
	if c.more != nil {
		c.more.ahead = nil
	}
	syscall.Shutdown(int(c.fd), syscall.SHUT_WR)
	f.timers.Set(slot, f.now()+lingerWait.Microseconds())
	f.enqueue(slot, c)
}

// linger reads past what a client is still sending.
func (f *Front) linger(slot uint32, c *conn) {
	for range turnMost {
		n, err := syscall.Read(int(c.fd), f.scratch[:])
		switch {
		case err == syscall.EAGAIN:
			c.readable = false
			return
		case err == syscall.EINTR:
			continue
		case err != nil || n == 0:
			f.drop(slot, c)
			return
		}
		if c.lingered += int32(n); c.lingered > lingerMost {
			f.drop(slot, c)
			return
		}
	}
	f.enqueue(slot, c)
}

// carryOut does what the account of places orders.
func (f *Front) carryOut() {
	for {
		orders := f.book.Orders()
		if len(orders) == 0 {
			return
		}
		for _, o := range append([]places.Order(nil), orders...) {
			slot := uint32(o.ID)
			c := f.conn(slot)
			if c.fd <= 0 {
				continue
			}
			switch o.Why {
			case places.RuleWrong:
				f.drop(slot, c)
			case places.RuleUnfinished:
				f.unfinished(slot, c)
			default:
				f.release(slot, c)
			}
		}
	}
}

// release closes a connection, but where something has come on it by now: that
// is answered first.
func (f *Front) release(slot uint32, c *conn) {
	c.leaving = true
	if c.mode != reading || c.rd != nil {
		return // a command crossed; its answer brings us here again
	}
	if c.starved {
		f.noMemory(slot, c)
		return
	}
	if !c.readable { // whatever was told
		c.readable, c.came = true, f.now()
	}
	if !f.read(slot, c) || c.fd <= 0 {
		if c.fd > 0 {
			f.drop(slot, c)
		}
		return
	}
	if c.mode == reading {
		f.enqueue(slot, c) // half of it, maybe: the rest has its time
	}
}

// unfinished ends a connection whose command is out of time.
func (f *Front) unfinished(slot uint32, c *conn) {
	if c.mode == reading && (c.readable || c.more != nil && len(c.more.ahead) > 0) && !c.starved {
		// It may be whole, and only not have had its turn.
		if f.read(slot, c); c.fd <= 0 || c.mode != reading || c.rd == nil {
			return
		}
	}
	if c.mode != reading {
		return
	}
	if c.more != nil {
		c.more.ahead = nil
	}
	if c.rd != nil {
		f.giveBack(c)
	}
	if c.starved {
		f.noMemory(slot, c)
		return
	}
	f.fault(c, slot, errUnfinished, true)
}

// noMemory refuses a command that could not be read in time for want of memory.
func (f *Front) noMemory(slot uint32, c *conn) {
	c.last = true
	f.write(slot, c, Busy(busyMemory))
}

// drop closes a connection as it is.
func (f *Front) drop(slot uint32, c *conn) {
	syscall.Close(int(c.fd))
	c.fd = -1
	f.timers.Cancel(slot)
	if c.rd != nil {
		f.giveBack(c)
	}
	f.mem -= int(c.mem)
	open := Pending(nil)
	if c.more != nil {
		open = c.more.open
	}
	*c = conn{fd: -1, turn: c.turn, queued: c.queued, starved: false}
	f.book.Gone(places.ID(slot))
	if open != nil {
		open.Said(false)
	}
}

// acceptAll lets in who may come in.
func (f *Front) acceptAll() {
	now := f.now()
	if f.retry != 0 && now < f.retry && !f.freed() {
		return
	}
	f.retry = 0
	for _, l := range f.listeners {
		for n := 0; l.waiting && n < acceptMost; n++ {
			if f.book.Crowded() && !l.asked() { // nobody is let go for nobody
				l.waiting = false
				f.book.Drained()
				break
			}
			verdict, until := f.book.Knock(now)
			switch verdict {
			case places.Again:
				f.carryOut()
				continue
			case places.Leave:
				f.retry = until
				return
			}
			fd, err := f.accept(l.fd)
			if err == syscall.EAGAIN {
				l.waiting = false
				f.book.Drained()
				break
			}
			if err != nil {
				// Out of descriptors, mostly. It does not end the relay.
				if !f.failed {
					f.o.Log.Warn("clients: accept", "err", err, "open", f.book.Used())
				}
				f.failed = true
				f.book.Exhausted(now)
				f.carryOut()
				f.retry = now + f.o.Limits.Near
				return
			}
			f.failed = false
			if verdict == places.TurnAway {
				syscall.Close(fd) // cheaply: a flood must leave time for the others
				continue
			}
			f.enter(fd, now, l.since)
		}
	}
}

// freed reports whether somebody left since the queue was left standing.
func (f *Front) freed() bool {
	return f.book.Used() < f.o.Limits.Places && f.book.Strangers() < f.o.Limits.Strangers
}

// knocking reports whether somebody may be let in at once.
func (f *Front) knocking() bool {
	if f.retry != 0 {
		return false
	}
	for _, l := range f.listeners {
		if l.waiting {
			return true
		}
	}
	return false
}

// enter books a connection; what came on it did so after the listener's queue
// was last seen empty.
func (f *Front) enter(fd int, now, since int64) {
	slot := uint32(f.book.Enter(now))
	for int(slot) >= len(f.pages)*pageSize {
		f.pages = append(f.pages, new([pageSize]conn))
	}
	c := f.conn(slot)
	*c = conn{fd: int32(fd), turn: c.turn, queued: c.queued, readable: true, edge: now, came: since}
	if err := f.poll.add(fd, int32(slot), evAll); err != nil {
		f.o.Log.Warn("clients: watch", "err", err)
		f.drop(slot, c)
		return
	}
	f.enqueue(slot, c)
}

// reader gives out a reader for a command.
func (f *Front) reader() *resp.Reader {
	if n := len(f.spare); n > 0 {
		rd := f.spare[n-1]
		f.spare = f.spare[:n-1]
		return rd
	}
	return new(resp.Reader)
}

func (c *conn) extra() *extra {
	if c.more == nil {
		c.more = new(extra)
	}
	return c.more
}

// trim gives back what an idle connection does not need.
func (f *Front) trim(c *conn) {
	if m := c.more; m != nil && m.ahead == nil && m.out == nil && m.open == nil {
		c.more = nil
	}
	f.account(c, 0)
}

// account books the memory that a connection's commands hold.
func (f *Front) account(c *conn, size int) {
	if c.rd != nil {
		size += c.rd.Held()
	}
	if c.more != nil {
		size += cap(c.more.ahead)
	}
	f.mem += size - int(c.mem)
	c.mem = int32(size)
}

// room reports whether there is memory to read on. Where it is short, small
// commands still are; where there is twice as much out, nothing is.
func (f *Front) room(c *conn) bool {
	if f.mem < f.o.Memory || c.more != nil && len(c.more.ahead) > 0 {
		return true
	}
	return f.mem < 2*f.o.Memory && (c.rd == nil || c.rd.Held() < smallMost)
}

// feedStarved lets those read on that wait for memory, in the order in which
// they came to wait.
func (f *Front) feedStarved() {
	n := 0
	for ; n < len(f.starving) && f.mem < f.o.Memory; n++ {
		slot := f.starving[n]
		c := f.conn(slot)
		if c.fd > 0 && c.starved {
			c.starved = false
			f.serve(slot, c)
			f.carryOut()
		}
	}
	f.starving = f.starving[:copy(f.starving, f.starving[n:])]
}

// Busy is the refusal of a request, with the time to come again in ms where
// that is known.
func Busy(ms int64) string {
	if ms <= 0 {
		return "-BUSY\r\n"
	}
	return "-BUSY " + strconv.FormatInt(ms, 10) + "\r\n"
}

// Fault is the answer to what cannot be used.
func Fault(err error) string {
	text := strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, err.Error())
	return "-ERR " + text + "\r\n"
}
