package learned

// Pace says when the file is due. Times and spans are in µs.
type Pace struct {
	soon, late int64
	rate       float64 // bytes a second, over time
	room       float64
	at         int64 // of the last write
	begun      bool
	stirred    uint64 // as of the last write
	moved      uint64
}

const (
	soonest = 250e3   // between two writes, whatever happened
	rate    = 8 << 10 // bytes a second
	depth   = 8 * rate
)

// NewPace makes a pace at which the file is written every so often while
// anything is learned, and sooner where a restart should not forget it.
func NewPace(every int64) *Pace {
	return &Pace{soon: min(soonest, every), late: every, rate: rate, room: depth}
}

// Due tells whether the file is to be written now, and else when to ask again
// though nothing happens; 0 for not.
func (p *Pace) Due(now int64, stirred, moved uint64) (due bool, again int64) {
	if !p.begun {
		p.begun, p.at = true, now
	}
	if stirred == p.stirred && moved == p.moved {
		return false, 0
	}
	at := p.at + p.late
	if stirred != p.stirred {
		at = p.at + p.soon
	}
	if lack := -p.budget(now); lack > 0 {
		at = max(at, now+int64(lack/p.rate*1e6)+1)
	}
	return now >= at, at
}

// budget is what may be written, less than nothing where that was done ahead.
func (p *Pace) budget(now int64) float64 {
	return min(p.room+float64(now-p.at)/1e6*p.rate, depth)
}

// Wrote books a write of what was known at a moment.
func (p *Pace) Wrote(now int64, bytes int, stirred, moved uint64) {
	p.room = p.budget(now) - float64(bytes)
	p.at, p.begun, p.stirred, p.moved = now, true, stirred, moved
}

// Gap tells how the moments of a file lie on the clock of the process that reads
// it: what is to be added to them. zero is moment 0 of that clock on the machine's
// monotonic one, mono and wall are now, all in µs, and boot names the boot. Within
// a boot the monotonic clock tells how long ago it was written; else the wall
// clock does, and one that went back tells nothing: then no time has passed, so
// that no wait is shorter for it.
func (f *File) Gap(zero, mono, wall int64, boot string) (shift int64) {
	if f.Boot != "" && f.Boot == boot && mono >= f.Mono {
		return f.Zero - zero
	}
	passed := max(wall-f.Wall, 0)
	return (mono - zero) - passed - f.State.Now
}
