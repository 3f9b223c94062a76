// Command troutusher is a relay: it takes messages from clients and owes each
// of them its end. What it is told stands in the environment and in the file
// that ROUTER_CONFIG names. With an argument it is one of its tools instead.
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
	exitFailed = 1
	exitConfig = 2
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(execKit(os.Args[1:]))
	}
	// Caught from the start on: SIGHUP would end the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		log.Error("cannot start", "err", err)
		os.Exit(exitConfig)
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 / 10 * 7) // the rest is for files and stacks
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	re := relay.ReloadRequests{Signals: hup, Load: func() (*config.Config, error) { return config.Reload(os.Getenv) }}
	err = relay.Run(cfg, log, ctx.Done(), re)
	if err != nil {
		log.Error("ended", "err", err)
		os.Exit(exitFailed)
	}
}
