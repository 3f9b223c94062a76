package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/mailbox"
)

const (
	noticeConns      = 2
	maxNoticeBatch   = 64
	minNoticeTimeout = 200 * time.Millisecond // doubles with each failure in a row: a second attempt is still in time
	maxNoticeTimeout = 2 * time.Second
	minNoticeBackoff = 50 * time.Millisecond // doubles with each failure in a row
	maxNoticeBackoff = 500 * time.Millisecond
	maxReplyBytes    = 4 << 20 // of a reply that are read, so that its connection can be used again
)

// NoticeSender sends notices until the agent has confirmed each. Repeats are harmless.
type NoticeSender struct {
	log         *slog.Logger
	address     agentAddress
	client      *http.Client
	queue       *mailbox.Mailbox[core.Notice]
	onConfirmed func(messageID string)
	startRun    func() (stop func()) // set by Start
	stopRun     func()               // set while it runs

	// Of run's goroutine.
	url         string
	unconfirmed []core.Notice
}

// NewNoticeSender makes a sender to the agent at an address. onConfirmed is called for
// each notice that was confirmed, or that the agent cannot read.
func NewNoticeSender(address string, log *slog.Logger, onConfirmed func(messageID string)) *NoticeSender {
	return &NoticeSender{
		log:         log,
		address:     newAgentAddress(address),
		client:      newAgentClient(noticeConns),
		queue:       mailbox.New[core.Notice](),
		onConfirmed: onConfirmed,
	}
}

// Send queues a notice. It never waits.
func (s *NoticeSender) Send(n core.Notice) { s.queue.Put(n) }

// SetAddress moves to another address: what was not confirmed goes there.
func (s *NoticeSender) SetAddress(address string) { s.address.set(address) }

// Start sends until ctx ends, or Pause is called.
func (s *NoticeSender) Start(ctx context.Context) {
	s.startRun = func() func() {
		runCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.address.run(runCtx, s.sendTo)
		}()
		return func() {
			cancel()
			<-done
		}
	}
	s.stopRun = s.startRun()
}

// Pause ends the sending and waits for that: nothing is confirmed after it has returned.
func (s *NoticeSender) Pause() { s.stopRun() }

// Resume goes on after Pause.
func (s *NoticeSender) Resume() { s.stopRun = s.startRun() }

// sendTo sends to one address until ctx ends. What is not confirmed there stays for the
// next.
func (s *NoticeSender) sendTo(ctx context.Context, address string) {
	s.url = "http://" + address + NoticesPath
	defer s.client.CloseIdleConnections()
	var received []core.Notice
	backoff, timeout := minNoticeBackoff, minNoticeTimeout
	for ctx.Err() == nil {
		received = s.queue.TakeAll(received)
		s.unconfirmed = append(s.unconfirmed, received...)
		if len(s.unconfirmed) == 0 {
			select {
			case <-ctx.Done():
			case <-s.queue.Ready():
			}
			continue
		}
		if err := s.sendBatch(ctx, timeout); err != nil {
			s.log.Warn("notices: not taken", "count", len(s.unconfirmed), "err", err)
			sleep(ctx, backoff)
			backoff, timeout = min(2*backoff, maxNoticeBackoff), min(2*timeout, maxNoticeTimeout)
			continue
		}
		backoff, timeout = minNoticeBackoff, minNoticeTimeout
	}
}

// sendBatch sends the oldest notices. Where the agent cannot read a batch it sends them
// one by one: one that cannot be read must not hold up the others.
func (s *NoticeSender) sendBatch(ctx context.Context, timeout time.Duration) error {
	batch := s.unconfirmed[:min(len(s.unconfirmed), maxNoticeBatch)]
	status, err := s.post(ctx, batch, timeout)
	switch {
	case status == http.StatusBadRequest && len(batch) > 1:
		for i := range batch {
			status, err = s.post(ctx, batch[i:i+1], timeout)
			if err != nil && status != http.StatusBadRequest {
				return err
			}
			s.confirm(&batch[i], err)
			s.unconfirmed = s.unconfirmed[1:]
		}
	case err == nil || status == http.StatusBadRequest:
		for i := range batch {
			s.confirm(&batch[i], err)
		}
		s.unconfirmed = s.unconfirmed[len(batch):]
	default:
		return err
	}
	return nil
}

// confirm books that a notice need not be sent again; err is set where the agent cannot
// read it.
func (s *NoticeSender) confirm(n *core.Notice, err error) {
	if err != nil {
		s.log.Error("notices: cannot be read", "message", n.Message, "err", err)
	}
	s.onConfirmed(n.Message)
}

// post sends notices, one JSON object a line. It returns the status of the reply, 0 for
// none, and an error for any but 204.
func (s *NoticeSender) post(ctx context.Context, batch []core.Notice, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	for i := range batch {
		if err := encoder.Encode(batch[i]); err != nil {
			return 0, fmt.Errorf("notices: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, &body)
	if err != nil {
		return 0, fmt.Errorf("notices: %w", err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("notices: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	// The status says it all: a reply that breaks off only costs the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReplyBytes))
	if resp.StatusCode != http.StatusNoContent {
		return resp.StatusCode, fmt.Errorf("notices: status %d", resp.StatusCode)
	}
	return resp.StatusCode, nil
}
