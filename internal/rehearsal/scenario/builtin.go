package scenario

import (
	"embed"
	"fmt"
	"path"
	"strings"
)

//go:embed builtin/*.toml
var files embed.FS

// Names lists the scenarios that ship with the program.
func Names() []string {
	entries, err := files.ReadDir("builtin")
	if err != nil {
		return nil
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Builtin is a scenario that ships with the program.
func Builtin(name string) (*Scenario, error) {
	text, err := BuiltinText(name)
	if err != nil {
		return nil, err
	}
	return Parse(name+".toml", text)
}

// BuiltinText is its file, to begin one's own from.
func BuiltinText(name string) ([]byte, error) {
	text, err := files.ReadFile(path.Join("builtin", name+".toml"))
	if err != nil {
		return nil, fmt.Errorf("no scenario %q; there are %s", name, strings.Join(Names(), ", "))
	}
	return text, nil
}
