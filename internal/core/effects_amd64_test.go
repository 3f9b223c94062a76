package core

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"testing"

	"troutusher/policy"
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

// goldenRuns are the simulated runs whose effects are recorded.
var goldenRuns = []struct {
	name string
	play func(t *testing.T, seed uint64, golden io.Writer)
}{
	{"plain", func(t *testing.T, seed uint64, golden io.Writer) {
		sim := newSimulation(t, seed)
		sim.golden = golden
		sim.run(300)
	}},
	{"deferred", func(t *testing.T, seed uint64, golden io.Writer) {
		sim := newSimulation(t, seed)
		sim.golden = golden
		sim.core.DeferSends()
		sim.run(60)
		sim.execute(sim.core.Step(sim.now, []Event{Started{}}, nil))
		sim.runFrom(60, 100)
		sim.execute(sim.core.Step(sim.now, []Event{ShutdownRequested{}}, nil))
		sim.runFrom(160, 100)
	}},
	{"handover", func(t *testing.T, seed uint64, golden io.Writer) {
		sim := newSimulation(t, seed)
		sim.golden = golden
		log := newLogModel()
		sim.logModel = log
		for turn := range 3 {
			sim.runFrom(turn*60, 60)
			sim.handOver(log, policy.Time(sim.rng.Int64N(2e9))-1e9)
		}
	}},
	{"passive", func(t *testing.T, seed uint64, golden io.Writer) {
		sim := newPassiveSimulation(t, seed)
		sim.golden = golden
		for turn := range 3 {
			sim.runFrom(turn*100, 100)
			sim.handOverWithDriver(sim.logModel)
		}
	}},
}

// lineCounter is a writer that counts lines.
type lineCounter struct{ lines int }

func (c *lineCounter) Write(b []byte) (int, error) {
	c.lines += bytes.Count(b, []byte("\n"))
	return len(b), nil
}
