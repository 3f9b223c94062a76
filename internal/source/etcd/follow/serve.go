package follow

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"sync"

	"troutusher/internal/membership"
	"troutusher/internal/operatorconfig"
	"troutusher/internal/source/etcd"
)

// Message is what the helper tells the relay that has started it, one JSON object a
// line. What the relay tells the helper is a line with Anew alone; its end is the
// helper's.
type Message struct {
	Update    *membership.Update `json:"word,omitempty"`
	Heartbeat bool               `json:"alive,omitempty"`
}

// ResyncCommand has the whole list read once more.
const ResyncCommand = "anew"

// FromOperator makes options of the operator's file.
func FromOperator(e *operatorconfig.Etcd) (Options, error) {
	o := Options{Settings: etcd.DefaultSettings(e.Prefix, len(e.Endpoints)), Endpoints: e.Endpoints, User: e.User}
	if len(e.Endpoints) == 0 {
		return o, errors.New("etcd.endpoints: none in the operator's file")
	}
	if e.PasswordFile != "" {
		text, err := os.ReadFile(e.PasswordFile)
		if err != nil {
			return o, fmt.Errorf("etcd.password_file: %w", err)
		}
		o.Password = strings.TrimRight(string(text), "\r\n")
	}
	if e.Roots == "" {
		return o, nil
	}
	text, err := os.ReadFile(e.Roots)
	if err != nil {
		return o, fmt.Errorf("etcd.roots: %w", err)
	}
	o.TLS = &tls.Config{RootCAs: x509.NewCertPool(), ServerName: e.ServerName, MinVersion: tls.VersionTLS12}
	if !o.TLS.RootCAs.AppendCertsFromPEM(text) {
		return o, fmt.Errorf("etcd.roots: %s holds no certificate", e.Roots)
	}
	if e.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(e.Certificate, e.Key)
		if err != nil {
			return o, fmt.Errorf("etcd.certificate: %w", err)
		}
		o.TLS.Certificates = []tls.Certificate{pair}
	}
	return o, nil
}

// Serve follows for a relay: words go to out, what the relay asks comes from in. It
// returns once in ends.
func Serve(ctx context.Context, o Options, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var mu sync.Mutex
	enc := json.NewEncoder(out)
	say := func(l Message) {
		mu.Lock()
		defer mu.Unlock()
		if err := enc.Encode(l); err != nil { // nobody hears any more
			cancel(err)
		}
	}
	o.OnUpdate, o.OnHeartbeat = func(w *membership.Update) { say(Message{Update: w}) }, func() { say(Message{Heartbeat: true}) }
	if o.Log == nil {
		o.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	f, err := New(o)
	if err != nil {
		return err
	}
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
