package upstream

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"maps"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/operatorconfig"
	"troutusher/internal/testca"
	"troutusher/internal/tlsdial"
	"troutusher/internal/tlspolicy"
	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

// callRejectedPeer makes calls to a peer that shows what it should not. It returns
// how many bytes of plaintext the peer got, and in how many connections.
func callRejectedPeer(t *testing.T, site *upstreamtest.TLSSite, config *tls.Config) (
	result Result, plaintext int64, conns int32,
) {
	t.Helper()
	var got atomic.Int64
	var n atomic.Int32
	addr := upstreamtest.ServeTCP(t, func(raw net.Conn) {
		n.Add(1)
		conn := tls.Server(raw, config)
		if conn.Handshake() != nil {
			return
		}
		b := make([]byte, 100)
		for {
			k, err := conn.Read(b)
			if got.Add(int64(k)); err != nil {
				return
			}
		}
	})
	endpoint := openTLS(testPool(t), site, addr)
	for range 5 {
		result = callOnce(t, endpoint, Request{ID: "m", IdempotencyKey: secretKey, Body: []byte("body")})
	}
	endpoint.Close()
	return result, got.Load(), n.Load()
}

const secretKey = "secret-key"

// rejectedPeerCase is a peer whose identity is not accepted.
type rejectedPeerCase struct {
	configure func(site *upstreamtest.TLSSite)                // before its rule is read
	show      func(site *upstreamtest.TLSSite) *testca.Issued // in place of the site's own certificate
	cause     tlspolicy.FailureCause
}

// wrongNameCases are certificates that name somebody else.
func wrongNameCases(t *testing.T) map[string]rejectedPeerCase {
	byRoot := func(name string, changes ...func(*x509.Certificate)) func(site *upstreamtest.TLSSite) *testca.Issued {
		return func(site *upstreamtest.TLSSite) *testca.Issued {
			return upstreamtest.IssueCert(t, site.Root, name, changes...)
		}
	}
	return map[string]rejectedPeerCase{
		"another name":        {show: byRoot("shop.example.org"), cause: tlspolicy.NameMismatch},
		"no name":             {show: byRoot("x", testca.WithNames()), cause: tlspolicy.NameMismatch},
		"its address":         {show: byRoot("x", testca.WithNames("127.0.0.1")), cause: tlspolicy.NameMismatch},
		"a wildcard too wide": {show: byRoot("*.org"), cause: tlspolicy.NameMismatch},
	}
}

// wrongChainCases are certificates under a name that is right.
func wrongChainCases(t *testing.T, other *testca.Issued) map[string]rejectedPeerCase {
	now := time.Now()
	expired := testca.WithValidity(now.Add(-2*time.Hour), now.Add(-time.Minute))
	issue := func(issuer *testca.Issued, name string, changes ...func(*x509.Certificate)) *testca.Issued {
		return upstreamtest.IssueCert(t, issuer, name, changes...)
	}
	byRoot := func(changes ...func(*x509.Certificate)) func(site *upstreamtest.TLSSite) *testca.Issued {
		return func(site *upstreamtest.TLSSite) *testca.Issued {
			return issue(site.Root, upstreamtest.PeerName, changes...)
		}
	}
	byAuthority := func(changes ...func(*x509.Certificate)) func(site *upstreamtest.TLSSite) *testca.Issued {
		return func(site *upstreamtest.TLSSite) *testca.Issued {
			authority := issue(
				site.Root,
				"authority",
				append([]func(*x509.Certificate){testca.AsAuthority}, changes...)...)
			return issue(authority, upstreamtest.PeerName)
		}
	}
	return map[string]rejectedPeerCase{
		"another root": {show: func(*upstreamtest.TLSSite) *testca.Issued {
			return issue(other, upstreamtest.PeerName)
		}, cause: tlspolicy.UntrustedRoot},
		"signed by itself": {show: func(*upstreamtest.TLSSite) *testca.Issued {
			return issue(nil, upstreamtest.PeerName)
		}, cause: tlspolicy.UntrustedRoot},
		"another root of the same name": {show: func(*upstreamtest.TLSSite) *testca.Issued {
			return issue(issue(nil, "root", testca.AsAuthority), upstreamtest.PeerName)
		}, cause: tlspolicy.UntrustedRoot},
		"expired": {show: byRoot(expired), cause: tlspolicy.Expired},
		"not yet valid": {
			show:  byRoot(testca.WithValidity(now.Add(time.Minute), now.Add(time.Hour))),
			cause: tlspolicy.NotYetValid,
		},
		"expired above": {show: byAuthority(expired), cause: tlspolicy.Expired},
		"no authority above": {
			show:  byAuthority(func(cert *x509.Certificate) { cert.IsCA = false }),
			cause: tlspolicy.UntrustedRoot,
		},
		"for clients": {show: byRoot(func(cert *x509.Certificate) {
			cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
		}), cause: tlspolicy.InvalidChain},
		"deeper than its authority may go": {show: func(site *upstreamtest.TLSSite) *testca.Issued {
			short := issue(site.Root, "short", testca.AsAuthority, func(cert *x509.Certificate) {
				cert.MaxPathLen, cert.MaxPathLenZero = 0, true
			})
			return issue(issue(short, "deep", testca.AsAuthority), upstreamtest.PeerName)
		}, cause: tlspolicy.InvalidChain},
		"outside what its authority may name": {show: byAuthority(func(cert *x509.Certificate) {
			cert.PermittedDNSDomains, cert.PermittedDNSDomainsCritical = []string{"shop.example.org"}, true
		}), cause: tlspolicy.InvalidChain},
		"must staple and does not": {show: byRoot(testca.WithMustStaple), cause: tlspolicy.RevocationUnresolved},
	}
}

// wrongRuleCases are certificates that only the site's rule does not accept.
func wrongRuleCases(t *testing.T, other *testca.Issued) map[string]rejectedPeerCase {
	return map[string]rejectedPeerCase{
		"not pinned": {configure: func(site *upstreamtest.TLSSite) {
			site.Rule.Pins = []string{tlspolicy.PinOf(other.Certificate).String(), tlspolicy.Pin{1}.String()}
		}, cause: tlspolicy.PinMismatch},
		"revoked": {configure: func(site *upstreamtest.TLSSite) {
			revoke(t, site, site.PeerCert)
		}, cause: tlspolicy.CertificateRevoked},
		"revocation unknown, and hard": {configure: func(site *upstreamtest.TLSSite) {
			site.Rule.UnknownRevocation = "refuse"
		}, cause: tlspolicy.RevocationUnresolved},
		"wants a certificate that we lack": {cause: tlspolicy.ClientCertificateRejected},
	}
}

// Guards messages against peers whose proof is not accepted, over both versions:
// nothing is sent, the message never ran, the endpoint is out for its own cause, and
// five messages make one handshake.
func TestRejectedPeersGetNothing(t *testing.T) {
	other := upstreamtest.IssueCert(t, nil, "other", testca.AsAuthority)
	cases := wrongNameCases(t)
	maps.Copy(cases, wrongChainCases(t, other))
	maps.Copy(cases, wrongRuleCases(t, other))
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		for name, test := range cases {
			t.Run(name+" "+tls.VersionName(version), func(t *testing.T) {
				t.Parallel()
				site := upstreamtest.NewTLSSite(t, func(site *upstreamtest.TLSSite, _ *operatorconfig.Handshakes) {
					if test.configure != nil {
						test.configure(site)
					}
				})
				shown := site.PeerCert
				if test.show != nil {
					shown = test.show(site)
				}
				config := &tls.Config{
					Certificates: []tls.Certificate{shown.TLSCertificate()},
					MinVersion:   version, MaxVersion: version,
				}
				if test.cause == tlspolicy.ClientCertificateRejected {
					config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, site.Root.RootPool()
				}
				result, plaintext, conns := callRejectedPeer(t, site, config)
				var rejected *tlsdial.RejectedError
				if result.Outcome != policy.NotSent || !errors.As(result.Err, &rejected) ||
					rejected.Reason.Cause != test.cause {
					t.Errorf("got %+v, want %s", result, test.cause)
				}
				if plaintext != 0 || conns != 1 {
					t.Errorf("%d bytes of plaintext at the peer in %d connections, want none in one", plaintext, conns)
				}
				if rejection := <-site.Rejections; rejection.Wait <= 0 {
					t.Errorf("reported %v", rejection)
				}
			})
		}
	}
	t.Run("only an old version", func(t *testing.T) {
		site := upstreamtest.NewTLSSite(t, nil)
		config := site.ServerConfig()
		config.MinVersion, config.MaxVersion = tls.VersionTLS10, tls.VersionTLS11
		result, plaintext, _ := callRejectedPeer(t, site, config)
		var rejected *tlsdial.RejectedError
		if !errors.As(result.Err, &rejected) || rejected.Reason.Cause != tlspolicy.NoCommonParameters ||
			plaintext != 0 {
			t.Errorf("got %+v, %d bytes", result, plaintext)
		}
	})
	t.Run("no TLS at all", func(t *testing.T) {
		site := upstreamtest.NewTLSSite(t, nil)
		var got atomic.Int64
		endpoint := openTLS(testPool(t), site, upstreamtest.ServeTCP(t, func(conn net.Conn) {
			b := make([]byte, 4096)
			n, _ := conn.Read(b) // whatever comes
			if strings.Contains(string(b[:n]), secretKey) {
				got.Add(1)
			}
			respond(conn, upstreamtest.OKResponse)
		}))
		result := callOnce(t, endpoint, Request{ID: "m", IdempotencyKey: secretKey})
		endpoint.Close()
		var rejected *tlsdial.RejectedError
		if !errors.As(result.Err, &rejected) || rejected.Reason.Cause != tlspolicy.NoCommonParameters ||
			got.Load() != 0 {
			t.Errorf("got %+v", result)
		}
	})
}

// Guards a message against a peer that takes a while to reject our certificate: with TLS
// 1.3 the handshake is complete on this side by then, and the whole message would be on
// its way.
func TestOwnCertificateRejectedLate(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, func(site *upstreamtest.TLSSite, _ *operatorconfig.Handshakes) {
		cert, key, err := upstreamtest.IssueCert(t, site.Root, "relay").WriteFiles(site.Dir, "own", true)
		if err != nil {
			t.Fatal(err)
		}
		site.Rule.Certificate, site.Rule.Key = cert, key
	})
	config := site.ServerConfig()
	config.MinVersion, config.ClientAuth = tls.VersionTLS13, tls.RequireAnyClientCert
	config.VerifyPeerCertificate = func([][]byte, [][]*x509.Certificate) error {
		time.Sleep(5 * defaultStaleCheckDelay) // longer than the delay before a call's last byte
		return errors.New("not registered here")
	}
	result, plaintext, conns := callRejectedPeer(t, site, config)
	var rejected *tlsdial.RejectedError
	if result.Outcome != policy.NotSent || !errors.As(result.Err, &rejected) ||
		rejected.Reason.Cause != tlspolicy.ClientCertificateRejected || plaintext != 0 || conns != 1 {
		t.Errorf("got %+v, %d bytes, %d connections", result, plaintext, conns)
	}
	if n := site.Dialer.Counts(); n.Full != 0 || n.Rejected != 1 {
		t.Errorf("%+v: it counts as verified", n)
	}
}

// revoke puts a certificate on the site's revocation list.
func revoke(t testing.TB, site *upstreamtest.TLSSite, issued *testca.Issued) {
	t.Helper()
	text, err := testca.RevocationListPEM(site.Root, time.Now().Add(time.Hour), issued)
	if err != nil {
		t.Fatal(err)
	}
	site.Rule.Revocations = filepath.Join(site.Dir, "crl.pem")
	if err := testca.ReplaceFile(site.Rule.Revocations, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

// Guards a certificate that ends while its connection is open: the call that is
// out on it ends well, and no other begins there.
func TestCertificateExpiresOnOpenConnection(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, nil)
	var conns atomic.Int32
	entered, release := make(chan struct{}), make(chan struct{})
	addr := upstreamtest.ServeTLS(t, site.ServerConfig(), func(conn net.Conn) {
		conns.Add(1)
		for reader := bufio.NewReader(conn); upstreamtest.ReadRequest(reader); {
			entered <- struct{}{}
			<-release
			respond(conn, upstreamtest.OKResponse)
		}
	})
	endpoint := openTLS(testPool(t), site, addr)
	results := make(chan Result, 1)
	go start(endpoint, Request{ID: "a"}, results)
	<-entered
	site.ClockSkew.Store(int64(2 * time.Hour)) // its certificate ended an hour ago
	close(release)
	if result := <-results; result.Outcome != policy.Delivered {
		t.Errorf("the call that was out: %+v", result)
	}
	waitFor(t, "the connection's end", func() bool { open, _ := endpoint.pool.counts(); return open == 0 })
	result := callOnce(t, endpoint, Request{ID: "b"})
	var rejected *tlsdial.RejectedError
	if !errors.As(result.Err, &rejected) || rejected.Reason.Cause != tlspolicy.Expired ||
		result.Outcome != policy.NotSent || conns.Load() != 1 {
		t.Errorf("the next one: %+v, %d connections served", result, conns.Load())
	}
	endpoint.Close()
}

// Guards trust that changes: connections and sessions that were made under the
// old roots carry no new call, and the endpoint is asked again by itself once
// the operator has mended the file; no message is spent on that.
func TestRootsReplaced(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, nil)
	endpoint := openTLS(testPool(t), site, upstreamtest.ServeTLS(t, site.ServerConfig(), upstreamtest.ServeOK))
	mustDeliver(t, endpoint)
	if _, idle := endpoint.pool.counts(); idle != 1 {
		t.Fatalf("%d idle", idle)
	}
	other := upstreamtest.IssueCert(t, nil, "other", testca.AsAuthority)
	if _, _, err := other.WriteFiles(site.Dir, "roots", false); err != nil {
		t.Fatal(err)
	}
	site.Dialer.ReloadFiles()
	if result := callOnce(t, endpoint, Request{ID: "b"}); result.Outcome != policy.NotSent {
		t.Fatalf("under roots that do not know the peer: %+v", result)
	}
	if rejection := <-site.Rejections; rejection.Wait == 0 {
		t.Fatal("not rejected")
	}
	if _, _, err := site.Root.WriteFiles(site.Dir, "roots", false); err != nil {
		t.Fatal(err)
	}
	site.Dialer.ReloadFiles()
	for rejection := range site.Rejections {
		if rejection.Wait == 0 {
			break // proved again, and no message was sent for it
		}
	}
	if n := site.Dialer.Counts(); n.Full != 2 || n.Resumed != 0 {
		t.Errorf("%+v: a session outlived the trust that it was made under", n)
	}
	waitReusable(endpoint)
	mustDeliver(t, endpoint)
	endpoint.Close()
}

// Guards the schedule: a peer whose certificate is valid again is noticed without a
// call.
func TestPeerRecoversWithoutCall(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, nil)
	var good atomic.Bool
	wrong := upstreamtest.IssueCert(t, site.Root, "shop.example.org").TLSCertificate()
	right := site.PeerCert.TLSCertificate()
	config := &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		if good.Load() {
			return &right, nil
		}
		return &wrong, nil
	}}
	endpoint := openTLS(testPool(t), site, upstreamtest.ServeTLS(t, config, upstreamtest.ServeOK))
	if result := callOnce(t, endpoint, Request{ID: "a"}); result.Outcome != policy.NotSent {
		t.Fatalf("got %+v", result)
	}
	good.Store(true)
	for rejection := range site.Rejections {
		if rejection.Wait == 0 {
			break
		}
	}
	mustDeliver(t, endpoint)
	endpoint.Close()
}

// Guards our own certificate that is replaced while fifty handshakes are in
// flight, certificate and key one after the other: no call is lost, the pair
// that does not match is never shown, and from then on the new one is.
func TestOwnCertificateReplaced(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, func(site *upstreamtest.TLSSite, handshakes *operatorconfig.Handshakes) {
		handshakes.MaxParallel, handshakes.CPUShare, handshakes.BurstMS = 50, 1, 1000
		cert, key, err := upstreamtest.IssueCert(t, site.Root, "relay one").WriteFiles(site.Dir, "own", true)
		if err != nil {
			t.Fatal(err)
		}
		site.Rule.Certificate, site.Rule.Key = cert, key
	})
	var mu sync.Mutex
	shown := map[string]int{}
	arrived, gate := make(chan struct{}, 200), make(chan struct{})
	var open atomic.Bool
	config := &tls.Config{
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  site.Root.RootPool(),
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			if !open.Load() {
				arrived <- struct{}{}
				<-gate
			}
			own := site.PeerCert.TLSCertificate()
			return &own, nil
		},
	}
	endpoint := openTLS(testPool(t), site, upstreamtest.ServeTLS(t, config, func(conn net.Conn) {
		mu.Lock()
		shown[conn.(*tls.Conn).ConnectionState().PeerCertificates[0].Subject.CommonName]++
		mu.Unlock()
		upstreamtest.ServeOK(conn)
	}))
	results := make(chan Result, 100)
	startCalls := func(n int) {
		for range n {
			go start(endpoint, Request{ID: "m"}, results)
		}
	}
	startCalls(50)
	for range 50 {
		<-arrived
	}
	two := upstreamtest.IssueCert(t, site.Root, "relay two")
	if err := testca.ReplaceFile(site.Rule.Certificate, two.CertPEM(), 0o644); err != nil {
		t.Fatal(err)
	}
	site.Dialer.ReloadFiles() // the moment between: the old pair goes on
	open.Store(true)
	close(gate)
	for range 50 {
		if result := <-results; result.Outcome != policy.Delivered {
			t.Errorf("got %+v", result)
		}
	}
	waitFor(t, "all handshakes", func() bool {
		endpoint.pool.mu.Lock()
		connecting := endpoint.connecting
		endpoint.pool.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		return connecting == 0 && int64(shown["relay one"]) == site.Dialer.Counts().Full
	})
	mu.Lock()
	if len(shown) != 1 {
		t.Errorf("shown: %v", shown)
	}
	clear(shown)
	mu.Unlock()
	key, err := two.KeyPEM()
	if err != nil {
		t.Fatal(err)
	}
	if err := testca.ReplaceFile(site.Rule.Key, key, 0o600); err != nil {
		t.Fatal(err)
	}
	site.Dialer.ReloadFiles()
	waitReusable(endpoint)
	startCalls(20)
	for range 20 {
		if result := <-results; result.Outcome != policy.Delivered {
			t.Errorf("got %+v", result)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(shown) != 1 || shown["relay two"] == 0 {
		t.Errorf("shown after the change: %v", shown)
	}
	endpoint.Close()
	waitFor(t, "all connections to close", func() bool { open, _ := endpoint.pool.counts(); return open == 0 })
}
