package endpoint

import (
	"math"
)

// bucket counts what a partner takes.
type bucket struct {
	Limit
	level float64 // RateLimit: calls that may come now
	at    Time
	span  int64 // WindowLimit: number of the span
	used  float64
}

func newBucket(l Limit) *bucket { return &bucket{Limit: l, level: max(l.Depth, 1)} }

func (b *bucket) fill(now Time) {
	switch b.Kind {
	case RateLimit:
		b.level = min(b.level+float64(now-b.at)*b.PerSecond/1e6, max(b.Depth, 1))
		b.at = now
	case WindowLimit:
		if span := now / b.Window; span != b.span {
			b.span, b.used = span, 0
		}
	}
}

// most is the count that a span takes, a whole number.
func (b *bucket) most() float64 { return math.Floor(b.PerSecond*float64(b.Window)/1e6 + 1e-9) }

// take reports whether the limit has room, and uses it up.
func (b *bucket) take(now Time, n float64) bool {
	b.fill(now)
	switch b.Kind {
	case RateLimit:
		if b.level < n {
			return false
		}
		b.level -= n
	case WindowLimit:
		if b.used+n > b.most() {
			return false
		}
		b.used += n
	}
	return true
}

// refused: at some partners a refused call uses the limit up too.
func (b *bucket) refused(now Time) {
	if b.RefusedSpend {
		b.fill(now)
		b.level = max(b.level-1, 0)
		b.used++
	}
}

// giveBack: the call was turned away for another reason.
func (b *bucket) giveBack(now Time) {
	if b.RefusedSpend {
		return
	}
	b.level = min(b.level+1, max(b.Depth, 1))
	b.used = max(b.used-1, 0)
}
