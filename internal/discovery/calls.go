package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"troutusher/internal/source/registry"
)

const (
	// defaultListTimeout is the longest wait for the next bytes within a list.
	defaultListTimeout = time.Second
	// defaultUnchangedDelay is how long after a watch's response headers the first list may begin. The agent
	// sends at once what it has, so a watch on which nothing has begun by then has nothing newer.
	defaultUnchangedDelay = 50 * time.Millisecond
)

// Causes of the cancellation of a call's context.
var (
	errNoResponse     = errors.New("no response in time")
	errSilent         = errors.New("watch has sent nothing for too long")
	errListIncomplete = errors.New("rest of a list did not arrive in time")
)

// statusError is the status code of a response other than 200 OK.
type statusError int

// Error implements error.
func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// outcome returns the outcome of a call with this status.
func (e statusError) outcome() registry.Outcome {
	if e >= 400 && e < 500 && e != http.StatusTooManyRequests {
		return registry.RevisionUnknown // not an overload: the agent may have rejected the revision
	}
	return registry.Rejected
}

// open sends one request and waits up to call.Timeout for the response headers. Only ctx limits
// the time for the response body.
func (w *Watcher) open(
	ctx context.Context, call registry.Call, query string, cancel context.CancelCauseFunc,
) (*http.Response, registry.Outcome, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, w.baseURL+ListPath+query, nil)
	if err != nil {
		return nil, registry.Unanswered, fmt.Errorf("discovery: %w", err)
	}
	timeout := time.AfterFunc(call.Timeout, func() { cancel(errNoResponse) })
	resp, err := w.client.Do(req)
	if !timeout.Stop() || err != nil {
		if err == nil {
			_ = resp.Body.Close()
		}
		if errors.Is(context.Cause(ctx), errNoResponse) {
			err = fmt.Errorf("%w (%v)", errNoResponse, call.Timeout)
		}
		return nil, registry.Unanswered, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		err := statusError(resp.StatusCode)
		return nil, err.outcome(), fmt.Errorf("discovery: %w", err)
	}
	return resp, registry.Served, nil
}

// fetch fetches the complete list once and passes it to OnList if it is valid and not outdated.
func (w *Watcher) fetch(ctx context.Context, call registry.Call) (registry.Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resp, outcome, err := w.open(ctx, call, "", cancel)
	if err != nil {
		return outcome, err
	}
	defer func() { _ = resp.Body.Close() }()
	silence := time.AfterFunc(w.options.SilenceTimeout, func() { cancel(errNoResponse) })
	defer silence.Stop()
	text, err := readList(resp, w.options.MaxListBytes)
	if errors.Is(err, errMalformed) {
		return registry.Malformed, err
	}
	if err != nil {
		return registry.Unanswered, fmt.Errorf("discovery: %w", err)
	}
	list, err := decodeList(text)
	if err != nil {
		return registry.Malformed, err
	}
	if !list.Complete {
		return registry.Malformed, errors.New("discovery: fetched the complete list, got only a change")
	}
	if w.options.Scheduler.CheckRevision(list.Revision, true) != registry.Accept {
		return registry.Malformed, fmt.Errorf("discovery: fetched an outdated list, of revision %d", list.Revision)
	}
	w.deliver(list, len(text))
	return registry.Served, nil
}

// readList reads a response body of up to maxBytes. A longer one is a listTooLongError, and nothing of it is kept.
func readList(resp *http.Response, maxBytes int) ([]byte, error) {
	if resp.ContentLength > int64(maxBytes) {
		return nil, &listTooLongError{limit: maxBytes, length: resp.ContentLength}
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxBytes)+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxBytes {
		return nil, &listTooLongError{limit: maxBytes, length: resp.ContentLength}
	}
	return text, nil
}

// watch opens a watch from call.FromRevision and passes each accepted list to OnList until the watch
// ends. It cancels the watch if nothing arrives for SilenceTimeout, or if a list has begun and its next
// bytes do not arrive within w.listTimeout. If the watch ends with a list that cannot be decoded, the
// complete list must be fetched.
func (w *Watcher) watch(ctx context.Context, call registry.Call) (registry.Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	query := "?watch=1&from=" + strconv.FormatInt(call.FromRevision, 10)
	resp, outcome, err := w.open(ctx, call, query, cancel)
	if err != nil {
		return outcome, err
	}
	defer func() { _ = resp.Body.Close() }()
	silence := time.AfterFunc(w.options.SilenceTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	unchanged := time.AfterFunc(w.options.UnchangedDelay, w.markAnswered)
	defer unchanged.Stop()
	incomplete := time.AfterFunc(w.listTimeout, func() { cancel(errListIncomplete) })
	incomplete.Stop() // until a list begins
	defer incomplete.Stop()
	lists := newListDecoder(resp.Body, w.options.MaxListBytes, func() {
		silence.Reset(w.options.SilenceTimeout)
		w.markAnswered() // a heartbeat says that nothing has changed: that is an answer too
		if w.options.OnHeartbeat != nil {
			w.options.OnHeartbeat()
		}
	})
	lists.onListBytes = func() {
		unchanged.Stop()
		incomplete.Reset(w.listTimeout)
	}
	lists.onListEnd = func() { incomplete.Stop() }
	for {
		list, err := lists.next()
		if outcome, err := watchOutcome(ctx, err); err != nil {
			return outcome, err
		}
		switch w.options.Scheduler.CheckRevision(list.Revision, list.Complete) {
		case registry.Accept:
			w.deliver(list, lists.lastListBytes)
		case registry.Ignore:
			w.options.Log.Warn("discovery: received an outdated list or change, ignoring it", "revision", list.Revision)
		case registry.Resync:
			return registry.RevisionUnknown, fmt.Errorf(
				"discovery: got changes up to revision %d of a list that is not known", list.Revision)
		}
		silence.Reset(w.options.SilenceTimeout)
		w.markAnswered()
	}
}

// watchOutcome returns the outcome of a watch, determined by the cause of its context's
// cancellation and by its decoder's error. It returns a nil error if the watch has not ended.
func watchOutcome(ctx context.Context, decodeErr error) (registry.Outcome, error) {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errListIncomplete):
		return registry.Malformed, fmt.Errorf("discovery: %w", errListIncomplete)
	case errors.Is(cause, errSilent):
		return registry.Silent, fmt.Errorf("discovery: %w", errSilent)
	case errors.Is(decodeErr, errMalformed):
		return registry.Malformed, decodeErr
	case decodeErr != nil: // the next watch starts at the known revision, so it repeats an interrupted list
		return registry.Served, fmt.Errorf("discovery: %w", decodeErr)
	}
	return registry.Served, nil
}
