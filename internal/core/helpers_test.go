package core

import (
	"encoding/json"
	"fmt"
	"testing"

	"troutusher/policy"
)

// is reports whether an event or an effect is of type T.
func is[T, Interface any](v Interface) bool {
	_, ok := any(v).(T)
	return ok
}

func isSend(effect Effect) bool { return is[AppendThenSend](effect) }

// recordOf returns the log record that an effect appends, or nil.
func recordOf(e Effect) *Record {
	switch e := e.(type) {
	case AppendRecord:
		return e.Record
	case AppendThenReply:
		return e.Request.Record
	case AppendThenSend:
		return e.Record
	case AppendThenNotify:
		return e.Record
	}
	return nil
}

// callOf returns the call that an event ends, or nil.
func callOf(e Event) *Call {
	switch e := e.(type) {
	case AttemptFinished:
		return e.Call
	case AttemptNotLogged:
		return e.Call
	}
	return nil
}

// listEvent returns the event of an endpoint list, which is complete unless kind is policy.ListDelta.
func listEvent(kind policy.ListUpdateKind, members ...Member) EndpointListUpdated {
	return EndpointListUpdated{Kind: kind, List: &EndpointList{Complete: kind != policy.ListDelta, Members: members}}
}

// plainRecord returns the record of a submitted message of the class "plain".
func plainRecord(id string, dest int, deadline int64) *Record {
	return &Record{Kind: RecordAccepted, ID: id, Class: "plain", Dest: dest, Deadline: deadline}
}

// submission returns the event that submits a message of the first class, which is "plain", without a
// tenant.
func submission(record *Record) Submitted {
	return Submitted{Request: &Request{Tenant: -1, Record: record}}
}

// delivered returns the result of a call that delivered its message.
func delivered(elapsed policy.Time) *Result {
	return &Result{Outcome: policy.Delivered, Status: 200, Final: true, Elapsed: elapsed}
}

// rejected returns the result of a call that the endpoint rejected with a Retry-After.
func rejected(retryAfter policy.Time) *Result {
	return &Result{Outcome: policy.Rejected, Status: 429, RetryAfter: retryAfter}
}

// testCore returns a core with three message classes and no endpoint.
func testCore(t testing.TB) *Core {
	t.Helper()
	return newTestCore(t, testSettings())
}

func newTestCore(t testing.TB, settings Settings) *Core {
	t.Helper()
	c, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func testSettings() Settings {
	class := func(idempotency policy.Idempotency) policy.Class {
		return policy.Class{
			Name: "c", LatencyObjective: 1500e3, Deadline: 20e6, Weight: 1, Idempotency: idempotency, DedupWindow: 20e6,
		}
	}
	return Settings{
		Seed: 1, Epoch: 1e15,
		Policy: policy.Settings{
			Relays: 1, MaxConcurrentCalls: 16, MaxPending: 100, MaxAttempts: 8, OverQuotaWeight: 1,
			ListHasRates: true, HealthChecks: true, Cancellation: true, SendRetryAfter: true, MaxRetryAfter: 2e6,
			ConnectTimeout: 1500e3, IdleTimeout: 10e6, StreamsPerConnection: 1, TickInterval: 5000,
			ReplyGrace: 20e3, DrainGrace: 2e6, InitialCapacity: 0.26, RampDuration: 13e6,
			OverloadFactor: 1.5, OverloadDuration: 2e6,
			Classes: []policy.Class{
				class(policy.Idempotent), class(policy.IdempotentByKey), class(policy.NonIdempotent),
			},
			Tenants: []policy.Tenant{{Name: "acme", Quota: 1000}},
			DestinationKinds: []policy.DestinationKind{
				{BatchSize: 1}, {BatchSize: 1, IndependentRoutes: true},
			},
		},
		Zones:            map[string]int{"a": 0},
		DestinationKinds: map[string]int{"k": 0, "r": 1},
		Classes:          map[string]int{"plain": 0, "keyed": 1, "once": 2},
		Tenants:          map[string]int{"acme": 0},
	}
}

// testMember returns the endpoint with the ID "s-<i>" of a destination.
func testMember(i, dest int, flavor string) Member {
	return Member{
		ID: fmt.Sprintf("s-%d", i), HostPort: fmt.Sprintf("127.0.0.1:%d", 7000+i), Locality: "a", Flavor: flavor,
		Dest: dest, Phase: Up, Rate: 40,
	}
}

// roundTrip encodes from as JSON and decodes the result into to, as a file or another process would.
func roundTrip(t testing.TB, from, to any) {
	t.Helper()
	text, err := json.Marshal(from)
	if err == nil {
		err = json.Unmarshal(text, to)
	}
	if err != nil {
		t.Fatal(err)
	}
}
