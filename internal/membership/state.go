package membership

import (
	"cmp"
	"slices"
)

// State is what outlasts a process: what each source last stated. Its moments are ages,
// so that processes need not share a clock.
type State struct {
	Sources []SourceState `json:"sources"`
}

// SourceState is the state of one source.
type SourceState struct {
	Name     string       `json:"name"`
	Epoch    string       `json:"epoch"`
	Revision int64        `json:"revision"`
	Updates  int64        `json:"words"` // accepted ones
	Entries  []EntryState `json:"entries"`
}

// EntryState is what a source stated of one id.
type EntryState struct {
	Member
	Revision     int64 `json:"revision"`
	UpdateNumber int64 `json:"word"` // of the update that last stated something new of it
	RemovedAgo   Time  `json:"removed_ago_us,omitempty"`
	Held         bool  `json:"held,omitempty"` // its removal has to be confirmed
}

// Export is what is known by now.
func (v *View) Export(now Time) *State {
	state := &State{}
	for i := range v.sources {
		t := &v.sources[i]
		if !t.known {
			continue
		}
		source := SourceState{
			Name: v.settings.Sources[i].Name, Epoch: t.epoch, Revision: t.revision, Updates: t.updates,
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

// Import takes over into an empty view what an earlier process knew, of sources that are
// still configured under their names. They are stale until they are heard. What was
// draining drains; what was removed less than RemovalRetention ago stays removed. Entries
// that make no sense are left out.
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
		exported := &imported.Entries[i]
		if exported.ID == "" || t.entries[exported.ID] != nil || !v.importable(exported) {
			continue
		}
		number := min(exported.UpdateNumber, imported.Updates)
		e := &entry{source: source, revision: exported.Revision, updateNumber: number}
		t.entries[exported.ID] = e
		if exported.Phase == Removed {
			e.removedAt = v.now - exported.RemovedAgo
			v.removals = append(v.removals, removal{e, e.removedAt})
		} else {
			t.listedCount++
			e.held = exported.Held
			t.resyncRequested = t.resyncRequested || e.held
		}
		v.updateEntry(e, exported.Member)
	}
}

// importable reports whether an entry has a phase that is known, and is not a removal
// that binds nobody any more.
func (v *View) importable(exported *EntryState) bool {
	switch exported.Phase {
	case Up, Draining:
		return true
	case Removed:
		return exported.RemovedAgo >= 0 && exported.RemovedAgo < v.settings.RemovalRetention
	}
	return false
}
