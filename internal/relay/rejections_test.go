package relay

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// attemptGaps measures the longest time between two attempts.
type attemptGaps struct {
	mu       sync.Mutex
	last     time.Time
	longest  time.Duration
	attempts int
}

// end ends a gap and starts the next one. attempts is 1 at an attempt and 0 at the end of the test.
func (g *attemptGaps) end(attempts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.longest = max(g.longest, now.Sub(g.last))
	g.last = now
	g.attempts += attempts
}

// Guards against a relay that ends every message without an attempt: a relay of a large fleet,
// whose only destination rejects every call, must continue to make attempts. No 4 s may pass, in
// which at least 15 messages arrive, without one.
func TestAttemptsGoOnWhileAllIsRejected(t *testing.T) {
	const (
		rate       = 25 // submissions per second
		duration   = 8 * time.Second
		deadlineMS = 600 // short against duration, so that messages end throughout the test
		maxGap     = 4 * time.Second
	)
	gaps := &attemptGaps{last: time.Now()}
	rejecting := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
		gaps.end(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	discovery := newFakeDiscovery(t, rejecting.member("s-1", 1))
	env := testConfig(t, discovery, 3)
	config, err := os.ReadFile(env["ROUTER_CONFIG"])
	if err != nil {
		t.Fatal(err)
	}
	largeFleet := strings.Replace(string(config), `"balancers":1,`, `"balancers":300,`, 1)
	if err := os.WriteFile(env["ROUTER_CONFIG"], []byte(largeFleet), 0o600); err != nil {
		t.Fatal(err)
	}
	startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	ticker := time.NewTicker(time.Second / rate)
	defer ticker.Stop()
	for i := range int(duration.Seconds() * rate) {
		<-ticker.C
		reply := client.put(fmt.Sprintf("m%d", i), putFields("plain", deadlineMS, 1), nil)
		if reply != "+OK" && !strings.HasPrefix(reply, "-BUSY") {
			t.Fatalf("put(m%d) = %s, want +OK or -BUSY", i, reply)
		}
	}
	gaps.end(0)
	t.Logf("%d attempts, the longest time without one %v", gaps.attempts, gaps.longest)
	if gaps.longest >= maxGap {
		t.Errorf("longest time without an attempt = %v, want less than %v", gaps.longest, maxGap)
	}
}
