package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
)

// cluster is the project's etcd stand-in, as a process of its own.
type cluster struct {
	cmd   *exec.Cmd
	input io.WriteCloser
	lines *bufio.Reader
	addr  string
}

func (w *world) newCluster() *cluster {
	c := &cluster{cmd: exec.Command(filepath.Join(w.root, "review", "bin", "etcd2"))}
	input, err := c.cmd.StdinPipe()
	must(err)
	output, err := c.cmd.StdoutPipe()
	must(err)
	c.cmd.Stderr = os.Stderr
	must(c.cmd.Start())
	c.input, c.lines = input, bufio.NewReader(output)
	line, err := c.lines.ReadString('\n')
	must(err)
	c.addr = strings.TrimSpace(line)
	w.onClose(func() {
		_ = c.input.Close()
		_ = c.cmd.Process.Signal(syscall.SIGKILL)
		_ = c.cmd.Wait()
	})
	return c
}

// do executes a line of the stand-in.
func (c *cluster) do(format string, args ...any) {
	_, err := fmt.Fprintf(c.input, format+"\n", args...)
	must(err)
	line, err := c.lines.ReadString('\n')
	must(err)
	require(strings.HasPrefix(line, "done"), "etcd stand-in: %s", line)
}

// operatorFile writes an operator's file and returns the variable that names it.
func (w *world) operatorFile(text string) string {
	path := filepath.Join(w.dir, "operator.toml")
	must(os.WriteFile(path, []byte(text), 0o600))
	return "TROUTUSHER_OPERATOR=" + path
}

// usesEtcd is the operator's table that makes a relay follow the cluster.
func (c *cluster) table() string {
	return fmt.Sprintf("[etcd]\nendpoints = [%q]\nprefix = \"/recepti\"\nfirst = \"registry\"\n", c.addr)
}
