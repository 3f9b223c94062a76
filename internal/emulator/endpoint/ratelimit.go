package endpoint

import (
	"math"
)

// rateLimiter enforces a RateLimit.
type rateLimiter struct {
	RateLimit
	tokens       float64 // TokenBucket: number of calls that may be admitted at once
	refilledAt   Time
	windowNumber int64   // FixedWindow: number of the current window, counted from time 0
	usedInWindow float64 // FixedWindow: calls counted in the current window
}

func newRateLimiter(limit RateLimit) *rateLimiter {
	return &rateLimiter{RateLimit: limit, tokens: max(limit.Burst, 1)}
}

// refill adds the tokens earned since the last refill, or starts a new window if one is due.
func (l *rateLimiter) refill(now Time) {
	switch l.Kind {
	case TokenBucket:
		l.tokens = min(l.tokens+float64(now-l.refilledAt)*l.PerSecond/1e6, max(l.Burst, 1))
		l.refilledAt = now
	case FixedWindow:
		if number := now / l.Window; number != l.windowNumber {
			l.windowNumber, l.usedInWindow = number, 0
		}
	}
}

// windowQuota returns the number of calls that a window admits, rounded down to a whole number.
func (l *rateLimiter) windowQuota() float64 {
	const roundingError = 1e-9
	return math.Floor(l.PerSecond*float64(l.Window)/1e6 + roundingError)
}

// allow reports whether the limit admits one more call, and counts the call if it does.
func (l *rateLimiter) allow(now Time) bool {
	l.refill(now)
	switch l.Kind {
	case TokenBucket:
		if l.tokens < 1 {
			return false
		}
		l.tokens--
	case FixedWindow:
		if l.usedInWindow+1 > l.windowQuota() {
			return false
		}
		l.usedInWindow++
	}
	return true
}

// countRejected counts a call that the limit has rejected, if rejected calls count against the limit.
func (l *rateLimiter) countRejected(now Time) {
	if l.CountsRejected {
		l.refill(now)
		l.tokens = max(l.tokens-1, 0)
		l.usedInWindow++
	}
}

// refund undoes the count of a call that allow admitted but that was rejected for another reason,
// unless rejected calls count against the limit.
func (l *rateLimiter) refund() {
	if l.CountsRejected {
		return
	}
	l.tokens = min(l.tokens+1, max(l.Burst, 1))
	l.usedInWindow = max(l.usedInWindow-1, 0)
}
