package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"troutusher/decide"
	"troutusher/internal/gate"
)

// driver makes a world's calls in pieces, as the sockets do: a connection that
// is waited for, a first byte, a last one, an answer that is read and heard at
// moments of their own. It judges each byte by what was told, and keeps its
// own account of that.
type driver struct {
	w      *world
	scopes map[string]*gate.Scope
	homes  map[decide.EndpointID]*place1
	calls  []*wayOut
	told   map[string]decide.Time // the end of the longest wait, by scope
	longer decide.Time            // waits are so much longer now and then
	asked  map[string]bool        // scopes that told one
	sent   int
	kept   int // calls that the gate kept back
}

type place1 struct {
	scope string
	gate  *gate.Gate
	dest  int
	gone  bool
}

type wayOut struct {
	call *Call
	home *place1
	pass *gate.Pass
	step int
}

func newDriver(w *world) *driver {
	return &driver{w: w, scopes: map[string]*gate.Scope{}, homes: map[decide.EndpointID]*place1{}, told: map[string]decide.Time{}, asked: map[string]bool{}}
}

func (d *driver) open(e *Effect) {
	name := fmt.Sprintf("dest %d", e.Dest)
	if e.Apart {
		name = "route " + d.w.idOf(e.Endpoint)
	}
	if d.scopes[name] == nil {
		d.scopes[name] = &gate.Scope{}
	}
	d.homes[e.Endpoint] = &place1{scope: name, gate: d.scopes[name].Gate(), dest: e.Dest}
}

func (w *world) idOf(n decide.EndpointID) string {
	if ep := w.core.byNum[n]; ep != nil {
		return ep.id
	}
	return fmt.Sprint("forgotten ", n) // in the same step: its destination rests
}

func (d *driver) shut(n decide.EndpointID) {
	if h := d.homes[n]; h != nil {
		h.gone = true
		h.gate.Close()
	}
}

// forget lets go of all that is kept for an endpoint.
func (d *driver) forget(n decide.EndpointID) {
	if h := d.homes[n]; h != nil && !h.gone {
		d.w.failf("endpoint %d is forgotten and not shut", n)
	}
	if h := d.homes[n]; h != nil && strings.HasPrefix(h.scope, "route ") {
		delete(d.scopes, h.scope)
	}
	delete(d.homes, n)
}

// tell is what reads an answer: the word of a wait is told to the gate at once.
func (d *driver) tell(h *place1, wait decide.Time) {
	until := d.w.now + wait
	h.gate.Tell(d.w.now, until)
	d.told[h.scope] = max(d.told[h.scope], until)
	d.asked[h.scope] = true
}

// end tells the core of a call's end, now or in any later turn.
func (d *driver) end(c *wayOut, o *Result) {
	if c.pass != nil {
		c.pass.Leave()
		c.pass = nil
	}
	d.calls = slices.DeleteFunc(d.calls, func(x *wayOut) bool { return x == c })
	d.w.finish(c.call, Event{Kind: Finished, Call: c.call, Result: o})
}

func (d *driver) refused(c *wayOut, err error) {
	d.kept++
	d.end(c, &Result{What: decide.NotSent, Err: err})
}

// turn moves the calls on, each by a step or not.
func (d *driver) turn() {
	w := d.w
	for _, c := range slices.Clone(d.calls) {
		if w.rng.IntN(3) == 0 {
			continue
		}
		var err error
		switch c.step {
		case 0:
			if c.pass, err = c.home.gate.Enter(w.now, func(error) {}); err != nil {
				d.refused(c, err)
				continue
			}
		case 1:
			if w.rng.IntN(2) == 0 {
				continue // the connection takes its time
			}
			if w.rng.IntN(8) == 0 {
				d.end(c, &Result{What: decide.ConnectFailed})
				continue
			}
			if err = c.pass.First(w.now); err != nil {
				d.refused(c, err)
				continue
			}
			if c.home.gone {
				w.failf("%s begins at an endpoint that has left", c.call.Rec.ID)
			}
		case 2:
			if err = c.pass.Last(w.now); err != nil {
				d.refused(c, err)
				continue
			}
			if until := d.told[c.home.scope]; w.now < until {
				w.failf("%s goes out %d ms before the end of a wait of %s", c.call.Rec.ID, (until-w.now)/1000, c.home.scope)
			}
			if c.home.dest != c.call.Rec.Dest {
				w.failf("%s for %d goes to %d", c.call.Rec.ID, c.call.Rec.Dest, c.home.dest)
			}
			c.pass.Leave()
			c.pass = nil
			d.sent++
		case 3:
			o := &Result{What: decide.Delivered, Status: 200, Settled: true, Took: w.now - c.call.Sent()}
			switch w.rng.IntN(8) {
			case 0, 1:
				o = &Result{What: decide.Rejected, Status: 429, Wait: decide.Time(w.rng.IntN(900e3))}
			case 2: // its head came, and no more
				o = &Result{What: decide.Failed, Status: 429, Spoilt: true, Wait: decide.Time(w.rng.IntN(900e3))}
			case 3: // nobody hears what was told
				o = &Result{What: decide.TimedOut, Took: w.now - c.call.Sent()}
			case 4:
				o = &Result{What: decide.Rejected, Status: 503}
			case 5:
				o = &Result{What: decide.ConnectionReset}
			}
			if c.home == nil { // it left before the hand-over
				o = &Result{What: decide.ConnectionReset}
			}
			if o.Wait > 0 {
				if d.longer > 0 && w.rng.IntN(3) == 0 {
					o.Wait += d.longer
				}
				d.tell(c.home, o.Wait)
			}
			d.end(c, o)
			continue
		}
		c.step++
	}
}

// No order of sends, answers (read early, heard late, cut, lost), lists and
// hand-overs has a byte go out inside a wait that was told, to an endpoint that
// has left, or to another destination's.
func TestNothingGoesOutInsideAWait(t *testing.T) {
	sent, kept, shared, apart, goesOn := 0, 0, 0, 0, 0
	for seed := range uint64(120) {
		w := newWorld(t, seed)
		w.flavors = []string{"k", "r"}
		w.driver = newDriver(w)
		b := &book{live: map[string]*Record{}}
		w.log = b
		for turn := range 4 {
			w.playFrom(turn*120, 120)
			goesOn += w.handOverQuietly(b)
		}
		sent += w.driver.sent
		kept += w.driver.kept
		for name := range w.driver.asked {
			if name[0] == 'r' {
				apart++
			} else {
				shared++
			}
		}
	}
	if sent < 3000 || kept < 300 || shared < 100 || apart < 100 || goesOn < 30 {
		t.Errorf("too little was tried: %d sent, %d kept back, %d destinations and %d routes told a wait, %d out at a hand-over", sent, kept, shared, apart, goesOn)
	}
}

// What an earlier process held does not go at once where nothing is known of its
// destination; what a hand-over told of it counts.
func TestResumedGoOneByOne(t *testing.T) {
	for name, carried := range map[string]*Carried{"after a kill": nil, "handed over": testCore(t).Carry(3600e6)} {
		set := testCore(t).set
		set.Policy.Relays = 300
		r, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		list := &List{Members: []Member{{ID: "a", HostPort: "127.0.0.1:1", Cell: 1, Phase: Up, Flavor: "k", Size: 100}}}
		var owed []*Record
		for i := range 20 {
			owed = append(owed, &Record{Kind: Taken, ID: fmt.Sprint("m", i), Class: "plain", Dest: 1, Deadline: r.wall(3620e6)})
		}
		if carried == nil {
			r.Book(3600e6, []Event{{Kind: News, News: decide.ListFull, List: list}}, nil)
			r.Restore(3600e6, owed, nil, 0, nil)
		} else {
			carried.Members = []CarriedMember{{Member: list.Members[0], Number: 1}}
			r.Restore(3600e6, owed, carried, 0, nil)
		}
		r.Step(3600e6, nil, nil)
		var out []*Call
		for _, m := range r.msgs {
			if m.call != nil {
				out = append(out, m.call)
			}
		}
		if len(out) != 1 {
			t.Fatalf("%s: %d calls begun", name, len(out))
		}
		sent := 0 // the window allows two then, and so does half a second of the usual pace
		for _, e := range r.Step(3600e6+500e3, []Event{{Kind: Finished, Call: out[0], Result: &Result{What: decide.Delivered, Settled: true, Took: 1000}}}, nil) {
			if e.Kind == LogThenSend {
				sent++
			}
		}
		if want := map[bool]int{true: 0, false: 2}[carried == nil]; sent != want {
			t.Errorf("%s: %d go half a second after the first, want %d", name, sent, want)
		}
	}
}

// rest tells the core of all that has ended.
func (w *world) rest() {
	events := w.queue
	w.queue = nil
	for _, e := range events {
		if e.Call != nil {
			w.out[e.Call.Rec.ID]--
			delete(w.open, e.Call)
		}
	}
	w.step(w.log, events)
}

// A wait never shortens: not by a shorter one that is heard later, nor by way of
// a sibling; and one that another process was told binds its siblings too.
func TestTheLongestWaitHolds(t *testing.T) {
	r := testCore(t)
	r.Step(3600e6, []Event{{Kind: News, News: decide.ListFull, List: &List{Members: []Member{
		{ID: "a", HostPort: "127.0.0.1:1", Cell: 1, Phase: Up, Flavor: "k"}, {ID: "b", HostPort: "127.0.0.1:2", Cell: 1, Phase: Up, Flavor: "k"},
		{ID: "c", HostPort: "127.0.0.1:3", Cell: 2, Phase: Up, Flavor: "r"}, {ID: "d", HostPort: "127.0.0.1:4", Cell: 2, Phase: Up, Flavor: "r"}}}}}, nil)
	now := r.now
	for _, x := range []struct {
		id    string
		until decide.Time
	}{{"a", 5e6}, {"b", 1e6}, {"c", 4e6}, {"c", 2e6}} {
		ep := r.byID[x.id]
		r.wait(&Call{Rec: &Record{Dest: ep.cell}, ep: ep, apart: r.apart(ep.flavor)}, now+x.until)
	}
	r.done()
	carried := r.Carry(now)
	for _, c := range []*Core{r, func() *Core {
		next := testCore(t)
		next.Restore(now, nil, carried, 0, nil)
		return next
	}()} {
		for id, want := range map[string]decide.Time{"a": 5e6, "b": 5e6, "c": 4e6, "d": 0} {
			if got := max(c.heldUntil(c.byID[id])-now, 0); got != want {
				t.Errorf("%s waits for %d ms, want %d", id, got/1000, want/1000)
			}
		}
		// One that joins a destination which has told a wait is bound as well, and
		// one that joins a route's is not.
		fx := c.Step(now, []Event{{Kind: News, News: decide.ListDelta, List: &List{Members: []Member{
			{ID: "e", HostPort: "127.0.0.1:5", Cell: 1, Phase: Up, Flavor: "k"}, {ID: "f", HostPort: "127.0.0.1:6", Cell: 2, Phase: Up, Flavor: "r"}}}}}, nil)
		held := map[decide.EndpointID]decide.Time{}
		for i := range fx {
			if fx[i].Kind == Hold {
				held[fx[i].Endpoint] = fx[i].Until - now
			}
		}
		if e, f := c.byID["e"], c.byID["f"]; held[e.num] != 5e6 || held[f.num] != 0 || c.heldUntil(f) != 0 {
			t.Errorf("who joins is held for %v", held)
		}
	}
}
