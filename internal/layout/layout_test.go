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

// rule forbids imports to the files below a folder.
type rule struct {
	name, below string
	forbidden   []string // prefixes of import paths
	allowed     []string // exceptions
}

var rules = []rule{
	{
		name: "the state machines do no I/O", below: "internal/cluster",
		forbidden: []string{"os", "net", "syscall", "log", "sync", "io", "bufio", "crypto/rand", "saddleport/internal/node",
			"saddleport/internal/lab", "saddleport/internal/downstream", "saddleport/internal/upstream", "saddleport/internal/exchange",
			"saddleport/internal/transport", "saddleport/choice"},
	},
	{
		name: "the decisions do no I/O", below: "choice",
		forbidden: []string{"os", "net", "syscall", "log", "crypto/rand", "saddleport/internal"},
	},
	{
		name: "connections do not know the programs", below: "internal/upstream",
		forbidden: []string{"saddleport/internal/node", "saddleport/internal/lab", "saddleport/internal/app", "saddleport/internal/downstream"},
	},
	{
		name: "connections do not know the programs", below: "internal/downstream",
		forbidden: []string{"saddleport/internal/node", "saddleport/internal/lab", "saddleport/internal/app", "saddleport/internal/upstream"},
	},
	{
		name: "the exchange knows neither side", below: "internal/exchange",
		forbidden: []string{"saddleport/internal/node", "saddleport/internal/lab", "saddleport/internal/app", "saddleport/internal/downstream", "saddleport/internal/upstream"},
	},
	{
		name: "the programs do not know the rig", below: "internal/node",
		forbidden: []string{"saddleport/internal/lab", "saddleport/internal/app"},
	},
	{
		name: "a program does not know another one", below: "internal/node/proxy",
		forbidden: []string{"saddleport/internal/node/agent", "saddleport/internal/node/controlplane", "saddleport/internal/node/cli"},
		allowed:   []string{"saddleport/internal/node/agentapi"},
	},
	{
		name: "a program does not know another one", below: "internal/node/agent",
		forbidden: []string{"saddleport/internal/node/proxy", "saddleport/internal/node/controlplane", "saddleport/internal/node/cli"},
	},
	{
		name: "a program does not know another one", below: "internal/node/controlplane",
		forbidden: []string{"saddleport/internal/node/proxy", "saddleport/internal/node/agent", "saddleport/internal/node/cli"},
		allowed:   []string{"saddleport/internal/node/agentapi"},
	},
	{
		name: "TCP options know nothing of the system", below: "internal/transport",
		forbidden: []string{"saddleport/"},
	},
}

// Imports run downwards only; tests may look anywhere.
func TestImports(t *testing.T) {
	for _, r := range rules {
		t.Run(r.below, func(t *testing.T) {
			for file, imports := range importsBelow(t, r.below) {
				for _, path := range imports {
					if matches(path, r.forbidden) && !matches(path, r.allowed) {
						t.Errorf("%s imports %s: %s", file, path, r.name)
					}
				}
			}
		})
	}
}

// matches reports whether a path is one of the prefixes or below it.
func matches(path string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if path == prefix || strings.HasPrefix(path, strings.TrimSuffix(prefix, "/")+"/") {
			return true
		}
	}
	return false
}

func importsBelow(t *testing.T, folder string) map[string][]string {
	t.Helper()
	imports := make(map[string][]string)
	err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
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
		t.Fatalf("no files below %s", folder)
	}
	return imports
}
