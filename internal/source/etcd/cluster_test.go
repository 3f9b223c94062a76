package etcd

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	standin "troutusher/internal/emulator/etcd"
	"troutusher/internal/membership"
)

// seedCount is how many worlds are drawn; more are for a measurement.
var (
	seedCount = flag.Uint64("seeds", 1200, "worlds to draw")
	firstSeed = flag.Uint64("first", 0, "the first of them")
)

const second Time = 1e6

// simulatedCluster plays an etcd cluster in virtual time, round a machine and a view.
type simulatedCluster struct {
	t            testing.TB
	seed         uint64
	rng          *rand.Rand
	now          Time
	timers       timerHeap
	timerCount   int
	id           uint64
	store        *standin.Store
	backup       *standin.Store // a backup
	members      []memberState
	watches      map[CallID]*watcher
	validToken   int // which is good
	heldToken    int // which the machine has
	authRequired bool

	machine        *Machine
	view           *membership.View
	published      map[string]membership.Member
	trace          strings.Builder
	drains         map[string]Time // since when an endpoint has been marked, with all well
	drainDelays    []Time          // from a put to the change
	longestDelay   Time
	unhealthyUntil Time // until when no member was well, or the world was restored
	updates        int
	lastRevisions  map[string]int64
}

type memberState struct {
	down   bool
	silent bool
	lag    Time
}

type watcher struct {
	call   CallID
	member int
	next   int64
	key    string
	end    string
	silent bool
	open   bool
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
		store:         standin.NewStore(),
		members:       make([]memberState, 3),
		watches:       map[CallID]*watcher{},
		published:     map[string]membership.Member{},
		drains:        map[string]Time{},
		lastRevisions: map[string]int64{},
	}
	c.authRequired = c.rng.IntN(3) == 0
	set := DefaultSettings("/t", 3)
	set.AuthRequired, set.PageSize, set.ResyncInterval = c.authRequired, int64(1+c.rng.IntN(5)), 20*second
	var err error
	if c.machine, err = New(set, seed); err != nil {
		t.Fatal(err)
	}
	figures := membership.DefaultSettings(membership.Source{Name: "etcd", StaleAfter: 10 * second})
	figures.HoldDown = 0
	if c.view, err = membership.New(figures); err != nil {
		t.Fatal(err)
	}
	return c
}

func (c *simulatedCluster) failf(format string, a ...any) {
	c.t.Helper()
	text := c.trace.String()
	c.t.Fatalf("seed %d: "+format+"\n%s", append(append([]any{c.seed}, a...), text[max(0, len(text)-5000):])...)
}

func (c *simulatedCluster) note(format string, a ...any) {
	fmt.Fprintf(&c.trace, "%.3f ", float64(c.now)/1e6)
	fmt.Fprintf(&c.trace, format+"\n", a...)
}

func (c *simulatedCluster) after(d Time, run func()) {
	c.timerCount++
	heap.Push(&c.timers, timer{c.now + d, c.timerCount, run})
}

func (c *simulatedCluster) networkDelay() Time { return Time(1e3 + c.rng.IntN(9e3)) }

func (c *simulatedCluster) healthy(member int) bool {
	return !c.members[member].down && !c.members[member].silent
}

// sendEvent has an event reach the machine.
func (c *simulatedCluster) sendEvent(e Event) {
	c.after(c.networkDelay(), func() { c.step(e) })
}

func (c *simulatedCluster) step(events ...Event) {
	c.execute(c.machine.Step(c.now, events))
	for range 3 {
		for _, x := range c.view.Step(c.now) {
			if x.Phase == membership.Removed {
				delete(c.published, x.ID)
			} else {
				c.published[x.ID] = x.Member
			}
			if since, ok := c.drains[x.ID]; ok && x.Phase != membership.Up {
				if c.drainDelays = append(c.drainDelays, c.now-since); since > c.unhealthyUntil {
					c.longestDelay = max(c.longestDelay, c.now-since)
				}
				if c.now-since > 2*second && since > c.unhealthyUntil {
					c.failf("a drain of %s was heard after %d ms", x.ID, (c.now-since)/1000)
				}
				delete(c.drains, x.ID)
			}
		}
	}
	if c.view.ResyncRequested(0) {
		c.execute(c.machine.Resync(c.now))
	}
}

func kvs(all []standin.Version) (out []KV) {
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
			c.after(c.networkDelay(), func() { c.readPage(a) })
		case *OpenWatch:
			c.after(c.networkDelay(), func() { c.openWatch(a) })
		case *RequestProgress:
			if w := c.watches[a.Call]; w != nil && !w.silent && c.healthy(w.member) {
				c.after(c.networkDelay(), func() { c.flush(w); c.progress(w) })
			}
		case *CancelCall:
			delete(c.watches, a.Call)
		case *EmitUpdate:
			c.updates++
			u := a.Update
			c.note("update: epoch %s revision %d complete %v resync %v: %d",
				u.Epoch, u.Revision, u.Complete, u.Resync, len(u.Members))
			if u.Revision < c.lastRevisions[u.Epoch] {
				c.failf("revision %d of epoch %s after %d", u.Revision, u.Epoch, c.lastRevisions[u.Epoch])
			}
			c.lastRevisions[u.Epoch] = u.Revision
			got := c.view.Apply(c.now, u)
			if got == membership.ResyncRequired || got == membership.Outdated && !u.Complete {
				c.failf("update %+v: %v", *u, got)
			}
		case *EmitHeartbeat:
			c.view.Heartbeat(c.now, 0)
		case *LogMessage:
			c.note("%s", a.Text)
		}
	}
}

// visible is the revision that a member has by now.
func (c *simulatedCluster) visible(member int) int64 {
	if c.members[member].lag == 0 {
		return c.store.Revision()
	}
	return max(c.store.Revision()-2, 1)
}

func (c *simulatedCluster) denied(call CallID) bool {
	if c.authRequired && c.heldToken != c.validToken {
		c.sendEvent(&CallFailed{Call: call, Reason: ReasonUnauthenticated, Detail: "invalid auth token"})
		return true
	}
	return false
}

// accepts reports whether a member serves a call. Where it is down or the token is not
// valid it says so; where it is silent it does not.
func (c *simulatedCluster) accepts(member int, call CallID) bool {
	if c.members[member].down {
		c.sendEvent(&CallFailed{Call: call, Reason: ReasonUnavailable})
		return false
	}
	return !c.members[member].silent && !c.denied(call)
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
	w := &watcher{call: a.Call, member: a.Member, next: a.FromRevision, key: a.Key, end: a.RangeEnd}
	c.watches[a.Call] = w
	// Events of one watch come in order: they go by one queue.
	c.sendOnWatch(w, &WatchOpened{Call: a.Call, Cluster: c.id, Revision: c.visible(a.Member)})
	w.open = true
	c.flush(w)
}

// sendOnWatch has an event of a watch reach the machine behind those before it.
func (c *simulatedCluster) sendOnWatch(w *watcher, e Event) {
	if w.silent {
		return
	}
	c.after(5e3, func() {
		if c.watches[w.call] == w && !w.silent {
			c.step(e)
		}
	})
}

// flush reports what a watch has not reported.
func (c *simulatedCluster) flush(w *watcher) {
	if !w.open || w.silent || !c.healthy(w.member) || c.watches[w.call] != w {
		return
	}
	to := c.visible(w.member)
	all, err := c.store.Changes(w.key, w.end, w.next, to)
	if err != nil {
		c.sendOnWatch(w, &CallFailed{Call: w.call, Reason: ReasonCompacted, Revision: c.store.Compacted()})
		w.open = false
		return
	}
	w.next = max(w.next, to+1)
	if len(all) == 0 {
		return
	}
	e := &Changed{Call: w.call, Cluster: c.id, Revision: to}
	for len(all) > 1 && c.rng.IntN(3) == 0 { // in fragments
		fragment := *e
		fragment.KVs, fragment.LastRevision, fragment.Fragment = kvs(all[:1]), all[0].ModRevision, true
		all = all[1:]
		c.sendOnWatch(w, &fragment)
	}
	e.KVs, e.LastRevision = kvs(all), all[len(all)-1].ModRevision
	c.sendOnWatch(w, e)
}

func (c *simulatedCluster) progress(w *watcher) {
	rev := w.next - 1
	if c.rng.IntN(4) == 0 {
		rev = max(rev-3, 1) // it lies behind
	}
	c.sendOnWatch(w, &Progress{Call: w.call, Cluster: c.id, Revision: rev})
}

// flushAll has all watches report, each when its member knows.
func (c *simulatedCluster) flushAll() {
	for _, w := range c.openWatches() {
		c.after(c.networkDelay(), func() { c.flush(w) })
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

func (c *simulatedCluster) do(ops ...standin.Op) {
	if _, err := c.store.Apply(ops...); err != nil {
		c.failf("%v", err)
	}
	c.flushAll()
}

func endpointValue(k int, rate float64) string {
	return fmt.Sprintf(`{"v":1,"host_port":"127.0.0.1:%d","dest":%d,"rate":%v}`, 7000+k, k%3, rate)
}

// publish changes something.
func (c *simulatedCluster) publish() {
	k := c.rng.IntN(8)
	id := fmt.Sprintf("e%d", k)
	switch c.rng.IntN(9) {
	case 0, 1, 2:
		c.note("publish %s", id)
		c.do(standin.Op{Key: Key("/t", EndpointsFolder, id), Value: endpointValue(k, float64(c.rng.IntN(3)))})
	case 3:
		c.note("delete %s", id)
		c.do(standin.Op{Key: Key("/t", EndpointsFolder, id), Delete: true})
		delete(c.drains, id)
	case 4:
		c.note("drain %s", id)
		c.do(standin.Op{Key: Key("/t", DrainsFolder, id), Value: `{"v":1}`})
		if m, ok := c.published[id]; ok && m.Phase == membership.Up && c.drains[id] == 0 {
			c.drains[id] = c.now
		}
	case 5:
		c.note("undrain %s", id)
		c.do(standin.Op{Key: Key("/t", DrainsFolder, id), Delete: true})
		delete(c.drains, id)
	case 6:
		key := Key("/t", PartnersFolder, fmt.Sprint(c.rng.IntN(3)))
		c.do(standin.Op{Key: key, Value: fmt.Sprintf(`{"v":1,"rate":%d}`, c.rng.IntN(50))})
	case 7:
		c.note("a value of %s that cannot be read", id)
		c.do(standin.Op{Key: Key("/t", EndpointsFolder, id), Value: `{"v":2}`})
	case 8:
		c.do(standin.Op{Key: "/other/x", Value: "somebody else's"},
			standin.Op{Key: "/t/later/x", Value: "of a layout to come"})
	}
}

// injectFault has something go wrong.
func (c *simulatedCluster) injectFault() {
	i := c.rng.IntN(3)
	ill := 0
	for k := range c.members {
		if !c.healthy(k) || c.members[k].lag > 0 {
			ill++
		}
	}
	switch c.rng.IntN(8) {
	case 0:
		if ill < 1 {
			c.note("member %d is down", i)
			c.members[i].down = true
			for _, w := range c.openWatches() {
				if w.member == i {
					c.sendOnWatch(w, &CallFailed{Call: w.call, Reason: ReasonUnavailable, Detail: "no leader"})
				}
			}
			c.after(Time(c.rng.Int64N(3e6)), func() { c.members[i].down = false; c.note("member %d is back", i) })
		}
	case 1:
		if ill < 1 {
			c.note("member %d is silent", i)
			c.members[i].silent = true
			c.after(Time(c.rng.Int64N(4e6)), func() { c.members[i].silent = false })
		}
	case 2:
		for _, w := range c.openWatches() {
			c.note("watch %d is silent", w.call)
			w.silent = true
		}
	case 3:
		if rev := c.store.Revision() - int64(c.rng.IntN(3)); rev > c.store.Compacted() && rev > 0 {
			c.note("compacted up to %d", rev)
			if err := c.store.Compact(rev); err != nil {
				c.failf("%v", err)
			}
		}
	case 4:
		c.backup = c.store.Clone()
	case 5:
		if c.backup != nil && c.rng.IntN(2) == 0 {
			c.note("restored to %d from %d", c.backup.Revision(), c.store.Revision())
			c.store, c.backup = c.backup, nil
			c.unhealthyUntil = c.now + 25*second // under its old id it may not be noticed before the next resync
			if c.rng.IntN(2) == 0 {
				c.id++
				c.unhealthyUntil = c.now + 3*second
			}
			for _, w := range c.openWatches() {
				c.sendOnWatch(w, &CallFailed{Call: w.call, Reason: ReasonUnavailable, Detail: "gone"})
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
		if ill < 1 {
			c.note("member %d lags", i)
			c.members[i].lag = 1
			c.after(Time(c.rng.Int64N(500e3)), func() { c.members[i].lag = 0; c.flushAll() })
		}
	}
}

// run has time pass.
func (c *simulatedCluster) run(until Time) {
	for turns := 0; ; turns++ {
		if turns > 100000 {
			c.failf("it turns and turns: next %d, view %d, state %d",
				c.machine.NextDeadline()-c.now, c.view.NextDeadline()-c.now, c.machine.state)
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

// expected is what the store holds, as the view should have it.
func (c *simulatedCluster) expected() map[string]membership.Member {
	all, _, err := c.store.Range("/t/", RangeEnd("/t/"), 0, 0)
	if err != nil {
		c.failf("%v", err)
	}
	table := newKeyTable("/t")
	for _, kv := range kvs(all) {
		_ = table.apply(kv, idSet{}) // what cannot be decoded is part of the truth
	}
	want := map[string]membership.Member{}
	w := &membership.Update{}
	table.addAllMembers(w)
	for _, m := range w.Members {
		want[m.ID] = m
	}
	return want
}

func (c *simulatedCluster) play() {
	c.step()
	c.run(c.now + second)
	for range 40 {
		c.run(c.now + Time(c.rng.Int64N(600e3)))
		if c.publish(); c.rng.IntN(4) == 0 {
			c.injectFault()
		}
	}
	c.run(c.now + 5*second)
	for i := range c.members {
		c.members[i] = memberState{}
	}
	for k := range 8 { // what could not be decoded is written again
		if id := fmt.Sprintf("e%d", k); c.published[id].ID != "" || c.rng.IntN(2) == 0 {
			c.do(standin.Op{Key: Key("/t", EndpointsFolder, id), Value: endpointValue(k, 1)})
		} else {
			c.do(standin.Op{Key: Key("/t", EndpointsFolder, id), Delete: true})
		}
	}
	c.run(c.now + 40*second)
	if want := c.expected(); !reflect.DeepEqual(want, c.published) {
		c.failf("the view is\n%v, and there is\n%v", c.published, want)
	}
	if len(c.drains) > 0 {
		c.failf("never heard: %v", c.drains)
	}
}

// Whatever a cluster does (members that die, fall silent or lag, watches that
// fall silent, compaction, fragments, progress that lies behind, a backup that is put
// back, another cluster, tokens that end), the view is what it holds in the end,
// nothing is published out of order, and a drain is heard within 2 s while a member is
// well.
func TestFollowingACluster(t *testing.T) {
	var worst Time
	drains, updates := 0, 0
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		c := newCluster(t, seed)
		c.play()
		worst = max(worst, c.longestDelay)
		drains += len(c.drainDelays)
		updates += c.updates
	}
	if drains < int(*seedCount) || updates < 20*int(*seedCount) {
		t.Errorf("too little was tried: %d drains, %d updates", drains, updates)
	}
	t.Logf("%d drains, the slowest heard after %d ms; %d updates", drains, worst/1000, updates)
}
