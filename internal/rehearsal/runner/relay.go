package runner

import (
	"context"
	"fmt"
	"io"
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
	upgradeTimeout = 6 * time.Second       // from the start of the successor until it serves
	readyInterval  = 10 * time.Millisecond // between two readiness checks
	maxLogTail     = 400                   // bytes of the log's end that an error quotes

	// relaySeedStream is the random stream from which the relays' seeds are drawn.
	relaySeedStream = 500
)

// managedRelay is one relay of a rehearsal, across restarts and upgrades of its process.
type managedRelay struct {
	index    int
	command  []string // program and arguments
	env      []string // additional environment variables, as name=value
	dir      string   // folder of its configuration, state and log
	listen   string   // address at which it serves clients
	plan     *scenario.Plan
	registry *registry.Registry
	spawner  *spawner
	onCrash  func(relay int, err error) // called when a process exits that is expected to run

	mu      sync.Mutex    // held while a process is started or stopped
	current *relayProcess // nil before the first start
	starts  uint64        // number of calls of launch; each process gets another seed
	peakKB  int           // highest resident memory measured in any of its processes

	ports []*loopback.Port // reserved for its processes until close, also while none of them runs
}

// newRelay chooses the address of a relay, creates its state folder and writes its configuration.
func newRelay(
	index int, plan *scenario.Plan, discovery *registry.Registry, spawner *spawner, command []string, dir string,
) (*managedRelay, error) {
	r := &managedRelay{
		index: index, command: command, dir: filepath.Join(dir, fmt.Sprintf("n%d", index+1)),
		plan: plan, registry: discovery, spawner: spawner,
	}
	var err error
	if r.listen, err = r.reserveAddress(); err != nil {
		return nil, fmt.Errorf("relay %d: %w", index+1, err)
	}
	if err = os.MkdirAll(r.stateDir(), 0o700); err == nil {
		err = r.writeConfig()
	}
	if err != nil {
		r.releaseAddresses()
		return nil, err
	}
	return r, nil
}

// reserveAddress returns a loopback address that no other server gets until releaseAddresses. Without the
// reservation, another rehearsal could get the port before the relay listens on it, or while it is down.
func (r *managedRelay) reserveAddress() (string, error) {
	port, err := loopback.ReservePort()
	if err != nil {
		return "", err
	}
	r.ports = append(r.ports, port)
	return port.Addr(), nil
}

// releaseAddresses ends the reservations. No process of the relay runs any more.
func (r *managedRelay) releaseAddresses() {
	for _, port := range r.ports {
		_ = port.Close() // nothing depends on it any more
	}
	r.ports = nil
}

func (r *managedRelay) stateDir() string   { return filepath.Join(r.dir, "state") }
func (r *managedRelay) configPath() string { return filepath.Join(r.dir, "config.json") }
func (r *managedRelay) logPath() string    { return filepath.Join(r.dir, "log") }

// writeConfig replaces the configuration file atomically.
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

// start starts a process, makes it the current one and waits until it is ready. The caller holds
// mu.
func (r *managedRelay) start(ctx context.Context) error {
	process, err := r.launch()
	if err != nil {
		return err
	}
	r.current = process
	return r.waitReady(ctx, process, readyTimeout, func() bool { return ping(r.listen) })
}

// launch starts a process without waiting for it. A current process keeps running.
func (r *managedRelay) launch() (*relayProcess, error) {
	r.starts++
	if err := r.writeConfig(); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(r.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	logged, err := log.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, err
	}
	consoleAddr, err := r.reserveAddress()
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
	go process.watch(func(err error) { r.onCrash(r.index, withPanic(err, readFrom(r.logPath(), logged))) })
	return process, nil
}

// waitReady waits until ready returns true. It returns an error if the process exits or the time limit
// passes before that.
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
			return fmt.Errorf("relay %d did not become ready: %w: %s", r.index+1, ctx.Err(), r.logTail())
		}
	}
}

// upgrade starts a successor beside the current process and terminates the predecessor once the
// successor has taken over. The caller holds mu.
func (r *managedRelay) upgrade(ctx context.Context) error {
	predecessor := r.current
	successor, err := r.launch()
	if err != nil {
		return err
	}
	predecessor.expectedUp.Store(false) // it may exit as soon as it has handed over all messages
	if err := r.waitReady(ctx, successor, upgradeTimeout, successor.ready); err != nil {
		return err
	}
	r.recordPeakMemory()
	r.current = successor
	predecessor.terminate()
	return nil
}

// upgradeWithKill begins an upgrade, waits for a time and kills one of the two processes. It
// reports whether the other one, the survivor, serves. The caller holds mu.
func (r *managedRelay) upgradeWithKill(
	ctx context.Context, after time.Duration, killPredecessor bool,
) (survivorServes bool, err error) {
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
	case <-survivor.exited: // it had handed over to the killed process and exited: the relay is down
		return false, nil
	default:
		return false, err
	}
}

// logTail returns the end of the relay's log.
func (r *managedRelay) logTail() string {
	text, err := os.ReadFile(r.logPath())
	if err != nil {
		return err.Error()
	}
	text = text[max(0, len(text)-maxLogTail):]
	return strings.TrimSpace(string(text))
}

// kill kills the current process, if there is one. The caller holds mu.
func (r *managedRelay) kill() {
	r.recordPeakMemory()
	if r.current != nil {
		r.current.expectedUp.Store(false)
		r.current.kill()
	}
}

// stop asks the current process to exit, and kills it if it does not within stopTimeout. forced
// reports whether it was killed. The caller holds mu.
func (r *managedRelay) stop() (forced bool) {
	r.recordPeakMemory()
	return r.current != nil && r.current.terminate()
}

// reload makes the current process reload its configuration. The caller holds mu.
func (r *managedRelay) reload() {
	if r.current != nil && r.current.expectedUp.Load() {
		r.current.reload()
	}
}

// recordPeakMemory updates peakKB with the peak memory of the current process. The caller holds
// mu.
func (r *managedRelay) recordPeakMemory() {
	if r.current != nil {
		r.peakKB = max(r.peakKB, r.current.peakMemoryKB())
	}
}
