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
func (q timerQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q timerQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(element any) { *q = append(*q, element.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*q = old[:len(old)-1]
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
