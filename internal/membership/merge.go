package membership

// mergedMember merges the states of one of the view's endpoints in all sources. The rate comes from
// the first fresh source that states one, the phase from the source whose phase ranks highest, or that
// drains the endpoint without listing it, and the rest from the first fresh source that lists the
// endpoint. If no such source is fresh, a stale one is used. It also returns the source that decided
// the phase, -1 for none. If no source lists the endpoint, or one has removed it, the member's phase is
// Removed and ok is false.
func (v *View) mergedMember(id string) (m Member, decidedBy int, ok bool) {
	// Of the entries that list the endpoint: the first one, the first one of a fresh source, and the
	// one that gives the rate.
	var first, fresh, rated *entry
	highestRank := 0
	decidedBy = -1
	for i := range v.sources {
		e, rank := v.sourceEntry(id, i)
		if e == nil {
			continue
		}
		if rank > highestRank {
			highestRank, decidedBy = rank, i
		}
		if !e.listed() {
			continue
		}
		if first == nil {
			first = e
		}
		if fresh == nil && v.sources[i].fresh {
			fresh = e
		}
		if e.Rate > 0 && (rated == nil || !v.sources[rated.source].fresh && v.sources[i].fresh) {
			rated = e
		}
	}
	if first == nil || highestRank == phaseRank(Removed) {
		return Member{ID: id, Phase: Removed}, decidedBy, false
	}
	if fresh == nil {
		fresh = first
	}
	m = fresh.Member
	m.ID, m.Rate, m.Phase = id, 0, Up
	if rated != nil {
		m.Rate = rated.Rate
	}
	if source := v.drainedBy(id); source >= 0 && highestRank < phaseRank(Draining) {
		highestRank, decidedBy = phaseRank(Draining), source
	}
	if highestRank == phaseRank(Draining) {
		m.Phase = Draining
	}
	return m, decidedBy, true
}

// sourceEntry returns the entry of a source for one of the view's endpoints, nil if there is none,
// and the rank of its phase. The source can have two entries for the endpoint: its newest one, and one
// whose id is the endpoint's id in the view. Then the latter is returned, unless only the newest one
// is listed, and the rank is the higher one of the two phases.
func (v *View) sourceEntry(viewID string, source int) (e *entry, rank int) {
	e = newestEntry(v.byViewID[viewID], source)
	if e == nil {
		return nil, 0
	}
	rank = phaseRank(e.Phase)
	own := v.sources[source].entries[viewID]
	if own == nil || own == e || own.viewID != viewID {
		return e, rank
	}
	rank = max(rank, phaseRank(own.Phase))
	if own.listed() || !e.listed() {
		e = own
	}
	return e, rank
}

// reevaluate merges one of the view's endpoints again. If the result differs from the published state,
// it schedules the publication: drains, removals and lowered rates are published in the next step,
// and other changes join pendingUps, of which each step publishes a limited number.
func (v *View) reevaluate(id string) {
	m, decidedBy, ok := v.mergedMember(id)
	p := v.published[id]
	if p == nil {
		if !ok {
			return
		}
		p = &publishedMember{Member: Member{ID: id, Phase: Removed}}
		v.published[id] = p
	}
	if p.Member == m || !ok && !p.listed {
		return
	}
	p.decidedBy = decidedBy
	rateLowered := p.listed && p.Phase == Up && m.Rate < p.Rate
	switch {
	case m.Phase != Up || rateLowered:
		v.urgent = append(v.urgent, id)
	case !p.pending:
		p.pending = true
		v.pendingUps = append(v.pendingUps, id)
	}
}
