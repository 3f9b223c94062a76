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
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"` // the rate that its destination takes; 0 where that is not told
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

// rank orders phases: the highest wins.
func rank(phase string) int {
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
	Name  string
	Stale Time // not heard of for so long, it no longer comes before those that are
}

// Settings are the rule's figures.
type Settings struct {
	Sources []Source // those that come first go before the others
	// A source may take away LossShare of what it lists within LossSpan, and
	// LossLeast endpoints in any case; what goes beyond that is held.
	LossShare float64
	LossLeast int
	LossSpan  Time
	// An endpoint that went down Flaps times within FlapSpan comes up again HoldDown
	// after it last did.
	Flaps    int
	FlapSpan Time
	HoldDown Time
	AtOnce   int  // endpoints that come up in one step
	Forget   Time // how long a removal binds the other sources
}

// Default are figures for some thousand endpoints.
func Default(sources ...Source) Settings {
	return Settings{Sources: sources, LossShare: 0.5, LossLeast: 2, LossSpan: 30e6, Flaps: 4, FlapSpan: 10e6, HoldDown: 5e6, AtOnce: 4096, Forget: 600e6}
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
		case x.Stale <= 0:
			return fmt.Errorf("membership: source %s: stale after %d", x.Name, x.Stale)
		}
	}
	switch {
	case !(s.LossShare >= 0 && s.LossShare <= 1):
		return fmt.Errorf("membership: a share of %v that may be lost", s.LossShare)
	case s.LossLeast < 0 || s.LossSpan <= 0 || s.Flaps < 1 || s.FlapSpan <= 0 || s.HoldDown < 0 || s.AtOnce < 1 || s.Forget <= 0:
		return errors.New("membership: a figure is out of range")
	}
	return nil
}

// Word is what a source says.
type Word struct {
	Source   int      `json:"-"`     // whoever hands it in knows
	Epoch    string   `json:"epoch"` // what its revisions belong to: an address, a cluster
	Revision int64    `json:"revision"`
	Whole    bool     `json:"whole,omitempty"`   // all that it lists; else what changed
	Anew     bool     `json:"anew,omitempty"`    // Whole: it was read after the view asked for that
	Members  []Member `json:"members,omitempty"` // in a change, those that were removed among them
	Spoilt   []string `json:"spoilt,omitempty"`  // ids of entries that cannot be read: these stay as they were
	Drained  []string `json:"drained,omitempty"` // ids that drain, and of which it says nothing else
}

// Verdict is what a word is worth.
type Verdict uint8

// Verdicts.
const (
	Believed Verdict = iota + 1
	Old              // no newer than what is known, or of an epoch that was left
	Needed           // it builds on nothing that is known: the whole list is needed
	Held             // believed, but for endpoints that it takes away
)

func (v Verdict) String() string {
	return [...]string{"none", "believed", "old", "needed", "held"}[min(v, Held)]
}

// Change is a change of the view.
type Change struct {
	Member
	By int // the source whose word decided the phase
}

// Note is something that an operator should read.
type Note struct {
	Source int
	Text   string
	ID     string // of the endpoint that it is about; empty for none
	Count  int
}

// entry is what a source last said of an id.
type entry struct {
	Member
	source int
	rev    int64  // of the word that last said something new of it
	seq    int64  // the number of that word: revisions may begin anew
	at     Time   // of a removal, when it was heard
	held   bool   // it was taken away, and that is not believed yet
	spoilt bool   // its value cannot be read, and that was noted
	canon  string // the view's id for it
	visit  uint64 // of the walk that came by last
}

func (e *entry) live() bool { return e.Phase != Removed }

// side is one source's.
type side struct {
	epoch  string
	left   []string // epochs that it had before
	rev    int64
	seq    int64 // words believed
	known  bool
	heard  Time // when it last said anything
	fresh  bool
	listed int // live entries
	ids    map[string]*entry
	// Losses in a span.
	spanFrom Time
	spanBase int
	spanLost int
	ask      bool
}

const (
	leftMost = 8     // epochs remembered
	goneMost = 65536 // removals remembered
)

// place is what two names of one endpoint share.
type place struct {
	addr string
	cell int
}

// removal is an entry that was taken away, and when: it may be back since, or have
// been taken away again.
type removal struct {
	*entry
	at Time
}

func (r removal) stands() bool { return !r.live() && r.entry.at == r.at }

// shown is an endpoint of the view, as it was told on.
type shown struct {
	Member
	up       bool // it is listed in the view
	by       int
	downs    int
	downFrom Time
	downAt   Time
	waiting  bool // an up, or more of it, is to be told
}

// putOff is an up that is put off.
type putOff struct {
	at Time
	id string
}

type putOffs []putOff

func (l putOffs) Len() int { return len(l) }
func (l putOffs) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].id < l[j].id
}
func (l putOffs) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *putOffs) Push(x any)   { *l = append(*l, x.(putOff)) }
func (l *putOffs) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}

// View is the one view.
type View struct {
	set     Settings
	sides   []side
	at      map[place][]*entry
	groups  map[string][]*entry // by the view's id
	view    map[string]*shown
	urgent  []string  // drains, removals, cuts: to be told in the next step
	waiting []string  // ups, in their order
	off     putOffs   // ups of those that went down too often, by when they may come
	gone    []removal // in their order
	notes   []Note
	now     Time
	visit   uint64   // walks
	found   []*entry // of the walk that is on
	again   []string // likewise
}

// New makes an empty view.
func New(s Settings) (*View, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	v := &View{set: s, sides: make([]side, len(s.Sources)), at: map[place][]*entry{}, groups: map[string][]*entry{}, view: map[string]*shown{}}
	for i := range v.sides {
		v.sides[i].ids = map[string]*entry{}
	}
	return v, nil
}

// Heard books a sign of life of a source that had nothing to say.
func (v *View) Heard(now Time, source int) {
	v.now = max(v.now, now)
	v.alive(source)
}

func (v *View) alive(source int) {
	s := &v.sides[source]
	s.heard = v.now
	if !s.fresh && s.known {
		s.fresh = true
		v.all(source)
	}
}

// all looks again at every endpoint that a source names.
func (v *View) all(source int) {
	for _, id := range sorted(v.sides[source].ids) {
		v.decide(v.sides[source].ids[id].canon)
	}
}

func sorted[T any](m map[string]T) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Take takes a word in.
func (v *View) Take(now Time, w *Word) Verdict {
	v.now = max(v.now, now)
	s := &v.sides[w.Source]
	switch {
	case s.known && w.Epoch != s.epoch && slices.Contains(s.left, w.Epoch):
		return Old
	case !w.Whole && (!s.known || w.Epoch != s.epoch):
		return Needed
	case s.known && w.Epoch == s.epoch && (w.Revision < s.rev || w.Revision == s.rev && !w.Whole):
		return Old
	}
	if s.known && w.Epoch != s.epoch {
		v.note(Note{Source: w.Source, Text: "its revisions have begun anew: " + w.Epoch})
		s.left = append(s.left, s.epoch)
		s.left = s.left[max(0, len(s.left)-leftMost):]
	}
	s.epoch, s.rev, s.seq, s.known = w.Epoch, w.Revision, s.seq+1, true
	if !s.fresh {
		s.fresh = true
		defer v.all(w.Source)
	}
	s.heard = v.now
	for _, id := range w.Spoilt {
		if e := s.ids[id]; e == nil || !e.spoilt {
			v.note(Note{Source: w.Source, Text: "cannot be read, and stays as it was", ID: id})
			if e != nil {
				e.spoilt = true
			}
		}
	}
	named := map[string]bool{}
	if w.Whole {
		for _, id := range w.Spoilt {
			named[id] = true
		}
	}
	for _, id := range w.Drained {
		if e := s.ids[id]; e != nil && e.Phase == Up {
			m, spoilt := e.Member, e.spoilt
			m.Phase = Draining
			v.say(w.Source, &m)
			e.spoilt = spoilt
		}
	}
	var lost []string
	for i := range w.Members {
		m := &w.Members[i]
		if w.Whole {
			named[m.ID] = true
		}
		if m.Phase == Removed {
			lost = append(lost, m.ID)
			continue
		}
		v.say(w.Source, m)
	}
	if w.Whole {
		for _, id := range sorted(s.ids) {
			if s.ids[id].live() && !named[id] {
				lost = append(lost, id)
			}
		}
	}
	verdict := Believed
	if v.lose(w, lost) {
		verdict = Held
	}
	return verdict
}

// say books that a source lists an endpoint.
func (v *View) say(source int, m *Member) {
	s := &v.sides[source]
	e := s.ids[m.ID]
	switch {
	case e == nil:
		e = &entry{source: source}
		s.ids[m.ID] = e
		s.listed++
	case !e.live():
		s.listed++
	case e.Member == *m && !e.held && !e.spoilt:
		return // it said so before: that is no later word
	}
	e.rev, e.seq, e.held, e.spoilt = s.rev, s.seq, false, false
	v.put(e, *m)
}

// lose books what a word takes away, and reports whether any of it is held.
func (v *View) lose(w *Word, ids []string) (held bool) {
	s := &v.sides[w.Source]
	anew := w.Whole && w.Anew
	var count []*entry
	for _, id := range ids {
		e := s.ids[id]
		switch {
		case e == nil || !e.live():
		case e.held && !anew:
			held = true
		case e.Phase == Draining || anew: // that was announced, or is said twice
			v.remove(e)
		default:
			count = append(count, e)
		}
	}
	if anew {
		s.ask = false
		s.spanFrom, s.spanLost = 0, 0
	}
	if v.now >= s.spanFrom+v.set.LossSpan || s.spanFrom == 0 {
		s.spanFrom, s.spanBase, s.spanLost = max(v.now, 1), s.listed, 0
	}
	s.spanBase = max(s.spanBase, s.listed)
	if len(count) == 0 {
		return held
	}
	room := max(v.set.LossLeast, int(math.Floor(v.set.LossShare*float64(s.spanBase)+1e-9))) - s.spanLost
	if len(count) <= room {
		s.spanLost += len(count)
		for _, e := range count {
			v.remove(e)
		}
		return held
	}
	for _, e := range count {
		e.held = true
	}
	s.ask = true
	v.note(Note{Source: w.Source, Text: "takes away more than may go unconfirmed: held until it is read anew", Count: len(count)})
	return true
}

// remove books that a source has taken an endpoint away.
func (v *View) remove(e *entry) {
	s := &v.sides[e.source]
	s.listed--
	m := e.Member
	m.Phase = Removed
	e.rev, e.seq, e.at, e.held, e.spoilt = s.rev, s.seq, v.now, false, false
	v.gone = append(v.gone, removal{e, v.now})
	v.put(e, m)
}

// put has an entry say something else, and looks again at all that this touches.
func (v *View) put(e *entry, m Member) {
	v.walk()
	fresh := e.ID == "" || e.HostPort != m.HostPort || e.Cell != m.Cell
	if fresh && e.ID != "" {
		v.component(e)
		v.leave(e, place{e.HostPort, e.Cell})
		v.found, e.visit = slices.Delete(v.found, 0, 1), 0 // it is where it begins: its new place is walked as well
	}
	e.Member = m
	if fresh {
		at := place{m.HostPort, m.Cell}
		v.at[at] = append(v.at[at], e)
	}
	v.component(e)
	v.settle()
}

// walk begins a walk through what shares names and places.
func (v *View) walk() { v.visit, v.found = v.visit+1, v.found[:0] }

func (v *View) leave(e *entry, at place) {
	if v.at[at] = slices.DeleteFunc(v.at[at], func(x *entry) bool { return x == e }); len(v.at[at]) == 0 {
		delete(v.at, at)
	}
}

// component finds all that shares a name or a place with an entry, and with those.
func (v *View) component(e *entry) {
	if e.visit == v.visit {
		return
	}
	e.visit = v.visit
	v.found = append(v.found, e)
	for i := range v.sides {
		if x := v.sides[i].ids[e.ID]; x != nil {
			v.component(x)
		}
	}
	for _, x := range v.at[place{e.HostPort, e.Cell}] {
		v.component(x)
	}
}

// settle gives the entries that were found their names in the view.
func (v *View) settle() {
	slices.SortFunc(v.found, func(a, b *entry) int { return cmp.Or(a.source-b.source, cmp.Compare(a.ID, b.ID)) })
	again := v.again[:0]
	for _, e := range v.found { // those that come first have theirs first
		old := e.canon
		e.canon = v.name(e)
		again = append(again, e.canon)
		if old != e.canon {
			if old != "" {
				again = append(again, old)
				v.out(e, old)
			}
			v.groups[e.canon] = append(v.groups[e.canon], e)
		}
	}
	slices.Sort(again)
	v.again = slices.Compact(again)
	for _, id := range v.again {
		v.decide(id)
	}
}

func (v *View) out(e *entry, name string) {
	if v.groups[name] = slices.DeleteFunc(v.groups[name], func(x *entry) bool { return x == e }); len(v.groups[name]) == 0 {
		delete(v.groups, name)
	}
}

// name is the view's id of an entry: that of the first source before its own that
// names it by its id, or else by its place. Of several ids at one place the latest
// counts.
func (v *View) name(e *entry) string {
	for i := range e.source {
		if x := v.sides[i].ids[e.ID]; x != nil {
			return x.canon
		}
	}
	for i := range e.source {
		x := latest(v.at[place{e.HostPort, e.Cell}], i)
		if x != nil && v.sides[e.source].ids[x.canon] == nil { // else its own source tells the two apart
			return x.canon
		}
	}
	return e.ID
}

// latest is the last word of a source among some entries.
func latest(all []*entry, source int) (last *entry) {
	for _, e := range all {
		if e.source == source && (last == nil || e.seq > last.seq || e.seq == last.seq && later(e, last)) {
			last = e
		}
	}
	return last
}

// later orders what one word says: what is there comes after what is gone.
func later(a, b *entry) bool {
	if a.live() != b.live() {
		return a.live()
	}
	return a.ID > b.ID
}

// merged is what the sources together say of one of the view's endpoints; false
// where it is in the view no more. by is the source that decided its phase.
func (v *View) merged(id string) (m Member, by int, ok bool) {
	var first, fresh, rated *entry // of those that list it
	worst := 0
	by = -1
	for i := range v.sides {
		e := latest(v.groups[id], i)
		if e == nil {
			continue
		}
		if n := rank(e.Phase); n > worst {
			worst, by = n, i
		}
		if own := v.sides[i].ids[id]; own != nil && own != e && own.canon == id { // it names it twice
			if n := rank(own.Phase); n > worst {
				worst, by = n, i
			}
			if own.live() || !e.live() {
				e = own
			}
		}
		if !e.live() {
			continue
		}
		if first == nil {
			first = e
		}
		if fresh == nil && v.sides[i].fresh {
			fresh = e
		}
		if e.Size > 0 && (rated == nil || !v.sides[rated.source].fresh && v.sides[i].fresh) {
			rated = e
		}
	}
	if first == nil || worst == rank(Removed) {
		return Member{ID: id, Phase: Removed}, by, false
	}
	if fresh == nil {
		fresh = first
	}
	m = fresh.Member
	m.ID, m.Size, m.Phase = id, 0, Up
	if rated != nil {
		m.Size = rated.Size
	}
	if worst == rank(Draining) {
		m.Phase = Draining
	}
	return m, by, true
}

// decide looks again at one of the view's endpoints: what must not wait is told in
// the next step, the rest in its turn.
func (v *View) decide(id string) {
	m, by, ok := v.merged(id)
	x := v.view[id]
	if x == nil {
		if !ok {
			return
		}
		x = &shown{Member: Member{ID: id, Phase: Removed}}
		v.view[id] = x
	}
	if x.Member == m || !ok && !x.up {
		return
	}
	if x.by = by; m.Phase != Up || x.up && x.Phase == Up && m.Size < x.Size {
		v.urgent = append(v.urgent, id)
	} else if !x.waiting {
		x.waiting = true
		v.waiting = append(v.waiting, id)
	}
}

func (v *View) note(n Note) { v.notes = append(v.notes, n) }

// Notes gives what is to be logged since it was last asked.
func (v *View) Notes() []Note {
	n := v.notes
	v.notes = nil
	return n
}

// Asks reports whether a source is to be read anew, as a whole.
func (v *View) Asks(source int) bool { return v.sides[source].ask }

// Known tells the revision up to which a source is known, and of what.
func (v *View) Known(source int) (epoch string, revision int64, known bool) {
	s := &v.sides[source]
	return s.epoch, s.rev, s.known
}

// Fresh reports whether a source was heard of late.
func (v *View) Fresh(source int) bool { return v.sides[source].fresh }

// Step tells on what has changed by now: drains, removals and lowered rates at once
// and first, then who comes up, so many in one step.
func (v *View) Step(now Time) (changes []Change) {
	v.now = max(v.now, now)
	v.age()
	urgent := v.urgent
	v.urgent = nil
	for _, id := range urgent {
		changes = v.tell(changes, id)
	}
	for len(v.off) > 0 && v.off[0].at <= v.now {
		v.waiting = append(v.waiting, heap.Pop(&v.off).(putOff).id)
	}
	kept := v.waiting[:0]
	told := 0
	for i, id := range v.waiting {
		x := v.view[id]
		switch {
		case x == nil || !x.waiting:
		case told >= v.set.AtOnce:
			kept = append(kept, v.waiting[i:]...)
			v.waiting = kept
			return changes
		case v.dampened(x):
			heap.Push(&v.off, putOff{x.downAt + v.set.HoldDown, id})
		default:
			x.waiting = false
			n := len(changes)
			changes = v.tell(changes, id)
			told += len(changes) - n
		}
	}
	v.waiting = kept
	return changes
}

// dampened reports whether an endpoint has gone down too often to come up now.
func (v *View) dampened(x *shown) bool {
	return x.downs >= v.set.Flaps && v.now < x.downAt+v.set.HoldDown
}

// tell tells on what is true of an endpoint now.
func (v *View) tell(changes []Change, id string) []Change {
	x := v.view[id]
	if x == nil {
		return changes
	}
	m, by, ok := v.merged(id)
	if x.Member == m || !ok && !x.up {
		if !ok && !x.waiting {
			v.forget(id, x)
		}
		return changes
	}
	if x.up && x.Phase == Up && m.Phase != Up {
		if v.now >= x.downFrom+v.set.FlapSpan {
			x.downFrom, x.downs = v.now, 0
		}
		x.downs, x.downAt = x.downs+1, v.now
	}
	x.Member, x.up, x.by = m, ok, by
	if ok && m.Phase != Up {
		x.waiting = false
	}
	return append(changes, Change{m, by})
}

// forget lets go of one that is not in the view, unless it is still to be kept down.
func (v *View) forget(id string, x *shown) {
	if v.now >= x.downAt+max(v.set.HoldDown, v.set.FlapSpan) {
		delete(v.view, id)
	}
}

// age books what the time alone has changed.
func (v *View) age() {
	for i := range v.sides {
		if s := &v.sides[i]; s.fresh && v.now > s.heard+v.set.Sources[i].Stale {
			s.fresh = false
			v.note(Note{Source: i, Text: "silent: what it listed stays as last known"})
			v.all(i)
		}
	}
	n := 0
	for ; n < len(v.gone) && (v.now >= v.gone[n].at+v.set.Forget || len(v.gone)-n > goneMost); n++ {
		if v.gone[n].stands() {
			v.lapse(v.gone[n].entry)
		}
	}
	v.gone = slices.Delete(v.gone, 0, n)
}

// lapse: a removal binds nobody any more.
func (v *View) lapse(e *entry) {
	v.walk()
	v.component(e)
	v.found = slices.Delete(v.found, 0, 1) // it is where it begins
	delete(v.sides[e.source].ids, e.ID)
	v.leave(e, place{e.HostPort, e.Cell})
	v.out(e, e.canon)
	v.settle()
	v.decide(e.canon)
	if x := v.view[e.canon]; x != nil && !x.up && !x.waiting {
		v.forget(e.canon, x)
	}
}

// Next is when to step though nothing comes; 0 for never, and now where more is to
// be told already.
func (v *View) Next() (at Time) {
	earlier := func(t Time) {
		if at == 0 || t < at {
			at = max(t, 1)
		}
	}
	if len(v.urgent) > 0 {
		return max(v.now, 1)
	}
	if len(v.waiting) > 0 {
		return max(v.now, 1)
	}
	if len(v.off) > 0 {
		earlier(v.off[0].at)
	}
	for i := range v.sides {
		if s := &v.sides[i]; s.fresh {
			earlier(s.heard + v.set.Sources[i].Stale + 1)
		}
	}
	if len(v.gone) > 0 {
		earlier(v.gone[0].at + v.set.Forget)
	}
	return at
}

// Members is the view as it was told on, by id.
func (v *View) Members() []Member {
	var all []Member
	for _, id := range sorted(v.view) {
		if x := v.view[id]; x.up {
			all = append(all, x.Member)
		}
	}
	return all
}
