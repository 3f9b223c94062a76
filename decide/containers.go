package decide

import (
	"container/heap"
	"math"
)

// Plain containers; all their sizes are passed in.

// counter counts requests and accepts over a rolling span.
type counter struct {
	width    Time
	bins     [][2]float64
	at       Time // number of the newest bin
	sum      [2]float64
	started  Time
	hasStart bool
}

func newCounter(span Time, bins int) counter {
	return counter{width: span / Time(bins), bins: make([][2]float64, bins)}
}

func (c *counter) roll(now Time) *[2]float64 {
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

func (c *counter) add(now Time, i int) {
	c.roll(now)[i]++
	c.sum[i]++
}

func (c *counter) request(now Time) { c.add(now, 0) }
func (c *counter) accept(now Time)  { c.add(now, 1) }

func (c *counter) totals(now Time) (requests, accepts float64) {
	c.roll(now)
	return c.sum[0], c.sum[1]
}

// acceptRate is accepts a second over the span, or since the start while that is shorter.
func (c *counter) acceptRate(now Time) float64 {
	c.roll(now)
	span := min(now-c.started, c.width*Time(len(c.bins)))
	return c.sum[1] * 1e6 / float64(max(span, c.width*2))
}

func (c *counter) reset() {
	clear(c.bins)
	c.sum = [2]float64{}
	c.hasStart = false
}

// bucket is a token bucket whose rate (a second) and depth the caller gives; it starts full, or empty at a later
// moment where at is set.
type bucket struct {
	at     Time
	tokens float64
	used   bool
}

func (b *bucket) level(now Time, rate, depth float64) float64 {
	if !b.used && b.at == 0 {
		b.tokens = depth
	} else if now > b.at {
		b.tokens += rate * float64(now-b.at) / 1e6
	}
	b.tokens, b.at, b.used = min(b.tokens, depth), max(b.at, now), true
	return b.tokens
}

func (b *bucket) take(now Time, n, rate, depth float64) bool {
	if b.level(now, rate, depth) < n {
		return false
	}
	b.tokens -= n
	return true
}

// when is the moment at which the bucket holds n tokens.
func (b *bucket) when(now Time, n, rate, depth float64) Time {
	if have := b.level(now, rate, depth); have < n {
		return b.at + Time(math.Ceil((n-have)/max(rate, 1e-6)*1e6)) + 1
	}
	return now
}

// latency is a smoothed mean and deviation.
type latency struct {
	mean, dev float64
	n         int
}

func (l *latency) add(v float64) {
	l.n++
	if l.n == 1 {
		l.mean, l.dev = v, v/2
		return
	}
	l.dev += (math.Abs(v-l.mean) - l.dev) / 8
	l.mean += (v - l.mean) / 8
}

// agenda keeps values for later moments; those of one moment come in the order in which they were added.
type agenda[T any] struct {
	items agendaItems[T]
	count uint64
}

type agendaItem[T any] struct {
	at  Time
	seq uint64
	v   T
}

type agendaItems[T any] []agendaItem[T]

func (a agendaItems[T]) Len() int      { return len(a) }
func (a agendaItems[T]) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a agendaItems[T]) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a *agendaItems[T]) Push(x any) { *a = append(*a, x.(agendaItem[T])) }
func (a *agendaItems[T]) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last] = agendaItem[T]{}
	*a = (*a)[:last]
	return x
}

func (a *agenda[T]) add(at Time, v T) {
	a.count++
	heap.Push(&a.items, agendaItem[T]{at, a.count, v})
}

// due takes out the earliest value whose moment has come.
func (a *agenda[T]) due(now Time) (v T, ok bool) {
	if len(a.items) == 0 || a.items[0].at > now {
		return v, false
	}
	return heap.Pop(&a.items).(agendaItem[T]).v, true
}

// next is the earliest moment; the last one of all where nothing waits.
func (a *agenda[T]) next() Time {
	if len(a.items) == 0 {
		return math.MaxInt64
	}
	return a.items[0].at
}
