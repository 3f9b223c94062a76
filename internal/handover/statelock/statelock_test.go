package statelock

import (
	"os"
	"syscall"
	"testing"
)

func mustOpen(t *testing.T, dir string) *Lock {
	t.Helper()
	l, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// One process holds the lock, until it hands it over: then both do, and it is free
// once both have let go.
func TestLockIsShared(t *testing.T) {
	dir := t.TempDir()
	old, fresh, third := mustOpen(t, dir), mustOpen(t, dir), mustOpen(t, dir)
	for range 2 { // the second time it is held already
		if !old.TryAcquire() || !old.Held() {
			t.Fatal("a free lock cannot be had")
		}
	}
	if fresh.TryAcquire() || fresh.Held() {
		t.Fatal("two hold the lock")
	}
	fd, err := syscall.Dup(old.Descriptor()) // as it goes over a link
	if err != nil {
		t.Fatal(err)
	}
	fresh.Adopt(os.NewFile(uintptr(fd), FileName))
	if !fresh.Held() {
		t.Error("what was handed over is not held")
	}
	if err := old.Release(); err != nil || old.Held() {
		t.Errorf("let go: %v, still held %v", err, old.Held())
	}
	if old.TryAcquire() || third.TryAcquire() {
		t.Error("the lock is free while its successor holds it")
	}
	fresh.Close()
	if !third.TryAcquire() {
		t.Error("the lock is not free once both have let go")
	}
}
