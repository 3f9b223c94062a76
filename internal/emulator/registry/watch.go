package registry

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"troutusher/internal/event"
)

// keepaliveInterval is the interval at which a watch sends an empty line.
const keepaliveInterval = 2 * time.Second

// phaseStatus maps a phase to the Status of the event that reports it.
var phaseStatus = map[Phase]int{
	PhaseUp:       event.UpdateUp,
	PhaseDraining: event.UpdateDraining,
	PhaseRemoved:  event.UpdateRemoved,
}

// emitUpdates emits an event for each phase that was sent to the relay.
func (a *agent) emitUpdates(sent []phaseChange) {
	for _, update := range sent {
		a.config.Emit(event.Event{
			At: a.config.Clock(), Kind: event.EndpointUpdateSent, Relay: a.relay, Endpoint: update.endpoint,
			Status: phaseStatus[update.phase],
		})
	}
}

// serveList answers a request with the complete list or, if the request says so, a watch.
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

// waitWhileSilenced waits until the agent is not silenced. It returns false if the client
// disconnects or the agent is closed before that.
func (a *agent) waitWhileSilenced(r *http.Request) bool {
	for {
		silenced, changed := a.silencedState()
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

// silencedState reports whether the agent is silenced, and returns a channel that is closed at
// the next change.
func (a *agent) silencedState() (silenced bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silenced > 0, a.changed
}

// watch is the open watch of a client.
type watch struct {
	agent  *agent
	writer http.ResponseWriter
	flush  func() error
	from   int64 // revision up to which the client has the list
	begun  bool  // nextUpdate has been called before
}

// serveWatch sends a line for each update, and empty lines as keepalives, until the client
// disconnects or the agent closes.
func (a *agent) serveWatch(writer http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(writer, "from: no number", http.StatusBadRequest)
		return
	}
	w := &watch{agent: a, writer: writer, flush: http.NewResponseController(writer).Flush, from: from}
	writer.WriteHeader(http.StatusOK)
	_ = w.flush() // if the client has disconnected, the loop below ends
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

// sendUpdate sends the changes that the client does not have yet, if any. It returns a
// channel that is closed at the next change.
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
	if silenced, _ := w.agent.silencedState(); silenced {
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

// nextUpdate returns an update with the changes that the client does not have yet, or nil if
// there are none, together with the phases in it and a channel that is closed at the next
// change. It assumes that the caller sends the update: the next call continues after it.
func (w *watch) nextUpdate() (update *List, phases []phaseChange, changed <-chan struct{}) {
	a := w.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	first := !w.begun
	w.begun = true
	if a.silenced != 0 {
		return nil, nil, a.changed
	}
	// A new watch gets the complete list if the history does not reach back to its revision, or if this
	// agent has not reached the revision.
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

// changesSince returns the members that changed after a revision, and their phases. The
// caller holds mu.
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

// oldestRevision returns the oldest revision after which all changes are in the history. The
// caller holds mu.
func (a *agent) oldestRevision() int64 {
	if len(a.history) == 0 {
		return a.revision
	}
	return a.history[0].revision - 1
}
