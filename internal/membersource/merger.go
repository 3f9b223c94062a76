// Package membersource merges two endpoint lists for a relay: that of the discovery registry and that in etcd.
// A Merger applies the updates of both to a membership.View, publishes the changes of the view,
// saves the view to disk, and runs the helper process that watches etcd.
//
// A separate process watches etcd because the client libraries of etcd would enlarge every relay.
// Package membership decides which updates to accept.
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

// Names of the sources in the members file and in logs.
const (
	etcdName     = "etcd"
	registryName = "registry"
)

const (
	etcdStaleAfter     = membership.Time(10e6) // 10 s
	registryStaleAfter = membership.Time(20e6) // 20 s
	noDeadline         = time.Hour             // time until the next step if nothing is due
)

// Options are the parameters of New.
type Options struct {
	RegistryFirst  bool   // the registry takes precedence over etcd; else etcd does
	StateDir       string // directory of the members file
	Log            *slog.Logger
	OnChange       func(*core.EndpointList) // called with each change, in order
	ResyncRegistry func()                   // must cause a fetch of the registry's complete list
	// HelperCommand returns the command of the helper process that watches etcd. nil selects the
	// program troutusher-kit in the directory of this program.
	HelperCommand func() (*exec.Cmd, error)
}

// sourceEvent is a queued event. With a callback it asks for a call of that function once all events
// queued before it have been published. Otherwise it is an update of a source or, if update is nil, a
// heartbeat of the source.
type sourceEvent struct {
	source   int
	update   *membership.Update
	callback func()
}

// Merger merges the sources into the view of the endpoints.
type Merger struct {
	options        Options
	queue          *mailbox.Mailbox[sourceEvent]
	etcdResync     chan struct{} // holds a value while a resync request waits to be sent to the helper
	startedAt      time.Time
	path           string // of the members file
	etcd, registry int    // indexes of the view's sources

	// Used only by Restore and then by Run's goroutine.
	view             *membership.View
	registryRevision int64  // revision of the registry's latest list; lists published for either source carry it
	resyncRequested  []bool // by source: the view wants the source's complete list read again
	resyncEpoch      string // the registry's epoch when its resync was last requested
	// An update can be a change to an earlier list, its base, of the same epoch. missingBaseEpoch is the last
	// epoch in which the registry sent a change whose base the view does not have.
	missingBaseEpoch string
	unsaved          bool
	saveNow          bool // a drain or a removal was published
	lastSaved        time.Time
}

// New returns a Merger. Call Restore and then Run to start it.
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

// now returns the time on the view's clock, which starts at 1 with the Merger: the view uses 0 for no time.
func (m *Merger) now() membership.Time { return 1 + time.Since(m.startedAt).Microseconds() }

// RegistryList queues an update from the registry: its complete list, or the members that changed.
func (m *Merger) RegistryList(epoch string, list *core.EndpointList) {
	m.enqueue(m.registry, &membership.Update{
		Epoch: epoch, Revision: list.Revision, Complete: list.Complete, Members: list.Members,
	})
}

// RegistryHeartbeat queues a heartbeat: the registry is alive and its list has not changed.
func (m *Merger) RegistryHeartbeat() { m.enqueue(m.registry, nil) }

// enqueue queues an update of a source, or a heartbeat if the update is nil.
func (m *Merger) enqueue(source int, u *membership.Update) {
	m.queue.Put(sourceEvent{source: source, update: u})
}

// AfterQueued queues a function to be called when all events queued before it have been published.
func (m *Merger) AfterQueued(callback func()) {
	m.queue.Put(sourceEvent{source: -1, callback: callback})
}

// Run merges until ctx ends. It then saves nothing more, since the members file may already belong
// to another process.
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

// step handles the queued events, publishes the changes, and returns the time until the next step.
// It saves drains and removals at once, so that a restart does not revoke them.
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

// apply applies an update to the view.
func (m *Merger) apply(source int, u *membership.Update) {
	u.Source = source
	if source == m.registry {
		m.registryRevision = u.Revision
		// A resync starts a new epoch: a complete list of the epoch in which it was requested does not answer it.
		u.Resync = u.Complete && m.resyncRequested[source] && u.Epoch != m.resyncEpoch
	}
	m.unsaved = true
	verdict := m.view.Apply(m.now(), u)
	if verdict == membership.ResyncRequired && source == m.registry && u.Epoch != m.missingBaseEpoch {
		// The watch of the registry continues from the list that the relay's event loop started with, and the
		// update is a change to that list. But the view knows the list under another epoch, so it cannot apply
		// the change. So fetch the complete list instead, once per epoch.
		m.missingBaseEpoch = u.Epoch
		m.options.ResyncRegistry()
	}
	if verdict == membership.Outdated || verdict == membership.ResyncRequired {
		m.options.Log.Warn("members: rejected an update, keeping the previous list", "source", m.sourceName(source),
			"epoch", u.Epoch, "revision", u.Revision, "verdict", verdict.String())
	}
}

// publishChanges publishes the changes that are due, one list for each step of the view.
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

// publish publishes the changed members, if there are any.
func (m *Merger) publish(members []core.Member) {
	if len(members) > 0 {
		m.options.OnChange(&core.EndpointList{Revision: m.registryRevision, Members: members})
	}
}

// requestResyncs causes a resync of each source for which the view requests one, once for each request. The
// view requests it when a source removes more endpoints than the limit: it holds the removals until a complete
// list that was read afterwards confirms them.
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
	default: // the previous request has not been sent to the helper yet
	}
}
