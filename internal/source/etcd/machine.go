package etcd

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"troutusher/internal/membership"
)

// state is the state of the machine. In each state but backingOff, one call is open.
type state uint8

const (
	backingOff     state = iota // the next call begins at the deadline
	authenticating              // waits for a token
	reading                     // waits for a page of the complete list
	openingWatch                // waits for a watch to open
	watching                    // waits for reports of an open watch
)

// stableWatchDuration is the age at which an open watch resets the count of failures.
const stableWatchDuration = Time(1e6)

// Machine is the state machine that follows one prefix. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	rng      *rand.Rand
	now      Time
	actions  []Action // output of the current step

	// The open call.
	state             state
	call              CallID
	member            int // the member that is called
	failures          int // consecutive failed calls
	hasToken          bool
	deadline          Time // of the current state, see handleTimeout
	watchingSince     Time
	progressRequested bool // on the open watch, without an answer so far
	rollbackSuspected bool // a watch opened at a revision lower than ours, and we read the list again

	// The state of etcd as received so far.
	table       *keyTable // as of revision
	cluster     uint64    // cluster id
	generation  int       // number of times that the cluster was found restored from a backup
	revision    int64     // the next watch starts after it
	hasRevision bool      // if false, the complete list is read before the next watch
	lastReadAt  Time      // time at which the complete list was last read

	// The complete list while it is being read.
	partialTable    *keyTable
	readRevision    int64 // revision of all pages; 0 before the first page
	nextKey         string
	readForResync   bool // the read began after a resync was requested, see Resync
	resyncRequested bool // a resync was requested, and its complete list has not been passed on yet

	// The report of a watch while only some of its fragments have arrived.
	fragments         []KV
	fragmentsRevision int64 // revision of the last change in fragments
}

// New returns a machine. Each relay passes a seed of its own, so that relays differ in the
// member that they call first and in their backoff.
func New(s Settings, seed uint64) (*Machine, error) {
	if s.PageSize == 0 {
		return nil, errors.New("etcd: page size is 0: start from DefaultSettings")
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	m := &Machine{settings: s, rng: rand.New(rand.NewPCG(seed, 0xe7cd))}
	m.member = m.rng.IntN(s.Members) // spreads the relays of a fleet over the members
	return m, nil
}

// NextDeadline returns the time at which Step must be called even if there is no event. Before
// the first Step, which starts the first call, this is 1, the earliest time.
func (m *Machine) NextDeadline() Time { return max(m.deadline, 1) }

// Step handles the events that happened up to now, and returns the actions to execute.
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

// Resync starts a new read of the complete list. It is called when the membership.View that
// receives the updates holds removals back: the view applies them only if a complete list that
// was read after the request lacks these endpoints as well.
func (m *Machine) Resync(now Time) []Action {
	m.beginStep(now)
	if m.state == reading && m.readForResync {
		return m.takeActions()
	}
	m.resyncRequested = true // a read in progress does not count: it began before the request
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

// newUpdate returns an update at the current revision that contains no endpoints
// (membership.Member) yet.
func (m *Machine) newUpdate() *membership.Update {
	// Revisions can be compared only within one cluster, and only until it is restored from a
	// backup. The epoch therefore contains the cluster's id and the number of its restorations.
	epoch := fmt.Sprintf("%016x.%d", m.cluster, m.generation)
	return &membership.Update{Source: m.settings.Source, Epoch: epoch, Revision: m.revision}
}

// startNextCall starts the next call: it requests a token if one is needed, reads the
// complete list if there is none or a resync is requested, and opens a watch otherwise.
func (m *Machine) startNextCall() {
	m.fragments, m.fragmentsRevision, m.progressRequested = nil, 0, false
	switch {
	case m.settings.AuthRequired && !m.hasToken:
		call := m.beginCall(authenticating, m.settings.OpenTimeout)
		m.emit(&Authenticate{Call: call, Member: m.member})
	case !m.hasRevision || m.resyncRequested:
		m.partialTable, m.readRevision = newKeyTable(m.settings.Prefix), 0
		m.nextKey = root(m.settings.Prefix)
		m.readForResync = m.resyncRequested
		m.readPage()
	default:
		m.openWatch()
	}
}

// beginCall enters a state with a new call, and sets the deadline of the state.
func (m *Machine) beginCall(s state, timeout Time) CallID {
	m.state, m.call, m.deadline = s, m.call+1, m.now+timeout
	return m.call
}

// cancelCall cancels the open call.
func (m *Machine) cancelCall() { m.emit(&CancelCall{Call: m.call}) }

func (m *Machine) readPage() {
	m.emit(&ReadPage{
		Call:     m.beginCall(reading, m.settings.ReadTimeout),
		Member:   m.member,
		Key:      m.nextKey,
		RangeEnd: RangeEnd(root(m.settings.Prefix)),
		Revision: m.readRevision,
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

// retryNextMember counts a failure and switches to the next member. A round is as many
// consecutive failures as there are members, but at least two. Within a round, the next member
// is called at once. At the end of a round, the machine backs off first, longer after each round.
func (m *Machine) retryNextMember(reason string) {
	m.failures++
	m.logf("call to member %d failed: %s", m.member, reason)
	m.member = (m.member + 1) % m.settings.Members
	m.partialTable = nil
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

// handleTimeout handles the deadline of the current state: the end of the backoff, a watch
// that is due for a new read or has been silent, or a call without an answer.
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
		return "no token received in time"
	case reading:
		return "no page of the list received in time"
	case openingWatch:
		return "watch not opened in time"
	}
	return "silent watch did not answer a progress request in time"
}
