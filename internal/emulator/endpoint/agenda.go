package endpoint

// item is a moment on the agenda.
type item struct {
	at  Time
	seq uint64
	do  func()
}

type agenda []item

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(item)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = item{}
	*a = old[:len(old)-1]
	return x
}
