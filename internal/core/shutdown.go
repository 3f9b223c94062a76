package core

import (
	"log/slog"

	"troutusher/internal/msgtrace"
	"troutusher/policy"
)

// The schedule of a shutdown, in microseconds after the request. A process is killed 3.7 s
// after SIGTERM.
const (
	// newConnectionsUntil is the time until which clients that know nothing of the shutdown
	// open connections: 0.4 s, and some time for them to arrive.
	newConnectionsUntil = policy.Time(500e3)
	// CloseListenerAfter is the latest time at which the listener closes.
	CloseListenerAfter = policy.Time(1000e3)
	// CloseClientsAfter is the latest time at which client connections are closed.
	CloseClientsAfter = policy.Time(1600e3)
	// stopAcceptingAfter is the time from which all messages are rejected, even those that
	// could be sent at once.
	stopAcceptingAfter = policy.Time(2100e3)
	// stopNonIdempotentSendsAfter is the time from which no call of a non-idempotent message
	// is begun. If such a call were interrupted, its message would be lost, because it must
	// not run twice.
	stopNonIdempotentSendsAfter = policy.Time(1600e3)
	// StopSendsAfter is the time from which no call is begun.
	StopSendsAfter = policy.Time(2400e3)
	// AbandonCallsAfter is the time at which the relay stops waiting for open calls and
	// leaves their attempts without an outcome in the log.
	AbandonCallsAfter = policy.Time(3300e3)
)

// shutdownRetryMS is the Retry-After of a message that is rejected because of the shutdown, in
// ms. The client then submits the message to another relay.
const shutdownRetryMS = 400

// shutdown tells whether and when a shutdown was requested.
type shutdown struct {
	requested bool
	at        policy.Time
}

func (s *shutdown) elapsed(now policy.Time) policy.Time { return now - s.at }

// beginShutdown begins the shutdown. It ignores repeated requests.
func (c *Core) beginShutdown() {
	if c.shutdown.requested {
		return
	}
	c.shutdown = shutdown{requested: true, at: c.now}
	c.log(slog.LevelInfo, msgtrace.Stopping, "held", c.messages.held, "calls", c.openCalls)
}

// ShuttingDown reports whether a shutdown was requested, and how long ago.
func (c *Core) ShuttingDown(now policy.Time) (elapsed policy.Time, requested bool) {
	return c.shutdown.elapsed(now), c.shutdown.requested
}

// AcceptsConnections reports whether a relay that shuts down should accept new connections. It must stop
// before it closes client connections: a client whose request crosses the close of its connection opens
// another one, and a connection that arrives while the listener closes is reset with its request.
func (c *Core) AcceptsConnections(now policy.Time) bool {
	elapsed := c.shutdown.elapsed(now)
	return elapsed < newConnectionsUntil || elapsed < CloseListenerAfter && !c.hasBacklog()
}

// KeepsClientConnections reports whether a relay that shuts down should keep its client
// connections open. If it would reject the messages that arrive on them, it is better to close
// them, because a client retries on the connection that it already has.
func (c *Core) KeepsClientConnections(now policy.Time) bool {
	return c.AcceptsConnections(now) || c.shutdown.elapsed(now) < CloseClientsAfter && !c.hasBacklog()
}

// acceptsDuringShutdown reports whether a message is still accepted during a shutdown. If the
// relay rejected every message, its slots for calls would be idle until the process is killed, while
// other relays carry its load. It accepts a message that can be sent at once and whose response
// can arrive before the process is killed. A message that would have to wait for the next process
// should rather be submitted to another relay.
func (c *Core) acceptsDuringShutdown(request *Request) bool {
	limit := stopAcceptingAfter
	if c.settings.Policy.Classes[request.Class].Idempotency == policy.NonIdempotent {
		limit = CloseClientsAfter
	}
	return c.shutdown.elapsed(c.now) < limit && !c.hasBacklog()
}

// hasBacklog reports whether too many messages wait for a call: at least half as many as there can
// be calls at once. These will not all get a call soon.
func (c *Core) hasBacklog() bool {
	waiting := c.messages.held - c.openCalls
	return waiting >= max(c.settings.Policy.MaxConcurrentCalls/2, 1)
}

// sendsStopped reports whether a shutdown is too far advanced to begin a call of a class.
func (c *Core) sendsStopped(class string) bool {
	if !c.shutdown.requested {
		return false
	}
	limit := StopSendsAfter
	i, ok := c.settings.Classes[class]
	if ok && c.settings.Policy.Classes[i].Idempotency == policy.NonIdempotent {
		limit = stopNonIdempotentSendsAfter
	}
	return c.shutdown.elapsed(c.now) >= limit
}
