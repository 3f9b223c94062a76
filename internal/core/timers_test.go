package core

import (
	"testing"

	"troutusher/policy"
)

// Guards the later of two moments: the policy asked for it in a step that ran
// just past the earlier one, and does not ask again. A message whose end hung
// on it never got one where nothing else happened.
func TestTimersKeepLaterDeadline(t *testing.T) {
	r := &Core{}
	r.now = 100
	r.executeAction(&policy.Action{Kind: policy.ActTimer, After: 50})
	// A step at 160 asks for 300 before the loop has looked at 150.
	r.now = 160
	r.executeAction(&policy.Action{Kind: policy.ActTimer, After: 140})
	if !r.timers.due(161) {
		t.Fatal("the earlier one did not come")
	}
	if r.timers.next() != 300 || r.timers.due(299) {
		t.Fatalf("the later one is forgotten: next %d", r.timers.next())
	}
	r.timers.add(300) // asked for twice, it comes once
	if !r.timers.due(300) || r.timers.due(400) || r.timers.next() != 0 {
		t.Errorf("left: %v", r.timers)
	}
}
