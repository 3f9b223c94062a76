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

// The operations that crypto/tls names in its errors where an alert was received or
// sent.
const (
	opAlertReceived = "remote error"
	opAlertSent     = "local error"
)

// RejectedError says that an endpoint's identity, or ours, was rejected: nothing but a
// handshake was sent to it.
type RejectedError struct {
	Reason     *tlspolicy.IdentityError
	RetryAfter time.Duration // until the next scheduled handshake
}

// Error names the reason.
func (e *RejectedError) Error() string { return "out: " + e.Reason.Error() }

// Unwrap returns the reason.
func (e *RejectedError) Unwrap() error { return e.Reason }

// remoteAlert returns the alert that an endpoint sent, if err is one. crypto/tls does
// not export the type of such errors; their text is that of tls.AlertError.
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

// causeOfError returns the cause of rejection that an endpoint's alert stands for;
// false for any other error.
func causeOfError(err error) (tlspolicy.FailureCause, bool) {
	alert, ok := remoteAlert(err)
	if !ok {
		return 0, false
	}
	return tlspolicy.CauseOfAlert(alert)
}

// isTransient reports whether a handshake ended by what may happen to any connection,
// which says nothing about identities.
func isTransient(ctx context.Context, err error) bool {
	if _, ok := remoteAlert(err); ok { // causeOfError knows those that do
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
