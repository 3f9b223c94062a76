package transfer

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"troutusher/internal/handover/link"
	"troutusher/internal/respserver"
)

// ErrUnexpectedPacket is a packet in the place of the one that was awaited.
var ErrUnexpectedPacket = errors.New("hand-over: unexpected packet")

// Successor is a process that is ready to take the work over, as the one that owns
// it sees it.
type Successor struct {
	// PID is the process's id.
	PID int

	conn   *link.Conn
	sendBy time.Time // for the packets of the state
}

// Accept greets a process that has connected, and waits until it asks for the
// work. With an error the connection is closed.
func Accept(conn *link.Conn) (*Successor, error) {
	s := &Successor{conn: conn}
	if err := s.greet(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Successor) greet() error {
	packet, err := s.conn.Receive(time.Now().Add(packetTimeout))
	if err != nil {
		return err
	}
	greeting, err := readHello(packet)
	if err != nil {
		return err
	}
	if err := sendHello(s.conn, time.Now().Add(packetTimeout)); err != nil {
		return err
	}
	packet, err = s.conn.Receive(time.Now().Add(RequestTimeout))
	if err != nil {
		return err
	}
	if packet.Kind != PacketRequest {
		return &PacketError{Kind: packet.Kind, Reason: "it came in place of a request"}
	}
	s.PID = greeting.PID
	return nil
}

// Reject tells the successor that it cannot have the work now.
func (s *Successor) Reject() error {
	return s.conn.Send(PacketReject, nil, time.Now().Add(packetTimeout))
}

// BeginSending starts the time that all packets of the state have together.
func (s *Successor) BeginSending() { s.sendBy = time.Now().Add(sendTimeout) }

// SendState sends what goes over beside descriptors.
func (s *Successor) SendState(state *State) error { return s.sendJSON(PacketState, state) }

// SendListeners sends the listeners' descriptors.
func (s *Successor) SendListeners(descriptors []int) error {
	return s.conn.Send(PacketListeners, nil, s.sendBy, descriptors...)
}

// SendClients sends the connections of clients.
func (s *Successor) SendClients(clients []respserver.ConnSnapshot) error {
	for chunk := range slices.Chunk(clients, link.MaxDescriptors) {
		descriptors := make([]int, len(chunk))
		for i := range chunk {
			descriptors[i] = chunk[i].FD
		}
		if err := s.sendJSON(PacketClients, chunk, descriptors...); err != nil {
			return err
		}
	}
	return nil
}

// SendCalls sends the calls that are out.
func (s *Successor) SendCalls(calls []Call) error {
	for chunk := range slices.Chunk(calls, link.MaxDescriptors) {
		messages, descriptors := make([]string, len(chunk)), make([]int, len(chunk))
		for i, call := range chunk {
			messages[i], descriptors[i] = call.Message, call.Descriptor
		}
		if err := s.sendJSON(PacketCalls, messages, descriptors...); err != nil {
			return err
		}
	}
	return nil
}

// SendLock sends the descriptor that holds the lock, which both hold then.
func (s *Successor) SendLock(descriptor int) error {
	return s.conn.Send(PacketLock, nil, s.sendBy, descriptor)
}

// SendEnd says that all has been sent.
func (s *Successor) SendEnd() error { return s.conn.Send(PacketEnd, nil, s.sendBy) }

// sendJSON sends a body of any length; the descriptors go with its last packet.
func (s *Successor) sendJSON(kind byte, body any, descriptors ...int) error {
	text, err := json.Marshal(body)
	if err != nil {
		return &PacketError{Kind: kind, Reason: "cannot be encoded", Err: err}
	}
	return s.conn.SendParts(PacketPart, kind, text, s.sendBy, descriptors...)
}

// AwaitClaim waits until the successor says that the work is its own.
func (s *Successor) AwaitClaim(timeout time.Duration) error { return s.await(PacketClaim, timeout) }

// AwaitServing waits until the successor says that it serves.
func (s *Successor) AwaitServing(timeout time.Duration) error { return s.await(PacketServing, timeout) }

// await waits for a packet. With an error the successor can say nothing more, and
// what it had said by then was taken into account.
func (s *Successor) await(kind byte, timeout time.Duration) error {
	packet, err := s.conn.Receive(time.Now().Add(timeout))
	if err != nil {
		// The read side is closed first: what was said before can still be read.
		_ = s.conn.CloseRead()
		if packet, err = s.conn.Receive(time.Now().Add(timeout)); err != nil {
			return err
		}
	}
	if packet.Kind != kind {
		_ = s.conn.CloseRead()
		return ErrUnexpectedPacket
	}
	return nil
}

// Close ends the link.
func (s *Successor) Close() { _ = s.conn.Close() }
