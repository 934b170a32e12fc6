package hook

// This file reads a set's manifest, hooks.ini, and its files. It must never read
// outside the set's folder.

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

// ManifestName is the manifest's name in its folder.
const ManifestName = "hooks.ini"

const (
	maxHooks = 64
	maxTests = 256
	maxFile  = 16 << 20
)

// About is the manifest's section [set].
type About struct {
	Name string `ini:"name" need:"yes" help:"what operators call the set"`
	ABI  int    `ini:"abi" default:"1" range:"1..1" help:"the version of the view"`
	Note string `ini:"note" help:"a word for people"`
}

// Spec is a section [hook NAME].
type Spec struct {
	Name       string
	File       string        `ini:"file" need:"yes" help:"in the set's folder; .star or .wasm"`
	Engine     string        `ini:"engine" default:"auto" oneof:"auto starlark wasm" help:"auto: by the file's ending"`
	Points     []string      `ini:"points" need:"yes" oneof:"taken admission send answered answer ended" help:"where it is asked"`
	Order      int           `ini:"order" default:"100" range:"0..10000" help:"lower ones are asked first"`
	Classes    []string      `ini:"classes" help:"the classes it is for; none named: all"`
	Budget     time.Duration `ini:"budget" default:"3ms" range:"100us..100ms" help:"the time of one call"`
	Memory     inifile.Bytes `ini:"memory" default:"8MiB" range:"64KiB..64MiB" help:"Starlark: of one call; WebAssembly: of one instance"`
	Steps      int           `ini:"steps" default:"200000" range:"1000..100000000" help:"Starlark: of one call"`
	Instance   string        `ini:"instance" default:"pooled" oneof:"pooled fresh" help:"WebAssembly: fresh makes one for each call"`
	OnFailure  string        `ini:"on-failure" default:"skip" oneof:"skip refuse" help:"what becomes of a query where the hook fails"`
	RetryAfter time.Duration `ini:"retry-after" default:"0s" range:"0s..1m" help:"the advice of such a refusal; 0s: the class's"`
}

// Test is a section [test NAME]: a view, and what the hook must answer to it.
type Test struct {
	Name   string
	Hook   string `ini:"hook" need:"yes" help:"the hook asked"`
	View   string `ini:"view" need:"yes" help:"a JSON file with the view"`
	Expect string `ini:"expect" help:"a JSON file with the answer"`
	Fault  string `ini:"fault" oneof:"overrun memory thrown garbage forbidden" help:"or the kind of its failure"`
}

// Manifest is a manifest that has been read and found right, with its files.
type Manifest struct {
	Dir   string
	About About
	Hooks []Spec // in the order they are asked
	Tests []Test
	Files map[string][]byte
	lines map[string]*inifile.Section
}

// ReadManifest reads a set's folder. classes are the deployment's; nil: any goes.
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
	need := make(map[string][2]string) // file: section, key
	for _, h := range m.Hooks {
		need[h.File] = [2]string{"hook " + h.Name, "file"}
	}
	for _, t := range m.Tests {
		need[t.View] = [2]string{"test " + t.Name, "view"}
		if t.Expect != "" {
			need[t.Expect] = [2]string{"test " + t.Name, "expect"}
		}
	}
	for name, at := range need {
		if m.Files[name], err = readFile(root, name); err != nil {
			var pathErr *fs.PathError
			if errors.As(err, &pathErr) {
				err = pathErr.Err
			}
			return nil, m.lines[at[0]].Errorf(at[1], "%s: %v", name, err)
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
		return nil, errors.New("not a file")
	}
	text, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err == nil && len(text) > maxFile {
		err = fmt.Errorf("more than %d bytes", maxFile)
	}
	return text, err
}

// ParseManifest reads a manifest's text.
func ParseManifest(file string, text []byte, classes []string) (*Manifest, error) {
	doc, err := inifile.Parse(file, text)
	if err != nil {
		return nil, err
	}
	m := &Manifest{Files: make(map[string][]byte), lines: make(map[string]*inifile.Section)}
	about := false
	for _, s := range doc.Sections {
		m.lines[s.Name] = s
		if (s.Kind == "hook" || s.Kind == "test") && !hookabi.Name(s.Label) {
			return nil, s.Errorf("", "a name is 1 to 32 of a-z, 0-9 and -")
		}
		switch s.Kind {
		case "set":
			if s.Label != "" {
				return nil, s.Errorf("", "no such section; is [set] meant?")
			}
			about = true
			if err := s.Decode(&m.About); err != nil {
				return nil, err
			}
			if !hookabi.Name(m.About.Name) {
				return nil, s.Errorf("name", "1 to 32 of a-z, 0-9 and -")
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
					return nil, s.Errorf("file", "%s: neither .star nor .wasm: say which engine", h.File)
				}
			}
			if len(h.Points) == 0 {
				return nil, s.Errorf("points", "none is named")
			}
			for _, c := range h.Classes {
				if classes != nil && !slices.Contains(classes, c) {
					return nil, s.Errorf("classes", "%s: there is no such class; there are: %s", c, strings.Join(classes, ", "))
				}
			}
			m.Hooks = append(m.Hooks, h)
		case "test":
			t := Test{Name: s.Label}
			if err := s.Decode(&t); err != nil {
				return nil, err
			}
			if (t.Expect == "") == (t.Fault == "") {
				return nil, s.Errorf("", "one of expect and fault must be given")
			}
			m.Tests = append(m.Tests, t)
		default:
			return nil, s.Errorf("", "no such section; there are: set, hook NAME, test NAME")
		}
	}
	switch {
	case !about:
		return nil, &inifile.Error{File: file, Problem: "no section [set]"}
	case len(m.Hooks) > maxHooks:
		return nil, &inifile.Error{File: file, Problem: fmt.Sprintf("more than %d hooks", maxHooks)}
	case len(m.Tests) > maxTests:
		return nil, &inifile.Error{File: file, Problem: fmt.Sprintf("more than %d tests", maxTests)}
	}
	for _, t := range m.Tests {
		if !slices.ContainsFunc(m.Hooks, func(h Spec) bool { return h.Name == t.Hook }) {
			return nil, m.lines["test "+t.Name].Errorf("hook", "%s: there is no such hook", t.Hook)
		}
	}
	slices.SortStableFunc(m.Hooks, func(a, b Spec) int { return a.Order - b.Order })
	return m, nil
}

// digest names what a hook is: its file and its section.
func (m *Manifest) digest(h Spec) [32]byte {
	return sha256.Sum256(append([]byte(fmt.Sprintf("%+v\n", h)), m.Files[h.File]...))
}
