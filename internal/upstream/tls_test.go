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
	"io"
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
func (s *recordSealer) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := strings.Fields(string(line))
	if len(f) == 3 && f[0] == "SERVER_TRAFFIC_SECRET_0" {
		s.secret, _ = hex.DecodeString(f[2])
	}
	return len(line), nil
}

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

// keys derives the keys of the secret in use.
func (s *recordSealer) deriveKeys(suite uint16) {
	s.suite = suite
	s.seq, s.iv = 0, hkdfExpandLabel(s.secret, "iv", 12)
	if suite == tls.TLS_CHACHA20_POLY1305_SHA256 {
		s.aead, _ = chacha20poly1305.New(hkdfExpandLabel(s.secret, "key", 32))
		return
	}
	block, _ := aes.NewCipher(hkdfExpandLabel(s.secret, "key", 16))
	s.aead, _ = cipher.NewGCM(block)
}

// seal makes a record of a kind of content.
func (s *recordSealer) seal(kind byte, text []byte) []byte {
	nonce := append([]byte{}, s.iv...)
	for i := range 8 {
		nonce[11-i] ^= byte(s.seq >> (8 * i))
	}
	s.seq++
	n := len(text) + 1 + s.aead.Overhead()
	head := []byte{23, 3, 3, byte(n >> 8), byte(n)}
	return s.aead.Seal(head, nonce, append(append([]byte{}, text...), kind), head)
}

const (
	recordAlert     = 21
	recordHandshake = 22
	recordData      = 23
)

// sealedEndpoint serves connections over TLS 1.3 whose records are made by hand
// once the handshake is over.
func serveSealedTLS(t testing.TB, s *upstreamtest.TLSSite, serve func(c *tls.Conn, raw net.Conn, seal *recordSealer)) string {
	return upstreamtest.ServeTCP(t, func(raw net.Conn) {
		k := &recordSealer{}
		c := tls.Server(raw, &tls.Config{Certificates: []tls.Certificate{s.PeerCert.TLSCertificate()}, MinVersion: tls.VersionTLS13, SessionTicketsDisabled: true, KeyLogWriter: k})
		if c.Handshake() != nil {
			return
		}
		k.deriveKeys(c.ConnectionState().CipherSuite)
		serve(c, raw, k)
	})
}

// alerts are those of RFC 8446 section 6 and RFC 5246 section 7.2, and some that
// nobody has named.
var alerts = []uint8{0, 10, 20, 21, 22, 30, 40, 41, 42, 43, 44, 45, 46, 47, 48, 49, 50, 51, 60, 70, 71, 80, 86, 90, 100, 109, 110, 111, 112, 113, 114, 115, 116, 120, 7, 200, 255}

const userCanceled = 90

// Guards the table of what ran: each alert in the handshake and before a call's
// last byte says that it never ran; behind the last byte it may have, whatever
// the alert is called. Those about who we are put the endpoint out.
func TestAlertOutcomes(t *testing.T) {
	for _, code := range alerts {
		_, identity := tlspolicy.CauseOfAlert(code)
		t.Run("", func(t *testing.T) {
			t.Parallel()
			s := upstreamtest.NewTLSSite(t, nil)
			var conns atomic.Int32
			inHandshake := upstreamtest.ServeTCP(t, func(c net.Conn) {
				conns.Add(1)
				c.Read(make([]byte, 4096)) // the client's hello
				c.Write([]byte{recordAlert, 3, 3, 0, 2, 2, code})
				c.Read(make([]byte, 4096))
			})
			o := complete(t, newTestCall(), openTLS(testPool(t), s, inHandshake), Request{ID: "m", Timeout: testTimeout})
			if !o.Outcome.NeverRan() || (o.Outcome == policy.NotSent) != identity && code != 0 {
				t.Errorf("alert %d in the handshake: %+v", code, o)
			}
			if n := conns.Load(); n > 1 {
				t.Errorf("alert %d in the handshake: %d connections for one call", code, n)
			}
			for _, whole := range []bool{false, true} {
				s := upstreamtest.NewTLSSite(t, nil)
				conns.Store(0)
				addr := serveSealedTLS(t, s, func(c *tls.Conn, raw net.Conn, seal *recordSealer) {
					conns.Add(1)
					if whole && !upstreamtest.ReadRequest(bufio.NewReader(c)) {
						return
					}
					raw.Write(seal.seal(recordAlert, []byte{2, code}))
					if code != userCanceled { // no end by itself (RFC 8446 section 6.1)
						io.Copy(io.Discard, raw)
					}
				})
				p := testPool(t)
				if !whole {
					p.staleCheckDelay = testTimeout // the alert ends it, however late it is
				}
				o := complete(t, newTestCall(), openTLS(p, s, addr), Request{ID: "m", Body: []byte("b"), Timeout: testTimeout})
				if whole && o.Outcome != policy.ConnectionReset || !whole && !o.Outcome.NeverRan() {
					t.Errorf("alert %d, whole %v: %+v", code, whole, o)
				}
				if !whole && (o.Outcome == policy.NotSent) != identity {
					t.Errorf("alert %d: %+v", code, o)
				}
				if n := conns.Load(); (whole || identity) && n != 1 || n > 2*maxConnAttempts {
					t.Errorf("alert %d, whole %v: %d connections for one call", code, whole, n)
				}
				if out := s.Dialer.Counts().RejectedEndpoints; (out == 1) != identity {
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
	for name, x := range map[string]struct {
		say     func(raw net.Conn, seal *recordSealer)
		outcome policy.Outcome
	}{
		"a byte a record": {func(raw net.Conn, seal *recordSealer) {
			for i := range len(upstreamtest.OKResponse) {
				raw.Write(seal.seal(recordData, []byte{upstreamtest.OKResponse[i]}))
			}
		}, policy.Delivered},
		"empty records between": {func(raw net.Conn, seal *recordSealer) {
			for i := range 10 {
				raw.Write(seal.seal(recordData, nil))
				raw.Write(seal.seal(recordData, []byte{upstreamtest.OKResponse[i]}))
			}
			raw.Write(seal.seal(recordData, []byte(upstreamtest.OKResponse[10:])))
		}, policy.Delivered},
		"the first line, then cut without a farewell": {func(raw net.Conn, seal *recordSealer) {
			raw.Write(seal.seal(recordData, []byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n")))
		}, policy.Delivered},
		"half of the first line's record": {func(raw net.Conn, seal *recordSealer) {
			r := seal.seal(recordData, []byte(upstreamtest.OKResponse))
			raw.Write(r[:len(r)/2])
		}, policy.ConnectionReset},
		"a refusal without its end": {func(raw net.Conn, seal *recordSealer) {
			raw.Write(seal.seal(recordData, []byte("HTTP/1.1 503 F\r\nContent-Le")))
		}, policy.Failed},
		"a record that was tampered with": {func(raw net.Conn, seal *recordSealer) {
			r := seal.seal(recordData, []byte(upstreamtest.OKResponse))
			r[len(r)-1] ^= 1
			raw.Write(r)
			io.Copy(io.Discard, raw)
		}, policy.ConnectionReset},
		"keys updated once, then the answer": {func(raw net.Conn, seal *recordSealer) {
			raw.Write(seal.keyUpdate())
			raw.Write(seal.seal(recordData, []byte(upstreamtest.OKResponse)))
		}, policy.Delivered},
		"keys updated without end": {func(raw net.Conn, seal *recordSealer) {
			for range 1000 {
				if _, err := raw.Write(seal.keyUpdate()); err != nil {
					return
				}
			}
			io.Copy(io.Discard, raw)
		}, policy.ConnectionReset},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := upstreamtest.NewTLSSite(t, nil)
			addr := serveSealedTLS(t, s, func(c *tls.Conn, raw net.Conn, seal *recordSealer) {
				if upstreamtest.ReadRequest(bufio.NewReader(c)) {
					x.say(raw, seal)
				}
			})
			o := complete(t, newTestCall(), openTLS(testPool(t), s, addr), Request{ID: "m", Body: []byte("b"), Timeout: testTimeout})
			if o.Outcome != x.outcome {
				t.Errorf("got %+v", o)
			}
		})
	}
}

// Guards a call against a connection on which part of a record lies: that may be
// its end, and the call would be written into it.
func TestPartialRecordWhileIdle(t *testing.T) {
	s := upstreamtest.NewTLSSite(t, nil)
	var conns, calls atomic.Int32
	said := make(chan struct{}, 1)
	addr := serveSealedTLS(t, s, func(c *tls.Conn, raw net.Conn, seal *recordSealer) {
		first := conns.Add(1) == 1
		for in := bufio.NewReader(c); upstreamtest.ReadRequest(in); {
			calls.Add(1)
			raw.Write(seal.seal(recordData, []byte(upstreamtest.OKResponse)))
			if first {
				raw.Write(seal.seal(recordAlert, []byte{1, 0})[:9])
				said <- struct{}{}
				io.Copy(io.Discard, raw)
				return
			}
		}
	})
	h := openTLS(testPool(t), s, addr)
	mustDeliver(t, h)
	<-said
	waitFor(t, "the half record", func() bool {
		h.pool.mu.Lock()
		defer h.pool.mu.Unlock()
		return len(h.pool.idle) == 0 || !h.pool.idle[0].reusable()
	})
	mustDeliver(t, h)
	if conns.Load() != 2 || calls.Load() != 2 {
		t.Errorf("%d connections, %d calls, want 2 and 2", conns.Load(), calls.Load())
	}
}

// Guards a hand-over: a call over TLS is not put to rest, since its keys are here
// alone, and its answer is heard.
func TestTLSCallIsNotSuspended(t *testing.T) {
	s := upstreamtest.NewTLSSite(t, nil)
	entered, release := make(chan struct{}), make(chan struct{})
	h := openTLS(testPool(t), s, upstreamtest.ServeTLS(t, s.ServerConfig(), func(c net.Conn) {
		if upstreamtest.ReadRequest(bufio.NewReader(c)) {
			close(entered)
			<-release
			io.WriteString(c, upstreamtest.OKResponse)
		}
	}))
	c := newTestCall()
	over := make(chan Result, 1)
	go c.Do(h, Request{ID: "m", Timeout: testTimeout}, func(o Result) { over <- o })
	<-entered
	waitFor(t, "the call to be out", func() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.conn != nil })
	c.suspend()
	if c.suspendedConn() != nil {
		t.Error("it rests")
	}
	close(release)
	select {
	case o := <-over:
		if o.Outcome != policy.Delivered {
			t.Errorf("got %+v", o)
		}
	case <-time.After(testTimeout):
		t.Error("its answer is not heard")
	}
	c.resume(false)
	waitFor(t, "rest", func() bool { open, idle := h.pool.counts(); return open == idle })
}

// update is a change of the server's keys (RFC 8446 section 4.6.3).
func (s *recordSealer) keyUpdate() []byte {
	r := s.seal(recordHandshake, []byte{24, 0, 0, 1, 0})
	s.secret = hkdfExpandLabel(s.secret, "traffic upd", 32)
	s.deriveKeys(s.suite)
	return r
}

// refusedBy runs calls against a partner that shows what it should not, and
// tells how many bytes of plaintext the partner got.
func callRejectedPeer(t *testing.T, s *upstreamtest.TLSSite, cfg *tls.Config) (o Result, plaintext int64, conns int32) {
	var got atomic.Int64
	var n atomic.Int32
	addr := upstreamtest.ServeTCP(t, func(raw net.Conn) {
		n.Add(1)
		c := tls.Server(raw, cfg)
		if c.Handshake() != nil {
			return
		}
		b := make([]byte, 100)
		for {
			k, err := c.Read(b)
			if got.Add(int64(k)); err != nil {
				return
			}
		}
	})
	h := openTLS(testPool(t), s, addr)
	for range 5 {
		o = complete(t, newTestCall(), h, Request{ID: "m", IdempotencyKey: "secret-key", Body: []byte("body"), Timeout: testTimeout})
	}
	h.Close()
	return o, got.Load(), n.Load()
}

// Guards messages against partners whose proof is not accepted, over both
// versions: nothing is sent, the message never ran, the endpoint is out for its
// own cause, and five messages make one handshake.
func TestRejectedPeersGetNothing(t *testing.T) {
	now := time.Now()
	type c = x509.Certificate
	other := upstreamtest.IssueCert(t, nil, "other", testca.AsAuthority)
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		for name, x := range map[string]struct {
			change func(s *upstreamtest.TLSSite) // of the site, before its rule is read
			show   func(s *upstreamtest.TLSSite) *testca.Issued
			cause  tlspolicy.FailureCause
		}{
			"another name": {show: func(s *upstreamtest.TLSSite) *testca.Issued {
				return upstreamtest.IssueCert(t, s.Root, "shop.example.org")
			}, cause: tlspolicy.NameMismatch},
			"no name": {show: func(s *upstreamtest.TLSSite) *testca.Issued {
				return upstreamtest.IssueCert(t, s.Root, "x", testca.WithNames())
			}, cause: tlspolicy.NameMismatch},
			"its address": {show: func(s *upstreamtest.TLSSite) *testca.Issued {
				return upstreamtest.IssueCert(t, s.Root, "x", testca.WithNames("127.0.0.1"))
			}, cause: tlspolicy.NameMismatch},
			"a wildcard too wide": {show: func(s *upstreamtest.TLSSite) *testca.Issued { return upstreamtest.IssueCert(t, s.Root, "*.org") }, cause: tlspolicy.NameMismatch},
			"another root": {show: func(*upstreamtest.TLSSite) *testca.Issued {
				return upstreamtest.IssueCert(t, other, upstreamtest.PeerName)
			}, cause: tlspolicy.UntrustedRoot},
			"signed by itself": {show: func(*upstreamtest.TLSSite) *testca.Issued {
				return upstreamtest.IssueCert(t, nil, upstreamtest.PeerName)
			}, cause: tlspolicy.UntrustedRoot},
			"another root of the same name": {show: func(*upstreamtest.TLSSite) *testca.Issued {
				return upstreamtest.IssueCert(t, upstreamtest.IssueCert(t, nil, "root", testca.AsAuthority), upstreamtest.PeerName)
			}, cause: tlspolicy.UntrustedRoot},
			"expired": {show: func(s *upstreamtest.TLSSite) *testca.Issued {
				return upstreamtest.IssueCert(t, s.Root, upstreamtest.PeerName, testca.WithValidity(now.Add(-2*time.Hour), now.Add(-time.Minute)))
			}, cause: tlspolicy.Expired},
			"not yet valid": {show: func(s *upstreamtest.TLSSite) *testca.Issued {
				return upstreamtest.IssueCert(t, s.Root, upstreamtest.PeerName, testca.WithValidity(now.Add(time.Minute), now.Add(time.Hour)))
			}, cause: tlspolicy.NotYetValid},
			"expired above": {show: func(s *upstreamtest.TLSSite) *testca.Issued {
				return upstreamtest.IssueCert(t, upstreamtest.IssueCert(t, s.Root, "mid", testca.AsAuthority, testca.WithValidity(now.Add(-2*time.Hour), now.Add(-time.Minute))), upstreamtest.PeerName)
			}, cause: tlspolicy.Expired},
			"no authority above": {show: func(s *upstreamtest.TLSSite) *testca.Issued {
				return upstreamtest.IssueCert(t, upstreamtest.IssueCert(t, s.Root, "mid", testca.AsAuthority, func(x *c) { x.IsCA = false }), upstreamtest.PeerName)
			}, cause: tlspolicy.UntrustedRoot},
			"for clients": {show: func(s *upstreamtest.TLSSite) *testca.Issued {
				return upstreamtest.IssueCert(t, s.Root, upstreamtest.PeerName, func(x *c) { x.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth} })
			}, cause: tlspolicy.InvalidChain},
			"deeper than its authority may go": {show: func(s *upstreamtest.TLSSite) *testca.Issued {
				short := upstreamtest.IssueCert(t, s.Root, "short", testca.AsAuthority, func(x *c) { x.MaxPathLen, x.MaxPathLenZero = 0, true })
				return upstreamtest.IssueCert(t, upstreamtest.IssueCert(t, short, "deep", testca.AsAuthority), upstreamtest.PeerName)
			}, cause: tlspolicy.InvalidChain},
			"outside what its authority may name": {show: func(s *upstreamtest.TLSSite) *testca.Issued {
				return upstreamtest.IssueCert(t, upstreamtest.IssueCert(t, s.Root, "narrow", testca.AsAuthority, func(x *c) {
					x.PermittedDNSDomains, x.PermittedDNSDomainsCritical = []string{"shop.example.org"}, true
				}), upstreamtest.PeerName)
			}, cause: tlspolicy.InvalidChain},
			"not pinned": {change: func(s *upstreamtest.TLSSite) {
				s.Rule.Pins = []string{tlspolicy.PinOf(other.Certificate).String(), tlspolicy.Pin{1}.String()}
			}, cause: tlspolicy.PinMismatch},
			"revoked": {change: func(s *upstreamtest.TLSSite) { revoke(t, s, s.PeerCert) }, cause: tlspolicy.CertificateRevoked},
			"revocation unknown, and hard": {change: func(s *upstreamtest.TLSSite) { s.Rule.UnknownRevocation = "refuse" },
				cause: tlspolicy.RevocationUnresolved},
			"must staple and does not": {show: func(s *upstreamtest.TLSSite) *testca.Issued {
				return upstreamtest.IssueCert(t, s.Root, upstreamtest.PeerName, testca.WithMustStaple)
			}, cause: tlspolicy.RevocationUnresolved},
			"wants a certificate that we lack": {cause: tlspolicy.ClientCertificateRejected},
		} {
			t.Run(name+" "+tls.VersionName(version), func(t *testing.T) {
				t.Parallel()
				s := upstreamtest.NewTLSSite(t, func(s *upstreamtest.TLSSite, _ *operatorconfig.Handshakes) {
					if x.change != nil {
						x.change(s)
					}
				})
				shown := s.PeerCert
				if x.show != nil {
					shown = x.show(s)
				}
				cfg := &tls.Config{Certificates: []tls.Certificate{shown.TLSCertificate()}, MinVersion: version, MaxVersion: version}
				if x.cause == tlspolicy.ClientCertificateRejected {
					cfg.ClientAuth, cfg.ClientCAs = tls.RequireAndVerifyClientCert, s.Root.RootPool()
				}
				o, plaintext, conns := callRejectedPeer(t, s, cfg)
				var out *tlsdial.RejectedError
				if o.Outcome != policy.NotSent || !errors.As(o.Err, &out) || out.Reason.Cause != x.cause {
					t.Errorf("got %+v, want %s", o, x.cause)
				}
				if plaintext != 0 || conns != 1 {
					t.Errorf("%d bytes of plaintext at the partner in %d connections, want none in one", plaintext, conns)
				}
				if b := <-s.Rejections; b.Wait <= 0 {
					t.Errorf("the decision module is told %v", b)
				}
			})
		}
	}
	t.Run("only an old version", func(t *testing.T) {
		s := upstreamtest.NewTLSSite(t, nil)
		o, plaintext, _ := callRejectedPeer(t, s, &tls.Config{Certificates: []tls.Certificate{s.PeerCert.TLSCertificate()}, MaxVersion: tls.VersionTLS11, MinVersion: tls.VersionTLS10})
		var out *tlsdial.RejectedError
		if !errors.As(o.Err, &out) || out.Reason.Cause != tlspolicy.NoCommonParameters || plaintext != 0 {
			t.Errorf("got %+v, %d bytes", o, plaintext)
		}
	})
	t.Run("no TLS at all", func(t *testing.T) {
		s := upstreamtest.NewTLSSite(t, nil)
		var got atomic.Int64
		h := openTLS(testPool(t), s, upstreamtest.ServeTCP(t, func(c net.Conn) {
			b := make([]byte, 4096)
			n, _ := c.Read(b)
			if strings.Contains(string(b[:n]), "secret-key") {
				got.Add(1)
			}
			io.WriteString(c, upstreamtest.OKResponse)
		}))
		o := complete(t, newTestCall(), h, Request{ID: "m", IdempotencyKey: "secret-key", Timeout: testTimeout})
		h.Close()
		var out *tlsdial.RejectedError
		if !errors.As(o.Err, &out) || out.Reason.Cause != tlspolicy.NoCommonParameters || got.Load() != 0 {
			t.Errorf("got %+v", o)
		}
	})
}

// Guards a message against a partner that takes a while to refuse our certificate:
// with TLS 1.3 the handshake is over here by then, and the message would be whole
// on its way.
func TestOwnCertificateRejectedLate(t *testing.T) {
	s := upstreamtest.NewTLSSite(t, func(s *upstreamtest.TLSSite, _ *operatorconfig.Handshakes) {
		cert, key, err := upstreamtest.IssueCert(t, s.Root, "relay").WriteFiles(s.Dir, "own", true)
		if err != nil {
			t.Fatal(err)
		}
		s.Rule.Certificate, s.Rule.Key = cert, key
	})
	o, plaintext, conns := callRejectedPeer(t, s, &tls.Config{Certificates: []tls.Certificate{s.PeerCert.TLSCertificate()}, MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert, VerifyPeerCertificate: func([][]byte, [][]*x509.Certificate) error {
			time.Sleep(5 * defaultStaleCheckDelay) // longer than the moment before a call's last byte
			return errors.New("not registered here")
		}})
	var out *tlsdial.RejectedError
	if o.Outcome != policy.NotSent || !errors.As(o.Err, &out) || out.Reason.Cause != tlspolicy.ClientCertificateRejected || plaintext != 0 || conns != 1 {
		t.Errorf("got %+v, %d bytes, %d connections", o, plaintext, conns)
	}
	if n := s.Dialer.Counts(); n.Full != 0 || n.Rejected != 1 {
		t.Errorf("%+v: it passed for proved", n)
	}
}

// revoke puts a certificate on the site's revocation list.
func revoke(t testing.TB, s *upstreamtest.TLSSite, m *testca.Issued) {
	t.Helper()
	text, err := testca.RevocationListPEM(s.Root, time.Now().Add(time.Hour), m)
	if err != nil {
		t.Fatal(err)
	}
	s.Rule.Revocations = filepath.Join(s.Dir, "crl.pem")
	if err := testca.ReplaceFile(s.Rule.Revocations, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

func mustDeliver(t *testing.T, h *Endpoint) {
	t.Helper()
	if o := complete(t, newTestCall(), h, Request{ID: "m", Body: []byte("b"), Timeout: testTimeout}); o.Outcome != policy.Delivered {
		t.Fatalf("got %+v", o)
	}
	waitReusable(h)
}

// Guards a certificate that ends while its connection is open: the call that is
// out on it ends well, and no other begins there.
func TestCertificateExpiresOnOpenConnection(t *testing.T) {
	s := upstreamtest.NewTLSSite(t, nil)
	var conns atomic.Int32
	entered, release := make(chan struct{}), make(chan struct{})
	addr := upstreamtest.ServeTLS(t, s.ServerConfig(), func(c net.Conn) {
		conns.Add(1)
		for in := bufio.NewReader(c); upstreamtest.ReadRequest(in); {
			entered <- struct{}{}
			<-release
			io.WriteString(c, upstreamtest.OKResponse)
		}
	})
	h := openTLS(testPool(t), s, addr)
	over := make(chan Result, 1)
	go func() { newTestCall().Do(h, Request{ID: "a", Timeout: testTimeout}, func(o Result) { over <- o }) }()
	<-entered
	s.ClockSkew.Store(int64(2 * time.Hour)) // its certificate ended an hour ago
	close(release)
	if o := <-over; o.Outcome != policy.Delivered {
		t.Errorf("the call that was out: %+v", o)
	}
	waitFor(t, "the connection's end", func() bool { open, _ := h.pool.counts(); return open == 0 })
	o := complete(t, newTestCall(), h, Request{ID: "b", Timeout: testTimeout})
	var out *tlsdial.RejectedError
	if !errors.As(o.Err, &out) || out.Reason.Cause != tlspolicy.Expired || o.Outcome != policy.NotSent || conns.Load() != 1 {
		t.Errorf("the next one: %+v, %d connections served", o, conns.Load())
	}
	h.Close()
}

// Guards trust that changes: connections and sessions that were made under the
// old roots carry no new call, and the endpoint is asked again by itself once
// the operator has mended the file; no message is spent on that.
func TestRootsReplaced(t *testing.T) {
	s := upstreamtest.NewTLSSite(t, nil)
	h := openTLS(testPool(t), s, upstreamtest.ServeTLS(t, s.ServerConfig(), upstreamtest.ServeOK))
	mustDeliver(t, h)
	if _, idle := h.pool.counts(); idle != 1 {
		t.Fatalf("%d idle", idle)
	}
	other := upstreamtest.IssueCert(t, nil, "other", testca.AsAuthority)
	if _, _, err := other.WriteFiles(s.Dir, "roots", false); err != nil {
		t.Fatal(err)
	}
	s.Dialer.ReloadFiles()
	if o := complete(t, newTestCall(), h, Request{ID: "b", Timeout: testTimeout}); o.Outcome != policy.NotSent {
		t.Fatalf("under roots that do not know the partner: %+v", o)
	}
	if b := <-s.Rejections; b.Wait == 0 {
		t.Fatal("not barred")
	}
	if _, _, err := s.Root.WriteFiles(s.Dir, "roots", false); err != nil {
		t.Fatal(err)
	}
	s.Dialer.ReloadFiles()
	for b := range s.Rejections {
		if b.Wait == 0 {
			break // proved again, and no message was sent for it
		}
	}
	if n := s.Dialer.Counts(); n.Full != 2 || n.Resumed != 0 {
		t.Errorf("%+v: a session outlived the trust that it was made under", n)
	}
	waitReusable(h)
	mustDeliver(t, h)
	h.Close()
}

// Guards the schedule: a partner that mends its certificate is found out without
// a message.
func TestPeerRecoversWithoutCall(t *testing.T) {
	s := upstreamtest.NewTLSSite(t, nil)
	var good atomic.Bool
	wrong := upstreamtest.IssueCert(t, s.Root, "shop.example.org").TLSCertificate()
	right := s.PeerCert.TLSCertificate()
	h := openTLS(testPool(t), s, upstreamtest.ServeTLS(t, &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		if good.Load() {
			return &right, nil
		}
		return &wrong, nil
	}}, upstreamtest.ServeOK))
	if o := complete(t, newTestCall(), h, Request{ID: "a", Timeout: testTimeout}); o.Outcome != policy.NotSent {
		t.Fatalf("got %+v", o)
	}
	good.Store(true)
	for b := range s.Rejections {
		if b.Wait == 0 {
			break
		}
	}
	mustDeliver(t, h)
	h.Close()
}

// Guards sessions: the second connection is resumed with both versions, a
// session is shown once under TLS 1.3, and never for another rule.
func TestSessionResumption(t *testing.T) {
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		t.Run(tls.VersionName(version), func(t *testing.T) {
			s := upstreamtest.NewTLSSite(t, nil)
			var conns, resumed atomic.Int32
			cfg := &tls.Config{Certificates: []tls.Certificate{s.PeerCert.TLSCertificate()}, MinVersion: version, MaxVersion: version}
			addr := upstreamtest.ServeTLS(t, cfg, func(c net.Conn) {
				conns.Add(1)
				if c.(*tls.Conn).ConnectionState().DidResume {
					resumed.Add(1)
				}
				upstreamtest.ServeOK(c)
			})
			h := openTLS(testPool(t), s, addr)
			for range 4 {
				mustDeliver(t, h)
				h.CloseIdle()
			}
			if n := s.Dialer.Counts(); n.Full != 1 || n.Resumed != 3 || conns.Load() != 4 || resumed.Load() != 3 {
				t.Errorf("%+v; the partner saw %d, of them %d resumed", n, conns.Load(), resumed.Load())
			}
			// What a proof would not be accepted for any more, a session is not either.
			s.ClockSkew.Store(int64(3 * time.Hour))
			if o := complete(t, newTestCall(), h, Request{ID: "m", Timeout: testTimeout}); o.Outcome != policy.NotSent {
				t.Errorf("after the certificate's end a session serves: %+v", o)
			}
			h.Close()
		})
	}
}

// Guards a cold partner: thirty calls at once make one handshake at a time, and
// take their turns on what there is.
func TestWarmingUpConnectsOneAtATime(t *testing.T) {
	s := upstreamtest.NewTLSSite(t, nil)
	var under, most atomic.Int32
	cfg := &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		if n := under.Add(1); n > most.Load() {
			most.Store(n)
		}
		time.Sleep(2 * time.Millisecond) // a handshake is slow there
		own := s.PeerCert.TLSCertificate()
		return &own, nil
	}, SessionTicketsDisabled: true, VerifyConnection: func(tls.ConnectionState) error { under.Add(-1); return nil }}
	h := openTLS(testPool(t), s, upstreamtest.ServeTLS(t, cfg, upstreamtest.ServeOK))
	over := make(chan Result, 30)
	for range 30 {
		go func() {
			c := NewCall(context.Background(), CallOptions{WarmingUp: true, MayConnect: true})
			c.Do(h, Request{ID: "m", Timeout: testTimeout}, func(o Result) { over <- o })
		}()
	}
	for range 30 {
		if o := <-over; o.Outcome != policy.Delivered {
			t.Errorf("got %+v", o)
		}
	}
	if n := most.Load(); n != 1 {
		t.Errorf("%d handshakes at once", n)
	}
	if n := s.Dialer.Counts().Full; n > 20 {
		t.Errorf("%d handshakes for 30 calls that could share", n)
	}
	waitFor(t, "rest", func() bool { open, idle := h.pool.counts(); return open == idle })
}

// Guards the one budget for calls and connections: at a cold endpoint a call for
// which none was paid opens none, and goes out on one that is free; where a
// handshake weighs nothing it opens its own.
func TestConnectNotAllowed(t *testing.T) {
	for _, weight := range []float64{0, 1} {
		s := upstreamtest.NewTLSSite(t, func(s *upstreamtest.TLSSite, _ *operatorconfig.Handshakes) { s.Rule.HandshakeWeight = &weight })
		h := openTLS(testPool(t), s, upstreamtest.ServeTLS(t, s.ServerConfig(), upstreamtest.ServeOK))
		call := func(mayConnect bool) Result {
			c := NewCall(context.Background(), CallOptions{WarmingUp: true, MayConnect: mayConnect})
			return complete(t, c, h, Request{ID: "m", Timeout: testTimeout})
		}
		o := call(false)
		if weight == 0 && (o.Outcome != policy.Delivered || o.ConnectionsOpened != 1) || weight > 0 && (o.Outcome != policy.NotSent || o.ConnectionsOpened != 0 || s.Dialer.Counts().Full != 0) {
			t.Errorf("weight %v, not paid: %+v", weight, o)
		}
		if o := call(true); o.Outcome != policy.Delivered || o.ConnectionsOpened != 1 && weight > 0 {
			t.Errorf("weight %v, paid: %+v", weight, o)
		}
		waitReusable(h)
		if o := call(false); o.Outcome != policy.Delivered || o.ConnectionsOpened != 0 {
			t.Errorf("weight %v, one is free: %+v", weight, o)
		}
	}
}

// Guards our own core, and a message that cannot make it: where the budget
// allows no handshake before the call's end, the call never ran, at once, with
// the time to come back.
func TestHandshakeBudgetExhausted(t *testing.T) {
	s := upstreamtest.NewTLSSite(t, func(_ *upstreamtest.TLSSite, h *operatorconfig.Handshakes) { h.CPUShare, h.BurstMS = 1e-6, 1 })
	h := openTLS(testPool(t), s, upstreamtest.ServeTLS(t, s.ServerConfig(), upstreamtest.ServeOK))
	mustDeliver(t, h) // which takes all of the budget
	h.CloseIdle()
	o := complete(t, newTestCall(), h, Request{ID: "m", Timeout: time.Second})
	var turn handshakeBudgetError
	if o.Outcome != policy.NotSent || !errors.As(o.Err, &turn) || o.RetryAfter < 1e6 || o.Elapsed > 500e3 {
		t.Errorf("got %+v", o)
	}
}

// Guards our own certificate that is replaced while fifty handshakes are in
// flight, certificate and key one after the other: no call is lost, the pair
// that does not match is never shown, and from then on the new one is.
func TestOwnCertificateReplaced(t *testing.T) {
	s := upstreamtest.NewTLSSite(t, func(s *upstreamtest.TLSSite, h *operatorconfig.Handshakes) {
		h.MaxParallel, h.CPUShare, h.BurstMS = 50, 1, 1000
		cert, key, err := upstreamtest.IssueCert(t, s.Root, "relay one").WriteFiles(s.Dir, "own", true)
		if err != nil {
			t.Fatal(err)
		}
		s.Rule.Certificate, s.Rule.Key = cert, key
	})
	var mu sync.Mutex
	shown := map[string]int{}
	arrived, gate := make(chan struct{}, 200), make(chan struct{})
	var open atomic.Bool
	h := openTLS(testPool(t), s, upstreamtest.ServeTLS(t, &tls.Config{ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: s.Root.RootPool(),
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			if !open.Load() {
				arrived <- struct{}{}
				<-gate
			}
			own := s.PeerCert.TLSCertificate()
			return &own, nil
		}}, func(c net.Conn) {
		mu.Lock()
		shown[c.(*tls.Conn).ConnectionState().PeerCertificates[0].Subject.CommonName]++
		mu.Unlock()
		upstreamtest.ServeOK(c)
	}))
	over := make(chan Result, 100)
	send := func(n int) {
		for range n {
			go func() { newTestCall().Do(h, Request{ID: "m", Timeout: testTimeout}, func(o Result) { over <- o }) }()
		}
	}
	send(50)
	for range 50 {
		<-arrived
	}
	two := upstreamtest.IssueCert(t, s.Root, "relay two")
	if err := testca.ReplaceFile(s.Rule.Certificate, two.CertPEM(), 0o644); err != nil {
		t.Fatal(err)
	}
	s.Dialer.ReloadFiles() // the moment between: the old pair goes on
	open.Store(true)
	close(gate)
	for range 50 {
		if o := <-over; o.Outcome != policy.Delivered {
			t.Errorf("got %+v", o)
		}
	}
	waitFor(t, "all handshakes", func() bool {
		h.pool.mu.Lock()
		connecting := h.connecting
		h.pool.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		return connecting == 0 && int64(shown["relay one"]) == s.Dialer.Counts().Full
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
	if err := testca.ReplaceFile(s.Rule.Key, key, 0o600); err != nil {
		t.Fatal(err)
	}
	s.Dialer.ReloadFiles()
	waitReusable(h)
	send(20)
	for range 20 {
		if o := <-over; o.Outcome != policy.Delivered {
			t.Errorf("got %+v", o)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(shown) != 1 || shown["relay two"] == 0 {
		t.Errorf("shown after the change: %v", shown)
	}
	h.Close()
	waitFor(t, "rest", func() bool { open, _ := h.pool.counts(); return open == 0 })
}

// Guards what never ran: a reset at each write before the last byte, and the
// write that carries it.
func TestBrokenAtEachTLSWrite(t *testing.T) {
	for at := 1; ; at++ {
		s := upstreamtest.NewTLSSite(t, nil)
		var calls atomic.Int32
		p := testPool(t)
		h := openTLS(p, s, upstreamtest.ServeTLS(t, s.ServerConfig(), func(c net.Conn) {
			if upstreamtest.ReadRequest(bufio.NewReader(c)) {
				calls.Add(1)
				io.WriteString(c, upstreamtest.OKResponse)
			}
		}))
		dial := h.dial
		broke := false
		h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := dial(ctx, addr)
			if err != nil || broke {
				return c, err
			}
			broke = true
			return &closeAtWriteConn{TCPConn: c.(*net.TCPConn), at: at}, nil
		}
		o := complete(t, newTestCall(), h, Request{ID: "m", Body: []byte("b"), Timeout: testTimeout})
		if calls.Load() > 1 || o.Outcome == policy.Delivered && calls.Load() != 1 || o.Outcome != policy.Delivered && (!o.Outcome.NeverRan() || calls.Load() != 0) {
			t.Fatalf("broken at write %d: %+v, and %d calls", at, o, calls.Load())
		}
		h.Close()
		if at > 8 {
			return
		}
	}
}

type closeAtWriteConn struct {
	*net.TCPConn
	at, writes int
}

func (b *closeAtWriteConn) Write(p []byte) (int, error) {
	if b.writes++; b.writes == b.at {
		b.TCPConn.Close()
		return 0, os.ErrClosed
	}
	return b.TCPConn.Write(p)
}
