package membership

import (
	"cmp"
	"slices"
)

// State is the state that is saved across restarts: the last list of each source. It contains ages
// instead of times, because the process that saves it and the one that loads it need not share a clock.
type State struct {
	Sources []SourceState `json:"sources"`
}

// SourceState is the state of one source.
type SourceState struct {
	Name     string       `json:"name"`
	Epoch    string       `json:"epoch"`
	Revision int64        `json:"revision"`
	Updates  int64        `json:"words"` // number of accepted updates
	Entries  []EntryState `json:"entries"`
	Drained  []string     `json:"drained,omitempty"` // ids that the source drains and does not list
}

// EntryState is the saved state of an entry: one id in the list of a source.
type EntryState struct {
	Member
	Revision     int64 `json:"revision"`
	UpdateNumber int64 `json:"word"` // number of the update that last changed the entry
	RemovedAgo   Time  `json:"removed_ago_us,omitempty"`
	Held         bool  `json:"held,omitempty"` // removed by the source; listed until a resync confirms the removal
}

// Export returns the state to save. now is the time from which its ages count.
func (v *View) Export(now Time) *State {
	state := &State{}
	for i := range v.sources {
		t := &v.sources[i]
		if !t.known {
			continue
		}
		source := SourceState{
			Name: v.settings.Sources[i].Name, Epoch: t.epoch, Revision: t.revision, Updates: t.updates,
			Drained: sortedKeys(t.drainedOnly),
		}
		for _, id := range sortedKeys(t.entries) {
			e := t.entries[id]
			exported := EntryState{
				Member: e.Member, Revision: e.revision, UpdateNumber: e.updateNumber, Held: e.held,
			}
			if !e.listed() {
				exported.RemovedAgo = max(now-e.removedAt, 0)
			}
			source.Entries = append(source.Entries, exported)
		}
		state.Sources = append(state.Sources, source)
	}
	return state
}

// Import loads the state of an earlier process into an empty view. It loads only sources that are
// configured under the same name. These sources are stale until they are heard. Draining entries stay
// draining, and entries removed less than RemovalRetention ago stay removed. Invalid entries are
// skipped.
func (v *View) Import(now Time, state *State) {
	v.now = max(v.now, now)
	for i := range state.Sources {
		imported := &state.Sources[i]
		sameName := func(s Source) bool { return s.Name == imported.Name }
		source := slices.IndexFunc(v.settings.Sources, sameName)
		if source >= 0 && !v.sources[source].known {
			v.importSource(source, imported)
		}
	}
	slices.SortStableFunc(v.removals, func(a, b removal) int { return cmp.Compare(a.at, b.at) })
}

func (v *View) importSource(source int, imported *SourceState) {
	t := &v.sources[source]
	t.epoch, t.revision, t.updates = imported.Epoch, imported.Revision, imported.Updates
	t.known = true
	t.lastHeard = v.now - v.settings.Sources[source].StaleAfter - 1
	for i := range imported.Entries {
		saved := &imported.Entries[i]
		if saved.ID == "" || t.entries[saved.ID] != nil || !v.importable(saved) {
			continue
		}
		number := min(saved.UpdateNumber, imported.Updates)
		e := &entry{source: source, revision: saved.Revision, updateNumber: number}
		t.entries[saved.ID] = e
		if saved.Phase == Removed {
			e.removedAt = v.now - saved.RemovedAgo
			v.removals = append(v.removals, removal{e, e.removedAt})
		} else {
			t.listedCount++
			e.held = saved.Held
			t.resyncRequested = t.resyncRequested || e.held
		}
		v.updateEntry(e, saved.Member)
	}
	for _, id := range imported.Drained {
		if e := t.entries[id]; e == nil || !e.listed() {
			v.setDrainedOnly(source, id, true)
		}
	}
}

// importable reports whether a saved entry has a known phase and, if it is removed, whether the removal
// has not expired.
func (v *View) importable(saved *EntryState) bool {
	switch saved.Phase {
	case Up, Draining:
		return true
	case Removed:
		return saved.RemovedAgo >= 0 && saved.RemovedAgo < v.settings.RemovalRetention
	}
	return false
}
