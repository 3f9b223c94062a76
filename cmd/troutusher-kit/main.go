// Command troutusher-kit contains the tools that ship with the relay, as subcommands.
//
// Operators start them as "troutusher SUBCOMMAND": with arguments, the troutusher program
// executes this one, which is installed in the same folder. The tools are therefore not
// linked into the relay program.
package main

import (
	"io"
	"os"
)

// Exit codes.
const (
	exitFailed = 1 // the subcommand failed
	exitConfig = 2 // bad usage or configuration
)

func main() {
	if len(os.Args) < 2 {
		usage(os.Stderr)
		os.Exit(exitConfig)
	}
	os.Exit(dispatch(os.Args[1:], os.Stdout, os.Stderr))
}

// command describes a subcommand.
type command struct {
	name, about string
	// run executes the subcommand with the arguments after its name, and returns the exit
	// code.
	run func(args []string, stdout, stderr io.Writer) int
}

func commands() []command {
	return []command{
		{"rehearse", "play a rush against stand-in partners on loopback, and judge it", runRehearse},
		{"soak", "play drawn restarts, kills and reloads, seed by seed", runSoak},
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

// dispatch runs the subcommand that args[0] names, and returns the exit code.
func dispatch(args []string, stdout, stderr io.Writer) int {
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(args[1:], stdout, stderr)
		}
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		usage(stdout)
		return 0
	}
	printf(stderr, "troutusher: unknown command %q\n\n", args[0])
	usage(stderr)
	return exitConfig
}

func usage(w io.Writer) {
	printf(w, "usage: troutusher            the relay; ROUTER_CONFIG names its configuration\n")
	for _, c := range commands() {
		printf(w, "       troutusher %-10s %s (-h for its flags)\n", c.name, c.about)
	}
}
