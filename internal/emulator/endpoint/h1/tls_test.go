package h1

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/event"
	"troutusher/internal/testca"
)

func newIdentity(t *testing.T, trusted bool) *TLSIdentity {
	t.Helper()
	issued, err := testca.Issue(nil, "p.example.org", nil)
	if err != nil {
		t.Fatal(err)
	}
	return &TLSIdentity{
		Config:  &tls.Config{Certificates: []tls.Certificate{issued.TLSCertificate()}, SessionTicketsDisabled: true},
		Trusted: trusted,
	}
}

func dialTLS(t *testing.T, h *harness) net.Conn {
	t.Helper()
	c, err := tls.DialWithDialer(
		&net.Dialer{Timeout: 20 * time.Second}, "tcp", h.server.Addr(0, 0), &tls.Config{InsecureSkipVerify: true},
	)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

const callRequest = "POST /v1/messages HTTP/1.1\r\nHost: x\r\nX-Request-ID: m1\r\nX-Timeout-Ms: 1000\r\n" +
	"Content-Length: 0\r\n\r\n"

// TestCallsOverUntrustedConnectionsHaveNoEffect guards against a relay's call taking effect at an
// endpoint whose TLS identity the relay should have rejected. Such a call must be recorded as an
// unknown call. A call to an endpoint with a trusted identity takes effect.
func TestCallsOverUntrustedConnectionsHaveNoEffect(t *testing.T) {
	for _, trusted := range []bool{true, false} {
		h := newHarness(t, plainSpec())
		identity := newIdentity(t, trusted)
		h.server.EnableTLS(func(int) *TLSIdentity { return identity })
		c := dialTLS(t, h)
		_, _ = c.Write([]byte(callRequest))
		want := event.TookEffect
		if !trusted {
			want = event.UnknownCall
		}
		h.waitFor("the event of the call", func() bool {
			for _, e := range h.events {
				if e.Kind == want {
					return true
				}
			}
			return false
		})
		h.mu.Lock()
		if n := h.effectsOf["m1"]; (n == 1) != trusted {
			t.Errorf("effects of a call with trusted identity %v = %d, want 1 only if trusted", trusted, n)
		}
		h.mu.Unlock()
	}
}

// TestHandshakesCountAsLoad checks that TLS handshakes without any call make an endpoint collapse
// while it warms up, if a handshake has a cost.
func TestHandshakesCountAsLoad(t *testing.T) {
	for _, cost := range []float64{0, 4} {
		s := plainSpec()
		s.Capacity, s.FullHandshakeCost = 20, cost
		s.WarmUpShare, s.WarmUpTime = 0.3, 10*sec
		s.OverloadFactor, s.OverloadWindow = 1.5, 300*ms
		h := newHarness(t, s)
		identity := newIdentity(t, true)
		h.server.EnableTLS(func(int) *TLSIdentity { return identity })
		f := &endpoint.Fault{Kind: endpoint.Crash}
		h.injectFault(f)
		h.clearFault(f)
		collapsed := func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			for _, e := range h.events {
				if e.Kind == event.Collapsed {
					return true
				}
			}
			return false
		}
		for end := h.began.Add(900 * time.Millisecond); time.Now().Before(end) && !collapsed(); {
			c, err := tls.DialWithDialer(
				&net.Dialer{Timeout: time.Second}, "tcp", h.server.Addr(0, 0), &tls.Config{InsecureSkipVerify: true},
			)
			if err == nil {
				_ = c.Close()
			}
		}
		if collapsed() != (cost > 0) {
			t.Errorf("collapsed with handshake cost %v = %v, want %v", cost, collapsed(), cost > 0)
		}
	}
}
