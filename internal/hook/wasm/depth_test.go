package wasm

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tetratelabs/wazero"
)

// adder exports "sum", which adds the numbers up to n by calling itself, and imports
// nothing: type, function, export and code sections only.
var adder = []byte{0, 'a', 's', 'm', 1, 0, 0, 0,
	1, 6, 1, 0x60, 1, 0x7f, 1, 0x7f,
	3, 2, 1, 0,
	7, 7, 1, 3, 's', 'u', 'm', 0, 0,
	10, 23, 1, 21, 0, 0x20, 0, 0x45, 0x04, 0x7f, 0x41, 0, 0x05, 0x20, 0, 0x20, 0, 0x41, 1, 0x6b, 0x10, 0, 0x6a, 0x0b, 0x0b}

// What a module computes is what it computed before, up to the bound, and the count
// is back at nothing after each call.
func TestBoundKeepsSense(t *testing.T) {
	text, err := bound(adder, 100_000)
	require.NoError(t, err)
	ctx := context.Background()
	r := wazero.NewRuntime(ctx)
	defer r.Close(ctx)
	m, err := r.Instantiate(ctx, text)
	require.NoError(t, err)
	for _, n := range []uint64{0, 1, 10, 200} {
		out, err := m.ExportedFunction("sum").Call(ctx, n)
		require.NoError(t, err)
		require.Equal(t, n*(n+1)/2, out[0])
		require.Zero(t, m.ExportedGlobal(depthName).Get())
	}
	_, err = m.ExportedFunction("sum").Call(ctx, 100_000/frameFixed)
	require.ErrorContains(t, err, "unreachable")
	require.Greater(t, m.ExportedGlobal(depthName).Get(), uint64(100_000))
}

func TestBoundRefuses(t *testing.T) {
	two := append([]byte(nil), adder...)
	two = append(two[:8:8], append([]byte{1, 7, 1, 0x60, 1, 0x7f, 2, 0x7f, 0x7f}, two[16:]...)...)
	_, err := bound(two, 1000)
	require.ErrorContains(t, err, "2 results; one is allowed")
	for cut := 8; cut < len(adder)-1; cut++ { // whatever is missing at the end: an error, or a module without functions
		text, err := bound(adder[:cut], 1000)
		require.True(t, err != nil || len(text) == cut, cut)
	}
	again, err := bound(adder, 1000)
	require.NoError(t, err)
	_, err = bound(again, 1000)
	require.ErrorContains(t, err, "which the host has for itself")
}

// Whatever the bytes are, they are read to an end; and what wazero would take as it
// is, it takes when bounded.
func FuzzBound(f *testing.F) {
	f.Add(adder)
	f.Fuzz(func(t *testing.T, b []byte) { bound(b, 1000) })
}
