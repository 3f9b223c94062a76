package main

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is one entry of the endpoint list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type memberList struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

type change struct {
	revision int64
	member   member
}

// agent is discovery's agent on the relay's machine: the list, watches and notices.
type agent struct {
	rec      *recorder
	name     string
	mu       sync.Mutex
	revision int64
	members  map[string]member
	order    []string
	history  []change
	silent   bool
	told     int64 // the latest revision that was written to the relay
	changed  chan struct{}
	notices  map[string]notice // the first notice of each message
	listener net.Listener
	server   *http.Server
}

type notice struct {
	outcome string
	at      time.Time
}

func newAgent(rec *recorder, name string, revision int64, members []member) *agent {
	a := &agent{
		rec: rec, name: name, revision: revision, members: map[string]member{}, changed: make(chan struct{}),
		notices: map[string]notice{},
	}
	for _, m := range members {
		a.members[m.ID] = m
		a.order = append(a.order, m.ID)
	}
	return a
}

// serve listens at a free loopback address and returns it.
func (a *agent) serve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.serveList)
	mux.HandleFunc("POST /reports", a.serveReports)
	a.listener, a.server = l, &http.Server{Handler: mux}
	go func() { _ = a.server.Serve(l) }()
	return l.Addr().String(), nil
}

// retire is what the old address does after a move: no new connection, the open ones end after 1.5 s.
func (a *agent) retire() {
	_ = a.listener.Close()
	time.AfterFunc(1500*time.Millisecond, func() { _ = a.server.Close() })
}

func (a *agent) list() memberList {
	list := memberList{Revision: a.revision, Complete: true, Members: []member{}}
	for _, id := range a.order {
		if m := a.members[id]; m.Phase != "removed" {
			list.Members = append(list.Members, m)
		}
	}
	return list
}

// apply changes the phase of an endpoint, or adds one, and tells all open watches.
func (a *agent) apply(m member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.members[m.ID]; !known {
		a.order = append(a.order, m.ID)
	}
	a.revision++
	a.members[m.ID] = m
	a.history = append(a.history, change{a.revision, m})
	close(a.changed)
	a.changed = make(chan struct{})
	a.rec.note("discovery %s: revision %d, endpoint %s is %s", a.name, a.revision, m.ID, m.Phase)
}

// setSilent makes the agent silent, as while discovery is down, or ends that.
func (a *agent) setSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	close(a.changed)
	a.changed = make(chan struct{})
	a.rec.note("discovery %s: silent=%v", a.name, silent)
}

// awaitSpeech waits while the agent is silent.
func (a *agent) awaitSpeech(r *http.Request) bool {
	for {
		a.mu.Lock()
		silent, changed := a.silent, a.changed
		a.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (a *agent) serveList(w http.ResponseWriter, r *http.Request) {
	a.rec.note("discovery %s: asked %s", a.name, r.URL.RawQuery)
	if !a.awaitSpeech(r) {
		return
	}
	if r.URL.Query().Get("watch") != "1" {
		a.mu.Lock()
		list := a.list()
		a.mu.Unlock()
		a.rec.note("discovery %s: sends the list, revision %d", a.name, list.Revision)
		_ = json.NewEncoder(w).Encode(list)
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	a.serveWatch(w, r, from)
}

func (a *agent) serveWatch(w http.ResponseWriter, r *http.Request, from int64) {
	flusher := w.(http.Flusher)
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	for {
		if !a.awaitSpeech(r) {
			return
		}
		a.mu.Lock()
		list := memberList{Revision: a.revision, Members: []member{}}
		for _, c := range a.history {
			if c.revision > from {
				list.Members = append(list.Members, c.member)
			}
		}
		changed := a.changed
		a.mu.Unlock()
		if len(list.Members) > 0 {
			text, _ := json.Marshal(list)
			_, _ = w.Write(append(text, '\n'))
			flusher.Flush()
			from = list.Revision
			a.mu.Lock()
			a.told = list.Revision
			a.mu.Unlock()
			a.rec.note("discovery %s: told revision %d", a.name, list.Revision)
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(2 * time.Second):
			if a.awaitSpeech(r) {
				_, _ = w.Write([]byte("\n"))
				flusher.Flush()
			}
		}
	}
}

// serveReports takes notices; it answers at once, also while discovery is down.
func (a *agent) serveReports(w http.ResponseWriter, r *http.Request) {
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		var n struct {
			Message, Outcome string
		}
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.mu.Lock()
		if _, known := a.notices[n.Message]; !known {
			a.notices[n.Message] = notice{n.Outcome, time.Now()}
		}
		a.mu.Unlock()
		a.rec.note("notice at %s: message %s %s", a.name, n.Message, n.Outcome)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *agent) notice(id string) (notice, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, ok := a.notices[id]
	return n, ok
}

// applyAndTell applies a change and waits until it has been written to the relay.
func (a *agent) applyAndTell(m member) error {
	a.apply(m)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		a.mu.Lock()
		told := a.told == a.revision
		a.mu.Unlock()
		if told {
			return nil
		}
	}
	return errorf("the relay's watch has not taken the change")
}
