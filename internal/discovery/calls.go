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

// listTimeout is how long the next bytes of a list that has begun may take.
const listTimeout = time.Second

// Causes for which a call's context ends.
var (
	errNoResponse     = errors.New("no answer in time")
	errSilent         = errors.New("silent")
	errListIncomplete = errors.New("a list has begun and does not go on")
)

// statusError is an answer other than 200 OK.
type statusError int

// Error is error's.
func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// outcome is what an answer with this status tells of the agent.
func (e statusError) outcome() registry.Outcome {
	if e >= 400 && e < 500 && e != http.StatusTooManyRequests {
		return registry.RevisionUnknown // it answers, and not about load: the revision may be what it rejects
	}
	return registry.Rejected
}

// open makes one call and waits for the head of its answer as long as the call allows.
// The answer's body is bound by ctx alone.
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
			err = errNoResponse
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

// fetch asks once for the complete list.
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, int64(w.options.MaxListBytes)))
	if err != nil {
		return registry.Unanswered, fmt.Errorf("discovery: %w", err)
	}
	list, err := decodeList(text)
	if err != nil {
		return registry.Malformed, err
	}
	if !list.Complete {
		return registry.Malformed, errors.New("discovery: the complete list was asked for, a change came")
	}
	if w.options.Scheduler.Judge(list.Revision, true) != registry.Accept {
		return registry.Malformed, fmt.Errorf("discovery: an older list, of revision %d", list.Revision)
	}
	w.deliver(list, len(text))
	return registry.Served, nil
}

// watch follows the changes after a revision for as long as they come. After a list that
// cannot be decoded the complete one must be fetched.
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
	incomplete := time.AfterFunc(time.Hour, func() { cancel(errListIncomplete) })
	defer incomplete.Stop()
	lists := newListDecoder(resp.Body, w.options.MaxListBytes, func() {
		silence.Reset(w.options.SilenceTimeout)
		w.markAnswered() // nothing has changed: that is an answer
		if w.options.OnHeartbeat != nil {
			w.options.OnHeartbeat()
		}
	})
	lists.onListBytes = func() { incomplete.Reset(listTimeout) }
	lists.onListEnd = func() { incomplete.Stop() }
	for {
		list, err := lists.next()
		if outcome, err := watchEnd(ctx, err); err != nil {
			return outcome, err
		}
		switch w.options.Scheduler.Judge(list.Revision, list.Complete) {
		case registry.Accept:
			w.deliver(list, lists.lastListBytes)
		case registry.Ignore:
			w.options.Log.Warn("discovery: older than what is known", "revision", list.Revision)
		case registry.Resync:
			return registry.RevisionUnknown, fmt.Errorf("discovery: changes up to %d of an unknown list", list.Revision)
		}
		silence.Reset(w.options.SilenceTimeout)
		w.markAnswered()
	}
}

// watchEnd is how a watch ended, by the cause for which its context ended and the error
// of its decoder; without an error it goes on.
func watchEnd(ctx context.Context, decodeErr error) (registry.Outcome, error) {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errListIncomplete):
		return registry.Malformed, fmt.Errorf("discovery: %w", errListIncomplete)
	case errors.Is(cause, errSilent):
		return registry.Silent, fmt.Errorf("discovery: %w", errSilent)
	case errors.Is(decodeErr, errMalformed):
		return registry.Malformed, decodeErr
	case decodeErr != nil: // what was cut off comes again, after the revision that is known
		return registry.Served, fmt.Errorf("discovery: %w", decodeErr)
	}
	return registry.Served, nil
}
