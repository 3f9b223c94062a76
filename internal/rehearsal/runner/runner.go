// Package runner plays a plan: it starts relay processes, stand-in partners,
// the stand-in registry and the load driver on loopback, has faults begin and
// end at their moments, and brings everything that happens to the referee. It
// must never decide how a rehearsal went; it hands over what it saw.
package runner

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/emulator/endpoint/h1"
	"troutusher/internal/emulator/registry"
	"troutusher/internal/event"
	"troutusher/internal/rehearsal/checker"
	"troutusher/internal/rehearsal/loadgen"
	"troutusher/internal/rehearsal/scenario"
)

// Options say how a plan is played.
type Options struct {
	Command  []string                   // starts a relay; its configuration is named in the environment
	Env      []string                   // more of a relay's environment
	Dir      string                     // for configurations, state and logs; a new one each time
	Progress func(Progress)             // called now and then; may be nil
	Watch    func(*event.Event)         // is shown everything that happens; may be nil
	Ready    func(*Stage) error         // called once all relays are ready; may be nil
	Relays   func(i int, a Agent) Agent // puts doubles in the place of relays; nil for none
}

// Agent is where the driver reaches a relay. Tests put a double there.
type Agent struct {
	Listen    string
	Discovery string
	Process   bool // a relay process is started for it
}

// Progress is how far a rehearsal is.
type Progress struct {
	At         time.Duration // since its beginning
	Of         time.Duration
	Begun      int
	Open       int
	Violations int
	Faults     []string // that hold now
}

// Outcome is what was seen.
type Outcome struct {
	Plan       *scenario.Plan
	Start      event.Time // moment of the plan's beginning in the record
	End        event.Time
	Results    []loadgen.Result
	Violations []checker.Violation
	Starts     checker.Starts // what restarts found untried
	Crashes    []string       // relays that ended by themselves, and what else makes the relays fail
	Trouble    []string       // what went wrong in the kit itself: the run is void
	Calls      []Calls        // by partner
	Door       int            // requests that met a connection refused, reset or closed unread
	LateDriver event.Time
	LateWorld  event.Time // of the stand-ins
	Answers    *hdrhistogram.Histogram
	Delivery   *hdrhistogram.Histogram
	MemoryKB   []int // of each relay: the most resident memory
}

// Stage is one rehearsal.
type Stage struct {
	plan    *scenario.Plan
	opt     Options
	began   time.Time
	hub     *hub
	secrets *secrets // nil without TLS
	world   *h1.Server
	reg     *registry.Registry
	relays  []*relay
	agents  []Agent
	spawn   *spawner
	driver  *loadgen.Driver
	start   atomic.Int64 // moment of the plan's beginning

	mu      sync.Mutex
	crashes []string
	trouble []string
	holding map[string]int // faults that hold now
	jobs    sync.WaitGroup
}

func (s *Stage) now() event.Time { return time.Since(s.began).Microseconds() }

// Open starts stand-ins and relays.
func Open(ctx context.Context, p *scenario.Plan, opt Options) (*Stage, error) {
	s := &Stage{plan: p, opt: opt, began: time.Now(), holding: map[string]int{}, spawn: newSpawner()}
	s.hub = &hub{
		judge: checker.New(p.Figures()), calls: make([]Calls, len(p.Specs)), watch: opt.Watch,
		tell: func(*event.Event) {},
	}
	for _, e := range p.Endpoints {
		s.hub.of = append(s.hub.of, e.Partner)
	}
	if err := s.open(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// open starts stand-ins, the load driver and relays.
func (s *Stage) open(ctx context.Context) error {
	if err := s.openEndpoints(); err != nil {
		return err
	}
	if err := s.openRegistry(); err != nil {
		return err
	}
	addrs, err := s.newRelays()
	if err != nil {
		return err
	}
	s.driver = loadgen.New(loadgen.Config{Plan: s.plan, Relays: addrs, Emit: s.hub.emit, Clock: s.now, Start: 0})
	s.hub.tell = s.driver.Happened
	return s.startRelays(ctx)
}

func (s *Stage) openEndpoints() error {
	p := s.plan
	n := p.Scenario.Relays.Count
	rules := endpoint.Rules{Relays: n, MaxInFlight: p.Slots(), MaxAttempts: p.Scenario.Relays.MaxAttempts}
	lookup := func(id string) (endpoint.Message, bool) { return s.driver.Lookup(id) }
	world, err := endpoint.New(p.Specs, rules, p.Work(), lookup, s.hub.emit)
	if err != nil {
		return err
	}
	if s.world, err = h1.New(world, n, s.now); err != nil {
		return err
	}
	if s.secrets, err = newSecrets(p, s.opt.Dir); err != nil {
		return err
	}
	if s.secrets != nil {
		s.world.EnableTLS(s.secrets.show)
	}
	return nil
}

func (s *Stage) openRegistry() (err error) {
	p := s.plan
	d := &p.Scenario.Discovery
	s.reg, err = registry.New(registry.Config{
		Relays: p.Scenario.Relays.Count, Seed: p.Seed, Clock: s.now, Emit: s.hub.emit,
		Delay: millis(d.DelayMS), DelaySpread: millis(d.SpreadMS), StaticMembers: quiet(p),
		Members: func(relay int) []registry.Member {
			return members(p, func(ep int) string { return s.world.Addr(ep, relay) })
		},
	})
	return err
}

// newRelays prepares the relays and returns the addresses where they listen.
func (s *Stage) newRelays() (addrs []string, err error) {
	env := s.opt.Env
	if s.secrets != nil {
		env = append(slices.Clone(env), s.secrets.env())
	}
	for i := range s.plan.Scenario.Relays.Count {
		r, err := newRelay(i, s.plan, s.reg, s.spawn, s.opt.Command, s.opt.Dir)
		if err != nil {
			return nil, err
		}
		r.env, r.crashed = env, s.crashed
		s.relays = append(s.relays, r)
		a := Agent{Listen: r.listen, Discovery: s.reg.Addr(i), Process: true}
		if s.opt.Relays != nil {
			a = s.opt.Relays(i, a)
		}
		s.agents = append(s.agents, a)
		addrs = append(addrs, a.Listen)
	}
	return addrs, nil
}

// startRelays starts all relays at once and waits until they serve.
func (s *Stage) startRelays(ctx context.Context) error {
	errs := make([]error, len(s.relays))
	var wg sync.WaitGroup
	for i, r := range s.relays {
		if !s.agents[i].Process {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.mu.Lock()
			defer r.mu.Unlock()
			if errs[i] = r.start(ctx); errs[i] == nil {
				s.hub.emit(event.Event{At: s.now(), Kind: event.Ready, Relay: i})
			}
		}()
	}
	wg.Wait()
	return errors.Join(errs...)
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// crashed: a relay's process has ended and nobody asked it to.
func (s *Stage) crashed(i int, err error) {
	s.mu.Lock()
	s.crashes = append(s.crashes,
		fmt.Sprintf("relay %d ended by itself at %.1f s: %v", i+1, float64(s.now()-s.start.Load())/1e6, err))
	s.mu.Unlock()
	s.hub.emit(event.Event{At: s.now(), Kind: event.Killed, Relay: i})
	s.driver.Down(i, scenario.Micros(s.plan.Scenario.Clients.FrontNoticeMS))
}

// Close ends everything that was started.
func (s *Stage) Close() {
	if s.driver != nil {
		s.driver.Close()
	}
	s.jobs.Wait()
	for _, r := range s.relays {
		r.mu.Lock()
		r.kill()
		r.mu.Unlock()
	}
	if s.reg != nil {
		s.reg.Close()
	}
	if s.world != nil {
		s.world.Close()
	}
	close(s.spawn.done)
}

// Play plays a plan from beginning to end.
func Play(ctx context.Context, p *scenario.Plan, opt Options) (*Outcome, error) {
	s, err := Open(ctx, p, opt)
	if err != nil {
		return nil, err
	}
	closed := false
	defer func() {
		if !closed {
			s.Close()
		}
	}()
	if opt.Ready != nil {
		if err := opt.Ready(s); err != nil {
			return nil, err
		}
	}
	s.run(ctx)
	o := s.outcome()
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("the rehearsal was broken off: %w", err)
	}
	s.Close()
	closed = true
	for _, r := range s.relays {
		o.MemoryKB = append(o.MemoryKB, r.peakKB)
	}
	return o, nil
}

const leadIn = 200 * time.Millisecond

func (s *Stage) run(ctx context.Context) {
	s.start.Store(s.now() + leadIn.Microseconds())
	s.driver.Begin(s.start.Load())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); s.faults(ctx) }()
	go func() { defer wg.Done(); s.progress(ctx) }()
	// The last message's time is up by then, and its end is in.
	longest := 0.0
	for _, c := range s.plan.Scenario.Classes {
		longest = max(longest, c.DeadlineMS)
	}
	limit := time.Duration(
		s.plan.Scenario.LengthS*1000+longest+s.plan.Scenario.Rules.EndSlackMS+s.plan.Scenario.Rules.RestartGraceMS+3000,
	)*time.Millisecond + leadIn
	play, stop := context.WithTimeout(ctx, limit)
	defer stop()
	s.driver.Run(play)
	cancel()
	wg.Wait()
	s.jobs.Wait()
}

func (s *Stage) say(to *[]string, format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*to = append(*to, fmt.Sprintf(format, a...))
}

// progress tells now and then how far the rehearsal is.
func (s *Stage) progress(ctx context.Context) {
	if s.opt.Progress == nil {
		return
	}
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.opt.Progress(s.far())
		}
	}
}

func (s *Stage) outcome() *Outcome {
	late, err := s.world.TimerLag(99)
	o := &Outcome{
		Plan: s.plan, Start: s.start.Load(), End: s.now(), Results: s.driver.Results(), Door: s.driver.Door(),
		LateDriver: s.driver.Late(99), LateWorld: late,
	}
	if err != nil {
		s.say(&s.trouble, "%v", err)
	}
	o.Answers, o.Delivery = s.driver.Latencies()
	s.hub.mu.Lock()
	s.hub.judge.Finish(s.now())
	o.Violations, o.Starts = s.hub.judge.Violations(), s.hub.judge.Starts()
	o.Calls = slices.Clone(s.hub.calls)
	s.hub.mu.Unlock()
	for i := range o.Violations {
		o.Violations[i].At -= s.start.Load()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o.Crashes, o.Trouble = slices.Clone(s.crashes), slices.Clone(s.trouble)
	return o
}

// Dir is the folder that rehearsals keep their files in: a new one under the
// system's folder for such things, and what removes it.
func Dir() (string, func(), error) {
	dir, err := os.MkdirTemp("", "troutusher-rehearsal-")
	if err != nil {
		return "", nil, err
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}
