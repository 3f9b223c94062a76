package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"troutusher/internal/sendgate"
	"troutusher/policy"
)

// callDriver makes a world's calls in pieces, as the sockets do: a connection that
// is waited for, a first byte, a last one, an answer that is read and heard at
// moments of their own. It judges each byte by what was told, and keeps its
// own account of that.
type callDriver struct {
	w             *simulation
	scopes        map[string]*sendgate.Scope
	endpoints     map[policy.EndpointID]*driverEndpoint
	calls         []*driverCall
	retryAfterOf  map[string]policy.Time // the end of the longest wait, by scope
	extraWait     policy.Time            // waits are so much longer now and then
	tellingScopes map[string]bool        // scopes that told one
	sent          int
	blocked       int // calls that the gate kept back
}

type driverEndpoint struct {
	scope string
	gate  *sendgate.Gate
	dest  int
	gone  bool
}

type driverCall struct {
	call     *Call
	endpoint *driverEndpoint
	pass     *sendgate.Permit
	step     int
}

func newCallDriver(w *simulation) *callDriver {
	return &callDriver{w: w, scopes: map[string]*sendgate.Scope{}, endpoints: map[policy.EndpointID]*driverEndpoint{}, retryAfterOf: map[string]policy.Time{}, tellingScopes: map[string]bool{}}
}

func (d *callDriver) openEndpoint(e OpenEndpoint) {
	name := fmt.Sprintf("dest %d", e.Dest)
	if e.IndependentRoute {
		name = "route " + d.w.idOf(e.Endpoint)
	}
	if d.scopes[name] == nil {
		d.scopes[name] = &sendgate.Scope{}
	}
	d.endpoints[e.Endpoint] = &driverEndpoint{scope: name, gate: d.scopes[name].Gate(), dest: e.Dest}
}

func (w *simulation) idOf(n policy.EndpointID) string {
	if ep := w.core.endpoints.byNumber[n]; ep != nil {
		return ep.id
	}
	return fmt.Sprint("forgotten ", n) // in the same step: its destination rests
}

func (d *callDriver) closeEndpoint(n policy.EndpointID) {
	if h := d.endpoints[n]; h != nil {
		h.gone = true
		h.gate.Close()
	}
}

// forgetEndpoint lets go of all that is kept for an endpoint.
func (d *callDriver) forgetEndpoint(n policy.EndpointID) {
	if h := d.endpoints[n]; h != nil && !h.gone {
		d.w.failf("endpoint %d is forgotten and not shut", n)
	}
	if h := d.endpoints[n]; h != nil && strings.HasPrefix(h.scope, "route ") {
		delete(d.scopes, h.scope)
	}
	delete(d.endpoints, n)
}

// recordRetryAfter is what reads an answer: the word of a wait is told to the gate at once.
func (d *callDriver) recordRetryAfter(h *driverEndpoint, wait policy.Time) {
	until := d.w.now + wait
	h.gate.HoldUntil(d.w.now, until)
	d.retryAfterOf[h.scope] = max(d.retryAfterOf[h.scope], until)
	d.tellingScopes[h.scope] = true
}

// finishCall tells the core of a call's end, now or in any later turn.
func (d *callDriver) finishCall(c *driverCall, o *Result) {
	if c.pass != nil {
		c.pass.Release()
		c.pass = nil
	}
	d.calls = slices.DeleteFunc(d.calls, func(x *driverCall) bool { return x == c })
	d.w.enqueue(c.call, AttemptFinished{Call: c.call, Result: o})
}

func (d *callDriver) blockCall(c *driverCall, err error) {
	d.blocked++
	d.finishCall(c, &Result{Outcome: policy.NotSent, Err: err})
}

// advance moves the calls on, each by a step or not.
func (d *callDriver) advance() {
	w := d.w
	for _, c := range slices.Clone(d.calls) {
		if w.rng.IntN(3) == 0 {
			continue
		}
		var err error
		switch c.step {
		case 0:
			if c.pass, err = c.endpoint.gate.Acquire(w.now, func(error) {}); err != nil {
				d.blockCall(c, err)
				continue
			}
		case 1:
			if w.rng.IntN(2) == 0 {
				continue // the connection takes its time
			}
			if w.rng.IntN(8) == 0 {
				d.finishCall(c, &Result{Outcome: policy.ConnectFailed})
				continue
			}
			if err = c.pass.AllowFirstByte(w.now); err != nil {
				d.blockCall(c, err)
				continue
			}
			if c.endpoint.gone {
				w.failf("%s begins at an endpoint that has left", c.call.Record.ID)
			}
		case 2:
			if err = c.pass.AllowLastByte(w.now); err != nil {
				d.blockCall(c, err)
				continue
			}
			if until := d.retryAfterOf[c.endpoint.scope]; w.now < until {
				w.failf("%s goes out %d ms before the end of a wait of %s", c.call.Record.ID, (until-w.now)/1000, c.endpoint.scope)
			}
			if c.endpoint.dest != c.call.Record.Dest {
				w.failf("%s for %d goes to %d", c.call.Record.ID, c.call.Record.Dest, c.endpoint.dest)
			}
			c.pass.Release()
			c.pass = nil
			d.sent++
		case 3:
			o := &Result{Outcome: policy.Delivered, Status: 200, Final: true, Elapsed: w.now - c.call.SentAt()}
			switch w.rng.IntN(8) {
			case 0, 1:
				o = &Result{Outcome: policy.Rejected, Status: 429, RetryAfter: policy.Time(w.rng.IntN(900e3))}
			case 2: // its head came, and no more
				o = &Result{Outcome: policy.Failed, Status: 429, Malformed: true, RetryAfter: policy.Time(w.rng.IntN(900e3))}
			case 3: // nobody hears what was told
				o = &Result{Outcome: policy.TimedOut, Elapsed: w.now - c.call.SentAt()}
			case 4:
				o = &Result{Outcome: policy.Rejected, Status: 503}
			case 5:
				o = &Result{Outcome: policy.ConnectionReset}
			}
			if c.endpoint == nil { // it left before the hand-over
				o = &Result{Outcome: policy.ConnectionReset}
			}
			if o.RetryAfter > 0 {
				if d.extraWait > 0 && w.rng.IntN(3) == 0 {
					o.RetryAfter += d.extraWait
				}
				d.recordRetryAfter(c.endpoint, o.RetryAfter)
			}
			d.finishCall(c, o)
			continue
		}
		c.step++
	}
}

// No order of sends, answers (read early, heard late, cut, lost), lists and
// hand-overs has a byte go out inside a wait that was told, to an endpoint that
// has left, or to another destination's.
func TestNothingSentBeforeRetryAfter(t *testing.T) {
	sent, kept, shared, apart, goesOn := 0, 0, 0, 0, 0
	for seed := range uint64(120) {
		w := newSimulation(t, seed)
		w.flavors = []string{"k", "r"}
		w.driver = newCallDriver(w)
		b := &logModel{pending: map[string]*Record{}}
		w.logModel = b
		for turn := range 4 {
			w.playFrom(turn*120, 120)
			goesOn += w.handOverQuietly(b)
		}
		sent += w.driver.sent
		kept += w.driver.blocked
		for name := range w.driver.tellingScopes {
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
func TestRecoveredSentOneByOne(t *testing.T) {
	for name, carried := range map[string]*HandoverState{"after a kill": nil, "handed over": testCore(t).ExportHandover(3600e6)} {
		set := testCore(t).settings
		set.Policy.Relays = 300
		r, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		list := &EndpointList{Members: []Member{{ID: "a", HostPort: "127.0.0.1:1", Dest: 1, Phase: Up, Flavor: "k", Rate: 100}}}
		var owed []*Record
		for i := range 20 {
			owed = append(owed, &Record{Kind: RecordAccepted, ID: fmt.Sprint("m", i), Class: "plain", Dest: 1, Deadline: r.wallTime(3620e6)})
		}
		if carried == nil {
			r.Observe(3600e6, []Event{EndpointListUpdated{Kind: policy.ListFull, List: list}}, nil)
			r.RecoverMessages(3600e6, owed, nil, 0, nil)
		} else {
			carried.Members = []HandoverMember{{Member: list.Members[0], Number: 1}}
			r.RecoverMessages(3600e6, owed, carried, 0, nil)
		}
		r.Step(3600e6, nil, nil)
		var out []*Call
		for _, m := range r.messages.byNumber {
			if m.call != nil {
				out = append(out, m.call)
			}
		}
		if len(out) != 1 {
			t.Fatalf("%s: %d calls begun", name, len(out))
		}
		sent := 0 // the window allows two then, and so does half a second of the usual pace
		for _, e := range r.Step(3600e6+500e3, []Event{AttemptFinished{Call: out[0], Result: &Result{Outcome: policy.Delivered, Final: true, Elapsed: 1000}}}, nil) {
			if is[AppendThenSend](e) {
				sent++
			}
		}
		if want := map[bool]int{true: 0, false: 2}[carried == nil]; sent != want {
			t.Errorf("%s: %d go half a second after the first, want %d", name, sent, want)
		}
	}
}

// drainQueue tells the core of all that has ended.
func (w *simulation) drainQueue() {
	events := w.queue
	w.queue = nil
	for _, e := range events {
		if c := callOf(e); c != nil {
			w.openCallCount[c.Record.ID]--
			delete(w.openCalls, c)
		}
	}
	w.step(w.logModel, events)
}

// A wait never shortens: not by a shorter one that is heard later, nor by way of
// a sibling; and one that another process was told binds its siblings too.
func TestLongestRetryAfterWins(t *testing.T) {
	r := testCore(t)
	r.Step(3600e6, []Event{EndpointListUpdated{Kind: policy.ListFull, List: &EndpointList{Members: []Member{
		{ID: "a", HostPort: "127.0.0.1:1", Dest: 1, Phase: Up, Flavor: "k"}, {ID: "b", HostPort: "127.0.0.1:2", Dest: 1, Phase: Up, Flavor: "k"},
		{ID: "c", HostPort: "127.0.0.1:3", Dest: 2, Phase: Up, Flavor: "r"}, {ID: "d", HostPort: "127.0.0.1:4", Dest: 2, Phase: Up, Flavor: "r"}}}}}, nil)
	now := r.now
	for _, x := range []struct {
		id    string
		until policy.Time
	}{{"a", 5e6}, {"b", 1e6}, {"c", 4e6}, {"c", 2e6}} {
		ep := r.endpoints.byID[x.id]
		r.recordRetryAfter(&Call{Record: &Record{Dest: ep.dest}, endpoint: ep, independentRoute: r.hasIndependentRoutes(ep.flavor)}, now+x.until)
	}
	r.takeEffects()
	carried := r.ExportHandover(now)
	for _, c := range []*Core{r, func() *Core {
		next := testCore(t)
		next.RecoverMessages(now, nil, carried, 0, nil)
		return next
	}()} {
		for id, want := range map[string]policy.Time{"a": 5e6, "b": 5e6, "c": 4e6, "d": 0} {
			if got := max(c.retryAfterOf(c.endpoints.byID[id])-now, 0); got != want {
				t.Errorf("%s waits for %d ms, want %d", id, got/1000, want/1000)
			}
		}
		// One that joins a destination which has told a wait is bound as well, and
		// one that joins a route's is not.
		fx := c.Step(now, []Event{EndpointListUpdated{Kind: policy.ListDelta, List: &EndpointList{Members: []Member{
			{ID: "e", HostPort: "127.0.0.1:5", Dest: 1, Phase: Up, Flavor: "k"}, {ID: "f", HostPort: "127.0.0.1:6", Dest: 2, Phase: Up, Flavor: "r"}}}}}, nil)
		held := map[policy.EndpointID]policy.Time{}
		for i := range fx {
			if e, ok := fx[i].(ApplyRetryAfter); ok {
				held[e.Endpoint] = e.Until - now
			}
		}
		if e, f := c.endpoints.byID["e"], c.endpoints.byID["f"]; held[e.number] != 5e6 || held[f.number] != 0 || c.retryAfterOf(f) != 0 {
			t.Errorf("who joins is held for %v", held)
		}
	}
}
