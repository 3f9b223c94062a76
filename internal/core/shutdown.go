package core

import (
	"log/slog"

	"troutusher/internal/msgtrace"
	"troutusher/policy"
)

// The schedule of a shutdown, counted from its request. A process has 3.7 s from
// SIGTERM until it is killed.
const (
	// CloseListenerAfter is when the listener closes: new connections still come for a
	// while.
	CloseListenerAfter = policy.Time(1000e3)
	// CloseClientsAfter is when client connections are closed at the latest.
	CloseClientsAfter = policy.Time(1600e3)
	// stopAcceptingAfter is when messages that still come are rejected, also those
	// that could be sent at once.
	stopAcceptingAfter = policy.Time(2100e3)
	// stopNonIdempotentSendsAfter is when no call that must not run twice is begun
	// any more: cut short, it would be lost.
	stopNonIdempotentSendsAfter = policy.Time(1600e3)
	// StopSendsAfter is when no call at all is begun any more.
	StopSendsAfter = policy.Time(2400e3)
	// AbandonCallsAfter is when the calls that are still open are left open in the log.
	AbandonCallsAfter = policy.Time(3300e3)
)

// shutdownRetryMS is the time after which a client may submit its message again, to
// another relay.
const shutdownRetryMS = 400

// shutdown is whether a shutdown was requested, and when.
type shutdown struct {
	requested bool
	at        policy.Time
}

func (s *shutdown) elapsed(now policy.Time) policy.Time { return now - s.at }

// beginShutdown begins the shutdown, once.
func (c *Core) beginShutdown() {
	if c.shutdown.requested {
		return
	}
	c.shutdown = shutdown{requested: true, at: c.now}
	c.log(slog.LevelInfo, msgtrace.Stopping, "held", c.messages.held, "calls", c.openCalls)
}

// ShuttingDown tells whether a shutdown was requested, and how long ago.
func (c *Core) ShuttingDown(now policy.Time) (elapsed policy.Time, requested bool) {
	return c.shutdown.elapsed(now), c.shutdown.requested
}

// KeepsClientConnections reports whether a relay that shuts down still has a use for
// the connections of its clients. Where it would reject what comes on them they are
// better closed, since a client submits again on the connection that it has.
func (c *Core) KeepsClientConnections(now policy.Time) bool {
	return c.shutdown.elapsed(now) < CloseClientsAfter && !c.hasBacklog()
}

// acceptsDuringShutdown reports whether a message is still accepted. Until its process
// is killed the relay's slots would be empty while other relays carry its load. What
// can be sent at once and answered by then is accepted; what would wait for the next
// process is better submitted elsewhere.
func (c *Core) acceptsDuringShutdown(request *Request) bool {
	limit := stopAcceptingAfter
	if c.settings.Policy.Classes[request.Class].Idempotency == policy.NonIdempotent {
		limit = CloseClientsAfter
	}
	return c.shutdown.elapsed(c.now) < limit && !c.hasBacklog()
}

// hasBacklog reports whether more messages wait than the slots take soon.
func (c *Core) hasBacklog() bool {
	waiting := c.messages.held - c.openCalls
	return waiting >= max(c.settings.Policy.MaxConcurrentCalls/2, 1)
}

// sendsStopped reports whether it is too late in a shutdown to begin a call of a class.
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
