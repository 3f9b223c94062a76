package core

import (
	"testing"

	"troutusher/policy"
)

// TestTimersKeepLaterDeadline guards against losing the later of two timers. The policy requests the
// later one in a step that runs just after the earlier one was due, and does not request it again. If
// the later one is lost and no other event arrives, a message that depends on it never ends.
func TestTimersKeepLaterDeadline(t *testing.T) {
	c := &Core{}
	c.now = 100
	c.executeAction(&policy.Action{Kind: policy.ActTimer, After: 50})
	// A step at 160 requests a timer for 300 before the event loop has handled the one for 150.
	c.now = 160
	c.executeAction(&policy.Action{Kind: policy.ActTimer, After: 140})
	if !c.timers.due(161) {
		t.Fatal("timers.due(161) = false, want true for the timer at 150")
	}
	if c.timers.next() != 300 || c.timers.due(299) {
		t.Fatalf("timers.next() = %d, want 300 and not due at 299", c.timers.next())
	}
	c.timers.add(300) // requested twice, it must be due only once
	if !c.timers.due(300) || c.timers.due(400) || c.timers.next() != 0 {
		t.Errorf("timers after the one at 300 = %v, want none left", c.timers)
	}
}
