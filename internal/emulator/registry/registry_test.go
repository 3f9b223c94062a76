package registry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"troutusher/internal/event"
)

type harness struct {
	t        *testing.T
	registry *Registry
	mu       sync.Mutex
	events   []event.Event
}

func newHarness(t *testing.T, delay, spread time.Duration) *harness {
	t.Helper()
	x := &harness{t: t}
	began := time.Now()
	r, err := New(Config{
		Relays: 2, Delay: delay, DelaySpread: spread, Seed: 3,
		Members: func(relay int) []Member {
			var m []Member
			for i := range 3 {
				m = append(
					m,
					Member{
						ID: fmt.Sprint(
							"s-",
							i,
						),
						HostPort: fmt.Sprintf("127.0.0.1:%d", 100*relay+i),
						Cell:     1,
						Phase:    PhaseUp,
					},
				)
			}
			return m
		},
		Clock: func() event.Time { return time.Since(began).Microseconds() },
		Emit:  func(e event.Event) { x.mu.Lock(); defer x.mu.Unlock(); x.events = append(x.events, e) },
	})
	if err != nil {
		t.Fatal(err)
	}
	x.registry = r
	t.Cleanup(r.Close)
	return x
}

// watch opens a watch and returns its lines.
func (x *harness) watch(addr string, from int64) chan List {
	x.t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", addr, from))
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { _ = resp.Body.Close() })
	lines := make(chan List, 16)
	go func() {
		defer close(lines)
		for in := bufio.NewScanner(resp.Body); in.Scan(); {
			var l List
			if len(in.Bytes()) > 0 && json.Unmarshal(in.Bytes(), &l) == nil {
				lines <- l
			}
		}
	}()
	return lines
}

func (x *harness) nextLine(lines chan List) List {
	x.t.Helper()
	select {
	case l, ok := <-lines:
		if !ok {
			x.t.Fatal("the watch is over")
		}
		return l
	case <-time.After(20 * time.Second):
		x.t.Fatal("no line came")
	}
	return List{}
}

func (x *harness) fetchList(addr string) List {
	x.t.Helper()
	resp, err := http.Get("http://" + addr + "/registry/instances")
	if err != nil {
		x.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var l List
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		x.t.Fatal(err)
	}
	return l
}

func (x *harness) sawUpdate(relay, ep, what int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, e := range x.events {
		if e.Kind == event.Told && e.Relay == relay && e.Endpoint == ep && e.Status == what {
			return true
		}
	}
	return false
}

func (x *harness) waitFor(what string, cond func() bool) {
	x.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return
		}
	}
	x.t.Fatalf("never came: %s", what)
}

func TestListAndWatch(t *testing.T) {
	x := newHarness(t, 0, 0)
	if l := x.fetchList(x.registry.Addr(0)); !l.Complete || len(l.Members) != 3 || l.Revision != 1 {
		t.Fatalf("list: %+v", l)
	}
	lines := x.watch(x.registry.Addr(0), 1)
	x.registry.SetPhase(1, PhaseDraining)
	if l := x.nextLine(lines); l.Complete || len(l.Members) != 1 || l.Members[0].ID != "s-1" ||
		l.Members[0].Phase != PhaseDraining {
		t.Errorf("change: %+v", l)
	}
	x.waitFor("told", func() bool { return x.sawUpdate(0, 1, event.ToldDraining) })
	if x.sawUpdate(1, 1, event.ToldDraining) {
		t.Error("the other relay was told, which asked for nothing")
	}
	x.registry.SetPhase(2, PhaseRemoved)
	if l := x.nextLine(lines); len(l.Members) != 1 || l.Members[0].Phase != PhaseRemoved {
		t.Errorf("removal: %+v", l)
	}
	if l := x.fetchList(x.registry.Addr(0)); len(l.Members) != 2 {
		t.Errorf("list: %+v", l)
	}
	if l := x.nextLine(x.watch(x.registry.Addr(0), 1)); len(l.Members) != 2 || l.Complete {
		t.Errorf("what changed after 1: %+v", l)
	}
	if l := x.nextLine(x.watch(x.registry.Addr(0), 0)); !l.Complete {
		t.Errorf("from before the beginning: %+v", l)
	}
	if l := x.nextLine(x.watch(x.registry.Addr(0), 99)); !l.Complete {
		t.Errorf("from a version of another: %+v", l)
	}
}

func TestChangesArriveInOrderThoughDelaysDiffer(t *testing.T) {
	x := newHarness(t, 0, 30*time.Millisecond)
	lines := x.watch(x.registry.Addr(1), 1)
	var want []string
	for i := range 10 {
		phase := []string{PhaseDraining, PhaseUp}[i%2]
		x.registry.SetPhase(0, phase)
		want = append(want, phase)
	}
	var got []string
	for len(got) < 10 {
		l := x.nextLine(lines)
		if l.Revision-1 > int64(len(got)) { // several may come in one line, the last of them told
			for len(got) < int(l.Revision-1) {
				got = append(got, want[len(got)])
			}
		}
		if l.Members[0].Phase != got[len(got)-1] {
			t.Fatalf("revision %d says %s", l.Revision, l.Members[0].Phase)
		}
	}
}

func TestSilentStaleAndDelayedAgents(t *testing.T) {
	x := newHarness(t, 0, 0)
	x.registry.SetSilent(0, true)
	x.registry.SetStale(1, true)
	asked := make(chan List, 1)
	go func() { asked <- x.fetchList(x.registry.Addr(0)) }()
	x.registry.SetPhase(0, PhaseDraining)
	x.waitFor(
		"held back",
		func() bool { a := x.registry.agents[1]; a.mu.Lock(); defer a.mu.Unlock(); return len(a.withheld) == 1 },
	)
	if l := x.fetchList(x.registry.Addr(1)); l.Members[0].Phase != PhaseUp {
		t.Errorf("stale: %+v", l)
	}
	x.registry.SetStale(1, false)
	if l := x.fetchList(x.registry.Addr(1)); l.Members[0].Phase != PhaseDraining {
		t.Errorf("no longer stale: %+v", l)
	}
	select {
	case <-asked:
		t.Error("a silent agent spoke")
	default:
	}
	x.registry.SetSilent(0, false)
	if l := <-asked; len(l.Members) != 3 {
		t.Errorf("once it speaks: %+v", l)
	}
	x.registry.SetExtraDelay(0, 80*time.Millisecond, true)
	at := time.Now()
	lines := x.watch(x.registry.Addr(0), 2)
	x.registry.SetPhase(1, PhaseDraining)
	x.nextLine(lines)
	if d := time.Since(at); d < 80*time.Millisecond {
		t.Errorf("late by %v", d)
	}
	x.registry.SetExtraDelay(0, 80*time.Millisecond, false)
	if n := len(x.registry.agents[0].extraDelays); n != 0 {
		t.Errorf("%d delays left", n)
	}
}

// A change that is late holds up the one after it, though that is not.
func TestDelayedChangeHoldsUpTheNext(t *testing.T) {
	x := newHarness(t, 0, 0)
	lines := x.watch(x.registry.Addr(0), 1)
	x.registry.SetExtraDelay(0, 120*time.Millisecond, true)
	at := time.Now()
	x.registry.SetPhase(0, PhaseDraining)
	x.registry.SetExtraDelay(0, 120*time.Millisecond, false)
	x.registry.SetPhase(1, PhaseDraining)
	for n := 0; n < 2; {
		l := x.nextLine(lines)
		if n += len(l.Members); time.Since(at) < 120*time.Millisecond {
			t.Fatalf("%+v after %v", l, time.Since(at))
		}
	}
}

func TestChangeOfAddress(t *testing.T) {
	x := newHarness(t, 0, 0)
	old := x.registry.Addr(0)
	lines := x.watch(old, 1)
	addr, err := x.registry.ChangeAddress(0)
	if err != nil || addr == old || x.registry.Addr(0) != addr {
		t.Fatalf("moved to %s, %v", addr, err)
	}
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if _, err := fresh.Get("http://" + old + "/registry/instances"); err == nil {
		t.Error("the old address took a connection")
	}
	if l := x.fetchList(addr); len(l.Members) != 3 {
		t.Errorf("at the new one: %+v", l)
	}
	for range lines { // ends when the old address closes it
	}
}

func TestNotices(t *testing.T) {
	x := newHarness(t, 0, 0)
	post := func(body string) int {
		resp, err := http.Post("http://"+x.registry.Addr(1)+"/reports", "", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	x.registry.SetSilent(1, true) // notices are taken all the same
	if n := post(
		"{\"message\":\"a\",\"outcome\":\"given_up\"}\n\n{\"message\":\"b\",\"outcome\":\"handed_back\"," +
			"\"retry_in_ms\":500}\n",
	); n != 204 {
		t.Errorf("status %d", n)
	}
	if len(x.events) != 2 || x.events[1].ID != "b" || x.events[1].Status != event.NoticeHandedBack ||
		x.events[1].Wait != 500_000 || x.events[1].Relay != 1 {
		t.Errorf("said %+v", x.events)
	}
	for _, bad := range []string{
		"{", "{\"message\":\"a\",\"outcome\":\"lost\"}", "{\"outcome\":\"given_up\"}",
		"{\"message\":\"c\",\"outcome\":\"given_up\"}\nrubbish", strings.Repeat("x", maxNoticeBytes+1),
	} {
		if n := post(bad); n != 400 {
			t.Errorf("%.40q: status %d", bad, n)
		}
	}
	if len(x.events) != 2 {
		t.Errorf("part of a bad one was taken: %+v", x.events)
	}
}

// FuzzReports: no notice, however odd, does more than be refused whole.
func FuzzReports(f *testing.F) {
	f.Add("{\"message\":\"a\",\"outcome\":\"given_up\"}\n")
	f.Add("{\"message\":\"a\",\"outcome\":\"handed_back\",\"retry_in_ms\":-5}\n{}")
	f.Fuzz(func(t *testing.T, body string) {
		said := 0
		a := &agent{cfg: &Config{Clock: func() event.Time { return 0 }, Emit: func(event.Event) { said++ }}}
		w := httptest.NewRecorder()
		a.serveNotices(w, httptest.NewRequest(http.MethodPost, "/reports", strings.NewReader(body)))
		if w.Code != 204 && (w.Code != 400 || said > 0) {
			t.Fatalf("status %d, %d taken", w.Code, said)
		}
	})
}
