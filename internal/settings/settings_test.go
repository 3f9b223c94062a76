package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"troutusher/decide"
	"troutusher/internal/wire"
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
	got, err := Policy(readSettings(t))
	if err != nil {
		t.Fatal(err)
	}
	want := decide.Settings{
		Relays: 7, Zone: 2, Slots: 23, MaxHeld: 14, MaxAttempts: 15, Halving: true, OverShareWorth: 0.6, WorthByWork: true,
		RatesListed: true, Probes: true, Cancels: true, RetryAfter: true, MaxRetryAfter: 13, AskForList: true, AskEvery: 18,
		ConnectTimeout: 11, KeepAlive: 12, Streams: 16, Tick: 24, AnswerSlack: 17, DrainGrace: 19, StartCapacity: 0.35,
		RampTime: 21, OverloadFactor: 2.25, FallTime: 20, KeyRest: 22,
		Classes: []decide.Class{
			{Name: "plain", Aim: 2000002, Deadline: 20000001, Worth: 1.5, LateWorth: 0.1, Repeat: decide.Safe, InOrder: true},
			{Name: "keyed", Aim: 2000005, Deadline: 20000003, Worth: 2.5, LateWorth: 0.2, Repeat: decide.Keyed,
				DedupWindow: 15000004, ZoneOnly: true},
			{Name: "keyed everywhere", Aim: 2000008, Deadline: 20000006, Worth: 3.5, LateWorth: 0.3, Repeat: decide.Keyed,
				DedupWindow: 15000007},
			{Name: "once", Aim: 2000010, Deadline: 20000009, Worth: 4.5, LateWorth: 0.4, Repeat: decide.Unsafe},
		},
		Tenants: []decide.Tenant{{Name: "north", Quota: 12.5}, {Name: "south"}},
		Kinds:   []decide.Kind{{Batch: 3}, {Apart: true, Batch: 1}, {Batch: 1}},
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
		got    func(decide.Settings) bool
		want   bool
	}{
		{"late by a line", func(s *wire.Settings) { s.Specifics.Late = "linear" }, func(d decide.Settings) bool { return d.Halving }, false},
		{"value by count", func(s *wire.Settings) { s.ValueBy = "count" }, func(d decide.Settings) bool { return d.WorthByWork }, false},
		{"no weights", func(s *wire.Settings) { s.Weights = "none" }, func(d decide.Settings) bool { return d.RatesListed }, false},
		{"weights left out", func(s *wire.Settings) { s.Weights = "" }, func(d decide.Settings) bool { return d.RatesListed }, false},
		{"list pushed", func(s *wire.Settings) { s.Discovery = "push" }, func(d decide.Settings) bool { return d.AskForList }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := readSettings(t)
			tt.change(text)
			mapped, err := Policy(text)
			if err != nil || tt.got(mapped) != tt.want {
				t.Errorf("got %v, error %v, want %v", tt.got(mapped), err, tt.want)
			}
		})
	}
	text := readSettings(t)
	text.Classes[1].Repeat = "sometimes"
	if _, err := Policy(text); err == nil || !strings.Contains(err.Error(), "classes[1].repeat") {
		t.Errorf("an unknown repeat: error %v", err)
	}
}
