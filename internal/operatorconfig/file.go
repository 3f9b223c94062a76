// Package operatorconfig reads the operator's file, which contains the settings of a site
// that are not part of the platform's configuration. Without a file the defaults apply.
//
// The package defines the keys, their limits and their errors. It does not decide what a
// setting does, and does not read the files that the settings name.
package operatorconfig

import (
	"slices"
	"time"

	"troutusher/internal/tomlfile"
)

// EnvVar is the name of the environment variable that contains the path of the file.
const EnvVar = "TROUTUSHER_OPERATOR"

// File is the content of the operator's file. A zero value selects the default of a key.
//
// Some keys are named differently from the fields, here and in the sections: stories are
// message traces, learned is the policy's state, and rest is the passivation of idle
// destinations. The format of the file is fixed, so these keys keep their names.
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

// Load reads the file whose path is in the environment. It returns nil if EnvVar is not
// set.
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

// Parse parses and validates the text of a file. name is the file's name for errors. The
// returned error joins one *tomlfile.Error for each invalid value.
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

// within reports whether minimum <= x <= maximum. It returns false for NaN.
func within(x, minimum, maximum float64) bool { return x >= minimum && x <= maximum }

// bothOrNeither reports whether both texts are empty or neither is.
func bothOrNeither(a, b string) bool { return (a == "") == (b == "") }

// oneOf reports whether a text is empty or one of the allowed texts.
func oneOf(text string, allowed ...string) bool {
	return text == "" || slices.Contains(allowed, text)
}
