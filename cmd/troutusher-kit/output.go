package main

import (
	"errors"
	"fmt"
	"io"
	"os"
)

// A command writes to standard output or standard error. Where that fails nobody can be
// told, and the exit code is about the command's work: the error is dropped.

// printf writes formatted text.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// printLine writes values with blanks between them, and a line's end.
func printLine(w io.Writer, args ...any) { _, _ = fmt.Fprintln(w, args...) }

// fail writes why a subcommand ends, and returns its exit code.
func fail(errs io.Writer, subcommand string, err error, code int) int {
	printf(errs, "troutusher %s: %v\n", subcommand, err)
	return code
}

// writeFile creates a file and has write fill it.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// isTerminal reports whether a writer is a terminal.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
