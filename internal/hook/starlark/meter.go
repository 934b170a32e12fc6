package starlark

// Limits on the memory and work of a script. The Starlark library limits the number of
// steps, but one step can create a string of a gigabyte, compare two nested lists for
// minutes, or hash a tuple whose size was doubled forty times. Therefore a script is
// rewritten before it is compiled: each operation that can be expensive becomes a call of
// a guard. The guard charges the cost of the operation against the budget of the call
// before it runs the operation. The cost is an upper bound of the bytes that are allocated
// or traversed. It is never refunded, so it limits work as well as memory.
//
// The names of the guards contain a character that is not valid in a script's identifiers.

import (
	"errors"
	"fmt"
	"math"
	"math/bits"
	"strings"

	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"
	"go.starlark.net/syntax"
)

const (
	guardPrefix = "\u00b7"
	maxDepth    = 64 // nesting of a value that is traversed completely
	elementSize = 16 // bytes of one element of a list or tuple, and of a value itself
	entrySize   = 96 // bytes of one entry of a dict or set
)

var errMemory = errors.New("memory budget exceeded")

// meter is the memory budget of one call, in bytes.
type meter struct {
	left int64
	used int64
}

func meterOf(t *starlark.Thread) *meter { return t.Local("meter").(*meter) }

func (m *meter) charge(n int64) error {
	if n < 0 || n > m.left {
		m.left = 0
		return errMemory
	}
	m.left -= n
	m.used += n
	return nil
}

// times returns a*b, or the largest int64 if the product overflows. It returns 0 if a or b
// is not positive.
func times(a, b int64) int64 {
	if a <= 0 || b <= 0 {
		return 0
	}
	if hi, lo := bits.Mul64(uint64(a), uint64(b)); hi == 0 && lo <= math.MaxInt64 {
		return int64(lo)
	}
	return math.MaxInt64
}

// plus returns a+b, or the largest int64 if the sum overflows. a and b must not be negative.
func plus(a, b int64) int64 {
	if s := a + b; s >= 0 {
		return s
	}
	return math.MaxInt64
}

// shallowSize returns the size of a value without its elements.
func shallowSize(v starlark.Value) int64 {
	switch v := v.(type) {
	case starlark.String:
		return int64(len(v)) + elementSize
	case starlark.Bytes:
		return int64(len(v)) + elementSize
	case starlark.Int:
		if _, small := v.Int64(); small {
			return elementSize
		}
		return int64(v.BigInt().BitLen()/8) + elementSize
	case *starlark.Dict:
		return times(int64(v.Len()), entrySize) + elementSize
	case *starlark.Set:
		return times(int64(v.Len()), entrySize) + elementSize
	}
	if n := starlark.Len(v); n >= 0 {
		return times(int64(n), elementSize) + elementSize
	}
	return elementSize
}

// deepSize returns the size of a value with all its elements. An element that occurs
// several times counts each time. It returns an error if the size is above limit or the
// value is nested more than maxDepth deep.
func deepSize(v starlark.Value, limit int64) (int64, error) { return deepSizeAt(v, limit, 0) }

func deepSizeAt(v starlark.Value, limit int64, depth int) (int64, error) {
	if depth > maxDepth {
		return 0, fmt.Errorf("nested more than %d deep", maxDepth)
	}
	size := shallowSize(v)
	if size > limit {
		return 0, errMemory
	}
	add := func(x starlark.Value) error {
		n, err := deepSizeAt(x, limit-size, depth+1)
		size += n
		return err
	}
	switch v := v.(type) {
	case *starlark.Dict:
		for _, item := range v.Items() {
			if err := add(item); err != nil {
				return 0, err
			}
		}
	case starlark.Tuple:
		for _, x := range v {
			if err := add(x); err != nil {
				return 0, err
			}
		}
	case *starlark.List:
		for i := range v.Len() {
			if err := add(v.Index(i)); err != nil {
				return 0, err
			}
		}
	case *starlarkstruct.Struct: // a view or a part of one
		for _, name := range v.AttrNames() {
			x, err := v.Attr(name)
			if err == nil {
				err = add(x)
			}
			if err != nil {
				return 0, err
			}
		}
	case *starlark.Set:
		it := v.Iterate()
		defer it.Done()
		for x := starlark.Value(nil); it.Next(&x); {
			if err := add(x); err != nil {
				return 0, err
			}
		}
	}
	return size, nil
}

// chargeDeep charges factor times the deep size of each value.
func (m *meter) chargeDeep(factor int64, values ...starlark.Value) error {
	for _, v := range values {
		n, err := deepSize(v, m.left)
		if err == nil {
			err = m.charge(times(n, factor))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// chargeBinary charges the cost of x op y.
func (m *meter) chargeBinary(op syntax.Token, x, y starlark.Value) error {
	switch op {
	case syntax.STAR:
		n, seq := x, y
		if _, ok := x.(starlark.Int); !ok {
			n, seq = y, x
		}
		if count, ok := n.(starlark.Int); ok {
			if _, both := seq.(starlark.Int); both {
				return m.charge(2 * (shallowSize(x) + shallowSize(y)))
			}
			c, fits := count.Int64()
			if !fits {
				c = math.MaxInt64
			}
			return m.charge(times(max(c, 0), shallowSize(seq)))
		}
		return m.charge(shallowSize(x) + shallowSize(y))
	case syntax.PERCENT:
		if s, ok := x.(starlark.String); ok {
			n, err := deepSize(y, m.left)
			if err != nil {
				return err
			}
			return m.charge(plus(int64(len(s)), times(n, 4*int64(1+strings.Count(string(s), "%")))))
		}
		return m.charge(shallowSize(x) + shallowSize(y))
	case syntax.EQL, syntax.NEQ, syntax.LT, syntax.LE, syntax.GT, syntax.GE:
		return m.chargeDeep(1, x, y)
	case syntax.IN, syntax.NOT_IN:
		if _, ok := y.(*starlark.List); ok {
			return m.chargeDeep(1, x, y)
		}
		if _, ok := y.(starlark.Tuple); ok {
			return m.chargeDeep(1, x, y)
		}
		if _, ok := y.(starlark.String); ok {
			return m.charge(shallowSize(y))
		}
		return m.chargeDeep(1, x)
	default:
		return m.charge(2 * (shallowSize(x) + shallowSize(y)))
	}
}

// chargeCall charges the cost of a call of a builtin.
func (m *meter) chargeCall(b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) error {
	recv := b.Receiver()
	values := append(starlark.Tuple(nil), args...)
	for _, kv := range kwargs {
		values = append(values, kv[1])
	}
	text, _ := recv.(starlark.String)
	switch b.Name() {
	case "append", "insert", "len", "type", "bool", "range", "getattr", "hasattr", "pop", "clear", "log", "random":
		return m.charge(64)
	case "join":
		total := int64(len(text))
		if len(args) == 1 {
			if n := starlark.Len(args[0]); n >= 0 {
				total = plus(total, times(int64(n), int64(len(text))))
			}
			n, err := deepSize(args[0], m.left)
			if err != nil {
				return err
			}
			total = plus(total, n)
		}
		return m.charge(times(2, total))
	case "replace":
		if len(args) >= 2 {
			old, _ := starlark.AsString(args[0])
			replacement, _ := starlark.AsString(args[1])
			n := int64(len(text))/int64(max(len(old), 1)) + 1
			return m.charge(plus(int64(len(text)), times(n, int64(len(replacement))+1)))
		}
	case "format":
		total := int64(0)
		for _, v := range values {
			n, err := deepSize(v, m.left)
			if err != nil {
				return err
			}
			total = plus(total, n)
		}
		return m.charge(plus(int64(len(text)), times(4*total, int64(1+strings.Count(string(text), "{")))))
	case "sorted":
		n := 1
		if len(args) > 0 {
			n = max(starlark.Len(args[0]), 1)
		}
		return m.chargeDeep(int64(4*bits.Len(uint(n))), values...)
	}
	if recv != nil {
		if err := m.charge(times(24, shallowSize(recv))); err != nil {
			return err
		}
	}
	return m.chargeDeep(4, values...)
}

// guards returns the guards by name: one for each binary operator, "grow" for +=, one for
// each arithmetic unary operator, "size" and "key" which charge for a value and return it,
// and "call".
func guards() starlark.StringDict {
	g := make(starlark.StringDict)
	define := func(name string, f func(t *starlark.Thread, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error)) {
		g[guardPrefix+name] = starlark.NewBuiltin(guardPrefix+name, func(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
			return f(t, args, kwargs)
		})
	}
	for op := range binaryOps {
		define(op.String(), func(t *starlark.Thread, a starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
			if err := meterOf(t).chargeBinary(op, a[0], a[1]); err != nil {
				return nil, err
			}
			switch op {
			case syntax.EQL, syntax.NEQ, syntax.LT, syntax.LE, syntax.GT, syntax.GE:
				ok, err := starlark.Compare(op, a[0], a[1])
				return starlark.Bool(ok), err
			case syntax.NOT_IN:
				in, err := starlark.Binary(syntax.IN, a[0], a[1])
				if err != nil {
					return nil, err
				}
				return !in.(starlark.Bool), nil
			}
			return starlark.Binary(op, a[0], a[1])
		})
	}
	define("grow", func(t *starlark.Thread, a starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
		if err := meterOf(t).chargeBinary(syntax.PLUS, a[0], a[1]); err != nil {
			return nil, err
		}
		list, isList := a[0].(*starlark.List)
		added, iterable := a[1].(starlark.Iterable)
		if !isList || !iterable {
			return starlark.Binary(syntax.PLUS, a[0], a[1])
		}
		var items []starlark.Value
		it := added.Iterate()
		for x := starlark.Value(nil); it.Next(&x); {
			items = append(items, x)
		}
		it.Done() // before the list is changed: it may be added to itself
		for _, x := range items {
			if err := list.Append(x); err != nil {
				return nil, err
			}
		}
		return list, nil
	})
	for _, op := range []syntax.Token{syntax.MINUS, syntax.PLUS, syntax.TILDE} {
		define("unary"+op.String(), func(t *starlark.Thread, a starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
			if err := meterOf(t).charge(shallowSize(a[0])); err != nil {
				return nil, err
			}
			return starlark.Unary(op, a[0])
		})
	}
	chargeAndReturn := func(charge func(*meter, starlark.Value) error) func(*starlark.Thread, starlark.Tuple, []starlark.Tuple) (starlark.Value, error) {
		return func(t *starlark.Thread, a starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
			return a[0], charge(meterOf(t), a[0])
		}
	}
	define("size", chargeAndReturn(func(m *meter, v starlark.Value) error { return m.charge(shallowSize(v)) }))
	define("key", chargeAndReturn(func(m *meter, v starlark.Value) error {
		if _, tuple := v.(starlark.Tuple); tuple { // hashing a tuple traverses all of it
			return m.chargeDeep(1, v)
		}
		return m.charge(shallowSize(v))
	}))
	define("call", func(t *starlark.Thread, a starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
		f, args := a[0], a[1:]
		b, builtin := f.(*starlark.Builtin)
		if !builtin {
			return starlark.Call(t, f, args, kwargs)
		}
		if err := meterOf(t).chargeCall(b, args, kwargs); err != nil {
			return nil, err
		}
		// A builtin may call its arguments, as sorted calls its key function. Builtins among
		// them must charge too.
		args = append(starlark.Tuple(nil), args...)
		for i := range args {
			args[i] = guarded(args[i])
		}
		named := make([]starlark.Tuple, len(kwargs))
		for i, kv := range kwargs {
			named[i] = starlark.Tuple{kv[0], guarded(kv[1])}
		}
		return starlark.Call(t, b, args, named)
	})
	return g
}

// guarded returns v, or if v is a builtin, a builtin that charges before it calls v.
func guarded(v starlark.Value) starlark.Value {
	b, ok := v.(*starlark.Builtin)
	if !ok {
		return v
	}
	return starlark.NewBuiltin(b.Name(), func(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
		if err := meterOf(t).chargeCall(b, args, kwargs); err != nil {
			return nil, err
		}
		return starlark.Call(t, b, args, kwargs)
	})
}
