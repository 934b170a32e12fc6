package hook

// The JSON form of views and answers, for self-tests and for people. It must
// never pass over a name it does not know: a test with a slip in it would pass.

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"github.com/tidwall/gjson"

	"saddleport/sdk/hookabi"
)

type reader struct{ err error }

func (r *reader) fail(at, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %s", at, fmt.Sprintf(format, args...))
	}
}

func (r *reader) text(at string, v gjson.Result) string {
	if v.Type != gjson.String {
		r.fail(at, "not a string")
	}
	return v.String()
}

func (r *reader) bool(at string, v gjson.Result) bool {
	if !v.IsBool() {
		r.fail(at, "neither true nor false")
	}
	return v.Bool()
}

func (r *reader) number(at string, v gjson.Result) float64 {
	if v.Type != gjson.Number || math.Abs(v.Num) > 1e15 {
		r.fail(at, "not a number")
		return 0
	}
	return v.Num
}

func (r *reader) pairs(at string, v gjson.Result) (out []hookabi.Pair) {
	if !v.IsObject() {
		r.fail(at, "not an object of strings")
	}
	v.ForEach(func(k, item gjson.Result) bool {
		out = append(out, hookabi.Pair{Name: k.String(), Value: r.text(at+"."+k.String(), item)})
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

// ParseView reads a view: the names of docs/reference/hooks.md.
func ParseView(text []byte) (*hookabi.View, error) {
	doc, err := object(text)
	if err != nil {
		return nil, err
	}
	v, r := &hookabi.View{Part: -1, Left: 1e6}, &reader{}
	doc.ForEach(func(k, item gjson.Result) bool {
		switch at := k.String(); at {
		case "point":
			p, ok := hookabi.PointOf(r.text(at, item))
			if !ok {
				r.fail(at, "%s is no point", item)
			}
			v.Point = p
		case "id":
			v.ID = r.text(at, item)
		case "class":
			v.Class = r.text(at, item)
		case "key":
			v.Key = r.text(at, item)
		case "tenant":
			v.Tenant = r.text(at, item)
		case "text":
			v.Text = r.text(at, item)
		case "repeat":
			v.Repeat = r.bool(at, item)
		case "taken_at_us":
			v.TakenAt = int64(r.number(at, item))
		case "left_ms":
			v.Left = int64(r.number(at, item) * 1000)
		case "seed":
			v.Seed = uint64(r.number(at, item))
		case "tags":
			v.Tags = r.pairs(at, item)
		case "notes":
			v.Notes = r.pairs(at, item)
		case "part":
			v.Part = int(r.number(at, item))
		case "attempt":
			v.Attempt = int(r.number(at, item))
		case "ending":
			v.Ending = r.text(at, item)
		case "whole":
			v.Whole = r.bool(at, item)
		case "share":
			v.Share = r.number(at, item)
		case "parts":
			if !item.IsArray() {
				r.fail(at, "not a list")
			}
			for i, e := range item.Array() {
				v.Parts = append(v.Parts, r.part(fmt.Sprintf("parts.%d", i), e))
			}
		default:
			r.fail(at, "a view has no such field")
		}
		return r.err == nil
	})
	if r.err == nil && (v.Part < -1 || v.Part >= len(v.Parts)) {
		r.fail("part", "there is no part %d", v.Part)
	}
	return v, r.err
}

func (r *reader) part(at string, doc gjson.Result) (p hookabi.PartView) {
	if !doc.IsObject() {
		r.fail(at, "not an object")
	}
	doc.ForEach(func(k, item gjson.Result) bool {
		switch at := at + "." + k.String(); k.String() {
		case "shard":
			p.Shard = int(r.number(at, item))
		case "weight":
			p.Weight = r.number(at, item)
		case "key":
			p.Key = r.text(at, item)
		case "attempts":
			p.Attempts = int(r.number(at, item))
		case "served":
			p.Served = r.bool(at, item)
		case "dropped":
			p.Dropped = r.bool(at, item)
		case "value":
			p.Value = r.text(at, item)
		default:
			r.fail(at, "a part has no such field")
		}
		return r.err == nil
	})
	return p
}

// ParseResult reads an answer: the names that a Starlark hook uses.
func ParseResult(text []byte) (*hookabi.Result, error) {
	doc, err := object(text)
	if err != nil {
		return nil, err
	}
	a, r := &hookabi.Result{}, &reader{}
	doc.ForEach(func(k, item gjson.Result) bool {
		switch at := k.String(); at {
		case "tags":
			a.Tags = r.pairs(at, item)
		case "notes":
			a.Notes = r.pairs(at, item)
		case "class":
			a.Class = r.text(at, item)
		case "left_ms":
			a.Left = int64(r.number(at, item) * 1000)
		case "drop":
			for i, e := range item.Array() {
				a.Drop = append(a.Drop, int(r.number(fmt.Sprintf("drop.%d", i), e)))
			}
		case "not_whole":
			a.NotWhole = r.bool(at, item)
		case "refuse":
			a.Refuse, a.Reason = true, r.text(at, item)
		case "retry_after_ms":
			a.RetryAfter = int64(r.number(at, item) * 1000)
		default:
			r.fail(at, "an answer has no such field")
		}
		return r.err == nil
	})
	return a, r.err
}

// ResultJSON writes an answer, names in order.
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
