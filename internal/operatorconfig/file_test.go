package operatorconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"troutusher/internal/idlestore"
	"troutusher/internal/msgtrace"
)

// Guards against values of the clients table that are lost.
func TestParse(t *testing.T) {
	const text = `[clients]
listen = ["127.0.0.1:7001", "[::1]:7002"]
descriptors = 20000
places = 19000
idle_s = 600
memory_mb = 64
`
	f, err := Parse("o.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	c := &f.Clients
	if len(c.ListenAddresses) != 2 || c.Descriptors != 20000 || c.MaxConns != 19000 ||
		c.IdleTimeout() != 10*time.Minute || c.MemoryMB != 64 {
		t.Errorf("Parse: clients = %+v, want the values of the text", c)
	}
}

const minimalTLSRule = `[[tls]]
name = "pay"
destinations = [3]
server_name = "pay.example.org"
roots = "r.pem"
`

// Guards against values of the tls and handshakes tables that are lost, and against wrong
// defaults for values that are left out.
func TestParseTLS(t *testing.T) {
	const more = `handshake_weight = 0
warn_days = 30
unknown_revocation = "refuse"
[handshakes]
share = 0.5
burst_ms = 1
sessions = -1
timeout_s = 1.5
`
	f, err := Parse("o.toml", []byte(minimalTLSRule+more))
	if err != nil {
		t.Fatal(err)
	}
	settings, handshakes := &f.TLSRules[0], &f.Handshakes
	rule, err := settings.Rule()
	if err != nil || !rule.RequireRevocationStatus || rule.ServerName != "pay.example.org" ||
		settings.ConnectionCost() != 0 || settings.ExpiryWarning() != 30*24*time.Hour ||
		settings.Files().Roots != "r.pem" {
		t.Errorf("Parse: TLS rule = %+v, Rule() = %+v, %v, want the values of the text", settings, rule, err)
	}
	limits := handshakes.Limits()
	if limits.Validate() != nil || limits.Share != 0.5 || limits.Burst != time.Millisecond ||
		handshakes.SessionCacheSize() != 0 || handshakes.Timeout() != 1500*time.Millisecond {
		t.Errorf("Parse: handshakes = %+v, Limits() = %+v, want the values of the text", handshakes, limits)
	}
	f, err = Parse("o.toml", []byte(minimalTLSRule))
	if err != nil || f.TLSRules[0].ConnectionCost() != 1 || f.Handshakes.SessionCacheSize() != 256 ||
		f.Handshakes.Timeout() != 3*time.Second {
		t.Errorf("Parse(minimalTLSRule) = %+v, %v, want the defaults", f, err)
	}
}

// Guards against an invalid value that is accepted, and against an error that does not name
// file, line and key.
func TestValidationErrors(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"[clients]\nlisten = [\"nowhere\"]\n", "o.toml:2: clients.listen: address nowhere: missing port"},
		{
			"[clients]\nlisten = [\"localhost:1\"]\n",
			"o.toml:2: clients.listen: localhost:1: the host must be an address",
		},
		{"[clients]\nlisten = [\"127.0.0.1:0\"]\n", "o.toml:2: clients.listen: 127.0.0.1:0: the port"},
		{
			"[clients]\nlisten = [\"127.0.0.1:1\",\"127.0.0.1:1\"]\n",
			"o.toml:2: clients.listen: 127.0.0.1:1: named twice",
		},
		{"[clients]\n\ndescriptors = 63\n", "o.toml:3: clients.descriptors: 63, want 64 to 1048576"},
		{"[clients]\ndescriptors = 100\nplaces = 100\n", "o.toml:3: clients.places: 100 with 100 descriptors"},
		{"[clients]\nplaces = 10\nstrangers = 11\n", "o.toml:3: clients.strangers: 11 of 10 places"},
		{"[clients]\nidle_s = 1.9\n", "o.toml:2: clients.idle_s: 1.9, want 2 to 86400"},
		{"[clients]\nidle_s = nan\n", "o.toml:2: clients.idle_s: NaN"},
		{"[clients]\nidle_s = inf\n", "o.toml:2: clients.idle_s: +Inf"},
		{"[clients]\nmemory_mb = -1\n", "o.toml:2: clients.memory_mb: -1"},
		{"[clients]\nasked_most = -1\n", "o.toml:2: clients.asked_most: -1"},
		{"[clients]\nplaces = \"many\"\n", "o.toml:2: "},
		{"[clients]\nplace = 1\n", "o.toml:2: clients.place: unknown key"},
		{"[stories]\nper_second = -2\n", "o.toml:2: stories.per_second: -2, want -1 to 1048576"},
		{"[stories]\nper_second = 1048577\n", "o.toml:2: stories.per_second: 1048577"},
		{"[learned]\nperiod_s = 0.1\n", "o.toml:2: learned.period_s: 0.1, want 0.25 to 60, or -1"},
		{"[learned]\nperiod_s = nan\n", "o.toml:2: learned.period_s: NaN"},
		{"[rest]\nawake = -2\n", "o.toml:2: rest.awake: -2, want -1 to 1048576"},
		{"[rest]\n\nquiet_s = 9.9\n", "o.toml:3: rest.quiet_s: 9.9, want 10 to 86400"},
		{"[rest]\nquiet_s = nan\n", "o.toml:2: rest.quiet_s: NaN"},
		{"[discovery]\nlist_mb = 1025\n", "o.toml:2: discovery.list_mb: 1025, want 1 to 1024"},
		{"[client]\n", "o.toml:1: client: unknown key"},
		{"[clients\n", "o.toml:1: "},
		{"[[tls]]\ndestinations = [1]\nserver_name = \"x\"\nroots = \"r\"\n", "o.toml:1: tls[0].name: missing"},
		{"[[tls]]\nname = \"p\"\ndestinations = [1]\nroots = \"r\"\n", "o.toml:1: tls[0].server_name: missing"},
		{"[[tls]]\nname = \"p\"\ndestinations = [1]\nserver_name = \"x\"\n", "o.toml:1: tls[0].roots: missing"},
		{
			"[[tls]]\nname = \"p\"\nserver_name = \"x\"\nroots = \"r\"\n",
			"o.toml:1: tls: rule \"p\": names no destination",
		},
		{minimalTLSRule + "pins = [\"AAAA\"]\n", "o.toml:6: tls[0].pins: pin"},
		{
			minimalTLSRule + "pins = [\"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\"]\n",
			"o.toml:6: tls[0].pins: one alone",
		},
		{minimalTLSRule + "key = \"k\"\n", "tls[0].certificate: certificate and key"},
		{minimalTLSRule + "unknown_revocation = \"maybe\"\n", "o.toml:6: tls[0].unknown_revocation: \"maybe\""},
		{minimalTLSRule + "min_version = \"1.1\"\n", "o.toml:6: tls[0].min_version: \"1.1\""},
		{minimalTLSRule + "handshake_weight = -1\n", "o.toml:6: tls[0].handshake_weight: -1"},
		{minimalTLSRule + "handshake_weight = nan\n", "o.toml:6: tls[0].handshake_weight: NaN"},
		{minimalTLSRule + "warn_days = 400\n", "o.toml:6: tls[0].warn_days: 400"},
		{minimalTLSRule + "[handshakes]\nshare = 1.1\n", "o.toml:7: handshakes.share: 1.1"},
		{minimalTLSRule + "[handshakes]\nshare = nan\n", "o.toml:7: handshakes.share: NaN"},
		{minimalTLSRule + "[handshakes]\nburst_ms = 0.5\n", "o.toml:7: handshakes.burst_ms: 0.5"},
		{minimalTLSRule + "[handshakes]\nparallel = 65\n", "o.toml:7: handshakes.parallel: 65"},
		{minimalTLSRule + "[handshakes]\ntimeout_s = 31\n", "o.toml:7: handshakes.timeout_s: 31"},
		{minimalTLSRule + "[handshakes]\nsessions = -2\n", "o.toml:7: handshakes.sessions: -2"},
		{
			minimalTLSRule + "[[tls]]\nname = \"pay\"\ndestinations = [4]\nserver_name = \"x\"\nroots = \"r\"\n",
			"tls[1].name: \"pay\" is named twice",
		},
		{
			minimalTLSRule + "[[tls]]\nname = \"b\"\ndestinations = [3]\nserver_name = \"x\"\nroots = \"r\"\n",
			"rule \"b\": destination 3 is named by rule \"pay\"",
		},
		{
			"[clients]\nlisten = [" + strings.Repeat("\"127.0.0.1:9\",", 65) + "]",
			"o.toml:2: clients.listen: 65 addresses",
		},
	} {
		if _, err := Parse("o.toml", []byte(test.text)); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("Parse(%q): error %v, want one that contains %s", test.text, err, test.want)
		}
	}
}

// Guards against a start without the operator's file although the environment names one:
// if that file is missing or too large, Load must return an error.
func TestLoad(t *testing.T) {
	if f, err := Load(func(string) string { return "" }); f != nil || err != nil {
		t.Errorf("Load without %s = %v, %v, want nil, nil", EnvVar, f, err)
	}
	path := filepath.Join(t.TempDir(), "o.toml")
	getenv := func(name string) string { return map[string]string{EnvVar: path}[name] }
	if _, err := Load(getenv); err == nil {
		t.Error("Load of a missing file = nil, want an error")
	}
	if err := os.WriteFile(path, []byte("[clients]\nplaces = 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if f, err := Load(getenv); err != nil || f.Clients.MaxConns != 5 {
		t.Errorf("Load(places = 5) = %+v, %v, want MaxConns 5", f, err)
	}
	if err := os.WriteFile(path, make([]byte, 2<<20), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(getenv); err == nil || !strings.Contains(err.Error(), "more than") {
		t.Errorf("Load of a file of 2 MiB: error %v, want one that contains \"more than\"", err)
	}
}

// Guards against a crash on arbitrary text, and against invalid values that are accepted.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[clients]\nlisten = [\"127.0.0.1:7001\"]\nidle_s = 3.5\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		file, err := Parse("o.toml", b)
		if err != nil {
			return
		}
		if c := &file.Clients; c.MaxConns < 0 || c.IdleTimeoutS < 0 || c.IdleTimeoutS > maxClientIdleS {
			t.Fatalf("Parse(%q) accepted %+v, want an error", b, c)
		}
	})
}

// Guards against wrong values for keys that are left out, which must have their default,
// and for -1, which must turn a feature off.
func TestDefaultsAndOverrides(t *testing.T) {
	for text, want := range map[string]int{
		"":                             msgtrace.DefaultPerSecond,
		"[stories]\nper_second = 7\n":  7,
		"[stories]\nper_second = -1\n": 0,
	} {
		f, err := Parse("o.toml", []byte(text))
		if err != nil || f.Traces.MaxPerSecond() != want {
			t.Errorf("Parse(%q) = %+v, %v, want %d traces per second", text, f, err, want)
		}
	}
	for text, want := range map[string]idlestore.Limits{
		"":                                    {MaxActive: 1024, IdleTimeout: 60e6},
		"[rest]\nawake = 7\nquiet_s = 12.5\n": {MaxActive: 7, IdleTimeout: 12.5e6},
		"[rest]\nawake = -1\n":                {IdleTimeout: 60e6},
	} {
		f, err := Parse("o.toml", []byte(text))
		if err != nil || f.Passivation.Limits() != want || f.Discovery.MaxListBytes() != 4<<20 {
			t.Errorf("Parse(%q) = %+v, %v, want passivation limits %+v and lists of 4 MiB", text, f, err, want)
		}
	}
	for text, want := range map[string]time.Duration{
		"":                            2 * time.Second,
		"[learned]\nperiod_s = 0.5\n": 500 * time.Millisecond,
		"[learned]\nperiod_s = -1\n":  0,
	} {
		f, err := Parse("o.toml", []byte(text))
		if err != nil || f.PolicyState.WritePeriod() != want {
			t.Errorf("Parse(%q) = %+v, %v, want a write period of %v", text, f, err, want)
		}
	}
}
