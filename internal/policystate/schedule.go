package policystate

// WriteSchedule decides when to write the file. A token bucket limits the bytes that are
// written per second. Times and durations are in µs.
//
// The state has two version numbers: version counts all changes, urgentVersion counts
// only those that a restart must not lose. The caller passes both.
type WriteSchedule struct {
	minInterval    int64 // from a write to the next one after an urgent change
	interval       int64 // from a write to the next one after any other change
	bytesPerSecond float64
	tokens         float64 // bytes in the bucket at lastWrite; negative after a large write
	lastWrite      int64
	started        bool
	urgentVersion  uint64 // at the last write
	version        uint64 // at the last write
}

const (
	minWriteInterval  = 250e3                 // µs from a write to the next one after an urgent change
	maxBytesPerSecond = 8 << 10               // on average
	maxBurstBytes     = 8 * maxBytesPerSecond // capacity of the token bucket
	microsPerSecond   = 1e6
)

// NewWriteSchedule returns a schedule that writes at the given interval while the state
// changes, and sooner after urgent changes.
func NewWriteSchedule(interval int64) *WriteSchedule {
	return &WriteSchedule{
		minInterval: min(minWriteInterval, interval), interval: interval,
		bytesPerSecond: maxBytesPerSecond, tokens: maxBurstBytes,
	}
}

// Due reports whether the file should be written now. If not, nextCheckAt is the time at
// which to call Due again although the versions have not changed, or 0 if a call is needed
// only after a change.
func (s *WriteSchedule) Due(now int64, urgentVersion, version uint64) (due bool, nextCheckAt int64) {
	if !s.started {
		s.started, s.lastWrite = true, now
	}
	if urgentVersion == s.urgentVersion && version == s.version {
		return false, 0
	}
	dueAt := s.lastWrite + s.interval
	if urgentVersion != s.urgentVersion {
		dueAt = s.lastWrite + s.minInterval
	}
	if missing := -s.available(now); missing > 0 {
		dueAt = max(dueAt, now+int64(missing/s.bytesPerSecond*microsPerSecond)+1)
	}
	return now >= dueAt, dueAt
}

// available returns the number of bytes in the token bucket, which may be negative.
func (s *WriteSchedule) available(now int64) float64 {
	refilled := float64(now-s.lastWrite) / microsPerSecond * s.bytesPerSecond
	return min(s.tokens+refilled, maxBurstBytes)
}

// RecordWrite records that a file of this many bytes was written with these versions of
// the state.
func (s *WriteSchedule) RecordWrite(now int64, bytes int, urgentVersion, version uint64) {
	s.tokens = s.available(now) - float64(bytes)
	s.lastWrite, s.started = now, true
	s.urgentVersion, s.version = urgentVersion, version
}
