package core

import (
	"fmt"
	"testing"

	"troutusher/policy"
)

// shutdownFixture is a core with 16 endpoints of destination 1, whose effects a test
// looks at.
type shutdownFixture struct {
	t    *testing.T
	core *Core
	now  policy.Time
}

func newShutdownFixture(t *testing.T) *shutdownFixture {
	s := &shutdownFixture{t: t, core: testCore(t), now: 3600e6}
	l := &EndpointList{}
	for k := range 16 {
		l.Members = append(l.Members, Member{ID: fmt.Sprintf("s-%d", k), HostPort: fmt.Sprintf("127.0.0.1:%d", 7000+k), Dest: k, Phase: Up, Rate: 1000, Locality: "a", Flavor: "k"})
	}
	s.step(EndpointListUpdated{Kind: policy.ListFull, List: l})
	return s
}

func (s *shutdownFixture) step(events ...Event) []Effect { return s.core.Step(s.now, events, nil) }

// submit hands a message in, has its client hear, and tells whether it was taken
// on and whether its call was begun.
func (s *shutdownFixture) submit(id, class string, dest int) (taken, sent bool) {
	s.t.Helper()
	q := &Request{Class: s.core.settings.Classes[class], Record: &Record{Kind: RecordAccepted, ID: id, Class: class, Key: id, Dest: dest, Deadline: s.core.wallTime(s.now + 15e6)}}
	fx := s.step(Submitted{Request: q})
	for i := range fx {
		if is[AppendThenReply](fx[i]) {
			taken = true
		}
	}
	if taken {
		fx = s.step(ReplyDelivered{Request: q, OK: true})
		for i := range fx {
			sent = sent || is[AppendThenSend](fx[i])
		}
	}
	return taken, sent
}

// What a planned stop promises, each moment by itself: what is taken on, and
// which calls are begun, so long after SIGTERM.
func TestShutdownSchedule(t *testing.T) {
	for _, x := range []struct {
		class       string
		after       policy.Time
		taken, sent bool
		keeps       bool
	}{
		{"plain", 0, true, true, true}, {"once", 0, true, true, true},
		{"once", CloseClientsAfter - 1, true, true, true}, {"once", CloseClientsAfter, false, false, false},
		{"plain", CloseClientsAfter, true, true, false}, {"keyed", stopAcceptingAfter - 1, true, true, false}, {"plain", stopAcceptingAfter, false, false, false},
	} {
		s := newShutdownFixture(t)
		s.step(ShutdownRequested{})
		s.now += x.after
		if got := s.core.KeepsClientConnections(s.now); got != x.keeps {
			t.Errorf("%d ms after SIGTERM clients are kept: %v", x.after/1000, got)
		}
		if taken, sent := s.submit("m", x.class, 1); taken != x.taken || sent != x.sent {
			t.Errorf("%s, %d ms after SIGTERM: taken %v, sent %v; want %v, %v", x.class, x.after/1000, taken, sent, x.taken, x.sent)
		}
	}
	// A message that was held before: when its call may be begun at the latest.
	for _, x := range []struct {
		class string
		last  policy.Time
	}{{"plain", StopSendsAfter}, {"keyed", StopSendsAfter}, {"once", stopNonIdempotentSendsAfter}} {
		for _, after := range []policy.Time{x.last - 20e3, x.last} {
			s := newShutdownFixture(t)
			taken, sent := s.submit("m", x.class, 20) // no list names an endpoint of it
			if s.core.knownDestinations[20] = true; taken || sent {
				t.Fatal("taken for a destination that nobody named")
			}
			if taken, sent = s.submit("m", x.class, 20); !taken || sent {
				t.Fatalf("taken %v, sent %v", taken, sent)
			}
			s.step(ShutdownRequested{})
			s.now += after
			l := &EndpointList{Members: []Member{{ID: "late", HostPort: "127.0.0.1:1", Dest: 20, Phase: Up, Rate: 1000, Locality: "a", Flavor: "k"}}}
			sent = false
			fx := s.step(EndpointListUpdated{Kind: policy.ListDelta, List: l})
			for i := range fx {
				sent = sent || is[AppendThenSend](fx[i])
			}
			if want := after < x.last; sent != want {
				t.Errorf("%s: a call is begun %d ms after SIGTERM: %v, want %v", x.class, after/1000, sent, want)
			}
		}
	}
}

// Where more waits than the slots can take soon, nothing more is taken on, and
// clients are let go at once.
func TestShutdownWithBacklog(t *testing.T) {
	s := newShutdownFixture(t)
	s.core.knownDestinations[20] = true
	for i := range 8 {
		s.submit(fmt.Sprintf("m%d", i), "plain", 20)
	}
	s.step(ShutdownRequested{})
	if s.core.KeepsClientConnections(s.now) {
		t.Error("clients are kept with 8 messages waiting for 16 slots")
	}
	if taken, _ := s.submit("late", "plain", 1); taken {
		t.Error("more is taken on")
	}
}

// What a restart promises: attempts that were made count, one whose outcome
// nobody saw may have run, and the time that is left goes on.
func TestRecoveredHistory(t *testing.T) {
	for _, x := range []struct {
		name string
		rec  Record
		want string // how it goes on: sent, failed, or refused
	}{
		{"fresh", Record{Class: "plain"}, "sent"},
		{"seven of eight attempts", Record{Class: "plain", Attempts: 7}, "sent"},
		{"all eight attempts", Record{Class: "plain", Attempts: 8}, NoticeHandedBack},
		{"unsafe, never ran", Record{Class: "once", Attempts: 2}, "sent"},
		{"unsafe, out", Record{Class: "once", Attempts: 1, OpenAttemptAt: 1}, NoticeGivenUp},
		{"safe, out", Record{Class: "plain", Attempts: 1, OpenAttemptAt: 1}, "sent"},
		{"keyed, in its window", Record{Class: "keyed", Attempts: 1, FirstUncertainAt: 15e6}, "sent"},
		{"keyed, past its window", Record{Class: "keyed", Attempts: 1, FirstUncertainAt: 25e6}, NoticeGivenUp},
		{"its time over", Record{Class: "plain", Deadline: -1}, NoticeHandedBack},
	} {
		s := newShutdownFixture(t)
		rec := x.rec
		rec.Kind, rec.ID, rec.Dest = RecordAccepted, "m", 1
		ago := func(us int64) int64 { return s.core.wallTime(s.now) - us }
		if rec.FirstUncertainAt > 0 {
			rec.FirstUncertainAt = ago(rec.FirstUncertainAt)
		}
		if rec.OpenAttemptAt > 0 {
			rec.OpenAttemptAt = ago(1e6)
		}
		rec.Deadline = s.core.wallTime(s.now + 15e6 + 16e6*rec.Deadline)
		rec.ResolveOpenAttempt()
		fx := s.core.RecoverMessages(s.now, []*Record{&rec}, nil, 0, nil)
		fx = append(fx, s.step()...)
		s.now += 10e3
		fx = append(fx, s.step()...)
		got := "nothing"
		for i := range fx {
			switch e := fx[i].(type) {
			case AppendThenSend:
				got = "sent"
			case AppendThenNotify:
				got = e.Notice.Outcome
			}
		}
		if got != x.want {
			t.Errorf("%s: %s, want %s", x.name, got, x.want)
		}
	}
}
