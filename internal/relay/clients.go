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

// Replies in RESP2 with a fixed text.
const (
	replyOK       = "+OK\r\n"
	replyPong     = "+PONG\r\n"
	replyDraining = "-DRAINING no new connections here for now\r\n"
)

// busyReply returns the reply that rejects a request because of the load. The client
// may retry after retryAfterMS milliseconds; 0 if the time is unknown.
func busyReply(retryAfterMS int64) string { return respserver.BusyReply(retryAfterMS) }

// errorReply returns the reply to an invalid request.
func errorReply(err error) string { return respserver.ErrorReply(err) }

// request is a message that a client submits. It gets exactly one reply.
type request struct {
	core.Request
	timeLeft    time.Duration // from its receipt to its deadline
	sendReply   func(text string)
	onReplyDone func(req *request, ok bool)
}

func (req *request) answer(text string) { req.sendReply(text) }

// ReplyDone is called once the reply is written (ok) or the client has disconnected.
func (req *request) ReplyDone(ok bool) { req.onReplyDone(req, ok) }

// clientServer handles the commands of clients. The RESP server owns the connections
// and calls the handler in its own goroutine.
type clientServer struct {
	cfg         *config.Config
	server      *respserver.Server
	lifecycle   *processLifecycle           // nil if clients are always accepted
	submit      func(*request)              // passes a request to the event loop, which replies
	onReplyDone func(req *request, ok bool) // called once the reply is written or the client has disconnected
	countShed   func(class int)             // counts a request that was shed before submit; may be nil
}

// serverOptions returns the limits for the RESP server from the configuration.
func serverOptions(cfg *config.Config) respserver.Options {
	return respserver.Options{Limits: cfg.ConnLimits(), MemoryLimit: cfg.CommandMemory()}
}

// newClientServer creates a server for clients and binds its addresses.
func newClientServer(
	cfg *config.Config,
	options respserver.Options,
	submit func(*request),
	onReplyDone func(req *request, ok bool),
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

// pong returns the reply to PING, which echoes the first argument if there is one.
func (c *clientServer) pong(args [][]byte) string {
	switch {
	case c.lifecycle != nil && !c.lifecycle.acceptsClients.Load():
		return replyDraining
	case len(args) > 0:
		return "$" + strconv.Itoa(len(args[0])) + "\r\n" + string(args[0]) + "\r\n"
	}
	return replyPong
}

// put submits a message, whose reply follows later. It replies at once if the message
// is invalid or is rejected by load shedding.
func (c *clientServer) put(command *respserver.Command) respserver.Reply {
	req, err := parsePut(c.cfg, command.Args, command.ReceivedAt)
	if err != nil {
		return respserver.Reply{Text: errorReply(err)}
	}
	if command.Shed {
		if c.countShed != nil {
			c.countShed(req.Class)
		}
		retryAfterMS := max(command.RetryAfter.Milliseconds(), 1)
		return respserver.Reply{Text: busyReply(retryAfterMS), Kind: connlimit.CommandRequest}
	}
	req.Queued = command.QueueDelay.Microseconds()
	id := command.ID // the server reuses the command once put returns
	req.sendReply = func(text string) { c.server.SendReply(id, text) }
	req.onReplyDone = c.onReplyDone
	c.submit(req)
	return respserver.Reply{Kind: connlimit.CommandRequest, Pending: req, PendingBytes: len(req.Record.Body)}
}
