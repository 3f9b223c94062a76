package scenario

import (
	"embed"
	"fmt"
	"path"
	"strings"
)

//go:embed builtin/*.toml
var builtinFiles embed.FS

// BuiltinNames returns the names of the scenarios that are embedded in the program.
func BuiltinNames() []string {
	entries, err := builtinFiles.ReadDir("builtin")
	if err != nil {
		return nil
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".toml"))
	}
	return names
}

// Builtin parses the built-in scenario of a name.
func Builtin(name string) (*Scenario, error) {
	text, err := BuiltinText(name)
	if err != nil {
		return nil, err
	}
	return Parse(name+".toml", text)
}

// BuiltinText returns the file of a built-in scenario, which operators can use as a template for
// their own.
func BuiltinText(name string) ([]byte, error) {
	text, err := builtinFiles.ReadFile(path.Join("builtin", name+".toml"))
	if err != nil {
		return nil, fmt.Errorf("no scenario %q; there are %s", name, strings.Join(BuiltinNames(), ", "))
	}
	return text, nil
}
