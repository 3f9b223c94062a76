package membership

import (
	"cmp"
	"slices"
)

// Said is what one source says of an endpoint.
type Said struct {
	Source   string  `json:"source"`
	ID       string  `json:"id"` // its own name for it
	HostPort string  `json:"host_port,omitempty"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size,omitempty"`
	Revision int64   `json:"revision"`         // of the word that last said something new of it
	Heard    Time    `json:"heard_ago_us"`     // when the source was last heard
	Stale    bool    `json:"stale,omitempty"`  // it was not heard of late
	Held     bool    `json:"held,omitempty"`   // it takes the endpoint away, and that is not believed yet
	Spoilt   bool    `json:"spoilt,omitempty"` // its last word on it cannot be read
}

// Line is one endpoint with its provenance.
type Line struct {
	Member
	Listed bool   `json:"listed"`       // it is in the view, as it was told on
	By     string `json:"by,omitempty"` // whose word decided the phase
	Waits  bool   `json:"waits,omitempty"`
	Said   []Said `json:"said"`
}

// Explain shows every endpoint that a source names, and who says what of it.
func (v *View) Explain(now Time) []Line {
	var lines []Line
	for _, id := range sorted(v.groups) {
		m, by, _ := v.merged(id)
		l := Line{Member: m}
		if by >= 0 {
			l.By = v.set.Sources[by].Name
		}
		if x := v.view[id]; x != nil {
			l.Listed, l.Waits = x.up, x.waiting
		}
		group := slices.Clone(v.groups[id])
		slices.SortFunc(group, func(a, b *entry) int { return cmp.Or(a.source-b.source, cmp.Compare(a.ID, b.ID)) })
		for _, e := range group {
			s := &v.sides[e.source]
			l.Said = append(l.Said, Said{Source: v.set.Sources[e.source].Name, ID: e.ID, HostPort: e.HostPort, Phase: e.Phase, Size: e.Size,
				Revision: e.rev, Heard: max(now-s.heard, 0), Stale: !s.fresh, Held: e.held, Spoilt: e.spoilt})
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
	Words    int64        `json:"words"`
	Entries  []EntryState `json:"entries"`
}

// EntryState is what a source said of one id.
type EntryState struct {
	Member
	Revision int64 `json:"revision"`
	Word     int64 `json:"word"` // the number of the word that last said something new of it
	Ago      Time  `json:"removed_ago_us,omitempty"`
	Held     bool  `json:"held,omitempty"`
}

// Export shows what is known by now.
func (v *View) Export(now Time) *State {
	st := &State{}
	for i := range v.sides {
		s := &v.sides[i]
		if !s.known {
			continue
		}
		x := SourceState{Name: v.set.Sources[i].Name, Epoch: s.epoch, Revision: s.rev, Words: s.seq}
		for _, id := range sorted(s.ids) {
			e := s.ids[id]
			es := EntryState{Member: e.Member, Revision: e.rev, Word: e.seq, Held: e.held}
			if !e.live() {
				es.Ago = max(now-e.at, 0)
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
		i := slices.IndexFunc(v.set.Sources, func(s Source) bool { return s.Name == x.Name })
		if i < 0 || v.sides[i].known {
			continue
		}
		s := &v.sides[i]
		s.epoch, s.rev, s.seq, s.known = x.Epoch, x.Revision, x.Words, true
		s.heard = v.now - v.set.Sources[i].Stale - 1
		for _, es := range x.Entries {
			if es.ID == "" || s.ids[es.ID] != nil || es.Phase != Up && es.Phase != Draining && es.Phase != Removed {
				continue
			}
			if es.Phase == Removed && (es.Ago < 0 || es.Ago >= v.set.Forget) {
				continue
			}
			e := &entry{source: i, rev: es.Revision, seq: min(es.Word, x.Words)}
			s.ids[es.ID] = e
			if es.Phase == Removed {
				e.at = v.now - es.Ago
				v.gone = append(v.gone, removal{e, e.at})
			} else {
				s.listed++
				if e.held = es.Held; e.held {
					s.ask = true
				}
			}
			v.put(e, es.Member)
		}
	}
	slices.SortStableFunc(v.gone, func(a, b removal) int { return cmp.Compare(a.at, b.at) })
}
