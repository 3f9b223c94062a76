package operatorconfig

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"testing"
)

// Guards against a key that is ignored or stored in the wrong field. The file must set every
// key, so that a new key is tested as well.
func TestEveryKey(t *testing.T) {
	path := filepath.Join("testdata", "every_key.toml")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse(path, text)
	if err != nil {
		t.Fatal(err)
	}
	weight := 2.5
	want := &File{
		Clients: Clients{
			ListenAddresses:            []string{"127.0.0.1:7001", "[::1]:7002"},
			Descriptors:                20000,
			MaxConns:                   19000,
			MaxUnvalidated:             9500,
			SingleUseEvictionThreshold: 18000,
			IdleTimeoutS:               600.5,
			MemoryMB:                   64,
		},
		TLSRules: []TLSRule{
			{
				Name:         "pay",
				Destinations: []int{3, 7},
				Flavors:      []string{"lanac"},
				ServerName:   "pay.example.org",
				Roots:        "/etc/troutusher/pay-roots.pem",
				Pins: []string{
					"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=",
					"AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=",
				},
				Certificate:       "/etc/troutusher/relay.pem",
				Key:               "/etc/troutusher/relay.key",
				Revocations:       "/etc/troutusher/pay.crl",
				UnknownRevocation: "refuse",
				MinVersion:        "1.3",
				HandshakeWeight:   &weight,
				ExpiryWarningDays: 21,
			},
		},
		Handshakes: Handshakes{
			CPUShare:    0.25,
			BurstMS:     60,
			MaxParallel: 5,
			TimeoutS:    2.5,
			MaxSessions: 300,
			SessionKey:  "/etc/troutusher/session.key",
		},
		Traces:      Traces{PerSecond: 101},
		PolicyState: PolicyState{WritePeriodS: 3},
		Passivation: Passivation{MaxActive: 1025, IdleTimeoutS: 61},
		Discovery:   Discovery{MaxListMB: 5},
		Etcd: Etcd{
			Endpoints:    []string{"10.1.0.5:2379", "10.1.0.6:2379"},
			Prefix:       "/recepti",
			User:         "relay",
			PasswordFile: "/etc/troutusher/etcd.password",
			Roots:        "/etc/troutusher/etcd-roots.pem",
			Certificate:  "/etc/troutusher/etcd.pem",
			Key:          "/etc/troutusher/etcd.key",
			ServerName:   "etcd.example.org",
			Precedence:   "registry",
		},
	}
	if !reflect.DeepEqual(f, want) {
		t.Errorf("Parse(every_key.toml) =\n%+v\nwant\n%+v", f, want)
	}
	if got := unsetKeys(reflect.ValueOf(f).Elem(), "file"); len(got) > 0 {
		t.Errorf("keys that every_key.toml leaves out = %q, want none", got)
	}
}

// unsetKeys returns the keys of the fields in v that have their zero value. key is the key
// of v itself.
func unsetKeys(v reflect.Value, key string) (unset []string) {
	if v.IsZero() {
		return []string{key}
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			unset = append(unset, unsetKeys(v.Field(i), key+"."+v.Type().Field(i).Tag.Get("toml"))...)
		}
	case reflect.Slice:
		for i := range v.Len() {
			unset = append(unset, unsetKeys(v.Index(i), key)...)
		}
	}
	return unset
}

// Guards against a change of the error texts, which operators and their scripts read.
func TestErrorTexts(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "errors.json"))
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		File   string   `json:"file"`
		Errors []string `json:"errors"`
	}
	if err := json.Unmarshal(text, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		got, want := withoutGoNames(parseErrors(c.File)), withoutGoNames(c.Errors)
		if !slices.Equal(got, want) {
			t.Errorf("Parse(%q): errors =\n%q\nwant\n%q", c.File, got, want)
		}
	}
}

// goName matches the name of a Go field, which some errors of the TOML library contain. It
// is not compared, because it changes when the package or the field is renamed.
var goName = regexp.MustCompile(`struct field \S+`)

// withoutGoNames returns the texts without the names of Go fields.
func withoutGoNames(texts []string) []string {
	var list []string
	for _, text := range texts {
		list = append(list, goName.ReplaceAllString(text, "struct field"))
	}
	return list
}

// parseErrors returns the text of each error that Parse finds in a file.
func parseErrors(text string) (all []string) {
	_, err := Parse("o.toml", []byte(text))
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range many.Unwrap() {
			all = append(all, e.Error())
		}
		return all
	}
	if err != nil {
		all = append(all, err.Error())
	}
	return all
}
