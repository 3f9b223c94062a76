package endpoint

import (
	"math"
)

// rateLimiter counts what a partner takes.
type rateLimiter struct {
	RateLimit
	tokens       float64 // RateLimit: calls that may come now
	refilledAt   Time
	window       int64 // WindowLimit: number of the span
	usedInWindow float64
}

func newRateLimiter(l RateLimit) *rateLimiter {
	return &rateLimiter{RateLimit: l, tokens: max(l.Burst, 1)}
}

func (b *rateLimiter) refill(now Time) {
	switch b.Kind {
	case TokenBucket:
		b.tokens = min(b.tokens+float64(now-b.refilledAt)*b.PerSecond/1e6, max(b.Burst, 1))
		b.refilledAt = now
	case FixedWindow:
		if span := now / b.Window; span != b.window {
			b.window, b.usedInWindow = span, 0
		}
	}
}

// windowQuota is the count that a span takes, a whole number.
func (b *rateLimiter) windowQuota() float64 {
	return math.Floor(b.PerSecond*float64(b.Window)/1e6 + 1e-9)
}

// allow reports whether the limit has room, and uses it up.
func (b *rateLimiter) allow(now Time, n float64) bool {
	b.refill(now)
	switch b.Kind {
	case TokenBucket:
		if b.tokens < n {
			return false
		}
		b.tokens -= n
	case FixedWindow:
		if b.usedInWindow+n > b.windowQuota() {
			return false
		}
		b.usedInWindow += n
	}
	return true
}

// countRejected: at some partners a refused call uses the limit up too.
func (b *rateLimiter) countRejected(now Time) {
	if b.RejectedCount {
		b.refill(now)
		b.tokens = max(b.tokens-1, 0)
		b.usedInWindow++
	}
}

// refund: the call was turned away for another reason.
func (b *rateLimiter) refund(now Time) {
	if b.RejectedCount {
		return
	}
	b.tokens = min(b.tokens+1, max(b.Burst, 1))
	b.usedInWindow = max(b.usedInWindow-1, 0)
}
