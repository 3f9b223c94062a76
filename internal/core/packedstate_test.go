package core

import (
	"fmt"
	"testing"

	"troutusher/policy"
)

// FuzzUnpack guards against panics, excessive memory and partial results when unpack reads damaged
// bytes: unpack must return an error and a snapshot without limiters.
func FuzzUnpack(f *testing.F) {
	m := &policy.Snapshot{Now: 5e9, Limiters: []policy.LimiterSnapshot{{
		Latency:   policy.LatencySnapshot{Mean: 3, Count: 2},
		Endpoints: []policy.EndpointSnapshot{{ID: 1, Unhealthy: true, LastSuccessAt: 4e9, LastFailureAt: 5e9}},
	}}}
	b, err := pack(m, func(policy.EndpointID) (uint32, bool) { return 7, true })
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xa2, 1, 0, 2, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := unpack(b, 1, func(uint32) policy.EndpointID { return 1 })
		if m == nil || err != nil && len(m.Limiters) > 0 {
			t.Errorf("unpack(%x) = %v, %v, want a snapshot, without limiters if there is an error", b, m, err)
		}
	})
}

// TestPackUnpackRoundTrip guards against times and health that change with passivation, such as a
// backoff that ends too early, and against a packed form that takes too much memory.
func TestPackUnpackRoundTrip(t *testing.T) {
	m := &policy.Snapshot{Now: 5e9, Limiters: []policy.LimiterSnapshot{{
		Destination: 3, Window: 1, RateMultiplier: 1, ReportedRate: 12.5, ReducedRate: 0.25, ReducedAt: 4e9 + 1,
		Latency: policy.LatencySnapshot{Mean: 1500, Deviation: 20, Count: 7},
		Endpoints: []policy.EndpointSnapshot{{
			ID: 11, Unhealthy: true, LastFailureSilent: true, FirstFailureAt: 4e9, LastFailureAt: 5e9,
			RecoveredAt: 4e9 + 5, RecoverySentAt: 4e9 + 3, LastSuccessAt: 1, BackoffUntil: 5e9 + 7, FailureScore: 0.5,
			RecoveryBudget: policy.TokenBucketSnapshot{At: 4e9, Tokens: 1.5, Used: true}, RequiredTokens: 0.75,
			Latency: policy.LatencySnapshot{Mean: 9, Deviation: 1, Count: 1},
		}, {ID: 12}},
	}}}
	b, err := pack(m, func(n policy.EndpointID) (uint32, bool) { return uint32(n) * 1e8, true })
	if err != nil {
		t.Fatal(err)
	}
	got, err := unpack(b, 3, func(x uint32) policy.EndpointID { return policy.EndpointID(x / 1e8) })
	if err != nil {
		t.Fatal(err)
	}
	want := *m
	want.Limiters[0].Endpoints[0].LastFailureAt++ // a failure at Now is read as 1 µs later
	if a, b := fmt.Sprintf("%+v", got.Limiters), fmt.Sprintf("%+v", want.Limiters); a != b {
		t.Errorf("unpack(pack(m)) = %s\nwant %s", a, b)
	}
	if len(b) > 160 {
		t.Errorf("len(pack(m)) = %d bytes, want at most 160", len(b))
	}
}
