package core

import (
	"fmt"
	"strings"
	"testing"

	"troutusher/policy"
)

// TestForgetsReplacedEndpoints guards against memory that grows when endpoints keep coming with new
// IDs, also at the address of an endpoint that has left. Endpoints that have left must be forgotten.
// A new ID must inherit nothing from the endpoint that had its address before. An endpoint with a
// Retry-After must be kept until its end.
func TestForgetsReplacedEndpoints(t *testing.T) {
	c := testCore(t)
	up := func(i int) Member {
		addr := fmt.Sprintf("127.0.0.1:%d", 7000+i%3)
		return Member{ID: fmt.Sprintf("s-%d", i), HostPort: addr, Dest: i % 3, Phase: Up, Rate: 5}
	}
	update := func(kind policy.ListUpdateKind, members ...Member) []Effect {
		return c.Step(c.now, []Event{listEvent(kind, members...)}, nil)
	}
	addresses := map[policy.EndpointID]string{} // as a driver keeps them; "" if closed
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
			t.Fatalf("endpoint %s inherits from %s, whose address it has; the driver's addresses are %v",
				fresh.id, old.id, addresses)
		}
		c.now += 1e6
		most = max(most, len(c.endpoints.all), len(addresses))
	}
	if most > 20 || len(c.endpoints.byNumber) != len(c.endpoints.all) || len(c.endpoints.byID) != len(c.endpoints.all) {
		t.Errorf("the core or driver kept up to %d endpoints, want at most 20; byNumber, byID and all have %d, %d, %d "+
			"entries, want equal numbers", most, len(c.endpoints.byNumber), len(c.endpoints.byID), len(c.endpoints.all))
	}
	if len(c.knownDestinations) != 3 {
		t.Errorf("len(knownDestinations) = %d, want 3", len(c.knownDestinations))
	}
	if c.endpoints.byID["s-1"] != nil {
		t.Error("endpoint s-1 is still kept after the end of its Retry-After, want it forgotten")
	}
}

// TestUnknownDestinations guards against messages for destinations that do not exist: the core would
// hold each message until its deadline, and the policy would keep each destination forever. A
// destination whose endpoints have all left still counts as known. Before the first list no
// destination can be rejected as unknown.
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
		t.Errorf("submit(early, 5) before any list = %q, want held", s)
	}
	m := Member{ID: "s-1", HostPort: "127.0.0.1:7000", Dest: 1, Phase: Up, Rate: 5}
	c.applyList(&EndpointList{Complete: true, Members: []Member{m}}, policy.ListFull)
	m.Phase = Removed
	c.applyList(&EndpointList{Members: []Member{m}}, policy.ListDelta)
	if s := submit("known", 1); s != "held" {
		t.Errorf("submit(known, 1) after its last endpoint left = %q, want held", s)
	}
	held := c.messages.held
	for i := range 1000 {
		if s := submit(fmt.Sprint("m", i), 2+i); !strings.HasPrefix(s, "dest: no list names") {
			t.Fatalf("submit(m%d, %d) = %q, want an error that begins with %q", i, 2+i, s, "dest: no list names")
		}
	}
	if c.messages.held != held || len(c.messages.byID) != held {
		t.Errorf("after unknown destinations messages.held = %d and len(messages.byID) = %d, want %d",
			c.messages.held, len(c.messages.byID), held)
	}
}

// TestSuspectsIdleConnections guards against calls on idle connections that broke unnoticed while a
// machine was unreachable: such connections must be closed. A single slow call, while others got
// responses, is no reason to close them.
func TestSuspectsIdleConnections(t *testing.T) {
	endpoint := &endpointState{}
	for i, test := range []struct {
		result Result
		now    policy.Time
		want   bool
	}{
		{Result{Outcome: policy.Delivered, Status: 200, Elapsed: 10}, 1000, false},
		// The call was sent at 600, and another one got a response at 1000.
		{Result{Outcome: policy.TimedOut, Elapsed: 500}, 1100, false},
		{Result{Outcome: policy.TimedOut, Elapsed: 500}, 2000, true},
		{Result{Outcome: policy.ConnectionReset}, 2100, true},
		{Result{Outcome: policy.ConnectFailed}, 2200, true},
		{Result{Outcome: policy.Rejected, Status: 503}, 2300, false},
		{Result{Outcome: policy.Cancelled, Elapsed: 50}, 2320, false},
	} {
		if got := endpoint.suspectsIdleConnections(&test.result, test.now); got != test.want {
			t.Errorf("case %d: suspectsIdleConnections(%+v, %d) = %v, want %v",
				i, test.result, test.now, got, test.want)
		}
	}
}
