package follow

import (
	"bufio"
	"crypto/tls"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	standin "troutusher/internal/emulator/etcd"
	"troutusher/internal/operatorconfig"
	"troutusher/internal/testca"
)

// Members are called over TLS where the operator's file names roots: a member must
// prove its name by them, and be shown a certificate where it wants one. The helper
// writes its updates line by line, and ends with its input.
func TestServeOverTLS(t *testing.T) {
	issue := func(up *testca.Issued, name string) *testca.Issued {
		t.Helper()
		var m *testca.Issued
		var err error
		if up == nil {
			m, err = testca.Issue(nil, name, nil, testca.AsAuthority)
		} else {
			m, err = testca.Issue(up, name, nil)
		}
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	root, other := issue(nil, "root"), issue(nil, "another root")
	own, client := issue(root, "etcd.example.org"), issue(root, "relay.example.org")
	c, err := standin.NewCluster(1, grpc.Creds(credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{own.TLSCertificate()},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    root.RootPool(),
	})))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if _, err := c.Apply(standin.Op{Key: "/t/endpoints/a", Value: value(1)}); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name string, m *testca.Issued) (cert, key string) {
		t.Helper()
		cert, key, err := m.WriteFiles(dir, name, true)
		if err != nil {
			t.Fatal(err)
		}
		return cert, key
	}
	roots, _ := write("roots", root)
	wrong, _ := write("wrong", other)
	cert, key := write("client", client)
	password := filepath.Join(dir, "password")
	if err := os.WriteFile(password, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c.EnableAuth("relay", "secret")
	good := operatorconfig.Etcd{
		Endpoints: c.Addresses(), Prefix: "/t", User: "relay", PasswordFile: password,
		Roots: roots, Certificate: cert, Key: key, ServerName: "etcd.example.org",
	}
	for name, x := range map[string]struct {
		change func(*operatorconfig.Etcd)
		works  bool
		fails  string
	}{
		"all in order":   {func(*operatorconfig.Etcd) {}, true, ""},
		"another root":   {func(e *operatorconfig.Etcd) { e.Roots = wrong }, false, ""},
		"another name":   {func(e *operatorconfig.Etcd) { e.ServerName = "shop.example.org" }, false, ""},
		"no certificate": {func(e *operatorconfig.Etcd) { e.Certificate, e.Key = "", "" }, false, ""},
		"no password": {
			func(e *operatorconfig.Etcd) { e.PasswordFile = dir + "/none" }, false, "etcd.password_file",
		},
		"no roots there":    {func(e *operatorconfig.Etcd) { e.Roots = dir + "/none" }, false, "etcd.roots"},
		"roots hold no one": {func(e *operatorconfig.Etcd) { e.Roots = password }, false, "etcd.roots"},
		"no key there":      {func(e *operatorconfig.Etcd) { e.Key = dir + "/none" }, false, "etcd.certificate"},
	} {
		t.Run(name, func(t *testing.T) {
			e := good
			x.change(&e)
			o, err := FromOperator(&e)
			if x.fails != "" {
				if err == nil || !strings.Contains(err.Error(), x.fails) {
					t.Errorf("error %v, want one about %s", err, x.fails)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if !x.works { // one call shows as much as a follower that gets nothing
				if conn, _, err := Dial(t.Context(), o); err == nil {
					_ = conn.Close()
					t.Error("it was answered")
				}
				return
			}
			in, inEnd := io.Pipe()
			out, outEnd := io.Pipe()
			done := make(chan error, 1)
			go func() {
				done <- Serve(t.Context(), o, in, outEnd)
				_ = outEnd.Close() // a pipe's end: it cannot fail
			}()
			lines := bufio.NewScanner(out)
			updates := 0
			for lines.Scan() {
				var l Message
				if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
					t.Fatal(err)
				}
				if l.Update == nil {
					continue
				}
				u := l.Update
				if !u.Complete || len(u.Members) != 1 || u.Members[0].ID != "a" || u.Resync != (updates == 1) {
					t.Errorf("%+v", *u)
				}
				if updates++; updates > 1 {
					_ = inEnd.Close() // a pipe's end: it cannot fail
					continue
				}
				go func() { // what a relay requests
					if _, err := io.WriteString(inEnd, ResyncCommand+"\n"); err != nil {
						t.Error(err)
					}
				}()
			}
			if err := <-done; err != nil || updates != 2 {
				t.Errorf("%d updates, then %v", updates, err)
			}
		})
	}
}
