package policy

import "math"

// tokenBucket is a token bucket whose rate (a second) and depth the caller gives; it starts full, or empty at
// a later moment where at is set.
type tokenBucket struct {
	at     Time
	tokens float64
	used   bool
}

const minRefillRate = 1e-6 // tokens a second, so that the wait for one stays finite

// level is the tokens that it holds now.
func (b *tokenBucket) level(now Time, rate, depth float64) float64 {
	if !b.used && b.at == 0 {
		b.tokens = depth
	} else if now > b.at {
		b.tokens += rate * float64(now-b.at) / 1e6
	}
	b.tokens, b.at, b.used = min(b.tokens, depth), max(b.at, now), true
	return b.tokens
}

// take takes n tokens out, unless it holds fewer.
func (b *tokenBucket) take(now Time, n, rate, depth float64) bool {
	if b.level(now, rate, depth) < n {
		return false
	}
	b.tokens -= n
	return true
}

// when is the moment at which the bucket holds n tokens.
func (b *tokenBucket) when(now Time, n, rate, depth float64) Time {
	if have := b.level(now, rate, depth); have < n {
		return b.at + Time(math.Ceil((n-have)/max(rate, minRefillRate)*1e6)) + 1
	}
	return now
}
