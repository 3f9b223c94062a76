package main

import (
	"errors"
	"io"

	"github.com/alecthomas/kong"
)

// usageError is bad usage or a bad configuration. It is printed as it is, since it names
// the file that it is about.
type usageError struct{ error }

// Unwrap returns the error itself.
func (e usageError) Unwrap() error { return e.error }

// runKong parses the arguments of a subcommand with kong into cli, whose fields name its
// own subcommands, and runs the one that they name. It returns an exit code.
func runKong(name, about string, cli any, args []string, out, errs io.Writer) int {
	code, exited := 0, false
	parser, err := kong.New(cli, kong.Name("troutusher "+name), kong.Description(about), kong.Writers(out, errs),
		kong.Exit(func(c int) { code, exited = c, true }), kong.BindTo(out, (*io.Writer)(nil)))
	if err != nil {
		return fail(errs, name, err, exitFailed)
	}
	command, err := parser.Parse(args)
	if exited { // -h
		return code
	}
	if err != nil {
		return fail(errs, name, err, exitConfig)
	}
	err = command.Run()
	var usage usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		printf(errs, "%v\n", usage)
		return exitConfig
	}
	return fail(errs, name, err, exitFailed)
}
