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

// tlsIdentities holds the TLS identities that partners' endpoints present to relays. The certificates
// are generated for one rehearsal.
type tlsIdentities struct {
	operatorPath string // path of the operator's file, which makes relays trust the certificates

	mu      sync.Mutex
	current []*h1.TLSIdentity            // by endpoint; nil without TLS
	byFault map[string][]*h1.TLSIdentity // by kind of fault and endpoint
}

const (
	operatorFileMode = 0o600 // readable only by its owner
	partnerDomain    = ".example.org"
)

// tlsFaults lists the kinds of fault that replace identities.
var tlsFaults = []string{
	scenario.TLSRotate, scenario.TLSExpired, scenario.TLSWrongName, scenario.TLSWrongRoot, scenario.TLSHandshakeReset,
	scenario.TLSSessionsLost,
}

// identityMaker issues certificates and writes the operator's file that refers to them.
type identityMaker struct {
	plan       *scenario.Plan
	identities *tlsIdentities
	validity   func(*testca.Template)

	trustedRoot     *testca.Issued
	untrustedRoot   *testca.Issued // a root certificate that relays do not trust
	firstAuthority  *testca.Issued // both authorities are issued by trustedRoot
	secondAuthority *testca.Issued

	// Paths of the files that the operator's file names.
	rootsPath string
	certPath  string
	keyPath   string

	operatorText bytes.Buffer
}

// newTLSIdentities issues the certificates and writes the relays' operator's file to a folder.
// It returns nil if the relays need no operator's file: no partner is reached over TLS, and the
// scenario leaves the number of active destinations at its default, see
// scenario.Relays.MaxActiveDestinations.
func newTLSIdentities(plan *scenario.Plan, dir string) (*tlsIdentities, error) {
	m := &identityMaker{plan: plan, identities: &tlsIdentities{
		operatorPath: filepath.Join(dir, "operator.toml"), current: make([]*h1.TLSIdentity, len(plan.Endpoints)),
		byFault: map[string][]*h1.TLSIdentity{},
	}}
	for _, kind := range tlsFaults {
		m.identities.byFault[kind] = make([]*h1.TLSIdentity, len(plan.Endpoints))
	}
	if err := m.issueAuthorities(dir); err != nil {
		return nil, err
	}
	handshakeShare, err := m.addPartners()
	if err != nil {
		return nil, err
	}
	if awake := plan.Scenario.Relays.MaxActiveDestinations; awake > 0 {
		fmt.Fprintf(&m.operatorText, "[rest]\nawake = %d\nquiet_s = 10\n", awake)
	}
	if m.operatorText.Len() == 0 {
		return nil, nil
	}
	if handshakeShare > 0 {
		fmt.Fprintf(&m.operatorText, "[handshakes]\nshare = %v\n", handshakeShare)
	}
	return m.identities, testca.ReplaceFile(m.identities.operatorPath, m.operatorText.Bytes(), operatorFileMode)
}

// issueAuthorities issues the authorities and writes the relays' roots, certificate and key.
func (m *identityMaker) issueAuthorities(dir string) (err error) {
	m.validity = testca.WithValidity(time.Now().Add(-time.Hour), time.Now().Add(24*365*time.Hour))
	if m.trustedRoot, err = testca.Issue(nil, "rehearsal", nil, testca.AsAuthority, m.validity); err != nil {
		return err
	}
	if m.untrustedRoot, err = testca.Issue(nil, "stranger", nil, testca.AsAuthority, m.validity); err != nil {
		return err
	}
	if m.firstAuthority, err = testca.Issue(m.trustedRoot, "one", nil, testca.AsAuthority, m.validity); err != nil {
		return err
	}
	if m.secondAuthority, err = testca.Issue(m.trustedRoot, "two", nil, testca.AsAuthority, m.validity); err != nil {
		return err
	}
	relay, err := testca.Issue(m.trustedRoot, "relay"+partnerDomain, nil, m.validity)
	if err != nil {
		return err
	}
	if m.rootsPath, _, err = m.trustedRoot.WriteFiles(dir, "roots", false); err != nil {
		return err
	}
	m.certPath, m.keyPath, err = relay.WriteFiles(dir, "relay", true)
	return err
}

// addPartners adds all partners that are reached over TLS. It returns the largest fraction of a
// core that any of them sets for handshakes.
func (m *identityMaker) addPartners() (handshakeShare float64, err error) {
	added := map[int]bool{}
	for i := range m.plan.Endpoints {
		endpoint := &m.plan.Endpoints[i]
		if endpoint.TLS == nil || added[endpoint.Partner] {
			continue
		}
		added[endpoint.Partner] = true
		handshakeShare = max(handshakeShare, endpoint.TLS.HandshakeCPUShare)
		if err := m.addPartner(endpoint.Partner, endpoint.TLS); err != nil {
			return 0, err
		}
	}
	return handshakeShare, nil
}

// partnerCertificates holds the certificates of one partner.
type partnerCertificates struct {
	current *testca.Issued
	next    *testca.Issued            // from the second authority; presented after a rotation
	faulty  map[string]*testca.Issued // by kind of fault
}

// issueFor issues the certificates of a partner under its server name.
func (m *identityMaker) issueFor(name string, settings *scenario.TLS) (partnerCertificates, error) {
	var firstErr error
	issue := func(parent *testca.Issued, name string, changes ...func(*testca.Template)) *testca.Issued {
		if firstErr != nil {
			return nil
		}
		key, err := testca.NewKey(testca.KeyKind(settings.Key))
		if err != nil {
			firstErr = err
			return nil
		}
		var issued *testca.Issued
		changes = append([]func(*testca.Template){m.validity}, changes...)
		issued, firstErr = testca.Issue(parent, name, key, changes...)
		return issued
	}
	expired := testca.WithValidity(time.Now().Add(-2*time.Hour), time.Now().Add(-time.Hour))
	certificates := partnerCertificates{
		current: issue(m.firstAuthority, name),
		next:    issue(m.secondAuthority, name),
		faulty: map[string]*testca.Issued{
			scenario.TLSExpired:   issue(m.firstAuthority, name, expired),
			scenario.TLSWrongName: issue(m.firstAuthority, "other"+partnerDomain),
			scenario.TLSWrongRoot: issue(m.untrustedRoot, name),
		},
	}
	return certificates, firstErr
}

// addPartner adds the identities of a partner's endpoints, and the rule by which relays call them.
func (m *identityMaker) addPartner(partner int, settings *scenario.TLS) error {
	name := m.plan.Specs[partner].Name + partnerDomain
	certificates, err := m.issueFor(name, settings)
	if err != nil {
		return err
	}
	m.addIdentities(partner, certificates, settings)
	m.addRule(partner, name, certificates, settings)
	return nil
}

// addIdentities sets the identities of a partner's endpoints, without a fault and under each kind
// of fault.
func (m *identityMaker) addIdentities(partner int, certificates partnerCertificates, settings *scenario.TLS) {
	normal := m.identityWith(certificates.current, settings, true)
	rotated := m.identityWith(certificates.next, settings, true)
	withoutSessions := m.identityWith(certificates.current, settings, true)
	// With another ticket key, sessions that began before cannot be resumed.
	withoutSessions.Config.SetSessionTicketKeys([][32]byte{{1}})
	for i := range m.plan.Endpoints {
		if m.plan.Endpoints[i].Partner != partner {
			continue
		}
		m.identities.current[i] = normal
		byFault := m.identities.byFault
		byFault[scenario.TLSRotate][i], byFault[scenario.TLSSessionsLost][i] = rotated, withoutSessions
		byFault[scenario.TLSHandshakeReset][i] = &h1.TLSIdentity{ResetHandshake: true}
		for kind, certificate := range certificates.faulty {
			byFault[kind][i] = m.identityWith(certificate, settings, false)
		}
	}
}

// addRule adds a rule to the operator's file that tells relays to call a partner over TLS and which
// certificates to trust.
func (m *identityMaker) addRule(
	partner int, serverName string, certificates partnerCertificates, settings *scenario.TLS,
) {
	fmt.Fprintf(&m.operatorText, "[[tls]]\nname = \"p%d\"\ndestinations = [%d]\nserver_name = %q\nroots = %q\n"+
		"pins = [%q, %q]\nhandshake_weight = %v\n",
		partner, m.plan.Specs[partner].Destination, serverName, m.rootsPath,
		tlspolicy.PinOf(certificates.current.Certificate), tlspolicy.PinOf(certificates.next.Certificate),
		settings.DeclaredHandshakeCost)
	if settings.RequireClientCert {
		fmt.Fprintf(&m.operatorText, "certificate = %q\nkey = %q\n", m.certPath, m.keyPath)
	}
}

// identityWith returns an identity with a certificate. trusted says whether relays are expected to
// trust it.
func (m *identityMaker) identityWith(
	certificate *testca.Issued, settings *scenario.TLS, trusted bool,
) *h1.TLSIdentity {
	config := &tls.Config{
		Certificates:           []tls.Certificate{certificate.TLSCertificate()},
		SessionTicketsDisabled: settings.DisableResumption,
	}
	switch settings.Version {
	case "1.2":
		config.MaxVersion = tls.VersionTLS12
	case "1.3":
		config.MinVersion = tls.VersionTLS13
	}
	if settings.RequireClientCert {
		config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, m.trustedRoot.RootPool()
	}
	// Each certificate has its own session ticket key, so that a session that began under one
	// certificate is not resumed under another.
	config.SetSessionTicketKeys([][32]byte{tlspolicy.PinOf(certificate.Certificate)})
	return &h1.TLSIdentity{
		Config: config, HandshakeDelay: milliseconds(settings.HandshakeDelayMS), Trusted: trusted,
	}
}

// identity returns the identity that an endpoint currently presents, or nil without TLS.
func (t *tlsIdentities) identity(endpoint int) *h1.TLSIdentity {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current[endpoint]
}

// replacement returns functions that begin and end a fault. In between, the endpoints present the
// identities for its kind.
func (t *tlsIdentities) replacement(kind string, endpoints []int) (begin, end func()) {
	replaced := map[int]*h1.TLSIdentity{}
	begin = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, i := range endpoints {
			replaced[i], t.current[i] = t.current[i], t.byFault[kind][i]
		}
	}
	end = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, i := range endpoints {
			t.current[i] = replaced[i]
		}
	}
	return begin, end
}

// env returns the environment variable, as name=value, that tells relays the operator's file.
func (t *tlsIdentities) env() string { return operatorconfig.EnvVar + "=" + t.operatorPath }
