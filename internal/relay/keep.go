package relay

import (
	"errors"
	"os"
	"strings"
	"time"

	"troutusher/decide"
	"troutusher/internal/core"
	"troutusher/internal/learned"
)

// keeper has what was learned written to its file, beside the loop: a slow disk
// makes nobody wait, and while one write is under way none is begun.
type keeper struct {
	r      *Relay
	store  *learned.Store
	pace   *learned.Pace
	boot   string
	busy   bool      // a write is under way
	wrote  chan int  // its bytes; -1 where it failed
	failed bool      // that was told
	seen   [2]uint64 // what it has
	stop   bool
}

const bootID = "/proc/sys/kernel/random/boot_id"

func newKeeper(r *Relay) *keeper {
	if r.cfg.LearnedEvery <= 0 {
		return nil
	}
	boot, _ := os.ReadFile(bootID) // where there is none, the wall clock has to do
	return &keeper{r: r, store: learned.NewStore(r.cfg.State, r.cfg.Name, int64(r.cfg.Limits.DiskMB)<<20), pace: learned.NewPace(r.cfg.LearnedEvery.Microseconds()),
		boot: strings.TrimSpace(string(boot)), wrote: make(chan int, 1)}
}

// reserve is what is kept free on the disk for it.
func (k *keeper) reserve(disk int64) int64 {
	if k == nil {
		return 0
	}
	return learned.Copies * learned.Share(disk)
}

// read is what an earlier process has left, and by how much its moments are off.
func (k *keeper) read() (l *core.StateSnapshot, shift decide.Time) {
	if k == nil {
		return nil, 0
	}
	f, err := k.store.Read()
	switch {
	case err != nil:
		k.r.log.Warn("learned: set aside, nothing is remembered", "err", err)
		return nil, 0
	case f == nil:
		return nil, 0
	}
	now := k.r.now()
	shift = f.Gap(mono()-now, mono(), time.Now().UnixMicro(), k.boot)
	k.r.log.Info("learned: remembered", "destinations", len(f.State.Policy.Limiters), "revision", f.State.Revision,
		"ago_ms", (now-f.State.Now-shift)/1000, "clean", f.Clean)
	return f.State, shift
}

// look writes what is due, and tells when to look again; 0 for not.
func (k *keeper) look(now decide.Time) decide.Time {
	if k == nil || k.stop {
		return 0
	}
	select {
	case n := <-k.wrote:
		k.busy = false
		k.pace.Wrote(now, max(n, 0), k.seen[0], k.seen[1]) // where it failed, the next change tries again, not the next step
	default:
	}
	if k.busy {
		return now + 50e3
	}
	due, again := k.pace.Due(now, k.r.core.StateVersion(), k.r.core.CompletedCalls())
	if !due {
		return again
	}
	f := k.file(now, false)
	k.busy = true
	go func() { k.wrote <- k.write(f) }()
	return now + 50e3
}

func (k *keeper) file(now decide.Time, clean bool) *learned.File {
	k.seen = [2]uint64{k.r.core.StateVersion(), k.r.core.CompletedCalls()}
	m := mono()
	return &learned.File{Wall: time.Now().UnixMicro(), Mono: m, Zero: m - k.r.now(), Boot: k.boot, Clean: clean, State: k.r.core.SnapshotState(now)}
}

func (k *keeper) write(f *learned.File) int {
	n, err := k.store.Write(f)
	if errors.Is(err, learned.ErrTooLong) {
		f.State.DropRecentCounts()
		n, err = k.store.Write(f)
	}
	if err != nil {
		if !k.failed {
			k.r.log.Warn("learned: not written", "err", err)
		}
		k.failed = true
		return -1
	}
	k.failed = false
	return n
}

// halt ends the writing, and waits for the one that is under way; resume goes on.
func (k *keeper) halt() {
	if k == nil {
		return
	}
	k.stop = true
	if k.busy {
		<-k.wrote
		k.busy = false
	}
}

func (k *keeper) resume() {
	if k != nil {
		k.stop = false
	}
}

// last writes what is known as a process ends that knows that it does.
func (k *keeper) last() {
	if k == nil {
		return
	}
	k.halt()
	k.write(k.file(k.r.now(), true))
}
