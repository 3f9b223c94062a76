package main

import (
	"crypto/tls"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runTLSCommand runs a subcommand of "troutusher tls".
func runTLSCommand(args ...string) (code int, stdout, stderr string) {
	return run(append([]string{"tls"}, args...)...)
}

// Guards the TLS tools in the order in which an operator uses them: create an authority and
// certificates, check and inspect an operator's file that names them, and probe a partner that
// uses one of them. Private keys must be readable only for their owner and must not be
// printed. Bad input has to give exit code 2.
func TestTLSCommands(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "ca")
	code, stdout, stderr := runTLSCommand("dev-ca", dir, "pay.example.org", "relay.example.org")
	if code != 0 || !strings.Contains(stdout, "pay.example.org.key") {
		t.Fatalf("tls dev-ca = exit code %d, want 0 and the name of a key file; got output:\n%s%s",
			code, stdout, stderr)
	}
	if info, err := os.Stat(filepath.Join(dir, "pay.example.org.key")); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("Stat of the key file = %v, error %v; want mode 0600", info, err)
	}
	if code, _, _ := runTLSCommand("dev-ca", dir, "more"); code != exitConfig {
		t.Error("tls dev-ca in a folder that holds an authority did not end with exit code 2")
	}
	file := filepath.Join(dir, "operator.toml")
	validText := fmt.Sprintf("[[tls]]\nname = \"pay\"\ndestinations = [3]\nserver_name = \"pay.example.org\"\n"+
		"roots = %q\ncertificate = %q\nkey = %q\n",
		dir+"/root.pem", dir+"/relay.example.org.pem", dir+"/relay.example.org.key")
	writeOperatorFile := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeOperatorFile(validText)
	if code, stdout, stderr := runTLSCommand("check", file); code != 0 || !strings.Contains(stdout, "1 rules") {
		t.Errorf("tls check = exit code %d, want 0 and the number of rules; got output:\n%s%s", code, stdout, stderr)
	}
	code, stdout, _ = runTLSCommand("inspect", file)
	if code != 0 || !strings.Contains(stdout, "our own") || !strings.Contains(stdout, "trusted") ||
		!strings.Contains(stdout, "6.9 days left") && !strings.Contains(stdout, "7.0 days left") {
		t.Errorf("tls inspect = exit code %d, want 0 and both certificates with 7 days left; got output:\n%s",
			code, stdout)
	}
	key, err := os.ReadFile(dir + "/relay.example.org.key")
	if err != nil {
		t.Fatal(err)
	}
	if secret := strings.Split(string(key), "\n")[1]; strings.Contains(stdout, secret) {
		t.Error("tls inspect printed a private key")
	}
	certificate, err := tls.LoadX509KeyPair(dir+"/pay.example.org.pem", dir+"/pay.example.org.key")
	if err != nil {
		t.Fatal(err)
	}
	listener, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{certificate}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 1)) // the first read makes the handshake
			}()
		}
	}()
	code, stdout, stderr = runTLSCommand("probe", file, "3", listener.Addr().String())
	if code != 0 || !strings.Contains(stdout, "first handshake: TLS 1.3") || !strings.Contains(stdout, "resumed true") {
		t.Errorf("tls probe = exit code %d, want 0, TLS 1.3 and a resumed session; got output:\n%s%s",
			code, stdout, stderr)
	}
	// The partner's certificate has another name than the rule requires.
	writeOperatorFile(strings.Replace(validText, "pay.example.org\"\nroots", "shop.example.org\"\nroots", 1))
	if code, _, stderr := runTLSCommand("probe", file, "3", listener.Addr().String()); code != exitFailed ||
		!strings.Contains(stderr, "wrong name") {
		t.Errorf("tls probe of a partner with a wrong name = exit code %d, want 1 and the reason; got stderr:\n%s",
			code, stderr)
	}
	for name, test := range map[string]struct {
		text string
		args []string
		want string
	}{
		"destination without a rule": {
			validText,
			[]string{"probe", file, "4", "127.0.0.1:1"},
			"no TLS rule matches destination 4",
		},
		"address without a port": {validText, []string{"probe", file, "3", "nowhere"}, "endpoint's address"},
		"unknown key in the operator's file": {
			strings.Replace(validText, "destinations", "destination", 1),
			[]string{"check", file},
			"operator.toml:3: tls.destination",
		},
		"missing file of roots": {
			strings.Replace(validText, "root.pem", "none.pem", 1),
			[]string{"check", file},
			"rule pay",
		},
		"missing operator's file": {validText, []string{"check", dir + "/none.toml"}, "none.toml"},
		"unknown kind of key":     {validText, []string{"dev-ca", dir + "2", "--key", "md5"}, "--key"},
		"path as a certificate's name": {
			validText,
			[]string{"dev-ca", dir + "3", "../x"},
			"want a host name",
		},
		"no subcommand": {validText, nil, "expected one of"},
	} {
		writeOperatorFile(test.text)
		if code, _, stderr := runTLSCommand(test.args...); code != exitConfig || !strings.Contains(stderr, test.want) {
			t.Errorf("%s: exit code %d, want 2 and stderr that contains %q; got stderr:\n%s",
				name, code, test.want, stderr)
		}
	}
	if code, stdout, _ := runTLSCommand("--help"); code != 0 || !strings.Contains(stdout, "probe") {
		t.Errorf("tls --help = exit code %d, want 0 and the subcommands; got output:\n%s", code, stdout)
	}
}
