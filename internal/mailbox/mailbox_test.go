package mailbox

import (
	"slices"
	"sync"
	"testing"
)

// Items of each sender arrive once and in their order, and no wake-up is lost.
func TestOrderPerSender(t *testing.T) {
	const senders, each = 4, 1000
	m := New[[2]int]()
	var sending sync.WaitGroup
	for s := range senders {
		sending.Add(1)
		go func() {
			defer sending.Done()
			for i := range each {
				m.Put([2]int{s, i})
			}
		}()
	}
	got := make([][]int, senders)
	var batch [][2]int
	for received := 0; received < senders*each; {
		<-m.Ready()
		batch = m.TakeAll(batch)
		for _, item := range batch {
			got[item[0]] = append(got[item[0]], item[1])
		}
		received += len(batch)
	}
	sending.Wait()
	for s := range senders {
		if len(got[s]) != each || !slices.IsSorted(got[s]) {
			t.Errorf("sender %d: %d items, sorted: %v", s, len(got[s]), slices.IsSorted(got[s]))
		}
	}
	if rest := m.TakeAll(nil); len(rest) > 0 {
		t.Errorf("%d items too many", len(rest))
	}
}
