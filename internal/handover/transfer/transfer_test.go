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

// connect connects a predecessor and a successor through a folder and returns after the
// successor's request. After the hellos, receive runs on the successor's side; it has to
// send the request.
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
		t.Errorf("Accept() = successor with PID %d, want %d", s.PID, os.Getpid())
	}
	return s
}

// openDescriptors returns n descriptors of files that are open until the end of the test.
func openDescriptors(t *testing.T, n int) (fds []int) {
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

// Guards against parts of the state that get lost if it needs many packets, with more
// clients and calls than fit in one packet, and against packets out of order.
func TestWholeHandover(t *testing.T) {
	const items = link.MaxDescriptors + 6
	inherited := &Inherited{}
	received := make(chan error, 1)
	s := connect(t, func(p *Predecessor) {
		err := p.Receive(inherited, time.Now().Add(10*time.Second), func() {})
		received <- errors.Join(err, p.SendClaim(), p.SendServing())
	})
	fds := openDescriptors(t, 2*items+2)
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
		t.Errorf("inherited: revision %d, %d bytes of address, lock %v, want 7, all bytes and a lock",
			inherited.Core.Revision, len(inherited.DiscoveryAddr), inherited.Lock)
	}
	if len(inherited.Listeners) != 1 || len(inherited.Clients) != items || len(inherited.Calls) != items {
		t.Fatalf("inherited: %d listeners, %d clients, %d calls, want 1 listener and as many others as were sent",
			len(inherited.Listeners), len(inherited.Clients), len(inherited.Calls))
	}
	for i, c := range inherited.Clients {
		if string(c.Unprocessed) != fmt.Sprint(i) || c.FD <= 0 {
			t.Errorf("client %d: unprocessed %q, descriptor %d, want its index and a descriptor above 0",
				i, c.Unprocessed, c.FD)
		}
	}
}

// Guards against a successor that doesn't recognize a rejection and waits until its
// time is over.
func TestReject(t *testing.T) {
	received := make(chan error, 1)
	s := connect(t, func(p *Predecessor) {
		received <- p.Receive(&Inherited{}, time.Now().Add(10*time.Second), func() {})
	})
	if err := s.Reject(); err != nil {
		t.Fatal(err)
	}
	if err := <-received; !errors.Is(err, ErrRejected) {
		t.Errorf("Receive() after Reject = %v, want ErrRejected", err)
	}
}

// Guards against a hand-over that is completed without a claim: because another packet
// arrives in its place, or because the successor disconnects without sending one.
func TestAwaitClaimNeverSent(t *testing.T) {
	for name, test := range map[string]struct {
		send       func(p *Predecessor) error
		unexpected bool
	}{
		"another packet": {(*Predecessor).SendServing, true},
		"no packet":      {func(*Predecessor) error { return nil }, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := connect(t, func(p *Predecessor) {
				if err := errors.Join(p.send(PacketRequest), test.send(p)); err != nil {
					t.Error(err)
				}
			})
			err := s.AwaitClaim(10 * time.Second)
			if err == nil || errors.Is(err, ErrUnexpectedPacket) != test.unexpected {
				t.Errorf("AwaitClaim() = %v, want an error, ErrUnexpectedPacket: %v", err, test.unexpected)
			}
		})
	}
}
