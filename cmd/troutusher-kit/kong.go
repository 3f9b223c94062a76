package main

import (
	"errors"
	"io"

	"github.com/alecthomas/kong"
)

// usageError marks an error as bad usage or a bad configuration, which gives exitConfig. It is
// printed without the name of the subcommand, since its text names the file or argument that
// is at fault.
type usageError struct{ error }

// Unwrap returns the marked error.
func (e usageError) Unwrap() error { return e.error }

// runKong runs the subcommand name, which has the usage text about, and returns the exit code.
// It uses the library kong to parse args into cli, a pointer to a struct whose fields declare
// the subcommand's flags and its own subcommands, and then calls the Run method of the one
// that args select.
func runKong(name, about string, cli any, args []string, stdout, stderr io.Writer) int {
	code, exited := 0, false
	parser, err := kong.New(cli, kong.Name("troutusher "+name), kong.Description(about), kong.Writers(stdout, stderr),
		kong.Exit(func(c int) { code, exited = c, true }), kong.BindTo(stdout, (*io.Writer)(nil)))
	if err != nil {
		return fail(stderr, name, err, exitFailed)
	}
	command, err := parser.Parse(args)
	if exited { // kong has printed the help text for -h
		return code
	}
	if err != nil {
		return fail(stderr, name, err, exitConfig)
	}
	err = command.Run()
	var badUsage usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &badUsage):
		printf(stderr, "%v\n", badUsage)
		return exitConfig
	}
	return fail(stderr, name, err, exitFailed)
}
