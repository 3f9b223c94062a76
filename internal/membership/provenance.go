package membership

import (
	"cmp"
	"slices"
)

// SourceRecord is what one source says of an endpoint.
type SourceRecord struct {
	Source       string  `json:"source"`
	ID           string  `json:"id"` // its own name for it
	HostPort     string  `json:"host_port,omitempty"`
	Phase        string  `json:"phase"`
	Size         float64 `json:"size,omitempty"`
	Revision     int64   `json:"revision"`         // of the word that last said something new of it
	LastHeardAgo Time    `json:"heard_ago_us"`     // when the source was last heard
	Stale        bool    `json:"stale,omitempty"`  // it was not heard of late
	Held         bool    `json:"held,omitempty"`   // it takes the endpoint away, and that is not believed yet
	Unreadable   bool    `json:"spoilt,omitempty"` // its last word on it cannot be read
}

// Provenance is one endpoint with its provenance.
type Provenance struct {
	Member
	Listed    bool           `json:"listed"`       // it is in the view, as it was told on
	DecidedBy string         `json:"by,omitempty"` // whose word decided the phase
	Pending   bool           `json:"waits,omitempty"`
	Records   []SourceRecord `json:"said"`
}

// Explain shows every endpoint that a source names, and who says what of it.
func (v *View) Explain(now Time) []Provenance {
	var lines []Provenance
	for _, id := range sortedKeys(v.byViewID) {
		m, by, _ := v.mergedMember(id)
		l := Provenance{Member: m}
		if by >= 0 {
			l.DecidedBy = v.settings.Sources[by].Name
		}
		if x := v.published[id]; x != nil {
			l.Listed, l.Pending = x.listed, x.pending
		}
		group := slices.Clone(v.byViewID[id])
		slices.SortFunc(group, func(a, b *entry) int { return cmp.Or(a.source-b.source, cmp.Compare(a.ID, b.ID)) })
		for _, e := range group {
			s := &v.sources[e.source]
			l.Records = append(l.Records, SourceRecord{Source: v.settings.Sources[e.source].Name, ID: e.ID, HostPort: e.HostPort, Phase: e.Phase, Size: e.Rate,
				Revision: e.revision, LastHeardAgo: max(now-s.lastHeard, 0), Stale: !s.fresh, Held: e.held, Unreadable: e.unreadable})
		}
		lines = append(lines, l)
	}
	return lines
}

// State is what outlasts a process: what each source last said. Its moments are
// ages, so that no clock is shared.
type State struct {
	Sources []SourceState `json:"sources"`
}

// SourceState is one source's.
type SourceState struct {
	Name     string       `json:"name"`
	Epoch    string       `json:"epoch"`
	Revision int64        `json:"revision"`
	Updates  int64        `json:"words"`
	Entries  []EntryState `json:"entries"`
}

// EntryState is what a source said of one id.
type EntryState struct {
	Member
	Revision     int64 `json:"revision"`
	UpdateNumber int64 `json:"word"` // the number of the word that last said something new of it
	RemovedAgo   Time  `json:"removed_ago_us,omitempty"`
	Held         bool  `json:"held,omitempty"`
}

// Export shows what is known by now.
func (v *View) Export(now Time) *State {
	st := &State{}
	for i := range v.sources {
		s := &v.sources[i]
		if !s.known {
			continue
		}
		x := SourceState{Name: v.settings.Sources[i].Name, Epoch: s.epoch, Revision: s.revision, Updates: s.updates}
		for _, id := range sortedKeys(s.entries) {
			e := s.entries[id]
			es := EntryState{Member: e.Member, Revision: e.revision, UpdateNumber: e.updateNumber, Held: e.held}
			if !e.listed() {
				es.RemovedAgo = max(now-e.removedAt, 0)
			}
			x.Entries = append(x.Entries, es)
		}
		st.Sources = append(st.Sources, x)
	}
	return st
}

// Import takes over what an earlier process knew, in place of nothing: of sources
// that there still are, under their names, and stale until they are heard. What
// was draining is, and what was taken away for less than the time that a removal
// binds others stays away. An entry that makes no sense is left out.
func (v *View) Import(now Time, st *State) {
	v.now = max(v.now, now)
	for _, x := range st.Sources {
		i := slices.IndexFunc(v.settings.Sources, func(s Source) bool { return s.Name == x.Name })
		if i < 0 || v.sources[i].known {
			continue
		}
		s := &v.sources[i]
		s.epoch, s.revision, s.updates, s.known = x.Epoch, x.Revision, x.Updates, true
		s.lastHeard = v.now - v.settings.Sources[i].StaleAfter - 1
		for _, es := range x.Entries {
			if es.ID == "" || s.entries[es.ID] != nil || es.Phase != Up && es.Phase != Draining && es.Phase != Removed {
				continue
			}
			if es.Phase == Removed && (es.RemovedAgo < 0 || es.RemovedAgo >= v.settings.RemovalRetention) {
				continue
			}
			e := &entry{source: i, revision: es.Revision, updateNumber: min(es.UpdateNumber, x.Updates)}
			s.entries[es.ID] = e
			if es.Phase == Removed {
				e.removedAt = v.now - es.RemovedAgo
				v.removals = append(v.removals, removal{e, e.removedAt})
			} else {
				s.listedCount++
				if e.held = es.Held; e.held {
					s.resyncRequested = true
				}
			}
			v.updateEntry(e, es.Member)
		}
	}
	slices.SortStableFunc(v.removals, func(a, b removal) int { return cmp.Compare(a.at, b.at) })
}
