package tlsdial

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"troutusher/internal/tlspolicy"
)

// Op of the net.OpError that crypto/tls returns when it has received or sent an alert.
const (
	opAlertReceived = "remote error"
	opAlertSent     = "local error"
)

// RejectedError reports that an endpoint's identity was rejected, or that the endpoint
// rejected the relay's. Nothing but a handshake was sent to the endpoint.
type RejectedError struct {
	Reason     *tlspolicy.IdentityError
	RetryAfter time.Duration // until the next scheduled handshake
}

// Error says that an identity was rejected, and the reason.
func (e *RejectedError) Error() string { return "identity rejected: " + e.Reason.Error() }

// Unwrap returns the reason.
func (e *RejectedError) Unwrap() error { return e.Reason }

// remoteAlert returns the code of the alert that err reports as received from an
// endpoint; false for any other error. crypto/tls does not export the type of these
// errors, but their text equals that of a tls.AlertError with the same code.
func remoteAlert(err error) (uint8, bool) {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != opAlertReceived {
		return 0, false
	}
	for code := range 256 {
		if op.Err.Error() == tls.AlertError(code).Error() {
			return uint8(code), true
		}
	}
	return 0, false
}

// causeOfError returns the cause of the rejection that err reports; false unless err is
// an alert from the endpoint about identities or supported parameters, such as versions.
func causeOfError(err error) (tlspolicy.FailureCause, bool) {
	alert, ok := remoteAlert(err)
	if !ok {
		return 0, false
	}
	return tlspolicy.CauseOfAlert(alert)
}

// isTransient reports whether a handshake failed for a reason that can affect any
// connection, such as a reset, and that says nothing about identities.
func isTransient(ctx context.Context, err error) bool {
	if _, ok := remoteAlert(err); ok { // causeOfError handles the alerts about identities
		return true
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == opAlertSent {
		return false
	}
	if ctx.Err() != nil {
		return true
	}
	for _, transient := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, os.ErrDeadlineExceeded} {
		if errors.Is(err, transient) {
			return true
		}
	}
	var netErr net.Error
	var errno syscall.Errno
	return errors.As(err, &errno) || errors.As(err, &netErr)
}
