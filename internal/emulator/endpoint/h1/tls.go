package h1

import (
	"crypto/tls"
	"time"

	"troutusher/internal/emulator/endpoint"
)

// TLSIdentity is what an endpoint shows of itself over TLS, from a moment on.
type TLSIdentity struct {
	Config         *tls.Config
	HandshakeDelay time.Duration // what a handshake takes longer
	ResetHandshake bool          // connections are reset in the middle of the handshake
	Trusted        bool          // its proof is one to accept
}

// EnableTLS has endpoints speak TLS where show gives something to show. It is called
// before the first connection.
func (s *Server) EnableTLS(show func(ep int) *TLSIdentity) { s.identity = show }

const handshakeTimeout = 10 * time.Second

// handshake makes the handshake of a connection; false where none came about.
func (s *Server) handshake(id endpoint.ConnID, ep int, l *connection) bool {
	if s.identity == nil {
		return true
	}
	x := s.identity(ep)
	if x == nil {
		return true
	}
	if x.ResetHandshake {
		// A deadline cannot be set on a closed connection alone, which ends the read too.
		_ = l.tcp.SetDeadline(time.Now().Add(handshakeTimeout))
		_, _ = l.tcp.Read(make([]byte, 1)) // of the client's first flight
		_ = l.tcp.SetLinger(0)
		return false
	}
	cfg := x.Config.Clone()
	if x.HandshakeDelay > 0 {
		certs := cfg.Certificates
		cfg.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			select {
			case <-time.After(x.HandshakeDelay):
			case <-s.quit.Done():
			}
			return &certs[0], nil
		}
	}
	c := tls.Server(l.tcp, cfg)
	_ = l.tcp.SetDeadline(time.Now().Add(handshakeTimeout)) // fails with the handshake
	err := c.HandshakeContext(s.quit)
	_ = l.tcp.SetDeadline(time.Time{})
	s.Update(func(w *endpoint.Model, now endpoint.Time) {
		l.Conn, l.untrusted = c, !x.Trusted // read under the lock
		w.CompleteHandshake(now, id, err == nil && c.ConnectionState().DidResume)
	})
	return err == nil
}
