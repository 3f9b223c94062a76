package registry

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"troutusher/internal/event"
)

// keepaliveInterval is how often an empty line goes out on a watch.
const keepaliveInterval = 2 * time.Second

var phaseStatus = map[Phase]int{
	PhaseUp:       event.UpdateUp,
	PhaseDraining: event.UpdateDraining,
	PhaseRemoved:  event.UpdateRemoved,
}

// emitUpdates records which phases were sent to the relay.
func (a *agent) emitUpdates(sent []phaseChange) {
	for _, update := range sent {
		a.config.Emit(event.Event{
			At: a.config.Clock(), Kind: event.EndpointUpdateSent, Relay: a.relay, Endpoint: update.endpoint,
			Status: phaseStatus[update.phase],
		})
	}
}

// serveList answers with the whole list, or with a watch.
func (a *agent) serveList(w http.ResponseWriter, r *http.Request) {
	if !a.waitWhileSilenced(r) {
		return
	}
	if r.URL.Query().Get("watch") != "" {
		a.serveWatch(w, r)
		return
	}
	a.mu.Lock()
	list, phases := a.fullList(), a.allPhases()
	a.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if json.NewEncoder(w).Encode(list) == nil {
		a.emitUpdates(phases)
	}
}

// waitWhileSilenced waits while the agent is silenced; false where the caller has
// left or the agent is closed.
func (a *agent) waitWhileSilenced(r *http.Request) bool {
	for {
		silenced, changed := a.silence()
		if !silenced {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		case <-a.done:
			return false
		}
	}
}

// silence reports whether the agent is silenced, with what is closed at a change.
func (a *agent) silence() (silenced bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silenced > 0, a.changed
}

// watch is an open watch of a client.
type watch struct {
	agent  *agent
	writer http.ResponseWriter
	flush  func() error
	from   int64 // the client knows the list up to this revision
	begun  bool
}

// serveWatch sends a line for each update, and empty lines in between, until the
// client or the agent closes.
func (a *agent) serveWatch(writer http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(writer, "from: no number", http.StatusBadRequest)
		return
	}
	w := &watch{agent: a, writer: writer, flush: http.NewResponseController(writer).Flush, from: from}
	writer.WriteHeader(http.StatusOK)
	_ = w.flush() // a client that has left ends the watch below
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	for {
		changed, err := w.sendUpdate()
		if err != nil {
			return
		}
		select {
		case <-changed:
		case <-keepalive.C:
			if err := w.sendKeepalive(); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		case <-a.done:
			return
		}
	}
}

// sendUpdate sends what the client does not know yet, and returns what is closed at
// the next change.
func (w *watch) sendUpdate() (changed <-chan struct{}, err error) {
	update, phases, changed := w.nextUpdate()
	if update == nil {
		return changed, nil
	}
	text, err := json.Marshal(update)
	if err != nil {
		return nil, err
	}
	if err := w.writeLine(string(text)); err != nil {
		return nil, err
	}
	w.agent.emitUpdates(phases)
	return changed, nil
}

func (w *watch) sendKeepalive() error {
	if silenced, _ := w.agent.silence(); silenced {
		return nil
	}
	return w.writeLine("")
}

func (w *watch) writeLine(text string) error {
	if _, err := io.WriteString(w.writer, text+"\n"); err != nil {
		return err
	}
	return w.flush()
}

// nextUpdate returns what the client does not know, nil for nothing, with the phases
// that it contains, and what is closed at the next change. From then on the client is
// taken to know it.
func (w *watch) nextUpdate() (update *List, phases []phaseChange, changed <-chan struct{}) {
	a := w.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	first := !w.begun
	w.begun = true
	if a.silenced != 0 {
		return nil, nil, a.changed
	}
	if first && (w.from < a.oldestRevision() || w.from > a.revision) {
		list := a.fullList()
		update, phases = &list, a.allPhases()
	} else if w.from < a.revision {
		list, changes := a.changesSince(w.from)
		update, phases = &list, changes
	}
	w.from = a.revision
	return update, phases, a.changed
}

// changesSince are the members that changed after a revision. The caller holds mu.
func (a *agent) changesSince(revision int64) (List, []phaseChange) {
	list := List{Revision: a.revision, Members: []Member{}}
	var phases []phaseChange
	seen := map[int]bool{}
	for _, change := range a.history {
		if change.revision > revision && !seen[change.endpoint] {
			seen[change.endpoint] = true
			member := a.members[change.endpoint]
			list.Members = append(list.Members, member)
			phases = append(phases, phaseChange{change.endpoint, member.Phase})
		}
	}
	return list, phases
}

// oldestRevision is the revision from which on changes are known. The caller holds mu.
func (a *agent) oldestRevision() int64 {
	if len(a.history) == 0 {
		return a.revision
	}
	return a.history[0].revision - 1
}
