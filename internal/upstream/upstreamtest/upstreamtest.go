// Package upstreamtest provides endpoints for tests of calls. A test handles the raw TCP or
// TLS connections of these endpoints itself, so that it can do what no HTTP server does.
// The package also provides the certificates and the TLS rule that are needed to reach
// the endpoints.
package upstreamtest

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/operatorconfig"
	"troutusher/internal/testca"
	"troutusher/internal/tlsdial"
)

// OKResponse is a complete response that reports a delivery.
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// ServeTCP starts a TCP server that calls serve for each connection and then closes the
// connection. It returns the server's address.
func ServeTCP(t testing.TB, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// ServeTLS is like [ServeTCP], but over TLS. A connection whose handshake fails is closed
// without a call of serve.
func ServeTLS(t testing.TB, config *tls.Config, serve func(net.Conn)) string {
	t.Helper()
	return ServeTCP(t, func(raw net.Conn) {
		if conn := tls.Server(raw, config); conn.Handshake() == nil {
			serve(conn)
		}
	})
}

// ReadRequest reads one request and reports whether it was complete.
func ReadRequest(reader *bufio.Reader) bool {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// ServeOK answers each request with [OKResponse].
func ServeOK(conn net.Conn) {
	for reader := bufio.NewReader(conn); ReadRequest(reader); {
		if _, err := io.WriteString(conn, OKResponse); err != nil {
			return
		}
	}
}

// PeerName is the name in the certificate of a [TLSSite]'s endpoints.
const PeerName = "pay.example.org"

// Rejection is a dialer's report that an endpoint's identity was rejected, or accepted
// again.
type Rejection struct {
	Endpoint uint64
	Wait     time.Duration // how long the endpoint gets no calls; 0 once its identity is accepted
}

// TLSSite is a TLS setup with one rule, which applies to destinations of flavor k (the kind
// of the destination in the endpoint list).
type TLSSite struct {
	Dir        string // directory of the site's files
	Root       *testca.Issued
	PeerCert   *testca.Issued // certificate that the endpoints present
	Rule       operatorconfig.TLSRule
	Dialer     *tlsdial.Dialer
	Rejections chan Rejection
	ClockSkew  atomic.Int64 // offset of the dialer's clock, in nanoseconds

	lastEndpoint atomic.Uint64
}

// NewTLSSite returns a new site. configure, which may be nil, can change the site before
// the dialer reads its rule.
func NewTLSSite(t testing.TB, configure func(site *TLSSite, handshakes *operatorconfig.Handshakes)) *TLSSite {
	t.Helper()
	site := &TLSSite{Dir: t.TempDir(), Rejections: make(chan Rejection, 1000)}
	site.Root = IssueCert(t, nil, "root", testca.AsAuthority)
	site.PeerCert = IssueCert(t, site.Root, PeerName)
	roots, _, err := site.Root.WriteFiles(site.Dir, "roots", false)
	if err != nil {
		t.Fatal(err)
	}
	site.Rule = operatorconfig.TLSRule{Name: "pay", Flavors: []string{"k"}, ServerName: PeerName, Roots: roots}
	var handshakes operatorconfig.Handshakes
	if configure != nil {
		configure(site, &handshakes)
	}
	site.Dialer, err = tlsdial.New(tlsdial.Options{
		Rules: []operatorconfig.TLSRule{site.Rule}, Handshakes: handshakes, Log: slog.New(slog.DiscardHandler), Seed: 1,
		Clock:      func() time.Time { return time.Now().Add(time.Duration(site.ClockSkew.Load())) },
		OnRejected: func(endpoint uint64, wait time.Duration) { site.Rejections <- Rejection{endpoint, wait} },
	})
	if err != nil {
		t.Fatal(err)
	}
	return site
}

// NextEndpoint returns an endpoint number that the site has not used yet.
func (s *TLSSite) NextEndpoint() uint64 { return s.lastEndpoint.Add(1) }

// ServerConfig returns the TLS configuration of an endpoint of the site.
func (s *TLSSite) ServerConfig() *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{s.PeerCert.TLSCertificate()}}
}

// OperatorFile returns the text of an operator's configuration file with the site's rule.
func (s *TLSSite) OperatorFile() string {
	text := fmt.Sprintf("[[tls]]\nname = %q\nflavors = [\"k\"]\nserver_name = %q\nroots = %q\n",
		s.Rule.Name, s.Rule.ServerName, s.Rule.Roots)
	if s.Rule.Certificate != "" {
		text += fmt.Sprintf("certificate = %q\nkey = %q\n", s.Rule.Certificate, s.Rule.Key)
	}
	return text
}

// IssueCert returns a certificate signed by issuer, or a self-signed one if issuer is nil.
func IssueCert(t testing.TB, issuer *testca.Issued, name string, changes ...func(*x509.Certificate)) *testca.Issued {
	t.Helper()
	issued, err := testca.Issue(issuer, name, nil, changes...)
	if err != nil {
		t.Fatal(err)
	}
	return issued
}
