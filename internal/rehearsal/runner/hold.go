package runner

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/emulator/endpoint/h1"
	"troutusher/internal/emulator/loopback"
	"troutusher/internal/emulator/registry"
	"troutusher/internal/event"
	"troutusher/internal/rehearsal/scenario"
)

// ManualRelay is what a relay that is started by hand needs.
type ManualRelay struct {
	ConfigPath string // the file for ROUTER_CONFIG
	Listen     string // where it will listen
}

// ServeEmulators keeps a plan's partners and discovery up for relays that somebody else
// starts, until ctx ends. Any message is one that was handed in. ready is told
// where things are; say is shown what happens.
func ServeEmulators(
	ctx context.Context,
	p *scenario.Plan,
	dir string,
	ready func(ManualRelay),
	say func(*event.Event),
) error {
	began := time.Now()
	now := func() event.Time { return time.Since(began).Microseconds() }
	var mu sync.Mutex
	emit := func(e event.Event) {
		mu.Lock()
		defer mu.Unlock()
		say(&e)
	}
	seen := map[string]int{} // under the model's lock
	world, err := endpoint.New(p.Specs, endpoint.Rules{
		Relays: 1, MaxInFlight: p.MaxInFlight(), MaxAttempts: p.Scenario.Relays.MaxAttempts,
	}, p.ServiceTimeSeed(),
		func(id string) (endpoint.Message, bool) {
			if _, ok := seen[id]; !ok {
				if len(seen) >= 1<<16 { // somebody holds it for days
					clear(seen)
				}
				seen[id] = len(seen)
			}
			return endpoint.Message{Number: seen[id]}, true
		}, emit)
	if err != nil {
		return err
	}
	srv, err := h1.New(world, 1, now)
	if err != nil {
		return err
	}
	defer srv.Close()
	reg, err := registry.New(registry.Config{
		Relays: 1, Seed: p.Seed, Clock: now, Emit: emit,
		Members: func(int) []registry.Member { return listMembers(p, func(ep int) string { return srv.Addr(ep, 0) }) },
	})
	if err != nil {
		return err
	}
	defer reg.Close()
	ln, err := loopback.Listen(0)
	if err != nil {
		return err
	}
	listen := ln.Addr().String()
	_ = ln.Close()
	state := filepath.Join(dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return err
	}
	text, err := NewRelayConfig(p, 0, listen, reg.Addr(0), state, reg.ListOf(0), p.Seed).Text()
	if err != nil {
		return err
	}
	h := ManualRelay{ConfigPath: filepath.Join(dir, "config.json"), Listen: listen}
	if err := os.WriteFile(h.ConfigPath, text, 0o600); err != nil {
		return fmt.Errorf("hold: %w", err)
	}
	ready(h)
	<-ctx.Done()
	return nil
}
