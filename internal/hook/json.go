package hook

// The JSON form of views and results, for self-tests and for people. An unknown field
// must be an error: otherwise a self-test with a misspelled field could pass.

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"github.com/tidwall/gjson"

	"saddleport/sdk/hookabi"
)

// reader reads values of a JSON document. It keeps the first error; path names the field
// that a value belongs to.
type reader struct{ err error }

func (r *reader) fail(path, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %s", path, fmt.Sprintf(format, args...))
	}
}

func (r *reader) text(path string, v gjson.Result) string {
	if v.Type != gjson.String {
		r.fail(path, "not a string")
	}
	return v.String()
}

func (r *reader) bool(path string, v gjson.Result) bool {
	if !v.IsBool() {
		r.fail(path, "neither true nor false")
	}
	return v.Bool()
}

func (r *reader) number(path string, v gjson.Result) float64 {
	if v.Type != gjson.Number || math.Abs(v.Num) > 1e15 {
		r.fail(path, "not a number")
		return 0
	}
	return v.Num
}

func (r *reader) pairs(path string, v gjson.Result) (out []hookabi.Pair) {
	if !v.IsObject() {
		r.fail(path, "not an object of strings")
	}
	v.ForEach(func(k, item gjson.Result) bool {
		out = append(out, hookabi.Pair{Name: k.String(), Value: r.text(path+"."+k.String(), item)})
		return len(out) <= hookabi.MaxList
	})
	return out
}

func object(text []byte) (gjson.Result, error) {
	doc := gjson.ParseBytes(text)
	if !gjson.ValidBytes(text) || !doc.IsObject() {
		return doc, fmt.Errorf("not a JSON object")
	}
	return doc, nil
}

// ParseView parses the JSON form of a view. The fields are listed in
// docs/reference/hooks.md. Without them the current part is -1 and the time left is 1 s.
func ParseView(text []byte) (*hookabi.View, error) {
	doc, err := object(text)
	if err != nil {
		return nil, err
	}
	v, r := &hookabi.View{Part: -1, Left: 1e6}, &reader{}
	doc.ForEach(func(k, item gjson.Result) bool {
		switch path := k.String(); path {
		case "point":
			p, ok := hookabi.PointOf(r.text(path, item))
			if !ok {
				r.fail(path, "%s is not a point", item)
			}
			v.Point = p
		case "id":
			v.ID = r.text(path, item)
		case "class":
			v.Class = r.text(path, item)
		case "key":
			v.Key = r.text(path, item)
		case "tenant":
			v.Tenant = r.text(path, item)
		case "text":
			v.Text = r.text(path, item)
		case "repeat":
			v.Repeat = r.bool(path, item)
		case "taken_at_us":
			v.TakenAt = int64(r.number(path, item))
		case "left_ms":
			v.Left = int64(r.number(path, item) * 1000)
		case "seed":
			v.Seed = uint64(r.number(path, item))
		case "tags":
			v.Tags = r.pairs(path, item)
		case "notes":
			v.Notes = r.pairs(path, item)
		case "part":
			v.Part = int(r.number(path, item))
		case "attempt":
			v.Attempt = int(r.number(path, item))
		case "ending":
			v.Ending = r.text(path, item)
		case "whole":
			v.Whole = r.bool(path, item)
		case "share":
			v.Share = r.number(path, item)
		case "parts":
			if !item.IsArray() {
				r.fail(path, "not a list")
			}
			for i, e := range item.Array() {
				v.Parts = append(v.Parts, r.part(fmt.Sprintf("parts.%d", i), e))
			}
		default:
			r.fail(path, "unknown field of a view")
		}
		return r.err == nil
	})
	if r.err == nil && (v.Part < -1 || v.Part >= len(v.Parts)) {
		r.fail("part", "there is no part %d", v.Part)
	}
	return v, r.err
}

func (r *reader) part(path string, doc gjson.Result) (p hookabi.PartView) {
	if !doc.IsObject() {
		r.fail(path, "not an object")
	}
	doc.ForEach(func(k, item gjson.Result) bool {
		switch path := path + "." + k.String(); k.String() {
		case "shard":
			p.Shard = int(r.number(path, item))
		case "weight":
			p.Weight = r.number(path, item)
		case "key":
			p.Key = r.text(path, item)
		case "attempts":
			p.Attempts = int(r.number(path, item))
		case "served":
			p.Served = r.bool(path, item)
		case "dropped":
			p.Dropped = r.bool(path, item)
		case "value":
			p.Value = r.text(path, item)
		default:
			r.fail(path, "unknown field of a part")
		}
		return r.err == nil
	})
	return p
}

// ParseResult parses the JSON form of a result. The fields have the names that a Starlark
// hook uses.
func ParseResult(text []byte) (*hookabi.Result, error) {
	doc, err := object(text)
	if err != nil {
		return nil, err
	}
	a, r := &hookabi.Result{}, &reader{}
	doc.ForEach(func(k, item gjson.Result) bool {
		switch path := k.String(); path {
		case "tags":
			a.Tags = r.pairs(path, item)
		case "notes":
			a.Notes = r.pairs(path, item)
		case "class":
			a.Class = r.text(path, item)
		case "left_ms":
			a.Left = int64(r.number(path, item) * 1000)
		case "drop":
			if !item.IsArray() {
				r.fail(path, "not a list of numbers")
			}
			for i, e := range item.Array() {
				a.Drop = append(a.Drop, int(r.number(fmt.Sprintf("drop.%d", i), e)))
			}
		case "not_whole":
			a.NotWhole = r.bool(path, item)
		case "refuse":
			a.Refuse, a.Reason = true, r.text(path, item)
		case "retry_after_ms":
			a.RetryAfter = int64(r.number(path, item) * 1000)
		default:
			r.fail(path, "unknown field of a result")
		}
		return r.err == nil
	})
	return a, r.err
}

// ResultJSON returns the JSON form of a result, with the fields in a fixed order.
func ResultJSON(a *hookabi.Result) string {
	var parts []string
	put := func(name string, v any) {
		text, err := json.Marshal(v)
		if err != nil {
			text = []byte("null")
		}
		parts = append(parts, fmt.Sprintf("%q:%s", name, text))
	}
	pairs := func(name string, list []hookabi.Pair) {
		if len(list) > 0 {
			m := make(map[string]string)
			for _, p := range list {
				m[p.Name] = p.Value
			}
			put(name, m)
		}
	}
	pairs("tags", a.Tags)
	pairs("notes", a.Notes)
	if a.Class != "" {
		put("class", a.Class)
	}
	if a.Left != 0 {
		put("left_ms", float64(a.Left)/1000)
	}
	if len(a.Drop) > 0 {
		put("drop", a.Drop)
	}
	if a.NotWhole {
		put("not_whole", true)
	}
	if a.Refuse {
		put("refuse", a.Reason)
	}
	if a.RetryAfter != 0 {
		put("retry_after_ms", float64(a.RetryAfter)/1000)
	}
	if len(a.Claims) > 0 {
		put("claims", a.Claims)
	}
	if len(a.Log) > 0 {
		put("log", a.Log)
	}
	return "{" + strings.Join(parts, ",") + "}"
}
