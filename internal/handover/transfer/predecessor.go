package transfer

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"troutusher/internal/handover/link"
)

// Predecessor is the process that owns the work, as its successor sees it.
type Predecessor struct{ conn *link.Conn }

// Dial connects to the process that owns a state folder, and greets it.
func Dial(stateDir string, end time.Time) (*Predecessor, error) {
	conn, err := link.Dial(stateDir)
	if err != nil {
		return nil, err
	}
	p := &Predecessor{conn: conn}
	if err := p.greet(end); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Predecessor) greet(end time.Time) error {
	by := time.Now().Add(packetTimeout)
	if err := sendHello(p.conn, by); err != nil {
		return err
	}
	if end.Before(by) {
		by = end
	}
	packet, err := p.conn.Receive(by)
	if err != nil {
		return err
	}
	greeting, err := readHello(packet)
	if err != nil {
		return err
	}
	if greeting.Version != version {
		return &PacketError{Kind: packet.Kind, Reason: fmt.Sprintf("form %d, here %d", greeting.Version, version)}
	}
	return nil
}

func sendHello(conn *link.Conn, by time.Time) error {
	text, err := json.Marshal(hello{Version: version, PID: os.Getpid()})
	if err != nil {
		return fmt.Errorf("hand-over: hello: %w", err)
	}
	return conn.Send(PacketHello, text, by)
}

func readHello(packet link.Packet) (greeting hello, err error) {
	if packet.Kind != PacketHello {
		return hello{}, &PacketError{Kind: packet.Kind, Reason: "it came before the hello"}
	}
	if err := json.Unmarshal(packet.Body, &greeting); err != nil {
		return hello{}, &PacketError{Kind: packet.Kind, Reason: "malformed", Err: err}
	}
	return greeting, nil
}

// Receive asks for everything and takes it in. onPacket is called with each packet
// that comes. What has come before an error is in inherited, too.
func (p *Predecessor) Receive(inherited *Inherited, end time.Time, onPacket func()) error {
	if err := p.conn.Send(PacketRequest, nil, end); err != nil {
		return err
	}
	inherited.Calls = map[string]int{}
	var body []byte
	for {
		packet, err := p.conn.Receive(end)
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

// SendClaim says that the work is this process's own.
func (p *Predecessor) SendClaim() error { return p.send(PacketClaim) }

// SendServing says that this process serves.
func (p *Predecessor) SendServing() error { return p.send(PacketServing) }

func (p *Predecessor) send(kind byte) error {
	return p.conn.Send(kind, nil, time.Now().Add(packetTimeout))
}

// Close ends the link. What was sent arrives all the same.
func (p *Predecessor) Close() { _ = p.conn.Close() }
