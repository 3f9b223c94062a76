package core

import (
	"log/slog"

	"troutusher/policy"
)

// Effect is something to be done. It is one of the types below; each says by its fields
// what it carries. A driver executes effects one by one, in their order, which is an
// invariant of the core:
//
//   - a message's log record, then the reply to its client, then its first send;
//   - an attempt's record, then the first byte of its call;
//   - an attempt's outcome record, then the record of the next attempt;
//   - the record of a message's end, then the notice of it.
//
// Where an effect holds a record and something besides, the latter follows once the
// record is written and never before.
type Effect interface{ effect() }

// Reply is the reply to a request: OK, an error, or else a rejection.
type Reply struct {
	OK           bool
	Err          error // what is wrong with the request, or nil
	RetryAfterMS int64 // of a rejection: when to submit again, in ms; 0 where not known
}

// SendReply replies to a request at once: nothing of it is to be logged before.
type SendReply struct {
	Request *Request
	Reply   Reply
}

// AppendRecord appends a record to the log.
type AppendRecord struct{ Record *Record }

// AppendThenReply appends the record of a request's message and then replies OK. If the
// log cannot take it, the event LogWriteFailed comes back and there is no reply yet.
type AppendThenReply struct{ Request *Request }

// AppendThenSend appends the record of an attempt and then makes its call. If the log
// cannot take it, the event AttemptNotLogged comes back and no call is made.
type AppendThenSend struct {
	Record *Record
	Call   *Call
}

// AppendThenNotify appends the record of a message's end and then sends the notice of
// it, which goes out even if it could not be logged.
type AppendThenNotify struct {
	Record *Record
	Notice Notice
}

// SendNotice sends a notice that is logged already.
type SendNotice struct{ Notice Notice }

// ResumeCall waits for the end of a call that an earlier process has written whole.
type ResumeCall struct{ Call *Call }

// CancelCall cancels a call.
type CancelCall struct{ Call *Call }

// CheckHealth checks the health of an endpoint; the event HealthChecked comes back.
type CheckHealth struct{ Endpoint policy.EndpointID }

// OpenEndpoint makes an endpoint known to the driver: calls may follow.
type OpenEndpoint struct {
	Endpoint         policy.EndpointID
	Address          string
	Dest             int
	Flavor           string
	IndependentRoute bool // a Retry-After of the endpoint binds it alone
}

// CloseEndpoint closes the connections to an endpoint and lets no call begin there, also
// none whose attempt is logged already.
type CloseEndpoint struct{ Endpoint policy.EndpointID }

// ApplyRetryAfter lets nothing be sent to an endpoint before a time, nor to those that
// share its Retry-After.
type ApplyRetryAfter struct {
	Endpoint policy.EndpointID
	Until    policy.Time
}

// CloseIdleConnections closes the idle connections to an endpoint, which are not to be
// trusted.
type CloseIdleConnections struct{ Endpoint policy.EndpointID }

// ForgetEndpoint drops all that the driver knows of an endpoint.
type ForgetEndpoint struct{ Endpoint policy.EndpointID }

// PassivateDestination drops all that the driver knows of a destination. What binds the
// destination is applied again as it becomes active.
type PassivateDestination struct{ Dest int }

// Log writes a line to the log of the process.
type Log struct {
	Level slog.Level
	Text  string
	Args  []any
}

// StepAgain has the driver call Step once more, also if nothing happens.
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
