// Package operator reads the operator file, which holds the settings of an installation that are
// not part of the platform's configuration. It owns reading the file, validating it as a unit,
// and printing each value with its origin. It does not know the sections: each is a struct of
// the package that it configures, passed in by the caller. It must never apply one part of a
// file when another part is invalid.
package operator

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"saddleport/internal/inifile"
)

// Section is one section that the file may contain.
type Section struct {
	Name string
	Help string
	// Into is a pointer to the struct that receives the values; package inifile documents
	// its tags.
	Into any
	// Check, if set, validates the values after the entire file has been read. A *KeyError
	// names the invalid key.
	Check func() error
	// ForLabel, if set, makes this a template for sections [NAME LABEL], of which there may be
	// several: it returns the pointer and the check of one. Into and Check are nil then.
	ForLabel func(label string) (into any, check func() error)
}

// KeyError is an invalid value that its type, range and list of choices did not exclude.
type KeyError struct{ Key, Problem string }

func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

// Origin is the line that set a value.
type Origin struct {
	File string
	Line int // 0: no line; the value is the default
}

func (o Origin) String() string {
	if o.Line == 0 {
		return "default"
	}
	return fmt.Sprintf("%s:%d", o.File, o.Line)
}

// File is a file that has been read and validated.
type File struct {
	Path     string // empty: no file, all values are defaults
	sections []Section
	origins  map[string]Origin // keyed by section and key, separated by a space
}

// Load reads the file at path into the structs of the sections. With an empty path all values
// are defaults. After an error the structs must not be used: pass new ones with each call.
func Load(path string, sections []Section) (*File, error) {
	f := &File{Path: path, sections: sections, origins: make(map[string]Origin)}
	for _, s := range sections {
		if s.ForLabel == nil {
			inifile.SetDefaults(s.Into)
		}
	}
	doc := &inifile.Doc{File: path}
	var err error
	if path != "" {
		if doc, err = inifile.Read(path); err != nil {
			return nil, err
		}
	}
	return f, f.decode(doc)
}

// Parse is Load for a text; path is the file's name in errors and origins.
func Parse(path string, text []byte, sections []Section) (*File, error) {
	f := &File{Path: path, sections: sections, origins: make(map[string]Origin)}
	for _, s := range sections {
		if s.ForLabel == nil {
			inifile.SetDefaults(s.Into)
		}
	}
	doc, err := inifile.Parse(path, text)
	if err != nil {
		return nil, err
	}
	return f, f.decode(doc)
}

// decode fills the structs of the sections from a document and then runs all checks.
func (f *File) decode(doc *inifile.Doc) error {
	present := make(map[string]*inifile.Section)
	for _, s := range doc.Sections {
		known := f.findSection(s.Name)
		if i := f.labelledIndex(s); known == nil && i >= 0 {
			target, check := f.sections[i].ForLabel(s.Label)
			inifile.SetDefaults(target)
			f.sections = append(f.sections, Section{Name: s.Name, Help: f.sections[i].Help, Into: target, Check: check})
			known = &f.sections[len(f.sections)-1]
		}
		if known == nil {
			return s.Errorf("", "no such section; there are: %s", strings.Join(f.sectionNames(), ", "))
		}
		if err := s.Decode(known.Into); err != nil {
			return err
		}
		present[s.Name] = s
		for _, k := range s.Keys {
			f.origins[s.Name+" "+k.Name] = Origin{filepath.Base(f.Path), k.Line}
		}
	}
	for _, s := range f.sections {
		if s.Check == nil {
			continue
		}
		if err := s.Check(); err != nil {
			section := present[s.Name]
			if section == nil {
				section = &inifile.Section{File: f.Path, Name: s.Name}
			}
			var key *KeyError
			if errors.As(err, &key) {
				return section.Errorf(key.Key, "%s", key.Problem)
			}
			return section.Errorf("", "%v", err)
		}
	}
	return nil
}

func (f *File) findSection(name string) *Section {
	for i := range f.sections {
		if f.sections[i].Name == name && f.sections[i].ForLabel == nil {
			return &f.sections[i]
		}
	}
	return nil
}

// labelledIndex returns the index of the template for a labelled section, or -1 if there is none.
func (f *File) labelledIndex(s *inifile.Section) int {
	if s.Label == "" {
		return -1
	}
	return slices.IndexFunc(f.sections, func(o Section) bool { return o.ForLabel != nil && o.Name == s.Kind })
}

func (f *File) sectionNames() []string {
	var out []string
	for _, s := range f.sections {
		if s.ForLabel != nil {
			s.Name += " NAME"
		}
		out = append(out, s.Name)
	}
	return out
}

// Print writes every current value with its type, default, range and origin.
func (f *File) Print(w io.Writer) error {
	if f.Path == "" {
		fmt.Fprintln(w, "# no operator file: all values are defaults")
	} else {
		fmt.Fprintf(w, "# %s\n", f.Path)
	}
	for _, s := range f.sections {
		if s.ForLabel != nil {
			continue
		}
		fmt.Fprintf(w, "\n[%s]  # %s\n", s.Name, s.Help)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, k := range inifile.Fields(s.Into) {
			def := k.Default
			if def == "" {
				def = "none"
			}
			note := fmt.Sprintf("# %s, default %s", k.Kind, def)
			if k.Range != "" {
				note += ", " + k.Range
			}
			fmt.Fprintf(t, "%s\t= %s\t%s\t(%s)\t%s\n", k.Key, k.Value, note, f.origins[s.Name+" "+k.Key], k.Help)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// Value is one key with its current value, for the JSON output.
type Value struct {
	Section, Key, Value, Default, Range, Origin, Help string
}

// Values returns every key with its current value.
func (f *File) Values() []Value {
	var out []Value
	for _, s := range f.sections {
		if s.ForLabel != nil {
			continue
		}
		for _, k := range inifile.Fields(s.Into) {
			out = append(out, Value{s.Name, k.Key, k.Value, k.Default, k.Range, f.origins[s.Name+" "+k.Key].String(), k.Help})
		}
	}
	return out
}
