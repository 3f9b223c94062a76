package relay

import (
	"errors"
	"os"
	"strings"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/policystate"
	"troutusher/policy"
)

// stateSaver has what was learned written to its file, beside the loop: a slow disk
// makes nobody wait, and while one write is under way none is begun.
type stateSaver struct {
	relay         *Relay
	store         *policystate.Store
	schedule      *policystate.WriteSchedule
	bootID        string
	writing       bool      // a write is under way
	written       chan int  // its bytes; -1 where it failed
	writeFailed   bool      // that was told
	savedVersions [2]uint64 // what it has
	paused        bool
}

const bootIDPath = "/proc/sys/kernel/random/boot_id"

func newStateSaver(r *Relay) *stateSaver {
	if r.cfg.PolicyStatePeriod <= 0 {
		return nil
	}
	boot, _ := os.ReadFile(bootIDPath) // where there is none, the wall clock has to do
	return &stateSaver{relay: r, store: policystate.NewStore(r.cfg.State, r.cfg.Name, int64(r.cfg.Limits.DiskMB)<<20), schedule: policystate.NewWriteSchedule(r.cfg.PolicyStatePeriod.Microseconds()),
		bootID: strings.TrimSpace(string(boot)), written: make(chan int, 1)}
}

// diskReserve is what is kept free on the disk for it.
func (k *stateSaver) diskReserve(disk int64) int64 {
	if k == nil {
		return 0
	}
	return policystate.MaxCopies * policystate.MaxFileBytes(disk)
}

// load is what an earlier process has left, and by how much its moments are off.
func (k *stateSaver) load() (l *core.StateSnapshot, shift policy.Time) {
	if k == nil {
		return nil, 0
	}
	f, err := k.store.Read()
	switch {
	case err != nil:
		k.relay.log.Warn("learned: set aside, nothing is remembered", "err", err)
		return nil, 0
	case f == nil:
		return nil, 0
	}
	now := k.relay.now()
	shift = f.ClockShift(monotonicMicros()-now, monotonicMicros(), time.Now().UnixMicro(), k.bootID)
	k.relay.log.Info("learned: remembered", "destinations", len(f.State.Policy.Limiters), "revision", f.State.Revision,
		"ago_ms", (now-f.State.Now-shift)/1000, "clean", f.CleanShutdown)
	return f.State, shift
}

// saveIfDue writes what is due, and tells when to look again; 0 for not.
func (k *stateSaver) saveIfDue(now policy.Time) policy.Time {
	if k == nil || k.paused {
		return 0
	}
	select {
	case n := <-k.written:
		k.writing = false
		k.schedule.RecordWrite(now, max(n, 0), k.savedVersions[0], k.savedVersions[1]) // where it failed, the next change tries again, not the next step
	default:
	}
	if k.writing {
		return now + 50e3
	}
	due, again := k.schedule.Due(now, k.relay.core.StateVersion(), k.relay.core.CompletedCalls())
	if !due {
		return again
	}
	f := k.snapshotFile(now, false)
	k.writing = true
	go func() { k.written <- k.write(f) }()
	return now + 50e3
}

func (k *stateSaver) snapshotFile(now policy.Time, clean bool) *policystate.File {
	k.savedVersions = [2]uint64{k.relay.core.StateVersion(), k.relay.core.CompletedCalls()}
	m := monotonicMicros()
	return &policystate.File{WrittenAt: time.Now().UnixMicro(), WrittenAtMonotonic: m, ClockZero: m - k.relay.now(), BootID: k.bootID, CleanShutdown: clean, State: k.relay.core.SnapshotState(now)}
}

func (k *stateSaver) write(f *policystate.File) int {
	n, err := k.store.Write(f)
	if errors.Is(err, policystate.ErrTooLarge) {
		f.State.DropRecentCounts()
		n, err = k.store.Write(f)
	}
	if err != nil {
		if !k.writeFailed {
			k.relay.log.Warn("learned: not written", "err", err)
		}
		k.writeFailed = true
		return -1
	}
	k.writeFailed = false
	return n
}

// pause ends the writing, and waits for the one that is under way; resume goes on.
func (k *stateSaver) pause() {
	if k == nil {
		return
	}
	k.paused = true
	if k.writing {
		<-k.written
		k.writing = false
	}
}

func (k *stateSaver) resume() {
	if k != nil {
		k.paused = false
	}
}

// saveFinal writes what is known as a process ends that knows that it does.
func (k *stateSaver) saveFinal() {
	if k == nil {
		return
	}
	k.pause()
	k.write(k.snapshotFile(k.relay.now(), true))
}
