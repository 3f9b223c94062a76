package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// kitProgram is the program with the tools. It lies beside this one: what the tools
// are made of would weigh on every relay's memory otherwise.
const kitProgram = "troutusher-kit"

// execKit has the kit carry out a subcommand in this process's place. It
// returns an exit code only where that fails.
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
