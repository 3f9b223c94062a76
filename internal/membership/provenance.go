package membership

import "slices"

// SourceRecord is what one source states of an endpoint.
type SourceRecord struct {
	Source       string  `json:"source"`
	ID           string  `json:"id"` // the source's own id for it
	HostPort     string  `json:"host_port,omitempty"`
	Phase        string  `json:"phase"`
	Rate         float64 `json:"size,omitempty"`
	Revision     int64   `json:"revision"`         // of the update that last stated something new of it
	LastHeardAgo Time    `json:"heard_ago_us"`     // since the source was last heard
	Stale        bool    `json:"stale,omitempty"`  // the source was not heard of late
	Held         bool    `json:"held,omitempty"`   // its removal has to be confirmed
	Unreadable   bool    `json:"spoilt,omitempty"` // its last value cannot be decoded
}

// Provenance is one endpoint, and what each source states of it.
type Provenance struct {
	Member
	Listed    bool           `json:"listed"`       // it is in the view, as published
	DecidedBy string         `json:"by,omitempty"` // the source that decided the phase
	Pending   bool           `json:"waits,omitempty"`
	Records   []SourceRecord `json:"said"`
}

// Explain shows every endpoint that a source names, by the view's id.
func (v *View) Explain(now Time) []Provenance {
	var all []Provenance
	for _, id := range sortedKeys(v.byViewID) {
		m, decidedBy, _ := v.mergedMember(id)
		p := Provenance{Member: m}
		if decidedBy >= 0 {
			p.DecidedBy = v.settings.Sources[decidedBy].Name
		}
		if published := v.published[id]; published != nil {
			p.Listed, p.Pending = published.listed, published.pending
		}
		entries := slices.Clone(v.byViewID[id])
		slices.SortFunc(entries, compareEntries)
		for _, e := range entries {
			p.Records = append(p.Records, v.sourceRecord(now, e))
		}
		all = append(all, p)
	}
	return all
}

func (v *View) sourceRecord(now Time, e *entry) SourceRecord {
	t := &v.sources[e.source]
	return SourceRecord{
		Source:       v.settings.Sources[e.source].Name,
		ID:           e.ID,
		HostPort:     e.HostPort,
		Phase:        e.Phase,
		Rate:         e.Rate,
		Revision:     e.revision,
		LastHeardAgo: max(now-t.lastHeard, 0),
		Stale:        !t.fresh,
		Held:         e.held,
		Unreadable:   e.unreadable,
	}
}
