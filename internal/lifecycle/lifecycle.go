// Package lifecycle says what a process does for the relay that it is: whether it
// takes clients, and what it answers to those who ask.
//
// It owns the states, the moves between them and the reason that goes with each
// answer. It must never touch a socket, look at a clock, begin a goroutine, or
// know of messages: what is held and owed goes on in every state.
package lifecycle

// State is what a process does.
type State uint8

// States. A process begins in Starting and ends in Stopping; Ceded is for one
// whose work another process has taken over.
const (
	Starting State = iota // nothing may be handed in yet
	Serving
	Draining    // clients are let go, and what still comes is served
	HandingOver // another process is about to take the work over
	HandedOver  // it has
	Stopping    // the process ends
)

var stateNames = [...]string{"starting", "serving", "draining", "ceding", "ceded", "stopping"}

func (s State) String() string { return stateNames[s] }

// Action is what a move asks of the driver.
type Action uint8

// What there is to do.
const (
	NoAction     Action = iota
	CloseClients        // close clients' connections, each as soon as nothing is open on it
	KeepClients         // keep connections again
)

// Answer is what one who asks for a move is told.
type Answer struct {
	OK     bool
	Reason string
}

// Machine is the duty of one process. Its zero value is starting.
type Machine struct {
	state          State
	drainRequested bool // drained: what to go on with once it serves
}

// State is what the process does now.
func (m *Machine) State() State { return m.state }

// AcceptsClients reports whether new clients are wanted: the answer to PING.
func (m *Machine) AcceptsClients() bool { return m.state == Serving || m.state == Stopping }

// Ready answers whether the process can serve. One that is drained can.
func (m *Machine) Ready() Answer {
	switch m.state {
	case Serving, Draining:
		return Answer{true, m.state.String()}
	}
	return Answer{false, m.state.String()}
}

// StartDrain has clients let go, until Undrain. Asked again, or before the process
// serves, it holds as well; one that ends or has ceded has no clients to drain.
func (m *Machine) StartDrain() (Answer, Action) {
	switch m.state {
	case Starting, HandingOver: // it begins, or goes on, drained
		m.drainRequested = true
		return Answer{true, "draining once serving"}, NoAction
	case Serving:
		m.state, m.drainRequested = Draining, true
		return Answer{true, "draining"}, CloseClients
	case Draining:
		return Answer{true, "draining already"}, NoAction
	}
	return Answer{false, m.state.String()}, NoAction
}

// EndDrain ends a drain; where there is none, nothing is to be done.
func (m *Machine) EndDrain() (Answer, Action) {
	switch m.state {
	case Starting, HandingOver:
		m.drainRequested = false
		return Answer{true, "serving once ready"}, NoAction
	case Serving:
		return Answer{true, "serving already"}, NoAction
	case Draining:
		m.state, m.drainRequested = Serving, false
		return Answer{true, "serving"}, KeepClients
	}
	return Answer{false, m.state.String()}, NoAction
}

// StartServing is told when the process can serve, at first or again after a take-over
// that came to nothing.
func (m *Machine) StartServing() Action {
	if m.state != Starting && m.state != HandingOver {
		return NoAction
	}
	if m.state = Serving; m.drainRequested {
		m.state = Draining
		return CloseClients
	}
	return NoAction
}

// StartHandover begins to hand the work to another process; false where that cannot be.
func (m *Machine) StartHandover() bool {
	switch m.state {
	case Serving, Draining:
		m.state = HandingOver
	case Stopping: // and goes on to, if it comes to nothing
	default:
		return false
	}
	return true
}

// CompleteHandover is told when the other process has the work.
func (m *Machine) CompleteHandover() { m.state = HandedOver }

// Stop has the process end.
func (m *Machine) Stop() Action {
	if m.state == Stopping || m.state == HandedOver {
		return NoAction
	}
	m.state = Stopping
	return CloseClients
}
