package membership

// mergedMember is what the sources together state of one of the view's endpoints, and
// the source that decided its phase (-1 for none). It is removed, and ok is false, where
// no source lists it or one of them has removed it.
func (v *View) mergedMember(id string) (m Member, decidedBy int, ok bool) {
	var first, fresh, rated *entry // of those that list it
	worst := 0
	decidedBy = -1
	for i := range v.sources {
		e, rank := v.sourceEntry(id, i)
		if e == nil {
			continue
		}
		if rank > worst {
			worst, decidedBy = rank, i
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
	if first == nil || worst == phaseRank(Removed) {
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
	if worst == phaseRank(Draining) {
		m.Phase = Draining
	}
	return m, decidedBy, true
}

// sourceEntry is what one source states of one of the view's endpoints, and the rank of the
// phase; nil for nothing. Where it names the endpoint by two ids, the one that is the
// view's id describes it, and the worse phase counts.
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

// reevaluate compares one of the view's endpoints with what was published of it. What
// must not wait is published in the next step, the rest in its turn.
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
