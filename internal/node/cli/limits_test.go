package cli

import (
	"math"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

const readLimit = -1 // makes SetMemoryLimit report the limit without changing it

// Guards against a soft memory limit of 0, under which the garbage collector runs without pause.
func TestMemoryLimit(t *testing.T) {
	former := debug.SetMemoryLimit(math.MaxInt64)
	t.Cleanup(func() {
		debug.SetMemoryLimit(former)
		debug.SetGCPercent(100)
	})
	setRuntimeLimits(100, 0)
	require.EqualValues(t, math.MaxInt64, debug.SetMemoryLimit(readLimit), "the settings give no limit")
	setRuntimeLimits(100, 100)
	require.EqualValues(t, 60<<20, debug.SetMemoryLimit(readLimit))
}
