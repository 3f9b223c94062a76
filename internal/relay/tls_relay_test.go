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

// newTLSEndpoint returns an endpoint that is called over TLS, like those of partners, which are the
// operators of destinations. In each handshake it presents the result of certificate.
func newTLSEndpoint(
	t *testing.T,
	certificate func() *testca.Issued,
	respond func(w http.ResponseWriter, r *http.Request, n int),
) *fakeEndpoint {
	endpoint := newFakeEndpoint(t, respond)
	handler := endpoint.Config.Handler
	endpoint.CloseClientConnections()
	endpoint.Close()
	endpoint.Server = httptest.NewUnstartedServer(handler)
	// A resumed session would keep the trust of the certificate that it was made with.
	endpoint.TLS = &tls.Config{
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert := certificate().TLSCertificate()
			return &cert, nil
		},
	}
	endpoint.StartTLS()
	t.Cleanup(func() { endpoint.CloseClientConnections(); endpoint.Close() })
	return endpoint
}

// configureTLS writes an operator file with the site's TLS rule and makes a relay use it.
func configureTLS(t *testing.T, site *upstreamtest.TLSSite, env map[string]string, more string) {
	t.Helper()
	path := filepath.Join(site.Dir, "operator.toml")
	if err := os.WriteFile(path, []byte(site.OperatorFile()+more), 0o600); err != nil {
		t.Fatal(err)
	}
	env["TROUTUSHER_OPERATOR"] = path
}

// Guards the trust in a partner that rotates to a certificate which must not be trusted, and back.
// Meanwhile a non-idempotent message must not be sent to the partner, a message that cannot wait
// must be rejected with a retry time, and other partners must be served. Once the partner presents
// a valid certificate again, the relay must notice it by itself, without attempting a message.
func TestPartnerCertificateRotation(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, nil)
	var presented atomic.Pointer[testca.Issued]
	presented.Store(site.PeerCert)
	endpoint := newTLSEndpoint(t, presented.Load, nil)
	other := newFakeEndpoint(t, nil)
	plainMember := other.member("o", 2)
	plainMember.Flavor = "plain"
	discovery := newFakeDiscovery(t, endpoint.member("e", 1), plainMember)
	env := testConfig(t, discovery, 3)
	env["ROUTER_CONSOLE"] = freeAddr(t)
	configureTLS(t, site, env, "")
	relay := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	if got := client.put("a", putFields("once", 10000, 1), []byte("b")); got != "+OK" {
		t.Fatalf("put(a) = %s, want +OK", got)
	}
	waitFor(t, "the first delivery", func() bool { return endpoint.count("a") == 1 })
	presented.Store(upstreamtest.IssueCert(t, site.Root, "shop.example.org"))
	endpoint.CloseClientConnections()
	if got := client.put("b", putFields("once", 15000, 1), []byte("b")); got != "+OK" {
		t.Fatalf("put(b) = %s, want +OK", got)
	}
	// Message b is pending. A message that cannot wait for the next handshake is rejected.
	var rejected string
	waitFor(t, "a rejection with a retry time", func() bool {
		rejected = client.put("c", putFields("plain", 300, 1), []byte("b"))
		return strings.HasPrefix(rejected, "-BUSY ")
	})
	if rejected == "-BUSY" || strings.HasSuffix(rejected, " 0") {
		t.Errorf("put(c) = %q, want -BUSY with a retry time above 0", rejected)
	}
	if got := client.put("d", putFields("once", 10000, 2), []byte("b")); got != "+OK" {
		t.Errorf("put(d) for the other partner = %s, want +OK", got)
	}
	waitFor(t, "the delivery to the other partner", func() bool { return other.count("d") == 1 })
	if n := endpoint.count("b"); n != 0 {
		t.Errorf("calls of message b at a partner that is not trusted = %d, want 0", n)
	}
	waitFor(t, "STATS to show one partner as not trusted", func() bool {
		text := mustCall(t, env["ROUTER_CONSOLE"], "STATS")
		return strings.Contains(text, "edge_router.tls_out:1|g\n") &&
			strings.Contains(text, "edge_router.tls_days.pay:0|g\n") &&
			strings.Contains(text, "edge_router.cluster_unhealthy:1|g\n")
	})
	presented.Store(site.PeerCert)
	waitFor(t, "delivery of the pending message", func() bool { return endpoint.count("b") == 1 })
	relay.kill()
}

// Guards an upgrade with a call over TLS in flight: the call must complete in the predecessor and
// not be made twice, and the successor must continue to serve the partner.
func TestUpgradeWithCallsOverTLS(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, nil)
	entered, release := make(chan struct{}, 8), make(chan struct{})
	endpoint := newTLSEndpoint(
		t,
		func() *testca.Issued { return site.PeerCert },
		func(w http.ResponseWriter, r *http.Request, n int) {
			if n == 1 {
				entered <- struct{}{}
				<-release
			}
		},
	)
	discovery := newFakeDiscovery(t, endpoint.member("e", 1))
	env := testConfig(t, discovery, 3)
	env["ROUTER_CONSOLE"] = freeAddr(t)
	configureTLS(t, site, env, "")
	startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	if got := client.put("a", putFields("once", 15000, 1), []byte("b")); got != "+OK" {
		t.Fatalf("put(a) = %s, want +OK", got)
	}
	<-entered
	successor := startPeer(t, env)
	// The predecessor is quiesced only once its call has ended.
	close(release)
	waitFor(t, "the successor to be ready", successor.isReady)
	if got := client.put("b", putFields("once", 15000, 1), []byte("b")); got != "+OK" {
		t.Fatalf("put(b) = %s, want +OK", got)
	}
	waitFor(t, "delivery of message b", func() bool { return endpoint.count("b") == 1 })
	if n := endpoint.count("a"); n != 1 {
		t.Errorf("calls of message a = %d, want 1", n)
	}
	if _, notified := discovery.Notice("a"); notified {
		t.Error("Notice(a) exists for a message whose call succeeded, want none")
	}
}

// Guards against two calls of one message at the same time: a call over TLS cannot be handed over,
// so it must have ended before the successor gets the state, since the successor may send the
// message again at once.
func TestCallsThatCannotRestAreOverFirst(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, nil)
	entered, ended := make(chan struct{}, 8), make(chan struct{})
	endpoint := newTLSEndpoint(
		t,
		func() *testca.Issued { return site.PeerCert },
		func(_ http.ResponseWriter, r *http.Request, n int) {
			if n == 1 {
				entered <- struct{}{}
				<-r.Context().Done()
				close(ended)
			}
		},
	)
	discovery := newFakeDiscovery(t, endpoint.member("e", 1))
	env := testConfig(t, discovery, 3)
	env["ROUTER_CONSOLE"] = freeAddr(t)
	configureTLS(t, site, env, "")
	startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	if got := client.put("a", putFields("keyed", 15000, 1), []byte("b")); got != "+OK" {
		t.Fatalf("put(a) = %s, want +OK", got)
	}
	<-entered
	fake := newTestSuccessor(t, env["ROUTER_STATE"])
	fake.receive(1000)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("the call is still in flight 2 s after the successor received the state, want it cancelled")
	}
	if len(fake.state.Core.Calls) != 0 {
		t.Errorf("calls handed over = %+v, want none", fake.state.Core.Calls)
	}
	fake.close() // the predecessor continues to serve and sends the message again
	waitFor(t, "the second attempt of message a", func() bool { return endpoint.count("a") == 2 })
}

// Guards the start with a TLS rule whose files cannot be used: it must fail with an error that
// names the rule and the file.
func TestStartWithInvalidTLSFiles(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, nil)
	site.Rule.Roots = filepath.Join(site.Dir, "none.pem")
	discovery := newFakeDiscovery(t)
	env := testConfig(t, discovery, 3)
	configureTLS(t, site, env, "")
	cfg, err := config.Load(func(k string) string { return env[k] })
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	err = Run(cfg, quietLog(), stop, ReloadRequests{})
	if err == nil || !strings.Contains(err.Error(), "tls pay") || !strings.Contains(err.Error(), "none.pem") {
		t.Errorf("Run() with a missing roots file: error %v, want one that names tls pay and none.pem", err)
	}
}
