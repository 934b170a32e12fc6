package guest

import (
	"unsafe"

	"saddleport/sdk/hookabi"
)

var in, out []byte // kept: the host reads and writes them between calls

//go:wasmexport hook_abi
func abi() int32 { return hookabi.Version }

//go:wasmexport hook_alloc
func alloc(size int32) uint32 {
	if int(size) > cap(in) {
		in = make([]byte, size)
	}
	in = in[:max(size, 1)]
	return uint32(uintptr(unsafe.Pointer(unsafe.SliceData(in))))
}

//go:wasmexport hook_call
func call(point, ptr, size int32) uint64 {
	out = dispatch(Point(point), in[:size])
	if len(out) == 0 {
		return 0
	}
	return uint64(uintptr(unsafe.Pointer(unsafe.SliceData(out))))<<32 | uint64(len(out))
}

//go:wasmimport saddleport log
func hostLog(ptr unsafe.Pointer, size uint32)

// Log writes a line to the mixer's log; the host bounds how many and how long.
func Log(line string) {
	if line != "" {
		hostLog(unsafe.Pointer(unsafe.StringData(line)), uint32(len(line)))
	}
}
