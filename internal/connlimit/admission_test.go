package connlimit

import "testing"

// While commands in progress use all slots, the head of the listen queue waits for one, but for
// MaxQueueWait at most: after that its client would give up.
func TestListenQueueWaitIsBounded(t *testing.T) {
	limits := smallLimits()
	limits.MaxUnvalidated = limits.MaxConns
	l := newTestLimiter(t, limits)
	for range limits.MaxConns {
		id := l.Add(0)
		l.CommandStarted(id, 0)
		l.CommandRead(id, CommandRequest, 0)
	}
	if decision, until := l.Decide(1000); decision != Wait || until > 1000+limits.MaxQueueWait {
		t.Fatalf("Decide at the start of the wait = %v until %d, want Wait until %d at most",
			decision, until, 1000+limits.MaxQueueWait)
	}
	if decision, _ := l.Decide(1000 + limits.MaxQueueWait - 1); decision != Wait {
		t.Fatalf("Decide just before MaxQueueWait = %v, want Wait", decision)
	}
	if decision, _ := l.Decide(1000 + limits.MaxQueueWait); decision != Reject {
		t.Fatalf("Decide after MaxQueueWait = %v, want Reject", decision)
	}
	l.QueueEmptied()
	if decision, _ := l.Decide(1001 + limits.MaxQueueWait); decision != Wait {
		t.Errorf("Decide after the queue was empty = %v, want Wait", decision)
	}
	l.Remove(3)
	if decision, _ := l.Decide(1002 + limits.MaxQueueWait); decision != Admit {
		t.Errorf("Decide with a free slot = %v, want Admit", decision)
	}
}

// The connection that has been idle longest is evicted, however many requests it has made.
func TestLongestIdleIsEvicted(t *testing.T) {
	for name, requests := range map[string][2]int{"one request": {1, 2}, "more requests": {2, 1}} {
		t.Run(name, func(t *testing.T) {
			limits := smallLimits()
			limits.MaxConns = 2
			l := newTestLimiter(t, limits)
			for i, n := range requests {
				id := l.Add(Time(i))
				for range n {
					l.CommandStarted(id, Time(10*i))
					l.CommandRead(id, CommandRequest, Time(10*i))
					l.ReplyWritten(id, Time(10*i))
				}
			}
			if decision, _ := l.Decide(100e3); decision != Evict {
				t.Fatalf("Decide with all slots in use = %v, want Evict", decision)
			}
			if actions := l.TakeCloseActions(); len(actions) != 1 || actions[0] != (CloseAction{0, CloseEvictIdle}) {
				t.Errorf("close actions = %v, want the eviction of slot 0, idle longest after %s", actions, name)
			}
		})
	}
}
