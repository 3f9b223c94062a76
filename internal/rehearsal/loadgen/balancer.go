package loadgen

import "troutusher/internal/event"

// noRelay stands for no relay where the index of a relay is expected.
const noRelay = -1

// relayState is what the simulated load balancer between the clients and the relays knows of
// one relay.
type relayState struct {
	down       bool
	stopping   bool       // the relay is shutting down, and its open connections are still used
	detectedAt event.Time // when the load balancer detects this, and opens no more connections to the relay
}

// accepts reports whether the load balancer opens connections to the relay.
func (s *relayState) accepts(now event.Time) bool {
	return !s.down && !s.stopping || now < s.detectedAt
}

// RelayStopping informs the load balancer that a relay is shutting down. Clients use the connections that they have to
// the relay for as long as these stay open. The load balancer opens no more connections once detectionDelay has passed.
func (d *Driver) RelayStopping(relay int, detectionDelay event.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state := &d.relayStates[relay]; !state.down && !state.stopping {
		*state = relayState{stopping: true, detectedAt: d.config.Clock() + detectionDelay}
	}
}

// RelayDown informs the load balancer that a relay has ended. The load balancer detects it after
// detectionDelay, and sends requests to the relay until then.
func (d *Driver) RelayDown(relay int, detectionDelay event.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := &d.relayStates[relay]
	if state.down {
		return
	}
	detectedAt := d.config.Clock() + detectionDelay
	if state.stopping {
		detectedAt = min(detectedAt, state.detectedAt)
	}
	*state = relayState{down: true, detectedAt: detectedAt}
}

// RelayUp informs the load balancer that a relay is ready.
func (d *Driver) RelayUp(relay int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.relayStates[relay] = relayState{}
}

// pickRelay returns the next usable relay in round-robin order. A relay is also usable while it shuts down, if a
// connection to it is idle. pickRelay skips the relay avoided unless that is the only relay of the rehearsal. It
// returns noRelay if the load balancer knows of no usable relay.
func (d *Driver) pickRelay(avoided int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock()
	for range len(d.relayStates) {
		d.lastRelay++
		relay := d.lastRelay % len(d.relayStates)
		state := &d.relayStates[relay]
		usable := state.accepts(now) || state.stopping && d.pools[relay].hasIdle()
		if usable && (relay != avoided || len(d.relayStates) == 1) {
			return relay
		}
	}
	return noRelay
}
