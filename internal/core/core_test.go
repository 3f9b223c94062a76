package core

import (
	"fmt"
	"strings"
	"testing"
)

// Whatever happens, in whatever order: log, reply, send; one open attempt of each
// message; nothing to an endpoint that has left; one end of each message.
func TestOrderOfEffects(t *testing.T) {
	sent := 0
	for seed := range uint64(150) {
		text := newSimulation(t, seed).run(400)
		sent += strings.Count(text, fmt.Sprintf(" %T m", AppendThenSend{}))
	}
	if sent < 5000 {
		t.Errorf("only %d sends in all", sent)
	}
}

// The same events at the same times give the same effects, byte for byte.
func TestDeterministic(t *testing.T) {
	for seed := range uint64(60) {
		if a, b := newSimulation(t, seed).run(300), newSimulation(t, seed).run(300); a != b {
			t.Fatalf("seed %d differs", seed)
		}
	}
}
