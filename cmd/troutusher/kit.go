package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// kitProgram is the file name of the program that contains the tools. It is installed in the
// same folder as troutusher. The tools are a separate program because their packages would
// take memory in every relay process.
const kitProgram = "troutusher-kit"

// execKit replaces this process with troutusher-kit, which runs the subcommand in args. It
// returns only if that fails; the result is the exit code.
func execKit(args []string) int {
	executable, err := os.Executable()
	if err == nil {
		path := filepath.Join(filepath.Dir(executable), kitProgram)
		restoreHangup()
		err = syscall.Exec(path, append([]string{kitProgram}, args...), os.Environ())
	}
	if errors.Is(err, fs.ErrNotExist) {
		fmt.Fprintf(os.Stderr,
			"troutusher %s: %s not found in this program's folder; go build -o bin/ ./cmd/... builds both\n",
			args[0], kitProgram)
	} else {
		fmt.Fprintf(os.Stderr, "troutusher %s: start %s: %v\n", args[0], kitProgram, err)
	}
	return exitConfig
}
