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

// programEnv names the program that a relay is started from; unset for the tests' own.
const programEnv = "TROUTUSHER_TEST_PROGRAM"

// child is a relay in a process of its own.
type child struct {
	cmd    *exec.Cmd
	env    map[string]string
	exited chan error // has the process's end, once; see startPeer
}

// start runs a relay. Its owner has to wait for its end.
func start(t testing.TB, program string, env map[string]string) *child {
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

// startChild starts a relay and waits until it serves. The test may kill it.
func startChild(t testing.TB, env map[string]string) *child {
	t.Helper()
	c := start(t, os.Args[0], env)
	t.Cleanup(c.kill)
	c.waitReady(t)
	return c
}

// startPeer starts a relay beside those that are there, at a console of its own, and
// does not wait for it. Its end is told by exited.
func startPeer(t *testing.T, env map[string]string) *child {
	t.Helper()
	own := maps.Clone(env)
	own["ROUTER_CONSOLE"] = freeAddr(t)
	c := start(t, cmp.Or(env[programEnv], os.Args[0]), own)
	c.exited = make(chan error, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.exited <- c.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = c.cmd.Process.Kill() // it may have ended
		<-ended
	})
	return c
}

// startAndWait starts a relay like startPeer, and waits until it serves.
func startAndWait(t *testing.T, env map[string]string) *child {
	t.Helper()
	c := startPeer(t, env)
	waitFor(t, "yes", c.isReady)
	return c
}

// upgrade starts a process beside another and waits until it has taken over.
func upgrade(t *testing.T, old *child) *child {
	t.Helper()
	c := startPeer(t, old.env)
	waitFor(t, "the new process's yes", c.isReady)
	if err := <-old.exited; err != nil {
		t.Errorf("the old process: %v", err)
	}
	return c
}

// withFailpoint is an environment in which something happens at a failpoint.
func withFailpoint(env map[string]string, failpoint string) map[string]string {
	own := maps.Clone(env)
	own[failpointEnv] = failpoint
	return own
}

// testWriter shows the log of a child.
type testWriter struct{ t testing.TB }

func (w testWriter) Write(p []byte) (int, error) { return os.Stderr.Write(p) }

// waitReady waits until new clients are accepted.
func (c *child) waitReady(t testing.TB) {
	t.Helper()
	waitFor(t, "PONG", func() bool {
		conn, err := net.Dial("tcp", c.env["ROUTER_LISTEN"])
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, pingText); err != nil {
			return false
		}
		s, err := bufio.NewReader(conn).ReadString('\n')
		return err == nil && s == "+PONG\r\n"
	})
}

// isReady reports whether the console says so.
func (c *child) isReady() bool {
	s, err := callConsole(c.console(), "READY")
	return err == nil && strings.HasPrefix(s, "YES")
}

// hasExited reports whether a process that startPeer has started has ended.
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

// kill ends a process that startChild has started, if it lives.
func (c *child) kill() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}
