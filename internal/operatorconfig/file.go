// Package operatorconfig reads the operator's file: settings of a site that are not
// part of the platform's configuration. Without a file the defaults apply.
//
// It owns the keys, their bounds and their errors. It must never decide what a
// setting does, nor read the files that the settings name.
package operatorconfig

import (
	"slices"
	"time"

	"troutusher/internal/tomlfile"
)

// EnvVar names the environment variable that names the file.
const EnvVar = "TROUTUSHER_OPERATOR"

// File is the content of the file. A zero value selects the default.
type File struct {
	Clients     Clients     `toml:"clients"`
	TLSRules    []TLSRule   `toml:"tls"`
	Handshakes  Handshakes  `toml:"handshakes"`
	Traces      Traces      `toml:"stories"`
	PolicyState PolicyState `toml:"learned"`
	Passivation Passivation `toml:"rest"`
	Discovery   Discovery   `toml:"discovery"`
	Etcd        Etcd        `toml:"etcd"`
}

// Load reads the file that the environment names. It returns nil if it names none.
func Load(getenv func(string) string) (*File, error) {
	path := getenv(EnvVar)
	if path == "" {
		return nil, nil
	}
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses and validates the text of a file. The errors contain its name. Each
// error is a *tomlfile.Error, and all are joined.
func Parse(name string, text []byte) (*File, error) {
	f := &File{}
	check, err := tomlfile.Decode(name, text, f)
	if err != nil {
		return nil, err
	}
	f.Clients.validate(check)
	f.Traces.validate(check)
	f.PolicyState.validate(check)
	f.Passivation.validate(check)
	f.Discovery.validate(check)
	f.Etcd.validate(check)
	f.validateTLS(check)
	return f, check.Err()
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// within reports whether a number lies within bounds. It is false for NaN.
func within(x, least, most float64) bool { return x >= least && x <= most }

// bothOrNeither reports whether both texts are empty or neither is.
func bothOrNeither(a, b string) bool { return (a == "") == (b == "") }

// oneOf reports whether a text is empty or one of the allowed ones.
func oneOf(text string, allowed ...string) bool {
	return text == "" || slices.Contains(allowed, text)
}
