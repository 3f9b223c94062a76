package relay

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"troutusher/internal/config"
	"troutusher/internal/connlimit"
	"troutusher/internal/core"
	"troutusher/internal/resp"
	"troutusher/internal/respserver"
	"troutusher/policy"
)

// What clients say: the meaning of commands. Their connections are the
// front's.

const (
	maxDeadlineFactor = 2 // times what its class has: no message has more left
	maxBodySize       = resp.MaxBodyBytes
)

// record is an entry of the write-ahead log.
type record = core.Record

// request is a message that a client hands in; it is answered once.
type request struct {
	core.Request
	timeLeft    time.Duration
	sendReply   func(string)
	onReplyDone func(q *request, ok bool)
}

func (q *request) answer(s string) { q.sendReply(s) }

// ReplyDone is told that the answer was written, or that its client is gone.
func (q *request) ReplyDone(ok bool) { q.onReplyDone(q, ok) }

const (
	replyOK       = "+OK\r\n"
	replyDraining = "-DRAINING no new connections here for now\r\n"
)

func busyReply(ms int64) string { return respserver.BusyReply(ms) }

func errorReply(err error) string { return respserver.ErrorReply(err) }

// parsePut reads a handed-in message; what is wrong is named, and nothing is
// taken.
func parsePut(c *config.Config, args [][]byte, now time.Time) (*request, error) {
	if len(args) != 5 {
		return nil, fmt.Errorf("MSG.PUT takes 4 arguments, %d came", len(args)-1)
	}
	id := string(args[2])
	if !isToken(id) {
		return nil, errors.New("id: empty, too long or not plain")
	}
	q := &request{Request: core.Request{Record: &record{Kind: core.RecordAccepted, ID: id, Body: bytes.Clone(args[4])}}}
	q.Handle = q
	have := map[string]string{}
	for part := range strings.SplitSeq(string(args[3]), ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			return nil, fmt.Errorf("field %q without a value", part)
		}
		have[name] = value
	}
	var ok bool
	if q.Class, ok = c.Classes[have["c"]]; !ok {
		return nil, fmt.Errorf("c: unknown class %q", have["c"])
	}
	q.Record.Class = have["c"]
	if q.Tenant, ok = c.Tenants[have["t"]]; !ok {
		if len(c.Tenants) > 0 {
			return nil, fmt.Errorf("t: unknown tenant %q", have["t"])
		}
		q.Tenant = -1
	}
	q.Record.Tenant = have["t"]
	ms, err := parseMilliseconds(have["d"])
	if err != nil {
		return nil, fmt.Errorf("d: %w", err)
	}
	if most := float64(c.Policy.Classes[q.Class].Deadline) / 1000; ms > maxDeadlineFactor*most {
		return nil, fmt.Errorf("d: %v ms, and messages of class %s have %v at most", ms, q.Record.Class, most)
	}
	q.timeLeft = time.Duration(ms * float64(time.Millisecond))
	q.Record.Deadline = now.Add(q.timeLeft).UnixMicro()
	dest, err := strconv.ParseUint(have["dest"], 10, 16)
	if err != nil {
		return nil, fmt.Errorf("dest: %.32q is no destination", have["dest"])
	}
	q.Record.Dest = int(dest)
	if q.Record.Key = have["k"]; q.Record.Key != "" && !isToken(q.Record.Key) {
		return nil, errors.New("k: too long or not plain")
	}
	if q.Record.Key == "" && needsIdempotencyKey(c, q.Class) {
		return nil, errors.New("k: missing in a keyed class")
	}
	return q, nil
}

func needsIdempotencyKey(c *config.Config, class int) bool {
	return c.Policy.Classes[class].Idempotency == policy.IdempotentByKey
}

// parseMilliseconds reads a time: digits, maybe with decimals. What a number may
// look like elsewhere (a sign, an exponent, hexadecimal) is no time.
func parseMilliseconds(s string) (float64, error) {
	whole, _, _ := strings.Cut(s, ".")
	if whole == "" || len(s) > 24 || strings.Trim(s, "0123456789.") != "" {
		return 0, fmt.Errorf("%.32q is no time in milliseconds", s)
	}
	return strconv.ParseFloat(s, 64)
}

// isToken reports whether s can stand in a header as it is.
func isToken(s string) bool {
	if s == "" || len(s) > 256 {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// clientServer makes requests of what clients send.
type clientServer struct {
	cfg         *config.Config
	server      *respserver.Server
	submit      func(*request) // hands it to the loop, which answers
	lifecycle   *processLifecycle
	countShed   func(class int)           // a request was refused before the loop saw it
	onReplyDone func(q *request, ok bool) // the answer was written, or its client is gone
}

// serverOptions are those of this relay's machine and operator.
func serverOptions(cfg *config.Config) respserver.Options {
	return respserver.Options{Limits: cfg.ConnLimits(), MemoryLimit: cfg.CommandMemory()}
}

// newClientServer opens the front that serves clients.
func newClientServer(cfg *config.Config, opt respserver.Options, put func(*request), said func(*request, bool), addrs ...string) (*clientServer, error) {
	c := &clientServer{cfg: cfg, submit: put, onReplyDone: said}
	opt.Handler = c.handleCommand
	var err error
	c.server, err = respserver.New(opt, addrs...)
	return c, err
}

// handleCommand is the front's handler.
func (c *clientServer) handleCommand(a *respserver.Command) respserver.Reply {
	switch name := string(bytes.ToUpper(a.Args[0])); name {
	case "PING":
		if c.lifecycle != nil && !c.lifecycle.acceptsClients.Load() {
			return respserver.Reply{Text: replyDraining, Kind: connlimit.CommandControl}
		}
		if len(a.Args) > 1 {
			p := a.Args[1]
			return respserver.Reply{Text: "$" + strconv.Itoa(len(p)) + "\r\n" + string(p) + "\r\n", Kind: connlimit.CommandControl}
		}
		return respserver.Reply{Text: "+PONG\r\n", Kind: connlimit.CommandControl}
	case "MSG.PUT":
		q, err := parsePut(c.cfg, a.Args, a.ReceivedAt)
		if err != nil {
			return respserver.Reply{Text: errorReply(err)}
		}
		if a.Shed {
			if c.countShed != nil {
				c.countShed(q.Class)
			}
			return respserver.Reply{Text: busyReply(max(a.RetryAfter.Milliseconds(), 1)), Kind: connlimit.CommandRequest}
		}
		q.Queued = a.QueueDelay.Microseconds()
		t := a.ID
		q.sendReply = func(s string) { c.server.SendReply(t, s) }
		q.onReplyDone = c.onReplyDone
		c.submit(q)
		return respserver.Reply{Kind: connlimit.CommandRequest, Pending: q, PendingBytes: len(q.Record.Body)}
	default:
		return respserver.Reply{Text: errorReply(fmt.Errorf("unknown command %.32q", name))}
	}
}
