package relay

import (
	"bufio"
	"cmp"
	"io"
	"maps"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// programEnv names the program that a relay is started from. By default it is the test binary,
// which acts as a relay (see TestMain).
const programEnv = "TROUTUSHER_TEST_PROGRAM"

// child is a relay in a process of its own.
type child struct {
	cmd    *exec.Cmd
	env    map[string]string
	exited chan error // receives the result of Wait once the process exits; only set by startPeer
}

// startProcess starts a relay process. The caller must wait for its exit.
func startProcess(t testing.TB, program string, env map[string]string) *child {
	t.Helper()
	c := &child{cmd: exec.Command(program), env: env}
	c.cmd.Env = append(os.Environ(), childProcessEnv+"=1")
	for name, value := range env {
		c.cmd.Env = append(c.cmd.Env, name+"="+value)
	}
	c.cmd.Stderr = testWriter{t}
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return c
}

// startChild starts a relay and waits until it accepts clients. The test may kill it; otherwise it
// is killed when the test ends.
func startChild(t testing.TB, env map[string]string) *child {
	t.Helper()
	c := startProcess(t, os.Args[0], env)
	t.Cleanup(c.kill)
	c.waitReady(t)
	return c
}

// startPeer starts a relay beside those that run already, with a console address of its own, and
// does not wait until it serves. The result of the process is sent to exited.
func startPeer(t *testing.T, env map[string]string) *child {
	t.Helper()
	childEnv := maps.Clone(env)
	childEnv["ROUTER_CONSOLE"] = freeAddr(t)
	c := startProcess(t, cmp.Or(env[programEnv], os.Args[0]), childEnv)
	c.exited = make(chan error, 1)
	waited := make(chan struct{})
	go func() {
		defer close(waited)
		c.exited <- c.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = c.cmd.Process.Kill() // the process may have exited
		<-waited
	})
	return c
}

// startAndWait starts a relay as startPeer does and waits until it is ready.
func startAndWait(t *testing.T, env map[string]string) *child {
	t.Helper()
	c := startPeer(t, env)
	waitFor(t, "the relay to be ready", c.isReady)
	return c
}

// upgrade starts a successor of a process and waits until the successor serves and the old process
// has exited.
func upgrade(t *testing.T, predecessor *child) *child {
	t.Helper()
	successor := startPeer(t, predecessor.env)
	waitFor(t, "the successor to be ready", successor.isReady)
	if err := <-predecessor.exited; err != nil {
		t.Errorf("exit of the predecessor: %v, want success", err)
	}
	return successor
}

// withFailpoint returns a copy of an environment with an action at a failpoint; see failpointEnv
// for the syntax.
func withFailpoint(env map[string]string, failpoint string) map[string]string {
	childEnv := maps.Clone(env)
	childEnv[failpointEnv] = failpoint
	return childEnv
}

// testWriter copies the log of a child to standard error.
type testWriter struct{ t testing.TB }

func (w testWriter) Write(p []byte) (int, error) { return os.Stderr.Write(p) }

// waitReady waits until a new client connection gets a reply to PING.
func (c *child) waitReady(t testing.TB) {
	t.Helper()
	waitFor(t, "a reply to PING", func() bool {
		conn, err := net.Dial("tcp", c.env["ROUTER_LISTEN"])
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, pingText); err != nil {
			return false
		}
		reply, err := bufio.NewReader(conn).ReadString('\n')
		return err == nil && reply == "+PONG\r\n"
	})
}

// isReady reports whether the console answers READY with YES.
func (c *child) isReady() bool {
	reply, err := callConsole(c.console(), "READY")
	return err == nil && strings.HasPrefix(reply, "YES")
}

// hasExited reports whether a process that startPeer started has exited.
func (c *child) hasExited() bool {
	select {
	case err := <-c.exited:
		c.exited <- err
		return true
	default:
		return false
	}
}

func (c *child) console() string { return c.env["ROUTER_CONSOLE"] }

func (c *child) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := c.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// kill kills a process that startChild started, unless it has exited already.
func (c *child) kill() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}
