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

// The helper is the kit program's subcommand "follow". It writes one JSON object a line
// to its output, and reads commands from its input, a word a line; it ends with its
// input, also where this process is killed.

const (
	helperProgram    = "troutusher-kit"
	helperSubcommand = "follow"
	resyncCommand    = "anew\n" // has it read the complete list again

	minHelperBackoff   = 200 * time.Millisecond // doubles with each helper that ends
	maxHelperBackoff   = 5 * time.Second
	stableHelperRun    = 10 * time.Second // after a run that lasted so long backoff begins again
	maxHelperLineBytes = 256 << 20        // of one update
)

// helperMessage is one line of the helper: an update of etcd's endpoints, or a heartbeat.
type helperMessage struct {
	Update    *membership.Update `json:"word"`
	Heartbeat bool               `json:"alive"`
}

// kitCommand is the kit program that lies beside this one.
func kitCommand() (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return exec.Command(filepath.Join(filepath.Dir(self), helperProgram), helperSubcommand), nil
}

// RunHelper runs the helper until ctx ends, and starts it again where it ends before.
func (m *Merger) RunHelper(ctx context.Context) {
	backoff := minHelperBackoff
	for ctx.Err() == nil {
		start := time.Now()
		err := m.runHelperOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		m.options.Log.Warn("members: the helper that follows etcd has ended", "err", err)
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

// runHelperOnce runs one helper to its end.
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
		return fmt.Errorf("%s: %w", helperProgram, err)
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
	_ = cmd.Process.Kill() // it may have ended already
	waitErr := cmd.Wait()  // closes its input as well: forwardResyncs ends
	<-forwarding
	return errors.Join(readErr, waitErr)
}

// forwardResyncs writes resync requests to the helper until ctx ends, and then ends its
// input: that ends the helper.
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

// readHelper queues what the helper writes until its output ends.
func (m *Merger) readHelper(output io.Reader) error {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxHelperLineBytes)
	for lines.Scan() {
		var message helperMessage
		if err := json.Unmarshal(lines.Bytes(), &message); err != nil {
			return fmt.Errorf("the helper says what makes no sense: %w", err)
		}
		if message.Update != nil || message.Heartbeat {
			m.enqueue(m.etcd, message.Update)
		}
	}
	return lines.Err()
}
