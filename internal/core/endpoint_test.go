package core

import (
	"fmt"
	"strings"
	"testing"

	"troutusher/policy"
)

// testCore is a core with three classes and no endpoint.
func testCore(t *testing.T) *Core {
	t.Helper()
	c, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func testSettings() Settings {
	class := func(r policy.Idempotency) policy.Class {
		return policy.Class{Name: "c", LatencyObjective: 1500e3, Deadline: 20e6, Weight: 1, Idempotency: r, DedupWindow: 20e6}
	}
	return Settings{Seed: 1, Epoch: 1e15, Policy: policy.Settings{Relays: 1, MaxConcurrentCalls: 16, MaxPending: 100, MaxAttempts: 8, OverQuotaWeight: 1,
		ListHasRates: true, HealthChecks: true, Cancellation: true, SendRetryAfter: true, MaxRetryAfter: 2e6, ConnectTimeout: 1500e3, IdleTimeout: 10e6,
		StreamsPerConnection: 1, TickInterval: 5000, ReplyGrace: 20e3, DrainGrace: 2e6, InitialCapacity: 0.26, RampDuration: 13e6, OverloadFactor: 1.5, OverloadDuration: 2e6,
		Classes: []policy.Class{class(policy.Idempotent), class(policy.IdempotentByKey), class(policy.NonIdempotent)}, Tenants: []policy.Tenant{{Name: "acme", Quota: 1000}},
		DestinationKinds: []policy.DestinationKind{{BatchSize: 1}, {BatchSize: 1, IndependentRoutes: true}}},
		Zones: map[string]int{"a": 0}, Kinds: map[string]int{"k": 0, "r": 1}, Classes: map[string]int{"plain": 0, "keyed": 1, "once": 2},
		Tenants: map[string]int{"acme": 0}}
}

// Guards the memory on a long day: endpoints come under ever new ids, also at
// the address of one that has gone, and what has gone is forgotten. A new id
// inherits nothing there; one that is told to wait keeps that while it is away.
func TestForgetsReplacedEndpoints(t *testing.T) {
	r := testCore(t)
	up := func(i int) Member {
		return Member{ID: fmt.Sprintf("s-%d", i), HostPort: fmt.Sprintf("127.0.0.1:%d", 7000+i%3), Dest: i % 3, Phase: Up, Rate: 5}
	}
	news := func(kind policy.ListUpdateKind, members ...Member) []Effect {
		return r.Step(r.now, []Event{EndpointListUpdated{Kind: kind, List: &EndpointList{Members: members}}}, nil)
	}
	homes := map[policy.EndpointID]string{} // as a driver has them
	carry := func(fx []Effect) {
		for _, e := range fx {
			switch e := e.(type) {
			case OpenEndpoint:
				homes[e.Endpoint] = e.Address
			case CloseEndpoint:
				homes[e.Endpoint] = ""
			case ForgetEndpoint:
				delete(homes, e.Endpoint)
			}
		}
	}
	carry(news(policy.ListFull, up(0), up(1), up(2)))
	waits := r.endpoints.byID["s-1"]
	waits.retryAfter = r.now + policy.Time(1800e6)
	most := 0
	for i := 3; i < 3000; i++ {
		old := r.endpoints.byID[up(i-3).ID]
		leaves := up(i - 3)
		leaves.Phase = Removed
		carry(news(policy.ListDelta, leaves, up(i)))
		fresh := r.endpoints.byID[up(i).ID]
		if fresh.number == old.number || homes[old.number] != "" || homes[fresh.number] != up(i).HostPort {
			t.Fatalf("%s inherits from %s: %v", fresh.id, old.id, homes)
		}
		r.now += 1e6
		most = max(most, len(r.endpoints.all), len(homes))
	}
	if most > 20 || len(r.endpoints.byNumber) != len(r.endpoints.all) || len(r.endpoints.byID) != len(r.endpoints.all) {
		t.Errorf("%d endpoints kept, %d by number", most, len(r.endpoints.byNumber))
	}
	if len(r.knownDestinations) != 3 {
		t.Errorf("%d destinations named", len(r.knownDestinations))
	}
	if r.endpoints.byID["s-1"] != nil {
		t.Error("kept though its wait is over")
	}
}

// Guards against destinations that do not exist: each would be held in vain,
// and kept by the policy for good. One whose endpoints have all gone for now
// is known, and where no list was ever heard nothing can be said.
func TestUnknownDestinations(t *testing.T) {
	r := testCore(t)
	put := func(id string, dest int) string {
		q := &Request{Record: &Record{ID: id, Class: "plain", Dest: dest, Deadline: r.wallTime(20e6)}}
		for _, e := range r.Observe(r.now, []Event{Submitted{Request: q}}, nil) {
			if e, ok := e.(SendReply); ok && e.Request == q {
				return fmt.Sprint(e.Reply.Err)
			}
		}
		return "held"
	}
	if s := put("early", 5); s != "held" {
		t.Errorf("before any list: %q", s)
	}
	m := Member{ID: "s-1", HostPort: "127.0.0.1:7000", Dest: 1, Phase: Up, Rate: 5}
	r.applyList(&EndpointList{Complete: true, Members: []Member{m}}, policy.ListFull)
	m.Phase = Removed
	r.applyList(&EndpointList{Members: []Member{m}}, policy.ListDelta)
	if s := put("known", 1); s != "held" {
		t.Errorf("gone for now: %q", s)
	}
	held := r.messages.held
	for i := range 1000 {
		if s := put(fmt.Sprint("m", i), 2+i); !strings.HasPrefix(s, "dest: no list names") {
			t.Fatalf("unknown: %q", s)
		}
	}
	if r.messages.held != held || len(r.messages.byID) != held {
		t.Errorf("%d held, want %d", r.messages.held, held)
	}
}

// Guards against connections that died in silence: after a machine was away,
// what is idle to it is given up; one slow call among others is no reason.
func TestSuspectsIdleConnections(t *testing.T) {
	ep := &endpointState{}
	for i, x := range []struct {
		o    Result
		now  policy.Time
		want bool
	}{
		{Result{Outcome: policy.Delivered, Status: 200, Elapsed: 10}, 1000, false},
		{Result{Outcome: policy.TimedOut, Elapsed: 500}, 1100, false}, // it was sent at 600, and 1000 was answered
		{Result{Outcome: policy.TimedOut, Elapsed: 500}, 2000, true},
		{Result{Outcome: policy.ConnectionReset}, 2100, true},
		{Result{Outcome: policy.ConnectFailed}, 2200, true},
		{Result{Outcome: policy.Rejected, Status: 503}, 2300, false},
		{Result{Outcome: policy.Cancelled, Elapsed: 50}, 2320, false},
	} {
		if got := ep.suspectsIdleConnections(&x.o, x.now); got != x.want {
			t.Errorf("%d: %v", i, got)
		}
	}
}
