package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// relay is one relay of the deployment: its configuration, its lasting folder and its processes.
type relay struct {
	world    *world
	name     string
	listen   string
	console  string
	state    string
	config   string
	tmp      string
	agent    *agent
	settings settings
	extraEnv []string
	process  *process
	all      []*process
}

// process is one process of a relay.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	code int
}

func (w *world) newRelay(name string, s settings, a *agent) *relay {
	r := &relay{
		world: w, name: name, listen: freeAddr(), console: freeAddr(), agent: a, settings: s,
		state: filepath.Join(w.dir, name, "state"), tmp: filepath.Join(w.dir, name, "tmp"),
		config: filepath.Join(w.dir, name, "config.json"),
	}
	must(os.MkdirAll(r.state, 0o700))
	must(os.MkdirAll(r.tmp, 0o700))
	w.relays = append(w.relays, r)
	return r
}

// writeConfig writes the configuration file, with the list that the agent has now.
func (r *relay) writeConfig(discovery string) {
	config := map[string]any{
		"name": r.name, "listen": r.listen, "discovery": discovery, "console": r.console,
		"seed":   fmt.Sprintf("%x", time.Now().UnixNano()&0xffffffffffff),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"state":  r.state, "settings": r.settings, "known": r.agent.whole(),
	}
	text, err := json.Marshal(config)
	must(err)
	must(os.WriteFile(r.config+".new", text, 0o600))
	must(os.Rename(r.config+".new", r.config))
}

// start starts a process with the deploy file's command and waits until it answers PING.
func (r *relay) start() {
	r.launch()
	waitFor(30*time.Second, r.name+" to answer PING", func() bool {
		require(!r.process.ended(), "%s ended at its start", r.name)
		return ping(r.listen) == "+PONG"
	})
	r.world.log("%s ready, pid %d", r.name, r.process.cmd.Process.Pid)
}

// launch starts a process with the deploy file's command.
func (r *relay) launch() {
	r.writeConfig(r.agent.addr)
	cmd := exec.Command("/bin/sh", "-c", r.world.deployCommand("run"))
	cmd.Dir = r.world.root
	cmd.Env = append(os.Environ(),
		"ROUTER_NAME="+r.name, "ROUTER_LISTEN="+r.listen, "ROUTER_DISCOVERY="+r.agent.addr, "ROUTER_STATE="+r.state,
		"ROUTER_CONFIG="+r.config, "ROUTER_CONSOLE="+r.console, "TMPDIR="+r.tmp)
	cmd.Env = append(cmd.Env, r.extraEnv...)
	log, err := os.OpenFile(filepath.Join(r.world.dir, r.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd.Stdout, cmd.Stderr = log, log
	must(cmd.Start())
	_ = log.Close()
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		p.code = cmd.ProcessState.ExitCode()
		close(p.done)
	}()
	r.process = p
	r.all = append(r.all, p)
	r.world.log("%s started, pid %d", r.name, cmd.Process.Pid)
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to the relay's process.
func (r *relay) signal(s syscall.Signal) {
	r.world.log("%s gets %v", r.name, s)
	_ = r.process.cmd.Process.Signal(s)
}

// end kills all processes of the relay.
func (r *relay) end() {
	for _, p := range r.all {
		if !p.ended() {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
		}
	}
}

func (r *relay) reap() {
	for _, p := range r.all {
		select {
		case <-p.done:
		case <-time.After(5 * time.Second):
		}
	}
}

// call makes a call of an operator and returns the first line of the answer.
func (r *relay) call(line string) string {
	conn, err := net.DialTimeout("tcp", r.console, time.Second)
	if err != nil {
		return "error " + err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "%s\n", line)
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer)
}
