// Package operatorconfig reads the operator's own file: what a site may change that
// the platform does not tell a relay. Where no file is named, everything is as the
// platform wants it.
//
// It owns the keys, their bounds and their errors. It must never decide what a
// setting does, nor read what the files hold that it names.
package operatorconfig

import (
	"slices"
	"time"

	"troutusher/internal/tomlfile"
)

// EnvVar names the environment variable that names the file.
const EnvVar = "TROUTUSHER_OPERATOR"

// File is the whole file. Zero values stand for what was left out.
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

// Load reads the file that the environment names; nil where it names none.
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

// Parse reads and checks the text of a file, whose name is for the errors.
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

// seconds is a number of seconds as a span of time.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// within reports whether a number lies within bounds, which NaN never does.
func within(x, least, most float64) bool { return x >= least && x <= most }

// bothOrNeither reports whether two texts are set, or none.
func bothOrNeither(a, b string) bool { return (a == "") == (b == "") }

// oneOf reports whether a text is one of some, or left out.
func oneOf(text string, allowed ...string) bool {
	return text == "" || slices.Contains(allowed, text)
}
