package core

import "troutusher/policy"

// Event is something that happened, passed to a core by Observe or Step. It is one of
// the types below; each says by its fields what it carries.
type Event interface{ event() }

// Submitted submits a message.
type Submitted struct{ Request *Request }

// ReplyDelivered says that the reply to a request was delivered, or that its client left
// before it (OK is false).
type ReplyDelivered struct {
	Request *Request
	OK      bool
}

// LogWriteFailed says that the log could not take the message of a request.
type LogWriteFailed struct{ Request *Request }

// EndpointListUpdated brings the endpoint list or a change of it.
type EndpointListUpdated struct {
	List *EndpointList
	Kind policy.ListUpdateKind
}

// AttemptFinished says how a call ended.
type AttemptFinished struct {
	Call   *Call
	Result *Result
}

// AttemptNotLogged says that the attempt of a call could not be logged: it was not made.
type AttemptNotLogged struct{ Call *Call }

// HealthChecked says how a health check ended.
type HealthChecked struct {
	Endpoint policy.EndpointID
	Result   *Result
}

// IdentityRejected says that the identity of an endpoint is not proved, so that nothing
// is sent there for Duration; a Duration of 0 says that it is proved again.
type IdentityRejected struct {
	Endpoint policy.EndpointID
	Duration policy.Time
}

// ShutdownRequested says that the relay is to shut down.
type ShutdownRequested struct{}

// Started ends DeferSends: the endpoint list was heard, or waited for long enough.
type Started struct{}

func (Submitted) event()           {}
func (ReplyDelivered) event()      {}
func (LogWriteFailed) event()      {}
func (EndpointListUpdated) event() {}
func (AttemptFinished) event()     {}
func (AttemptNotLogged) event()    {}
func (HealthChecked) event()       {}
func (IdentityRejected) event()    {}
func (ShutdownRequested) event()   {}
func (Started) event()             {}
