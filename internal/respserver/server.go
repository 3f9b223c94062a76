// Package respserver serves clients that speak RESP2: it accepts, reads commands,
// hands each to a handler and writes the answer, for any number of connections
// in one goroutine. An idle connection costs its descriptor, its line in the
// account of places and a small struct: no goroutine, no buffer, no timer.
//
// It owns the clients' sockets. Who holds a place, and until when, package
// places decides; what a command is, package resp; what it means and what is
// answered, the handler. It must never close a connection whose request was
// read and not answered, but where that request's client has left.
package respserver

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

	"troutusher/internal/connlimit"
	"troutusher/internal/resp"
	"troutusher/internal/timerwheel"
)

const (
	readBufferSize     = 16 << 10 // bytes in one read
	maxCommandsPerTurn = 16       // commands of one connection in a row
	maxAcceptsPerTurn  = 64       // connections accepted in a row
	maxTimersPerTurn   = 512      // looked at in a row
	maxPollsPerTurn    = 512      // times that events are taken in a row
	batchTime          = 5 * time.Millisecond
	lateBatchTime      = 20 * time.Millisecond
	maxSpareReaders    = 64      // readers kept for the next half command
	smallCommandSize   = 4 << 10 // a half command up to here is read on where memory is short
	pageSize           = 256
	writeTimeout       = 2 * time.Second
	// Faults are answered a little later than they could be, and only so many on
	// a connection: one that sends the same again and again must not eat the core.
	errorReplyDelay  = 100 * time.Millisecond
	maxErrorsPerConn = 10
	// An error must reach a client that is still sending: closing at once would
	// reset the connection and take the error with it.
	lingerTimeout      = 200 * time.Millisecond
	maxLingerBytes     = 256 << 10
	timerTick          = 10 * time.Millisecond
	pausedPollInterval = 20 * time.Millisecond
	// What a client sends as it connects comes a moment later; one that is let in as
	// the front ends has that moment.
	shutdownGrace = 50 * time.Millisecond
	// clientReplyTimeout is how long a client waits for its answer. A request that has
	// lain unread for longer is nobody's any more.
	clientReplyTimeout     = 400 * time.Millisecond
	listenBacklog          = 4096 // connections that the system may keep for a listener; it takes its own bound where that is less
	memoryRetryAfterMillis = 500  // ms after which one may come again whose command there was no memory for
)

var errCommandTimeout = errors.New("command not finished in time")

// Pending is a request whose answer comes later.
type Pending interface {
	// ReplyDone is called once, by the front's goroutine: the answer was written, or
	// its client has left before.
	ReplyDone(ok bool)
}

// RequestID names a request that Answer is told the answer of.
type RequestID struct{ slot, sequence uint32 }

// Command is a command.
type Command struct {
	Args [][]byte // hold until the handler returns
	// ReceivedAt is when the command came whole, or before: what lay in a queue that
	// nobody looked at counts as having come when that queue was last seen empty.
	// A client's time runs from when it sent, and not from when it was read.
	ReceivedAt time.Time
	QueueDelay time.Duration // how long that is ago
	ID         RequestID
	// Shed is set where the command has waited for its turn for so long that
	// its answer would come too late; ComeBack is when to come again.
	Shed       bool
	RetryAfter time.Duration
}

// Reply is what a handler makes of a command: a text to answer at once, or a
// request that is answered later. A text that begins with -ERR is a fault.
type Reply struct {
	Text         string
	Kind         connlimit.CommandKind
	Pending      Pending
	PendingBytes int // bytes that Later keeps until it is answered
}

// Options are what a front needs.
type Options struct {
	Limits      connlimit.Limits
	MemoryLimit int // bytes for commands that are being read or wait for their answer
	Logger      *slog.Logger
	// InheritedListeners are used where they have an address that is wanted; the others
	// are closed.
	InheritedListeners []net.Listener
	// UnreadSince is since when Listeners, and connections that are adopted, may have
	// stood with nobody to read them; zero where that is not known.
	UnreadSince time.Time
	// DeferListen has New take the addresses, and nobody come in until Open: the system
	// takes connections, and what is sent on them, as soon as it is let, while
	// nobody here can answer.
	DeferListen bool
	Handler     func(*Command) Reply // in the front's goroutine: it must not wait
}

type connMode uint8

const (
	modeReading       connMode = iota // for the next command, or in one
	modeAwaitingReply                 // for the answer
	modeDelayingError                 // before a fault is told
	modeWriting                       // the answer does not fit into the socket yet
	modeLingering                     // after a last error
)

type conn struct {
	fd              int32 // -1 for none
	sequence        uint32
	mode            connMode
	errorCount      uint8
	readable        bool
	peerClosed      bool // its client has closed, or the connection broke
	inReadyQueue    bool
	awaitingMemory  bool  // waits for memory
	draining        bool  // is closed once nothing has come
	closeAfterWrite bool  // what is written now is the last
	memory          int32 // bytes of its commands
	requestMemory   int32 // of them, those of the request that waits
	lingeredBytes   int32
	readyAt         int64 // when it became readable, or was free to be served after that
	receivedAt      int64 // when what is read now had come at the latest
	reader          *resp.Reader
	buffers         *connBuffers
}

// connBuffers is what few connections have at a time.
type connBuffers struct {
	unprocessed []byte // read, and not fed
	unwritten   []byte // not written
	errorReply  string // a fault to be told
	pending     Pending
}

type task struct {
	RequestID
	reply string
	run   func()
}

// Server is one front.
type Server struct {
	options           Options
	accept            func(listener int) (int, error)
	startedAt         time.Time
	limiter           *connlimit.Limiter
	poller            *poller
	timers            *timerwheel.Wheel // the front's own: pauses, writes, lingering
	expired           []uint32
	connPages         []*[pageSize]conn
	readyQueue        []uint32 // connections with something to do
	memoryWaiters     []uint32
	spareReaders      []*resp.Reader
	readBuffer        [readBufferSize]byte
	memoryUsed        int
	serviceTimeMicros float64 // µs from one connection's turn to the next one's, smoothed
	lastBatchAt       int64
	listeners         []*listener
	boundAddrs        []boundAddr
	acceptRetryAt     int64 // when to knock again; 0 for not
	closed            bool
	paused            bool   // nothing is accepted, read or closed
	onPaused          func() // told once a frozen front owes no answer
	onShutdown        func() // told once a front that is to end owes none
	acceptFailing     bool   // accept failed, and that was told

	mu          sync.Mutex
	tasks       []task
	wakePending atomic.Bool
	done        chan struct{}
}

type listener struct {
	net.Listener
	fd             int
	backlogPoll    int  // an epoll set that tells whether somebody is in its queue
	mayHaveBacklog bool // somebody may be in its queue
	closed         bool
	backlogSince   int64 // when its queue was seen to have somebody, after it was empty
}

// boundAddr is an address that is taken, with nobody let in yet.
type boundAddr struct {
	fd   int
	slot int32
	addr string
}

// hasBacklog reports whether somebody is in the queue, and leaves him there.
func (l *listener) hasBacklog() bool {
	var ev [1]syscall.EpollEvent
	n, _ := syscall.EpollWait(l.backlogPoll, ev[:], 0)
	return n > 0
}

// Close ends the listener; again is as well.
func (l *listener) Close() error {
	if l == nil || l.closed {
		return nil
	}
	l.closed, l.mayHaveBacklog = true, false
	syscall.Close(l.backlogPoll)
	return l.Listener.Close()
}

// New makes a front that listens on all of the addresses.
func New(o Options, addrs ...string) (*Server, error) {
	f := &Server{options: o, accept: accept, startedAt: time.Now(), done: make(chan struct{})}
	var err error
	if f.limiter, err = connlimit.New(o.Limits, 0); err != nil {
		return nil, err
	}
	f.timers = timerwheel.New(timerTick.Microseconds(), 0)
	if f.poller, err = newPoller(); err != nil {
		return nil, fmt.Errorf("clients: %w", err)
	}
	handed := o.InheritedListeners
	for i, addr := range addrs {
		listen := func() error { return f.listenOn(int32(-1-i), addr) }
		if o.DeferListen {
			listen = func() error { return f.bind(int32(-1-i), addr) }
		}
		if at := slices.IndexFunc(handed, func(ln net.Listener) bool { return sameAddr(ln, addr) }); at >= 0 {
			ln := handed[at]
			handed = slices.Delete(handed, at, at+1)
			listen = func() error { return f.addListener(int32(-1-i), ln, f.unreadSince()) }
		}
		if err := listen(); err != nil {
			for _, l := range f.listeners {
				l.Close()
			}
			f.closeBound()
			f.poller.close()
			return nil, err
		}
	}
	for _, ln := range handed { // of addresses that are no longer wanted
		ln.Close()
	}
	return f, nil
}

// unreadSince is since when what is taken over may have stood unread.
func (f *Server) unreadSince() int64 {
	if f.options.UnreadSince.IsZero() {
		return f.now() - clientReplyTimeout.Microseconds()
	}
	return f.options.UnreadSince.Sub(f.startedAt).Microseconds()
}

// sameAddr reports whether a listener is one for an address.
func sameAddr(ln net.Listener, addr string) bool {
	a, err := net.ResolveTCPAddr("tcp", addr)
	return err == nil && a.String() == ln.Addr().String()
}

// setInheritedOptions sets the options that connections take over from their listener. They
// do so as they come up, which they can from the moment on in which it listens.
func setInheritedOptions(fd int) error {
	return os.NewSyscallError("setsockopt", errors.Join(
		syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1),
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1)))
}

// listenConfig is for a listener that has them before it listens.
func listenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) (err error) {
		return errors.Join(c.Control(func(fd uintptr) { err = setInheritedOptions(int(fd)) }), err)
	}}
}

// listenOn opens one listener. Accepted connections inherit its options.
func (f *Server) listenOn(slot int32, addr string) error {
	lc := listenConfig()
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return f.addListener(slot, ln, f.now())
}

// bind takes an address, so that no other process can, and lets nobody in.
func (f *Server) bind(slot int32, addr string) error {
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	family, sa := syscall.AF_INET6, syscall.Sockaddr(&syscall.SockaddrInet6{Port: at.Port})
	if ip := at.IP.To4(); ip != nil {
		family, sa = syscall.AF_INET, &syscall.SockaddrInet4{Port: at.Port, Addr: [4]byte(ip)}
	} else if at.IP != nil {
		if at.Zone != "" {
			return f.listenOn(slot, addr) // of one link: opened at once, which does no harm but for a wait
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
		err = setInheritedOptions(fd)
	}
	if err == nil {
		err = os.NewSyscallError("bind", syscall.Bind(fd, sa))
	}
	if err != nil {
		syscall.Close(fd)
		return fmt.Errorf("listen: %s: %w", addr, err)
	}
	f.boundAddrs = append(f.boundAddrs, boundAddr{fd, slot, addr})
	return nil
}

func (f *Server) closeBound() {
	for _, s := range f.boundAddrs {
		syscall.Close(s.fd)
	}
	f.boundAddrs = nil
}

// Listen lets clients come to the addresses of a front that was made shut, when
// all is there that an answer takes. Run does so where it was not done before.
func (f *Server) Listen() error {
	for len(f.boundAddrs) > 0 {
		s := f.boundAddrs[0]
		f.boundAddrs = f.boundAddrs[1:]
		err := os.NewSyscallError("listen", syscall.Listen(s.fd, listenBacklog))
		if err != nil {
			syscall.Close(s.fd)
			return fmt.Errorf("listen: %s: %w", s.addr, err)
		}
		now := f.now()
		ln, err := ListenerFromFD(s.fd)
		if err != nil {
			return fmt.Errorf("listen: %s: %w", s.addr, err)
		}
		if err := f.addListener(s.slot, ln, now); err != nil {
			return err
		}
	}
	return nil
}

func (f *Server) addListener(slot int32, ln net.Listener, since int64) error {
	l := &listener{Listener: ln, mayHaveBacklog: true, backlogSince: since}
	var err error
	if l.backlogPoll, err = syscall.EpollCreate1(syscall.EPOLL_CLOEXEC); err != nil {
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
				setInheritedOptions(l.fd), // of one that was handed over: its process may have set none
				f.poller.add(l.fd, slot, eventReadable|eventEdgeTriggered),
				(&poller{fd: l.backlogPoll}).add(l.fd, slot, eventReadable))
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
func (f *Server) Addr() net.Addr { return f.listeners[0].Addr() }

// SendReply gives the answer to a request, from any goroutine. One whose client
// has left is dropped.
func (f *Server) SendReply(t RequestID, text string) { f.post(task{RequestID: t, reply: text}) }

// runOnLoop has the front's goroutine call a function.
func (f *Server) runOnLoop(fn func()) { f.post(task{run: fn}) }

func (f *Server) post(a task) {
	f.mu.Lock()
	f.tasks = append(f.tasks, a)
	f.mu.Unlock()
	if !f.wakePending.Swap(true) {
		f.poller.wake()
	}
}

// CloseIdleConns closes the connections that carry no request, and each of the
// others after its answer.
func (f *Server) CloseIdleConns() { f.runOnLoop(func() { f.limiter.Shutdown(f.now()) }) }

// KeepIdleConns ends what CloseIdle began.
func (f *Server) KeepIdleConns() { f.runOnLoop(func() { f.limiter.CancelShutdown() }) }

// CloseListeners ends the accepting of connections.
func (f *Server) CloseListeners() {
	f.runOnLoop(f.closeListeners)
}

func (f *Server) closeListeners() {
	f.acceptBacklog()
	for _, l := range f.listeners {
		l.Close()
	}
}

// acceptBacklog lets in who waits in the listeners' queues by now, as far as there are
// places: with its listener each of them would be reset, maybe under a request.
func (f *Server) acceptBacklog() {
	f.acceptRetryAt = 0
	for again := true; again && f.acceptRetryAt == 0; {
		again = false
		for _, l := range f.listeners {
			if l != nil && !l.closed && l.hasBacklog() {
				l.mayHaveBacklog, again = true, true
			}
		}
		f.acceptPending()
	}
}

// Shutdown lets go of every client for good: what was sent by now is answered, and each
// connection closes between requests. done is called, in the front's goroutine,
// once nothing that was read is without its answer. From then on nothing is
// accepted or read, so that no request is read that Close would cut off.
func (f *Server) Shutdown(done func()) {
	f.runOnLoop(func() {
		f.onShutdown = done
		f.limiter.Shutdown(f.now())
	})
}

// checkShutdown freezes a front that was told to end, once nothing is open on it.
func (f *Server) checkShutdown(now int64) {
	open := len(f.readyQueue) > 0 || len(f.memoryWaiters) > 0
	for _, l := range f.listeners {
		open = open || l.mayHaveBacklog
	}
	f.forEachConn(func(slot uint32, c *conn) {
		new := f.limiter.State(connlimit.SlotID(slot)) == connlimit.StateUnvalidated && now-c.readyAt < shutdownGrace.Microseconds()
		open = open || new || c.mode != modeReading || c.reader != nil
	})
	if !open {
		done := f.onShutdown
		f.paused, f.onShutdown = true, nil
		done()
	}
}

// Close ends the front, with all its connections; it returns once Run has.
func (f *Server) Close() {
	f.runOnLoop(func() { f.closed = true })
	<-f.done
}

// Inspect shows the account of places to a function, in the front's goroutine,
// and returns after it.
func (f *Server) Inspect(fn func(*connlimit.Limiter)) {
	seen := make(chan struct{})
	f.runOnLoop(func() { fn(f.limiter); close(seen) })
	select {
	case <-seen:
	case <-f.done:
	}
}

func (f *Server) now() int64 { return time.Since(f.startedAt).Microseconds() }

func (f *Server) connAt(slot uint32) *conn { return &f.connPages[slot/pageSize][slot%pageSize] }

// Run serves until Close.
func (f *Server) Run() error {
	defer close(f.done)
	defer f.teardown()
	if err := f.Listen(); err != nil {
		return err
	}
	var got []task
	busy, woken := false, false // something came in the last turn; this one is for answers alone
	for {
		f.wakePending.Store(false)
		f.mu.Lock()
		got, f.tasks = f.tasks, got[:0]
		f.mu.Unlock()
		for i := range got {
			if got[i].run != nil {
				got[i].run()
			} else {
				f.deliverReply(&got[i])
			}
			f.applyCloseActions()
		}
		clear(got)
		if f.closed {
			return nil
		}
		if f.paused {
			if f.checkPaused(); f.paused {
				events, err := f.poller.wait(time.Now().Add(pausedPollInterval), f.wakePending.Load)
				if err != nil && !errors.Is(err, errWoken) {
					return fmt.Errorf("clients: %w", err)
				}
				for i := range events {
					if events[i].Fd != wakeSlot {
						f.handleEvent(f.now(), events[i].Fd, events[i].Events)
					}
				}
			}
			continue
		}
		now := f.now()
		more := f.limiter.Advance(now, maxTimersPerTurn)
		f.applyCloseActions()
		more = f.expireTimers(now) || more
		// On one core the loop that answers, the log and this goroutine could go
		// on among themselves for ever, taking on messages, while nobody looks
		// at endpoints: so what clients send has its turn only with theirs.
		if !woken {
			f.serveMemoryWaiters()
			f.serveReady()
			f.acceptPending()
		}
		if f.onShutdown != nil {
			if f.checkShutdown(now); f.paused {
				continue
			}
		}
		var events []syscall.EpollEvent
		var err error
		if busy || more || len(f.readyQueue) > 0 || f.canAccept() {
			events, err = f.poller.yieldAndPoll(f.wakePending.Load)
		} else {
			events, err = f.poller.wait(f.nextWakeup(), f.wakePending.Load)
		}
		if woken = errors.Is(err, errWoken); woken {
			continue
		}
		if err != nil {
			return fmt.Errorf("clients: %w", err)
		}
		busy = false
		now = f.now()
		for n := 0; len(events) > 0 && n < maxPollsPerTurn; n++ {
			for i := range events {
				if events[i].Fd != wakeSlot {
					busy = true
					f.handleEvent(now, events[i].Fd, events[i].Events)
				}
			}
			if len(events) < eventsPerWait { // else more wait, since when shall be known
				break
			}
			events = f.poller.poll()
		}
	}
}

// nextWakeup is when something is to be done though nothing comes.
func (f *Server) nextWakeup() time.Time {
	at, have := f.limiter.NextDeadline()
	if t, ok := f.timers.Next(); ok && (!have || t < at) {
		at, have = t, true
	}
	if f.acceptRetryAt != 0 && (!have || f.acceptRetryAt < at) {
		at, have = f.acceptRetryAt, true
	}
	if t := f.now() + timerTick.Microseconds(); f.onShutdown != nil && (!have || t < at) {
		at, have = t, true
	}
	if !have {
		return time.Time{}
	}
	return f.startedAt.Add(time.Duration(at+1) * time.Microsecond)
}

func (f *Server) teardown() {
	f.closeBound()
	for _, l := range f.listeners {
		l.Close()
	}
	for i := range f.connPages {
		for j := range f.connPages[i] {
			if c := &f.connPages[i][j]; c.fd > 0 {
				f.closeConn(uint32(i*pageSize+j), c)
			}
		}
	}
	f.poller.close()
}

func (f *Server) handleEvent(now int64, slot int32, events uint32) {
	if slot < 0 {
		if l := f.listeners[-1-slot]; !l.mayHaveBacklog {
			l.mayHaveBacklog, l.backlogSince = !l.closed, now
		}
		return
	}
	c := f.connAt(uint32(slot))
	if c.fd <= 0 {
		return
	}
	if events&(eventReadable|eventHangup) != 0 && !c.readable {
		c.readable, c.readyAt, c.receivedAt = true, now, now
	}
	if events&eventHangup != 0 {
		c.peerClosed = true
	}
	f.markReady(uint32(slot), c)
}

func (f *Server) markReady(slot uint32, c *conn) {
	if !c.inReadyQueue {
		c.inReadyQueue = true
		f.readyQueue = append(f.readyQueue, slot)
	}
}

// serveReady gives the connections that have something to do their turns, in
// the order in which they came to have it, for a while. Where the first have
// waited too long already the while is longer: to refuse costs little, and they
// are to hear it soon.
func (f *Server) serveReady() {
	if len(f.readyQueue) == 0 {
		return
	}
	begun := f.now()
	most := batchTime
	if begun-f.connAt(f.readyQueue[0]).readyAt > f.options.Limits.MaxQueueWait {
		most = lateBatchTime
	}
	n := 0
	for n < len(f.readyQueue) && (n%16 != 0 || f.now()-begun < most.Microseconds()) {
		slot := f.readyQueue[n]
		n++
		c := f.connAt(slot)
		c.inReadyQueue = false
		if c.fd > 0 {
			f.serveConn(slot, c)
			f.applyCloseActions()
		}
	}
	rest := copy(f.readyQueue, f.readyQueue[n:])
	f.readyQueue = f.readyQueue[:rest]
	if n >= 16 { // with what the others took since: how fast the queue goes
		f.serviceTimeMicros += (float64(f.now()-f.lastBatchAt)/float64(n) - f.serviceTimeMicros) / 8
	}
	f.lastBatchAt = f.now()
}

func (f *Server) serveConn(slot uint32, c *conn) {
	for range maxCommandsPerTurn {
		switch c.mode {
		case modeAwaitingReply:
			if c.peerClosed { // before its answer
				f.closeConn(slot, c)
			}
			return
		case modeWriting:
			if c.peerClosed {
				f.closeConn(slot, c)
			} else {
				f.flush(slot, c)
			}
			if c.fd <= 0 || c.mode == modeWriting {
				return
			}
		case modeDelayingError:
			return
		case modeLingering:
			f.linger(slot, c)
			return
		default:
			if !f.hasMemory(c) {
				if !c.awaitingMemory {
					c.awaitingMemory = true
					f.memoryWaiters = append(f.memoryWaiters, slot)
				}
				return
			}
			if !f.readConn(slot, c) {
				return
			}
		}
	}
	f.markReady(slot, c)
}

// readConn takes what has come, up to the end of a command; false where nothing
// has, or the connection is gone.
func (f *Server) readConn(slot uint32, c *conn) bool {
	if c.buffers != nil && len(c.buffers.unprocessed) > 0 {
		data := c.buffers.unprocessed
		c.buffers.unprocessed = nil
		f.parse(slot, c, data, true)
		return c.fd > 0
	}
	if !c.readable {
		return false
	}
	n, err := syscall.Read(int(c.fd), f.readBuffer[:])
	for err == syscall.EINTR {
		n, err = syscall.Read(int(c.fd), f.readBuffer[:])
	}
	switch {
	case err == syscall.EAGAIN:
		c.readable = false
		return false
	case err != nil || n == 0:
		f.closeConn(slot, c)
		return false
	}
	f.parse(slot, c, f.readBuffer[:n], false)
	return c.fd > 0
}

// parse gives bytes to the reader. What lies behind the end of a command stays
// for later; own tells that data is the connection's already.
func (f *Server) parse(slot uint32, c *conn, data []byte, own bool) {
	now := f.now()
	if c.reader == nil {
		f.limiter.CommandStarted(connlimit.SlotID(slot), now)
		c.reader = f.takeReader()
	}
	took, whole, err := c.reader.Feed(data)
	if rest := data[took:]; len(rest) > 0 && (err == nil || err == resp.ErrTooLong) {
		if !own {
			rest = append([]byte(nil), rest...)
		}
		c.ensureBuffers().unprocessed = rest
	}
	if !whole {
		f.accountMemory(c, 0)
		return
	}
	switch {
	case err == resp.ErrTooLong:
		f.limiter.CommandRead(connlimit.SlotID(slot), connlimit.CommandInvalid, now)
		f.replyError(c, slot, err, false)
	case err != nil:
		f.limiter.CommandRead(connlimit.SlotID(slot), connlimit.CommandInvalid, now)
		f.replyError(c, slot, err, true)
	default:
		f.dispatch(slot, c, now)
	}
	if c.fd > 0 && c.reader != nil {
		f.releaseReader(c)
	}
}

func (f *Server) releaseReader(c *conn) {
	c.reader.Reset()
	if len(f.spareReaders) < maxSpareReaders {
		f.spareReaders = append(f.spareReaders, c.reader)
	}
	c.reader = nil
	size := 0
	if c.mode == modeAwaitingReply {
		size = int(c.requestMemory)
	}
	f.accountMemory(c, size)
}

// dispatch hands a command to the handler.
func (f *Server) dispatch(slot uint32, c *conn, now int64) {
	c.sequence++
	waited := now - c.readyAt
	came := max(c.receivedAt, now-clientReplyTimeout.Microseconds())
	asked := Command{Args: c.reader.Args(), ReceivedAt: f.startedAt.Add(time.Duration(came) * time.Microsecond), QueueDelay: time.Duration(now-came) * time.Microsecond, ID: RequestID{slot, c.sequence}}
	back, refuse := f.options.Limits.ShedRequest(waited, len(f.readyQueue), int64(f.serviceTimeMicros))
	asked.Shed, asked.RetryAfter = refuse, time.Duration(back)*time.Microsecond
	reply := f.options.Handler(&asked)
	f.limiter.CommandRead(connlimit.SlotID(slot), reply.Kind, now)
	switch {
	case reply.Pending != nil:
		c.mode, c.requestMemory = modeAwaitingReply, int32(reply.PendingBytes)
		c.ensureBuffers().pending = reply.Pending
		if c.peerClosed {
			f.closeConn(slot, c)
		}
	case strings.HasPrefix(reply.Text, "-ERR"):
		f.delayError(c, slot, reply.Text, false)
	default:
		f.write(slot, c, reply.Text)
	}
}

// deliverReply writes the answer of a request.
func (f *Server) deliverReply(a *task) {
	c := f.connAt(a.slot)
	if c.fd <= 0 || c.sequence != a.sequence || c.mode != modeAwaitingReply {
		return // its client has left
	}
	c.requestMemory = 0
	f.accountMemory(c, 0)
	if strings.HasPrefix(a.reply, "-ERR") {
		f.delayError(c, a.slot, a.reply, false)
		return
	}
	f.write(a.slot, c, a.reply)
}

func (f *Server) write(slot uint32, c *conn, text string) {
	n, err := syscall.Write(int(c.fd), []byte(text))
	switch {
	case n == len(text):
		f.replyWritten(slot, c)
	case err != nil && err != syscall.EAGAIN && err != syscall.EINTR:
		f.closeConn(slot, c)
	default:
		c.mode = modeWriting
		c.ensureBuffers().unwritten = []byte(text[max(n, 0):])
		f.timers.Set(slot, f.now()+writeTimeout.Microseconds())
		if err == syscall.EINTR {
			f.markReady(slot, c)
		}
	}
}

// flush writes on what did not fit before.
func (f *Server) flush(slot uint32, c *conn) {
	n, err := syscall.Write(int(c.fd), c.buffers.unwritten)
	if n > 0 {
		c.buffers.unwritten = c.buffers.unwritten[n:]
	}
	switch {
	case len(c.buffers.unwritten) == 0:
		c.buffers.unwritten = nil
		f.timers.Cancel(slot)
		f.replyWritten(slot, c)
	case err != nil && err != syscall.EAGAIN && err != syscall.EINTR:
		f.closeConn(slot, c)
	}
}

// replyWritten books that an answer is with its client.
func (f *Server) replyWritten(slot uint32, c *conn) {
	if m := c.buffers; m != nil && m.pending != nil {
		open := m.pending
		m.pending = nil
		open.ReplyDone(true)
	}
	if c.closeAfterWrite {
		f.beginLinger(slot, c)
		return
	}
	c.mode, c.readyAt = modeReading, f.now() // what was sent ahead has waited for its turn only from here on
	f.releaseBuffers(c)
	f.limiter.ReplyWritten(connlimit.SlotID(slot), c.readyAt)
	if c.buffers != nil || c.readable {
		f.markReady(slot, c)
	}
}

// replyError answers what cannot be used; fatal where the connection is out of step.
func (f *Server) replyError(c *conn, slot uint32, err error, fatal bool) {
	f.delayError(c, slot, ErrorReply(err), fatal)
}

func (f *Server) delayError(c *conn, slot uint32, text string, fatal bool) {
	c.errorCount++
	c.closeAfterWrite = c.closeAfterWrite || fatal || c.errorCount >= maxErrorsPerConn
	c.mode = modeDelayingError
	c.ensureBuffers().errorReply = text
	f.timers.Set(slot, f.now()+errorReplyDelay.Microseconds())
}

// expireTimers carries out what the front's own timers bring.
func (f *Server) expireTimers(now int64) (more bool) {
	f.expired, more = f.timers.Advance(now, maxTimersPerTurn, f.expired[:0])
	for _, slot := range f.expired {
		c := f.connAt(slot)
		switch {
		case c.fd <= 0:
		case c.mode == modeDelayingError:
			text := c.buffers.errorReply
			c.buffers.errorReply = ""
			f.write(slot, c, text)
		default: // it reads no answer, or has lingered long enough
			f.closeConn(slot, c)
		}
		f.applyCloseActions()
	}
	return more
}

func (f *Server) beginLinger(slot uint32, c *conn) {
	c.mode, c.lingeredBytes = modeLingering, 0
	if c.buffers != nil {
		c.buffers.unprocessed = nil
	}
	syscall.Shutdown(int(c.fd), syscall.SHUT_WR)
	f.timers.Set(slot, f.now()+lingerTimeout.Microseconds())
	f.markReady(slot, c)
}

// linger reads past what a client is still sending.
func (f *Server) linger(slot uint32, c *conn) {
	for range maxCommandsPerTurn {
		n, err := syscall.Read(int(c.fd), f.readBuffer[:])
		switch {
		case err == syscall.EAGAIN:
			c.readable = false
			return
		case err == syscall.EINTR:
			continue
		case err != nil || n == 0:
			f.closeConn(slot, c)
			return
		}
		if c.lingeredBytes += int32(n); c.lingeredBytes > maxLingerBytes {
			f.closeConn(slot, c)
			return
		}
	}
	f.markReady(slot, c)
}

// applyCloseActions does what the account of places orders.
func (f *Server) applyCloseActions() {
	for {
		orders := f.limiter.TakeCloseActions()
		if len(orders) == 0 {
			return
		}
		for _, o := range append([]connlimit.CloseAction(nil), orders...) {
			slot := uint32(o.Slot)
			c := f.connAt(slot)
			if c.fd <= 0 {
				continue
			}
			switch o.Reason {
			case connlimit.CloseEvictInvalid:
				f.closeConn(slot, c)
			case connlimit.CloseCommandTimeout:
				f.timeoutCommand(slot, c)
			default:
				f.closeUnlessReadable(slot, c)
			}
		}
	}
}

// closeUnlessReadable closes a connection, but where something has come on it by now: that
// is answered first.
func (f *Server) closeUnlessReadable(slot uint32, c *conn) {
	c.draining = true
	if c.mode != modeReading || c.reader != nil {
		return // a command crossed; its answer brings us here again
	}
	if c.awaitingMemory {
		f.rejectForMemory(slot, c)
		return
	}
	if !c.readable { // whatever was told
		c.readable, c.receivedAt = true, f.now()
	}
	if !f.readConn(slot, c) || c.fd <= 0 {
		if c.fd > 0 {
			f.closeConn(slot, c)
		}
		return
	}
	if c.mode == modeReading {
		f.markReady(slot, c) // half of it, maybe: the rest has its time
	}
}

// timeoutCommand ends a connection whose command is out of time.
func (f *Server) timeoutCommand(slot uint32, c *conn) {
	if c.mode == modeReading && (c.readable || c.buffers != nil && len(c.buffers.unprocessed) > 0) && !c.awaitingMemory {
		// It may be whole, and only not have had its turn.
		if f.readConn(slot, c); c.fd <= 0 || c.mode != modeReading || c.reader == nil {
			return
		}
	}
	if c.mode != modeReading {
		return
	}
	if c.buffers != nil {
		c.buffers.unprocessed = nil
	}
	if c.reader != nil {
		f.releaseReader(c)
	}
	if c.awaitingMemory {
		f.rejectForMemory(slot, c)
		return
	}
	f.replyError(c, slot, errCommandTimeout, true)
}

// rejectForMemory refuses a command that could not be read in time for want of memory.
func (f *Server) rejectForMemory(slot uint32, c *conn) {
	c.closeAfterWrite = true
	f.write(slot, c, BusyReply(memoryRetryAfterMillis))
}

// closeConn closes a connection as it is.
func (f *Server) closeConn(slot uint32, c *conn) {
	syscall.Close(int(c.fd))
	c.fd = -1
	f.timers.Cancel(slot)
	if c.reader != nil {
		f.releaseReader(c)
	}
	f.memoryUsed -= int(c.memory)
	open := Pending(nil)
	if c.buffers != nil {
		open = c.buffers.pending
	}
	*c = conn{fd: -1, sequence: c.sequence, inReadyQueue: c.inReadyQueue, awaitingMemory: false}
	f.limiter.Remove(connlimit.SlotID(slot))
	if open != nil {
		open.ReplyDone(false)
	}
}

// acceptPending lets in who may come in.
func (f *Server) acceptPending() {
	now := f.now()
	if f.acceptRetryAt != 0 && now < f.acceptRetryAt && !f.slotFreed() {
		return
	}
	f.acceptRetryAt = 0
	for _, l := range f.listeners {
		for n := 0; l.mayHaveBacklog && n < maxAcceptsPerTurn; n++ {
			if f.limiter.AtLimit() && !l.hasBacklog() { // nobody is let go for nobody
				l.mayHaveBacklog = false
				f.limiter.QueueEmptied()
				break
			}
			verdict, until := f.limiter.Decide(now)
			switch verdict {
			case connlimit.Evict:
				f.applyCloseActions()
				continue
			case connlimit.Wait:
				f.acceptRetryAt = until
				return
			}
			fd, err := f.accept(l.fd)
			if err == syscall.EAGAIN {
				l.mayHaveBacklog = false
				f.limiter.QueueEmptied()
				break
			}
			if err != nil {
				// Out of descriptors, mostly. It does not end the relay.
				if !f.acceptFailing {
					f.options.Logger.Warn("clients: accept", "err", err, "open", f.limiter.InUse())
				}
				f.acceptFailing = true
				f.limiter.OutOfDescriptors(now)
				f.applyCloseActions()
				f.acceptRetryAt = now + f.options.Limits.EvictionWait
				return
			}
			f.acceptFailing = false
			if verdict == connlimit.Reject {
				syscall.Close(fd) // cheaply: a flood must leave time for the others
				continue
			}
			f.addConn(fd, now, l.backlogSince)
		}
	}
}

// slotFreed reports whether somebody left since the queue was left standing.
func (f *Server) slotFreed() bool {
	return f.limiter.InUse() < f.options.Limits.MaxConns && f.limiter.Unvalidated() < f.options.Limits.MaxUnvalidated
}

// canAccept reports whether somebody may be let in at once.
func (f *Server) canAccept() bool {
	if f.acceptRetryAt != 0 {
		return false
	}
	for _, l := range f.listeners {
		if l.mayHaveBacklog {
			return true
		}
	}
	return false
}

// addConn books a connection; what came on it did so after the listener's queue
// was last seen empty.
func (f *Server) addConn(fd int, now, since int64) {
	slot := uint32(f.limiter.Add(now))
	for int(slot) >= len(f.connPages)*pageSize {
		f.connPages = append(f.connPages, new([pageSize]conn))
	}
	c := f.connAt(slot)
	*c = conn{fd: int32(fd), sequence: c.sequence, inReadyQueue: c.inReadyQueue, readable: true, readyAt: now, receivedAt: since}
	if err := f.poller.add(fd, int32(slot), eventsAll); err != nil {
		f.options.Logger.Warn("clients: watch", "err", err)
		f.closeConn(slot, c)
		return
	}
	f.markReady(slot, c)
}

// takeReader gives out a reader for a command.
func (f *Server) takeReader() *resp.Reader {
	if n := len(f.spareReaders); n > 0 {
		rd := f.spareReaders[n-1]
		f.spareReaders = f.spareReaders[:n-1]
		return rd
	}
	return new(resp.Reader)
}

func (c *conn) ensureBuffers() *connBuffers {
	if c.buffers == nil {
		c.buffers = new(connBuffers)
	}
	return c.buffers
}

// releaseBuffers gives back what an idle connection does not need.
func (f *Server) releaseBuffers(c *conn) {
	if m := c.buffers; m != nil && m.unprocessed == nil && m.unwritten == nil && m.pending == nil {
		c.buffers = nil
	}
	f.accountMemory(c, 0)
}

// accountMemory books the memory that a connection's commands hold.
func (f *Server) accountMemory(c *conn, size int) {
	if c.reader != nil {
		size += c.reader.BufferBytes()
	}
	if c.buffers != nil {
		size += cap(c.buffers.unprocessed)
	}
	f.memoryUsed += size - int(c.memory)
	c.memory = int32(size)
}

// hasMemory reports whether there is memory to read on. Where it is short, small
// commands still are; where there is twice as much out, nothing is.
func (f *Server) hasMemory(c *conn) bool {
	if f.memoryUsed < f.options.MemoryLimit || c.buffers != nil && len(c.buffers.unprocessed) > 0 {
		return true
	}
	return f.memoryUsed < 2*f.options.MemoryLimit && (c.reader == nil || c.reader.BufferBytes() < smallCommandSize)
}

// serveMemoryWaiters lets those read on that wait for memory, in the order in which
// they came to wait.
func (f *Server) serveMemoryWaiters() {
	n := 0
	for ; n < len(f.memoryWaiters) && f.memoryUsed < f.options.MemoryLimit; n++ {
		slot := f.memoryWaiters[n]
		c := f.connAt(slot)
		if c.fd > 0 && c.awaitingMemory {
			c.awaitingMemory = false
			f.serveConn(slot, c)
			f.applyCloseActions()
		}
	}
	f.memoryWaiters = f.memoryWaiters[:copy(f.memoryWaiters, f.memoryWaiters[n:])]
}

// BusyReply is the refusal of a request, with the time to come again in ms where
// that is known.
func BusyReply(ms int64) string {
	if ms <= 0 {
		return "-BUSY\r\n"
	}
	return "-BUSY " + strconv.FormatInt(ms, 10) + "\r\n"
}

// ErrorReply is the answer to what cannot be used.
func ErrorReply(err error) string {
	text := strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, err.Error())
	return "-ERR " + text + "\r\n"
}
