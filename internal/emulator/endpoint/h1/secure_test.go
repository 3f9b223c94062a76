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
	m, err := testca.Issue(nil, "p.example.org", nil)
	if err != nil {
		t.Fatal(err)
	}
	return &TLSIdentity{
		Config:  &tls.Config{Certificates: []tls.Certificate{m.TLSCertificate()}, SessionTicketsDisabled: true},
		Trusted: trusted,
	}
}

func dialTLS(t *testing.T, r *harness) net.Conn {
	t.Helper()
	c, err := tls.DialWithDialer(
		&net.Dialer{Timeout: 20 * time.Second}, "tcp", r.server.Addr(0, 0), &tls.Config{InsecureSkipVerify: true},
	)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

const callRequest = "POST /v1/messages HTTP/1.1\r\nHost: x\r\nX-Request-ID: m1\r\nX-Timeout-Ms: 1000\r\n" +
	"Content-Length: 0\r\n\r\n"

// A call over a connection whose proof must not be believed is a stray, and does
// nothing; over one that may be believed it runs.
func TestCallsOverUntrustedConnectionsHaveNoEffect(t *testing.T) {
	for _, trusted := range []bool{true, false} {
		r := newHarness(t, plainSpec())
		x := newIdentity(t, trusted)
		r.server.EnableTLS(func(int) *TLSIdentity { return x })
		c := dialTLS(t, r)
		_, _ = c.Write([]byte(callRequest))
		want := event.Ran
		if !trusted {
			want = event.Stray
		}
		r.waitFor("its end", func() bool {
			for _, e := range r.events {
				if e.Kind == want {
					return true
				}
			}
			return false
		})
		r.mu.Lock()
		if n := r.effectsOf["m1"]; (n == 1) != trusted {
			t.Errorf("believed %v: it ran %d times", trusted, n)
		}
		r.mu.Unlock()
	}
}

// Handshakes alone push a cold endpoint over, where each weighs as much as calls.
func TestHandshakesCountAsLoad(t *testing.T) {
	for _, weight := range []float64{0, 4} {
		s := plainSpec()
		s.Capacity, s.FullHandshakeCost = 20, weight
		s.WarmUpShare, s.WarmUpTime = 0.3, 10*sec
		s.OverloadFactor, s.OverloadWindow = 1.5, 300*ms
		r := newHarness(t, s)
		x := newIdentity(t, true)
		r.server.EnableTLS(func(int) *TLSIdentity { return x })
		f := &endpoint.Fault{Kind: endpoint.Crash}
		r.injectFault(f)
		r.clearFault(f)
		fell := func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, e := range r.events {
				if e.Kind == event.Fell {
					return true
				}
			}
			return false
		}
		for end := r.began.Add(900 * time.Millisecond); time.Now().Before(end) && !fell(); {
			c, err := tls.DialWithDialer(
				&net.Dialer{Timeout: time.Second}, "tcp", r.server.Addr(0, 0), &tls.Config{InsecureSkipVerify: true},
			)
			if err == nil {
				_ = c.Close()
			}
		}
		if fell() != (weight > 0) {
			t.Errorf("weight %v: fell over: %v", weight, fell())
		}
	}
}
