// Package upstream makes the HTTP/1.1 calls to endpoints.
//
// It owns the connections to endpoints, plain and over TLS, in one [Pool] of
// bounded size, and every [Call] that is in flight. Of each call it reports one
// [Result], which says what is proved: that the call never ran, that it ran, or
// that it may have run. To know that, it keeps its own connections in place of
// those of net/http: it has to know whether the last byte of a request was
// written, that the response read is the response to this request, and that
// nothing of a call that may be retried goes on once its result is reported.
//
// Before the first and the last byte of a request it asks package sendgate
// whether the call may still go out. Calls without TLS can be suspended and
// handed to another process ([InFlight]).
//
// It must never retry a call whose last byte was written, choose an endpoint, or
// know clients and messages.
//
// Locks are taken in this order, and never the other way round: [InFlight] before
// [Call]; [Pool] before the TLS dialer, whose reports of a rejected identity may thus
// come with the pool's lock held. The lock of a sendgate scope is held alone; under it
// a call's context is cancelled.
package upstream

import (
	"errors"
	"time"

	"troutusher/internal/sendgate"
	"troutusher/internal/tlsdial"
	"troutusher/policy"
)

var (
	errPoolFull         = errors.New("no descriptor for another connection")
	errResponseTooLarge = errors.New("more bytes than an answer may have")
	errStaleConn        = errors.New("connection ended or brought bytes before the call was written")

	// Causes of calls that end early.
	errCancelled  = errors.New("cancelled") // by [Call.Cancel]
	errHandedOver = errors.New("the relay's work goes to another process")
)

// pastDeadline ends reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// Result is the end of a call or of a health check. Its times are in microseconds.
type Result struct {
	Outcome policy.Outcome
	// RetryAfter is the time for which the endpoint, or the reason for which the
	// call was not sent, asked not to be tried again; 0 for none.
	RetryAfter policy.Time
	// SlotsExhausted reports that the endpoint ran nothing since all its slots were
	// taken.
	SlotsExhausted bool
	// ConnectionsOpened is the number of connections over TLS that were opened for
	// the call.
	ConnectionsOpened int
	Final             bool // the message is at its end
	Elapsed           policy.Time
	Load              policy.LoadReport
	Status            int  // of the response; 0 without one
	Malformed         bool // a response came and cannot be believed
	Err               error
}

// notAttempted reports whether there is no connection for a reason that says
// nothing about the health of the endpoint: it was not asked for one.
func notAttempted(err error) bool {
	var rejected *tlsdial.RejectedError
	var budget handshakeBudgetError
	return errors.Is(err, errPoolFull) || errors.Is(err, errConnectNotAllowed) || sendgate.IsRefusal(err) ||
		errors.As(err, &rejected) || errors.As(err, &budget)
}

// elapsedSince returns the time since a moment in the unit of the policy.
func elapsedSince(start time.Time) policy.Time { return time.Since(start).Microseconds() }
