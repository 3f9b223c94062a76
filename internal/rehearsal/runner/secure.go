package runner

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"troutusher/internal/emulator/endpoint/h1"
	"troutusher/internal/operatorconfig"
	"troutusher/internal/rehearsal/scenario"
	"troutusher/internal/testca"
	"troutusher/internal/tlspolicy"
)

// The certificates of partners that are reached over TLS, made for one
// rehearsal, and the operator's file that has the relays believe them.

// secrets are what endpoints show.
type secrets struct {
	file string // the operator's

	mu    sync.Mutex
	shows []*h1.Show            // by endpoint, nil where it has no TLS
	by    map[string][]*h1.Show // by fault and endpoint
}

// newSecrets makes them in a folder; nil where no partner is reached over TLS and
// the relays are told nothing else.
func newSecrets(p *scenario.Plan, dir string) (*secrets, error) {
	s := &secrets{
		file: filepath.Join(dir, "operator.toml"), shows: make([]*h1.Show, len(p.Endpoints)),
		by: map[string][]*h1.Show{},
	}
	kinds := []string{
		scenario.TLSRotate, scenario.TLSExpired, scenario.TLSWrongName, scenario.TLSWrongRoot, scenario.TLSReset,
		scenario.TLSForget,
	}
	for _, k := range kinds {
		s.by[k] = make([]*h1.Show, len(p.Endpoints))
	}
	var text bytes.Buffer
	var err error
	must := func(m *testca.Issued, e error) *testca.Issued {
		if e != nil && err == nil {
			err = e
		}
		return m
	}
	year := testca.WithValidity(time.Now().Add(-time.Hour), time.Now().Add(24*365*time.Hour))
	root := must(testca.Issue(nil, "rehearsal", nil, testca.AsAuthority, year))
	stranger := must(testca.Issue(nil, "stranger", nil, testca.AsAuthority, year))
	if err != nil {
		return nil, err
	}
	mid, other := must(testca.Issue(root, "one", nil, testca.AsAuthority, year)), must(
		testca.Issue(root, "two", nil, testca.AsAuthority, year),
	)
	ours := must(testca.Issue(root, "relay.example.org", nil, year))
	if err != nil {
		return nil, err
	}
	roots, _, err := root.WriteFiles(dir, "roots", false)
	if err != nil {
		return nil, err
	}
	cert, key, err := ours.WriteFiles(dir, "relay", true)
	if err != nil {
		return nil, err
	}
	found, share := false, 0.0
	seen := map[int]bool{}
	for ep := range p.Endpoints {
		e := &p.Endpoints[ep]
		x := e.TLS
		if x == nil || seen[e.Partner] {
			continue
		}
		seen[e.Partner], found = true, true
		share = max(share, x.Share)
		name := p.Specs[e.Partner].Name + ".example.org"
		made := func(up *testca.Issued, name string, changes ...func(*testca.Template)) *testca.Issued {
			k, e := testca.NewKey(testca.KeyKind(x.Key))
			if e != nil && err == nil {
				err = e
				return nil
			}
			return must(testca.Issue(up, name, k, append([]func(*testca.Template){year}, changes...)...))
		}
		good, next := made(mid, name), made(other, name)
		bad := map[string]*testca.Issued{
			scenario.TLSExpired: made(
				mid, name, testca.WithValidity(time.Now().Add(-2*time.Hour), time.Now().Add(-time.Hour)),
			),
			scenario.TLSWrongName: made(mid, "other.example.org"),
			scenario.TLSWrongRoot: made(stranger, name),
		}
		if err != nil {
			return nil, err
		}
		show := func(m *testca.Issued, trusted bool) *h1.Show {
			cfg := &tls.Config{
				Certificates: []tls.Certificate{m.TLSCertificate()}, SessionTicketsDisabled: x.NoSessions,
			}
			switch x.Version {
			case "1.2":
				cfg.MaxVersion = tls.VersionTLS12
			case "1.3":
				cfg.MinVersion = tls.VersionTLS13
			}
			if x.WantsOurs {
				cfg.ClientAuth, cfg.ClientCAs = tls.RequireAndVerifyClientCert, root.RootPool()
			}
			// Keys of its own for sessions: what one certificate was shown for is
			// not resumed under another.
			cfg.SetSessionTicketKeys([][32]byte{tlspolicy.PinOf(m.Certificate)})
			return &h1.Show{Config: cfg, Delay: millis(x.DelayMS), Trusted: trusted}
		}
		usual, rotated := show(good, true), show(next, true)
		forgot := show(good, true)
		forgot.Config.SetSessionTicketKeys([][32]byte{{1}})
		for i := range p.Endpoints {
			if p.Endpoints[i].Partner != e.Partner {
				continue
			}
			s.shows[i] = usual
			s.by[scenario.TLSRotate][i], s.by[scenario.TLSForget][i] = rotated, forgot
			s.by[scenario.TLSReset][i] = &h1.Show{Reset: true}
			for k, m := range bad {
				s.by[k][i] = show(m, false)
			}
		}
		fmt.Fprintf(&text, "[[tls]]\nname = \"p%d\"\ndestinations = [%d]\nserver_name = %q\nroots = %q\n"+
			"pins = [%q, %q]\nhandshake_weight = %v\n",
			e.Partner, p.Specs[e.Partner].Dest, name, roots, tlspolicy.PinOf(good.Certificate),
			tlspolicy.PinOf(next.Certificate), x.Told)
		if x.WantsOurs {
			fmt.Fprintf(&text, "certificate = %q\nkey = %q\n", cert, key)
		}
	}
	if n := p.Scenario.Relays.Awake; n > 0 {
		found = true
		fmt.Fprintf(&text, "[rest]\nawake = %d\nquiet_s = 10\n", n)
	}
	if !found {
		return nil, nil
	}
	if share > 0 {
		fmt.Fprintf(&text, "[handshakes]\nshare = %v\n", share)
	}
	return s, testca.ReplaceFile(s.file, text.Bytes(), 0o600)
}

// show is what an endpoint shows now.
func (s *secrets) show(ep int) *h1.Show {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shows[ep]
}

// fault has endpoints show what a fault of theirs has them show, and returns how
// to end it.
func (s *secrets) fault(kind string, endpoints []int) (begin, end func()) {
	was := map[int]*h1.Show{}
	return func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, ep := range endpoints {
				was[ep], s.shows[ep] = s.shows[ep], s.by[kind][ep]
			}
		}, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, ep := range endpoints {
				s.shows[ep] = was[ep]
			}
		}
}

// env is what relays are started with.
func (s *secrets) env() string { return operatorconfig.EnvVar + "=" + s.file }
