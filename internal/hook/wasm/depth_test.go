package wasm

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tetratelabs/wazero"
)

// recursiveSum is a module that exports "sum", a recursive function that adds the numbers up
// to n. It has no imports: only a type, a function, an export and a code section.
var recursiveSum = []byte{0, 'a', 's', 'm', 1, 0, 0, 0,
	1, 6, 1, 0x60, 1, 0x7f, 1, 0x7f,
	3, 2, 1, 0,
	7, 7, 1, 3, 's', 'u', 'm', 0, 0,
	10, 23, 1, 21, 0, 0x20, 0, 0x45, 0x04, 0x7f, 0x41, 0, 0x05, 0x20, 0, 0x20, 0, 0x41, 1, 0x6b, 0x10, 0, 0x6a, 0x0b, 0x0b}

// Up to the limit, a module computes the same results as before, and the sum of the frame
// sizes is zero again after each call.
func TestLimitDepthKeepsResults(t *testing.T) {
	text, err := limitDepth(recursiveSum, 100_000)
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

func TestLimitDepthRejects(t *testing.T) {
	twoResults := append([]byte(nil), recursiveSum...)
	twoResults = append(twoResults[:8:8], append([]byte{1, 7, 1, 0x60, 1, 0x7f, 2, 0x7f, 0x7f}, twoResults[16:]...)...)
	_, err := limitDepth(twoResults, 1000)
	require.ErrorContains(t, err, "2 results; only one is allowed")
	// A truncated module is an error, or a module without functions.
	for size := 8; size < len(recursiveSum)-1; size++ {
		text, err := limitDepth(recursiveSum[:size], 1000)
		require.True(t, err != nil || len(text) == size, size)
	}
	limited, err := limitDepth(recursiveSum, 1000)
	require.NoError(t, err)
	_, err = limitDepth(limited, 1000)
	require.ErrorContains(t, err, "a name that is reserved for the host")
}

// limitDepth must return for any input, without a panic.
func FuzzLimitDepth(f *testing.F) {
	f.Add(recursiveSum)
	f.Fuzz(func(t *testing.T, b []byte) { limitDepth(b, 1000) })
}
