package membership

// View is the merged view of the endpoints. It is not safe for concurrent use.
type View struct {
	settings  Settings
	sources   []sourceTracker             // in the order of Settings.Sources
	byAddress map[addressKey][]*entry     // entries of all sources
	byViewID  map[string][]*entry         // entries of all sources, grouped by the endpoint in the view
	published map[string]*publishedMember // by the view's id

	urgent     []string   // ids with drains, removals or lowered rates: published in the next step
	pendingUps []string   // ids that come up or have other changes that can wait, in order
	delayedUps delayedUps // ids that went down too often to come up now
	removals   []removal  // ordered by time
	warnings   []Warning
	now        Time

	// State of the walk that assigns the view's ids.
	walkNumber uint64
	connected  []*entry
	changedIDs []string
}

// New returns an empty view.
func New(s Settings) (*View, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	v := &View{
		settings:  s,
		sources:   make([]sourceTracker, len(s.Sources)),
		byAddress: map[addressKey][]*entry{},
		byViewID:  map[string][]*entry{},
		published: map[string]*publishedMember{},
	}
	for i := range v.sources {
		v.sources[i].entries, v.sources[i].drainedOnly = map[string]*entry{}, map[string]bool{}
	}
	return v, nil
}

// Heartbeat records that a source is alive and that its list has not changed.
func (v *View) Heartbeat(now Time, source int) {
	v.now = max(v.now, now)
	t := &v.sources[source]
	t.lastHeard = v.now
	if !t.fresh && t.known {
		t.fresh = true
		v.reevaluateSource(source)
	}
}

// reevaluateSource reevaluates every endpoint for which a source has an entry.
func (v *View) reevaluateSource(source int) {
	entries := v.sources[source].entries
	for _, id := range sortedKeys(entries) {
		v.reevaluate(entries[id].viewID)
	}
}

// Members returns the members of the published view, ordered by id.
func (v *View) Members() []Member {
	var members []Member
	for _, id := range sortedKeys(v.published) {
		if p := v.published[id]; p.listed {
			members = append(members, p.Member)
		}
	}
	return members
}

// ResyncRequested reports whether a source's complete list must be read again to confirm removals
// that are held.
func (v *View) ResyncRequested(source int) bool { return v.sources[source].resyncRequested }

// Position returns the epoch and revision of a source's last accepted update; known is false before
// the first complete list.
func (v *View) Position(source int) (epoch string, revision int64, known bool) {
	t := &v.sources[source]
	return t.epoch, t.revision, t.known
}

// ContinueAs makes an epoch the current one of a source, whose list is known. Changes of that epoch then apply to
// the known list. The caller asserts that they continue it.
func (v *View) ContinueAs(source int, epoch string) {
	t := &v.sources[source]
	t.rememberFormerEpoch()
	t.epoch = epoch
}

func (v *View) warn(w Warning) { v.warnings = append(v.warnings, w) }

// TakeWarnings returns the warnings since it was last called.
func (v *View) TakeWarnings() []Warning {
	warnings := v.warnings
	v.warnings = nil
	return warnings
}
