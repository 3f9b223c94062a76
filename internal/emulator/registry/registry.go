// Package registry emulates the endpoint registry. The registry has an agent on the machine
// of each relay, which serves the endpoint list and a watch of it. The agent also accepts
// notices: the relay's reports that a message ended undelivered. Here all agents are servers
// of one process, over HTTP/1.1 on loopback. Callers can delay or withhold the updates of an
// agent, or keep it from answering requests for the list.
//
// The package does not know why an endpoint appears or disappears; its caller sets the phase
// of each endpoint.
package registry

import (
	"time"

	"troutusher/internal/event"
)

// Phase says whether relays may call a member.
type Phase string

// Phases of a member.
const (
	PhaseUp       Phase = "up"
	PhaseDraining Phase = "draining"
	PhaseRemoved  Phase = "removed"
)

// Member is an endpoint in the endpoint list. Its fields have the names of the list's format.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"` // zone of the endpoint
	Flavor   string  `json:"flavor"`   // kind of the destination's operator, for which relays have settings
	Cell     int     `json:"cell"`     // number of the destination
	Phase    Phase   `json:"phase"`
	Size     float64 `json:"size"`        // calls per second that relays may expect it to serve
	UpSince  int64   `json:"up_since_ms"` // always 0 here
}

// List is the complete list or, if Complete is false, an update with the changed members.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Config configures a Registry.
type Config struct {
	Relays        int
	Members       func(relay int) []Member // initial members; the index is the number of the endpoint
	StaticMembers []Member                 // further members of each complete list, which never change
	Delay         time.Duration            // minimum time until an update reaches an agent
	DelaySpread   time.Duration            // maximum random time that is added to Delay
	Seed          uint64                   // of the random delays
	Clock         func() event.Time
	Emit          func(event.Event) // called for each update sent and each notice received
}

// Registry consists of the agents of all relays.
type Registry struct {
	config Config
	agents []*agent
}

// New starts a registry with an agent for each relay.
func New(config Config) (*Registry, error) {
	r := &Registry{config: config}
	for relay := range config.Relays {
		a := newAgent(&r.config, relay)
		r.agents = append(r.agents, a)
		if _, err := a.listen(); err != nil {
			r.Close()
			return nil, err
		}
	}
	return r, nil
}

// Close stops all agents.
func (r *Registry) Close() {
	for _, a := range r.agents {
		a.close()
	}
}

// Addr returns the current address of a relay's agent.
func (r *Registry) Addr(relay int) string {
	a := r.agents[relay]
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.address
}

// ListOf returns the complete list that a relay's agent currently serves.
func (r *Registry) ListOf(relay int) List {
	a := r.agents[relay]
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullList()
}

// SetPhase changes the phase of an endpoint. The update reaches each agent after a random
// delay of its own. Updates reach an agent in order.
func (r *Registry) SetPhase(endpoint int, phase Phase) {
	for _, a := range r.agents {
		a.sendUpdate(phaseChange{endpoint, phase})
	}
}

// SetSilent makes a relay's agent leave requests for the list unanswered, or answer again.
// Several faults may silence it at once: each call with true needs one with false to undo it.
func (r *Registry) SetSilent(relay int, silent bool) {
	r.agents[relay].changeFaults(func(a *agent) { a.silenced += increment(silent) })
}

// SetStale makes a relay's agent withhold updates, or apply them again. Each call with true
// needs one with false to undo it.
func (r *Registry) SetStale(relay int, stale bool) {
	r.agents[relay].changeFaults(func(a *agent) { a.stale += increment(stale) })
}

// SetExtraDelay adds a delay to later updates for a relay's agent or, if active is false,
// removes a delay that was added before.
func (r *Registry) SetExtraDelay(relay int, delay time.Duration, active bool) {
	r.agents[relay].changeFaults(func(a *agent) {
		if active {
			a.extraDelays = append(a.extraDelays, delay)
			return
		}
		for i, extra := range a.extraDelays {
			if extra == delay {
				a.extraDelays = append(a.extraDelays[:i], a.extraDelays[i+1:]...)
				return
			}
		}
	})
}

// ChangeAddress makes a relay's agent listen at a new address and returns that address. The
// old address accepts no new connections, and closes the open ones after oldAddressLinger.
func (r *Registry) ChangeAddress(relay int) (string, error) {
	return r.agents[relay].changeAddress()
}

// increment returns the change of a count of active faults: 1 to add a fault, -1 to remove it.
func increment(add bool) int {
	if add {
		return 1
	}
	return -1
}
