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

// A call over a connection whose TLS identity must not be accepted is an unknown call,
// and has no effect; over one that may be accepted it takes effect.
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
		h.waitFor("the event", func() bool {
			for _, e := range h.events {
				if e.Kind == want {
					return true
				}
			}
			return false
		})
		h.mu.Lock()
		if n := h.effectsOf["m1"]; (n == 1) != trusted {
			t.Errorf("trusted %v: %d effects", trusted, n)
		}
		h.mu.Unlock()
	}
}

// Handshakes alone make an endpoint collapse that warms up, where each costs as much as calls.
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
			t.Errorf("cost %v: collapsed: %v", cost, collapsed())
		}
	}
}
