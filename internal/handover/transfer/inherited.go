package transfer

import (
	"encoding/json"
	"errors"
	"os"
	"syscall"

	"troutusher/internal/handover/statelock"
	"troutusher/internal/respserver"
)

// ErrRejected is the predecessor's answer where it cannot hand over now.
var ErrRejected = errors.New("it is handing over already, or ends")

// Inherited is what a process has from its predecessor. Whoever uses a descriptor
// takes it out; Close closes those that are left.
type Inherited struct {
	State
	Listeners []int // descriptors; -1 for one that is in use
	Clients   []respserver.ConnSnapshot
	Calls     map[string]int // by message: the descriptor of its call
	Lock      *os.File       // through which the predecessor holds the lock, too
}

// Close closes what was not used.
func (h *Inherited) Close() {
	for _, fd := range h.Listeners {
		closeDescriptor(fd)
	}
	for i := range h.Clients {
		closeDescriptor(h.Clients[i].FD)
	}
	for _, fd := range h.Calls {
		closeDescriptor(fd)
	}
	if h.Lock != nil {
		_ = h.Lock.Close() // nothing was written to it
	}
	*h = Inherited{}
}

// closeDescriptor closes a descriptor that nothing was written to; there is nothing
// to be done about an error.
func closeDescriptor(fd int) { _ = syscall.Close(fd) }

// addPacket takes one packet in. With an error it has taken none of its
// descriptors.
func (h *Inherited) addPacket(kind byte, body []byte, fds []int) error {
	switch kind {
	case PacketState:
		return h.addState(body)
	case PacketLock:
		return h.addLock(fds)
	case PacketListeners:
		h.Listeners = append(h.Listeners, fds...)
	case PacketClients:
		return h.addClients(body, fds)
	case PacketCalls:
		return h.addCalls(body, fds)
	case PacketEnd:
		if h.Core == nil {
			return &PacketError{Kind: kind, Reason: "it came without a state"}
		}
	case PacketReject:
		return ErrRejected
	default:
		return &PacketError{Kind: kind, Reason: "unknown kind"}
	}
	return nil
}

func (h *Inherited) addState(body []byte) error {
	if err := json.Unmarshal(body, &h.State); err != nil {
		return &PacketError{Kind: PacketState, Reason: "malformed", Err: err}
	}
	if h.Core == nil {
		return &PacketError{Kind: PacketState, Reason: "nothing of the core in it"}
	}
	return nil
}

func (h *Inherited) addLock(fds []int) error {
	if len(fds) != 1 || h.Lock != nil {
		return &PacketError{Kind: PacketLock, Reason: "not one descriptor, once"}
	}
	h.Lock = os.NewFile(uintptr(fds[0]), statelock.FileName)
	return nil
}

func (h *Inherited) addClients(body []byte, fds []int) error {
	var clients []respserver.ConnSnapshot
	if err := unmarshalWithDescriptors(PacketClients, body, &clients, fds); err != nil {
		return err
	}
	for i := range clients {
		clients[i].FD = fds[i]
	}
	h.Clients = append(h.Clients, clients...)
	return nil
}

func (h *Inherited) addCalls(body []byte, fds []int) error {
	var messages []string
	if err := unmarshalWithDescriptors(PacketCalls, body, &messages, fds); err != nil {
		return err
	}
	for i, message := range messages {
		h.Calls[message] = fds[i]
	}
	return nil
}

// unmarshalWithDescriptors reads a list that has a descriptor for each item.
func unmarshalWithDescriptors[T any](kind byte, body []byte, items *[]T, fds []int) error {
	if err := json.Unmarshal(body, items); err != nil {
		return &PacketError{Kind: kind, Reason: "malformed", Err: err}
	}
	if len(*items) != len(fds) {
		return &PacketError{Kind: kind, Reason: "not a descriptor for each item"}
	}
	return nil
}
