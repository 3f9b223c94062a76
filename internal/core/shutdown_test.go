package core

import (
	"fmt"
	"slices"
	"testing"

	"troutusher/policy"
)

// shutdownFixture is a core with 16 destinations of one endpoint each, whose effects a
// test looks at.
type shutdownFixture struct {
	t    *testing.T
	core *Core
	now  policy.Time
}

func newShutdownFixture(t *testing.T) *shutdownFixture {
	t.Helper()
	s := &shutdownFixture{t: t, core: testCore(t), now: 3600e6}
	var members []Member
	for i := range 16 {
		member := testMember(i, i, "k")
		member.Rate = 1000
		members = append(members, member)
	}
	s.step(listEvent(policy.ListFull, members...))
	return s
}

func (s *shutdownFixture) step(events ...Event) []Effect { return s.core.Step(s.now, events, nil) }

// submit submits a message, has its reply delivered, and returns whether it was accepted
// and whether its call was begun.
func (s *shutdownFixture) submit(id, class string, dest int) (accepted, sent bool) {
	s.t.Helper()
	record := plainRecord(id, dest, s.core.wallTime(s.now+15e6))
	record.Class, record.Key = class, id
	request := &Request{Class: s.core.settings.Classes[class], Record: record}
	if !slices.ContainsFunc(s.step(Submitted{Request: request}), is[AppendThenReply, Effect]) {
		return false, false
	}
	return true, slices.ContainsFunc(s.step(ReplyDelivered{Request: request, OK: true}), isSend)
}

// The schedule of a shutdown, each time by itself: which messages are accepted and which
// calls are begun, so long after SIGTERM.
func TestShutdownSchedule(t *testing.T) {
	for _, test := range []struct {
		class          string
		after          policy.Time
		accepted, sent bool
		keeps          bool
	}{
		{"plain", 0, true, true, true},
		{"once", 0, true, true, true},
		{"once", CloseClientsAfter - 1, true, true, true},
		{"once", CloseClientsAfter, false, false, false},
		{"plain", CloseClientsAfter, true, true, false},
		{"keyed", stopAcceptingAfter - 1, true, true, false},
		{"plain", stopAcceptingAfter, false, false, false},
	} {
		s := newShutdownFixture(t)
		s.step(ShutdownRequested{})
		s.now += test.after
		if got := s.core.KeepsClientConnections(s.now); got != test.keeps {
			t.Errorf("%d ms after SIGTERM client connections are kept: %v", test.after/1000, got)
		}
		if accepted, sent := s.submit("m", test.class, 1); accepted != test.accepted || sent != test.sent {
			t.Errorf("%s, %d ms after SIGTERM: accepted %v, sent %v; want %v, %v",
				test.class, test.after/1000, accepted, sent, test.accepted, test.sent)
		}
	}
}

// When the call of a message that was held before may be begun at the latest.
func TestShutdownStopsSends(t *testing.T) {
	for _, test := range []struct {
		class string
		last  policy.Time
	}{{"plain", StopSendsAfter}, {"keyed", StopSendsAfter}, {"once", stopNonIdempotentSendsAfter}} {
		for _, after := range []policy.Time{test.last - 20e3, test.last} {
			s := newShutdownFixture(t)
			if accepted, sent := s.submit("m", test.class, 20); accepted || sent {
				t.Fatal("accepted for a destination that no list named")
			}
			s.core.knownDestinations[20] = true
			if accepted, sent := s.submit("m", test.class, 20); !accepted || sent {
				t.Fatalf("accepted %v, sent %v", accepted, sent)
			}
			s.step(ShutdownRequested{})
			s.now += after
			late := testMember(99, 20, "k")
			late.Rate = 1000
			sent := slices.ContainsFunc(s.step(listEvent(policy.ListDelta, late)), isSend)
			if want := after < test.last; sent != want {
				t.Errorf("%s: a call is begun %d ms after SIGTERM: %v, want %v", test.class, after/1000, sent, want)
			}
		}
	}
}

// Where more messages wait than the slots take soon, no more are accepted, and client
// connections are closed at once.
func TestShutdownWithBacklog(t *testing.T) {
	s := newShutdownFixture(t)
	s.core.knownDestinations[20] = true
	for i := range 8 {
		s.submit(fmt.Sprintf("m%d", i), "plain", 20)
	}
	s.step(ShutdownRequested{})
	if s.core.KeepsClientConnections(s.now) {
		t.Error("client connections are kept with 8 messages waiting for 16 slots")
	}
	if accepted, _ := s.submit("late", "plain", 1); accepted {
		t.Error("more is accepted")
	}
}

// After a restart attempts that were made count, one whose outcome is not known may have
// run, and the time that is left goes on.
func TestRecoveredHistory(t *testing.T) {
	for _, test := range []struct {
		name   string
		record Record
		want   string // how it goes on: sent, given up, or handed back
	}{
		{"fresh", Record{Class: "plain"}, "sent"},
		{"seven of eight attempts", Record{Class: "plain", Attempts: 7}, "sent"},
		{"all eight attempts", Record{Class: "plain", Attempts: 8}, NoticeHandedBack},
		{"must not run twice, never ran", Record{Class: "once", Attempts: 2}, "sent"},
		{"must not run twice, open", Record{Class: "once", Attempts: 1, OpenAttemptAt: 1}, NoticeGivenUp},
		{"idempotent, open", Record{Class: "plain", Attempts: 1, OpenAttemptAt: 1}, "sent"},
		{"keyed, in its window", Record{Class: "keyed", Attempts: 1, FirstUncertainAt: 15e6}, "sent"},
		{"keyed, past its window", Record{Class: "keyed", Attempts: 1, FirstUncertainAt: 25e6}, NoticeGivenUp},
		{"past its deadline", Record{Class: "plain", Deadline: -1}, NoticeHandedBack},
	} {
		s := newShutdownFixture(t)
		record := test.record
		record.Kind, record.ID, record.Dest = RecordAccepted, "m", 1
		ago := func(us int64) int64 { return s.core.wallTime(s.now) - us }
		if record.FirstUncertainAt > 0 {
			record.FirstUncertainAt = ago(record.FirstUncertainAt)
		}
		if record.OpenAttemptAt > 0 {
			record.OpenAttemptAt = ago(1e6)
		}
		record.Deadline = s.core.wallTime(s.now + 15e6 + 16e6*record.Deadline)
		record.ResolveOpenAttempt()
		effects := s.core.RecoverMessages(s.now, []*Record{&record}, nil, 0, nil)
		effects = append(effects, s.step()...)
		s.now += 10e3
		effects = append(effects, s.step()...)
		got := "nothing"
		for _, effect := range effects {
			switch e := effect.(type) {
			case AppendThenSend:
				got = "sent"
			case AppendThenNotify:
				got = e.Notice.Outcome
			}
		}
		if got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}
