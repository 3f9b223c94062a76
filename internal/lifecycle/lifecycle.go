// Package lifecycle is the state machine of a relay process: whether it accepts
// clients, and what operators who ask for a change are answered.
//
// It owns the states, the transitions between them and the reason that goes with
// each answer. It must never touch a socket, look at a clock, start a goroutine, or
// know of messages: messages that are held go on in every state.
package lifecycle

// State is what a process does.
type State uint8

// The states. A process begins in Starting and ends in Stopping or HandedOver.
const (
	Starting    State = iota // nothing may be submitted yet
	Serving                  // clients are served
	Draining                 // client connections are closed when idle; what still comes is served
	HandingOver              // another process is about to take the work over
	HandedOver               // another process has the work
	Stopping                 // the process ends
)

// stateNames are what operators read; "ceding" and "ceded" are the words that
// their scripts know for HandingOver and HandedOver.
var stateNames = [...]string{"starting", "serving", "draining", "ceding", "ceded", "stopping"}

// String is the state's name in answers to operators.
func (s State) String() string { return stateNames[s] }

// Action is what a transition asks of the driver.
type Action uint8

// The actions.
const (
	NoAction     Action = iota
	CloseClients        // close each client connection as soon as nothing is open on it
	KeepClients         // keep idle connections again
)

// Answer is the reply to an operator's call.
type Answer struct {
	OK     bool   // the call was obeyed, or the question is answered with yes
	Reason string // one word, or a few
}

// Machine is the state of one process. Its zero value is Starting. It is not safe
// for use by several goroutines.
type Machine struct {
	state          State
	drainRequested bool // drain once serving
}

// State is what the process does now.
func (m *Machine) State() State { return m.state }

// AcceptsClients reports whether new clients are wanted, which is what PING is
// answered with.
func (m *Machine) AcceptsClients() bool { return m.state == Serving || m.state == Stopping }

// Ready answers whether the process can serve. One that is drained can.
func (m *Machine) Ready() Answer {
	ready := m.state == Serving || m.state == Draining
	return Answer{OK: ready, Reason: m.state.String()}
}

// StartDrain drains the process until EndDrain. Asked before it serves or during a
// hand-over, it drains once it serves. A process that ends, or has handed over, has
// no clients to drain.
func (m *Machine) StartDrain() (Answer, Action) {
	switch m.state {
	case Starting, HandingOver:
		m.drainRequested = true
		return Answer{OK: true, Reason: "draining once serving"}, NoAction
	case Serving:
		m.state, m.drainRequested = Draining, true
		return Answer{OK: true, Reason: "draining"}, CloseClients
	case Draining:
		return Answer{OK: true, Reason: "draining already"}, NoAction
	}
	return Answer{OK: false, Reason: m.state.String()}, NoAction
}

// EndDrain ends a drain. Where there is none, there is nothing to do.
func (m *Machine) EndDrain() (Answer, Action) {
	switch m.state {
	case Starting, HandingOver:
		m.drainRequested = false
		return Answer{OK: true, Reason: "serving once ready"}, NoAction
	case Serving:
		return Answer{OK: true, Reason: "serving already"}, NoAction
	case Draining:
		m.state, m.drainRequested = Serving, false
		return Answer{OK: true, Reason: "serving"}, KeepClients
	}
	return Answer{OK: false, Reason: m.state.String()}, NoAction
}

// StartServing is called once the process can serve: at first, or again after a
// hand-over that failed.
func (m *Machine) StartServing() Action {
	if m.state != Starting && m.state != HandingOver {
		return NoAction
	}
	if m.drainRequested {
		m.state = Draining
		return CloseClients
	}
	m.state = Serving
	return NoAction
}

// StartHandover begins to hand the work to another process; false where that
// cannot be.
func (m *Machine) StartHandover() bool {
	switch m.state {
	case Serving, Draining:
		m.state = HandingOver
	case Stopping: // and goes on to stop if the hand-over fails
	default:
		return false
	}
	return true
}

// CompleteHandover is called once the other process has the work.
func (m *Machine) CompleteHandover() { m.state = HandedOver }

// Stop has the process end.
func (m *Machine) Stop() Action {
	if m.state == Stopping || m.state == HandedOver {
		return NoAction
	}
	m.state = Stopping
	return CloseClients
}
