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

// Message is what the helper tells the relay that has started it, one JSON object a line:
// an update, or a heartbeat. What the relay tells the helper is a line with ResyncCommand
// alone; the end of its input ends the helper.
type Message struct {
	Update    *membership.Update `json:"word,omitempty"`
	Heartbeat bool               `json:"alive,omitempty"`
}

// ResyncCommand has the complete list read again.
const ResyncCommand = "anew"

// messageWriter writes messages until that fails.
type messageWriter struct {
	mu       sync.Mutex
	encoder  *json.Encoder
	onFailed func(error)
}

func (w *messageWriter) write(m Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.encoder.Encode(m); err != nil { // nobody reads any more
		w.onFailed(err)
	}
}

// Serve follows for a relay: messages go to out, commands come from in. It returns once in
// has ended, or ctx.
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
	// It ends with in, which the process may keep open: nobody waits for it.
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
