package main

import (
	"errors"
	"flag"
	"io"
	"strings"
)

// newFlagSet returns a flag set for a subcommand. Its usage text goes to stdout, and says what
// the subcommand is for and which flags it has; its errors go to stderr.
func newFlagSet(name, synopsis, about string, stdout, stderr io.Writer) *flag.FlagSet {
	set := flag.NewFlagSet("troutusher "+name, flag.ContinueOnError)
	set.SetOutput(stderr)
	set.Usage = func() {
		printf(stdout, "usage: troutusher %s %s\n\n%s\n\n", name, synopsis, about)
		set.VisitAll(func(f *flag.Flag) {
			placeholder, usage := flag.UnquoteUsage(f)
			if placeholder != "" {
				placeholder = " " + placeholder
			}
			printf(stdout, "  --%s%s\n        %s\n", f.Name, placeholder, usage)
		})
	}
	return set
}

// parseFlags parses flags, which may stand before, between and after the positional arguments,
// and returns the positional arguments. More than maxArgs of them are an error. If done is
// true, the subcommand has to exit with code: help or an error has been printed.
func parseFlags(set *flag.FlagSet, args []string, maxArgs int) (positional []string, code int, done bool) {
	for {
		if err := set.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, 0, true
			}
			return nil, exitConfig, true
		}
		if set.NArg() == 0 {
			break
		}
		// The flag package stops at the first positional argument, or after a "--". All
		// arguments after a "--" are positional.
		if parsed := len(args) - set.NArg(); parsed > 0 && args[parsed-1] == "--" {
			positional = append(positional, set.Args()...)
			break
		}
		positional, args = append(positional, set.Arg(0)), set.Args()[1:]
	}
	if len(positional) > maxArgs {
		printf(set.Output(), "%s: too many arguments: %s\n", set.Name(), strings.Join(positional, " "))
		return nil, exitConfig, true
	}
	return positional, 0, false
}
