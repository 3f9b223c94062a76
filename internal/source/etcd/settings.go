package etcd

import (
	"errors"
	"fmt"
	"strings"

	"troutusher/internal/membership"
)

// Time is a point in time or a duration, in microseconds.
type Time = membership.Time

// Settings are the settings of a Machine.
type Settings struct {
	Prefix       string
	Members      int   // number of cluster members; they are called in turn
	AuthRequired bool  // a token is requested before other calls
	Source       int   // index of etcd among the sources of the membership view
	PageSize     int64 // keys per page
	// If a watch sends nothing for SilenceTimeout, the machine requests its progress. If no
	// answer arrives within ProgressTimeout, it abandons the watch.
	SilenceTimeout, ProgressTimeout Time
	OpenTimeout                     Time // for receiving a token, and for opening a watch
	ReadTimeout                     Time // for reading a page
	// The machine backs off after each round in which every member has failed. The backoff
	// starts at MinBackoff, doubles with each further round, and is at most MaxBackoff.
	MinBackoff Time
	MaxBackoff Time
	// ResyncInterval is the time after which the complete list is read again even though the
	// watch works. A cluster that was restored from a backup under its old id and has since
	// reached the old revision again looks the same as before; only a new read finds the
	// difference.
	ResyncInterval Time
}

// DefaultSettings returns settings with which a drain is received within 2 s after it was
// put, even if the watch and the two members called next are silent: 0.4 s + 0.3 s until
// the watch is abandoned, and 0.45 s for each of the two members.
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

// Check returns an error if the settings are not valid.
func (s *Settings) Check() error {
	isPath := strings.HasPrefix(s.Prefix, "/") && strings.Trim(s.Prefix, "/") != ""
	switch {
	case !isPath || len(s.Prefix) > maxTextLength:
		return fmt.Errorf("etcd: prefix %.40q is not a path that begins with a slash, of at most %d bytes",
			s.Prefix, maxTextLength)
	case s.Members < 1:
		return errors.New("etcd: no endpoints configured")
	case s.PageSize < 1,
		s.SilenceTimeout <= 0, s.ProgressTimeout <= 0, s.OpenTimeout <= 0, s.ReadTimeout <= 0,
		s.MinBackoff <= 0, s.MaxBackoff < s.MinBackoff, s.ResyncInterval < s.SilenceTimeout:
		return fmt.Errorf("etcd: page size, timeout or backoff out of range in settings %+v", *s)
	}
	return nil
}
