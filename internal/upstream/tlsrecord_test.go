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

// recordSealer encrypts TLS 1.3 records with the server's own keys (RFC 8446 sections 5.2 and
// 7.1). It can make records that crypto/tls does not let a server send.
type recordSealer struct {
	mu     sync.Mutex
	secret []byte
	seq    uint64
	iv     []byte
	aead   cipher.AEAD
	suite  uint16
}

// Write receives the lines of the server's key log and keeps the server's traffic secret.
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

// hkdfExpandLabel implements HKDF-Expand-Label of RFC 8446 section 7.1.
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

// deriveKeys derives the keys from the current secret and restarts the sequence numbers.
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

// seal returns an encrypted record with a content type.
func (r *recordSealer) seal(contentType byte, text []byte) []byte {
	nonce := append([]byte{}, r.iv...)
	for i := range 8 {
		nonce[11-i] ^= byte(r.seq >> (8 * i))
	}
	r.seq++
	n := len(text) + 1 + r.aead.Overhead()
	head := []byte{23, 3, 3, byte(n >> 8), byte(n)}
	return r.aead.Seal(head, nonce, append(append([]byte{}, text...), contentType), head)
}

// keyUpdate returns a KeyUpdate record (RFC 8446 section 4.6.3) and switches to the new keys.
func (r *recordSealer) keyUpdate() []byte {
	record := r.seal(recordHandshake, []byte{24, 0, 0, 1, 0})
	r.secret = hkdfExpandLabel(r.secret, "traffic upd", 32)
	r.deriveKeys(r.suite)
	return record
}

// Content types of records (RFC 8446 section 5.1).
const (
	recordAlert     = 21
	recordHandshake = 22
	recordData      = 23
)

// sealedConn is the server side of a TLS 1.3 connection. After the handshake the test makes
// the server's records itself.
type sealedConn struct {
	conn   *tls.Conn // to read from
	raw    net.Conn  // to write records to
	sealer *recordSealer
}

// serveSealedTLS starts an endpoint that calls serve for each connection after the handshake.
// It returns the endpoint's address.
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

// send writes a record with a content type.
func (c sealedConn) send(contentType byte, text []byte) {
	send(c.raw, c.sealer.seal(contentType, text))
}

// sendText writes a record with a response or part of one.
func (c sealedConn) sendText(text string) { c.send(recordData, []byte(text)) }

// alerts contains the alert codes of RFC 8446 section 6 and RFC 5246 section 7.2, and some
// undefined codes.
var alerts = []uint8{
	0, 10, 20, 21, 22, 30, 40, 41, 42, 43, 44, 45, 46, 47, 48, 49, 50, 51, 60, 70, 71, 80, 86, 90, 100,
	109, 110, 111, 112, 113, 114, 115, 116, 120, 7, 200, 255,
}

const userCanceled = 90

// Guards the outcome of calls that a TLS alert ends. An alert during the handshake or before
// the call's last byte means that the call never ran. After the last byte the call may
// have run, whatever the alert. Alerts about the relay's certificate also reject the
// endpoint.
func TestAlertOutcomes(t *testing.T) {
	for _, code := range alerts {
		_, rejects := tlspolicy.CauseOfAlert(code) // the alert rejects the relay's certificate
		t.Run("", func(t *testing.T) {
			t.Parallel()
			site := upstreamtest.NewTLSSite(t, nil)
			var conns atomic.Int32
			inHandshake := upstreamtest.ServeTCP(t, func(conn net.Conn) {
				conns.Add(1)
				receive(conn) // ClientHello
				send(conn, []byte{recordAlert, 3, 3, 0, 2, 2, code})
				receive(conn)
			})
			result := callOnce(t, openTLS(testPool(t), site, inHandshake), Request{ID: "m"})
			if !result.Outcome.NeverRan() || (result.Outcome == policy.NotSent) != rejects && code != 0 {
				t.Errorf("alert %d in the handshake: got %+v, want an outcome that never ran, NotSent %v",
					code, result, rejects)
			}
			if n := conns.Load(); n > 1 {
				t.Errorf("alert %d in the handshake: connections for one call = %d, want at most 1", code, n)
			}
			for _, afterRequest := range []bool{false, true} {
				site := upstreamtest.NewTLSSite(t, nil)
				conns.Store(0)
				addr := serveSealedTLS(t, site, func(sealed sealedConn) {
					conns.Add(1)
					if afterRequest && !upstreamtest.ReadRequest(bufio.NewReader(sealed.conn)) {
						return
					}
					sealed.send(recordAlert, []byte{2, code})
					if code != userCanceled { // which does not end the connection (RFC 8446 section 6.1)
						waitClosed(sealed.raw)
					}
				})
				pool := testPool(t)
				if !afterRequest {
					pool.staleCheckDelay = testTimeout // the alert must end the wait, however late it arrives
				}
				result := callOnce(t, openTLS(pool, site, addr), Request{ID: "m", Body: []byte("b")})
				if afterRequest && result.Outcome != policy.ConnectionReset ||
					!afterRequest && !result.Outcome.NeverRan() {
					t.Errorf("alert %d, after the request %v: got %+v, want reset if after it, else never ran",
						code, afterRequest, result)
				}
				if !afterRequest && (result.Outcome == policy.NotSent) != rejects {
					t.Errorf("alert %d before the last byte: got %+v, want NotSent %v", code, result, rejects)
				}
				if n := conns.Load(); (afterRequest || rejects) && n != 1 || n > 2*maxConnAttempts {
					t.Errorf("alert %d, after the request %v: connections for one call = %d, want at most %d, "+
						"and 1 after the request or a rejection", code, afterRequest, n, 2*maxConnAttempts)
				}
				if rejected := site.Dialer.Counts().RejectedEndpoints; (rejected == 1) != rejects {
					t.Errorf("alert %d, after the request %v: rejected endpoints = %d, want rejection %v",
						code, afterRequest, rejected, rejects)
				}
			}
		})
	}
}

// Guards the outcome of responses in unusual TLS records. A complete status line with code
// 200 proves the delivery, even if the rest is cut off without a closing alert or arrives
// in records of one byte. Endless key updates are not a response.
func TestTruncatedRecords(t *testing.T) {
	for name, test := range map[string]struct {
		respond func(sealed sealedConn)
		outcome policy.Outcome
	}{
		"one byte per record": {func(sealed sealedConn) {
			for i := range len(upstreamtest.OKResponse) {
				sealed.send(recordData, []byte{upstreamtest.OKResponse[i]})
			}
		}, policy.Delivered},
		"empty records in between": {func(sealed sealedConn) {
			for i := range 10 {
				sealed.send(recordData, nil)
				sealed.send(recordData, []byte{upstreamtest.OKResponse[i]})
			}
			sealed.sendText(upstreamtest.OKResponse[10:])
		}, policy.Delivered},
		"truncated after the status line, without a closing alert": {func(sealed sealedConn) {
			sealed.sendText("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n")
		}, policy.Delivered},
		"truncated record": {func(sealed sealedConn) {
			record := sealed.sealer.seal(recordData, []byte(upstreamtest.OKResponse))
			send(sealed.raw, record[:len(record)/2])
		}, policy.ConnectionReset},
		"truncated head of a rejection": {func(sealed sealedConn) {
			sealed.sendText("HTTP/1.1 503 F\r\nContent-Le")
		}, policy.Failed},
		"corrupted record": {func(sealed sealedConn) {
			record := sealed.sealer.seal(recordData, []byte(upstreamtest.OKResponse))
			record[len(record)-1] ^= 1
			send(sealed.raw, record)
			waitClosed(sealed.raw)
		}, policy.ConnectionReset},
		"one key update, then the response": {func(sealed sealedConn) {
			send(sealed.raw, sealed.sealer.keyUpdate())
			sealed.sendText(upstreamtest.OKResponse)
		}, policy.Delivered},
		"endless key updates": {func(sealed sealedConn) {
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
				t.Errorf("Call.Do reported %+v, want outcome %d", result, test.outcome)
			}
		})
	}
}

// Guards against sending a call on an idle connection that has received part of a TLS record.
// The record may be the alert that closes the connection.
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
	waitFor(t, "the partial record to arrive", func() bool {
		endpoint.pool.mu.Lock()
		defer endpoint.pool.mu.Unlock()
		return len(endpoint.pool.idle) == 0 || !endpoint.pool.idle[0].reusable()
	})
	mustDeliver(t, endpoint)
	if conns.Load() != 2 || calls.Load() != 2 {
		t.Errorf("endpoint saw %d connections and %d calls, want 2 and 2", conns.Load(), calls.Load())
	}
}
