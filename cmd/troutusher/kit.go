package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// kitProgram is the program with the tools, in the same folder as this one. They are not
// part of this program, since their packages would take memory in every relay.
const kitProgram = "troutusher-kit"

// execKit replaces this process by the kit, which runs a subcommand. It returns, with an
// exit code, only where that fails.
func execKit(args []string) int {
	self, err := os.Executable()
	if err == nil {
		path := filepath.Join(filepath.Dir(self), kitProgram)
		err = syscall.Exec(path, append([]string{kitProgram}, args...), os.Environ())
	}
	if errors.Is(err, fs.ErrNotExist) {
		fmt.Fprintf(os.Stderr, "troutusher %s: %s is not beside this program; go build -o bin/ ./cmd/... builds both\n",
			args[0], kitProgram)
	} else {
		fmt.Fprintf(os.Stderr, "troutusher %s: %s: %v\n", args[0], kitProgram, err)
	}
	return exitConfig
}
