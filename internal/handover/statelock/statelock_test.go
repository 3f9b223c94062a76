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

// Guards against two owners of a state folder. Only one process can acquire the lock;
// after it has passed its descriptor on both hold the lock, which is free only once both
// have released it.
func TestLockIsShared(t *testing.T) {
	dir := t.TempDir()
	predecessor, successor, third := mustOpen(t, dir), mustOpen(t, dir), mustOpen(t, dir)
	for range 2 { // the second time the lock is already held
		if !predecessor.TryAcquire() || !predecessor.Held() {
			t.Fatal("predecessor.TryAcquire() or Held() on a free lock = false, want true")
		}
	}
	if successor.TryAcquire() || successor.Held() {
		t.Fatal("successor.TryAcquire() or Held() while the predecessor holds the lock = true, want false")
	}
	fd, err := syscall.Dup(predecessor.Descriptor()) // as if passed over the hand-over socket
	if err != nil {
		t.Fatal(err)
	}
	successor.Adopt(os.NewFile(uintptr(fd), FileName))
	if !successor.Held() {
		t.Error("successor.Held() after Adopt = false, want true")
	}
	if err := predecessor.Release(); err != nil || predecessor.Held() {
		t.Errorf("predecessor.Release() = %v, then Held() = %v, want nil, false", err, predecessor.Held())
	}
	if predecessor.TryAcquire() || third.TryAcquire() {
		t.Error("TryAcquire() of another process while the successor holds the lock = true, want false")
	}
	successor.Close()
	if !third.TryAcquire() {
		t.Error("third.TryAcquire() after both processes released the lock = false, want true")
	}
}
