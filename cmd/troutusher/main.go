// Command troutusher is a relay: it accepts messages from clients and calls the
// endpoints of their destinations until each is delivered or its sender is told
// that it was not. Its settings are in the environment and in the file that
// ROUTER_CONFIG names. With arguments it runs one of the tools of troutusher-kit.
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
	// SIGHUP is caught first of all, since it would end the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		log.Error("cannot start", "err", err)
		os.Exit(exitConfig)
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(heapLimit(cfg.Limits.MemoryMB))
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

// heapLimit is the part of a process's memory, in bytes, that the Go runtime may use. The
// rest is for files and stacks.
func heapLimit(memoryMB int) int64 { return int64(memoryMB) << 20 / 10 * 7 }
