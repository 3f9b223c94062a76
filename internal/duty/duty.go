// Package duty says what a process does for the relay that it is: whether it
// takes clients, and what it answers to those who ask.
//
// It owns the states, the moves between them and the reason that goes with each
// answer. It must never touch a socket, look at a clock, begin a goroutine, or
// know of messages: what is held and owed goes on in every state.
package duty

// State is what a process does.
type State uint8

// States. A process begins in Starting and ends in Stopping; Ceded is for one
// whose work another process has taken over.
const (
	Starting State = iota // nothing may be handed in yet
	Serving
	Draining // clients are let go, and what still comes is served
	Ceding   // another process is about to take the work over
	Ceded    // it has
	Stopping // the process ends
)

var names = [...]string{"starting", "serving", "draining", "ceding", "ceded", "stopping"}

func (s State) String() string { return names[s] }

// Do is what a move asks of the driver.
type Do uint8

// What there is to do.
const (
	Nothing  Do = iota
	LetGo       // close clients' connections, each as soon as nothing is open on it
	TakeBack    // keep connections again
)

// Answer is what one who asks for a move is told.
type Answer struct {
	Yes bool
	Why string
}

// Machine is the duty of one process. Its zero value is starting.
type Machine struct {
	state State
	rest  bool // drained: what to go on with once it serves
}

// State is what the process does now.
func (m *Machine) State() State { return m.state }

// Clients reports whether new clients are wanted: the answer to PING.
func (m *Machine) Clients() bool { return m.state == Serving || m.state == Stopping }

// Ready answers whether the process can serve. One that is drained can.
func (m *Machine) Ready() Answer {
	switch m.state {
	case Serving, Draining:
		return Answer{true, m.state.String()}
	}
	return Answer{false, m.state.String()}
}

// Drain has clients let go, until Undrain. Asked again, or before the process
// serves, it holds as well; one that ends or has ceded has no clients to drain.
func (m *Machine) Drain() (Answer, Do) {
	switch m.state {
	case Starting, Ceding: // it begins, or goes on, drained
		m.rest = true
		return Answer{true, "draining once serving"}, Nothing
	case Serving:
		m.state, m.rest = Draining, true
		return Answer{true, "draining"}, LetGo
	case Draining:
		return Answer{true, "draining already"}, Nothing
	}
	return Answer{false, m.state.String()}, Nothing
}

// Undrain ends a drain; where there is none, nothing is to be done.
func (m *Machine) Undrain() (Answer, Do) {
	switch m.state {
	case Starting, Ceding:
		m.rest = false
		return Answer{true, "serving once ready"}, Nothing
	case Serving:
		return Answer{true, "serving already"}, Nothing
	case Draining:
		m.state, m.rest = Serving, false
		return Answer{true, "serving"}, TakeBack
	}
	return Answer{false, m.state.String()}, Nothing
}

// Serve is told when the process can serve, at first or again after a take-over
// that came to nothing.
func (m *Machine) Serve() Do {
	if m.state != Starting && m.state != Ceding {
		return Nothing
	}
	if m.state = Serving; m.rest {
		m.state = Draining
		return LetGo
	}
	return Nothing
}

// Cede begins to hand the work to another process; false where that cannot be.
func (m *Machine) Cede() bool {
	switch m.state {
	case Serving, Draining:
		m.state = Ceding
	case Stopping: // and goes on to, if it comes to nothing
	default:
		return false
	}
	return true
}

// Gone is told when the other process has the work.
func (m *Machine) Gone() { m.state = Ceded }

// Stop has the process end.
func (m *Machine) Stop() Do {
	if m.state == Stopping || m.state == Ceded {
		return Nothing
	}
	m.state = Stopping
	return LetGo
}
