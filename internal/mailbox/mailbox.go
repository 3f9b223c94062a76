// Package mailbox is an unbounded queue between goroutines whose senders never
// wait.
//
// Two goroutines that send to each other, such as the event loop and the
// write-ahead log, can therefore not deadlock. The package sets no bound: its
// users have to keep the number of items that can be queued at once small.
package mailbox

import "sync"

// Mailbox is a queue with any number of senders and one receiver.
type Mailbox[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{} // holds a value while items may be queued
}

// New makes an empty mailbox.
func New[T any]() *Mailbox[T] { return &Mailbox[T]{ready: make(chan struct{}, 1)} }

// Put queues an item. It never waits.
func (m *Mailbox[T]) Put(item T) {
	m.mu.Lock()
	m.items = append(m.items, item)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// Ready receives a value once items may be queued. There may be none if an
// earlier TakeAll has emptied the mailbox since.
func (m *Mailbox[T]) Ready() <-chan struct{} { return m.ready }

// TakeAll empties the mailbox and returns its items, the oldest first. The
// storage of reuse, which may be nil, takes the items that come next; its
// contents are cleared.
func (m *Mailbox[T]) TakeAll(reuse []T) []T {
	clear(reuse)
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = reuse[:0]
	return items
}
