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

// tlsIdentities are what endpoints show.
type tlsIdentities struct {
	operatorFile string // the operator's

	mu      sync.Mutex
	current []*h1.TLSIdentity            // by endpoint, nil where it has no TLS
	byFault map[string][]*h1.TLSIdentity // by fault and endpoint
}

// operatorFileMode keeps the operator's file to its owner.
const operatorFileMode = 0o600

// identityMaker makes certificates and the operator's file that names them.
type identityMaker struct {
	plan              *scenario.Plan
	identities        *tlsIdentities
	validity          func(*testca.Template)
	root              *testca.Issued // that relays trust
	untrusted         *testca.Issued // a root that they do not trust
	firstAuthority    *testca.Issued // two authorities under root
	secondAuthority   *testca.Issued
	rootsPath         string // paths of files for relays
	certPath, keyPath string
	operatorText      bytes.Buffer // the text of the operator's file
}

// newTLSIdentities makes them in a folder; nil where no partner is reached over TLS and
// the relays are told nothing else.
func newTLSIdentities(p *scenario.Plan, dir string) (*tlsIdentities, error) {
	m := &identityMaker{plan: p, identities: &tlsIdentities{
		operatorFile: filepath.Join(dir, "operator.toml"), current: make([]*h1.TLSIdentity, len(p.Endpoints)),
		byFault: map[string][]*h1.TLSIdentity{},
	}}
	kinds := []string{
		scenario.TLSRotate,
		scenario.TLSExpired,
		scenario.TLSWrongName,
		scenario.TLSWrongRoot,
		scenario.TLSHandshakeReset,
		scenario.TLSSessionsLost,
	}
	for _, k := range kinds {
		m.identities.byFault[k] = make([]*h1.TLSIdentity, len(p.Endpoints))
	}
	if err := m.issueAuthorities(dir); err != nil {
		return nil, err
	}
	found, share := false, 0.0
	seen := map[int]bool{}
	for ep := range p.Endpoints {
		e := &p.Endpoints[ep]
		if e.TLS == nil || seen[e.Partner] {
			continue
		}
		seen[e.Partner], found = true, true
		share = max(share, e.TLS.HandshakeCPUShare)
		if err := m.addPartner(e.Partner, e.TLS); err != nil {
			return nil, err
		}
	}
	if n := p.Scenario.Relays.MaxActiveDestinations; n > 0 {
		found = true
		fmt.Fprintf(&m.operatorText, "[rest]\nawake = %d\nquiet_s = 10\n", n)
	}
	if !found {
		return nil, nil
	}
	if share > 0 {
		fmt.Fprintf(&m.operatorText, "[handshakes]\nshare = %v\n", share)
	}
	return m.identities, testca.ReplaceFile(m.identities.operatorFile, m.operatorText.Bytes(), operatorFileMode)
}

// issueAuthorities makes the authorities, and the relays' roots, certificate and key.
func (m *identityMaker) issueAuthorities(dir string) (err error) {
	m.validity = testca.WithValidity(time.Now().Add(-time.Hour), time.Now().Add(24*365*time.Hour))
	if m.root, err = testca.Issue(nil, "rehearsal", nil, testca.AsAuthority, m.validity); err != nil {
		return err
	}
	if m.untrusted, err = testca.Issue(nil, "stranger", nil, testca.AsAuthority, m.validity); err != nil {
		return err
	}
	if m.firstAuthority, err = testca.Issue(m.root, "one", nil, testca.AsAuthority, m.validity); err != nil {
		return err
	}
	if m.secondAuthority, err = testca.Issue(m.root, "two", nil, testca.AsAuthority, m.validity); err != nil {
		return err
	}
	relay, err := testca.Issue(m.root, "relay.example.org", nil, m.validity)
	if err != nil {
		return err
	}
	if m.rootsPath, _, err = m.root.WriteFiles(dir, "roots", false); err != nil {
		return err
	}
	m.certPath, m.keyPath, err = relay.WriteFiles(dir, "relay", true)
	return err
}

// partnerCertificates are what one partner shows: good ones, and one for each fault.
type partnerCertificates struct {
	current, next *testca.Issued
	faulty        map[string]*testca.Issued
}

func (m *identityMaker) issueFor(name string, x *scenario.TLS) (c partnerCertificates, err error) {
	issue := func(
		parent *testca.Issued, name string, changes ...func(*testca.Template),
	) (made *testca.Issued) {
		if err != nil {
			return nil
		}
		key, keyErr := testca.NewKey(testca.KeyKind(x.Key))
		if keyErr != nil {
			err = keyErr
			return nil
		}
		made, err = testca.Issue(parent, name, key, append([]func(*testca.Template){m.validity}, changes...)...)
		return made
	}
	expired := testca.WithValidity(time.Now().Add(-2*time.Hour), time.Now().Add(-time.Hour))
	c.current, c.next = issue(m.firstAuthority, name), issue(m.secondAuthority, name)
	c.faulty = map[string]*testca.Issued{
		scenario.TLSExpired:   issue(m.firstAuthority, name, expired),
		scenario.TLSWrongName: issue(m.firstAuthority, "other.example.org"),
		scenario.TLSWrongRoot: issue(m.untrusted, name),
	}
	return c, err
}

// addPartner makes what a partner's endpoints show, and the rule that relays reach it by.
func (m *identityMaker) addPartner(partner int, x *scenario.TLS) error {
	p, s := m.plan, m.identities
	name := p.Specs[partner].Name + ".example.org"
	c, err := m.issueFor(name, x)
	if err != nil {
		return err
	}
	usual, rotated := m.identityWith(c.current, x, true), m.identityWith(c.next, x, true)
	forgot := m.identityWith(c.current, x, true)
	forgot.Config.SetSessionTicketKeys([][32]byte{{1}})
	for i := range p.Endpoints {
		if p.Endpoints[i].Partner != partner {
			continue
		}
		s.current[i] = usual
		s.byFault[scenario.TLSRotate][i], s.byFault[scenario.TLSSessionsLost][i] = rotated, forgot
		s.byFault[scenario.TLSHandshakeReset][i] = &h1.TLSIdentity{ResetHandshake: true}
		for kind, certificate := range c.faulty {
			s.byFault[kind][i] = m.identityWith(certificate, x, false)
		}
	}
	fmt.Fprintf(&m.operatorText, "[[tls]]\nname = \"p%d\"\ndestinations = [%d]\nserver_name = %q\nroots = %q\n"+
		"pins = [%q, %q]\nhandshake_weight = %v\n",
		partner, p.Specs[partner].Destination, name, m.rootsPath, tlspolicy.PinOf(c.current.Certificate),
		tlspolicy.PinOf(c.next.Certificate), x.DeclaredHandshakeCost)
	if x.RequireClientCert {
		fmt.Fprintf(&m.operatorText, "certificate = %q\nkey = %q\n", m.certPath, m.keyPath)
	}
	return nil
}

// identityWith is how an endpoint shows a certificate.
func (m *identityMaker) identityWith(certificate *testca.Issued, x *scenario.TLS, trusted bool) *h1.TLSIdentity {
	cfg := &tls.Config{
		Certificates:           []tls.Certificate{certificate.TLSCertificate()},
		SessionTicketsDisabled: x.DisableResumption,
	}
	switch x.Version {
	case "1.2":
		cfg.MaxVersion = tls.VersionTLS12
	case "1.3":
		cfg.MinVersion = tls.VersionTLS13
	}
	if x.RequireClientCert {
		cfg.ClientAuth, cfg.ClientCAs = tls.RequireAndVerifyClientCert, m.root.RootPool()
	}
	// Session keys of its own: what one certificate was shown for is not resumed under
	// another.
	cfg.SetSessionTicketKeys([][32]byte{tlspolicy.PinOf(certificate.Certificate)})
	return &h1.TLSIdentity{Config: cfg, HandshakeDelay: milliseconds(x.HandshakeDelayMS), Trusted: trusted}
}

// identity is what an endpoint shows now.
func (s *tlsIdentities) identity(ep int) *h1.TLSIdentity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current[ep]
}

// replacement has endpoints show what a fault of theirs has them show, and returns how
// to end it.
func (s *tlsIdentities) replacement(kind string, endpoints []int) (begin, end func()) {
	was := map[int]*h1.TLSIdentity{}
	return func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, ep := range endpoints {
				was[ep], s.current[ep] = s.current[ep], s.byFault[kind][ep]
			}
		}, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, ep := range endpoints {
				s.current[ep] = was[ep]
			}
		}
}

// env is what relays are started with.
func (s *tlsIdentities) env() string { return operatorconfig.EnvVar + "=" + s.operatorFile }
