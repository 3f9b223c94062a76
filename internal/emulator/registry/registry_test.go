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

// harness runs a registry for two relays with three endpoints, and records its events.
type harness struct {
	t        *testing.T
	registry *Registry
	mu       sync.Mutex
	events   []event.Event
}

func newHarness(t *testing.T, delay, spread time.Duration) *harness {
	t.Helper()
	h := &harness{t: t}
	began := time.Now()
	r, err := New(Config{
		Relays: 2, Delay: delay, DelaySpread: spread, Seed: 3,
		Members: threeMembers,
		Clock:   func() event.Time { return time.Since(began).Microseconds() },
		Emit: func(e event.Event) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.events = append(h.events, e)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	h.registry = r
	t.Cleanup(r.Close)
	return h
}

func threeMembers(relay int) []Member {
	var members []Member
	for i := range 3 {
		members = append(members, Member{
			ID: fmt.Sprint("s-", i), HostPort: fmt.Sprintf("127.0.0.1:%d", 100*relay+i), Cell: 1, Phase: PhaseUp,
		})
	}
	return members
}

// watch opens a watch and returns its updates.
func (h *harness) watch(addr string, from int64) chan List {
	h.t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", addr, from))
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = resp.Body.Close() })
	lines := make(chan List, 16)
	go func() {
		defer close(lines)
		for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
			var list List
			if len(scanner.Bytes()) > 0 && json.Unmarshal(scanner.Bytes(), &list) == nil {
				lines <- list
			}
		}
	}()
	return lines
}

func (h *harness) nextLine(lines chan List) List {
	h.t.Helper()
	select {
	case list, ok := <-lines:
		if !ok {
			h.t.Fatal("the watch ended, want another line")
		}
		return list
	case <-time.After(20 * time.Second):
		h.t.Fatal("the watch sent no line within 20 s")
	}
	return List{}
}

func (h *harness) fetchList(addr string) List {
	h.t.Helper()
	resp, err := http.Get("http://" + addr + "/registry/instances")
	if err != nil {
		h.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var list List
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		h.t.Fatal(err)
	}
	return list
}

// updateSent reports whether the registry has sent a relay an update with a status of an
// endpoint.
func (h *harness) updateSent(relay, endpoint, status int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.events {
		if e.Kind == event.EndpointUpdateSent && e.Relay == relay && e.Endpoint == endpoint && e.Status == status {
			return true
		}
	}
	return false
}

func (h *harness) waitFor(what string, cond func() bool) {
	h.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return
		}
	}
	h.t.Fatalf("timed out after 20 s waiting for %s", what)
}

// An agent serves the complete list, and on a watch only the members that changed since the client's
// revision. If it does not have all changes since then, it sends the complete list. It emits an event
// only for an update that it has sent to a relay.
func TestListAndWatch(t *testing.T) {
	h := newHarness(t, 0, 0)
	if list := h.fetchList(h.registry.Addr(0)); !list.Complete || len(list.Members) != 3 || list.Revision != 1 {
		t.Fatalf("first list = %+v, want a complete list of 3 members at revision 1", list)
	}
	lines := h.watch(h.registry.Addr(0), 1)
	h.registry.SetPhase(1, PhaseDraining)
	if list := h.nextLine(lines); list.Complete || len(list.Members) != 1 || list.Members[0].ID != "s-1" ||
		list.Members[0].Phase != PhaseDraining {
		t.Errorf("update on the watch = %+v, want only s-1, draining", list)
	}
	h.waitFor("the event of the update", func() bool { return h.updateSent(0, 1, event.UpdateDraining) })
	if h.updateSent(1, 1, event.UpdateDraining) {
		t.Error("an update was sent to the other relay, which has no watch")
	}
	h.registry.SetPhase(2, PhaseRemoved)
	if list := h.nextLine(lines); len(list.Members) != 1 || list.Members[0].Phase != PhaseRemoved {
		t.Errorf("update after a removal = %+v, want one removed member", list)
	}
	if list := h.fetchList(h.registry.Addr(0)); len(list.Members) != 2 {
		t.Errorf("list after a removal = %+v, want 2 members", list)
	}
	if list := h.nextLine(h.watch(h.registry.Addr(0), 1)); len(list.Members) != 2 || list.Complete {
		t.Errorf("watch from revision 1 = %+v, want the 2 changed members", list)
	}
	if list := h.nextLine(h.watch(h.registry.Addr(0), 0)); !list.Complete {
		t.Errorf("watch from before the first revision = %+v, want a complete list", list)
	}
	if list := h.nextLine(h.watch(h.registry.Addr(0), 99)); !list.Complete {
		t.Errorf("watch from an unknown revision = %+v, want a complete list", list)
	}
}

// Updates with different random delays reach an agent in the order in which they were sent. Otherwise
// an endpoint could keep an outdated phase.
func TestChangesArriveInOrderThoughDelaysDiffer(t *testing.T) {
	h := newHarness(t, 0, 30*time.Millisecond)
	lines := h.watch(h.registry.Addr(1), 1)
	var want []Phase
	for i := range 10 {
		phase := []Phase{PhaseDraining, PhaseUp}[i%2]
		h.registry.SetPhase(0, phase)
		want = append(want, phase)
	}
	var got []Phase
	for len(got) < 10 {
		list := h.nextLine(lines)
		if list.Revision-1 > int64(len(got)) { // a line may combine several changes; it has the last phase
			for len(got) < int(list.Revision-1) {
				got = append(got, want[len(got)])
			}
		}
		if list.Members[0].Phase != got[len(got)-1] {
			t.Fatalf("phase at revision %d = %s, want %s", list.Revision, list.Members[0].Phase, got[len(got)-1])
		}
	}
}

// Guards the faults of an agent: a stale one withholds updates until it is no longer stale, a silent one
// answers a request only after the fault has ended, and an extra delay delays updates.
func TestSilentStaleAndDelayedAgents(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.registry.SetSilent(0, true)
	h.registry.SetStale(1, true)
	fetched := make(chan List, 1)
	go func() { fetched <- h.fetchList(h.registry.Addr(0)) }()
	h.registry.SetPhase(0, PhaseDraining)
	h.waitFor("the withheld update", func() bool {
		a := h.registry.agents[1]
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.withheld) == 1
	})
	if list := h.fetchList(h.registry.Addr(1)); list.Members[0].Phase != PhaseUp {
		t.Errorf("list of a stale agent = %+v, want the first member still up", list)
	}
	h.registry.SetStale(1, false)
	if list := h.fetchList(h.registry.Addr(1)); list.Members[0].Phase != PhaseDraining {
		t.Errorf("list of an agent that is no longer stale = %+v, want the first member draining", list)
	}
	select {
	case <-fetched:
		t.Error("a silenced agent answered")
	default:
	}
	h.registry.SetSilent(0, false)
	if list := <-fetched; len(list.Members) != 3 {
		t.Errorf("list of an agent that is no longer silenced = %+v, want 3 members", list)
	}
	h.registry.SetExtraDelay(0, 80*time.Millisecond, true)
	at := time.Now()
	lines := h.watch(h.registry.Addr(0), 2)
	h.registry.SetPhase(1, PhaseDraining)
	h.nextLine(lines)
	if d := time.Since(at); d < 80*time.Millisecond {
		t.Errorf("update arrived after %v, want at least 80ms", d)
	}
	h.registry.SetExtraDelay(0, 80*time.Millisecond, false)
	if n := len(h.registry.agents[0].extraDelays); n != 0 {
		t.Errorf("agent has %d extra delays after the removal of the only one, want 0", n)
	}
}

// A delayed update also delays a later update that has no delay of its own. Otherwise the
// two would arrive in the wrong order.
func TestDelayedChangeHoldsUpTheNext(t *testing.T) {
	h := newHarness(t, 0, 0)
	lines := h.watch(h.registry.Addr(0), 1)
	h.registry.SetExtraDelay(0, 120*time.Millisecond, true)
	at := time.Now()
	h.registry.SetPhase(0, PhaseDraining)
	h.registry.SetExtraDelay(0, 120*time.Millisecond, false)
	h.registry.SetPhase(1, PhaseDraining)
	for n := 0; n < 2; {
		list := h.nextLine(lines)
		if n += len(list.Members); time.Since(at) < 120*time.Millisecond {
			t.Fatalf("update %+v arrived after %v, want at least 120ms", list, time.Since(at))
		}
	}
}

// After a change of address, the agent accepts connections only at the new one, and closes the
// connections to the old one.
func TestChangeOfAddress(t *testing.T) {
	h := newHarness(t, 0, 0)
	old := h.registry.Addr(0)
	lines := h.watch(old, 1)
	addr, err := h.registry.ChangeAddress(0)
	if err != nil || addr == old || h.registry.Addr(0) != addr {
		t.Fatalf("ChangeAddress(0) = %s, error %v, want an address other than %s that Addr(0) returns", addr, err, old)
	}
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if _, err := fresh.Get("http://" + old + "/registry/instances"); err == nil {
		t.Error("the old address accepted a connection")
	}
	if list := h.fetchList(addr); len(list.Members) != 3 {
		t.Errorf("list at the new address = %+v, want 3 members", list)
	}
	for range lines { // ends when the agent closes the connections of the old address
	}
}

// Each notice in a body becomes an event, also while the agent leaves requests for the list unanswered.
// A body with an invalid notice is rejected as a whole.
func TestNotices(t *testing.T) {
	h := newHarness(t, 0, 0)
	post := func(body string) int {
		resp, err := http.Post("http://"+h.registry.Addr(1)+"/reports", "", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	h.registry.SetSilent(1, true) // does not apply to notices
	if n := post(
		"{\"message\":\"a\",\"outcome\":\"given_up\"}\n\n{\"message\":\"b\",\"outcome\":\"handed_back\"," +
			"\"retry_in_ms\":500}\n",
	); n != 204 {
		t.Errorf("status of valid notices = %d, want 204", n)
	}
	if len(h.events) != 2 || h.events[1].ID != "b" || h.events[1].Status != event.NoticeHandedBack ||
		h.events[1].Wait != 500_000 || h.events[1].Relay != 1 {
		t.Errorf("events = %+v, want 2; the second one for message b, handed back by relay 1 with a wait of 500 ms",
			h.events)
	}
	for _, invalid := range []string{
		"{", "{\"message\":\"a\",\"outcome\":\"lost\"}", "{\"outcome\":\"given_up\"}",
		"{\"message\":\"c\",\"outcome\":\"given_up\"}\nrubbish", strings.Repeat("x", maxNoticeBytes+1),
	} {
		if n := post(invalid); n != 400 {
			t.Errorf("status of body %.40q = %d, want 400", invalid, n)
		}
	}
	if len(h.events) != 2 {
		t.Errorf("events after invalid bodies = %+v, want no new ones", h.events)
	}
}

// A body of notices is accepted or rejected as a whole.
func FuzzNotices(f *testing.F) {
	f.Add("{\"message\":\"a\",\"outcome\":\"given_up\"}\n")
	f.Add("{\"message\":\"a\",\"outcome\":\"handed_back\",\"retry_in_ms\":-5}\n{}")
	f.Fuzz(func(t *testing.T, body string) {
		emitted := 0
		config := &Config{Clock: func() event.Time { return 0 }, Emit: func(event.Event) { emitted++ }}
		a := &agent{config: config}
		response := httptest.NewRecorder()
		a.serveNotices(response, httptest.NewRequest(http.MethodPost, "/reports", strings.NewReader(body)))
		if response.Code != 204 && (response.Code != 400 || emitted > 0) {
			t.Fatalf("status = %d with %d events, want 204, or 400 without events", response.Code, emitted)
		}
	})
}
