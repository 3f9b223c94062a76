package mailbox

import (
	"slices"
	"sync"
	"testing"
)

// TestOrderPerSender has several goroutines send at the same time. Each item must arrive once, the
// items of a sender in the order in which it sent them. If a wake-up were lost, the receiver would wait
// forever.
func TestOrderPerSender(t *testing.T) {
	const senders, itemsPerSender = 4, 1000
	m := New[[2]int]()
	var sending sync.WaitGroup
	for sender := range senders {
		sending.Add(1)
		go func() {
			defer sending.Done()
			for i := range itemsPerSender {
				m.Put([2]int{sender, i})
			}
		}()
	}
	got := make([][]int, senders)
	var batch [][2]int
	for received := 0; received < senders*itemsPerSender; {
		<-m.Ready()
		batch = m.TakeAll(batch)
		for _, item := range batch {
			got[item[0]] = append(got[item[0]], item[1])
		}
		received += len(batch)
	}
	sending.Wait()
	for sender := range senders {
		if len(got[sender]) != itemsPerSender || !slices.IsSorted(got[sender]) {
			t.Errorf("sender %d: %d items, in order: %v, want %d items in order",
				sender, len(got[sender]), slices.IsSorted(got[sender]), itemsPerSender)
		}
	}
	if rest := m.TakeAll(nil); len(rest) > 0 {
		t.Errorf("TakeAll() after all items were received = %d items, want 0", len(rest))
	}
}
