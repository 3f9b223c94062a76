package loadgen

import "troutusher/internal/event"

// noRelay stands for no relay where the index of a relay is expected.
const noRelay = -1

// relayState is what the simulated load balancer between the clients and the relays knows of
// one relay.
type relayState struct {
	down       bool
	detectedAt event.Time // when the load balancer detects that the relay is down, and stops using it
}

// RelayDown informs the load balancer that a relay has ended or is shutting down. The load
// balancer detects it after detectionDelay, and sends requests to the relay until then.
func (d *Driver) RelayDown(relay int, detectionDelay event.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.relayStates[relay].down {
		d.relayStates[relay] = relayState{down: true, detectedAt: d.config.Clock() + detectionDelay}
	}
}

// RelayUp informs the load balancer that a relay is ready.
func (d *Driver) RelayUp(relay int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.relayStates[relay] = relayState{}
}

// pickRelay returns the next usable relay in round-robin order. It skips the relay avoided
// unless that is the only relay of the rehearsal. It returns noRelay if the load balancer
// knows of no usable relay.
func (d *Driver) pickRelay(avoided int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock()
	for range len(d.relayStates) {
		d.lastRelay++
		relay := d.lastRelay % len(d.relayStates)
		state := d.relayStates[relay]
		usable := !state.down || now < state.detectedAt
		if usable && (relay != avoided || len(d.relayStates) == 1) {
			return relay
		}
	}
	return noRelay
}
