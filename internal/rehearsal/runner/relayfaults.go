package runner

import (
	"context"
	"fmt"
	"time"

	"troutusher/internal/event"
	"troutusher/internal/rehearsal/scenario"
	"troutusher/internal/seededrand"
)

const (
	// restartFailoverDelay is how long clients still connect to a relay that is being restarted.
	restartFailoverDelay = 300 * time.Millisecond
	// drainFailoverDelay is how long clients still connect to a relay that has begun to reject PING.
	drainFailoverDelay = 200 * time.Millisecond
	// maxUpgradeKillDelay bounds the time from an upgrade's start until one of its processes is
	// killed. By then the successor has taken over.
	maxUpgradeKillDelay = 80 * time.Millisecond

	// upgradeKillStream is the random stream from which upgradeRelay draws the time until it kills
	// a process.
	upgradeKillStream = 900
)

// processActions returns an action that starts a background goroutine for each affected relay. The
// goroutine locks the relay and calls do, unless the rehearsal started no process for the relay. The
// fault counts as active until the goroutine ends.
func (f *plannedFault) processActions(do func(relay *managedRelay)) []action {
	return []action{{f.At, f.forEachRelay(func(index int) {
		f.background.Add(1)
		go func() {
			defer f.background.Done()
			name := fmt.Sprintf("%s %d", f.Kind, index+1)
			f.addActiveFault(name, 1)
			defer f.addActiveFault(name, -1)
			relay := f.relays[index]
			relay.mu.Lock()
			defer relay.mu.Unlock()
			if f.targets[index].HasProcess {
				do(relay)
			}
		}()
	})}}
}

// killRelay kills a relay's process and starts a new one at the fault's end.
func (f *plannedFault) killRelay(relay *managedRelay) {
	f.driver.RelayDown(relay.index, f.failoverDelay())
	f.emitRelayEvent(event.RelayKilled, relay) // before the kill: from now on calls may be cut off
	relay.kill()
	sleep(f.ctx, time.Duration(f.Until-f.At)*time.Microsecond)
	f.startAgain(relay)
}

// restartRelay asks a relay's process to exit and starts a new one.
func (f *plannedFault) restartRelay(relay *managedRelay) {
	f.driver.RelayStopping(relay.index, restartFailoverDelay.Microseconds())
	f.emitRelayEvent(event.RelayStopping, relay)
	if relay.stop() {
		f.appendFailure(&f.relayFailures, "relay %d did not exit within %v of SIGTERM and was killed",
			relay.index+1, stopTimeout)
	}
	f.emitRelayEvent(event.RelayKilled, relay) // also after an exit of its own: the process is gone
	f.driver.RelayDown(relay.index, 0)
	f.startAgain(relay)
}

// startAgain starts a relay's next process, unless the rehearsal ends. The caller holds the relay's
// lock.
func (f *plannedFault) startAgain(relay *managedRelay) {
	if f.ctx.Err() != nil {
		return
	}
	if err := relay.start(f.ctx); err != nil {
		if f.ctx.Err() == nil {
			f.appendFailure(&f.relayFailures, "%v", err)
		}
		return
	}
	f.emitRelayEvent(event.RelayReady, relay)
	f.driver.RelayUp(relay.index)
}

// upgradeRelay replaces a relay's process by a successor that takes over from it. A variant of the
// fault kills one of the two processes at a random time of the upgrade. If the other one had already
// handed over to the killed one and exited, the relay is started again.
func (f *plannedFault) upgradeRelay(relay *managedRelay) {
	if f.Variant == "" {
		if err := relay.upgrade(f.ctx); err != nil && f.ctx.Err() == nil {
			f.appendFailure(&f.relayFailures, "upgrade of relay %d: %v", relay.index+1, err)
		}
		return
	}
	draw := seededrand.Hash(f.plan.Seed, upgradeKillStream, uint64(f.At), uint64(relay.index))
	after := time.Duration(draw % uint64(maxUpgradeKillDelay))
	f.emitRelayEvent(event.RelayKilled, relay) // from now on calls in flight may be cut off
	survivorServes, err := relay.upgradeWithKill(f.ctx, after, f.Variant == scenario.KillPredecessor)
	switch {
	case err != nil && f.ctx.Err() == nil:
		f.appendFailure(&f.relayFailures, "upgrade of relay %d with %s after %v: %v",
			relay.index+1, f.Variant, after, err)
	case survivorServes:
		f.emitRelayEvent(event.RelayReady, relay)
	default:
		f.driver.RelayDown(relay.index, f.failoverDelay())
		f.emitRelayEvent(event.RelayKilled, relay)
		f.startAgain(relay)
	}
}

// drainRelays returns a function that tells relays through their consoles to drain or to stop draining.
// A draining relay rejects PING, so that the load balancer sends clients to other relays.
func (f *plannedFault) drainRelays(on bool) func() {
	command := "UNDRAIN"
	if on {
		command = "DRAIN"
	}
	return f.forEachRelay(func(index int) {
		relay := f.relays[index]
		relay.mu.Lock()
		defer relay.mu.Unlock()
		if !f.targets[index].HasProcess {
			return
		}
		if !callConsole(relay.current.consoleAddr, command) {
			f.appendFailure(&f.relayFailures, "relay %d: console command %s failed", index+1, command)
		}
		if on {
			f.driver.RelayDown(index, drainFailoverDelay.Microseconds())
		} else {
			f.driver.RelayUp(index)
		}
	})
}

// reloadRelay changes the address of a relay's discovery service and makes the relay reload its
// configuration.
func (f *plannedFault) reloadRelay(relay *managedRelay) {
	if _, err := f.registry.ChangeAddress(relay.index); err != nil {
		f.appendFailure(&f.rehearsalErrors, "%v", err)
		return
	}
	if err := relay.writeConfig(); err != nil {
		f.appendFailure(&f.rehearsalErrors, "%v", err)
		return
	}
	relay.reload()
}

func (f *plannedFault) emitRelayEvent(kind event.Kind, relay *managedRelay) {
	f.events.emit(event.Event{At: f.now(), Kind: kind, Relay: relay.index})
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
