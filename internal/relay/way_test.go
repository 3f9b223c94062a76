package relay

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/operatorconfig"
	"troutusher/internal/testca"
	"troutusher/internal/tlsdial"
)

// transport is how calls reach endpoints: one script of faults, over plain TCP and over
// TLS, has the same verdicts.
type transport struct {
	site *tlsSite // nil for plain TCP
	cfg  *tls.Config
}

// forEachTransport runs a test over every way.
func forEachTransport(t *testing.T, f func(t *testing.T, w *transport)) {
	t.Run("plain", func(t *testing.T) { f(t, &transport{}) })
	for name, version := range map[string]uint16{"tls 1.2": tls.VersionTLS12, "tls 1.3": tls.VersionTLS13} {
		t.Run(name, func(t *testing.T) {
			s := newTLSSite(t, nil)
			f(t, &transport{site: s, cfg: &tls.Config{Certificates: []tls.Certificate{s.own.TLSCertificate()}, MinVersion: version, MaxVersion: version}})
		})
	}
}

// serve serves connections by hand.
func (w *transport) serve(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	if w.site == nil {
		return serveTCP(t, serve)
	}
	return serveTLS(t, w.cfg, serve)
}

func (w *transport) endpoint(p *Pool, addr string) *Endpoint {
	if w.site == nil {
		return p.newEndpoint(addr)
	}
	return w.site.endpoint(p, addr)
}

// tcpConnOf is the TCP connection below one that an endpoint serves.
func tcpConnOf(c net.Conn) *net.TCPConn {
	if s, ok := c.(*tls.Conn); ok {
		return s.NetConn().(*net.TCPConn)
	}
	return c.(*net.TCPConn)
}

// serveTLS serves connections over TLS; one whose handshake fails is closed.
func serveTLS(t testing.TB, cfg *tls.Config, serve func(net.Conn)) string {
	t.Helper()
	return serveTCP(t, func(raw net.Conn) {
		if c := tls.Server(raw, cfg); c.Handshake() == nil {
			serve(c)
		}
	})
}

// identityRejection is a word that an endpoint gets nothing for a time.
type identityRejection struct {
	endpoint uint64
	wait     time.Duration
}

// tlsSite is a site whose only rule is for the destinations of flavour k.
type tlsSite struct {
	dir          string
	root         *testca.Issued
	own          *testca.Issued // the partner's
	rule         operatorconfig.TLSRule
	partners     *tlsdial.Dialer
	rejections   chan identityRejection
	clockSkew    atomic.Int64 // of its clock
	lastEndpoint atomic.Uint64
}

const partnerName = "pay.example.org"

func issueCert(t testing.TB, up *testca.Issued, name string, changes ...func(*x509.Certificate)) *testca.Issued {
	t.Helper()
	m, err := testca.Issue(up, name, nil, changes...)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func newTLSSite(t testing.TB, change func(s *tlsSite, h *operatorconfig.Handshakes)) *tlsSite {
	t.Helper()
	s := &tlsSite{dir: t.TempDir(), rejections: make(chan identityRejection, 1000)}
	s.root = issueCert(t, nil, "root", testca.AsAuthority)
	s.own = issueCert(t, s.root, partnerName)
	roots, _, err := s.root.WriteFiles(s.dir, "roots", false)
	if err != nil {
		t.Fatal(err)
	}
	s.rule = operatorconfig.TLSRule{Name: "pay", Flavors: []string{"k"}, ServerName: partnerName, Roots: roots}
	var h operatorconfig.Handshakes
	if change != nil {
		change(s, &h)
	}
	s.partners, err = tlsdial.New(tlsdial.Options{Rules: []operatorconfig.TLSRule{s.rule}, Handshakes: h, Log: quietLog(), Seed: 1,
		Clock:      func() time.Time { return time.Now().Add(time.Duration(s.clockSkew.Load())) },
		OnRejected: func(endpoint uint64, wait time.Duration) { s.rejections <- identityRejection{endpoint, wait} }})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *tlsSite) endpoint(p *Pool, addr string) *Endpoint {
	return p.OpenEndpoint(addr, s.partners, s.lastEndpoint.Add(1), 1, "k")
}

// operatorFile is the text of an operator's file with the site's rule.
func (s *tlsSite) operatorFile() string {
	text := fmt.Sprintf("[[tls]]\nname = %q\nflavors = [\"k\"]\nserver_name = %q\nroots = %q\n", s.rule.Name, s.rule.ServerName, s.rule.Roots)
	if s.rule.Certificate != "" {
		text += fmt.Sprintf("certificate = %q\nkey = %q\n", s.rule.Certificate, s.rule.Key)
	}
	return text
}
