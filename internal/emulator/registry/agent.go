package registry

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"troutusher/internal/emulator/loopback"
	"troutusher/internal/seededrand"
)

const (
	oldAddressLinger  = 1500 * time.Millisecond // time until a former address closes its connections
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 16 << 10
	maxHistory        = 4096 // number of changes that an agent keeps for watches
)

// agent is the server of the registry that one relay calls.
type agent struct {
	config *Config
	relay  int

	mu          sync.Mutex
	members     []Member // by number of the endpoint, including removed ones
	revision    int64
	history     []revisionChange // latest changes, oldest first; a watch can start at any of them
	silenced    int              // number of active faults that keep it from answering
	stale       int              // number of active faults that make it withhold updates
	extraDelays []time.Duration
	inTransit   []phaseChange // updates that have not reached the agent yet
	withheld    []phaseChange // updates that arrived while it was stale
	lastDueAt   time.Time     // arrival time of the last update in inTransit
	changed     chan struct{} // closed and replaced at each change
	servers     []server
	address     string
	draws       uint64 // number of random draws so far
	timers      map[*time.Timer]bool
	closed      bool
	done        chan struct{}
	wg          sync.WaitGroup
}

// revisionChange records that an endpoint changed at a revision.
type revisionChange struct {
	revision int64
	endpoint int
}

// phaseChange is an update: an endpoint and its new phase.
type phaseChange struct {
	endpoint int
	phase    Phase
}

// server is an agent's HTTP server at one address. It keeps the listener, because
// http.Server cannot close the listener without the connections.
type server struct {
	*http.Server
	listener net.Listener
}

func newAgent(config *Config, relay int) *agent {
	return &agent{
		config:   config,
		relay:    relay,
		members:  config.Members(relay),
		revision: 1,
		changed:  make(chan struct{}),
		timers:   map[*time.Timer]bool{},
		done:     make(chan struct{}),
	}
}

// listen starts a server at a free port and returns its address.
func (a *agent) listen() (string, error) {
	listener, err := loopback.Listen(0)
	if err != nil {
		return "", fmt.Errorf("registry emulator: listen for the agent of relay %d: %w", a.relay, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.serveList)
	mux.HandleFunc("POST /reports", a.serveNotices)
	started := server{
		Server:   &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes},
		listener: listener,
	}
	address := listener.Addr().String()
	a.mu.Lock()
	a.address = address
	a.servers = append(a.servers, started)
	a.mu.Unlock()
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		_ = started.Serve(listener) // returns after Close
	}()
	return address, nil
}

// changeAddress starts a server at a new address, and closes the previous one: its listener
// at once, its connections after oldAddressLinger.
func (a *agent) changeAddress() (string, error) {
	a.mu.Lock()
	old := a.servers[len(a.servers)-1]
	a.mu.Unlock()
	address, err := a.listen()
	if err != nil {
		return "", err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = old.listener.Close()
	a.schedule(oldAddressLinger, func() { go func() { _ = old.Close() }() })
	return address, nil
}

// close stops all timers and servers, and waits for the goroutines of the servers.
func (a *agent) close() {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return
	}
	a.closed = true
	for timer := range a.timers {
		timer.Stop()
	}
	close(a.done)
	servers := a.servers
	a.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
	a.wg.Wait()
}

// schedule runs a function after a delay, unless the agent is closed by then. The caller
// holds mu, and the function runs with mu held.
func (a *agent) schedule(delay time.Duration, run func()) {
	var timer *time.Timer
	timer = time.AfterFunc(delay, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.timers, timer)
		if !a.closed {
			run()
		}
	})
	a.timers[timer] = true
}

// sendUpdate schedules the arrival of an update at the agent, after a random delay and not
// before any earlier update.
func (a *agent) sendUpdate(update phaseChange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draws++
	random := seededrand.Float64(a.config.Seed, uint64(a.relay), a.draws)
	delay := a.config.Delay + time.Duration(float64(a.config.DelaySpread)*random)
	for _, extra := range a.extraDelays {
		delay += extra
	}
	due := time.Now().Add(delay)
	if due.Before(a.lastDueAt) {
		due = a.lastDueAt
	}
	a.lastDueAt = due
	a.inTransit = append(a.inTransit, update)
	a.schedule(time.Until(due), a.receiveNext)
}

// receiveNext handles the arrival of the oldest update in transit. The caller holds mu.
func (a *agent) receiveNext() {
	update := a.inTransit[0]
	a.inTransit = a.inTransit[1:]
	if a.stale > 0 {
		a.withheld = append(a.withheld, update)
		return
	}
	a.apply(update)
	a.wakeWatches()
}

// apply applies an update to the list. The caller holds mu.
func (a *agent) apply(update phaseChange) {
	member := &a.members[update.endpoint]
	if member.Phase == update.phase {
		return
	}
	member.Phase = update.phase
	a.revision++
	a.history = append(a.history, revisionChange{a.revision, update.endpoint})
	if len(a.history) > maxHistory {
		a.history = append([]revisionChange(nil), a.history[maxHistory/2:]...)
	}
}

// changeFaults changes the agent's faults. If the agent is not stale afterwards, it applies
// the withheld updates.
func (a *agent) changeFaults(change func(a *agent)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(a)
	if a.stale == 0 {
		for _, update := range a.withheld {
			a.apply(update)
		}
		a.withheld = nil
	}
	a.wakeWatches()
}

// wakeWatches wakes all goroutines that wait for a change. The caller holds mu.
func (a *agent) wakeWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// fullList returns the complete list, without removed members. The caller holds mu.
func (a *agent) fullList() List {
	list := List{Revision: a.revision, Complete: true, Members: []Member{}}
	for _, member := range a.members {
		if member.Phase != PhaseRemoved {
			list.Members = append(list.Members, member)
		}
	}
	list.Members = append(list.Members, a.config.StaticMembers...)
	return list
}

// allPhases returns the phases of all endpoints. The caller holds mu.
func (a *agent) allPhases() []phaseChange {
	var phases []phaseChange
	for endpoint, member := range a.members {
		phases = append(phases, phaseChange{endpoint, member.Phase})
	}
	return phases
}
