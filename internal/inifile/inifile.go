// Package inifile decodes INI documents into typed structs. It owns the syntax of every INI
// file of the project (operator file, hook manifests, drills): which lines are allowed, how a
// value is parsed as a number, a duration or a size, and the texts of errors. It must never
// know the meaning of a key, set a value that neither the file nor a field's tag gives, or
// ignore a line that it does not understand.
//
// Values are parsed by gopkg.in/ini.v1. That library keeps no line numbers and merges repeated
// sections and keys, so the lines are also scanned here, and both results must agree.
package inifile

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// The limits of a document.
const (
	MaxBytes = 256 << 10
	MaxKeys  = 4096
)

// Error is a problem and its location. Line counts from 1 and is 0 if the problem is not in one
// line. Section and Key are empty if the problem is not in a section or key.
type Error struct {
	File, Section, Key string
	Line               int
	Problem            string
}

func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Section != "" {
		fmt.Fprintf(&b, ": [%s]", e.Section)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, " %s", e.Key)
	}
	return b.String() + ": " + e.Problem
}

// Doc is a parsed document with its sections in file order.
type Doc struct {
	File     string
	Sections []*Section
}

// Section is one section. Kind is its name up to the first space, Label the rest:
// "[hook clinic]" has the kind "hook" and the label "clinic".
type Section struct {
	File, Name, Kind, Label string
	Line                    int
	Keys                    []Key
}

// Key is one key = value line of a section.
type Key struct {
	Name, Value string
	Line        int
	File        string // empty: the file of the section
}

// Read reads and parses a file.
func Read(file string) (*Doc, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse parses a text; file is its name in errors.
func Parse(file string, text []byte) (*Doc, error) {
	if len(text) > MaxBytes {
		return nil, &Error{File: file, Problem: fmt.Sprintf("more than %d bytes", MaxBytes)}
	}
	text = bytes.ReplaceAll(text, []byte("\r\n"), []byte("\n"))
	doc, err := scan(file, string(text))
	if err != nil {
		return nil, err
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, KeyValueDelimiters: "=",
		SkipUnrecognizableLines: false, UnescapeValueDoubleQuotes: true}, text)
	if err != nil {
		return nil, &Error{File: file, Problem: err.Error()}
	}
	for _, s := range doc.Sections {
		got, err := parsed.GetSection(s.Name)
		if err != nil || len(got.Keys()) != len(s.Keys) {
			return nil, &Error{File: file, Section: s.Name, Line: s.Line, Problem: "cannot be parsed; does a value span several lines?"}
		}
		for i := range s.Keys {
			if !got.HasKey(s.Keys[i].Name) {
				return nil, &Error{File: file, Section: s.Name, Key: s.Keys[i].Name, Line: s.Keys[i].Line, Problem: "cannot be parsed"}
			}
			s.Keys[i].Value = got.Key(s.Keys[i].Name).Value()
		}
	}
	return doc, nil
}

// scan finds the sections and keys with their line numbers.
func scan(file, text string) (*Doc, error) {
	doc := &Doc{File: file}
	sectionLines := make(map[string]int)
	keyLines := make(map[string]int)
	var section *Section
	keyCount := 0
	for i, line := range strings.Split(text, "\n") {
		lineNumber := i + 1
		line = strings.TrimSpace(strings.TrimPrefix(line, "\ufeff"))
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			end := strings.IndexByte(line, ']')
			rest := ""
			if end > 0 {
				rest = strings.TrimSpace(line[end+1:])
			}
			if end < 0 || rest != "" && rest[0] != '#' && rest[0] != ';' {
				return nil, &Error{File: file, Line: lineNumber, Problem: fmt.Sprintf("%.40q is not a section header", line)}
			}
			name := strings.Join(strings.Fields(line[1:end]), " ")
			if name == "" || name != line[1:end] || strings.EqualFold(name, ini.DefaultSection) {
				return nil, &Error{File: file, Line: lineNumber, Problem: fmt.Sprintf("%.40q is not a valid section name", line[1:end])}
			}
			if earlier := sectionLines[name]; earlier > 0 {
				return nil, &Error{File: file, Section: name, Line: lineNumber, Problem: fmt.Sprintf("already defined on line %d", earlier)}
			}
			sectionLines[name] = lineNumber
			kind, label, _ := strings.Cut(name, " ")
			section = &Section{File: file, Name: name, Kind: kind, Label: label, Line: lineNumber}
			doc.Sections = append(doc.Sections, section)
			clear(keyLines)
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		key = strings.TrimSpace(key)
		if !ok || key == "" || strings.ContainsAny(key, "\"`' \t[]") {
			return nil, &Error{File: file, Line: lineNumber, Problem: fmt.Sprintf("%.40q is neither a section nor key = value", line)}
		}
		if section == nil {
			return nil, &Error{File: file, Key: key, Line: lineNumber, Problem: "is set before the first section"}
		}
		if value = strings.TrimSpace(value); strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`") {
			return nil, &Error{File: file, Section: section.Name, Key: key, Line: lineNumber, Problem: "a value must end on the line it starts on"}
		}
		if earlier := keyLines[key]; earlier > 0 {
			return nil, &Error{File: file, Section: section.Name, Key: key, Line: lineNumber, Problem: fmt.Sprintf("already set on line %d", earlier)}
		}
		keyLines[key] = lineNumber
		if keyCount++; keyCount > MaxKeys {
			return nil, &Error{File: file, Line: lineNumber, Problem: fmt.Sprintf("more than %d keys", MaxKeys)}
		}
		section.Keys = append(section.Keys, Key{Name: key, Line: lineNumber})
	}
	return doc, nil
}

// Errorf returns an *Error about a key of the section, located at the line of the key, or at the
// line of the section if it does not set the key.
func (s *Section) Errorf(key, format string, args ...any) error {
	e := &Error{File: s.File, Section: s.Name, Key: key, Line: s.Line, Problem: fmt.Sprintf(format, args...)}
	for _, k := range s.Keys {
		if k.Name == key {
			if e.Line = k.Line; k.File != "" {
				e.File = k.File
			}
		}
	}
	return e
}

// Has reports whether the section sets a key.
func (s *Section) Has(key string) bool {
	for _, k := range s.Keys {
		if k.Name == key {
			return true
		}
	}
	return false
}
