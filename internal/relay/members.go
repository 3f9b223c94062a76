package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"

	"troutusher/decide"
	"troutusher/internal/core"
	"troutusher/internal/membership"
	"troutusher/internal/operator"
)

// Where etcd is followed beside discovery, both hand their words to one view, and
// the loop hears what changes in that. What follows etcd is a process of its own: the
// libraries that speak its protocol would weigh on every relay.

const (
	helperName  = "troutusher-kit"
	membersFile = "members"
	helperPause = 200 * time.Millisecond // doubles with each helper that ends
	helperMost  = 5 * time.Second
	helperLong  = 10 * time.Second // one that lasted so long was none in vain
	membersSave = time.Second
	lineMost    = 256 << 20 // bytes of one word
	etcdStale   = membership.Time(10e6)
	listStale   = membership.Time(20e6)
)

// helperCommand starts what follows etcd. Tests alone change it.
var helperCommand = func() (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return exec.Command(filepath.Join(filepath.Dir(self), helperName), "follow"), nil
}

// helperLine is what the helper says.
type helperLine struct {
	Word  *membership.Word `json:"word"`
	Alive bool             `json:"alive"`
}

// said is what a source says; or a function that is called once all before it has
// been told on.
type said struct {
	source int
	word   *membership.Word
	then   func()
}

// members owns the view.
type members struct {
	log   *slog.Logger
	view  *membership.View
	in    *Mailbox[said]
	tell  func(core.Event) // in order
	again func()           // has discovery's list read anew
	anew  chan struct{}    // has the helper read etcd's
	began time.Time
	path  string

	etcd, registry int
	rev            int64  // of discovery's list
	asked          []bool // of sources: for their whole list
	askedAt        string // the registry's epoch then
	neededAt       string // its epoch as a change came that builds on nothing known
	dirty          bool   // to be kept when its turn comes
	urgent         bool   // to be kept now: a drain or an end
	saved          time.Time
}

func newMembers(e *operator.Etcd, state string, log *slog.Logger, tell func(core.Event), again func()) (*members, error) {
	m := &members{log: log, in: newMailbox[said](), tell: tell, again: again, anew: make(chan struct{}, 1), began: time.Now(),
		path: filepath.Join(state, membersFile), registry: 1, asked: make([]bool, 2)}
	sources := []membership.Source{{Name: "etcd", Stale: etcdStale}, {Name: "registry", Stale: listStale}}
	if e.First == "registry" {
		m.etcd, m.registry = 1, 0
		sources[0], sources[1] = sources[1], sources[0]
	}
	var err error
	m.view, err = membership.New(membership.Default(sources...))
	return m, err
}

func (m *members) now() membership.Time { return 1 + time.Since(m.began).Microseconds() }

// put hands on what a source says, in its order.
func (m *members) put(source int, w *membership.Word) { m.in.Put(said{source: source, word: w}) }

// after calls a function once all that was said before has been told on.
func (m *members) after(then func()) { m.in.Put(said{source: -1, then: then}) }

// seed begins with what an earlier process knew, and with the list that the loop
// goes by, of which it need not be told.
func (m *members) seed(list *List) {
	text, err := os.ReadFile(m.path)
	st := &membership.State{}
	if err == nil {
		err = json.Unmarshal(text, st)
	}
	if err == nil {
		m.view.Import(m.now(), st)
	} else if !errors.Is(err, os.ErrNotExist) {
		m.log.Warn("members: set aside, nothing is remembered", "err", err)
	}
	if _, _, known := m.view.Known(m.registry); !known {
		m.view.Take(m.now(), &membership.Word{Source: m.registry, Epoch: "before", Revision: list.Revision, Whole: true, Members: list.Members})
	}
	m.rev = list.Revision
	// The loop is told of what differs: what was draining by etcd's word may be up in
	// its list.
	have := map[string]core.Member{}
	for _, x := range list.Members {
		have[x.ID] = x
	}
	var events []core.Member
	for m.view.Next() <= m.now() && m.view.Next() > 0 {
		if len(m.view.Step(m.now())) == 0 {
			break
		}
	}
	for _, x := range m.view.Members() {
		if have[x.ID] != x {
			events = append(events, x)
		}
	}
	m.emit(events)
}

func (m *members) emit(all []core.Member) {
	if len(all) > 0 {
		m.tell(core.Event{Kind: core.EndpointListUpdated, List: &List{Revision: m.rev, Members: all}, News: decide.ListDelta})
	}
}

// run merges until ctx ends. What is not kept by then is left: the file may be
// another process's already.
func (m *members) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		timer.Reset(m.turn())
		select {
		case <-ctx.Done():
		case <-m.in.ready:
		case <-timer.C:
		}
	}
}

// turn takes what was said, tells on what has changed, and gives the time until
// there is more to do. A drain is kept at once, so that a start does not take it back.
func (m *members) turn() (wait time.Duration) {
	got := m.in.TakeAll(nil)
	for i := range got {
		m.take(&got[i])
	}
	m.tellOn()
	for _, n := range m.view.Notes() {
		m.log.Warn("members: "+n.Text, "source", m.name(n.Source), "endpoint", n.ID, "count", n.Count)
	}
	m.ask()
	wait = time.Hour
	if left := membersSave - time.Since(m.saved); m.urgent || m.dirty && left <= 0 {
		m.save()
	} else if m.dirty {
		wait = left
	}
	if at := m.view.Next(); at > 0 {
		wait = min(wait, time.Duration(max(at-m.now(), 0))*time.Microsecond)
	}
	return wait
}

func (m *members) name(source int) string {
	if source == m.etcd {
		return "etcd"
	}
	return "registry"
}

func (m *members) take(s *said) {
	switch {
	case s.then != nil:
		m.tellOn()
		s.then()
	case s.word == nil:
		m.view.Heard(m.now(), s.source)
	default:
		w := s.word
		if w.Source = s.source; s.source == m.registry {
			m.rev = w.Revision
			w.Anew = w.Whole && m.asked[s.source] && w.Epoch != m.askedAt
		}
		m.dirty = true
		v := m.view.Take(m.now(), w)
		if v == membership.Needed && s.source == m.registry && w.Epoch != m.neededAt {
			// It follows the list that the loop began with, which the view has from
			// elsewhere: the whole one is had in its place.
			m.neededAt = w.Epoch
			m.again()
		}
		if v == membership.Old || v == membership.Needed {
			m.log.Warn("members: a word is of no use", "source", m.name(s.source), "epoch", w.Epoch, "revision", w.Revision, "verdict", v.String())
		}
	}
}

// tellOn tells on what has changed by now, in pieces.
func (m *members) tellOn() {
	for {
		changes := m.view.Step(m.now())
		if len(changes) == 0 {
			return
		}
		m.dirty = true
		all := make([]core.Member, 0, len(changes))
		for _, c := range changes {
			m.urgent = m.urgent || c.Phase != membership.Up
			all = append(all, c.Member)
		}
		m.emit(all)
	}
}

// ask has sources read anew whose loss is not believed, once for each.
func (m *members) ask() {
	for _, source := range []int{m.etcd, m.registry} {
		asks := m.view.Asks(source)
		if asks && !m.asked[source] {
			if source == m.etcd {
				select {
				case m.anew <- struct{}{}:
				default:
				}
			} else {
				m.askedAt, _, _ = m.view.Known(source)
				m.again()
			}
		}
		m.asked[source] = asks
	}
}

// save keeps what the sources have said, whole or not at all.
func (m *members) save() {
	m.dirty, m.urgent, m.saved = false, false, time.Now()
	text, err := json.Marshal(m.view.Export(m.now()))
	if err == nil {
		err = renameio.WriteFile(m.path, text, 0o600)
	}
	if err != nil {
		m.log.Warn("members: not kept", "err", err)
	}
}

// help runs the helper until ctx ends, again and again.
func (m *members) help(ctx context.Context) {
	for pause := helperPause; ctx.Err() == nil; {
		began := time.Now()
		err := m.helped(ctx)
		if ctx.Err() != nil {
			return
		}
		m.log.Warn("members: the helper that follows etcd has ended", "err", err)
		if time.Since(began) > helperLong {
			pause = helperPause
		}
		sleep(ctx, pause)
		pause = min(2*pause, helperMost)
	}
}

// helped runs one helper to its end. It ends with its input, also where this process
// is killed.
func (m *members) helped(ctx context.Context) error {
	cmd, err := helperCommand()
	if err != nil {
		return err
	}
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", helperName, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer in.Close()
		for {
			select {
			case <-ctx.Done():
				return
			case <-m.anew:
				if _, err := io.WriteString(in, "anew\n"); err != nil {
					return
				}
			}
		}
	}()
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, lineMost)
	for lines.Scan() {
		var l helperLine
		if err = json.Unmarshal(lines.Bytes(), &l); err != nil {
			err = fmt.Errorf("the helper says what makes no sense: %w", err)
			break
		}
		if l.Word != nil || l.Alive {
			m.put(m.etcd, l.Word)
		}
	}
	cancel()
	cmd.Process.Kill()
	return errors.Join(err, lines.Err(), cmd.Wait())
}
