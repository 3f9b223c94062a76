package operatorconfig

import (
	"cmp"
	"time"

	"troutusher/internal/idlestore"
	"troutusher/internal/msgtrace"
	"troutusher/internal/tomlfile"
)

// Traces is what the log tells of single messages.
type Traces struct {
	// PerSecond is how many messages a second are traced from their acceptance on;
	// -1 for none.
	PerSecond int `toml:"per_second"`
}

const maxTracesPerSecond = 1 << 20

// MaxPerSecond is PerSecond as a number of messages.
func (t *Traces) MaxPerSecond() int { return max(cmp.Or(t.PerSecond, msgtrace.DefaultPerSecond), 0) }

func (t *Traces) validate(check *tomlfile.Checker) {
	if n := t.PerSecond; n < -1 || n > maxTracesPerSecond {
		check.Errorf("stories.per_second", "%d, want -1 to %d", n, maxTracesPerSecond)
	}
}

// PolicyState is the file of what the policy has learned.
type PolicyState struct {
	// WritePeriodS is how often it is written while anything is learned, in seconds;
	// -1 for never, and then none is read.
	WritePeriodS float64 `toml:"period_s"`
}

const (
	defaultWritePeriodS = 2.0
	minWritePeriodS     = 0.25
	maxWritePeriodS     = 60
)

// WritePeriod is WritePeriodS as a span of time; 0 for never.
func (s *PolicyState) WritePeriod() time.Duration {
	return seconds(max(cmp.Or(s.WritePeriodS, defaultWritePeriodS), 0))
}

func (s *PolicyState) validate(check *tomlfile.Checker) {
	if p := s.WritePeriodS; p != 0 && p != -1 && !within(p, minWritePeriodS, maxWritePeriodS) {
		check.Errorf("learned.period_s", "%v, want %v to %d, or -1", p, minWritePeriodS, maxWritePeriodS)
	}
}

// Passivation says which destinations are passivated.
type Passivation struct {
	// MaxActive is how many destinations may be active for any time; -1 for all.
	MaxActive int `toml:"awake"`
	// IdleTimeoutS is after how long without a message one beyond them is
	// passivated, in seconds.
	IdleTimeoutS float64 `toml:"quiet_s"`
}

const (
	defaultMaxActive    = 1024
	maxMaxActive        = 1 << 20
	defaultIdleTimeoutS = 60.0
	minPassivationIdleS = 10 // what is counted of a destination has aged out by then
	maxPassivationIdleS = 86400
)

// Limits are the core's.
func (p *Passivation) Limits() idlestore.Limits {
	return idlestore.Limits{
		MaxActive:   max(cmp.Or(p.MaxActive, defaultMaxActive), 0),
		IdleTimeout: seconds(cmp.Or(p.IdleTimeoutS, defaultIdleTimeoutS)).Microseconds(),
	}
}

func (p *Passivation) validate(check *tomlfile.Checker) {
	if n := p.MaxActive; n < -1 || n > maxMaxActive {
		check.Errorf("rest.awake", "%d, want -1 to %d", n, maxMaxActive)
	}
	if s := p.IdleTimeoutS; s != 0 && !within(s, minPassivationIdleS, maxPassivationIdleS) {
		check.Errorf("rest.quiet_s", "%v, want %d to %d", s, minPassivationIdleS, maxPassivationIdleS)
	}
}

// Discovery is what concerns the endpoint list.
type Discovery struct {
	// MaxListMB is how long a list may be, in units of 2^20 bytes.
	MaxListMB int `toml:"list_mb"`
}

const (
	defaultListMB = 4
	maxListMB     = 1024
)

// MaxListBytes is MaxListMB in bytes.
func (d *Discovery) MaxListBytes() int { return cmp.Or(d.MaxListMB, defaultListMB) << 20 }

func (d *Discovery) validate(check *tomlfile.Checker) {
	if n := d.MaxListMB; n < 0 || n > maxListMB {
		check.Errorf("discovery.list_mb", "%d, want 1 to %d", n, maxListMB)
	}
}
