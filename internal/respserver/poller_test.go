package respserver

import (
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const testSlot = 7

func newTestPoller(t *testing.T) *poller {
	t.Helper()
	p, err := newPoller()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	return p
}

// Both ways of waiting must report events, tasks and the end of the time limit in the same way.
func TestPollerWaitModes(t *testing.T) {
	for name, ownThread := range map[string]bool{"in the runtime's poller": false, "on a thread": true} {
		t.Run(name, func(t *testing.T) {
			p := newTestPoller(t)
			if p.ownThread {
				t.Fatal("ownThread = true: the runtime's poller does not see the nested epoll set of this kernel")
			}
			p.ownThread = ownThread
			var woken atomic.Bool
			// An event that is left of the signal in newPoller may come first.
			if _, err := p.wait(time.Now(), woken.Load); err != nil {
				t.Fatal(err)
			}

			if events, err := p.wait(time.Now().Add(5*time.Millisecond), woken.Load); len(events) > 0 || err != nil {
				t.Errorf("wait with a time limit = %v, %v, want no events", events, err)
			}
			farFuture := time.Now().Add(time.Hour)
			go func() {
				woken.Store(true)
				p.wake()
			}()
			for {
				events, err := p.wait(farFuture, woken.Load)
				if errors.Is(err, errWoken) {
					break
				}
				if err != nil || len(events) != 1 || events[0].Fd != wakeSlot {
					t.Fatalf("wait when woken = %v, %v, want errWoken or the wake event", events, err)
				}
			}
			woken.Store(false)
			addReadable(t, p)
			for seen := false; !seen; {
				events, err := p.wait(farFuture, woken.Load)
				if err != nil {
					t.Fatal(err)
				}
				seen = hasTestSlot(events)
			}
		})
	}
}

// An event that arrives together with a task must be returned, since edge-triggered events are reported
// only once.
func TestWakeLosesNoEvent(t *testing.T) {
	p := newTestPoller(t)
	p.ownThread = true
	addReadable(t, p)
	calls := 0
	events, err := p.wait(time.Now().Add(time.Hour), func() bool { calls++; return calls > 1 })
	if err != nil || !hasTestSlot(events) {
		t.Errorf("wait with an event and a task = %v, %v, want the event", events, err)
	}
}

func hasTestSlot(events []syscall.EpollEvent) bool {
	for i := range events {
		if events[i].Fd == testSlot {
			return true
		}
	}
	return false
}

// addReadable adds a socket with unread input to the poller.
func addReadable(t *testing.T, p *poller) {
	t.Helper()
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		closeFD(pair[0])
		closeFD(pair[1])
	})
	if err := p.add(pair[0], testSlot, eventReadable|eventEdgeTriggered); err != nil {
		t.Fatal(err)
	}
	if _, err := syscall.Write(pair[1], []byte("x")); err != nil {
		t.Fatal(err)
	}
}
