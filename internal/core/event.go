package core

import "troutusher/policy"

// Event is an input of a core, passed to Observe or Step. It is one of the types below.
type Event interface{ event() }

// Submitted reports that a client submitted a message.
type Submitted struct{ Request *Request }

// ReplyDelivered reports that the reply to a request was delivered, or, if OK is false,
// that the client disconnected before that.
type ReplyDelivered struct {
	Request *Request
	OK      bool
}

// LogWriteFailed reports that the message of a request could not be written to the log.
type LogWriteFailed struct{ Request *Request }

// EndpointListUpdated carries a complete endpoint list or a change to it.
type EndpointListUpdated struct {
	List *EndpointList
	Kind policy.ListUpdateKind
}

// AttemptFinished reports the result of a call.
type AttemptFinished struct {
	Call   *Call
	Result *Result
}

// AttemptNotLogged reports that a call was not made because its attempt could not be written to
// the write-ahead log. The core itself also uses it for an attempt that was given up before that.
type AttemptNotLogged struct{ Call *Call }

// HealthChecked reports the result of a health check.
type HealthChecked struct {
	Endpoint policy.EndpointID
	Result   *Result
}

// IdentityRejected reports that this relay has rejected the TLS identity of an endpoint. Nothing
// is sent to the endpoint for Duration. A Duration of 0 reports that the identity has been
// verified again.
type IdentityRejected struct {
	Endpoint policy.EndpointID
	Duration policy.Time
}

// ShutdownRequested asks the relay to shut down.
type ShutdownRequested struct{}

// Started ends Core.DeferSends: either the endpoint list has arrived, or the wait for it
// has timed out.
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
