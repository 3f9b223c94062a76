package upstream

import (
	"bufio"
	"context"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"maps"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/crypto/chacha20poly1305"

	"troutusher/internal/operatorconfig"
	"troutusher/internal/testca"
	"troutusher/internal/tlsdial"
	"troutusher/internal/tlspolicy"
	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

// recordSealer writes records of TLS 1.3 that crypto/tls does not let a server write,
// under the server's own keys (RFC 8446 section 5.2 and 7.1).
type recordSealer struct {
	mu     sync.Mutex
	secret []byte
	seq    uint64
	iv     []byte
	aead   cipher.AEAD
	suite  uint16
}

// Write takes lines of the key log.
func (r *recordSealer) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fields := strings.Fields(string(line))
	if len(fields) != 3 || fields[0] != "SERVER_TRAFFIC_SECRET_0" {
		return len(line), nil
	}
	secret, err := hex.DecodeString(fields[2])
	r.secret = secret
	return len(line), err
}

// hkdfExpandLabel is HKDF-Expand-Label of RFC 8446 section 7.1.
func hkdfExpandLabel(secret []byte, label string, n int) []byte {
	info := binary.BigEndian.AppendUint16(nil, uint16(n))
	info = append(info, byte(len("tls13 ")+len(label)))
	info = append(append(info, "tls13 "+label...), 0)
	out, err := hkdf.Expand(sha256.New, secret, string(info), n)
	if err != nil {
		panic(err)
	}
	return out
}

// deriveKeys derives the keys of the secret in use.
func (r *recordSealer) deriveKeys(suite uint16) {
	r.suite = suite
	r.seq, r.iv = 0, hkdfExpandLabel(r.secret, "iv", 12)
	aead, err := newAEAD(suite, r.secret)
	if err != nil {
		panic(err)
	}
	r.aead = aead
}

func newAEAD(suite uint16, secret []byte) (cipher.AEAD, error) {
	if suite == tls.TLS_CHACHA20_POLY1305_SHA256 {
		return chacha20poly1305.New(hkdfExpandLabel(secret, "key", 32))
	}
	block, err := aes.NewCipher(hkdfExpandLabel(secret, "key", 16))
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}

// seal makes a record of a kind of content.
func (r *recordSealer) seal(kind byte, text []byte) []byte {
	nonce := append([]byte{}, r.iv...)
	for i := range 8 {
		nonce[11-i] ^= byte(r.seq >> (8 * i))
	}
	r.seq++
	n := len(text) + 1 + r.aead.Overhead()
	head := []byte{23, 3, 3, byte(n >> 8), byte(n)}
	return r.aead.Seal(head, nonce, append(append([]byte{}, text...), kind), head)
}

// keyUpdate makes a record that changes the server's keys (RFC 8446 section 4.6.3).
func (r *recordSealer) keyUpdate() []byte {
	record := r.seal(recordHandshake, []byte{24, 0, 0, 1, 0})
	r.secret = hkdfExpandLabel(r.secret, "traffic upd", 32)
	r.deriveKeys(r.suite)
	return record
}

// Kinds of content of a record (RFC 8446 section 5.1).
const (
	recordAlert     = 21
	recordHandshake = 22
	recordData      = 23
)

// sealedConn is a server's connection over TLS 1.3 whose records are made by hand
// once the handshake is over.
type sealedConn struct {
	conn   *tls.Conn // to read from
	raw    net.Conn  // to write records to
	sealer *recordSealer
}

// serveSealedTLS serves such connections.
func serveSealedTLS(t testing.TB, site *upstreamtest.TLSSite, serve func(sealed sealedConn)) string {
	t.Helper()
	return upstreamtest.ServeTCP(t, func(raw net.Conn) {
		sealer := &recordSealer{}
		config := site.ServerConfig()
		config.MinVersion, config.SessionTicketsDisabled, config.KeyLogWriter = tls.VersionTLS13, true, sealer
		conn := tls.Server(raw, config)
		if conn.Handshake() != nil {
			return
		}
		sealer.deriveKeys(conn.ConnectionState().CipherSuite)
		serve(sealedConn{conn: conn, raw: raw, sealer: sealer})
	})
}

// send writes a record of a kind of content.
func (c sealedConn) send(kind byte, text []byte) { send(c.raw, c.sealer.seal(kind, text)) }

// sendText writes a record with a part of a response.
func (c sealedConn) sendText(text string) { c.send(recordData, []byte(text)) }

// alerts are those of RFC 8446 section 6 and RFC 5246 section 7.2, and some that
// nobody has named.
var alerts = []uint8{
	0, 10, 20, 21, 22, 30, 40, 41, 42, 43, 44, 45, 46, 47, 48, 49, 50, 51, 60, 70, 71, 80, 86, 90, 100,
	109, 110, 111, 112, 113, 114, 115, 116, 120, 7, 200, 255,
}

const userCanceled = 90

// Guards the table of what ran: each alert in the handshake and before a call's
// last byte says that it never ran; behind the last byte it may have, whatever
// the alert is called. Those about our identity have the endpoint rejected.
func TestAlertOutcomes(t *testing.T) {
	for _, code := range alerts {
		_, identity := tlspolicy.CauseOfAlert(code)
		t.Run("", func(t *testing.T) {
			t.Parallel()
			site := upstreamtest.NewTLSSite(t, nil)
			var conns atomic.Int32
			inHandshake := upstreamtest.ServeTCP(t, func(conn net.Conn) {
				conns.Add(1)
				receive(conn) // the client's hello
				send(conn, []byte{recordAlert, 3, 3, 0, 2, 2, code})
				receive(conn)
			})
			result := callOnce(t, openTLS(testPool(t), site, inHandshake), Request{ID: "m"})
			if !result.Outcome.NeverRan() || (result.Outcome == policy.NotSent) != identity && code != 0 {
				t.Errorf("alert %d in the handshake: %+v", code, result)
			}
			if n := conns.Load(); n > 1 {
				t.Errorf("alert %d in the handshake: %d connections for one call", code, n)
			}
			for _, whole := range []bool{false, true} {
				site := upstreamtest.NewTLSSite(t, nil)
				conns.Store(0)
				addr := serveSealedTLS(t, site, func(sealed sealedConn) {
					conns.Add(1)
					if whole && !upstreamtest.ReadRequest(bufio.NewReader(sealed.conn)) {
						return
					}
					sealed.send(recordAlert, []byte{2, code})
					if code != userCanceled { // no end by itself (RFC 8446 section 6.1)
						waitClosed(sealed.raw)
					}
				})
				pool := testPool(t)
				if !whole {
					pool.staleCheckDelay = testTimeout // the alert ends it, however late it is
				}
				result := callOnce(t, openTLS(pool, site, addr), Request{ID: "m", Body: []byte("b")})
				if whole && result.Outcome != policy.ConnectionReset || !whole && !result.Outcome.NeverRan() {
					t.Errorf("alert %d, whole %v: %+v", code, whole, result)
				}
				if !whole && (result.Outcome == policy.NotSent) != identity {
					t.Errorf("alert %d: %+v", code, result)
				}
				if n := conns.Load(); (whole || identity) && n != 1 || n > 2*maxConnAttempts {
					t.Errorf("alert %d, whole %v: %d connections for one call", code, whole, n)
				}
				if out := site.Dialer.Counts().RejectedEndpoints; (out == 1) != identity {
					t.Errorf("alert %d, whole %v: %d endpoints out", code, whole, out)
				}
			}
		})
	}
}

// Guards what is believed where records are cut: a 200 whose first line came
// whole is true though the rest is cut off without a farewell, or comes a byte a
// record; and keys that are updated without end are no answer.
func TestTruncatedRecords(t *testing.T) {
	for name, test := range map[string]struct {
		respond func(sealed sealedConn)
		outcome policy.Outcome
	}{
		"a byte a record": {func(sealed sealedConn) {
			for i := range len(upstreamtest.OKResponse) {
				sealed.send(recordData, []byte{upstreamtest.OKResponse[i]})
			}
		}, policy.Delivered},
		"empty records between": {func(sealed sealedConn) {
			for i := range 10 {
				sealed.send(recordData, nil)
				sealed.send(recordData, []byte{upstreamtest.OKResponse[i]})
			}
			sealed.sendText(upstreamtest.OKResponse[10:])
		}, policy.Delivered},
		"the first line, then cut without a farewell": {func(sealed sealedConn) {
			sealed.sendText("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n")
		}, policy.Delivered},
		"half of the first line's record": {func(sealed sealedConn) {
			record := sealed.sealer.seal(recordData, []byte(upstreamtest.OKResponse))
			send(sealed.raw, record[:len(record)/2])
		}, policy.ConnectionReset},
		"a refusal without its end": {func(sealed sealedConn) {
			sealed.sendText("HTTP/1.1 503 F\r\nContent-Le")
		}, policy.Failed},
		"a record that was tampered with": {func(sealed sealedConn) {
			record := sealed.sealer.seal(recordData, []byte(upstreamtest.OKResponse))
			record[len(record)-1] ^= 1
			send(sealed.raw, record)
			waitClosed(sealed.raw)
		}, policy.ConnectionReset},
		"keys updated once, then the answer": {func(sealed sealedConn) {
			send(sealed.raw, sealed.sealer.keyUpdate())
			sealed.sendText(upstreamtest.OKResponse)
		}, policy.Delivered},
		"keys updated without end": {func(sealed sealedConn) {
			for range 1000 {
				if _, err := sealed.raw.Write(sealed.sealer.keyUpdate()); err != nil {
					return
				}
			}
			waitClosed(sealed.raw)
		}, policy.ConnectionReset},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site := upstreamtest.NewTLSSite(t, nil)
			addr := serveSealedTLS(t, site, func(sealed sealedConn) {
				if upstreamtest.ReadRequest(bufio.NewReader(sealed.conn)) {
					test.respond(sealed)
				}
			})
			result := callOnce(t, openTLS(testPool(t), site, addr), Request{ID: "m", Body: []byte("b")})
			if result.Outcome != test.outcome {
				t.Errorf("got %+v", result)
			}
		})
	}
}

// Guards a call against a connection on which part of a record lies: that may be
// its end, and the call would be written into it.
func TestPartialRecordWhileIdle(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, nil)
	var conns, calls atomic.Int32
	said := make(chan struct{}, 1)
	addr := serveSealedTLS(t, site, func(sealed sealedConn) {
		first := conns.Add(1) == 1
		for reader := bufio.NewReader(sealed.conn); upstreamtest.ReadRequest(reader); {
			calls.Add(1)
			sealed.sendText(upstreamtest.OKResponse)
			if first {
				send(sealed.raw, sealed.sealer.seal(recordAlert, []byte{1, 0})[:9])
				said <- struct{}{}
				waitClosed(sealed.raw)
				return
			}
		}
	})
	endpoint := openTLS(testPool(t), site, addr)
	mustDeliver(t, endpoint)
	<-said
	waitFor(t, "the half record", func() bool {
		endpoint.pool.mu.Lock()
		defer endpoint.pool.mu.Unlock()
		return len(endpoint.pool.idle) == 0 || !endpoint.pool.idle[0].reusable()
	})
	mustDeliver(t, endpoint)
	if conns.Load() != 2 || calls.Load() != 2 {
		t.Errorf("%d connections, %d calls, want 2 and 2", conns.Load(), calls.Load())
	}
}

// Guards a hand-over: a call over TLS is not put to rest, since its keys are here
// alone, and its answer is heard.
func TestTLSCallIsNotSuspended(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, nil)
	entered, release := make(chan struct{}), make(chan struct{})
	endpoint := openTLS(testPool(t), site, upstreamtest.ServeTLS(t, site.ServerConfig(), func(conn net.Conn) {
		if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
			close(entered)
			<-release
			respond(conn, upstreamtest.OKResponse)
		}
	}))
	call := newTestCall()
	results := make(chan Result, 1)
	go call.Do(endpoint, Request{ID: "m", Timeout: testTimeout}, func(result Result) { results <- result })
	<-entered
	waitFor(t, "the call to be out", func() bool {
		call.mu.Lock()
		defer call.mu.Unlock()
		return call.conn != nil
	})
	call.suspend()
	if call.suspendedConn() != nil {
		t.Error("it rests")
	}
	close(release)
	select {
	case result := <-results:
		if result.Outcome != policy.Delivered {
			t.Errorf("got %+v", result)
		}
	case <-time.After(testTimeout):
		t.Error("its answer is not heard")
	}
	call.resume(false)
	waitFor(t, "rest", func() bool { open, idle := endpoint.pool.counts(); return open == idle })
}

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
					t.Errorf("the decision module is told %v", rejection)
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

// Guards a message against a partner that takes a while to refuse our certificate:
// with TLS 1.3 the handshake is over here by then, and the message would be whole
// on its way.
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
		t.Errorf("%+v: it passed for proved", n)
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

// mustDeliver makes a call that is delivered, and waits until its connection may be used
// again.
func mustDeliver(t *testing.T, endpoint *Endpoint) {
	t.Helper()
	if result := callOnce(t, endpoint, Request{ID: "m", Body: []byte("b")}); result.Outcome != policy.Delivered {
		t.Fatalf("got %+v", result)
	}
	waitReusable(endpoint)
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
		t.Fatalf("under roots that do not know the partner: %+v", result)
	}
	if rejection := <-site.Rejections; rejection.Wait == 0 {
		t.Fatal("not barred")
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

// Guards the schedule: a partner that mends its certificate is found out without
// a message.
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

// Guards sessions: the second connection is resumed with both versions, a
// session is shown once under TLS 1.3, and never for another rule.
func TestSessionResumption(t *testing.T) {
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		t.Run(tls.VersionName(version), func(t *testing.T) {
			site := upstreamtest.NewTLSSite(t, nil)
			var conns, resumed atomic.Int32
			config := site.ServerConfig()
			config.MinVersion, config.MaxVersion = version, version
			addr := upstreamtest.ServeTLS(t, config, func(conn net.Conn) {
				conns.Add(1)
				if conn.(*tls.Conn).ConnectionState().DidResume {
					resumed.Add(1)
				}
				upstreamtest.ServeOK(conn)
			})
			endpoint := openTLS(testPool(t), site, addr)
			for range 4 {
				mustDeliver(t, endpoint)
				endpoint.CloseIdle()
			}
			if n := site.Dialer.Counts(); n.Full != 1 || n.Resumed != 3 || conns.Load() != 4 || resumed.Load() != 3 {
				t.Errorf("%+v; the partner saw %d, of them %d resumed", n, conns.Load(), resumed.Load())
			}
			// What a proof would not be accepted for any more, a session is not either.
			site.ClockSkew.Store(int64(3 * time.Hour))
			if result := callOnce(t, endpoint, Request{ID: "m"}); result.Outcome != policy.NotSent {
				t.Errorf("after the certificate's end a session serves: %+v", result)
			}
			endpoint.Close()
		})
	}
}

// Guards a cold partner: thirty calls at once make one handshake at a time, and
// take their turns on what there is.
func TestWarmingUpConnectsOneAtATime(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, nil)
	var under, most atomic.Int32
	config := &tls.Config{
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			if n := under.Add(1); n > most.Load() {
				most.Store(n)
			}
			time.Sleep(2 * time.Millisecond) // a handshake is slow there
			own := site.PeerCert.TLSCertificate()
			return &own, nil
		},
		VerifyConnection: func(tls.ConnectionState) error {
			under.Add(-1)
			return nil
		},
	}
	endpoint := openTLS(testPool(t), site, upstreamtest.ServeTLS(t, config, upstreamtest.ServeOK))
	results := make(chan Result, 30)
	for range 30 {
		go func() {
			call := NewCall(context.Background(), CallOptions{WarmingUp: true, MayConnect: true})
			call.Do(endpoint, Request{ID: "m", Timeout: testTimeout}, func(result Result) { results <- result })
		}()
	}
	for range 30 {
		if result := <-results; result.Outcome != policy.Delivered {
			t.Errorf("got %+v", result)
		}
	}
	if n := most.Load(); n != 1 {
		t.Errorf("%d handshakes at once", n)
	}
	if n := site.Dialer.Counts().Full; n > 20 {
		t.Errorf("%d handshakes for 30 calls that could share", n)
	}
	waitFor(t, "rest", func() bool { open, idle := endpoint.pool.counts(); return open == idle })
}

// Guards the one budget for calls and connections: at a cold endpoint a call for
// which none was paid opens none, and goes out on one that is free; where a
// handshake weighs nothing it opens its own.
func TestConnectNotAllowed(t *testing.T) {
	for _, weight := range []float64{0, 1} {
		site := upstreamtest.NewTLSSite(t, func(site *upstreamtest.TLSSite, _ *operatorconfig.Handshakes) {
			site.Rule.HandshakeWeight = &weight
		})
		endpoint := openTLS(testPool(t), site, upstreamtest.ServeTLS(t, site.ServerConfig(), upstreamtest.ServeOK))
		call := func(mayConnect bool) Result {
			c := NewCall(context.Background(), CallOptions{WarmingUp: true, MayConnect: mayConnect})
			return complete(t, c, endpoint, Request{ID: "m"})
		}
		result := call(false)
		if weight == 0 && (result.Outcome != policy.Delivered || result.ConnectionsOpened != 1) {
			t.Errorf("not paid, where nothing is charged: %+v", result)
		}
		if weight > 0 &&
			(result.Outcome != policy.NotSent || result.ConnectionsOpened != 0 || site.Dialer.Counts().Full != 0) {
			t.Errorf("weight %v, not paid: %+v", weight, result)
		}
		if result := call(true); result.Outcome != policy.Delivered || result.ConnectionsOpened != 1 && weight > 0 {
			t.Errorf("weight %v, paid: %+v", weight, result)
		}
		waitReusable(endpoint)
		if result := call(false); result.Outcome != policy.Delivered || result.ConnectionsOpened != 0 {
			t.Errorf("weight %v, one is free: %+v", weight, result)
		}
	}
}

// Guards our own core, and a message that cannot make it: where the budget
// allows no handshake before the call's end, the call never ran, at once, with
// the time to come back.
func TestHandshakeBudgetExhausted(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, func(_ *upstreamtest.TLSSite, handshakes *operatorconfig.Handshakes) {
		handshakes.CPUShare, handshakes.BurstMS = 1e-6, 1
	})
	endpoint := openTLS(testPool(t), site, upstreamtest.ServeTLS(t, site.ServerConfig(), upstreamtest.ServeOK))
	mustDeliver(t, endpoint) // which takes all of the budget
	endpoint.CloseIdle()
	result := callOnce(t, endpoint, Request{ID: "m", Timeout: time.Second})
	var budget handshakeBudgetError
	if result.Outcome != policy.NotSent || !errors.As(result.Err, &budget) || result.RetryAfter < 1e6 ||
		result.Elapsed > 500e3 {
		t.Errorf("got %+v", result)
	}
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
	waitFor(t, "rest", func() bool { open, _ := endpoint.pool.counts(); return open == 0 })
}

// Guards what never ran: a reset at each write before the last byte, and the
// write that carries it.
func TestBrokenAtEachTLSWrite(t *testing.T) {
	for at := 1; ; at++ {
		site := upstreamtest.NewTLSSite(t, nil)
		var calls atomic.Int32
		pool := testPool(t)
		endpoint := openTLS(pool, site, upstreamtest.ServeTLS(t, site.ServerConfig(), func(conn net.Conn) {
			if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
				calls.Add(1)
				respond(conn, upstreamtest.OKResponse)
			}
		}))
		dial := endpoint.dial
		broke := false
		endpoint.dial = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dial(ctx, addr)
			if err != nil || broke {
				return conn, err
			}
			broke = true
			return &closeAtWriteConn{TCPConn: conn.(*net.TCPConn), at: at}, nil
		}
		result := callOnce(t, endpoint, Request{ID: "m", Body: []byte("b")})
		want := int32(0)
		if result.Outcome == policy.Delivered {
			want = 1
		}
		if calls.Load() != want || want == 0 && !result.Outcome.NeverRan() {
			t.Fatalf("broken at write %d: %+v, and %d calls", at, result, calls.Load())
		}
		endpoint.Close()
		if at > 8 {
			return
		}
	}
}

type closeAtWriteConn struct {
	*net.TCPConn
	at, writes int
}

func (c *closeAtWriteConn) Write(b []byte) (int, error) {
	if c.writes++; c.writes == c.at {
		return 0, errors.Join(os.ErrClosed, c.Close())
	}
	return c.TCPConn.Write(b)
}
