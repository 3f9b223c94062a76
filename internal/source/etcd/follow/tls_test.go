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

	emulator "troutusher/internal/emulator/etcd"
	"troutusher/internal/operatorconfig"
	"troutusher/internal/testca"
)

// If the operator's file names roots, the follow process calls members over TLS, verifies
// their names, and presents a client certificate if a member requires one. Wrong settings
// lead to an error instead of an unverified connection. With correct settings, Serve writes
// the list, writes it again after ResyncCommand, and returns when its input ends.
func TestServeOverTLS(t *testing.T) {
	issue := func(issuer *testca.Issued, name string) *testca.Issued {
		t.Helper()
		var issued *testca.Issued
		var err error
		if issuer == nil {
			issued, err = testca.Issue(nil, name, nil, testca.AsAuthority)
		} else {
			issued, err = testca.Issue(issuer, name, nil)
		}
		if err != nil {
			t.Fatal(err)
		}
		return issued
	}
	root, otherRoot := issue(nil, "root"), issue(nil, "another root")
	server, client := issue(root, "etcd.example.org"), issue(root, "relay.example.org")
	c, err := emulator.NewCluster(1, grpc.Creds(credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{server.TLSCertificate()},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    root.RootPool(),
	})))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if _, err := c.Apply(emulator.Op{Key: "/t/endpoints/a", Value: endpointValue(1)}); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name string, issued *testca.Issued) (cert, key string) {
		t.Helper()
		cert, key, err := issued.WriteFiles(dir, name, true)
		if err != nil {
			t.Fatal(err)
		}
		return cert, key
	}
	roots, _ := write("roots", root)
	wrongRoots, _ := write("wrong", otherRoot)
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
	for name, test := range map[string]struct {
		change      func(*operatorconfig.Etcd)
		connects    bool
		configError string // part of the error of FromOperator; empty for none
	}{
		"correct settings":      {func(*operatorconfig.Etcd) {}, true, ""},
		"wrong root":            {func(e *operatorconfig.Etcd) { e.Roots = wrongRoots }, false, ""},
		"wrong server name":     {func(e *operatorconfig.Etcd) { e.ServerName = "shop.example.org" }, false, ""},
		"no client certificate": {func(e *operatorconfig.Etcd) { e.Certificate, e.Key = "", "" }, false, ""},
		"password missing": {
			func(e *operatorconfig.Etcd) { e.PasswordFile = dir + "/none" }, false, "etcd.password_file",
		},
		"roots missing": {func(e *operatorconfig.Etcd) { e.Roots = dir + "/none" }, false, "etcd.roots"},
		"roots invalid": {func(e *operatorconfig.Etcd) { e.Roots = password }, false, "etcd.roots"},
		"key missing":   {func(e *operatorconfig.Etcd) { e.Key = dir + "/none" }, false, "etcd.certificate"},
	} {
		t.Run(name, func(t *testing.T) {
			e := good
			test.change(&e)
			o, err := FromOperator(&e)
			if test.configError != "" {
				if err == nil || !strings.Contains(err.Error(), test.configError) {
					t.Errorf("FromOperator() = error %v, want one that contains %q", err, test.configError)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if !test.connects { // Dial suffices: it verifies members as a follower does
				if conn, _, err := Dial(t.Context(), o); err == nil {
					_ = conn.Close()
					t.Error("Dial() = no error, want the TLS handshake to fail")
				}
				return
			}
			in, inEnd := io.Pipe()
			out, outEnd := io.Pipe()
			done := make(chan error, 1)
			go func() {
				done <- Serve(t.Context(), o, in, outEnd)
				_ = outEnd.Close() // cannot fail for an io.Pipe
			}()
			lines := bufio.NewScanner(out)
			updates := 0
			for lines.Scan() {
				var message Message
				if err := json.Unmarshal(lines.Bytes(), &message); err != nil {
					t.Fatal(err)
				}
				if message.Update == nil {
					continue
				}
				u := message.Update
				if !u.Complete || len(u.Members) != 1 || u.Members[0].ID != "a" || u.Resync != (updates == 1) {
					t.Errorf("update %d = %+v, want a complete list of member a, with resync = %v",
						updates+1, *u, updates == 1)
				}
				if updates++; updates > 1 {
					_ = inEnd.Close() // cannot fail for an io.Pipe
					continue
				}
				go func() { // request a resync, like a relay
					if _, err := io.WriteString(inEnd, ResyncCommand+"\n"); err != nil {
						t.Error(err)
					}
				}()
			}
			if err := <-done; err != nil || updates != 2 {
				t.Errorf("Serve() = %v after %d updates, want nil after 2", err, updates)
			}
		})
	}
}
