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
	// restartNotice is how long the front goes on using a relay that is being restarted.
	restartNotice = 300 * time.Millisecond
	// drainNotice is how long it does so after a relay began to refuse PING.
	drainNotice = 200 * time.Millisecond
	// maxUpgradeKillDelay is by when an upgrade's new process has taken over.
	maxUpgradeKillDelay = 80 * time.Millisecond

	// upgradeKillStream is the stream of draws for when an upgrade is killed.
	upgradeKillStream = 900
)

// onProcesses does something to the processes of relays, while the rehearsal goes on.
func (f *plannedFault) onProcesses(do func(relay *managedRelay)) []action {
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
			if f.targets[index].StartProcess {
				do(relay)
			}
		}()
	})}}
}

// killRelay kills a relay's process, and starts another one at the fault's end.
func (f *plannedFault) killRelay(relay *managedRelay) {
	f.driver.RelayDown(relay.index, f.frontNotice())
	f.emitRelayEvent(event.RelayKilled, relay)
	relay.kill()
	sleep(f.ctx, time.Duration(f.Until-f.At)*time.Microsecond)
	f.startAgain(relay)
}

// restartRelay has a relay's process end, and starts another one.
func (f *plannedFault) restartRelay(relay *managedRelay) {
	f.driver.RelayDown(relay.index, restartNotice.Microseconds())
	f.emitRelayEvent(event.RelayStopping, relay)
	if relay.stop() {
		f.appendFailure(&f.kitErrors, "relay %d was still there %v after SIGTERM and was killed",
			relay.index+1, stopTimeout)
	}
	f.emitRelayEvent(event.RelayKilled, relay)
	f.startAgain(relay)
}

// startAgain starts a relay's next process. The caller holds the relay's lock.
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

// upgradeRelay has a new process take over from a relay's process. Forms of the fault kill
// one of the two meanwhile.
func (f *plannedFault) upgradeRelay(relay *managedRelay) {
	if f.Variant == "" {
		if err := relay.upgrade(f.ctx); err != nil && f.ctx.Err() == nil {
			f.appendFailure(&f.relayFailures, "upgrade: %v", err)
		}
		return
	}
	draw := seededrand.Hash(f.plan.Seed, upgradeKillStream, uint64(f.At), uint64(relay.index))
	after := time.Duration(draw % uint64(maxUpgradeKillDelay))
	f.emitRelayEvent(event.RelayKilled, relay) // from here on calls in flight may be cut
	alive, err := relay.upgradeWithKill(f.ctx, after, f.Variant == scenario.KillPredecessor)
	switch {
	case err != nil && f.ctx.Err() == nil:
		f.appendFailure(&f.relayFailures, "upgrade, %s after %v: %v", f.Variant, after, err)
	case alive:
		f.emitRelayEvent(event.RelayReady, relay)
	default:
		f.driver.RelayDown(relay.index, f.frontNotice())
		f.emitRelayEvent(event.RelayKilled, relay)
		f.startAgain(relay)
	}
}

// drainRelays returns a function that has relays drain, or end that, by their consoles.
func (f *plannedFault) drainRelays(on bool) func() {
	command := "UNDRAIN"
	if on {
		command = "DRAIN"
	}
	return f.forEachRelay(func(index int) {
		relay := f.relays[index]
		relay.mu.Lock()
		defer relay.mu.Unlock()
		if !f.targets[index].StartProcess {
			return
		}
		if !callConsole(relay.current.consoleAddr, command) {
			f.appendFailure(&f.relayFailures, "relay %d: its console said no to %s", index+1, command)
		}
		if on {
			f.driver.RelayDown(index, drainNotice.Microseconds())
		} else {
			f.driver.RelayUp(index)
		}
	})
}

// reloadRelay changes the address of a relay's discovery and has the relay read its
// configuration again.
func (f *plannedFault) reloadRelay(relay *managedRelay) {
	if _, err := f.registry.ChangeAddress(relay.index); err != nil {
		f.appendFailure(&f.kitErrors, "%v", err)
		return
	}
	if err := relay.writeConfig(); err != nil {
		f.appendFailure(&f.kitErrors, "%v", err)
		return
	}
	relay.reload()
}

func (f *plannedFault) emitRelayEvent(kind event.Kind, relay *managedRelay) {
	f.events.emit(event.Event{At: f.now(), Kind: kind, Relay: relay.index})
}

// sleep returns after d, or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
