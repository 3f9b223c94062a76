package loadgen

import "troutusher/internal/event"

// noRelay is no relay's index.
const noRelay = -1

// relayState is what the clients' front, which spreads requests over the relays, knows of
// one of them.
type relayState struct {
	down      bool
	noticedAt event.Time // until then the front goes on using it
}

// RelayDown tells the front that a relay has ended or is ending. The front notices that
// after a delay.
func (d *Driver) RelayDown(relay int, noticeDelay event.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.relayStates[relay].down {
		d.relayStates[relay] = relayState{down: true, noticedAt: d.config.Clock() + noticeDelay}
	}
}

// RelayUp tells the front that a relay is ready.
func (d *Driver) RelayUp(relay int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.relayStates[relay] = relayState{}
}

// pickRelay picks the next relay in turn, but for avoided where there is another one. It
// returns noRelay where the front knows of none that is up.
func (d *Driver) pickRelay(avoided int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock()
	for range len(d.relayStates) {
		d.lastRelay++
		relay := d.lastRelay % len(d.relayStates)
		state := d.relayStates[relay]
		usable := !state.down || now < state.noticedAt
		if usable && (relay != avoided || len(d.relayStates) == 1) {
			return relay
		}
	}
	return noRelay
}
