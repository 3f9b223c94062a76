package config

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"troutusher/policy"
)

// environment returns a replacement of os.Getenv that reads from a map.
func environment(vars map[string]string) func(string) string {
	return func(name string) string { return vars[name] }
}

// Guards against a key that is ignored or stored in the wrong field: every key of the file
// has a distinct value.
func TestConfigEveryKey(t *testing.T) {
	c, err := Load(environment(map[string]string{"ROUTER_CONFIG": filepath.Join("testdata", "every_key.json")}))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n1" || c.Listen != "127.0.0.1:7101" || c.Discovery != "127.0.0.1:7102" ||
		c.Console != "127.0.0.1:7103" || c.State != "/var/lib/n1" || c.Seed != 0x1f {
		t.Errorf("Load(every_key.json) = %+v, want the addresses, names and seed of the file", c)
	}
	if want := (Limits{Cores: 1.5, MemoryMB: 96, Sockets: 512, DiskMB: 4}); c.Limits != want {
		t.Errorf("Limits = %+v, want %+v", c.Limits, want)
	}
	known, err := json.Marshal(c.KnownList)
	if want := `{"revision":12,"complete":true,"members":[{"id":"s-1","host_port":"10.0.0.1:80",` +
		`"locality":"a","flavor":"k","cell":4,"phase":"up","size":40}]}`; err != nil || string(known) != want {
		t.Errorf("Marshal(KnownList) = %s, %v, want %s", known, err, want)
	}
	want := policy.Settings{
		Relays:               3,
		Zone:                 1,
		MaxConcurrentCalls:   16,
		MaxPending:           100,
		MaxAttempts:          8,
		ExponentialDecay:     true,
		OverQuotaWeight:      0.5,
		WeightByCost:         true,
		ListHasRates:         true,
		HealthChecks:         true,
		Cancellation:         true,
		SendRetryAfter:       true,
		MaxRetryAfter:        2000000,
		PollList:             true,
		PollInterval:         250000,
		ConnectTimeout:       1500000,
		IdleTimeout:          10000000,
		StreamsPerConnection: 1,
		TickInterval:         5000,
		ReplyGrace:           20000,
		DrainGrace:           2100000,
		InitialCapacity:      0.26,
		RampDuration:         13000000,
		OverloadFactor:       1.5,
		OverloadDuration:     2200000,
		OrderedKeyBackoff:    2300000,
		Classes: []policy.Class{
			{
				Name:             "plain",
				LatencyObjective: 1500000,
				Deadline:         20000000,
				Weight:           1,
				LateWeight:       0.1,
				Idempotency:      policy.Idempotent,
				DedupWindow:      5000000,
				Ordered:          true,
			},
			{
				Name:             "keyed",
				LatencyObjective: 3000000,
				Deadline:         21000000,
				Weight:           2,
				LateWeight:       0.3,
				Idempotency:      policy.IdempotentByKey,
				DedupWindow:      22000000,
				DedupPerZone:     true,
			},
			{
				Name:             "once",
				LatencyObjective: 3500000,
				Deadline:         23000000,
				Weight:           3,
				LateWeight:       0.4,
				Idempotency:      policy.NonIdempotent,
				DedupWindow:      6000000,
			},
		},
		Tenants:          []policy.Tenant{{Name: "acme", Quota: 1000}, {Name: "zeta", Quota: 10}},
		DestinationKinds: []policy.DestinationKind{{BatchSize: 1}, {BatchSize: 1, IndependentRoutes: true}},
	}
	if !reflect.DeepEqual(c.Policy, want) {
		t.Errorf("Policy =\n%+v\nwant\n%+v", c.Policy, want)
	}
	for key, indices := range map[string]struct{ got, want map[string]int }{
		"localities": {c.Zones, map[string]int{"a": 0, "b": 1}},
		"kinds":      {c.DestinationKinds, map[string]int{"k": 0, "l": 1}},
		"classes":    {c.Classes, map[string]int{"plain": 0, "keyed": 1, "once": 2}},
		"accounts":   {c.Tenants, map[string]int{"acme": 0, "zeta": 1}},
	} {
		if !maps.Equal(indices.got, indices.want) {
			t.Errorf("indices of %s = %v, want %v", key, indices.got, indices.want)
		}
	}
	if !slices.Equal(c.LoadReportFields, []string{"queue", "busy"}) {
		t.Errorf("LoadReportFields = %v, want [queue busy]", c.LoadReportFields)
	}
}

// Guards against a wrong precedence of the sources: the environment overrides the file,
// except for the address of discovery when a running relay reloads.
func TestConfigEnvironment(t *testing.T) {
	vars := map[string]string{
		"ROUTER_CONFIG":    filepath.Join("testdata", "every_key.json"),
		"ROUTER_NAME":      "n2",
		"ROUTER_LISTEN":    "127.0.0.1:1",
		"ROUTER_DISCOVERY": "127.0.0.1:2",
		"ROUTER_CONSOLE":   "127.0.0.1:3",
		"ROUTER_STATE":     "/y",
	}
	for _, test := range []struct {
		read      func(func(string) string) (*Config, error)
		discovery string
	}{{Load, "127.0.0.1:2"}, {Reload, "127.0.0.1:7102"}} {
		c, err := test.read(environment(vars))
		if err != nil {
			t.Fatal(err)
		}
		if c.Name != "n2" || c.Listen != "127.0.0.1:1" || c.Console != "127.0.0.1:3" || c.State != "/y" ||
			c.Discovery != test.discovery {
			t.Errorf("configuration = %+v, want discovery %s and the environment's other values", c, test.discovery)
		}
	}
}

// Guards against a change of the error texts, which operators and their scripts read.
func TestConfigErrorTexts(t *testing.T) {
	var cases []struct {
		Old   string `json:"old"`   // text of every_key.json
		New   string `json:"new"`   // replacement of Old
		Error string `json:"error"` // the whole error for the changed file
	}
	if err := json.Unmarshal(readFixture(t, "errors.json"), &cases); err != nil {
		t.Fatal(err)
	}
	good := string(readFixture(t, "every_key.json"))
	for _, c := range cases {
		text := replacedOnce(t, good, c.Old, c.New)
		if _, err := Parse([]byte(text), environment(nil)); err == nil || err.Error() != c.Error {
			t.Errorf("Parse(%s instead of %s): error\n%v\nwant\n%s", c.New, c.Old, err, c.Error)
		}
	}
	path := filepath.Join(t.TempDir(), "operator.toml")
	for text, want := range map[string]string{
		"places = 600": "clients.places: 600 client connections, want at most 456; " +
			"16 concurrent calls need descriptors too",
		"idle_s = 1":            path + ":2: clients.idle_s: 1, want 2 to 86400",
		"descriptors = 1048577": path + ":2: clients.descriptors: 1048577, want 64 to 1048576",
	} {
		text, want = "[clients]\n"+text+"\n", "TROUTUSHER_OPERATOR: "+want
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		vars := map[string]string{
			"ROUTER_CONFIG":       filepath.Join("testdata", "every_key.json"),
			"TROUTUSHER_OPERATOR": path,
		}
		_, err := Load(environment(vars))
		if err == nil || err.Error() != want {
			t.Errorf("Load with operator's file %q: error\n%v\nwant\n%s", text, err, want)
		}
	}
	if _, err := Load(environment(nil)); err == nil || err.Error() != "ROUTER_CONFIG: not set" {
		t.Errorf("Load without ROUTER_CONFIG: error %v, want ROUTER_CONFIG: not set", err)
	}
	if _, err := Load(environment(map[string]string{"ROUTER_CONFIG": "none.json"})); err == nil ||
		err.Error() != "ROUTER_CONFIG: open none.json: no such file or directory" {
		t.Errorf("Load of a missing file: error %v, want one that names ROUTER_CONFIG and the file", err)
	}
}

// readFixture returns the content of a file in testdata.
func readFixture(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// replacedOnce returns text with the first occurrence of old replaced. old must occur.
func replacedOnce(t *testing.T, text, old, replacement string) string {
	t.Helper()
	before, after, ok := strings.Cut(text, old)
	if !ok {
		t.Fatalf("the text does not contain %s", old)
	}
	return before + replacement + after
}
