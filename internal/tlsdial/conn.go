package tlsdial

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"time"
)

// rejectionWait is how long a handshake waits for a rejection of the relay's certificate, if the
// endpoint asked for the certificate.
const rejectionWait = 100 * time.Millisecond

var errUnexpectedData = errors.New("endpoint sent application data before the first call")

// Conn is a connection to an endpoint whose identity (the name and keys in its certificates)
// was verified.
type Conn struct {
	*tls.Conn
	Resumed    bool // the handshake resumed a session
	records    *recordTracker
	raw        net.Conn
	endpoint   *Endpoint
	generation uint64    // rule.generation when the identity was verified with the TLS rule's files
	validUntil time.Time // when the first of the verified certificates expires
}

// Endpoint returns the endpoint that the connection leads to.
func (c *Conn) Endpoint() *Endpoint { return c.endpoint }

// Raw returns the connection below TLS.
func (c *Conn) Raw() net.Conn { return c.raw }

// IdentityCurrent reports whether a call may begin on the connection: no certificate of the
// endpoint's chain has expired since the handshake, and the rule's files have not changed.
func (c *Conn) IdentityCurrent() bool {
	return c.generation == c.endpoint.rule.generation.Load() &&
		c.endpoint.dialer.options.Clock().Before(c.validUntil)
}

// AtRecordBoundary reports whether every TLS record that was begun has been read
// completely. If not, the connection may be about to close: the unread rest of the record may be
// the alert that closes it.
func (c *Conn) AtRecordBoundary() bool { return c.records.headerRead == 0 && c.records.bodyLeft == 0 }

// awaitRejection waits for a rejection of the relay's certificate by an endpoint that asked for it.
// In TLS 1.3 the handshake completes on this side before the endpoint has verified the
// certificate (RFC 8446 section 4.4.2.4). A new session ticket means that the endpoint has
// accepted the certificate, and ends the wait.
func (c *Conn) awaitRejection(cache *ticketCache) error {
	// SetReadDeadline fails only on a closed connection, on which Read reports the error.
	_ = c.SetReadDeadline(time.Now().Add(rejectionWait))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	cache.onReceived = func() { _ = c.SetReadDeadline(time.Unix(1, 0)) } // ends the Read below
	defer func() { cache.onReceived = nil }()
	for !cache.hasReceived() {
		switch n, err := c.Read(make([]byte, 1)); {
		case n > 0:
			return errUnexpectedData
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// recordTracker tracks the boundaries of TLS records in the bytes that are read (RFC 8446
// section 5.1).
type recordTracker struct {
	net.Conn
	header     [5]byte
	headerRead int // header bytes read so far
	bodyLeft   int // bytes of the record not read yet
}

// Read reads from the underlying connection.
func (r *recordTracker) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	for b := b[:n]; len(b) > 0; {
		if r.bodyLeft > 0 {
			k := min(r.bodyLeft, len(b))
			r.bodyLeft, b = r.bodyLeft-k, b[k:]
			continue
		}
		k := copy(r.header[r.headerRead:], b)
		r.headerRead, b = r.headerRead+k, b[k:]
		if r.headerRead == len(r.header) {
			r.headerRead, r.bodyLeft = 0, int(r.header[3])<<8|int(r.header[4])
		}
	}
	return n, err
}
