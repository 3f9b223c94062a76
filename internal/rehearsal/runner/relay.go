package runner

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"troutusher/internal/emulator/loopback"
	"troutusher/internal/emulator/registry"
	"troutusher/internal/rehearsal/scenario"
	"troutusher/internal/seededrand"
)

const (
	readyTimeout   = 30 * time.Second
	upgradeTimeout = 6 * time.Second         // from a start beside the old process to the new one's yes
	stopTimeout    = 3700 * time.Millisecond // from SIGTERM to SIGKILL
)

// spawner starts processes from one thread that lives as long as the stage, so
// that the system ends them when the kit itself is killed.
type spawner struct {
	work chan func()
	done chan struct{}
}

func newSpawner() *spawner {
	s := &spawner{work: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread()
		for {
			select {
			case f := <-s.work:
				f()
			case <-s.done:
				return
			}
		}
	}()
	return s
}

func (s *spawner) start(cmd *exec.Cmd) error {
	err := make(chan error, 1)
	select {
	case s.work <- func() { err <- cmd.Start() }:
		return <-err
	case <-s.done:
		return errors.New("the stage is closed")
	}
}

// relay is one relay, through all its processes.
type relay struct {
	index    int
	command  []string
	env      []string
	dir      string
	listen   string
	plan     *scenario.Plan
	registry *registry.Registry
	spawner  *spawner
	onCrash  func(relay int, err error)

	mu      sync.Mutex // held while it is being stopped or started
	current *process   // nil before the first
	starts  uint64
	peakKB  int // most resident memory that any of its processes was seen with
}

// process is one process of a relay.
type process struct {
	cmd         *exec.Cmd
	exited      chan struct{}
	consoleAddr string
	expectedUp  atomic.Bool // that it is there
}

func newRelay(
	num int, p *scenario.Plan, reg *registry.Registry, spawn *spawner, command []string, dir string,
) (*relay, error) {
	ln, err := loopback.Listen(0) // a free port of this process's own address
	if err != nil {
		return nil, fmt.Errorf("relay %d: %w", num+1, err)
	}
	r := &relay{
		index: num, command: command, dir: filepath.Join(
			dir, fmt.Sprintf("n%d", num+1),
		), listen: ln.Addr().String(), plan: p,
		registry: reg, spawner: spawn,
	}
	_ = ln.Close()
	if err := os.MkdirAll(filepath.Join(r.dir, "state"), 0o700); err != nil {
		return nil, err
	}
	return r, r.writeConfig()
}

// writeConfig writes the configuration's file, whole or not at all.
func (r *relay) writeConfig() error {
	c := NewRelayConfig(
		r.plan,
		r.index,
		r.listen,
		r.registry.Addr(r.index),
		filepath.Join(r.dir, "state"),
		r.registry.ListOf(r.index),
		seededrand.Hash(r.plan.Seed, 500, uint64(r.index), r.starts),
	)
	text, err := c.Text()
	if err != nil {
		return err
	}
	path := filepath.Join(r.dir, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start starts a process and waits until it is ready. The caller holds mu.
func (r *relay) start(ctx context.Context) error {
	p, err := r.launch()
	if err != nil {
		return err
	}
	r.current = p
	return r.waitReady(ctx, p, readyTimeout, func() bool { return ping(r.listen) })
}

// launch starts a process, beside those that are there.
func (r *relay) launch() (*process, error) {
	r.starts++
	if err := r.writeConfig(); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process writes by its own descriptor
	ln, err := loopback.Listen(0)      // a free port for its console
	if err != nil {
		return nil, err
	}
	p := &process{
		cmd: exec.Command(r.command[0], r.command[1:]...), exited: make(chan struct{}), consoleAddr: ln.Addr().String(),
	}
	_ = ln.Close()
	p.cmd.Env = append(append(
		os.Environ(), r.env...,
	), "ROUTER_CONFIG="+filepath.Join(r.dir, "config.json"), "ROUTER_STATE="+filepath.Join(r.dir, "state"),
		"ROUTER_NAME=", "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_CONSOLE="+p.consoleAddr)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	setProcessAttributes(p.cmd)
	if err := r.spawner.start(p.cmd); err != nil {
		return nil, fmt.Errorf("relay %d: %w", r.index+1, err)
	}
	p.expectedUp.Store(true)
	go func() {
		err := p.cmd.Wait()
		close(p.exited)
		if p.expectedUp.Load() {
			if err == nil {
				err = errors.New("exit status 0")
			}
			r.onCrash(r.index, err)
		}
	}()
	return p, nil
}

// waitReady waits until a process is ready.
func (r *relay) waitReady(ctx context.Context, p *process, limit time.Duration, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		if ready() {
			return nil
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-p.exited:
			return fmt.Errorf("relay %d ended before it was ready: %s", r.index+1, r.logTail())
		case <-ctx.Done():
			return fmt.Errorf("relay %d was not ready: %w: %s", r.index+1, ctx.Err(), r.logTail())
		}
	}
}

// upgrade starts a process beside the one that serves, and ends that one once
// the new one has taken over. The caller holds mu.
func (r *relay) upgrade(ctx context.Context) error {
	old := r.current
	p, err := r.launch()
	if err != nil {
		return err
	}
	old.expectedUp.Store(false) // it may end as soon as it owes nothing
	if err := r.waitReady(
		ctx,
		p,
		upgradeTimeout,
		func() bool { return callConsole(p.consoleAddr, "READY") },
	); err != nil {
		return err
	}
	r.recordPeakMemory()
	r.current = p
	r.terminate(old)
	return nil
}

// upgradeWithKill begins an upgrade and kills one of the two processes at a moment
// of its course. It reports whether one is left that goes on.
func (r *relay) upgradeWithKill(ctx context.Context, after time.Duration, killOld bool) (alive bool, err error) {
	old := r.current
	p, err := r.launch()
	if err != nil {
		return false, err
	}
	old.expectedUp.Store(false)
	p.expectedUp.Store(false)
	time.Sleep(after)
	victim, left := p, old
	if killOld {
		victim, left = old, p
	}
	_ = victim.cmd.Process.Kill() // it may have ended by itself: that is seen below
	<-victim.exited
	r.current = left
	err = r.waitReady(ctx, left, upgradeTimeout, func() bool { return callConsole(left.consoleAddr, "READY") })
	if left.expectedUp.Store(true); err == nil {
		return true, nil
	}
	left.expectedUp.Store(false)
	select {
	case <-left.exited: // it had handed over already, and the heir is dead: a kill as any other
		return false, nil
	default:
		return false, err
	}
}

// logTail is the end of its log.
func (r *relay) logTail() string {
	text, err := os.ReadFile(filepath.Join(r.dir, "log"))
	if err != nil {
		return err.Error()
	}
	text = text[max(0, len(text)-400):]
	return strings.TrimSpace(string(text))
}

func ping(addr string) bool {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second)) // fails with the write below
	if _, err := io.WriteString(c, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return false
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

// kill ends the process by force. The caller holds mu.
func (r *relay) kill() {
	r.recordPeakMemory()
	if p := r.current; p != nil {
		p.expectedUp.Store(false)
		_ = p.cmd.Process.Kill() // as above
		<-p.exited
	}
}

// stop asks the process to end, and ends it by force if it does not. The
// caller holds mu.
func (r *relay) stop() (forced bool) {
	r.recordPeakMemory()
	return r.current != nil && r.terminate(r.current)
}

func (r *relay) terminate(p *process) (forced bool) {
	p.expectedUp.Store(false)
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // as above
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.exited:
		return false
	case <-timer.C:
		_ = p.cmd.Process.Kill() // as above
		<-p.exited
		return true
	}
}

// reload has the process read its configuration again. The caller holds mu.
func (r *relay) reload() {
	if p := r.current; p != nil && p.expectedUp.Load() {
		_ = p.cmd.Process.Signal(syscall.SIGHUP) // its end is an event of its own
	}
}

// callConsole makes a call at a console and reports whether the answer is yes.
func callConsole(addr, what string) bool {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second)) // fails with the write below
	if _, err := io.WriteString(c, what+"\n"); err != nil {
		return false
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && strings.HasPrefix(line, "YES")
}

// recordPeakMemory books the most resident memory that the process has had, where the
// system tells (proc(5), VmHWM). The caller holds mu.
func (r *relay) recordPeakMemory() {
	if r.current == nil {
		return
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.current.cmd.Process.Pid))
	if err != nil {
		return
	}
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			if kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(v), " kB")); err == nil {
				r.peakKB = max(r.peakKB, kb)
			}
		}
	}
}
