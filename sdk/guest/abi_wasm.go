package guest

import (
	"unsafe"

	"saddleport/sdk/hookabi"
)

// in and out are the buffers for the view and the answer. They are global because the host
// writes and reads them outside calls: they must not be garbage collected.
var in, out []byte

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

// Log writes a line to the log of the mixer. The host limits the number of lines of a call
// and the length of a line.
func Log(line string) {
	if line != "" {
		hostLog(unsafe.Pointer(unsafe.StringData(line)), uint32(len(line)))
	}
}
