// Package statelock implements the lock on a relay's state folder, whose holder is the
// process that owns the folder.
//
// The lock is a flock on an open file. The kernel releases it when the holder dies, and
// two processes can share it while one passes the file's descriptor to the other.
package statelock

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// FileName is the name of the lock file in the state folder.
const FileName = "relay.lock"

// Lock is one process's share of the lock. It is not safe for concurrent use.
type Lock struct {
	path string
	file *os.File
	held bool
}

// Open opens the lock file in a state folder without acquiring the lock.
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
		return fmt.Errorf("open state lock: %w", err)
	}
	l.file = file
	return nil
}

// TryAcquire acquires the lock if no other process holds it, and reports whether this
// process holds it now.
func (l *Lock) TryAcquire() bool {
	if !l.held {
		l.held = syscall.Flock(int(l.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
	}
	return l.held
}

// Held reports whether this process holds the lock.
func (l *Lock) Held() bool { return l.held }

// Adopt uses a file through which another process holds the lock. Both processes then
// hold it; it is free once both have closed the file.
func (l *Lock) Adopt(file *os.File) {
	l.Close()
	l.file, l.held = file, true
}

// Release gives up this process's share of the lock and opens the lock file again. It
// closes the old file instead of unlocking it, since another process may hold the lock
// through the same open file.
func (l *Lock) Release() error {
	l.Close()
	l.held = false
	return l.open()
}

// Descriptor returns the file descriptor that holds the lock. The Lock still owns it.
func (l *Lock) Descriptor() int { return int(l.file.Fd()) }

// Close gives up this process's share of the lock. It ignores the error of closing the
// file, since nothing was written to it.
func (l *Lock) Close() { _ = l.file.Close() }
