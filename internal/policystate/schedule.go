package policystate

// WriteSchedule says when the file is due. Times and spans are in µs.
//
// What was learned has two versions: one that counts all changes, and one that
// counts those that a restart should not forget.
type WriteSchedule struct {
	minInterval    int64 // between two writes after a change of the urgent version
	interval       int64 // between two writes after any other
	bytesPerSecond float64
	tokens         float64 // bytes that could be written at the last write; below 0 where that was done ahead
	lastWrite      int64
	started        bool
	urgentVersion  uint64 // as of the last write
	version        uint64 // likewise
}

const (
	minWriteInterval  = 250e3                 // µs, whatever has changed
	maxBytesPerSecond = 8 << 10               // over time
	maxBurstBytes     = 8 * maxBytesPerSecond // that may be written ahead of it
	microsPerSecond   = 1e6
)

// NewWriteSchedule makes a schedule on which the file is written at such an interval
// while anything is learned, and sooner after what a restart should not forget.
func NewWriteSchedule(interval int64) *WriteSchedule {
	return &WriteSchedule{
		minInterval: min(minWriteInterval, interval), interval: interval,
		bytesPerSecond: maxBytesPerSecond, tokens: maxBurstBytes,
	}
}

// Due reports whether the file is to be written now, and else when to ask again
// though nothing changes; 0 for not at all.
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

// available is how many bytes may be written; below 0 where that was done ahead.
func (s *WriteSchedule) available(now int64) float64 {
	earned := float64(now-s.lastWrite) / microsPerSecond * s.bytesPerSecond
	return min(s.tokens+earned, maxBurstBytes)
}

// RecordWrite takes down a write of these versions.
func (s *WriteSchedule) RecordWrite(now int64, bytes int, urgentVersion, version uint64) {
	s.tokens = s.available(now) - float64(bytes)
	s.lastWrite, s.started = now, true
	s.urgentVersion, s.version = urgentVersion, version
}
