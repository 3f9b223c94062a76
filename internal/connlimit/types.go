package connlimit

import "fmt"

// SlotID numbers a connection's slot. It is reused once its connection has been
// removed.
type SlotID uint32

// State is what a connection is doing. A connection is unvalidated until it has
// sent a valid command.
type State uint8

// States of a connection.
const (
	StateFree            State = iota // no connection
	StateUnvalidated                  // unvalidated, with no command in progress
	StateReadingCommand               // part of a command has been read
	StateAwaitingReply                // a command was read and its reply is not written
	StateReplyingInvalid              // unvalidated, and its invalid command is being answered
	StateIdleSingleUse                // idle, has made one request
	StateIdle                         // idle, has made more requests, or only sent control commands
	StateDraining                     // told to close; a command that crossed that is still answered
	stateCount
)

var stateNames = [stateCount]string{
	"free",
	"unvalidated",
	"reading command",
	"awaiting reply",
	"replying to invalid command",
	"idle after one request",
	"idle",
	"draining",
}

// String names the state, for logs and tests.
func (s State) String() string {
	if s >= stateCount {
		return fmt.Sprintf("State(%d)", uint8(s))
	}
	return stateNames[s]
}

// CommandKind classifies a command that has been read to its end.
type CommandKind uint8

// Kinds of commands.
const (
	CommandInvalid CommandKind = iota // malformed or unknown
	CommandControl                    // valid, and costs nothing (PING)
	CommandRequest                    // submits a message
)

// CloseReason is why a connection is closed.
type CloseReason uint8

// Reasons; docs/design/connections.md says which rule of the protocol allows
// each.
const (
	// CloseFirstCommandTimeout: no complete command within FirstCommandTimeout.
	// A connection without an open request may be closed after 2 s.
	CloseFirstCommandTimeout CloseReason = iota + 1
	// CloseIdleTimeout: no command for IdleTimeout; the same rule.
	CloseIdleTimeout
	// CloseCommandTimeout: a command was begun and not ended in time. Such a
	// client has to get an error or a close within 3 s of connecting.
	CloseCommandTimeout
	// CloseEvictUnvalidated: its slot is needed and it has sent nothing. The
	// server may close a connection between requests.
	CloseEvictUnvalidated
	// CloseEvictInvalid: its slot is needed and it has sent an invalid command.
	// It has to get an error or a close.
	CloseEvictInvalid
	// CloseEvictSingleUse: clients hold nearly all connections that they may,
	// and this one made a single request. The server may close a connection
	// between requests.
	CloseEvictSingleUse
	// CloseEvictIdle: its slot is needed and it has been idle for longest; the
	// same rule.
	CloseEvictIdle
	// CloseShutdown: the server shuts down or drains; the same rule.
	CloseShutdown
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	CloseFirstCommandTimeout: "first command timeout",
	CloseIdleTimeout:         "idle timeout",
	CloseCommandTimeout:      "command timeout",
	CloseEvictUnvalidated:    "unvalidated connection evicted",
	CloseEvictInvalid:        "connection with invalid command evicted",
	CloseEvictSingleUse:      "connection after one request evicted",
	CloseEvictIdle:           "idle connection evicted",
	CloseShutdown:            "shutdown",
}

// String names the reason, for logs and tests.
func (r CloseReason) String() string {
	if r == 0 || r >= closeReasonCount {
		return fmt.Sprintf("CloseReason(%d)", uint8(r))
	}
	return closeReasonNames[r]
}

// CloseAction tells the caller to close a connection. The caller looks once more
// whether input has come that it has not reported: then it reports that, and
// closes after the reply. With CloseCommandTimeout and CloseEvictInvalid the
// connection ends as it is.
type CloseAction struct {
	Slot   SlotID
	Reason CloseReason
}

// Decision is what to do with the connection at the head of the listen queue.
type Decision uint8

// Decisions.
const (
	Admit  Decision = iota // accept it and call Add
	Evict                  // apply the close actions, then call Decide again
	Wait                   // leave it queued until the time that came with this, or until a slot is free
	Reject                 // accept it and close it at once
)

// Snapshot is what another Limiter needs to know of a connection.
type Snapshot struct {
	Validated   bool   `json:"Known"`
	SentCommand bool   `json:"Spoke"`
	Requests    uint32 `json:"Asked"`
	TimeLeft    Time   `json:"Left"` // until its current timeout
}
