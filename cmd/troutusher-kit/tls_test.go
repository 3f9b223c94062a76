package main

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func runOf(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = runTLS(args, &o, &e)
	return code, o.String(), e.String()
}

// The whole way of a newcomer: an authority, a file, a check, a look, a probe.
func TestTLSCommands(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "ca")
	code, out, errs := runOf("dev-ca", dir, "pay.example.org", "relay.example.org")
	if code != 0 || !strings.Contains(out, "pay.example.org.key") {
		t.Fatalf("dev-ca: %d %s %s", code, out, errs)
	}
	if info, err := os.Stat(filepath.Join(dir, "pay.example.org.key")); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the key's file: %v %v", info, err)
	}
	if code, _, _ := runOf("dev-ca", dir, "more"); code != exitConfig {
		t.Error("a second authority is made over the first")
	}
	file := filepath.Join(dir, "operator.toml")
	text := fmt.Sprintf("[[tls]]\nname = \"pay\"\ndestinations = [3]\nserver_name = \"pay.example.org\"\n"+
		"roots = %q\ncertificate = %q\nkey = %q\n",
		dir+"/root.pem", dir+"/relay.example.org.pem", dir+"/relay.example.org.key")
	write := func(s string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(text)
	if code, out, errs := runOf("check", file); code != 0 || !strings.Contains(out, "1 rules") {
		t.Errorf("check: %d %s %s", code, out, errs)
	}
	code, out, _ = runOf("inspect", file)
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
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func(c net.Conn) { defer func() { _ = c.Close() }(); _, _ = c.Read(make([]byte, 1)) }(c)
		}
	}()
	code, out, errs = runOf("probe", file, "3", ln.Addr().String())
	if code != 0 || !strings.Contains(out, "first handshake: TLS 1.3") || !strings.Contains(out, "resumed true") {
		t.Errorf("probe: %d %s %s", code, out, errs)
	}
	// Refusals and bad input, each with its exit code.
	write(strings.Replace(text, "pay.example.org\"\nroots", "shop.example.org\"\nroots", 1))
	if code, _, errs := runOf("probe", file, "3", ln.Addr().String()); code != exitFailed ||
		!strings.Contains(errs, "wrong name") {
		t.Errorf("probe of another name: %d %s", code, errs)
	}
	for name, x := range map[string]struct {
		text string
		args []string
		want string
	}{
		"no rule":    {text, []string{"probe", file, "4", "127.0.0.1:1"}, "no rule is for destination 4"},
		"no address": {text, []string{"probe", file, "3", "nowhere"}, "address"},
		"a line's error": {
			strings.Replace(text, "destinations", "destination", 1),
			[]string{"check", file},
			"operator.toml:3: tls.destination",
		},
		"a missing file": {strings.Replace(text, "root.pem", "none.pem", 1), []string{"check", file}, "rule pay"},
		"no file":        {text, []string{"check", dir + "/none.toml"}, "none.toml"},
		"no such kind":   {text, []string{"dev-ca", dir + "2", "--key", "md5"}, "--key"},
		"a path":         {text, []string{"dev-ca", dir + "3", "../x"}, "want a host name"},
		"no command":     {text, nil, "expected one of"},
	} {
		write(x.text)
		if code, _, errs := runOf(x.args...); code != exitConfig || !strings.Contains(errs, x.want) {
			t.Errorf("%s: %d %s", name, code, errs)
		}
	}
	if code, out, _ := runOf("--help"); code != 0 || !strings.Contains(out, "probe") {
		t.Errorf("--help: %d %s", code, out)
	}
}
