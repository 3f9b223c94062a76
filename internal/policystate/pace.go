package policystate

// WriteSchedule says when the file is due. Times and spans are in µs.
type WriteSchedule struct {
	minInterval, interval int64
	bytesPerSecond        float64 // bytes a second, over time
	tokens                float64
	lastWrite             int64 // of the last write
	started               bool
	urgentVersion         uint64 // as of the last write
	version               uint64
}

const (
	minWriteInterval  = 250e3   // between two writes, whatever happened
	maxBytesPerSecond = 8 << 10 // bytes a second
	maxBurstBytes     = 8 * maxBytesPerSecond
)

// NewWriteSchedule makes a pace at which the file is written every so often while
// anything is learned, and sooner where a restart should not forget it.
func NewWriteSchedule(every int64) *WriteSchedule {
	return &WriteSchedule{minInterval: min(minWriteInterval, every), interval: every, bytesPerSecond: maxBytesPerSecond, tokens: maxBurstBytes}
}

// Due tells whether the file is to be written now, and else when to ask again
// though nothing happens; 0 for not.
func (p *WriteSchedule) Due(now int64, stirred, moved uint64) (due bool, again int64) {
	if !p.started {
		p.started, p.lastWrite = true, now
	}
	if stirred == p.urgentVersion && moved == p.version {
		return false, 0
	}
	at := p.lastWrite + p.interval
	if stirred != p.urgentVersion {
		at = p.lastWrite + p.minInterval
	}
	if lack := -p.available(now); lack > 0 {
		at = max(at, now+int64(lack/p.bytesPerSecond*1e6)+1)
	}
	return now >= at, at
}

// available is what may be written, less than nothing where that was done ahead.
func (p *WriteSchedule) available(now int64) float64 {
	return min(p.tokens+float64(now-p.lastWrite)/1e6*p.bytesPerSecond, maxBurstBytes)
}

// RecordWrite books a write of what was known at a moment.
func (p *WriteSchedule) RecordWrite(now int64, bytes int, stirred, moved uint64) {
	p.tokens = p.available(now) - float64(bytes)
	p.lastWrite, p.started, p.urgentVersion, p.version = now, true, stirred, moved
}

// ClockShift tells how the moments of a file lie on the clock of the process that reads
// it: what is to be added to them. zero is moment 0 of that clock on the machine's
// monotonic one, mono and wall are now, all in µs, and boot names the boot. Within
// a boot the monotonic clock tells how long ago it was written; else the wall
// clock does, and one that went back tells nothing: then no time has passed, so
// that no wait is shorter for it.
func (f *File) ClockShift(zero, mono, wall int64, boot string) (shift int64) {
	if f.BootID != "" && f.BootID == boot && mono >= f.WrittenAtMonotonic {
		return f.ClockZero - zero
	}
	passed := max(wall-f.WrittenAt, 0)
	return (mono - zero) - passed - f.State.Now
}
