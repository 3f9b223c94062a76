package transfer

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"troutusher/internal/handover/link"
)

// Predecessor is the successor's connection to the process that owns the state folder.
type Predecessor struct{ conn *link.Conn }

// Dial connects to the process that owns a state folder and exchanges hellos with it.
func Dial(stateDir string, deadline time.Time) (*Predecessor, error) {
	conn, err := link.Dial(stateDir)
	if err != nil {
		return nil, err
	}
	p := &Predecessor{conn: conn}
	if err := p.exchangeHellos(deadline); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Predecessor) exchangeHellos(deadline time.Time) error {
	packetDeadline := time.Now().Add(packetTimeout)
	if err := sendHello(p.conn, packetDeadline); err != nil {
		return err
	}
	if deadline.Before(packetDeadline) {
		packetDeadline = deadline
	}
	packet, err := p.conn.Receive(packetDeadline)
	if err != nil {
		return err
	}
	received, err := decodeHello(packet)
	if err != nil {
		return err
	}
	if received.Version != version {
		return &PacketError{
			Kind:   packet.Kind,
			Reason: fmt.Sprintf("version of the packet encoding is %d, want %d", received.Version, version),
		}
	}
	return nil
}

func sendHello(conn *link.Conn, deadline time.Time) error {
	body, err := json.Marshal(hello{Version: version, PID: os.Getpid()})
	if err != nil {
		return fmt.Errorf("hand-over: encode hello: %w", err)
	}
	return conn.Send(PacketHello, body, deadline)
}

func decodeHello(packet link.Packet) (received hello, err error) {
	if packet.Kind != PacketHello {
		return hello{}, &PacketError{Kind: packet.Kind, Reason: "received instead of a hello"}
	}
	if err := json.Unmarshal(packet.Body, &received); err != nil {
		return hello{}, &PacketError{Kind: packet.Kind, Reason: "malformed", Err: err}
	}
	return received, nil
}

// Receive requests the state and adds all packets to inherited. It calls onPacket for
// each packet received. After an error, inherited has the contents of the packets
// received before it.
func (p *Predecessor) Receive(inherited *Inherited, deadline time.Time, onPacket func()) error {
	if err := p.conn.Send(PacketRequest, nil, deadline); err != nil {
		return err
	}
	inherited.Calls = map[string]int{}
	var body []byte
	for {
		packet, err := p.conn.Receive(deadline)
		if err != nil {
			return err
		}
		onPacket()
		body = append(body, packet.Body...)
		if packet.Kind == PacketPart {
			continue
		}
		if err := inherited.addPacket(packet.Kind, body, packet.FDs); err != nil {
			for _, fd := range packet.FDs {
				closeDescriptor(fd)
			}
			return err
		}
		if packet.Kind == PacketEnd {
			return nil
		}
		body = body[:0]
	}
}

// SendClaim tells the predecessor that this process claims ownership.
func (p *Predecessor) SendClaim() error { return p.send(PacketClaim) }

// SendServing tells the predecessor that this process serves.
func (p *Predecessor) SendServing() error { return p.send(PacketServing) }

func (p *Predecessor) send(kind byte) error {
	return p.conn.Send(kind, nil, time.Now().Add(packetTimeout))
}

// Close closes the connection. Packets that were sent before still arrive.
func (p *Predecessor) Close() { _ = p.conn.Close() }
