package membership

import (
	"errors"
	"fmt"
	"net"
)

// Time is a moment or a span in microseconds.
type Time = int64

// Phases of a member, as the registry spells them.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// Member is an endpoint as a source names it, or as the view has it.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Dest     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Rate     float64 `json:"size"` // calls a second that its destination takes; 0 where that is not stated
}

// Check returns an error that names what is wrong with a member, or nil.
func (m *Member) Check() error {
	switch {
	case m.ID == "":
		return errors.New("member without id")
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

// phaseRank orders phases: of several that sources state, the highest wins.
func phaseRank(phase string) int {
	switch phase {
	case Up:
		return 1
	case Draining:
		return 2
	}
	return 3
}
