package core

import (
	"testing"

	"troutusher/policy"
)

// Guards the later of two moments: the policy asked for it in a step that ran
// just past the earlier one, and does not ask again. A message whose end hung
// on it never got one where nothing else happened.
func TestTimersKeepLaterDeadline(t *testing.T) {
	c := &Core{}
	c.now = 100
	c.executeAction(&policy.Action{Kind: policy.ActTimer, After: 50})
	// A step at 160 asks for 300 before the loop has looked at 150.
	c.now = 160
	c.executeAction(&policy.Action{Kind: policy.ActTimer, After: 140})
	if !c.timers.due(161) {
		t.Fatal("the earlier one did not come")
	}
	if c.timers.next() != 300 || c.timers.due(299) {
		t.Fatalf("the later one is forgotten: next %d", c.timers.next())
	}
	c.timers.add(300) // asked for twice, it comes once
	if !c.timers.due(300) || c.timers.due(400) || c.timers.next() != 0 {
		t.Errorf("left: %v", c.timers)
	}
}
