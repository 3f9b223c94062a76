package connlimit

import "fmt"

// Time is a point in time or a duration, in microseconds, on a clock of the caller's choice.
type Time = int64

// Limits configures a Limiter.
type Limits struct {
	// MaxConns is how many connections may be open at once, in all states together.
	MaxConns int
	// MaxUnvalidated is how many connections may be unvalidated, which means that they have not sent
	// a valid command yet.
	MaxUnvalidated int
	// SingleUseEvictionThreshold is how many connections may have made a request. Beyond it, idle
	// connections that made only one request (StateIdleSingleUse) are evicted.
	SingleUseEvictionThreshold int

	FirstCommandTimeout Time // from accepting a connection to the end of its first command
	CommandTimeout      Time // from the first byte of a later command to its last byte
	IdleTimeout         Time // how long a connection may stay open without a command

	// EvictionGrace is how long a connection without a valid command is protected from eviction after it
	// has entered StateUnvalidated or StateReplyingInvalid, since the input that its client sent may not
	// have been read yet.
	EvictionGrace Time
	// CommandGrace is how long a connection in the middle of a command is protected from eviction after the
	// command's first byte.
	CommandGrace Time
	// EvictionWait is how long the head of the listen queue may wait for the next connection that can
	// be evicted.
	EvictionWait Time
	// MaxQueueWait is how long the listen queue may be blocked because commands in progress use all
	// slots. After that its head is rejected, so that the client can try another server. MaxQueueWait
	// is also the age at which a request that waits for its turn is shed.
	MaxQueueWait Time
	// TimerTick is the resolution of all timeouts.
	TimerTick Time
}

// Defaults of the limits, and the lower bound of retry delays, in microseconds.
const (
	// Some clients take 2 s to write a command and must still be served. A client that never completes
	// its command must get an error within 3 s of connecting.
	defaultCommandTimeout Time = 2_600_000
	defaultIdleTimeout    Time = 4_000_000
	defaultEvictionGrace  Time = 20_000
	defaultCommandGrace   Time = 50_000
	defaultEvictionWait   Time = 50_000
	defaultMaxQueueWait   Time = 300_000
	defaultTimerTick      Time = 10_000

	minRetryAfter Time = 200_000
)

// DefaultLimits returns the limits for maxConns connections in a process that may open the given
// number of file descriptors.
func DefaultLimits(maxConns, descriptors int) Limits {
	return Limits{
		MaxConns:       maxConns,
		MaxUnvalidated: max(maxConns/2, 1),
		// Clients open connections for at most a third of the descriptors. Once all of these are
		// idle, the clients open no more and send no requests. Eviction therefore starts at three
		// quarters of that third.
		SingleUseEvictionThreshold: max(descriptors/3*3/4, 1),
		FirstCommandTimeout:        defaultCommandTimeout,
		CommandTimeout:             defaultCommandTimeout,
		IdleTimeout:                defaultIdleTimeout,
		EvictionGrace:              defaultEvictionGrace,
		CommandGrace:               defaultCommandGrace,
		EvictionWait:               defaultEvictionWait,
		MaxQueueWait:               defaultMaxQueueWait,
		TimerTick:                  defaultTimerTick,
	}
}

// ShedRequest reports whether a request must be rejected because it has waited too long for its turn,
// and after which time its client should retry. A client waits 400 ms for a reply and ignores a later
// one. retryAfter is the time that the queued connections take at serviceTime each, doubled because
// other clients wait as well, and at least minRetryAfter.
func (l *Limits) ShedRequest(waited Time, queued int, serviceTime Time) (retryAfter Time, shed bool) {
	if waited < l.MaxQueueWait {
		return 0, false
	}
	return max(2*Time(queued)*serviceTime, minRetryAfter), true
}

// Validate returns an error for the first limit that must be positive and is not.
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
			return fmt.Errorf("connlimit: limit %s is %d, want at least 1", limit.name, limit.value)
		}
	}
	return nil
}
