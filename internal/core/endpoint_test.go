package core

import (
	"fmt"
	"strings"
	"testing"

	"troutusher/policy"
)

// Guards the memory on a long day: endpoints come under ever new ids, also at the address
// of one that has left, and those that have left are forgotten. A new id inherits nothing
// there; one with a Retry-After keeps that while it is away.
func TestForgetsReplacedEndpoints(t *testing.T) {
	c := testCore(t)
	up := func(i int) Member {
		addr := fmt.Sprintf("127.0.0.1:%d", 7000+i%3)
		return Member{ID: fmt.Sprintf("s-%d", i), HostPort: addr, Dest: i % 3, Phase: Up, Rate: 5}
	}
	update := func(kind policy.ListUpdateKind, members ...Member) []Effect {
		return c.Step(c.now, []Event{listEvent(kind, members...)}, nil)
	}
	addresses := map[policy.EndpointID]string{} // as a driver has them
	execute := func(effects []Effect) {
		for _, e := range effects {
			switch e := e.(type) {
			case OpenEndpoint:
				addresses[e.Endpoint] = e.Address
			case CloseEndpoint:
				addresses[e.Endpoint] = ""
			case ForgetEndpoint:
				delete(addresses, e.Endpoint)
			}
		}
	}
	execute(update(policy.ListFull, up(0), up(1), up(2)))
	c.endpoints.byID["s-1"].retryAfter = c.now + policy.Time(1800e6)
	most := 0
	for i := 3; i < 3000; i++ {
		old := c.endpoints.byID[up(i-3).ID]
		leaves := up(i - 3)
		leaves.Phase = Removed
		execute(update(policy.ListDelta, leaves, up(i)))
		fresh := c.endpoints.byID[up(i).ID]
		if fresh.number == old.number || addresses[old.number] != "" || addresses[fresh.number] != up(i).HostPort {
			t.Fatalf("%s inherits from %s: %v", fresh.id, old.id, addresses)
		}
		c.now += 1e6
		most = max(most, len(c.endpoints.all), len(addresses))
	}
	if most > 20 || len(c.endpoints.byNumber) != len(c.endpoints.all) || len(c.endpoints.byID) != len(c.endpoints.all) {
		t.Errorf("%d endpoints kept, %d by number", most, len(c.endpoints.byNumber))
	}
	if len(c.knownDestinations) != 3 {
		t.Errorf("%d destinations known", len(c.knownDestinations))
	}
	if c.endpoints.byID["s-1"] != nil {
		t.Error("kept though its Retry-After is over")
	}
}

// Guards against destinations that do not exist: each message would be held in vain, and
// each destination kept by the policy for good. One whose endpoints have all left for now
// is known, and where no list was ever heard nothing can be said.
func TestUnknownDestinations(t *testing.T) {
	c := testCore(t)
	submit := func(id string, dest int) string {
		request := &Request{Record: &Record{ID: id, Class: "plain", Dest: dest, Deadline: c.wallTime(20e6)}}
		for _, e := range c.Observe(c.now, []Event{Submitted{Request: request}}, nil) {
			if e, ok := e.(SendReply); ok && e.Request == request {
				return fmt.Sprint(e.Reply.Err)
			}
		}
		return "held"
	}
	if s := submit("early", 5); s != "held" {
		t.Errorf("before any list: %q", s)
	}
	m := Member{ID: "s-1", HostPort: "127.0.0.1:7000", Dest: 1, Phase: Up, Rate: 5}
	c.applyList(&EndpointList{Complete: true, Members: []Member{m}}, policy.ListFull)
	m.Phase = Removed
	c.applyList(&EndpointList{Members: []Member{m}}, policy.ListDelta)
	if s := submit("known", 1); s != "held" {
		t.Errorf("gone for now: %q", s)
	}
	held := c.messages.held
	for i := range 1000 {
		if s := submit(fmt.Sprint("m", i), 2+i); !strings.HasPrefix(s, "dest: no list names") {
			t.Fatalf("unknown: %q", s)
		}
	}
	if c.messages.held != held || len(c.messages.byID) != held {
		t.Errorf("%d held, want %d", c.messages.held, held)
	}
}

// Guards against connections that died in silence: after a machine was away, the idle
// connections to it are closed; one slow call among others is no reason.
func TestSuspectsIdleConnections(t *testing.T) {
	endpoint := &endpointState{}
	for i, test := range []struct {
		result Result
		now    policy.Time
		want   bool
	}{
		{Result{Outcome: policy.Delivered, Status: 200, Elapsed: 10}, 1000, false},
		// It was sent at 600, and there was a response at 1000.
		{Result{Outcome: policy.TimedOut, Elapsed: 500}, 1100, false},
		{Result{Outcome: policy.TimedOut, Elapsed: 500}, 2000, true},
		{Result{Outcome: policy.ConnectionReset}, 2100, true},
		{Result{Outcome: policy.ConnectFailed}, 2200, true},
		{Result{Outcome: policy.Rejected, Status: 503}, 2300, false},
		{Result{Outcome: policy.Cancelled, Elapsed: 50}, 2320, false},
	} {
		if got := endpoint.suspectsIdleConnections(&test.result, test.now); got != test.want {
			t.Errorf("%d: %v", i, got)
		}
	}
}
