// Command troutusher is a relay: it accepts messages from clients and calls the endpoints of
// each message's destination until the message is delivered, or until the platform has accepted
// the relay's notice that it was not. Its settings come from environment variables and from the
// file that ROUTER_CONFIG names. With arguments, it runs one of the tools of troutusher-kit instead.
package main

import (
	"context"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"troutusher/internal/config"
	"troutusher/internal/relay"
)

// Exit codes.
const (
	exitFailed = 1 // the relay ended with an error
	exitConfig = 2 // bad configuration, or troutusher-kit cannot be started
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(execKit(os.Args[1:]))
	}
	// SIGHUP asks for a reload. It is caught before anything else, because by default it
	// terminates the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		log.Error("cannot start", "err", err)
		os.Exit(exitConfig)
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(cfg.HeapLimit())
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	reloads := relay.ReloadRequests{
		Signals: hup,
		Load:    func() (*config.Config, error) { return config.Reload(os.Getenv) },
	}
	if err := relay.Run(cfg, log, ctx.Done(), reloads); err != nil {
		log.Error("ended", "err", err)
		os.Exit(exitFailed)
	}
}
