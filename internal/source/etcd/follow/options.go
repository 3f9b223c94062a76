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

// FromOperator makes options of the operator's file. Errors name the key concerned.
func FromOperator(e *operatorconfig.Etcd) (Options, error) {
	o := Options{
		Settings:  etcd.DefaultSettings(e.Prefix, len(e.Endpoints)),
		Endpoints: e.Endpoints,
		User:      e.User,
	}
	if len(e.Endpoints) == 0 {
		return o, errors.New("etcd.endpoints: none in the operator's file")
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

// tlsConfig is how members are verified, and which certificate is shown to them.
func tlsConfig(e *operatorconfig.Etcd) (*tls.Config, error) {
	text, err := os.ReadFile(e.Roots)
	if err != nil {
		return nil, fmt.Errorf("etcd.roots: %w", err)
	}
	config := &tls.Config{RootCAs: x509.NewCertPool(), ServerName: e.ServerName, MinVersion: tls.VersionTLS12}
	if !config.RootCAs.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("etcd.roots: %s holds no certificate", e.Roots)
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
