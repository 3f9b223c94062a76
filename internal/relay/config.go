package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"troutusher/internal/connlimit"
	"troutusher/internal/idlestore"
	"troutusher/internal/operatorconfig"
	"troutusher/internal/respserver"
	"troutusher/internal/settings"
	"troutusher/internal/wire"
	"troutusher/policy"
)

// Limits are those of the relay's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   int     `json:"disk_mb"`
}

// Config is everything that a relay is told before it starts.
type Config struct {
	Name              string
	Listen            string
	Discovery         string
	Console           string // where operators call; empty for nowhere
	State             string // the folder that outlasts the process
	Seed              uint64
	Limits            Limits
	KnownList         *EndpointList // the list as this relay last had it, maybe old
	Policy            policy.Settings
	ClientSettings    operatorconfig.Clients   // what the operator's file says; zero where there is none
	PolicyStatePeriod time.Duration            // between two writes of what was learned; 0 for none
	Passivation       idlestore.Limits         // which destinations are put away
	MaxListBytes      int                      // bytes of discovery's list
	Etcd              *operatorconfig.Etcd     // nil where none is followed
	TracesPerSecond   int                      // messages a second that the log tells of from their hand-in on
	TLSRules          []operatorconfig.TLSRule // likewise
	Handshakes        operatorconfig.Handshakes
	Zones             map[string]int
	DestinationKinds  map[string]int
	Classes           map[string]int
	Tenants           map[string]int
	LoadReportFields  []string // fields of a load report
}

// LoadConfig reads the file that ROUTER_CONFIG names. What the environment
// says of name, addresses and state folder comes before the file.
func LoadConfig(getenv func(string) string) (*Config, error) {
	return readConfig(getenv, false)
}

// ReloadConfig reads the same file for a running relay. There its discovery
// comes before the environment, which still says what held at the start.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return readConfig(getenv, true)
}

func readConfig(getenv func(string) string, again bool) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	c, err := parseConfig(text, getenv, again)
	if err != nil {
		return nil, err
	}
	own, err := operatorconfig.Load(getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", operatorconfig.EnvVar, err)
	}
	stories, learned, rest, disc := operatorconfig.Traces{}, operatorconfig.PolicyState{}, operatorconfig.Passivation{}, operatorconfig.Discovery{}
	if own != nil {
		stories, learned, rest, disc = own.Traces, own.PolicyState, own.Passivation, own.Discovery
		c.TLSRules, c.Handshakes = own.TLSRules, own.Handshakes
		if len(own.Etcd.Endpoints) > 0 {
			c.Etcd = &own.Etcd
		}
		if err := c.applyClientSettings(&own.Clients); err != nil {
			return nil, fmt.Errorf("%s: %w", operatorconfig.EnvVar, err)
		}
	}
	c.TracesPerSecond = stories.MaxPerSecond()
	c.PolicyStatePeriod = learned.WritePeriod()
	c.Passivation, c.MaxListBytes = rest.Limits(), disc.MaxListBytes()
	return c, nil
}

// applyClientSettings takes over the operator's file.
func (c *Config) applyClientSettings(o *operatorconfig.Clients) error {
	c.ClientSettings = *o
	if o.Descriptors > 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(o.Descriptors) {
			return fmt.Errorf("clients.descriptors: %d, and the process may have %d", o.Descriptors, limit.Cur)
		}
		c.Limits.Sockets = o.Descriptors
	}
	if most := c.Limits.Sockets - ReservedDescriptors - c.Policy.MaxConcurrentCalls - spareEndpointConns; o.MaxConns > most {
		return fmt.Errorf("clients.places: %d, and beside %d calls out there are descriptors for %d", o.MaxConns, c.Policy.MaxConcurrentCalls, most)
	}
	return nil
}

// ServerOptions are those of this relay's machine and operator.
func (c *Config) ServerOptions() respserver.Options {
	most, _ := c.DescriptorBudget()
	l, o := connlimit.DefaultLimits(most, c.Limits.Sockets), &c.ClientSettings
	if o.MaxUnvalidated > 0 {
		l.MaxUnvalidated = min(o.MaxUnvalidated, most)
	}
	if o.SingleUseEvictionThreshold > 0 {
		l.SingleUseEvictionThreshold = o.SingleUseEvictionThreshold
	}
	if o.IdleTimeoutS > 0 {
		l.IdleTimeout = o.IdleTimeout().Microseconds()
	}
	memory := c.Limits.MemoryMB << 20 / clientMemoryDivisor
	if o.MemoryMB > 0 {
		memory = o.MemoryMB << 20
	}
	return respserver.Options{Limits: l, MemoryLimit: memory}
}

const clientMemoryDivisor = 8 // clients' commands hold one byte of memory in so many at most

func parseConfig(text []byte, getenv func(string) string, again bool) (*Config, error) {
	var f struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Console   string          `json:"console"`
		State     string          `json:"state"`
		Seed      json.RawMessage `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     *EndpointList   `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("config: %s: wrong type %s", te.Field, te.Value)
		}
		return nil, fmt.Errorf("config: %w", err)
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Console: f.Console, State: f.State, Limits: f.Limits, KnownList: f.Known}
	for _, v := range []struct {
		env, key string
		to       *string
	}{{"ROUTER_NAME", "name", &c.Name}, {"ROUTER_LISTEN", "listen", &c.Listen},
		{"ROUTER_DISCOVERY", "discovery", &c.Discovery}, {"ROUTER_STATE", "state", &c.State}} {
		if s := getenv(v.env); s != "" && (*v.to == "" || !again || v.key != "discovery") {
			*v.to = s
		}
		if *v.to == "" {
			return nil, fmt.Errorf("config: %s: missing, and %s is not set", v.key, v.env)
		}
	}
	for key, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("config: %s: %w", key, err)
		}
	}
	if s := getenv("ROUTER_CONSOLE"); s != "" {
		c.Console = s
	}
	if c.Console != "" {
		if _, _, err := net.SplitHostPort(c.Console); err != nil {
			return nil, fmt.Errorf("config: console: %w", err)
		}
	}
	var err error
	if c.Seed, err = parseSeed(f.Seed); err != nil {
		return nil, fmt.Errorf("config: seed: %w", err)
	}
	if err := c.Limits.applyDefaults(); err != nil {
		return nil, fmt.Errorf("config: limits.%w", err)
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("config: settings: missing")
	}
	return c, c.parseSettings(f.Settings)
}

// parseSettings maps the settings object and the names in it.
func (c *Config) parseSettings(text []byte) error {
	s, err := wire.ParseSettings(text)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if c.Policy, err = settings.ForPolicy(s); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if err := c.Policy.Validate(); err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	// On sockets a connection carries one call at a time, whatever the
	// simulator's connections carry.
	c.Policy.StreamsPerConnection = 1
	for i := range c.Policy.DestinationKinds {
		c.Policy.DestinationKinds[i].BatchSize = 1 // and a call carries one message
	}
	var names struct {
		Localities []string `json:"localities"`
	}
	if err := json.Unmarshal(text, &names); err != nil {
		return fmt.Errorf("config: settings: localities: %w", err)
	}
	c.LoadReportFields = s.Report.Fields
	c.Zones, c.DestinationKinds = indexByName(names.Localities), indexByName(s.Kinds)
	c.Classes, c.Tenants = map[string]int{}, map[string]int{}
	for i, x := range s.Classes {
		c.Classes[x.Name] = i
	}
	for i, x := range s.Accounts {
		c.Tenants[x.Name] = i
	}
	return nil
}

func indexByName(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}

// parseSeed takes 64 bits in hexadecimal, or a plain number.
func parseSeed(raw json.RawMessage) (uint64, error) {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return 0, errors.New("missing")
	}
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return strconv.ParseUint(s, 16, 64)
	}
	return strconv.ParseUint(string(raw), 10, 64)
}

// applyDefaults puts in what is left out, and tells of limits that cannot be.
func (l *Limits) applyDefaults() error {
	switch {
	case l.Cores < 0:
		return fmt.Errorf("cores: %v, want 0 or more", l.Cores)
	case l.MemoryMB < 0:
		return fmt.Errorf("memory_mb: %d, want 0 or more", l.MemoryMB)
	case l.Sockets < 0 || l.Sockets > 0 && l.Sockets < minDescriptors:
		return fmt.Errorf("sockets: %d, want at least %d", l.Sockets, minDescriptors)
	case l.DiskMB < 0:
		return fmt.Errorf("disk_mb: %d, want 0 or more", l.DiskMB)
	}
	if l.Cores == 0 {
		l.Cores = 1
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = 192
	}
	if l.Sockets == 0 {
		l.Sockets = 1024
	}
	if l.DiskMB == 0 {
		l.DiskMB = 3
	}
	return nil
}

// Descriptors: what the runtime, the log, the listener and discovery hold, and
// the least that a relay can work with.
const (
	ReservedDescriptors = 32
	minDescriptors      = 64
	spareEndpointConns  = 8 // connections to endpoints beside those in use
)

// DescriptorBudget splits the descriptors between clients and endpoints. A call out
// needs one each, so the endpoints' part is never under the slots as long as
// the clients keep half. Twice the slots, where there are as many, leave some
// idle ones to each endpoint: with fewer, each call closes another endpoint's
// and opens its own.
func (c *Config) DescriptorBudget() (clients, endpoints int) {
	free := c.Limits.Sockets - ReservedDescriptors
	endpoints = min(max(free/4, c.Policy.MaxConcurrentCalls+spareEndpointConns, min(2*c.Policy.MaxConcurrentCalls, free*2/5)), free/2)
	if most := c.ClientSettings.MaxConns; most > 0 {
		endpoints = free - most
	}
	return free - endpoints, endpoints
}

func (c *Config) NeedsIdempotencyKey(class int) bool {
	return c.Policy.Classes[class].Idempotency == policy.IdempotentByKey
}
