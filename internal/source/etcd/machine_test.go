package etcd

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"troutusher/internal/membership"
	standin "troutusher/internal/standin/etcd"
)

// seeds is how many worlds are drawn; more are for a measurement.
var (
	seeds     = flag.Uint64("seeds", 1200, "worlds to draw")
	firstSeed = flag.Uint64("first", 0, "the first of them")
)

const sec Time = 1e6

// cluster plays an etcd cluster in virtual time, round a machine and a view.
type cluster struct {
	t     testing.TB
	seed  uint64
	rng   *rand.Rand
	now   Time
	due   happenings
	n     int
	id    uint64
	store *standin.Store
	copy  *standin.Store // a backup
	place []placeState
	watch map[uint64]*watcher
	token int // which is good
	had   int // which the machine has
	auth  bool

	m      *Machine
	v      *membership.View
	list   map[string]membership.Member
	trace  strings.Builder
	quiet  bool            // no more faults
	drains map[string]Time // since when an endpoint has been marked, with all well
	slow   []Time          // from a put to the change
	worst  Time
	sick   Time // until when no member was well, or the world was put back
	words  int
	revs   map[string]int64
}

type placeState struct {
	down   bool
	silent bool
	lag    Time
}

type watcher struct {
	call   uint64
	member int
	next   int64
	key    string
	end    string
	silent bool
	open   bool
}

type happening struct {
	at  Time
	n   int
	run func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func newCluster(t testing.TB, seed uint64) *cluster {
	c := &cluster{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 11)), now: 1000 * sec, id: 77, store: standin.NewStore(),
		place: make([]placeState, 3), watch: map[uint64]*watcher{}, list: map[string]membership.Member{}, drains: map[string]Time{}, revs: map[string]int64{}}
	c.auth = c.rng.IntN(3) == 0
	set := Default("/t", 3)
	set.Auth, set.Page, set.Refresh = c.auth, int64(1+c.rng.IntN(5)), 20*sec
	var err error
	if c.m, err = New(set, seed); err != nil {
		t.Fatal(err)
	}
	figures := membership.Default(membership.Source{Name: "etcd", Stale: 10 * sec})
	figures.HoldDown = 0
	if c.v, err = membership.New(figures); err != nil {
		t.Fatal(err)
	}
	return c
}

func (c *cluster) failf(format string, a ...any) {
	c.t.Helper()
	text := c.trace.String()
	c.t.Fatalf("seed %d: "+format+"\n%s", append(append([]any{c.seed}, a...), text[max(0, len(text)-5000):])...)
}

func (c *cluster) note(format string, a ...any) {
	fmt.Fprintf(&c.trace, "%.3f ", float64(c.now)/1e6)
	fmt.Fprintf(&c.trace, format+"\n", a...)
}

func (c *cluster) after(d Time, run func()) {
	c.n++
	heap.Push(&c.due, happening{c.now + d, c.n, run})
}

func (c *cluster) way() Time { return Time(1e3 + c.rng.IntN(9e3)) }

func (c *cluster) well(member int) bool { return !c.place[member].down && !c.place[member].silent }

// tell has an event reach the machine.
func (c *cluster) tell(e Event) {
	c.after(c.way(), func() { c.step(e) })
}

func (c *cluster) step(events ...Event) {
	c.carry(c.m.Step(c.now, events))
	for range 3 {
		for _, x := range c.v.Step(c.now) {
			if x.Phase == membership.Removed {
				delete(c.list, x.ID)
			} else {
				c.list[x.ID] = x.Member
			}
			if since, ok := c.drains[x.ID]; ok && x.Phase != membership.Up {
				if c.slow = append(c.slow, c.now-since); since > c.sick {
					c.worst = max(c.worst, c.now-since)
				}
				if c.now-since > 2*sec && since > c.sick {
					c.failf("a drain of %s was heard after %d ms", x.ID, (c.now-since)/1000)
				}
				delete(c.drains, x.ID)
			}
		}
	}
	if c.v.Asks(0) {
		c.carry(c.m.ReadAnew(c.now))
	}
}

func kvs(all []standin.Version) (out []KV) {
	for _, v := range all {
		out = append(out, KV{v.Key, v.Value, v.Gone})
	}
	return out
}

func (c *cluster) carry(all []Do) {
	for _, d := range all {
		switch d.Kind {
		case DoAuth:
			if c.well(d.Member) {
				c.had = c.token
				c.tell(Event{Kind: Authed, Call: d.Call})
			} else if c.place[d.Member].down {
				c.tell(Event{Kind: Failed, Call: d.Call, Why: Unavailable})
			}
		case DoRange:
			c.after(c.way(), func() { c.ranged(d) })
		case DoWatch:
			c.after(c.way(), func() { c.opens(d) })
		case DoProgress:
			if w := c.watch[d.Call]; w != nil && !w.silent && c.well(w.member) {
				c.after(c.way(), func() { c.flush(w); c.progress(w) })
			}
		case DoClose:
			delete(c.watch, d.Call)
		case DoSay:
			c.words++
			w := d.Word
			c.note("say epoch %s revision %d whole %v anew %v: %d", w.Epoch, w.Revision, w.Whole, w.Anew, len(w.Members))
			if w.Revision < c.revs[w.Epoch] {
				c.failf("revision %d of epoch %s after %d", w.Revision, w.Epoch, c.revs[w.Epoch])
			}
			c.revs[w.Epoch] = w.Revision
			if got := c.v.Take(c.now, w); got == membership.Needed || got == membership.Old && !w.Whole {
				c.failf("word %+v: %v", *w, got)
			}
		case DoAlive:
			c.v.Heard(c.now, 0)
		case DoLog:
			c.note("%s", d.Text)
		}
	}
}

// visible is the revision that a member has by now.
func (c *cluster) visible(member int) int64 {
	if c.place[member].lag == 0 {
		return c.store.Revision()
	}
	return max(c.store.Revision()-2, 1)
}

func (c *cluster) denied(call uint64) bool {
	if c.auth && c.had != c.token {
		c.tell(Event{Kind: Failed, Call: call, Why: Denied, Text: "invalid auth token"})
		return true
	}
	return false
}

func (c *cluster) ranged(d Do) {
	switch {
	case c.place[d.Member].down:
		c.tell(Event{Kind: Failed, Call: d.Call, Why: Unavailable})
		return
	case c.place[d.Member].silent || c.denied(d.Call):
		return
	}
	all, count, err := c.store.Range(d.Key, d.End, d.Revision, d.Limit)
	if err != nil {
		c.tell(Event{Kind: Failed, Call: d.Call, Why: Compacted, Revision: c.store.Compacted()})
		return
	}
	c.tell(Event{Kind: Ranged, Call: d.Call, Cluster: c.id, Revision: c.store.Revision(), KVs: kvs(all), More: count > int64(len(all))})
}

func (c *cluster) opens(d Do) {
	switch {
	case c.place[d.Member].down:
		c.tell(Event{Kind: Failed, Call: d.Call, Why: Unavailable})
		return
	case c.place[d.Member].silent || c.denied(d.Call):
		return
	}
	w := &watcher{call: d.Call, member: d.Member, next: d.Revision, key: d.Key, end: d.End}
	c.watch[d.Call] = w
	// Events of one watch are told in order: they go by one queue.
	c.tellOn(w, Event{Kind: Watching, Call: d.Call, Cluster: c.id, Revision: c.visible(d.Member)})
	w.open = true
	c.flush(w)
}

// tellOn has an event of a watch reach the machine behind those before it.
func (c *cluster) tellOn(w *watcher, e Event) {
	if w.silent {
		return
	}
	c.after(5e3, func() {
		if c.watch[w.call] == w && !w.silent {
			c.step(e)
		}
	})
}

// flush tells what a watch has not been told.
func (c *cluster) flush(w *watcher) {
	if !w.open || w.silent || !c.well(w.member) || c.watch[w.call] != w {
		return
	}
	to := c.visible(w.member)
	all, err := c.store.Since(w.key, w.end, w.next, to)
	if err != nil {
		c.tellOn(w, Event{Kind: Failed, Call: w.call, Why: Compacted, Revision: c.store.Compacted()})
		w.open = false
		return
	}
	w.next = max(w.next, to+1)
	if len(all) == 0 {
		return
	}
	e := Event{Kind: Changed, Call: w.call, Cluster: c.id, Revision: to}
	for len(all) > 1 && c.rng.IntN(3) == 0 { // in fragments
		x := e
		x.KVs, x.Last, x.Fragment = kvs(all[:1]), all[0].Modified, true
		all = all[1:]
		c.tellOn(w, x)
	}
	e.KVs, e.Last = kvs(all), all[len(all)-1].Modified
	c.tellOn(w, e)
}

func (c *cluster) progress(w *watcher) {
	rev := w.next - 1
	if c.rng.IntN(4) == 0 {
		rev = max(rev-3, 1) // it lies behind
	}
	c.tellOn(w, Event{Kind: Progress, Call: w.call, Cluster: c.id, Revision: rev})
}

// changed has all watches told, each when its member knows.
func (c *cluster) changed() {
	for _, w := range c.sorted() {
		c.after(c.way(), func() { c.flush(w) })
	}
}

func (c *cluster) sorted() (all []*watcher) {
	for call := uint64(0); call <= c.m.call; call++ {
		if w := c.watch[call]; w != nil {
			all = append(all, w)
		}
	}
	return all
}

func (c *cluster) do(ops ...standin.Op) {
	if _, err := c.store.Do(ops...); err != nil {
		c.failf("%v", err)
	}
	c.changed()
}

func endpointValue(k int, rate float64) string {
	return fmt.Sprintf(`{"v":1,"host_port":"127.0.0.1:%d","dest":%d,"rate":%v}`, 7000+k, k%3, rate)
}

// publish changes something.
func (c *cluster) publish() {
	k := c.rng.IntN(8)
	id := fmt.Sprintf("e%d", k)
	switch c.rng.IntN(9) {
	case 0, 1, 2:
		c.note("publish %s", id)
		c.do(standin.Op{Key: Key("/t", endpoints, id), Value: endpointValue(k, float64(c.rng.IntN(3)))})
	case 3:
		c.note("delete %s", id)
		c.do(standin.Op{Key: Key("/t", endpoints, id), Delete: true})
		delete(c.drains, id)
	case 4:
		c.note("drain %s", id)
		c.do(standin.Op{Key: Key("/t", drains, id), Value: `{"v":1}`})
		if m, ok := c.list[id]; ok && m.Phase == membership.Up && c.drains[id] == 0 {
			c.drains[id] = c.now
		}
	case 5:
		c.note("undrain %s", id)
		c.do(standin.Op{Key: Key("/t", drains, id), Delete: true})
		delete(c.drains, id)
	case 6:
		c.do(standin.Op{Key: Key("/t", partners, fmt.Sprint(c.rng.IntN(3))), Value: fmt.Sprintf(`{"v":1,"rate":%d}`, c.rng.IntN(50))})
	case 7:
		c.note("a value of %s that cannot be read", id)
		c.do(standin.Op{Key: Key("/t", endpoints, id), Value: `{"v":2}`})
	case 8:
		c.do(standin.Op{Key: "/other/x", Value: "somebody else's"}, standin.Op{Key: "/t/later/x", Value: "of a layout to come"})
	}
}

// fault has something go wrong.
func (c *cluster) fault() {
	i := c.rng.IntN(3)
	ill := 0
	for k := range c.place {
		if !c.well(k) || c.place[k].lag > 0 {
			ill++
		}
	}
	switch c.rng.IntN(8) {
	case 0:
		if ill < 1 {
			c.note("member %d is down", i)
			c.place[i].down = true
			for _, w := range c.sorted() {
				if w.member == i {
					c.tellOn(w, Event{Kind: Failed, Call: w.call, Why: Unavailable, Text: "no leader"})
				}
			}
			c.after(Time(c.rng.Int64N(3e6)), func() { c.place[i].down = false; c.note("member %d is back", i) })
		}
	case 1:
		if ill < 1 {
			c.note("member %d is silent", i)
			c.place[i].silent = true
			c.after(Time(c.rng.Int64N(4e6)), func() { c.place[i].silent = false })
		}
	case 2:
		for _, w := range c.sorted() {
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
		c.copy = c.store.Copy()
	case 5:
		if c.copy != nil && c.rng.IntN(2) == 0 {
			c.note("put back to %d from %d", c.copy.Revision(), c.store.Revision())
			c.store, c.copy = c.copy, nil
			c.sick = c.now + 25*sec // under its old id it may not be told before the next refresh
			if c.rng.IntN(2) == 0 {
				c.id++
				c.sick = c.now + 3*sec
			}
			for _, w := range c.sorted() {
				c.tellOn(w, Event{Kind: Failed, Call: w.call, Why: Unavailable, Text: "gone"})
				w.open = false
			}
			clear(c.drains)
		}
	case 6:
		c.token++
		if c.auth {
			for _, w := range c.sorted() {
				c.tellOn(w, Event{Kind: Failed, Call: w.call, Why: Denied})
			}
		}
	case 7:
		if ill < 1 {
			c.note("member %d lags", i)
			c.place[i].lag = 1
			c.after(Time(c.rng.Int64N(500e3)), func() { c.place[i].lag = 0; c.changed() })
		}
	}
}

// run has time pass.
func (c *cluster) run(until Time) {
	for turns := 0; ; turns++ {
		if turns > 100000 {
			c.failf("it turns and turns: next %d, view %d, state %d", c.m.Next()-c.now, c.v.Next()-c.now, c.m.state)
		}
		at := c.m.Next()
		if n := c.v.Next(); n > 0 && n < at {
			at = n
		}
		if len(c.due) > 0 && c.due[0].at < at {
			at = c.due[0].at
		}
		if at > until {
			c.now = until
			return
		}
		c.now = max(c.now, at)
		if len(c.due) > 0 && c.due[0].at <= c.now {
			heap.Pop(&c.due).(happening).run()
			continue
		}
		c.step()
	}
}

// truth is what the store holds, as the view should have it.
func (c *cluster) truth() map[string]membership.Member {
	all, _, err := c.store.Range("/t/", End("/t/"), 0, 0)
	if err != nil {
		c.failf("%v", err)
	}
	table := newTable("/t")
	for _, kv := range kvs(all) {
		table.put(kv, map[string]bool{})
	}
	want := map[string]membership.Member{}
	w := &membership.Word{}
	table.all(w)
	for _, m := range w.Members {
		want[m.ID] = m
	}
	return want
}

func (c *cluster) play() {
	c.step()
	c.run(c.now + sec)
	for range 40 {
		c.run(c.now + Time(c.rng.Int64N(600e3)))
		if c.publish(); c.rng.IntN(4) == 0 {
			c.fault()
		}
	}
	c.run(c.now + 5*sec)
	for i := range c.place {
		c.place[i] = placeState{}
	}
	for k := range 8 { // what could not be read is written anew
		if id := fmt.Sprintf("e%d", k); c.list[id].ID != "" || c.rng.IntN(2) == 0 {
			c.do(standin.Op{Key: Key("/t", endpoints, id), Value: endpointValue(k, 1)})
		} else {
			c.do(standin.Op{Key: Key("/t", endpoints, id), Delete: true})
		}
	}
	c.run(c.now + 40*sec)
	if want := c.truth(); !reflect.DeepEqual(want, c.list) {
		c.failf("the view is\n%v, and there is\n%v", c.list, want)
	}
	if len(c.drains) > 0 {
		c.failf("never heard: %v", c.drains)
	}
}

// Whatever a cluster does (members that die, fall silent or lag, watches that say
// nothing, compaction, fragments, progress that lies behind, a backup that is put
// back, another cluster, tokens that end), the view is what it holds in the end,
// nothing is told out of order, and a drain is heard within 2 s while a member is
// well.
func TestFollowingACluster(t *testing.T) {
	var worst Time
	drains, words := 0, 0
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		c := newCluster(t, seed)
		c.play()
		worst = max(worst, c.worst)
		drains += len(c.slow)
		words += c.words
	}
	if drains < int(*seeds) || words < 20*int(*seeds) {
		t.Errorf("too little was tried: %d drains, %d words", drains, words)
	}
	t.Logf("%d drains, the slowest heard after %d ms; %d words", drains, worst/1000, words)
}

func TestSettings(t *testing.T) {
	for _, f := range []func(*Settings){
		func(s *Settings) { s.Prefix = "t" }, func(s *Settings) { s.Prefix = "//" }, func(s *Settings) { s.Members = 0 },
		func(s *Settings) { s.Quiet = 0 }, func(s *Settings) { s.Reading = 0 }, func(s *Settings) { s.PauseMost = 1 }, func(s *Settings) { s.Page = -1 },
	} {
		s := Default("/t", 1)
		if f(&s); s.Check() == nil {
			t.Errorf("%+v: no error", s)
		}
	}
	if _, err := New(Settings{Prefix: "/t", Members: 1}, 1); err == nil {
		t.Error("settings that were not made by Default")
	}
}

func TestValues(t *testing.T) {
	for text, ok := range map[string]bool{
		`{"v":1,"host_port":"10.0.0.1:80","dest":3}`:                             true,
		`{"v":1,"host_port":"[::1]:80","dest":3,"phase":"draining","rate":0.5}`:  true,
		`{"v":1,"host_port":"10.0.0.1:80","dest":3,"locality":"a","flavor":"k"}`: true,
		`{"v":2,"host_port":"10.0.0.1:80","dest":3}`:                             false,
		`{"host_port":"10.0.0.1:80","dest":3}`:                                   false,
		`{"v":1,"host_port":"10.0.0.1","dest":3}`:                                false,
		`{"v":1,"host_port":":80","dest":3}`:                                     false,
		`{"v":1,"host_port":"10.0.0.1:0","dest":3}`:                              false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":-1}`:                            false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":70000}`:                         false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":3,"phase":"gone"}`:              false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":3,"rate":-1}`:                   false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":3,"rate":1e300}`:                false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":3,"phaze":"draining"}`:          false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":3} {}`:                          false,
		``:     false,
		`null`: false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":3,"locality":"` + strings.Repeat("x", 300): false,
	} {
		if _, err := ReadEndpoint([]byte(text)); (err == nil) != ok {
			t.Errorf("%s: %v", text, err)
		}
	}
	for prefix, want := range map[string]string{"/t/": "/t0", "a\xff": "b", "\xff": "\x00"} {
		if got := End(prefix); got != want {
			t.Errorf("End(%q) = %q", prefix, got)
		}
	}
}

// Whatever lies under the prefix, nothing panics and nothing that cannot be read is
// listed.
func FuzzKeys(f *testing.F) {
	f.Add("/t/endpoints/a", endpointValue(1, 2), "/t/partners/1", `{"v":1,"rate":3}`)
	f.Add("/t/drains/a", "", "/t/endpoints/a/b", "x")
	f.Fuzz(func(t *testing.T, k1, v1, k2, v2 string) {
		table := newTable("/t")
		for _, kv := range []KV{{k1, v1, false}, {k2, v2, false}, {k1, v2, false}, {k2, "", true}} {
			ids := map[string]bool{}
			table.put(kv, ids)
			table.members(ids, &membership.Word{})
		}
		w := &membership.Word{}
		table.all(w)
		for _, m := range w.Members {
			if m.HostPort == "" || m.ID == "" || m.Phase != membership.Up && m.Phase != membership.Draining {
				t.Fatalf("listed: %+v", m)
			}
		}
	})
}

// script tells a machine one thing after another.
type script struct {
	t   *testing.T
	m   *Machine
	now Time
}

func newScript(t *testing.T, members int) *script {
	m, err := New(Default("/t", members), 1)
	if err != nil {
		t.Fatal(err)
	}
	return &script{t, m, 1000 * sec}
}

// then has something happen to the call that is out, and gives what follows of some
// kinds.
func (s *script) then(e Event, kinds ...DoKind) (found []Do) {
	s.t.Helper()
	var events []Event
	if e.Kind != 0 {
		if e.Call == 0 {
			e.Call = s.m.call
		}
		events = append(events, e)
	}
	s.now += 1000
	for _, d := range s.m.Step(s.now, events) {
		for _, k := range kinds {
			if d.Kind == k {
				found = append(found, d)
			}
		}
	}
	if len(found) < len(kinds) {
		s.t.Fatalf("after %+v: %+v, want kinds %v", e, found, kinds)
	}
	return found
}

func pair(id string, k int) KV { return KV{Key: Key("/t", endpoints, id), Value: endpointValue(k, 0)} }

// begun is a machine that watches cluster 7 from revision 11 on.
func begun(t *testing.T, members int) *script {
	s := newScript(t, members)
	s.then(Event{}, DoRange)
	s.then(Event{Kind: Ranged, Cluster: 7, Revision: 10, KVs: []KV{pair("a", 1), pair("b", 2)}}, DoSay, DoWatch)
	s.then(Event{Kind: Watching, Cluster: 7, Revision: 10}, DoAlive)
	return s
}

// A watch that is of another cluster, or behind what is known, has all read once
// more; one that lags is let be after that, and one that was put back has a new
// epoch.
func TestAnotherCluster(t *testing.T) {
	s := begun(t, 1)
	s.then(Event{Kind: Changed, Cluster: 8, Revision: 11, Last: 11, KVs: []KV{pair("c", 3)}}, DoClose, DoRange)
	if w := s.then(Event{Kind: Ranged, Cluster: 8, Revision: 40, KVs: []KV{pair("c", 3)}}, DoSay)[0].Word; w.Epoch != "0000000000000008.0" || !w.Whole || w.Anew {
		t.Errorf("%+v", *w)
	}

	s = begun(t, 1)
	s.then(Event{Kind: Failed, Why: Unavailable}, DoWatch)
	s.then(Event{Kind: Watching, Cluster: 7, Revision: 6}, DoClose, DoRange)
	s.then(Event{Kind: Ranged, Cluster: 7, Revision: 10}, DoSay, DoWatch) // it lags
	s.then(Event{Kind: Watching, Cluster: 7, Revision: 6}, DoAlive)

	s = begun(t, 1)
	s.then(Event{Kind: Failed, Why: Unavailable}, DoWatch)
	s.then(Event{Kind: Watching, Cluster: 7, Revision: 6}, DoClose, DoRange)
	if w := s.then(Event{Kind: Ranged, Cluster: 7, Revision: 6}, DoSay)[0].Word; w.Epoch != "0000000000000007.1" || w.Revision != 6 {
		t.Errorf("%+v", *w)
	}
}

// A partner's rate is told for each of its endpoints that has none of its own; what
// comes of a call that is over counts for nothing; keys between two pages are read.
func TestRatesLateWordsAndPages(t *testing.T) {
	s := begun(t, 1)
	w := s.then(Event{Kind: Changed, Cluster: 7, Revision: 11, Last: 11, KVs: []KV{{Key: Key("/t", partners, "1"), Value: `{"v":1,"rate":5}`}}}, DoSay)[0].Word
	if len(w.Members) != 1 || w.Members[0].ID != "a" || w.Members[0].Size != 5 {
		t.Errorf("%+v", *w)
	}
	old := s.m.call
	s.then(Event{Kind: Failed, Why: Unavailable}, DoWatch)
	s.then(Event{Kind: Watching, Cluster: 7, Revision: 11}, DoAlive)
	if got := s.m.Step(s.now, []Event{{Kind: Changed, Call: old, Cluster: 7, Revision: 12, Last: 12, KVs: []KV{pair("x", 1)}}}); len(got) > 0 {
		t.Errorf("of a call that is over: %+v", got)
	}
	s = newScript(t, 1)
	s.then(Event{}, DoRange)
	next := s.then(Event{Kind: Ranged, Cluster: 7, Revision: 10, KVs: []KV{pair("a", 1)}, More: true}, DoRange)[0]
	if next.Key <= Key("/t", endpoints, "a") || next.Key > Key("/t", endpoints, "a!") || next.Revision != 10 {
		t.Errorf("the next page is %+v", next)
	}
}

// A watch that ends as it begins, again and again, is paused for, longer each time.
func TestWatchesThatEndAtOnce(t *testing.T) {
	s := begun(t, 2)
	var pauses []Time
	for range 60 {
		s.then(Event{Kind: Failed, Why: Unavailable})
		if s.m.state == pausing {
			pauses = append(pauses, s.m.Next()-s.now)
			s.now = s.m.Next()
			s.then(Event{})
		}
		s.then(Event{Kind: Watching, Cluster: 7, Revision: 10})
	}
	if len(pauses) < 20 || pauses[len(pauses)-1] < s.m.set.PauseMost/2-1000 || pauses[0] > 2*s.m.set.PauseLeast {
		t.Errorf("%d pauses: %v", len(pauses), pauses)
	}
}
