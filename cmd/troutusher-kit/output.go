package main

import (
	"errors"
	"fmt"
	"io"
	"os"
)

// Errors of writing to standard output and standard error are dropped: there is no other place
// to report them, and the exit code is about the work of the subcommand.

// printf writes formatted text.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// printLine writes values separated by spaces, and a newline.
func printLine(w io.Writer, args ...any) { _, _ = fmt.Fprintln(w, args...) }

// fail prints the error with which a subcommand ends, and returns code.
func fail(stderr io.Writer, subcommand string, err error, code int) int {
	printf(stderr, "troutusher %s: %v\n", subcommand, err)
	return code
}

// writeFile creates or truncates the file at path, and calls write for its content.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}

// isTerminal reports whether w is a character device, which for standard output and standard
// error means a terminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
