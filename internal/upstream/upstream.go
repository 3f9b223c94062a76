// Package upstream makes the HTTP/1.1 calls to endpoints.
//
// The package owns all connections to endpoints, plain and over TLS, in one [Pool]
// of bounded size, and every [Call] that is in flight. It reports one [Result]
// for each call. The result states whether the endpoint never ran the call,
// ran it, or may have run it. The package manages its own connections instead of
// using those of net/http, because the result depends on facts that net/http does
// not expose: whether the last byte of the request was written, whether a response
// belongs to this request, and whether the connection of a call that may be retried
// is closed by the time the result is reported.
//
// Before it writes the first byte and the last byte of a request, the package asks
// package sendgate whether the call may still be sent. Calls without TLS can be
// suspended and handed over to another process (see [InFlight]).
//
// The package does not retry a call whose last byte was written, does not choose
// endpoints, and knows nothing about clients and messages.
//
// Locks are acquired in this order: [InFlight] before [Call], and [Pool] before the
// TLS dialer. The dialer may therefore report that an identity was rejected, the
// endpoint's or the relay's, while the pool's lock is held. The lock of a sendgate scope
// (the endpoints that one Retry-After time applies to) is never held together with
// another lock; a call's context may be cancelled while the scope's lock is held.
package upstream

import (
	"errors"
	"time"

	"troutusher/internal/sendgate"
	"troutusher/internal/tlsdial"
	"troutusher/policy"
)

var (
	errPoolFull         = errors.New("connection pool is full: connection limit reached and no connection is idle")
	errResponseTooLarge = errors.New("response exceeds the size limit")
	errStaleConn        = errors.New("connection closed or unexpected data received before the request was sent")

	// Causes for which a call's context is cancelled.
	errCancelled  = errors.New("cancelled") // by [Call.Cancel]
	errHandedOver = errors.New("call stopped: the relay is handing over to another process")
)

// pastDeadline is a deadline that ends reads and writes immediately.
var pastDeadline = time.Unix(1, 0)

// Result is the result of a call or of a health check. Its times are in microseconds.
type Result struct {
	Outcome policy.Outcome
	// RetryAfter is how long to wait before the next attempt, as requested by the
	// endpoint or implied by the reason why the call was not sent; 0 for no wait.
	RetryAfter policy.Time
	// SlotsExhausted reports that the endpoint did not run the call because all its
	// slots for concurrent calls were taken: it answered 503 with "Slots-Taken: 1".
	SlotsExhausted bool
	// ConnectionsOpened is the number of TLS connections that were opened for the
	// call.
	ConnectionsOpened int
	Final             bool // the message has ended; no further attempt follows
	Elapsed           policy.Time
	Load              policy.LoadReport
	Status            int  // status code of the response; 0 without a response
	Malformed         bool // a response began to arrive, but it is incomplete or invalid
	Err               error

	confirmedAfter time.Duration // from the response's arrival until it was confirmed; see readConfirmed
}

// notAttempted reports whether err, which acquiring a connection returned, says nothing
// about the endpoint's health: a limit of the relay, the send gate or the rejection of an
// identity (the endpoint's or the relay's) prevented the connection.
func notAttempted(err error) bool {
	var rejected *tlsdial.RejectedError
	var budget handshakeBudgetError
	return errors.Is(err, errPoolFull) || errors.Is(err, errConnectNotAllowed) || sendgate.IsRefusal(err) ||
		errors.As(err, &rejected) || errors.As(err, &budget)
}

// elapsedSince returns the time since start in microseconds, the unit of the policy.
func elapsedSince(start time.Time) policy.Time { return time.Since(start).Microseconds() }
