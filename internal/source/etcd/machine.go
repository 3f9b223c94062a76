// Package etcd decides how a prefix of etcd is followed: what is read, from which
// revision a watch goes on, when one that says nothing is given up, and what is
// handed to the view of the endpoints.
//
// It follows the published v3 API (etcd.io/docs, "API reference" and "API
// guarantees"): a range is read at one revision, a watch begins behind it, events
// come in the order of their revisions and none is left out unless the watch is
// cancelled as compacted. It owns resumption, silence, compaction, members, tokens
// and back-off.
//
// It must never open a socket, read a clock, or merge what etcd says with anything
// else.
package etcd

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"

	"troutusher/internal/membership"
)

// Time is a moment or a span in microseconds.
type Time = membership.Time

// Settings say what is followed and how patiently.
type Settings struct {
	Prefix       string
	Members      int  // endpoints of the cluster, asked in turn
	AuthRequired bool // a token is asked for first
	Source       int  // in the view
	PageSize     int64
	// A watch that has said nothing for Quiet is asked for its progress, and given up
	// where it has not told it Answer later.
	SilenceTimeout, ProgressTimeout Time
	OpenTimeout                     Time // of a token, and of a watch that is opened
	ReadTimeout                     Time // of a page
	MinBackoff                      Time // between rounds of members in vain; doubles up to PauseMost
	MaxBackoff                      Time
	// ResyncInterval is after how long a watch the whole list is read once more: a cluster that
	// was put back from a copy under its old id, and has come as far again, cannot be
	// told from the one before.
	ResyncInterval Time
}

// DefaultSettings are figures by which a drain is heard within 2 s of its put, also where
// the watch has fallen silent and the two members asked next as well: 0.4 + 0.3 s
// until that is known, and 0.45 s for each of them.
func DefaultSettings(prefix string, members int) Settings {
	return Settings{Prefix: prefix, Members: members, PageSize: 1000, SilenceTimeout: 400e3, ProgressTimeout: 300e3, OpenTimeout: 450e3, ReadTimeout: 700e3, MinBackoff: 100e3, MaxBackoff: 3e6, ResyncInterval: 300e6}
}

// Check tells what is wrong with settings.
func (s *Settings) Check() error {
	switch {
	case !strings.HasPrefix(s.Prefix, "/") || len(s.Prefix) > maxTextLength || strings.Trim(s.Prefix, "/") == "":
		return fmt.Errorf("etcd: prefix %.40q: wants a path that begins with a slash", s.Prefix)
	case s.Members < 1:
		return errors.New("etcd: no endpoints")
	case s.PageSize < 1 || s.SilenceTimeout <= 0 || s.ProgressTimeout <= 0 || s.OpenTimeout <= 0 || s.ReadTimeout <= 0 || s.MinBackoff <= 0 || s.MaxBackoff < s.MinBackoff || s.ResyncInterval < s.SilenceTimeout:
		return errors.New("etcd: a figure is out of range")
	}
	return nil
}

// EventKind is what happened.
type EventKind uint8

// Kinds of event, and what comes with each. Those of a call name it; what comes of
// one that is over is of no account.
const (
	EventAuthenticated EventKind = iota + 1 // a token was had, which the driver keeps
	EventPageRead                           // Cluster, Revision, KVs, More
	EventWatchOpened                        // Cluster, Revision: the watch is open
	EventChanged                            // Cluster, Revision, KVs with their revisions, Fragment
	EventProgress                           // Revision: all up to it was told
	EventFailed                             // Why, Compacted: the call is over
)

// FailureReason a call failed.
type FailureReason uint8

// Reasons.
const (
	ReasonUnavailable     FailureReason = iota + 1 // the member is not there, has no leader, or has too much to do
	ReasonCompacted                                // the revision is no longer kept; Event.Revision from which one is
	ReasonUnauthenticated                          // the token is not known any more
	ReasonRejected                                 // the request itself: another member would say the same
)

func (w FailureReason) String() string {
	return [...]string{"none", "unavailable", "compacted", "denied", "refused"}[min(w, ReasonRejected)]
}

// Event is one thing that happened.
type Event struct {
	Kind         EventKind
	Call         uint64
	Cluster      uint64
	Revision     int64 // of the answer's header; of Compacted, the first that is kept
	KVs          []KV
	LastRevision int64 // of Changed: the revision of the last of them
	More         bool  // of Ranged: there are further keys
	Fragment     bool  // of Changed: more of the same answer follows
	Reason       FailureReason
	Detail       string // for the log
}

// Action is what is to be done.
type Action struct {
	Kind          ActionKind
	Call          uint64
	Member        int
	Key, RangeEnd string
	Revision      int64 // of Range: at which, 0 for the newest; of Watch: the first
	Limit         int64
	Update        *membership.Update
	Text          string
}

// ActionKind is what kind of thing is to be done.
type ActionKind uint8

// Kinds of thing to be done, and what comes with each.
const (
	ActionAuthenticate    ActionKind = iota + 1 // Call, Member
	ActionReadPage                              // Call, Member, Key, End, Revision, Limit; linearizable where Revision is 0
	ActionOpenWatch                             // Call, Member, Key, End, Revision; fragments, a leader required
	ActionRequestProgress                       // Call: ask that watch for its progress
	ActionCancelCall                            // Call: give it up
	ActionUpdate                                // Word: for the view
	ActionHeartbeat                             // the source has nothing new to say
	ActionLog                                   // Text
)

type state uint8

const (
	backingOff state = iota
	authenticating
	reading
	openingWatch // a watch
	watching
)

// Machine follows one prefix.
type Machine struct {
	settings          Settings
	rng               *rand.Rand
	state             state
	call              uint64
	member            int
	failures          int  // in a row
	hasToken          bool // there is one
	deadline          Time // of what the state waits for
	watchingSince     Time // watching: from when on
	lastReadAt        Time // when the whole list was read last
	progressRequested bool // watching: its progress
	rollbackSuspected bool // a watch began behind what is known, and that was looked into

	table       *keyTable // as of rev
	cluster     uint64
	generation  int // how often its revisions have begun anew
	revision    int64
	hasRevision bool

	pages             *keyTable // a whole list under way
	pagesRevision     int64     // its revision
	nextKey           string    // its next key
	pagesForResync    bool      // it was begun after the view had asked for one
	resyncRequested   bool      // the view has, and has not had it yet
	fragments         []KV      // fragments
	fragmentsRevision int64
	now               Time
	actions           []Action
}

// New makes the machine of one relay, which draws from its own seed.
func New(s Settings, seed uint64) (*Machine, error) {
	if s.PageSize == 0 {
		return nil, errors.New("etcd: settings were not made by Default")
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	m := &Machine{settings: s, rng: rand.New(rand.NewPCG(seed, 0xe7cd))}
	m.member = m.rng.IntN(s.Members) // a fleet does not ask one member
	return m, nil
}

// NextDeadline is when to step though nothing comes.
func (m *Machine) NextDeadline() Time { return max(m.deadline, 1) }

// Revision tells the revision up to which all is known.
func (m *Machine) Revision() (int64, bool) { return m.revision, m.hasRevision }

// Resync has the whole list read once more, for the view that does not believe a
// loss.
func (m *Machine) Resync(now Time) []Action {
	m.beginStep(now)
	if m.state == reading && m.pagesForResync {
		return m.takeActions()
	}
	m.resyncRequested = true // also after the read that is on: it began before
	if m.state == watching || m.state == openingWatch {
		m.cancelCall()
		m.startNextCall()
	}
	return m.takeActions()
}

func (m *Machine) beginStep(now Time) { m.now, m.actions = max(now, m.now), nil }

func (m *Machine) takeActions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

func (m *Machine) emit(d Action) { m.actions = append(m.actions, d) }

func (m *Machine) logf(format string, a ...any) {
	m.emit(Action{Kind: ActionLog, Text: fmt.Sprintf(format, a...)})
}

// Step takes what happened by now.
func (m *Machine) Step(now Time, events []Event) []Action {
	m.beginStep(now)
	for i := range events {
		if e := &events[i]; e.Call == m.call && m.state != backingOff {
			m.handle(e)
		}
	}
	if m.now >= m.deadline {
		m.handleTimeout()
	}
	return m.takeActions()
}

// epoch is what revisions belong to: a cluster, and how often it has been put back.
func (m *Machine) epoch() string { return fmt.Sprintf("%016x.%d", m.cluster, m.generation) }

// beginCall begins a call.
func (m *Machine) beginCall(s state, patience Time) uint64 {
	m.state, m.call, m.deadline = s, m.call+1, m.now+patience
	return m.call
}

// cancelCall gives up the call that is out.
func (m *Machine) cancelCall() { m.emit(Action{Kind: ActionCancelCall, Call: m.call}) }

// startNextCall goes on from what is known, or reads it first.
func (m *Machine) startNextCall() {
	m.fragments, m.fragmentsRevision, m.progressRequested = nil, 0, false
	switch {
	case m.settings.AuthRequired && !m.hasToken:
		m.emit(Action{Kind: ActionAuthenticate, Call: m.beginCall(authenticating, m.settings.OpenTimeout), Member: m.member})
	case !m.hasRevision || m.resyncRequested:
		m.pages, m.pagesRevision, m.nextKey = newKeyTable(m.settings.Prefix), 0, Key(m.settings.Prefix, "", "")
		m.nextKey = strings.TrimSuffix(m.nextKey, "/") // of "PREFIX//": all below it
		m.pagesForResync = m.resyncRequested
		m.readPage()
	default:
		m.openWatch()
	}
}

func (m *Machine) readPage() {
	m.emit(Action{Kind: ActionReadPage, Call: m.beginCall(reading, m.settings.ReadTimeout), Member: m.member, Key: m.nextKey, RangeEnd: m.rangeEnd(), Revision: m.pagesRevision, Limit: m.settings.PageSize})
}

func (m *Machine) rangeEnd() string {
	return RangeEnd(strings.TrimSuffix(m.settings.Prefix, "/") + "/")
}

func (m *Machine) openWatch() {
	m.emit(Action{Kind: ActionOpenWatch, Call: m.beginCall(openingWatch, m.settings.OpenTimeout), Member: m.member, Key: strings.TrimSuffix(m.settings.Prefix, "/") + "/", RangeEnd: m.rangeEnd(), Revision: m.revision + 1})
}

// watchAnswered books that the watch has said something. One that has lasted for a while, or
// has told a change, is no failure; one that ends as it begins is, however often it
// begins.
func (m *Machine) watchAnswered() {
	m.deadline, m.progressRequested = m.now+m.settings.SilenceTimeout, false
	if m.now >= m.watchingSince+stableAfter {
		m.failures = 0
	}
}

const stableAfter = Time(1e6)

func (m *Machine) handle(e *Event) {
	switch {
	case e.Kind == EventFailed:
		m.handleFailure(e)
	case e.Kind == EventAuthenticated && m.state == authenticating:
		m.hasToken = true
		m.startNextCall()
	case e.Kind == EventPageRead && m.state == reading:
		m.handlePage(e)
	case e.Kind == EventWatchOpened && m.state == openingWatch:
		if m.resyncIfReplaced(e) {
			return
		}
		m.state, m.watchingSince = watching, m.now
		m.watchAnswered()
		m.emit(Action{Kind: ActionHeartbeat})
	case e.Kind == EventChanged && m.state == watching:
		if !m.resyncIfReplaced(e) {
			m.handleChange(e)
		}
	case e.Kind == EventProgress && m.state == watching:
		if m.resyncIfReplaced(e) {
			return
		}
		m.watchAnswered()
		if len(m.fragments) == 0 && e.Revision > m.revision { // one that lies behind tells nothing
			m.revision = e.Revision
		}
		m.emit(Action{Kind: ActionHeartbeat})
	}
}

// resyncIfReplaced tells whether a watch is of another cluster than what is known, or maybe of
// one that was put back from a copy; then all is read once more. A member that lags
// behind looks like the second, and is told from it by that read: its watch catches
// up.
func (m *Machine) resyncIfReplaced(e *Event) bool {
	other := e.Cluster != 0 && e.Cluster != m.cluster
	behind := e.Kind == EventWatchOpened && e.Revision < m.revision // later words of a watch may lie behind
	if !behind && !other {
		m.rollbackSuspected = m.rollbackSuspected && e.Kind != EventWatchOpened
		return false
	}
	if !other && m.rollbackSuspected {
		return false
	}
	m.rollbackSuspected = behind
	m.logf("cluster %016x at revision %d answers, %016x was known up to %d: read anew", e.Cluster, e.Revision, m.cluster, m.revision)
	m.cancelCall()
	m.hasRevision = false
	m.startNextCall()
	return true
}

// handlePage takes a page of the whole list.
func (m *Machine) handlePage(e *Event) {
	if m.pagesRevision == 0 {
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
	} else if e.Cluster != m.cluster { // another one in the middle of it
		m.retryNextMember("another cluster answers")
		return
	}
	ids := map[string]bool{}
	for _, kv := range e.KVs {
		if bad := m.pages.apply(kv, ids); bad != nil {
			m.logf("cannot be read: %v", bad)
		}
	}
	if e.More && len(e.KVs) > 0 {
		m.nextKey = e.KVs[len(e.KVs)-1].Key + "\x00"
		m.readPage()
		return
	}
	m.table, m.revision, m.hasRevision, m.pages = m.pages, m.pagesRevision, true, nil
	w := &membership.Update{Source: m.settings.Source, Epoch: m.epoch(), Revision: m.revision, Complete: true, Resync: m.pagesForResync}
	m.table.addAllMembers(w)
	m.emit(Action{Kind: ActionUpdate, Update: w})
	m.resyncRequested, m.pagesForResync, m.lastReadAt = m.resyncRequested && !m.pagesForResync, false, m.now
	m.startNextCall()
}

// handleChange takes events. What comes in fragments is one word.
func (m *Machine) handleChange(e *Event) {
	m.watchAnswered()
	m.fragments = append(m.fragments, e.KVs...)
	m.fragmentsRevision = max(m.fragmentsRevision, e.LastRevision)
	if e.Fragment {
		return
	}
	kvs, last := m.fragments, m.fragmentsRevision
	m.fragments, m.fragmentsRevision = nil, 0
	if last <= m.revision { // told once already
		return
	}
	ids := map[string]bool{}
	for _, kv := range kvs {
		if bad := m.table.apply(kv, ids); bad != nil {
			m.logf("cannot be read: %v", bad)
		}
	}
	m.revision, m.failures = last, 0
	w := &membership.Update{Source: m.settings.Source, Epoch: m.epoch(), Revision: m.revision}
	m.table.addMembers(ids, w)
	m.emit(Action{Kind: ActionUpdate, Update: w})
}

// handleFailure: the call is over.
func (m *Machine) handleFailure(e *Event) {
	switch {
	case e.Reason == ReasonCompacted && (m.state == openingWatch || m.state == watching):
		m.logf("revision %d is no longer kept (%d is): read anew", m.revision+1, e.Revision)
		m.hasRevision = false
		m.startNextCall()
		return
	case e.Reason == ReasonCompacted: // under a long read
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

// retryNextMember goes to the next member at once, and pauses after each round in vain.
func (m *Machine) retryNextMember(why string) {
	m.failures++
	m.logf("member %d: %s", m.member, why)
	m.member = (m.member + 1) % m.settings.Members
	m.pages = nil
	if m.failures%max(m.settings.Members, 2) != 0 {
		m.startNextCall()
		return
	}
	m.state = backingOff
	pause := m.settings.MinBackoff << min(m.failures/max(m.settings.Members, 2)-1, 16)
	pause = min(pause, m.settings.MaxBackoff)
	m.deadline = m.now + pause/2 + Time(m.rng.Float64()*float64(pause))
}

// handleTimeout: what the state waits for has not come.
func (m *Machine) handleTimeout() {
	switch {
	case m.state == backingOff:
		m.startNextCall()
	case m.state == watching && !m.progressRequested && m.now >= m.lastReadAt+m.settings.ResyncInterval:
		m.cancelCall()
		m.hasRevision = false
		m.startNextCall()
	case m.state == watching && !m.progressRequested:
		m.progressRequested, m.deadline = true, m.now+m.settings.ProgressTimeout
		m.emit(Action{Kind: ActionRequestProgress, Call: m.call})
	default:
		m.cancelCall()
		m.retryNextMember([...]string{"", "no token in time", "no list in time", "no watch in time", "the watch is silent"}[m.state])
	}
}
