package relay

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"troutusher/internal/config"
	"troutusher/internal/connlimit"
	"troutusher/internal/core"
	"troutusher/internal/respserver"
)

// Replies in RESP2 that say nothing of a single request.
const (
	replyOK       = "+OK\r\n"
	replyPong     = "+PONG\r\n"
	replyDraining = "-DRAINING no new connections here for now\r\n"
)

// busyReply rejects a request that may come again after a time; 0 where that is not
// known.
func busyReply(retryAfterMS int64) string { return respserver.BusyReply(retryAfterMS) }

// errorReply is the reply to a request that cannot be used.
func errorReply(err error) string { return respserver.ErrorReply(err) }

// request is a message that a client submits. It is answered once.
type request struct {
	core.Request
	timeLeft    time.Duration // until its deadline, when it was received
	sendReply   func(text string)
	onReplyDone func(q *request, ok bool)
}

func (q *request) answer(text string) { q.sendReply(text) }

// ReplyDone is called once the reply was written (ok), or its client is gone.
func (q *request) ReplyDone(ok bool) { q.onReplyDone(q, ok) }

// clientServer gives the commands of clients their meaning. Connections are the RESP
// server's, in whose goroutine commands are handled.
type clientServer struct {
	cfg         *config.Config
	server      *respserver.Server
	lifecycle   *processLifecycle         // nil for one that always accepts clients
	submit      func(*request)            // hands it to the event loop, which answers
	onReplyDone func(q *request, ok bool) // the reply was written, or its client is gone
	countShed   func(class int)           // a request was rejected before the event loop saw it; may be nil
}

// serverOptions are those of this relay's machine and operator.
func serverOptions(cfg *config.Config) respserver.Options {
	return respserver.Options{Limits: cfg.ConnLimits(), MemoryLimit: cfg.CommandMemory()}
}

// newClientServer binds the addresses of clients.
func newClientServer(
	cfg *config.Config,
	options respserver.Options,
	submit func(*request),
	onReplyDone func(q *request, ok bool),
	addrs ...string,
) (*clientServer, error) {
	c := &clientServer{cfg: cfg, submit: submit, onReplyDone: onReplyDone}
	options.Handler = c.handleCommand
	var err error
	c.server, err = respserver.New(options, addrs...)
	return c, err
}

// handleCommand is the RESP server's handler.
func (c *clientServer) handleCommand(command *respserver.Command) respserver.Reply {
	switch name := string(bytes.ToUpper(command.Args[0])); name {
	case "PING":
		return respserver.Reply{Text: c.pong(command.Args[1:]), Kind: connlimit.CommandControl}
	case "MSG.PUT":
		return c.put(command)
	default:
		return respserver.Reply{Text: errorReply(fmt.Errorf("unknown command %.32q", name))}
	}
}

// pong is the reply to PING, with what there was to be echoed.
func (c *clientServer) pong(args [][]byte) string {
	switch {
	case c.lifecycle != nil && !c.lifecycle.acceptsClients.Load():
		return replyDraining
	case len(args) > 0:
		return "$" + strconv.Itoa(len(args[0])) + "\r\n" + string(args[0]) + "\r\n"
	}
	return replyPong
}

// put submits a message, whose reply comes later, unless the load is shed or there
// is an error in it.
func (c *clientServer) put(command *respserver.Command) respserver.Reply {
	q, err := parsePut(c.cfg, command.Args, command.ReceivedAt)
	if err != nil {
		return respserver.Reply{Text: errorReply(err)}
	}
	if command.Shed {
		if c.countShed != nil {
			c.countShed(q.Class)
		}
		retryAfterMS := max(command.RetryAfter.Milliseconds(), 1)
		return respserver.Reply{Text: busyReply(retryAfterMS), Kind: connlimit.CommandRequest}
	}
	q.Queued = command.QueueDelay.Microseconds()
	id := command.ID // the command is the server's again once this returns
	q.sendReply = func(text string) { c.server.SendReply(id, text) }
	q.onReplyDone = c.onReplyDone
	c.submit(q)
	return respserver.Reply{Kind: connlimit.CommandRequest, Pending: q, PendingBytes: len(q.Record.Body)}
}
