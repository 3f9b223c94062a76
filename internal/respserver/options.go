package respserver

import (
	"log/slog"
	"net"
	"time"

	"troutusher/internal/connlimit"
)

// Options configure a Server.
type Options struct {
	Limits      connlimit.Limits
	MemoryLimit int // bytes for commands that are being read or await their reply
	Logger      *slog.Logger
	// InheritedListeners are listeners of another process. The server uses those that listen on one
	// of its addresses and closes the others.
	InheritedListeners []net.Listener
	// UnreadSince is the earliest time at which unread input of InheritedListeners and imported
	// connections can have arrived; zero if that is not known.
	UnreadSince time.Time
	// DeferListen makes New bind the addresses without listening, until Listen is called. As soon as
	// a socket listens, the system accepts connections and their input, even while the server
	// cannot reply yet.
	DeferListen bool
	// Handler handles one command. It runs on the event loop and must not block.
	Handler func(*Command) Reply
}

// Command is one command of a client.
type Command struct {
	Args [][]byte // valid until the handler returns
	// ReceivedAt is when the server first noticed input on the connection or in its listen queue, so
	// it is not later than the command's end. Time that the command then waits unread counts: a
	// request's deadline runs from when it was sent, not from when it was read.
	ReceivedAt time.Time
	QueueDelay time.Duration // time since ReceivedAt
	ID         RequestID
	// Shed is set when the command has waited so long for its turn that its reply would come too
	// late. RetryAfter is how long the client should then wait before it retries.
	Shed       bool
	RetryAfter time.Duration
}

// RequestID identifies a pending request in a call of SendReply: by the slot of its connection and the
// sequence number of its command.
type RequestID struct{ slot, sequence uint32 }

// Reply is a handler's result for a command: either a text to reply at once or a pending request.
// A text that begins with -ERR is an error reply. Error replies are delayed, and the connection is
// closed after maxErrorsPerConn of them.
type Reply struct {
	Text         string
	Kind         connlimit.CommandKind
	Pending      Pending
	PendingBytes int // bytes that Pending holds until its reply
}

// Pending is a request whose reply is sent later, with SendReply.
type Pending interface {
	// ReplyDone is called exactly once, on the event loop: with true when the reply was written, or
	// with false when the connection was closed before that.
	ReplyDone(written bool)
}
