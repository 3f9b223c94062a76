package tlsdial

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"time"
)

// rejectionWait is how long an endpoint that asked for our certificate has to reject
// it before a call goes out on the connection.
const rejectionWait = 100 * time.Millisecond

var errUnexpectedData = errors.New("bytes before the first call")

// Conn is a connection to an endpoint whose identity was verified.
type Conn struct {
	*tls.Conn
	Resumed    bool // by a session ticket
	records    *recordTracker
	raw        net.Conn
	endpoint   *Endpoint
	generation uint64 // of the rule's files by which it was verified
	validUntil time.Time
}

// Endpoint is the endpoint that it connects to.
func (c *Conn) Endpoint() *Endpoint { return c.endpoint }

// Raw is the connection below TLS.
func (c *Conn) Raw() net.Conn { return c.raw }

// IdentityCurrent reports whether a call may begin on the connection: no certificate
// has expired, and the rule's files are those by which it was verified.
func (c *Conn) IdentityCurrent() bool {
	return c.generation == c.endpoint.rule.generation.Load() &&
		c.endpoint.dialer.options.Clock().Before(c.validUntil)
}

// AtRecordBoundary reports whether no TLS record is partly read: the rest of one that
// is may be the end of the connection.
func (c *Conn) AtRecordBoundary() bool { return c.records.headerRead == 0 && c.records.bodyLeft == 0 }

// awaitRejection gives an endpoint that asked for our certificate a moment to reject
// it. With TLS 1.3 the handshake is over on this side before the endpoint has looked
// at it (RFC 8446 section 4.4.2.4); a new session means that it was accepted.
func (c *Conn) awaitRejection(cache *ticketCache) error {
	// A deadline cannot be set on a closed connection alone, where Read fails too.
	_ = c.SetReadDeadline(time.Now().Add(rejectionWait))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	cache.onEarly = func() { _ = c.SetReadDeadline(time.Unix(1, 0)) } // ends the Read below
	defer func() { cache.onEarly = nil }()
	for !cache.hasEarly() {
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

// recordTracker follows where TLS records begin and end in what is read (RFC 8446
// section 5.1).
type recordTracker struct {
	net.Conn
	header     [5]byte
	headerRead int // bytes of the header read
	bodyLeft   int // bytes of the record still to be read
}

// Read reads from the connection below.
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
