package relay

import (
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"troutusher/internal/policystate"
)

// A Retry-After holds across a kill, to its end: the policy state lies in
// the state folder beside the log. A file of another relay is set aside, and the
// relay starts.
func TestRetryAfterSurvivesKill(t *testing.T) {
	const wait = 3 * time.Second
	var mu sync.Mutex
	var retryAfterAt, next time.Time
	endpoint := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request, n int) {
		mu.Lock()
		defer mu.Unlock()
		if n == 1 {
			retryAfterAt = time.Now()
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		if next.IsZero() {
			next = time.Now()
		}
	})
	d := newFakeDiscovery(t, endpoint.member("s-1", 1))
	env := testConfig(t, d, 3, endpoint.member("s-1", 1))
	c := startChild(t, env)
	dialClient(t, env["ROUTER_LISTEN"]).mustPut("m", putFields("plain", 20000, 1), nil)
	path := filepath.Join(env["ROUTER_STATE"], policystate.FileName)
	waitFor(t, "the wait in the file", func() bool {
		b, err := os.ReadFile(path)
		if err != nil {
			return false
		}
		f, err := policystate.Decode(b)
		return err == nil && len(f.State.RetryAfters) == 1
	})
	c.kill()
	c = startChild(t, env)
	dialClient(t, env["ROUTER_LISTEN"]).mustPut("m2", putFields("plain", 20000, 1), nil)
	waitFor(t, "both to be delivered", func() bool { return endpoint.count("m") == 2 && endpoint.count("m2") == 1 })
	mu.Lock()
	if gap := next.Sub(retryAfterAt); gap < wait-100*time.Millisecond {
		t.Errorf("sent %v after a Retry-After of %v", gap, wait)
	}
	mu.Unlock()

	c.kill()
	b, err := policystate.Encode(&policystate.File{Relay: "other", State: nil})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	startChild(t, env)
	dialClient(t, env["ROUTER_LISTEN"]).mustPut("m3", putFields("plain", 20000, 1), nil)
	waitFor(t, "the third", func() bool { return endpoint.count("m3") == 1 })
	if _, err := os.Stat(path + ".bad"); err != nil {
		t.Errorf("not set aside: %v", err)
	}
}
