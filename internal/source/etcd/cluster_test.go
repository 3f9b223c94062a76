package etcd

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	emulator "troutusher/internal/emulator/etcd"
	"troutusher/internal/membership"
)

// Seeds of TestFollowingACluster. Each seed gives one random scenario.
var (
	seedCount = flag.Uint64("seeds", 1200, "number of random scenarios to run")
	firstSeed = flag.Uint64("first", 0, "seed of the first scenario")
)

const second Time = 1e6

// simulatedCluster simulates an etcd cluster in virtual time. It drives a machine with it,
// and passes the updates of the machine to a membership view.
type simulatedCluster struct {
	t            testing.TB
	seed         uint64
	rng          *rand.Rand
	now          Time
	timers       timerHeap
	timerCount   int
	id           uint64
	store        *emulator.Store
	backup       *emulator.Store // nil for none
	members      []memberState
	watches      map[CallID]*watcher
	validToken   int // number of the token that the cluster accepts
	heldToken    int // number of the token that the machine has
	authRequired bool

	machine        *Machine
	view           *membership.View
	published      map[string]membership.Member
	trace          strings.Builder
	drains         map[string]Time // time of the put, for drains that the view has not published yet
	drainDelays    []Time          // from the put of a drain until the view publishes it
	longestDelay   Time            // of drains that were put after unhealthyUntil
	unhealthyUntil Time            // drains put up to then may be late, because of a restore
	updates        int
	lastRevisions  map[string]int64 // by epoch
}

// memberState holds the faults of a member.
type memberState struct {
	down   bool
	silent bool
	lag    Time // 0 for a member that does not lag
}

// watcher is an open watch.
type watcher struct {
	call         CallID
	member       int
	nextRevision int64
	key          string
	end          string
	silent       bool
	open         bool
}

type timer struct {
	at    Time
	order int
	run   func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func newCluster(t testing.TB, seed uint64) *simulatedCluster {
	c := &simulatedCluster{
		t:             t,
		seed:          seed,
		rng:           rand.New(rand.NewPCG(seed, 11)),
		now:           1000 * second,
		id:            77,
		store:         emulator.NewStore(),
		members:       make([]memberState, 3),
		watches:       map[CallID]*watcher{},
		published:     map[string]membership.Member{},
		drains:        map[string]Time{},
		lastRevisions: map[string]int64{},
	}
	c.authRequired = c.rng.IntN(3) == 0
	settings := DefaultSettings("/t", 3)
	settings.AuthRequired, settings.PageSize, settings.ResyncInterval =
		c.authRequired, int64(1+c.rng.IntN(5)), 20*second
	var err error
	if c.machine, err = New(settings, seed); err != nil {
		t.Fatal(err)
	}
	viewSettings := membership.DefaultSettings(membership.Source{Name: "etcd", StaleAfter: 10 * second})
	viewSettings.HoldDown = 0
	if c.view, err = membership.New(viewSettings); err != nil {
		t.Fatal(err)
	}
	return c
}

// failf ends the test with a message, the seed and the end of the trace.
func (c *simulatedCluster) failf(format string, a ...any) {
	c.t.Helper()
	text := c.trace.String()
	c.t.Fatalf("seed %d: "+format+"\n%s", append(append([]any{c.seed}, a...), text[max(0, len(text)-5000):])...)
}

// tracef adds a line to the trace.
func (c *simulatedCluster) tracef(format string, a ...any) {
	fmt.Fprintf(&c.trace, "%.3f ", float64(c.now)/1e6)
	fmt.Fprintf(&c.trace, format+"\n", a...)
}

func (c *simulatedCluster) schedule(d Time, run func()) {
	c.timerCount++
	heap.Push(&c.timers, timer{c.now + d, c.timerCount, run})
}

func (c *simulatedCluster) networkDelay() Time { return Time(1e3 + c.rng.IntN(9e3)) }

func (c *simulatedCluster) healthy(member int) bool {
	return !c.members[member].down && !c.members[member].silent
}

// sendEvent delivers an event to the machine after a random delay.
func (c *simulatedCluster) sendEvent(e Event) {
	c.schedule(c.networkDelay(), func() { c.step(e) })
}

// step passes events to the machine and its updates to the view, and checks how long drains
// took.
func (c *simulatedCluster) step(events ...Event) {
	c.execute(c.machine.Step(c.now, events))
	for range 3 {
		for _, change := range c.view.Step(c.now) {
			if change.Phase == membership.Removed {
				delete(c.published, change.ID)
			} else {
				c.published[change.ID] = change.Member
			}
			if since, ok := c.drains[change.ID]; ok && change.Phase != membership.Up {
				if c.drainDelays = append(c.drainDelays, c.now-since); since > c.unhealthyUntil {
					c.longestDelay = max(c.longestDelay, c.now-since)
				}
				if c.now-since > 2*second && since > c.unhealthyUntil {
					c.failf("the view published the drain of %s after %d ms, want at most 2000 ms",
						change.ID, (c.now-since)/1000)
				}
				delete(c.drains, change.ID)
			}
		}
	}
	if c.view.ResyncRequested(0) {
		c.execute(c.machine.Resync(c.now))
	}
}

func kvs(all []emulator.Version) (out []KV) {
	for _, v := range all {
		out = append(out, KV{v.Key, v.Value, v.Deleted})
	}
	return out
}

func (c *simulatedCluster) execute(all []Action) {
	for _, action := range all {
		switch a := action.(type) {
		case *Authenticate:
			if c.healthy(a.Member) {
				c.heldToken = c.validToken
				c.sendEvent(&Authenticated{Call: a.Call})
			} else if c.members[a.Member].down {
				c.sendEvent(&CallFailed{Call: a.Call, Reason: ReasonUnavailable})
			}
		case *ReadPage:
			c.schedule(c.networkDelay(), func() { c.readPage(a) })
		case *OpenWatch:
			c.schedule(c.networkDelay(), func() { c.openWatch(a) })
		case *RequestProgress:
			if w := c.watches[a.Call]; w != nil && !w.silent && c.healthy(w.member) {
				c.schedule(c.networkDelay(), func() { c.flush(w); c.progress(w) })
			}
		case *CancelCall:
			delete(c.watches, a.Call)
		case *EmitUpdate:
			c.updates++
			u := a.Update
			c.tracef("update: epoch %s revision %d complete %v resync %v: %d members",
				u.Epoch, u.Revision, u.Complete, u.Resync, len(u.Members))
			if u.Revision < c.lastRevisions[u.Epoch] {
				c.failf("the machine emitted revision %d of epoch %s after revision %d",
					u.Revision, u.Epoch, c.lastRevisions[u.Epoch])
			}
			c.lastRevisions[u.Epoch] = u.Revision
			got := c.view.Apply(c.now, u)
			if got == membership.ResyncRequired || got == membership.Outdated && !u.Complete {
				c.failf("View.Apply(%+v) = %v, want the update applied", *u, got)
			}
		case *EmitHeartbeat:
			c.view.Heartbeat(c.now, 0)
		case *LogMessage:
			c.tracef("%s", a.Text)
		}
	}
}

// visibleRevision returns the revision that a member has reached.
func (c *simulatedCluster) visibleRevision(member int) int64 {
	if c.members[member].lag == 0 {
		return c.store.Revision()
	}
	return max(c.store.Revision()-2, 1)
}

// rejectsToken reports whether the machine's token is not valid, and fails the call then.
func (c *simulatedCluster) rejectsToken(call CallID) bool {
	if c.authRequired && c.heldToken != c.validToken {
		c.sendEvent(&CallFailed{Call: call, Reason: ReasonUnauthenticated, Detail: "invalid auth token"})
		return true
	}
	return false
}

// accepts reports whether a member serves a call. If the member is down or the token is not
// valid, the call fails; if the member is silent, the call stays unanswered.
func (c *simulatedCluster) accepts(member int, call CallID) bool {
	if c.members[member].down {
		c.sendEvent(&CallFailed{Call: call, Reason: ReasonUnavailable})
		return false
	}
	return !c.members[member].silent && !c.rejectsToken(call)
}

func (c *simulatedCluster) readPage(a *ReadPage) {
	if !c.accepts(a.Member, a.Call) {
		return
	}
	all, count, err := c.store.Range(a.Key, a.RangeEnd, a.Revision, a.Limit)
	if err != nil {
		c.sendEvent(&CallFailed{Call: a.Call, Reason: ReasonCompacted, Revision: c.store.Compacted()})
		return
	}
	c.sendEvent(&PageRead{
		Call: a.Call, Cluster: c.id, Revision: c.store.Revision(), KVs: kvs(all), More: count > int64(len(all)),
	})
}

func (c *simulatedCluster) openWatch(a *OpenWatch) {
	if !c.accepts(a.Member, a.Call) {
		return
	}
	w := &watcher{call: a.Call, member: a.Member, nextRevision: a.FromRevision, key: a.Key, end: a.RangeEnd}
	c.watches[a.Call] = w
	// sendOnWatch uses a constant delay, so that the events of a watch arrive in order.
	c.sendOnWatch(w, &WatchOpened{Call: a.Call, Cluster: c.id, Revision: c.visibleRevision(a.Member)})
	w.open = true
	c.flush(w)
}

// sendOnWatch delivers an event of a watch to the machine, after all earlier events of the
// watch. Silent and cancelled watches deliver nothing.
func (c *simulatedCluster) sendOnWatch(w *watcher, e Event) {
	if w.silent {
		return
	}
	c.schedule(5e3, func() {
		if c.watches[w.call] == w && !w.silent {
			c.step(e)
		}
	})
}

// flush reports the changes that a watch has not reported yet.
func (c *simulatedCluster) flush(w *watcher) {
	if !w.open || w.silent || !c.healthy(w.member) || c.watches[w.call] != w {
		return
	}
	to := c.visibleRevision(w.member)
	all, err := c.store.Changes(w.key, w.end, w.nextRevision, to)
	if err != nil {
		c.sendOnWatch(w, &CallFailed{Call: w.call, Reason: ReasonCompacted, Revision: c.store.Compacted()})
		w.open = false
		return
	}
	w.nextRevision = max(w.nextRevision, to+1)
	if len(all) == 0 {
		return
	}
	e := &Changed{Call: w.call, Cluster: c.id, Revision: to}
	for len(all) > 1 && c.rng.IntN(3) == 0 { // split the report into fragments
		fragment := *e
		fragment.KVs, fragment.LastRevision, fragment.Fragment = kvs(all[:1]), all[0].ModRevision, true
		all = all[1:]
		c.sendOnWatch(w, &fragment)
	}
	e.KVs, e.LastRevision = kvs(all), all[len(all)-1].ModRevision
	c.sendOnWatch(w, e)
}

// progress sends a progress report on a watch.
func (c *simulatedCluster) progress(w *watcher) {
	rev := w.nextRevision - 1
	if c.rng.IntN(4) == 0 {
		rev = max(rev-3, 1) // a report that is out of date
	}
	c.sendOnWatch(w, &Progress{Call: w.call, Cluster: c.id, Revision: rev})
}

// flushAll makes all watches report their changes, each after a random delay.
func (c *simulatedCluster) flushAll() {
	for _, w := range c.openWatches() {
		c.schedule(c.networkDelay(), func() { c.flush(w) })
	}
}

func (c *simulatedCluster) openWatches() (all []*watcher) {
	for call := CallID(0); call <= c.machine.call; call++ {
		if w := c.watches[call]; w != nil {
			all = append(all, w)
		}
	}
	return all
}

func (c *simulatedCluster) applyOps(ops ...emulator.Op) {
	if _, err := c.store.Apply(ops...); err != nil {
		c.failf("%v", err)
	}
	c.flushAll()
}

func endpointValue(k int, rate float64) string {
	return fmt.Sprintf(`{"v":1,"host_port":"127.0.0.1:%d","dest":%d,"rate":%v}`, 7000+k, k%3, rate)
}

// changeRandomKey makes one random change of an endpoint, a drain, a partner or an unrelated
// key.
func (c *simulatedCluster) changeRandomKey() {
	k := c.rng.IntN(8)
	id := fmt.Sprintf("e%d", k)
	switch c.rng.IntN(9) {
	case 0, 1, 2:
		c.tracef("publish %s", id)
		c.applyOps(emulator.Op{Key: Key("/t", EndpointsFolder, id), Value: endpointValue(k, float64(c.rng.IntN(3)))})
	case 3:
		c.tracef("delete %s", id)
		c.applyOps(emulator.Op{Key: Key("/t", EndpointsFolder, id), Delete: true})
		delete(c.drains, id)
	case 4:
		c.tracef("drain %s", id)
		c.applyOps(emulator.Op{Key: Key("/t", DrainsFolder, id), Value: `{"v":1}`})
		if m, ok := c.published[id]; ok && m.Phase == membership.Up && c.drains[id] == 0 {
			c.drains[id] = c.now
		}
	case 5:
		c.tracef("undrain %s", id)
		c.applyOps(emulator.Op{Key: Key("/t", DrainsFolder, id), Delete: true})
		delete(c.drains, id)
	case 6:
		key := Key("/t", PartnersFolder, fmt.Sprint(c.rng.IntN(3)))
		c.applyOps(emulator.Op{Key: key, Value: fmt.Sprintf(`{"v":1,"rate":%d}`, c.rng.IntN(50))})
	case 7:
		c.tracef("publish a value of %s that cannot be decoded", id)
		c.applyOps(emulator.Op{Key: Key("/t", EndpointsFolder, id), Value: `{"v":2}`})
	case 8:
		c.applyOps(emulator.Op{Key: "/other/x", Value: "of another application"},
			emulator.Op{Key: "/t/later/x", Value: "of a later layout"})
	}
}

// injectFault injects a random fault. At most one member at a time is down, silent or lagging.
func (c *simulatedCluster) injectFault() {
	i := c.rng.IntN(3)
	unhealthy := 0
	for k := range c.members {
		if !c.healthy(k) || c.members[k].lag > 0 {
			unhealthy++
		}
	}
	switch c.rng.IntN(8) {
	case 0:
		if unhealthy < 1 {
			c.tracef("member %d is down", i)
			c.members[i].down = true
			for _, w := range c.openWatches() {
				if w.member == i {
					c.sendOnWatch(w, &CallFailed{Call: w.call, Reason: ReasonUnavailable, Detail: "no leader"})
				}
			}
			c.schedule(Time(c.rng.Int64N(3e6)), func() { c.members[i].down = false; c.tracef("member %d is back", i) })
		}
	case 1:
		if unhealthy < 1 {
			c.tracef("member %d is silent", i)
			c.members[i].silent = true
			c.schedule(Time(c.rng.Int64N(4e6)), func() { c.members[i].silent = false })
		}
	case 2:
		for _, w := range c.openWatches() {
			c.tracef("watch %d is silent", w.call)
			w.silent = true
		}
	case 3:
		if rev := c.store.Revision() - int64(c.rng.IntN(3)); rev > c.store.Compacted() && rev > 0 {
			c.tracef("compacted up to %d", rev)
			if err := c.store.Compact(rev); err != nil {
				c.failf("%v", err)
			}
		}
	case 4:
		c.backup = c.store.Clone()
	case 5:
		if c.backup != nil && c.rng.IntN(2) == 0 {
			c.tracef("restored to %d from %d", c.backup.Revision(), c.store.Revision())
			c.store, c.backup = c.backup, nil
			c.unhealthyUntil = c.now + 25*second // with the same id, it may go unnoticed until the next resync
			if c.rng.IntN(2) == 0 {
				c.id++
				c.unhealthyUntil = c.now + 3*second
			}
			for _, w := range c.openWatches() {
				c.sendOnWatch(w, &CallFailed{Call: w.call, Reason: ReasonUnavailable, Detail: "restored"})
				w.open = false
			}
			clear(c.drains)
		}
	case 6:
		c.validToken++
		if c.authRequired {
			for _, w := range c.openWatches() {
				c.sendOnWatch(w, &CallFailed{Call: w.call, Reason: ReasonUnauthenticated})
			}
		}
	case 7:
		if unhealthy < 1 {
			c.tracef("member %d lags", i)
			c.members[i].lag = 1
			c.schedule(Time(c.rng.Int64N(500e3)), func() { c.members[i].lag = 0; c.flushAll() })
		}
	}
}

// runUntil advances the virtual time, and runs timers and deadlines on the way.
func (c *simulatedCluster) runUntil(until Time) {
	for steps := 0; ; steps++ {
		if steps > 100000 {
			c.failf("%d steps without an end: machine's deadline in %d µs, view's in %d µs, machine in state %d",
				steps, c.machine.NextDeadline()-c.now, c.view.NextDeadline()-c.now, c.machine.state)
		}
		at := c.machine.NextDeadline()
		if n := c.view.NextDeadline(); n > 0 && n < at {
			at = n
		}
		if len(c.timers) > 0 && c.timers[0].at < at {
			at = c.timers[0].at
		}
		if at > until {
			c.now = until
			return
		}
		c.now = max(c.now, at)
		if len(c.timers) > 0 && c.timers[0].at <= c.now {
			heap.Pop(&c.timers).(timer).run()
			continue
		}
		c.step()
	}
}

// expected returns the members that the view should publish for the contents of the store.
func (c *simulatedCluster) expected() map[string]membership.Member {
	all, _, err := c.store.Range("/t/", RangeEnd("/t/"), 0, 0)
	if err != nil {
		c.failf("%v", err)
	}
	table := newKeyTable("/t")
	for _, kv := range kvs(all) {
		_ = table.apply(kv, idSet{}) // some values cannot be decoded on purpose
	}
	want := map[string]membership.Member{}
	update := &membership.Update{}
	table.addAllMembers(update)
	for _, m := range update.Members {
		want[m.ID] = m
	}
	return want
}

// runScenario makes random changes and injects faults for a while. Then it ends all faults,
// publishes values that can be decoded, and checks that the view agrees with the store.
func (c *simulatedCluster) runScenario() {
	c.step()
	c.runUntil(c.now + second)
	for range 40 {
		c.runUntil(c.now + Time(c.rng.Int64N(600e3)))
		if c.changeRandomKey(); c.rng.IntN(4) == 0 {
			c.injectFault()
		}
	}
	c.runUntil(c.now + 5*second)
	for i := range c.members {
		c.members[i] = memberState{}
	}
	for k := range 8 { // replace values that cannot be decoded
		if id := fmt.Sprintf("e%d", k); c.published[id].ID != "" || c.rng.IntN(2) == 0 {
			c.applyOps(emulator.Op{Key: Key("/t", EndpointsFolder, id), Value: endpointValue(k, 1)})
		} else {
			c.applyOps(emulator.Op{Key: Key("/t", EndpointsFolder, id), Delete: true})
		}
	}
	c.runUntil(c.now + 40*second)
	if want := c.expected(); !reflect.DeepEqual(want, c.published) {
		c.failf("the view has\n%v, want the contents of the store:\n%v", c.published, want)
	}
	if len(c.drains) > 0 {
		c.failf("drains that the view never published: %v", c.drains)
	}
}

// Random scenarios against a simulated cluster with faults: members that are down, silent or
// lag, silent watches, compaction, fragmented reports, outdated progress reports, a restore
// from a backup, another cluster, and tokens that expire. At the end the view must agree with
// the store. On the way, updates must come in order, and the view must publish each drain
// within 2 s after its put, unless the cluster was restored shortly before.
func TestFollowingACluster(t *testing.T) {
	var worst Time
	drains, updates := 0, 0
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		c := newCluster(t, seed)
		c.runScenario()
		worst = max(worst, c.longestDelay)
		drains += len(c.drainDelays)
		updates += c.updates
	}
	if drains < int(*seedCount) || updates < 20*int(*seedCount) {
		t.Errorf("scenarios had %d drains and %d updates, want at least %d and %d",
			drains, updates, *seedCount, 20**seedCount)
	}
	t.Logf("%d drains, the slowest published after %d ms; %d updates", drains, worst/1000, updates)
}
