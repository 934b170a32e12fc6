// Command readability counts what makes the code hard to read, by part of the tree: words of
// the operators' pages or of earlier versions, long functions and files, errors made from
// strings, and imports that point upwards.
//
//	go run ./tools/readability [--strict] [FOLDER ...]
//
// With --strict it fails unless all of these are 0.
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

// words are those that docs/GLOSSARY.md replaces. Names on the wire are excepted by line.
var words = regexp.MustCompile(`(?i)\b(told|held|tells|whole|words?|news|books?|beats?|aim|council|kin|letter|seat|affair|flock|clerk|purse|herd|mail|tide|echo|keel|lens|charter|laggards?|mixers?)\b`)

// wire are lines that carry a name of the wire, the disk or the settings.
var wire = regexp.MustCompile(`json:"|/Herd\.|/Core\.Mail|KindAgent +=|KindControlPlane +=|OldName|Role += "herd"|pathPrefix`)

type counts struct {
	files, lines, words, longFunctions, untypedErrors, longFiles, upward int
}

func main() {
	strict := flag.Bool("strict", false, "fail unless all of these are 0")
	flag.Parse()
	folders := flag.Args()
	if len(folders) == 0 {
		folders = []string{"internal/cluster", "internal/node", "internal/transport", "internal/exchange", "internal/downstream",
			"internal/upstream", "internal/core", "internal/lab", "internal/app", "internal/source", "internal/hook", "choice"}
	}
	fmt.Printf("%-22s %6s %7s %6s %15s %15s %11s %7s\n", "folder", "files", "lines", "words", "functions>60", "errors of text", "files>600", "upward")
	failed := false
	for _, folder := range folders {
		c, err := count(folder)
		if err != nil {
			fmt.Fprintln(os.Stderr, "readability:", err)
			os.Exit(1)
		}
		failed = failed || c.words+c.longFunctions+c.untypedErrors+c.longFiles+c.upward > 0
		fmt.Printf("%-22s %6d %7d %6d %15d %15d %11d %7d\n", folder, c.files, c.lines, c.words, c.longFunctions, c.untypedErrors, c.longFiles, c.upward)
	}
	if *strict && failed {
		os.Exit(1)
	}
}

func count(folder string) (counts, error) {
	var c counts
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
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
		if !wire.MatchString(line) {
			c.words += len(words.FindAllString(line, -1))
		}
		if untypedError(line) {
			c.untypedErrors++
		}
	}
	return c.addSyntax(path, text)
}

// untypedError reports whether a line makes an error of text alone. Sentinels at package
// level and errors that wrap another one are not counted.
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
		if pointsUp(path, strings.Trim(imported.Path.Value, `"`)) {
			c.upward++
		}
	}
	return nil
}

// pointsUp reports whether a package of the machines or of connections imports one above it.
func pointsUp(path, imported string) bool {
	for _, low := range []string{"internal/cluster", "internal/core", "internal/transport", "internal/upstream", "internal/downstream", "internal/exchange", "choice"} {
		if strings.HasPrefix(path, low) && (strings.HasPrefix(imported, "saddleport/internal/node") || strings.HasPrefix(imported, "saddleport/internal/lab") || strings.HasPrefix(imported, "saddleport/internal/app")) {
			return true
		}
	}
	return false
}
