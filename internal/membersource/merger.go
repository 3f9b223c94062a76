// Package membersource merges the endpoint lists of discovery's registry and of etcd for
// a relay: a Merger hands updates of both to a membership.View, publishes what changes in
// it, keeps it on disk, and runs the helper process that follows etcd.
//
// etcd is followed by a process of its own, since the libraries that speak its protocol
// would weigh on every relay. What is believed is membership's to decide.
package membersource

import (
	"context"
	"log/slog"
	"os/exec"
	"path/filepath"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/mailbox"
	"troutusher/internal/membership"
)

// Names of the sources.
const (
	etcdName     = "etcd"
	registryName = "registry"
)

const (
	etcdStaleAfter     = membership.Time(10e6)
	registryStaleAfter = membership.Time(20e6)
	noDeadline         = time.Hour
)

// Options are what a Merger needs.
type Options struct {
	RegistryFirst  bool   // the registry takes precedence; else etcd does
	StateDir       string // of the members file
	Log            *slog.Logger
	OnChange       func(*core.EndpointList) // called in order
	ResyncRegistry func()                   // has the registry's complete list fetched again
	// HelperCommand makes the command of the helper; nil for the kit program that lies
	// beside this one.
	HelperCommand func() (*exec.Cmd, error)
}

// sourceEvent is an update or, without one, a heartbeat of a source; or a callback, due
// once what was queued before has been published.
type sourceEvent struct {
	source   int
	update   *membership.Update
	callback func()
}

// Merger owns the view of the endpoints.
type Merger struct {
	options        Options
	queue          *mailbox.Mailbox[sourceEvent]
	etcdResync     chan struct{} // holds a value while the helper is to read the complete list
	startedAt      time.Time
	path           string
	etcd, registry int // sources of the view

	// Of Restore and then of Run's goroutine.
	view             *membership.View
	registryRevision int64
	resyncRequested  []bool // by source: its complete list
	resyncEpoch      string // the registry's epoch then
	missingBaseEpoch string // the registry's epoch at a change of a list that is not known
	unsaved          bool
	saveNow          bool // an endpoint drains or is removed
	lastSaved        time.Time
}

// New makes a Merger; Restore and then Run have it begin.
func New(o Options) (*Merger, error) {
	m := &Merger{
		options:         o,
		queue:           mailbox.New[sourceEvent](),
		etcdResync:      make(chan struct{}, 1),
		startedAt:       time.Now(),
		path:            filepath.Join(o.StateDir, FileName),
		etcd:            0,
		registry:        1,
		resyncRequested: make([]bool, 2),
	}
	sources := []membership.Source{
		{Name: etcdName, StaleAfter: etcdStaleAfter},
		{Name: registryName, StaleAfter: registryStaleAfter},
	}
	if o.RegistryFirst {
		m.etcd, m.registry = 1, 0
		sources[0], sources[1] = sources[1], sources[0]
	}
	if o.HelperCommand == nil {
		m.options.HelperCommand = kitCommand
	}
	var err error
	m.view, err = membership.New(membership.DefaultSettings(sources...))
	return m, err
}

// now is the view's clock, which begins with the Merger.
func (m *Merger) now() membership.Time { return 1 + time.Since(m.startedAt).Microseconds() }

// RegistryList queues a list of the registry, complete or a change.
func (m *Merger) RegistryList(epoch string, list *core.EndpointList) {
	m.enqueue(m.registry, &membership.Update{
		Epoch: epoch, Revision: list.Revision, Complete: list.Complete, Members: list.Members,
	})
}

// RegistryHeartbeat queues that the registry is alive and has nothing new.
func (m *Merger) RegistryHeartbeat() { m.enqueue(m.registry, nil) }

// enqueue queues an update of a source, or a heartbeat where it is nil.
func (m *Merger) enqueue(source int, u *membership.Update) {
	m.queue.Put(sourceEvent{source: source, update: u})
}

// AfterQueued calls a function once all that was queued before has been published.
func (m *Merger) AfterQueued(callback func()) {
	m.queue.Put(sourceEvent{source: -1, callback: callback})
}

// Run merges until ctx ends. What is not saved by then is left: the file may be another
// process's already.
func (m *Merger) Run(ctx context.Context) {
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

// step handles what is queued, publishes what has changed, and returns the time until the
// next step. A drain is saved at once, so that a restart does not revoke it.
func (m *Merger) step() (wait time.Duration) {
	events := m.queue.TakeAll(nil)
	for i := range events {
		m.handle(&events[i])
	}
	m.publishChanges()
	for _, w := range m.view.TakeWarnings() {
		m.options.Log.Warn("members: "+w.Text, "source", m.sourceName(w.Source), "endpoint", w.ID, "count", w.Count)
	}
	m.requestResyncs()
	wait = noDeadline
	untilSave := saveInterval - time.Since(m.lastSaved)
	switch {
	case m.saveNow || m.unsaved && untilSave <= 0:
		m.save()
	case m.unsaved:
		wait = untilSave
	}
	if at := m.view.NextDeadline(); at > 0 {
		wait = min(wait, time.Duration(max(at-m.now(), 0))*time.Microsecond)
	}
	return wait
}

func (m *Merger) sourceName(source int) string {
	if source == m.etcd {
		return etcdName
	}
	return registryName
}

func (m *Merger) handle(e *sourceEvent) {
	switch {
	case e.callback != nil:
		m.publishChanges()
		e.callback()
	case e.update == nil:
		m.view.Heartbeat(m.now(), e.source)
	default:
		m.apply(e.source, e.update)
	}
}

// apply hands an update to the view.
func (m *Merger) apply(source int, u *membership.Update) {
	u.Source = source
	if source == m.registry {
		m.registryRevision = u.Revision
		u.Resync = u.Complete && m.resyncRequested[source] && u.Epoch != m.resyncEpoch
	}
	m.unsaved = true
	verdict := m.view.Apply(m.now(), u)
	if verdict == membership.ResyncRequired && source == m.registry && u.Epoch != m.missingBaseEpoch {
		// It is a change of the list that the event loop began with, which the view has
		// from elsewhere: the complete list is fetched instead.
		m.missingBaseEpoch = u.Epoch
		m.options.ResyncRegistry()
	}
	if verdict == membership.Outdated || verdict == membership.ResyncRequired {
		m.options.Log.Warn("members: a word is of no use", "source", m.sourceName(source),
			"epoch", u.Epoch, "revision", u.Revision, "verdict", verdict.String())
	}
}

// publishChanges publishes what has changed by now, a list for each step of the view.
func (m *Merger) publishChanges() {
	for {
		changes := m.view.Step(m.now())
		if len(changes) == 0 {
			return
		}
		m.unsaved = true
		members := make([]core.Member, 0, len(changes))
		for i := range changes {
			m.saveNow = m.saveNow || changes[i].Phase != membership.Up
			members = append(members, changes[i].Member)
		}
		m.publish(members)
	}
}

// publish publishes members that changed.
func (m *Merger) publish(members []core.Member) {
	if len(members) > 0 {
		m.options.OnChange(&core.EndpointList{Revision: m.registryRevision, Members: members})
	}
}

// requestResyncs has sources read again whose removals have to be confirmed, once for
// each request of the view.
func (m *Merger) requestResyncs() {
	for _, source := range []int{m.etcd, m.registry} {
		requested := m.view.ResyncRequested(source)
		if requested && !m.resyncRequested[source] {
			m.resync(source)
		}
		m.resyncRequested[source] = requested
	}
}

func (m *Merger) resync(source int) {
	if source == m.registry {
		m.resyncEpoch, _, _ = m.view.Position(source)
		m.options.ResyncRegistry()
		return
	}
	select {
	case m.etcdResync <- struct{}{}:
	default: // the helper has not taken the last request yet
	}
}
