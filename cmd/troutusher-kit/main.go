// Command troutusher-kit holds the tools that ship with the relay. The relay's program
// replaces itself by this one, in the same folder, when it is started with arguments, so
// that nothing of the tools is linked into the daemon.
package main

import (
	"io"
	"os"
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

// command is a subcommand.
type command struct {
	name, about string
	// run carries it out with the arguments that follow its name, and returns an exit
	// code.
	run func(args []string, out, errs io.Writer) int
}

func commands() []command {
	return []command{
		{"rehearse", "play a rush against stand-in partners on loopback, and judge it", runRehearse},
		{"put", "hand one message to a relay", runPut},
		{"crowd", "measure what idle connections cost a relay", runCrowd},
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
