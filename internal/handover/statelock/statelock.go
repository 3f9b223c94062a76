// Package statelock holds the lock on a relay's state folder, which says which
// process owns the work.
//
// The lock is the system's (flock) on an open file: the system takes it from a
// process that dies, and two processes can hold it together for the moment in
// which one hands the file's descriptor to the other.
package statelock

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// FileName is the lock's file in the state folder.
const FileName = "relay.lock"

// Lock is one process's part in the lock. It is not safe for use by several
// goroutines.
type Lock struct {
	path string
	file *os.File
	held bool
}

// Open opens the lock's file in a state folder, without taking the lock.
func Open(dir string) (*Lock, error) {
	l := &Lock{path: filepath.Join(dir, FileName)}
	if err := l.open(); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Lock) open() error {
	file, err := os.OpenFile(l.path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return fmt.Errorf("lock: %w", err)
	}
	l.file = file
	return nil
}

// TryAcquire takes the lock if no other process holds it, and reports whether this
// one does.
func (l *Lock) TryAcquire() bool {
	if !l.held {
		l.held = syscall.Flock(int(l.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
	}
	return l.held
}

// Held reports whether this process holds the lock.
func (l *Lock) Held() bool { return l.held }

// Adopt takes a file over through which another process holds the lock. Both hold
// it then; it is free once both have closed the file.
func (l *Lock) Adopt(file *os.File) {
	l.Close()
	l.file, l.held = file, true
}

// Release gives up this process's part in the lock and opens the file anew. The
// file is closed and not unlocked: another process may hold the lock through it.
func (l *Lock) Release() error {
	l.Close()
	l.held = false
	return l.open()
}

// Descriptor is the file's, which stays the lock's own.
func (l *Lock) Descriptor() int { return int(l.file.Fd()) }

// Close gives up this process's part in the lock. Nothing was written to its file,
// so an error of closing it tells nothing.
func (l *Lock) Close() { _ = l.file.Close() }
