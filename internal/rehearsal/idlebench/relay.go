package idlebench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"troutusher/internal/emulator/loopback"
)

// relay is the process.
type relay struct {
	addr    string
	cmd     *exec.Cmd
	exited  chan error
	logPath string

	endpoint *endpoint
}

// startRelay starts a relay and waits until it answers.
func startRelay(ctx context.Context, o *Options, discovery string) (*relay, error) {
	ln, err := loopback.Listen(0)
	if err != nil {
		return nil, err
	}
	r := &relay{addr: ln.Addr().String(), exited: make(chan error, 1), logPath: filepath.Join(o.Dir, "log")}
	_ = ln.Close()
	env, err := r.writeConfig(o, discovery)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(r.logPath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process writes by its own descriptor
	r.cmd = exec.Command(o.Command[0], o.Command[1:]...)
	r.cmd.Env, r.cmd.Stdout, r.cmd.Stderr = append(env, o.Env...), log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { r.exited <- r.cmd.Wait() }()
	if err := r.waitReady(ctx); err != nil {
		return nil, err
	}
	return r, nil
}

// writeConfig writes the relay's files and returns its environment.
func (r *relay) writeConfig(o *Options, discovery string) ([]string, error) {
	state := filepath.Join(o.Dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, err
	}
	descriptors := o.Idle + o.ActiveClients + 500
	text, err := json.Marshal(relayConfig(r.addr, discovery, state, o.MemoryMB, descriptors))
	if err != nil {
		return nil, err
	}
	path := filepath.Join(o.Dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	env := append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_STATE="+state, "ROUTER_NAME=", "ROUTER_LISTEN=",
		"ROUTER_DISCOVERY=")
	if !o.WithOperatorFile {
		return env, nil
	}
	own := filepath.Join(o.Dir, "operator.toml")
	places := o.Idle + o.ActiveClients + 200
	operator := fmt.Sprintf("[clients]\ndescriptors = %d\nplaces = %d\nstrangers = %d\nasked_most = %d\n"+
		"idle_s = 3600\n",
		descriptors, places, places, places)
	if err := os.WriteFile(own, []byte(operator), 0o600); err != nil {
		return nil, err
	}
	return append(env, "TROUTUSHER_OPERATOR="+own), nil
}

// waitReady waits until the relay answers, or its process ends.
func (r *relay) waitReady(ctx context.Context) error {
	for {
		if c, err := net.DialTimeout("tcp4", r.addr, time.Second); err == nil {
			_, err = roundTrip(c, bufio.NewReader(c), pingCommand, time.Second)
			_ = c.Close()
			if err == nil {
				return nil
			}
		}
		select {
		case err := <-r.exited:
			text, _ := os.ReadFile(r.logPath)
			if err == nil {
				err = errExitZero
			}
			return fmt.Errorf("crowd: the relay ended before it was ready: %w: %s", err,
				strings.TrimSpace(string(text)))
		case <-ctx.Done():
			r.close()
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (r *relay) close() {
	_ = r.cmd.Process.Kill() // it may have ended by itself
	select {
	case <-r.exited: //nolint:errcheck // it was killed
	case <-time.After(10 * time.Second):
	}
}

func relayConfig(listen, discovery, state string, memory, descriptors int) any {
	type object = map[string]any
	return object{
		"name": "n1", "listen": listen, "discovery": discovery, "state": state, "seed": "0000000000000001",
		"limits": object{"cores": 1.0, "memory_mb": memory, "sockets": descriptors, "disk_mb": 64},
		"settings": object{
			"accounts": []object{{"name": "p", "quota_per_s": 1e6, "share": 1}}, "balancers": 1,
			"classes": []object{
				{
					"name":            "plain",
					"deadline_us":     20e6,
					"dedup_window_us": 5e6,
					"group":           "all",
					"late_worth":      0.1,
					"repeat":          "retryable",
					"target_us":       2e6,
					"worth":           1,
				},
			},
			"discovery": "pushed", "kinds": []string{"k"}, "localities": []string{"a"},
			"limits": object{
				"connect_timeout_us": 1.5e6,
				"keepalive_us":       20e6,
				"max_retry_after_us": 2e6,
				"may_cancel":         true,
				"most_held":          20_000,
				"most_tries":         8,
				"probing":            true,
				"retry_after":        true,
				"streams_per_conn":   1,
			},
			"over_share_worth": 0.2, "report": object{"fields": []string{}, "how": "none"},
			"safety": object{
				"answer_slack_us": 50e3,
				"drain_grace_us":  2e6,
				"fall_us":         2e6,
				"overload_factor": 1.5,
				"ramp_time_us":    13e6,
				"start_capacity":  0.26,
			},
			"specifics": object{
				"calls_out": 120, "kind_batch": []int{1}, "late": "linear", "own_limits": []bool{false},
			},
			"tick_us": 5000, "value_by": "request", "weights": "nominal", "zone": 0,
		},
	}
}

const pingCommand = "*1\r\n$4\r\nPING\r\n"

func submitCommand(id string) string {
	fields := "c=plain,t=p,d=8000,dest=1"
	return fmt.Sprintf("*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$200\r\n%s\r\n",
		len(id), id, len(fields), fields, strings.Repeat("b", 200))
}

// roundTrip sends a command and reads the line that answers it.
func roundTrip(c net.Conn, r *bufio.Reader, text string, wait time.Duration) (string, error) {
	_ = c.SetDeadline(time.Now().Add(wait)) // fails with the write below
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	s, err := r.ReadString('\n')
	return strings.TrimSuffix(s, "\r\n"), err
}

// waitIdle waits until the relay uses no CPU, or for so long.
func (r *relay) waitIdle(ctx context.Context) {
	end := time.Now().Add(settleTimeout)
	for last, n := r.cpuTime(), 0; n < 3 && time.Now().Before(end) && sleep(ctx, 200*time.Millisecond) == nil; {
		if now := r.cpuTime(); now-last <= 10*time.Millisecond {
			n++
			last = now
		} else {
			last, n = now, 0
		}
	}
}

// memoryKB is a figure in kB of proc(5).
func (r *relay) memoryKB(name string) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, name); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(v), " kB"))
			return kb
		}
	}
	return 0
}

// cpuTime is what the process has used, user and system, from proc(5).
func (r *relay) cpuTime() time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond // USER_HZ is 100 on Linux
}
