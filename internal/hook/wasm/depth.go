package wasm

// The limit on nested calls in a module. wazero lets a stack grow to 50 MB, and copies it
// each time, before it stops a recursion: too much for the memory limit of the mixer.
// Therefore each function of a module is replaced, under its index, by a wrapper. The
// wrapper adds the size of the frame to a global and traps if the sum exceeds the limit;
// the original function moves to a new index after all others. Calls, tables, exports and
// the start function refer to the old indexes and so reach the wrappers: no instruction has
// to be parsed. The sections are those of the WebAssembly Core Specification 2.0, chapter
// 5.5.
//
// A module that can't be parsed completely must be rejected. Below the limit, the results
// of a module must not change.

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
)

const (
	// maxFrameBytes limits the sum of the frame sizes of one call, in bytes.
	// docs/results/hook-cost.md has the measured size of wazero's stack at this limit.
	maxFrameBytes = 4 << 20
	// The size of a frame is the sum of: a fixed part, which covers the wrapper; a slot
	// for each parameter and local; and for each byte of code, the most that one byte can
	// leave on the stack while another function runs (global.get of a vector: 16 bytes
	// of stack for two of code).
	frameFixed = 256
	frameSlot  = 16
	frameCode  = 8

	depthName = "saddleport_frames" // export name of the global, which is read after a trap
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

// sectionOrder is the required position of each section id among the others. Custom
// sections (id 0) may be anywhere.
var sectionOrder = map[byte]int{1: 1, 2: 2, 3: 3, 4: 4, 5: 5, secTag: 6, 6: 7, 7: 8, 8: 9, 9: 10, 12: 11, 10: 12, 11: 13}

var errTruncated = errors.New("truncated")

// reader reads the binary format. After an error, all its methods return zero.
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

// count reads the length of a vector. Since each element has at least one byte, it can't
// exceed the number of bytes left.
func (r *reader) count() int {
	n := r.u32()
	if uint64(n) > uint64(len(r.b)) {
		r.fail()
		return 0
	}
	return int(n)
}

func (r *reader) fail() { r.err, r.b = errTruncated, nil }

// limits skips the limits of a table or memory.
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

// limitDepth returns the module with its call depth limited to maxBytes of frames. It
// returns a module without functions unchanged.
func limitDepth(module []byte, maxBytes uint32) ([]byte, error) {
	if len(module) < 8 || string(module[:4]) != "\x00asm" {
		return nil, errors.New("not a WebAssembly module")
	}
	r := &reader{b: module[8:]}
	var sections []section
	find := func(id byte) *section {
		for i := range sections {
			if sections[i].id == id {
				return &sections[i]
			}
		}
		return nil
	}
	last := 0
	for len(r.b) > 0 {
		s := section{id: r.byte()}
		s.body = r.take(r.u32())
		if r.err != nil {
			return nil, fmt.Errorf("section %d: %w", s.id, r.err)
		}
		if s.id != 0 {
			if sectionOrder[s.id] <= last { // an id that the specification does not define has the order 0
				return nil, fmt.Errorf("section %d: out of order, duplicate or unknown", s.id)
			}
			last = sectionOrder[s.id]
		}
		sections = append(sections, s)
	}
	funcs, code := find(secFunc), find(secCode)
	if funcs == nil || code == nil {
		return module, nil // it defines no functions
	}
	var types []signature
	if s := find(secType); s != nil {
		var err error
		if types, err = readTypes(s.body); err != nil {
			return nil, fmt.Errorf("types: %w", err)
		}
	}
	importedFuncs, globals := 0, 0
	if s := find(secImport); s != nil {
		var err error
		if importedFuncs, globals, err = readImports(s.body); err != nil {
			return nil, fmt.Errorf("imports: %w", err)
		}
	}
	if s := find(secGlobal); s != nil {
		globals += (&reader{b: s.body}).count()
	}
	funcReader, codeReader := &reader{b: funcs.body}, &reader{b: code.body}
	n := funcReader.count()
	if codeReader.count() != n {
		return nil, errors.New("the numbers of functions and bodies differ")
	}
	typeIndexes := make([]uint32, n)
	for i := range typeIndexes {
		typeIndexes[i] = funcReader.u32()
		if int(typeIndexes[i]) >= len(types) {
			return nil, fmt.Errorf("function %d: type index out of range", importedFuncs+i)
		}
	}
	newFuncs := binary.AppendUvarint(nil, uint64(2*n))
	newCode := binary.AppendUvarint(nil, uint64(2*n))
	for range 2 {
		for _, t := range typeIndexes {
			newFuncs = binary.AppendUvarint(newFuncs, uint64(t))
		}
	}
	originalBodies := codeReader.b
	for i, t := range typeIndexes {
		body := codeReader.take(codeReader.u32())
		size, err := frameSize(body, types[t])
		if err != nil || codeReader.err != nil {
			return nil, fmt.Errorf("function %d: %w", importedFuncs+i, errors.Join(err, codeReader.err))
		}
		w := wrapper(types[t], uint32(globals), uint32(importedFuncs+n+i), min(size, uint64(maxBytes)+1), maxBytes)
		newCode = append(binary.AppendUvarint(newCode, uint64(len(w))), w...)
	}
	if len(codeReader.b) > 0 || codeReader.err != nil || funcReader.err != nil || len(funcReader.b) > 0 {
		return nil, errors.New("the function or code section is truncated or has trailing bytes")
	}
	funcs.body, code.body = newFuncs, append(newCode, originalBodies...)
	// The global of the frame sizes: a mutable i32 with the initial value 0.
	if err := appendElement(&sections, secGlobal, []byte{0x7f, 1, 0x41, 0, 0x0b}); err != nil {
		return nil, err
	}
	export := append([]byte{byte(len(depthName))}, depthName...)
	if s := find(secExport); s != nil && bytes.Contains(s.body, export) {
		return nil, fmt.Errorf("exports %s, a name that is reserved for the host", depthName)
	}
	if err := appendElement(&sections, secExport, binary.AppendUvarint(append(export, 3), uint64(globals))); err != nil {
		return nil, err
	}
	out := append([]byte(nil), module[:8]...)
	for _, s := range sections {
		out = append(out, s.id)
		out = append(binary.AppendUvarint(out, uint64(len(s.body))), s.body...)
	}
	return out, nil
}

// appendElement appends an element to a section that is a vector. It inserts the section if
// the module does not have it.
func appendElement(sections *[]section, id byte, element []byte) error {
	for i, s := range *sections {
		if s.id == id {
			r := &reader{b: s.body}
			n := r.count()
			if r.err != nil {
				return fmt.Errorf("section %d: %w", id, r.err)
			}
			(*sections)[i].body = append(append(binary.AppendUvarint(nil, uint64(n+1)), r.b...), element...)
			return nil
		}
	}
	at := len(*sections)
	for i, s := range *sections {
		if s.id != 0 && sectionOrder[s.id] > sectionOrder[id] {
			at = i
			break
		}
	}
	*sections = append((*sections)[:at:at], append([]section{{id, append([]byte{1}, element...)}}, (*sections)[at:]...)...)
	return nil
}

// readTypes reads the type section.
func readTypes(body []byte) ([]signature, error) {
	r := &reader{b: body}
	out := make([]signature, r.count())
	for i := range out {
		if r.byte() != 0x60 {
			return nil, fmt.Errorf("type %d: not a function type", i)
		}
		out[i].params = r.count()
		r.take(uint32(out[i].params))
		results := r.count()
		r.take(uint32(results))
		if results > 1 { // a call could leave far more on the stack than the size of its code accounts for
			return nil, fmt.Errorf("type %d: %d results; only one is allowed", i, results)
		}
	}
	return out, r.err
}

// readImports returns the numbers of imported functions and globals.
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
			return 0, 0, fmt.Errorf("unknown kind %d", kind)
		}
	}
	return funcs, globals, r.err
}

// frameSize returns the assumed size of a function's frame, in bytes.
func frameSize(body []byte, t signature) (uint64, error) {
	r := &reader{b: body}
	slots := uint64(t.params)
	for n := r.count(); n > 0 && r.err == nil; n-- {
		slots += uint64(r.u32())
		r.byte()
	}
	return frameFixed + frameSlot*slots + frameCode*uint64(len(r.b)), r.err
}

// wrapper returns the body of a wrapper: it adds size to the global, traps if the sum is
// above maxBytes, calls the function with the index original, and subtracts size again.
func wrapper(t signature, global, original uint32, size uint64, maxBytes uint32) []byte {
	const (
		opUnreachable, opIf, opEnd, opCall   = 0x00, 0x04, 0x0b, 0x10
		opLocalGet, opGlobalGet, opGlobalSet = 0x20, 0x23, 0x24
		opConst, opGtU, opAdd, opSub, empty  = 0x41, 0x4b, 0x6a, 0x6b, 0x40
	)
	b := []byte{0} // no locals
	op := func(code byte, arg uint64) { b = binary.AppendUvarint(append(b, code), arg) }
	constant := func(v uint64) { b = appendSigned(append(b, opConst), int64(v)) }
	op(opGlobalGet, uint64(global))
	constant(size)
	b = append(b, opAdd)
	op(opGlobalSet, uint64(global))
	op(opGlobalGet, uint64(global))
	constant(uint64(maxBytes))
	b = append(b, opGtU, opIf, empty, opUnreachable, opEnd)
	for i := range t.params {
		op(opLocalGet, uint64(i))
	}
	op(opCall, uint64(original))
	op(opGlobalGet, uint64(global))
	constant(size)
	b = append(b, opSub)
	op(opGlobalSet, uint64(global))
	return append(b, opEnd)
}

// appendSigned appends v in signed LEB128.
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
