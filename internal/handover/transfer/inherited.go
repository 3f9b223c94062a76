package transfer

import (
	"encoding/json"
	"errors"
	"os"
	"syscall"

	"troutusher/internal/handover/statelock"
	"troutusher/internal/respserver"
)

// ErrRejected is returned if the predecessor rejected the request to hand over.
var ErrRejected = errors.New("rejected by a predecessor that is handing over, cannot quiesce or is shutting down")

// Inherited is what a process received from its predecessor. The user of a descriptor
// removes it from Inherited; Close closes the remaining ones.
type Inherited struct {
	State
	Listeners []int // descriptors; -1 for one that was removed
	Clients   []respserver.ConnSnapshot
	Calls     map[string]int // the descriptor of each call, by message ID
	Lock      *os.File       // the file through which the predecessor holds the lock too
}

// Close closes the descriptors that were not used.
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
		_ = h.Lock.Close() // an error loses no data, since nothing was written
	}
	*h = Inherited{}
}

// closeDescriptor closes a descriptor to which this process has written nothing. It
// ignores the error, since no data can be lost.
func closeDescriptor(fd int) { _ = syscall.Close(fd) }

// addPacket adds the contents of one packet. After an error the packet's descriptors
// still belong to the caller.
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
			return &PacketError{Kind: kind, Reason: "received before the state"}
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
		return &PacketError{Kind: PacketState, Reason: "no core state"}
	}
	return nil
}

func (h *Inherited) addLock(fds []int) error {
	if len(fds) != 1 || h.Lock != nil {
		return &PacketError{Kind: PacketLock, Reason: "more than one lock packet, or not exactly one descriptor"}
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

// unmarshalWithDescriptors decodes a list whose packet has one descriptor for each item.
func unmarshalWithDescriptors[T any](kind byte, body []byte, items *[]T, fds []int) error {
	if err := json.Unmarshal(body, items); err != nil {
		return &PacketError{Kind: kind, Reason: "malformed", Err: err}
	}
	if len(*items) != len(fds) {
		return &PacketError{Kind: kind, Reason: "number of descriptors differs from number of items"}
	}
	return nil
}
