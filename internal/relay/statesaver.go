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

// bootIDPath is the file with the ID of the machine's current boot. Readings of the
// monotonic clock can be compared only within one boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// savePollInterval is how often saveIfDue checks whether a write has ended.
const savePollInterval = policy.Time(50e3)

// stateSaver writes the policy state to its file. Periodic writes run in a goroutine of
// their own, so that a slow disk doesn't block the event loop; there is at most one at
// a time. All methods except write are called by the event loop's goroutine. Those that
// Relay calls do nothing if the receiver is nil.
type stateSaver struct {
	relay         *Relay
	store         *policystate.Store
	schedule      *policystate.WriteSchedule
	bootID        string // empty if it cannot be read
	paused        bool
	writing       bool
	written       chan int      // the size of each file written, in bytes; -1 for a failed write
	writeFailed   bool          // the last write failed, and that was logged
	savedVersions stateVersions // of the last write that was started
}

// stateVersions are counters of the core that change with its state. They show whether
// the state has changed since the last write.
type stateVersions struct{ state, completedCalls uint64 }

// newStateSaver returns nil if the configuration disables saving.
func newStateSaver(r *Relay) *stateSaver {
	if r.cfg.PolicyStatePeriod <= 0 {
		return nil
	}
	bootID, _ := os.ReadFile(bootIDPath) // without it File.ClockShift uses the wall clock
	return &stateSaver{
		relay:    r,
		store:    policystate.NewStore(r.cfg.State, r.cfg.Name, int64(r.cfg.Limits.DiskMB)<<20),
		schedule: policystate.NewWriteSchedule(r.cfg.PolicyStatePeriod.Microseconds()),
		bootID:   strings.TrimSpace(string(bootID)),
		written:  make(chan int, 1),
	}
}

// diskReserve returns how many bytes of the disk limit the policy state may take,
// including its copies.
func (s *stateSaver) diskReserve(disk int64) int64 {
	if s == nil {
		return 0
	}
	return policystate.MaxCopies * policystate.MaxFileBytes(disk)
}

// load returns the state that an earlier process has saved, or nil if there is none,
// and the duration to add to its times to convert them to this process's core clock.
func (s *stateSaver) load() (saved *core.StateSnapshot, clockShift policy.Time) {
	if s == nil {
		return nil, 0
	}
	file, err := s.store.Read()
	switch {
	case err != nil:
		s.relay.log.Warn("policy state: saved file is unusable and was set aside, starting without it", "err", err)
		return nil, 0
	case file == nil:
		return nil, 0
	}
	now := s.relay.now()
	clockShift = file.ClockShift(monotonicMicros()-now, monotonicMicros(), time.Now().UnixMicro(), s.bootID)
	s.relay.log.Info("policy state: loaded the saved file",
		"destinations", len(file.State.Policy.Limiters), "revision", file.State.Revision,
		"ago_ms", (now-file.State.Now-clockShift)/1000, "clean", file.CleanShutdown)
	return file.State, clockShift
}

// saveIfDue starts a write if one is due. It returns the time at which it has to be
// called again, or 0 if that is not necessary before the state changes.
func (s *stateSaver) saveIfDue(now policy.Time) policy.Time {
	if s == nil || s.paused {
		return 0
	}
	select {
	case size := <-s.written:
		s.writing = false
		// A failed write is recorded too: the next attempt follows the next change of
		// the state, and not the next step.
		s.schedule.RecordWrite(now, max(size, 0), s.savedVersions.state, s.savedVersions.completedCalls)
	default:
	}
	if s.writing {
		return now + savePollInterval
	}
	due, nextCall := s.schedule.Due(now, s.relay.core.StateVersion(), s.relay.core.CompletedCalls())
	if !due {
		return nextCall
	}
	file := s.snapshotFile(now, false)
	s.writing = true
	go func() { s.written <- s.write(file) }()
	return now + savePollInterval
}

// snapshotFile returns the file to write for the core's current state.
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

// write writes the file and returns its size in bytes, or -1 if that failed. If the
// file is too large, write drops the counts of the last seconds and tries again.
func (s *stateSaver) write(file *policystate.File) (size int) {
	size, err := s.store.Write(file)
	if errors.Is(err, policystate.ErrTooLarge) {
		file.State.DropRecentCounts()
		size, err = s.store.Write(file)
	}
	if err != nil {
		if !s.writeFailed {
			s.relay.log.Warn("policy state: write failed, the previous file stays", "err", err)
		}
		s.writeFailed = true
		return -1
	}
	s.writeFailed = false
	return size
}

// pause prevents further writes until resume, and waits for the write in progress.
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

// resume allows writes again after pause.
func (s *stateSaver) resume() {
	if s != nil {
		s.paused = false
	}
}

// saveFinal writes the state at the end of a shutdown.
func (s *stateSaver) saveFinal() {
	if s == nil {
		return
	}
	s.pause()
	s.write(s.snapshotFile(s.relay.now(), true))
}
