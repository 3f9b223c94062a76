package relay

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"sync"
	"testing"
	"time"

	"troutusher/internal/core"
)

// Guards against a destination that comes back from an outage on another machine and gets more calls than it bears
// while it is cold, from a relay that had seen the outage. One change of the list removes the old endpoint and adds
// the new one.
func TestReplacedEndpointStaysCold(t *testing.T) {
	const (
		rate     = 40.0 // calls per second of the destination
		messages = 90   // below most_held in testSettings
		window   = 2 * time.Second
	)
	failing := newFakeEndpoint(t, respondStatus(http.StatusInternalServerError))
	old := failing.member("s-old", 1)
	old.Rate = rate
	discovery := newFakeDiscovery(t, old)
	env := testConfig(t, discovery, 3)
	startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	for n := range messages {
		client.mustPut(fmt.Sprintf("m-%d", n), putFields("plain", 20000, 1), nil)
	}
	waitFor(t, "trial calls in the outage", func() bool { return failing.callCount() >= 6 })

	var mu sync.Mutex
	var arrivals []time.Time
	cold := newFakeEndpoint(t, func(http.ResponseWriter, *http.Request, int) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
	})
	added := cold.member("s-new", 1)
	added.Rate, old.Phase = rate, core.Removed
	line, err := json.Marshal(core.EndpointList{Revision: 10, Members: []core.Member{old, added}})
	if err != nil {
		t.Fatal(err)
	}
	discovery.SendLine(t, string(line))
	inWindow := func() (calls int, over bool) {
		mu.Lock()
		defer mu.Unlock()
		for _, at := range arrivals {
			if at.Sub(arrivals[0]) <= window {
				calls++
			}
		}
		return calls, calls < len(arrivals) || calls == messages
	}
	waitFor(t, "the calls of the first 2 s", func() bool {
		_, over := inWindow()
		return over
	})
	// What the rule allows with the settings of the test, which is N and some standard deviations of it.
	n := 1.5 * rate * window.Seconds() * (0.26 + (1-0.26)*window.Seconds()/13)
	if calls, _ := inWindow(); float64(calls) > n+2*math.Sqrt(n)+2 {
		t.Errorf("%d calls in 2 s at a cold endpoint, want at most %.0f", calls, n+2*math.Sqrt(n)+2)
	}
}
