package relay

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/config"
)

// childProcessEnv makes the test's own program a relay, so that a test can kill one.
const childProcessEnv = "TROUTUSHER_TEST_CHILD"

// firstListTimeoutEnv is how long a child's first calls wait for discovery, and how
// long a watch may be silent there.
const firstListTimeoutEnv = "TROUTUSHER_TEST_FIRST_LIST"

// failpointEnv has something happen to a child at a failpoint: POINT=WHAT. WHAT
// is KILL, TERM or HUP (the child has that signal, and goes on once it has been
// received), HUP:FILE (likewise, with the file in the configuration's place), or
// WAIT:FILE (it stops until there is such a file, and makes FILE.at as it does).
const failpointEnv = "TROUTUSHER_TEST_CROSS"

func TestMain(m *testing.M) {
	if os.Getenv(helperEnv) != "" {
		os.Exit(helperMain())
	}
	if os.Getenv(childProcessEnv) == "" {
		os.Exit(m.Run())
	}
	if d, err := time.ParseDuration(os.Getenv(firstListTimeoutEnv)); err == nil {
		firstListTimeout, watchSilenceTimeout = d, d
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		log.Error("child", "err", err)
		os.Exit(2)
	}
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	read := make(chan struct{}, 16)
	re := ReloadRequests{Signals: hup, Load: func() (*config.Config, error) {
		cfg, err := config.Reload(os.Getenv)
		read <- struct{}{}
		return cfg, err
	}}
	if at := os.Getenv(failpointEnv); at != "" {
		setFailpoint(ctx, read, at)
	}
	err = Run(cfg, log, ctx.Done(), re)
	if err != nil {
		log.Error("child", "err", err)
		os.Exit(1)
	}
	os.Exit(0)
}

// setFailpoint has what failpointEnv says happen, once. terminated ends as SIGTERM has
// been received, and reloaded has a value each time that the configuration was read.
func setFailpoint(terminated context.Context, reloaded <-chan struct{}, text string) {
	point, what, _ := strings.Cut(text, "=")
	what, file, _ := strings.Cut(what, ":")
	once := false
	failpoint = func(at string) {
		if at != point || once {
			return
		}
		once = true
		switch what {
		case "KILL":
			signalSelf(syscall.SIGKILL)
			select {}
		case "TERM":
			signalSelf(syscall.SIGTERM)
			<-terminated.Done()
		case "HUP":
			if file != "" {
				must(os.Rename(file, os.Getenv("ROUTER_CONFIG")))
			}
			signalSelf(syscall.SIGHUP)
			<-reloaded
		case "WAIT":
			must(os.WriteFile(file+".at", nil, 0o600))
			for _, err := os.Stat(file); err != nil; _, err = os.Stat(file) {
				time.Sleep(time.Millisecond)
			}
		}
	}
}

func signalSelf(s syscall.Signal) { must(syscall.Kill(os.Getpid(), s)) }

// must ends a child whose failpoint does not work.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
