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
	Prefix  string
	Members int  // endpoints of the cluster, asked in turn
	Auth    bool // a token is asked for first
	Source  int  // in the view
	Page    int64
	// A watch that has said nothing for Quiet is asked for its progress, and given up
	// where it has not told it Answer later.
	Quiet, Answer Time
	Patience      Time // of a token, and of a watch that is opened
	Reading       Time // of a page
	PauseLeast    Time // between rounds of members in vain; doubles up to PauseMost
	PauseMost     Time
	// Refresh is after how long a watch the whole list is read once more: a cluster that
	// was put back from a copy under its old id, and has come as far again, cannot be
	// told from the one before.
	Refresh Time
}

// Default are figures by which a drain is heard within 2 s of its put, also where
// the watch has fallen silent and the two members asked next as well: 0.4 + 0.3 s
// until that is known, and 0.45 s for each of them.
func Default(prefix string, members int) Settings {
	return Settings{Prefix: prefix, Members: members, Page: 1000, Quiet: 400e3, Answer: 300e3, Patience: 450e3, Reading: 700e3, PauseLeast: 100e3, PauseMost: 3e6, Refresh: 300e6}
}

// Check tells what is wrong with settings.
func (s *Settings) Check() error {
	switch {
	case !strings.HasPrefix(s.Prefix, "/") || len(s.Prefix) > idMost || strings.Trim(s.Prefix, "/") == "":
		return fmt.Errorf("etcd: prefix %.40q: wants a path that begins with a slash", s.Prefix)
	case s.Members < 1:
		return errors.New("etcd: no endpoints")
	case s.Page < 1 || s.Quiet <= 0 || s.Answer <= 0 || s.Patience <= 0 || s.Reading <= 0 || s.PauseLeast <= 0 || s.PauseMost < s.PauseLeast || s.Refresh < s.Quiet:
		return errors.New("etcd: a figure is out of range")
	}
	return nil
}

// Kind is what happened.
type Kind uint8

// Kinds of event, and what comes with each. Those of a call name it; what comes of
// one that is over is of no account.
const (
	Authed   Kind = iota + 1 // a token was had, which the driver keeps
	Ranged                   // Cluster, Revision, KVs, More
	Watching                 // Cluster, Revision: the watch is open
	Changed                  // Cluster, Revision, KVs with their revisions, Fragment
	Progress                 // Revision: all up to it was told
	Failed                   // Why, Compacted: the call is over
)

// Why a call failed.
type Why uint8

// Reasons.
const (
	Unavailable Why = iota + 1 // the member is not there, has no leader, or has too much to do
	Compacted                  // the revision is no longer kept; Event.Revision from which one is
	Denied                     // the token is not known any more
	Refused                    // the request itself: another member would say the same
)

func (w Why) String() string {
	return [...]string{"none", "unavailable", "compacted", "denied", "refused"}[min(w, Refused)]
}

// Event is one thing that happened.
type Event struct {
	Kind     Kind
	Call     uint64
	Cluster  uint64
	Revision int64 // of the answer's header; of Compacted, the first that is kept
	KVs      []KV
	Last     int64 // of Changed: the revision of the last of them
	More     bool  // of Ranged: there are further keys
	Fragment bool  // of Changed: more of the same answer follows
	Why      Why
	Text     string // for the log
}

// Do is what is to be done.
type Do struct {
	Kind     DoKind
	Call     uint64
	Member   int
	Key, End string
	Revision int64 // of Range: at which, 0 for the newest; of Watch: the first
	Limit    int64
	Word     *membership.Word
	Text     string
}

// DoKind is what kind of thing is to be done.
type DoKind uint8

// Kinds of thing to be done, and what comes with each.
const (
	DoAuth     DoKind = iota + 1 // Call, Member
	DoRange                      // Call, Member, Key, End, Revision, Limit; linearizable where Revision is 0
	DoWatch                      // Call, Member, Key, End, Revision; fragments, a leader required
	DoProgress                   // Call: ask that watch for its progress
	DoClose                      // Call: give it up
	DoSay                        // Word: for the view
	DoAlive                      // the source has nothing new to say
	DoLog                        // Text
)

type state uint8

const (
	pausing state = iota
	authing
	ranging
	opening // a watch
	watching
)

// Machine follows one prefix.
type Machine struct {
	set    Settings
	rng    *rand.Rand
	state  state
	call   uint64
	member int
	fails  int  // in a row
	token  bool // there is one
	due    Time // of what the state waits for
	since  Time // watching: from when on
	read   Time // when the whole list was read last
	asked  bool // watching: its progress
	doubt  bool // a watch began behind what is known, and that was looked into

	table   *table // as of rev
	cluster uint64
	gen     int // how often its revisions have begun anew
	rev     int64
	known   bool

	reading *table // a whole list under way
	at      int64  // its revision
	from    string // its next key
	anew    bool   // it was begun after the view had asked for one
	wants   bool   // the view has, and has not had it yet
	pending []KV   // fragments
	last    int64
	now     Time
	out     []Do
}

// New makes the machine of one relay, which draws from its own seed.
func New(s Settings, seed uint64) (*Machine, error) {
	if s.Page == 0 {
		return nil, errors.New("etcd: settings were not made by Default")
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	m := &Machine{set: s, rng: rand.New(rand.NewPCG(seed, 0xe7cd))}
	m.member = m.rng.IntN(s.Members) // a fleet does not ask one member
	return m, nil
}

// Next is when to step though nothing comes.
func (m *Machine) Next() Time { return max(m.due, 1) }

// Known tells the revision up to which all is known.
func (m *Machine) Known() (int64, bool) { return m.rev, m.known }

// ReadAnew has the whole list read once more, for the view that does not believe a
// loss.
func (m *Machine) ReadAnew(now Time) []Do {
	m.begin(now)
	if m.state == ranging && m.anew {
		return m.done()
	}
	m.wants = true // also after the read that is on: it began before
	if m.state == watching || m.state == opening {
		m.close()
		m.start()
	}
	return m.done()
}

func (m *Machine) begin(now Time) { m.now, m.out = max(now, m.now), nil }

func (m *Machine) done() []Do {
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) do(d Do) { m.out = append(m.out, d) }

func (m *Machine) log(format string, a ...any) {
	m.do(Do{Kind: DoLog, Text: fmt.Sprintf(format, a...)})
}

// Step takes what happened by now.
func (m *Machine) Step(now Time, events []Event) []Do {
	m.begin(now)
	for i := range events {
		if e := &events[i]; e.Call == m.call && m.state != pausing {
			m.take(e)
		}
	}
	if m.now >= m.due {
		m.timeout()
	}
	return m.done()
}

// epoch is what revisions belong to: a cluster, and how often it has been put back.
func (m *Machine) epoch() string { return fmt.Sprintf("%016x.%d", m.cluster, m.gen) }

// next begins a call.
func (m *Machine) next(s state, patience Time) uint64 {
	m.state, m.call, m.due = s, m.call+1, m.now+patience
	return m.call
}

// close gives up the call that is out.
func (m *Machine) close() { m.do(Do{Kind: DoClose, Call: m.call}) }

// start goes on from what is known, or reads it first.
func (m *Machine) start() {
	m.pending, m.last, m.asked = nil, 0, false
	switch {
	case m.set.Auth && !m.token:
		m.do(Do{Kind: DoAuth, Call: m.next(authing, m.set.Patience), Member: m.member})
	case !m.known || m.wants:
		m.reading, m.at, m.from = newTable(m.set.Prefix), 0, Key(m.set.Prefix, "", "")
		m.from = strings.TrimSuffix(m.from, "/") // of "PREFIX//": all below it
		m.anew = m.wants
		m.page()
	default:
		m.watch()
	}
}

func (m *Machine) page() {
	m.do(Do{Kind: DoRange, Call: m.next(ranging, m.set.Reading), Member: m.member, Key: m.from, End: m.end(), Revision: m.at, Limit: m.set.Page})
}

func (m *Machine) end() string { return End(strings.TrimSuffix(m.set.Prefix, "/") + "/") }

func (m *Machine) watch() {
	m.do(Do{Kind: DoWatch, Call: m.next(opening, m.set.Patience), Member: m.member, Key: strings.TrimSuffix(m.set.Prefix, "/") + "/", End: m.end(), Revision: m.rev + 1})
}

// alive books that the watch has said something. One that has lasted for a while, or
// has told a change, is no failure; one that ends as it begins is, however often it
// begins.
func (m *Machine) alive() {
	m.due, m.asked = m.now+m.set.Quiet, false
	if m.now >= m.since+steady {
		m.fails = 0
	}
}

const steady = Time(1e6)

func (m *Machine) take(e *Event) {
	switch {
	case e.Kind == Failed:
		m.failed(e)
	case e.Kind == Authed && m.state == authing:
		m.token = true
		m.start()
	case e.Kind == Ranged && m.state == ranging:
		m.ranged(e)
	case e.Kind == Watching && m.state == opening:
		if m.moved(e) {
			return
		}
		m.state, m.since = watching, m.now
		m.alive()
		m.do(Do{Kind: DoAlive})
	case e.Kind == Changed && m.state == watching:
		if !m.moved(e) {
			m.changed(e)
		}
	case e.Kind == Progress && m.state == watching:
		if m.moved(e) {
			return
		}
		m.alive()
		if len(m.pending) == 0 && e.Revision > m.rev { // one that lies behind tells nothing
			m.rev = e.Revision
		}
		m.do(Do{Kind: DoAlive})
	}
}

// moved tells whether a watch is of another cluster than what is known, or maybe of
// one that was put back from a copy; then all is read once more. A member that lags
// behind looks like the second, and is told from it by that read: its watch catches
// up.
func (m *Machine) moved(e *Event) bool {
	other := e.Cluster != 0 && e.Cluster != m.cluster
	behind := e.Kind == Watching && e.Revision < m.rev // later words of a watch may lie behind
	if !behind && !other {
		m.doubt = m.doubt && e.Kind != Watching
		return false
	}
	if !other && m.doubt {
		return false
	}
	m.doubt = behind
	m.log("cluster %016x at revision %d answers, %016x was known up to %d: read anew", e.Cluster, e.Revision, m.cluster, m.rev)
	m.close()
	m.known = false
	m.start()
	return true
}

// ranged takes a page of the whole list.
func (m *Machine) ranged(e *Event) {
	if m.at == 0 {
		m.at = e.Revision
		switch {
		case !m.known && m.cluster == 0 && m.gen == 0:
			m.cluster = e.Cluster
		case e.Cluster != m.cluster:
			m.cluster, m.gen = e.Cluster, 0
		case e.Revision < m.rev: // a linearizable read does not go back
			m.gen++
			m.log("revision %d after %d: put back from a copy, nothing before it counts", e.Revision, m.rev)
		}
	} else if e.Cluster != m.cluster { // another one in the middle of it
		m.retry("another cluster answers")
		return
	}
	ids := map[string]bool{}
	for _, kv := range e.KVs {
		if bad := m.reading.put(kv, ids); bad != nil {
			m.log("cannot be read: %v", bad)
		}
	}
	if e.More && len(e.KVs) > 0 {
		m.from = e.KVs[len(e.KVs)-1].Key + "\x00"
		m.page()
		return
	}
	m.table, m.rev, m.known, m.reading = m.reading, m.at, true, nil
	w := &membership.Word{Source: m.set.Source, Epoch: m.epoch(), Revision: m.rev, Whole: true, Anew: m.anew}
	m.table.all(w)
	m.do(Do{Kind: DoSay, Word: w})
	m.wants, m.anew, m.read = m.wants && !m.anew, false, m.now
	m.start()
}

// changed takes events. What comes in fragments is one word.
func (m *Machine) changed(e *Event) {
	m.alive()
	m.pending = append(m.pending, e.KVs...)
	m.last = max(m.last, e.Last)
	if e.Fragment {
		return
	}
	kvs, last := m.pending, m.last
	m.pending, m.last = nil, 0
	if last <= m.rev { // told once already
		return
	}
	ids := map[string]bool{}
	for _, kv := range kvs {
		if bad := m.table.put(kv, ids); bad != nil {
			m.log("cannot be read: %v", bad)
		}
	}
	m.rev, m.fails = last, 0
	w := &membership.Word{Source: m.set.Source, Epoch: m.epoch(), Revision: m.rev}
	m.table.members(ids, w)
	m.do(Do{Kind: DoSay, Word: w})
}

// failed: the call is over.
func (m *Machine) failed(e *Event) {
	switch {
	case e.Why == Compacted && (m.state == opening || m.state == watching):
		m.log("revision %d is no longer kept (%d is): read anew", m.rev+1, e.Revision)
		m.known = false
		m.start()
		return
	case e.Why == Compacted: // under a long read
		m.start()
		return
	case e.Why == Denied && m.set.Auth:
		m.token = false
		m.log("the token is not known any more")
		if m.fails == 0 {
			m.fails++
			m.start()
			return
		}
	}
	m.retry(e.Why.String() + ": " + e.Text)
}

// retry goes to the next member at once, and pauses after each round in vain.
func (m *Machine) retry(why string) {
	m.fails++
	m.log("member %d: %s", m.member, why)
	m.member = (m.member + 1) % m.set.Members
	m.reading = nil
	if m.fails%max(m.set.Members, 2) != 0 {
		m.start()
		return
	}
	m.state = pausing
	pause := m.set.PauseLeast << min(m.fails/max(m.set.Members, 2)-1, 16)
	pause = min(pause, m.set.PauseMost)
	m.due = m.now + pause/2 + Time(m.rng.Float64()*float64(pause))
}

// timeout: what the state waits for has not come.
func (m *Machine) timeout() {
	switch {
	case m.state == pausing:
		m.start()
	case m.state == watching && !m.asked && m.now >= m.read+m.set.Refresh:
		m.close()
		m.known = false
		m.start()
	case m.state == watching && !m.asked:
		m.asked, m.due = true, m.now+m.set.Answer
		m.do(Do{Kind: DoProgress, Call: m.call})
	default:
		m.close()
		m.retry([...]string{"", "no token in time", "no list in time", "no watch in time", "the watch is silent"}[m.state])
	}
}
