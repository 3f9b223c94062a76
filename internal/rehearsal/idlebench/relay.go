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
	"troutusher/internal/operatorconfig"
)

const (
	spareRelayDescriptors = 500 // file descriptors of the relay in addition to its client connections
	spareSlots            = 200 // client slots in addition to the connections that are opened

	readyInterval  = 10 * time.Millisecond // between two checks whether the relay is ready
	requestTimeout = time.Second
	killTimeout    = 10 * time.Second

	settleTimeout  = 5 * time.Second // limit of waitIdle
	settleInterval = 200 * time.Millisecond
	settleCPU      = 10 * time.Millisecond // a relay that uses at most this in an interval is idle
	settleCount    = 3                     // idle intervals in a row that end the wait

	// clockTick is the unit of CPU times in /proc/PID/stat: USER_HZ is 100 on Linux.
	clockTick = 10 * time.Millisecond
	// Indexes of the fields of /proc/PID/stat that follow the program's name.
	statUserTime   = 11
	statSystemTime = 12

	bodyBytes = 200 // of each message
)

// relay is the process of the relay under measurement.
type relay struct {
	addr     string
	cmd      *exec.Cmd
	exited   chan error // receives the process's exit error
	logPath  string
	endpoint *endpoint
}

// startRelay starts a relay process and waits until it replies to a PING.
func startRelay(ctx context.Context, options *Options, discovery string) (*relay, error) {
	listener, err := loopback.Listen(0)
	if err != nil {
		return nil, err
	}
	r := &relay{
		addr: listener.Addr().String(), exited: make(chan error, 1), logPath: filepath.Join(options.Dir, "log"),
	}
	_ = listener.Close() // frees the port for the relay
	env, err := r.writeConfig(options, discovery)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(r.logPath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has a file descriptor of its own
	r.cmd = exec.Command(options.Command[0], options.Command[1:]...)
	r.cmd.Env, r.cmd.Stdout, r.cmd.Stderr = append(env, options.Env...), log, log
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

// writeConfig writes the relay's configuration files and returns its environment.
func (r *relay) writeConfig(options *Options, discovery string) ([]string, error) {
	state := filepath.Join(options.Dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, err
	}
	connections := options.Idle + options.ActiveClients
	descriptors := connections + spareRelayDescriptors
	text, err := json.Marshal(relayConfig(r.addr, discovery, state, options.MemoryMB, descriptors))
	if err != nil {
		return nil, err
	}
	configPath := filepath.Join(options.Dir, "config.json")
	if err := os.WriteFile(configPath, text, 0o600); err != nil {
		return nil, err
	}
	env := append(os.Environ(), "ROUTER_CONFIG="+configPath, "ROUTER_STATE="+state, "ROUTER_NAME=", "ROUTER_LISTEN=",
		"ROUTER_DISCOVERY=")
	if !options.WithOperatorFile {
		return env, nil
	}
	operatorPath := filepath.Join(options.Dir, "operator.toml")
	slots := connections + spareSlots
	operatorText := fmt.Sprintf("[clients]\ndescriptors = %d\nplaces = %d\nstrangers = %d\nasked_most = %d\n"+
		"idle_s = 3600\n",
		descriptors, slots, slots, slots)
	if err := os.WriteFile(operatorPath, []byte(operatorText), 0o600); err != nil {
		return nil, err
	}
	return append(env, operatorconfig.EnvVar+"="+operatorPath), nil
}

// waitReady waits until the relay replies to a PING. It returns an error if the process or ctx
// ends first.
func (r *relay) waitReady(ctx context.Context) error {
	for {
		if r.answersPing() {
			return nil
		}
		select {
		case err := <-r.exited:
			text, _ := os.ReadFile(r.logPath) // if the log is unreadable, the exit status is reported without it
			if err == nil {
				err = errExitZero
			}
			return fmt.Errorf("relay ended before it was ready: %w: %s", err,
				strings.TrimSpace(string(text)))
		case <-ctx.Done():
			r.close()
			return ctx.Err()
		case <-time.After(readyInterval):
		}
	}
}

// answersPing reports whether the relay replies to a PING on a new connection.
func (r *relay) answersPing() bool {
	conn, err := net.DialTimeout("tcp4", r.addr, requestTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // its error does not matter after the reply
	_, err = roundTrip(conn, bufio.NewReader(conn), pingCommand, requestTimeout)
	return err == nil
}

// close kills the process and waits up to killTimeout for its end.
func (r *relay) close() {
	_ = r.cmd.Process.Kill() // fails if the process has already ended
	select {
	case <-r.exited: //nolint:errcheck // the error only states that it was killed
	case <-time.After(killTimeout):
	}
}

// relayConfig returns the configuration of a relay with one class, one tenant and one kind of
// partner.
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

// pingCommand is a PING in RESP2.
const pingCommand = "*1\r\n$4\r\nPING\r\n"

// submitCommand returns the command that submits a message.
func submitCommand(id string) string {
	const fields = "c=plain,t=p,d=8000,dest=1"
	return fmt.Sprintf("*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n",
		len(id), id, len(fields), fields, bodyBytes, strings.Repeat("b", bodyBytes))
}

// roundTrip sends a command and reads one line of reply.
func roundTrip(conn net.Conn, reader *bufio.Reader, command string, timeout time.Duration) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(timeout)) // if it fails, so does the write below
	if _, err := io.WriteString(conn, command); err != nil {
		return "", err
	}
	reply, err := reader.ReadString('\n')
	return strings.TrimSuffix(reply, "\r\n"), err
}

// waitIdle waits until the relay uses almost no CPU for settleCount intervals in a row, but at
// most for settleTimeout.
func (r *relay) waitIdle(ctx context.Context) {
	end := time.Now().Add(settleTimeout)
	last, idle := r.cpuTime(), 0
	for idle < settleCount && time.Now().Before(end) && sleep(ctx, settleInterval) == nil {
		cpu := r.cpuTime()
		if cpu-last <= settleCPU {
			idle++
		} else {
			idle = 0
		}
		last = cpu
	}
}

// memoryKB returns a field of /proc/PID/status in kB, or 0 if it cannot be read.
func (r *relay) memoryKB(name string) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb
		}
	}
	return 0
}

// cpuTime returns the CPU time, user and system, that the process has used so far according to
// /proc/PID/stat, or 0 if it cannot be read.
func (r *relay) cpuTime() time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statSystemTime {
		return 0
	}
	user, _ := strconv.ParseInt(fields[statUserTime], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystemTime], 10, 64)
	return time.Duration(user+system) * clockTick
}
