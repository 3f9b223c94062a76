package transfer

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"troutusher/internal/handover/link"
	"troutusher/internal/respserver"
)

// ErrUnexpectedPacket is returned if a packet of another kind than the awaited one was
// received.
var ErrUnexpectedPacket = errors.New("hand-over: unexpected packet")

// Successor is the predecessor's connection to a process that is ready to take over.
type Successor struct {
	// PID is the ID of the successor's process.
	PID int

	conn   *link.Conn
	sendBy time.Time // deadline for all packets of the state
}

// Accept exchanges hellos with a process that has connected, and waits for its request
// to take over. It closes the connection if it returns an error.
func Accept(conn *link.Conn) (*Successor, error) {
	s := &Successor{conn: conn}
	if err := s.awaitRequest(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Successor) awaitRequest() error {
	packet, err := s.conn.Receive(time.Now().Add(packetTimeout))
	if err != nil {
		return err
	}
	received, err := decodeHello(packet)
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
		return &PacketError{Kind: packet.Kind, Reason: "received instead of a request"}
	}
	s.PID = received.PID
	return nil
}

// Reject tells the successor that this process does not hand over now.
func (s *Successor) Reject() error {
	return s.conn.Send(PacketReject, nil, time.Now().Add(packetTimeout))
}

// BeginSending starts the time limit for sending all packets of the state.
func (s *Successor) BeginSending() { s.sendBy = time.Now().Add(sendTimeout) }

// SendState sends the part of the state without descriptors.
func (s *Successor) SendState(state *State) error { return s.sendJSON(PacketState, state) }

// SendListeners sends the listeners' descriptors.
func (s *Successor) SendListeners(descriptors []int) error {
	return s.conn.Send(PacketListeners, nil, s.sendBy, descriptors...)
}

// SendClients sends the client connections.
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

// SendCalls sends the calls in flight.
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

// SendLock sends the descriptor that holds the lock. From then on both processes hold
// the lock.
func (s *Successor) SendLock(descriptor int) error {
	return s.conn.Send(PacketLock, nil, s.sendBy, descriptor)
}

// SendEnd tells the successor that all packets of the state were sent.
func (s *Successor) SendEnd() error { return s.conn.Send(PacketEnd, nil, s.sendBy) }

// sendJSON sends a body of any length. The descriptors are in its last packet.
func (s *Successor) sendJSON(kind byte, body any, descriptors ...int) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return &PacketError{Kind: kind, Reason: "encode body", Err: err}
	}
	return s.conn.SendParts(PacketPart, kind, encoded, s.sendBy, descriptors...)
}

// AwaitClaim waits until the successor claims ownership.
func (s *Successor) AwaitClaim(timeout time.Duration) error { return s.await(PacketClaim, timeout) }

// AwaitServing waits until the successor confirms that it serves.
func (s *Successor) AwaitServing(timeout time.Duration) error { return s.await(PacketServing, timeout) }

// await waits for a packet of a kind. If it returns an error, the awaited packet was not
// among those sent so far, and the successor can send no more.
func (s *Successor) await(kind byte, timeout time.Duration) error {
	packet, err := s.conn.Receive(time.Now().Add(timeout))
	if err != nil {
		// The packet may have been sent just after the time-out. Closing the read side
		// makes the successor's later sends fail; a packet sent before it can still be read.
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

// Close closes the connection.
func (s *Successor) Close() { _ = s.conn.Close() }
