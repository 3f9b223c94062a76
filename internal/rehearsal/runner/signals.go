package runner

import (
	"os"
	"slices"
	"syscall"
	"time"

	"troutusher/internal/event"
	"troutusher/internal/rehearsal/scenario"
)

const (
	// restartDelay is the time from SIGKILL until the platform starts the next process.
	restartDelay = 600 * time.Millisecond
	// invalidConfig is the text of a configuration file that cannot be read.
	invalidConfig = `{"name":`
)

// signalSeries is a series of steps that one relay goes through. The caller holds the relay's lock.
type signalSeries struct {
	*plannedFault
	relay        *managedRelay
	terminatedAt time.Time // when SIGTERM was sent first; zero for never
	killed       bool      // no process of the relay runs
	successor    *relayProcess
}

// sendSignals executes the steps of a RelaySignals fault, and then waits until the relay serves again.
func (f *plannedFault) sendSignals(relay *managedRelay) {
	steps, err := scenario.ParseSignalSteps(f.Variant)
	if err != nil {
		f.appendFailure(&f.rehearsalErrors, "signals: %v", err)
		return
	}
	series := &signalSeries{plannedFault: f, relay: relay}
	interval := time.Duration(f.Magnitude * float64(time.Second))
	for i, step := range steps {
		if i > 0 {
			sleep(f.ctx, interval)
		}
		if f.ctx.Err() != nil {
			return
		}
		if err := series.execute(step); err != nil {
			f.appendFailure(&f.rehearsalErrors, "signals to relay %d: %s: %v", relay.index+1, step, err)
			return
		}
	}
	series.settle()
}

// execute executes one step.
func (s *signalSeries) execute(step scenario.SignalStep) error {
	relay := s.relay
	switch step {
	case scenario.StepReload:
		return s.reload()
	case scenario.StepBadReload:
		if err := os.WriteFile(relay.configPath(), []byte(invalidConfig), 0o600); err != nil {
			return err
		}
		relay.current.reload()
	case scenario.StepTerminate:
		s.terminate()
	case scenario.StepKill:
		s.kill()
	case scenario.StepStart:
		return s.launch()
	case scenario.StepUpgrade:
		return s.upgrade()
	case scenario.StepDrain:
		callConsole(relay.current.consoleAddr, "DRAIN") // a process that shuts down answers no
		s.driver.RelayStopping(relay.index, drainFailoverDelay.Microseconds())
	case scenario.StepUndrain:
		callConsole(relay.current.consoleAddr, "UNDRAIN")
		if s.terminatedAt.IsZero() && !s.killed {
			s.driver.RelayUp(relay.index)
		}
	}
	return nil
}

// reload rewrites the configuration with the current address of discovery and sends SIGHUP.
func (s *signalSeries) reload() error {
	if err := s.relay.writeConfig(); err != nil {
		return err
	}
	s.relay.current.reload()
	return nil
}

// terminate sends SIGTERM. Clients keep using the connections that stay open.
func (s *signalSeries) terminate() {
	process := s.relay.current
	process.expectedUp.Store(false)
	if s.terminatedAt.IsZero() {
		s.terminatedAt = time.Now()
		s.driver.RelayStopping(s.relay.index, restartFailoverDelay.Microseconds())
		s.emitRelayEvent(event.RelayStopping, s.relay)
	}
	_ = process.cmd.Process.Signal(syscall.SIGTERM) // it may have exited after an earlier one
}

// kill kills all processes of the relay.
func (s *signalSeries) kill() {
	s.driver.RelayDown(s.relay.index, s.failoverDelay())
	s.emitRelayEvent(event.RelayKilled, s.relay) // before the kill: from now on calls may be cut off
	s.relay.kill()
	if s.successor != nil {
		s.successor.expectedUp.Store(false)
		s.successor.kill()
		s.successor = nil
	}
	s.killed = true
}

// launch starts the relay's next process without waiting for it.
func (s *signalSeries) launch() error {
	process, err := s.relay.launch()
	if err != nil {
		return err
	}
	s.relay.current = process
	s.killed = false
	return nil
}

// upgrade starts a successor beside the current process without waiting for it.
func (s *signalSeries) upgrade() error {
	if s.successor != nil {
		return nil // one at a time
	}
	successor, err := s.relay.launch()
	if err != nil {
		return err
	}
	s.relay.current.expectedUp.Store(false) // it exits once it has handed over
	successor.expectedUp.Store(false)       // it exits if the current process shuts down or rejects it
	s.successor = successor
	return nil
}

// settle restores the configuration and waits until the relay serves, after a restart if a step has ended its process.
func (s *signalSeries) settle() {
	relay := s.relay
	if err := relay.writeConfig(); err != nil {
		s.appendFailure(&s.rehearsalErrors, "%v", err)
		return
	}
	if !s.terminatedAt.IsZero() {
		sleep(s.ctx, time.Until(s.terminatedAt.Add(stopTimeout)))
		s.kill()
	}
	if s.killed {
		sleep(s.ctx, restartDelay)
		s.startAgain(relay)
		return
	}
	if err := s.awaitServing(); err != nil {
		if s.ctx.Err() == nil {
			s.appendFailure(&s.relayFailures, "after signals %s: %v", s.Variant, err)
		}
		return
	}
	s.emitRelayEvent(event.RelayReady, relay)
	s.driver.RelayUp(relay.index)
}

// awaitServing waits until the current process or its successor serves, and makes that process the current one.
func (s *signalSeries) awaitServing() error {
	candidates := []*relayProcess{s.relay.current}
	if s.successor != nil {
		candidates = append(candidates, s.successor)
	}
	var serving *relayProcess
	err := s.relay.waitReady(s.ctx, candidates[len(candidates)-1], readyTimeout, func() bool {
		i := slices.IndexFunc(candidates, (*relayProcess).ready)
		if i >= 0 {
			serving = candidates[i]
		}
		return i >= 0
	})
	if err != nil {
		return err
	}
	if s.successor != nil && serving == s.relay.current { // the hand-over has not ended yet, or has failed
		return s.awaitUpgrade()
	}
	s.relay.current = serving
	serving.expectedUp.Store(true)
	return nil
}

// awaitUpgrade waits until the successor serves or has exited. In the second case the current process continues.
func (s *signalSeries) awaitUpgrade() error {
	err := s.relay.waitReady(s.ctx, s.successor, upgradeTimeout, s.successor.ready)
	if err == nil {
		s.relay.current = s.successor
	}
	select {
	case <-s.successor.exited:
		err = s.relay.waitReady(s.ctx, s.relay.current, upgradeTimeout, s.relay.current.ready)
	default:
	}
	if err == nil {
		s.relay.current.expectedUp.Store(true)
	}
	return err
}
