package wasm

// This file bounds how deep a module's functions may call each other. wazero lets a
// stack grow to 50 MB, by copies, before it stops a recursion: too much beside the
// mixer's memory limit. So each function of a module gets a wrapper under its own
// number, which counts the frame in a global of ours and traps when too much is
// counted; the function itself moves to a new number behind all others. Calls,
// tables, exports and the start function name the old numbers and so reach the
// wrappers, and no instruction has to be read. Sections are those of the
// WebAssembly Core Specification 2.0, chapter 5.5.
//
// It must never let through a module that it can't read to the end, and never
// change what a module computes short of the bound.

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
)

const (
	// maxFrames is what the frames of one call may count together, in bytes. The
	// stack that wazero makes of it was measured (docs/results/hook-cost.md).
	maxFrames = 4 << 20
	// A frame counts as: a fixed part, which covers the wrapper; a slot for each
	// parameter and local; and for each byte of code the most that one byte can
	// leave on the stack while another function runs (global.get of a vector:
	// 16 bytes of stack for two of code).
	frameFixed = 256
	frameSlot  = 16
	frameCode  = 8

	depthName = "saddleport_frames" // the global's export, read after a trap
)

const (
	secType   = 1
	secImport = 2
	secFunc   = 3
	secGlobal = 6
	secExport = 7
	secCode   = 10
	secTag    = 13
)

// order is where a section stands among the others; custom ones stand anywhere.
var order = map[byte]int{1: 1, 2: 2, 3: 3, 4: 4, 5: 5, secTag: 6, 6: 7, 7: 8, 8: 9, 9: 10, 12: 11, 10: 12, 11: 13}

var errShort = errors.New("ends too early")

// reader reads the binary form; after an error all it gives is zero.
type reader struct {
	b   []byte
	err error
}

func (r *reader) u32() uint32 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || n > 5 || v > 1<<32-1 {
		r.fail()
		return 0
	}
	r.b = r.b[n:]
	return uint32(v)
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.fail()
		return 0
	}
	c := r.b[0]
	r.b = r.b[1:]
	return c
}

func (r *reader) take(n uint32) []byte {
	if uint64(n) > uint64(len(r.b)) {
		r.fail()
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

// count is a vector's length; each element has a byte at least.
func (r *reader) count() int {
	n := r.u32()
	if uint64(n) > uint64(len(r.b)) {
		r.fail()
		return 0
	}
	return int(n)
}

func (r *reader) fail() { r.err, r.b = errShort, nil }

func (r *reader) limits() {
	if r.byte()&1 == 1 {
		r.u32()
	}
	r.u32()
}

type section struct {
	id   byte
	body []byte
}

type signature struct{ params int }

// bound returns the module with its depth bounded to frames bytes.
func bound(module []byte, frames uint32) ([]byte, error) {
	if len(module) < 8 || string(module[:4]) != "\x00asm" {
		return nil, errors.New("not a WebAssembly module")
	}
	r := &reader{b: module[8:]}
	var all []section
	find := func(id byte) *section {
		for i := range all {
			if all[i].id == id {
				return &all[i]
			}
		}
		return nil
	}
	at := 0
	for len(r.b) > 0 {
		s := section{id: r.byte()}
		s.body = r.take(r.u32())
		if r.err != nil {
			return nil, fmt.Errorf("section %d: %w", s.id, r.err)
		}
		if s.id != 0 {
			if order[s.id] <= at { // also what the specification does not know
				return nil, fmt.Errorf("section %d: out of order, twice or unknown", s.id)
			}
			at = order[s.id]
		}
		all = append(all, s)
	}
	funcs, code := find(secFunc), find(secCode)
	if funcs == nil || code == nil {
		return module, nil // it has no functions of its own
	}
	var types []signature
	if s := find(secType); s != nil {
		var err error
		if types, err = readTypes(s.body); err != nil {
			return nil, fmt.Errorf("types: %w", err)
		}
	}
	fromOutside, globals := 0, 0
	if s := find(secImport); s != nil {
		var err error
		if fromOutside, globals, err = readImports(s.body); err != nil {
			return nil, fmt.Errorf("imports: %w", err)
		}
	}
	if s := find(secGlobal); s != nil {
		globals += (&reader{b: s.body}).count()
	}
	fr, cr := &reader{b: funcs.body}, &reader{b: code.body}
	n := fr.count()
	if cr.count() != n {
		return nil, errors.New("as many bodies as functions are wanted")
	}
	kinds := make([]uint32, n)
	for i := range kinds {
		kinds[i] = fr.u32()
		if int(kinds[i]) >= len(types) {
			return nil, fmt.Errorf("function %d: of no type", fromOutside+i)
		}
	}
	newFuncs := binary.AppendUvarint(nil, uint64(2*n))
	newCode := binary.AppendUvarint(nil, uint64(2*n))
	for range 2 {
		for _, k := range kinds {
			newFuncs = binary.AppendUvarint(newFuncs, uint64(k))
		}
	}
	inner := cr.b
	for i, k := range kinds {
		body := cr.take(cr.u32())
		cost, err := frameOf(body, types[k])
		if err != nil || cr.err != nil {
			return nil, fmt.Errorf("function %d: %w", fromOutside+i, errors.Join(err, cr.err))
		}
		w := wrapper(types[k], uint32(globals), uint32(fromOutside+n+i), min(cost, uint64(frames)+1), frames)
		newCode = append(binary.AppendUvarint(newCode, uint64(len(w))), w...)
	}
	if len(cr.b) > 0 || cr.err != nil || fr.err != nil || len(fr.b) > 0 {
		return nil, errors.New("functions and bodies do not end where their sections do")
	}
	funcs.body, code.body = newFuncs, append(newCode, inner...)
	// i32, may change, starts at 0.
	if err := add(&all, secGlobal, []byte{0x7f, 1, 0x41, 0, 0x0b}); err != nil {
		return nil, err
	}
	export := append([]byte{byte(len(depthName))}, depthName...)
	if s := find(secExport); s != nil && bytes.Contains(s.body, export) {
		return nil, fmt.Errorf("exports %s, which the host has for itself", depthName)
	}
	if err := add(&all, secExport, binary.AppendUvarint(append(export, 3), uint64(globals))); err != nil {
		return nil, err
	}
	out := append([]byte(nil), module[:8]...)
	for _, s := range all {
		out = append(out, s.id)
		out = append(binary.AppendUvarint(out, uint64(len(s.body))), s.body...)
	}
	return out, nil
}

// add puts one more element at the end of a section that is a vector.
func add(all *[]section, id byte, element []byte) error {
	for i, s := range *all {
		if s.id == id {
			r := &reader{b: s.body}
			n := r.count()
			if r.err != nil {
				return fmt.Errorf("section %d: %w", id, r.err)
			}
			(*all)[i].body = append(append(binary.AppendUvarint(nil, uint64(n+1)), r.b...), element...)
			return nil
		}
	}
	at := len(*all)
	for i, s := range *all {
		if s.id != 0 && order[s.id] > order[id] {
			at = i
			break
		}
	}
	*all = append((*all)[:at:at], append([]section{{id, append([]byte{1}, element...)}}, (*all)[at:]...)...)
	return nil
}

func readTypes(body []byte) ([]signature, error) {
	r := &reader{b: body}
	out := make([]signature, r.count())
	for i := range out {
		if r.byte() != 0x60 {
			return nil, fmt.Errorf("type %d: not of a function", i)
		}
		out[i].params = r.count()
		r.take(uint32(out[i].params))
		results := r.count()
		r.take(uint32(results))
		if results > 1 { // a call could leave far more on the stack than its code tells
			return nil, fmt.Errorf("type %d: %d results; one is allowed", i, results)
		}
	}
	return out, r.err
}

// readImports counts the functions and globals that come from outside.
func readImports(body []byte) (funcs, globals int, err error) {
	r := &reader{b: body}
	for n := r.count(); n > 0 && r.err == nil; n-- {
		r.take(r.u32())
		r.take(r.u32())
		switch kind := r.byte(); kind {
		case 0:
			r.u32()
			funcs++
		case 1:
			r.byte()
			r.limits()
		case 2:
			r.limits()
		case 3:
			r.take(2)
			globals++
		default:
			return 0, 0, fmt.Errorf("of kind %d", kind)
		}
	}
	return funcs, globals, r.err
}

// frameOf is what a frame counts, in bytes.
func frameOf(body []byte, t signature) (uint64, error) {
	r := &reader{b: body}
	slots := uint64(t.params)
	for n := r.count(); n > 0 && r.err == nil; n-- {
		slots += uint64(r.u32())
		r.byte()
	}
	return frameFixed + frameSlot*slots + frameCode*uint64(len(r.b)), r.err
}

// wrapper counts the frame, traps if that is too much, calls the function and
// takes the frame off again.
func wrapper(t signature, global, inner uint32, cost uint64, frames uint32) []byte {
	const (
		opUnreachable, opIf, opEnd, opCall   = 0x00, 0x04, 0x0b, 0x10
		opLocalGet, opGlobalGet, opGlobalSet = 0x20, 0x23, 0x24
		opConst, opGtU, opAdd, opSub, empty  = 0x41, 0x4b, 0x6a, 0x6b, 0x40
	)
	b := []byte{0} // no locals
	op := func(code byte, arg uint64) { b = binary.AppendUvarint(append(b, code), arg) }
	number := func(v uint64) { b = appendSigned(append(b, opConst), int64(v)) }
	op(opGlobalGet, uint64(global))
	number(cost)
	b = append(b, opAdd)
	op(opGlobalSet, uint64(global))
	op(opGlobalGet, uint64(global))
	number(uint64(frames))
	b = append(b, opGtU, opIf, empty, opUnreachable, opEnd)
	for i := range t.params {
		op(opLocalGet, uint64(i))
	}
	op(opCall, uint64(inner))
	op(opGlobalGet, uint64(global))
	number(cost)
	b = append(b, opSub)
	op(opGlobalSet, uint64(global))
	return append(b, opEnd)
}

// appendSigned is LEB128 of a signed number.
func appendSigned(b []byte, v int64) []byte {
	for {
		c := byte(v & 0x7f)
		v >>= 7
		if v == 0 && c&0x40 == 0 || v == -1 && c&0x40 != 0 {
			return append(b, c)
		}
		b = append(b, c|0x80)
	}
}
