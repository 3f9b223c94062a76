package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answerTimeout is how long a client waits for its answer.
const answerTimeout = 400 * time.Millisecond

func ping(addr string) string {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "*1\r\n$4\r\nPING\r\n")
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

var lastID atomic.Int64

func newID(prefix string) string { return fmt.Sprintf("%s%08x", prefix, lastID.Add(1)) }

// message is a message that a client hands in.
type message struct {
	id, class, key string
	dest           int
	lifetime       time.Duration
	body           string

	sentAt, answeredAt time.Time
	answer             string // "" without one
	failure            string // why there is no answer
	relay              *relay
}

func (m *message) command() string {
	fields := fmt.Sprintf("c=%s,t=kuhaj-doma,d=%d,dest=%d", m.class, m.lifetime.Milliseconds(), m.dest)
	if m.key != "" {
		fields += ",k=" + m.key
	}
	var b strings.Builder
	args := []string{"MSG.PUT", "7f3a9c21e0b4d655", m.id, fields, m.body}
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b.String()
}

func (m *message) accepted() bool { return strings.HasPrefix(m.answer, "+") }

func (m *message) refused() bool { return strings.HasPrefix(m.answer, "-BUSY") }

// client is a client with one connection to a relay, on which it sends one request after another.
type client struct {
	world  *world
	relay  *relay
	conn   net.Conn
	reader *bufio.Reader
}

// put hands a message in and waits for the answer. If the relay closed the resting connection, it sends the request
// once more on a new one.
func (c *client) put(m *message) error {
	m.relay = c.relay
	m.sentAt = time.Now()
	for try := 0; ; try++ {
		fresh := c.conn == nil
		if fresh {
			conn, err := net.DialTimeout("tcp", c.relay.listen, answerTimeout)
			if err != nil {
				c.world.log("client of %s: %v", c.relay.name, err)
				m.failure = err.Error()
				return err
			}
			c.conn, c.reader = conn, bufio.NewReader(conn)
		}
		_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
		_, err := c.conn.Write([]byte(m.command()))
		var line string
		if err == nil {
			line, err = c.reader.ReadString('\n')
		}
		if err == nil {
			m.answer, m.answeredAt = strings.TrimSpace(line), time.Now()
			c.world.log("client of %s: %s %s dest=%d key=%s: %s", c.relay.name, m.class, m.id, m.dest, m.key, m.answer)
			return nil
		}
		_ = c.conn.Close()
		c.conn = nil
		var timeout net.Error
		if fresh || try > 0 || errors.As(err, &timeout) && timeout.Timeout() {
			c.world.log("client of %s: %s %s: no answer: %v", c.relay.name, m.class, m.id, err)
			m.failure = err.Error()
			return err
		}
	}
}

// load hands in messages at a rate until stop is closed.
type load struct {
	mu       sync.Mutex
	messages []*message
	wg       sync.WaitGroup
	stop     chan struct{}
}

func newLoad() *load { return &load{stop: make(chan struct{})} }

// run starts a client that makes a message after each interval.
func (l *load) run(w *world, r *relay, interval time.Duration, make func() *message) {
	l.runEvery(w, r, func() time.Duration { return interval }, make)
}

// runAtRandom starts a client that makes messages at random, with a mean interval.
func (l *load) runAtRandom(w *world, r *relay, mean time.Duration, make func() *message) {
	l.runEvery(w, r, func() time.Duration { return time.Duration(rand.ExpFloat64() * float64(mean)) }, make)
}

func (l *load) runEvery(w *world, r *relay, interval func() time.Duration, make func() *message) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		c := &client{world: w, relay: r}
		for next := time.Now().Add(interval()); ; next = next.Add(interval()) {
			select {
			case <-l.stop:
				return
			case <-time.After(time.Until(next)):
			}
			m := make()
			l.mu.Lock()
			l.messages = append(l.messages, m)
			l.mu.Unlock()
			_ = c.put(m)
		}
	}()
}

func (l *load) end() []*message {
	close(l.stop)
	l.wg.Wait()
	return l.messages
}
