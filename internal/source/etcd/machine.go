package etcd

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"troutusher/internal/membership"
)

// state is what the machine waits for.
type state uint8

const (
	backingOff state = iota // nothing: it calls again at the deadline
	authenticating
	reading
	openingWatch
	watching
)

// stableAfter is how long a watch has to last to be no failure.
const stableAfter = Time(1e6)

// Machine follows one prefix. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	rng      *rand.Rand
	now      Time
	actions  []Action // of this step

	// The call that is out.
	state             state
	call              CallID
	member            int
	failures          int // in a row
	hasToken          bool
	deadline          Time // of what the state waits for
	watchingSince     Time
	progressRequested bool // of the watch
	rollbackSuspected bool // a watch began behind what is known, and the list was read again

	// What is known.
	table       *keyTable // as of revision
	cluster     uint64
	generation  int // how often the cluster's revisions have begun again
	revision    int64
	hasRevision bool
	lastReadAt  Time // of the complete list

	// A complete list that is being read.
	pages           *keyTable
	pagesRevision   int64 // 0 before the first page
	nextKey         string
	pagesForResync  bool // it was begun after the view had requested one
	resyncRequested bool // the view has, and has not had it yet

	// A report of a watch of which fragments have come.
	fragments         []KV
	fragmentsRevision int64
}

// New makes the machine of one relay, which draws from its own seed.
func New(s Settings, seed uint64) (*Machine, error) {
	if s.PageSize == 0 {
		return nil, errors.New("etcd: settings were not made by DefaultSettings")
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	m := &Machine{settings: s, rng: rand.New(rand.NewPCG(seed, 0xe7cd))}
	m.member = m.rng.IntN(s.Members) // a fleet does not call one member
	return m, nil
}

// NextDeadline is when to call Step though nothing has happened.
func (m *Machine) NextDeadline() Time { return max(m.deadline, 1) }

// Step takes what has happened by now, and returns what is to be done.
func (m *Machine) Step(now Time, events []Event) []Action {
	m.beginStep(now)
	for _, e := range events {
		if e.callID() == m.call && m.state != backingOff {
			m.handle(e)
		}
	}
	if m.now >= m.deadline {
		m.handleTimeout()
	}
	return m.takeActions()
}

// Resync has the complete list read again, for a view that wants removals confirmed.
func (m *Machine) Resync(now Time) []Action {
	m.beginStep(now)
	if m.state == reading && m.pagesForResync {
		return m.takeActions()
	}
	m.resyncRequested = true // a read that is on began before
	if m.state == watching || m.state == openingWatch {
		m.cancelCall()
		m.startNextCall()
	}
	return m.takeActions()
}

func (m *Machine) beginStep(now Time) { m.now, m.actions = max(now, m.now), nil }

func (m *Machine) takeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) logf(format string, args ...any) {
	m.emit(&LogMessage{Text: fmt.Sprintf(format, args...)})
}

// newUpdate is an update as of what is known.
func (m *Machine) newUpdate() *membership.Update {
	// Revisions belong to a cluster, and to how often it has been restored from a backup.
	epoch := fmt.Sprintf("%016x.%d", m.cluster, m.generation)
	return &membership.Update{Source: m.settings.Source, Epoch: epoch, Revision: m.revision}
}

// startNextCall goes on from what is known, or reads it first.
func (m *Machine) startNextCall() {
	m.fragments, m.fragmentsRevision, m.progressRequested = nil, 0, false
	switch {
	case m.settings.AuthRequired && !m.hasToken:
		call := m.beginCall(authenticating, m.settings.OpenTimeout)
		m.emit(&Authenticate{Call: call, Member: m.member})
	case !m.hasRevision || m.resyncRequested:
		m.pages, m.pagesRevision = newKeyTable(m.settings.Prefix), 0
		m.nextKey = root(m.settings.Prefix)
		m.pagesForResync = m.resyncRequested
		m.readPage()
	default:
		m.openWatch()
	}
}

// beginCall books a call, and until when its answer is waited for.
func (m *Machine) beginCall(s state, timeout Time) CallID {
	m.state, m.call, m.deadline = s, m.call+1, m.now+timeout
	return m.call
}

// cancelCall gives up the call that is out.
func (m *Machine) cancelCall() { m.emit(&CancelCall{Call: m.call}) }

func (m *Machine) readPage() {
	m.emit(&ReadPage{
		Call:     m.beginCall(reading, m.settings.ReadTimeout),
		Member:   m.member,
		Key:      m.nextKey,
		RangeEnd: RangeEnd(root(m.settings.Prefix)),
		Revision: m.pagesRevision,
		Limit:    m.settings.PageSize,
	})
}

func (m *Machine) openWatch() {
	m.emit(&OpenWatch{
		Call:         m.beginCall(openingWatch, m.settings.OpenTimeout),
		Member:       m.member,
		Key:          root(m.settings.Prefix),
		RangeEnd:     RangeEnd(root(m.settings.Prefix)),
		FromRevision: m.revision + 1,
	})
}

// retryNextMember calls the next member at once, and backs off after each round of members
// that all failed.
func (m *Machine) retryNextMember(why string) {
	m.failures++
	m.logf("member %d: %s", m.member, why)
	m.member = (m.member + 1) % m.settings.Members
	m.pages = nil
	round := max(m.settings.Members, 2)
	if m.failures%round != 0 {
		m.startNextCall()
		return
	}
	const maxDoublings = 16
	m.state = backingOff
	backoff := m.settings.MinBackoff << min(m.failures/round-1, maxDoublings)
	backoff = min(backoff, m.settings.MaxBackoff)
	m.deadline = m.now + backoff/2 + Time(m.rng.Float64()*float64(backoff))
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
		m.progressRequested = true
		m.deadline = m.now + m.settings.ProgressTimeout
		m.emit(&RequestProgress{Call: m.call})
	default:
		m.cancelCall()
		m.retryNextMember(timeoutText(m.state))
	}
}

func timeoutText(s state) string {
	switch s {
	case authenticating:
		return "no token in time"
	case reading:
		return "no list in time"
	case openingWatch:
		return "no watch in time"
	}
	return "the watch is silent"
}
