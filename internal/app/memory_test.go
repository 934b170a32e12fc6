package app

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// The reading names each figure once, and what is held grows with what is kept.
func TestMemoryPairsGrowWithTheHeap(t *testing.T) {
	get := func() map[string]uint64 {
		p := memoryPairs()
		require.Len(t, p, 8)
		m := map[string]uint64{}
		for i := 0; i < len(p); i += 2 {
			m[p[i].(string)] = p[i+1].(uint64)
		}
		return m
	}
	runtime.GC() // what earlier tests left is swept first
	before := get()
	require.Greater(t, before["goroutines"], uint64(0))
	require.LessOrEqual(t, before["held_kb"], before["mapped_kb"])
	keep := make([][]byte, 64)
	for i := range keep {
		keep[i] = make([]byte, 256<<10)
		keep[i][0] = 1
	}
	after := get()
	require.GreaterOrEqual(t, after["heap_kb"], before["heap_kb"]+8<<10, "16 MiB kept")
	require.NotNil(t, keep[63])
}
