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

// callRejectedPeer sends five calls to a peer whose identity must be rejected. It returns the
// last result, how many bytes of plaintext the peer received, and how many connections it
// accepted.
func callRejectedPeer(t *testing.T, site *upstreamtest.TLSSite, config *tls.Config) (
	result Result, plaintext int64, conns int32,
) {
	t.Helper()
	var received atomic.Int64
	var accepted atomic.Int32
	addr := upstreamtest.ServeTCP(t, func(raw net.Conn) {
		accepted.Add(1)
		conn := tls.Server(raw, config)
		if conn.Handshake() != nil {
			return
		}
		buffer := make([]byte, 100)
		for {
			n, err := conn.Read(buffer)
			if received.Add(int64(n)); err != nil {
				return
			}
		}
	})
	endpoint := openTLS(testPool(t), site, addr)
	for range 5 {
		result = callOnce(t, endpoint, Request{ID: "m", IdempotencyKey: secretKey, Body: []byte("body")})
	}
	endpoint.Close()
	return result, received.Load(), accepted.Load()
}

const secretKey = "secret-key"

// rejectedPeerCase is a peer whose identity must be rejected.
type rejectedPeerCase struct {
	configure func(site *upstreamtest.TLSSite)                // changes the site before its rule is read
	present   func(site *upstreamtest.TLSSite) *testca.Issued // certificate to present instead of the site's own
	cause     tlspolicy.FailureCause
}

// wrongNameCases returns peers whose certificate has a name other than the expected one.
func wrongNameCases(t *testing.T) map[string]rejectedPeerCase {
	byRoot := func(name string, changes ...func(*x509.Certificate)) func(site *upstreamtest.TLSSite) *testca.Issued {
		return func(site *upstreamtest.TLSSite) *testca.Issued {
			return upstreamtest.IssueCert(t, site.Root, name, changes...)
		}
	}
	return map[string]rejectedPeerCase{
		"another name":        {present: byRoot("shop.example.org"), cause: tlspolicy.NameMismatch},
		"no name":             {present: byRoot("x", testca.WithNames()), cause: tlspolicy.NameMismatch},
		"only an IP address":  {present: byRoot("x", testca.WithNames("127.0.0.1")), cause: tlspolicy.NameMismatch},
		"too wide a wildcard": {present: byRoot("*.org"), cause: tlspolicy.NameMismatch},
	}
}

// wrongChainCases returns peers whose certificate has the expected name but no valid chain.
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
		"another root": {present: func(*upstreamtest.TLSSite) *testca.Issued {
			return issue(other, upstreamtest.PeerName)
		}, cause: tlspolicy.UntrustedRoot},
		"self-signed": {present: func(*upstreamtest.TLSSite) *testca.Issued {
			return issue(nil, upstreamtest.PeerName)
		}, cause: tlspolicy.UntrustedRoot},
		"another root with the same name": {present: func(*upstreamtest.TLSSite) *testca.Issued {
			return issue(issue(nil, "root", testca.AsAuthority), upstreamtest.PeerName)
		}, cause: tlspolicy.UntrustedRoot},
		"expired": {present: byRoot(expired), cause: tlspolicy.Expired},
		"not yet valid": {
			present: byRoot(testca.WithValidity(now.Add(time.Minute), now.Add(time.Hour))),
			cause:   tlspolicy.NotYetValid,
		},
		"expired intermediate": {present: byAuthority(expired), cause: tlspolicy.Expired},
		"intermediate that is no CA": {
			present: byAuthority(func(cert *x509.Certificate) { cert.IsCA = false }),
			cause:   tlspolicy.UntrustedRoot,
		},
		"client certificate": {present: byRoot(func(cert *x509.Certificate) {
			cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
		}), cause: tlspolicy.InvalidChain},
		"path length constraint exceeded": {present: func(site *upstreamtest.TLSSite) *testca.Issued {
			short := issue(site.Root, "short", testca.AsAuthority, func(cert *x509.Certificate) {
				cert.MaxPathLen, cert.MaxPathLenZero = 0, true
			})
			return issue(issue(short, "deep", testca.AsAuthority), upstreamtest.PeerName)
		}, cause: tlspolicy.InvalidChain},
		"outside the name constraints": {present: byAuthority(func(cert *x509.Certificate) {
			cert.PermittedDNSDomains, cert.PermittedDNSDomainsCritical = []string{"shop.example.org"}, true
		}), cause: tlspolicy.InvalidChain},
		"must-staple without a stapled response": {
			present: byRoot(testca.WithMustStaple),
			cause:   tlspolicy.RevocationUnresolved,
		},
	}
}

// wrongRuleCases returns peers whose certificate is valid but violates the site's rule, and
// one that requires a client certificate.
func wrongRuleCases(t *testing.T, other *testca.Issued) map[string]rejectedPeerCase {
	return map[string]rejectedPeerCase{
		"not pinned": {configure: func(site *upstreamtest.TLSSite) {
			site.Rule.Pins = []string{tlspolicy.PinOf(other.Certificate).String(), tlspolicy.Pin{1}.String()}
		}, cause: tlspolicy.PinMismatch},
		"revoked": {configure: func(site *upstreamtest.TLSSite) {
			revoke(t, site, site.PeerCert)
		}, cause: tlspolicy.CertificateRevoked},
		"unknown revocation is refused": {configure: func(site *upstreamtest.TLSSite) {
			site.Rule.UnknownRevocation = "refuse"
		}, cause: tlspolicy.RevocationUnresolved},
		"client certificate required": {cause: tlspolicy.ClientCertificateRejected},
	}
}

// Guards against sending messages to peers whose identity is rejected, with TLS 1.2 and
// TLS 1.3. The peer must receive no plaintext, the calls must be reported as not sent with
// the right cause, and five calls must cause only one handshake.
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
				presented := site.PeerCert
				if test.present != nil {
					presented = test.present(site)
				}
				config := &tls.Config{
					Certificates: []tls.Certificate{presented.TLSCertificate()},
					MinVersion:   version, MaxVersion: version,
				}
				if test.cause == tlspolicy.ClientCertificateRejected {
					config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, site.Root.RootPool()
				}
				result, plaintext, conns := callRejectedPeer(t, site, config)
				var rejected *tlsdial.RejectedError
				if result.Outcome != policy.NotSent || !errors.As(result.Err, &rejected) ||
					rejected.Reason.Cause != test.cause {
					t.Errorf("Call.Do reported %+v, want outcome NotSent, cause %s", result, test.cause)
				}
				if plaintext != 0 || conns != 1 {
					t.Errorf("peer received %d bytes of plaintext on %d connections, want 0 on 1", plaintext, conns)
				}
				if rejection := <-site.Rejections; rejection.Wait <= 0 {
					t.Errorf("reported rejection %+v, want Wait > 0", rejection)
				}
			})
		}
	}
	t.Run("only TLS 1.0 and 1.1", func(t *testing.T) {
		site := upstreamtest.NewTLSSite(t, nil)
		config := site.ServerConfig()
		config.MinVersion, config.MaxVersion = tls.VersionTLS10, tls.VersionTLS11
		result, plaintext, _ := callRejectedPeer(t, site, config)
		var rejected *tlsdial.RejectedError
		if !errors.As(result.Err, &rejected) || rejected.Reason.Cause != tlspolicy.NoCommonParameters ||
			plaintext != 0 {
			t.Errorf("Call.Do reported %+v and %d bytes of plaintext, want cause %s and 0",
				result, plaintext, tlspolicy.NoCommonParameters)
		}
	})
	t.Run("plain TCP", func(t *testing.T) {
		site := upstreamtest.NewTLSSite(t, nil)
		var leaks atomic.Int64
		endpoint := openTLS(testPool(t), site, upstreamtest.ServeTCP(t, func(conn net.Conn) {
			buffer := make([]byte, 4096)
			n, _ := conn.Read(buffer) // an error means that less arrived
			if strings.Contains(string(buffer[:n]), secretKey) {
				leaks.Add(1)
			}
			respond(conn, upstreamtest.OKResponse)
		}))
		result := callOnce(t, endpoint, Request{ID: "m", IdempotencyKey: secretKey})
		endpoint.Close()
		var rejected *tlsdial.RejectedError
		if !errors.As(result.Err, &rejected) || rejected.Reason.Cause != tlspolicy.NoCommonParameters ||
			leaks.Load() != 0 {
			t.Errorf("Call.Do reported %+v, idempotency key leaked %d times, want cause %s and 0",
				result, leaks.Load(), tlspolicy.NoCommonParameters)
		}
	})
}

// Guards against sending a message to a peer that is slow to reject the relay's certificate.
// With TLS 1.3 the relay's side of the handshake is complete before the peer's alert
// arrives, and the whole message could already be sent.
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
		t.Errorf("Call.Do reported %+v, %d bytes of plaintext, %d connections, want outcome NotSent, cause %s, 0 and 1",
			result, plaintext, conns, tlspolicy.ClientCertificateRejected)
	}
	if n := site.Dialer.Counts(); n.Full != 0 || n.Rejected != 1 {
		t.Errorf("dialer counts = %+v, want 0 full handshakes and 1 rejected", n)
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

// Guards against using a connection whose certificate has expired while it was open. The call
// in flight must still be delivered, and no other call may start on the connection.
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
	go runCall(endpoint, Request{ID: "a"}, results)
	<-entered
	site.ClockSkew.Store(int64(2 * time.Hour)) // the certificate expired an hour ago
	close(release)
	if result := <-results; result.Outcome != policy.Delivered {
		t.Errorf("call in flight: got %+v, want outcome Delivered", result)
	}
	waitFor(t, "the connection to close", func() bool { open, _ := endpoint.pool.counts(); return open == 0 })
	result := callOnce(t, endpoint, Request{ID: "b"})
	var rejected *tlsdial.RejectedError
	if !errors.As(result.Err, &rejected) || rejected.Reason.Cause != tlspolicy.Expired ||
		result.Outcome != policy.NotSent || conns.Load() != 1 {
		t.Errorf("next call: got %+v, %d connections served, want outcome NotSent, cause %s and 1",
			result, conns.Load(), tlspolicy.Expired)
	}
	endpoint.Close()
}

// Guards against using connections and sessions after the operator has replaced the roots
// that verified them. When the operator restores the roots, the relay must verify the
// endpoint again by itself, without using a message for that.
func TestRootsReplaced(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, nil)
	endpoint := openTLS(testPool(t), site, upstreamtest.ServeTLS(t, site.ServerConfig(), upstreamtest.ServeOK))
	mustDeliver(t, endpoint)
	if _, idle := endpoint.pool.counts(); idle != 1 {
		t.Fatalf("idle connections = %d, want 1", idle)
	}
	other := upstreamtest.IssueCert(t, nil, "other", testca.AsAuthority)
	if _, _, err := other.WriteFiles(site.Dir, "roots", false); err != nil {
		t.Fatal(err)
	}
	site.Dialer.ReloadFiles()
	if result := callOnce(t, endpoint, Request{ID: "b"}); result.Outcome != policy.NotSent {
		t.Fatalf("call with roots that do not verify the peer: got %+v, want outcome NotSent", result)
	}
	if rejection := <-site.Rejections; rejection.Wait == 0 {
		t.Fatal("dialer reported the endpoint as accepted, want it rejected")
	}
	if _, _, err := site.Root.WriteFiles(site.Dir, "roots", false); err != nil {
		t.Fatal(err)
	}
	site.Dialer.ReloadFiles()
	for rejection := range site.Rejections {
		if rejection.Wait == 0 {
			break // verified again without a message
		}
	}
	if n := site.Dialer.Counts(); n.Full != 2 || n.Resumed != 0 {
		t.Errorf("dialer counts = %+v, want 2 full handshakes and 0 resumed", n)
	}
	waitReusable(endpoint)
	mustDeliver(t, endpoint)
	endpoint.Close()
}

// Guards the scheduled handshakes: when a rejected peer presents a valid certificate again,
// the relay must notice that without sending a call.
func TestPeerRecoversWithoutCall(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, nil)
	var recovered atomic.Bool
	wrong := upstreamtest.IssueCert(t, site.Root, "shop.example.org").TLSCertificate()
	right := site.PeerCert.TLSCertificate()
	config := &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		if recovered.Load() {
			return &right, nil
		}
		return &wrong, nil
	}}
	endpoint := openTLS(testPool(t), site, upstreamtest.ServeTLS(t, config, upstreamtest.ServeOK))
	if result := callOnce(t, endpoint, Request{ID: "a"}); result.Outcome != policy.NotSent {
		t.Fatalf("call to a peer with a wrong certificate: got %+v, want outcome NotSent", result)
	}
	recovered.Store(true)
	for rejection := range site.Rejections {
		if rejection.Wait == 0 {
			break
		}
	}
	mustDeliver(t, endpoint)
	endpoint.Close()
}

// Guards the replacement of the relay's own certificate while fifty handshakes are in flight.
// Certificate and key are replaced one after the other. No call may be lost, and the relay
// must present the old pair until both files match, and then the new one.
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
	presented := map[string]int{} // connections by the common name of the relay's certificate
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
		presented[conn.(*tls.Conn).ConnectionState().PeerCertificates[0].Subject.CommonName]++
		mu.Unlock()
		upstreamtest.ServeOK(conn)
	}))
	results := make(chan Result, 100)
	startCalls := func(n int) {
		for range n {
			go runCall(endpoint, Request{ID: "m"}, results)
		}
	}
	startCalls(50)
	for range 50 {
		<-arrived
	}
	replacement := upstreamtest.IssueCert(t, site.Root, "relay two")
	if err := testca.ReplaceFile(site.Rule.Certificate, replacement.CertPEM(), 0o644); err != nil {
		t.Fatal(err)
	}
	site.Dialer.ReloadFiles() // certificate and key do not match, so the old pair must stay in use
	open.Store(true)
	close(gate)
	for range 50 {
		if result := <-results; result.Outcome != policy.Delivered {
			t.Errorf("Call.Do reported %+v, want outcome Delivered", result)
		}
	}
	waitFor(t, "all handshakes to end", func() bool {
		endpoint.pool.mu.Lock()
		connecting := endpoint.connecting
		endpoint.pool.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		return connecting == 0 && int64(presented["relay one"]) == site.Dialer.Counts().Full
	})
	mu.Lock()
	if len(presented) != 1 {
		t.Errorf("presented certificates before the key is replaced = %v, want only \"relay one\"", presented)
	}
	clear(presented)
	mu.Unlock()
	key, err := replacement.KeyPEM()
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
			t.Errorf("Call.Do reported %+v, want outcome Delivered", result)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(presented) != 1 || presented["relay two"] == 0 {
		t.Errorf("presented certificates after the key is replaced = %v, want only \"relay two\"", presented)
	}
	endpoint.Close()
	waitFor(t, "all connections to close", func() bool { open, _ := endpoint.pool.counts(); return open == 0 })
}
