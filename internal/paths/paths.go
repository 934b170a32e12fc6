// Package paths reads settings and configurations: maps that a small reader of paths
// walks. It owns how a value is found, converted and complained of by its path
// ("routes[3].timeout_ms"). It must never keep a value that it could not read, stop at a
// field that it does not know, or know what a value means.
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

// Error is the class of all complaints.
var Error = errs.Class("settings")

// Reader stands at one place of a tree of maps and lists. The zero Reader is a place
// where nothing is.
type Reader struct {
	path     string
	value    any
	firstErr *error // the first complaint, shared by all readers of a tree
}

// Of returns a reader at the root of a tree as encoding/json makes it.
func New(v any) Reader { return Reader{value: v, firstErr: new(error)} }

// JSON reads one JSON value; anything behind it is a complaint.
func ParseJSON(b []byte) (Reader, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return Reader{}, Error.New("byte %d: %v", d.InputOffset(), err)
	}
	if _, err := d.Token(); err != io.EOF {
		return Reader{}, Error.New("byte %d: something stands behind the value", d.InputOffset())
	}
	return New(v), nil
}

// Lines reads lines of the form a.b=value into a tree of maps. A name that is a value in
// one line and a map in another is a complaint; empty lines and those that begin with #
// are passed over.
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
					return Reader{}, Error.New("line %d: %s: %s is a value already", n, path, name)
				}
				next = map[string]any{}
				m[name] = next
			}
			m = next
		}
		last := names[len(names)-1]
		if _, isMap := m[last].(map[string]any); isMap {
			return Reader{}, Error.New("line %d: %s has names below it already", n, path)
		}
		m[last] = strings.TrimSpace(value)
	}
	return New(root), nil
}

// Err is the first complaint of the tree, nil where there is none.
func (r Reader) Err() error {
	if r.firstErr == nil {
		return nil
	}
	return *r.firstErr
}

// Path names the place.
func (r Reader) Path() string { return r.path }

// Failf complains of the place.
func (r Reader) Failf(format string, args ...any) {
	if r.firstErr != nil && *r.firstErr == nil {
		*r.firstErr = Error.New("%s: %s", r.path, fmt.Sprintf(format, args...))
	}
}

// At goes down by names joined with dots.
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

// Is tells whether anything is there.
func (r Reader) Exists() bool { return r.value != nil }

// Must is the same place; that nothing is there is a complaint.
func (r Reader) Required() Reader {
	if r.value == nil {
		r.Failf("is missing")
	}
	return r
}

// Items are the places of a list; of a text, what its commas part.
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
		r.Failf("is no list")
	}
	return items
}

// Names are the names below the place.
func (r Reader) Keys() []string {
	m, ok := r.value.(map[string]any)
	if r.value != nil && !ok {
		r.Failf("is no map")
	}
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	return names
}

// Object complains unless a map is there.
func (r Reader) Object() Reader {
	if _, ok := r.value.(map[string]any); !ok {
		r.Failf("is no object")
	}
	return r
}

// Text is the text at the place; "" where nothing is.
func (r Reader) Text() string {
	switch v := r.value.(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		r.Failf("is no text")
		return ""
	}
}

// Number is the finite number at the place; 0 where nothing is.
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
		r.Failf("is no number")
		return 0
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.Failf("%.40q is no number", text)
		return 0
	}
	return f
}

// Int is the whole number at the place; 0 where nothing is.
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
		r.Failf("%v is no whole number", f)
		return 0
	}
	return int64(f)
}

// NoText complains of a value that is a text, where numbers in texts are not taken.
func (r Reader) NotString() Reader {
	if text, is := r.value.(string); is {
		r.Failf("%.40q is a text, not a number", text)
	}
	return r
}

// Bool is the truth value at the place; false where nothing is.
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
