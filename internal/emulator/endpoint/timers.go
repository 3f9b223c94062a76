package endpoint

import "container/heap"

// timer is a function that is due at a time of the model.
type timer struct {
	at       Time
	sequence uint64 // timers of the same time run in the order in which they were set
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

// NextTimer is the time at which the model is to be advanced next; false for none.
func (m *Model) NextTimer() (Time, bool) {
	if len(m.timers) == 0 {
		return 0, false
	}
	return m.timers[0].at, true
}

// Advance runs all timers that are due at now. Time never goes back.
func (m *Model) Advance(now Time) {
	for len(m.timers) > 0 && m.timers[0].at <= now {
		due := heap.Pop(&m.timers).(timer)
		m.now = max(m.now, due.at)
		due.run()
	}
	m.now = max(m.now, now)
}

// schedule has a function run after a delay.
func (m *Model) schedule(delay Time, run func()) {
	m.lastTimer++
	heap.Push(&m.timers, timer{m.now + max(delay, 0), m.lastTimer, run})
}
