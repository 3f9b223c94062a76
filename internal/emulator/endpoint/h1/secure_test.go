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

func shown(t *testing.T, trusted bool) *Show {
	t.Helper()
	m, err := testca.Issue(nil, "p.example.org", nil)
	if err != nil {
		t.Fatal(err)
	}
	return &Show{
		Config:  &tls.Config{Certificates: []tls.Certificate{m.TLSCertificate()}, SessionTicketsDisabled: true},
		Trusted: trusted,
	}
}

func dialTLS(t *testing.T, r *rig) net.Conn {
	t.Helper()
	c, err := tls.DialWithDialer(
		&net.Dialer{Timeout: 20 * time.Second}, "tcp", r.s.Addr(0, 0), &tls.Config{InsecureSkipVerify: true},
	)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

const callText = "POST /v1/messages HTTP/1.1\r\nHost: x\r\nX-Request-ID: m1\r\nX-Timeout-Ms: 1000\r\n" +
	"Content-Length: 0\r\n\r\n"

// A call over a connection whose proof must not be believed is a stray, and does
// nothing; over one that may be believed it runs.
func TestCallsToWhomMustNotBeBelieved(t *testing.T) {
	for _, trusted := range []bool{true, false} {
		r := start(t, spec())
		x := shown(t, trusted)
		r.s.Secure(func(int) *Show { return x })
		c := dialTLS(t, r)
		_, _ = c.Write([]byte(callText))
		want := event.Ran
		if !trusted {
			want = event.Stray
		}
		r.wait("its end", func() bool {
			for _, e := range r.seen {
				if e.Kind == want {
					return true
				}
			}
			return false
		})
		r.mu.Lock()
		if n := r.ran["m1"]; (n == 1) != trusted {
			t.Errorf("believed %v: it ran %d times", trusted, n)
		}
		r.mu.Unlock()
	}
}

// Handshakes alone push a cold endpoint over, where each weighs as much as calls.
func TestHandshakesWeigh(t *testing.T) {
	for _, weight := range []float64{0, 4} {
		s := spec()
		s.Capacity, s.Full, s.ColdShare, s.ColdRamp, s.FallMultiple, s.FallTime = 20, weight, 0.3, 10*sec, 1.5, 300*ms
		r := start(t, s)
		x := shown(t, true)
		r.s.Secure(func(int) *Show { return x })
		f := &endpoint.Fault{Kind: endpoint.Crash}
		r.fault(f)
		r.over(f)
		fell := func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, e := range r.seen {
				if e.Kind == event.Fell {
					return true
				}
			}
			return false
		}
		for end := r.began.Add(900 * time.Millisecond); time.Now().Before(end) && !fell(); {
			c, err := tls.DialWithDialer(
				&net.Dialer{Timeout: time.Second}, "tcp", r.s.Addr(0, 0), &tls.Config{InsecureSkipVerify: true},
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
