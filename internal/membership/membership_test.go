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

// Property tests draw the same updates in each run, unless -rapid.seed is given; 0 draws others in each run.
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

// The sources of the tests, in order of precedence.
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
	settings := testSettings()
	for _, f := range change {
		f(&settings)
	}
	v, err := New(settings)
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

// upMembers returns the endpoints 0 to n-1.
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

// publishedPhase returns the phase of an endpoint in the view, empty if the view does not list it.
func (v *View) publishedPhase(id string) string {
	if p := v.published[id]; p != nil && p.listed {
		return p.Phase
	}
	return ""
}

func (v *View) mustApply(t testing.TB, now Time, u *Update, want Verdict) []Change {
	t.Helper()
	if got := v.Apply(now, u); got != want {
		t.Fatalf("Apply(%d, %+v) = %v, want %v", now, *u, got, want)
	}
	return v.Step(now)
}

// New rejects each kind of invalid settings.
func TestSettings(t *testing.T) {
	for name, f := range map[string]func(*Settings){
		"no source":                      func(s *Settings) { s.Sources = nil },
		"source without name":            func(s *Settings) { s.Sources[1].Name = "" },
		"two sources with the same name": func(s *Settings) { s.Sources[1].Name = "etcd" },
		"StaleAfter 0":                   func(s *Settings) { s.Sources[0].StaleAfter = 0 },
		"MaxRemovalShare over 1":         func(s *Settings) { s.MaxRemovalShare = 1.1 },
		"MaxUpsPerStep 0":                func(s *Settings) { s.MaxUpsPerStep = 0 },
		"RemovalWindow 0":                func(s *Settings) { s.RemovalWindow = 0 },
		"RemovalRetention 0":             func(s *Settings) { s.RemovalRetention = 0 },
	} {
		settings := testSettings()
		f(&settings)
		if _, err := New(settings); err == nil {
			t.Errorf("%s: New returns no error", name)
		}
	}
}

// Guards against a drain that is revoked by another source: etcd lists an endpoint as draining and
// then falls silent, while the registry lists it as up. It must stay draining until etcd itself
// lists it as up.
func TestDrainOutlastsSilentSource(t *testing.T) {
	v := newView(t)
	v.mustApply(t, second, completeUpdate(registrySource, 5, upMembers(4)...), Accepted)
	v.mustApply(t, second, completeUpdate(etcdSource, 100, upMembers(4)...), Accepted)
	got := v.mustApply(t, 2*second, changeUpdate(etcdSource, 101, drainingMember("e00001", 1)), Accepted)
	if len(got) != 1 || got[0].ID != "e00001" || got[0].Phase != Draining || got[0].DecidedBy != etcdSource {
		t.Fatalf("changes after etcd's drain: %+v, want e00001 draining by etcd", got)
	}
	for at := 3 * second; at < 200*second; at += second { // etcd is silent, the registry still lists it as up
		v.mustApply(t, at, completeUpdate(registrySource, 5+at/second, upMembers(4)...), Accepted)
	}
	if v.sources[etcdSource].fresh || v.publishedPhase("e00001") != Draining {
		t.Errorf("after etcd's silence: etcd is fresh: %v, want false; endpoint is %q, want %q",
			v.sources[etcdSource].fresh, v.publishedPhase("e00001"), Draining)
	}
	got = v.mustApply(t, 201*second, changeUpdate(etcdSource, 102, upMember("e00001", 1)), Accepted)
	if len(got) != 1 || got[0].Phase != Up {
		t.Errorf("changes after etcd lists the endpoint as up: %+v, want one to up", got)
	}
}

// A removal by one source overrides the other sources, until RemovalRetention has passed.
func TestRemovalOverridesOtherSources(t *testing.T) {
	v := newView(t)
	v.mustApply(t, second, completeUpdate(etcdSource, 1, upMembers(4)...), Accepted)
	v.mustApply(t, second, completeUpdate(registrySource, 1, upMembers(4)...), Accepted)
	got := v.mustApply(t, 2*second, changeUpdate(registrySource, 2, removedMember("e00002", 2)), Accepted)
	if len(got) != 1 || got[0].Phase != Removed || got[0].DecidedBy != registrySource {
		t.Fatalf("changes after the registry's removal: %+v, want one removal by the registry", got)
	}
	v.mustApply(t, 3*second, changeUpdate(etcdSource, 2, upMember("e00002", 2)), Accepted)
	if v.publishedPhase("e00002") != "" {
		t.Error("another source has revoked the removal")
	}
	last := 2*second + v.settings.RemovalRetention
	v.Step(last - 1)
	if v.publishedPhase("e00002") != "" {
		t.Error("the removal stopped applying before RemovalRetention had passed")
	}
	if v.Step(last); v.publishedPhase("e00002") != Up {
		t.Error("the removal still applies after RemovalRetention")
	}
	v.mustApply(t, last+second, changeUpdate(registrySource, 3, upMember("e00002", 2)), Accepted)
	if v.publishedPhase("e00002") != Up {
		t.Errorf("endpoint is %q after its source lists it again, want %q", v.publishedPhase("e00002"), Up)
	}
}

// A silent source removes no endpoint from the view.
func TestSilentSourceRemovesNothing(t *testing.T) {
	v := newView(t)
	v.mustApply(t, second, completeUpdate(etcdSource, 1, upMembers(9)...), Accepted)
	v.mustApply(t, second, completeUpdate(registrySource, 1, upMembers(9)...), Accepted)
	for at := 2 * second; at < 4000*second; at += 7 * second {
		if got := v.Step(at); len(got) > 0 {
			t.Fatalf("changes at %d s: %+v, want none", at/second, got)
		}
	}
	if len(v.Members()) != 9 || v.sources[etcdSource].fresh || v.sources[registrySource].fresh {
		t.Errorf("%d members, want 9; etcd fresh: %v, registry fresh: %v, want false",
			len(v.Members()), v.sources[etcdSource].fresh, v.sources[registrySource].fresh)
	}
	if warnings := v.TakeWarnings(); len(warnings) != 2 {
		t.Errorf("warnings %+v, want 2", warnings)
	}
}

// The first fresh source decides the address, the first fresh source that states a rate the rate.
func TestPrecedence(t *testing.T) {
	v := newView(t)
	inEtcd, inRegistry := upMember("x", 1), upMember("x", 1)
	inEtcd.HostPort, inEtcd.Rate, inRegistry.Rate = "127.0.0.1:9001", 0, 4
	inRegistry.Locality = "b"
	v.mustApply(t, second, completeUpdate(etcdSource, 1, inEtcd), Accepted)
	v.mustApply(t, second, completeUpdate(registrySource, 1, inRegistry), Accepted)
	m := v.Members()[0]
	if m.HostPort != inEtcd.HostPort || m.Locality != "a" || m.Rate != 4 {
		t.Errorf("both sources fresh: got %+v, want etcd's address and zone, and the registry's rate", m)
	}
	v.Heartbeat(19*second, registrySource)
	v.Step(19 * second)
	if m := v.Members()[0]; m.HostPort != inRegistry.HostPort || m.Locality != "b" {
		t.Errorf("etcd silent: got %+v, want the registry's address and zone", m)
	}
	v.Heartbeat(20*second, etcdSource)
	v.Step(20 * second)
	if m := v.Members()[0]; m.HostPort != inEtcd.HostPort {
		t.Errorf("etcd fresh again: got %+v, want etcd's address", m)
	}
}

// Guards against a faulty source that removes most endpoints at once, for example with an empty list.
// The removals are held until a resync confirms them. Drains apply in the meantime.
func TestMassRemovalNeedsResync(t *testing.T) {
	for _, c := range []struct {
		name        string
		membersLeft int // members left after a further list, which lists only four members and is no resync
		update      func(rev int64) *Update
	}{
		{"empty list", 10, func(rev int64) *Update { return completeUpdate(etcdSource, rev) }},
		{"empty list in a new epoch", 10, func(int64) *Update {
			return &Update{Source: etcdSource, Epoch: "2", Revision: 1, Complete: true}
		}},
		{"removals in one change", 8, func(rev int64) *Update {
			u := changeUpdate(etcdSource, rev)
			for _, m := range upMembers(8) {
				u.Members = append(u.Members, withPhase(Removed, m))
			}
			return u
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newView(t)
			v.mustApply(t, second, completeUpdate(etcdSource, 50, upMembers(10)...), Accepted)
			got := v.mustApply(t, 2*second, c.update(51), RemovalsHeld)
			if len(got) > 0 || len(v.Members()) != 10 || !v.ResyncRequested(etcdSource) {
				t.Fatalf("changes %+v, %d members, resync requested: %v; want none, 10, true",
					got, len(v.Members()), v.ResyncRequested(etcdSource))
			}
			epoch, rev, _ := v.Position(etcdSource)
			drain := changeUpdate(etcdSource, rev+1, drainingMember("e00003", 3))
			drain.Epoch = epoch
			if v.mustApply(t, 3*second, drain, Accepted); v.publishedPhase("e00003") != Draining {
				t.Error("a drain is not applied while removals are held")
			}
			short := completeUpdate(etcdSource, rev+2, upMembers(4)...)
			short.Epoch = epoch
			if v.mustApply(t, 4*second, short, RemovalsHeld); len(v.Members()) != c.membersLeft {
				t.Errorf("%d members after a list that is no resync, want %d", len(v.Members()), c.membersLeft)
			}
			short.Resync = true
			if v.mustApply(t, 5*second, short, Accepted); len(v.Members()) != 4 || v.ResyncRequested(etcdSource) {
				t.Errorf("after the resync: %d members, resync requested: %v; want 4, false",
					len(v.Members()), v.ResyncRequested(etcdSource))
			}
		})
	}
}

// Guards against a source that removes most endpoints one by one: single removals within the window
// add up to the limit. Removals of draining endpoints do not count.
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
	if held != 2 || len(v.Members()) != 6 { // of 16 removals, 4 are of draining endpoints and 10 fit the limit
		t.Errorf("%d removals held, %d members; want 2 and 6", held, len(v.Members()))
	}
	for k := 16; k < 20; k++ { // in later windows, removals are accepted again
		later := 2*second + Time(k+1)*v.settings.RemovalWindow
		removed := removedMember(fmt.Sprintf("e%05d", k), k)
		v.mustApply(t, later, changeUpdate(etcdSource, int64(100+k), removed), Accepted)
	}
	if len(v.Members()) != 2 {
		t.Errorf("%d members after removals in later windows, want 2", len(v.Members()))
	}
}

// An endpoint that flaps a hundred times per second goes down without delay each time, but comes up
// at most MaxFlaps times. After that it comes up only HoldDown after it last went down.
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
				t.Fatal("a drain is delayed")
			}
		}
	}
	if ups > v.settings.MaxFlaps || downs != ups+1 {
		t.Errorf("endpoint came up %d times and went down %d times, want at most %d ups and one down more",
			ups, downs, v.settings.MaxFlaps)
	}
	for n := 0; v.publishedPhase("e00001") != Up && n < 10; n++ {
		next := v.NextDeadline()
		if next <= now {
			t.Fatalf("NextDeadline() = %d, want after %d", next, now)
		}
		now = next
		v.Step(now)
	}
	if v.publishedPhase("e00001") != Up || now > 2*second+5*second+v.settings.HoldDown+second {
		t.Errorf("endpoint is %q at %d ms, want %q soon after HoldDown", v.publishedPhase("e00001"), now/1000, Up)
	}
}

// The endpoints of a list of 50,000 come up in several steps. Drains and lowered rates are published
// in the next step, without waiting for the rest of the list.
func TestLongLists(t *testing.T) {
	v := newView(t)
	v.Apply(second, completeUpdate(etcdSource, 1, upMembers(50000)...))
	if got := v.Step(second); len(got) != v.settings.MaxUpsPerStep || v.NextDeadline() > second {
		t.Fatalf("first step: %d changes, next deadline %d; want %d changes and a deadline that is due",
			len(got), v.NextDeadline(), v.settings.MaxUpsPerStep)
	}
	slow := upMember("e00002", 2)
	slow.Rate = 1
	v.Apply(second, changeUpdate(etcdSource, 2, drainingMember("e00001", 1), slow, drainingMember("e49999", 49999)))
	got := v.Step(second)
	if len(got) != v.settings.MaxUpsPerStep+3 || got[0].ID != "e00001" || got[1].Rate != 1 || got[2].Phase != Draining {
		t.Errorf("second step: %d changes beginning with %+v, want %d, first a drain, a lowered rate and a drain",
			len(got), got[:3], v.settings.MaxUpsPerStep+3)
	}
	steps := 2
	for ; v.NextDeadline() <= second; steps++ {
		v.Step(second)
	}
	if steps != 13 || len(v.Members()) != 50000 {
		t.Errorf("list published in %d steps with %d members, want 13 and 50000", steps, len(v.Members()))
	}
	if v.publishedPhase("e49999") != Draining {
		t.Error("an endpoint that drained before it was published came up")
	}
}

// An entry that cannot be decoded keeps its last known state, and causes only one warning.
func TestUnreadableEntries(t *testing.T) {
	v := newView(t)
	v.mustApply(t, second, completeUpdate(etcdSource, 1, upMembers(3)...), Accepted)
	for rev := int64(2); rev < 6; rev++ {
		u := completeUpdate(etcdSource, rev, upMembers(2)...)
		u.UnreadableIDs = []string{"e00002", "never"}
		if got := v.mustApply(t, second, u, Accepted); len(got) > 0 {
			t.Fatalf("changes %+v, want none", got)
		}
	}
	warnings := 0
	for _, w := range v.TakeWarnings() {
		if w.ID == "e00002" {
			warnings++
		}
	}
	if warnings != 1 || v.publishedPhase("e00002") != Up {
		t.Errorf("%d warnings, endpoint is %q; want 1 and %q", warnings, v.publishedPhase("e00002"), Up)
	}
	u := changeUpdate(etcdSource, 7)
	u.UnreadableIDs, u.DrainedIDs = []string{"e00002"}, []string{"e00002", "never"}
	if v.mustApply(t, second, u, Accepted); v.publishedPhase("e00002") != Draining || v.publishedPhase("never") != "" {
		t.Errorf("after drains of unreadable entries: known entry is %q, want %q; unknown entry is %q, want none",
			v.publishedPhase("e00002"), Draining, v.publishedPhase("never"))
	}
	v.mustApply(t, second, changeUpdate(etcdSource, 8, upMember("e00002", 2)), Accepted)
	if v.publishedPhase("e00002") != Up {
		t.Errorf("endpoint is %q after a readable value, want %q", v.publishedPhase("e00002"), Up)
	}
}

// Entries of two sources with different ids and the same address are one endpoint. A new id at the
// same address in the same source is a new endpoint, which does not inherit the old one's phase.
func TestEndpointWithTwoIDs(t *testing.T) {
	v := newView(t)
	v.mustApply(t, second, completeUpdate(etcdSource, 1, upMember("a1", 1)), Accepted)
	v.mustApply(t, second, completeUpdate(registrySource, 1, upMember("b1", 1), upMember("b2", 2)), Accepted)
	if len(v.Members()) != 2 || v.publishedPhase("b1") != "" || v.publishedPhase("a1") != Up {
		t.Fatalf("view is %+v, want a1 and b2", v.Members())
	}
	v.mustApply(t, second, changeUpdate(registrySource, 2, drainingMember("b1", 1)), Accepted)
	if v.publishedPhase("a1") != Draining {
		t.Errorf("a1 is %q after a drain under its other id, want %q", v.publishedPhase("a1"), Draining)
	}
	// The endpoint is replaced by a new one at its address: first etcd, then the registry lists the new one.
	got := v.mustApply(t, second, changeUpdate(etcdSource, 2, removedMember("a1", 1), upMember("a2", 1)), Accepted)
	if v.publishedPhase("a1") != "" || v.publishedPhase("a2") != Draining {
		t.Errorf("after etcd's update: a1 is %q, a2 is %q, want none and %q; changes %+v",
			v.publishedPhase("a1"), v.publishedPhase("a2"), Draining, got)
	}
	v.mustApply(t, second, changeUpdate(registrySource, 3, removedMember("b1", 1), upMember("b0", 1)), Accepted)
	if v.publishedPhase("a2") != Up || v.publishedPhase("b0") != "" || len(v.Members()) != 2 {
		t.Errorf("after the registry's update: a2 is %q, want %q; all entries: %+v",
			v.publishedPhase("a2"), Up, v.Explain(second))
	}
	// The same address for another destination is another endpoint.
	other := upMember("b4", 1)
	other.Dest = 4
	if v.mustApply(t, second, changeUpdate(registrySource, 4, other), Accepted); v.publishedPhase("b4") != Up {
		t.Errorf("b4 is %q, want %q: view is %+v", v.publishedPhase("b4"), Up, v.Members())
	}
}

// An update with an older revision or of a former epoch is outdated. A change to a list that is not
// known requires a resync.
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
		t.Errorf("view is %+v, want 3 members and e00001 up", v.Members())
	}
}

// drawUpdates draws random updates of three sources.
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

// drawOrder draws a random interleaving of the updates, which keeps the order of each source.
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

// publishedList is the list of a relay that applies all published changes.
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

// stepUntilPublished calls Step until all changes are published, and returns the members of the view.
func (v *View) stepUntilPublished(l publishedList, now Time) []Member {
	for range 100 {
		l.apply(v.Step(now))
	}
	return v.Members()
}

const testNow = 1000 * second

func withoutDelays(s *Settings) {
	for i := range s.Sources {
		s.Sources[i].StaleAfter = 1e15
	}
	s.HoldDown, s.MaxUpsPerStep = 0, 2
}

// For random updates: the view does not depend on the order in which the sources are heard; the
// published changes add up to the view; repeated updates change nothing; and a view that imports
// the exported state has the same members.
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
			rt.Fatalf("two orders of updates give different views:\n%+v\n%+v", a.Explain(testNow), b.Explain(testNow))
		}
		for id, p := range a.published {
			if m, ok := la[id]; ok != p.listed || ok && m != p.Member {
				rt.Fatalf("published changes of %s add up to %+v, but the view has %+v", id, m, p)
			}
		}
		before := a.Members()
		for _, u := range first[:rapid.IntRange(0, len(first)).Draw(rt, "again")] {
			a.Apply(testNow, u)
		}
		if a.stepUntilPublished(la, testNow); !reflect.DeepEqual(before, a.Members()) {
			rt.Fatalf("repeated updates changed the view:\n%+v\n%+v", before, a.Members())
		}
		c := newView(t, withoutDelays)
		c.Import(testNow, b.Export(testNow))
		if c.stepUntilPublished(publishedList{}, testNow); !reflect.DeepEqual(c.Members(), b.Members()) {
			rt.Fatalf("the view changed by export and import:\n%+v\n%+v", b.Members(), c.Members())
		}
	})
}

// For random updates: from the next step on, a drain or an accepted removal applies until the same
// source states otherwise, whatever the other sources state.
func TestDrainsOverrideOtherSources(t *testing.T) {
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
						rt.Fatalf("%s is up, but source %d last stated %s; after update %+v the entries are %v",
							id, i, phase, *u, v.Explain(testNow))
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
