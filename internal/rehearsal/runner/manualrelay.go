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

// maxManualMessages is the number of messages that ServeEmulators remembers.
const maxManualMessages = 1 << 16

// ManualRelay tells the user how to start a relay by hand and where it will be reached.
type ManualRelay struct {
	ConfigPath string // for ROUTER_CONFIG
	Listen     string // the address where it will listen
}

// ServeEmulators runs the emulated endpoints of a plan's partners and the emulated registry for a relay
// that is started by hand, until ctx ends. It accepts every message that the relay sends, since it does
// not know which ones clients have submitted. ready is called once the emulators serve; show is called
// with every event.
func ServeEmulators(
	ctx context.Context, plan *scenario.Plan, dir string, ready func(ManualRelay), show func(*event.Event),
) error {
	start := time.Now()
	clock := func() event.Time { return time.Since(start).Microseconds() }
	var mu sync.Mutex // serializes calls of show
	emit := func(e event.Event) {
		mu.Lock()
		defer mu.Unlock()
		show(&e)
	}
	rules := endpoint.Rules{
		Relays: 1, MaxInFlight: plan.MaxInFlight(), MaxAttempts: plan.Scenario.Relays.MaxAttempts,
	}
	model, err := endpoint.New(plan.Specs, rules, plan.ServiceTimeSeed(), numberMessages(), emit)
	if err != nil {
		return err
	}
	server, err := h1.New(model, 1, clock)
	if err != nil {
		return err
	}
	defer server.Close()
	discovery, err := registry.New(registry.Config{
		Relays: 1, Seed: plan.Seed, Clock: clock, Emit: emit,
		Members: func(int) []registry.Member {
			return listMembers(plan, func(endpoint int) string { return server.Addr(endpoint, 0) })
		},
	})
	if err != nil {
		return err
	}
	defer discovery.Close()
	port, err := loopback.ReservePort()
	if err != nil {
		return err
	}
	defer func() { _ = port.Close() }() // the user's relay keeps the port
	relay, err := configureManualRelay(plan, dir, port.Addr(), discovery)
	if err != nil {
		return err
	}
	ready(relay)
	<-ctx.Done()
	return nil
}

// numberMessages returns a lookup function that finds every message and numbers them from 0. To
// bound its memory, it forgets all numbers after maxManualMessages messages. The model calls it
// under its lock.
func numberMessages() func(id string) (endpoint.Message, bool) {
	numbers := map[string]int{}
	return func(id string) (endpoint.Message, bool) {
		if _, known := numbers[id]; !known {
			if len(numbers) >= maxManualMessages {
				clear(numbers)
			}
			numbers[id] = len(numbers)
		}
		return endpoint.Message{Number: numbers[id]}, true
	}
}

// configureManualRelay creates the state folder of a relay that listens on an address, and writes its
// configuration.
func configureManualRelay(
	plan *scenario.Plan, dir, listen string, discovery *registry.Registry,
) (relay ManualRelay, err error) {
	relay = ManualRelay{ConfigPath: filepath.Join(dir, "config.json"), Listen: listen}
	state := filepath.Join(dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return relay, err
	}
	config := NewRelayConfig(plan, 0, relay.Listen, discovery.Addr(0), state, discovery.ListOf(0), plan.Seed)
	text, err := config.Text()
	if err != nil {
		return relay, err
	}
	if err := os.WriteFile(relay.ConfigPath, text, 0o600); err != nil {
		return relay, fmt.Errorf("write the relay's configuration: %w", err)
	}
	return relay, nil
}
