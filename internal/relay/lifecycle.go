package relay

import (
	"sync"
	"sync/atomic"

	"troutusher/internal/lifecycle"
	"troutusher/internal/respserver"
)

// processLifecycle is the life cycle of this process. It is safe for concurrent use:
// the event loop, the console and the RESP server share it.
type processLifecycle struct {
	mu             sync.Mutex
	machine        lifecycle.Machine
	server         *respserver.Server // nil until startServing
	acceptsClients atomic.Bool        // written under mu, read without it
}

// transition is a method of lifecycle.Machine that changes its state, or a function
// that calls one.
type transition func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action)

// apply makes a transition and executes the resulting action on the client
// connections.
func (p *processLifecycle) apply(change transition) lifecycle.Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer, action := change(&p.machine)
	p.acceptsClients.Store(p.machine.AcceptsClients())
	switch {
	case p.server == nil:
	case action == lifecycle.CloseClients:
		p.server.CloseIdleConns()
	case action == lifecycle.KeepClients:
		p.server.KeepIdleConns()
	}
	return answer
}

// startServing is called once clients can be served.
func (p *processLifecycle) startServing(server *respserver.Server) {
	p.apply(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		p.server = server
		return lifecycle.Answer{}, m.StartServing()
	})
}

// stop is called when the shutdown starts to close client connections.
func (p *processLifecycle) stop() {
	p.apply(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		return lifecycle.Answer{}, m.Stop()
	})
}

// startHandover starts a hand-over, and reports whether the process is in a state in
// which it may hand over.
func (p *processLifecycle) startHandover() (ok bool) {
	p.apply(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		ok = m.StartHandover()
		return lifecycle.Answer{}, lifecycle.NoAction
	})
	return ok
}

// exportDrain returns whether the successor has to drain.
func (p *processLifecycle) exportDrain() (drain bool) {
	p.apply(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		drain = m.ExportDrain()
		return lifecycle.Answer{}, lifecycle.NoAction
	})
	return drain
}

// inheritDrain is called before the process serves, if it continues the work of another process
// or of an earlier run of this process. drain is what exportDrain returned there.
func (p *processLifecycle) inheritDrain(drain bool) {
	p.apply(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		m.InheritDrain(drain)
		return lifecycle.Answer{}, lifecycle.NoAction
	})
}

// resumeServing is called after a failed hand-over.
func (p *processLifecycle) resumeServing() {
	p.apply(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		return lifecycle.Answer{}, m.StartServing()
	})
}

// completeHandover is called once the successor has claimed ownership.
func (p *processLifecycle) completeHandover() {
	p.apply(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		m.CompleteHandover()
		return lifecycle.Answer{}, lifecycle.NoAction
	})
}
