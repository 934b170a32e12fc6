package hook_test

// Tests of both engines through their common interface, with misbehaving hooks.

import (
	"context"
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/internal/core/hookrule"
	"saddleport/internal/hook"
	"saddleport/internal/hook/starlark"
	"saddleport/internal/hook/wasm"
	"saddleport/sdk/hookabi"
)

// buildModule builds the example module "trouble" once for all tests.
var buildModule = sync.OnceValues(func() ([]byte, error) {
	dir, err := os.MkdirTemp("", "guest")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	out := filepath.Join(dir, "trouble.wasm")
	cmd := exec.Command("go", "build", "-ldflags=-s -w", "-buildmode=c-shared", "-o", out, "saddleport/sdk/examples/trouble")
	cmd.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm", "CGO_ENABLED=0")
	if text, err := cmd.CombinedOutput(); err != nil {
		return text, err
	}
	return os.ReadFile(out)
})

// misbehavingScript does what the first word of the query's text says, as the example module
// "trouble" does.
const misbehavingScript = `
def on_taken(q):
    action, _, arg = q.text.partition(" ")
    if action == "loop":
        while True:
            pass
    if action == "throw":
        fail("on purpose")
    if action == "bomb":
        x = ["y"]
        while True:
            x = x + x
    if action == "string":
        return {"refuse": "x" * 500000000}
    if action == "list":
        return {"drop": [0] * 100000000}
    if action == "grow":
        x = [0]
        for _ in range(100):
            x += x
    if action == "extend":
        x = [0]
        for _ in range(100):
            x.extend(x)
    if action == "join":
        s = "x" * 1000
        for _ in range(100):
            s = s.join([s, s, s])
    if action == "replace":
        s = "x" * 1000
        for _ in range(100):
            s = s.replace("x", s)
    if action == "format":
        s = "x" * 1000
        for _ in range(100):
            s = "{0}{0}{0}".format(s)
    if action == "percent":
        s = "x" * 1000
        for _ in range(100):
            s = "%s%s%s" % (s, s, s)
    if action == "str":
        x = [0]
        for _ in range(40):
            x = [x, x]
        return {"refuse": str(x)}
    if action == "compare":
        x, y = [0], [0]
        for _ in range(40):
            x, y = [x, x], [y, y]
        if x == y:
            pass
    if action == "hash":
        t = (0,)
        for _ in range(40):
            t = (t, t)
        d = {t: 1}
    if action == "index":
        t = (0,)
        for _ in range(40):
            t = (t, t)
        d = {}
        d[t] = 1
    if action == "star":
        return max(*range(1000000000))
    if action == "square":
        n = 3
        for _ in range(100):
            n = n * n
    if action == "list-of":
        return {"drop": list(range(1000000000))}
    if action == "sort":
        return {"drop": sorted([1] * 60000, key = lambda x: x)}
    if action == "deep":
        x = []
        for _ in range(15000):
            x = [x]
        return {"refuse": str(x)}
    if action == "key":
        return {"refuse": sorted([["x" * 100000] * 100], key = repr)}
    if action == "claim":
        return {arg: "x"}
    if action == "raise":
        return {"left_ms": q.left_ms + 1}
    if action == "tag":
        return {"tags": {"gov": arg}}
    if action == "refuse":
        return {"refuse": arg, "retry_after_ms": 1500}
    if action == "long":
        return {"tags": {"x": "x" * 200 + "y" * 100}}
    if action == "number":
        return 7
    if action == "odd":
        return {"refuse": 7}
    if action == "unknown":
        return {"hits": []}
    if action == "keys":
        return {1: 2}
    if action == "tags":
        return {"tags": ["a"]}
    if action == "drops":
        return {"drop": ["a"]}
    if action == "nan":
        return {"left_ms": float("nan")}
    if action == "write":
        q.tags["a"] = "b"
`

// load loads a hook that is called at the point Taken.
func load(t testing.TB, e hook.Engine, file string, text []byte, calls int) hook.Program {
	p, err := e.Load(t.Context(), hook.Source{Hook: "trouble", File: file, Text: text, Points: []hookabi.Point{hookabi.Taken},
		Memory: 8 << 20, Steps: 200000, Calls: calls})
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

// programs returns the misbehaving hook of each engine. They are loaded once for all tests,
// because a module built from Go takes a second to compile.
func programs(t testing.TB) map[string]hook.Program {
	p, err := loadPrograms()
	require.NoError(t, err)
	return p
}

var loadPrograms = sync.OnceValues(func() (map[string]hook.Program, error) {
	module, err := buildModule()
	if err != nil {
		return nil, fmt.Errorf("%w: %s", err, module)
	}
	src := hook.Source{Hook: "trouble", File: "trouble.star", Text: []byte(misbehavingScript), Points: []hookabi.Point{hookabi.Taken},
		Memory: 8 << 20, Steps: 200000, Calls: 2}
	script, err := starlark.Engine{}.Load(context.Background(), src)
	if err != nil {
		return nil, err
	}
	src.File, src.Text = "trouble.wasm", module
	compiled, err := (&wasm.Engine{}).Load(context.Background(), src)
	return map[string]hook.Program{"starlark": script, "wasm": compiled}, err
})

// callWith calls a program with a query of this text.
func callWith(p hook.Program, text string, budget time.Duration) (*hookabi.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	return p.Call(ctx, &hookabi.View{Point: hookabi.Taken, ID: "q", Class: "free-slots", Text: text, Left: 100000, Part: -1,
		Parts: []hookabi.PartView{{Shard: 1, Weight: 1}}})
}

// callWhenFree is callWith, repeated until an instance is free: an instance is replaced in
// the background after a failed call.
func callWhenFree(t testing.TB, p hook.Program, text string) (*hookabi.Result, error) {
	for {
		r, err := callWith(p, text, 5*time.Second)
		if f, ok := err.(*hook.Fault); !ok || f.Kind != hook.Busy {
			return r, err
		}
	}
}

// Each misbehaving call must fail with the right kind, and must not affect the next call.
func TestMisbehavingHooks(t *testing.T) {
	loaded := programs(t)
	for _, c := range []struct {
		engine, text string
		kind         hook.Kind
	}{
		{"starlark", "loop", hook.Overrun}, {"starlark", "throw", hook.Thrown}, {"starlark", "bomb", hook.Memory},
		{"starlark", "string", hook.Memory}, {"starlark", "list", hook.Memory}, {"starlark", "grow", hook.Memory},
		{"starlark", "extend", hook.Memory}, {"starlark", "join", hook.Memory}, {"starlark", "replace", hook.Memory},
		{"starlark", "format", hook.Memory}, {"starlark", "percent", hook.Memory}, {"starlark", "str", hook.Memory},
		{"starlark", "compare", hook.Memory}, {"starlark", "hash", hook.Memory}, {"starlark", "index", hook.Memory},
		{"starlark", "star", hook.Memory}, {"starlark", "square", hook.Memory}, {"starlark", "list-of", hook.Memory},
		{"starlark", "sort", hook.Memory}, {"starlark", "key", hook.Memory}, {"starlark", "deep", hook.Thrown},
		{"starlark", "number", hook.Garbage}, {"starlark", "odd", hook.Garbage}, {"starlark", "unknown", hook.Garbage},
		{"starlark", "keys", hook.Garbage}, {"starlark", "tags", hook.Garbage}, {"starlark", "drops", hook.Garbage},
		{"starlark", "nan", hook.Garbage}, {"starlark", "write", hook.Thrown},
		{"wasm", "loop", hook.Overrun}, {"wasm", "throw", hook.Thrown}, {"wasm", "bomb", hook.Memory},
		{"wasm", "recurse", hook.Memory}, {"wasm", "exit", hook.Thrown}, {"wasm", "long", hook.Garbage},
	} {
		t.Run(c.engine+"/"+strings.ReplaceAll(c.text, " ", "-"), func(t *testing.T) {
			budget := 5 * time.Second
			if c.text == "loop" && c.engine == "wasm" {
				budget = 50 * time.Millisecond // the Starlark loop exceeds its step limit first
			}
			var err error
			for {
				_, err = callWith(loaded[c.engine], c.text, budget)
				if f, ok := err.(*hook.Fault); !ok || f.Kind != hook.Busy {
					break
				}
			}
			var f *hook.Fault
			require.ErrorAs(t, err, &f)
			require.Equal(t, c.kind, f.Kind, f.Message)
			// The next call must succeed.
			r, err := callWhenFree(t, loaded[c.engine], "tag amman")
			require.NoError(t, err)
			require.Equal(t, []hookabi.Pair{{Name: "gov", Value: "amman"}}, r.Tags)
		})
	}
}

// The fault of a script that raises an error names the line.
func TestFaultNamesTheLine(t *testing.T) {
	_, err := callWith(programs(t)["starlark"], "throw", time.Second)
	require.ErrorContains(t, err, "trouble.star:8:")
}

// The time budget ends a Starlark loop that stays below its step limit.
func TestStarlarkTimeBudget(t *testing.T) {
	p, err := starlark.Engine{}.Load(t.Context(), hook.Source{File: "l.star", Text: []byte("def on_taken(q):\n  while True:\n    pass\n"),
		Points: []hookabi.Point{hookabi.Taken}, Memory: 1 << 20, Steps: 1 << 40, Calls: 1})
	require.NoError(t, err)
	_, err = callWith(p, "", 20*time.Millisecond)
	require.ErrorContains(t, err, "overrun")
}

// With each engine, requests that no hook may make must be rejected.
func TestClaims(t *testing.T) {
	rules := hookrule.New(classes)
	v := &hookabi.View{Point: hookabi.Taken, ID: "q", Class: "free-slots", Left: 100000, Part: -1}
	for engine, p := range programs(t) {
		for _, text := range []string{"claim id", "claim value", "claim whole", "claim server", "claim resend", "claim answer", "claim status", "raise"} {
			r, err := callWhenFree(t, p, text)
			require.NoError(t, err, engine)
			_, err = rules.Check(v, r, "h")
			var rejected *hookrule.RejectedError
			require.ErrorAs(t, err, &rejected, "%s: %s", engine, text)
		}
		r, err := callWhenFree(t, p, "refuse closed")
		require.NoError(t, err)
		granted, err := rules.Check(v, r, "h")
		require.NoError(t, err)
		require.Equal(t, "closed", granted.Reason)
	}
}

// Hooks must not have access to the clock, to files or to unseeded random numbers.
func TestIsolation(t *testing.T) {
	loaded := programs(t)
	r, err := callWith(loaded["wasm"], "clock", time.Second)
	require.NoError(t, err)
	require.Less(t, r.Notes[0].Value, "2023", "the clock of a module must stand still")
	r, err = callWith(loaded["wasm"], "file", time.Second)
	require.NoError(t, err)
	require.Empty(t, r.Notes)
	for _, name := range []string{"open", "time", "load", "json", "os", "import"} {
		_, err := starlark.Engine{}.Load(t.Context(), hook.Source{File: "x.star", Text: []byte("x = " + name + "\ndef on_taken(q): pass\n"),
			Memory: 1 << 20, Steps: 1000, Calls: 1})
		require.Error(t, err, name)
	}
	randomScript := []byte("def on_taken(q):\n  return {\"refuse\": str(random())}\n")
	a, err := callWith(load(t, starlark.Engine{}, "r.star", randomScript, 1), "", time.Second)
	require.NoError(t, err)
	b, err := callWith(load(t, starlark.Engine{}, "r.star", randomScript, 1), "", time.Second)
	require.NoError(t, err)
	require.Equal(t, a.Reason, b.Reason, "the same view must give the same random numbers")
}

// Calls that allocate as much as they can must not leave memory allocated: 200 of each kind
// with Starlark, 20 with WebAssembly.
func TestMemoryIsFreed(t *testing.T) {
	loaded := programs(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range 200 {
		for _, text := range []string{"bomb", "string", "deep", "str"} {
			_, err := callWith(loaded["starlark"], text, time.Second)
			require.Error(t, err)
		}
	}
	for range 20 {
		_, err := callWhenFree(t, loaded["wasm"], "bomb")
		require.Error(t, err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(64<<20))
}

// Rewriting a script must not change the meaning of the language.
func TestStarlarkSemantics(t *testing.T) {
	p := load(t, starlark.Engine{}, "m.star", []byte(`
LIMIT = {"amman": 3}
def add(a, b = 1, *rest, **named):
    return a + b + sum(rest) + named.get("c", 0)
def sum(xs):
    t = 0
    for x in xs:
        t += x
    return t
def on_taken(q):
    d = {"n": 1}
    d["n"] += 4
    l = [1, 2]
    m = l
    l += [3]
    l[0] *= 10
    s = "%s-%d|{}".format("f") % ("a", 7)
    parts = [p.shard for p in q.parts if p.weight > 0.5 and p.shard not in [5]]
    t = sorted(["bb", "a"], key = len)
    x = add(*[1, 2, 3], **{"c": 4})
    f = lambda v: -v
    ok = m == [10, 2, 3] and d["n"] == 5 and "a" in LIMIT["amman" and "amman":] if False else True
    return {"tags": {
        "s": s, "m": str(m), "d": str(d["n"]), "parts": str(parts), "t": t[0] + ",".join(t[1:]), "x": str(x),
        "f": str(f(2) + (3 if ok else 0)), "u": "A.b".upper().split(".")[1], "z": str(1 << 3 | 1),
        "i": str(7 // 2) + str(7 % 4), "slice": "abcdef"[1:5:2], "set": str(len(set([1, 1, 2]))),
    }}
`), 1)
	r, err := callWith(p, "", time.Second)
	require.NoError(t, err)
	got := map[string]string{}
	for _, p := range r.Tags {
		got[p.Name] = p.Value
	}
	require.Equal(t, map[string]string{"s": "a-7|f", "m": "[10, 2, 3]", "d": "5", "parts": "[1]", "t": "abb", "x": "10", "f": "1",
		"u": "B", "z": "9", "i": "33", "slice": "bd", "set": "2"}, got)
}

// Modules that violate the ABI. They are assembled here, because sdk/guest can't produce them.
func TestBrokenModules(t *testing.T) {
	for _, c := range []struct {
		name                 string
		abi                  byte
		alloc                int32
		call                 []byte // the body of hook_call
		loadError, callError string
	}{
		{name: "other version", abi: 9, call: []byte{0x42, 0}, loadError: "m.wasm: built for version 9 of the view, not 1"},
		{name: "alloc outside", abi: 1, alloc: -8, call: []byte{0x42, 0}, callError: "not in the memory of the module"},
		{name: "answer outside", abi: 1, call: append([]byte{0x42}, sleb(int64(0x7fffffff)<<32|16)...), callError: "not in the memory of the module"},
		{name: "answer too long", abi: 1, call: append([]byte{0x42}, sleb(int64(0x0fffffff))...), callError: "a result of 268435455 bytes"},
		{name: "answer is the view", abi: 1, call: append([]byte{0x42}, sleb(int64(8))...), callError: "garbage"},
		{name: "traps", abi: 1, call: []byte{0x00, 0x42, 0}, callError: "unreachable"},
		{name: "recurses", abi: 1, call: []byte{0x20, 0, 0x20, 1, 0x20, 2, 0x10, 2, 0x42, 1, 0x7c}, callError: "function calls nested too deeply"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := (&wasm.Engine{}).Load(t.Context(), hook.Source{File: "m.wasm", Text: module(c.abi, c.alloc, c.call), Memory: 1 << 20, Calls: 1})
			if c.loadError != "" {
				require.ErrorContains(t, err, c.loadError)
				return
			}
			require.NoError(t, err)
			defer p.Close()
			_, err = callWith(p, "x", 5*time.Second)
			require.ErrorContains(t, err, c.callError)
		})
	}
	for text, want := range map[string]string{
		"":             "not a WebAssembly module",
		"\x00asm junk": "section",
		string([]byte{0, 'a', 's', 'm', 1, 0, 0, 0}): "exports no",
	} {
		_, err := (&wasm.Engine{}).Load(t.Context(), hook.Source{File: "m.wasm", Text: []byte(text), Memory: 1 << 20, Calls: 1})
		require.ErrorContains(t, err, want, "%q", text)
	}
}

// sleb returns v in signed LEB128.
func sleb(v int64) (b []byte) {
	for {
		c := byte(v & 0x7f)
		v >>= 7
		if v == 0 && c&0x40 == 0 || v == -1 && c&0x40 != 0 {
			return append(b, c)
		}
		b = append(b, c|0x80)
	}
}

// module assembles a module with one page of memory that exports the three functions of the
// ABI.
func module(abi byte, alloc int32, call []byte) []byte {
	section := func(id byte, body []byte) []byte {
		return append(append([]byte{id}, binary.AppendUvarint(nil, uint64(len(body)))...), body...)
	}
	code := func(body ...byte) []byte {
		body = append(append([]byte{0}, body...), 0x0b)
		return append(binary.AppendUvarint(nil, uint64(len(body))), body...)
	}
	export := func(name string, kind, index byte) []byte {
		return append(append([]byte{byte(len(name))}, name...), kind, index)
	}
	out := []byte{0, 'a', 's', 'm', 1, 0, 0, 0}
	out = append(out, section(1, []byte{3, 0x60, 0, 1, 0x7f, 0x60, 1, 0x7f, 1, 0x7f, 0x60, 3, 0x7f, 0x7f, 0x7f, 1, 0x7e})...)
	out = append(out, section(3, []byte{3, 0, 1, 2})...)
	out = append(out, section(5, []byte{1, 0, 1})...)
	exports := []byte{4}
	exports = append(exports, export("memory", 2, 0)...)
	exports = append(exports, export("hook_abi", 0, 0)...)
	exports = append(exports, export("hook_alloc", 0, 1)...)
	exports = append(exports, export("hook_call", 0, 2)...)
	out = append(out, section(7, exports)...)
	body := []byte{3}
	body = append(body, code(append([]byte{0x41}, sleb(int64(abi))...)...)...)
	body = append(body, code(append([]byte{0x41}, sleb(int64(alloc))...)...)...)
	body = append(body, code(call...)...)
	return append(out, section(10, body)...)
}
