package h1

import (
	"crypto/tls"
	"time"

	"troutusher/internal/emulator/endpoint"
)

const handshakeTimeout = 10 * time.Second

// TLSIdentity is how an endpoint presents itself over TLS.
type TLSIdentity struct {
	Config         *tls.Config
	HandshakeDelay time.Duration // what a handshake takes longer
	ResetHandshake bool          // connections are reset in the middle of the handshake
	Trusted        bool          // a relay is to accept it
}

// EnableTLS has endpoints speak TLS where identity returns one, on connections from
// now on.
func (s *Server) EnableTLS(identity func(endpointIndex int) *TLSIdentity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.identity = identity
}

// tlsIdentity is the identity of an endpoint, or nil where it does not speak TLS.
func (s *Server) tlsIdentity(endpointIndex int) *TLSIdentity {
	s.mu.Lock()
	identity := s.identity
	s.mu.Unlock()
	if identity == nil {
		return nil
	}
	return identity(endpointIndex)
}

// handshake does the TLS handshake of a connection, where its endpoint speaks TLS. It
// reports whether requests can be read.
func (s *Server) handshake(id endpoint.ConnID, endpointIndex int, conn *connection) bool {
	identity := s.tlsIdentity(endpointIndex)
	if identity == nil {
		return true
	}
	if identity.ResetHandshake {
		// A deadline cannot be set on a closed connection alone, which ends the read too.
		_ = conn.tcp.SetDeadline(time.Now().Add(handshakeTimeout))
		_, _ = conn.tcp.Read(make([]byte, 1)) // of the client's first flight
		_ = conn.tcp.SetLinger(0)
		return false
	}
	secured := tls.Server(conn.tcp, s.handshakeConfig(identity))
	_ = conn.tcp.SetDeadline(time.Now().Add(handshakeTimeout)) // fails with the handshake
	err := secured.HandshakeContext(s.quit)
	_ = conn.tcp.SetDeadline(time.Time{})
	s.Update(func(m *endpoint.Model, now endpoint.Time) {
		conn.Conn, conn.untrusted = secured, !identity.Trusted // read under the lock
		m.CompleteHandshake(now, id, err == nil && secured.ConnectionState().DidResume)
	})
	return err == nil
}

// handshakeConfig is the configuration of one handshake, with its delay.
func (s *Server) handshakeConfig(identity *TLSIdentity) *tls.Config {
	config := identity.Config.Clone()
	if identity.HandshakeDelay <= 0 {
		return config
	}
	certificates := config.Certificates
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		select {
		case <-time.After(identity.HandshakeDelay):
		case <-s.quit.Done():
		}
		return &certificates[0], nil
	}
	return config
}
