package operatorconfig

import (
	"net"
	"strings"

	"troutusher/internal/tomlfile"
)

const (
	maxEtcdEndpoints    = 64
	maxEtcdPrefixLength = 256
)

// Etcd contains the settings for an etcd cluster that provides endpoints in addition to
// discovery.
type Etcd struct {
	// Endpoints contains the addresses of the cluster's members, as host:port. If it is
	// empty, etcd is not used.
	Endpoints []string `toml:"endpoints"`
	// Prefix is the prefix of the keys. It is a path that begins with a slash.
	Prefix string `toml:"prefix"`
	// User and PasswordFile are the credentials. PasswordFile is the path of a file that
	// contains the password.
	User         string `toml:"user"`
	PasswordFile string `toml:"password_file"`
	// Roots is a PEM file with the trusted certificate authorities. If it is set, the
	// members are called over TLS.
	Roots string `toml:"roots"`
	// Certificate and Key are PEM files with the client certificate and its private key.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// ServerName is the name that a member's certificate must contain.
	ServerName string `toml:"server_name"`
	// Precedence is "etcd" or "registry". It names the source whose address and rate are
	// used if the two sources differ.
	Precedence string `toml:"first"`
}

func (e *Etcd) validate(check *tomlfile.Checker) {
	if len(e.Endpoints) == 0 {
		if e.Prefix != "" || e.User != "" {
			check.Errorf("etcd.endpoints", "missing")
		}
		return
	}
	if len(e.Endpoints) > maxEtcdEndpoints {
		check.Errorf("etcd.endpoints", "%d, want %d at most", len(e.Endpoints), maxEtcdEndpoints)
	}
	for _, address := range e.Endpoints {
		if host, port, err := net.SplitHostPort(address); err != nil || host == "" || !isPort(port) {
			check.Errorf("etcd.endpoints", "%.80q, want host:port", address)
		}
	}
	isPath := strings.HasPrefix(e.Prefix, "/") && strings.Trim(e.Prefix, "/") != ""
	if !isPath || len(e.Prefix) > maxEtcdPrefixLength {
		check.Errorf("etcd.prefix", "%.80q, want a path that begins with a slash", e.Prefix)
	}
	if !bothOrNeither(e.User, e.PasswordFile) {
		check.Errorf("etcd.user", "user and password_file are named together or not at all")
	}
	if !bothOrNeither(e.Certificate, e.Key) {
		check.Errorf("etcd.certificate", "certificate and key are named together or not at all")
	}
	if e.Roots == "" && (e.Certificate != "" || e.ServerName != "") {
		check.Errorf("etcd.roots", "missing, with a certificate or a server_name")
	}
	if !oneOf(e.Precedence, "etcd", "registry") {
		check.Errorf("etcd.first", "%.40q, want etcd or registry", e.Precedence)
	}
}
