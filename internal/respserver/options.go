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
	MemoryLimit int // bytes for commands that are being read or wait for their reply
	Logger      *slog.Logger
	// InheritedListeners are used where they have an address that is wanted; the
	// others are closed.
	InheritedListeners []net.Listener
	// UnreadSince is since when InheritedListeners and imported connections may
	// have had input that nobody read; zero if that is not known.
	UnreadSince time.Time
	// DeferListen has New bind the addresses without listening until Listen: once
	// a socket listens, the system accepts connections and what is sent on them,
	// also while nothing here can reply.
	DeferListen bool
	// Handler handles one command. It runs on the event loop and must not block.
	Handler func(*Command) Reply
}

// Command is one command of a client.
type Command struct {
	Args [][]byte // valid until the handler returns
	// ReceivedAt is when the command was complete, or earlier: input in a queue
	// that was not looked at counts as received when that queue was last seen
	// empty. A request's deadline runs from when it was sent, not from when it
	// was read.
	ReceivedAt time.Time
	QueueDelay time.Duration // time since ReceivedAt
	ID         RequestID
	// Shed is set when the command has waited for its turn for so long that its
	// reply would come too late; RetryAfter is when the client should retry.
	Shed       bool
	RetryAfter time.Duration
}

// RequestID identifies a request whose reply comes later, for SendReply.
type RequestID struct{ slot, sequence uint32 }

// Reply is what a handler makes of a command: a text to reply at once, or a
// pending request. A text that begins with -ERR is an error reply: it is delayed,
// and the connection is closed after maxErrorsPerConn of them.
type Reply struct {
	Text         string
	Kind         connlimit.CommandKind
	Pending      Pending
	PendingBytes int // bytes that Pending holds until its reply
}

// Pending is a request whose reply comes later.
type Pending interface {
	// ReplyDone is called once, on the event loop: with true when the reply was
	// written, with false when the client has left before.
	ReplyDone(written bool)
}
