// Package registry emulates the endpoint registry: for each relay an agent on its
// machine that serves the endpoint list and a watch of it, and takes notices, over
// HTTP/1.1 on loopback. Updates can be delayed, withheld or not answered at all. The
// package must never know why an endpoint comes or goes.
package registry

import (
	"time"

	"troutusher/internal/event"
)

// Phase is the phase of a member's life.
type Phase string

// Phases of a member.
const (
	PhaseUp       Phase = "up"
	PhaseDraining Phase = "draining"
	PhaseRemoved  Phase = "removed"
)

// Member is an endpoint as the list names it.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    Phase   `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// List is the whole list, or an update: the members that changed.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Config configures a Registry.
type Config struct {
	Relays        int
	Members       func(relay int) []Member // endpoint i of the plan at index i
	StaticMembers []Member                 // further members of each whole list, which never change
	Delay         time.Duration            // until an update reaches an agent
	DelaySpread   time.Duration            // up to so much more, at random
	Seed          uint64
	Clock         func() event.Time
	Emit          func(event.Event) // is called with the updates sent and the notices received
}

// Registry is the agents of all relays.
type Registry struct {
	config Config
	agents []*agent
}

// New starts the agents.
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

// Close ends all agents.
func (r *Registry) Close() {
	for _, a := range r.agents {
		a.close()
	}
}

// Addr is the address of a relay's agent.
func (r *Registry) Addr(relay int) string {
	a := r.agents[relay]
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.address
}

// ListOf is the list as a relay's agent has it.
func (r *Registry) ListOf(relay int) List {
	a := r.agents[relay]
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullList()
}

// SetPhase changes the phase of an endpoint. The update reaches each agent after a
// delay of its own, and in order.
func (r *Registry) SetPhase(endpoint int, phase Phase) {
	for _, a := range r.agents {
		a.sendUpdate(phaseChange{endpoint, phase})
	}
}

// SetSilent has a relay's agent answer no request for the list, or answer again. Each
// call with true takes one with false to undo.
func (r *Registry) SetSilent(relay int, silent bool) {
	r.agents[relay].adjust(func(a *agent) { a.silenced += increment(silent) })
}

// SetStale has a relay's agent withhold updates, or apply them. Each call with true
// takes one with false to undo.
func (r *Registry) SetStale(relay int, stale bool) {
	r.agents[relay].adjust(func(a *agent) { a.stale += increment(stale) })
}

// SetExtraDelay adds a delay to updates on their way to a relay's agent, or removes it.
func (r *Registry) SetExtraDelay(relay int, delay time.Duration, active bool) {
	r.agents[relay].adjust(func(a *agent) {
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

// ChangeAddress has a relay's agent listen at a new address. The old one accepts no
// new connections and closes the open ones after a while.
func (r *Registry) ChangeAddress(relay int) (string, error) {
	return r.agents[relay].changeAddress()
}

func increment(up bool) int {
	if up {
		return 1
	}
	return -1
}
