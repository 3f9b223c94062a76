package respserver

import (
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Both ways of waiting tell the same: what comes, that there are answers, and
// that time is up; and what comes together with an answer is not lost.
func TestPollerWaitModes(t *testing.T) {
	for name, alone := range map[string]bool{"by the runtime's poller": false, "alone": true} {
		t.Run(name, func(t *testing.T) {
			p, err := newPoller()
			if err != nil {
				t.Fatal(err)
			}
			defer p.close()
			if p.ownThread {
				t.Fatal("a kernel's epoll set inside another one is not seen")
			}
			p.ownThread = alone
			var woken atomic.Bool
			far := time.Now().Add(time.Hour)
			// what is left of the ring of newPoller may come first
			p.wait(time.Now(), woken.Load)

			if got, err := p.wait(time.Now().Add(5*time.Millisecond), woken.Load); len(got) > 0 || err != nil {
				t.Errorf("at the end of its time: %v, %v", got, err)
			}
			go func() { woken.Store(true); p.wake() }()
			for {
				got, err := p.wait(far, woken.Load)
				if errors.Is(err, errWoken) {
					break
				}
				if err != nil || len(got) != 1 || got[0].Fd != wakeSlot {
					t.Fatalf("woken: %v, %v", got, err)
				}
			}
			woken.Store(false)
			readable(t, p, 7)
			for seen := false; !seen; {
				got, err := p.wait(far, woken.Load)
				if err != nil {
					t.Fatal(err)
				}
				for i := range got {
					seen = seen || got[i].Fd == 7
				}
			}
		})
	}
}

// An event that comes together with an answer is told, since it comes but once.
func TestWakeLosesNoEvent(t *testing.T) {
	p, err := newPoller()
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	p.ownThread = true
	readable(t, p, 7)
	asked := 0
	got, err := p.wait(time.Now().Add(time.Hour), func() bool { asked++; return asked > 1 })
	found := false
	for i := range got {
		found = found || got[i].Fd == 7
	}
	if err != nil || !found {
		t.Errorf("an event that came with an answer: %v, %v", got, err)
	}
}

// readable puts a socket into the set that has something to read.
func readable(t *testing.T, p *poller, slot int32) {
	t.Helper()
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(pair[0]); syscall.Close(pair[1]) })
	if err := p.add(pair[0], slot, eventReadable|eventEdgeTriggered); err != nil {
		t.Fatal(err)
	}
	syscall.Write(pair[1], []byte("x"))
}
