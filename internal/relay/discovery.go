package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/mailbox"
	"troutusher/internal/source/registry"
)

// EndpointList is discovery's list, or what changed in it.
type EndpointList = core.EndpointList

func decodeList(text []byte) (*EndpointList, error) {
	l := &EndpointList{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if l.Members == nil {
		return nil, errors.New("discovery: no members")
	}
	for i := range l.Members {
		if err := l.Members[i].Check(); err != nil {
			return nil, fmt.Errorf("discovery: %w", err)
		}
	}
	return l, nil
}

const (
	listPath            = "/registry/instances"
	noticesPath         = "/reports"
	responseTimeout     = time.Second     // notices are answered at once, or the agent is down
	longListBytes       = 8 << 20         // bytes; longer ones leave much to be collected
	freeMemoryDelay     = 5 * time.Second // by then a list of a million has been booked
	listTimeout         = time.Second     // for more of a list that has begun
	defaultMaxListBytes = 4 << 20         // bytes of a list or a line, where the operator says nothing
)

// watchSilenceTimeout is after how long a watch is dead. Tests alone change it.
var watchSilenceTimeout = registry.SilenceTimeout

// newPlainClient makes a client for the agent on this machine: few kept
// connections, no proxy, no second protocol.
func newPlainClient(conns int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: responseTimeout}).DialContext,
			MaxIdleConnsPerHost:   conns,
			MaxConnsPerHost:       conns,
			ResponseHeaderTimeout: responseTimeout,
			IdleConnTimeout:       30 * time.Second,
			DisableCompression:    true,
			Protocols:             http1Only(),
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func http1Only() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}

// listWatcher keeps a watch on the list and hands on its news.
type listWatcher struct {
	addr              string
	baseURL           string                   // of the address that is watched now
	addresses         *mailbox.Mailbox[string] // further addresses, each in the place of the one before
	log               *slog.Logger
	client            *http.Client
	silenceTimeout    time.Duration
	maxListBytes      int                 // bytes of a list or a line
	onList            func(*EndpointList) // called in order
	cancel            func()              // set where it may be ended before its context
	scheduler         *registry.Scheduler
	onHeartbeat       func()        // a sign of life that brings no news; may be nil
	addressCount      int           // addresses watched so far
	createdAt         int64         // when, in ns
	firstResponse     chan struct{} // closed once the first call was answered, in whatever way
	firstResponseOnce sync.Once
}

func newListWatcher(addr string, log *slog.Logger, follow *registry.Scheduler, news func(*EndpointList)) *listWatcher {
	d := &listWatcher{addr: addr, addresses: mailbox.New[string](), log: log, client: newPlainClient(4),
		silenceTimeout: watchSilenceTimeout, maxListBytes: defaultMaxListBytes, createdAt: time.Now().UnixNano(), onList: news, scheduler: follow, firstResponse: make(chan struct{})}
	d.client.Transport.(*http.Transport).ResponseHeaderTimeout = 0 // each call has its own
	return d
}

// run watches one address after another until ctx ends.
func (d *listWatcher) run(ctx context.Context) {
	runPerAddress(ctx, d.addr, d.addresses, func(ctx context.Context, addr string) {
		d.watchAddress(ctx, addr)
		d.scheduler.ChangeAddress()
	})
}

// watchAddress watches one address. What is heard is passed on with no delay: the grace
// after word of a drain counts from when discovery wrote it.
func (d *listWatcher) watchAddress(ctx context.Context, addr string) {
	d.baseURL = "http://" + addr
	d.addressCount++
	defer d.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c := d.scheduler.NextCall()
		if sleep(ctx, c.Delay); ctx.Err() != nil {
			return
		}
		began := time.Now()
		call := d.watch
		if c.Complete {
			call = d.fetch
		}
		end, err := call(ctx, c)
		if ctx.Err() != nil {
			return
		}
		d.markAnswered()
		d.scheduler.CallEnded(c, end, time.Since(began))
		if err != nil {
			d.log.Warn("discovery: call over", "whole", c.Complete, "from", c.FromRevision, "end", end, "took_ms", time.Since(began).Milliseconds(), "err", err)
		}
	}
}

// deliver hands news on, and tells the log when it came: a fleet does not learn in
// the same moment.
func (d *listWatcher) deliver(l *EndpointList) {
	d.log.Info("list", "revision", l.Revision, "whole", l.Complete, "members", len(l.Members))
	d.onList(l)
}

// epoch names what the revisions are of that are heard now, in this process alone:
// what an earlier one knew may not be what its changes build on. It is for news.
func (d *listWatcher) epoch() string {
	return fmt.Sprintf("%s#%d@%d", d.baseURL, d.addressCount, d.createdAt)
}

// freeMemoryAfter returns to the system, once it has been booked, what a long list took
// while it was read: nothing else here would have it collected for minutes.
func freeMemoryAfter(read int) {
	if read >= longListBytes {
		time.AfterFunc(freeMemoryDelay, debug.FreeOSMemory)
	}
}

// markAnswered notes that the registry has said something.
func (d *listWatcher) markAnswered() { d.firstResponseOnce.Do(func() { close(d.firstResponse) }) }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// openCall makes one call and waits for the head of its answer as long as the call
// allows; the answer's body is bound by ctx alone.
func (d *listWatcher) openCall(ctx context.Context, c registry.Call, query string, cancel context.CancelCauseFunc) (*http.Response, registry.Outcome, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.baseURL+listPath+query, nil)
	if err != nil {
		return nil, registry.Unanswered, fmt.Errorf("discovery: %w", err)
	}
	patience := time.AfterFunc(c.Timeout, func() { cancel(errNoResponse) })
	resp, err := d.client.Do(req)
	if !patience.Stop() || err != nil {
		if err == nil {
			resp.Body.Close()
		}
		if context.Cause(ctx) == errNoResponse {
			return nil, registry.Unanswered, errNoResponse
		}
		return nil, registry.Unanswered, fmt.Errorf("discovery: %w", err)
	}
	if code := resp.StatusCode; code != http.StatusOK {
		resp.Body.Close()
		end := registry.Rejected
		if code >= 400 && code < 500 && code != http.StatusTooManyRequests { // there, and not about load: the version may be what it minds
			end = registry.RevisionUnknown
		}
		return nil, end, fmt.Errorf("discovery: status %d", code)
	}
	return resp, registry.Served, nil
}

var errNoResponse = errors.New("discovery: no answer in time")

// fetch asks once for the whole list.
func (d *listWatcher) fetch(ctx context.Context, c registry.Call) (registry.Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resp, end, err := d.openCall(ctx, c, "", cancel)
	if err != nil {
		return end, err
	}
	defer resp.Body.Close()
	quiet := time.AfterFunc(d.silenceTimeout, func() { cancel(errNoResponse) })
	defer quiet.Stop()
	text, err := io.ReadAll(io.LimitReader(resp.Body, int64(d.maxListBytes)))
	if err != nil {
		return registry.Unanswered, fmt.Errorf("discovery: %w", err)
	}
	l, err := decodeList(text)
	if err != nil {
		return registry.Malformed, err
	}
	if !l.Complete {
		return registry.Malformed, errors.New("discovery: the whole list was asked for, a part came")
	}
	if d.scheduler.Judge(l.Revision, true) != registry.Accept {
		return registry.Malformed, fmt.Errorf("discovery: the whole list is of version %d, older than what is known", l.Revision)
	}
	d.deliver(l)
	freeMemoryAfter(len(text))
	return registry.Served, nil
}

// watch follows the changes after a version for as long as they come. After a
// line that cannot be read the whole list must be had again.
func (d *listWatcher) watch(ctx context.Context, c registry.Call) (registry.Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resp, end, err := d.openCall(ctx, c, "?watch=1&from="+strconv.FormatInt(c.FromRevision, 10), cancel)
	if err != nil {
		return end, err
	}
	defer resp.Body.Close()
	quiet := time.AfterFunc(d.silenceTimeout, func() { cancel(errSilent) })
	defer quiet.Stop()
	lists := newListDecoder(resp.Body, d.maxListBytes, func() {
		quiet.Reset(d.silenceTimeout)
		d.markAnswered() // an empty line as well: nothing has changed
		if d.onHeartbeat != nil {
			d.onHeartbeat()
		}
	})
	torn := time.AfterFunc(time.Hour, func() { cancel(errListIncomplete) })
	defer torn.Stop()
	lists.onListOpen = func(open bool) {
		if torn.Stop(); open {
			torn.Reset(listTimeout)
		}
	}
	for {
		l, err := lists.next()
		switch {
		case errors.Is(context.Cause(ctx), errListIncomplete):
			return registry.Malformed, fmt.Errorf("discovery: %w", errListIncomplete)
		case errors.Is(context.Cause(ctx), errSilent):
			return registry.Silent, fmt.Errorf("discovery: %w", errSilent)
		case errors.Is(err, errMalformed):
			return registry.Malformed, err
		case err != nil: // what was cut off comes again, after the version that is known
			return registry.Served, fmt.Errorf("discovery: %w", err)
		}
		switch d.scheduler.Judge(l.Revision, l.Complete) {
		case registry.Accept:
			d.deliver(l)
			freeMemoryAfter(lists.lastListBytes)
		case registry.Ignore:
			d.log.Warn("discovery: older than what is known", "revision", l.Revision)
		case registry.Resync:
			return registry.RevisionUnknown, fmt.Errorf("discovery: changes up to version %d build on none that is known", l.Revision)
		}
		quiet.Reset(d.silenceTimeout)
		d.markAnswered()
	}
}

var (
	errSilent         = errors.New("silent")
	errListIncomplete = errors.New("a list has begun and does not go on")
)

// notice tells the platform how a message ended.
type notice = core.Notice

const (
	maxNoticeBatch   = 64
	minNoticeTimeout = 200 * time.Millisecond // doubles with each failure in a row: a second try is still in time
	minNoticeBackoff = 50 * time.Millisecond  // grows with each failure in a row
	maxNoticeBackoff = 500 * time.Millisecond
	maxNoticeTimeout = 2 * time.Second
)

// stop ends the watch for good.
func (d *listWatcher) stop() {
	if d.cancel != nil {
		d.cancel()
	}
}

// noticeSender sends notices until each has been taken. Repeats are harmless.
type noticeSender struct {
	addr        string
	url         string                   // at the address that is used now
	addresses   *mailbox.Mailbox[string] // further addresses, each in the place of the one before
	log         *slog.Logger
	client      *http.Client
	queue       *mailbox.Mailbox[notice]
	unconfirmed []notice // not confirmed yet
	onConfirmed func(id string)
	startRun    func() (stop func()) // runs it; set by start
	stopRun     func()               // ends that and waits
}

// start runs it until ctx ends, or pause.
func (n *noticeSender) start(ctx context.Context) {
	n.startRun = func() func() {
		here, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() { defer close(done); n.run(here) }()
		return func() { cancel(); <-done }
	}
	n.stopRun = n.startRun()
}

// pause ends the sending; nothing is confirmed after it returns. resume goes on.
func (n *noticeSender) pause()  { n.stopRun() }
func (n *noticeSender) resume() { n.stopRun = n.startRun() }

func newNoticeSender(addr string, log *slog.Logger, taken func(string)) *noticeSender {
	return &noticeSender{addr: addr, addresses: mailbox.New[string](), log: log, client: newPlainClient(2),
		queue: mailbox.New[notice](), onConfirmed: taken}
}

// run sends to one address after another until ctx ends.
func (n *noticeSender) run(ctx context.Context) {
	runPerAddress(ctx, n.addr, n.addresses, n.sendToAddress)
}

// sendToAddress sends to one address; what is not confirmed there stays for the next.
func (n *noticeSender) sendToAddress(ctx context.Context, addr string) {
	n.url = "http://" + addr + noticesPath
	defer n.client.CloseIdleConnections()
	var fresh []notice
	for pause, wait := minNoticeBackoff, minNoticeTimeout; ctx.Err() == nil; {
		fresh = n.queue.TakeAll(fresh)
		n.unconfirmed = append(n.unconfirmed, fresh...)
		if len(n.unconfirmed) == 0 {
			select {
			case <-ctx.Done():
			case <-n.queue.Ready():
			}
			continue
		}
		batch := n.unconfirmed[:min(len(n.unconfirmed), maxNoticeBatch)]
		status, err := n.post(ctx, batch, wait)
		if status == http.StatusBadRequest && len(batch) > 1 {
			// One of them cannot be read; it must not hold up the others.
			for _, x := range batch {
				if status, err = n.post(ctx, []notice{x}, wait); err != nil && status != http.StatusBadRequest {
					break
				}
				n.confirm(x, err)
				n.unconfirmed = n.unconfirmed[1:]
			}
		} else if err == nil || status == http.StatusBadRequest {
			for _, x := range batch {
				n.confirm(x, err)
			}
			n.unconfirmed = n.unconfirmed[len(batch):]
		}
		if err == nil || status == http.StatusBadRequest {
			pause, wait = minNoticeBackoff, minNoticeTimeout
			continue
		}
		n.log.Warn("notices: not taken", "count", len(n.unconfirmed), "err", err)
		sleep(ctx, pause)
		pause, wait = min(2*pause, maxNoticeBackoff), min(2*wait, maxNoticeTimeout)
	}
}

func (n *noticeSender) confirm(x notice, err error) {
	if err != nil {
		n.log.Error("notices: cannot be read", "message", x.Message, "err", err)
	}
	n.onConfirmed(x.Message)
}

func (n *noticeSender) post(ctx context.Context, batch []notice, wait time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var body bytes.Buffer
	enc := json.NewEncoder(&body) // one object a line
	for _, x := range batch {
		if err := enc.Encode(x); err != nil {
			return 0, fmt.Errorf("notices: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, n.url, &body)
	if err != nil {
		return 0, fmt.Errorf("notices: %w", err)
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("notices: %w", err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, defaultMaxListBytes))
	if resp.StatusCode != http.StatusNoContent {
		return resp.StatusCode, fmt.Errorf("notices: status %d", resp.StatusCode)
	}
	return resp.StatusCode, nil
}
