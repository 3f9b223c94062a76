package connlimit

import "fmt"

// Time is a moment or a duration in microseconds, on whatever clock the caller
// uses.
type Time = int64

// Limits configures a Limiter. Counts are of connections.
type Limits struct {
	// MaxConns is how many connections may be open at once, whatever they do.
	MaxConns int
	// MaxUnvalidated is how many of them may be unvalidated: those that have not
	// sent a valid command yet.
	MaxUnvalidated int
	// SingleUseEvictionThreshold is how many connections may have made a request
	// before those that made only one are evicted.
	SingleUseEvictionThreshold int

	FirstCommandTimeout Time // from a connection's start to the end of its first command
	CommandTimeout      Time // from a later command's first byte to its last
	IdleTimeout         Time // without a command

	// EvictionGrace is how long a new connection is safe from eviction: what it
	// sent may not have been read yet.
	EvictionGrace Time
	// EvictionWait is how long the head of the listen queue is left waiting for a
	// connection that can be evicted by then.
	EvictionWait Time
	// MaxQueueWait is how long the listen queue may be blocked while all slots
	// are taken by commands in progress; then its head is rejected, and may try
	// another server. It also bounds how long a request may wait to be served.
	MaxQueueWait Time
	// TimerTick is the resolution of all timeouts.
	TimerTick Time
}

const (
	// Some clients write a command over 2 s and are to be served; one that never
	// ends it has to hear an error within 3 s of connecting.
	defaultCommandTimeout Time = 2_600_000
	defaultIdleTimeout    Time = 4_000_000
	defaultEvictionGrace  Time = 20_000
	defaultEvictionWait   Time = 50_000
	defaultMaxQueueWait   Time = 300_000
	defaultTimerTick      Time = 10_000

	minRetryAfter Time = 200_000
)

// DefaultLimits returns the limits for maxConns connections in a process that
// may open so many descriptors.
func DefaultLimits(maxConns, descriptors int) Limits {
	return Limits{
		MaxConns:       maxConns,
		MaxUnvalidated: max(maxConns/2, 1),
		// Clients hold a third of the descriptors at most for requests. When all
		// of these are idle connections, they open no other and ask for nothing.
		SingleUseEvictionThreshold: max(descriptors/3*3/4, 1),
		FirstCommandTimeout:        defaultCommandTimeout,
		CommandTimeout:             defaultCommandTimeout,
		IdleTimeout:                defaultIdleTimeout,
		EvictionGrace:              defaultEvictionGrace,
		EvictionWait:               defaultEvictionWait,
		MaxQueueWait:               defaultMaxQueueWait,
		TimerTick:                  defaultTimerTick,
	}
}

// ShedRequest reports whether a request that has waited so long for its turn is
// to be rejected, and when its client should retry: a client waits 400 ms for a
// reply, and a later one is of no use to it. retryAfter is what the queue ahead
// takes at serviceTime for each connection, and as much again since other
// clients wait as well.
func (l *Limits) ShedRequest(waited Time, queued int, serviceTime Time) (retryAfter Time, shed bool) {
	if waited < l.MaxQueueWait {
		return 0, false
	}
	return max(2*Time(queued)*serviceTime, minRetryAfter), true
}

// Validate returns an error that names the first limit that is not positive.
func (l *Limits) Validate() error {
	for _, limit := range []struct {
		name  string
		value int64
	}{
		{"MaxConns", int64(l.MaxConns)},
		{"MaxUnvalidated", int64(l.MaxUnvalidated)},
		{"SingleUseEvictionThreshold", int64(l.SingleUseEvictionThreshold)},
		{"FirstCommandTimeout", l.FirstCommandTimeout},
		{"CommandTimeout", l.CommandTimeout},
		{"IdleTimeout", l.IdleTimeout},
		{"TimerTick", l.TimerTick},
	} {
		if limit.value < 1 {
			return fmt.Errorf("connlimit: %s: %d, want 1 or more", limit.name, limit.value)
		}
	}
	return nil
}
