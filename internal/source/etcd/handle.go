package etcd

// handle handles an event of the open call. It ignores events that do not fit the state.
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
		if m.state == watching && !m.rereadIfReplaced(e.Cluster, e.Revision, false) {
			m.handleChange(e)
		}
	case *Progress:
		if m.state == watching && !m.rereadIfReplaced(e.Cluster, e.Revision, false) {
			m.handleProgress(e)
		}
	}
}

// handlePage adds a page to the complete list. After the last page it emits the list as an
// update and starts the next call.
func (m *Machine) handlePage(e *PageRead) {
	if m.readRevision == 0 {
		m.handleFirstPage(e)
	} else if e.Cluster != m.cluster {
		m.retryNextMember("a page of the list came from another cluster than the first page")
		return
	}
	m.applyKVs(m.partialTable, e.KVs)
	if e.More && len(e.KVs) > 0 {
		m.nextKey = e.KVs[len(e.KVs)-1].Key + "\x00"
		m.readPage()
		return
	}
	m.table, m.partialTable = m.partialTable, nil
	m.revision, m.hasRevision = m.readRevision, true
	update := m.newUpdate()
	update.Complete, update.Resync = true, m.readForResync
	m.table.addAllMembers(update)
	m.emit(&EmitUpdate{Update: update})
	m.resyncRequested = m.resyncRequested && !m.readForResync
	m.readForResync, m.lastReadAt = false, m.now
	m.startNextCall()
}

// handleFirstPage stores the cluster and the revision of the first page, and detects a
// cluster that was replaced or restored from a backup.
func (m *Machine) handleFirstPage(e *PageRead) {
	m.readRevision = e.Revision
	switch {
	case !m.hasRevision && m.cluster == 0 && m.generation == 0:
		m.cluster = e.Cluster
	case e.Cluster != m.cluster:
		m.cluster, m.generation = e.Cluster, 0
	case e.Revision < m.revision: // impossible with a linearizable read, unless after a restore
		m.generation++
		m.logf("the list is at revision %d after revision %d: the cluster was restored from a backup; "+
			"its revisions start a new epoch", e.Revision, m.revision)
	}
}

// applyKVs applies keys to a table, logs those that cannot be decoded, and returns the ids
// of the affected endpoints.
func (m *Machine) applyKVs(table *keyTable, kvs []KV) idSet {
	changed := idSet{}
	for _, kv := range kvs {
		if err := table.apply(kv, changed); err != nil {
			m.logf("cannot decode value: %v", err)
		}
	}
	return changed
}

func (m *Machine) handleWatchOpened(e *WatchOpened) {
	behind := e.Revision < m.revision
	if m.rereadIfReplaced(e.Cluster, e.Revision, behind) {
		return
	}
	if !behind {
		m.rollbackSuspected = false
	}
	m.state, m.watchingSince = watching, m.now
	m.watchAnswered()
	m.emit(&EmitHeartbeat{})
}

// rereadIfReplaced starts a new read of the complete list, and returns true, if a watch
// belongs to another cluster, or if it is behind: its revision is lower than ours, which
// happens if the cluster was restored from a backup or the member lags. The linearizable
// read tells these two apart. After a read, a watch that is still behind belongs to a lagging
// member; it is kept, since it catches up.
func (m *Machine) rereadIfReplaced(cluster uint64, revision int64, behind bool) bool {
	other := cluster != 0 && cluster != m.cluster
	if !other && (!behind || m.rollbackSuspected) {
		return false
	}
	m.rollbackSuspected = behind
	m.logf("watch is on cluster %016x at revision %d, and the list is from cluster %016x at revision %d: "+
		"reading the list again", cluster, revision, m.cluster, m.revision)
	m.cancelCall()
	m.hasRevision = false
	m.startNextCall()
	return true
}

// watchAnswered restarts the silence timeout of the watch. It resets the count of failures
// only if the watch has been open for stableWatchDuration (handleChange resets it as well).
// A watch that ends right after it was opened, again and again, must lead to a backoff.
func (m *Machine) watchAnswered() {
	m.deadline, m.progressRequested = m.now+m.settings.SilenceTimeout, false
	if m.now >= m.watchingSince+stableWatchDuration {
		m.failures = 0
	}
}

// handleChange handles a report of the watch, or a fragment of one. All fragments of a
// report together are emitted as one update.
func (m *Machine) handleChange(e *Changed) {
	m.watchAnswered()
	m.fragments = append(m.fragments, e.KVs...)
	m.fragmentsRevision = max(m.fragmentsRevision, e.LastRevision)
	if e.Fragment {
		return
	}
	kvs, revision := m.fragments, m.fragmentsRevision
	m.fragments, m.fragmentsRevision = nil, 0
	if revision <= m.revision { // already applied
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
		m.revision = max(m.revision, e.Revision) // a lower one is out of date
	}
	m.emit(&EmitHeartbeat{})
}

// handleFailure handles the failure of the open call. If the requested revision was compacted, it
// reads the complete list again. If the member rejected the token, it requests a new one from the
// same member, unless a call has failed before. In all other cases it calls the next member.
func (m *Machine) handleFailure(e *CallFailed) {
	switch {
	case e.Reason == ReasonCompacted && (m.state == openingWatch || m.state == watching):
		m.logf("cannot watch from revision %d, which has been compacted (oldest revision kept: %d): "+
			"reading the list again", m.revision+1, e.Revision)
		m.hasRevision = false
		m.startNextCall()
		return
	case e.Reason == ReasonCompacted: // the list took too long to read: start over
		m.startNextCall()
		return
	case e.Reason == ReasonUnauthenticated && m.settings.AuthRequired:
		m.hasToken = false
		m.logf("member %d rejected the token: requesting a new one", m.member)
		if m.failures == 0 {
			m.failures++
			m.startNextCall()
			return
		}
	}
	m.retryNextMember(e.Reason.String() + ": " + e.Detail)
}
