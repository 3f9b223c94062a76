package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"troutusher/internal/wire"
	"troutusher/policy"
)

// readSettings parses the recorded settings, in which every number is different.
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

// TestMapping guards against a key that is ignored or converted to the wrong setting.
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
		t.Errorf("ForPolicy(settings.json) =\n%+v, want\n%+v", got, want)
	}
}

// TestStringValues guards against a string value of a key that is converted to the wrong setting.
func TestStringValues(t *testing.T) {
	tests := []struct {
		name   string
		change func(*wire.Settings)
		got    func(policy.Settings) bool
		want   bool
	}{
		{
			"linear decay of late messages",
			func(s *wire.Settings) { s.Specifics.Late = "linear" },
			func(s policy.Settings) bool { return s.ExponentialDecay },
			false,
		},
		{
			"weight independent of cost",
			func(s *wire.Settings) { s.ValueBy = "count" },
			func(s policy.Settings) bool { return s.WeightByCost },
			false,
		},
		{
			"list without weights",
			func(s *wire.Settings) { s.Weights = "none" },
			func(s policy.Settings) bool { return s.ListHasRates },
			false,
		},
		{
			"weights key empty",
			func(s *wire.Settings) { s.Weights = "" },
			func(s policy.Settings) bool { return s.ListHasRates },
			false,
		},
		{
			"endpoint list pushed",
			func(s *wire.Settings) { s.Discovery = "push" },
			func(s policy.Settings) bool { return s.PollList },
			false,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			settings := readSettings(t)
			tt.change(settings)
			converted, err := ForPolicy(settings)
			if err != nil || tt.got(converted) != tt.want {
				t.Errorf("ForPolicy: setting = %v, error %v, want %v, nil", tt.got(converted), err, tt.want)
			}
		})
	}
	settings := readSettings(t)
	settings.Classes[1].Repeat = "sometimes"
	if _, err := ForPolicy(settings); err == nil || !strings.Contains(err.Error(), "classes[1].repeat") {
		t.Errorf("ForPolicy with an unknown repeat: error %v, want one that names classes[1].repeat", err)
	}
}
