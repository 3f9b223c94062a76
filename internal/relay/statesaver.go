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

// bootIDPath names the boot of the machine: the monotonic clock goes on within one.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// savePollInterval is how often the end of a write is looked for.
const savePollInterval = policy.Time(50e3)

// stateSaver has the policy state written to its file beside the event loop: a slow
// disk makes nobody wait. While one write is under way none is begun. All methods
// are the event loop's, and do nothing where the receiver is nil.
type stateSaver struct {
	relay         *Relay
	store         *policystate.Store
	schedule      *policystate.WriteSchedule
	bootID        string // empty where it cannot be read
	paused        bool
	writing       bool
	written       chan int      // once a write has ended: its bytes; -1 where it failed
	writeFailed   bool          // the last write failed, which was logged
	savedVersions stateVersions // of the last write that was begun
}

// stateVersions tell whether there is anything to be written.
type stateVersions struct{ state, completedCalls uint64 }

// newStateSaver returns nil where the configuration wants nothing saved.
func newStateSaver(r *Relay) *stateSaver {
	if r.cfg.PolicyStatePeriod <= 0 {
		return nil
	}
	bootID, _ := os.ReadFile(bootIDPath) // without it the wall clock has to do
	return &stateSaver{
		relay:    r,
		store:    policystate.NewStore(r.cfg.State, r.cfg.Name, int64(r.cfg.Limits.DiskMB)<<20),
		schedule: policystate.NewWriteSchedule(r.cfg.PolicyStatePeriod.Microseconds()),
		bootID:   strings.TrimSpace(string(bootID)),
		written:  make(chan int, 1),
	}
}

// diskReserve is how many of the disk's bytes the file may take.
func (s *stateSaver) diskReserve(disk int64) int64 {
	if s == nil {
		return 0
	}
	return policystate.MaxCopies * policystate.MaxFileBytes(disk)
}

// load reads what an earlier process has saved (nil for nothing), and how far the
// clock of its times has to be shifted.
func (s *stateSaver) load() (saved *core.StateSnapshot, clockShift policy.Time) {
	if s == nil {
		return nil, 0
	}
	file, err := s.store.Read()
	switch {
	case err != nil:
		s.relay.log.Warn("learned: set aside, nothing is remembered", "err", err)
		return nil, 0
	case file == nil:
		return nil, 0
	}
	now := s.relay.now()
	clockShift = file.ClockShift(monotonicMicros()-now, monotonicMicros(), time.Now().UnixMicro(), s.bootID)
	s.relay.log.Info("learned: remembered",
		"destinations", len(file.State.Policy.Limiters), "revision", file.State.Revision,
		"ago_ms", (now-file.State.Now-clockShift)/1000, "clean", file.CleanShutdown)
	return file.State, clockShift
}

// saveIfDue begins a write if one is due, and returns when to call it again; 0 for
// when something has changed.
func (s *stateSaver) saveIfDue(now policy.Time) policy.Time {
	if s == nil || s.paused {
		return 0
	}
	select {
	case size := <-s.written:
		s.writing = false
		// After a write that failed the next change tries again, not the next step.
		s.schedule.RecordWrite(now, max(size, 0), s.savedVersions.state, s.savedVersions.completedCalls)
	default:
	}
	if s.writing {
		return now + savePollInterval
	}
	due, again := s.schedule.Due(now, s.relay.core.StateVersion(), s.relay.core.CompletedCalls())
	if !due {
		return again
	}
	file := s.snapshotFile(now, false)
	s.writing = true
	go func() { s.written <- s.write(file) }()
	return now + savePollInterval
}

// snapshotFile is the file of what is known now.
func (s *stateSaver) snapshotFile(now policy.Time, cleanShutdown bool) *policystate.File {
	c := s.relay.core
	s.savedVersions = stateVersions{state: c.StateVersion(), completedCalls: c.CompletedCalls()}
	monotonic := monotonicMicros()
	return &policystate.File{
		WrittenAt:          time.Now().UnixMicro(),
		WrittenAtMonotonic: monotonic,
		ClockZero:          monotonic - s.relay.now(),
		BootID:             s.bootID,
		CleanShutdown:      cleanShutdown,
		State:              c.SnapshotState(now),
	}
}

// write returns the bytes written, or -1. One that is too large goes without the
// counts of the last seconds.
func (s *stateSaver) write(file *policystate.File) (size int) {
	size, err := s.store.Write(file)
	if errors.Is(err, policystate.ErrTooLarge) {
		file.State.DropRecentCounts()
		size, err = s.store.Write(file)
	}
	if err != nil {
		if !s.writeFailed {
			s.relay.log.Warn("learned: not written", "err", err)
		}
		s.writeFailed = true
		return -1
	}
	s.writeFailed = false
	return size
}

// pause begins no further write, and waits for the one that is under way.
func (s *stateSaver) pause() {
	if s == nil {
		return
	}
	s.paused = true
	if s.writing {
		<-s.written
		s.writing = false
	}
}

// resume ends pause.
func (s *stateSaver) resume() {
	if s != nil {
		s.paused = false
	}
}

// saveFinal writes what is known as the process ends after a shutdown.
func (s *stateSaver) saveFinal() {
	if s == nil {
		return
	}
	s.pause()
	s.write(s.snapshotFile(s.relay.now(), true))
}
