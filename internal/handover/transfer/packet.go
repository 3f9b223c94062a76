// Package transfer carries a relay's work from one process to another over a
// link: which packets there are, in which order they go, and what is in them.
//
// It owns the packets' form, which processes of other versions read as well, and
// the descriptors that came with packets and were not used yet. It must never
// decide when ownership moves; package handover does.
//
// A hand-over goes like this; the successor speaks first:
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
	PacketHello     = 'H' // a hello, either way
	PacketRequest   = 'T' // the successor is ready to take over
	PacketReject    = 'N' // the predecessor cannot hand over now
	PacketPart      = 'p' // the beginning of the next packet's body
	PacketState     = 'S' // a State
	PacketListeners = 'L' // the listeners' descriptors
	PacketClients   = 'C' // []respserver.ConnSnapshot, with a descriptor each
	PacketLock      = 'F' // the descriptor that holds the lock
	PacketCalls     = 'K' // []string: messages, with the descriptor of each one's call
	PacketEnd       = 'E' // all has been sent
	PacketClaim     = 'M' // the successor holds the lock: the work is its own
	PacketServing   = 'R' // the successor serves: the predecessor may end
)

// version of the packets' form. Processes of different versions do not hand over.
const version = 2

const (
	// RequestTimeout is how long a successor has, from its hello, to get itself
	// ready and to ask.
	RequestTimeout = 5500 * time.Millisecond
	// packetTimeout is how long one packet may take.
	packetTimeout = time.Second
	// sendTimeout is how long all packets of the predecessor's state may take.
	sendTimeout = time.Second
)

// hello is what each side says first.
type hello struct {
	Version int `json:"form"`
	PID     int `json:"pid"`
}

// State is what goes over beside descriptors.
type State struct {
	Core *core.HandoverState `json:"core"`
	// ClockOrigin is the system's monotonic clock, in microseconds, at moment 0 of
	// the core's clock.
	ClockOrigin int64 `json:"mono"`
	// ClientsPausedAt is when clients were last read, on the same clock; 0 where
	// the predecessor does not tell.
	ClientsPausedAt int64 `json:"frozen,omitempty"`
	// DiscoveryAddr is the address of discovery that the endpoint list is from.
	DiscoveryAddr string `json:"agent,omitempty"`
	// ReloadRequested is set where the predecessor was asked to read its
	// configuration again.
	ReloadRequested bool `json:"again,omitempty"`
}

// Call is a call to an endpoint that is out: the message, and the descriptor of
// the connection on which its response is awaited.
type Call struct {
	Message    string
	Descriptor int
}

// PacketError is a packet that cannot be used.
type PacketError struct {
	Kind   byte
	Reason string // what is wrong with it
	Err    error  // the cause; may be nil
}

// Error says which packet failed, and why.
func (e *PacketError) Error() string {
	text := fmt.Sprintf("hand-over: packet %q: %s", e.Kind, e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap is the cause.
func (e *PacketError) Unwrap() error { return e.Err }
