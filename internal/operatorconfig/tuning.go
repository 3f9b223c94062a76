package operatorconfig

import (
	"cmp"
	"time"

	"troutusher/internal/idlestore"
	"troutusher/internal/msgtrace"
	"troutusher/internal/tomlfile"
)

// Traces contains the settings for message traces, the lines in the program's log that
// follow one message. Its section in the file is called stories.
type Traces struct {
	// PerSecond is the maximum number of messages per second that are traced from their
	// submission on, through all steps; -1 for none. For all other messages the log contains
	// only three events: an attempt failed, the message ended without being delivered, or it
	// was recovered after a restart.
	PerSecond int `toml:"per_second"`
}

const maxTracesPerSecond = 1 << 20

// MaxPerSecond returns the number of messages per second to trace.
func (t *Traces) MaxPerSecond() int { return max(cmp.Or(t.PerSecond, msgtrace.DefaultPerSecond), 0) }

func (t *Traces) validate(check *tomlfile.Checker) {
	if n := t.PerSecond; n < -1 || n > maxTracesPerSecond {
		check.Errorf("stories.per_second", "%d, want -1 to %d", n, maxTracesPerSecond)
	}
}

// PolicyState contains the settings for storing what the policy has learned about
// destinations, so that a restarted relay can use it. Its section in the file is called
// learned.
type PolicyState struct {
	// WritePeriodS is the interval between writes while the state changes, in seconds. With
	// -1 the state is neither written nor read.
	WritePeriodS float64 `toml:"period_s"`
}

const (
	defaultWritePeriodS = 2.0
	minWritePeriodS     = 0.25
	maxWritePeriodS     = 60
)

// WritePeriod returns the interval between writes, or 0 if the state is not stored.
func (s *PolicyState) WritePeriod() time.Duration {
	return seconds(max(cmp.Or(s.WritePeriodS, defaultWritePeriodS), 0))
}

func (s *PolicyState) validate(check *tomlfile.Checker) {
	if period := s.WritePeriodS; period != 0 && period != -1 && !within(period, minWritePeriodS, maxWritePeriodS) {
		check.Errorf("learned.period_s", "%v, want %v to %d, or -1", period, minWritePeriodS, maxWritePeriodS)
	}
}

// Passivation contains the settings for passivating idle destinations: a passivated
// destination is moved out of the core to the compact store of package idlestore, and back
// when it is used again. The section in the file is called rest.
type Passivation struct {
	// MaxActive is the number of destinations that stay active no matter how long they are
	// idle; -1 for all.
	MaxActive int `toml:"awake"`
	// IdleTimeoutS is the time without a message, in seconds, after which a destination is
	// passivated if more than MaxActive are active.
	IdleTimeoutS float64 `toml:"quiet_s"`
}

const (
	defaultMaxActive    = 1024
	maxMaxActive        = 1 << 20
	defaultIdleTimeoutS = 60.0
	// minPassivationIdleS is 10 because the policy counts a destination's requests over the last
	// 10 s: after that long without a request, the counts are zero.
	minPassivationIdleS = 10
	maxPassivationIdleS = 86400
)

// Limits returns the settings in the form of package idlestore, with defaults for values that are
// not set. MaxActive -1, for all, becomes 0, which has that meaning in idlestore.
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

// Discovery contains the settings for the endpoint list that discovery sends.
type Discovery struct {
	// MaxListMB is the maximum size of an endpoint list, in units of 2^20 bytes.
	MaxListMB int `toml:"list_mb"`
}

const (
	defaultListMB = 4
	maxListMB     = 1024
)

// MaxListBytes returns the maximum size of an endpoint list in bytes.
func (d *Discovery) MaxListBytes() int { return cmp.Or(d.MaxListMB, defaultListMB) << 20 }

func (d *Discovery) validate(check *tomlfile.Checker) {
	if n := d.MaxListMB; n < 0 || n > maxListMB {
		check.Errorf("discovery.list_mb", "%d, want 1 to %d", n, maxListMB)
	}
}
