package hookcost

// This file measures how much memory modules with endless recursion obtain from the system
// until they are stopped, by the shape of their stack frames and with several calls at once.

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"saddleport/internal/app"
	"saddleport/internal/hook"
)

// Recursion holds the measurements of one shape of stack frame.
type Recursion struct {
	Frame      string
	Concurrent int     `json:"AtOnce"`
	MiB        float64 // obtained from the system
	StoppedMS  float64 `json:"EndedMS"` // until the last call was stopped
	Fault      string
}

// recursiveModule builds a WebAssembly module with one page of memory whose hook_call calls
// itself. It has the given number of locals and of live vectors across that call.
func recursiveModule(locals, live int) []byte {
	section := func(id byte, body []byte) []byte {
		return append(binary.AppendUvarint([]byte{id}, uint64(len(body))), body...)
	}
	body := func(locals int, code []byte) []byte {
		b := []byte{0}
		if locals > 0 {
			b = append(binary.AppendUvarint([]byte{1}, uint64(locals)), 0x7e)
		}
		b = append(append(b, code...), 0x0b)
		return append(binary.AppendUvarint(nil, uint64(len(b))), b...)
	}
	export := func(name string, kind, index byte) []byte {
		return append(append([]byte{byte(len(name))}, name...), kind, index)
	}
	var code []byte
	for i := range locals { // each has a value that is used after the call
		code = append(code, 0x23, 0, 0x21) // global.get 0, local.set
		code = binary.AppendUvarint(code, uint64(3+i))
	}
	for range live {
		code = append(code, 0x23, 0) // pushes a vector of 16 bytes for 2 bytes of code
	}
	code = append(code, 0x20, 0, 0x20, 1, 0x20, 2, 0x10, 2) // call itself
	if live > 0 {
		code = append(code, 0x21, 1) // needs a local of its own; see below
	}
	for i := range locals {
		code = append(code, 0x20)
		code = append(binary.AppendUvarint(code, uint64(3+i)), 0x7c) // i64.add
	}
	out := []byte{0, 'a', 's', 'm', 1, 0, 0, 0}
	out = append(out, section(1, []byte{3, 0x60, 0, 1, 0x7f, 0x60, 1, 0x7f, 1, 0x7f, 0x60, 3, 0x7f, 0x7f, 0x7f, 1, 0x7e})...)
	out = append(out, section(3, []byte{3, 0, 1, 2})...)
	out = append(out, section(5, []byte{1, 0, 1})...)
	global := []byte{1, 0x7e, 1, 0x42, 5, 0x0b} // i64
	if live > 0 {
		global = append(append([]byte{1, 0x7b, 1, 0xfd, 0x0c}, make([]byte, 16)...), 0x0b) // v128
		code = code[:len(code)-2]
		// the i64 result goes to a local, then the vectors are folded into one
		code = append(code, 0x21, 3)
		for range live - 1 {
			code = append(code, 0xfd, 0x51) // v128.xor
		}
		code = append(code, 0x24, 0, 0x20, 3) // global.set 0; the result
		locals = 1
	}
	out = append(out, section(6, global)...)
	exports := []byte{4}
	for i, name := range []string{"memory", "hook_abi", "hook_alloc", "hook_call"} {
		kind, index := byte(0), byte(max(i-1, 0))
		if i == 0 {
			kind = 2
		}
		exports = append(exports, export(name, kind, index)...)
	}
	out = append(out, section(7, exports)...)
	bodies := []byte{3}
	bodies = append(bodies, body(0, []byte{0x41, 1})...)
	bodies = append(bodies, body(0, []byte{0x41, 0})...)
	return append(out, section(10, append(bodies, body(locals, code)...))...)
}

// measureRecursion runs all shapes with concurrent calls, as a pool of workers would.
func (t *Table) measureRecursion(ctx context.Context) error {
	const concurrent = 4
	for _, s := range []struct {
		frame        string
		locals, live int
	}{{"few values", 0, 0}, {"1,000 locals", 1000, 0}, {"20,000 locals", 20000, 0}, {"500 vectors alive", 0, 500}, {"10,000 vectors alive", 0, 10000}} {
		p, err := app.Engines()["wasm"].Load(ctx, hook.Source{Hook: "deep", File: "deep.wasm", Text: recursiveModule(s.locals, s.live), Points: points,
			Memory: 8 << 20, Calls: concurrent})
		if err != nil {
			return fmt.Errorf("%s: %w", s.frame, err)
		}
		_, before := heap()
		start := time.Now()
		faults := make([]error, concurrent)
		var all sync.WaitGroup
		for i := range concurrent {
			all.Go(func() {
				call, cancel := context.WithTimeout(ctx, 10*time.Second)
				defer cancel()
				_, faults[i] = p.Call(call, view(points[0]))
			})
		}
		all.Wait()
		took := time.Since(start)
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		d := Recursion{Frame: s.frame, Concurrent: concurrent, MiB: float64(int64(m.Sys)-int64(before)) / (1 << 20), StoppedMS: float64(took.Microseconds()) / 1000}
		for _, err := range faults {
			var f *hook.Fault
			if !errors.As(err, &f) {
				return fmt.Errorf("%s: the call was not stopped: %v", s.frame, err)
			}
			d.Fault = string(f.Kind)
		}
		t.Recursions = append(t.Recursions, d)
		p.Close()
	}
	return nil
}
