package operatorconfig

import (
	"strings"
	"testing"
)

// Guards against an invalid etcd table that is accepted, and against an error that does not
// name the key.
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
			t.Errorf("Parse(%q): error %v, want one that names %q", text, err, want)
		}
	}
}
