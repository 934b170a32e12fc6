package layout

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const root = "../.."

// rule forbids imports in the files of a directory and its subdirectories.
type rule struct {
	name, directory string
	forbidden       []string // import paths, with the packages below them
	allowed         []string // exceptions
}

var rules = []rule{
	{
		name: "the state machines do no I/O", directory: "internal/cluster",
		forbidden: []string{"os", "net", "syscall", "log", "sync", "io", "bufio", "crypto/rand", "saddleport/internal/node",
			"saddleport/internal/lab", "saddleport/internal/downstream", "saddleport/internal/upstream", "saddleport/internal/exchange",
			"saddleport/internal/transport", "saddleport/choice"},
	},
	{
		name: "the decision logic does no I/O", directory: "choice",
		forbidden: []string{"os", "net", "syscall", "log", "crypto/rand", "saddleport/internal"},
	},
	{
		name: "connections do not depend on the programs", directory: "internal/upstream",
		forbidden: []string{"saddleport/internal/node", "saddleport/internal/lab", "saddleport/internal/app", "saddleport/internal/downstream"},
	},
	{
		name: "connections do not depend on the programs", directory: "internal/downstream",
		forbidden: []string{"saddleport/internal/node", "saddleport/internal/lab", "saddleport/internal/app", "saddleport/internal/upstream"},
	},
	{
		name: "the exchange depends neither on downstream nor on upstream connections", directory: "internal/exchange",
		forbidden: []string{"saddleport/internal/node", "saddleport/internal/lab", "saddleport/internal/app", "saddleport/internal/downstream", "saddleport/internal/upstream"},
	},
	{
		name: "the programs do not depend on the lab or the application", directory: "internal/node",
		forbidden: []string{"saddleport/internal/lab", "saddleport/internal/app"},
	},
	{
		name: "a program does not depend on another program", directory: "internal/node/proxy",
		forbidden: []string{"saddleport/internal/node/agent", "saddleport/internal/node/controlplane", "saddleport/internal/node/cli"},
		allowed:   []string{"saddleport/internal/node/agentapi"},
	},
	{
		name: "a program does not depend on another program", directory: "internal/node/agent",
		forbidden: []string{"saddleport/internal/node/proxy", "saddleport/internal/node/controlplane", "saddleport/internal/node/cli"},
	},
	{
		name: "a program does not depend on another program", directory: "internal/node/controlplane",
		forbidden: []string{"saddleport/internal/node/proxy", "saddleport/internal/node/agent", "saddleport/internal/node/cli"},
		allowed:   []string{"saddleport/internal/node/agentapi"},
	},
	{
		name: "the TCP options do not depend on other packages of this module", directory: "internal/transport",
		forbidden: []string{"saddleport/"},
	},
}

// TestImports checks the rules for all files but tests, which may import any package.
func TestImports(t *testing.T) {
	for _, r := range rules {
		t.Run(r.directory, func(t *testing.T) {
			for file, imports := range importsBelow(t, r.directory) {
				for _, path := range imports {
					if matches(path, r.forbidden) && !matches(path, r.allowed) {
						t.Errorf("%s imports %s: %s", file, path, r.name)
					}
				}
			}
		})
	}
}

// matches reports whether an import path is one of the prefixes or lies below one.
func matches(path string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if path == prefix || strings.HasPrefix(path, strings.TrimSuffix(prefix, "/")+"/") {
			return true
		}
	}
	return false
}

// importsBelow returns the imports of each Go file below a directory, without tests.
func importsBelow(t *testing.T, directory string) map[string][]string {
	t.Helper()
	imports := make(map[string][]string)
	err := filepath.WalkDir(filepath.Join(root, directory), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, imported := range file.Imports {
			name, err := strconv.Unquote(imported.Path.Value)
			if err != nil {
				return err
			}
			imports[path] = append(imports[path], name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(imports) == 0 {
		t.Fatalf("no Go files below %s", directory)
	}
	return imports
}
