// Package operator reads the operator file: what an installation sets beside the
// platform's configuration. It owns the reading, the checking as a whole, and the
// printing with where each value came from. It knows no section: each is a struct
// of the package that it configures, handed in by the wiring. It must never let a
// part of a file count when another part is wrong.
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

// Section is one section that the file may hold.
type Section struct {
	Name string
	Help string
	// Into is a pointer to the struct that gets the values; see package inifile
	// for its tags.
	Into any
	// Check, if set, looks at the values once all of the file has been read.
	// A *KeyError names the key that is at fault.
	Check func() error
	// Each, if set, is for sections [NAME LABEL], of which there may be several: it
	// returns what gets the values of one and its check. Into and Check are nil then.
	ForLabel func(label string) (into any, check func() error)
}

// KeyError is a fault of one key that its form does not show.
type KeyError struct{ Key, Problem string }

func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

// Origin says where a value came from.
type Origin struct {
	File string
	Line int // 0: the default
}

func (o Origin) String() string {
	if o.Line == 0 {
		return "default"
	}
	return fmt.Sprintf("%s:%d", o.File, o.Line)
}

// File is a file that has been read and found right.
type File struct {
	Path     string // empty: there is none, and all is as the defaults say
	sections []Section
	origins  map[string]Origin // by section and key
}

// Load reads the file at path into the sections. With an empty path all get
// their defaults. After an error the sections' structs are not to be used: hand
// in fresh ones with each call.
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

// Parse is Load on a text.
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

func (f *File) decode(doc *inifile.Doc) error {
	present := make(map[string]*inifile.Section)
	for _, s := range doc.Sections {
		known := f.findSection(s.Name)
		if i := f.labelledIndex(s); known == nil && i >= 0 {
			into, check := f.sections[i].ForLabel(s.Label)
			inifile.SetDefaults(into)
			f.sections = append(f.sections, Section{Name: s.Name, Help: f.sections[i].Help, Into: into, Check: check})
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

// each is the section of several that a section of the file is one of; below 0: none.
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

// Print writes every value in force with its default, range and origin.
func (f *File) Print(w io.Writer) error {
	if f.Path == "" {
		fmt.Fprintln(w, "# no operator file: all is as the defaults say")
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

// Value is one key in force, for the JSON form.
type Value struct {
	Section, Key, Value, Default, Range, Origin, Help string
}

// Values lists every key in force.
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
