// Package membership holds one view of the endpoints, made of what several sources
// say of them: a registry, etcd, records of a name server. Each hands in its words,
// with a revision of its own; what is told on is what changed in the view.
//
// It owns the one rule by which sources that disagree are read:
//
//   - The order of the sources is their precedence. An endpoint's address, place and
//     flavour are those of the first source that lists it and was heard of late; its
//     rate is that of the first such source that tells one.
//   - Drains and removals win at once, whoever says so first, until the same source
//     says otherwise by a later word. Nobody else can take them back.
//   - A source that is silent keeps its say: what it listed stays listed, as last
//     known. Only its precedence over those that are heard is gone.
//   - A word that takes away more than a stated part of what its source had listed
//     is not believed as far as that goes until a list that was read anew says the
//     same. Drains are always believed, and so is the end of what had drained.
//   - An endpoint with the same id is the same endpoint, whoever names it; so is one
//     at the same address for the same destination, under the name of the source that
//     comes first. In one source an address under a new id is a new endpoint.
//
// It must never do I/O, look at a clock, or know who calls endpoints. What is told
// on depends on what each source said, in that source's order, and on nothing else:
// not on which source was heard first.
package membership

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
)

// Time is a moment or a span in microseconds.
type Time = int64

// Phases of a member, in the registry's words.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// Member is an endpoint as a source names it, or as the view has it.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Dest     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Rate     float64 `json:"size"` // the rate that its destination takes; 0 where that is not told
}

// Check tells what is wrong with a member.
func (m *Member) Check() error {
	switch {
	case m.ID == "":
		return errors.New("member without id")
	case m.Phase != Up && m.Phase != Draining && m.Phase != Removed:
		return fmt.Errorf("member %s: unknown phase %q", m.ID, m.Phase)
	case m.Phase == Removed:
		return nil
	}
	if _, _, err := net.SplitHostPort(m.HostPort); err != nil {
		return fmt.Errorf("member %s: host_port: %w", m.ID, err)
	}
	return nil
}

// phaseRank orders phases: the highest wins.
func phaseRank(phase string) int {
	switch phase {
	case Up:
		return 1
	case Draining:
		return 2
	}
	return 3
}

// Source is one that says who is there.
type Source struct {
	Name       string
	StaleAfter Time // not heard of for so long, it no longer comes before those that are
}

// Settings are the rule's figures.
type Settings struct {
	Sources []Source // those that come first go before the others
	// A source may take away LossShare of what it lists within LossSpan, and
	// LossLeast endpoints in any case; what goes beyond that is held.
	MaxRemovalShare float64
	MinRemovalLimit int
	RemovalWindow   Time
	// An endpoint that went down Flaps times within FlapSpan comes up again HoldDown
	// after it last did.
	MaxFlaps         int
	FlapWindow       Time
	HoldDown         Time
	MaxUpsPerStep    int  // endpoints that come up in one step
	RemovalRetention Time // how long a removal binds the other sources
}

// DefaultSettings are figures for some thousand endpoints.
func DefaultSettings(sources ...Source) Settings {
	return Settings{Sources: sources, MaxRemovalShare: 0.5, MinRemovalLimit: 2, RemovalWindow: 30e6, MaxFlaps: 4, FlapWindow: 10e6, HoldDown: 5e6, MaxUpsPerStep: 4096, RemovalRetention: 600e6}
}

// Check tells what is wrong with settings.
func (s *Settings) Check() error {
	if len(s.Sources) == 0 {
		return errors.New("membership: no source")
	}
	for i := range s.Sources {
		x := &s.Sources[i]
		switch {
		case x.Name == "":
			return fmt.Errorf("membership: source %d has no name", i+1)
		case slices.ContainsFunc(s.Sources[:i], func(y Source) bool { return y.Name == x.Name }):
			return fmt.Errorf("membership: two sources are called %q", x.Name)
		case x.StaleAfter <= 0:
			return fmt.Errorf("membership: source %s: stale after %d", x.Name, x.StaleAfter)
		}
	}
	switch {
	case !(s.MaxRemovalShare >= 0 && s.MaxRemovalShare <= 1):
		return fmt.Errorf("membership: a share of %v that may be lost", s.MaxRemovalShare)
	case s.MinRemovalLimit < 0 || s.RemovalWindow <= 0 || s.MaxFlaps < 1 || s.FlapWindow <= 0 || s.HoldDown < 0 || s.MaxUpsPerStep < 1 || s.RemovalRetention <= 0:
		return errors.New("membership: a figure is out of range")
	}
	return nil
}

// Update is what a source says.
type Update struct {
	Source        int      `json:"-"`     // whoever hands it in knows
	Epoch         string   `json:"epoch"` // what its revisions belong to: an address, a cluster
	Revision      int64    `json:"revision"`
	Complete      bool     `json:"whole,omitempty"`   // all that it lists; else what changed
	Resync        bool     `json:"anew,omitempty"`    // Whole: it was read after the view asked for that
	Members       []Member `json:"members,omitempty"` // in a change, those that were removed among them
	UnreadableIDs []string `json:"spoilt,omitempty"`  // ids of entries that cannot be read: these stay as they were
	DrainedIDs    []string `json:"drained,omitempty"` // ids that drain, and of which it says nothing else
}

// Verdict is what a word is worth.
type Verdict uint8

// Verdicts.
const (
	Accepted       Verdict = iota + 1
	Outdated               // no newer than what is known, or of an epoch that was left
	ResyncRequired         // it builds on nothing that is known: the whole list is needed
	RemovalsHeld           // believed, but for endpoints that it takes away
)

func (v Verdict) String() string {
	return [...]string{"none", "believed", "old", "needed", "held"}[min(v, RemovalsHeld)]
}

// Change is a change of the view.
type Change struct {
	Member
	DecidedBy int // the source whose word decided the phase
}

// Warning is something that an operator should read.
type Warning struct {
	Source int
	Text   string
	ID     string // of the endpoint that it is about; empty for none
	Count  int
}

// entry is what a source last said of an id.
type entry struct {
	Member
	source       int
	revision     int64  // of the word that last said something new of it
	updateNumber int64  // the number of that word: revisions may begin anew
	removedAt    Time   // of a removal, when it was heard
	held         bool   // it was taken away, and that is not believed yet
	unreadable   bool   // its value cannot be read, and that was noted
	viewID       string // the view's id for it
	visitedBy    uint64 // of the walk that came by last
}

func (e *entry) listed() bool { return e.Phase != Removed }

// sourceTracker is one source's.
type sourceTracker struct {
	epoch        string
	formerEpochs []string // epochs that it had before
	revision     int64
	updates      int64 // words believed
	known        bool
	lastHeard    Time // when it last said anything
	fresh        bool
	listedCount  int // live entries
	entries      map[string]*entry
	// Losses in a span.
	windowStart     Time
	windowBase      int
	windowRemovals  int
	resyncRequested bool
}

const (
	maxFormerEpochs = 8     // epochs remembered
	maxRemovals     = 65536 // removals remembered
)

// addressKey is what two names of one endpoint share.
type addressKey struct {
	hostPort string
	dest     int
}

// removal is an entry that was taken away, and when: it may be back since, or have
// been taken away again.
type removal struct {
	*entry
	at Time
}

func (r removal) current() bool { return !r.listed() && r.entry.removedAt == r.at }

// publishedMember is an endpoint of the view, as it was told on.
type publishedMember struct {
	Member
	listed          bool // it is listed in the view
	decidedBy       int
	flaps           int
	flapWindowStart Time
	lastDownAt      Time
	pending         bool // an up, or more of it, is to be told
}

// delayedUp is an up that is put off.
type delayedUp struct {
	at Time
	id string
}

type delayedUps []delayedUp

func (l delayedUps) Len() int { return len(l) }
func (l delayedUps) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].id < l[j].id
}
func (l delayedUps) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *delayedUps) Push(x any)   { *l = append(*l, x.(delayedUp)) }
func (l *delayedUps) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}

// View is the one view.
type View struct {
	settings   Settings
	sources    []sourceTracker
	byAddress  map[addressKey][]*entry
	byViewID   map[string][]*entry // by the view's id
	published  map[string]*publishedMember
	urgent     []string   // drains, removals, cuts: to be told in the next step
	pendingUps []string   // ups, in their order
	delayedUps delayedUps // ups of those that went down too often, by when they may come
	removals   []removal  // in their order
	warnings   []Warning
	now        Time
	walkNumber uint64   // walks
	connected  []*entry // of the walk that is on
	changedIDs []string // likewise
}

// New makes an empty view.
func New(s Settings) (*View, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	v := &View{settings: s, sources: make([]sourceTracker, len(s.Sources)), byAddress: map[addressKey][]*entry{}, byViewID: map[string][]*entry{}, published: map[string]*publishedMember{}}
	for i := range v.sources {
		v.sources[i].entries = map[string]*entry{}
	}
	return v, nil
}

// Heartbeat books a sign of life of a source that had nothing to say.
func (v *View) Heartbeat(now Time, source int) {
	v.now = max(v.now, now)
	v.markHeard(source)
}

func (v *View) markHeard(source int) {
	s := &v.sources[source]
	s.lastHeard = v.now
	if !s.fresh && s.known {
		s.fresh = true
		v.reevaluateSource(source)
	}
}

// reevaluateSource looks again at every endpoint that a source names.
func (v *View) reevaluateSource(source int) {
	for _, id := range sortedKeys(v.sources[source].entries) {
		v.reevaluate(v.sources[source].entries[id].viewID)
	}
}

func sortedKeys[T any](m map[string]T) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Apply takes a word in.
func (v *View) Apply(now Time, w *Update) Verdict {
	v.now = max(v.now, now)
	s := &v.sources[w.Source]
	switch {
	case s.known && w.Epoch != s.epoch && slices.Contains(s.formerEpochs, w.Epoch):
		return Outdated
	case !w.Complete && (!s.known || w.Epoch != s.epoch):
		return ResyncRequired
	case s.known && w.Epoch == s.epoch && (w.Revision < s.revision || w.Revision == s.revision && !w.Complete):
		return Outdated
	}
	if s.known && w.Epoch != s.epoch {
		v.warn(Warning{Source: w.Source, Text: "its revisions have begun anew: " + w.Epoch})
		s.formerEpochs = append(s.formerEpochs, s.epoch)
		s.formerEpochs = s.formerEpochs[max(0, len(s.formerEpochs)-maxFormerEpochs):]
	}
	s.epoch, s.revision, s.updates, s.known = w.Epoch, w.Revision, s.updates+1, true
	if !s.fresh {
		s.fresh = true
		defer v.reevaluateSource(w.Source)
	}
	s.lastHeard = v.now
	for _, id := range w.UnreadableIDs {
		if e := s.entries[id]; e == nil || !e.unreadable {
			v.warn(Warning{Source: w.Source, Text: "cannot be read, and stays as it was", ID: id})
			if e != nil {
				e.unreadable = true
			}
		}
	}
	named := map[string]bool{}
	if w.Complete {
		for _, id := range w.UnreadableIDs {
			named[id] = true
		}
	}
	for _, id := range w.DrainedIDs {
		if e := s.entries[id]; e != nil && e.Phase == Up {
			m, spoilt := e.Member, e.unreadable
			m.Phase = Draining
			v.listMember(w.Source, &m)
			e.unreadable = spoilt
		}
	}
	var lost []string
	for i := range w.Members {
		m := &w.Members[i]
		if w.Complete {
			named[m.ID] = true
		}
		if m.Phase == Removed {
			lost = append(lost, m.ID)
			continue
		}
		v.listMember(w.Source, m)
	}
	if w.Complete {
		for _, id := range sortedKeys(s.entries) {
			if s.entries[id].listed() && !named[id] {
				lost = append(lost, id)
			}
		}
	}
	verdict := Accepted
	if v.applyRemovals(w, lost) {
		verdict = RemovalsHeld
	}
	return verdict
}

// listMember books that a source lists an endpoint.
func (v *View) listMember(source int, m *Member) {
	s := &v.sources[source]
	e := s.entries[m.ID]
	switch {
	case e == nil:
		e = &entry{source: source}
		s.entries[m.ID] = e
		s.listedCount++
	case !e.listed():
		s.listedCount++
	case e.Member == *m && !e.held && !e.unreadable:
		return // it said so before: that is no later word
	}
	e.revision, e.updateNumber, e.held, e.unreadable = s.revision, s.updates, false, false
	v.updateEntry(e, *m)
}

// applyRemovals books what a word takes away, and reports whether any of it is held.
func (v *View) applyRemovals(w *Update, ids []string) (held bool) {
	s := &v.sources[w.Source]
	anew := w.Complete && w.Resync
	var count []*entry
	for _, id := range ids {
		e := s.entries[id]
		switch {
		case e == nil || !e.listed():
		case e.held && !anew:
			held = true
		case e.Phase == Draining || anew: // that was announced, or is said twice
			v.removeEntry(e)
		default:
			count = append(count, e)
		}
	}
	if anew {
		s.resyncRequested = false
		s.windowStart, s.windowRemovals = 0, 0
	}
	if v.now >= s.windowStart+v.settings.RemovalWindow || s.windowStart == 0 {
		s.windowStart, s.windowBase, s.windowRemovals = max(v.now, 1), s.listedCount, 0
	}
	s.windowBase = max(s.windowBase, s.listedCount)
	if len(count) == 0 {
		return held
	}
	room := max(v.settings.MinRemovalLimit, int(math.Floor(v.settings.MaxRemovalShare*float64(s.windowBase)+1e-9))) - s.windowRemovals
	if len(count) <= room {
		s.windowRemovals += len(count)
		for _, e := range count {
			v.removeEntry(e)
		}
		return held
	}
	for _, e := range count {
		e.held = true
	}
	s.resyncRequested = true
	v.warn(Warning{Source: w.Source, Text: "takes away more than may go unconfirmed: held until it is read anew", Count: len(count)})
	return true
}

// removeEntry books that a source has taken an endpoint away.
func (v *View) removeEntry(e *entry) {
	s := &v.sources[e.source]
	s.listedCount--
	m := e.Member
	m.Phase = Removed
	e.revision, e.updateNumber, e.removedAt, e.held, e.unreadable = s.revision, s.updates, v.now, false, false
	v.removals = append(v.removals, removal{e, v.now})
	v.updateEntry(e, m)
}

// updateEntry has an entry say something else, and looks again at all that this touches.
func (v *View) updateEntry(e *entry, m Member) {
	v.beginWalk()
	fresh := e.ID == "" || e.HostPort != m.HostPort || e.Dest != m.Dest
	if fresh && e.ID != "" {
		v.collectConnected(e)
		v.unindexAddress(e, addressKey{e.HostPort, e.Dest})
		v.connected, e.visitedBy = slices.Delete(v.connected, 0, 1), 0 // it is where it begins: its new place is walked as well
	}
	e.Member = m
	if fresh {
		at := addressKey{m.HostPort, m.Dest}
		v.byAddress[at] = append(v.byAddress[at], e)
	}
	v.collectConnected(e)
	v.assignViewIDs()
}

// beginWalk begins a walk through what shares names and places.
func (v *View) beginWalk() { v.walkNumber, v.connected = v.walkNumber+1, v.connected[:0] }

func (v *View) unindexAddress(e *entry, at addressKey) {
	if v.byAddress[at] = slices.DeleteFunc(v.byAddress[at], func(x *entry) bool { return x == e }); len(v.byAddress[at]) == 0 {
		delete(v.byAddress, at)
	}
}

// collectConnected finds all that shares a name or a place with an entry, and with those.
func (v *View) collectConnected(e *entry) {
	if e.visitedBy == v.walkNumber {
		return
	}
	e.visitedBy = v.walkNumber
	v.connected = append(v.connected, e)
	for i := range v.sources {
		if x := v.sources[i].entries[e.ID]; x != nil {
			v.collectConnected(x)
		}
	}
	for _, x := range v.byAddress[addressKey{e.HostPort, e.Dest}] {
		v.collectConnected(x)
	}
}

// assignViewIDs gives the entries that were found their names in the view.
func (v *View) assignViewIDs() {
	slices.SortFunc(v.connected, func(a, b *entry) int { return cmp.Or(a.source-b.source, cmp.Compare(a.ID, b.ID)) })
	again := v.changedIDs[:0]
	for _, e := range v.connected { // those that come first have theirs first
		old := e.viewID
		e.viewID = v.viewIDOf(e)
		again = append(again, e.viewID)
		if old != e.viewID {
			if old != "" {
				again = append(again, old)
				v.leaveGroup(e, old)
			}
			v.byViewID[e.viewID] = append(v.byViewID[e.viewID], e)
		}
	}
	slices.Sort(again)
	v.changedIDs = slices.Compact(again)
	for _, id := range v.changedIDs {
		v.reevaluate(id)
	}
}

func (v *View) leaveGroup(e *entry, name string) {
	if v.byViewID[name] = slices.DeleteFunc(v.byViewID[name], func(x *entry) bool { return x == e }); len(v.byViewID[name]) == 0 {
		delete(v.byViewID, name)
	}
}

// viewIDOf is the view's id of an entry: that of the first source before its own that
// names it by its id, or else by its place. Of several ids at one place the latest
// counts.
func (v *View) viewIDOf(e *entry) string {
	for i := range e.source {
		if x := v.sources[i].entries[e.ID]; x != nil {
			return x.viewID
		}
	}
	for i := range e.source {
		x := newestEntry(v.byAddress[addressKey{e.HostPort, e.Dest}], i)
		if x != nil && v.sources[e.source].entries[x.viewID] == nil { // else its own source tells the two apart
			return x.viewID
		}
	}
	return e.ID
}

// newestEntry is the last word of a source among some entries.
func newestEntry(all []*entry, source int) (last *entry) {
	for _, e := range all {
		if e.source == source && (last == nil || e.updateNumber > last.updateNumber || e.updateNumber == last.updateNumber && newer(e, last)) {
			last = e
		}
	}
	return last
}

// newer orders what one word says: what is there comes after what is gone.
func newer(a, b *entry) bool {
	if a.listed() != b.listed() {
		return a.listed()
	}
	return a.ID > b.ID
}

// mergedMember is what the sources together say of one of the view's endpoints; false
// where it is in the view no more. by is the source that decided its phase.
func (v *View) mergedMember(id string) (m Member, by int, ok bool) {
	var first, fresh, rated *entry // of those that list it
	worst := 0
	by = -1
	for i := range v.sources {
		e := newestEntry(v.byViewID[id], i)
		if e == nil {
			continue
		}
		if n := phaseRank(e.Phase); n > worst {
			worst, by = n, i
		}
		if own := v.sources[i].entries[id]; own != nil && own != e && own.viewID == id { // it names it twice
			if n := phaseRank(own.Phase); n > worst {
				worst, by = n, i
			}
			if own.listed() || !e.listed() {
				e = own
			}
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
		return Member{ID: id, Phase: Removed}, by, false
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
	return m, by, true
}

// reevaluate looks again at one of the view's endpoints: what must not wait is told in
// the next step, the rest in its turn.
func (v *View) reevaluate(id string) {
	m, by, ok := v.mergedMember(id)
	x := v.published[id]
	if x == nil {
		if !ok {
			return
		}
		x = &publishedMember{Member: Member{ID: id, Phase: Removed}}
		v.published[id] = x
	}
	if x.Member == m || !ok && !x.listed {
		return
	}
	if x.decidedBy = by; m.Phase != Up || x.listed && x.Phase == Up && m.Rate < x.Rate {
		v.urgent = append(v.urgent, id)
	} else if !x.pending {
		x.pending = true
		v.pendingUps = append(v.pendingUps, id)
	}
}

func (v *View) warn(n Warning) { v.warnings = append(v.warnings, n) }

// TakeWarnings gives what is to be logged since it was last asked.
func (v *View) TakeWarnings() []Warning {
	n := v.warnings
	v.warnings = nil
	return n
}

// ResyncRequested reports whether a source is to be read anew, as a whole.
func (v *View) ResyncRequested(source int) bool { return v.sources[source].resyncRequested }

// Position tells the revision up to which a source is known, and of what.
func (v *View) Position(source int) (epoch string, revision int64, known bool) {
	s := &v.sources[source]
	return s.epoch, s.revision, s.known
}

// Fresh reports whether a source was heard of late.
func (v *View) Fresh(source int) bool { return v.sources[source].fresh }

// Step tells on what has changed by now: drains, removals and lowered rates at once
// and first, then who comes up, so many in one step.
func (v *View) Step(now Time) (changes []Change) {
	v.now = max(v.now, now)
	v.applyTimeouts()
	urgent := v.urgent
	v.urgent = nil
	for _, id := range urgent {
		changes = v.publish(changes, id)
	}
	for len(v.delayedUps) > 0 && v.delayedUps[0].at <= v.now {
		v.pendingUps = append(v.pendingUps, heap.Pop(&v.delayedUps).(delayedUp).id)
	}
	kept := v.pendingUps[:0]
	told := 0
	for i, id := range v.pendingUps {
		x := v.published[id]
		switch {
		case x == nil || !x.pending:
		case told >= v.settings.MaxUpsPerStep:
			kept = append(kept, v.pendingUps[i:]...)
			v.pendingUps = kept
			return changes
		case v.flapping(x):
			heap.Push(&v.delayedUps, delayedUp{x.lastDownAt + v.settings.HoldDown, id})
		default:
			x.pending = false
			n := len(changes)
			changes = v.publish(changes, id)
			told += len(changes) - n
		}
	}
	v.pendingUps = kept
	return changes
}

// flapping reports whether an endpoint has gone down too often to come up now.
func (v *View) flapping(x *publishedMember) bool {
	return x.flaps >= v.settings.MaxFlaps && v.now < x.lastDownAt+v.settings.HoldDown
}

// publish tells on what is true of an endpoint now.
func (v *View) publish(changes []Change, id string) []Change {
	x := v.published[id]
	if x == nil {
		return changes
	}
	m, by, ok := v.mergedMember(id)
	if x.Member == m || !ok && !x.listed {
		if !ok && !x.pending {
			v.forgetPublished(id, x)
		}
		return changes
	}
	if x.listed && x.Phase == Up && m.Phase != Up {
		if v.now >= x.flapWindowStart+v.settings.FlapWindow {
			x.flapWindowStart, x.flaps = v.now, 0
		}
		x.flaps, x.lastDownAt = x.flaps+1, v.now
	}
	x.Member, x.listed, x.decidedBy = m, ok, by
	if ok && m.Phase != Up {
		x.pending = false
	}
	return append(changes, Change{m, by})
}

// forgetPublished lets go of one that is not in the view, unless it is still to be kept down.
func (v *View) forgetPublished(id string, x *publishedMember) {
	if v.now >= x.lastDownAt+max(v.settings.HoldDown, v.settings.FlapWindow) {
		delete(v.published, id)
	}
}

// applyTimeouts books what the time alone has changed.
func (v *View) applyTimeouts() {
	for i := range v.sources {
		if s := &v.sources[i]; s.fresh && v.now > s.lastHeard+v.settings.Sources[i].StaleAfter {
			s.fresh = false
			v.warn(Warning{Source: i, Text: "silent: what it listed stays as last known"})
			v.reevaluateSource(i)
		}
	}
	n := 0
	for ; n < len(v.removals) && (v.now >= v.removals[n].at+v.settings.RemovalRetention || len(v.removals)-n > maxRemovals); n++ {
		if v.removals[n].current() {
			v.expireRemoval(v.removals[n].entry)
		}
	}
	v.removals = slices.Delete(v.removals, 0, n)
}

// expireRemoval: a removal binds nobody any more.
func (v *View) expireRemoval(e *entry) {
	v.beginWalk()
	v.collectConnected(e)
	v.connected = slices.Delete(v.connected, 0, 1) // it is where it begins
	delete(v.sources[e.source].entries, e.ID)
	v.unindexAddress(e, addressKey{e.HostPort, e.Dest})
	v.leaveGroup(e, e.viewID)
	v.assignViewIDs()
	v.reevaluate(e.viewID)
	if x := v.published[e.viewID]; x != nil && !x.listed && !x.pending {
		v.forgetPublished(e.viewID, x)
	}
}

// NextDeadline is when to step though nothing comes; 0 for never, and now where more is to
// be told already.
func (v *View) NextDeadline() (at Time) {
	earlier := func(t Time) {
		if at == 0 || t < at {
			at = max(t, 1)
		}
	}
	if len(v.urgent) > 0 {
		return max(v.now, 1)
	}
	if len(v.pendingUps) > 0 {
		return max(v.now, 1)
	}
	if len(v.delayedUps) > 0 {
		earlier(v.delayedUps[0].at)
	}
	for i := range v.sources {
		if s := &v.sources[i]; s.fresh {
			earlier(s.lastHeard + v.settings.Sources[i].StaleAfter + 1)
		}
	}
	if len(v.removals) > 0 {
		earlier(v.removals[0].at + v.settings.RemovalRetention)
	}
	return at
}

// Members is the view as it was told on, by id.
func (v *View) Members() []Member {
	var all []Member
	for _, id := range sortedKeys(v.published) {
		if x := v.published[id]; x.listed {
			all = append(all, x.Member)
		}
	}
	return all
}
