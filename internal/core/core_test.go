package core

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"troutusher/policy"
)

// simulation is a driver of chance round a core: it writes the log, answers clients
// and makes calls, each now or later, well or badly, and watches the order.
type simulation struct {
	t     *testing.T
	rng   *rand.Rand
	core  *Core
	now   policy.Time
	queue []Event // what will be told, in any order
	trace strings.Builder

	accepted        map[string]bool // in the log
	acknowledged    map[string]bool // told OK
	openCallCount   map[string]int  // calls under way
	closedEndpoints map[policy.EndpointID]bool
	destOf          map[policy.EndpointID]int
	openCalls       map[*Call]bool
	ended           map[string]int // notices and refusals
	rejected        map[string]bool
	byAddr          map[string]int
	logModel        *logModel   // where one is kept
	driver          *callDriver // where calls go out in pieces
	flavors         []string
	longStepOdds    int             // one step in so many takes 11 to 31 s; 0 for none
	passivated      int             // destinations that were put away
	mayHaveRunOnce  map[string]bool // unsafe messages that may have run, where that is watched
	handingOver     bool            // nothing may be begun
	onEvent         func(Event)     // where more is to be noted of what the core is told
	golden          io.Writer       // receives every effect in a stable text form, if set
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	return &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 3)), core: testCore(t), now: 3600e6, accepted: map[string]bool{}, acknowledged: map[string]bool{},
		openCallCount: map[string]int{}, closedEndpoints: map[policy.EndpointID]bool{}, destOf: map[policy.EndpointID]int{}, openCalls: map[*Call]bool{},
		ended: map[string]int{}, rejected: map[string]bool{}, byAddr: map[string]int{}, flavors: []string{"k"}}
}

func (w *simulation) failf(format string, a ...any) {
	w.t.Helper()
	text := w.trace.String()
	w.t.Fatalf(format+"\n%s", append(a, text[max(0, len(text)-3000):])...)
}

func (w *simulation) execute(fx []Effect) {
	for i := range fx {
		e := fx[i]
		if w.golden != nil {
			fmt.Fprintf(w.golden, "%d %s\n", w.now, renderEffect(e))
		}
		fmt.Fprintf(&w.trace, "%d %T", w.now, e)
		switch e := e.(type) {
		case SendReply:
			id := e.Request.Record.ID
			fmt.Fprintf(&w.trace, " %s %+v", id, e.Reply)
			if !e.Reply.OK && w.acknowledged[id] {
				w.failf("%s is refused after it was taken on", id)
			}
			if !e.Reply.OK {
				w.rejected[id] = true
			}
		case AppendThenReply:
			id := e.Request.Record.ID
			fmt.Fprintf(&w.trace, " %s", id)
			if w.rejected[id] || w.acknowledged[id] {
				w.failf("%s is logged after its answer", id)
			}
			if w.rng.IntN(20) == 0 {
				w.queue = append(w.queue, LogWriteFailed{Request: e.Request})
				break
			}
			w.accepted[id] = true
			ok := w.rng.IntN(15) > 0
			if ok {
				w.acknowledged[id] = true
			}
			w.queue = append(w.queue, ReplyDelivered{Request: e.Request, OK: ok})
		case AppendThenSend:
			c := e.Call
			fmt.Fprintf(&w.trace, " %s to %d", c.Record.ID, c.Endpoint)
			switch {
			case w.handingOver:
				w.failf("%s is sent while the work is handed over", c.Record.ID)
			case !w.acknowledged[c.Record.ID]:
				w.failf("%s is sent before its client heard", c.Record.ID)
			case w.openCallCount[c.Record.ID] > 0:
				w.failf("%s is sent while a call of it is out", c.Record.ID)
			case w.closedEndpoints[c.Endpoint]:
				w.failf("%s is sent to an endpoint that has left", c.Record.ID)
			case w.destOf[c.Endpoint] != c.Record.Dest:
				w.failf("%s for %d is sent to %d", c.Record.ID, c.Record.Dest, w.destOf[c.Endpoint])
			case e.Record.ID != c.Record.ID || e.Record.Kind != RecordAttempt || c.Timeout <= 0:
				w.failf("%s: logged as %+v", c.Record.ID, e.Record)
			case w.mayHaveRunOnce[c.Record.ID]:
				w.failf("%s may have run and is sent again", c.Record.ID)
			case w.ended[c.Record.ID] > 0:
				w.failf("%s is sent after its end", c.Record.ID)
			}
			w.openCallCount[c.Record.ID]++
			w.openCalls[c] = true
			if d := w.driver; d != nil {
				d.calls = append(d.calls, &driverCall{call: c, endpoint: d.endpoints[c.Endpoint]})
				break
			}
			if w.rng.IntN(25) == 0 {
				w.enqueue(c, AttemptNotLogged{Call: c})
				break
			}
			o := &Result{Elapsed: policy.Time(w.rng.IntN(400e3)), Status: 200, Outcome: policy.Delivered, Final: true}
			switch w.rng.IntN(6) {
			case 0:
				o = &Result{Outcome: policy.Rejected, Status: 429, RetryAfter: policy.Time(w.rng.IntN(500e3))}
			case 1:
				o = &Result{Outcome: policy.ConnectFailed}
			case 2:
				o = &Result{Outcome: policy.ConnectionReset, Elapsed: 1000}
			case 3:
				o = &Result{Outcome: policy.Failed, Status: 500}
			}
			w.enqueue(c, AttemptFinished{Call: c, Result: o})
		case AppendThenNotify:
			fmt.Fprintf(&w.trace, " %+v", e.Notice)
			w.ended[e.Notice.Message]++
			if !w.acknowledged[e.Notice.Message] || w.ended[e.Notice.Message] > 1 {
				w.failf("notice %d of %s, heard %v", w.ended[e.Notice.Message], e.Notice.Message, w.acknowledged[e.Notice.Message])
			}
		case CancelCall:
			fmt.Fprintf(&w.trace, " %s", e.Call.Record.ID)
			if !w.openCalls[e.Call] {
				w.failf("a call of %s is stopped that is not out", e.Call.Record.ID)
			}
		case CheckHealth:
			if w.closedEndpoints[e.Endpoint] {
				w.failf("a probe of one that has left")
			}
			w.queue = append(w.queue, HealthChecked{Endpoint: e.Endpoint, Result: &Result{Outcome: policy.Delivered, Elapsed: 1000}})
		case OpenEndpoint:
			fmt.Fprintf(&w.trace, " %d %s", e.Endpoint, e.Address)
			w.closedEndpoints[e.Endpoint], w.destOf[e.Endpoint] = false, w.byAddr[e.Address]
			if w.driver != nil {
				w.driver.openEndpoint(e)
			}
		case CloseEndpoint:
			fmt.Fprintf(&w.trace, " %d", e.Endpoint)
			w.closedEndpoints[e.Endpoint] = true
			if w.driver != nil {
				w.driver.closeEndpoint(e.Endpoint)
			}
		case ForgetEndpoint:
			if w.driver != nil {
				w.driver.forgetEndpoint(e.Endpoint)
			}
		case PassivateDestination:
			fmt.Fprintf(&w.trace, " %d", e.Dest)
			w.passivated++
			if w.driver != nil {
				delete(w.driver.scopes, fmt.Sprintf("dest %d", e.Dest))
			}
		case ApplyRetryAfter:
			fmt.Fprintf(&w.trace, " %d %d", e.Endpoint, e.Until)
			if d := w.driver; d != nil && d.endpoints[e.Endpoint] != nil {
				d.endpoints[e.Endpoint].gate.HoldUntil(w.now, e.Until)
			}
		case Log:
			fmt.Fprintf(&w.trace, " %s %v", e.Text, e.Args)
		}
		w.trace.WriteByte('\n')
	}
}

func (w *simulation) enqueue(c *Call, e Event) { w.queue = append(w.queue, e) }

// play runs for a while and tells all that was done.
func (w *simulation) play(steps int) string { return w.playFrom(0, steps) }

func (w *simulation) playFrom(first, steps int) string {
	for i := first; i < first+steps; i++ {
		w.now += policy.Time(w.rng.IntN(20e3))
		if w.longStepOdds > 0 && w.rng.IntN(w.longStepOdds) == 0 {
			w.now += policy.Time(11e6 + w.rng.IntN(20e6))
		}
		if w.driver != nil {
			w.driver.advance()
		}
		var events []Event
		for n := w.rng.IntN(4); n > 0 && len(w.queue) > 0; n-- { // what was begun ends in any order
			k := w.rng.IntN(len(w.queue))
			e := w.queue[k]
			w.queue = slices.Delete(w.queue, k, k+1)
			if w.onEvent != nil {
				w.onEvent(e)
			} else if c := callOf(e); c != nil {
				w.openCallCount[c.Record.ID]--
				delete(w.openCalls, c)
			}
			events = append(events, e)
		}
		if w.rng.IntN(3) > 0 {
			class := w.rng.IntN(3)
			rec := &Record{Kind: RecordAccepted, ID: "m" + strconv.Itoa(i), Class: []string{"plain", "keyed", "once"}[class], Dest: w.rng.IntN(3),
				Deadline: w.core.wallTime(w.now + policy.Time(w.rng.IntN(3e6)))}
			if class == 1 {
				rec.Key = rec.ID
			}
			events = append(events, Submitted{Request: &Request{Record: rec, Class: class}})
		}
		if w.rng.IntN(25) == 0 || i == 0 { // i is the step since the start
			l := &EndpointList{}
			for k := range 6 {
				if i > 0 && w.rng.IntN(2) == 0 {
					continue
				}
				addr := fmt.Sprintf("10.0.0.%d:%d", k, 1+w.rng.IntN(2))
				m := Member{ID: "s" + strconv.Itoa(k), HostPort: addr, Locality: "a", Dest: (k + w.rng.IntN(8)/7) % 3, Phase: Up, Rate: 100}
				m.Flavor = w.flavors[m.Dest%len(w.flavors)] // a destination's are of one kind
				if i > 0 {
					m.Phase = []string{Up, Up, Draining, Removed}[w.rng.IntN(4)]
				}
				w.byAddr[addr] = m.Dest
				l.Members = append(l.Members, m)
			}
			kind := policy.ListDelta
			if i == 0 || w.rng.IntN(4) == 0 {
				kind = policy.ListFull
			}
			events = append(events, EndpointListUpdated{List: l, Kind: kind})
		}
		if w.logModel != nil {
			w.step(w.logModel, events)
		} else {
			w.execute(w.core.Step(w.now, events, nil))
		}
	}
	return w.trace.String()
}

// Whatever happens, in whatever order: log, answer, send; one attempt out for
// each message; nothing to who has left; one end for each.
func TestOrderOfEffects(t *testing.T) {
	sent := 0
	for seed := range uint64(150) {
		text := newSimulation(t, seed).play(400)
		sent += strings.Count(text, fmt.Sprintf(" %T m", AppendThenSend{}))
	}
	if sent < 5000 {
		t.Errorf("only %d sends in all", sent)
	}
}

// The same events at the same times give the same effects, byte for byte.
func TestDeterministic(t *testing.T) {
	for seed := range uint64(60) {
		if a, b := newSimulation(t, seed).play(300), newSimulation(t, seed).play(300); a != b {
			t.Fatalf("seed %d differs", seed)
		}
	}
}

// What is stepped must stay so: none of these packages may read a clock, draw
// from a global source, begin a goroutine or open anything.
func TestCoresArePure(t *testing.T) {
	allowed := strings.Fields("bytes cmp container/heap errors fmt log/slog maps math math/bits math/rand/v2 net slices sort strconv strings")
	// The gate is asked by many calls at once: it has a lock, and is else like the others.
	for _, dir := range []string{".", "../connlimit", "../resp", "../timerwheel", "../lifecycle", "../handover", "../sendgate", "../tlspolicy", "../source/registry", "../metrics", "../msgtrace", "../idlestore", "../membership", "../source/etcd", "../../policy"} {
		allowed := allowed
		if dir == "../sendgate" {
			allowed = append([]string{"sync"}, allowed...)
		}
		if dir == "../tlspolicy" { // its values are certificates and times; the clock and the system's roots stay out
			allowed = append(strings.Fields("container/list crypto/ecdsa crypto/ed25519 crypto/rsa crypto/sha256 crypto/x509 encoding/asn1 encoding/base64 encoding/binary golang.org/x/crypto/ocsp time"), allowed...)
		}
		if dir == "." { // pure functions over bytes
			allowed = append(strings.Fields("github.com/cespare/xxhash/v2 github.com/fxamacker/cbor/v2"), allowed...)
		}
		if dir == "../idlestore" { // the seed of its hash changes no result: nothing is shown in the order of a table
			allowed = append(strings.Fields("container/list encoding/binary hash/maphash net/netip"), allowed...)
		}
		if dir == "../source/etcd" { // values are read from bytes
			allowed = append([]string{"encoding/json"}, allowed...)
		}
		if dir == "../source/registry" { // spans of time
			allowed = append([]string{"time"}, allowed...)
		}
		pkgs, err := parser.ParseDir(token.NewFileSet(), dir, func(f fs.FileInfo) bool { return !strings.HasSuffix(f.Name(), "_test.go") }, 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(pkgs) == 0 {
			t.Errorf("%s holds no package", dir)
		}
		for _, p := range pkgs {
			for name, f := range p.Files {
				for _, i := range f.Imports {
					path, _ := strconv.Unquote(i.Path.Value)
					own := strings.HasPrefix(path, "troutusher/") && slices.Contains([]string{"troutusher/policy", "troutusher/internal/idlestore", "troutusher/internal/membership", "troutusher/internal/msgtrace", "troutusher/internal/metrics", "troutusher/internal/timerwheel"}, path)
					if !own && !slices.Contains(allowed, path) {
						t.Errorf("%s imports %s", name, path)
					}
				}
				ast.Inspect(f, func(n ast.Node) bool {
					switch x := n.(type) {
					case *ast.GoStmt, *ast.SelectStmt, *ast.SendStmt, *ast.ChanType:
						t.Errorf("%s: a goroutine or a channel", name)
					case *ast.SelectorExpr:
						if p, ok := x.X.(*ast.Ident); ok && p.Name == "net" && !slices.Contains([]string{"SplitHostPort", "JoinHostPort"}, x.Sel.Name) {
							t.Errorf("%s: net.%s", name, x.Sel.Name)
						}
						if p, ok := x.X.(*ast.Ident); ok && p.Name == "rand" && !slices.Contains([]string{"New", "NewPCG", "Rand", "PCG", "Source"}, x.Sel.Name) {
							t.Errorf("%s: rand.%s draws from a source that is not the seed's", name, x.Sel.Name)
						}
						if p, ok := x.X.(*ast.Ident); ok && p.Name == "time" && slices.Contains([]string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}, x.Sel.Name) {
							t.Errorf("%s: time.%s", name, x.Sel.Name)
						}
						if p, ok := x.X.(*ast.Ident); ok && p.Name == "x509" && x.Sel.Name == "SystemCertPool" {
							t.Errorf("%s: x509.%s", name, x.Sel.Name)
						}
						if p, ok := x.X.(*ast.Ident); ok && p.Name == "slog" && !strings.HasPrefix(x.Sel.Name, "Level") && !slices.Contains([]string{"Group", "Int64"}, x.Sel.Name) {
							t.Errorf("%s: slog.%s", name, x.Sel.Name)
						}
					}
					return true
				})
			}
		}
	}
}
