// Package core_test checks the architecture: which packages are pure, and that imports
// point to lower layers only.
package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// walk calls each for every Go source file below a directory, except tests.
func walk(t *testing.T, root string, each func(path string, f *ast.File)) {
	n := 0
	require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		require.NoError(t, err)
		n++
		each(path, f)
		return nil
	}))
	require.NotZero(t, n, root)
}

func imports(f *ast.File) (out []string) {
	for _, i := range f.Imports {
		path, _ := strconv.Unquote(i.Path.Value)
		out = append(out, path)
	}
	return out
}

// The decision packages do no I/O, read no clock, start no goroutine and do no logging.
func TestPure(t *testing.T) {
	for _, root := range []string{".", "../../choice", "../cluster", "../paths"} {
		walk(t, root, func(path string, f *ast.File) {
			for _, i := range imports(f) {
				for _, forbidden := range []string{"net", "os", "log", "io/fs", "sync", "syscall", "runtime", "context"} {
					require.False(t, i == forbidden || strings.HasPrefix(i, forbidden+"/"), "%s imports %s", path, i)
				}
			}
			ast.Inspect(f, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt:
					t.Errorf("%s starts a goroutine", path)
				case *ast.SelectorExpr:
					if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" && (n.Sel.Name == "Now" || n.Sel.Name == "Since" || n.Sel.Name == "Until" || n.Sel.Name == "After") {
						t.Errorf("%s reads the clock", path)
					}
				}
				return true
			})
		})
	}
}

// Imports point downwards: a package never imports one of a higher layer, and the
// downstream and upstream sides import the exchange but not each other.
func TestImportDirection(t *testing.T) {
	layers := []struct {
		dir       string
		forbidden []string
	}{
		{"../../choice", []string{"saddleport/"}},
		{".", []string{"saddleport/internal/app", "saddleport/internal/downstream", "saddleport/internal/upstream", "saddleport/internal/exchange",
			"saddleport/internal/hook", "saddleport/internal/source", "saddleport/internal/lab", "saddleport/internal/logs"}},
		{"../exchange", []string{"saddleport/internal/app", "saddleport/internal/downstream", "saddleport/internal/upstream", "saddleport/internal/hook",
			"saddleport/internal/source", "saddleport/internal/lab"}},
		{"../downstream", []string{"saddleport/internal/app", "saddleport/internal/upstream", "saddleport/internal/hook", "saddleport/internal/lab"}},
		{"../upstream", []string{"saddleport/internal/app", "saddleport/internal/downstream", "saddleport/internal/hook", "saddleport/internal/lab"}},
		{"../hook", []string{"saddleport/internal/app", "saddleport/internal/downstream", "saddleport/internal/upstream", "saddleport/internal/lab"}},
		{"../source", []string{"saddleport/internal/app", "saddleport/internal/downstream", "saddleport/internal/upstream", "saddleport/internal/exchange", "saddleport/internal/lab"}},
		{"../app", []string{"saddleport/internal/lab", "saddleport/internal/node", "saddleport/internal/cluster"}},
		{"../paths", []string{"saddleport/"}},
		{"../cluster", []string{"saddleport/internal/app", "saddleport/internal/downstream", "saddleport/internal/upstream", "saddleport/internal/exchange",
			"saddleport/internal/node", "saddleport/internal/lab", "saddleport/choice"}},
		{"../node", []string{"saddleport/internal/app", "saddleport/internal/lab", "saddleport/internal/hook", "saddleport/internal/source"}},
		{"../operator", []string{"saddleport/internal/app", "saddleport/internal/hook", "saddleport/internal/source"}},
		{"../../sdk", []string{"saddleport/internal"}},
	}
	for _, l := range layers {
		walk(t, l.dir, func(path string, file *ast.File) {
			for _, i := range imports(file) {
				for _, forbidden := range l.forbidden {
					require.False(t, strings.HasPrefix(i, forbidden), "%s imports %s", path, i)
				}
			}
		})
	}
}
