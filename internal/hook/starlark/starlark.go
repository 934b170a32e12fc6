// Package starlark runs hooks that are Starlark scripts, for people who write
// their own. It owns the script's side of the view and the answer, and the bounds
// on steps, time, memory and depth. It must never give a script a clock, a file,
// the network or chance but what the view holds, nor let two calls share anything
// that can change.
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

const maxText = 64 << 10 // of a script

var options = &syntax.FileOptions{Set: true, While: true, TopLevelControl: true}

// Engine loads scripts.
type Engine struct{}

type program struct {
	src       hook.Source
	functions [hookabi.Points]*starlark.Function
}

// Load implements hook.Engine. The script's own statements run once, here, within
// the budgets of a call; what they leave is frozen.
func (Engine) Load(ctx context.Context, src hook.Source) (hook.Program, error) {
	if len(src.Text) > maxText {
		return nil, fmt.Errorf("%s: more than %d bytes", src.File, maxText)
	}
	if line, deep := nesting(src.Text); deep {
		return nil, fmt.Errorf("%s:%d: brackets nested more than %d deep", src.File, line, maxNesting)
	}
	f, err := options.Parse(src.File, src.Text, 0)
	if err != nil {
		return nil, err
	}
	if err := rewrite(f); err != nil {
		return nil, err
	}
	known := guards()
	known["log"] = starlark.NewBuiltin("log", scriptLog)
	known["random"] = starlark.NewBuiltin("random", scriptRandom)
	compiled, err := starlark.FileProgram(f, known.Has)
	if err != nil {
		return nil, err
	}
	p := &program{src: src}
	t, _ := p.thread(ctx, 0)
	globals, err := compiled.Init(t, known)
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
			return nil, fmt.Errorf("%s: on_%s: takes the query and nothing else", f.Position(), point)
		}
	}
	return p, nil
}

const maxNesting = 100

// nesting finds brackets so deep that going through them could exhaust a stack.
func nesting(text []byte) (line int, deep bool) {
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
	// A chain of operators or of negations nests without brackets.
	for i, l := range strings.Split(string(text), "\n") {
		if len(l) > 4096 {
			return i + 1, true
		}
	}
	return 0, false
}

// state is what one call holds.
type state struct {
	logs []string
	rand *rand.Rand
}

func (p *program) thread(ctx context.Context, seed uint64) (*starlark.Thread, *state) {
	s := &state{rand: rand.New(rand.NewPCG(seed, 0x5add1e))}
	t := &starlark.Thread{Name: p.src.Hook, Print: func(t *starlark.Thread, msg string) { t.Local("state").(*state).log(msg) }}
	t.SetLocal("state", s)
	t.SetLocal("meter", &meter{left: p.src.Memory})
	t.SetMaxExecutionSteps(uint64(p.src.Steps))
	return t, s
}

func (s *state) log(msg string) {
	if len(s.logs) < hookabi.MaxPairs {
		s.logs = append(s.logs, msg[:min(len(msg), hookabi.MaxValue)])
	}
}

func scriptLog(t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var msg string
	if err := starlark.UnpackPositionalArgs(b.Name(), args, kwargs, 1, &msg); err != nil {
		return nil, err
	}
	t.Local("state").(*state).log(msg)
	return starlark.None, nil
}

func scriptRandom(t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	if err := starlark.UnpackPositionalArgs(b.Name(), args, kwargs, 0); err != nil {
		return nil, err
	}
	return starlark.Float(t.Local("state").(*state).rand.Float64()), nil
}

// Call implements hook.Program.
func (p *program) Call(ctx context.Context, v *hookabi.View) (*hookabi.Result, error) {
	f := p.functions[v.Point]
	if f == nil {
		return &hookabi.Result{}, nil
	}
	t, s := p.thread(ctx, v.Seed)
	stop := context.AfterFunc(ctx, func() { t.Cancel("time budget exceeded") })
	defer stop()
	out, err := starlark.Call(t, f, starlark.Tuple{query(v)}, nil)
	if err != nil {
		return nil, p.fault(ctx, err)
	}
	r, err := result(out)
	if err != nil {
		return nil, hook.Faultf(hook.Garbage, "%s: on_%s: %v", p.src.File, v.Point, err)
	}
	r.Log = append(s.logs, r.Log...)[:min(len(s.logs)+len(r.Log), hookabi.MaxPairs)]
	return r, nil
}

// Close implements hook.Program.
func (p *program) Close() {}

// fault tells what kind of failure an error is, and where in the script.
func (p *program) fault(ctx context.Context, err error) *hook.Fault {
	at := p.src.File
	var e *starlark.EvalError
	if errors.As(err, &e) {
		for i := range len(e.CallStack) { // the innermost frame that is the script's
			if pos := e.CallStack.At(i).Pos; pos.Filename() == p.src.File {
				at = pos.String()
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
	return hook.Faultf(kind, "%s: %v", at, err)
}

// ---- The script's side of the view.

func query(v *hookabi.View) starlark.Value {
	parts := make([]starlark.Value, len(v.Parts))
	for i := range v.Parts {
		parts[i] = part(&v.Parts[i])
	}
	d := starlark.StringDict{
		"point": starlark.String(v.Point.String()), "id": starlark.String(v.ID), "class_": starlark.String(v.Class),
		"key": starlark.String(v.Key), "tenant": starlark.String(v.Tenant), "text": starlark.String(v.Text),
		"repeat": starlark.Bool(v.Repeat), "taken_at_us": starlark.MakeInt64(v.TakenAt),
		"left_ms": starlark.Float(float64(v.Left) / 1000), "tags": pairs(v.Tags), "notes": pairs(v.Notes),
		"parts": frozenList(parts), "part": starlark.None, "attempt": starlark.MakeInt(v.Attempt),
		"ending": starlark.String(v.Ending), "whole": starlark.Bool(v.Whole), "share": starlark.Float(v.Share),
	}
	if v.Part >= 0 && v.Part < len(parts) {
		d["part"] = parts[v.Part]
	}
	return starlarkstruct.FromStringDict(starlarkstruct.Default, d)
}

func part(p *hookabi.PartView) starlark.Value {
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

func pairs(list []hookabi.Pair) starlark.Value {
	d := starlark.NewDict(len(list))
	for _, p := range list {
		d.SetKey(starlark.String(p.Name), starlark.String(p.Value))
	}
	d.Freeze()
	return d
}

// result reads what a script returned: None, or a dict of what it asks for.
func result(v starlark.Value) (*hookabi.Result, error) {
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
		if err := field(r, name, item[1]); err != nil {
			return nil, fmt.Errorf("%.40q: %w", name, err)
		}
	}
	return r, nil
}

func field(r *hookabi.Result, name string, v starlark.Value) (err error) {
	switch name {
	case "tags":
		r.Tags, err = readPairs(v)
	case "notes":
		r.Notes, err = readPairs(v)
	case "class":
		r.Class, err = text(v)
	case "left_ms":
		r.Left, err = millis(v)
		if err == nil && r.Left <= 0 {
			err = errors.New("not above 0")
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
		r.Reason, err = text(v)
	case "retry_after_ms":
		r.RetryAfter, err = millis(v)
	default:
		if !hookabi.Claim(name) {
			return errors.New("there is nothing of that name to ask for")
		}
		r.Claims = append(r.Claims, name)
	}
	return err
}

func text(v starlark.Value) (string, error) {
	s, ok := starlark.AsString(v)
	if !ok {
		return "", fmt.Errorf("a %s, not a string", v.Type())
	}
	if len(s) > hookabi.MaxValue {
		return "", fmt.Errorf("more than %d bytes", hookabi.MaxValue)
	}
	return s, nil
}

func millis(v starlark.Value) (int64, error) {
	f, ok := starlark.AsFloat(v)
	if _, isBool := v.(starlark.Bool); !ok || isBool || !(f >= 0 && f < 1e9) {
		return 0, errors.New("not a number of milliseconds")
	}
	return int64(f * 1000), nil
}

func readPairs(v starlark.Value) ([]hookabi.Pair, error) {
	d, ok := v.(*starlark.Dict)
	if !ok || d.Len() > hookabi.MaxPairs {
		return nil, fmt.Errorf("not a dict of at most %d strings", hookabi.MaxPairs)
	}
	var out []hookabi.Pair
	for _, item := range d.Items() {
		name, err := text(item[0])
		if err != nil {
			return nil, err
		}
		value, err := text(item[1])
		if err != nil {
			return nil, err
		}
		out = append(out, hookabi.Pair{Name: name, Value: value})
	}
	return out, nil
}
