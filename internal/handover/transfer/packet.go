// Package transfer sends a relay's state from one process to another over a link. It
// defines the kinds, the order and the contents of the packets.
//
// It owns the encoding of the packets, which processes of other versions read too, and
// the received descriptors that are not used yet. It does not decide when ownership
// moves; package handover does.
//
// A hand-over consists of these packets; the successor sends the first:
//
//	successor    Hello
//	predecessor  Hello
//	successor    Request, once it is ready
//	predecessor  State, Listeners, Clients..., Calls..., Lock, End; or Reject
//	successor    Claim, once it holds the lock
//	successor    Serving
package transfer

import (
	"fmt"
	"time"

	"troutusher/internal/core"
)

// Kinds of packet.
const (
	PacketHello     = 'H' // a hello; each side sends one
	PacketRequest   = 'T' // the successor is ready to take over
	PacketReject    = 'N' // the predecessor cannot hand over now
	PacketPart      = 'p' // a part of a body that continues in the next packet
	PacketState     = 'S' // a State
	PacketListeners = 'L' // the listeners' descriptors
	PacketClients   = 'C' // []respserver.ConnSnapshot, with one descriptor each
	PacketLock      = 'F' // the descriptor that holds the lock
	PacketCalls     = 'K' // []string: message IDs, each with the descriptor of the message's call
	PacketEnd       = 'E' // all packets of the state were sent
	PacketClaim     = 'M' // the successor holds the lock and claims ownership
	PacketServing   = 'R' // the successor serves, the predecessor may exit
)

// version is the version of the packet encoding. Processes of different versions do not
// hand over to each other.
const version = 2

const (
	// RequestTimeout is how long a successor has, after the hellos, to prepare itself
	// and send its request.
	RequestTimeout = 5500 * time.Millisecond
	// packetTimeout bounds the sending or receiving of one packet.
	packetTimeout = time.Second
	// sendTimeout bounds the sending of all packets of the predecessor's state.
	sendTimeout = time.Second
)

// hello is the body of the first packet that each side sends.
type hello struct {
	Version int `json:"form"`
	PID     int `json:"pid"`
}

// State is the state that is handed over, except for the parts that consist of file
// descriptors (listeners, clients, calls and the lock), which have packets of their own.
type State struct {
	Core *core.HandoverState `json:"core"`
	// ClockOrigin is the reading of the system's monotonic clock, in microseconds, at
	// time 0 of the predecessor's core clock.
	ClockOrigin int64 `json:"mono"`
	// ClientsPausedAt is when the predecessor stopped reading from clients, in microseconds
	// on the system's monotonic clock; 0 if the predecessor didn't send it.
	ClientsPausedAt int64 `json:"frozen,omitempty"`
	// DiscoveryAddr is the discovery address from which the endpoint list was received.
	DiscoveryAddr string `json:"agent,omitempty"`
	// ReloadRequested is set if the predecessor was asked to reload its configuration.
	ReloadRequested bool `json:"again,omitempty"`
	// Draining is set if an operator has requested a drain and not ended it.
	Draining bool `json:"draining,omitempty"`
}

// Call is a call that is in flight: the ID of its message, and the descriptor of the
// connection on which the response will arrive.
type Call struct {
	Message    string
	Descriptor int
}

// PacketError is the error for a packet that cannot be encoded or is invalid.
type PacketError struct {
	Kind   byte
	Reason string // what is wrong with the packet
	Err    error  // the cause; may be nil
}

// Error names the packet and what is wrong with it.
func (e *PacketError) Error() string {
	text := fmt.Sprintf("hand-over: packet %q: %s", e.Kind, e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *PacketError) Unwrap() error { return e.Err }
