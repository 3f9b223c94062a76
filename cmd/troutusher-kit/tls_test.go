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
func runTLSCommand(args ...string) (code int, out, errs string) {
	return run(append([]string{"tls"}, args...)...)
}

// An authority is made, an operator's file is written for it, checked and inspected, and a
// partner is probed.
func TestTLSCommands(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "ca")
	code, out, errs := runTLSCommand("dev-ca", dir, "pay.example.org", "relay.example.org")
	if code != 0 || !strings.Contains(out, "pay.example.org.key") {
		t.Fatalf("dev-ca: %d %s %s", code, out, errs)
	}
	if info, err := os.Stat(filepath.Join(dir, "pay.example.org.key")); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the key's file: %v %v", info, err)
	}
	if code, _, _ := runTLSCommand("dev-ca", dir, "more"); code != exitConfig {
		t.Error("a second authority is made over the first")
	}
	file := filepath.Join(dir, "operator.toml")
	text := fmt.Sprintf("[[tls]]\nname = \"pay\"\ndestinations = [3]\nserver_name = \"pay.example.org\"\n"+
		"roots = %q\ncertificate = %q\nkey = %q\n",
		dir+"/root.pem", dir+"/relay.example.org.pem", dir+"/relay.example.org.key")
	writeOperatorFile := func(s string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeOperatorFile(text)
	if code, out, errs := runTLSCommand("check", file); code != 0 || !strings.Contains(out, "1 rules") {
		t.Errorf("check: %d %s %s", code, out, errs)
	}
	code, out, _ = runTLSCommand("inspect", file)
	if code != 0 || !strings.Contains(out, "our own") || !strings.Contains(out, "trusted") ||
		!strings.Contains(out, "6.9 days left") && !strings.Contains(out, "7.0 days left") {
		t.Errorf("inspect: %d %s", code, out)
	}
	key, err := os.ReadFile(dir + "/relay.example.org.key")
	if err != nil {
		t.Fatal(err)
	}
	if secret := strings.Split(string(key), "\n")[1]; strings.Contains(out, secret) {
		t.Error("inspect shows a private key")
	}
	pair, err := tls.LoadX509KeyPair(dir+"/pay.example.org.pem", dir+"/pay.example.org.key")
	if err != nil {
		t.Fatal(err)
	}
	ln, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{pair}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 1)) // the handshake comes with the first read
			}()
		}
	}()
	code, out, errs = runTLSCommand("probe", file, "3", ln.Addr().String())
	if code != 0 || !strings.Contains(out, "first handshake: TLS 1.3") || !strings.Contains(out, "resumed true") {
		t.Errorf("probe: %d %s %s", code, out, errs)
	}
	// Refusals and bad input, each with its exit code.
	writeOperatorFile(strings.Replace(text, "pay.example.org\"\nroots", "shop.example.org\"\nroots", 1))
	if code, _, errs := runTLSCommand("probe", file, "3", ln.Addr().String()); code != exitFailed ||
		!strings.Contains(errs, "wrong name") {
		t.Errorf("probe of another name: %d %s", code, errs)
	}
	for name, test := range map[string]struct {
		text string
		args []string
		want string
	}{
		"no rule":    {text, []string{"probe", file, "4", "127.0.0.1:1"}, "no rule is for destination 4"},
		"no address": {text, []string{"probe", file, "3", "nowhere"}, "address"},
		"an unknown key": {
			strings.Replace(text, "destinations", "destination", 1),
			[]string{"check", file},
			"operator.toml:3: tls.destination",
		},
		"a missing file":      {strings.Replace(text, "root.pem", "none.pem", 1), []string{"check", file}, "rule pay"},
		"no file":             {text, []string{"check", dir + "/none.toml"}, "none.toml"},
		"unknown kind of key": {text, []string{"dev-ca", dir + "2", "--key", "md5"}, "--key"},
		"a path as a name":    {text, []string{"dev-ca", dir + "3", "../x"}, "want a host name"},
		"no command":          {text, nil, "expected one of"},
	} {
		writeOperatorFile(test.text)
		if code, _, errs := runTLSCommand(test.args...); code != exitConfig || !strings.Contains(errs, test.want) {
			t.Errorf("%s: %d %s", name, code, errs)
		}
	}
	if code, out, _ := runTLSCommand("--help"); code != 0 || !strings.Contains(out, "probe") {
		t.Errorf("--help: %d %s", code, out)
	}
}
