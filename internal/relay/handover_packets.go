package relay

import (
	"os"
	"syscall"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/handover/link"
	"troutusher/internal/respserver"
)

// The hand-over to a process that is started beside this one, and the taking
// over from one. Who owns what, and when, package takeover says; here is what
// it takes to do so: the lock, the link, and what goes over it.

const (
	lockFileName         = "relay.lock"
	handoverVersion      = 2 // of what goes over the link
	acquireTimeout       = 5500 * time.Millisecond
	clientQuiesceTimeout = time.Second            // for requests to be answered
	callQuiesceTimeout   = 600 * time.Millisecond // for calls whose answer has begun
	callCancelTimeout    = 200 * time.Millisecond // for what is called off then
	packetTimeout        = time.Second
	claimTimeout         = 700 * time.Millisecond
	servingTimeout       = 10 * time.Second
	lockRetryInterval    = 5 * time.Millisecond
	// addressInUseTimeout is how long the address of clients may still be another process's
	// that has let go of the lock.
	addressInUseTimeout  = time.Second
	acquireRetryInterval = 50 * time.Millisecond
)

// Kinds of packet.
const (
	packetHello     = 'H' // linkHello, either way
	packetRequest   = 'T' // the taker is ready
	packetReject    = 'N' // not now
	packetPart      = 'p' // the beginning of the next one's body
	packetState     = 'S' // handed
	packetListeners = 'L' // descriptors of listeners
	packetClients   = 'C' // []front.Held, with a descriptor each
	packetLock      = 'F' // the descriptor that holds the lock
	packetCalls     = 'K' // []string, the messages, with a descriptor each
	packetEnd       = 'E'
	packetClaim     = 'M'
	packetServing   = 'R'
)

type helloBody struct {
	Version int `json:"form"`
	PID     int `json:"pid"`
}

// handoverState is what goes over beside descriptors.
type handoverState struct {
	Core        *core.HandoverState `json:"core"`
	ClockOrigin int64               `json:"mono"` // µs of the system's monotonic clock at moment 0 of the core's
	// ClientsPausedAt is when, on the same clock, clients were last read; 0 where the
	// process before does not tell.
	ClientsPausedAt int64 `json:"frozen,omitempty"`
	// DiscoveryAddr is the address of discovery that the list is from; Again is set where
	// the process before was told to read its configuration again.
	DiscoveryAddr   string `json:"agent,omitempty"`
	ReloadRequested bool   `json:"again,omitempty"`
}

// inheritedState is what a process has from the one before.
type inheritedState struct {
	handoverState
	listeners []int
	clients   []respserver.ConnSnapshot
	calls     map[string]int // a descriptor for each message whose call is out
	lock      *os.File       // as the giver has it: one lock, held by both
	conn      *link.Conn
}

// close gives up what was not used.
func (h *inheritedState) close() {
	for _, fd := range h.listeners {
		syscall.Close(fd)
	}
	for i := range h.clients {
		syscall.Close(h.clients[i].FD)
	}
	for _, fd := range h.calls {
		syscall.Close(fd)
	}
	if h.lock != nil {
		h.lock.Close()
	}
	if h.conn != nil {
		h.conn.Close()
	}
	*h = inheritedState{}
}
