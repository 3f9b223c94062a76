package policy

// slidingCounter counts requests and accepts over a sliding window, which is divided into bins of equal width.
type slidingCounter struct {
	width    Time
	bins     [][2]float64 // ring buffer: bin number n is at index n modulo the length
	at       Time         // number of the newest bin: its start time divided by width
	sum      [2]float64   // over all bins
	started  Time         // time of the first count or read
	hasStart bool
}

// Indexes of the counts in a bin.
const (
	requestCount = iota
	acceptCount
)

// newSlidingCounter returns a counter over a window that is divided into the given number of bins.
func newSlidingCounter(window Time, bins int) slidingCounter {
	return slidingCounter{width: window / Time(bins), bins: make([][2]float64, bins)}
}

// roll clears the bins that have left the window and returns the newest bin.
func (c *slidingCounter) roll(now Time) *[2]float64 {
	newest := now / c.width
	if !c.hasStart {
		c.hasStart = true
		c.started = now
		c.at = newest
	}
	size := Time(len(c.bins))
	for ; c.at < newest; c.at++ {
		if newest-c.at > size {
			c.at = newest - size
		}
		oldest := &c.bins[(c.at+1)%size]
		c.sum[requestCount] -= oldest[requestCount]
		c.sum[acceptCount] -= oldest[acceptCount]
		*oldest = [2]float64{}
	}
	return &c.bins[c.at%size]
}

// add counts one request or accept, as given by its index in a bin.
func (c *slidingCounter) add(now Time, count int) {
	c.roll(now)[count]++
	c.sum[count]++
}

// request counts a request.
func (c *slidingCounter) request(now Time) { c.add(now, requestCount) }

// accept counts an accept.
func (c *slidingCounter) accept(now Time) { c.add(now, acceptCount) }

// totals returns the requests and the accepts in the window.
func (c *slidingCounter) totals(now Time) (requests, accepts float64) {
	c.roll(now)
	return c.sum[requestCount], c.sum[acceptCount]
}

// active reports whether the window contains any count.
func (c *slidingCounter) active(now Time) bool {
	if !c.hasStart {
		return false
	}
	requests, accepts := c.totals(now)
	return requests > 0 || accepts > 0
}

// acceptRate returns the accepts per second over the window, or since the counter started if that is more recent. The
// rate is taken over at least two bins, so that the first accepts do not make it very high.
func (c *slidingCounter) acceptRate(now Time) float64 {
	c.roll(now)
	span := min(now-c.started, c.width*Time(len(c.bins)))
	return c.sum[acceptCount] * 1e6 / float64(max(span, c.width*2))
}

// snapshot returns the bins, the oldest first.
func (c *slidingCounter) snapshot(now Time) [][2]float64 {
	c.roll(now)
	size := Time(len(c.bins))
	bins := make([][2]float64, 0, size)
	for i := range size {
		bins = append(bins, c.bins[(c.at+1+i)%size])
	}
	return bins
}

// restore replaces the counts by bins that end at now, the oldest first.
func (c *slidingCounter) restore(now Time, bins [][2]float64, started Time) {
	*c = newSlidingCounter(c.width*Time(len(c.bins)), len(c.bins))
	c.roll(now)
	size := Time(len(bins))
	for i, bin := range bins {
		c.bins[(c.at+1+Time(i))%size] = bin
		c.sum[requestCount] += bin[requestCount]
		c.sum[acceptCount] += bin[acceptCount]
	}
	c.started = started
}
