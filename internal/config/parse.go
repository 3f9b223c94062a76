package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"troutusher/internal/registrylist"
	"troutusher/internal/settings"
	"troutusher/internal/wire"
)

// Environment variables, each of which takes precedence over a key of the file.
const (
	nameEnvVar      = "ROUTER_NAME"
	listenEnvVar    = "ROUTER_LISTEN"
	discoveryEnvVar = "ROUTER_DISCOVERY"
	consoleEnvVar   = "ROUTER_CONSOLE"
	stateEnvVar     = "ROUTER_STATE"
)

// file is the JSON form of the configuration file. Its values are described at Config.
type file struct {
	Name      string             `json:"name"`
	Listen    string             `json:"listen"`
	Discovery string             `json:"discovery"`
	Console   string             `json:"console"`
	State     string             `json:"state"`
	Seed      json.RawMessage    `json:"seed"`
	Limits    Limits             `json:"limits"`
	Known     *registrylist.List `json:"known"`
	Settings  json.RawMessage    `json:"settings"`
}

// Parse parses the text of a configuration file like Load, but does not read the operator's
// file.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	return parse(text, getenv, atStart)
}

func parse(text []byte, getenv func(string) string, mode loadMode) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return nil, fmt.Errorf("config: %s: wrong type %s", wrongType.Field, wrongType.Value)
		}
		return nil, fmt.Errorf("config: %w", err)
	}
	if err := f.applyEnvironment(getenv, mode); err != nil {
		return nil, err
	}
	if err := f.checkAddresses(); err != nil {
		return nil, err
	}
	c := &Config{
		Name:      f.Name,
		Listen:    f.Listen,
		Discovery: f.Discovery,
		Console:   f.Console,
		State:     f.State,
		KnownList: f.Known.EndpointList(),
	}
	var err error
	if c.Seed, err = parseSeed(f.Seed); err != nil {
		return nil, fmt.Errorf("config: seed: %w", err)
	}
	if c.Limits, err = f.Limits.withDefaults(); err != nil {
		return nil, fmt.Errorf("config: limits.%w", err)
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("config: settings: missing")
	}
	if err := c.parseSettings(f.Settings); err != nil {
		return nil, err
	}
	return c, nil
}

// applyEnvironment replaces values of the file with those of environment variables. It
// returns an error if a required value is set in neither of them.
func (f *file) applyEnvironment(getenv func(string) string, mode loadMode) error {
	for _, key := range []struct {
		name, envVar string
		value        *string
		fileFirst    bool
	}{
		{"name", nameEnvVar, &f.Name, false},
		{"listen", listenEnvVar, &f.Listen, false},
		{"discovery", discoveryEnvVar, &f.Discovery, mode == atReload},
		{"state", stateEnvVar, &f.State, false},
	} {
		if fromEnv := getenv(key.envVar); fromEnv != "" && (*key.value == "" || !key.fileFirst) {
			*key.value = fromEnv
		}
		if *key.value == "" {
			return fmt.Errorf("config: %s: missing, and %s is not set", key.name, key.envVar)
		}
	}
	if fromEnv := getenv(consoleEnvVar); fromEnv != "" {
		f.Console = fromEnv
	}
	return nil
}

func (f *file) checkAddresses() error {
	for _, key := range []struct{ name, address string }{
		{"listen", f.Listen}, {"discovery", f.Discovery}, {"console", f.Console},
	} {
		if key.name == "console" && key.address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(key.address); err != nil {
			return fmt.Errorf("config: %s: %w", key.name, err)
		}
	}
	return nil
}

// parseSeed parses a seed of 64 bits, which is a hexadecimal string or a decimal number.
func parseSeed(raw json.RawMessage) (uint64, error) {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return 0, errors.New("missing")
	}
	var hexadecimal string
	if json.Unmarshal(raw, &hexadecimal) == nil {
		return strconv.ParseUint(hexadecimal, 16, 64)
	}
	return strconv.ParseUint(string(raw), 10, 64)
}

// parseSettings parses the settings object and assigns indices to the names in it.
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
	// Unlike in the simulator, a connection carries one call at a time and a call carries
	// one message, so these two settings are ignored.
	c.Policy.StreamsPerConnection = 1
	for i := range c.Policy.DestinationKinds {
		c.Policy.DestinationKinds[i].BatchSize = 1
	}
	var names struct { // not a named type, because errors would contain its name
		Localities []string `json:"localities"`
	}
	if err := json.Unmarshal(text, &names); err != nil {
		return fmt.Errorf("config: settings: localities: %w", err)
	}
	c.LoadReportFields = s.Report.Fields
	c.Zones, c.DestinationKinds = indexByName(names.Localities), indexByName(s.Kinds)
	c.Classes, c.Tenants = map[string]int{}, map[string]int{}
	for i, class := range s.Classes {
		c.Classes[class.Name] = i
	}
	for i, account := range s.Accounts {
		c.Tenants[account.Name] = i
	}
	return nil
}

// indexByName returns the index of each name in a list.
func indexByName(names []string) map[string]int {
	indices := make(map[string]int, len(names))
	for i, name := range names {
		indices[name] = i
	}
	return indices
}
