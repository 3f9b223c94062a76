package core

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"testing"
)

// The recorded runs hold for amd64, as this file's name says: other machines may fuse
// floating-point operations.

// Effects, their order and all that they carry stay as recorded: whole for one short run,
// by digest for the others.
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
