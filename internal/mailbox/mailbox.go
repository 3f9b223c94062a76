// Package mailbox provides an unbounded queue between goroutines. Senders never block, so that two
// goroutines that send to each other, such as the event loop and the write-ahead log, cannot
// deadlock.
//
// Since the package sets no bound, its users have to limit the number of items that can be queued at
// the same time.
package mailbox

import "sync"

// Mailbox is a queue with any number of senders and one receiver.
type Mailbox[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{} // has a value buffered while items may be queued
}

// New returns an empty mailbox.
func New[T any]() *Mailbox[T] { return &Mailbox[T]{ready: make(chan struct{}, 1)} }

// Put queues an item. It never blocks.
func (m *Mailbox[T]) Put(item T) {
	m.mu.Lock()
	m.items = append(m.items, item)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// Ready returns a channel that yields a value when items may be queued. After such a value the
// mailbox can still be empty, if an earlier TakeAll has already taken the items.
func (m *Mailbox[T]) Ready() <-chan struct{} { return m.ready }

// TakeAll empties the mailbox and returns its items, the oldest first. It clears reuse, which may be
// nil, and keeps its storage for the next items; the caller must not use reuse afterwards.
func (m *Mailbox[T]) TakeAll(reuse []T) []T {
	clear(reuse)
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = reuse[:0]
	return items
}
