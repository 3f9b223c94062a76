package follow

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"

	"troutusher/internal/operatorconfig"
	"troutusher/internal/source/etcd"
)

// FromOperator converts the etcd section of the operator's file to options. Its errors name
// the key of the file concerned.
func FromOperator(e *operatorconfig.Etcd) (Options, error) {
	o := Options{
		Settings:  etcd.DefaultSettings(e.Prefix, len(e.Endpoints)),
		Endpoints: e.Endpoints,
		User:      e.User,
	}
	if len(e.Endpoints) == 0 {
		return o, errors.New("etcd.endpoints: no endpoints in the operator's file")
	}
	if e.PasswordFile != "" {
		text, err := os.ReadFile(e.PasswordFile)
		if err != nil {
			return o, fmt.Errorf("etcd.password_file: %w", err)
		}
		o.Password = strings.TrimRight(string(text), "\r\n")
	}
	if e.Roots == "" {
		return o, nil
	}
	var err error
	o.TLS, err = tlsConfig(e)
	return o, err
}

// tlsConfig returns the TLS settings for connections to members: the roots and the name by
// which members are verified, and the client certificate, if any.
func tlsConfig(e *operatorconfig.Etcd) (*tls.Config, error) {
	text, err := os.ReadFile(e.Roots)
	if err != nil {
		return nil, fmt.Errorf("etcd.roots: %w", err)
	}
	config := &tls.Config{RootCAs: x509.NewCertPool(), ServerName: e.ServerName, MinVersion: tls.VersionTLS12}
	if !config.RootCAs.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("etcd.roots: file %s contains no certificate", e.Roots)
	}
	if e.Certificate == "" {
		return config, nil
	}
	pair, err := tls.LoadX509KeyPair(e.Certificate, e.Key)
	if err != nil {
		return nil, fmt.Errorf("etcd.certificate: %w", err)
	}
	config.Certificates = []tls.Certificate{pair}
	return config, nil
}
