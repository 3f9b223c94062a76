package policy

import (
	"container/heap"
	"math"
)

// Plain containers; all their sizes are passed in.

// slidingCounter counts requests and accepts over a rolling span.
type slidingCounter struct {
	width    Time
	bins     [][2]float64
	at       Time // number of the newest bin
	sum      [2]float64
	started  Time
	hasStart bool
}

func newSlidingCounter(span Time, bins int) slidingCounter {
	return slidingCounter{width: span / Time(bins), bins: make([][2]float64, bins)}
}

func (c *slidingCounter) roll(now Time) *[2]float64 {
	n := now / c.width
	if !c.hasStart {
		c.hasStart, c.started, c.at = true, now, n
	}
	size := Time(len(c.bins))
	for ; c.at < n; c.at++ {
		if n-c.at > size {
			c.at = n - size
		}
		old := &c.bins[(c.at+1)%size]
		c.sum[0] -= old[0]
		c.sum[1] -= old[1]
		*old = [2]float64{}
	}
	return &c.bins[c.at%size]
}

func (c *slidingCounter) add(now Time, i int) {
	c.roll(now)[i]++
	c.sum[i]++
}

func (c *slidingCounter) request(now Time) { c.add(now, 0) }
func (c *slidingCounter) accept(now Time)  { c.add(now, 1) }

func (c *slidingCounter) totals(now Time) (requests, accepts float64) {
	c.roll(now)
	return c.sum[0], c.sum[1]
}

// acceptRate is accepts a second over the span, or since the start while that is shorter.
func (c *slidingCounter) acceptRate(now Time) float64 {
	c.roll(now)
	span := min(now-c.started, c.width*Time(len(c.bins)))
	return c.sum[1] * 1e6 / float64(max(span, c.width*2))
}

func (c *slidingCounter) reset() {
	clear(c.bins)
	c.sum = [2]float64{}
	c.hasStart = false
}

// tokenBucket is a token bucket whose rate (a second) and depth the caller gives; it starts full, or empty at a later
// moment where at is set.
type tokenBucket struct {
	at     Time
	tokens float64
	used   bool
}

func (b *tokenBucket) level(now Time, rate, depth float64) float64 {
	if !b.used && b.at == 0 {
		b.tokens = depth
	} else if now > b.at {
		b.tokens += rate * float64(now-b.at) / 1e6
	}
	b.tokens, b.at, b.used = min(b.tokens, depth), max(b.at, now), true
	return b.tokens
}

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
		return b.at + Time(math.Ceil((n-have)/max(rate, 1e-6)*1e6)) + 1
	}
	return now
}

// latencyEstimate is a smoothed mean and deviation.
type latencyEstimate struct {
	mean, deviation float64
	count           int
}

func (l *latencyEstimate) add(v float64) {
	l.count++
	if l.count == 1 {
		l.mean, l.deviation = v, v/2
		return
	}
	l.deviation += (math.Abs(v-l.mean) - l.deviation) / 8
	l.mean += (v - l.mean) / 8
}

// schedule keeps values for later moments; those of one moment come in the order in which they were added.
type schedule[T any] struct {
	items scheduleHeap[T]
	count uint64
}

type scheduledItem[T any] struct {
	at    Time
	seq   uint64
	value T
}

type scheduleHeap[T any] []scheduledItem[T]

func (a scheduleHeap[T]) Len() int      { return len(a) }
func (a scheduleHeap[T]) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a scheduleHeap[T]) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a *scheduleHeap[T]) Push(x any) { *a = append(*a, x.(scheduledItem[T])) }
func (a *scheduleHeap[T]) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last] = scheduledItem[T]{}
	*a = (*a)[:last]
	return x
}

func (a *schedule[T]) add(at Time, v T) {
	a.count++
	heap.Push(&a.items, scheduledItem[T]{at, a.count, v})
}

// popDue takes out the earliest value whose moment has come.
func (a *schedule[T]) popDue(now Time) (v T, ok bool) {
	if len(a.items) == 0 || a.items[0].at > now {
		return v, false
	}
	return heap.Pop(&a.items).(scheduledItem[T]).value, true
}

// nextTime is the earliest moment; the last one of all where nothing waits.
func (a *schedule[T]) nextTime() Time {
	if len(a.items) == 0 {
		return math.MaxInt64
	}
	return a.items[0].at
}
