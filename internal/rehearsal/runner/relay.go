package runner

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"troutusher/internal/emulator/loopback"
	"troutusher/internal/emulator/registry"
	"troutusher/internal/rehearsal/scenario"
	"troutusher/internal/seededrand"
)

const (
	readyTimeout   = 30 * time.Second
	upgradeTimeout = 6 * time.Second       // from a start beside the old process until the new one serves
	readyInterval  = 10 * time.Millisecond // between two questions whether a process is ready
	maxLogTail     = 400                   // bytes of the log that an error shows

	// relaySeedStream is the stream of draws for the seeds of relays.
	relaySeedStream = 500
)

// managedRelay is one relay, through all its processes.
type managedRelay struct {
	index    int
	command  []string
	env      []string
	dir      string
	listen   string
	plan     *scenario.Plan
	registry *registry.Registry
	spawner  *spawner
	onCrash  func(relay int, err error) // called when a process ends that should still run

	mu      sync.Mutex    // held while a process is started or stopped
	current *relayProcess // nil before the first
	starts  uint64
	peakKB  int // most resident memory that any of its processes was seen with
}

// newRelay chooses an address for a relay and writes its configuration.
func newRelay(
	index int, plan *scenario.Plan, discovery *registry.Registry, spawner *spawner, command []string, dir string,
) (*managedRelay, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, fmt.Errorf("relay %d: %w", index+1, err)
	}
	r := &managedRelay{
		index: index, command: command, dir: filepath.Join(dir, fmt.Sprintf("n%d", index+1)), listen: addr,
		plan: plan, registry: discovery, spawner: spawner,
	}
	if err := os.MkdirAll(r.stateDir(), 0o700); err != nil {
		return nil, err
	}
	return r, r.writeConfig()
}

// freeAddress returns one of this process's own addresses, with a port that nobody uses now.
func freeAddress() (string, error) {
	listener, err := loopback.Listen(0)
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }() // it has accepted nothing
	return listener.Addr().String(), nil
}

func (r *managedRelay) stateDir() string   { return filepath.Join(r.dir, "state") }
func (r *managedRelay) configPath() string { return filepath.Join(r.dir, "config.json") }
func (r *managedRelay) logPath() string    { return filepath.Join(r.dir, "log") }

// writeConfig replaces the configuration's file in one step.
func (r *managedRelay) writeConfig() error {
	seed := seededrand.Hash(r.plan.Seed, relaySeedStream, uint64(r.index), r.starts)
	config := NewRelayConfig(r.plan, r.index, r.listen, r.registry.Addr(r.index), r.stateDir(),
		r.registry.ListOf(r.index), seed)
	text, err := config.Text()
	if err != nil {
		return err
	}
	temporary := r.configPath() + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, r.configPath())
}

// start starts a process and waits until it is ready. The caller holds mu.
func (r *managedRelay) start(ctx context.Context) error {
	process, err := r.launch()
	if err != nil {
		return err
	}
	r.current = process
	return r.waitReady(ctx, process, readyTimeout, func() bool { return ping(r.listen) })
}

// launch starts a process, beside the current one if there is one.
func (r *managedRelay) launch() (*relayProcess, error) {
	r.starts++
	if err := r.writeConfig(); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(r.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process writes by a descriptor of its own
	consoleAddr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	process := &relayProcess{
		cmd: exec.Command(r.command[0], r.command[1:]...), exited: make(chan struct{}), consoleAddr: consoleAddr,
	}
	process.cmd.Env = append(append(os.Environ(), r.env...),
		"ROUTER_CONFIG="+r.configPath(), "ROUTER_STATE="+r.stateDir(),
		"ROUTER_NAME=", "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_CONSOLE="+consoleAddr)
	process.cmd.Stdout, process.cmd.Stderr = log, log
	setProcessAttributes(process.cmd)
	if err := r.spawner.start(process.cmd); err != nil {
		return nil, fmt.Errorf("relay %d: %w", r.index+1, err)
	}
	process.expectedUp.Store(true)
	go process.watch(func(err error) { r.onCrash(r.index, err) })
	return process, nil
}

// waitReady waits until a process is ready.
func (r *managedRelay) waitReady(
	ctx context.Context, process *relayProcess, limit time.Duration, ready func() bool,
) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		if ready() {
			return nil
		}
		select {
		case <-time.After(readyInterval):
		case <-process.exited:
			return fmt.Errorf("relay %d ended before it was ready: %s", r.index+1, r.logTail())
		case <-ctx.Done():
			return fmt.Errorf("relay %d was not ready: %w: %s", r.index+1, ctx.Err(), r.logTail())
		}
	}
}

// upgrade starts a process beside the current one, and ends that one once the new one has
// taken over. The caller holds mu.
func (r *managedRelay) upgrade(ctx context.Context) error {
	predecessor := r.current
	successor, err := r.launch()
	if err != nil {
		return err
	}
	predecessor.expectedUp.Store(false) // it may end as soon as it owes nothing
	if err := r.waitReady(ctx, successor, upgradeTimeout, successor.ready); err != nil {
		return err
	}
	r.recordPeakMemory()
	r.current = successor
	predecessor.terminate()
	return nil
}

// upgradeWithKill begins an upgrade, and kills one of the two processes after a time. It
// reports whether the other one serves. The caller holds mu.
func (r *managedRelay) upgradeWithKill(
	ctx context.Context, after time.Duration, killPredecessor bool,
) (alive bool, err error) {
	predecessor := r.current
	successor, err := r.launch()
	if err != nil {
		return false, err
	}
	predecessor.expectedUp.Store(false)
	successor.expectedUp.Store(false)
	time.Sleep(after)
	victim, survivor := successor, predecessor
	if killPredecessor {
		victim, survivor = predecessor, successor
	}
	victim.kill()
	r.current = survivor
	err = r.waitReady(ctx, survivor, upgradeTimeout, survivor.ready)
	if survivor.expectedUp.Store(true); err == nil {
		return true, nil
	}
	survivor.expectedUp.Store(false)
	select {
	case <-survivor.exited: // it had handed over to the killed one already: the relay is down
		return false, nil
	default:
		return false, err
	}
}

// logTail is the end of the relay's log.
func (r *managedRelay) logTail() string {
	text, err := os.ReadFile(r.logPath())
	if err != nil {
		return err.Error()
	}
	text = text[max(0, len(text)-maxLogTail):]
	return strings.TrimSpace(string(text))
}

// kill ends the process by force. The caller holds mu.
func (r *managedRelay) kill() {
	r.recordPeakMemory()
	if r.current != nil {
		r.current.expectedUp.Store(false)
		r.current.kill()
	}
}

// stop asks the process to end, and ends it by force if it does not. The caller holds mu.
func (r *managedRelay) stop() (forced bool) {
	r.recordPeakMemory()
	return r.current != nil && r.current.terminate()
}

// reload has the process read its configuration again. The caller holds mu.
func (r *managedRelay) reload() {
	if r.current != nil && r.current.expectedUp.Load() {
		r.current.reload()
	}
}

// recordPeakMemory notes the most resident memory of the current process. The caller holds
// mu.
func (r *managedRelay) recordPeakMemory() {
	if r.current != nil {
		r.peakKB = max(r.peakKB, r.current.peakMemoryKB())
	}
}
