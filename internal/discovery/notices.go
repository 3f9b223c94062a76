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
	noticeConns    = 2
	maxNoticeBatch = 64
	// The timeout doubles with each failure in a row. It starts short because a kept-alive connection
	// may have gone silent: the second attempt then begins soon enough for the notice to arrive in time.
	minNoticeTimeout = 200 * time.Millisecond
	maxNoticeTimeout = 2 * time.Second
	minNoticeBackoff = 50 * time.Millisecond // the backoff doubles with each failure in a row
	maxNoticeBackoff = 500 * time.Millisecond
	maxReplyBytes    = 4 << 20 // reply bytes that are read and discarded so that the connection can be reused
)

// NoticeSender sends notices to the agent, each until the agent has confirmed it. The agent tolerates
// repeats.
type NoticeSender struct {
	log         *slog.Logger
	address     agentAddress
	client      *http.Client
	queue       *mailbox.Mailbox[core.Notice]
	onConfirmed func(messageID string)
	startRun    func() (stop func()) // starts the sending goroutine; set by Start
	stopRun     func()               // stops that goroutine and waits for its end

	// Used only by the goroutine that startRun starts.
	url         string
	unconfirmed []core.Notice
}

// NewNoticeSender returns a sender to the agent at the given address. It calls onConfirmed for
// each notice that the agent has confirmed or has rejected as malformed.
func NewNoticeSender(address string, log *slog.Logger, onConfirmed func(messageID string)) *NoticeSender {
	return &NoticeSender{
		log:         log,
		address:     newAgentAddress(address),
		client:      newAgentClient(noticeConns),
		queue:       mailbox.New[core.Notice](),
		onConfirmed: onConfirmed,
	}
}

// Send queues a notice without blocking.
func (s *NoticeSender) Send(n core.Notice) { s.queue.Put(n) }

// SetAddress switches to another address. Unconfirmed notices are sent there.
func (s *NoticeSender) SetAddress(address string) { s.address.set(address) }

// Start starts sending in the background, until ctx ends or Pause is called.
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

// Pause stops sending and waits until it has stopped: onConfirmed is not called after Pause has
// returned.
func (s *NoticeSender) Pause() { s.stopRun() }

// Resume starts sending again after Pause.
func (s *NoticeSender) Resume() { s.stopRun = s.startRun() }

// sendTo sends the queued notices to one address in batches until ctx ends. After a failure it waits
// for a backoff and sends the same batch again. Notices that are still unconfirmed when ctx ends are
// sent to the next address.
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
			s.log.Warn("notices: sending failed, retrying after a backoff", "count", len(s.unconfirmed), "err", err)
			sleep(ctx, backoff)
			backoff, timeout = min(2*backoff, maxNoticeBackoff), min(2*timeout, maxNoticeTimeout)
			continue
		}
		backoff, timeout = minNoticeBackoff, minNoticeTimeout
	}
}

// sendBatch sends the oldest notices. If the agent rejects the batch as malformed, it sends them
// one by one, so that a malformed notice does not block the others.
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

// confirm reports that a notice need not be sent again. err is set if the agent rejected it as
// malformed.
func (s *NoticeSender) confirm(n *core.Notice, err error) {
	if err != nil {
		s.log.Error("notices: agent rejected a notice as malformed, dropping it", "message", n.Message, "err", err)
	}
	s.onConfirmed(n.Message)
}

// post sends notices, one JSON object per line. It returns the status code of the reply, 0 if
// there is none, and an error unless the status is 204.
func (s *NoticeSender) post(ctx context.Context, batch []core.Notice, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	for i := range batch {
		if err := encoder.Encode(batch[i]); err != nil {
			return 0, fmt.Errorf("notices: encode: %w", err)
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
	// Only the status matters: if reading the body fails, the connection is not reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReplyBytes))
	if resp.StatusCode != http.StatusNoContent {
		return resp.StatusCode, fmt.Errorf("notices: agent replied with status %d", resp.StatusCode)
	}
	return resp.StatusCode, nil
}
