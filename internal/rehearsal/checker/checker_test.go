package checker

import (
	"strings"
	"testing"

	"troutusher/internal/event"
)

const ms, s Time = 1000, 1_000_000

// Messages 0 and 1 are safe, 2 keyed, 3 unsafe, 4 and 5 of one thread in
// order. Endpoints a and b serve destination 1, c serves 2, d and e are routes
// apart of 3.
func testConfig() Config {
	return Config{
		Relays: 3,
		Classes: []Class{
			{},
			{Idempotency: IdempotentByKey, DedupWindow: 20 * s},
			{Idempotency: NonIdempotent},
			{Ordered: true, OrderedKeyBackoff: s},
		},
		Messages: []Message{
			{0, 1, 0},
			{0, 1, 0},
			{1, 1, 0},
			{2, 1, 0},
			{3, 1, 9},
			{3, 1, 9},
			{0, 3, 0},
		},
		Endpoints: []Endpoint{
			{"a", 1, false},
			{"b", 1, false},
			{"c", 2, false},
			{"d", 3, true},
			{"e", 3, true},
		},
		Slack:              50 * ms,
		DeadlineSlack:      300 * ms,
		RestartGrace:       1500 * ms,
		DrainGrace:         2 * s,
		RetryAfterGrace:    100 * ms,
		InformedShareLimit: 2.0 / 3,
	}
}

type scriptedRecord struct {
	now     Time
	checker *Checker
}

func (record *scriptedRecord) at(t Time) *scriptedRecord { record.now = t; return record }

func (record *scriptedRecord) step(e event.Event) *scriptedRecord {
	e.At = record.now
	record.checker.Step(e)
	return record
}

func (record *scriptedRecord) submit(id string, msg, relay int) *scriptedRecord {
	return record.step(event.Event{Kind: event.Submitted, ID: id, Message: msg, Relay: relay, Left: 8 * s}).
		step(event.Event{Kind: event.Accepted, ID: id})
}

func (record *scriptedRecord) call(no uint64, id string, relay, ep int) *scriptedRecord {
	return record.step(event.Event{Kind: event.CallFirstByte, Call: no, Relay: relay, Endpoint: ep}).
		step(event.Event{Kind: event.CallReceived, Call: no, ID: id, Relay: relay, Endpoint: ep})
}

func (record *scriptedRecord) callEnded(no uint64, status int) *scriptedRecord {
	return record.step(event.Event{Kind: event.CallEnded, Call: no, Status: status})
}

func (record *scriptedRecord) endpointStatus(relay, ep, what int) *scriptedRecord {
	return record.step(event.Event{Kind: event.EndpointUpdateSent, Relay: relay, Endpoint: ep, Status: what})
}

func (record *scriptedRecord) tookEffect(no uint64, id string, ep int) *scriptedRecord {
	return record.step(event.Event{Kind: event.TookEffect, Call: no, ID: id, Endpoint: ep})
}

func (record *scriptedRecord) kind(k event.Kind, relay int) *scriptedRecord {
	return record.step(event.Event{Kind: k, Relay: relay})
}

func (record *scriptedRecord) notice(id string, what int) *scriptedRecord {
	return record.step(event.Event{Kind: event.NoticeReceived, ID: id, Status: what})
}

func (record *scriptedRecord) outage(ep, hidden int) *scriptedRecord {
	return record.step(event.Event{Kind: event.OutageBegan, Endpoint: ep, Status: hidden})
}

func (record *scriptedRecord) overloaded(ep int, by ...int) *scriptedRecord {
	return record.step(event.Event{Kind: event.OutageEnded, Endpoint: ep}).step(
		event.Event{Kind: event.Collapsed, Endpoint: ep, Calls: by},
	)
}

func TestRules(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(*scriptedRecord)
		rule Rule // "" where nothing is broken
		id   string
		at   Time
	}{
		// Nothing goes missing.
		{"delivered", func(record *scriptedRecord) {
			record.submit("m", 0, 0).call(1, "m", 0, 0).at(s).callEnded(1, 200)
		}, "", "", 0},
		{"given up in time", func(record *scriptedRecord) {
			record.submit("m", 0, 0).at(8200*ms).notice("m", event.NoticeAbandoned)
		}, "", "", 0},
		{"no end", func(record *scriptedRecord) {
			record.submit("m", 0, 0)
		}, RuleNoLoss, "m", 8350 * ms},
		{"end too late", func(record *scriptedRecord) {
			record.submit("m", 0, 0).at(9*s).notice("m", event.NoticeAbandoned)
		}, RuleNoLoss, "m", 8350 * ms},
		{"200 to a call that was not awaited any more", func(record *scriptedRecord) {
			record.submit("m", 0, 0).call(1, "m", 0, 0).at(s).callEnded(1, 0).callEnded(1, 200)
		}, RuleNoLoss, "m", 8350 * ms},
		{"refused needs no end", func(record *scriptedRecord) {
			record.step(event.Event{Kind: event.Submitted, ID: "m", Left: s}).
				step(event.Event{Kind: event.Rejected, ID: "m"})
		}, "", "", 0},
		{"two ends", func(record *scriptedRecord) {
			record.submit("m", 0, 0).at(s).notice("m", event.NoticeReturned).at(2*s).notice("m", event.NoticeAbandoned)
		}, RuleNoLoss, "m", 2 * s},
		{"one end twice", func(record *scriptedRecord) {
			record.submit("m", 0, 0).at(s).notice("m", event.NoticeAbandoned).at(2*s).notice("m", event.NoticeAbandoned)
		}, "", "", 0},
		{"a notice after the delivery", func(record *scriptedRecord) {
			record.submit("m", 0, 0).call(1, "m", 0, 0).
				at(s).callEnded(1, 200).at(2*s).notice("m", event.NoticeAbandoned)
		}, "", "", 0},
		{"due while its relay is down", func(record *scriptedRecord) {
			record.submit("m", 0, 0).at(7*s).kind(event.RelayKilled, 0).at(9*s).kind(event.RelayReady, 0).at(10400*ms).
				notice(
					"m", event.NoticeAbandoned,
				)
		}, "", "", 0},
		{"and never ended once it is back", func(record *scriptedRecord) {
			record.submit("m", 0, 0).at(7*s).kind(event.RelayKilled, 0).at(9*s).kind(event.RelayReady, 0)
		}, RuleNoLoss, "m", 10550 * ms},
		{"cut off", func(record *scriptedRecord) {
			record.step(
				event.Event{Kind: event.Submitted, ID: "m", Left: s},
			).at(100 * ms).step(event.Event{Kind: event.ConnectionEnded, ID: "m"})
		}, RuleNoLoss, "m", 100 * ms},
		{"cut off at a connection's first request", func(record *scriptedRecord) {
			record.step(event.Event{Kind: event.Submitted, ID: "m", Left: s}).at(100 * ms).step(
				event.Event{Kind: event.ConnectionEnded, ID: "m", Status: 1},
			)
		}, "", "", 0},
		{"cut off by a kill", func(record *scriptedRecord) {
			record.step(
				event.Event{Kind: event.Submitted, ID: "m", Left: s},
			).kind(event.RelayKilled, 0).at(100 * ms).step(event.Event{Kind: event.ConnectionEnded, ID: "m"})
		}, "", "", 0},

		// Every effect at most once.
		{"unsafe again after full", func(record *scriptedRecord) {
			record.submit("m", 3, 0).call(1, "m", 0, 0).
				at(s).callEnded(1, 503).call(2, "m", 0, 1).at(2*s).callEnded(2, 200)
		}, "", "", 0},
		{"unsafe again after no answer", func(record *scriptedRecord) {
			record.submit("m", 3, 0).call(1, "m", 0, 0).at(s).callEnded(1, 0).
				at(2*s).call(2, "m", 0, 1).at(3*s).callEnded(2, 200)
		}, RuleAtMostOnce, "m", 2 * s},
		{"unsafe again after an error", func(record *scriptedRecord) {
			record.submit("m", 3, 0).call(1, "m", 0, 0).at(s).callEnded(1, 500).
				at(2*s).call(2, "m", 0, 1).at(3*s).callEnded(2, 200)
		}, RuleAtMostOnce, "m", 2 * s},
		{"safe again after no answer", func(record *scriptedRecord) {
			record.submit("m", 0, 0).call(1, "m", 0, 0).at(s).callEnded(1, 0).
				at(2*s).call(2, "m", 0, 1).at(3*s).callEnded(2, 200)
		}, "", "", 0},
		{"a second copy at the same time", func(record *scriptedRecord) {
			record.submit("m", 2, 0).call(1, "m", 0, 0).at(s).call(2, "m", 0, 1).callEnded(1, 0).callEnded(2, 200)
		}, RuleAtMostOnce, "m", s},
		{"keyed again in its window", func(record *scriptedRecord) {
			record.submit("m", 2, 0).call(1, "m", 0, 0).at(s).callEnded(1, 0).
				at(7*s).call(2, "m", 0, 1).callEnded(2, 200)
		}, "", "", 0},
		{"keyed again after its window", func(record *scriptedRecord) {
			record.submit("m", 2, 0).call(1, "m", 0, 0).
				at(s).callEnded(1, 0).notice("m", event.NoticeReturned).at(25*s).
				submit("n", 2, 1).call(2, "n", 1, 1).callEnded(2, 200)
		}, RuleAtMostOnce, "n", 25 * s},
		{"unsafe handed back though it may have run", func(record *scriptedRecord) {
			record.submit("m", 3, 0).call(1, "m", 0, 0).
				at(s).callEnded(1, 0).at(2*s).notice("m", event.NoticeReturned)
		}, RuleAtMostOnce, "m", 2 * s},
		{"unsafe given up though it may have run", func(record *scriptedRecord) {
			record.submit("m", 3, 0).call(1, "m", 0, 0).at(s).callEnded(1, 0).at(2*s).notice("m", event.NoticeAbandoned)
		}, "", "", 0},
		{"an effect twice", func(record *scriptedRecord) {
			record.submit("m", 2, 0).call(1, "m", 0, 0).at(s).tookEffect(1, "m", 0).callEnded(1, 0).call(2, "m", 0, 1).
				at(3*s).tookEffect(2, "m", 1).callEnded(2, 200)
		}, RuleAtMostOnce, "m", 3 * s},
		{"an effect under an id whose client heard nothing", func(record *scriptedRecord) {
			record.step(
				event.Event{Kind: event.Submitted, ID: "m", Message: 3, Left: s},
			).call(1, "m", 0, 0).tookEffect(1, "m", 0).at(400*ms).
				step(
					event.Event{Kind: event.ClientTimedOut, ID: "m"},
				).submit("n", 3, 1).call(2, "n", 1, 1).at(s).tookEffect(2, "n", 1).callEnded(2, 200)
		}, "", "", 0},
		{"keyed again within the window of a later attempt alone", func(record *scriptedRecord) {
			record.submit("m", 2, 0).call(1, "m", 0, 0).callEnded(1, 0).notice("m", event.NoticeReturned).
				at(15*s).submit("n", 2, 0).call(2, "n", 0, 0).callEnded(2, 0).notice("n", event.NoticeReturned).
				at(25*s).submit("o", 2, 0).call(3, "o", 0, 0).callEnded(3, 200)
		}, RuleAtMostOnce, "o", 25 * s},
		{"two calls under an id whose client heard nothing", func(record *scriptedRecord) {
			record.step(event.Event{Kind: event.Submitted, ID: "m", Message: 3, Left: s}).
				step(event.Event{Kind: event.ClientTimedOut, ID: "m"}).
				call(1, "m", 0, 0).at(s).call(2, "m", 0, 1)
		}, "", "", 0},
		{"unsafe refused though it may have run", func(record *scriptedRecord) {
			record.step(event.Event{Kind: event.Submitted, ID: "m", Message: 3, Left: s}).
				call(1, "m", 0, 0).callEnded(1, 500).at(s).step(event.Event{Kind: event.Rejected, ID: "m"})
		}, RuleAtMostOnce, "m", s},

		// Drains.
		{"within the grace", func(record *scriptedRecord) {
			record.endpointStatus(0, 0, event.UpdateDraining).
				at(2*s).submit("m", 0, 0).call(1, "m", 0, 0).callEnded(1, 200)
		}, "", "", 0},
		{"within the grace and the slack", func(record *scriptedRecord) {
			record.endpointStatus(0, 0, event.UpdateDraining).
				at(2050*ms).submit("m", 0, 0).call(1, "m", 0, 0).callEnded(1, 200)
		}, "", "", 0},
		{"told before a restart", func(record *scriptedRecord) {
			record.endpointStatus(0, 0, event.UpdateDraining).kind(event.RelayKilled, 0).
				at(s).kind(event.RelayReady, 0).
				at(3*s).submit("m", 0, 0).call(1, "m", 0, 0).callEnded(1, 200)
		}, "", "", 0},
		{"after the grace", func(record *scriptedRecord) {
			record.endpointStatus(0, 0, event.UpdateDraining).
				at(2100*ms).submit("m", 0, 0).call(1, "m", 0, 0).callEnded(1, 200)
		}, RuleDrain, "m", 2100 * ms},
		{"told again does not begin it anew", func(record *scriptedRecord) {
			record.endpointStatus(
				0, 0, event.UpdateDraining,
			).at(s).endpointStatus(0, 0, event.UpdateRemoved).
				at(2100*ms).submit("m", 0, 0).call(1, "m", 0, 0).callEnded(1, 200)
		}, RuleDrain, "m", 2100 * ms},
		{"another relay, not told", func(record *scriptedRecord) {
			record.endpointStatus(0, 0, event.UpdateRemoved).
				at(3*s).submit("m", 0, 1).call(1, "m", 1, 0).callEnded(1, 200)
		}, "", "", 0},
		{"back in the list", func(record *scriptedRecord) {
			record.endpointStatus(
				0, 0, event.UpdateRemoved,
			).at(s).endpointStatus(0, 0, event.UpdateUp).at(4*s).submit("m", 0, 0).call(1, "m", 0, 0).callEnded(1, 200)
		}, "", "", 0},

		// Returning destinations.
		{"pushed by those who knew", func(record *scriptedRecord) {
			record.submit("m", 0, 0).call(1, "m", 0, 0).at(s).outage(0, 0).callEnded(1, 0).at(9*s).
				notice("m", event.NoticeAbandoned).overloaded(0, 9, 3, 0)
		}, RuleNoLoss, "m", 8350 * ms}, // and see below: both rules
		{"pushed in just so large a part by those who knew", func(record *scriptedRecord) {
			record.outage(0, 0).step(event.Event{Kind: event.HealthCheckAnswered, Status: 503}).
				at(s).overloaded(0, 6, 3, 0)
		}, RuleRecovery, "", s},
		{"pushed by those who did not", func(record *scriptedRecord) {
			record.outage(0, 0).submit("m", 0, 0).call(1, "m", 0, 0).callEnded(1, 503).notice("m", 1).
				at(s).overloaded(0, 3, 9, 9)
		}, "", "", 0},
		{"seen at another endpoint of the destination", func(record *scriptedRecord) {
			record.outage(0, 0).outage(1, 0).submit("m", 0, 0).call(1, "m", 0, 1).callEnded(1, 503).
				notice("m", 1).at(s).overloaded(0, 9, 1, 1)
		}, RuleRecovery, "", s},
		{"a route apart is not its neighbour", func(record *scriptedRecord) {
			record.outage(3, 0).outage(4, 0).submit("m", 6, 0).call(1, "m", 0, 4).callEnded(1, 503).
				notice("m", 1).at(s).overloaded(3, 9, 1, 1)
		}, "", "", 0},
		{"seen by a probe", func(record *scriptedRecord) {
			record.outage(0, 0).step(event.Event{Kind: event.HealthCheckAnswered, Relay: 2, Status: 503}).
				at(s).overloaded(0, 0, 1, 9)
		}, RuleRecovery, "", s},
		{"one of two dead: the calls may have gone to the other", func(record *scriptedRecord) {
			record.outage(0, 1).submit("m", 0, 1).notice("m", 1).at(s).overloaded(0, 0, 9, 0)
		}, "", "", 0},
		{"refused connections leave no trace", func(record *scriptedRecord) {
			record.outage(0, 1).outage(1, 1).submit("m", 0, 1).notice("m", 1).at(s).overloaded(0, 0, 9, 0)
		}, RuleRecovery, "", s},
		{"seen in an earlier outage", func(record *scriptedRecord) {
			record.outage(0, 0).submit("m", 0, 0).call(1, "m", 0, 0).callEnded(1, 503).notice("m", 1).at(s).
				step(event.Event{Kind: event.OutageEnded}).at(2*s).outage(0, 0).at(3*s).overloaded(0, 9, 0, 0)
		}, "", "", 0},

		// Order.
		{"in turn", func(record *scriptedRecord) {
			record.submit("m", 4, 0).submit("n", 5, 0).call(1, "m", 0, 0).at(s).callEnded(1, 200).
				call(2, "n", 0, 0).at(2*s).callEnded(2, 200)
		}, "", "", 0},
		{"overtaken", func(record *scriptedRecord) {
			record.submit("m", 4, 0).at(s).submit("n", 5, 0).call(2, "n", 0, 0).at(2*s).callEnded(2, 200).
				call(1, "m", 0, 0).callEnded(1, 200)
		}, RuleOrdering, "n", s},
		{"one that is not finished holds a later one back", func(record *scriptedRecord) {
			record.submit("m", 4, 0).submit("n", 5, 0).call(1, "n", 0, 0).callEnded(1, 200).
				at(s).submit("o", 4, 0).call(2, "o", 0, 0).callEnded(2, 200).call(3, "m", 0, 0).callEnded(3, 200)
		}, RuleOrdering, "o", s},
		{"while the end of one is not sure", func(record *scriptedRecord) {
			record.submit("m", 4, 0).submit("n", 5, 0).call(1, "m", 0, 0).at(s).callEnded(1, 0).notice(
				"m", event.NoticeAbandoned,
			).at(1500*ms).call(2, "n", 0, 0).callEnded(2, 200)
		}, RuleOrdering, "n", 1500 * ms},
		{"after its rest", func(record *scriptedRecord) {
			record.submit("m", 4, 0).submit("n", 5, 0).call(1, "m", 0, 0).at(s).callEnded(1, 0).notice(
				"m", event.NoticeAbandoned,
			).at(2*s).call(2, "n", 0, 0).callEnded(2, 200)
		}, "", "", 0},

		// Waits.
		{"let through", func(record *scriptedRecord) {
			record.submit("m", 0, 0).submit("n", 1, 0).call(1, "m", 0, 0).step(
				event.Event{Kind: event.CallEnded, Call: 1, Status: 429, Wait: s},
			).
				at(140*ms).call(2, "n", 0, 1).callEnded(2, 200).at(s).call(3, "m", 0, 0).callEnded(3, 200)
		}, "", "", 0},
		{"into a wait", func(record *scriptedRecord) {
			record.submit("m", 0, 0).submit("n", 1, 0).call(1, "m", 0, 0).step(
				event.Event{Kind: event.CallEnded, Call: 1, Status: 429, Wait: s},
			).
				at(990*ms).call(2, "n", 0, 1).callEnded(2, 200).at(s).call(3, "m", 0, 0).callEnded(3, 200)
		}, RuleRetryAfter, "n", 990 * ms},
		{"a probe into a wait", func(record *scriptedRecord) {
			record.submit("m", 0, 0).call(1, "m", 0, 0).step(
				event.Event{Kind: event.CallEnded, Call: 1, Status: 429, Wait: s},
			).notice("m", 1).
				at(500 * ms).step(event.Event{Kind: event.HealthCheckReceived, Relay: 0, Endpoint: 1})
		}, RuleRetryAfter, "", 500 * ms},
		{"another relay was not told", func(record *scriptedRecord) {
			record.submit("m", 0, 0).submit("n", 1, 1).call(1, "m", 0, 0).step(
				event.Event{Kind: event.CallEnded, Call: 1, Status: 429, Wait: s},
			).notice("m", 1).
				at(500*ms).call(2, "n", 1, 1).callEnded(2, 200)
		}, "", "", 0},
		{"a restart ends it", func(record *scriptedRecord) {
			record.submit("m", 0, 0).call(1, "m", 0, 0).step(
				event.Event{Kind: event.CallEnded, Call: 1, Status: 429, Wait: 5 * s},
			).at(s).
				kind(event.RelayKilled, 0).at(2*s).kind(event.RelayReady, 0).call(2, "m", 0, 1).callEnded(2, 200)
		}, "", "", 0},

		// Strays.
		{"to another destination", func(record *scriptedRecord) {
			record.submit("m", 0, 0).call(1, "m", 0, 2).callEnded(1, 200)
		}, RuleRouting, "m", 0},
		{"for nobody", func(record *scriptedRecord) {
			record.step(event.Event{Kind: event.UnknownCall, ID: "q"})
		}, RuleRouting, "q", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(testConfig())
			c.play(&scriptedRecord{checker: r})
			r.Finish(60 * s)
			found := r.Violations()
			if c.rule == "" {
				if len(found) > 0 {
					t.Errorf("convicted: %s", found[0].String())
				}
				return
			}
			if len(found) == 0 {
				t.Fatalf("acquitted; want %q of %s at %d", c.rule, c.id, c.at)
			}
			if v := found[0]; v.Rule != c.rule || v.ID != c.id || v.At != c.at || v.Evidence == "" ||
				!strings.Contains(v.String(), string(v.Rule)) {
				t.Errorf("%s\n(at %d), want %q of %s at %d", v.String(), v.At, c.rule, c.id, c.at)
			}
		})
	}
}

func TestSeveralRulesInOneRun(t *testing.T) {
	r := New(testConfig())
	record := &scriptedRecord{checker: r}
	record.submit("m", 0, 0).call(1, "m", 0, 0).at(s).outage(0, 0).callEnded(1, 0).at(9*s).notice(
		"m", event.NoticeAbandoned,
	).overloaded(0, 9, 3, 0)
	r.Finish(20 * s)
	found := r.Violations()
	if len(found) != 2 || found[0].Rule != RuleNoLoss || found[1].Rule != RuleRecovery {
		t.Errorf("found %v", found)
	}
}

// FuzzStep: no record, however odd, stops the checker.
func FuzzStep(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 1, 0, 0, 0, 6, 0, 0, 0, 7, 0, 0, 0, 8, 0, 200, 1})
	f.Add([]byte{15, 0, 3, 1, 17, 0, 3, 9})
	f.Fuzz(func(t *testing.T, text []byte) {
		r := New(testConfig())
		at := Time(0)
		for ; len(text) >= 4; text = text[4:] {
			at += Time(text[3]) * 20 * ms
			r.Step(event.Event{
				At:       at,
				Kind:     event.Kind(text[0] % 24),
				Relay:    int(int8(text[1])) % 5,
				Endpoint: int(int8(text[2])) % 7,
				Message:  int(text[1]) % 8,
				Call:     uint64(text[2]),
				Status:   int(text[2]) * 3,
				Wait:     Time(text[3]) * 10 * ms,
				Left:     s,
				ID:       string('a' + rune(text[1]%8)),
				Calls:    []int{1, 2},
			})
		}
		r.Finish(at + 60*s)
		r.Violations()
	})
}

// The term for restarts: over half of what starts find untried, with half of its
// time left, ended with no call. What has no time left, was called before, ends
// while its relay is down or is found in a hand-over counts for nothing.
func TestUntriedAtRestart(t *testing.T) {
	for _, c := range []struct {
		name        string
		tried, back int // of ten that a start finds
		downFrom    Time
		least       int
		called      bool // before the start
		never       bool // the relay is never down
		want        RestartCounts
		broken      bool
	}{
		{"half of them", 5, 5, s, 10, false, false, RestartCounts{10, 5, 5}, false},
		{"more than half", 4, 6, s, 10, false, false, RestartCounts{10, 4, 6}, true},
		{"few of them", 0, 9, s, 11, false, false, RestartCounts{10, 0, 9}, false},
		{"under half of their time left", 0, 10, 5 * s, 10, false, false, RestartCounts{}, false},
		{"called before", 0, 10, s, 10, true, false, RestartCounts{}, false},
		{"no start", 0, 10, s, 10, false, true, RestartCounts{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := testConfig()
			f.MaxEndedUnattempted, f.MinUnattempted = 0.5, c.least
			record := &scriptedRecord{checker: New(f)}
			ids := make([]string, 10)
			for i := range ids {
				ids[i] = string(rune('a' + i))
				if record.submit(ids[i], 0, 0); c.called {
					record.call(uint64(i+1), ids[i], 0, 0).callEnded(uint64(i+1), 503)
				}
			}
			record.submit("other", 0, 1) // another relay's
			if record.at(c.downFrom); !c.never {
				record.kind(event.RelayKilled, 0)
			}
			record.at(c.downFrom+s).kind(event.RelayReady, 0)
			record.at(c.downFrom + s + 100*ms)
			for i := range c.tried {
				record.call(uint64(100+i), ids[i], 0, 0).callEnded(uint64(100+i), 503)
			}
			for i := range 10 { // what was called may be handed back as well
				if i < c.tried || i < c.tried+c.back {
					record.notice(ids[i], event.NoticeReturned)
				}
			}
			record.notice("other", event.NoticeReturned)
			record.checker.Finish(7 * s)
			if got := record.checker.RestartCounts(); got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
			found := record.checker.Violations()
			if broken := len(found) == 1 && found[0].Rule == RuleRestart; broken != c.broken || len(found) > 1 {
				t.Errorf("violations: %v", found)
			}
		})
	}
}
