package relay

import (
	"sync"
	"sync/atomic"

	"troutusher/internal/lifecycle"
	"troutusher/internal/respserver"
)

// processLifecycle is the duty of this process, for several goroutines.
type processLifecycle struct {
	mu             sync.Mutex
	machine        lifecycle.Machine
	server         *respserver.Server
	acceptsClients atomic.Bool // new clients are wanted
}

// transition makes one move and carries out what it asks for.
func (d *processLifecycle) transition(f func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action)) (bool, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, do := f(&d.machine)
	d.acceptsClients.Store(d.machine.AcceptsClients())
	switch {
	case d.server == nil:
	case do == lifecycle.CloseClients:
		d.server.CloseIdleConns()
	case do == lifecycle.KeepClients:
		d.server.KeepIdleConns()
	}
	return a.OK, a.Reason
}

// startServing is told when clients can be served.
func (d *processLifecycle) startServing(f *respserver.Server) {
	d.transition(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		d.server = f
		return lifecycle.Answer{}, m.StartServing()
	})
}

func (d *processLifecycle) stop() {
	d.transition(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) { return lifecycle.Answer{}, m.Stop() })
}

// duties during a hand-over.

func (d *processLifecycle) startHandover() (ok bool) {
	d.transition(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		ok = m.StartHandover()
		return lifecycle.Answer{}, lifecycle.NoAction
	})
	return ok
}

func (d *processLifecycle) resumeServing() {
	d.transition(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		return lifecycle.Answer{}, m.StartServing()
	})
}

func (d *processLifecycle) completeHandover() {
	d.transition(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		m.CompleteHandover()
		return lifecycle.Answer{}, lifecycle.NoAction
	})
}
