package upstream

import (
	"bufio"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/crypto/chacha20poly1305"

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

// Guards what is believed where records are truncated: a 200 whose status line came whole
// is true though the rest is cut off without a closing alert, or comes a byte a record;
// and key updates without end are no response.
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
		"the first line, then cut without a closing alert": {func(sealed sealedConn) {
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
		"keys updated once, then the response": {func(sealed sealedConn) {
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
	sent := make(chan struct{}, 1)
	addr := serveSealedTLS(t, site, func(sealed sealedConn) {
		first := conns.Add(1) == 1
		for reader := bufio.NewReader(sealed.conn); upstreamtest.ReadRequest(reader); {
			calls.Add(1)
			sealed.sendText(upstreamtest.OKResponse)
			if first {
				send(sealed.raw, sealed.sealer.seal(recordAlert, []byte{1, 0})[:9])
				sent <- struct{}{}
				waitClosed(sealed.raw)
				return
			}
		}
	})
	endpoint := openTLS(testPool(t), site, addr)
	mustDeliver(t, endpoint)
	<-sent
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
