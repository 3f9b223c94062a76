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
	addr string
	cmd  *exec.Cmd
	done chan error
	log  string

	partner *partner
}

// start starts a relay and waits until it answers.
func start(ctx context.Context, o *Options, discovery string) (*relay, error) {
	ln, err := loopback.Listen(0)
	if err != nil {
		return nil, err
	}
	r := &relay{addr: ln.Addr().String(), done: make(chan error, 1), log: filepath.Join(o.Dir, "log")}
	_ = ln.Close()
	env, err := r.configure(o, discovery)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(r.log)
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
	go func() { r.done <- r.cmd.Wait() }()
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	return r, nil
}

// configure writes the relay's files and returns its environment.
func (r *relay) configure(o *Options, discovery string) ([]string, error) {
	state := filepath.Join(o.Dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, err
	}
	descriptors := o.Idle + o.Active + 500
	text, err := json.Marshal(config(r.addr, discovery, state, o.MemoryMB, descriptors))
	if err != nil {
		return nil, err
	}
	path := filepath.Join(o.Dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	env := append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_STATE="+state, "ROUTER_NAME=", "ROUTER_LISTEN=",
		"ROUTER_DISCOVERY=")
	if !o.Operator {
		return env, nil
	}
	own := filepath.Join(o.Dir, "operator.toml")
	places := o.Idle + o.Active + 200
	operator := fmt.Sprintf("[clients]\ndescriptors = %d\nplaces = %d\nstrangers = %d\nasked_most = %d\n"+
		"idle_s = 3600\n",
		descriptors, places, places, places)
	if err := os.WriteFile(own, []byte(operator), 0o600); err != nil {
		return nil, err
	}
	return append(env, "TROUTUSHER_OPERATOR="+own), nil
}

// awaitReady waits until the relay answers, or its process ends.
func (r *relay) awaitReady(ctx context.Context) error {
	for {
		if c, err := net.DialTimeout("tcp4", r.addr, time.Second); err == nil {
			_, err = ask(c, bufio.NewReader(c), ping, time.Second)
			_ = c.Close()
			if err == nil {
				return nil
			}
		}
		select {
		case err := <-r.done:
			text, _ := os.ReadFile(r.log)
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
	case <-r.done: //nolint:errcheck // it was killed
	case <-time.After(10 * time.Second):
	}
}

func config(listen, discovery, state string, memory, descriptors int) any {
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

const ping = "*1\r\n$4\r\nPING\r\n"

func put(id string) string {
	fields := "c=plain,t=p,d=8000,dest=1"
	return fmt.Sprintf("*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$200\r\n%s\r\n",
		len(id), id, len(fields), fields, strings.Repeat("b", 200))
}

// ask sends a command and reads the line that answers it.
func ask(c net.Conn, r *bufio.Reader, text string, wait time.Duration) (string, error) {
	_ = c.SetDeadline(time.Now().Add(wait)) // fails with the write below
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	s, err := r.ReadString('\n')
	return strings.TrimSuffix(s, "\r\n"), err
}

// settle waits until the relay uses no CPU, or for so long.
func (r *relay) settle(ctx context.Context) {
	end := time.Now().Add(settleMost)
	for last, n := r.cpu(), 0; n < 3 && time.Now().Before(end) && pause(ctx, 200*time.Millisecond) == nil; {
		if now := r.cpu(); now-last <= 10*time.Millisecond {
			n++
			last = now
		} else {
			last, n = now, 0
		}
	}
}

// status is a figure in kB of proc(5).
func (r *relay) status(name string) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, name); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(v), " kB"))
			return kb
		}
	}
	return 0
}

// cpu is what the process has used, user and system, from proc(5).
func (r *relay) cpu() time.Duration {
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
