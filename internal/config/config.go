// Package config reads the configuration of a relay from three sources: the file that the
// platform writes, the environment, and the operator's file.
//
// The package defines the keys, their defaults and errors, and the precedence of the
// sources. It also divides the limits of the machine between their users. It opens no
// sockets, writes no files, and does not decide what the policy does with its settings.
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

// FileEnvVar is the name of the environment variable that contains the path of the configuration file.
const FileEnvVar = "ROUTER_CONFIG"

// Config is the configuration of a relay.
type Config struct {
	Name      string
	Listen    string // host:port for clients
	Discovery string // host:port of the discovery agent
	Console   string // host:port for operators; empty for none
	State     string // the state directory, whose files survive a restart
	Seed      uint64 // of this relay's random number generators
	Limits    Limits
	KnownList *core.EndpointList // the endpoint list in the platform's file, possibly outdated; may be nil

	Policy         policy.Settings
	ClientSettings operatorconfig.Clients // the zero value if there is no operator's file

	PolicyStatePeriod time.Duration             // interval of writing the policy's state; 0 to not write it
	Passivation       idlestore.Limits          // when idle destinations are moved to the compact idle store
	MaxListBytes      int                       // maximum size of an endpoint list
	Etcd              *operatorconfig.Etcd      // nil if etcd is not used
	TracesPerSecond   int                       // maximum number of messages per second that the log traces completely
	TLSRules          []operatorconfig.TLSRule  // which destinations are called over TLS, and how
	Handshakes        operatorconfig.Handshakes // settings for all TLS handshakes

	// The policy uses indices instead of names. These maps contain the index of each name in
	// the list of the settings that defines it.
	Zones            map[string]int
	DestinationKinds map[string]int
	Classes          map[string]int
	Tenants          map[string]int

	LoadReportFields []string // names of a load report's fields, in their order
}

// Load reads the configuration when a process starts. For the name, the addresses and the
// state directory, the environment takes precedence over the file.
func Load(getenv func(string) string) (*Config, error) {
	return load(getenv, atStart)
}

// Reload reads the configuration again in a running process. It differs from Load in the
// address of discovery, for which the file takes precedence: the environment of a running
// process cannot change, so a new address can only be in the file.
func Reload(getenv func(string) string) (*Config, error) {
	return load(getenv, atReload)
}

// loadMode says whether a configuration is read when the process starts or again later.
type loadMode int

const (
	atStart loadMode = iota
	atReload
)

func load(getenv func(string) string, mode loadMode) (*Config, error) {
	path := getenv(FileEnvVar)
	if path == "" {
		return nil, errors.New(FileEnvVar + ": not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", FileEnvVar, err)
	}
	c, err := parse(text, getenv, mode)
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

// applyOperatorFile sets the parts of the configuration that the operator's file defines.
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
