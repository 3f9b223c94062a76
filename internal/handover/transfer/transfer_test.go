package transfer

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/handover/link"
	"troutusher/internal/respserver"
)

// connect links a predecessor and a successor through a folder, up to the request.
// receive is what the successor does from then on.
func connect(t *testing.T, receive func(p *Predecessor)) *Successor {
	t.Helper()
	dir := t.TempDir()
	ln, err := link.Listen(dir)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() { _ = ln.Close(); <-done })
	go func() {
		defer close(done)
		p, err := Dial(dir, time.Now().Add(10*time.Second))
		if err != nil {
			t.Error(err)
			return
		}
		defer p.Close()
		receive(p)
	}()
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s, err := Accept(conn)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if s.PID != os.Getpid() {
		t.Errorf("process %d, want %d", s.PID, os.Getpid())
	}
	return s
}

// descriptors are open files' of a test.
func descriptors(t *testing.T, n int) (fds []int) {
	t.Helper()
	for range n {
		file, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = file.Close() })
		fds = append(fds, int(file.Fd()))
	}
	return fds
}

// A state that takes many packets, and more clients and calls than fit in one of
// them, arrive whole, and the words of both sides in their order.
func TestWholeHandover(t *testing.T) {
	const items = link.MaxDescriptors + 6
	inherited := &Inherited{}
	received := make(chan error, 1)
	s := connect(t, func(p *Predecessor) {
		err := p.Receive(inherited, time.Now().Add(10*time.Second), func() {})
		received <- errors.Join(err, p.SendClaim(), p.SendServing())
	})
	fds := descriptors(t, 2*items+2)
	clients, calls := make([]respserver.ConnSnapshot, items), make([]Call, items)
	for i := range items {
		clients[i].FD, clients[i].Unprocessed = fds[i], fmt.Append(nil, i)
		calls[i] = Call{Message: fmt.Sprint("m", i), Descriptor: fds[items+i]}
	}
	addr := strings.Repeat("long", link.MaxBodySize)
	s.BeginSending()
	if err := errors.Join(
		s.SendState(&State{Core: &core.HandoverState{Revision: 7}, DiscoveryAddr: addr}),
		s.SendListeners(fds[2*items:2*items+1]),
		s.SendClients(clients),
		s.SendCalls(calls),
		s.SendLock(fds[2*items+1]),
		s.SendEnd(),
		s.AwaitClaim(10*time.Second),
		s.AwaitServing(10*time.Second),
	); err != nil {
		t.Fatal(err)
	}
	if err := <-received; err != nil {
		t.Fatal(err)
	}
	defer inherited.Close()
	if inherited.Core.Revision != 7 || inherited.DiscoveryAddr != addr || inherited.Lock == nil {
		t.Errorf("state: revision %d, %d bytes of address, lock %v",
			inherited.Core.Revision, len(inherited.DiscoveryAddr), inherited.Lock)
	}
	if len(inherited.Listeners) != 1 || len(inherited.Clients) != items || len(inherited.Calls) != items {
		t.Fatalf("%d listeners, %d clients, %d calls",
			len(inherited.Listeners), len(inherited.Clients), len(inherited.Calls))
	}
	for i, c := range inherited.Clients {
		if string(c.Unprocessed) != fmt.Sprint(i) || c.FD <= 0 {
			t.Errorf("client %d: %q, descriptor %d", i, c.Unprocessed, c.FD)
		}
	}
}

// A predecessor that cannot hand over says so.
func TestReject(t *testing.T) {
	received := make(chan error, 1)
	s := connect(t, func(p *Predecessor) {
		received <- p.Receive(&Inherited{}, time.Now().Add(10*time.Second), func() {})
	})
	if err := s.Reject(); err != nil {
		t.Fatal(err)
	}
	if err := <-received; !errors.Is(err, ErrRejected) {
		t.Errorf("got %v", err)
	}
}

// What the successor says in place of what is awaited counts for nothing, and so
// does its silence.
func TestAwaitSomethingElse(t *testing.T) {
	for name, test := range map[string]struct {
		say        func(p *Predecessor) error
		unexpected bool
	}{
		"another packet": {(*Predecessor).SendServing, true},
		"nothing":        {func(*Predecessor) error { return nil }, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := connect(t, func(p *Predecessor) {
				if err := errors.Join(p.send(PacketRequest), test.say(p)); err != nil {
					t.Error(err)
				}
			})
			err := s.AwaitClaim(10 * time.Second)
			if err == nil || errors.Is(err, ErrUnexpectedPacket) != test.unexpected {
				t.Errorf("got %v", err)
			}
		})
	}
}
