package main

import (
	"os"
	"strings"
	"testing"
)

// The usage text of each subcommand is as the release before printed it: to standard
// output, with exit code 0.
func TestUsageTexts(t *testing.T) {
	t.Setenv("COLUMNS", "80")
	text, err := os.ReadFile("testdata/usage.txt")
	if err != nil {
		t.Fatal(err)
	}
	const head = "== "
	sections := strings.Split("\n"+string(text), "\n"+head)[1:]
	if len(sections) != 21 {
		t.Fatalf("%d usage texts, want 21", len(sections))
	}
	for i, section := range sections {
		name, want, _ := strings.Cut(section, "\n")
		if i < len(sections)-1 {
			want += "\n" // the one that the cut took
		}
		for _, help := range []string{"-h", "--help"} {
			args := append(strings.Fields(name), help)
			if name == "(none)" {
				args = []string{help}
			}
			code, out, errs := run(args...)
			if code != 0 || out != want || errs != "" {
				t.Errorf("%v: exit code %d, errors %q, got\n%s\nwant\n%s", args, code, errs, out, want)
			}
		}
	}
}

// What is wrong with the arguments is told on standard error in these words.
func TestUsageErrors(t *testing.T) {
	t.Setenv("TROUTUSHER_OPERATOR", "")
	for _, test := range []struct {
		args string
		code int
		errs string
	}{
		{"learned", exitConfig, "troutusher learned: expected \"inspect\"\n"},
		{"members", exitConfig, "troutusher members: expected \"<state>\"\n"},
		{"members /none", exitFailed, "troutusher members: open /none: no such file or directory\n"},
		{
			"publish", exitConfig,
			"troutusher publish: expected one of \"list\", \"drain\", \"undrain\", \"remove\", \"show\"\n",
		},
		{"publish drain", exitConfig, "troutusher publish: expected \"<id> ...\"\n"},
		{"publish show", exitFailed, "troutusher publish: TROUTUSHER_OPERATOR: not set\n"},
		{"publish show x", exitConfig, "troutusher publish: unexpected argument x\n"},
		{"fleet", exitConfig, "troutusher fleet: expected \"report\"\n"},
		{"fleet nope", exitConfig, "troutusher fleet: unexpected argument nope\n"},
		{"fleet report --nope", exitConfig, "troutusher fleet: unknown flag --nope\n"},
		{"follow", exitConfig, "troutusher follow: TROUTUSHER_OPERATOR: not set\n"},
		{"follow x", exitConfig, "troutusher follow: too many arguments: x\n"},
		{"crowd x", exitConfig, "troutusher crowd: too many arguments: x\n"},
		{"rehearse a b", exitConfig, "troutusher rehearse: too many arguments: a b\n"},
		{"put --class a", exitConfig, "troutusher put: --to is missing\n"},
		{"put --to a", exitConfig, "troutusher put: --class is missing\n"},
		{"tls check /none", exitConfig, "open /none: no such file or directory\n"},
	} {
		code, out, errs := run(strings.Fields(test.args)...)
		if code != test.code || out != "" || errs != test.errs {
			t.Errorf("%s: exit code %d, %q, %q; want %d, %q", test.args, code, out, errs, test.code, test.errs)
		}
	}
	// These print a usage text as well, whose first lines are enough.
	for args, want := range map[string]string{
		"tls":          "troutusher tls: expected one of \"check\", \"inspect\", \"probe\", \"dev-ca\"\n",
		"tls nope":     "troutusher tls: unexpected argument nope\n",
		"tls check":    "troutusher tls: expected \"<file>\"\n",
		"crowd --nope": "flag provided but not defined: -nope\nusage: troutusher crowd [flags]\n",
		"nope":         "troutusher: unknown command \"nope\"\n\nusage: troutusher  ",
	} {
		code, out, errs := run(strings.Fields(args)...)
		if code != exitConfig || !strings.HasPrefix(errs+out, want) {
			t.Errorf("%s: exit code %d, %q, %q; want %q first", args, code, out, errs, want)
		}
	}
}
