// Command readability counts what makes the code hard to read, by directory: replaced terms (from
// the operators' pages or earlier versions), long functions, long files, untyped errors, and
// imports of a higher layer.
//
//	go run ./tools/readability [--strict] [DIRECTORY ...]
//
// With --strict it fails unless all counts are 0.
package main

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

const (
	maxFunctionLines = 60
	maxFileLines     = 600
)

// replacedTerms matches terms that docs/GLOSSARY.md replaces. Lines that match externalNames are
// not searched.
var replacedTerms = regexp.MustCompile(`(?i)\b(told|held|tells|whole|words?|news|books?|beats?|aim|council|kin|letter|seat|affair|flock|clerk|purse|herd|mail|tide|echo|keel|lens|charter|laggards?|mixers?)\b`)

// externalNames matches lines with a name of the wire protocol, the stored data or the settings.
var externalNames = regexp.MustCompile(`json:"|/Herd\.|/Core\.Mail|KindAgent +=|KindControlPlane +=|OldName|Role += "herd"|pathPrefix`)

type counts struct {
	files, lines, terms, longFunctions, untypedErrors, longFiles, upward int
}

func main() {
	strict := flag.Bool("strict", false, "fail unless all counts are 0")
	flag.Parse()
	directories := flag.Args()
	if len(directories) == 0 {
		directories = []string{"internal/cluster", "internal/node", "internal/transport", "internal/exchange", "internal/downstream",
			"internal/upstream", "internal/core", "internal/lab", "internal/app", "internal/source", "internal/hook", "choice"}
	}
	fmt.Printf("%-22s %6s %7s %6s %15s %15s %11s %7s\n", "directory", "files", "lines", "terms", "functions>60", "untyped errors", "files>600", "upward")
	failed := false
	for _, directory := range directories {
		c, err := count(directory)
		if err != nil {
			fmt.Fprintln(os.Stderr, "readability:", err)
			os.Exit(1)
		}
		failed = failed || c.terms+c.longFunctions+c.untypedErrors+c.longFiles+c.upward > 0
		fmt.Printf("%-22s %6d %7d %6d %15d %15d %11d %7d\n", directory, c.files, c.lines, c.terms, c.longFunctions, c.untypedErrors, c.longFiles, c.upward)
	}
	if *strict && failed {
		os.Exit(1)
	}
}

func count(directory string) (counts, error) {
	var c counts
	err := filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		return c.add(path)
	})
	return c, err
}

func (c *counts) add(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	lines := strings.Split(string(text), "\n")
	c.files++
	c.lines += len(lines)
	if len(lines) > maxFileLines {
		c.longFiles++
	}
	for _, line := range lines {
		if !externalNames.MatchString(line) {
			c.terms += len(replacedTerms.FindAllString(line, -1))
		}
		if untypedError(line) {
			c.untypedErrors++
		}
	}
	return c.addSyntax(path, text)
}

// untypedError reports whether a line makes an error that consists of text only. Sentinel errors
// at package level and errors that wrap another one are not counted.
func untypedError(line string) bool {
	if strings.HasPrefix(line, "var ") || strings.HasPrefix(line, "\tErr") {
		return false
	}
	return strings.Contains(line, "errors.New(") || strings.Contains(line, "fmt.Errorf(") && !strings.Contains(line, "%w")
}

func (c *counts) addSyntax(path string, text []byte) error {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, text, 0)
	if err != nil {
		return err
	}
	for _, declaration := range file.Decls {
		if f, ok := declaration.(*ast.FuncDecl); ok && files.Position(f.End()).Line-files.Position(f.Pos()).Line >= maxFunctionLines {
			c.longFunctions++
		}
	}
	for _, imported := range file.Imports {
		if importsUpward(path, strings.Trim(imported.Path.Value, `"`)) {
			c.upward++
		}
	}
	return nil
}

// importsUpward reports whether a package of the state machines, the decision logic or the
// connections imports a package of the programs, the lab or the application.
func importsUpward(path, imported string) bool {
	for _, lowerLayer := range []string{"internal/cluster", "internal/core", "internal/transport", "internal/upstream", "internal/downstream", "internal/exchange", "choice"} {
		if strings.HasPrefix(path, lowerLayer) && (strings.HasPrefix(imported, "saddleport/internal/node") || strings.HasPrefix(imported, "saddleport/internal/lab") || strings.HasPrefix(imported, "saddleport/internal/app")) {
			return true
		}
	}
	return false
}
