package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// kit is the program with the tools. It lies beside this one: what the tools
// are made of would weigh on every relay's memory otherwise.
const kit = "troutusher-kit"

// handOver has the kit carry out a subcommand in this process's place. It
// returns an exit code only where that fails.
func handOver(args []string) int {
	self, err := os.Executable()
	if err == nil {
		path := filepath.Join(filepath.Dir(self), kit)
		err = syscall.Exec(path, append([]string{kit}, args...), os.Environ())
	}
	if errors.Is(err, fs.ErrNotExist) {
		fmt.Fprintf(os.Stderr, "troutusher %s: %s is not beside this program; go build -o bin/ ./cmd/... builds both\n",
			args[0], kit)
	} else {
		fmt.Fprintf(os.Stderr, "troutusher %s: %s: %v\n", args[0], kit, err)
	}
	return exitConfig
}
