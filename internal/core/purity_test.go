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

// commonImports are the packages that every deterministic package may import.
const commonImports = "bytes cmp container/heap errors fmt log/slog maps math math/bits math/rand/v2 net slices sort " +
	"strconv strings troutusher/policy troutusher/internal/idlestore troutusher/internal/membership " +
	"troutusher/internal/msgtrace troutusher/internal/metrics troutusher/internal/timerwheel"

// deterministicPackages maps the directory of each deterministic package to the packages that it may
// import in addition to commonImports.
var deterministicPackages = map[string]string{
	".": "github.com/cespare/xxhash/v2 github.com/fxamacker/cbor/v2", // pure functions over bytes
	// The random seed of hash/maphash changes no result, since no result depends on the order of a
	// hash table.
	"../idlestore":  "container/list encoding/binary hash/maphash net/netip",
	"../connlimit":  "",
	"../handover":   "",
	"../lifecycle":  "",
	"../membership": "",
	"../metrics":    "",
	"../msgtrace":   "",
	"../resp":       "",
	"../sendgate":   "sync", // many calls use it concurrently; otherwise it is deterministic
	"../timerwheel": "",
	// It handles certificates and times, but must not read the clock or the system's roots.
	"../tlspolicy": "container/list crypto/ecdsa crypto/ed25519 crypto/rsa crypto/sha256 crypto/x509 encoding/asn1 " +
		"encoding/base64 encoding/binary golang.org/x/crypto/ocsp time",
	"../source/etcd":     "encoding/json", // decodes values
	"../source/registry": "time",          // for durations
	"../../policy":       "",
}

// allowedNames are, by package, the only names that may be used.
var allowedNames = map[string]string{
	"net":  "SplitHostPort JoinHostPort",
	"rand": "New NewPCG Rand PCG Source", // only sources with an explicit seed
	"slog": "Group Int64 Level LevelDebug LevelInfo LevelWarn LevelError LevelVar Leveler",
}

// forbiddenNames are, by package, names that may not be used.
var forbiddenNames = map[string]string{
	"time": "Now Since Until Sleep After AfterFunc NewTimer NewTicker Tick",
	"x509": "SystemCertPool",
}

// TestDeterministicPackages guards against nondeterminism in the packages that must be deterministic:
// none may read a clock, use a global random source, start a goroutine, or open a file or connection.
func TestDeterministicPackages(t *testing.T) {
	for _, dir := range slices.Sorted(maps.Keys(deterministicPackages)) {
		allowed := strings.Fields(commonImports + " " + deterministicPackages[dir])
		packages, err := parser.ParseDir(token.NewFileSet(), dir, isSourceFile, 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(packages) == 0 {
			t.Errorf("ParseDir(%s) found no package, want one", dir)
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
			t.Errorf("%s imports %q, which is not allowed in a deterministic package", name, path)
		}
	}
}

func checkNode(t *testing.T, name string, node ast.Node) {
	t.Helper()
	switch node := node.(type) {
	case *ast.GoStmt, *ast.SelectStmt, *ast.SendStmt, *ast.ChanType:
		t.Errorf("%s uses a goroutine or a channel, which a deterministic package must not do", name)
	case *ast.SelectorExpr:
		p, ok := node.X.(*ast.Ident)
		if !ok {
			return
		}
		allowed, restricted := allowedNames[p.Name]
		if restricted && !slices.Contains(strings.Fields(allowed), node.Sel.Name) ||
			slices.Contains(strings.Fields(forbiddenNames[p.Name]), node.Sel.Name) {
			t.Errorf("%s uses %s.%s, which is not allowed in a deterministic package", name, p.Name, node.Sel.Name)
		}
	}
}
