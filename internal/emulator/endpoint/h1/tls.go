package h1

import (
	"crypto/tls"
	"time"

	"troutusher/internal/emulator/endpoint"
)

// Show is what an endpoint shows of itself over TLS, from a moment on.
type Show struct {
	Config  *tls.Config
	Delay   time.Duration // what a handshake takes longer
	Reset   bool          // connections are reset in the middle of the handshake
	Trusted bool          // its proof is one to accept
}

// Secure has endpoints speak TLS where show gives something to show. It is called
// before the first connection.
func (s *Server) Secure(show func(ep int) *Show) { s.show = show }

const handshakeWait = 10 * time.Second

// secure makes the handshake of a connection; false where none came about.
func (s *Server) secure(id endpoint.Conn, ep int, l *line) bool {
	if s.show == nil {
		return true
	}
	x := s.show(ep)
	if x == nil {
		return true
	}
	if x.Reset {
		// A deadline cannot be set on a closed connection alone, which ends the read too.
		_ = l.tcp.SetDeadline(time.Now().Add(handshakeWait))
		_, _ = l.tcp.Read(make([]byte, 1)) // of the client's first flight
		_ = l.tcp.SetLinger(0)
		return false
	}
	cfg := x.Config.Clone()
	if x.Delay > 0 {
		certs := cfg.Certificates
		cfg.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			select {
			case <-time.After(x.Delay):
			case <-s.quit.Done():
			}
			return &certs[0], nil
		}
	}
	c := tls.Server(l.tcp, cfg)
	_ = l.tcp.SetDeadline(time.Now().Add(handshakeWait)) // fails with the handshake
	err := c.HandshakeContext(s.quit)
	_ = l.tcp.SetDeadline(time.Time{})
	s.Do(func(w *endpoint.World, now endpoint.Time) {
		l.Conn, l.doubted = c, !x.Trusted // read under the lock
		w.Handshake(now, id, err == nil && c.ConnectionState().DidResume)
	})
	return err == nil
}
