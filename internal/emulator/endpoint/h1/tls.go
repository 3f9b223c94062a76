package h1

import (
	"crypto/tls"
	"time"

	"troutusher/internal/emulator/endpoint"
)

const handshakeTimeout = 10 * time.Second

// TLSIdentity says how an endpoint identifies itself to relays over TLS.
type TLSIdentity struct {
	Config         *tls.Config
	HandshakeDelay time.Duration // extra time that a handshake takes
	ResetHandshake bool          // reset connections in the middle of the handshake
	Trusted        bool          // relays should accept the identity; a call over any other one is a violation
}

// EnableTLS makes an endpoint use TLS on new connections if identity returns an identity for it.
func (s *Server) EnableTLS(identity func(endpointIndex int) *TLSIdentity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.identity = identity
}

// tlsIdentity returns the identity of an endpoint, or nil if the endpoint does not use TLS.
func (s *Server) tlsIdentity(endpointIndex int) *TLSIdentity {
	s.mu.Lock()
	identity := s.identity
	s.mu.Unlock()
	if identity == nil {
		return nil
	}
	return identity(endpointIndex)
}

// handshake performs the TLS handshake of a connection if its endpoint uses TLS. It reports whether
// requests can be read afterwards.
func (s *Server) handshake(id endpoint.ConnID, endpointIndex int, conn *connection) bool {
	identity := s.tlsIdentity(endpointIndex)
	if identity == nil {
		return true
	}
	if identity.ResetHandshake {
		// Setting the deadline fails only on a closed connection, on which the read fails as well.
		_ = conn.tcp.SetDeadline(time.Now().Add(handshakeTimeout))
		_, _ = conn.tcp.Read(make([]byte, 1)) // the first byte of the client's first flight
		_ = conn.tcp.SetLinger(0)
		return false
	}
	secured := tls.Server(conn.tcp, s.handshakeConfig(identity))
	_ = conn.tcp.SetDeadline(time.Now().Add(handshakeTimeout)) // fails with the handshake
	err := secured.HandshakeContext(s.quit)
	_ = conn.tcp.SetDeadline(time.Time{})
	s.Update(func(m *endpoint.Model, now endpoint.Time) {
		conn.Conn, conn.untrusted = secured, !identity.Trusted // set under the lock, under which responses are written
		m.CompleteHandshake(now, id, err == nil && secured.ConnectionState().DidResume)
	})
	return err == nil
}

// handshakeConfig returns the TLS configuration of one handshake, including the identity's delay.
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
