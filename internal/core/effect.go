package core

import (
	"log/slog"

	"troutusher/policy"
)

// Effect is an output of a core that a driver executes. It is one of the types below. The
// driver executes effects one by one, in their order. The core guarantees this order:
//
//   - a message's log record, then the reply to its client, then its first send;
//   - an attempt's record, then the first byte of its call;
//   - an attempt's outcome record, then the record of the next attempt;
//   - the record of a message's end, then the notice of it.
//
// If an effect holds a record and a second action, the driver starts the second action only
// after the record is written.
type Effect interface{ effect() }

// Reply is the reply to a request: an OK if OK is set, an error if Err is set, otherwise a
// rejection.
type Reply struct {
	OK           bool
	Err          error // what is wrong with the request, or nil
	RetryAfterMS int64 // of a rejection: ms until the client should submit again; 0 if unknown
}

// SendReply replies to a request at once, without a log record before it.
type SendReply struct {
	Request *Request
	Reply   Reply
}

// AppendRecord appends a record to the log.
type AppendRecord struct{ Record *Record }

// AppendThenReply appends the record of a request's message and then replies OK. If the
// record cannot be written, the driver sends no reply and returns the event LogWriteFailed.
type AppendThenReply struct{ Request *Request }

// AppendThenSend appends the record of an attempt and then makes its call. If the record
// cannot be written, the driver makes no call and returns the event AttemptNotLogged.
type AppendThenSend struct {
	Record *Record
	Call   *Call
}

// AppendThenNotify appends the record of a message's end and then sends the notice of it.
// The notice is sent even if the record cannot be written.
type AppendThenNotify struct {
	Record *Record
	Notice Notice
}

// SendNotice sends a notice whose record is already in the log.
type SendNotice struct{ Notice Notice }

// ResumeCall waits for the end of a call whose request an earlier process has written
// completely.
type ResumeCall struct{ Call *Call }

// CancelCall cancels a call.
type CancelCall struct{ Call *Call }

// CheckHealth checks the health of an endpoint. The driver returns the event HealthChecked.
type CheckHealth struct{ Endpoint policy.EndpointID }

// OpenEndpoint adds an endpoint to the driver, so that calls to it may follow.
type OpenEndpoint struct {
	Endpoint         policy.EndpointID
	Address          string
	Dest             int
	Flavor           string // the name of the destination's kind
	IndependentRoute bool   // a Retry-After of the endpoint applies to no other endpoint
}

// CloseEndpoint closes the connections to an endpoint. No call may begin there any more, not
// even one whose attempt is already logged.
type CloseEndpoint struct{ Endpoint policy.EndpointID }

// ApplyRetryAfter forbids sends before Until to an endpoint and, unless the endpoint is an
// independent route, to all other endpoints of its destination.
type ApplyRetryAfter struct {
	Endpoint policy.EndpointID
	Until    policy.Time
}

// CloseIdleConnections closes the idle connections to an endpoint, because they may be dead.
type CloseIdleConnections struct{ Endpoint policy.EndpointID }

// ForgetEndpoint discards the driver's state of an endpoint.
type ForgetEndpoint struct{ Endpoint policy.EndpointID }

// PassivateDestination discards the driver's state of a destination. The core emits it for an idle
// destination, which it packs into a compact store. The destination has no Retry-After in force.
// The next message for it activates it, and the core then emits OpenEndpoint for its endpoints again.
type PassivateDestination struct{ Dest int }

// Log writes a line to the process log.
type Log struct {
	Level slog.Level
	Text  string
	Args  []any
}

// StepAgain asks the driver to call Step again, even if there is no event.
type StepAgain struct{}

func (SendReply) effect()            {}
func (AppendRecord) effect()         {}
func (AppendThenReply) effect()      {}
func (AppendThenSend) effect()       {}
func (AppendThenNotify) effect()     {}
func (SendNotice) effect()           {}
func (ResumeCall) effect()           {}
func (CancelCall) effect()           {}
func (CheckHealth) effect()          {}
func (OpenEndpoint) effect()         {}
func (CloseEndpoint) effect()        {}
func (ApplyRetryAfter) effect()      {}
func (CloseIdleConnections) effect() {}
func (ForgetEndpoint) effect()       {}
func (PassivateDestination) effect() {}
func (Log) effect()                  {}
func (StepAgain) effect()            {}
