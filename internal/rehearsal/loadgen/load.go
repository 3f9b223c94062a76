// Package loadgen plays the clients of a rehearsal: open-loop arrivals at their
// planned moments over RESP2, kept connections, retries after refusals, and a
// front that deals connections to relays. Latency counts from the planned
// moment of a message, however late the driver was. It must never judge a
// relay; it records what it did and heard.
package loadgen

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/rehearsal/event"
	"troutusher/internal/rehearsal/scenario"
	"troutusher/internal/seededrand"
)

// End is how a message ended for its client.
type End uint8

// Ends of a message.
const (
	Pending   End = iota
	Delivered     // a 200 was written to the relay
	Refused       // its last refusal; nobody tries again
	Failed        // its relay gave it up
	Unheard       // its clients heard nothing, and do not try again
)

var endNames = [...]string{"pending", "delivered", "refused", "failed", "unheard"}

func (e End) String() string { return endNames[e] }

// Result is what became of a message.
type Result struct {
	End      End
	At       event.Time // of its end, from its planned moment on
	HandIns  int
	Refusals int
}

// Config is what a driver is made of.
type Config struct {
	Plan   *scenario.Plan
	Relays []string          // addresses
	Emit   func(event.Event) // takes what happens, in order
	Clock  func() event.Time
	Start  event.Time // moment of the plan's beginning
}

// Driver plays a plan's arrivals.
type Driver struct {
	cfg   Config
	conns []*pool
	body  string
	door  atomic.Int64 // requests that met a connection refused, reset, or closed unread

	mu       sync.Mutex
	ids      map[string]*hand
	messages []message
	open     int // messages without an end
	done     chan struct{}
	front    []seat
	turn     int
	late     *hdrhistogram.Histogram // of the driver itself, µs
	answers  *hdrhistogram.Histogram // from a message's planned moment to the answer to its first hand-in, µs
	delivery *hdrhistogram.Histogram // from its planned moment to its delivery, µs
	waits    sync.WaitGroup
	quit     context.Context
	stop     context.CancelFunc
}

type message struct {
	Result
	class *scenario.Class
}

// hand is one hand-in.
type hand struct {
	id        string
	num       int
	relay     int
	try       int
	heard     bool // taken on
	delivered bool // perhaps before its client heard
	over      bool // nothing more comes of it
}

// seat is what the front knows of a relay.
type seat struct {
	down  bool
	until event.Time // it goes on dealing connections to it until then
}

// New makes a driver.
func New(cfg Config) *Driver {
	d := &Driver{
		cfg: cfg, ids: map[string]*hand{}, done: make(chan struct{}), front: make([]seat, len(cfg.Relays)),
		body: strings.Repeat("b", cfg.Plan.Scenario.Clients.Bodies), late: hdrhistogram.New(1, 60_000_000, 3),
		answers: hdrhistogram.New(1, 600_000_000, 3), delivery: hdrhistogram.New(1, 600_000_000, 3),
	}
	most := max(8, cfg.Plan.Scenario.Relays.Sockets/3)
	for _, addr := range cfg.Relays {
		d.conns = append(d.conns, &pool{addr: addr, free: make(chan struct{}, most), back: make(chan *conn)})
	}
	for _, a := range cfg.Plan.Arrivals {
		d.messages = append(d.messages, message{class: &cfg.Plan.Scenario.Classes[a.Class]})
	}
	d.open = len(d.messages)
	d.quit, d.stop = context.WithCancel(context.Background())
	return d
}

// Begin sets the moment of the plan's beginning, before Run.
func (d *Driver) Begin(at event.Time) { d.cfg.Start = at }

// Run plays the arrivals and returns once every message has its end, or ctx
// ends.
func (d *Driver) Run(ctx context.Context) {
	defer d.Close()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for i, a := range d.cfg.Plan.Arrivals {
		if wait := d.cfg.Start + a.At - d.cfg.Clock(); wait > 0 {
			timer.Reset(time.Duration(wait) * time.Microsecond)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		d.waits.Add(1)
		go d.begin(i)
	}
	if len(d.cfg.Plan.Arrivals) == 0 {
		return
	}
	select {
	case <-d.done:
	case <-ctx.Done():
	}
}

// Close ends what is under way.
func (d *Driver) Close() {
	d.stop()
	for _, p := range d.conns {
		p.close()
	}
	d.waits.Wait()
}

func (d *Driver) begin(num int) {
	defer d.waits.Done()
	late := d.cfg.Clock() - d.cfg.Start - d.cfg.Plan.Arrivals[num].At
	d.mu.Lock()
	_ = d.late.RecordValue(max(late, 1)) // beyond the range it is left out
	d.mu.Unlock()
	d.handIn(num, 0, "")
}

// Late is how late the driver began its messages, in µs, at a quantile from 0
// to 100.
func (d *Driver) Late(quantile float64) event.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.late.ValueAtQuantile(quantile)
}

// Latencies are the histograms of first answers and of deliveries, in µs.
func (d *Driver) Latencies() (answers, delivery *hdrhistogram.Histogram) {
	return d.answers, d.delivery
}

// Results tells what became of each message of the plan.
func (d *Driver) Results() []Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := make([]Result, len(d.messages))
	for i := range r {
		r[i] = d.messages[i].Result
	}
	return r
}

// Open is the number of messages that have begun, and of those without an end.
func (d *Driver) Open() (begun, open int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.messages {
		if d.messages[i].HandIns > 0 {
			begun++
		}
	}
	return begun, d.open - (len(d.messages) - begun)
}

// Lookup tells the stand-ins of a hand-in.
func (d *Driver) Lookup(id string) (endpoint.Message, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.ids[id]
	if h == nil {
		return endpoint.Message{}, false
	}
	a := &d.cfg.Plan.Arrivals[h.num]
	return endpoint.Message{Num: h.num, Class: a.Class, Dest: a.Dest, Over: h.over}, true
}

// Down tells the front that a relay has ended or is ending; it notices later.
func (d *Driver) Down(relay int, notice event.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.front[relay].down {
		d.front[relay] = seat{true, d.cfg.Clock() + notice}
	}
}

// Up tells the front that a relay is ready.
func (d *Driver) Up(relay int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.front[relay] = seat{}
}

// deal picks the relay of a hand-in; -1 where the front has none.
func (d *Driver) deal(not int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock()
	for range len(d.front) {
		d.turn++
		i := d.turn % len(d.front)
		if s := d.front[i]; (!s.down || now < s.until) && (i != not || len(d.front) == 1) {
			return i
		}
	}
	return -1
}

const (
	dialWait  = time.Second
	frontWait = 50 * time.Millisecond // before another relay is tried
	linesMost = 512                   // bytes of an answer
)

// Door is how many requests met a connection that was refused, reset, or closed
// with the request unread.
func (d *Driver) Door() int { return int(d.door.Load()) }

// left is how long a message may still be delivered.
func (d *Driver) left(num int) event.Time {
	return d.cfg.Start + d.cfg.Plan.Arrivals[num].At + scenario.Micros(d.messages[num].class.DeadlineMS) - d.cfg.Clock()
}

// handIn hands a message in, once, and books what its client heard.
func (d *Driver) handIn(num, try int, mark string) {
	avoid := -1
	for {
		left := d.left(num)
		if left <= 0 || d.quit.Err() != nil {
			d.end(num, Unheard)
			return
		}
		relay := d.deal(avoid)
		if relay < 0 {
			if !d.sleep(frontWait) {
				return
			}
			continue
		}
		c, kept, err := d.conns[relay].get(d.quit, min(dialWait, time.Duration(left)*time.Microsecond))
		if err != nil { // nobody is there: the front deals another
			d.door.Add(1)
			avoid = relay
			if !d.sleep(frontWait) {
				return
			}
			continue
		}
		d.talk(num, try, relay, mark, c, kept)
		return
	}
}

func (d *Driver) sleep(t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.quit.Done():
		return false
	}
}

// talk hands a message in over a connection.
func (d *Driver) talk(num, try, relay int, mark string, c *conn, kept bool) {
	a := &d.cfg.Plan.Arrivals[num]
	h := &hand{
		id: fmt.Sprintf("%016x", seededrand.Hash(d.cfg.Plan.Seed, 77, uint64(num), uint64(try))), num: num,
		relay: relay, try: try,
	}
	d.mu.Lock()
	d.ids[h.id] = h
	d.messages[num].HandIns++
	d.mu.Unlock()
	left := d.left(num)
	c.text = put(c.text[:0], d.cfg.Plan, a, h.id, left, mark, d.body)
	d.cfg.Emit(event.Event{At: d.cfg.Clock(), Kind: event.HandIn, ID: h.id, Message: num, Relay: relay, Left: left})
	wait := time.Duration(scenario.Micros(d.cfg.Plan.Scenario.Clients.AnswerMS)) * time.Microsecond
	limit := time.Now().Add(wait)
	written, reply, err := c.ask(limit)
	if err != nil && kept && !errors.Is(err, errTimeout) {
		// The relay closed it between two requests; it is sent once more.
		d.door.Add(1)
		d.conns[relay].drop(c)
		fresh, _, derr := d.conns[relay].dial(d.quit, time.Until(limit))
		if derr == nil {
			fresh.text = append(fresh.text[:0], c.text...)
			c = fresh
			written, reply, err = c.ask(limit)
		} else {
			c, written = nil, false
		}
	}
	now := d.cfg.Clock()
	if try == 0 {
		d.mu.Lock()
		_ = d.answers.RecordValue(max(now-d.cfg.Start-a.At, 1)) // as above
		d.mu.Unlock()
	}
	if err != nil {
		if c != nil {
			d.conns[relay].drop(c)
		}
		what := event.Event{At: now, Kind: event.GivenUp, ID: h.id, Text: err.Error()}
		if written && !errors.Is(err, errTimeout) {
			what.Kind = event.CutOff
			d.door.Add(1)
			if !c.used {
				what.Status = 1
			}
		}
		d.mu.Lock()
		h.over = true
		d.mu.Unlock()
		d.cfg.Emit(what)
		d.again(num, try, "again=1", 0)
		return
	}
	c.used = true
	d.conns[relay].put(c)
	d.heard(h, reply, now)
}

// heard books an answer.
func (d *Driver) heard(h *hand, reply string, now event.Time) {
	switch ms, busy := strings.CutPrefix(reply, "-BUSY"); {
	case reply != "" && reply[0] != '-':
		d.cfg.Emit(event.Event{At: now, Kind: event.Accepted, ID: h.id})
		d.mu.Lock()
		h.heard = true
		delivered := h.delivered
		d.mu.Unlock()
		if delivered {
			d.end(h.num, Delivered)
		}
	case busy:
		wait, err := strconv.ParseInt(strings.TrimSpace(ms), 10, 64)
		if err != nil || wait < 0 || wait > 1e9 {
			wait = 0
		}
		d.mu.Lock()
		h.over = true
		d.mu.Unlock()
		d.cfg.Emit(event.Event{At: now, Kind: event.Refused, ID: h.id, Wait: wait * 1000})
		d.refused(h.num, h.try, wait*1000)
	default:
		d.mu.Lock()
		h.over = true
		d.mu.Unlock()
		d.cfg.Emit(event.Event{At: now, Kind: event.Failed, ID: h.id, Text: reply})
		d.end(h.num, Failed)
	}
}

// refused: the client comes again after a while, if it does.
func (d *Driver) refused(num, try int, advice event.Time) {
	d.mu.Lock()
	d.messages[num].Refusals++
	d.mu.Unlock()
	cl := &d.cfg.Plan.Scenario.Clients
	wait := scenario.Micros(cl.BackoffMS * math.Pow(2, float64(min(try, 10))))
	if advice > 0 && seededrand.Float64(d.cfg.Plan.Seed, 78, uint64(num), uint64(try)) < cl.Honour {
		wait = advice
	}
	// Spread, so that those who were refused together do not come together.
	wait += event.Time(float64(wait) * 0.2 * seededrand.Float64(d.cfg.Plan.Seed, 79, uint64(num), uint64(try)))
	if try >= cl.Retries || wait >= d.left(num) {
		d.end(num, Refused)
		return
	}
	d.again(num, try, "r=1", wait)
}

// again hands a message in anew after a while.
func (d *Driver) again(num, try int, mark string, wait event.Time) {
	if try >= d.cfg.Plan.Scenario.Clients.Retries+1 {
		d.end(num, Unheard)
		return
	}
	d.waits.Add(1)
	go func() {
		defer d.waits.Done()
		if d.sleep(time.Duration(wait) * time.Microsecond) {
			d.handIn(num, try+1, mark)
		}
	}()
}

// Happened takes deliveries and notices from the rest of the rehearsal.
func (d *Driver) Happened(e *event.Event) {
	d.mu.Lock()
	h := d.ids[e.ID]
	if h == nil || h.over {
		d.mu.Unlock()
		return
	}
	switch {
	case e.Kind == event.CallEnded && e.Status == event.StatusDelivered:
		h.delivered, h.over = true, true
		heard := h.heard
		d.mu.Unlock()
		if heard {
			d.end(h.num, Delivered)
		}
		return
	case e.Kind == event.Noticed:
		h.over = true
		d.mu.Unlock()
		if e.Status == event.NoticeHandedBack {
			d.refused(h.num, h.try, e.Wait)
		} else {
			d.end(h.num, Failed)
		}
		return
	}
	d.mu.Unlock()
}

// end books a message's end.
func (d *Driver) end(num int, how End) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := &d.messages[num]
	if m.End != Pending {
		return
	}
	m.End, m.At = how, d.cfg.Clock()-d.cfg.Start-d.cfg.Plan.Arrivals[num].At
	if how == Delivered {
		_ = d.delivery.RecordValue(max(m.At, 1)) // as above
	}
	if d.open--; d.open == 0 {
		close(d.done)
	}
}

// put writes a hand-in in RESP2.
func put(b []byte, p *scenario.Plan, a *scenario.Arrival, id string, left event.Time, mark, body string) []byte {
	b = append(b, "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n"...)
	b = bulk(b, id)
	fields := make([]byte, 0, 160)
	fields = append(fields, "c="...)
	fields = append(fields, p.Scenario.Classes[a.Class].Name...)
	fields = append(fields, ",t="...)
	fields = append(fields, p.Scenario.Portals[a.Portal].Name...)
	fields = append(fields, ",d="...)
	fields = strconv.AppendInt(fields, max(left/1000, 1), 10)
	if a.Key != "" {
		fields = append(append(fields, ",k="...), a.Key...)
	}
	fields = append(fields, ",dest="...)
	fields = strconv.AppendInt(fields, int64(a.Dest), 10)
	if mark != "" {
		fields = append(append(fields, ','), mark...)
	}
	b = bulk(b, string(fields))
	return bulk(b, body)
}

func bulk(b []byte, s string) []byte {
	b = append(b, '$')
	b = strconv.AppendInt(b, int64(len(s)), 10)
	b = append(b, "\r\n"...)
	b = append(b, s...)
	return append(b, "\r\n"...)
}

var errTimeout = errors.New("no answer in time")

// conn is a kept connection to a relay.
type conn struct {
	net.Conn
	in   *bufio.Reader
	text []byte
	used bool // it has carried an answer
}

// ask writes the connection's text and reads one answer line.
func (c *conn) ask(limit time.Time) (written bool, reply string, err error) {
	_ = c.SetDeadline(limit) // fails with the write below
	if _, err := c.Write(c.text); err != nil {
		return false, "", timeout(err)
	}
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return true, "", timeout(err)
	}
	if len(line) > linesMost {
		return true, "", fmt.Errorf("answer of %d bytes", len(line))
	}
	reply = strings.TrimRight(string(line), "\r\n")
	if reply != "" && reply[0] == '$' { // a bulk string
		n, err := strconv.Atoi(reply[1:])
		if err != nil || n < 0 || n > linesMost {
			return true, "", fmt.Errorf("answer %.40q", reply)
		}
		if _, err := io.CopyN(io.Discard, c.in, int64(n)+2); err != nil {
			return true, "", timeout(err)
		}
	}
	return true, reply, nil
}

func timeout(err error) error {
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return errTimeout
	}
	return err
}

// pool keeps the connections to one relay.
type pool struct {
	addr string
	free chan struct{} // a place for each connection that may be open
	back chan *conn    // to those who wait for one

	mu     sync.Mutex
	idle   []*conn
	all    []*conn
	closed bool
}

// get takes a kept connection, or opens one.
func (p *pool) get(ctx context.Context, wait time.Duration) (c *conn, kept bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, true, nil
	}
	p.mu.Unlock()
	select {
	case p.free <- struct{}{}:
		return p.open(ctx, wait)
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case c := <-p.back:
		return c, true, nil
	case p.free <- struct{}{}:
		return p.open(ctx, wait)
	case <-timer.C:
		return nil, false, errTimeout
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

// dial opens a connection whatever is kept.
func (p *pool) dial(ctx context.Context, wait time.Duration) (*conn, bool, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case p.free <- struct{}{}:
		return p.open(ctx, wait)
	case <-timer.C:
		return nil, false, errTimeout
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

// open opens a connection in a place that is taken already.
func (p *pool) open(ctx context.Context, wait time.Duration) (*conn, bool, error) {
	dialer := net.Dialer{Timeout: wait}
	n, err := dialer.DialContext(ctx, "tcp4", p.addr)
	if err != nil {
		<-p.free
		return nil, false, err
	}
	c := &conn{Conn: n, in: bufio.NewReaderSize(n, 512)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = n.Close()
		<-p.free
		return nil, false, net.ErrClosed
	}
	p.all = append(p.all, c)
	return c, false, nil
}

func (p *pool) put(c *conn) {
	select {
	case p.back <- c:
		return
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (p *pool) drop(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.all, c); i >= 0 {
		p.all = slices.Delete(p.all, i, i+1)
		<-p.free
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.all {
		_ = c.Close()
	}
}

// Worth is what a message earned: all of its worth within its aim, then less
// in a straight line down to what is left of it at the deadline.
func Worth(c *scenario.Class, r *Result) float64 {
	if r.End != Delivered {
		return 0
	}
	aim, deadline := float64(scenario.Micros(c.AimMS)), float64(scenario.Micros(c.DeadlineMS))
	switch at := float64(r.At); {
	case at <= aim:
		return c.Worth
	case at > deadline:
		return 0
	default:
		return c.Worth * (1 - (1-c.LateWorth)*(at-aim)/max(deadline-aim, 1))
	}
}
