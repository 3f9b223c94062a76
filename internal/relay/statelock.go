package relay

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// stateLock is the lock on the state folder.
type stateLock struct {
	path string
	file *os.File
	held bool
}

func openLock(dir string) (*stateLock, error) {
	path := filepath.Join(dir, lockFileName)
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	return &stateLock{path: path, file: f}, nil
}

// tryAcquire takes the lock if nobody has it.
func (l *stateLock) tryAcquire() bool {
	l.held = l.held || syscall.Flock(int(l.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
	return l.held
}

// adopt has the lock in the form in which another process holds it as well: it
// is free once both have closed it.
func (l *stateLock) adopt(f *os.File) {
	l.file.Close()
	l.file, l.held = f, true
}

// release gives up this process's part in the lock. It is closed and not
// unlocked: the other process may hold it, too.
func (l *stateLock) release() error {
	l.file.Close()
	l.held = false
	f, err := os.OpenFile(l.path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return fmt.Errorf("lock: %w", err)
	}
	l.file = f
	return nil
}

func (l *stateLock) close() { l.file.Close() }
