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

const s Time = 1e6

// The properties are tried on the same words in each run; -rapid.seed 0 draws others.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "26", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if !given {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// Sources of the tests, by precedence.
const (
	etcd = iota
	disc
	srv
)

func settings() Settings {
	return Default(Source{"etcd", 10 * s}, Source{"registry", 20 * s}, Source{"srv", 300 * s})
}

func newView(t testing.TB, change ...func(*Settings)) *View {
	t.Helper()
	set := settings()
	for _, f := range change {
		f(&set)
	}
	v, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func up(id string, k int) Member {
	return Member{ID: id, HostPort: fmt.Sprintf("127.0.0.1:%d", 7000+k), Locality: "a", Flavor: "k", Cell: k % 5, Phase: Up, Size: 10}
}

func in(phase string, m Member) Member { m.Phase = phase; return m }

// many are endpoints 0 to n-1.
func many(n int) (all []Member) {
	for k := range n {
		all = append(all, up(fmt.Sprintf("e%05d", k), k))
	}
	return all
}

func whole(source int, rev int64, m ...Member) *Word {
	return &Word{Source: source, Epoch: "1", Revision: rev, Whole: true, Members: m}
}

func part(source int, rev int64, m ...Member) *Word {
	return &Word{Source: source, Epoch: "1", Revision: rev, Members: m}
}

// has is the phase of an endpoint in the view; empty where it is not there.
func (v *View) has(id string) string {
	if x := v.view[id]; x != nil && x.up {
		return x.Phase
	}
	return ""
}

func (v *View) take(t testing.TB, now Time, w *Word, want Verdict) []Change {
	t.Helper()
	if got := v.Take(now, w); got != want {
		t.Fatalf("verdict %v, want %v", got, want)
	}
	return v.Step(now)
}

func TestSettings(t *testing.T) {
	for name, f := range map[string]func(*Settings){
		"no source":        func(x *Settings) { x.Sources = nil },
		"no name":          func(x *Settings) { x.Sources[1].Name = "" },
		"two of one name":  func(x *Settings) { x.Sources[1].Name = "etcd" },
		"never stale":      func(x *Settings) { x.Sources[0].Stale = 0 },
		"more than all":    func(x *Settings) { x.LossShare = 1.1 },
		"nothing at once":  func(x *Settings) { x.AtOnce = 0 },
		"no span":          func(x *Settings) { x.LossSpan = 0 },
		"remember nothing": func(x *Settings) { x.Forget = 0 },
	} {
		set := settings()
		f(&set)
		if _, err := New(set); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Discovery says up, etcd says draining and is lost then: it stays draining, until
// etcd itself says up again.
func TestADrainOutlastsItsSource(t *testing.T) {
	v := newView(t)
	v.take(t, s, whole(disc, 5, many(4)...), Believed)
	v.take(t, s, whole(etcd, 100, many(4)...), Believed)
	got := v.take(t, 2*s, part(etcd, 101, in(Draining, up("e00001", 1))), Believed)
	if len(got) != 1 || got[0].ID != "e00001" || got[0].Phase != Draining || got[0].By != etcd {
		t.Fatalf("told %+v", got)
	}
	for at := 3 * s; at < 200*s; at += s { // etcd is silent, discovery goes on to say up
		v.take(t, at, whole(disc, 5+at/s, many(4)...), Believed)
	}
	if v.Fresh(etcd) || v.has("e00001") != Draining {
		t.Errorf("etcd heard of late: %v; the endpoint is %q", v.Fresh(etcd), v.has("e00001"))
	}
	if got := v.take(t, 201*s, part(etcd, 102, up("e00001", 1)), Believed); len(got) != 1 || got[0].Phase != Up {
		t.Errorf("etcd is back and says up: %+v", got)
	}
}

// A removal binds the others, for a time.
func TestARemovalBindsTheOthers(t *testing.T) {
	v := newView(t)
	v.take(t, s, whole(etcd, 1, many(4)...), Believed)
	v.take(t, s, whole(disc, 1, many(4)...), Believed)
	if got := v.take(t, 2*s, part(disc, 2, in(Removed, up("e00002", 2))), Believed); len(got) != 1 || got[0].Phase != Removed || got[0].By != disc {
		t.Fatalf("told %+v", got)
	}
	v.take(t, 3*s, part(etcd, 2, up("e00002", 2)), Believed)
	if v.has("e00002") != "" {
		t.Error("another source has taken a removal back")
	}
	last := 2*s + v.set.Forget
	v.Step(last - 1)
	if v.has("e00002") != "" {
		t.Error("too early")
	}
	if v.Step(last); v.has("e00002") != Up {
		t.Error("bound for longer than stated")
	}
	if v.take(t, last+s, part(disc, 3, up("e00002", 2)), Believed); v.has("e00002") != Up {
		t.Error("the same source lists it again")
	}
}

// Silence takes nobody out of the view.
func TestSilenceEmptiesNothing(t *testing.T) {
	v := newView(t)
	v.take(t, s, whole(etcd, 1, many(9)...), Believed)
	v.take(t, s, whole(disc, 1, many(9)...), Believed)
	for at := 2 * s; at < 4000*s; at += 7 * s {
		if got := v.Step(at); len(got) > 0 {
			t.Fatalf("at %d s: %+v", at/s, got)
		}
	}
	if len(v.Members()) != 9 || v.Fresh(etcd) || v.Fresh(disc) {
		t.Errorf("%d left", len(v.Members()))
	}
	if n := v.Notes(); len(n) != 2 {
		t.Errorf("noted %+v", n)
	}
}

// Who comes first has the address and the rate, while it is heard.
func TestPrecedence(t *testing.T) {
	v := newView(t)
	a, b := up("x", 1), up("x", 1)
	a.HostPort, a.Size, b.Size = "127.0.0.1:9001", 0, 4
	b.Locality = "b"
	v.take(t, s, whole(etcd, 1, a), Believed)
	v.take(t, s, whole(disc, 1, b), Believed)
	m := v.Members()[0]
	if m.HostPort != a.HostPort || m.Locality != "a" || m.Size != 4 {
		t.Errorf("both heard: %+v", m)
	}
	v.Heard(19*s, disc)
	v.Step(19 * s)
	if m := v.Members()[0]; m.HostPort != b.HostPort || m.Locality != "b" {
		t.Errorf("the first one is silent: %+v", m)
	}
	v.Heard(20*s, etcd)
	v.Step(20 * s)
	if m := v.Members()[0]; m.HostPort != a.HostPort {
		t.Errorf("it is heard again: %+v", m)
	}
}

// A source that suddenly loses most of what it listed is asked once more; what it
// drains meanwhile drains.
func TestMassRemoval(t *testing.T) {
	for _, x := range []struct {
		name string
		left int // once a list that was not read anew has said most of it again
		word func(rev int64) *Word
	}{
		{"an empty list", 10, func(rev int64) *Word { return whole(etcd, rev) }},
		{"empty after a restore", 10, func(int64) *Word { w := whole(etcd, 1); w.Epoch = "2"; return w }},
		{"in one change", 8, func(rev int64) *Word {
			w := part(etcd, rev)
			for _, m := range many(8) {
				w.Members = append(w.Members, in(Removed, m))
			}
			return w
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			v := newView(t)
			v.take(t, s, whole(etcd, 50, many(10)...), Believed)
			if got := v.take(t, 2*s, x.word(51), Held); len(got) > 0 || len(v.Members()) != 10 || !v.Asks(etcd) {
				t.Fatalf("told %+v, %d left, asks %v", got, len(v.Members()), v.Asks(etcd))
			}
			epoch, rev, _ := v.Known(etcd)
			drain := part(etcd, rev+1, in(Draining, up("e00003", 3)))
			drain.Epoch = epoch
			if v.take(t, 3*s, drain, Believed); v.has("e00003") != Draining {
				t.Error("a drain is not obeyed while a loss is held")
			}
			same := whole(etcd, rev+2, many(4)...)
			same.Epoch = epoch
			if v.take(t, 4*s, same, Held); len(v.Members()) != x.left {
				t.Error("a list that was not read anew is believed")
			}
			same.Anew = true
			if v.take(t, 5*s, same, Believed); len(v.Members()) != 4 || v.Asks(etcd) {
				t.Errorf("read anew: %d left, asks %v", len(v.Members()), v.Asks(etcd))
			}
		})
	}
}

// One by one most of them go as well; those that had drained do not count.
func TestManyRemovalsOneByOne(t *testing.T) {
	v := newView(t)
	v.take(t, s, whole(etcd, 1, many(20)...), Believed)
	held := 0
	for k := range 16 {
		id := fmt.Sprintf("e%05d", k)
		rev := int64(10 + 2*k)
		if k < 4 {
			v.take(t, 2*s, part(etcd, rev, in(Draining, up(id, k))), Believed)
		}
		if v.Take(2*s, part(etcd, rev+1, in(Removed, up(id, k)))) == Held {
			held++
		}
		v.Step(2 * s)
	}
	if held != 2 || len(v.Members()) != 6 { // ten of twenty may go; four had drained
		t.Errorf("%d held, %d left", held, len(v.Members()))
	}
	for k := 16; k < 20; k++ { // long after, they may
		v.take(t, 2*s+v.set.LossSpan+Time(k)*v.set.LossSpan, part(etcd, int64(100+k), in(Removed, up(fmt.Sprintf("e%05d", k), k))), Believed)
	}
	if len(v.Members()) != 2 {
		t.Errorf("%d left", len(v.Members()))
	}
}

// One that flaps a hundred times a second goes down at once each time and comes up
// no more than so often; the others are told as ever.
func TestFlapping(t *testing.T) {
	v := newView(t)
	v.take(t, s, whole(etcd, 1, many(3)...), Believed)
	ups, downs, rev := 0, 0, int64(1)
	now := 2 * s
	for range 500 {
		for _, phase := range []string{Draining, Up} {
			rev++
			now += 5000
			for _, c := range v.take(t, now, part(etcd, rev, in(phase, up("e00001", 1))), Believed) {
				if c.Phase == Up {
					ups++
				} else {
					downs++
				}
			}
			if phase == Draining && v.has("e00001") == Up {
				t.Fatal("a drain waits")
			}
		}
	}
	if ups > v.set.Flaps || downs != ups+1 {
		t.Errorf("told %d ups and %d downs", ups, downs)
	}
	for n := 0; v.has("e00001") != Up && n < 10; n++ {
		next := v.Next()
		if next <= now {
			t.Fatalf("next at %d, now %d", next, now)
		}
		now = next
		v.Step(now)
	}
	if v.has("e00001") != Up || now > 2*s+5*s+v.set.HoldDown+s {
		t.Errorf("%q at %d ms", v.has("e00001"), now/1000)
	}
}

// A list of 50,000 comes up in pieces; a drain in the middle of it, and a rate that
// is cut, do not wait for the rest.
func TestLongLists(t *testing.T) {
	v := newView(t)
	v.Take(s, whole(etcd, 1, many(50000)...))
	if got := v.Step(s); len(got) != v.set.AtOnce || v.Next() > s {
		t.Fatalf("%d told, next at %d", len(got), v.Next())
	}
	slow := up("e00002", 2)
	slow.Size = 1
	v.Take(s, part(etcd, 2, in(Draining, up("e00001", 1)), slow, in(Draining, up("e49999", 49999))))
	got := v.Step(s)
	if len(got) != v.set.AtOnce+3 || got[0].ID != "e00001" || got[1].Size != 1 || got[2].Phase != Draining {
		t.Errorf("%d told, first %+v", len(got), got[:3])
	}
	steps := 2
	for ; v.Next() <= s; steps++ {
		v.Step(s)
	}
	if steps != 13 || len(v.Members()) != 50000 {
		t.Errorf("%d steps, %d members", steps, len(v.Members()))
	}
	if v.has("e49999") != Draining {
		t.Error("one that drained before it was told came up")
	}
}

// An entry that cannot be read stays as it was, and is noted once.
func TestSpoiltEntries(t *testing.T) {
	v := newView(t)
	v.take(t, s, whole(etcd, 1, many(3)...), Believed)
	for rev := int64(2); rev < 6; rev++ {
		w := whole(etcd, rev, many(2)...)
		w.Spoilt = []string{"e00002", "never"}
		if got := v.take(t, s, w, Believed); len(got) > 0 {
			t.Fatalf("told %+v", got)
		}
	}
	known := 0
	for _, n := range v.Notes() {
		if n.ID == "e00002" {
			known++
		}
	}
	if known != 1 || v.has("e00002") != Up {
		t.Errorf("noted %d times; %q", known, v.has("e00002"))
	}
	w := part(etcd, 7)
	w.Spoilt, w.Drained = []string{"e00002"}, []string{"e00002", "never"}
	if v.take(t, s, w, Believed); v.has("e00002") != Draining || v.has("never") != "" {
		t.Error("a drain of one that cannot be read")
	}
	if v.take(t, s, part(etcd, 8, up("e00002", 2)), Believed); v.has("e00002") != Up {
		t.Error("it can be read again, and does not drain")
	}
}

// One endpoint under two names is one; an address under a new id of the same source
// is a new endpoint, and inherits nothing.
func TestTwoNames(t *testing.T) {
	v := newView(t)
	v.take(t, s, whole(etcd, 1, up("a1", 1)), Believed)
	v.take(t, s, whole(disc, 1, up("b1", 1), up("b2", 2)), Believed)
	if len(v.Members()) != 2 || v.has("b1") != "" || v.has("a1") != Up {
		t.Fatalf("%+v", v.Members())
	}
	v.take(t, s, part(disc, 2, in(Draining, up("b1", 1))), Believed)
	if v.has("a1") != Draining {
		t.Error("a drain under its other name")
	}
	// It is replaced: both say so, one after the other.
	got := v.take(t, s, part(etcd, 2, in(Removed, up("a1", 1)), up("a2", 1)), Believed)
	if v.has("a1") != "" || v.has("a2") != Draining {
		t.Errorf("told %+v; a1 %q, a2 %q", got, v.has("a1"), v.has("a2"))
	}
	v.take(t, s, part(disc, 3, in(Removed, up("b1", 1)), up("b0", 1)), Believed)
	if v.has("a2") != Up || v.has("b0") != "" || len(v.Members()) != 2 {
		t.Errorf("a2 %q: %+v", v.has("a2"), v.Explain(s))
	}
	// In another cell the same address is somebody else.
	other := up("b4", 1)
	other.Cell = 4
	if v.take(t, s, part(disc, 4, other), Believed); v.has("b4") != Up {
		t.Errorf("%+v", v.Members())
	}
}

// A list of an older revision, of an epoch that was left, and a change that builds
// on nothing are not believed.
func TestRevisions(t *testing.T) {
	v := newView(t)
	v.take(t, s, part(etcd, 5, up("x", 1)), Needed)
	v.take(t, s, whole(etcd, 5, many(3)...), Believed)
	v.take(t, s, part(etcd, 4, in(Draining, up("e00001", 1))), Old)
	v.take(t, s, whole(etcd, 4), Old)
	w := part(etcd, 6, in(Draining, up("e00001", 1)))
	w.Epoch = "2"
	v.take(t, s, w, Needed)
	w = whole(etcd, 2, many(3)...)
	w.Epoch = "2"
	v.take(t, s, w, Believed)
	v.take(t, s, whole(etcd, 900, many(1)...), Old)
	if len(v.Members()) != 3 || v.has("e00001") != Up {
		t.Errorf("%+v", v.Members())
	}
}

// plans draws what three sources say.
func plans(t *rapid.T) [][]*Word {
	ids := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
	plan := make([][]*Word, 3)
	for i := range plan {
		rev, epoch := int64(0), 1
		for n := rapid.IntRange(0, 8).Draw(t, "words"); n > 0; n-- {
			w := &Word{Source: i, Whole: len(plan[i]) == 0 || rapid.IntRange(0, 3).Draw(t, "whole") == 0}
			if w.Whole && rapid.IntRange(0, 5).Draw(t, "epoch") == 0 {
				epoch++
				rev = 0
			}
			w.Epoch = fmt.Sprint(epoch)
			if rapid.IntRange(0, 5).Draw(t, "old") == 0 && rev > 0 {
				w.Revision = rev - int64(rapid.IntRange(1, 3).Draw(t, "back"))
			} else {
				rev += int64(rapid.IntRange(1, 3).Draw(t, "step"))
				w.Revision, w.Anew = rev, w.Whole && rapid.Bool().Draw(t, "anew")
			}
			for _, id := range rapid.SliceOfNDistinct(ids, 0, 5, rapid.ID).Draw(t, "ids") {
				m := Member{ID: id, HostPort: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "at"), Cell: rapid.IntRange(0, 1).Draw(t, "cell"),
					Phase: rapid.SampledFrom([]string{Up, Up, Draining, Removed}).Draw(t, "phase"), Size: float64(rapid.IntRange(0, 2).Draw(t, "size"))}
				if w.Whole && m.Phase == Removed {
					m.Phase = Up
				}
				if rapid.IntRange(0, 9).Draw(t, "spoilt") == 0 {
					w.Spoilt = append(w.Spoilt, id)
				} else {
					w.Members = append(w.Members, m)
				}
			}
			plan[i] = append(plan[i], w)
		}
	}
	return plan
}

// merge draws an order of what sources say, each in its own.
func merge(t *rapid.T, plan [][]*Word) (order []*Word) {
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

// told is a relay's list, made of what it was told.
type told map[string]Member

func (l told) hear(changes []Change) {
	for _, c := range changes {
		if c.Phase == Removed {
			delete(l, c.ID)
		} else {
			l[c.ID] = c.Member
		}
	}
}

// settled steps until all is told, and shows the view.
func (v *View) settled(l told, now Time) []Member {
	for range 100 {
		l.hear(v.Step(now))
	}
	return v.Members()
}

const noon = 1000 * s

func calm(x *Settings) {
	for i := range x.Sources {
		x.Sources[i].Stale = 1e15
	}
	x.HoldDown, x.AtOnce = 0, 2
}

// The view does not depend on which source was heard first; words that are said
// again change nothing; what was told adds up to it; and another process that takes
// over what was known has the same.
func TestOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := plans(rt)
		play := func(order []*Word) (*View, told) {
			v, l := newView(t, calm), told{}
			for _, w := range order {
				v.Take(noon, w)
				l.hear(v.Step(noon))
			}
			v.settled(l, noon)
			return v, l
		}
		first := merge(rt, plan)
		a, la := play(first)
		b, _ := play(merge(rt, plan))
		if !reflect.DeepEqual(a.Explain(noon), b.Explain(noon)) || !reflect.DeepEqual(a.Members(), b.Members()) {
			rt.Fatalf("two orders:\n%+v\n%+v", a.Explain(noon), b.Explain(noon))
		}
		for id, x := range a.view {
			if m, ok := la[id]; ok != x.up || ok && m != x.Member {
				rt.Fatalf("%s was told as %+v, and is %+v", id, m, x)
			}
		}
		before := a.Members()
		for _, w := range first[:rapid.IntRange(0, len(first)).Draw(rt, "again")] {
			a.Take(noon, w)
		}
		if a.settled(la, noon); !reflect.DeepEqual(before, a.Members()) {
			rt.Fatalf("said again:\n%+v\n%+v", before, a.Members())
		}
		c := newView(t, calm)
		c.Import(noon, b.Export(noon))
		if c.settled(told{}, noon); !reflect.DeepEqual(c.Members(), b.Members()) {
			rt.Fatalf("taken over:\n%+v\n%+v", b.Members(), c.Members())
		}
	})
}

// A drain, and an end that is believed, hold until the same source says otherwise,
// whatever the others say, from the next step on.
func TestDrainsAreMonotone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := newView(t, calm)
		l := told{}
		last := make([]map[string]string, 3) // the phase that each source last told, by id
		for i := range last {
			last[i] = map[string]string{}
		}
		for _, w := range merge(rt, plans(rt)) {
			verdict := v.Take(noon, w)
			if verdict == Believed || verdict == Held {
				listed := map[string]bool{}
				for _, m := range w.Members {
					listed[m.ID] = true
					if m.Phase != Removed {
						last[w.Source][m.ID] = m.Phase
					} else if verdict == Believed && last[w.Source][m.ID] != "" {
						last[w.Source][m.ID] = Removed
					} else if last[w.Source][m.ID] != Draining && last[w.Source][m.ID] != Removed {
						delete(last[w.Source], m.ID)
					}
				}
				if w.Whole && verdict == Believed {
					for id := range last[w.Source] {
						if !listed[id] && !slices.Contains(w.Spoilt, id) {
							last[w.Source][id] = Removed
						}
					}
				}
			}
			l.hear(v.Step(noon))
			for i := range last {
				for id, phase := range last[i] {
					if m, ok := l[id]; ok && phase != Up && m.Phase == Up {
						rt.Fatalf("%s is up, and source %d says %s: %+v %v", id, i, phase, *w, v.Explain(noon))
					}
				}
			}
		}
	})
}

func BenchmarkWholeList(b *testing.B) {
	for _, n := range []int{1000, 10000, 50000} {
		all := many(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var v *View
			for b.Loop() {
				v = newView(b)
				v.Take(s, whole(etcd, 1, all...))
				v.Take(s, whole(disc, 1, all...))
				for v.Next() <= s {
					v.Step(s)
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
	v.Take(s, whole(etcd, 1, many(50000)...))
	rng := rand.New(rand.NewPCG(1, 2))
	rev := int64(1)
	for b.Loop() {
		rev++
		k := rng.IntN(50000)
		v.Take(s+rev, part(etcd, rev, in([]string{Up, Draining}[rev%2], up(fmt.Sprintf("e%05d", k), k))))
		v.Step(s + rev)
	}
}
