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

// Guards a Retry-After against a kill: the policy state is saved in the state folder beside the
// log, so that the restarted relay waits until the time has passed. A policy state of another relay
// must be set aside, and the relay must start without it.
func TestRetryAfterSurvivesKill(t *testing.T) {
	const retryAfter = 3 * time.Second
	var mu sync.Mutex
	var retryAfterAt, nextAttemptAt time.Time
	endpoint := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request, n int) {
		mu.Lock()
		defer mu.Unlock()
		if n == 1 {
			retryAfterAt = time.Now()
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		if nextAttemptAt.IsZero() {
			nextAttemptAt = time.Now()
		}
	})
	discovery := newFakeDiscovery(t, endpoint.member("s-1", 1))
	env := testConfig(t, discovery, 3, endpoint.member("s-1", 1))
	relay := startChild(t, env)
	dialClient(t, env["ROUTER_LISTEN"]).mustPut("m", putFields("plain", 20000, 1), nil)
	path := filepath.Join(env["ROUTER_STATE"], policystate.FileName)
	waitFor(t, "the Retry-After in the policy state file", func() bool {
		encoded, err := os.ReadFile(path)
		if err != nil {
			return false
		}
		file, err := policystate.Decode(encoded)
		return err == nil && len(file.State.RetryAfters) == 1
	})
	relay.kill()
	relay = startChild(t, env)
	dialClient(t, env["ROUTER_LISTEN"]).mustPut("m2", putFields("plain", 20000, 1), nil)
	waitFor(t, "delivery of messages m and m2", func() bool {
		return endpoint.count("m") == 2 && endpoint.count("m2") == 1
	})
	mu.Lock()
	if gap := nextAttemptAt.Sub(retryAfterAt); gap < retryAfter-100*time.Millisecond {
		t.Errorf("next attempt %v after a Retry-After of %v, want at least %v",
			gap, retryAfter, retryAfter-100*time.Millisecond)
	}
	mu.Unlock()

	relay.kill()
	encoded, err := policystate.Encode(&policystate.File{Relay: "other", State: nil})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		t.Fatal(err)
	}
	startChild(t, env)
	dialClient(t, env["ROUTER_LISTEN"]).mustPut("m3", putFields("plain", 20000, 1), nil)
	waitFor(t, "delivery of message m3", func() bool { return endpoint.count("m3") == 1 })
	if _, err := os.Stat(path + ".bad"); err != nil {
		t.Errorf("policy state of another relay was not set aside as .bad: %v", err)
	}
}
