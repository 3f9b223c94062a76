// Package config reads what a relay is told before it starts: the configuration
// file that the platform writes, the environment, and the operator's own file.
//
// It owns the keys, their defaults and errors, which source comes before which,
// and how the limits of the machine are divided. It must never open a socket or
// write a file, nor decide what the policy does with its settings.
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

// Config is everything that a relay is told before it starts.
type Config struct {
	Name      string
	Listen    string // host:port for clients
	Discovery string // host:port of the discovery agent
	Console   string // host:port for operators; empty for none
	State     string // the folder that outlasts the process
	Seed      uint64
	Limits    Limits
	KnownList *core.EndpointList // the endpoint list as this relay last had it, perhaps outdated; may be nil

	Policy         policy.Settings
	ClientSettings operatorconfig.Clients // zero where the operator has no file

	PolicyStatePeriod time.Duration        // between two writes of the policy's state; 0 for none
	Passivation       idlestore.Limits     // which destinations are passivated
	MaxListBytes      int                  // of one endpoint list
	Etcd              *operatorconfig.Etcd // nil where none is followed
	TracesPerSecond   int                  // messages that are traced from their acceptance on
	TLSRules          []operatorconfig.TLSRule
	Handshakes        operatorconfig.Handshakes

	// The numbers that the policy knows these names by: their place in the settings.
	Zones            map[string]int
	DestinationKinds map[string]int
	Classes          map[string]int
	Tenants          map[string]int

	LoadReportFields []string // fields of a load report, in their order
}

// Load reads the configuration of a process that starts. What the environment
// says of name, addresses and state folder comes before the file.
func Load(getenv func(string) string) (*Config, error) {
	return load(getenv, forStart)
}

// Reload reads the configuration for a relay that runs. The file's address of
// discovery then comes before the environment's, which still says what held at
// the start.
func Reload(getenv func(string) string) (*Config, error) {
	return load(getenv, forReload)
}

// purpose is what a configuration is read for.
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
		file = &operatorconfig.File{} // its zero values stand for the defaults
	}
	if err := c.applyOperatorFile(file); err != nil {
		return nil, fmt.Errorf("%s: %w", operatorconfig.EnvVar, err)
	}
	return c, nil
}

// applyOperatorFile takes over what the operator's file says.
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
