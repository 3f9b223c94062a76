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
	PhaseUp       = "up"
	PhaseDraining = "draining"
	PhaseRemoved  = "removed"
)

// List is the whole list, or what changed in it.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

const (
	keepaliveInterval = 2 * time.Second         // an empty line comes on a quiet watch
	oldAddressLinger  = 1500 * time.Millisecond // an old address closes its connections
	maxNoticeBytes    = 1 << 20
	maxHistory        = 4096
)

// Config is what a registry is made of.
type Config struct {
	Relays             int
	Members            func(relay int) []Member // endpoint i of the plan at index i
	StaticMembers      []Member                 // named by each whole list beside them; they never change
	Delay, DelaySpread time.Duration            // changes arrive so much later, and up to so much more
	Seed               uint64
	Clock              func() event.Time
	Emit               func(event.Event) // takes Told and Noticed
}

// Registry is the agents of all relays.
type Registry struct {
	cfg    Config
	agents []*agent
}

type revisionChange struct {
	revision int64
	endpoint int
}

// agent is what one relay talks to.
type agent struct {
	cfg   *Config
	relay int

	mu          sync.Mutex
	members     []Member // as it has them
	revision    int64
	history     []revisionChange
	silenced    int
	stale       int
	extraDelays []time.Duration
	inTransit   []phaseChange // on their way to it
	withheld    []phaseChange // arrived while it was stale
	lastDueAt   time.Time
	changed     chan struct{} // closed whenever something changed
	servers     []server
	address     string
	draws       uint64
	timers      map[*time.Timer]bool
	closed      bool
	done        chan struct{}
	wg          sync.WaitGroup
}

type phaseChange struct {
	endpoint int
	phase    string
}

// New starts the agents.
func New(cfg Config) (*Registry, error) {
	r := &Registry{cfg: cfg}
	for relay := range cfg.Relays {
		a := &agent{
			cfg:      &r.cfg,
			relay:    relay,
			members:  cfg.Members(relay),
			revision: 1,
			changed:  make(chan struct{}),
			timers:   map[*time.Timer]bool{},
			done:     make(chan struct{}),
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
	return a.address
}

// ListOf is the list as an agent has it.
func (r *Registry) ListOf(relay int) List {
	a := r.agents[relay]
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullList()
}

// SetPhase changes an endpoint's phase; each agent hears of it in its own time, and
// of one change after the other.
func (r *Registry) SetPhase(ep int, phase string) {
	for _, a := range r.agents {
		a.mu.Lock()
		a.draws++
		d := a.cfg.Delay + time.Duration(
			float64(a.cfg.DelaySpread)*seededrand.Float64(a.cfg.Seed, uint64(a.relay), a.draws),
		)
		for _, more := range a.extraDelays {
			d += more
		}
		due := time.Now().Add(d)
		if due.Before(a.lastDueAt) {
			due = a.lastDueAt
		}
		a.lastDueAt = due
		a.inTransit = append(a.inTransit, phaseChange{ep, phase})
		a.schedule(time.Until(due), a.receiveNext)
		a.mu.Unlock()
	}
}

// schedule runs f later, unless the agent is closed by then. The caller holds mu.
func (a *agent) schedule(d time.Duration, f func()) {
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

// receiveNext takes the oldest change that is on its way. The caller holds mu.
func (a *agent) receiveNext() {
	x := a.inTransit[0]
	a.inTransit = a.inTransit[1:]
	if a.stale > 0 {
		a.withheld = append(a.withheld, x)
		return
	}
	a.apply(x)
	a.wakeWatches()
}

func (a *agent) apply(x phaseChange) {
	if a.members[x.endpoint].Phase == x.phase {
		return
	}
	a.members[x.endpoint].Phase = x.phase
	a.revision++
	a.history = append(a.history, revisionChange{a.revision, x.endpoint})
	if len(a.history) > maxHistory {
		a.history = append([]revisionChange(nil), a.history[maxHistory/2:]...)
	}
}

func (a *agent) wakeWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetSilent has a relay's discovery say nothing, or speak again.
func (r *Registry) SetSilent(relay int, on bool) {
	r.agents[relay].adjust(func(a *agent, n int) { a.silenced += n }, on)
}

// SetStale has a relay's discovery hold back changes, or hand them over.
func (r *Registry) SetStale(relay int, on bool) {
	r.agents[relay].adjust(func(a *agent, n int) { a.stale += n }, on)
}

// SetExtraDelay has changes take so much longer, or no longer.
func (r *Registry) SetExtraDelay(relay int, more time.Duration, on bool) {
	r.agents[relay].adjust(func(a *agent, n int) {
		if n > 0 {
			a.extraDelays = append(a.extraDelays, more)
			return
		}
		for i, x := range a.extraDelays {
			if x == more {
				a.extraDelays = append(a.extraDelays[:i], a.extraDelays[i+1:]...)
				return
			}
		}
	}, on)
}

func (a *agent) adjust(f func(a *agent, n int), on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := -1
	if on {
		n = 1
	}
	f(a, n)
	if a.stale == 0 {
		for _, x := range a.withheld {
			a.apply(x)
		}
		a.withheld = nil
	}
	a.wakeWatches()
}

// ChangeAddress has a relay's discovery answer at a new address. The old one takes no
// new connection and closes the open ones after a while.
func (r *Registry) ChangeAddress(relay int) (string, error) {
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
	_ = old.listener.Close()
	a.schedule(oldAddressLinger, func() { go func() { _ = old.Close() }() })
	return addr, nil
}

// server is an agent's place at one address. http.Server closes its listener
// only together with the connections.
type server struct {
	*http.Server
	listener net.Listener
}

func (a *agent) listen(port int) (string, error) {
	ln, err := loopback.Listen(port)
	if err != nil {
		return "", fmt.Errorf("stand-in registry: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.serveList)
	mux.HandleFunc("POST /reports", a.serveNotices)
	srv := server{&http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 16 << 10}, ln}
	a.mu.Lock()
	a.address = ln.Addr().String()
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

// fullList is the list without those that were removed. The caller holds mu.
func (a *agent) fullList() List {
	l := List{Revision: a.revision, Complete: true, Members: []Member{}}
	for _, m := range a.members {
		if m.Phase != PhaseRemoved {
			l.Members = append(l.Members, m)
		}
	}
	l.Members = append(l.Members, a.cfg.StaticMembers...)
	return l
}

var phaseStatus = map[string]int{
	PhaseUp:       event.ToldUp,
	PhaseDraining: event.ToldDraining,
	PhaseRemoved:  event.ToldRemoved,
}

// emitUpdates says what was written to the relay.
func (a *agent) emitUpdates(eps []int, phases []string) {
	for i, ep := range eps {
		a.cfg.Emit(
			event.Event{
				At: a.cfg.Clock(), Kind: event.Told, Relay: a.relay, Endpoint: ep, Status: phaseStatus[phases[i]],
			},
		)
	}
}

// allPhases names all endpoints, for a whole list. The caller holds mu.
func (a *agent) allPhases() (eps []int, phases []string) {
	for i, m := range a.members {
		eps, phases = append(eps, i), append(phases, m.Phase)
	}
	return eps, phases
}

func (a *agent) serveList(w http.ResponseWriter, r *http.Request) {
	if !a.waitWhileSilenced(r) {
		return
	}
	if r.URL.Query().Get("watch") != "" {
		a.serveWatch(w, r)
		return
	}
	a.mu.Lock()
	l := a.fullList()
	eps, phases := a.allPhases()
	a.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if json.NewEncoder(w).Encode(l) == nil {
		a.emitUpdates(eps, phases)
	}
}

// waitWhileSilenced waits while the agent is silent; false once its caller has gone.
func (a *agent) waitWhileSilenced(r *http.Request) bool {
	for {
		a.mu.Lock()
		silent, news := a.silenced > 0, a.changed
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

func (a *agent) serveWatch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: no number", http.StatusBadRequest)
		return
	}
	flush := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = flush.Flush() // a client that has gone ends the watch below
	quiet := time.NewTicker(keepaliveInterval)
	defer quiet.Stop()
	for first := true; ; first = false {
		l, eps, phases, news := a.nextUpdate(&from, first)
		if l.Members != nil {
			text, err := json.Marshal(l)
			if err != nil {
				return
			}
			if _, err := w.Write(append(text, '\n')); err != nil || flush.Flush() != nil {
				return
			}
			a.emitUpdates(eps, phases)
		}
		select {
		case <-news:
		case <-quiet.C:
			a.mu.Lock()
			silent := a.silenced > 0
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

// nextUpdate returns what a watch that has heard everything up to from has to be told, with
// nil members for nothing, and what is closed at the next change. It moves from along.
func (a *agent) nextUpdate(from *int64, first bool) (l List, eps []int, phases []string, news <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silenced != 0 {
		return l, nil, nil, a.changed
	}
	if oldest := a.oldestRevision(); first && (*from < oldest || *from > a.revision) {
		l = a.fullList()
		eps, phases = a.allPhases()
	} else if *from < a.revision {
		l = List{Revision: a.revision, Members: []Member{}}
		seen := map[int]bool{}
		for _, c := range a.history {
			if c.revision > *from && !seen[c.endpoint] {
				seen[c.endpoint] = true
				l.Members = append(l.Members, a.members[c.endpoint])
				eps, phases = append(eps, c.endpoint), append(phases, a.members[c.endpoint].Phase)
			}
		}
	}
	*from = a.revision
	return l, eps, phases, a.changed
}

// oldestRevision is the version from which on changes are still known.
func (a *agent) oldestRevision() int64 {
	if len(a.history) == 0 {
		return a.revision
	}
	return a.history[0].revision - 1
}

var noticeStatus = map[string]int{"given_up": event.NoticeGivenUp, "handed_back": event.NoticeHandedBack}

// serveNotices takes notices, one JSON object a line; all of them or none.
func (a *agent) serveNotices(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxNoticeBytes))
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
			outcome, ok = noticeStatus[n.Outcome]
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
