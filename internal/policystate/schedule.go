package policystate

// WriteSchedule decides when the file is written. A token bucket bounds the bytes per
// second. Times and durations are in µs.
//
// The state has two version numbers: one counts all changes, the urgent one only
// those that a restart must not lose.
type WriteSchedule struct {
	minInterval    int64 // between two writes after an urgent change
	interval       int64 // between two writes after another change
	bytesPerSecond float64
	tokens         float64 // bytes in the bucket at lastWrite; negative after a large write
	lastWrite      int64
	started        bool
	urgentVersion  uint64 // of the last write
	version        uint64 // of the last write
}

const (
	minWriteInterval  = 250e3                 // µs between two writes
	maxBytesPerSecond = 8 << 10               // on average
	maxBurstBytes     = 8 * maxBytesPerSecond // size of the token bucket
	microsPerSecond   = 1e6
)

// NewWriteSchedule returns a schedule that writes at this interval while the state
// changes, and sooner after urgent changes.
func NewWriteSchedule(interval int64) *WriteSchedule {
	return &WriteSchedule{
		minInterval: min(minWriteInterval, interval), interval: interval,
		bytesPerSecond: maxBytesPerSecond, tokens: maxBurstBytes,
	}
}

// Due reports whether the file should be written now. If not, it returns when to call
// it again even if the versions stay the same, or 0 for never.
func (s *WriteSchedule) Due(now int64, urgentVersion, version uint64) (due bool, again int64) {
	if !s.started {
		s.started, s.lastWrite = true, now
	}
	if urgentVersion == s.urgentVersion && version == s.version {
		return false, 0
	}
	at := s.lastWrite + s.interval
	if urgentVersion != s.urgentVersion {
		at = s.lastWrite + s.minInterval
	}
	if lack := -s.available(now); lack > 0 {
		at = max(at, now+int64(lack/s.bytesPerSecond*microsPerSecond)+1)
	}
	return now >= at, at
}

// available returns the bytes in the token bucket.
func (s *WriteSchedule) available(now int64) float64 {
	earned := float64(now-s.lastWrite) / microsPerSecond * s.bytesPerSecond
	return min(s.tokens+earned, maxBurstBytes)
}

// RecordWrite records that these versions were written with so many bytes.
func (s *WriteSchedule) RecordWrite(now int64, bytes int, urgentVersion, version uint64) {
	s.tokens = s.available(now) - float64(bytes)
	s.lastWrite, s.started = now, true
	s.urgentVersion, s.version = urgentVersion, version
}
