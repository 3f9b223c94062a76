package main

import (
	"bufio"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const putAbout = "Hands one message to a relay over RESP2 and prints its answer. Exit code 1 if it is not taken on."

const (
	dialTimeout    = 2 * time.Second
	replyTimeout   = 5 * time.Second
	maxReplyBytes  = 4096
	messageIDBytes = 8 // random bytes

	putCommand = "MSG.PUT"
	putPrefix  = "0000000000000000" // the first argument, which relays ignore
)

// putFlags holds the flags of "troutusher put".
type putFlags struct {
	relay    string
	class    string
	portal   string
	dest     int
	id       string
	key      string
	deadline time.Duration
}

// register defines the flags in set.
func (p *putFlags) register(set *flag.FlagSet) {
	set.StringVar(&p.relay, "to", "", "the relay's `address`")
	set.StringVar(&p.class, "class", "", "the message's `class`")
	set.StringVar(&p.portal, "portal", "", "the `portal` that it comes from")
	set.IntVar(&p.dest, "dest", 0, "the `number` of its destination")
	set.StringVar(&p.id, "id", "", "its `id`; a new one where it is left out")
	set.StringVar(&p.key, "key", "", "its idempotency `key`, in a keyed class")
	set.DurationVar(&p.deadline, "deadline", 5*time.Second, "how long it may still be delivered")
}

// runPut runs "troutusher put", which submits one message to a relay and prints the reply.
func runPut(args []string, stdout, stderr io.Writer) int {
	var p putFlags
	set := newFlagSet("put", "--to ADDR --class NAME --dest N [flags] [BODY]", putAbout, stdout, stderr)
	p.register(set)
	positional, code, done := parseFlags(set, args, 1)
	if done {
		return code
	}
	for _, required := range []struct{ name, value string }{{"to", p.relay}, {"class", p.class}} {
		if required.value == "" {
			printf(stderr, "troutusher put: --%s is missing\n", required.name)
			return exitConfig
		}
	}
	if p.id == "" {
		p.id = newMessageID()
	}
	reply, err := sendCommand(p.relay, putCommand, putPrefix, p.id, p.fields(), strings.Join(positional, ""))
	if err != nil {
		return fail(stderr, "put", err, exitFailed)
	}
	printf(stdout, "%s %s\n", p.id, reply)
	if strings.HasPrefix(reply, "-") {
		return exitFailed
	}
	return 0
}

func newMessageID() string {
	var id [messageIDBytes]byte
	rand.Read(id[:]) // never returns an error: it crashes the program instead
	return fmt.Sprintf("%x", id)
}

// fields returns the command's fields argument: the message's class (c), portal (t), time to its
// deadline in ms (d), destination (dest) and idempotency key (k).
func (p *putFlags) fields() string {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,dest=%d", p.class, p.portal, p.deadline.Milliseconds(), p.dest)
	if p.key != "" {
		fields += ",k=" + p.key
	}
	return fields
}

// sendCommand sends one RESP2 command to the relay at addr and returns the first line of the
// reply, without its line end.
func sendCommand(addr string, args ...string) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }() // the reply has been read
	if err := conn.SetDeadline(time.Now().Add(replyTimeout)); err != nil {
		return "", err
	}
	var command strings.Builder
	fmt.Fprintf(&command, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&command, "$%d\r\n%s\r\n", len(arg), arg)
	}
	if _, err := io.WriteString(conn, command.String()); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(io.LimitReader(conn, maxReplyBytes)).ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}
