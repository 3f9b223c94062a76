package membership

import (
	"errors"
	"fmt"
	"net"
)

// Time is a point in time or a duration, in microseconds.
type Time = int64

// Phases of a member, spelled as in the registry's lists.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// Member is an endpoint in the list of a source or in the view.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"` // name of the zone that it is in
	Flavor   string  `json:"flavor"`   // name of its destination's kind
	Dest     int     `json:"cell"`     // number of its destination
	Phase    string  `json:"phase"`
	Rate     float64 `json:"size"` // calls per second that its destination accepts; 0 if not stated
	// StartedAt is when its process last started, in ms since the Unix epoch; 0 for long ago. Only a registry's
	// list has it, as up_since_ms; it is not stored.
	StartedAt int64 `json:"-"`
}

// Check returns an error if the member is invalid.
func (m *Member) Check() error {
	switch {
	case m.ID == "":
		return errors.New("member has no id")
	case m.Phase != Up && m.Phase != Draining && m.Phase != Removed:
		return fmt.Errorf("member %s: unknown phase %q", m.ID, m.Phase)
	case m.Phase == Removed:
		return nil
	}
	if _, _, err := net.SplitHostPort(m.HostPort); err != nil {
		return fmt.Errorf("member %s: host_port: %w", m.ID, err)
	}
	return nil
}

// phaseRank orders phases. If sources state different phases, the one with the highest rank wins.
func phaseRank(phase string) int {
	switch phase {
	case Up:
		return 1
	case Draining:
		return 2
	}
	return 3
}
