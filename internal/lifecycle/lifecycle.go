// Package lifecycle implements the state machine of a relay process. The state determines
// whether the process accepts clients, and how it answers operators who ask for a change.
//
// The package defines the states, the transitions between them, and the reason in each answer.
// It uses no socket, reads no clock and starts no goroutine. It does not deal with messages:
// held messages are processed in every state.
package lifecycle

// State is the state of a process.
type State uint8

// The states. A process begins in Starting and ends in Stopping or HandedOver.
const (
	Starting    State = iota // no messages are accepted yet
	Serving                  // clients are served
	Draining                 // idle client connections are closed; requests that still arrive are served
	HandingOver              // another process is about to take over
	HandedOver               // another process has taken over
	Stopping                 // the process is shutting down
)

// stateNames are the names of the states in answers to operators. Operators' scripts match
// "ceding" and "ceded", the names of HandingOver and HandedOver.
var stateNames = [...]string{"starting", "serving", "draining", "ceding", "ceded", "stopping"}

// String returns the name of the state in answers to operators.
func (s State) String() string { return stateNames[s] }

// Action is what the driver has to do after a transition.
type Action uint8

// The actions.
const (
	NoAction     Action = iota
	CloseClients        // close each client connection as soon as no request is open on it
	KeepClients         // stop closing idle client connections
)

// Answer is the answer to an operator's command or question.
type Answer struct {
	OK     bool   // the command was accepted, or the answer to the question is yes
	Reason string // a short text, such as the name of the state
}

// Machine holds the state of one process. The zero value is in the state Starting. A Machine is
// not safe for concurrent use.
type Machine struct {
	state          State
	drainRequested bool // a drain is in progress, or begins once the process serves
	drainDecided   bool // an operator's call to this process has requested or ended a drain
	drainExported  bool // the successor has drainRequested, so a call can no longer change it here
	closingClients bool // the last action other than NoAction was CloseClients
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// AcceptsClients reports whether the process accepts new clients. The reply to PING depends on it.
// A stopping process still accepts them, until its listeners are closed.
func (m *Machine) AcceptsClients() bool { return m.state == Serving || m.state == Stopping }

// Ready answers whether the process can serve clients. A draining process can.
func (m *Machine) Ready() Answer {
	ready := m.state == Serving || m.state == Draining
	return Answer{OK: ready, Reason: m.state.String()}
}

// StartDrain drains the process until EndDrain is called. If the process is starting or handing
// over, the drain begins when it serves. A process that is stopping or has handed over has no
// clients to drain, so the answer is no. It is also no if the successor already has the opposite
// request; see ExportDrain.
func (m *Machine) StartDrain() (Answer, Action) {
	switch m.state {
	case Starting, HandingOver:
		if !m.requestDrain(true) {
			return Answer{OK: false, Reason: m.state.String()}, NoAction
		}
		return Answer{OK: true, Reason: "draining once serving"}, NoAction
	case Serving:
		m.requestDrain(true)
		m.state = Draining
		return Answer{OK: true, Reason: "draining"}, m.closeClients()
	case Draining:
		return Answer{OK: true, Reason: "draining already"}, NoAction
	}
	return Answer{OK: false, Reason: m.state.String()}, NoAction
}

// EndDrain ends a drain. If the process is serving without a drain, nothing changes. Like
// StartDrain, it answers no if the successor already has the opposite request.
func (m *Machine) EndDrain() (Answer, Action) {
	switch m.state {
	case Starting, HandingOver:
		if !m.requestDrain(false) {
			return Answer{OK: false, Reason: m.state.String()}, NoAction
		}
		return Answer{OK: true, Reason: "serving once ready"}, NoAction
	case Serving:
		return Answer{OK: true, Reason: "serving already"}, NoAction
	case Draining:
		m.requestDrain(false)
		m.state = Serving
		return Answer{OK: true, Reason: "serving"}, m.keepClients()
	}
	return Answer{OK: false, Reason: m.state.String()}, NoAction
}

// requestDrain records an operator's call. It returns false, and changes nothing, if the successor
// already has the opposite request.
func (m *Machine) requestDrain(drain bool) bool {
	if m.drainExported && drain != m.drainRequested {
		return false
	}
	m.drainRequested, m.drainDecided = drain, true
	return true
}

// ExportDrain returns whether the process that takes over has to drain. From then on, a call that
// asks for the opposite is answered with no, because the successor would not hear of it, until the
// hand-over has failed.
func (m *Machine) ExportDrain() (drain bool) {
	m.drainExported = true
	return m.drainRequested
}

// InheritDrain must be called by a process that takes over, before it serves. drain is what
// ExportDrain returned in the predecessor. An operator's call to this process counts more, because
// it came later than the drain's start.
func (m *Machine) InheritDrain(drain bool) {
	if !m.drainDecided {
		m.drainRequested = drain
	}
}

// StartServing must be called when the process can serve clients, at its start and after a
// failed hand-over. If a drain was requested, the process drains. If a drain was ended during the
// failed hand-over, the process stops closing clients.
func (m *Machine) StartServing() Action {
	m.drainExported = false
	if m.state != Starting && m.state != HandingOver {
		return NoAction
	}
	if m.drainRequested {
		m.state = Draining
		return m.closeClients()
	}
	m.state = Serving
	return m.keepClients()
}

// closeClients records that client connections are being closed, and returns the action for it.
func (m *Machine) closeClients() Action {
	m.closingClients = true
	return CloseClients
}

// keepClients returns KeepClients if client connections are being closed, and NoAction otherwise.
func (m *Machine) keepClients() Action {
	if !m.closingClients {
		return NoAction
	}
	m.closingClients = false
	return KeepClients
}

// StartHandover begins a hand-over to another process. It returns false if no hand-over is
// possible in the current state.
func (m *Machine) StartHandover() bool {
	switch m.state {
	case Serving, Draining:
		m.state = HandingOver
	case Stopping: // the state stays: if the hand-over fails, the process continues to stop
	default:
		return false
	}
	return true
}

// CompleteHandover must be called when the other process has taken over.
func (m *Machine) CompleteHandover() { m.state = HandedOver }

// Stop begins to stop the process. It changes nothing if the process is already stopping or has
// handed over.
func (m *Machine) Stop() Action {
	if m.state == Stopping || m.state == HandedOver {
		return NoAction
	}
	m.state = Stopping
	return m.closeClients()
}
