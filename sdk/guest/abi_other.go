//go:build !wasm

package guest

// Log does nothing outside WebAssembly, so that hooks can be tested with go test.
func Log(string) {}
