package main

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// put hands one message to a relay and prints what it answers.
func put(args []string, out, errs io.Writer) int {
	f := flags("put", "--to ADDR --class NAME --dest N [flags] [BODY]",
		"Hands one message to a relay over RESP2 and prints its answer. Exit code 1 if it is not taken on.", out, errs)
	to := f.String("to", "", "the relay's `address`")
	class := f.String("class", "", "the message's `class`")
	portal := f.String("portal", "", "the `portal` that it comes from")
	dest := f.Int("dest", 0, "the `number` of its destination")
	id := f.String("id", "", "its `id`; a new one where it is left out")
	key := f.String("key", "", "its idempotency `key`, in a keyed class")
	deadline := f.Duration("deadline", 5*time.Second, "how long it may still be delivered")
	rest, code, done := parse(f, args, 1)
	if done {
		return code
	}
	for name, v := range map[string]string{"to": *to, "class": *class} {
		if v == "" {
			printf(errs, "troutusher put: --%s is missing\n", name)
			return exitConfig
		}
	}
	if *id == "" {
		var b [8]byte
		rand.Read(b[:])
		*id = fmt.Sprintf("%x", b)
	}
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,dest=%d", *class, *portal, deadline.Milliseconds(), *dest)
	if *key != "" {
		fields += ",k=" + *key
	}
	reply, err := ask(*to, "MSG.PUT", "0000000000000000", *id, fields, strings.Join(rest, ""))
	if err != nil {
		return fail(errs, "put", err, exitFailed)
	}
	printf(out, "%s %s\n", *id, reply)
	if strings.HasPrefix(reply, "-") {
		return exitFailed
	}
	return 0
}

// ask sends one RESP2 command and reads a line.
func ask(addr string, args ...string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	if _, err := io.WriteString(c, b.String()); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(io.LimitReader(c, 4096)).ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}
