// Package respserver serves clients that speak RESP2: it accepts connections,
// reads commands, passes each to a handler and writes the reply, for any number
// of connections in one goroutine over epoll. An idle connection costs its
// descriptor, its slot in the connection limiter and a small struct: no
// goroutine, no buffer, no timer.
//
// It owns the clients' sockets. Which connection is admitted, and until when, is
// decided by package connlimit; what a command is, by package resp; what it means
// and what is replied, by the handler. It must never close a connection whose
// request was read and not replied to, unless that request's client has left.
package respserver

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"troutusher/internal/connlimit"
	"troutusher/internal/resp"
	"troutusher/internal/timerwheel"
)

const (
	timerTick = 10 * time.Millisecond
	// maxTimersPerTurn bounds the timers that are looked at in one turn of the
	// event loop.
	maxTimersPerTurn = 512
	// maxPollsPerTurn bounds how often events are taken in a row.
	maxPollsPerTurn = 512
	// pausedPollInterval is how often a paused server looks at its sockets.
	pausedPollInterval = 20 * time.Millisecond
)

// Server is a RESP2 server. Its fields belong to the goroutine of Run, but for
// those of the task queue. Times are microseconds since startedAt.
type Server struct {
	options   Options
	accept    func(listenerFD int) (int, error)
	startedAt time.Time
	limiter   *connlimit.Limiter
	poller    *poller
	timers    *timerwheel.Wheel // delayed errors, writes and lingering, by slot
	expired   []uint32          // kept for its memory

	connPages     []*[connsPerPage]conn
	readyQueue    []uint32 // slots of connections with something to do
	memoryWaiters []uint32 // slots of connections that wait for memory
	spareReaders  []*resp.Reader
	readBuffer    [readBufferSize]byte
	memoryUsed    int // bytes, of MemoryLimit

	serviceTimeMicros float64 // from one connection's turn to the next one's, smoothed
	lastBatchAt       connlimit.Time

	listeners     []*listener
	boundAddrs    []boundAddr    // that do not listen yet
	acceptRetryAt connlimit.Time // nothing is accepted before; 0 for no such time
	acceptFailing bool           // the last accept failed, and that was logged

	closed     bool
	paused     bool   // nothing is accepted, read or closed
	onPaused   func() // called once no reply of a paused server is pending
	onShutdown func() // called once a server that shuts down has nothing in progress

	tasksMu     sync.Mutex
	tasks       []task
	wakePending atomic.Bool

	done chan struct{} // closed when Run has returned
}

// New makes a server that listens on all addresses, unless DeferListen is set.
// Run serves them.
func New(options Options, addrs ...string) (*Server, error) {
	s := &Server{options: options, accept: accept, startedAt: time.Now(), done: make(chan struct{})}
	var err error
	if s.limiter, err = connlimit.New(options.Limits, 0); err != nil {
		return nil, err
	}
	s.timers = timerwheel.New(timerTick.Microseconds(), 0)
	if s.poller, err = newPoller(); err != nil {
		return nil, fmt.Errorf("clients: %w", err)
	}
	if err := s.openListeners(addrs); err != nil {
		s.closeListenerSockets()
		s.poller.close()
		return nil, err
	}
	return s, nil
}

// Run serves clients until Close. It listens first, if Listen was not called.
func (s *Server) Run() error {
	defer close(s.done)
	defer s.teardown()
	if err := s.Listen(); err != nil {
		return err
	}
	var tasks []task
	var state loopState
	for {
		tasks = s.runTasks(tasks)
		if s.closed {
			return nil
		}
		var err error
		if s.paused {
			err = s.pausedTurn()
		} else {
			err = s.serveTurn(&state)
		}
		if err != nil {
			return fmt.Errorf("clients: %w", err)
		}
	}
}

// loopState is what one turn of the event loop leaves for the next one.
type loopState struct {
	busy bool // events came in the last turn
	// tasksOnly: the poller was woken for tasks. On one core the goroutine that
	// replies, the log and this one could go on among themselves for ever, taking
	// on messages, while nobody looks at the sockets of endpoints: so the input
	// of clients is looked at only together with theirs.
	tasksOnly bool
}

// serveTurn is one turn of the event loop: timeouts, input, new connections, and
// then the wait for events.
func (s *Server) serveTurn(state *loopState) error {
	now := s.now()
	more := s.limiter.Advance(now, maxTimersPerTurn)
	s.applyCloseActions()
	more = s.expireTimers(now) || more
	if !state.tasksOnly {
		s.serveMemoryWaiters()
		s.serveReady()
		s.acceptPending()
	}
	if s.onShutdown != nil {
		if s.checkShutdown(now); s.paused {
			return nil
		}
	}
	var events []syscall.EpollEvent
	var err error
	if state.busy || more || len(s.readyQueue) > 0 || s.canAccept() {
		events, err = s.poller.yieldAndPoll(s.wakePending.Load)
	} else {
		events, err = s.poller.wait(s.nextWakeup(), s.wakePending.Load)
	}
	if state.tasksOnly = errors.Is(err, errWoken); state.tasksOnly {
		return nil
	}
	if err != nil {
		return err
	}
	state.busy = s.handleEvents(events)
	return nil
}

// handleEvents notes events, and those that came meanwhile as far as they fill
// the poller's buffer: for each connection it counts since when it is readable.
// It reports whether there was any.
func (s *Server) handleEvents(events []syscall.EpollEvent) (found bool) {
	now := s.now()
	for polls := 0; len(events) > 0 && polls < maxPollsPerTurn; polls++ {
		for i := range events {
			if events[i].Fd != wakeSlot {
				found = true
				s.handleEvent(now, events[i].Fd, events[i].Events)
			}
		}
		if len(events) < eventsPerWait {
			break
		}
		events = s.poller.poll()
	}
	return found
}

// handleEvent notes one event of a listener or a connection.
func (s *Server) handleEvent(now connlimit.Time, slot int32, events uint32) {
	if slot < 0 {
		if l := s.listeners[listenerIndex(slot)]; !l.mayHaveBacklog {
			l.mayHaveBacklog, l.backlogSince = !l.closed, now
		}
		return
	}
	c := s.connAt(uint32(slot))
	if c.fd <= 0 {
		return
	}
	if events&(eventReadable|eventHangup) != 0 && !c.readable {
		c.readable, c.readyAt, c.receivedAt = true, now, now
	}
	if events&eventHangup != 0 {
		c.peerClosed = true
	}
	s.markReady(uint32(slot), c)
}

// nextWakeup is when something is to be done without an event; zero for never.
func (s *Server) nextWakeup() time.Time {
	at, ok := s.limiter.NextDeadline()
	consider := func(other connlimit.Time) {
		if !ok || other < at {
			at, ok = other, true
		}
	}
	if next, running := s.timers.Next(); running {
		consider(next)
	}
	if s.acceptRetryAt != 0 {
		consider(s.acceptRetryAt)
	}
	if s.onShutdown != nil {
		consider(s.now() + timerTick.Microseconds())
	}
	if !ok {
		return time.Time{}
	}
	return s.timeOf(at + 1)
}

// now is the time since startedAt in microseconds.
func (s *Server) now() connlimit.Time { return time.Since(s.startedAt).Microseconds() }

// timeOf is the wall clock time of a time of this server.
func (s *Server) timeOf(at connlimit.Time) time.Time {
	return s.startedAt.Add(time.Duration(at) * time.Microsecond)
}
