package etcd

import (
	"errors"
	"fmt"
	"strings"

	"troutusher/internal/membership"
)

// Time is a moment or a span in microseconds.
type Time = membership.Time

// Settings say what is followed, and how long is waited for what.
type Settings struct {
	Prefix       string
	Members      int   // of the cluster, called in turn
	AuthRequired bool  // a token is asked for first
	Source       int   // index of etcd among the view's sources
	PageSize     int64 // keys
	// A watch that was silent for SilenceTimeout is asked for its progress, and given up
	// where it does not answer within ProgressTimeout.
	SilenceTimeout, ProgressTimeout Time
	OpenTimeout                     Time // of a token, and of a watch that is opened
	ReadTimeout                     Time // of a page
	// After each round of members that all failed.
	MinBackoff Time // doubles with each round
	MaxBackoff Time
	// ResyncInterval is after how long a watch the complete list is read again: a cluster
	// that was restored from a backup under its old id, and has come as far again, cannot
	// be told from the one before.
	ResyncInterval Time
}

// DefaultSettings are settings by which a drain is heard within 2 s of its put, also where
// the watch has fallen silent and the two members called next as well: 0.4 + 0.3 s until
// that is known, and 0.45 s for each of them.
func DefaultSettings(prefix string, members int) Settings {
	return Settings{
		Prefix:          prefix,
		Members:         members,
		PageSize:        1000,
		SilenceTimeout:  400e3,
		ProgressTimeout: 300e3,
		OpenTimeout:     450e3,
		ReadTimeout:     700e3,
		MinBackoff:      100e3,
		MaxBackoff:      3e6,
		ResyncInterval:  300e6,
	}
}

// Check returns an error that names what is wrong with the settings, or nil.
func (s *Settings) Check() error {
	isPath := strings.HasPrefix(s.Prefix, "/") && strings.Trim(s.Prefix, "/") != ""
	switch {
	case !isPath || len(s.Prefix) > maxTextLength:
		return fmt.Errorf("etcd: prefix %.40q: wants a path that begins with a slash", s.Prefix)
	case s.Members < 1:
		return errors.New("etcd: no endpoints")
	case s.PageSize < 1,
		s.SilenceTimeout <= 0, s.ProgressTimeout <= 0, s.OpenTimeout <= 0, s.ReadTimeout <= 0,
		s.MinBackoff <= 0, s.MaxBackoff < s.MinBackoff, s.ResyncInterval < s.SilenceTimeout:
		return errors.New("etcd: a parameter is out of range")
	}
	return nil
}
