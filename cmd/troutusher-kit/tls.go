package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"troutusher/internal/certstore"
	"troutusher/internal/operatorconfig"
	"troutusher/internal/testca"
	"troutusher/internal/tlsdial"
	"troutusher/internal/tlspolicy"
)

// tlsCommand is "troutusher tls": tools for keys and certificates, and for partners that are
// called over TLS. None of them needs a running relay.
type tlsCommand struct {
	Check   tlsCheck   `cmd:"" help:"Check an operator's file and all files that its rules name."`
	Inspect tlsInspect `cmd:"" help:"Show certificates, days left and pins of each rule."`
	Probe   tlsProbe   `cmd:"" help:"Make two handshakes with a partner, and send no message."`
	DevCA   tlsDevCA   `cmd:"" name:"dev-ca" help:"Make a throw-away authority and certificates for rehearsals."`
}

// runTLS runs "troutusher tls".
func runTLS(args []string, stdout, stderr io.Writer) int {
	const about = "Keys and partners that are called over TLS. " +
		"Exit codes: 0, 1 (failed), 2 (bad usage or configuration)."
	return runKong("tls", about, &tlsCommand{}, args, stdout, stderr)
}

// readOperatorFile reads and parses an operator's file. Its errors are usage errors.
func readOperatorFile(path string) (*operatorconfig.File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{err}
	}
	file, err := operatorconfig.Parse(path, text)
	if err != nil {
		return nil, usageError{err}
	}
	return file, nil
}

// tlsCheck is "troutusher tls check".
type tlsCheck struct {
	File string `arg:"" help:"The operator's file." type:"path"`
}

// Run checks the operator's file and then the files that its rules name. It reports the errors
// of all rules, one on a line.
func (c *tlsCheck) Run(stdout io.Writer) error {
	file, err := readOperatorFile(c.File)
	if err != nil {
		return err
	}
	var failures []error
	for i := range file.TLSRules {
		rule := &file.TLSRules[i]
		if _, err := certstore.Load(rule.Files(), time.Now()); err != nil {
			failures = append(failures, fmt.Errorf("%s: rule %s: %w", c.File, rule.Name, err))
		}
	}
	if len(failures) > 0 {
		return usageError{errors.Join(failures...)}
	}
	printf(stdout, "%s: %d rules, all files can be used\n", c.File, len(file.TLSRules))
	return nil
}

// tlsInspect is "troutusher tls inspect".
type tlsInspect struct {
	File string `arg:"" help:"The operator's file." type:"path"`
}

// Run prints the content of the files that the rules name, except for private keys.
func (c *tlsInspect) Run(stdout io.Writer) error {
	file, err := readOperatorFile(c.File)
	if err != nil {
		return err
	}
	now := time.Now()
	for i := range file.TLSRules {
		rule := &file.TLSRules[i]
		files, err := certstore.Load(rule.Files(), now)
		if err != nil {
			return usageError{fmt.Errorf("%s: rule %s: %w", c.File, rule.Name, err)}
		}
		printf(stdout, "rule %s: destinations %v, flavours %q, server name %s\n",
			rule.Name, rule.Destinations, rule.Flavors, rule.ServerName)
		for _, pin := range rule.Pins {
			printf(stdout, "  pinned        %s\n", pin)
		}
		if files.Certificate != nil {
			writeCertificate(stdout, "our own", files.Certificate.Leaf, now)
		}
		for _, root := range files.RootCertificates {
			writeCertificate(stdout, "trusted", root, now)
		}
		if n := files.RevocationLists.Len(); n > 0 {
			printf(stdout, "  revocations   %d lists, the next one due %s\n",
				n, files.RevocationLists.NextUpdate().UTC().Format(time.RFC3339))
		}
	}
	return nil
}

// writeCertificate prints a line that describes a certificate. The line begins with role, the
// purpose of the certificate.
func writeCertificate(stdout io.Writer, role string, certificate *x509.Certificate, now time.Time) {
	daysLeft := certificate.NotAfter.Sub(now).Hours() / 24
	printf(stdout, "  %-13s %s, %.1f days left (%s), pin %s\n", role, certificate.Subject, daysLeft,
		certificate.NotAfter.UTC().Format(time.RFC3339), tlspolicy.PinOf(certificate))
}

// tlsProbe is "troutusher tls probe".
type tlsProbe struct {
	File    string        `arg:"" help:"The operator's file." type:"path"`
	Dest    int           `arg:"" help:"The destination's number."`
	Addr    string        `arg:"" help:"An endpoint's host:port."`
	Flavor  string        `help:"The destination's flavour, where a rule names that."`
	Timeout time.Duration `help:"For each handshake." default:"5s"`
}

// sessionTicketWait is how long the probe reads from a connection after its handshake to
// receive a session ticket, which a TLS 1.3 server sends only then.
const sessionTicketWait = 200 * time.Millisecond

// Run makes two handshakes with the partner. The second shows whether the partner resumes
// sessions.
func (c *tlsProbe) Run(stdout io.Writer) error {
	endpoint, err := c.endpoint()
	if err != nil {
		return err
	}
	defer endpoint.Close()
	for _, ordinal := range []string{"first", "second"} {
		if err := c.handshake(stdout, endpoint, ordinal); err != nil {
			return err
		}
	}
	return nil
}

// endpoint returns the endpoint that the arguments describe, with the TLS rule of the
// operator's file that matches it.
func (c *tlsProbe) endpoint() (*tlsdial.Endpoint, error) {
	file, err := readOperatorFile(c.File)
	if err != nil {
		return nil, err
	}
	if _, _, err := net.SplitHostPort(c.Addr); err != nil {
		return nil, usageError{fmt.Errorf("parse the endpoint's address: %w", err)}
	}
	dialer, err := tlsdial.New(tlsdial.Options{
		Rules: file.TLSRules,
		Handshakes: operatorconfig.Handshakes{
			CPUShare: 1, BurstMS: 1000, TimeoutS: min(max(c.Timeout.Seconds(), 0.1), 30),
		},
		Log:        slog.New(slog.DiscardHandler),
		OnRejected: func(uint64, time.Duration) {},
	})
	if err != nil {
		return nil, usageError{err}
	}
	endpoint := dialer.Endpoint(1, c.Dest, c.Flavor, nil)
	if endpoint == nil {
		return nil, usageError{
			fmt.Errorf("%s: no TLS rule matches destination %d of flavour %q", c.File, c.Dest, c.Flavor),
		}
	}
	return endpoint, nil
}

// handshake opens a connection, makes a TLS handshake, prints what was negotiated and how long
// connecting and the handshake took together, and closes the connection.
func (c *tlsProbe) handshake(stdout io.Writer, endpoint *tlsdial.Endpoint, ordinal string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	permit, _, err := endpoint.Acquire(false, false) // not warming up, and not a handshake of a retry schedule
	if err != nil {
		return err
	}
	if permit == nil {
		return errors.New("handshake not started: the budget of CPU time for handshakes is used up")
	}
	start := time.Now()
	tcpConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		permit.Release()
		return err
	}
	conn, err := permit.Handshake(ctx, tcpConn)
	if err != nil {
		return err
	}
	took := time.Since(start)
	if err := conn.SetReadDeadline(time.Now().Add(sessionTicketWait)); err != nil {
		return err
	}
	_, _ = conn.Read(make([]byte, 1)) // handles a ticket if one comes; the partner need not send any
	state := conn.ConnectionState()
	printf(stdout, "%s handshake: %s, %s, resumed %v, %v\n", ordinal, tls.VersionName(state.Version),
		tls.CipherSuiteName(state.CipherSuite), state.DidResume, took.Round(10*time.Microsecond))
	if ordinal == "first" {
		for i, certificate := range state.PeerCertificates {
			writeCertificate(stdout, fmt.Sprintf("shown %d", i+1), certificate, time.Now())
		}
		printf(stdout, "  staple        %d bytes\n", len(state.OCSPResponse))
	}
	return conn.Close()
}

// tlsDevCA is "troutusher tls dev-ca".
type tlsDevCA struct {
	Dir   string   `arg:"" help:"A folder, which must not hold an authority yet." type:"path"`
	Names []string `arg:"" optional:"" help:"Names of certificates to make, host names or addresses."`
	Key   string   `help:"Kind of key: p256, rsa2048 or ed25519." default:"p256" enum:"p256,rsa2048,ed25519"`
	Days  int      `help:"How long they are good for." default:"7"`
}

// authorityName is the base name of the file of the authority's own certificate. No issued
// certificate may have it.
const authorityName = "root"

// Run creates an authority and writes its certificate to root.pem. For each name it issues a
// certificate and writes NAME.pem and NAME.key.
func (c *tlsDevCA) Run(stdout io.Writer) error {
	if err := c.validate(); err != nil {
		return usageError{err}
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(c.Dir, authorityName+".pem")); err == nil {
		return usageError{fmt.Errorf("create an authority in %s: the folder already holds one", c.Dir)}
	}
	validity := testca.WithValidity(time.Now().Add(-time.Hour), time.Now().Add(time.Duration(c.Days)*24*time.Hour))
	key, err := testca.NewKey(testca.KeyKind(c.Key))
	if err != nil {
		return usageError{err}
	}
	authority, err := testca.Issue(nil, "troutusher dev-ca", key, testca.AsAuthority, validity)
	if err != nil {
		return err
	}
	path, _, err := authority.WriteFiles(c.Dir, authorityName, false)
	if err != nil {
		return err
	}
	printf(stdout, "%s: pin %s; its private key is not kept\n", path, tlspolicy.PinOf(authority.Certificate))
	for _, name := range c.Names {
		key, err := testca.NewKey(testca.KeyKind(c.Key))
		if err != nil {
			return err
		}
		issued, err := testca.Issue(authority, name, key, testca.WithNames(name), validity)
		if err != nil {
			return err
		}
		certPath, keyPath, err := issued.WriteFiles(c.Dir, name, true)
		if err != nil {
			return err
		}
		printf(stdout, "%s, %s: pin %s\n", certPath, keyPath, tlspolicy.PinOf(issued.Certificate))
	}
	return nil
}

// validate checks the number of days and the names.
func (c *tlsDevCA) validate() error {
	if c.Days < 1 || c.Days > 365 {
		return fmt.Errorf("--days %d, want 1 to 365", c.Days)
	}
	for _, name := range c.Names {
		if name == "" || strings.ContainsAny(name, "/\\\x00") || name == authorityName ||
			strings.HasPrefix(name, ".") {
			return fmt.Errorf("certificate name %q: want a host name or an address", name)
		}
	}
	return nil
}
