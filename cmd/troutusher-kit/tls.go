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

	"github.com/alecthomas/kong"

	"troutusher/internal/certstore"
	"troutusher/internal/operatorconfig"
	"troutusher/internal/testca"
	"troutusher/internal/tlsdial"
	"troutusher/internal/tlspolicy"
)

// tlsCommand is "troutusher tls": what an operator asks of keys and partners
// beside a relay that serves.
type tlsCommand struct {
	Check   tlsCheck   `cmd:"" help:"Check an operator's file and all files that its rules name."`
	Inspect tlsInspect `cmd:"" help:"Show certificates, days left and pins of each rule."`
	Probe   tlsProbe   `cmd:"" help:"Make two handshakes with a partner, and send no message."`
	DevCA   tlsDevCA   `cmd:"" name:"dev-ca" help:"Make a throw-away authority and certificates for rehearsals."`
}

// errBad is bad usage or a bad configuration.
type errBad struct{ error }

// printer is where a command writes.
type printer struct{ io.Writer }

func (p printer) line(format string, a ...any) { printf(p, format+"\n", a...) }

// runTLS runs one of them.
func runTLS(args []string, out, errs io.Writer) (code int) {
	var cli tlsCommand
	left := -1
	k, err := kong.New(
		&cli,
		kong.Name("troutusher tls"),
		kong.Writers(out, errs),
		kong.Exit(func(code int) { left = code }),
		kong.UsageOnError(),
		kong.Description(
			"Keys and partners that are called over TLS. Exit codes: 0, 1 (failed), 2 (bad usage or configuration).",
		),
	)
	if err != nil {
		return fail(errs, "tls", err, exitFailed)
	}
	ctx, err := k.Parse(args)
	if left >= 0 { // -h
		return left
	}
	if err != nil {
		return fail(errs, "tls", err, exitConfig)
	}
	err = ctx.Run(printer{out})
	var bad errBad
	switch {
	case err == nil:
		return 0
	case errors.As(err, &bad):
		printf(errs, "%v\n", bad.error)
		return exitConfig
	}
	return fail(errs, "tls", err, exitFailed)
}

func readOperator(path string) (*operatorconfig.File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errBad{err}
	}
	f, err := operatorconfig.Parse(path, text)
	if err != nil {
		return nil, errBad{err}
	}
	return f, nil
}

type tlsCheck struct {
	File string `arg:"" help:"The operator's file." type:"path"`
}

// Run checks the file, and then what its rules name; each error on a line.
func (c *tlsCheck) Run(out printer) error {
	f, err := readOperator(c.File)
	if err != nil {
		return err
	}
	var all []error
	for i := range f.TLSRules {
		if _, err := certstore.Load(f.TLSRules[i].Files(), time.Now()); err != nil {
			all = append(all, fmt.Errorf("%s: rule %s: %w", c.File, f.TLSRules[i].Name, err))
		}
	}
	if len(all) > 0 {
		return errBad{errors.Join(all...)}
	}
	out.line("%s: %d rules, all files can be used", c.File, len(f.TLSRules))
	return nil
}

type tlsInspect struct {
	File string `arg:"" help:"The operator's file." type:"path"`
}

// Run shows what the rules' files hold. No secret is among it.
func (c *tlsInspect) Run(out printer) error {
	f, err := readOperator(c.File)
	if err != nil {
		return err
	}
	now := time.Now()
	for i := range f.TLSRules {
		x := &f.TLSRules[i]
		set, err := certstore.Load(x.Files(), now)
		if err != nil {
			return errBad{fmt.Errorf("%s: rule %s: %w", c.File, x.Name, err)}
		}
		out.line(
			"rule %s: destinations %v, flavours %q, server name %s", x.Name, x.Destinations, x.Flavors, x.ServerName,
		)
		for _, p := range x.Pins {
			out.line("  pinned        %s", p)
		}
		if set.Certificate != nil {
			showCertificate(out, "our own", set.Certificate.Leaf, now)
		}
		for _, r := range set.RootCertificates {
			showCertificate(out, "trusted", r, now)
		}
		if n := set.RevocationLists.Len(); n > 0 {
			out.line(
				"  revocations   %d lists, the next one due %s", n,
				set.RevocationLists.NextUpdate().UTC().Format(time.RFC3339),
			)
		}
	}
	return nil
}

func showCertificate(out printer, what string, c *x509.Certificate, now time.Time) {
	out.line(
		"  %-13s %s, %.1f days left (%s), pin %s", what, c.Subject, c.NotAfter.Sub(now).Hours()/24,
		c.NotAfter.UTC().Format(time.RFC3339), tlspolicy.PinOf(c),
	)
}

type tlsProbe struct {
	File    string        `arg:"" help:"The operator's file." type:"path"`
	Dest    int           `arg:"" help:"The destination's number."`
	Addr    string        `arg:"" help:"An endpoint's host:port."`
	Flavor  string        `help:"The destination's flavour, where a rule names that."`
	Timeout time.Duration `help:"For each handshake." default:"5s"`
}

// Run makes two handshakes: the second shows whether the partner resumes.
func (c *tlsProbe) Run(out printer) error {
	f, err := readOperator(c.File)
	if err != nil {
		return err
	}
	if _, _, err := net.SplitHostPort(c.Addr); err != nil {
		return errBad{fmt.Errorf("address: %w", err)}
	}
	f.Handshakes = operatorconfig.Handshakes{
		CPUShare: 1, BurstMS: 1000, TimeoutS: min(max(c.Timeout.Seconds(), 0.1), 30),
	}
	p, err := tlsdial.New(
		tlsdial.Options{
			Rules: f.TLSRules, Handshakes: f.Handshakes, Log: slog.New(slog.DiscardHandler),
			OnRejected: func(uint64, time.Duration) {},
		},
	)
	if err != nil {
		return errBad{err}
	}
	peer := p.Endpoint(1, c.Dest, c.Flavor, nil)
	if peer == nil {
		return errBad{fmt.Errorf("%s: no rule is for destination %d of flavour %q", c.File, c.Dest, c.Flavor)}
	}
	defer peer.Close()
	for _, what := range []string{"first", "second"} {
		if err := c.shake(out, peer, what); err != nil {
			return err
		}
	}
	return nil
}

func (c *tlsProbe) shake(out printer, peer *tlsdial.Endpoint, what string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	permit, _, err := peer.Acquire(false, false)
	if err != nil {
		return err
	}
	if permit == nil {
		return errors.New("the handshake's own budget is used up")
	}
	began := time.Now()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		permit.Release()
		return err
	}
	conn, err := permit.Handshake(ctx, raw)
	if err != nil {
		return err
	}
	took := time.Since(began)
	// A session of TLS 1.3 follows the handshake.
	if err := conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		return err
	}
	_, _ = conn.Read(make([]byte, 1)) // there may be none
	s := conn.ConnectionState()
	out.line(
		"%s handshake: %s, %s, resumed %v, %v", what, tls.VersionName(s.Version), tls.CipherSuiteName(s.CipherSuite),
		s.DidResume, took.Round(10*time.Microsecond),
	)
	if what == "first" {
		for i, x := range s.PeerCertificates {
			showCertificate(out, fmt.Sprintf("shown %d", i+1), x, time.Now())
		}
		out.line("  staple        %d bytes", len(s.OCSPResponse))
	}
	return conn.Close()
}

type tlsDevCA struct {
	Dir   string   `arg:"" help:"A folder, which must not hold an authority yet." type:"path"`
	Names []string `arg:"" optional:"" help:"Names of certificates to make, host names or addresses."`
	Key   string   `help:"Kind of key: p256, rsa2048 or ed25519." default:"p256" enum:"p256,rsa2048,ed25519"`
	Days  int      `help:"How long they are good for." default:"7"`
}

// Run writes root.pem, and NAME.pem and NAME.key for each name.
func (c *tlsDevCA) Run(out printer) error {
	if c.Days < 1 || c.Days > 365 {
		return errBad{fmt.Errorf("--days: %d, want 1 to 365", c.Days)}
	}
	for _, n := range c.Names {
		if n == "" || strings.ContainsAny(n, "/\\\x00") || n == "root" || strings.HasPrefix(n, ".") {
			return errBad{fmt.Errorf("name %q: want a host name or an address", n)}
		}
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(c.Dir, "root.pem")); err == nil {
		return errBad{fmt.Errorf("%s: an authority is there already", c.Dir)}
	}
	valid := testca.WithValidity(time.Now().Add(-time.Hour), time.Now().Add(time.Duration(c.Days)*24*time.Hour))
	key, err := testca.NewKey(testca.KeyKind(c.Key))
	if err != nil {
		return errBad{err}
	}
	root, err := testca.Issue(nil, "troutusher dev-ca", key, testca.AsAuthority, valid)
	if err != nil {
		return err
	}
	path, _, err := root.WriteFiles(c.Dir, "root", false)
	if err != nil {
		return err
	}
	out.line("%s: pin %s; its private key is not kept", path, tlspolicy.PinOf(root.Certificate))
	for _, name := range c.Names {
		key, err := testca.NewKey(testca.KeyKind(c.Key))
		if err != nil {
			return err
		}
		m, err := testca.Issue(root, name, key, testca.WithNames(name), valid)
		if err != nil {
			return err
		}
		cert, keyPath, err := m.WriteFiles(c.Dir, name, true)
		if err != nil {
			return err
		}
		out.line("%s, %s: pin %s", cert, keyPath, tlspolicy.PinOf(m.Certificate))
	}
	return nil
}
