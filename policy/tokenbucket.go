package policy

import "math"

// tokenBucket is a token bucket whose rate (tokens per second) and depth the caller passes to each method. The zero
// value starts full; a bucket with a time in at starts empty at that time.
type tokenBucket struct {
	at     Time
	tokens float64
	used   bool // its level has been read at least once
}

const minRefillRate = 1e-6 // tokens per second; keeps the wait for a token finite

// level refills the bucket up to now and returns the number of tokens in it.
func (b *tokenBucket) level(now Time, rate, depth float64) float64 {
	if !b.used && b.at == 0 {
		b.tokens = depth
	} else if now > b.at {
		b.tokens += rate * float64(now-b.at) / 1e6
	}
	b.tokens = min(b.tokens, depth)
	b.at = max(b.at, now)
	b.used = true
	return b.tokens
}

// take removes n tokens; it returns false and removes none if the bucket holds fewer.
func (b *tokenBucket) take(now Time, n, rate, depth float64) bool {
	if b.level(now, rate, depth) < n {
		return false
	}
	b.tokens -= n
	return true
}

// when returns the time at which the bucket will hold n tokens.
func (b *tokenBucket) when(now Time, n, rate, depth float64) Time {
	if have := b.level(now, rate, depth); have < n {
		return b.at + Time(math.Ceil((n-have)/max(rate, minRefillRate)*1e6)) + 1
	}
	return now
}
