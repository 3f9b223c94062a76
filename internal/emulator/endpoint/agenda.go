package endpoint

// timer is a moment on the agenda.
type timer struct {
	at       Time
	sequence uint64
	run      func()
}

type timerQueue []timer

func (a timerQueue) Len() int { return len(a) }

func (a timerQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}

func (a timerQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *timerQueue) Push(x any) { *a = append(*a, x.(timer)) }

// Pop implements heap.Interface.
func (a *timerQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*a = old[:len(old)-1]
	return x
}
