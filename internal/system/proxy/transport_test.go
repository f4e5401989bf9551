package proxy

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
)

// TestNoHTTPTransport checks that this package does not use the client side of net/http, which resends some requests on its own: every
// send to a server must be one that clientRequest.tryServer or startHedge has counted.
func TestNoHTTPTransport(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, error %v", len(files), err)
	}
	banned := map[string]bool{"Transport": true, "Client": true, "DefaultClient": true, "DefaultTransport": true, "Get": true,
		"Post": true, "PostForm": true, "Head": true, "RoundTripper": true}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if s, ok := n.(*ast.SelectorExpr); ok && banned[s.Sel.Name] {
				if x, ok := s.X.(*ast.Ident); ok && x.Name == "http" {
					t.Errorf("%s: http.%s", set.Position(s.Pos()), s.Sel.Name)
				}
			}
			return true
		})
	}
}
