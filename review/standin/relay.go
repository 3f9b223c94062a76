package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// relayProcess is a process of the relay, started with the commands of the deploy file.
type relayProcess struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// relaySettings is the configuration of one relay and the place that it has on this machine.
type relaySettings struct {
	root      string // of the repository
	folder    string // temporary folder of the case
	listen    string
	console   string
	discovery string
	known     any
	settings  map[string]any
	limits    map[string]any
}

func (s *relaySettings) configPath() string { return filepath.Join(s.folder, "config.json") }

func (s *relaySettings) writeConfig() error {
	text, err := json.MarshalIndent(map[string]any{
		"name": "n1", "listen": s.listen, "discovery": s.discovery, "console": s.console,
		"state": s.stateFolder(), "seed": newID(),
		"limits": s.limits, "known": s.known, "settings": s.settings,
	}, "", " ")
	if err != nil {
		return err
	}
	path := s.configPath()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (s *relaySettings) stateFolder() string { return filepath.Join(s.folder, "state") }
func (s *relaySettings) tempFolder() string  { return filepath.Join(s.folder, "tmp") }

// startRelay starts the command run of deploy/balancer.toml. log is the file for its log.
func startRelay(s *relaySettings, log string) (*relayProcess, error) {
	for _, folder := range []string{s.stateFolder(), s.tempFolder()} {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return nil, err
		}
	}
	if err := s.writeConfig(); err != nil {
		return nil, err
	}
	output, err := os.OpenFile(filepath.Join(s.folder, log), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", "exec bin/troutusher")
	cmd.Dir, cmd.Stdout, cmd.Stderr = s.root, output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append(os.Environ(),
		"ROUTER_CONFIG="+s.configPath(), "ROUTER_NAME=n1", "ROUTER_LISTEN="+s.listen,
		"ROUTER_DISCOVERY="+s.discovery, "ROUTER_CONSOLE="+s.console,
		"ROUTER_STATE="+s.stateFolder(), "TMPDIR="+s.tempFolder())
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &relayProcess{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = output.Close()
		close(p.exited)
	}()
	return p, nil
}

func (p *relayProcess) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

func (p *relayProcess) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// kill sends SIGKILL and waits for the end.
func (p *relayProcess) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// awaitReady waits until the relay answers PING with +PONG.
func awaitReady(address string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c := client{address: address}
		line, err := c.ask(respCommand("PING"))
		c.close()
		if err == nil && line == "+PONG" {
			return nil
		}
	}
	return fmt.Errorf("relay at %s is not ready after %v", address, limit)
}

// freeAddress returns a free loopback address. Its port lies under those that the system gives to outgoing
// connections: one of these could otherwise take the port while the relay is down.
func freeAddress() string {
	const first, count = 12000, 18000
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count)))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
}

// defaultSettings are the settings of the page WIRE for the site split-kampus, with one zone less to
// write: figures and classes are those of the page.
func defaultSettings() map[string]any {
	class := func(name, repeat string, deadline, target, window int64, worth, late float64) map[string]any {
		return map[string]any{
			"name": name, "repeat": repeat, "deadline_us": deadline, "target_us": target, "dedup_window_us": window,
			"worth": worth, "late_worth": late, "group": "all", "streaming": false,
		}
	}
	return map[string]any{
		"accounts":  []map[string]any{{"name": "kuhaj-doma", "quota_per_s": 150.0, "share": 1.0}},
		"balancers": 3,
		"classes": []map[string]any{
			class("termin", "retryable", 8_000_000, 1_500_000, 5_000_000, 1, 0.1),
			class("narudzba", "dedup", 20_000_000, 3_000_000, 20_000_000, 1, 0.3),
			class("placanje", "fragile", 28_000_000, 3_000_000, 5_000_000, 3, 0.4),
		},
		"discovery":  "pushed",
		"kinds":      []string{"lanac", "dostava", "ducan"},
		"localities": []string{"dvorana-a", "dvorana-b", "dvorana-c"},
		"limits": map[string]any{
			"connect_timeout_us": 1_500_000, "keepalive_us": 10_000_000, "max_retry_after_us": 2_000_000,
			"may_cancel": true, "most_held": 165, "most_tries": 8, "probing": true, "retry_after": true,
			"streams_per_conn": 8,
		},
		"over_share_worth": 0.2,
		"report":           map[string]any{"fields": []string{}, "how": "none"},
		"safety": map[string]any{
			"answer_slack_us": 20_000, "drain_grace_us": 2_000_000, "fall_us": 2_000_000, "overload_factor": 1.5,
			"ramp_time_us": 13_000_000, "start_capacity": 0.26, "ask_every_us": 10_000_000,
		},
		"specifics": map[string]any{
			"calls_out": 17, "kind_batch": []int{1, 1, 1}, "late": "linear", "own_limits": []bool{true, false, false},
		},
		"tick_us": 5000, "value_by": "request", "weights": "nominal", "zone": 0, "workload": "deliver",
	}
}

func defaultLimits() map[string]any {
	return map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
}
