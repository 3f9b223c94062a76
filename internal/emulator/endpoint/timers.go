package endpoint

import "container/heap"

// timer is a function that runs when the model's time reaches at.
type timer struct {
	at       Time
	sequence uint64 // timers due at the same time run in the order in which they were scheduled
	run      func()
}

// timerQueue is a heap of timers, the earliest first.
type timerQueue []timer

// Len implements heap.Interface.
func (t timerQueue) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timerQueue) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}

// Swap implements heap.Interface.
func (t timerQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timerQueue) Push(element any) { *t = append(*t, element.(timer)) }

// Pop implements heap.Interface.
func (t *timerQueue) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

// NextTimer returns the time of the earliest timer, to which the driver must advance the model next.
// It returns false if no timer is set.
func (m *Model) NextTimer() (Time, bool) {
	if len(m.timers) == 0 {
		return 0, false
	}
	return m.timers[0].at, true
}

// Advance moves the model's time forward to now and runs all timers that are due by then. The model's
// time never goes back, even if now is earlier.
func (m *Model) Advance(now Time) {
	for len(m.timers) > 0 && m.timers[0].at <= now {
		due := heap.Pop(&m.timers).(timer)
		m.now = max(m.now, due.at)
		due.run()
	}
	m.now = max(m.now, now)
}

// schedule sets a timer that runs a function after a delay.
func (m *Model) schedule(delay Time, run func()) {
	m.lastTimer++
	heap.Push(&m.timers, timer{m.now + max(delay, 0), m.lastTimer, run})
}
