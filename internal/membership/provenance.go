package membership

import "slices"

// SourceRecord is the state of an endpoint in one source. The JSON keys belong to the output's
// format and may differ from the field names.
type SourceRecord struct {
	Source       string  `json:"source"`
	ID           string  `json:"id"` // the source's own id of the endpoint
	HostPort     string  `json:"host_port,omitempty"`
	Phase        string  `json:"phase"`
	Rate         float64 `json:"size,omitempty"`   // calls per second that its destination accepts; 0 if not stated
	Revision     int64   `json:"revision"`         // revision of the update that last changed the record
	LastHeardAgo Time    `json:"heard_ago_us"`     // time since the source was last heard
	Stale        bool    `json:"stale,omitempty"`  // the source has been silent for longer than its StaleAfter
	Held         bool    `json:"held,omitempty"`   // removed by the source; listed until a resync confirms the removal
	Unreadable   bool    `json:"spoilt,omitempty"` // the last value that the source sent for it cannot be decoded
}

// Provenance is one endpoint of the view, merged from all sources, with its state in each source.
type Provenance struct {
	Member
	Listed    bool           `json:"listed"`          // it is in the published view
	DecidedBy string         `json:"by,omitempty"`    // the source that decided the phase
	Pending   bool           `json:"waits,omitempty"` // a change of the endpoint has not been published yet
	Records   []SourceRecord `json:"said"`            // of each source that knows it, by the sources' precedence
}

// Explain returns every endpoint that any source lists or has removed, ordered by the view's ids.
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
