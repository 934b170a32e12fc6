package hook

// The manifest of a set, hooks.ini, and the files that it names. Files outside the
// directory of the set must never be read.

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"saddleport/internal/inifile"
	"saddleport/sdk/hookabi"
)

// ManifestName is the file name of the manifest in the directory of its set.
const ManifestName = "hooks.ini"

const (
	maxHooks = 64
	maxTests = 256
	maxFile  = 16 << 20
)

// About is the section [set] of the manifest.
type About struct {
	Name string `ini:"name" need:"yes" help:"the name of the set in reports and logs"`
	ABI  int    `ini:"abi" default:"1" range:"1..1" help:"the version of the view that the hooks expect"`
	Note string `ini:"note" help:"a comment"`
}

// Spec is a section [hook NAME] of the manifest.
type Spec struct {
	Name       string
	File       string        `ini:"file" need:"yes" help:"the path in the set's directory; .star or .wasm"`
	Engine     string        `ini:"engine" default:"auto" oneof:"auto starlark wasm" help:"auto: by the ending of the file name"`
	Points     []string      `ini:"points" need:"yes" oneof:"taken admission send answered answer ended" help:"the points at which the hook is called"`
	Order      int           `ini:"order" default:"100" range:"0..10000" help:"hooks with lower numbers are called first"`
	Classes    []string      `ini:"classes" help:"the classes for which the hook is called; empty: all"`
	Budget     time.Duration `ini:"budget" default:"3ms" range:"100us..100ms" help:"the time limit of one call"`
	Memory     inifile.Bytes `ini:"memory" default:"8MiB" range:"64KiB..64MiB" help:"the memory limit; Starlark: of one call; WebAssembly: of one instance"`
	Steps      int           `ini:"steps" default:"200000" range:"1000..100000000" help:"Starlark: the step limit of one call"`
	Instance   string        `ini:"instance" default:"pooled" oneof:"pooled fresh" help:"WebAssembly: fresh creates an instance for each call"`
	OnFailure  string        `ini:"on-failure" default:"skip" oneof:"skip refuse" help:"what happens to a query if the hook fails"`
	RetryAfter time.Duration `ini:"retry-after" default:"0s" range:"0s..1m" help:"the retry advice of on-failure = refuse; 0s: that of the class"`
}

// Test is a section [test NAME] of the manifest: a view, and the result or the fault that
// the hook must give for it.
type Test struct {
	Name   string
	Hook   string `ini:"hook" need:"yes" help:"the hook that is called"`
	View   string `ini:"view" need:"yes" help:"a JSON file with the view"`
	Expect string `ini:"expect" help:"a JSON file with the expected result"`
	Fault  string `ini:"fault" oneof:"overrun memory thrown garbage forbidden" help:"or the expected kind of failure"`
}

// Manifest is a valid manifest and the contents of the files that it names.
type Manifest struct {
	Dir   string
	About About
	Hooks []Spec // in the order in which they are called
	Tests []Test
	Files map[string][]byte // by path

	sections map[string]*inifile.Section // by name, to report errors with their line
}

// ReadManifest reads the manifest in a directory and the files that it names. classes are
// those of the deployment; nil: any class is accepted.
func ReadManifest(dir string, classes []string) (*Manifest, error) {
	root, err := os.OpenRoot(dir)
	if err != nil {
		return nil, err
	}
	defer root.Close()
	text, err := readFile(root, ManifestName)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(dir, ManifestName), err)
	}
	m, err := ParseManifest(filepath.Join(dir, ManifestName), text, classes)
	if err != nil {
		return nil, err
	}
	m.Dir = dir
	references := make(map[string][2]string) // section and key that name a file, by the file's path
	for _, h := range m.Hooks {
		references[h.File] = [2]string{"hook " + h.Name, "file"}
	}
	for _, t := range m.Tests {
		references[t.View] = [2]string{"test " + t.Name, "view"}
		if t.Expect != "" {
			references[t.Expect] = [2]string{"test " + t.Name, "expect"}
		}
	}
	for name, ref := range references {
		if m.Files[name], err = readFile(root, name); err != nil {
			var pathErr *fs.PathError
			if errors.As(err, &pathErr) {
				err = pathErr.Err
			}
			return nil, m.sections[ref[0]].Errorf(ref[1], "%s: %v", name, err)
		}
	}
	return m, nil
}

func readFile(root *os.Root, name string) ([]byte, error) {
	f, err := root.Open(filepath.FromSlash(name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil {
		return nil, err
	} else if !info.Mode().IsRegular() {
		return nil, errors.New("not a regular file")
	}
	text, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err == nil && len(text) > maxFile {
		err = fmt.Errorf("more than %d bytes", maxFile)
	}
	return text, err
}

// ParseManifest parses and checks the text of a manifest. file is its name in errors.
func ParseManifest(file string, text []byte, classes []string) (*Manifest, error) {
	doc, err := inifile.Parse(file, text)
	if err != nil {
		return nil, err
	}
	m := &Manifest{Files: make(map[string][]byte), sections: make(map[string]*inifile.Section)}
	hasSet := false
	for _, s := range doc.Sections {
		m.sections[s.Name] = s
		if (s.Kind == "hook" || s.Kind == "test") && !hookabi.Name(s.Label) {
			return nil, s.Errorf("", "a name must be 1 to 32 characters of a-z, 0-9 and -")
		}
		switch s.Kind {
		case "set":
			if s.Label != "" {
				return nil, s.Errorf("", "unknown section; did you mean [set]?")
			}
			hasSet = true
			if err := s.Decode(&m.About); err != nil {
				return nil, err
			}
			if !hookabi.Name(m.About.Name) {
				return nil, s.Errorf("name", "must be 1 to 32 characters of a-z, 0-9 and -")
			}
		case "hook":
			h := Spec{Name: s.Label}
			if err := s.Decode(&h); err != nil {
				return nil, err
			}
			if h.Engine == "auto" {
				switch path.Ext(h.File) {
				case ".star":
					h.Engine = "starlark"
				case ".wasm":
					h.Engine = "wasm"
				default:
					return nil, s.Errorf("file", "%s: the extension is neither .star nor .wasm: engine must be set", h.File)
				}
			}
			if len(h.Points) == 0 {
				return nil, s.Errorf("points", "at least one point is required")
			}
			for _, c := range h.Classes {
				if classes != nil && !slices.Contains(classes, c) {
					return nil, s.Errorf("classes", "%s: unknown class; the classes are: %s", c, strings.Join(classes, ", "))
				}
			}
			m.Hooks = append(m.Hooks, h)
		case "test":
			t := Test{Name: s.Label}
			if err := s.Decode(&t); err != nil {
				return nil, err
			}
			if (t.Expect == "") == (t.Fault == "") {
				return nil, s.Errorf("", "exactly one of expect and fault must be set")
			}
			m.Tests = append(m.Tests, t)
		default:
			return nil, s.Errorf("", "unknown section; the sections are: set, hook NAME, test NAME")
		}
	}
	switch {
	case !hasSet:
		return nil, &inifile.Error{File: file, Problem: "section [set] is missing"}
	case len(m.Hooks) > maxHooks:
		return nil, &inifile.Error{File: file, Problem: fmt.Sprintf("more than %d hooks", maxHooks)}
	case len(m.Tests) > maxTests:
		return nil, &inifile.Error{File: file, Problem: fmt.Sprintf("more than %d tests", maxTests)}
	}
	for _, t := range m.Tests {
		if !slices.ContainsFunc(m.Hooks, func(h Spec) bool { return h.Name == t.Hook }) {
			return nil, m.sections["test "+t.Name].Errorf("hook", "%s: unknown hook", t.Hook)
		}
	}
	slices.SortStableFunc(m.Hooks, func(a, b Spec) int { return a.Order - b.Order })
	return m, nil
}

// digest returns a hash of a hook's section and file. It differs if the hook was changed.
func (m *Manifest) digest(h Spec) [32]byte {
	return sha256.Sum256(append([]byte(fmt.Sprintf("%+v\n", h)), m.Files[h.File]...))
}
