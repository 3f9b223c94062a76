package connlimit

import "testing"

// While all slots are taken by commands in progress the head of the queue waits
// for one, but not for longer than its client would.
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
		t.Fatalf("%v until %d", decision, until)
	}
	if decision, _ := l.Decide(1000 + limits.MaxQueueWait - 1); decision != Wait {
		t.Fatal(decision)
	}
	if decision, _ := l.Decide(1000 + limits.MaxQueueWait); decision != Reject {
		t.Fatal(decision)
	}
	l.QueueEmptied()
	if decision, _ := l.Decide(1001 + limits.MaxQueueWait); decision != Wait {
		t.Error("the wait of a new queue is not counted anew")
	}
	l.Remove(3)
	if decision, _ := l.Decide(1002 + limits.MaxQueueWait); decision != Admit {
		t.Error("a slot is free")
	}
}

// The connection that is evicted has been idle for longest, whatever else it
// did.
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
				t.Fatal(decision)
			}
			if actions := l.TakeCloseActions(); len(actions) != 1 || actions[0] != (CloseAction{0, CloseEvictIdle}) {
				t.Errorf("idle for longest after %s: %v", name, actions)
			}
		})
	}
}
