// Package config reads the configuration of a relay: the file that the platform
// writes, the environment, and the operator's own file.
//
// It owns the keys, their defaults and errors, the precedence of the sources, and
// how the limits of the machine are divided. It must never open a socket or write a
// file, nor decide what the policy does with its settings.
package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/idlestore"
	"troutusher/internal/operatorconfig"
	"troutusher/policy"
)

// FileEnvVar names the environment variable that names the configuration file.
const FileEnvVar = "ROUTER_CONFIG"

// Config is the configuration of a relay.
type Config struct {
	Name      string
	Listen    string // host:port for clients
	Discovery string // host:port of the discovery agent
	Console   string // host:port for operators; empty for none
	State     string // the state directory, which outlasts the process
	Seed      uint64
	Limits    Limits
	KnownList *core.EndpointList // the last known endpoint list, maybe outdated; may be nil

	Policy         policy.Settings
	ClientSettings operatorconfig.Clients // zero where the operator has no file

	PolicyStatePeriod time.Duration        // between two writes of the policy's state; 0 to write none
	Passivation       idlestore.Limits     // which destinations are passivated
	MaxListBytes      int                  // of one endpoint list
	Etcd              *operatorconfig.Etcd // nil if no etcd is followed
	TracesPerSecond   int                  // messages traced from their acceptance on
	TLSRules          []operatorconfig.TLSRule
	Handshakes        operatorconfig.Handshakes

	// Indices by name, as the settings list them. The policy knows only the indices.
	Zones            map[string]int
	DestinationKinds map[string]int
	Classes          map[string]int
	Tenants          map[string]int

	LoadReportFields []string // names of the fields of a load report, in order
}

// Load reads the configuration of a starting process. For name, addresses and state
// directory the environment takes precedence over the file.
func Load(getenv func(string) string) (*Config, error) {
	return load(getenv, forStart)
}

// Reload reads the configuration again in a running process. There the file takes
// precedence for the address of discovery, since the environment is still the one of
// the start.
func Reload(getenv func(string) string) (*Config, error) {
	return load(getenv, forReload)
}

// purpose says whether a configuration is read at the start or again.
type purpose int

const (
	forStart purpose = iota
	forReload
)

func load(getenv func(string) string, why purpose) (*Config, error) {
	path := getenv(FileEnvVar)
	if path == "" {
		return nil, errors.New(FileEnvVar + ": not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", FileEnvVar, err)
	}
	c, err := parse(text, getenv, why)
	if err != nil {
		return nil, err
	}
	file, err := operatorconfig.Load(getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", operatorconfig.EnvVar, err)
	}
	if file == nil {
		file = &operatorconfig.File{} // the zero value selects the defaults
	}
	if err := c.applyOperatorFile(file); err != nil {
		return nil, fmt.Errorf("%s: %w", operatorconfig.EnvVar, err)
	}
	return c, nil
}

// applyOperatorFile applies the operator's file.
func (c *Config) applyOperatorFile(file *operatorconfig.File) error {
	c.TLSRules, c.Handshakes = file.TLSRules, file.Handshakes
	if len(file.Etcd.Endpoints) > 0 {
		c.Etcd = &file.Etcd
	}
	c.TracesPerSecond = file.Traces.MaxPerSecond()
	c.PolicyStatePeriod = file.PolicyState.WritePeriod()
	c.Passivation = file.Passivation.Limits()
	c.MaxListBytes = file.Discovery.MaxListBytes()
	return c.applyClientSettings(&file.Clients)
}
