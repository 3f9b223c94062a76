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

// testSuccessor is the other process of a hand-over, as far as a test wants it to get.
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
	k := &testSuccessor{t: t, conn: conn}
	k.greet()
	if k.lock, err = statelock.Open(dir); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.close)
	return k
}

// greet exchanges hellos.
func (k *testSuccessor) greet() {
	k.t.Helper()
	by := time.Now().Add(10 * time.Second)
	if err := k.conn.Send(transfer.PacketHello, fmt.Appendf(nil, `{"form":2,"pid":%d}`, os.Getpid()), by); err != nil {
		k.t.Fatal(err)
	}
	packet, err := k.conn.Receive(by)
	if err != nil || packet.Kind != transfer.PacketHello {
		k.t.Fatalf("no hello: %q, %v", packet.Kind, err)
	}
}

// send sends a packet without a body.
func (k *testSuccessor) send(kind byte) {
	k.t.Helper()
	if err := k.conn.Send(kind, nil, time.Now().Add(10*time.Second)); err != nil {
		k.t.Fatal(err)
	}
}

// receive takes everything, or so many packets.
func (k *testSuccessor) receive(most int) {
	k.t.Helper()
	k.send(transfer.PacketRequest)
	by := time.Now().Add(10 * time.Second)
	var body []byte
	for range most {
		p, err := k.conn.Receive(by)
		if err != nil {
			k.t.Fatal(err)
		}
		k.fds = append(k.fds, p.FDs...)
		body = append(body, p.Body...)
		switch p.Kind {
		case transfer.PacketPart:
			continue
		case transfer.PacketLock: // held by both from here on
			k.fds = k.fds[:len(k.fds)-1]
			k.lock.Adopt(os.NewFile(uintptr(p.FDs[0]), statelock.FileName))
		case transfer.PacketState:
			if err := json.Unmarshal(body, &k.state); err != nil {
				k.t.Fatal(err)
			}
		case transfer.PacketEnd:
			return
		}
		body = body[:0]
	}
}

// close is what a killed process's end looks like to others.
func (k *testSuccessor) close() {
	for _, fd := range k.fds {
		_ = syscall.Close(fd)
	}
	k.fds = nil
	_ = k.conn.Close() // it may be closed already
	k.lock.Close()
}
