package runner

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	stopTimeout    = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	requestTimeout = time.Second             // of a PING or a console command, with its reply
)

var (
	errClosed   = errors.New("cannot start a process: the rehearsal is closed")
	errExitZero = errors.New("exit status 0") // of a process that is expected to run
)

// spawner starts processes from one OS thread that lives as long as the rehearsal. The processes have
// a parent-death signal, with which the kernel kills them when the thread that started them exits.
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
			case work := <-s.work:
				work()
			case <-s.done:
				return
			}
		}
	}()
	return s
}

func (s *spawner) start(cmd *exec.Cmd) error {
	result := make(chan error, 1)
	select {
	case s.work <- func() { result <- cmd.Start() }:
		return <-result
	case <-s.done:
		return errClosed
	}
}

// relayProcess is one process of a relay.
type relayProcess struct {
	cmd         *exec.Cmd
	exited      chan struct{}
	consoleAddr string
	expectedUp  atomic.Bool // an exit counts as a crash while this is set
}

// watch waits until the process exits, and calls onCrash if it was expected to run.
func (p *relayProcess) watch(onCrash func(error)) {
	err := p.cmd.Wait()
	close(p.exited)
	if !p.expectedUp.Load() {
		return
	}
	if err == nil {
		err = errExitZero
	}
	onCrash(err)
}

// The following methods signal a process that may have exited. They ignore the error of the
// signal, since the channel exited already shows that.

// kill kills the process and waits until it has exited.
func (p *relayProcess) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// terminate asks the process to exit, and kills it if it does not within stopTimeout. forced
// reports whether it was killed.
func (p *relayProcess) terminate() (forced bool) {
	p.expectedUp.Store(false)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.exited:
		return false
	case <-timer.C:
		p.kill()
		return true
	}
}

// reload makes the process reload its configuration.
func (p *relayProcess) reload() { _ = p.cmd.Process.Signal(syscall.SIGHUP) }

// ready asks the process through its console whether it serves clients.
func (p *relayProcess) ready() bool { return callConsole(p.consoleAddr, "READY") }

// peakMemoryKB returns the peak resident memory of the process, or 0 if the system does not
// report it (VmHWM in proc(5)).
func (p *relayProcess) peakMemoryKB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			if err != nil {
				return 0
			}
			return kb
		}
	}
	return 0
}

// ping reports whether a relay replies to PING.
func ping(addr string) bool { return request(addr, "*1\r\n$4\r\nPING\r\n") == "+PONG\r\n" }

// callConsole sends a command to a relay's console and reports whether the reply is YES.
func callConsole(addr, command string) bool {
	return strings.HasPrefix(request(addr, command+"\n"), "YES")
}

// request sends a text to an address and returns the first line of the reply, or "" if that fails.
func request(addr, text string) string {
	conn, err := net.DialTimeout("tcp4", addr, requestTimeout)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()                  // the reply has been read
	_ = conn.SetDeadline(time.Now().Add(requestTimeout)) // an error here makes the write below fail too
	if _, err := io.WriteString(conn, text); err != nil {
		return ""
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return ""
	}
	return line
}
