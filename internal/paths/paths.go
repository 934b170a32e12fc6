// Package paths reads settings and configurations, which are trees of maps and lists, by path
// ("routes[3].timeout_ms"). It owns looking values up, converting them, and naming their paths
// in errors. It must never return a value that it could not convert, reject a field that it does
// not know, or know what a value means.
package paths

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// Reader is a location in a tree of maps and lists. Its methods record the first error of the
// tree, which Err returns. The zero Reader is a location without a value and records no errors.
type Reader struct {
	path     string
	value    any
	firstErr *error // the first error, shared by all readers of a tree
}

// New returns a reader at the root of a tree that has the types of encoding/json.
func New(v any) Reader { return Reader{value: v, firstErr: new(error)} }

// ParseJSON parses exactly one JSON value. Data after the value is an error.
func ParseJSON(b []byte) (Reader, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return Reader{}, Error.New("byte %d: %v", d.InputOffset(), err)
	}
	if _, err := d.Token(); err != io.EOF {
		return Reader{}, Error.New("byte %d: unexpected data after the value", d.InputOffset())
	}
	return New(v), nil
}

// ParseLines parses lines of the form a.b=value into a tree of maps. A name that is a value in
// one line and a map in another is an error. Empty lines and lines that begin with # are skipped.
func ParseLines(text string) (Reader, error) {
	root := map[string]any{}
	n := 0
	for line := range strings.Lines(text) {
		n++
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		path, value, ok := strings.Cut(line, "=")
		if !ok {
			return Reader{}, Error.New("line %d: %.60q is not name=value", n, line)
		}
		names := strings.Split(strings.TrimSpace(path), ".")
		m := root
		for _, name := range names[:len(names)-1] {
			next, isMap := m[name].(map[string]any)
			if !isMap {
				if m[name] != nil {
					return Reader{}, Error.New("line %d: %s: %s already has a value", n, path, name)
				}
				next = map[string]any{}
				m[name] = next
			}
			m = next
		}
		last := names[len(names)-1]
		if _, isMap := m[last].(map[string]any); isMap {
			return Reader{}, Error.New("line %d: %s already has names below it", n, path)
		}
		m[last] = strings.TrimSpace(value)
	}
	return New(root), nil
}

// Err returns the first error of the tree, or nil.
func (r Reader) Err() error {
	if r.firstErr == nil {
		return nil
	}
	return *r.firstErr
}

// Path returns the path of the location.
func (r Reader) Path() string { return r.path }

// Failf records an error at the location, unless the tree already has one.
func (r Reader) Failf(format string, args ...any) {
	if r.firstErr != nil && *r.firstErr == nil {
		*r.firstErr = Error.New("%s: %s", r.path, fmt.Sprintf(format, args...))
	}
}

// At returns the location below this one whose names, joined by dots, are given.
func (r Reader) At(path string) Reader {
	for name := range strings.SplitSeq(path, ".") {
		m, _ := r.value.(map[string]any)
		at := name
		if r.path != "" {
			at = r.path + "." + name
		}
		r = Reader{path: at, value: m[name], firstErr: r.firstErr}
	}
	return r
}

// Exists reports whether the location has a value.
func (r Reader) Exists() bool { return r.value != nil }

// Required returns the same location and records an error if it has no value.
func (r Reader) Required() Reader {
	if r.value == nil {
		r.Failf("is missing")
	}
	return r
}

// Items returns the locations of the items of a list. A string is split at its commas.
func (r Reader) Items() []Reader {
	var items []Reader
	switch v := r.value.(type) {
	case nil:
	case []any:
		for i, x := range v {
			items = append(items, Reader{path: r.path + "[" + strconv.Itoa(i) + "]", value: x, firstErr: r.firstErr})
		}
	case string:
		if v == "" {
			return nil
		}
		for i, x := range strings.Split(v, ",") {
			items = append(items, Reader{path: r.path + "[" + strconv.Itoa(i) + "]", value: strings.TrimSpace(x), firstErr: r.firstErr})
		}
	default:
		r.Failf("is not a list")
	}
	return items
}

// Keys returns the names directly below the location, in no particular order.
func (r Reader) Keys() []string {
	m, ok := r.value.(map[string]any)
	if r.value != nil && !ok {
		r.Failf("is not a map")
	}
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	return names
}

// Object returns the same location and records an error unless its value is a map.
func (r Reader) Object() Reader {
	if _, ok := r.value.(map[string]any); !ok {
		r.Failf("is not an object")
	}
	return r
}

// Text returns the string at the location, or "" if there is no value.
func (r Reader) Text() string {
	switch v := r.value.(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		r.Failf("is not a string")
		return ""
	}
}

// Number returns the finite number at the location, or 0 if there is no value. A string is
// parsed as a number.
func (r Reader) Number() float64 {
	var text string
	switch v := r.value.(type) {
	case nil:
		return 0
	case json.Number:
		text = v.String()
	case string:
		text = v
	case float64:
		return v
	default:
		r.Failf("is not a number")
		return 0
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.Failf("%.40q is not a number", text)
		return 0
	}
	return f
}

// Int returns the integer at the location, or 0 if there is no value. A string is parsed as a
// number.
func (r Reader) Int() int64 {
	var text string
	switch v := r.value.(type) {
	case json.Number:
		text = v.String()
	case string:
		text = v
	}
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return n
	}
	f := r.Number()
	if f != math.Trunc(f) || math.Abs(f) > 1<<53 {
		r.Failf("%v is not a whole number", f)
		return 0
	}
	return int64(f)
}

// NotString returns the same location and records an error if its value is a string, for numbers
// that must not be given as strings.
func (r Reader) NotString() Reader {
	if text, is := r.value.(string); is {
		r.Failf("%.40q is a string, not a number", text)
	}
	return r
}

// Bool returns the boolean at the location, or false if there is no value. A string is parsed as
// a boolean.
func (r Reader) Bool() bool {
	switch v := r.value.(type) {
	case nil:
		return false
	case bool:
		return v
	case string:
		if b, err := strconv.ParseBool(v); err == nil {
			return b
		}
	}
	r.Failf("is neither true nor false")
	return false
}
