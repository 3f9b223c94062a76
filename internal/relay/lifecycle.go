package relay

import (
	"sync"
	"sync/atomic"

	"troutusher/internal/lifecycle"
	"troutusher/internal/respserver"
)

// processLifecycle is the life cycle of this process, for several goroutines: the
// event loop, the console and the RESP server.
type processLifecycle struct {
	mu             sync.Mutex
	machine        lifecycle.Machine
	server         *respserver.Server // nil until clients can be served
	acceptsClients atomic.Bool        // read without the lock
}

// transition is one of the machine's.
type transition func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action)

// apply makes a transition, and does with client connections what it asks for.
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

// stop is called as the process ends.
func (p *processLifecycle) stop() {
	p.apply(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		return lifecycle.Answer{}, m.Stop()
	})
}

// startHandover reports whether the work may be handed to another process.
func (p *processLifecycle) startHandover() (ok bool) {
	p.apply(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		ok = m.StartHandover()
		return lifecycle.Answer{}, lifecycle.NoAction
	})
	return ok
}

// resumeServing is called where a hand-over failed.
func (p *processLifecycle) resumeServing() {
	p.apply(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		return lifecycle.Answer{}, m.StartServing()
	})
}

// completeHandover is called once the other process has the work.
func (p *processLifecycle) completeHandover() {
	p.apply(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
		m.CompleteHandover()
		return lifecycle.Answer{}, lifecycle.NoAction
	})
}
