package core

import (
	"fmt"
	"strings"
	"testing"
)

// TestOrderOfEffects guards against effects in a wrong order. Under random events the simulation
// checks that a message is logged, then acknowledged, then sent, that it has at most one open attempt
// and one end, and that nothing is sent to a closed endpoint.
func TestOrderOfEffects(t *testing.T) {
	sent := 0
	for seed := range uint64(150) {
		text := newSimulation(t, seed).run(400)
		sent += strings.Count(text, fmt.Sprintf(" %T m", AppendThenSend{}))
	}
	if sent < 5000 {
		t.Errorf("the test is too weak: %d calls were sent, want at least 5000", sent)
	}
}

// TestDeterministic guards against effects that depend on anything but the events and their times,
// such as the iteration order of a map.
func TestDeterministic(t *testing.T) {
	for seed := range uint64(60) {
		if a, b := newSimulation(t, seed).run(300), newSimulation(t, seed).run(300); a != b {
			t.Fatalf("two runs with seed %d have different traces, want the same", seed)
		}
	}
}
