package main

import (
	"errors"
	"flag"
	"io"
	"strings"
)

// newFlagSet makes a flag set whose -h prints to out what a subcommand is for, and its
// flags.
func newFlagSet(name, synopsis, about string, out, errs io.Writer) *flag.FlagSet {
	set := flag.NewFlagSet("troutusher "+name, flag.ContinueOnError)
	set.SetOutput(errs)
	set.Usage = func() {
		printf(out, "usage: troutusher %s %s\n\n%s\n\n", name, synopsis, about)
		set.VisitAll(func(f *flag.Flag) {
			placeholder, usage := flag.UnquoteUsage(f)
			if placeholder != "" {
				placeholder = " " + placeholder
			}
			printf(out, "  --%s%s\n        %s\n", f.Name, placeholder, usage)
		})
	}
	return set
}

// parseFlags reads flags wherever they stand among the arguments, and returns the other
// arguments, at most maxArgs. done is true where there is nothing left to do but to exit
// with code.
func parseFlags(set *flag.FlagSet, args []string, maxArgs int) (rest []string, code int, done bool) {
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
		// The flag package stopped at an argument, or behind a "--".
		if parsed := len(args) - set.NArg(); parsed > 0 && args[parsed-1] == "--" {
			rest = append(rest, set.Args()...)
			break
		}
		rest, args = append(rest, set.Arg(0)), set.Args()[1:]
	}
	if len(rest) > maxArgs {
		printf(set.Output(), "%s: too many arguments: %s\n", set.Name(), strings.Join(rest, " "))
		return nil, exitConfig, true
	}
	return rest, 0, false
}
