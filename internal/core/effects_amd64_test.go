package core

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"testing"
)

// The recorded effects are valid for amd64 only, hence the name of this file: other architectures may
// fuse floating-point operations and so give other results.

// TestEffectsAreUnchanged guards against unintended changes of effects, of their order and of their
// contents. One short run is recorded in full, the longer ones as digests.
func TestEffectsAreUnchanged(t *testing.T) {
	var digests, whole bytes.Buffer
	sim := newSimulation(t, 1)
	sim.golden = &whole
	sim.run(50)
	compareFixture(t, "effects.txt", whole.Bytes())
	for _, run := range goldenRuns {
		for seed := range uint64(12) {
			digest, counter := sha256.New(), &lineCounter{}
			run.play(t, seed, io.MultiWriter(digest, counter))
			fmt.Fprintf(&digests, "%s %d %d %x\n", run.name, seed, counter.lines, digest.Sum(nil))
		}
	}
	compareFixture(t, "effects.sha256", digests.Bytes())
}
