// Package respserver is a server for clients that speak RESP2. It accepts connections, reads commands,
// passes each command to a handler and writes the reply. One goroutine serves all connections with
// epoll. An idle connection costs its descriptor, its slot in the connection limiter and a small
// struct, but no goroutine, no buffer and no timer of the server.
//
// The package owns the clients' sockets. Package connlimit decides which connections are admitted and
// when they are closed, package resp parses commands, and the handler executes them. Once the server
// has read a request it does not close the connection before the reply, unless the client has left.
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
	// maxTimersPerTurn bounds how many timers one turn of the event loop handles.
	maxTimersPerTurn = 512
	// maxPollsPerTurn bounds how often one turn of the event loop polls for more events.
	maxPollsPerTurn = 512
	// pausedPollInterval is how long one turn of a paused server waits for events at most.
	pausedPollInterval = 20 * time.Millisecond
)

// Server is a RESP2 server. Only the goroutine of Run may use its fields, except for those of the
// task queue. Times are in microseconds since startedAt.
type Server struct {
	options   Options
	accept    func(listenerFD int) (int, error)
	startedAt time.Time
	limiter   *connlimit.Limiter
	poller    *poller
	timers    *timerwheel.Wheel // ends of error reply delays, write timeouts and linger timeouts, by slot
	expired   []uint32          // buffer for expired timers, kept for reuse

	connPages     []*[connsPerPage]conn
	readyQueue    []uint32 // slots of connections with work to do, such as input to read
	memoryWaiters []uint32 // slots of connections that wait for memory
	spareReaders  []*resp.Reader
	readBuffer    [readBufferSize]byte
	peekReader    resp.Reader // finds the end of a command that stays unread; see peekCommand
	memoryUsed    int         // bytes that commands hold; MemoryLimit bounds it

	serviceTimeMicros float64 // smoothed time from the turn of one connection to that of the next
	lastBatchAt       connlimit.Time

	listeners     []*listener
	boundAddrs    []boundAddr    // sockets that do not listen yet
	acceptRetryAt connlimit.Time // no connection is accepted before this time; 0 for no restriction
	acceptFailing bool           // the last accept failed; logged when it became true

	closed     bool
	paused     bool   // nothing is accepted, read or closed
	onPaused   func() // called once no request of a paused server is pending
	onShutdown func() // called once nothing is in progress in a server that shuts down

	tasksMu     sync.Mutex
	tasks       []task
	wakePending atomic.Bool

	done chan struct{} // closed when Run has returned
}

// New returns a server that listens on all given addresses, or has only bound them if DeferListen is
// set. Run serves the clients.
func New(options Options, addrs ...string) (*Server, error) {
	s := &Server{options: options, accept: accept, startedAt: time.Now(), done: make(chan struct{})}
	var err error
	if s.limiter, err = connlimit.New(options.Limits, 0); err != nil {
		return nil, err
	}
	s.timers = timerwheel.New(timerTick.Microseconds(), 0)
	if s.poller, err = newPoller(); err != nil {
		return nil, fmt.Errorf("create poller for client connections: %w", err)
	}
	if err := s.openListeners(addrs); err != nil {
		s.closeListenerSockets()
		s.poller.close()
		return nil, err
	}
	return s, nil
}

// Run serves clients until Close. It calls Listen first, if the caller has not done so.
func (s *Server) Run() error {
	defer close(s.done)
	defer s.teardown()
	if err := s.Listen(); err != nil {
		return err
	}
	// A client whose connection was imported may have left meanwhile, and its requests are not to be served.
	s.handleEvents(s.poller.poll())
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
			return fmt.Errorf("serve clients: %w", err)
		}
	}
}

// loopState is the state that one turn of the event loop passes to the next.
type loopState struct {
	busy bool // the last turn had events
	// tasksOnly means that the poller was woken for tasks. The next turn then reads no client input:
	// client sockets are only served after a turn in which the runtime could poll the sockets of
	// endpoints too. Otherwise three goroutines could keep each other running forever on one core: this
	// one, and the two that send replies (those of the relay's event loop and of the write-ahead log).
	// The relay would then accept messages while no endpoint's socket is polled.
	tasksOnly bool
}

// serveTurn is one turn of the event loop. It handles timeouts, input and new connections, and then
// waits for events. If work is left, it does not wait but only polls.
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

// handleEvents records events in their connections and listeners. While events fill the poller's
// buffer it polls for more, so that the recorded times at which connections became readable are not too late.
// It reports whether there was any event of a client.
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

// handleEvent records one event of a listener or a connection.
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

// nextWakeup returns the time of the next work that is due without an event, or zero if there is none.
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

// now returns the time since startedAt in microseconds.
func (s *Server) now() connlimit.Time { return time.Since(s.startedAt).Microseconds() }

// timeOf converts a time of this server to a time.Time.
func (s *Server) timeOf(at connlimit.Time) time.Time {
	return s.startedAt.Add(time.Duration(at) * time.Microsecond)
}
