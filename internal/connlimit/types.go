package connlimit

import "fmt"

// SlotID identifies the slot of a connection. It is reused after the connection has been removed.
type SlotID uint32

// State is the state of a connection. A connection is unvalidated until it has sent a valid command. A
// request is a command that submits a message.
type State uint8

// States of a connection.
const (
	StateFree            State = iota // no connection
	StateUnvalidated                  // no valid command yet, and none in progress
	StateReadingCommand               // a command has been read in part
	StateAwaitingReply                // a command has been read and its reply has not been written
	StateReplyingInvalid              // no valid command yet, and an error reply is in progress
	StateIdleSingleUse                // idle after exactly one request
	StateIdle                         // idle after several requests, or after control commands only
	StateDraining                     // to be closed; a command that arrived before the close still gets its reply
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

// String returns the name of the state, for logs and tests.
func (s State) String() string {
	if s >= stateCount {
		return fmt.Sprintf("State(%d)", uint8(s))
	}
	return stateNames[s]
}

// CommandKind is the kind of a command that has been read to its end.
type CommandKind uint8

// Kinds of commands.
const (
	CommandInvalid CommandKind = iota // malformed or unknown
	CommandControl                    // valid, and submits no message (such as PING)
	CommandRequest                    // submits a message
)

// CloseReason is the reason for closing a connection.
type CloseReason uint8

// Reasons for closing a connection. docs/design/connections.md says which rule of the protocol allows
// each of them.
const (
	// CloseFirstCommandTimeout means that no command was begun within FirstCommandTimeout. The
	// protocol allows closing a connection without a pending request after 2 s.
	CloseFirstCommandTimeout CloseReason = iota + 1
	// CloseIdleTimeout means that the client has sent no command for IdleTimeout. The rule about 2 s
	// without a pending request allows this too.
	CloseIdleTimeout
	// CloseCommandTimeout means that a command was begun and not completed in time. The protocol
	// requires an error reply or a close within 3 s of connecting.
	CloseCommandTimeout
	// CloseEvictUnvalidated means that the slot is needed and the client has sent no valid command.
	// The server may close a connection between requests.
	CloseEvictUnvalidated
	// CloseEvictInvalid means that the slot is needed and the client has sent an invalid command. The
	// protocol requires an error reply or a close.
	CloseEvictInvalid
	// CloseEvictCommand means that the slot is needed and a command that was begun does not go on. The
	// server rejects the command.
	CloseEvictCommand
	// CloseEvictSingleUse means that clients hold nearly as many connections as they can open, and that
	// this one has made a single request. The server may close a connection between requests.
	CloseEvictSingleUse
	// CloseEvictIdle means that the slot is needed and this connection has been idle longest. The
	// server may close a connection between requests.
	CloseEvictIdle
	// CloseShutdown means that the server shuts down or drains. The server may close a connection
	// between requests.
	CloseShutdown
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	CloseFirstCommandTimeout: "first command timeout",
	CloseIdleTimeout:         "idle timeout",
	CloseCommandTimeout:      "command timeout",
	CloseEvictUnvalidated:    "unvalidated connection evicted",
	CloseEvictInvalid:        "connection with invalid command evicted",
	CloseEvictCommand:        "connection with part of a command evicted",
	CloseEvictSingleUse:      "connection after one request evicted",
	CloseEvictIdle:           "idle connection evicted",
	CloseShutdown:            "shutdown",
}

// String returns the name of the reason, for logs and tests.
func (r CloseReason) String() string {
	if r == 0 || r >= closeReasonCount {
		return fmt.Sprintf("CloseReason(%d)", uint8(r))
	}
	return closeReasonNames[r]
}

// CloseAction tells the caller to close a connection. The caller first checks whether the connection
// has input that was not reported to the limiter yet. If so, the caller reports that input and closes
// the connection only after the reply. With CloseCommandTimeout, CloseEvictInvalid and CloseEvictCommand
// the connection ends, whatever it is doing.
type CloseAction struct {
	Slot   SlotID
	Reason CloseReason
}

// Decision says what to do with the connection at the head of the listen queue.
type Decision uint8

// Decisions of Limiter.Decide.
const (
	Admit  Decision = iota // accept it and call Add
	Evict                  // apply the close actions, then call Decide again
	Wait                   // leave it queued until a slot is free, or at most until the returned time
	Reject                 // accept it and close it at once
)

// Snapshot is the state of a connection that another Limiter needs to continue with it.
type Snapshot struct {
	Validated   bool   `json:"Known"` // has sent a valid command
	SentCommand bool   `json:"Spoke"` // has sent a complete command, valid or not
	Requests    uint32 `json:"Asked"` // number of requests made
	TimeLeft    Time   `json:"Left"`  // time until the current timeout
}
