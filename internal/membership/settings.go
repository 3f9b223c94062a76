package membership

import (
	"errors"
	"fmt"
	"slices"
)

// Source is one that states which endpoints there are.
type Source struct {
	Name       string
	StaleAfter Time // silent for so long, it no longer takes precedence over fresh sources
}

// Settings are the parameters of the merge.
type Settings struct {
	Sources []Source // in order of precedence
	// A source may remove MaxRemovalShare of what it lists within RemovalWindow, and
	// MinRemovalLimit endpoints in any case; removals beyond that are held.
	MaxRemovalShare float64
	MinRemovalLimit int
	RemovalWindow   Time
	// An endpoint that went down MaxFlaps times within FlapWindow comes up again HoldDown
	// after it last did.
	MaxFlaps         int
	FlapWindow       Time
	HoldDown         Time
	MaxUpsPerStep    int  // endpoints that come up in one step
	RemovalRetention Time // how long a removal binds the other sources
}

// DefaultSettings are parameters for some thousand endpoints.
func DefaultSettings(sources ...Source) Settings {
	return Settings{
		Sources:          sources,
		MaxRemovalShare:  0.5,
		MinRemovalLimit:  2,
		RemovalWindow:    30e6,
		MaxFlaps:         4,
		FlapWindow:       10e6,
		HoldDown:         5e6,
		MaxUpsPerStep:    4096,
		RemovalRetention: 600e6,
	}
}

// Check returns an error that names what is wrong with the settings, or nil.
func (s *Settings) Check() error {
	if len(s.Sources) == 0 {
		return errors.New("membership: no source")
	}
	for i := range s.Sources {
		source := &s.Sources[i]
		sameName := func(other Source) bool { return other.Name == source.Name }
		switch {
		case source.Name == "":
			return fmt.Errorf("membership: source %d has no name", i+1)
		case slices.ContainsFunc(s.Sources[:i], sameName):
			return fmt.Errorf("membership: two sources are called %q", source.Name)
		case source.StaleAfter <= 0:
			return fmt.Errorf("membership: source %s: stale after %d", source.Name, source.StaleAfter)
		}
	}
	switch {
	case !(s.MaxRemovalShare >= 0 && s.MaxRemovalShare <= 1): // also where it is not a number
		return fmt.Errorf("membership: a share of %v that may be removed", s.MaxRemovalShare)
	case s.MinRemovalLimit < 0, s.RemovalWindow <= 0,
		s.MaxFlaps < 1, s.FlapWindow <= 0, s.HoldDown < 0,
		s.MaxUpsPerStep < 1, s.RemovalRetention <= 0:
		return errors.New("membership: a parameter is out of range")
	}
	return nil
}
