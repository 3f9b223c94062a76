package membership

import (
	"errors"
	"fmt"
	"slices"
)

// Source is a source of endpoint lists.
type Source struct {
	Name       string
	StaleAfter Time // after that much silence it no longer takes precedence over fresh sources
}

// Settings are the parameters of the merge.
type Settings struct {
	Sources []Source // in order of precedence
	// MaxRemovalShare is the share of its listed endpoints that a source may remove within RemovalWindow.
	// If that is less than MinRemovalLimit endpoints, the source may remove MinRemovalLimit. Removals
	// beyond the limit are held: the endpoints stay listed until a resync of the source confirms the removals.
	MaxRemovalShare float64
	MinRemovalLimit int
	RemovalWindow   Time
	// An endpoint that went down MaxFlaps times within FlapWindow is published as up again only
	// HoldDown after it last went down.
	MaxFlaps         int
	FlapWindow       Time
	HoldDown         Time
	MaxUpsPerStep    int  // maximum number of endpoints that one call of View.Step publishes as up
	RemovalRetention Time // how long a removal overrides the other sources
}

// DefaultSettings returns settings that suit some thousand endpoints.
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

// Check returns an error if the settings are invalid.
func (s *Settings) Check() error {
	if len(s.Sources) == 0 {
		return errors.New("membership: settings have no source")
	}
	for i := range s.Sources {
		source := &s.Sources[i]
		sameName := func(other Source) bool { return other.Name == source.Name }
		switch {
		case source.Name == "":
			return fmt.Errorf("membership: source %d has no name", i+1)
		case slices.ContainsFunc(s.Sources[:i], sameName):
			return fmt.Errorf("membership: two sources have the name %q", source.Name)
		case source.StaleAfter <= 0:
			return fmt.Errorf("membership: source %s: StaleAfter is %d, want over 0", source.Name, source.StaleAfter)
		}
	}
	switch {
	case !(s.MaxRemovalShare >= 0 && s.MaxRemovalShare <= 1): // negated, so that NaN fails too
		return fmt.Errorf("membership: MaxRemovalShare is %v, must be from 0 to 1", s.MaxRemovalShare)
	case s.MinRemovalLimit < 0, s.RemovalWindow <= 0,
		s.MaxFlaps < 1, s.FlapWindow <= 0, s.HoldDown < 0,
		s.MaxUpsPerStep < 1, s.RemovalRetention <= 0:
		return fmt.Errorf("membership: a setting is out of range: %+v", *s)
	}
	return nil
}
