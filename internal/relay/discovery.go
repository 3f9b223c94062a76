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
	"troutusher/internal/source/registry"
)

// List is discovery's list, or what changed in it.
type List = core.EndpointList

func parseList(text []byte) (*List, error) {
	l := &List{}
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
	listPath   = "/registry/instances"
	noticePath = "/reports"
	discAnswer = time.Second     // notices are answered at once, or the agent is down
	listLong   = 8 << 20         // bytes; longer ones leave much to be collected
	listBooked = 5 * time.Second // by then a list of a million has been booked
	listWait   = time.Second     // for more of a list that has begun
	listMost   = 4 << 20         // bytes of a list or a line, where the operator says nothing
)

// discSilence is after how long a watch is dead. Tests alone change it.
var discSilence = registry.Silence

// newPlainClient makes a client for the agent on this machine: few kept
// connections, no proxy, no second protocol.
func newPlainClient(conns int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: discAnswer}).DialContext,
			MaxIdleConnsPerHost:   conns,
			MaxConnsPerHost:       conns,
			ResponseHeaderTimeout: discAnswer,
			IdleConnTimeout:       30 * time.Second,
			DisableCompression:    true,
			Protocols:             http1(),
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func http1() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}

// discovery keeps a watch on the list and hands on its news.
type discovery struct {
	addr    string
	base    string           // of the address that is watched now
	moves   *Mailbox[string] // further addresses, each in the place of the one before
	log     *slog.Logger
	client  *http.Client
	silence time.Duration
	most    int         // bytes of a list or a line
	news    func(*List) // called in order
	end     func()      // set where it may be ended before its context
	follow  *registry.Follower
	life    func()        // a sign of life that brings no news; may be nil
	turns   int           // addresses watched so far
	made    int64         // when, in ns
	first   chan struct{} // closed once the first call was answered, in whatever way
	once    sync.Once
}

func newDiscovery(addr string, log *slog.Logger, follow *registry.Follower, news func(*List)) *discovery {
	d := &discovery{addr: addr, moves: newMailbox[string](), log: log, client: newPlainClient(4),
		silence: discSilence, most: listMost, made: time.Now().UnixNano(), news: news, follow: follow, first: make(chan struct{})}
	d.client.Transport.(*http.Transport).ResponseHeaderTimeout = 0 // each call has its own
	return d
}

// run watches one address after another until ctx ends.
func (d *discovery) run(ctx context.Context) {
	atEach(ctx, d.addr, d.moves, func(ctx context.Context, addr string) {
		d.at(ctx, addr)
		d.follow.Move()
	})
}

// at watches one address. What is heard is passed on with no delay: the grace
// after word of a drain counts from when discovery wrote it.
func (d *discovery) at(ctx context.Context, addr string) {
	d.base = "http://" + addr
	d.turns++
	defer d.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c := d.follow.Next()
		if sleep(ctx, c.After); ctx.Err() != nil {
			return
		}
		began := time.Now()
		call := d.watch
		if c.Whole {
			call = d.fetch
		}
		end, err := call(ctx, c)
		if ctx.Err() != nil {
			return
		}
		d.answered()
		d.follow.Ended(c, end, time.Since(began))
		if err != nil {
			d.log.Warn("discovery: call over", "whole", c.Whole, "from", c.From, "end", end, "took_ms", time.Since(began).Milliseconds(), "err", err)
		}
	}
}

// heard hands news on, and tells the log when it came: a fleet does not learn in
// the same moment.
func (d *discovery) heard(l *List) {
	d.log.Info("list", "revision", l.Revision, "whole", l.Complete, "members", len(l.Members))
	d.news(l)
}

// epoch names what the revisions are of that are heard now, in this process alone:
// what an earlier one knew may not be what its changes build on. It is for news.
func (d *discovery) epoch() string { return fmt.Sprintf("%s#%d@%d", d.base, d.turns, d.made) }

// giveBack returns to the system, once it has been booked, what a long list took
// while it was read: nothing else here would have it collected for minutes.
func giveBack(read int) {
	if read >= listLong {
		time.AfterFunc(listBooked, debug.FreeOSMemory)
	}
}

// answered notes that the registry has said something.
func (d *discovery) answered() { d.once.Do(func() { close(d.first) }) }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// open makes one call and waits for the head of its answer as long as the call
// allows; the answer's body is bound by ctx alone.
func (d *discovery) open(ctx context.Context, c registry.Call, query string, cancel context.CancelCauseFunc) (*http.Response, registry.End, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.base+listPath+query, nil)
	if err != nil {
		return nil, registry.Unheard, fmt.Errorf("discovery: %w", err)
	}
	patience := time.AfterFunc(c.Patience, func() { cancel(errUnheard) })
	resp, err := d.client.Do(req)
	if !patience.Stop() || err != nil {
		if err == nil {
			resp.Body.Close()
		}
		if context.Cause(ctx) == errUnheard {
			return nil, registry.Unheard, errUnheard
		}
		return nil, registry.Unheard, fmt.Errorf("discovery: %w", err)
	}
	if code := resp.StatusCode; code != http.StatusOK {
		resp.Body.Close()
		end := registry.Refused
		if code >= 400 && code < 500 && code != http.StatusTooManyRequests { // there, and not about load: the version may be what it minds
			end = registry.Foreign
		}
		return nil, end, fmt.Errorf("discovery: status %d", code)
	}
	return resp, registry.Served, nil
}

var errUnheard = errors.New("discovery: no answer in time")

// fetch asks once for the whole list.
func (d *discovery) fetch(ctx context.Context, c registry.Call) (registry.End, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resp, end, err := d.open(ctx, c, "", cancel)
	if err != nil {
		return end, err
	}
	defer resp.Body.Close()
	quiet := time.AfterFunc(d.silence, func() { cancel(errUnheard) })
	defer quiet.Stop()
	text, err := io.ReadAll(io.LimitReader(resp.Body, int64(d.most)))
	if err != nil {
		return registry.Unheard, fmt.Errorf("discovery: %w", err)
	}
	l, err := parseList(text)
	if err != nil {
		return registry.Garbled, err
	}
	if !l.Complete {
		return registry.Garbled, errors.New("discovery: the whole list was asked for, a part came")
	}
	if d.follow.Take(l.Revision, true) != registry.Believe {
		return registry.Garbled, fmt.Errorf("discovery: the whole list is of version %d, older than what is known", l.Revision)
	}
	d.heard(l)
	giveBack(len(text))
	return registry.Served, nil
}

// watch follows the changes after a version for as long as they come. After a
// line that cannot be read the whole list must be had again.
func (d *discovery) watch(ctx context.Context, c registry.Call) (registry.End, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resp, end, err := d.open(ctx, c, "?watch=1&from="+strconv.FormatInt(c.From, 10), cancel)
	if err != nil {
		return end, err
	}
	defer resp.Body.Close()
	quiet := time.AfterFunc(d.silence, func() { cancel(errSilent) })
	defer quiet.Stop()
	lists := newLists(resp.Body, d.most, func() {
		quiet.Reset(d.silence)
		d.answered() // an empty line as well: nothing has changed
		if d.life != nil {
			d.life()
		}
	})
	torn := time.AfterFunc(time.Hour, func() { cancel(errTorn) })
	defer torn.Stop()
	lists.open = func(open bool) {
		if torn.Stop(); open {
			torn.Reset(listWait)
		}
	}
	for {
		l, err := lists.next()
		switch {
		case errors.Is(context.Cause(ctx), errTorn):
			return registry.Garbled, fmt.Errorf("discovery: %w", errTorn)
		case errors.Is(context.Cause(ctx), errSilent):
			return registry.Silent, fmt.Errorf("discovery: %w", errSilent)
		case errors.Is(err, errGarbled):
			return registry.Garbled, err
		case err != nil: // what was cut off comes again, after the version that is known
			return registry.Served, fmt.Errorf("discovery: %w", err)
		}
		switch d.follow.Take(l.Revision, l.Complete) {
		case registry.Believe:
			d.heard(l)
			giveBack(lists.read)
		case registry.Ignore:
			d.log.Warn("discovery: older than what is known", "revision", l.Revision)
		case registry.Ask:
			return registry.Foreign, fmt.Errorf("discovery: changes up to version %d build on none that is known", l.Revision)
		}
		quiet.Reset(d.silence)
		d.answered()
	}
}

var (
	errSilent = errors.New("silent")
	errTorn   = errors.New("a list has begun and does not go on")
)

// notice tells the platform how a message ended.
type notice = core.Notice

const (
	noticeBatch = 64
	noticeWait  = 200 * time.Millisecond // doubles with each failure in a row: a second try is still in time
	noticePause = 50 * time.Millisecond  // grows with each failure in a row
	noticeMost  = 500 * time.Millisecond
	noticeLong  = 2 * time.Second
)

// stop ends the watch for good.
func (d *discovery) stop() {
	if d.end != nil {
		d.end()
	}
}

// notices sends notices until each has been taken. Repeats are harmless.
type notices struct {
	addr   string
	url    string           // at the address that is used now
	moves  *Mailbox[string] // further addresses, each in the place of the one before
	log    *slog.Logger
	client *http.Client
	in     *Mailbox[notice]
	left   []notice // not confirmed yet
	taken  func(id string)
	begin  func() (stop func()) // runs it; set by start
	halt   func()               // ends that and waits
}

// start runs it until ctx ends, or pause.
func (n *notices) start(ctx context.Context) {
	n.begin = func() func() {
		here, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() { defer close(done); n.run(here) }()
		return func() { cancel(); <-done }
	}
	n.halt = n.begin()
}

// pause ends the sending; nothing is confirmed after it returns. resume goes on.
func (n *notices) pause()  { n.halt() }
func (n *notices) resume() { n.halt = n.begin() }

func newNotices(addr string, log *slog.Logger, taken func(string)) *notices {
	return &notices{addr: addr, moves: newMailbox[string](), log: log, client: newPlainClient(2),
		in: newMailbox[notice](), taken: taken}
}

// run sends to one address after another until ctx ends.
func (n *notices) run(ctx context.Context) { atEach(ctx, n.addr, n.moves, n.at) }

// at sends to one address; what is not confirmed there stays for the next.
func (n *notices) at(ctx context.Context, addr string) {
	n.url = "http://" + addr + noticePath
	defer n.client.CloseIdleConnections()
	var fresh []notice
	for pause, wait := noticePause, noticeWait; ctx.Err() == nil; {
		fresh = n.in.TakeAll(fresh)
		n.left = append(n.left, fresh...)
		if len(n.left) == 0 {
			select {
			case <-ctx.Done():
			case <-n.in.ready:
			}
			continue
		}
		batch := n.left[:min(len(n.left), noticeBatch)]
		status, err := n.post(ctx, batch, wait)
		if status == http.StatusBadRequest && len(batch) > 1 {
			// One of them cannot be read; it must not hold up the others.
			for _, x := range batch {
				if status, err = n.post(ctx, []notice{x}, wait); err != nil && status != http.StatusBadRequest {
					break
				}
				n.settle(x, err)
				n.left = n.left[1:]
			}
		} else if err == nil || status == http.StatusBadRequest {
			for _, x := range batch {
				n.settle(x, err)
			}
			n.left = n.left[len(batch):]
		}
		if err == nil || status == http.StatusBadRequest {
			pause, wait = noticePause, noticeWait
			continue
		}
		n.log.Warn("notices: not taken", "count", len(n.left), "err", err)
		sleep(ctx, pause)
		pause, wait = min(2*pause, noticeMost), min(2*wait, noticeLong)
	}
}

func (n *notices) settle(x notice, err error) {
	if err != nil {
		n.log.Error("notices: cannot be read", "message", x.Message, "err", err)
	}
	n.taken(x.Message)
}

func (n *notices) post(ctx context.Context, batch []notice, wait time.Duration) (int, error) {
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
	io.Copy(io.Discard, io.LimitReader(resp.Body, listMost))
	if resp.StatusCode != http.StatusNoContent {
		return resp.StatusCode, fmt.Errorf("notices: status %d", resp.StatusCode)
	}
	return resp.StatusCode, nil
}
