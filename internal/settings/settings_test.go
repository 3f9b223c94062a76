package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"troutusher/internal/wire"
	"troutusher/policy"
)

// readSettings parses the recorded settings text, in which every value differs.
func readSettings(t *testing.T) *wire.Settings {
	t.Helper()
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := wire.ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// TestMapping pins where each key of the settings text goes.
func TestMapping(t *testing.T) {
	got, err := ForPolicy(readSettings(t))
	if err != nil {
		t.Fatal(err)
	}
	want := policy.Settings{
		Relays:               7,
		Zone:                 2,
		MaxConcurrentCalls:   23,
		MaxPending:           14,
		MaxAttempts:          15,
		ExponentialDecay:     true,
		OverQuotaWeight:      0.6,
		WeightByCost:         true,
		ListHasRates:         true,
		HealthChecks:         true,
		Cancellation:         true,
		SendRetryAfter:       true,
		MaxRetryAfter:        13,
		PollList:             true,
		PollInterval:         18,
		ConnectTimeout:       11,
		IdleTimeout:          12,
		StreamsPerConnection: 16,
		TickInterval:         24,
		ReplyGrace:           17,
		DrainGrace:           19,
		InitialCapacity:      0.35,
		RampDuration:         21,
		OverloadFactor:       2.25,
		OverloadDuration:     20,
		OrderedKeyBackoff:    22,
		Classes: []policy.Class{
			{
				Name:             "plain",
				LatencyObjective: 2000002,
				Deadline:         20000001,
				Weight:           1.5,
				LateWeight:       0.1,
				Idempotency:      policy.Idempotent,
				Ordered:          true,
			},
			{
				Name:             "keyed",
				LatencyObjective: 2000005,
				Deadline:         20000003,
				Weight:           2.5,
				LateWeight:       0.2,
				Idempotency:      policy.IdempotentByKey,
				DedupWindow:      15000004,
				DedupPerZone:     true,
			},
			{
				Name:             "keyed everywhere",
				LatencyObjective: 2000008,
				Deadline:         20000006,
				Weight:           3.5,
				LateWeight:       0.3,
				Idempotency:      policy.IdempotentByKey,
				DedupWindow:      15000007,
			},
			{
				Name:             "once",
				LatencyObjective: 2000010,
				Deadline:         20000009,
				Weight:           4.5,
				LateWeight:       0.4,
				Idempotency:      policy.NonIdempotent,
			},
		},
		Tenants: []policy.Tenant{{Name: "north", Quota: 12.5}, {Name: "south"}},
		DestinationKinds: []policy.DestinationKind{
			{BatchSize: 3},
			{IndependentRoutes: true, BatchSize: 1},
			{BatchSize: 1},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("mapped to\n%+v, want\n%+v", got, want)
	}
}

// TestValuesWithMeaning pins the words that a key's value may be.
func TestValuesWithMeaning(t *testing.T) {
	tests := []struct {
		name   string
		change func(*wire.Settings)
		got    func(policy.Settings) bool
		want   bool
	}{
		{
			"late by a line",
			func(s *wire.Settings) { s.Specifics.Late = "linear" },
			func(d policy.Settings) bool { return d.ExponentialDecay },
			false,
		},
		{
			"value by count",
			func(s *wire.Settings) { s.ValueBy = "count" },
			func(d policy.Settings) bool { return d.WeightByCost },
			false,
		},
		{
			"no weights",
			func(s *wire.Settings) { s.Weights = "none" },
			func(d policy.Settings) bool { return d.ListHasRates },
			false,
		},
		{
			"weights left out",
			func(s *wire.Settings) { s.Weights = "" },
			func(d policy.Settings) bool { return d.ListHasRates },
			false,
		},
		{
			"list pushed",
			func(s *wire.Settings) { s.Discovery = "push" },
			func(d policy.Settings) bool { return d.PollList },
			false,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := readSettings(t)
			tt.change(text)
			mapped, err := ForPolicy(text)
			if err != nil || tt.got(mapped) != tt.want {
				t.Errorf("got %v, error %v, want %v", tt.got(mapped), err, tt.want)
			}
		})
	}
	text := readSettings(t)
	text.Classes[1].Repeat = "sometimes"
	if _, err := ForPolicy(text); err == nil || !strings.Contains(err.Error(), "classes[1].repeat") {
		t.Errorf("an unknown repeat: error %v", err)
	}
}
