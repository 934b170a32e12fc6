package app

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMemoryPairsGrowWithTheHeap checks that each figure appears once, and that heap_kb grows
// with the live heap.
func TestMemoryPairsGrowWithTheHeap(t *testing.T) {
	read := func() map[string]uint64 {
		pairs := memoryPairs()
		require.Len(t, pairs, 8)
		m := map[string]uint64{}
		for i := 0; i < len(pairs); i += 2 {
			m[pairs[i].(string)] = pairs[i+1].(uint64)
		}
		return m
	}
	runtime.GC() // sweeps the garbage of earlier tests
	before := read()
	require.Greater(t, before["goroutines"], uint64(0))
	require.LessOrEqual(t, before["held_kb"], before["mapped_kb"])
	live := make([][]byte, 64)
	for i := range live {
		live[i] = make([]byte, 256<<10)
		live[i][0] = 1
	}
	after := read()
	require.GreaterOrEqual(t, after["heap_kb"], before["heap_kb"]+8<<10, "16 MiB were allocated and are still referenced")
	require.NotNil(t, live[63])
}
