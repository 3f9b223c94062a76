package relay

import (
	"testing"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/upstream"
	"troutusher/policy"
)

// TestRetryAfterScopes checks which endpoints a Retry-After time applies to: to all endpoints of
// the destination, also to one that opens later, or, of independent routes, only to the route that
// sent it. The time also applies after the endpoint that sent it was closed.
func TestRetryAfterScopes(t *testing.T) {
	r := &Relay{endpoints: map[policy.EndpointID]*upstream.Endpoint{}, startedAt: time.Now()}
	r.pool = upstream.NewPool(upstream.PoolOptions{Now: r.now})
	open := func(id policy.EndpointID, dest int, independent bool) {
		r.executeEffect(
			core.OpenEndpoint{Endpoint: id, Address: "127.0.0.1:1", Dest: dest, IndependentRoute: independent},
		)
	}
	open(1, 1, false)
	open(2, 1, false)
	open(3, 2, true)
	open(4, 2, true)
	open(5, 3, false)
	until := r.now() + 60e6
	r.executeEffect(core.ApplyRetryAfter{Endpoint: 1, Until: until})
	r.executeEffect(core.ApplyRetryAfter{Endpoint: 3, Until: until})
	r.executeEffect(core.CloseEndpoint{Endpoint: 3})
	open(3, 2, true)
	open(6, 1, false)
	for id, want := range map[policy.EndpointID]bool{1: true, 2: true, 3: true, 4: false, 5: false, 6: true} {
		if got := r.endpoints[id].RetryAfter() > 0; got != want {
			t.Errorf("endpoints[%d].RetryAfter() > 0 = %v, want %v", id, got, want)
		}
	}
	r.executeEffect(core.ForgetEndpoint{Endpoint: 3})
	if open(3, 2, true); r.endpoints[3].RetryAfter() > 0 {
		t.Error("RetryAfter() > 0 for a route that was forgotten and opened again, want 0")
	}
	for _, id := range []policy.EndpointID{1, 2, 6} {
		r.executeEffect(core.CloseEndpoint{Endpoint: id})
		r.executeEffect(core.ForgetEndpoint{Endpoint: id})
	}
	r.executeEffect(core.PassivateDestination{Dest: 1})
	if open(7, 1, false); r.endpoints[7].RetryAfter() > 0 {
		t.Error("RetryAfter() > 0 for a destination that was passivated in between, want 0")
	}
}
