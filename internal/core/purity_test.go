package core

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// commonImports are what every deterministic package may import.
const commonImports = "bytes cmp container/heap errors fmt log/slog maps math math/bits math/rand/v2 net slices sort " +
	"strconv strings troutusher/policy troutusher/internal/idlestore troutusher/internal/membership " +
	"troutusher/internal/msgtrace troutusher/internal/metrics troutusher/internal/timerwheel"

// deterministicPackages are the folders of the deterministic packages, with what each
// may import beside the common imports.
var deterministicPackages = map[string]string{
	".": "github.com/cespare/xxhash/v2 github.com/fxamacker/cbor/v2", // pure functions over bytes
	// The seed of its hash changes no result: nothing is shown in the order of a table.
	"../idlestore":  "container/list encoding/binary hash/maphash net/netip",
	"../connlimit":  "",
	"../handover":   "",
	"../lifecycle":  "",
	"../membership": "",
	"../metrics":    "",
	"../msgtrace":   "",
	"../resp":       "",
	"../sendgate":   "sync", // it is asked by many calls at once, and else like the others
	"../timerwheel": "",
	// Its values are certificates and times; the clock and the system's roots stay out.
	"../tlspolicy": "container/list crypto/ecdsa crypto/ed25519 crypto/rsa crypto/sha256 crypto/x509 encoding/asn1 " +
		"encoding/base64 encoding/binary golang.org/x/crypto/ocsp time",
	"../source/etcd":     "encoding/json", // values are read from bytes
	"../source/registry": "time",          // durations
	"../../policy":       "",
}

// allowedNames are the only names of a package that may be used.
var allowedNames = map[string]string{
	"net":  "SplitHostPort JoinHostPort",
	"rand": "New NewPCG Rand PCG Source", // no other source than the seed's
	"slog": "Group Int64 Level LevelDebug LevelInfo LevelWarn LevelError LevelVar Leveler",
}

// forbiddenNames are names of a package that may not be used.
var forbiddenNames = map[string]string{
	"time": "Now Since Until Sleep After AfterFunc NewTimer NewTicker Tick",
	"x509": "SystemCertPool",
}

// The deterministic packages must stay so: none of them may read a clock, draw from a
// global source, start a goroutine or open anything.
func TestCoresArePure(t *testing.T) {
	for _, dir := range slices.Sorted(maps.Keys(deterministicPackages)) {
		allowed := strings.Fields(commonImports + " " + deterministicPackages[dir])
		packages, err := parser.ParseDir(token.NewFileSet(), dir, isSourceFile, 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(packages) == 0 {
			t.Errorf("%s holds no package", dir)
		}
		for _, p := range packages {
			for name, file := range p.Files {
				checkImports(t, name, file, allowed)
				ast.Inspect(file, func(node ast.Node) bool { checkNode(t, name, node); return true })
			}
		}
	}
}

func isSourceFile(file fs.FileInfo) bool { return !strings.HasSuffix(file.Name(), "_test.go") }

func checkImports(t *testing.T, name string, file *ast.File, allowed []string) {
	t.Helper()
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Contains(allowed, path) {
			t.Errorf("%s imports %s", name, path)
		}
	}
}

func checkNode(t *testing.T, name string, node ast.Node) {
	t.Helper()
	switch node := node.(type) {
	case *ast.GoStmt, *ast.SelectStmt, *ast.SendStmt, *ast.ChanType:
		t.Errorf("%s: a goroutine or a channel", name)
	case *ast.SelectorExpr:
		p, ok := node.X.(*ast.Ident)
		if !ok {
			return
		}
		allowed, restricted := allowedNames[p.Name]
		if restricted && !slices.Contains(strings.Fields(allowed), node.Sel.Name) ||
			slices.Contains(strings.Fields(forbiddenNames[p.Name]), node.Sel.Name) {
			t.Errorf("%s: %s.%s", name, p.Name, node.Sel.Name)
		}
	}
}
