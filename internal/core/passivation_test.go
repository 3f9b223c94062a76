package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"troutusher/internal/idlestore"
	"troutusher/policy"
)

// passivatingCore returns a core like testCore, but with passivation of idle destinations.
func passivatingCore(t testing.TB, limits idlestore.Limits) *Core {
	t.Helper()
	settings := testSettings()
	settings.Passivation = limits
	return newTestCore(t, settings)
}

// newPassiveSimulation returns a simulation that passivates destinations as soon as the limits
// permit it. Some of its Retry-Afters last longer than the idle timeout.
func newPassiveSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	sim := newSimulation(t, seed)
	sim.core = passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 10e6})
	sim.flavors, sim.longStepOdds = []string{"k", "r"}, 12
	sim.driver = newCallDriver(sim)
	sim.driver.extraRetryAfter = 45e6
	sim.logModel = newLogModel()
	return sim
}

// testMembers returns one endpoint for each of count destinations.
func testMembers(count int) (members []Member) {
	for i := range count {
		members = append(members, testMember(i, i, "k"))
	}
	return members
}

// TestPassivationKeepsInvariants guards against invariants that break when destinations are
// passivated between their messages, also across hand-overs:
//   - A message is logged, then acknowledged, then sent.
//   - Nothing is sent before the end of a Retry-After that was received before the passivation, to
//     an endpoint that has left since, or to another destination.
//   - The same events give the same effects.
//   - The successor of a hand-over knows the same destinations.
func TestPassivationKeepsInvariants(t *testing.T) {
	passivated, sent, blocked, activated := 0, 0, 0, 0
	for seed := range uint64(150) {
		run := func() *simulation {
			sim := newPassiveSimulation(t, seed)
			for turn := range 3 {
				sim.runFrom(turn*150, 150)
				if turn == 2 {
					break
				}
				var before [3]bool
				for dest := range before {
					before[dest] = sim.core.knowsDestination(dest)
				}
				sim.handOverWithDriver(sim.logModel)
				for dest := range before {
					if sim.core.knowsDestination(dest) != before[dest] {
						sim.failf("after a hand-over knowsDestination(%d) = %v, want %v",
							dest, !before[dest], before[dest])
					}
				}
			}
			return sim
		}
		sim := run()
		passivated += sim.passivated
		sent += sim.driver.callsSent
		blocked += sim.driver.callsBlocked
		if sim.passivated > 0 && seed%10 == 0 {
			if a, b := sim.trace.String(), run().trace.String(); a != b {
				t.Fatalf("two runs with seed %d have different traces, want the same", seed)
			}
		}
		activated += int(sim.core.endpoints.lastNumber) - 6
	}
	if passivated < 1500 || sent < 3000 || blocked < 100 || activated < 1000 {
		t.Errorf("the test is too weak: %d destinations passivated, %d calls sent, %d calls blocked, "+
			"%d endpoints activated; want at least 1500, 3000, 100, 1000",
			passivated, sent, blocked, activated)
	}
}

// deliverOne submits a message and steps the core until the call of the message has ended with a
// result, or until a time. It returns the time and the endpoint of the first call, zero if there was
// none, and all effects.
func deliverOne(
	t *testing.T, c *Core, from, until policy.Time, id string, dest int, result *Result,
) (at policy.Time, number policy.EndpointID, effects []Effect) {
	t.Helper()
	record := plainRecord(id, dest, c.wallTime(until))
	events := []Event{submission(record)}
	for now := from; now < until; now += 20e3 {
		got := c.Step(now, events, nil)
		effects, events = append(effects, got...), nil
		for _, e := range got {
			switch e := e.(type) {
			case SendReply:
				if !e.Reply.OK {
					return 0, 0, effects
				}
			case AppendThenReply:
				events = append(events, ReplyDelivered{Request: e.Request, OK: true})
			case AppendThenSend:
				if at == 0 {
					at, number = now, e.Call.Endpoint
				}
				events = append(events, AttemptFinished{Call: e.Call, Result: result})
			}
		}
		if at > 0 && len(events) == 0 {
			return at, number, effects
		}
	}
	return at, number, effects
}

var deliveredResult = delivered(1000)

// coreWithRetryAfters returns a core with destinations 1 to 3 and the time at which the list arrived.
// The routes of destination 2 are independent. Since then a minute has passed: at its start
// destination 1 answered with a Retry-After of 100 s, and the only endpoint of destination 2 with one
// of 90 s.
func coreWithRetryAfters(t *testing.T) (*Core, policy.Time) {
	t.Helper()
	c := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
	now := policy.Time(3600e6)
	members := []Member{testMember(3, 3, "k"), testMember(1, 1, "k"), testMember(2, 2, "r")}
	c.Step(now, []Event{listEvent(policy.ListFull, members...)}, nil)
	if n, _ := c.PassiveDestinations(); n != 2 { // MaxActive is 1: all but the first start as passive
		t.Fatalf("PassiveDestinations() = %d after the first list, want 2", n)
	}
	deliverOne(t, c, now, now+1e6, "a", 1, rejected(100e6))
	deliverOne(t, c, now, now+1e6, "b", 2, rejected(90e6))
	for at := now + 2e6; at < now+60e6; at += 1e6 {
		c.Step(at, nil, nil)
	}
	if !c.isPassive(3) { // no message was sent to it
		t.Fatal("isPassive(3) = false, want true")
	}
	return c, now
}

// TestRetryAfterOutlastsPassivation guards against a Retry-After that is lost with the passivation of
// its destination. The Retry-After must hold until its end while endpoints leave, come back or join
// and while the relay is restarted or upgraded. The destination must be passivated afterwards.
func TestRetryAfterOutlastsPassivation(t *testing.T) {
	list := func(members ...Member) []Event { return []Event{listEvent(policy.ListFull, members...)} }
	for name, meanwhile := range map[string]func(c *Core, now policy.Time){
		"no event": func(*Core, policy.Time) {},
		"all endpoints leave and come back": func(c *Core, now policy.Time) {
			c.Step(now, list(testMember(3, 3, "k")), nil)
			c.Step(now+1e6, list(testMember(2, 2, "r"), testMember(1, 1, "k"), testMember(3, 3, "k")), nil)
		},
		"an endpoint joins": func(c *Core, now policy.Time) {
			c.Step(now, []Event{listEvent(policy.ListDelta, testMember(9, 1, "k"))}, nil)
		},
		"a restart": func(c *Core, now policy.Time) {
			snapshot := &StateSnapshot{}
			roundTrip(t, c.SnapshotState(now), snapshot)
			if !snapshot.Partial || snapshot.EndpointList().Complete {
				t.Errorf("without the passive destinations Partial = %v and EndpointList().Complete = %v, "+
					"want true and false", snapshot.Partial, snapshot.EndpointList().Complete)
			}
			next := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
			next.Observe(now, list(testMember(3, 3, "k"), testMember(2, 2, "r"), testMember(1, 1, "k")), nil)
			next.RestoreState(now, snapshot, 0, nil)
			*c = *next
		},
		"an upgrade": func(c *Core, now policy.Time) {
			state := &HandoverState{}
			roundTrip(t, c.ExportHandover(now), state)
			next := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
			next.RecoverMessages(now, nil, state, 0, nil)
			*c = *next
		},
	} {
		c, began := coreWithRetryAfters(t)
		meanwhile(c, began+62e6)
		for _, dest := range []int{2, 1} { // the Retry-After of 2 ends first
			end := began + map[int]policy.Time{1: 100e6, 2: 90e6}[dest]
			at, _, _ := deliverOne(t, c, began+65e6, began+120e6, fmt.Sprint("late", dest), dest, deliveredResult)
			if at < end || at > end+3e6 {
				t.Errorf("%s: first call to destination %d came %.1f s after the end of its Retry-After, want 0 to 3 s",
					name, dest, float64(at-end)/1e6)
			}
		}
		for at := began + 130e6; at < began+200e6; at += 1e6 {
			c.Step(at, nil, nil)
		}
		if n := c.passivation.active.Len(); n != 1 || len(c.retryAfter) > 1 {
			t.Errorf("%s: at the end %d destinations are active, want 1, and %d Retry-Afters are kept, want at most 1",
				name, n, len(c.retryAfter))
		}
	}
}

// TestPassiveOutageBelongsToDestination guards against health state that passes to the wrong endpoint
// through passivation, or to none. An endpoint that comes back with the same ID and address keeps its
// state. One with another ID or address takes over the outage of its destination, and one at another
// destination does not.
func TestPassiveOutageBelongsToDestination(t *testing.T) {
	c := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
	now := policy.Time(3600e6)
	list := []Event{listEvent(policy.ListFull,
		testMember(9, 9, "k"), testMember(1, 1, "k"), testMember(2, 2, "k"), testMember(3, 3, "k"))}
	c.Step(now, list, nil)
	for i := range 3 {
		at := now + policy.Time(i)*3e6
		deliverOne(t, c, at, at+1e6, fmt.Sprint("a", i), 1+i, &Result{Outcome: policy.ConnectFailed})
		deliverOne(t, c, at+2e6, at+3e6, fmt.Sprint("b", i), 1+i, &Result{Outcome: policy.ConnectFailed})
	}
	for at := now + 10e6; at < now+60e6; at += 1e6 {
		c.Step(at, nil, nil)
		if at == now+30e6 {
			deliverOne(t, c, at, at+1e6, "c", 9, deliveredResult)
		}
	}
	if n, _ := c.PassiveDestinations(); n < 3 || !c.isPassive(1) || !c.isPassive(2) || !c.isPassive(3) {
		t.Fatalf("PassiveDestinations() = %d, isPassive(1), (2), (3) = %v, %v, %v; want at least 3 and all true",
			n, c.isPassive(1), c.isPassive(2), c.isPassive(3))
	}
	// The snapshot holds all three destinations although they are passive, because their endpoints are
	// unhealthy.
	snapshot := &StateSnapshot{}
	roundTrip(t, c.SnapshotState(now+60e6), snapshot)
	next := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
	next.Observe(now+60e6, list, nil)
	next.RestoreState(now+60e6, snapshot, 0, nil)
	if _, avoided := next.ListedEndpoints(); avoided != 3 {
		t.Errorf("after a restart ListedEndpoints() = _, %d avoided, want 3", avoided)
	}
	moved, swapped, elsewhere := testMember(2, 2, "k"), testMember(8, 3, "k"), testMember(7, 4, "k")
	moved.HostPort, swapped.HostPort = "127.0.0.1:1", testMember(3, 3, "k").HostPort
	elsewhere.HostPort = testMember(2, 2, "k").HostPort
	removed := testMember(3, 3, "k")
	removed.Phase = Removed
	c.Step(now+60e6, []Event{listEvent(policy.ListDelta, moved, removed, swapped, elsewhere)}, nil)
	for dest, want := range map[int]bool{1: true, 2: true, 3: true, 4: false} {
		c.activate(dest)
		c.runPolicy()
		for _, endpoint := range c.endpoints.all {
			if endpoint.dest == dest && endpoint.listed && c.policy.Avoids(endpoint.number, c.now) != want {
				t.Errorf("Avoids(endpoint of destination %d) = %v, want %v", dest, !want, want)
			}
		}
	}
}

// TestOutageWithoutEndpointOutlastsPassivation guards against an outage that is forgotten because none of the
// destination's endpoints is listed when it becomes passive, also if the relay restarts or hands over then.
func TestOutageWithoutEndpointOutlastsPassivation(t *testing.T) {
	now := policy.Time(3600e6)
	limits := idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6}
	c := passivatingCore(t, limits)
	c.Step(now, []Event{listEvent(policy.ListFull, testMember(9, 9, "k"), testMember(1, 1, "k"))}, nil)
	for i := range 3 {
		at := now + policy.Time(i)*3e6
		deliverOne(t, c, at, at+1e6, fmt.Sprint("a", i), 1, &Result{Outcome: policy.ConnectFailed})
	}
	c.Step(now+10e6, []Event{listEvent(policy.ListFull, testMember(9, 9, "k"))}, nil)
	for at := now + 11e6; at < now+60e6; at += 1e6 {
		c.Step(at, nil, nil)
		if at == now+30e6 {
			deliverOne(t, c, at, at+1e6, "c", 9, deliveredResult)
		}
	}
	if !c.isPassive(1) {
		t.Fatal("isPassive(1) = false, want true")
	}
	now += 60e6
	restarted, successor := passivatingCore(t, limits), passivatingCore(t, limits)
	snapshot, handedOver := &StateSnapshot{}, &HandoverState{}
	roundTrip(t, c.SnapshotState(now), snapshot)
	restarted.Observe(now, []Event{listEvent(policy.ListFull, testMember(9, 9, "k"))}, nil)
	restarted.RestoreState(now, snapshot, 0, nil)
	roundTrip(t, c.ExportHandover(now), handedOver)
	successor.RecoverMessages(now, nil, handedOver, 0, nil)
	for name, core := range map[string]*Core{"same process": c, "restart": restarted, "hand-over": successor} {
		core.Step(now, []Event{listEvent(policy.ListDelta, testMember(2, 1, "k"))}, nil)
		core.activate(1)
		core.runPolicy()
		for _, endpoint := range core.endpoints.all {
			if endpoint.dest == 1 && endpoint.listed && !core.policy.Avoids(endpoint.number, now) {
				t.Errorf("%s: Avoids(new endpoint of destination 1) = false, want true", name)
			}
		}
		if !slices.ContainsFunc(core.endpoints.all, func(e *endpointState) bool { return e.dest == 1 && e.listed }) {
			t.Errorf("%s: destination 1 has no endpoint, want one", name)
		}
	}
}

// TestPendingDestinationsStayActive guards against passivation of destinations that are still needed:
// a recovered message must activate its destination, and a Retry-After that only the core knows, not
// the policy, must keep its destination active until it ends.
func TestPendingDestinationsStayActive(t *testing.T) {
	c := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
	now := policy.Time(3600e6)
	c.Observe(now, []Event{listEvent(policy.ListFull, testMember(1, 1, "k"), testMember(2, 2, "k"))}, nil)
	c.RecoverMessages(now, []*Record{plainRecord("owed", 2, c.wallTime(now+20e6))}, nil, 0, nil)
	sent := false
	for at := now; at < now+2e6; at += 20e3 {
		for _, e := range c.Step(at, nil, nil) {
			if e, ok := e.(AppendThenSend); ok {
				sent = sent || e.Call.Record.ID == "owed"
			}
		}
	}
	if !sent {
		t.Error("the recovered message for a passive destination was not sent within 2 s")
	}
	c = passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
	c.Step(now, []Event{listEvent(policy.ListFull, testMember(1, 1, "k"))}, nil)
	c.retryAfter[1] = now + 100e6
	deliverOne(t, c, now+1e6, now+2e6, "m", 2, deliveredResult) // destination 2 has no endpoint and 1 is active
	c.ensureActive(3)
	for at := now + 2e6; at < now+90e6; at += 1e6 {
		if c.Step(at, nil, nil); c.isPassive(1) {
			t.Fatalf("destination 1 was passivated %d s before the end of its Retry-After", (now+100e6-at)/1e6)
		}
	}
	for at := now + 90e6; at < now+200e6 && !c.isPassive(1); at += 1e6 {
		if c.Step(at, nil, nil); at == now+101e6 {
			c.ensureActive(3)
		}
	}
	if !c.isPassive(1) || len(c.retryAfter) > 0 {
		t.Errorf("after the Retry-After isPassive(1) = %v and %d Retry-Afters are kept, want true and 0",
			c.isPassive(1), len(c.retryAfter))
	}
}

// TestListUpdatesReachPassiveDestinations guards against list updates that miss endpoints of passive
// destinations. After full lists and deltas the core must know exactly the listed endpoints, one
// for each ID, with the address, destination and phase of the last update.
func TestListUpdatesReachPassiveDestinations(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 9))
		c := passivatingCore(t, idlestore.Limits{MaxActive: 5, IdleTimeout: 10e6})
		if seed%2 == 0 {
			c.listBatchSize = 1 + rng.IntN(6) // messages arrive between two batches
		}
		now := policy.Time(3600e6)
		want := map[string]Member{}
		for i := range 120 {
			list := &EndpointList{}
			kind := policy.ListDelta
			if i == 0 || rng.IntN(6) == 0 {
				kind, list.Complete = policy.ListFull, true
			}
			for range rng.IntN(40) {
				k := rng.IntN(60)
				m := testMember(k, (k+rng.IntN(8)/7)%30, "k")
				m.Phase = []string{Up, Up, Up, Draining, Removed}[rng.IntN(5)]
				if rng.IntN(10) == 0 {
					m.HostPort = fmt.Sprintf("127.0.0.1:%d", 9000+k)
				}
				if slices.ContainsFunc(list.Members, func(x Member) bool { return x.ID == m.ID }) {
					continue
				}
				list.Members = append(list.Members, m)
			}
			if list.Complete {
				clear(want)
			}
			for _, m := range list.Members {
				delete(want, m.ID)
				if m.Phase != Removed {
					want[m.ID] = m
				}
			}
			now += policy.Time(rng.IntN(15e6))
			c.Step(now, []Event{EndpointListUpdated{Kind: kind, List: list}}, nil)
			if rng.IntN(2) == 0 { // activate a destination
				deliverOne(t, c, now, now+1e6, fmt.Sprint("m", i), rng.IntN(30), deliveredResult)
				now += 1e6
			}
			if c.listBatchSize < 10 && rng.IntN(3) > 0 && i < 119 {
				continue // the next list arrives before the rest of this one has been applied
			}
			got := map[string]Member{}
			for _, m := range c.ExportHandover(now).Members {
				if _, twice := got[m.ID]; twice {
					t.Fatalf("seed %d, list %d: ExportHandover has endpoint %s twice, want once", seed, i, m.ID)
				}
				got[m.ID] = m.Member
			}
			wantCount := 0
			for id, m := range want {
				if _, ok := got[id]; m.Phase == Draining && !ok {
					continue // an active destination forgets a draining endpoint after a while
				}
				wantCount++
				if got[id] != m {
					t.Fatalf("seed %d, list %d: endpoint %s = %+v, want %+v", seed, i, id, got[id], m)
				}
				if endpoint := c.endpoints.byID[id]; endpoint != nil && c.isPassive(endpoint.dest) {
					t.Fatalf("seed %d, list %d: endpoint %s of passive destination %d is active, want it passive",
						seed, i, id, endpoint.dest)
				}
			}
			if listed, _ := c.ListedEndpoints(); len(got) != wantCount || listed != wantCount {
				t.Fatalf("seed %d, list %d: %d endpoints known and %d listed, want %d of each",
					seed, i, len(got), listed, wantCount)
			}
		}
	}
}

// TestLongListInBatches guards against a long list, applied in batches, that takes effect too late.
// Members of active destinations must be applied in the first step, wherever they stand in the list.
// An endpoint that is activated before the last batch and that the list does not name must count as
// removed.
func TestLongListInBatches(t *testing.T) {
	c := passivatingCore(t, idlestore.Limits{MaxActive: 2, IdleTimeout: 10e6})
	now := policy.Time(3600e6)
	all := testMembers(60)
	c.Step(now, []Event{listEvent(policy.ListFull, all...)}, nil)
	c.listBatchSize = 1
	removed, draining := all[0], all[1]
	removed.Phase, draining.Phase = Removed, Draining
	c.Step(now, []Event{listEvent(policy.ListDelta, append(slices.Clone(all[2:]), removed, draining)...)}, nil)
	for _, id := range []string{"s-0", "s-1"} {
		if endpoint := c.endpoints.byID[id]; !endpoint.retired {
			t.Errorf("after the first batch endpoint %s: retired = false, want true", id)
		}
	}
	c.finishListUpdate()
	effects := c.Step(now, []Event{listEvent(policy.ListFull, all[:50]...)}, nil) // endpoint 55 has left
	if c.listUpdate == nil || !slices.ContainsFunc(effects, is[StepAgain, Effect]) {
		t.Fatalf("after the first batch list pending = %v, StepAgain emitted = %v; want true, true",
			c.listUpdate != nil, slices.ContainsFunc(effects, is[StepAgain, Effect]))
	}
	c.activate(55)
	for _, dest := range []int{45, 46, 47} { // more than MaxActive, so that the first ones can be passivated
		c.activate(dest)
	}
	for at := now; c.listUpdate != nil; at += 1e6 {
		c.Step(at, nil, nil)
	}
	c.runPolicy()
	for id, want := range map[string]bool{"s-55": false, "s-45": true} {
		endpoint := c.endpoints.byID[id]
		if (endpoint != nil && endpoint.listed || endpoint == nil && c.isPassive(45)) != want {
			t.Errorf("endpoint %s: listed = %v, want %v", id, !want, want)
		}
	}
	if listed, _ := c.ListedEndpoints(); listed != 50 {
		t.Errorf("ListedEndpoints() = %d listed, want 50", listed)
	}
}

// TestForgetsDepartedDestinations guards against memory that grows with destinations whose endpoints
// have all left while they were passive. Messages for such a destination are accepted for half an
// hour; then the core forgets it completely.
func TestForgetsDepartedDestinations(t *testing.T) {
	c := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
	now := policy.Time(3600e6)
	all := testMembers(200)
	c.Step(now, []Event{listEvent(policy.ListFull, all...)}, nil)
	c.Step(now, []Event{listEvent(policy.ListFull, all[:2]...)}, nil)
	accepted := func(at policy.Time, id string, dest int) bool {
		event := submission(plainRecord(id, dest, c.wallTime(at+20e6)))
		for _, effect := range c.Step(at, []Event{event}, nil) {
			if e, ok := effect.(SendReply); ok && e.Request == event.Request {
				return false
			}
		}
		return true
	}
	if !accepted(now+1e6, "soon", 150) {
		t.Error("a message for a destination was rejected 1 s after its last endpoint left, want it accepted")
	}
	for at := now + 1e6; at < now+1900e6; at += 10e6 {
		c.Step(at, []Event{listEvent(policy.ListDelta)}, nil)
	}
	if accepted(now+1900e6, "late", 151) {
		t.Error("a message for a destination was accepted 1,900 s after its last endpoint left, want it rejected")
	}
	passive, _ := c.PassiveDestinations()
	known, departed := len(c.knownDestinations), len(c.passivation.departed)
	if passive > 3 || known > 3 || departed > 3 {
		t.Errorf("%d destinations are passive, %d known, %d departed; want at most 3 of each", passive, known, departed)
	}
}
