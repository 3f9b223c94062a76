// Command troutusher-kit holds the tools that ship with the relay and must not
// weigh on it: the relay's program hands its subcommands over to this one, which
// lies beside it. Nothing of it is in the daemon.
package main

import (
	"errors"
	"flag"
	"io"
	"os"
	"strings"
)

// Exit codes.
const (
	exitFailed = 1
	exitConfig = 2
)

func main() {
	if len(os.Args) < 2 {
		usage(os.Stderr)
		os.Exit(exitConfig)
	}
	os.Exit(dispatch(os.Args[1:], os.Stdout, os.Stderr))
}

// command is a subcommand. It returns an exit code.
type command struct {
	name, about string
	run         func(args []string, out, errs io.Writer) int
}

func commands() []command {
	return []command{
		{"rehearse", "play a rush against stand-in partners on loopback, and judge it", rehearse},
		{"put", "hand one message to a relay", put},
		{"crowd", "measure what idle connections cost a relay", measureCrowd},
		{"learned", "show what a relay keeps of its destinations", runLearned},
		{"members", "show who says what of which endpoint", runMembers},
		{"publish", "put endpoints, rates and drains into etcd", runPublish},
		{"follow", "follow a prefix of etcd, for a relay or to look at", runFollow},
		{"fleet", "add up the logs of many relays", runFleet},
		{"tls", "check, inspect and probe keys and partners; make a throw-away authority", runTLS},
	}
}

// dispatch runs the subcommand that the arguments name.
func dispatch(args []string, out, errs io.Writer) int {
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(args[1:], out, errs)
		}
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		usage(out)
		return 0
	}
	printf(errs, "troutusher: unknown command %q\n\n", args[0])
	usage(errs)
	return exitConfig
}

func usage(w io.Writer) {
	printf(w, "usage: troutusher            the relay; ROUTER_CONFIG names its configuration\n")
	for _, c := range commands() {
		printf(w, "       troutusher %-10s %s (-h for its flags)\n", c.name, c.about)
	}
}

// parse reads flags wherever they stand among the arguments. done is true where
// there is nothing left to do but to exit with code.
func parse(f *flag.FlagSet, args []string, most int) (rest []string, code int, done bool) {
	for {
		if err := f.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, 0, true
			}
			return nil, exitConfig, true
		}
		if f.NArg() == 0 {
			break
		}
		// What the flag package stopped at, or what stood behind a "--".
		if n := len(args) - f.NArg(); n > 0 && args[n-1] == "--" {
			rest = append(rest, f.Args()...)
			break
		}
		rest, args = append(rest, f.Arg(0)), f.Args()[1:]
	}
	if len(rest) > most {
		printf(f.Output(), "%s: too many arguments: %s\n", f.Name(), strings.Join(rest, " "))
		return nil, exitConfig, true
	}
	return rest, 0, false
}

// flags makes a flag set whose -h prints usage first.
func flags(name, synopsis, about string, out, errs io.Writer) *flag.FlagSet {
	f := flag.NewFlagSet("troutusher "+name, flag.ContinueOnError)
	f.SetOutput(errs)
	f.Usage = func() {
		printf(out, "usage: troutusher %s %s\n\n%s\n\n", name, synopsis, about)
		f.VisitAll(func(x *flag.Flag) {
			kind, text := flag.UnquoteUsage(x)
			if kind != "" {
				kind = " " + kind
			}
			printf(out, "  --%s%s\n        %s\n", x.Name, kind, text)
		})
	}
	return f
}

// terminal reports whether a writer is one.
func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	st, err := f.Stat()
	return err == nil && st.Mode()&os.ModeCharDevice != 0
}
