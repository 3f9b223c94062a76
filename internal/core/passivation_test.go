package core

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"troutusher/internal/idlestore"
	"troutusher/policy"
)

// passivatingCore is a core like testCore's, whose destinations rest as soon as they may.
func passivatingCore(t *testing.T, l idlestore.Limits) *Core {
	t.Helper()
	set := testCore(t).settings
	set.Passivation = l
	r, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// With destinations that rest between any two of their messages: log, answer,
// send as ever; no byte inside a wait that was told before the rest, at who has
// left in it, or at another destination; the same effects for the same events;
// and the same across hand-overs, where each is taken along.
func TestPassivationKeepsInvariants(t *testing.T) {
	rested, sent, kept, woken := 0, 0, 0, 0
	for seed := range uint64(150) {
		play := func() *simulation {
			w := newSimulation(t, seed)
			w.core = passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 10e6})
			w.flavors, w.longStepOdds = []string{"k", "r"}, 12
			w.driver = newCallDriver(w)
			w.driver.extraWait = 45e6
			b := &logModel{pending: map[string]*Record{}}
			w.logModel = b
			for turn := range 3 {
				w.playFrom(turn*150, 150)
				if turn == 2 {
					break
				}
				var before [3]bool
				for dest := range before {
					before[dest] = w.core.knowsDestination(dest)
				}
				w.handOverQuietly(b)
				for dest := range before {
					if w.core.knowsDestination(dest) != before[dest] {
						w.failf("destination %d was known: %v", dest, before[dest])
					}
				}
			}
			return w
		}
		w := play()
		rested += w.passivated
		sent += w.driver.sent
		kept += w.driver.blocked
		if w.passivated > 0 && seed%10 == 0 {
			if a, b := w.trace.String(), play().trace.String(); a != b {
				t.Fatalf("seed %d differs", seed)
			}
		}
		woken += int(w.core.endpoints.lastNumber) - 6
	}
	if rested < 1500 || sent < 3000 || kept < 100 || woken < 1000 {
		t.Errorf("too little was tried: %d put away, %d sent, %d kept back, %d endpoints anew", rested, sent, kept, woken)
	}
}

// handOverQuietly brings what is under way to rest first and hands over; what is
// out whole goes on.
func (w *simulation) handOverQuietly(b *logModel) (goesOn int) {
	w.core.BeginHandover()
	for _, c := range slices.Clone(w.driver.calls) {
		if c.step < 3 {
			w.driver.finishCall(c, &Result{Outcome: policy.NotSent})
		}
	}
	w.drainQueue()
	shift := policy.Time(w.rng.Int64N(2e9)) - 1e9
	d := newCallDriver(w)
	for name, until := range w.driver.retryAfterOf {
		d.retryAfterOf[name] = until + shift
	}
	d.sent, d.blocked, d.extraWait, d.tellingScopes = w.driver.sent, w.driver.blocked, w.driver.extraWait, w.driver.tellingScopes
	w.driver = d
	return w.handOver(b, shift)
}

// deliverOne has one message be handed in, and tells when and where it was sent within
// a span; the call is answered by o.
func deliverOne(t *testing.T, r *Core, from, until policy.Time, id string, dest int, o *Result) (at policy.Time, ep policy.EndpointID, fx []Effect) {
	t.Helper()
	rec := &Record{Kind: RecordAccepted, ID: id, Class: "plain", Dest: dest, Deadline: r.wallTime(until)}
	events := []Event{Submitted{Request: &Request{Class: 0, Tenant: -1, Record: rec}}}
	for now := from; now < until; now += 20e3 {
		got := r.Step(now, events, nil)
		fx, events = append(fx, got...), nil
		for _, e := range got {
			switch e := e.(type) {
			case SendReply:
				if !e.Reply.OK {
					return 0, 0, fx
				}
			case AppendThenReply:
				events = append(events, ReplyDelivered{Request: e.Request, OK: true})
			case AppendThenSend:
				if at == 0 {
					at, ep = now, e.Call.Endpoint
				}
				events = append(events, AttemptFinished{Call: e.Call, Result: o})
			}
		}
		if at > 0 && len(events) == 0 {
			return at, ep, fx
		}
	}
	return at, ep, fx
}

var deliveredResult = &Result{Outcome: policy.Delivered, Status: 200, Final: true, Elapsed: 1000}

func testMember(i, dest int, flavor string) Member {
	return Member{ID: fmt.Sprintf("s-%d", i), HostPort: fmt.Sprintf("127.0.0.1:%d", 7000+i), Locality: "a", Flavor: flavor, Dest: dest, Phase: Up, Rate: 40}
}

// coreWithTwoWaits is a core with destinations 1 to 3, routes apart at 2, of which 1 was told
// a wait of 100 s and 2's only route one of 90 s a minute ago.
func coreWithTwoWaits(t *testing.T) (*Core, policy.Time) {
	t.Helper()
	r := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
	now := policy.Time(3600e6)
	r.Step(now, []Event{EndpointListUpdated{Kind: policy.ListFull, List: &EndpointList{Complete: true, Members: []Member{testMember(3, 3, "k"), testMember(1, 1, "k"), testMember(2, 2, "r")}}}}, nil)
	if n, _ := r.PassiveDestinations(); n != 2 { // beyond the first, they begin asleep
		t.Fatalf("%d rest from the start", n)
	}
	deliverOne(t, r, now, now+1e6, "a", 1, &Result{Outcome: policy.Rejected, Status: 429, RetryAfter: 100e6})
	deliverOne(t, r, now, now+1e6, "b", 2, &Result{Outcome: policy.Rejected, Status: 429, RetryAfter: 90e6})
	for at := now + 2e6; at < now+60e6; at += 1e6 {
		r.Step(at, nil, nil)
	}
	if !r.isPassive(3) { // which nobody sent to
		t.Fatal("none rests")
	}
	return r, now
}

// What was told to wait does not rest before the wait is over, and the wait holds:
// whether its endpoints leave and come back, others join, or the relay is
// restarted or upgraded. Then it rests.
func TestRetryAfterOutlastsPassivation(t *testing.T) {
	list := func(l ...Member) []Event {
		return []Event{EndpointListUpdated{Kind: policy.ListFull, List: &EndpointList{Complete: true, Members: l}}}
	}
	for name, meanwhile := range map[string]func(r *Core, now policy.Time){
		"nothing": func(*Core, policy.Time) {},
		"all leave and come back": func(r *Core, now policy.Time) {
			r.Step(now, list(testMember(3, 3, "k")), nil)
			r.Step(now+1e6, list(testMember(2, 2, "r"), testMember(1, 1, "k"), testMember(3, 3, "k")), nil)
		},
		"one joins": func(r *Core, now policy.Time) {
			r.Step(now, []Event{EndpointListUpdated{Kind: policy.ListDelta, List: &EndpointList{Members: []Member{testMember(9, 1, "k")}}}}, nil)
		},
		"a restart": func(r *Core, now policy.Time) {
			l := &StateSnapshot{}
			roundTrip(t, r.SnapshotState(now), l)
			if !l.Partial || l.EndpointList().Complete {
				t.Error("a list without those that rest is told to be whole")
			}
			next := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
			next.Observe(now, list(testMember(3, 3, "k"), testMember(2, 2, "r"), testMember(1, 1, "k")), nil)
			next.RestoreState(now, l, 0, nil)
			*r = *next
		},
		"an upgrade": func(r *Core, now policy.Time) {
			c := &HandoverState{}
			roundTrip(t, r.ExportHandover(now), c)
			next := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
			next.RecoverMessages(now, nil, c, 0, nil)
			*r = *next
		},
	} {
		r, began := coreWithTwoWaits(t)
		meanwhile(r, began+62e6)
		for _, dest := range []int{2, 1} { // the second's clock has come to the end of the first one's wait
			end := began + map[int]policy.Time{1: 100e6, 2: 90e6}[dest]
			at, _, _ := deliverOne(t, r, began+65e6, began+120e6, fmt.Sprint("late", dest), dest, deliveredResult)
			if at < end || at > end+3e6 {
				t.Errorf("%s: destination %d is sent to %.1f s after the end of its wait", name, dest, float64(at-end)/1e6)
			}
		}
		for at := began + 130e6; at < began+200e6; at += 1e6 {
			r.Step(at, nil, nil)
		}
		if n := r.passivation.active.Len(); n != 1 || len(r.retryAfter) > 1 {
			t.Errorf("%s: in the end %d are awake, %d waits are kept", name, n, len(r.retryAfter))
		}
	}
}

// roundTrip takes a value through JSON, as it lies in files and comes to a new process.
func roundTrip(t *testing.T, from, to any) {
	t.Helper()
	text, err := json.Marshal(from)
	if err == nil {
		err = json.Unmarshal(text, to)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// What rested under one id and address is what it was; elsewhere, or under another
// id, nothing is inherited but the destination's own wait.
func TestMovedEndpointInheritsNothing(t *testing.T) {
	r := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
	now := policy.Time(3600e6)
	r.Step(now, []Event{EndpointListUpdated{Kind: policy.ListFull, List: &EndpointList{Complete: true, Members: []Member{testMember(9, 9, "k"), testMember(1, 1, "k"), testMember(2, 2, "k"), testMember(3, 3, "k")}}}}, nil)
	for i := range 3 {
		at := now + policy.Time(i)*3e6
		deliverOne(t, r, at, at+1e6, fmt.Sprint("a", i), 1+i, &Result{Outcome: policy.ConnectFailed})
		deliverOne(t, r, at+2e6, at+3e6, fmt.Sprint("b", i), 1+i, &Result{Outcome: policy.ConnectFailed})
	}
	for at := now + 10e6; at < now+60e6; at += 1e6 {
		r.Step(at, nil, nil)
		if at == now+30e6 {
			deliverOne(t, r, at, at+1e6, "c", 9, deliveredResult)
		}
	}
	if n, _ := r.PassiveDestinations(); n < 3 || !r.isPassive(1) || !r.isPassive(2) || !r.isPassive(3) {
		t.Fatalf("%d rest", n)
	}
	// A restart knows of all three: they were out.
	l := &StateSnapshot{}
	roundTrip(t, r.SnapshotState(now+60e6), l)
	next := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
	next.Observe(now+60e6, []Event{EndpointListUpdated{Kind: policy.ListFull, List: &EndpointList{Complete: true, Members: []Member{testMember(9, 9, "k"), testMember(1, 1, "k"), testMember(2, 2, "k"), testMember(3, 3, "k")}}}}, nil)
	next.RestoreState(now+60e6, l, 0, nil)
	if _, avoided := next.ListedEndpoints(); avoided != 3 {
		t.Errorf("after a restart %d are avoided", avoided)
	}
	moved, swapped := testMember(2, 2, "k"), testMember(8, 3, "k")
	moved.HostPort, swapped.HostPort = "127.0.0.1:1", testMember(3, 3, "k").HostPort
	gone := testMember(3, 3, "k")
	gone.Phase = Removed
	r.Step(now+60e6, []Event{EndpointListUpdated{Kind: policy.ListDelta, List: &EndpointList{Members: []Member{moved, gone, swapped}}}}, nil)
	for dest, want := range map[int]bool{1: true, 2: false, 3: false} {
		r.activate(dest)
		r.runPolicy()
		for _, ep := range r.endpoints.all {
			if ep.dest == dest && ep.listed && r.policy.Avoids(ep.number, r.now) != want {
				t.Errorf("destination %d: avoided %v, want %v", dest, !want, want)
			}
		}
	}
}

// A message that is owed wakes its destination; what the core alone was told to
// wait keeps one awake.
func TestPendingDestinationsStayActive(t *testing.T) {
	r := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
	now := policy.Time(3600e6)
	r.Observe(now, []Event{EndpointListUpdated{Kind: policy.ListFull, List: &EndpointList{Complete: true, Members: []Member{testMember(1, 1, "k"), testMember(2, 2, "k")}}}}, nil)
	r.RecoverMessages(now, []*Record{{Kind: RecordAccepted, ID: "owed", Class: "plain", Dest: 2, Deadline: r.wallTime(now + 20e6)}}, nil, 0, nil)
	sent := false
	for at := now; at < now+2e6; at += 20e3 {
		for _, e := range r.Step(at, nil, nil) {
			if e, ok := e.(AppendThenSend); ok {
				sent = sent || e.Call.Record.ID == "owed"
			}
		}
	}
	if !sent {
		t.Error("what is owed to one that rests is not sent")
	}
	r = passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
	r.Step(now, []Event{EndpointListUpdated{Kind: policy.ListFull, List: &EndpointList{Complete: true, Members: []Member{testMember(1, 1, "k")}}}}, nil)
	r.retryAfter[1] = now + 100e6
	deliverOne(t, r, now+1e6, now+2e6, "m", 2, deliveredResult) // nobody is there, and the other is the one that is awake
	r.ensureActive(3)
	for at := now + 2e6; at < now+90e6; at += 1e6 {
		if r.Step(at, nil, nil); r.isPassive(1) {
			t.Fatalf("it rests %d s before its wait is over", (now+100e6-at)/1e6)
		}
	}
	for at := now + 90e6; at < now+200e6 && !r.isPassive(1); at += 1e6 {
		if r.Step(at, nil, nil); at == now+101e6 {
			r.ensureActive(3)
		}
	}
	if !r.isPassive(1) || len(r.retryAfter) > 0 {
		t.Error("it never rests, or its wait is kept")
	}
}

// Lists of any kind leave the same endpoints known, whoever rests: under each id
// one, where the list last had it, draining or not.
func TestListUpdatesReachPassiveDestinations(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 9))
		r := passivatingCore(t, idlestore.Limits{MaxActive: 5, IdleTimeout: 10e6})
		if seed%2 == 0 {
			r.listBatchSize = 1 + rng.IntN(6) // and messages come between two of them
		}
		now := policy.Time(3600e6)
		want := map[string]Member{}
		for i := range 120 {
			l := &EndpointList{}
			kind := policy.ListDelta
			if whole := i == 0 || rng.IntN(6) == 0; whole {
				kind, l.Complete = policy.ListFull, true
			}
			for range rng.IntN(40) {
				k := rng.IntN(60)
				m := testMember(k, (k+rng.IntN(8)/7)%30, "k")
				m.Phase = []string{Up, Up, Up, Draining, Removed}[rng.IntN(5)]
				if rng.IntN(10) == 0 {
					m.HostPort = fmt.Sprintf("127.0.0.1:%d", 9000+k)
				}
				if slices.ContainsFunc(l.Members, func(x Member) bool { return x.ID == m.ID }) {
					continue
				}
				l.Members = append(l.Members, m)
			}
			if l.Complete {
				clear(want)
			}
			for _, m := range l.Members {
				delete(want, m.ID)
				if m.Phase != Removed {
					want[m.ID] = m
				}
			}
			now += policy.Time(rng.IntN(15e6))
			r.Step(now, []Event{EndpointListUpdated{Kind: kind, List: l}}, nil)
			if rng.IntN(2) == 0 { // somebody wakes
				deliverOne(t, r, now, now+1e6, fmt.Sprint("m", i), rng.IntN(30), deliveredResult)
				now += 1e6
			}
			if r.listBatchSize < 10 && rng.IntN(3) > 0 && i < 119 {
				continue // the next list comes before the rest of this one is booked
			}
			got := map[string]Member{}
			for _, m := range r.ExportHandover(now).Members {
				if _, twice := got[m.ID]; twice {
					t.Fatalf("seed %d, list %d: %s is known twice", seed, i, m.ID)
				}
				got[m.ID] = m.Member
			}
			up := 0
			for id, m := range want {
				if _, ok := got[id]; m.Phase == Draining && !ok {
					continue // what drains is not remembered for long by who is awake
				}
				if up++; got[id] != m {
					t.Fatalf("seed %d, list %d: %s is %+v, want %+v", seed, i, id, got[id], m)
				}
				if ep := r.endpoints.byID[id]; ep != nil && r.isPassive(ep.dest) {
					t.Fatalf("seed %d, list %d: %s is awake, and its destination %d rests %+v", seed, i, id, ep.dest, ep)
				}
			}
			if listed, _ := r.ListedEndpoints(); len(got) != up || listed != up {
				t.Fatalf("seed %d, list %d: %d known and %d listed, want %d", seed, i, len(got), listed, up)
			}
		}
	}
}

// Of a long list what concerns who is awake is booked at once, however late it
// stands there; who wakes while the rest is booked, and is not named, has left.
func TestLongListInBatches(t *testing.T) {
	r := passivatingCore(t, idlestore.Limits{MaxActive: 2, IdleTimeout: 10e6})
	now := policy.Time(3600e6)
	var all []Member
	for i := range 60 {
		all = append(all, testMember(i, i, "k"))
	}
	r.Step(now, []Event{EndpointListUpdated{Kind: policy.ListFull, List: &EndpointList{Complete: true, Members: all}}}, nil)
	r.listBatchSize = 1
	gone, drains := all[0], all[1]
	gone.Phase, drains.Phase = Removed, Draining
	l := &EndpointList{Members: append(slices.Clone(all[2:]), gone, drains)}
	r.Step(now, []Event{EndpointListUpdated{Kind: policy.ListDelta, List: l}}, nil)
	for _, id := range []string{"s-0", "s-1"} {
		if ep := r.endpoints.byID[id]; !ep.retired {
			t.Errorf("%s is not gone after the first piece", id)
		}
	}
	r.finishListUpdate()
	l = &EndpointList{Complete: true, Members: slices.Clone(all[:50])} // 55 has left
	fx := r.Step(now, []Event{EndpointListUpdated{Kind: policy.ListFull, List: l}}, nil)
	if r.listUpdate == nil || !slices.ContainsFunc(fx, func(e Effect) bool { return is[StepAgain](e) }) {
		t.Fatal("it is booked whole, or nobody steps for the rest")
	}
	r.activate(55)
	for _, dest := range []int{45, 46, 47} { // so that the first ones could be put away meanwhile
		r.activate(dest)
	}
	for at := now; r.listUpdate != nil; at += 1e6 {
		r.Step(at, nil, nil)
	}
	r.runPolicy()
	for id, want := range map[string]bool{"s-55": false, "s-45": true} {
		if ep := r.endpoints.byID[id]; (ep != nil && ep.listed || ep == nil && r.isPassive(45)) != want {
			t.Errorf("%s is listed: %v", id, !want)
		}
	}
	if listed, _ := r.ListedEndpoints(); listed != 50 {
		t.Errorf("%d are listed, want 50", listed)
	}
}

// A destination whose endpoints have all left while it rested is known for half an
// hour, and then forgotten; nothing of it is left.
func TestForgetsDepartedDestinations(t *testing.T) {
	r := passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 20e6})
	now := policy.Time(3600e6)
	var all []Member
	for i := range 200 {
		all = append(all, testMember(i, i, "k"))
	}
	r.Step(now, []Event{EndpointListUpdated{Kind: policy.ListFull, List: &EndpointList{Complete: true, Members: all}}}, nil)
	r.Step(now, []Event{EndpointListUpdated{Kind: policy.ListFull, List: &EndpointList{Complete: true, Members: all[:2]}}}, nil)
	taken := func(at policy.Time, id string, dest int) bool {
		q := &Request{Tenant: -1, Record: &Record{ID: id, Class: "plain", Dest: dest, Deadline: r.wallTime(at + 20e6)}}
		for _, e := range r.Step(at, []Event{Submitted{Request: q}}, nil) {
			if e, ok := e.(SendReply); ok && e.Request == q {
				return false
			}
		}
		return true
	}
	if !taken(now+1e6, "soon", 150) {
		t.Error("refused at once")
	}
	for at := now + 1e6; at < now+1900e6; at += 10e6 {
		r.Step(at, []Event{EndpointListUpdated{Kind: policy.ListDelta, List: &EndpointList{}}}, nil)
	}
	if taken(now+1900e6, "late", 151) {
		t.Error("known for good")
	}
	if n, _ := r.PassiveDestinations(); n > 3 || len(r.knownDestinations) > 3 || len(r.passivation.departed) > 3 {
		t.Errorf("%d rest, %d are named, %d wait to be forgotten", n, len(r.knownDestinations), len(r.passivation.departed))
	}
}

// What lies in the store is read with bounds, and gives nothing where it is damaged.
func FuzzUnpack(f *testing.F) {
	m := &policy.Snapshot{Now: 5e9, Limiters: []policy.LimiterSnapshot{{Latency: policy.LatencySnapshot{Mean: 3, Count: 2},
		Endpoints: []policy.EndpointSnapshot{{ID: 1, Unhealthy: true, LastSuccessAt: 4e9, LastFailureAt: 5e9}}}}}
	b, err := pack(m, func(policy.EndpointID) (uint32, bool) { return 7, true })
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xa2, 1, 0, 2, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := unpack(b, 1, func(uint32) policy.EndpointID { return 1 })
		if m == nil || err != nil && len(m.Limiters) > 0 {
			t.Errorf("%v, %v", m, err)
		}
	})
}

// Moments, waits and health come back as they were; a wait is never shorter.
func TestPackUnpackRoundTrip(t *testing.T) {
	m := &policy.Snapshot{Now: 5e9, Limiters: []policy.LimiterSnapshot{{Destination: 3, Window: 1, RateMultiplier: 1, ReportedRate: 12.5, ReducedRate: 0.25, ReducedAt: 4e9 + 1,
		Latency: policy.LatencySnapshot{Mean: 1500, Deviation: 20, Count: 7},
		Endpoints: []policy.EndpointSnapshot{{ID: 11, Unhealthy: true, LastFailureSilent: true, FirstFailureAt: 4e9, LastFailureAt: 5e9, RecoveredAt: 4e9 + 5, RecoverySentAt: 4e9 + 3, LastSuccessAt: 1, BackoffUntil: 5e9 + 7,
			FailureScore: 0.5, RecoveryBudget: policy.TokenBucketSnapshot{At: 4e9, Tokens: 1.5, Used: true}, RequiredTokens: 0.75, Latency: policy.LatencySnapshot{Mean: 9, Deviation: 1, Count: 1}}, {ID: 12}}}}}
	b, err := pack(m, func(n policy.EndpointID) (uint32, bool) { return uint32(n) * 1e8, true })
	if err != nil {
		t.Fatal(err)
	}
	got, err := unpack(b, 3, func(x uint32) policy.EndpointID { return policy.EndpointID(x / 1e8) })
	if err != nil {
		t.Fatal(err)
	}
	want := *m
	want.Limiters[0].Endpoints[0].LastFailureAt++ // this very moment is told as a µs later
	if a, b := fmt.Sprintf("%+v", got.Limiters), fmt.Sprintf("%+v", want.Limiters); a != b {
		t.Errorf("%s\nwant %s", a, b)
	}
	if len(b) > 160 {
		t.Errorf("%d bytes", len(b))
	}
}
