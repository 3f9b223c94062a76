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
	dialTimeout   = 2 * time.Second
	replyTimeout  = 5 * time.Second
	maxReplyBytes = 4096
	messageIDSize = 8 // random bytes

	putCommand = "MSG.PUT"
	putPrefix  = "0000000000000000" // the command's first argument, which relays do not read
)

// putFlags is what the flags of "troutusher put" say.
type putFlags struct {
	relay    string
	class    string
	portal   string
	dest     int
	id       string
	key      string
	deadline time.Duration
}

// register defines the flags in a set.
func (p *putFlags) register(set *flag.FlagSet) {
	set.StringVar(&p.relay, "to", "", "the relay's `address`")
	set.StringVar(&p.class, "class", "", "the message's `class`")
	set.StringVar(&p.portal, "portal", "", "the `portal` that it comes from")
	set.IntVar(&p.dest, "dest", 0, "the `number` of its destination")
	set.StringVar(&p.id, "id", "", "its `id`; a new one where it is left out")
	set.StringVar(&p.key, "key", "", "its idempotency `key`, in a keyed class")
	set.DurationVar(&p.deadline, "deadline", 5*time.Second, "how long it may still be delivered")
}

// runPut runs "troutusher put": it hands one message to a relay and prints the reply.
func runPut(args []string, out, errs io.Writer) int {
	var p putFlags
	set := newFlagSet("put", "--to ADDR --class NAME --dest N [flags] [BODY]", putAbout, out, errs)
	p.register(set)
	rest, code, done := parseFlags(set, args, 1)
	if done {
		return code
	}
	for name, value := range map[string]string{"to": p.relay, "class": p.class} {
		if value == "" {
			printf(errs, "troutusher put: --%s is missing\n", name)
			return exitConfig
		}
	}
	if p.id == "" {
		p.id = newMessageID()
	}
	reply, err := sendCommand(p.relay, putCommand, putPrefix, p.id, p.fields(), strings.Join(rest, ""))
	if err != nil {
		return fail(errs, "put", err, exitFailed)
	}
	printf(out, "%s %s\n", p.id, reply)
	if strings.HasPrefix(reply, "-") {
		return exitFailed
	}
	return 0
}

func newMessageID() string {
	var id [messageIDSize]byte
	rand.Read(id[:]) // it does not fail: it ends the program instead
	return fmt.Sprintf("%x", id)
}

// fields returns the message's fields as the command carries them.
func (p *putFlags) fields() string {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,dest=%d", p.class, p.portal, p.deadline.Milliseconds(), p.dest)
	if p.key != "" {
		fields += ",k=" + p.key
	}
	return fields
}

// sendCommand sends one RESP2 command and returns the line that answers it.
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
