package membersource

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"troutusher/internal/membership"
)

// The helper process watches etcd for the relay. It is the subcommand "follow" of the program
// troutusher-kit. It writes updates and heartbeats to its standard output, each as one line of JSON, and
// reads commands from its standard input, one per line. It exits when its input ends, so also when this
// process is killed.

const (
	helperProgram    = "troutusher-kit"
	helperSubcommand = "follow"
	resyncCommand    = "anew\n" // makes the helper read the complete list again

	minHelperBackoff   = 200 * time.Millisecond // the backoff starts at this and doubles each time the helper ends
	maxHelperBackoff   = 5 * time.Second
	stableHelperRun    = 10 * time.Second // after a longer run the backoff starts again at its minimum
	maxHelperLineBytes = 256 << 20        // longest line, which holds one update
)

// helperMessage is one line of the helper's output: an update of the endpoint list in etcd, or a heartbeat.
type helperMessage struct {
	Update    *membership.Update `json:"word"`
	Heartbeat bool               `json:"alive"`
}

// kitCommand returns the command that starts the helper process. Its program, helperProgram, is expected in
// the directory of the running program.
func kitCommand() (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return exec.Command(filepath.Join(filepath.Dir(self), helperProgram), helperSubcommand), nil
}

// RunHelper runs the helper until ctx ends. If the helper ends earlier, RunHelper starts it again
// after a backoff.
func (m *Merger) RunHelper(ctx context.Context) {
	backoff := minHelperBackoff
	for ctx.Err() == nil {
		start := time.Now()
		err := m.runHelperOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		m.options.Log.Warn("members: etcd helper process failed or exited, restarting it after a backoff", "err", err)
		if time.Since(start) > stableHelperRun {
			backoff = minHelperBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxHelperBackoff)
	}
}

// runHelperOnce starts the helper once and waits until it has ended.
func (m *Merger) runHelperOnce(ctx context.Context) error {
	cmd, err := m.options.HelperCommand()
	if err != nil {
		return err
	}
	input, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	output, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", helperProgram, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	forwarding := make(chan struct{})
	go func() {
		defer close(forwarding)
		m.forwardResyncs(ctx, input)
	}()
	readErr := m.readHelper(output)
	cancel()
	_ = cmd.Process.Kill() // fails only if the helper has ended already
	waitErr := cmd.Wait()  // also closes the helper's input, which ends a write that blocks forwardResyncs
	<-forwarding
	return errors.Join(readErr, waitErr)
}

// forwardResyncs writes resync requests to the helper until ctx ends. Then it closes the helper's
// input, which makes the helper exit.
func (m *Merger) forwardResyncs(ctx context.Context, input io.WriteCloser) {
	defer func() { _ = input.Close() }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.etcdResync:
			if _, err := io.WriteString(input, resyncCommand); err != nil {
				return
			}
		}
	}
}

// readHelper queues the helper's updates and heartbeats until its output ends.
func (m *Merger) readHelper(output io.Reader) error {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxHelperLineBytes)
	for lines.Scan() {
		var message helperMessage
		if err := json.Unmarshal(lines.Bytes(), &message); err != nil {
			return fmt.Errorf("decode a line of %d bytes from the helper: %w", len(lines.Bytes()), err)
		}
		if message.Update != nil || message.Heartbeat {
			m.enqueue(m.etcd, message.Update)
		}
	}
	return lines.Err()
}
