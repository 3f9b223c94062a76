package relay

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/config"
	"troutusher/internal/testca"
	"troutusher/internal/upstream/upstreamtest"
)

// newTLSEndpoint is a partner's endpoint over TLS that shows what own says.
func newTLSEndpoint(
	t *testing.T,
	own func() *testca.Issued,
	answer func(w http.ResponseWriter, r *http.Request, n int),
) *fakeEndpoint {
	e := newFakeEndpoint(t, answer)
	handler := e.Config.Handler
	e.CloseClientConnections()
	e.Close()
	e.Server = httptest.NewUnstartedServer(handler)
	// A session would go on under the proof that it was made by.
	e.TLS = &tls.Config{
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			c := own().TLSCertificate()
			return &c, nil
		},
	}
	e.StartTLS()
	t.Cleanup(func() { e.CloseClientConnections(); e.Close() })
	return e
}

// operatorFile has a relay read the site's rule.
func operatorFile(t *testing.T, s *upstreamtest.TLSSite, env map[string]string, more string) {
	t.Helper()
	path := filepath.Join(s.Dir, "operator.toml")
	if err := os.WriteFile(path, []byte(s.OperatorFile()+more), 0o600); err != nil {
		t.Fatal(err)
	}
	env["TROUTUSHER_OPERATOR"] = path
}

// Guards a whole relay against a partner that rotates to a certificate that it
// must not be trusted by, and back: an unsafe message is not spent on it, what
// cannot wait is refused with the time to come back, and no message is needed
// for the partner to be found sound again. The others serve on.
func TestRelayThroughARotation(t *testing.T) {
	s := upstreamtest.NewTLSSite(t, nil)
	var shown atomic.Pointer[testca.Issued]
	shown.Store(s.PeerCert)
	ep := newTLSEndpoint(t, shown.Load, nil)
	other := newFakeEndpoint(t, nil)
	plain := other.member("o", 2)
	plain.Flavor = "plain"
	d := newFakeDiscovery(t, ep.member("e", 1), plain)
	env := testConfig(t, d, 3)
	env["ROUTER_CONSOLE"] = freeAddr(t)
	operatorFile(t, s, env, "")
	r := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if got := cl.put("a", putFields("once", 10000, 1), []byte("b")); got != "+OK" {
		t.Fatal(got)
	}
	waitFor(t, "the first delivery", func() bool { return ep.count("a") == 1 })
	shown.Store(upstreamtest.IssueCert(t, s.Root, "shop.example.org"))
	ep.CloseClientConnections()
	if got := cl.put("b", putFields("once", 15000, 1), []byte("b")); got != "+OK" {
		t.Fatal(got)
	}
	// It is held, and what cannot wait for the next proof is not taken on.
	var refused string
	waitFor(t, "a refusal", func() bool {
		refused = cl.put("c", putFields("plain", 300, 1), []byte("b"))
		return strings.HasPrefix(refused, "-BUSY ")
	})
	if refused == "-BUSY" || strings.HasSuffix(refused, " 0") {
		t.Errorf("refused without a time: %q", refused)
	}
	if got := cl.put("d", putFields("once", 10000, 2), []byte("b")); got != "+OK" {
		t.Error(got)
	}
	waitFor(t, "the other partner", func() bool { return other.count("d") == 1 })
	if n := ep.count("b"); n != 0 {
		t.Errorf("the message reached a partner that is not trusted %d times", n)
	}
	waitFor(t, "figures of one that is out", func() bool {
		text := mustCall(t, env["ROUTER_CONSOLE"], "STATS")
		return strings.Contains(text, "edge_router.tls_out:1|g\n") &&
			strings.Contains(text, "edge_router.tls_days.pay:0|g\n") &&
			strings.Contains(text, "edge_router.cluster_unhealthy:1|g\n")
	})
	shown.Store(s.PeerCert)
	waitFor(t, "what was held", func() bool { return ep.count("b") == 1 })
	r.kill()
}

// Guards an upgrade with calls over TLS: what is out ends in the old process,
// none is made twice, and the new process serves the partner on.
func TestUpgradeWithCallsOverTLS(t *testing.T) {
	s := upstreamtest.NewTLSSite(t, nil)
	entered, release := make(chan struct{}, 8), make(chan struct{})
	ep := newTLSEndpoint(
		t,
		func() *testca.Issued { return s.PeerCert },
		func(w http.ResponseWriter, r *http.Request, n int) {
			if n == 1 {
				entered <- struct{}{}
				<-release
			}
		},
	)
	d := newFakeDiscovery(t, ep.member("e", 1))
	env := testConfig(t, d, 3)
	env["ROUTER_CONSOLE"] = freeAddr(t)
	operatorFile(t, s, env, "")
	startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if got := cl.put("a", putFields("once", 15000, 1), []byte("b")); got != "+OK" {
		t.Fatal(got)
	}
	<-entered
	b := startPeer(t, env)
	// The old process comes to rest only once its call has ended.
	close(release)
	waitFor(t, "the new process", b.isReady)
	if got := cl.put("b", putFields("once", 15000, 1), []byte("b")); got != "+OK" {
		t.Fatal(got)
	}
	waitFor(t, "the next message", func() bool { return ep.count("b") == 1 })
	if n := ep.count("a"); n != 1 {
		t.Errorf("the call that was out was made %d times", n)
	}
	if _, told := d.Notice("a"); told {
		t.Error("the call that was out is told as failed")
	}
}

// A call that cannot rest, over TLS, is over before the other process has the work:
// that one may send its message again at once, and two copies would be out.
func TestCallsThatCannotRestAreOverFirst(t *testing.T) {
	s := upstreamtest.NewTLSSite(t, nil)
	entered, over := make(chan struct{}, 8), make(chan struct{})
	ep := newTLSEndpoint(
		t,
		func() *testca.Issued { return s.PeerCert },
		func(_ http.ResponseWriter, r *http.Request, n int) {
			if n == 1 {
				entered <- struct{}{}
				<-r.Context().Done()
				close(over)
			}
		},
	)
	d := newFakeDiscovery(t, ep.member("e", 1))
	env := testConfig(t, d, 3)
	env["ROUTER_CONSOLE"] = freeAddr(t)
	operatorFile(t, s, env, "")
	startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if got := cl.put("a", putFields("keyed", 15000, 1), []byte("b")); got != "+OK" {
		t.Fatal(got)
	}
	<-entered
	k := newTestSuccessor(t, env["ROUTER_STATE"])
	k.receive(1000)
	select {
	case <-over:
	case <-time.After(2 * time.Second):
		t.Error("its call is out while the other process has the work")
	}
	if len(k.state.Core.Calls) != 0 {
		t.Errorf("calls that go on: %+v", k.state.Core.Calls)
	}
	k.close() // and the old one, which serves on, sends it once more
	waitFor(t, "the next attempt", func() bool { return ep.count("a") == 2 })
}

// Guards the start: files that cannot be used end it, with the rule's name.
func TestRelayWithBadKeys(t *testing.T) {
	s := upstreamtest.NewTLSSite(t, nil)
	s.Rule.Roots = filepath.Join(s.Dir, "none.pem")
	d := newFakeDiscovery(t)
	env := testConfig(t, d, 3)
	operatorFile(t, s, env, "")
	cfg, err := config.Load(func(k string) string { return env[k] })
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	err = Run(cfg, quietLog(), stop, ReloadRequests{})
	if err == nil || !strings.Contains(err.Error(), "tls pay") || !strings.Contains(err.Error(), "none.pem") {
		t.Errorf("got %v", err)
	}
}
