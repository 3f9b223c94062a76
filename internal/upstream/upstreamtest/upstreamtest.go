// Package upstreamtest has endpoints for tests of calls: servers whose connections a
// test serves by hand, for what no HTTP server does, over TCP and TLS, and the
// certificates and TLS rule to reach them by.
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

// OKResponse is a whole response that reports a delivery.
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// ServeTCP serves each connection with a function and closes it after that. It
// returns the address.
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

// ServeTLS is [ServeTCP] over TLS; a connection whose handshake fails is closed.
func ServeTLS(t testing.TB, config *tls.Config, serve func(net.Conn)) string {
	t.Helper()
	return ServeTCP(t, func(raw net.Conn) {
		if conn := tls.Server(raw, config); conn.Handshake() == nil {
			serve(conn)
		}
	})
}

// ReadRequest reads one whole request. It reports whether there was one.
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

// Rejection is a report of a dialer that an endpoint's identity was rejected.
type Rejection struct {
	Endpoint uint64
	Wait     time.Duration // for which it gets no calls; 0 once it is accepted
}

// TLSSite is a site with one TLS rule, for destinations of flavor k.
type TLSSite struct {
	Dir        string // for its files
	Root       *testca.Issued
	PeerCert   *testca.Issued // that the endpoints show
	Rule       operatorconfig.TLSRule
	Dialer     *tlsdial.Dialer
	Rejections chan Rejection
	ClockSkew  atomic.Int64 // of the dialer's clock, in nanoseconds

	lastEndpoint atomic.Uint64
}

// NewTLSSite returns a site. configure, which may be nil, changes it before its rule
// is read.
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

// NextEndpoint returns the number of another endpoint.
func (s *TLSSite) NextEndpoint() uint64 { return s.lastEndpoint.Add(1) }

// ServerConfig returns the TLS settings of an endpoint of the site.
func (s *TLSSite) ServerConfig() *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{s.PeerCert.TLSCertificate()}}
}

// OperatorFile returns the text of an operator's file with the site's rule.
func (s *TLSSite) OperatorFile() string {
	text := fmt.Sprintf("[[tls]]\nname = %q\nflavors = [\"k\"]\nserver_name = %q\nroots = %q\n",
		s.Rule.Name, s.Rule.ServerName, s.Rule.Roots)
	if s.Rule.Certificate != "" {
		text += fmt.Sprintf("certificate = %q\nkey = %q\n", s.Rule.Certificate, s.Rule.Key)
	}
	return text
}

// IssueCert issues a certificate by an issuer, or one signed by itself for nil.
func IssueCert(t testing.TB, issuer *testca.Issued, name string, changes ...func(*x509.Certificate)) *testca.Issued {
	t.Helper()
	issued, err := testca.Issue(issuer, name, nil, changes...)
	if err != nil {
		t.Fatal(err)
	}
	return issued
}
