package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"time"
)

// answerTime is how long a client waits for an answer (PROTOCOL, "Clients to relays").
const answerTime = 400 * time.Millisecond

// submission is one message that a client hands in.
type submission struct {
	id, class, tenant, key string
	dest                   int
	deadline               time.Duration
	body                   string
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// command returns the message as a RESP2 command.
func (s *submission) command() string {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,dest=%d", s.class, s.tenant, s.deadline.Milliseconds(), s.dest)
	if s.key != "" {
		fields += ",k=" + s.key
	}
	return respCommand("MSG.PUT", "0000000000000000", s.id, fields, s.body)
}

func respCommand(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b.String()
}

// client is one client's connection to a relay; it opens another one if the relay has closed it.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// ask sends one command and returns the first line of the answer. If the relay closes a connection
// that was used before, the client sends the command once more on a new one.
func (c *client) ask(command string) (string, error) {
	reused := c.conn != nil
	line, err := c.askOnce(command)
	if err != nil && reused && !isTimeout(err) {
		line, err = c.askOnce(command)
	}
	return line, err
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

func (c *client) askOnce(command string) (string, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, answerTime)
		if err != nil {
			return "", err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(answerTime))
	if _, err := c.conn.Write([]byte(command)); err != nil {
		c.close()
		return "", err
	}
	line, err := c.reader.ReadString('\n')
	if err != nil {
		c.close()
		return "", err
	}
	return strings.TrimRight(line, "\r\n"), nil
}
