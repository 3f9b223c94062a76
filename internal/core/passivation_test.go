package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"troutusher/internal/idlestore"
	"troutusher/policy"
)

// passivatingCore is a core like testCore's whose destinations are passivated.
func passivatingCore(t testing.TB, limits idlestore.Limits) *Core {
	t.Helper()
	settings := testSettings()
	settings.Passivation = limits
	return newTestCore(t, settings)
}

// newPassiveSimulation is a simulation whose destinations are passivated as soon as they
// may be, with Retry-Afters that last longer than that.
func newPassiveSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	sim := newSimulation(t, seed)
	sim.core = passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 10e6})
	sim.flavors, sim.longStepOdds = []string{"k", "r"}, 12
	sim.driver = newCallDriver(sim)
	sim.driver.extraWait = 45e6
	sim.logModel = newLogModel()
	return sim
}

// testMembers are one endpoint each of so many destinations.
func testMembers(count int) (members []Member) {
	for i := range count {
		members = append(members, testMember(i, i, "k"))
	}
	return members
}

// With destinations that are passive between any two of their messages: log, reply, send
// as ever; no byte before a Retry-After that was told before, to an endpoint that has left
// meanwhile, or to another destination; the same effects for the same events; and the
// same across handovers, which take each destination along.
func TestPassivationKeepsInvariants(t *testing.T) {
	passivated, sent, blocked, activated := 0, 0, 0, 0
	for seed := range uint64(150) {
		play := func() *simulation {
			sim := newPassiveSimulation(t, seed)
			for turn := range 3 {
				sim.playFrom(turn*150, 150)
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
						sim.failf("destination %d was known: %v", dest, before[dest])
					}
				}
			}
			return sim
		}
		sim := play()
		passivated += sim.passivated
		sent += sim.driver.sent
		blocked += sim.driver.blocked
		if sim.passivated > 0 && seed%10 == 0 {
			if a, b := sim.trace.String(), play().trace.String(); a != b {
				t.Fatalf("seed %d differs", seed)
			}
		}
		activated += int(sim.core.endpoints.lastNumber) - 6
	}
	if passivated < 1500 || sent < 3000 || blocked < 100 || activated < 1000 {
		t.Errorf("too little was tried: %d passivated, %d sent, %d blocked, %d endpoints activated",
			passivated, sent, blocked, activated)
	}
}

// deliverOne submits a message and returns when and where it was sent; its call ends
// with a result.
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

// coreWithRetryAfters is a core with destinations 1 to 3, the routes of 2 independent.
// A minute ago 1 told a Retry-After of 100 s, and the only route of 2 one of 90 s.
func coreWithRetryAfters(t *testing.T) (*Core, policy.Time) {
	t.Helper()
	c := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
	now := policy.Time(3600e6)
	members := []Member{testMember(3, 3, "k"), testMember(1, 1, "k"), testMember(2, 2, "r")}
	c.Step(now, []Event{listEvent(policy.ListFull, members...)}, nil)
	if n, _ := c.PassiveDestinations(); n != 2 { // all but the first begin passive
		t.Fatalf("%d are passive from the start", n)
	}
	deliverOne(t, c, now, now+1e6, "a", 1, rejected(100e6))
	deliverOne(t, c, now, now+1e6, "b", 2, rejected(90e6))
	for at := now + 2e6; at < now+60e6; at += 1e6 {
		c.Step(at, nil, nil)
	}
	if !c.isPassive(3) { // which nobody sent to
		t.Fatal("none is passive")
	}
	return c, now
}

// A destination with a Retry-After is not passivated before that is over, and it binds:
// whether its endpoints leave and come back, others join, or the relay is restarted or
// upgraded. Then the destination is passivated.
func TestRetryAfterOutlastsPassivation(t *testing.T) {
	list := func(members ...Member) []Event { return []Event{listEvent(policy.ListFull, members...)} }
	for name, meanwhile := range map[string]func(c *Core, now policy.Time){
		"nothing": func(*Core, policy.Time) {},
		"all leave and come back": func(c *Core, now policy.Time) {
			c.Step(now, list(testMember(3, 3, "k")), nil)
			c.Step(now+1e6, list(testMember(2, 2, "r"), testMember(1, 1, "k"), testMember(3, 3, "k")), nil)
		},
		"one joins": func(c *Core, now policy.Time) {
			c.Step(now, []Event{listEvent(policy.ListDelta, testMember(9, 1, "k"))}, nil)
		},
		"a restart": func(c *Core, now policy.Time) {
			snapshot := &StateSnapshot{}
			roundTrip(t, c.SnapshotState(now), snapshot)
			if !snapshot.Partial || snapshot.EndpointList().Complete {
				t.Error("a list without the passive destinations is complete")
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
		for _, dest := range []int{2, 1} { // 1 after the end of the Retry-After of 2
			end := began + map[int]policy.Time{1: 100e6, 2: 90e6}[dest]
			at, _, _ := deliverOne(t, c, began+65e6, began+120e6, fmt.Sprint("late", dest), dest, deliveredResult)
			if at < end || at > end+3e6 {
				t.Errorf("%s: %d is sent to %.1f s after its Retry-After", name, dest, float64(at-end)/1e6)
			}
		}
		for at := began + 130e6; at < began+200e6; at += 1e6 {
			c.Step(at, nil, nil)
		}
		if n := c.passivation.active.Len(); n != 1 || len(c.retryAfter) > 1 {
			t.Errorf("%s: in the end %d are active, %d Retry-Afters are kept", name, n, len(c.retryAfter))
		}
	}
}

// A passive endpoint under the same id and address is what it was; elsewhere, or under
// another id, nothing is inherited but the destination's own Retry-After.
func TestMovedEndpointInheritsNothing(t *testing.T) {
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
		t.Fatalf("%d are passive", n)
	}
	// A restart knows of all three: they were unhealthy.
	snapshot := &StateSnapshot{}
	roundTrip(t, c.SnapshotState(now+60e6), snapshot)
	next := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
	next.Observe(now+60e6, list, nil)
	next.RestoreState(now+60e6, snapshot, 0, nil)
	if _, avoided := next.ListedEndpoints(); avoided != 3 {
		t.Errorf("after a restart %d are avoided", avoided)
	}
	moved, swapped := testMember(2, 2, "k"), testMember(8, 3, "k")
	moved.HostPort, swapped.HostPort = "127.0.0.1:1", testMember(3, 3, "k").HostPort
	gone := testMember(3, 3, "k")
	gone.Phase = Removed
	c.Step(now+60e6, []Event{listEvent(policy.ListDelta, moved, gone, swapped)}, nil)
	for dest, want := range map[int]bool{1: true, 2: false, 3: false} {
		c.activate(dest)
		c.runPolicy()
		for _, endpoint := range c.endpoints.all {
			if endpoint.dest == dest && endpoint.listed && c.policy.Avoids(endpoint.number, c.now) != want {
				t.Errorf("destination %d: avoided %v, want %v", dest, !want, want)
			}
		}
	}
}

// A message that is owed activates its destination; a Retry-After that only the core
// knows keeps one active.
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
		t.Error("what is owed to a passive destination is not sent")
	}
	c = passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
	c.Step(now, []Event{listEvent(policy.ListFull, testMember(1, 1, "k"))}, nil)
	c.retryAfter[1] = now + 100e6
	deliverOne(t, c, now+1e6, now+2e6, "m", 2, deliveredResult) // it has no endpoint; the other one is active
	c.ensureActive(3)
	for at := now + 2e6; at < now+90e6; at += 1e6 {
		if c.Step(at, nil, nil); c.isPassive(1) {
			t.Fatalf("it is passive %d s before its Retry-After", (now+100e6-at)/1e6)
		}
	}
	for at := now + 90e6; at < now+200e6 && !c.isPassive(1); at += 1e6 {
		if c.Step(at, nil, nil); at == now+101e6 {
			c.ensureActive(3)
		}
	}
	if !c.isPassive(1) || len(c.retryAfter) > 0 {
		t.Error("it is never passive, or its Retry-After is kept")
	}
}

// Lists of any kind leave the same endpoints known, whichever destinations are passive:
// under each id one, where the list last had it, draining or not.
func TestListUpdatesReachPassiveDestinations(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 9))
		c := passivatingCore(t, idlestore.Limits{MaxActive: 5, IdleTimeout: 10e6})
		if seed%2 == 0 {
			c.listBatchSize = 1 + rng.IntN(6) // and messages come between two batches
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
			if rng.IntN(2) == 0 { // a destination is activated
				deliverOne(t, c, now, now+1e6, fmt.Sprint("m", i), rng.IntN(30), deliveredResult)
				now += 1e6
			}
			if c.listBatchSize < 10 && rng.IntN(3) > 0 && i < 119 {
				continue // the next list comes before the rest of this one is applied
			}
			got := map[string]Member{}
			for _, m := range c.ExportHandover(now).Members {
				if _, twice := got[m.ID]; twice {
					t.Fatalf("seed %d, list %d: %s is known twice", seed, i, m.ID)
				}
				got[m.ID] = m.Member
			}
			up := 0
			for id, m := range want {
				if _, ok := got[id]; m.Phase == Draining && !ok {
					continue // an active destination does not remember it for long
				}
				up++
				if got[id] != m {
					t.Fatalf("seed %d, list %d: %s is %+v, want %+v", seed, i, id, got[id], m)
				}
				if endpoint := c.endpoints.byID[id]; endpoint != nil && c.isPassive(endpoint.dest) {
					t.Fatalf("seed %d, list %d: %s of the passive destination %d is active", seed, i, id, endpoint.dest)
				}
			}
			if listed, _ := c.ListedEndpoints(); len(got) != up || listed != up {
				t.Fatalf("seed %d, list %d: %d known and %d listed, want %d", seed, i, len(got), listed, up)
			}
		}
	}
}

// Of a long list what concerns active destinations is applied at once, however late it
// stands there; an endpoint that is activated while the rest is applied, and that the
// list does not name, has left.
func TestLongListInBatches(t *testing.T) {
	c := passivatingCore(t, idlestore.Limits{MaxActive: 2, IdleTimeout: 10e6})
	now := policy.Time(3600e6)
	all := testMembers(60)
	c.Step(now, []Event{listEvent(policy.ListFull, all...)}, nil)
	c.listBatchSize = 1
	gone, drains := all[0], all[1]
	gone.Phase, drains.Phase = Removed, Draining
	c.Step(now, []Event{listEvent(policy.ListDelta, append(slices.Clone(all[2:]), gone, drains)...)}, nil)
	for _, id := range []string{"s-0", "s-1"} {
		if endpoint := c.endpoints.byID[id]; !endpoint.retired {
			t.Errorf("%s is not retired after the first batch", id)
		}
	}
	c.finishListUpdate()
	effects := c.Step(now, []Event{listEvent(policy.ListFull, all[:50]...)}, nil) // 55 has left
	if c.listUpdate == nil || !slices.ContainsFunc(effects, is[StepAgain, Effect]) {
		t.Fatal("it is applied whole, or no step is asked for the rest")
	}
	c.activate(55)
	for _, dest := range []int{45, 46, 47} { // so that the first ones could be passivated meanwhile
		c.activate(dest)
	}
	for at := now; c.listUpdate != nil; at += 1e6 {
		c.Step(at, nil, nil)
	}
	c.runPolicy()
	for id, want := range map[string]bool{"s-55": false, "s-45": true} {
		endpoint := c.endpoints.byID[id]
		if (endpoint != nil && endpoint.listed || endpoint == nil && c.isPassive(45)) != want {
			t.Errorf("%s is listed: %v", id, !want)
		}
	}
	if listed, _ := c.ListedEndpoints(); listed != 50 {
		t.Errorf("%d are listed, want 50", listed)
	}
}

// A destination whose endpoints have all left while it was passive is known for half an
// hour, and then forgotten; nothing of it is left.
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
		t.Error("rejected at once")
	}
	for at := now + 1e6; at < now+1900e6; at += 10e6 {
		c.Step(at, []Event{listEvent(policy.ListDelta)}, nil)
	}
	if accepted(now+1900e6, "late", 151) {
		t.Error("known for good")
	}
	passive, _ := c.PassiveDestinations()
	known, departed := len(c.knownDestinations), len(c.passivation.departed)
	if passive > 3 || known > 3 || departed > 3 {
		t.Errorf("%d are passive, %d are known, %d wait to be forgotten", passive, known, departed)
	}
}
