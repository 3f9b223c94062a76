package relay

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/devca"
	"troutusher/internal/operator"
	"troutusher/internal/secure"
)

// way is how calls reach endpoints: one script of faults, over plain TCP and over
// TLS, has the same verdicts.
type way struct {
	site *tlsSite // nil for plain TCP
	cfg  *tls.Config
}

// overEach runs a test over every way.
func overEach(t *testing.T, f func(t *testing.T, w *way)) {
	t.Run("plain", func(t *testing.T) { f(t, &way{}) })
	for name, version := range map[string]uint16{"tls 1.2": tls.VersionTLS12, "tls 1.3": tls.VersionTLS13} {
		t.Run(name, func(t *testing.T) {
			s := newTLSSite(t, nil)
			f(t, &way{site: s, cfg: &tls.Config{Certificates: []tls.Certificate{s.own.TLS()}, MinVersion: version, MaxVersion: version}})
		})
	}
}

// endpoint serves connections by hand.
func (w *way) endpoint(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	if w.site == nil {
		return rawEndpoint(t, serve)
	}
	return tlsEndpoint(t, w.cfg, serve)
}

func (w *way) home(p *pool, addr string) *home {
	if w.site == nil {
		return p.home(addr)
	}
	return w.site.home(p, addr)
}

// rawOf is the TCP connection below one that an endpoint serves.
func rawOf(c net.Conn) *net.TCPConn {
	if s, ok := c.(*tls.Conn); ok {
		return s.NetConn().(*net.TCPConn)
	}
	return c.(*net.TCPConn)
}

// tlsEndpoint serves connections over TLS; one whose handshake fails is closed.
func tlsEndpoint(t testing.TB, cfg *tls.Config, serve func(net.Conn)) string {
	t.Helper()
	return rawEndpoint(t, func(raw net.Conn) {
		if c := tls.Server(raw, cfg); c.Handshake() == nil {
			serve(c)
		}
	})
}

// barred is a word that an endpoint gets nothing for a time.
type barred struct {
	endpoint uint64
	wait     time.Duration
}

// tlsSite is a site whose only rule is for the destinations of flavour k.
type tlsSite struct {
	dir      string
	root     *devca.Made
	own      *devca.Made // the partner's
	rule     operator.TLS
	partners *secure.Partners
	barred   chan barred
	skew     atomic.Int64 // of its clock
	next     atomic.Uint64
}

const partnerName = "pay.example.org"

func issued(t testing.TB, up *devca.Made, name string, changes ...func(*x509.Certificate)) *devca.Made {
	t.Helper()
	m, err := devca.Issue(up, name, nil, changes...)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func newTLSSite(t testing.TB, change func(s *tlsSite, h *operator.Handshakes)) *tlsSite {
	t.Helper()
	s := &tlsSite{dir: t.TempDir(), barred: make(chan barred, 1000)}
	s.root = issued(t, nil, "root", devca.Authority)
	s.own = issued(t, s.root, partnerName)
	roots, _, err := s.root.Write(s.dir, "roots", false)
	if err != nil {
		t.Fatal(err)
	}
	s.rule = operator.TLS{Name: "pay", Flavors: []string{"k"}, ServerName: partnerName, Roots: roots}
	var h operator.Handshakes
	if change != nil {
		change(s, &h)
	}
	s.partners, err = secure.New(secure.Options{Rules: []operator.TLS{s.rule}, Handshakes: h, Log: quietLog(), Seed: 1,
		Clock:  func() time.Time { return time.Now().Add(time.Duration(s.skew.Load())) },
		Barred: func(endpoint uint64, wait time.Duration) { s.barred <- barred{endpoint, wait} }})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *tlsSite) home(p *pool, addr string) *home {
	return p.secureHome(addr, s.partners, s.next.Add(1), 1, "k")
}

// file is the text of an operator's file with the site's rule.
func (s *tlsSite) file() string {
	text := fmt.Sprintf("[[tls]]\nname = %q\nflavors = [\"k\"]\nserver_name = %q\nroots = %q\n", s.rule.Name, s.rule.ServerName, s.rule.Roots)
	if s.rule.Certificate != "" {
		text += fmt.Sprintf("certificate = %q\nkey = %q\n", s.rule.Certificate, s.rule.Key)
	}
	return text
}
