package relay

import (
	"encoding/json"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/handover/link"
	"troutusher/internal/handover/statelock"
	"troutusher/internal/handover/transfer"
)

// testSuccessor is the successor's side of a hand-over, driven by a test step by step.
type testSuccessor struct {
	t     *testing.T
	conn  *link.Conn
	lock  *statelock.Lock
	state transfer.State
	fds   []int
}

func newTestSuccessor(t *testing.T, dir string) *testSuccessor {
	t.Helper()
	conn, err := link.Dial(dir)
	if err != nil {
		t.Fatal(err)
	}
	s := &testSuccessor{t: t, conn: conn}
	s.exchangeHellos()
	if s.lock, err = statelock.Open(dir); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	return s
}

// exchangeHellos sends a hello and receives that of the predecessor.
func (s *testSuccessor) exchangeHellos() {
	s.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	if err := s.conn.Send(
		transfer.PacketHello,
		fmt.Appendf(nil, `{"form":2,"pid":%d}`, os.Getpid()),
		deadline,
	); err != nil {
		s.t.Fatal(err)
	}
	packet, err := s.conn.Receive(deadline)
	if err != nil || packet.Kind != transfer.PacketHello {
		s.t.Fatalf("first packet = kind %q, %v; want a hello", packet.Kind, err)
	}
}

// send sends a packet without a body.
func (s *testSuccessor) send(kind byte) {
	s.t.Helper()
	if err := s.conn.Send(kind, nil, time.Now().Add(10*time.Second)); err != nil {
		s.t.Fatal(err)
	}
}

// receive requests the state and receives packets until the last one, or until it has received
// maxPackets of them.
func (s *testSuccessor) receive(maxPackets int) {
	s.t.Helper()
	s.send(transfer.PacketRequest)
	deadline := time.Now().Add(10 * time.Second)
	var body []byte
	for range maxPackets {
		packet, err := s.conn.Receive(deadline)
		if err != nil {
			s.t.Fatal(err)
		}
		s.fds = append(s.fds, packet.FDs...)
		body = append(body, packet.Body...)
		switch packet.Kind {
		case transfer.PacketPart:
			continue
		case transfer.PacketLock: // from here on both processes hold the lock
			s.fds = s.fds[:len(s.fds)-1]
			s.lock.Adopt(os.NewFile(uintptr(packet.FDs[0]), statelock.FileName))
		case transfer.PacketState:
			if err := json.Unmarshal(body, &s.state); err != nil {
				s.t.Fatal(err)
			}
		case transfer.PacketEnd:
			return
		}
		body = body[:0]
	}
}

// close releases everything, as the system does when a process is killed.
func (s *testSuccessor) close() {
	for _, fd := range s.fds {
		_ = syscall.Close(fd)
	}
	s.fds = nil
	_ = s.conn.Close() // it may be closed already
	s.lock.Close()
}
