package relay

import "sync"

// Mailbox is a queue between goroutines that never makes a sender wait, so
// that the loop and the log, which send to each other, cannot lock each other
// up. What bounds it is that each message and client has little in it at once.
type Mailbox[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{}
}

func newMailbox[T any]() *Mailbox[T] { return &Mailbox[T]{ready: make(chan struct{}, 1)} }

func (m *Mailbox[T]) Put(v T) {
	m.mu.Lock()
	m.items = append(m.items, v)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// TakeAll empties the mailbox; into is reused as its next store.
func (m *Mailbox[T]) TakeAll(into []T) []T {
	clear(into)
	m.mu.Lock()
	defer m.mu.Unlock()
	got := m.items
	m.items = into[:0]
	return got
}
