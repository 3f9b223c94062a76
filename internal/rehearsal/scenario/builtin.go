package scenario

import (
	"embed"
	"fmt"
	"path"
	"strings"
)

//go:embed builtin/*.toml
var builtinFiles embed.FS

// BuiltinNames lists the scenarios that ship with the program.
func BuiltinNames() []string {
	entries, err := builtinFiles.ReadDir("builtin")
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
	text, err := builtinFiles.ReadFile(path.Join("builtin", name+".toml"))
	if err != nil {
		return nil, fmt.Errorf("no scenario %q; there are %s", name, strings.Join(BuiltinNames(), ", "))
	}
	return text, nil
}
