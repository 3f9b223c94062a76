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
	requestTimeout = time.Second             // of a PING or a console command
)

var (
	errClosed   = errors.New("the rehearsal is closed")
	errExitZero = errors.New("exit status 0") // of a process that should still run
)

// spawner starts processes from one thread that lives as long as the rehearsal, since the
// system ends them when the thread that started them ends.
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
	expectedUp  atomic.Bool // its end would be a crash
}

// watch waits for the process's end, and calls onCrash if it should still run.
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

// Signals are sent to a process that may have ended by itself. That is seen by its exited
// channel, so that the error of a signal tells nothing more.

// kill ends the process by force.
func (p *relayProcess) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// terminate asks the process to end, and ends it by force if it does not.
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

// reload has the process read its configuration again.
func (p *relayProcess) reload() { _ = p.cmd.Process.Signal(syscall.SIGHUP) }

// ready asks the process's console whether it serves.
func (p *relayProcess) ready() bool { return callConsole(p.consoleAddr, "READY") }

// peakMemoryKB is the most resident memory that the process has had, 0 where the system
// does not tell (proc(5), VmHWM).
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

// ping reports whether a relay answers PING.
func ping(addr string) bool { return request(addr, "*1\r\n$4\r\nPING\r\n") == "+PONG\r\n" }

// callConsole sends a command to a relay's console and reports whether the answer is yes.
func callConsole(addr, command string) bool {
	return strings.HasPrefix(request(addr, command+"\n"), "YES")
}

// request writes a text and returns the line that answers it, empty where there is none.
func request(addr, text string) string {
	conn, err := net.DialTimeout("tcp4", addr, requestTimeout)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()                  // the answer has been read
	_ = conn.SetDeadline(time.Now().Add(requestTimeout)) // fails with the write below
	if _, err := io.WriteString(conn, text); err != nil {
		return ""
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return ""
	}
	return line
}
