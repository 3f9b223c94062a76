package policy

import (
	"math"
	"strings"
	"testing"
)

func TestInvalidSettings(t *testing.T) {
	for _, c := range []struct {
		key    string
		change func(*Settings)
	}{
		{"Slots", func(settings *Settings) { settings.MaxConcurrentCalls = 0 }},
		{"Relays", func(settings *Settings) { settings.Relays = 0 }},
		{"FallTime", func(settings *Settings) { settings.OverloadDuration = -1 }},
		{"Classes[0].Repeat", func(settings *Settings) { settings.Classes[0].Idempotency = 9 }},
		{"Classes[0].Deadline", func(settings *Settings) { settings.Classes[0].Deadline = 0 }},
		{"Classes[0].DedupWindow", func(settings *Settings) { settings.Classes[0].DedupWindow = -5 }},
		{"Classes", func(settings *Settings) { settings.Classes = nil }},
		{"StartCapacity", func(settings *Settings) { settings.InitialCapacity = math.NaN() }},
		{"Kinds[0].Batch", func(settings *Settings) { settings.DestinationKinds[0].BatchSize = -1 }},
	} {
		settings := singleClassSettings()
		c.change(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("New(settings with an invalid %s): error = %v, want one that names it", c.key, err)
		}
	}
	if _, err := New(singleClassSettings(), 1); err != nil {
		t.Errorf("New(valid settings): error = %v, want none", err)
	}
}
