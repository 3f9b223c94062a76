package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const second Time = 1e6

// The properties are tried on the same updates in each run; -rapid.seed 0 draws others.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "26", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if !given {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// Sources of the tests, by precedence.
const (
	etcdSource = iota
	registrySource
	dnsSource
)

func testSettings() Settings {
	return DefaultSettings(Source{"etcd", 10 * second}, Source{"registry", 20 * second}, Source{"srv", 300 * second})
}

func newView(t testing.TB, change ...func(*Settings)) *View {
	t.Helper()
	set := testSettings()
	for _, f := range change {
		f(&set)
	}
	v, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func upMember(id string, k int) Member {
	return Member{
		ID: id, HostPort: fmt.Sprintf("127.0.0.1:%d", 7000+k), Locality: "a", Flavor: "k",
		Dest: k % 5, Phase: Up, Rate: 10,
	}
}

func withPhase(phase string, m Member) Member {
	m.Phase = phase
	return m
}

func drainingMember(id string, k int) Member { return withPhase(Draining, upMember(id, k)) }

func removedMember(id string, k int) Member { return withPhase(Removed, upMember(id, k)) }

// upMembers are endpoints 0 to n-1.
func upMembers(n int) (all []Member) {
	for k := range n {
		all = append(all, upMember(fmt.Sprintf("e%05d", k), k))
	}
	return all
}

func completeUpdate(source int, rev int64, m ...Member) *Update {
	return &Update{Source: source, Epoch: "1", Revision: rev, Complete: true, Members: m}
}

func changeUpdate(source int, rev int64, m ...Member) *Update {
	return &Update{Source: source, Epoch: "1", Revision: rev, Members: m}
}

// publishedPhase is the phase of an endpoint in the view; empty where it is not there.
func (v *View) publishedPhase(id string) string {
	if x := v.published[id]; x != nil && x.listed {
		return x.Phase
	}
	return ""
}

func (v *View) mustApply(t testing.TB, now Time, u *Update, want Verdict) []Change {
	t.Helper()
	if got := v.Apply(now, u); got != want {
		t.Fatalf("verdict %v, want %v", got, want)
	}
	return v.Step(now)
}

func TestSettings(t *testing.T) {
	for name, f := range map[string]func(*Settings){
		"no source":        func(x *Settings) { x.Sources = nil },
		"no name":          func(x *Settings) { x.Sources[1].Name = "" },
		"two of one name":  func(x *Settings) { x.Sources[1].Name = "etcd" },
		"never stale":      func(x *Settings) { x.Sources[0].StaleAfter = 0 },
		"more than all":    func(x *Settings) { x.MaxRemovalShare = 1.1 },
		"nothing at once":  func(x *Settings) { x.MaxUpsPerStep = 0 },
		"no span":          func(x *Settings) { x.RemovalWindow = 0 },
		"remember nothing": func(x *Settings) { x.RemovalRetention = 0 },
	} {
		set := testSettings()
		f(&set)
		if _, err := New(set); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// The registry lists an endpoint as up; etcd lists it as draining and is lost then: it
// stays draining until etcd itself lists it as up.
func TestDrainOutlastsSilentSource(t *testing.T) {
	v := newView(t)
	v.mustApply(t, second, completeUpdate(registrySource, 5, upMembers(4)...), Accepted)
	v.mustApply(t, second, completeUpdate(etcdSource, 100, upMembers(4)...), Accepted)
	got := v.mustApply(t, 2*second, changeUpdate(etcdSource, 101, drainingMember("e00001", 1)), Accepted)
	if len(got) != 1 || got[0].ID != "e00001" || got[0].Phase != Draining || got[0].DecidedBy != etcdSource {
		t.Fatalf("changes %+v", got)
	}
	for at := 3 * second; at < 200*second; at += second { // etcd is silent, the registry goes on to list it as up
		v.mustApply(t, at, completeUpdate(registrySource, 5+at/second, upMembers(4)...), Accepted)
	}
	if v.sources[etcdSource].fresh || v.publishedPhase("e00001") != Draining {
		t.Errorf("etcd is fresh: %v; the endpoint is %q", v.sources[etcdSource].fresh, v.publishedPhase("e00001"))
	}
	got = v.mustApply(t, 201*second, changeUpdate(etcdSource, 102, upMember("e00001", 1)), Accepted)
	if len(got) != 1 || got[0].Phase != Up {
		t.Errorf("etcd is back and lists it as up: %+v", got)
	}
}

// A removal binds the others, for a time.
func TestRemovalBindsOtherSources(t *testing.T) {
	v := newView(t)
	v.mustApply(t, second, completeUpdate(etcdSource, 1, upMembers(4)...), Accepted)
	v.mustApply(t, second, completeUpdate(registrySource, 1, upMembers(4)...), Accepted)
	got := v.mustApply(t, 2*second, changeUpdate(registrySource, 2, removedMember("e00002", 2)), Accepted)
	if len(got) != 1 || got[0].Phase != Removed || got[0].DecidedBy != registrySource {
		t.Fatalf("changes %+v", got)
	}
	v.mustApply(t, 3*second, changeUpdate(etcdSource, 2, upMember("e00002", 2)), Accepted)
	if v.publishedPhase("e00002") != "" {
		t.Error("another source has taken a removal back")
	}
	last := 2*second + v.settings.RemovalRetention
	v.Step(last - 1)
	if v.publishedPhase("e00002") != "" {
		t.Error("too early")
	}
	if v.Step(last); v.publishedPhase("e00002") != Up {
		t.Error("bound for longer than stated")
	}
	v.mustApply(t, last+second, changeUpdate(registrySource, 3, upMember("e00002", 2)), Accepted)
	if v.publishedPhase("e00002") != Up {
		t.Error("the same source lists it again")
	}
}

// Silence takes nobody out of the view.
func TestSilentSourceRemovesNothing(t *testing.T) {
	v := newView(t)
	v.mustApply(t, second, completeUpdate(etcdSource, 1, upMembers(9)...), Accepted)
	v.mustApply(t, second, completeUpdate(registrySource, 1, upMembers(9)...), Accepted)
	for at := 2 * second; at < 4000*second; at += 7 * second {
		if got := v.Step(at); len(got) > 0 {
			t.Fatalf("at %d s: %+v", at/second, got)
		}
	}
	if len(v.Members()) != 9 || v.sources[etcdSource].fresh || v.sources[registrySource].fresh {
		t.Errorf("%d left", len(v.Members()))
	}
	if n := v.TakeWarnings(); len(n) != 2 {
		t.Errorf("noted %+v", n)
	}
}

// The first source that is fresh has the address and the rate.
func TestPrecedence(t *testing.T) {
	v := newView(t)
	a, b := upMember("x", 1), upMember("x", 1)
	a.HostPort, a.Rate, b.Rate = "127.0.0.1:9001", 0, 4
	b.Locality = "b"
	v.mustApply(t, second, completeUpdate(etcdSource, 1, a), Accepted)
	v.mustApply(t, second, completeUpdate(registrySource, 1, b), Accepted)
	m := v.Members()[0]
	if m.HostPort != a.HostPort || m.Locality != "a" || m.Rate != 4 {
		t.Errorf("both fresh: %+v", m)
	}
	v.Heartbeat(19*second, registrySource)
	v.Step(19 * second)
	if m := v.Members()[0]; m.HostPort != b.HostPort || m.Locality != "b" {
		t.Errorf("the first one is silent: %+v", m)
	}
	v.Heartbeat(20*second, etcdSource)
	v.Step(20 * second)
	if m := v.Members()[0]; m.HostPort != a.HostPort {
		t.Errorf("it is fresh again: %+v", m)
	}
}

// A source that suddenly loses most of what it listed is read once more; what it
// drains meanwhile drains.
func TestMassRemovalNeedsResync(t *testing.T) {
	for _, x := range []struct {
		name   string
		left   int // members, once a list that is no resync has removed most of them again
		update func(rev int64) *Update
	}{
		{"an empty list", 10, func(rev int64) *Update { return completeUpdate(etcdSource, rev) }},
		{"empty after a restore", 10, func(int64) *Update {
			return &Update{Source: etcdSource, Epoch: "2", Revision: 1, Complete: true}
		}},
		{"in one change", 8, func(rev int64) *Update {
			u := changeUpdate(etcdSource, rev)
			for _, m := range upMembers(8) {
				u.Members = append(u.Members, withPhase(Removed, m))
			}
			return u
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			v := newView(t)
			v.mustApply(t, second, completeUpdate(etcdSource, 50, upMembers(10)...), Accepted)
			got := v.mustApply(t, 2*second, x.update(51), RemovalsHeld)
			if len(got) > 0 || len(v.Members()) != 10 || !v.ResyncRequested(etcdSource) {
				t.Fatalf("changes %+v, %d left, resync %v", got, len(v.Members()), v.ResyncRequested(etcdSource))
			}
			epoch, rev, _ := v.Position(etcdSource)
			drain := changeUpdate(etcdSource, rev+1, drainingMember("e00003", 3))
			drain.Epoch = epoch
			if v.mustApply(t, 3*second, drain, Accepted); v.publishedPhase("e00003") != Draining {
				t.Error("a drain is not obeyed while a loss is held")
			}
			same := completeUpdate(etcdSource, rev+2, upMembers(4)...)
			same.Epoch = epoch
			if v.mustApply(t, 4*second, same, RemovalsHeld); len(v.Members()) != x.left {
				t.Error("a list that is no resync is believed")
			}
			same.Resync = true
			if v.mustApply(t, 5*second, same, Accepted); len(v.Members()) != 4 || v.ResyncRequested(etcdSource) {
				t.Errorf("%d left, resync %v", len(v.Members()), v.ResyncRequested(etcdSource))
			}
		})
	}
}

// One by one most of them go as well; those that had drained do not count.
func TestSingleRemovalsAddUp(t *testing.T) {
	v := newView(t)
	v.mustApply(t, second, completeUpdate(etcdSource, 1, upMembers(20)...), Accepted)
	held := 0
	for k := range 16 {
		id := fmt.Sprintf("e%05d", k)
		rev := int64(10 + 2*k)
		if k < 4 {
			v.mustApply(t, 2*second, changeUpdate(etcdSource, rev, drainingMember(id, k)), Accepted)
		}
		if v.Apply(2*second, changeUpdate(etcdSource, rev+1, removedMember(id, k))) == RemovalsHeld {
			held++
		}
		v.Step(2 * second)
	}
	if held != 2 || len(v.Members()) != 6 { // ten of twenty may go; four had drained
		t.Errorf("%d held, %d left", held, len(v.Members()))
	}
	for k := 16; k < 20; k++ { // long after, they may
		later := 2*second + Time(k+1)*v.settings.RemovalWindow
		removed := removedMember(fmt.Sprintf("e%05d", k), k)
		v.mustApply(t, later, changeUpdate(etcdSource, int64(100+k), removed), Accepted)
	}
	if len(v.Members()) != 2 {
		t.Errorf("%d left", len(v.Members()))
	}
}

// One that flaps a hundred times a second goes down at once each time and comes up
// no more than so often; the others are published as ever.
func TestFlapping(t *testing.T) {
	v := newView(t)
	v.mustApply(t, second, completeUpdate(etcdSource, 1, upMembers(3)...), Accepted)
	ups, downs, rev := 0, 0, int64(1)
	now := 2 * second
	for range 500 {
		for _, phase := range []string{Draining, Up} {
			rev++
			now += 5000
			flap := changeUpdate(etcdSource, rev, withPhase(phase, upMember("e00001", 1)))
			for _, c := range v.mustApply(t, now, flap, Accepted) {
				if c.Phase == Up {
					ups++
				} else {
					downs++
				}
			}
			if phase == Draining && v.publishedPhase("e00001") == Up {
				t.Fatal("a drain waits")
			}
		}
	}
	if ups > v.settings.MaxFlaps || downs != ups+1 {
		t.Errorf("%d ups and %d downs", ups, downs)
	}
	for n := 0; v.publishedPhase("e00001") != Up && n < 10; n++ {
		next := v.NextDeadline()
		if next <= now {
			t.Fatalf("next at %d, now %d", next, now)
		}
		now = next
		v.Step(now)
	}
	if v.publishedPhase("e00001") != Up || now > 2*second+5*second+v.settings.HoldDown+second {
		t.Errorf("%q at %d ms", v.publishedPhase("e00001"), now/1000)
	}
}

// A list of 50,000 comes up in pieces; a drain in the middle of it, and a rate that
// is cut, do not wait for the rest.
func TestLongLists(t *testing.T) {
	v := newView(t)
	v.Apply(second, completeUpdate(etcdSource, 1, upMembers(50000)...))
	if got := v.Step(second); len(got) != v.settings.MaxUpsPerStep || v.NextDeadline() > second {
		t.Fatalf("%d changes, next at %d", len(got), v.NextDeadline())
	}
	slow := upMember("e00002", 2)
	slow.Rate = 1
	v.Apply(second, changeUpdate(etcdSource, 2, drainingMember("e00001", 1), slow, drainingMember("e49999", 49999)))
	got := v.Step(second)
	if len(got) != v.settings.MaxUpsPerStep+3 || got[0].ID != "e00001" || got[1].Rate != 1 || got[2].Phase != Draining {
		t.Errorf("%d changes, first %+v", len(got), got[:3])
	}
	steps := 2
	for ; v.NextDeadline() <= second; steps++ {
		v.Step(second)
	}
	if steps != 13 || len(v.Members()) != 50000 {
		t.Errorf("%d steps, %d members", steps, len(v.Members()))
	}
	if v.publishedPhase("e49999") != Draining {
		t.Error("one that drained before it was published came up")
	}
}

// An entry that cannot be read stays as it was, and is noted once.
func TestUnreadableEntries(t *testing.T) {
	v := newView(t)
	v.mustApply(t, second, completeUpdate(etcdSource, 1, upMembers(3)...), Accepted)
	for rev := int64(2); rev < 6; rev++ {
		u := completeUpdate(etcdSource, rev, upMembers(2)...)
		u.UnreadableIDs = []string{"e00002", "never"}
		if got := v.mustApply(t, second, u, Accepted); len(got) > 0 {
			t.Fatalf("changes %+v", got)
		}
	}
	known := 0
	for _, n := range v.TakeWarnings() {
		if n.ID == "e00002" {
			known++
		}
	}
	if known != 1 || v.publishedPhase("e00002") != Up {
		t.Errorf("noted %d times; %q", known, v.publishedPhase("e00002"))
	}
	u := changeUpdate(etcdSource, 7)
	u.UnreadableIDs, u.DrainedIDs = []string{"e00002"}, []string{"e00002", "never"}
	if v.mustApply(t, second, u, Accepted); v.publishedPhase("e00002") != Draining || v.publishedPhase("never") != "" {
		t.Error("a drain of one that cannot be read")
	}
	v.mustApply(t, second, changeUpdate(etcdSource, 8, upMember("e00002", 2)), Accepted)
	if v.publishedPhase("e00002") != Up {
		t.Error("it can be read again, and does not drain")
	}
}

// One endpoint under two names is one; an address under a new id of the same source
// is a new endpoint, and inherits nothing.
func TestEndpointWithTwoIDs(t *testing.T) {
	v := newView(t)
	v.mustApply(t, second, completeUpdate(etcdSource, 1, upMember("a1", 1)), Accepted)
	v.mustApply(t, second, completeUpdate(registrySource, 1, upMember("b1", 1), upMember("b2", 2)), Accepted)
	if len(v.Members()) != 2 || v.publishedPhase("b1") != "" || v.publishedPhase("a1") != Up {
		t.Fatalf("%+v", v.Members())
	}
	v.mustApply(t, second, changeUpdate(registrySource, 2, drainingMember("b1", 1)), Accepted)
	if v.publishedPhase("a1") != Draining {
		t.Error("a drain under its other name")
	}
	// It is replaced: both sources update it, one after the other.
	got := v.mustApply(t, second, changeUpdate(etcdSource, 2, removedMember("a1", 1), upMember("a2", 1)), Accepted)
	if v.publishedPhase("a1") != "" || v.publishedPhase("a2") != Draining {
		t.Errorf("changes %+v; a1 %q, a2 %q", got, v.publishedPhase("a1"), v.publishedPhase("a2"))
	}
	v.mustApply(t, second, changeUpdate(registrySource, 3, removedMember("b1", 1), upMember("b0", 1)), Accepted)
	if v.publishedPhase("a2") != Up || v.publishedPhase("b0") != "" || len(v.Members()) != 2 {
		t.Errorf("a2 %q: %+v", v.publishedPhase("a2"), v.Explain(second))
	}
	// In another cell the same address is somebody else.
	other := upMember("b4", 1)
	other.Dest = 4
	if v.mustApply(t, second, changeUpdate(registrySource, 4, other), Accepted); v.publishedPhase("b4") != Up {
		t.Errorf("%+v", v.Members())
	}
}

// A list of an older revision, of an epoch that was left, and a change that builds
// on nothing are not believed.
func TestRevisions(t *testing.T) {
	v := newView(t)
	v.mustApply(t, second, changeUpdate(etcdSource, 5, upMember("x", 1)), ResyncRequired)
	v.mustApply(t, second, completeUpdate(etcdSource, 5, upMembers(3)...), Accepted)
	v.mustApply(t, second, changeUpdate(etcdSource, 4, drainingMember("e00001", 1)), Outdated)
	v.mustApply(t, second, completeUpdate(etcdSource, 4), Outdated)
	u := changeUpdate(etcdSource, 6, drainingMember("e00001", 1))
	u.Epoch = "2"
	v.mustApply(t, second, u, ResyncRequired)
	u = completeUpdate(etcdSource, 2, upMembers(3)...)
	u.Epoch = "2"
	v.mustApply(t, second, u, Accepted)
	v.mustApply(t, second, completeUpdate(etcdSource, 900, upMembers(1)...), Outdated)
	if len(v.Members()) != 3 || v.publishedPhase("e00001") != Up {
		t.Errorf("%+v", v.Members())
	}
}

// drawUpdates draws the updates of three sources.
func drawUpdates(t *rapid.T) [][]*Update {
	ids := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
	plan := make([][]*Update, 3)
	for i := range plan {
		rev, epoch := int64(0), 1
		for n := rapid.IntRange(0, 8).Draw(t, "updates"); n > 0; n-- {
			u := &Update{Source: i, Complete: len(plan[i]) == 0 || rapid.IntRange(0, 3).Draw(t, "whole") == 0}
			if u.Complete && rapid.IntRange(0, 5).Draw(t, "epoch") == 0 {
				epoch++
				rev = 0
			}
			u.Epoch = fmt.Sprint(epoch)
			if rapid.IntRange(0, 5).Draw(t, "old") == 0 && rev > 0 {
				u.Revision = rev - int64(rapid.IntRange(1, 3).Draw(t, "back"))
			} else {
				rev += int64(rapid.IntRange(1, 3).Draw(t, "step"))
				u.Revision, u.Resync = rev, u.Complete && rapid.Bool().Draw(t, "resync")
			}
			for _, id := range rapid.SliceOfNDistinct(ids, 0, 5, rapid.ID).Draw(t, "ids") {
				m := Member{
					ID:       id,
					HostPort: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "address"),
					Dest:     rapid.IntRange(0, 1).Draw(t, "dest"),
					Phase:    rapid.SampledFrom([]string{Up, Up, Draining, Removed}).Draw(t, "phase"),
					Rate:     float64(rapid.IntRange(0, 2).Draw(t, "rate")),
				}
				if u.Complete && m.Phase == Removed {
					m.Phase = Up
				}
				if rapid.IntRange(0, 9).Draw(t, "unreadable") == 0 {
					u.UnreadableIDs = append(u.UnreadableIDs, id)
				} else {
					u.Members = append(u.Members, m)
				}
			}
			plan[i] = append(plan[i], u)
		}
	}
	return plan
}

// drawOrder draws an order of updates that keeps each source's own.
func drawOrder(t *rapid.T, plan [][]*Update) (order []*Update) {
	at := make([]int, len(plan))
	for {
		var left []int
		for i := range plan {
			if at[i] < len(plan[i]) {
				left = append(left, i)
			}
		}
		if len(left) == 0 {
			return order
		}
		i := rapid.SampledFrom(left).Draw(t, "next")
		order = append(order, plan[i][at[i]])
		at[i]++
	}
}

// publishedList is a relay's list, made of the changes that were published.
type publishedList map[string]Member

func (l publishedList) apply(changes []Change) {
	for _, c := range changes {
		if c.Phase == Removed {
			delete(l, c.ID)
		} else {
			l[c.ID] = c.Member
		}
	}
}

// stepUntilPublished steps until all is published, and returns the view.
func (v *View) stepUntilPublished(l publishedList, now Time) []Member {
	for range 100 {
		l.apply(v.Step(now))
	}
	return v.Members()
}

const testNow = 1000 * second

func withoutDelays(x *Settings) {
	for i := range x.Sources {
		x.Sources[i].StaleAfter = 1e15
	}
	x.HoldDown, x.MaxUpsPerStep = 0, 2
}

// The view does not depend on which source was heard first; updates that come
// again change nothing; what was published adds up to it; and another process that takes
// over what was known has the same.
func TestArrivalOrderIsIrrelevant(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawUpdates(rt)
		play := func(order []*Update) (*View, publishedList) {
			v, l := newView(t, withoutDelays), publishedList{}
			for _, u := range order {
				v.Apply(testNow, u)
				l.apply(v.Step(testNow))
			}
			v.stepUntilPublished(l, testNow)
			return v, l
		}
		first := drawOrder(rt, plan)
		a, la := play(first)
		b, _ := play(drawOrder(rt, plan))
		if !reflect.DeepEqual(a.Explain(testNow), b.Explain(testNow)) || !reflect.DeepEqual(a.Members(), b.Members()) {
			rt.Fatalf("two orders:\n%+v\n%+v", a.Explain(testNow), b.Explain(testNow))
		}
		for id, x := range a.published {
			if m, ok := la[id]; ok != x.listed || ok && m != x.Member {
				rt.Fatalf("%s was published as %+v, and is %+v", id, m, x)
			}
		}
		before := a.Members()
		for _, u := range first[:rapid.IntRange(0, len(first)).Draw(rt, "again")] {
			a.Apply(testNow, u)
		}
		if a.stepUntilPublished(la, testNow); !reflect.DeepEqual(before, a.Members()) {
			rt.Fatalf("applied again:\n%+v\n%+v", before, a.Members())
		}
		c := newView(t, withoutDelays)
		c.Import(testNow, b.Export(testNow))
		if c.stepUntilPublished(publishedList{}, testNow); !reflect.DeepEqual(c.Members(), b.Members()) {
			rt.Fatalf("taken over:\n%+v\n%+v", b.Members(), c.Members())
		}
	})
}

// A drain, and an end that is believed, hold until the same source states otherwise,
// whatever the others state, from the next step on.
func TestDrainsAreMonotone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := newView(t, withoutDelays)
		l := publishedList{}
		last := make([]map[string]string, 3) // the phase that each source last stated, by id
		for i := range last {
			last[i] = map[string]string{}
		}
		for _, u := range drawOrder(rt, drawUpdates(rt)) {
			verdict := v.Apply(testNow, u)
			if verdict == Accepted || verdict == RemovalsHeld {
				listed := map[string]bool{}
				for _, m := range u.Members {
					listed[m.ID] = true
					if m.Phase != Removed {
						last[u.Source][m.ID] = m.Phase
					} else if verdict == Accepted && last[u.Source][m.ID] != "" {
						last[u.Source][m.ID] = Removed
					} else if last[u.Source][m.ID] != Draining && last[u.Source][m.ID] != Removed {
						delete(last[u.Source], m.ID)
					}
				}
				if u.Complete && verdict == Accepted {
					for id := range last[u.Source] {
						if !listed[id] && !slices.Contains(u.UnreadableIDs, id) {
							last[u.Source][id] = Removed
						}
					}
				}
			}
			l.apply(v.Step(testNow))
			for i := range last {
				for id, phase := range last[i] {
					if m, ok := l[id]; ok && phase != Up && m.Phase == Up {
						rt.Fatalf("%s is up, and source %d states %s: %+v %v", id, i, phase, *u, v.Explain(testNow))
					}
				}
			}
		}
	})
}

func BenchmarkCompleteList(b *testing.B) {
	for _, n := range []int{1000, 10000, 50000} {
		all := upMembers(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var v *View
			for b.Loop() {
				v = newView(b)
				v.Apply(second, completeUpdate(etcdSource, 1, all...))
				v.Apply(second, completeUpdate(registrySource, 1, all...))
				for v.NextDeadline() <= second {
					v.Step(second)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(v)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/endpoint")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/endpoint")
		})
	}
}

func BenchmarkChange(b *testing.B) {
	v := newView(b)
	v.Apply(second, completeUpdate(etcdSource, 1, upMembers(50000)...))
	rng := rand.New(rand.NewPCG(1, 2))
	rev := int64(1)
	for b.Loop() {
		rev++
		k := rng.IntN(50000)
		m := withPhase([]string{Up, Draining}[rev%2], upMember(fmt.Sprintf("e%05d", k), k))
		v.Apply(second+rev, changeUpdate(etcdSource, rev, m))
		v.Step(second + rev)
	}
}
