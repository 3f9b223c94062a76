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

	"troutusher/internal/core"
	"troutusher/internal/mailbox"
	"troutusher/internal/membership"
	"troutusher/internal/operatorconfig"
	"troutusher/policy"
)

// Where etcd is followed beside discovery, both hand their words to one view, and
// the loop hears what changes in that. What follows etcd is a process of its own: the
// libraries that speak its protocol would weigh on every relay.

const (
	helperName          = "troutusher-kit"
	membersFile         = "members"
	minHelperBackoff    = 200 * time.Millisecond // doubles with each helper that ends
	maxHelperBackoff    = 5 * time.Second
	stableHelperRun     = 10 * time.Second // one that lasted so long was none in vain
	membersSaveInterval = time.Second
	maxHelperLineBytes  = 256 << 20 // bytes of one word
	etcdStaleAfter      = membership.Time(10e6)
	registryStaleAfter  = membership.Time(20e6)
)

// helperCommand starts what follows etcd. Tests alone change it.
var helperCommand = func() (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return exec.Command(filepath.Join(filepath.Dir(self), helperName), "follow"), nil
}

// helperMessage is what the helper says.
type helperMessage struct {
	Update    *membership.Update `json:"word"`
	Heartbeat bool               `json:"alive"`
}

// sourceEvent is what a source says; or a function that is called once all before it has
// been told on.
type sourceEvent struct {
	source   int
	update   *membership.Update
	callback func()
}

// memberMerger owns the view.
type memberMerger struct {
	log            *slog.Logger
	view           *membership.View
	queue          *mailbox.Mailbox[sourceEvent]
	emitEvent      func(core.Event) // in order
	resyncRegistry func()           // has discovery's list read anew
	etcdResync     chan struct{}    // has the helper read etcd's
	startedAt      time.Time
	path           string

	etcd, registry   int
	registryRevision int64  // of discovery's list
	resyncRequested  []bool // of sources: for their whole list
	resyncEpoch      string // the registry's epoch then
	missingBaseEpoch string // its epoch as a change came that builds on nothing known
	dirty            bool   // to be kept when its turn comes
	urgent           bool   // to be kept now: a drain or an end
	lastSaved        time.Time
}

func newMemberMerger(e *operatorconfig.Etcd, state string, log *slog.Logger, tell func(core.Event), again func()) (*memberMerger, error) {
	m := &memberMerger{log: log, queue: mailbox.New[sourceEvent](), emitEvent: tell, resyncRegistry: again, etcdResync: make(chan struct{}, 1), startedAt: time.Now(),
		path: filepath.Join(state, membersFile), registry: 1, resyncRequested: make([]bool, 2)}
	sources := []membership.Source{{Name: "etcd", StaleAfter: etcdStaleAfter}, {Name: "registry", StaleAfter: registryStaleAfter}}
	if e.Precedence == "registry" {
		m.etcd, m.registry = 1, 0
		sources[0], sources[1] = sources[1], sources[0]
	}
	var err error
	m.view, err = membership.New(membership.DefaultSettings(sources...))
	return m, err
}

func (m *memberMerger) now() membership.Time { return 1 + time.Since(m.startedAt).Microseconds() }

// enqueue hands on what a source says, in its order.
func (m *memberMerger) enqueue(source int, w *membership.Update) {
	m.queue.Put(sourceEvent{source: source, update: w})
}

// enqueueCallback calls a function once all that was said before has been told on.
func (m *memberMerger) enqueueCallback(then func()) {
	m.queue.Put(sourceEvent{source: -1, callback: then})
}

// start begins with what an earlier process knew, and with the list that the loop
// goes by, of which it need not be told.
func (m *memberMerger) start(list *EndpointList) {
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
	if _, _, known := m.view.Position(m.registry); !known {
		m.view.Apply(m.now(), &membership.Update{Source: m.registry, Epoch: "before", Revision: list.Revision, Complete: true, Members: list.Members})
	}
	m.registryRevision = list.Revision
	// The loop is told of what differs: what was draining by etcd's word may be up in
	// its list.
	have := map[string]core.Member{}
	for _, x := range list.Members {
		have[x.ID] = x
	}
	var events []core.Member
	for m.view.NextDeadline() <= m.now() && m.view.NextDeadline() > 0 {
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

func (m *memberMerger) emit(all []core.Member) {
	if len(all) > 0 {
		m.emitEvent(core.EndpointListUpdated{List: &EndpointList{Revision: m.registryRevision, Members: all}, Kind: policy.ListDelta})
	}
}

// run merges until ctx ends. What is not kept by then is left: the file may be
// another process's already.
func (m *memberMerger) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		timer.Reset(m.step())
		select {
		case <-ctx.Done():
		case <-m.queue.Ready():
		case <-timer.C:
		}
	}
}

// step takes what was said, tells on what has changed, and gives the time until
// there is more to do. A drain is kept at once, so that a start does not take it back.
func (m *memberMerger) step() (wait time.Duration) {
	got := m.queue.TakeAll(nil)
	for i := range got {
		m.handle(&got[i])
	}
	m.publishChanges()
	for _, n := range m.view.TakeWarnings() {
		m.log.Warn("members: "+n.Text, "source", m.sourceName(n.Source), "endpoint", n.ID, "count", n.Count)
	}
	m.requestResyncs()
	wait = time.Hour
	if left := membersSaveInterval - time.Since(m.lastSaved); m.urgent || m.dirty && left <= 0 {
		m.save()
	} else if m.dirty {
		wait = left
	}
	if at := m.view.NextDeadline(); at > 0 {
		wait = min(wait, time.Duration(max(at-m.now(), 0))*time.Microsecond)
	}
	return wait
}

func (m *memberMerger) sourceName(source int) string {
	if source == m.etcd {
		return "etcd"
	}
	return "registry"
}

func (m *memberMerger) handle(s *sourceEvent) {
	switch {
	case s.callback != nil:
		m.publishChanges()
		s.callback()
	case s.update == nil:
		m.view.Heartbeat(m.now(), s.source)
	default:
		w := s.update
		if w.Source = s.source; s.source == m.registry {
			m.registryRevision = w.Revision
			w.Resync = w.Complete && m.resyncRequested[s.source] && w.Epoch != m.resyncEpoch
		}
		m.dirty = true
		v := m.view.Apply(m.now(), w)
		if v == membership.ResyncRequired && s.source == m.registry && w.Epoch != m.missingBaseEpoch {
			// It follows the list that the loop began with, which the view has from
			// elsewhere: the whole one is had in its place.
			m.missingBaseEpoch = w.Epoch
			m.resyncRegistry()
		}
		if v == membership.Outdated || v == membership.ResyncRequired {
			m.log.Warn("members: a word is of no use", "source", m.sourceName(s.source), "epoch", w.Epoch, "revision", w.Revision, "verdict", v.String())
		}
	}
}

// publishChanges tells on what has changed by now, in pieces.
func (m *memberMerger) publishChanges() {
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

// requestResyncs has sources read anew whose loss is not believed, once for each.
func (m *memberMerger) requestResyncs() {
	for _, source := range []int{m.etcd, m.registry} {
		asks := m.view.ResyncRequested(source)
		if asks && !m.resyncRequested[source] {
			if source == m.etcd {
				select {
				case m.etcdResync <- struct{}{}:
				default:
				}
			} else {
				m.resyncEpoch, _, _ = m.view.Position(source)
				m.resyncRegistry()
			}
		}
		m.resyncRequested[source] = asks
	}
}

// save keeps what the sources have said, whole or not at all.
func (m *memberMerger) save() {
	m.dirty, m.urgent, m.lastSaved = false, false, time.Now()
	text, err := json.Marshal(m.view.Export(m.now()))
	if err == nil {
		err = renameio.WriteFile(m.path, text, 0o600)
	}
	if err != nil {
		m.log.Warn("members: not kept", "err", err)
	}
}

// superviseHelper runs the helper until ctx ends, again and again.
func (m *memberMerger) superviseHelper(ctx context.Context) {
	for pause := minHelperBackoff; ctx.Err() == nil; {
		began := time.Now()
		err := m.runHelper(ctx)
		if ctx.Err() != nil {
			return
		}
		m.log.Warn("members: the helper that follows etcd has ended", "err", err)
		if time.Since(began) > stableHelperRun {
			pause = minHelperBackoff
		}
		sleep(ctx, pause)
		pause = min(2*pause, maxHelperBackoff)
	}
}

// runHelper runs one helper to its end. It ends with its input, also where this process
// is killed.
func (m *memberMerger) runHelper(ctx context.Context) error {
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
			case <-m.etcdResync:
				if _, err := io.WriteString(in, "anew\n"); err != nil {
					return
				}
			}
		}
	}()
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxHelperLineBytes)
	for lines.Scan() {
		var l helperMessage
		if err = json.Unmarshal(lines.Bytes(), &l); err != nil {
			err = fmt.Errorf("the helper says what makes no sense: %w", err)
			break
		}
		if l.Update != nil || l.Heartbeat {
			m.enqueue(m.etcd, l.Update)
		}
	}
	cancel()
	cmd.Process.Kill()
	return errors.Join(err, lines.Err(), cmd.Wait())
}
