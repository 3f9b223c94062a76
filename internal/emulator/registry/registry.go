// Package registry is a stand-in for discovery: the agent on each relay's
// machine with its list, its watch and the place where notices go, over
// HTTP/1.1 on loopback. It tells what it is told to tell, late, stale or not
// at all; it must never know why an endpoint comes or goes.
package registry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"troutusher/internal/emulator/loopback"
	"troutusher/internal/event"
	"troutusher/internal/seededrand"
)

// Member is an endpoint as the list names it.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Phases of a member.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// List is the whole list, or what changed in it.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

const (
	quietLine  = 2 * time.Second         // an empty line comes on a quiet watch
	closeAfter = 1500 * time.Millisecond // an old address closes its connections
	noticeMost = 1 << 20
	historyMax = 4096
)

// Config is what a registry is made of.
type Config struct {
	Relays        int
	Members       func(relay int) []Member // endpoint i of the plan at index i
	Quiet         []Member                 // named by each whole list beside them; they never change
	Delay, Spread time.Duration            // changes arrive so much later, and up to so much more
	Seed          uint64
	Clock         func() event.Time
	Emit          func(event.Event) // takes Told and Noticed
}

// Registry is the agents of all relays.
type Registry struct {
	cfg    Config
	agents []*agent
}

type change struct {
	rev int64
	ep  int
}

// agent is what one relay talks to.
type agent struct {
	cfg   *Config
	relay int

	mu      sync.Mutex
	members []Member // as it has them
	rev     int64
	log     []change
	silent  int
	stale   int
	late    []time.Duration
	queue   []arrival // on their way to it
	held    []arrival // arrived while it was stale
	lastDue time.Time
	news    chan struct{} // closed whenever something changed
	servers []server
	addr    string
	drawn   uint64
	timers  map[*time.Timer]bool
	closed  bool
	done    chan struct{}
	wg      sync.WaitGroup
}

type arrival struct {
	ep    int
	phase string
}

// New starts the agents.
func New(cfg Config) (*Registry, error) {
	r := &Registry{cfg: cfg}
	for relay := range cfg.Relays {
		a := &agent{
			cfg:     &r.cfg,
			relay:   relay,
			members: cfg.Members(relay),
			rev:     1,
			news:    make(chan struct{}),
			timers:  map[*time.Timer]bool{},
			done:    make(chan struct{}),
		}
		r.agents = append(r.agents, a)
		if _, err := a.listen(0); err != nil {
			r.Close()
			return nil, err
		}
	}
	return r, nil
}

// Addr is where a relay finds discovery now.
func (r *Registry) Addr(relay int) string {
	a := r.agents[relay]
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr
}

// Known is the list as an agent has it.
func (r *Registry) Known(relay int) List {
	a := r.agents[relay]
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.whole()
}

// Set changes an endpoint's phase; each agent hears of it in its own time, and
// of one change after the other.
func (r *Registry) Set(ep int, phase string) {
	for _, a := range r.agents {
		a.mu.Lock()
		a.drawn++
		d := a.cfg.Delay + time.Duration(float64(a.cfg.Spread)*seededrand.Float64(a.cfg.Seed, uint64(a.relay), a.drawn))
		for _, more := range a.late {
			d += more
		}
		due := time.Now().Add(d)
		if due.Before(a.lastDue) {
			due = a.lastDue
		}
		a.lastDue = due
		a.queue = append(a.queue, arrival{ep, phase})
		a.after(time.Until(due), a.arrived)
		a.mu.Unlock()
	}
}

// after runs f later, unless the agent is closed by then. The caller holds mu.
func (a *agent) after(d time.Duration, f func()) {
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.timers, t)
		if !a.closed {
			f()
		}
	})
	a.timers[t] = true
}

// arrived takes the oldest change that is on its way. The caller holds mu.
func (a *agent) arrived() {
	x := a.queue[0]
	a.queue = a.queue[1:]
	if a.stale > 0 {
		a.held = append(a.held, x)
		return
	}
	a.apply(x)
	a.wake()
}

func (a *agent) apply(x arrival) {
	if a.members[x.ep].Phase == x.phase {
		return
	}
	a.members[x.ep].Phase = x.phase
	a.rev++
	a.log = append(a.log, change{a.rev, x.ep})
	if len(a.log) > historyMax {
		a.log = append([]change(nil), a.log[historyMax/2:]...)
	}
}

func (a *agent) wake() {
	close(a.news)
	a.news = make(chan struct{})
}

// Silence has a relay's discovery say nothing, or speak again.
func (r *Registry) Silence(relay int, on bool) {
	r.agents[relay].fault(func(a *agent, n int) { a.silent += n }, on)
}

// Stale has a relay's discovery hold back changes, or hand them over.
func (r *Registry) Stale(relay int, on bool) {
	r.agents[relay].fault(func(a *agent, n int) { a.stale += n }, on)
}

// Late has changes take so much longer, or no longer.
func (r *Registry) Late(relay int, more time.Duration, on bool) {
	r.agents[relay].fault(func(a *agent, n int) {
		if n > 0 {
			a.late = append(a.late, more)
			return
		}
		for i, x := range a.late {
			if x == more {
				a.late = append(a.late[:i], a.late[i+1:]...)
				return
			}
		}
	}, on)
}

func (a *agent) fault(f func(a *agent, n int), on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := -1
	if on {
		n = 1
	}
	f(a, n)
	if a.stale == 0 {
		for _, x := range a.held {
			a.apply(x)
		}
		a.held = nil
	}
	a.wake()
}

// Move has a relay's discovery answer at a new address. The old one takes no
// new connection and closes the open ones after a while.
func (r *Registry) Move(relay int) (string, error) {
	a := r.agents[relay]
	a.mu.Lock()
	old := a.servers[len(a.servers)-1]
	a.mu.Unlock()
	addr, err := a.listen(0)
	if err != nil {
		return "", err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = old.ln.Close()
	a.after(closeAfter, func() { go func() { _ = old.Close() }() })
	return addr, nil
}

// server is an agent's place at one address. http.Server closes its listener
// only together with the connections.
type server struct {
	*http.Server
	ln net.Listener
}

func (a *agent) listen(port int) (string, error) {
	ln, err := loopback.Listen(port)
	if err != nil {
		return "", fmt.Errorf("stand-in registry: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.list)
	mux.HandleFunc("POST /reports", a.reports)
	srv := server{&http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 16 << 10}, ln}
	a.mu.Lock()
	a.addr = ln.Addr().String()
	a.servers = append(a.servers, srv)
	a.mu.Unlock()
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		_ = srv.Serve(ln) // until it is closed
	}()
	return ln.Addr().String(), nil
}

// Close ends all agents.
func (r *Registry) Close() {
	for _, a := range r.agents {
		a.mu.Lock()
		if a.closed {
			a.mu.Unlock()
			continue
		}
		a.closed = true
		for t := range a.timers {
			t.Stop()
		}
		close(a.done)
		servers := a.servers
		a.mu.Unlock()
		for _, s := range servers {
			_ = s.Close()
		}
		a.wg.Wait()
	}
}

// whole is the list without those that were removed. The caller holds mu.
func (a *agent) whole() List {
	l := List{Revision: a.rev, Complete: true, Members: []Member{}}
	for _, m := range a.members {
		if m.Phase != Removed {
			l.Members = append(l.Members, m)
		}
	}
	l.Members = append(l.Members, a.cfg.Quiet...)
	return l
}

var toldWords = map[string]int{Up: event.ToldUp, Draining: event.ToldDraining, Removed: event.ToldRemoved}

// told says what was written to the relay.
func (a *agent) told(eps []int, phases []string) {
	for i, ep := range eps {
		a.cfg.Emit(
			event.Event{
				At: a.cfg.Clock(), Kind: event.Told, Relay: a.relay, Endpoint: ep, Status: toldWords[phases[i]],
			},
		)
	}
}

// everything names all endpoints, for a whole list. The caller holds mu.
func (a *agent) everything() (eps []int, phases []string) {
	for i, m := range a.members {
		eps, phases = append(eps, i), append(phases, m.Phase)
	}
	return eps, phases
}

func (a *agent) list(w http.ResponseWriter, r *http.Request) {
	if !a.speak(r) {
		return
	}
	if r.URL.Query().Get("watch") != "" {
		a.watch(w, r)
		return
	}
	a.mu.Lock()
	l := a.whole()
	eps, phases := a.everything()
	a.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if json.NewEncoder(w).Encode(l) == nil {
		a.told(eps, phases)
	}
}

// speak waits while the agent is silent; false once its caller has gone.
func (a *agent) speak(r *http.Request) bool {
	for {
		a.mu.Lock()
		silent, news := a.silent > 0, a.news
		a.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-news:
		case <-r.Context().Done():
			return false
		case <-a.done:
			return false
		}
	}
}

func (a *agent) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: no number", http.StatusBadRequest)
		return
	}
	flush := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = flush.Flush() // a client that has gone ends the watch below
	quiet := time.NewTicker(quietLine)
	defer quiet.Stop()
	for first := true; ; first = false {
		l, eps, phases, news := a.changes(&from, first)
		if l.Members != nil {
			text, err := json.Marshal(l)
			if err != nil {
				return
			}
			if _, err := w.Write(append(text, '\n')); err != nil || flush.Flush() != nil {
				return
			}
			a.told(eps, phases)
		}
		select {
		case <-news:
		case <-quiet.C:
			a.mu.Lock()
			silent := a.silent > 0
			a.mu.Unlock()
			if !silent {
				if _, err := io.WriteString(w, "\n"); err != nil || flush.Flush() != nil {
					return
				}
			}
		case <-r.Context().Done():
			return
		case <-a.done:
			return
		}
	}
}

// changes returns what a watch that has heard everything up to from has to be told, with
// nil members for nothing, and what is closed at the next change. It moves from along.
func (a *agent) changes(from *int64, first bool) (l List, eps []int, phases []string, news <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent != 0 {
		return l, nil, nil, a.news
	}
	if oldest := a.oldest(); first && (*from < oldest || *from > a.rev) {
		l = a.whole()
		eps, phases = a.everything()
	} else if *from < a.rev {
		l = List{Revision: a.rev, Members: []Member{}}
		seen := map[int]bool{}
		for _, c := range a.log {
			if c.rev > *from && !seen[c.ep] {
				seen[c.ep] = true
				l.Members = append(l.Members, a.members[c.ep])
				eps, phases = append(eps, c.ep), append(phases, a.members[c.ep].Phase)
			}
		}
	}
	*from = a.rev
	return l, eps, phases, a.news
}

// oldest is the version from which on changes are still known.
func (a *agent) oldest() int64 {
	if len(a.log) == 0 {
		return a.rev
	}
	return a.log[0].rev - 1
}

var outcomes = map[string]int{"given_up": event.NoticeGivenUp, "handed_back": event.NoticeHandedBack}

// reports takes notices, one JSON object a line; all of them or none.
func (a *agent) reports(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, noticeMost))
	if err != nil {
		http.Error(w, "too long, or cut off", http.StatusBadRequest)
		return
	}
	var all []event.Event
	for in := bufio.NewScanner(bytes.NewReader(text)); in.Scan(); {
		if len(bytes.TrimSpace(in.Bytes())) == 0 {
			continue
		}
		var n struct {
			Message string `json:"message"`
			Outcome string `json:"outcome"`
			RetryMS int64  `json:"retry_in_ms"`
		}
		outcome, ok := 0, false
		if err := json.Unmarshal(in.Bytes(), &n); err == nil {
			outcome, ok = outcomes[n.Outcome]
		}
		if !ok || n.Message == "" {
			http.Error(w, "not a notice", http.StatusBadRequest)
			return
		}
		all = append(all,
			event.Event{Kind: event.Noticed, ID: n.Message, Relay: a.relay, Status: outcome, Wait: n.RetryMS * 1000})
	}
	for _, e := range all {
		e.At = a.cfg.Clock()
		a.cfg.Emit(e)
	}
	w.WriteHeader(http.StatusNoContent)
}
