package etcd

// handle takes what happened to the call that is out.
func (m *Machine) handle(event Event) {
	switch e := event.(type) {
	case *CallFailed:
		m.handleFailure(e)
	case *Authenticated:
		if m.state == authenticating {
			m.hasToken = true
			m.startNextCall()
		}
	case *PageRead:
		if m.state == reading {
			m.handlePage(e)
		}
	case *WatchOpened:
		if m.state == openingWatch {
			m.handleWatchOpened(e)
		}
	case *Changed:
		if m.state == watching && !m.readAgainIfReplaced(e.Cluster, e.Revision, false) {
			m.handleChange(e)
		}
	case *Progress:
		if m.state == watching && !m.readAgainIfReplaced(e.Cluster, e.Revision, false) {
			m.handleProgress(e)
		}
	}
}

// handlePage takes a page of the complete list.
func (m *Machine) handlePage(e *PageRead) {
	if m.pagesRevision == 0 {
		m.beginPages(e)
	} else if e.Cluster != m.cluster {
		m.retryNextMember("another cluster answers")
		return
	}
	m.applyKVs(m.pages, e.KVs)
	if e.More && len(e.KVs) > 0 {
		m.nextKey = e.KVs[len(e.KVs)-1].Key + "\x00"
		m.readPage()
		return
	}
	m.table, m.pages = m.pages, nil
	m.revision, m.hasRevision = m.pagesRevision, true
	update := m.newUpdate()
	update.Complete, update.Resync = true, m.pagesForResync
	m.table.addAllMembers(update)
	m.emit(&EmitUpdate{Update: update})
	m.resyncRequested = m.resyncRequested && !m.pagesForResync
	m.pagesForResync, m.lastReadAt = false, m.now
	m.startNextCall()
}

// beginPages books which cluster answers, and at which revision, with the first page.
func (m *Machine) beginPages(e *PageRead) {
	m.pagesRevision = e.Revision
	switch {
	case !m.hasRevision && m.cluster == 0 && m.generation == 0:
		m.cluster = e.Cluster
	case e.Cluster != m.cluster:
		m.cluster, m.generation = e.Cluster, 0
	case e.Revision < m.revision: // a linearizable read does not go back
		m.generation++
		m.logf("revision %d after %d: put back from a copy, nothing before it counts", e.Revision, m.revision)
	}
}

// applyKVs books keys in a table, and returns the ids of the endpoints that they change.
func (m *Machine) applyKVs(table *keyTable, kvs []KV) idSet {
	changed := idSet{}
	for _, kv := range kvs {
		if err := table.apply(kv, changed); err != nil {
			m.logf("cannot be read: %v", err)
		}
	}
	return changed
}

func (m *Machine) handleWatchOpened(e *WatchOpened) {
	behind := e.Revision < m.revision
	if m.readAgainIfReplaced(e.Cluster, e.Revision, behind) {
		return
	}
	if !behind {
		m.rollbackSuspected = false
	}
	m.state, m.watchingSince = watching, m.now
	m.watchAnswered()
	m.emit(&EmitHeartbeat{})
}

// readAgainIfReplaced reports whether a watch is of another cluster than what is known or,
// since it began behind that, maybe of one that was restored from a backup. Then the
// complete list is read again. A member that lags looks like the second, and is told from
// it by that read: its watch catches up.
func (m *Machine) readAgainIfReplaced(cluster uint64, revision int64, behind bool) bool {
	other := cluster != 0 && cluster != m.cluster
	if !other && (!behind || m.rollbackSuspected) {
		return false
	}
	m.rollbackSuspected = behind
	m.logf("cluster %016x at revision %d answers, %016x was known up to %d: read anew",
		cluster, revision, m.cluster, m.revision)
	m.cancelCall()
	m.hasRevision = false
	m.startNextCall()
	return true
}

// watchAnswered books that the watch is alive. One that has lasted for a while, or has
// reported a change, is no failure; one that ends as it begins is, however often it
// begins.
func (m *Machine) watchAnswered() {
	m.deadline, m.progressRequested = m.now+m.settings.SilenceTimeout, false
	if m.now >= m.watchingSince+stableAfter {
		m.failures = 0
	}
}

// handleChange takes a report of the watch. What comes in fragments is one update.
func (m *Machine) handleChange(e *Changed) {
	m.watchAnswered()
	m.fragments = append(m.fragments, e.KVs...)
	m.fragmentsRevision = max(m.fragmentsRevision, e.LastRevision)
	if e.Fragment {
		return
	}
	kvs, revision := m.fragments, m.fragmentsRevision
	m.fragments, m.fragmentsRevision = nil, 0
	if revision <= m.revision { // reported before
		return
	}
	changed := m.applyKVs(m.table, kvs)
	m.revision, m.failures = revision, 0
	update := m.newUpdate()
	m.table.addMembers(changed, update)
	m.emit(&EmitUpdate{Update: update})
}

func (m *Machine) handleProgress(e *Progress) {
	m.watchAnswered()
	if len(m.fragments) == 0 {
		m.revision = max(m.revision, e.Revision) // one that lies behind tells nothing
	}
	m.emit(&EmitHeartbeat{})
}

// handleFailure: the call is over.
func (m *Machine) handleFailure(e *CallFailed) {
	switch {
	case e.Reason == ReasonCompacted && (m.state == openingWatch || m.state == watching):
		m.logf("revision %d is no longer kept (%d is): read anew", m.revision+1, e.Revision)
		m.hasRevision = false
		m.startNextCall()
		return
	case e.Reason == ReasonCompacted: // during a long read
		m.startNextCall()
		return
	case e.Reason == ReasonUnauthenticated && m.settings.AuthRequired:
		m.hasToken = false
		m.logf("the token is not known any more")
		if m.failures == 0 {
			m.failures++
			m.startNextCall()
			return
		}
	}
	m.retryNextMember(e.Reason.String() + ": " + e.Detail)
}
