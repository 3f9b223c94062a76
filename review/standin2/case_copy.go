package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of this case.
const (
	copyDest    = 4
	copyRelays  = 12
	copyService = 100 * time.Millisecond
	copyOneWay  = 45 * time.Millisecond // between halls
	copyBehind  = 20 * time.Millisecond // a second copy is written so long after its answer
	copySpan    = 200 * time.Millisecond
	copySilence = 9 * time.Second
)

// copyPartner stands in for a partner some of whose answers are followed by a second copy, and which then goes silent.
type copyPartner struct {
	world *world
	mu    sync.Mutex
	from  time.Time // of the silence; zero before it is known
	// The answers with 200 that were written, and the calls that came, by message.
	answered map[string]time.Time
	came     map[string]int
	copies   int
}

// silentAt reports whether the partner says nothing at a time.
func (p *copyPartner) silentAt(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.from.IsZero() && t.After(p.from) && t.Before(p.from.Add(copySilence))
}

// sendsCopy reports whether a copy follows an answer that is written now.
func (p *copyPartner) sendsCopy(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.world.trouble && !p.from.IsZero() && t.After(p.from.Add(-copySpan)) && t.Before(p.from.Add(-copyBehind))
}

func (p *copyPartner) serve(conn net.Conn, name string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Request-ID")
		p.mu.Lock()
		p.came[id]++
		p.mu.Unlock()
		p.world.log("%s call %s", name, id)
		time.Sleep(copyService)
		now := time.Now()
		if p.silentAt(now) {
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		p.mu.Lock()
		p.answered[id] = now
		p.mu.Unlock()
		p.world.log("%s answered %s with 200", name, id)
		if !p.sendsCopy(now) {
			continue
		}
		// The copy follows only if nothing else waits on the connection by then.
		_ = conn.SetReadDeadline(now.Add(copyBehind))
		_, err = reader.Peek(1)
		_ = conn.SetReadDeadline(time.Time{})
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			p.mu.Lock()
			p.copies++
			p.mu.Unlock()
			p.world.log("%s writes a second copy of the answer to %s", name, id)
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	}
}

// endpoint starts an endpoint of the partner, in another hall than the relays, and returns its entry in the list.
func (p *copyPartner) endpoint(name, hall string) member {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn, name)
		}
	}()
	return member{
		ID: name, HostPort: delayed(listener.Addr().String(), copyOneWay), Locality: hall, Flavor: "lanac", Cell: copyDest,
		Phase: "up", Size: 600,
	}
}

// caseCopy: some answers of a partner are followed by a second copy, and then it goes silent.
func caseCopy(w *world) bool {
	p := &copyPartner{world: w, answered: map[string]time.Time{}, came: map[string]int{}}
	// A relay gets 120 messages a second, of which 27% are for this partner: 32 a second, from eight clients.
	members := []member{p.endpoint("s-1", "dvorana-b"), p.endpoint("s-2", "dvorana-c")}
	deployment := smallDeployment(copyRelays)
	deadlines := map[string]time.Duration{"termin": 8 * time.Second, "narudzba": 12 * time.Second, "placanje": 12 * time.Second}
	for _, class := range deployment["classes"].([]any) {
		settings := class.(map[string]any)
		settings["deadline_us"] = deadlines[settings["name"].(string)].Microseconds()
	}
	deployment["specifics"].(map[string]any)["calls_out"] = 60
	deployment["limits"].(map[string]any)["most_held"] = 500
	for i := range copyRelays {
		name := fmt.Sprintf("n%d", i+1)
		w.newRelay(name, deployment, w.newAgent("agent-"+name, members)).start()
	}
	l := newLoad()
	classes := []string{"termin", "termin", "termin", "termin", "narudzba", "narudzba", "narudzba", "placanje"}
	for _, r := range w.relays {
		for _, class := range classes {
			l.runAtRandom(w, r, 250*time.Millisecond, func() *message {
				m := &message{id: newID("9b1f03aa"), class: class, dest: copyDest, lifetime: deadlines[class], body: "{}"}
				if class == "narudzba" {
					m.key = newID("5c0f")
				}
				return m
			})
		}
	}
	time.Sleep(6 * time.Second)
	p.mu.Lock()
	p.from = time.Now().Add(copySpan)
	p.mu.Unlock()
	w.log("the partner is silent from %.3f on, for %v", w.since(p.from), copySilence)
	time.Sleep(2 * time.Second)
	messages := l.end()
	time.Sleep(deadlines["placanje"] + time.Second)
	lost := map[string]int{}
	accepted, delivered, ended := 0, 0, 0
	for _, m := range messages {
		if !m.accepted() {
			continue
		}
		accepted++
		p.mu.Lock()
		_, answered := p.answered[m.id]
		came := p.came[m.id]
		p.mu.Unlock()
		notices := m.relay.agent.noticesOf(m.id)
		switch {
		case answered:
			delivered++
		case len(notices) > 0:
			ended++
		default:
			lost[m.class]++
			w.log("LOST: %s %s, taken on by %s at %.3f, called %d times, neither answered with 200 nor ended by a notice %.1f s later",
				m.class, m.id, m.relay.name, w.since(m.answeredAt), came, time.Since(m.answeredAt).Seconds())
		}
	}
	require(delivered > 100, "only %d messages were delivered", delivered)
	w.say("taken on %d, delivered %d, ended by a notice %d, second copies %d; lost: %v", accepted, delivered, ended, p.copies, lost)
	return len(lost) > 0
}
