package follow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"os"
	"sync"

	"troutusher/internal/membership"
)

// Message is a message from the follow process to the relay that started it: an update or a
// heartbeat, sent as one JSON object per line. In the other direction, the relay sends only
// lines with ResyncCommand, and ends the follow process by closing its input.
type Message struct {
	Update    *membership.Update `json:"word,omitempty"`
	Heartbeat bool               `json:"alive,omitempty"`
}

// ResyncCommand requests a new read of the complete list.
const ResyncCommand = "anew"

// messageWriter writes messages as lines of JSON, and calls onFailed when a write fails.
type messageWriter struct {
	mu       sync.Mutex
	encoder  *json.Encoder
	onFailed func(error)
}

func (w *messageWriter) write(m Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.encoder.Encode(m); err != nil { // the relay has closed the pipe
		w.onFailed(err)
	}
}

// Serve follows a prefix for a relay. It writes messages to out and reads commands from in.
// It returns when in or ctx has ended, or when a message cannot be written.
func Serve(ctx context.Context, o Options, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	writer := &messageWriter{encoder: json.NewEncoder(out), onFailed: func(err error) { cancel(err) }}
	o.OnUpdate = func(u *membership.Update) { writer.write(Message{Update: u}) }
	o.OnHeartbeat = func() { writer.write(Message{Heartbeat: true}) }
	if o.Log == nil {
		o.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	f, err := New(o)
	if err != nil {
		return err
	}
	// This goroutine ends with in. Serve does not wait for it, since in may stay open.
	go func() {
		lines := bufio.NewScanner(in)
		for lines.Scan() {
			if lines.Text() == ResyncCommand {
				f.Resync()
			}
		}
		cancel(io.EOF)
	}()
	if err := f.Run(ctx); !errors.Is(context.Cause(ctx), io.EOF) {
		return err
	}
	return nil
}
