package connlimit

import (
	"math/rand/v2"
	"testing"
)

func newTestLimiter(t testing.TB, l Limits) *Limiter {
	t.Helper()
	b, err := New(l, 0)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func smallLimits() Limits {
	l := DefaultLimits(24, 96) // 12 strangers, 24 held
	l.SingleUseEvictionThreshold = 15
	return l
}

// modelConn is what a test knows of one connection, kept apart from the account.
type modelConn struct {
	midCommand, awaitingReply, validated, draining bool
	commandStartedAt, idleSince, connectedAt       Time // of a command, since when nothing is open, since when it is here
	sentCommand                                    bool
	slow                                           bool // does everything late
	requests                                       int
}

// Whatever happens, in whatever order: never more places than told, never more
// strangers let in than told, and nobody is closed against the protocol, before
// its time, or with a command under way.
func TestCloseActionsFollowProtocol(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 7))
		l := smallLimits()
		b := newTestLimiter(t, l)
		conns := map[SlotID]*modelConn{}
		now := Time(1e6)
		gone := func(id SlotID) { b.Remove(id); delete(conns, id) }
		stopping, full := false, false
		check := func(knock bool) {
			for _, o := range append([]CloseAction(nil), b.TakeCloseActions()...) {
				c := conns[o.Slot]
				if c == nil {
					t.Fatalf("seed %d: an order for nobody: %v", seed, o.Reason)
				}
				idle := now - c.idleSince
				first := now - c.connectedAt
				switch {
				case o.Reason == CloseCommandTimeout:
					limit := l.CommandTimeout
					since := c.commandStartedAt
					if !c.sentCommand {
						limit, since = l.FirstCommandTimeout, c.connectedAt
						if c.draining {
							since = c.commandStartedAt
						}
					} else if c.draining {
						limit = l.FirstCommandTimeout
					}
					if !c.midCommand || c.awaitingReply || now-since < limit {
						t.Fatalf("seed %d: a command that is in time is cut off after %d", seed, now-since)
					}
					gone(o.Slot)
					continue
				case o.Reason == CloseEvictInvalid:
					if c.validated || !knock || !c.awaitingReply {
						t.Fatalf("seed %d: closed as faulty: %+v", seed, c)
					}
					gone(o.Slot)
					continue
				case c.midCommand || c.awaitingReply:
					t.Fatalf("seed %d: %v with a command under way: %+v", seed, o.Reason, c)
				case o.Reason == CloseFirstCommandTimeout && (c.sentCommand || first < l.FirstCommandTimeout),
					o.Reason == CloseIdleTimeout && (!c.sentCommand || idle < l.IdleTimeout),
					o.Reason == CloseEvictUnvalidated && (c.validated || !knock || idle < l.EvictionGrace),
					o.Reason == CloseEvictIdle && (!c.validated || !knock || !full),
					o.Reason == CloseEvictSingleUse && (c.requests != 1 || knock),
					o.Reason == CloseShutdown && !stopping && !c.draining:
					t.Fatalf("seed %d: %v at %d: %+v", seed, o.Reason, now, c)
				}
				if rng.IntN(4) == 0 && !c.draining { // a command crossed
					c.draining, c.midCommand, c.commandStartedAt = true, true, now
					b.CommandStarted(o.Slot, now)
				} else {
					gone(o.Slot)
				}
			}
			n, strangers, asked := 0, 0, 0
			for _, c := range conns {
				n++
				if !c.draining && !c.validated {
					strangers++
				}
				if !c.draining && c.requests > 0 {
					asked++
				}
			}
			if n != b.InUse() || n > l.MaxConns || strangers != b.Unvalidated() || strangers > l.MaxUnvalidated || asked != b.withRequests {
				t.Fatalf("seed %d: %d places, %d strangers, %d that asked; the account has %d, %d, %d",
					seed, n, strangers, asked, b.InUse(), b.Unvalidated(), b.withRequests)
			}
		}
		for range 1500 {
			now += Time(rng.IntN(30e3))
			for more := true; more; {
				more = b.Advance(now, 1+rng.IntN(5))
				check(false)
			}
			full = b.InUse() >= l.MaxConns
			if rng.IntN(3) > 0 {
				v, until := b.Decide(now)
				switch {
				case v == Admit:
					id := b.Add(now)
					if conns[id] != nil {
						t.Fatalf("seed %d: %d is given out twice", seed, id)
					}
					conns[id] = &modelConn{connectedAt: now, idleSince: now, slow: rng.IntN(4) == 0}
				case v == Wait && until <= now:
					t.Fatalf("seed %d: leave until %d, now %d", seed, until, now)
				case v == Evict && len(b.closeActions) == 0:
					t.Fatalf("seed %d: again, and nothing to do", seed)
				case v == Reject && b.InUse() < l.MaxConns && b.Unvalidated() < l.MaxUnvalidated:
					t.Fatalf("seed %d: turned away with %d places free", seed, l.MaxConns-b.InUse())
				}
				check(true)
			}
			for id, c := range conns { // order does not matter here
				if rng.IntN(8) > 0 || c.slow && rng.IntN(40) > 0 {
					continue
				}
				switch {
				case c.awaitingReply:
					c.awaitingReply, c.idleSince = false, now
					b.ReplyWritten(id, now)
				case c.midCommand:
					what := CommandKind(rng.IntN(3))
					c.midCommand, c.awaitingReply, c.sentCommand = false, true, true
					if what != CommandInvalid {
						c.validated = true
					}
					if what == CommandRequest {
						c.requests++
					}
					b.CommandRead(id, what, now)
				case rng.IntN(5) == 0:
					gone(id)
				default:
					c.midCommand, c.commandStartedAt = true, now
					b.CommandStarted(id, now)
				}
				check(false)
			}
			if rng.IntN(700) == 0 && !stopping {
				stopping = true
				b.Shutdown(now)
				check(false)
				if n := b.Count(StateUnvalidated) + b.Count(StateIdleSingleUse) + b.Count(StateIdle); n > 0 {
					t.Fatalf("seed %d: %d stay though the relay ends", seed, n)
				}
			}
			if rng.IntN(200) == 0 {
				full = true
				b.OutOfDescriptors(now)
				check(true)
				if v, until := b.Decide(now); v != Wait || until < now+l.EvictionWait {
					t.Fatalf("seed %d: out of descriptors, and %v until %d", seed, v, until)
				}
			}
		}
	}
}

// floodBehavior is how one of a crowd behaves once it is let in: when it sends what.
type floodBehavior struct {
	ping   bool // one command that is understood
	half   bool // a byte, and then no more in time
	faulty bool // rubbish, again as soon as that was answered
}

// No crowd that comes back as soon as it is closed keeps a usual client, who
// asks as soon as he is let in, from his place for longer than he waits for an
// answer; nor makes the relay close one that is in use. One that leaves half
// commands can: these may not be closed before 2 s. There the relay tells the
// client at once to go elsewhere.
func TestFloodsDoNotStarveClients(t *testing.T) {
	for name, kind := range map[string]floodBehavior{"silent": {}, "ping": {ping: true}, "faulty": {faulty: true}, "half": {half: true}} {
		t.Run(name, func(t *testing.T) {
			l := DefaultLimits(168, 256)
			b := newTestLimiter(t, l)
			type caller struct {
				usual   bool
				knocked Time
			}
			var queue []caller
			type held struct {
				caller
				next Time // when its next step is
				step int
			}
			in := map[SlotID]*held{}
			var order []SlotID // so that every run is the same
			rng := rand.New(rand.NewPCG(1, 2))
			for range 300 {
				queue = append(queue, caller{knocked: 0})
			}
			served, away, worst := 0, 0, Time(0)
			usualOpen := 0
			close := func(id SlotID, now Time) {
				h := in[id]
				b.Remove(id)
				delete(in, id)
				for i := range order {
					if order[i] == id {
						order = append(order[:i], order[i+1:]...)
						break
					}
				}
				if h.usual {
					usualOpen--
				} else {
					queue = append(queue, caller{knocked: now + 5e3})
				}
			}
			carry := func(now Time) {
				for orders := b.TakeCloseActions(); len(orders) > 0; orders = b.TakeCloseActions() {
					for _, o := range append([]CloseAction(nil), orders...) {
						if in[o.Slot] != nil {
							close(o.Slot, now)
						}
					}
				}
			}
			const tick = 1e3
			for now := Time(0); now < 20e6; now += tick {
				if rng.IntN(10) == 0 { // a hundred new clients a second
					queue = append(queue, caller{usual: true, knocked: now})
				}
				for more := true; more; {
					more = b.Advance(now, 64)
					carry(now)
				}
				for _, id := range append([]SlotID(nil), order...) {
					h := in[id]
					if h == nil || now < h.next {
						continue
					}
					h.step++
					switch {
					case h.usual && h.step == 1:
						b.CommandStarted(id, now)
						b.CommandRead(id, CommandRequest, now)
						h.next = now + 3e3
					case h.usual && h.step == 2:
						b.ReplyWritten(id, now)
						h.next = now + 500e3 // and then leaves
					case h.usual:
						close(id, now)
					case kind.half:
						b.CommandStarted(id, now)
						h.next = 1 << 60
					case kind.ping && h.step == 1:
						b.CommandStarted(id, now)
						b.CommandRead(id, CommandControl, now)
						b.ReplyWritten(id, now)
						h.next = 1 << 60
					case kind.faulty && h.step%2 == 1:
						b.CommandStarted(id, now)
						b.CommandRead(id, CommandInvalid, now)
						h.next = now + 100e3
					case kind.faulty:
						b.ReplyWritten(id, now)
						h.next = now
					}
					carry(now)
				}
				for tries := 0; tries < 40 && len(queue) > 0 && queue[0].knocked <= now; tries++ {
					v, _ := b.Decide(now)
					carry(now)
					if v == Wait {
						break
					}
					if v == Evict {
						continue
					}
					head := queue[0]
					queue = queue[1:]
					if v == Reject {
						if head.usual {
							away++
							worst = max(worst, now-head.knocked)
						} else {
							queue = append(queue, caller{knocked: now + 5e3})
						}
						continue
					}
					id := b.Add(now)
					in[id], order = &held{caller: head, next: now}, append(order, id)
					if head.usual {
						usualOpen++
						served++
						worst = max(worst, now-head.knocked)
					}
				}
				if len(queue) == 0 {
					b.QueueEmptied()
				}
			}
			t.Logf("%d clients served, %d sent away, longest in the queue %d ms", served, away, worst/1000)
			if worst > 400e3 {
				t.Errorf("a client waited %d ms", worst/1000)
			}
			if !kind.half && (away > 0 || served < 1900) {
				t.Errorf("%d served, %d sent away", served, away)
			}
		})
	}
}

// While all places are taken by commands under way the head of the queue waits
// for one, but not for longer than its client would.
func TestListenQueueWaitIsBounded(t *testing.T) {
	l := smallLimits()
	l.MaxUnvalidated = l.MaxConns
	b := newTestLimiter(t, l)
	for range l.MaxConns {
		id := b.Add(0)
		b.CommandStarted(id, 0)
		b.CommandRead(id, CommandRequest, 0)
	}
	if v, until := b.Decide(1000); v != Wait || until > 1000+l.MaxQueueWait {
		t.Fatalf("%v until %d", v, until)
	}
	if v, _ := b.Decide(1000 + l.MaxQueueWait - 1); v != Wait {
		t.Fatal(v)
	}
	if v, _ := b.Decide(1000 + l.MaxQueueWait); v != Reject {
		t.Fatal(v)
	}
	b.QueueEmptied()
	if v, _ := b.Decide(1001 + l.MaxQueueWait); v != Wait {
		t.Error("a new queue has no patience")
	}
	b.Remove(3)
	if v, _ := b.Decide(1002 + l.MaxQueueWait); v != Admit {
		t.Error("a place is free")
	}
}

// The one that goes for another has been idle for longest, whatever else it did.
func TestLongestIdleIsEvicted(t *testing.T) {
	for name, asks := range map[string][2]int{"asked once": {1, 2}, "asked more": {2, 1}} {
		l := smallLimits()
		l.MaxConns = 2
		b := newTestLimiter(t, l)
		for i, n := range asks {
			id := b.Add(Time(i))
			for range n {
				b.CommandStarted(id, Time(10*i))
				b.CommandRead(id, CommandRequest, Time(10*i))
				b.ReplyWritten(id, Time(10*i))
			}
		}
		if v, _ := b.Decide(100e3); v != Evict {
			t.Fatal(v)
		}
		if o := b.TakeCloseActions(); len(o) != 1 || o[0] != (CloseAction{0, CloseEvictIdle}) {
			t.Errorf("%s, and idle for longest: %v", name, o)
		}
	}
}

func TestShedRequest(t *testing.T) {
	l := DefaultLimits(100, 200)
	for _, x := range []struct {
		waited Time
		queued int
		each   Time
		back   Time
		refuse bool
	}{{0, 1e6, 100, 0, false}, {l.MaxQueueWait - 1, 1e6, 100, 0, false}, {l.MaxQueueWait, 10, 20, 200e3, true}, {l.MaxQueueWait, 100_000, 40, 8e6, true}} {
		if back, refuse := l.ShedRequest(x.waited, x.queued, x.each); back != x.back || refuse != x.refuse {
			t.Errorf("%+v: %d, %v", x, back, refuse)
		}
	}
}

func TestLimitsValidate(t *testing.T) {
	for name, spoil := range map[string]func(*Limits){"places": func(l *Limits) { l.MaxConns = 0 }, "held": func(l *Limits) { l.SingleUseEvictionThreshold = -1 },
		"tick": func(l *Limits) { l.TimerTick = 0 }, "quiet": func(l *Limits) { l.IdleTimeout = 0 }} {
		l := smallLimits()
		spoil(&l)
		if _, err := New(l, 0); err == nil {
			t.Errorf("%s is not checked", name)
		}
	}
}

// What a connection costs here, and what its turn does.
func BenchmarkCommandAndReply(b *testing.B) {
	book := newTestLimiter(b, DefaultLimits(100_000, 200_000))
	for range 50_000 {
		book.Add(0)
	}
	b.ReportAllocs()
	now := Time(0)
	for i := 0; b.Loop(); i++ {
		now++
		id := SlotID(i % 50_000)
		book.CommandStarted(id, now)
		book.CommandRead(id, CommandRequest, now)
		book.ReplyWritten(id, now)
		book.TakeCloseActions()
	}
}
