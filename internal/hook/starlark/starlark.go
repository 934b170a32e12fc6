// Package starlark runs hooks that are Starlark scripts. It owns the Starlark form of views
// and results, and the limits on steps, time, memory and nesting. It must never give a
// script access to a clock, a file, the network or random numbers, other than the time and
// the seed of the view, and must never let two calls share mutable state.
package starlark

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"

	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"
	"go.starlark.net/syntax"

	"saddleport/internal/hook"
	"saddleport/sdk/hookabi"
)

const maxScriptSize = 64 << 10 // bytes

var options = &syntax.FileOptions{Set: true, While: true, TopLevelControl: true}

// Engine loads Starlark scripts.
type Engine struct{}

type program struct {
	src       hook.Source
	functions [hookabi.Points]*starlark.Function
}

// Load implements hook.Engine. The top-level statements of the script run once, here,
// within the limits of a call. The values that they define are frozen.
func (Engine) Load(ctx context.Context, src hook.Source) (hook.Program, error) {
	if len(src.Text) > maxScriptSize {
		return nil, fmt.Errorf("%s: more than %d bytes", src.File, maxScriptSize)
	}
	if line, tooDeep := findDeepNesting(src.Text); tooDeep {
		return nil, fmt.Errorf("%s:%d: brackets nested more than %d deep", src.File, line, maxNesting)
	}
	f, err := options.Parse(src.File, src.Text, 0)
	if err != nil {
		return nil, err
	}
	if err := rewrite(f); err != nil {
		return nil, err
	}
	predeclared := guards()
	predeclared["log"] = starlark.NewBuiltin("log", scriptLog)
	predeclared["random"] = starlark.NewBuiltin("random", scriptRandom)
	compiled, err := starlark.FileProgram(f, predeclared.Has)
	if err != nil {
		return nil, err
	}
	p := &program{src: src}
	t, _ := p.thread(ctx, 0)
	globals, err := compiled.Init(t, predeclared)
	if err != nil {
		return nil, errors.New(p.fault(ctx, err).Message)
	}
	globals.Freeze()
	for point := range hookabi.Points {
		if f, ok := globals["on_"+point.String()].(*starlark.Function); ok {
			p.functions[point] = f
		}
	}
	for _, point := range src.Points {
		f := p.functions[point]
		if f == nil {
			return nil, fmt.Errorf("%s: no function on_%s", src.File, point)
		}
		if f.NumParams() != 1 || f.HasVarargs() || f.HasKwargs() {
			return nil, fmt.Errorf("%s: on_%s: must have exactly one parameter, the query", f.Position(), point)
		}
	}
	return p, nil
}

const maxNesting = 100

// findDeepNesting reports whether a script is nested so deeply that traversing it
// recursively could exhaust the stack, and on which line.
func findDeepNesting(text []byte) (line int, tooDeep bool) {
	depth := 0
	line = 1
	for _, c := range text {
		switch c {
		case '\n':
			line++
		case '(', '[', '{':
			if depth++; depth > maxNesting {
				return line, true
			}
		case ')', ']', '}':
			depth = max(depth-1, 0)
		}
	}
	// A chain of operators or of negations nests without brackets. The length of a line
	// limits it.
	for i, l := range strings.Split(string(text), "\n") {
		if len(l) > 4096 {
			return i + 1, true
		}
	}
	return 0, false
}

// callState is the state of one call.
type callState struct {
	logs []string
	rand *rand.Rand
}

func (p *program) thread(ctx context.Context, seed uint64) (*starlark.Thread, *callState) {
	s := &callState{rand: rand.New(rand.NewPCG(seed, 0x5add1e))}
	t := &starlark.Thread{Name: p.src.Hook, Print: func(t *starlark.Thread, msg string) { t.Local("state").(*callState).log(msg) }}
	t.SetLocal("state", s)
	t.SetLocal("meter", &meter{left: p.src.Memory})
	t.SetMaxExecutionSteps(uint64(p.src.Steps))
	return t, s
}

func (s *callState) log(msg string) {
	if len(s.logs) < hookabi.MaxPairs {
		s.logs = append(s.logs, msg[:min(len(msg), hookabi.MaxValue)])
	}
}

func scriptLog(t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var msg string
	if err := starlark.UnpackPositionalArgs(b.Name(), args, kwargs, 1, &msg); err != nil {
		return nil, err
	}
	t.Local("state").(*callState).log(msg)
	return starlark.None, nil
}

func scriptRandom(t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	if err := starlark.UnpackPositionalArgs(b.Name(), args, kwargs, 0); err != nil {
		return nil, err
	}
	return starlark.Float(t.Local("state").(*callState).rand.Float64()), nil
}

// Call implements hook.Program. Without a function for the view's point, the result is
// empty.
func (p *program) Call(ctx context.Context, v *hookabi.View) (*hookabi.Result, error) {
	f := p.functions[v.Point]
	if f == nil {
		return &hookabi.Result{}, nil
	}
	t, s := p.thread(ctx, v.Seed)
	stop := context.AfterFunc(ctx, func() { t.Cancel("time budget exceeded") })
	defer stop()
	out, err := starlark.Call(t, f, starlark.Tuple{queryValue(v)}, nil)
	if err != nil {
		return nil, p.fault(ctx, err)
	}
	r, err := parseResult(out)
	if err != nil {
		return nil, hook.Faultf(hook.Garbage, "%s: on_%s: %v", p.src.File, v.Point, err)
	}
	r.Log = append(s.logs, r.Log...)[:min(len(s.logs)+len(r.Log), hookabi.MaxPairs)]
	return r, nil
}

// Close implements hook.Program.
func (p *program) Close() {}

// fault returns the Fault for an error, with its position in the script.
func (p *program) fault(ctx context.Context, err error) *hook.Fault {
	position := p.src.File
	var e *starlark.EvalError
	if errors.As(err, &e) {
		for i := range len(e.CallStack) { // the innermost frame of the script
			if pos := e.CallStack.At(i).Pos; pos.Filename() == p.src.File {
				position = pos.String()
				break
			}
		}
	}
	kind := hook.Thrown
	switch {
	case errors.Is(err, errMemory):
		kind = hook.Memory
	case strings.Contains(err.Error(), "too many steps"), strings.Contains(err.Error(), "time budget exceeded"):
		kind = hook.Overrun
	}
	return hook.Faultf(kind, "%s: %v", position, err)
}

// queryValue returns the Starlark form of a view.
func queryValue(v *hookabi.View) starlark.Value {
	parts := make([]starlark.Value, len(v.Parts))
	for i := range v.Parts {
		parts[i] = partValue(&v.Parts[i])
	}
	d := starlark.StringDict{
		"point": starlark.String(v.Point.String()), "id": starlark.String(v.ID), "class_": starlark.String(v.Class),
		"key": starlark.String(v.Key), "tenant": starlark.String(v.Tenant), "text": starlark.String(v.Text),
		"repeat": starlark.Bool(v.Repeat), "taken_at_us": starlark.MakeInt64(v.TakenAt),
		"left_ms": starlark.Float(float64(v.Left) / 1000), "tags": pairsValue(v.Tags), "notes": pairsValue(v.Notes),
		"parts": frozenList(parts), "part": starlark.None, "attempt": starlark.MakeInt(v.Attempt),
		"ending": starlark.String(v.Ending), "whole": starlark.Bool(v.Whole), "share": starlark.Float(v.Share),
	}
	if v.Part >= 0 && v.Part < len(parts) {
		d["part"] = parts[v.Part]
	}
	return starlarkstruct.FromStringDict(starlarkstruct.Default, d)
}

func partValue(p *hookabi.PartView) starlark.Value {
	return starlarkstruct.FromStringDict(starlarkstruct.Default, starlark.StringDict{
		"shard": starlark.MakeInt(p.Shard), "weight": starlark.Float(p.Weight), "key": starlark.String(p.Key),
		"attempts": starlark.MakeInt(p.Attempts), "served": starlark.Bool(p.Served), "dropped": starlark.Bool(p.Dropped),
		"value": starlark.String(p.Value)})
}

func frozenList(items []starlark.Value) starlark.Value {
	l := starlark.NewList(items)
	l.Freeze()
	return l
}

func pairsValue(list []hookabi.Pair) starlark.Value {
	d := starlark.NewDict(len(list))
	for _, p := range list {
		d.SetKey(starlark.String(p.Name), starlark.String(p.Value))
	}
	d.Freeze()
	return d
}

// parseResult converts the value that a script returned: None, or a dict of its requests.
func parseResult(v starlark.Value) (*hookabi.Result, error) {
	r := &hookabi.Result{}
	if v == starlark.None {
		return r, nil
	}
	d, ok := v.(*starlark.Dict)
	if !ok {
		return nil, fmt.Errorf("returned a %s, not None or a dict", v.Type())
	}
	if d.Len() > 32 {
		return nil, fmt.Errorf("returned a dict of %d entries", d.Len())
	}
	for _, item := range d.Items() {
		name, ok := starlark.AsString(item[0])
		if !ok {
			return nil, fmt.Errorf("returned a dict with a key that is a %s", item[0].Type())
		}
		if err := setField(r, name, item[1]); err != nil {
			return nil, fmt.Errorf("%.40q: %w", name, err)
		}
	}
	return r, nil
}

// setField sets the field of r for one entry of the returned dict. The name of a claim is
// added to the claims, which the rules reject.
func setField(r *hookabi.Result, name string, v starlark.Value) (err error) {
	switch name {
	case "tags":
		r.Tags, err = parsePairs(v)
	case "notes":
		r.Notes, err = parsePairs(v)
	case "class":
		r.Class, err = parseText(v)
	case "left_ms":
		r.Left, err = parseMillis(v)
		if err == nil && r.Left <= 0 {
			err = errors.New("must be above 0")
		}
	case "drop":
		l, ok := v.(*starlark.List)
		if !ok || l.Len() > hookabi.MaxList {
			return fmt.Errorf("not a list of shards")
		}
		for i := range l.Len() {
			n, err := starlark.AsInt32(l.Index(i))
			if err != nil {
				return errors.New("not a list of shards")
			}
			r.Drop = append(r.Drop, n)
		}
	case "not_whole":
		b, ok := v.(starlark.Bool)
		if !ok {
			return fmt.Errorf("a %s, not True or False", v.Type())
		}
		r.NotWhole = bool(b)
	case "refuse":
		r.Refuse = true
		r.Reason, err = parseText(v)
	case "retry_after_ms":
		r.RetryAfter, err = parseMillis(v)
	default:
		if !hookabi.Claim(name) {
			return errors.New("unknown field of a result")
		}
		r.Claims = append(r.Claims, name)
	}
	return err
}

func parseText(v starlark.Value) (string, error) {
	s, ok := starlark.AsString(v)
	if !ok {
		return "", fmt.Errorf("a %s, not a string", v.Type())
	}
	if len(s) > hookabi.MaxValue {
		return "", fmt.Errorf("more than %d bytes", hookabi.MaxValue)
	}
	return s, nil
}

// parseMillis converts a number of milliseconds to microseconds.
func parseMillis(v starlark.Value) (int64, error) {
	f, ok := starlark.AsFloat(v)
	if _, isBool := v.(starlark.Bool); !ok || isBool || !(f >= 0 && f < 1e9) {
		return 0, errors.New("not a number of milliseconds")
	}
	return int64(f * 1000), nil
}

func parsePairs(v starlark.Value) ([]hookabi.Pair, error) {
	d, ok := v.(*starlark.Dict)
	if !ok || d.Len() > hookabi.MaxPairs {
		return nil, fmt.Errorf("not a dict of at most %d strings", hookabi.MaxPairs)
	}
	var out []hookabi.Pair
	for _, item := range d.Items() {
		name, err := parseText(item[0])
		if err != nil {
			return nil, err
		}
		value, err := parseText(item[1])
		if err != nil {
			return nil, err
		}
		out = append(out, hookabi.Pair{Name: name, Value: value})
	}
	return out, nil
}
