package operatorconfig

import (
	"strings"
	"testing"
)

// An operator's table that makes no sense is named by its key.
func TestEtcdKeysInErrors(t *testing.T) {
	for text, want := range map[string]string{
		"prefix = \"/t\"":                                                         "etcd.endpoints",
		"endpoints = [\"x\"]\nprefix = \"/t\"":                                    "etcd.endpoints",
		"endpoints = [\"h:1\"]\nprefix = \"t\"":                                   "etcd.prefix",
		"endpoints = [\"h:1\"]\nprefix = \"/t\"\nuser = \"a\"":                    "etcd.user",
		"endpoints = [\"h:1\"]\nprefix = \"/t\"\nfirst = \"dns\"":                 "etcd.first",
		"endpoints = [\"h:1\"]\nprefix = \"/t\"\nroots = \"a\"\nkey = \"k\"":      "etcd.certificate",
		"endpoints = [\"h:1\"]\nprefix = \"/t\"\nserver_name = \"a.example.org\"": "etcd.roots",
		"endpoints = [\"h:1\"]\nprefix = \"/t\"":                                  "",
	} {
		_, err := Parse("f", []byte("[etcd]\n"+text+"\n"))
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}
