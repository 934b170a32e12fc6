package httpserver

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A number is used again only after its service has been unused for long enough, and never while it is used.
func TestShardNumbers(t *testing.T) {
	var numbers ShardNumbers
	for i := range MaxShards {
		n, err := numbers.Of(fmt.Sprint("s", i))
		require.NoError(t, err)
		require.Equal(t, i, n)
	}
	_, err := numbers.Of("new")
	require.ErrorIs(t, err, ErrNoShardNumber)
	_, err = numbers.forRoute("s1", time.Minute)
	require.NoError(t, err)
	used := make(map[string]bool)
	for i := 3; i < MaxShards; i++ {
		used[fmt.Sprint("s", i)] = true
	}
	const delay = 30 * time.Second
	start := time.Now()
	release := func(after time.Duration) { numbers.Release(start.Add(after), delay, used) }
	release(0)
	release(delay - 1)
	require.Equal(t, MaxShards, numbers.Len())
	_, err = numbers.Of("s2") // asked for again: in use from now on
	require.NoError(t, err)
	release(delay)
	require.Equal(t, MaxShards-1, numbers.Len()) // s1 has a route with a longer timeout
	n, err := numbers.Of("new")
	require.NoError(t, err)
	require.Equal(t, 0, n)
	used["new"], used["s2"] = true, true
	release(time.Minute + queryEndMargin)
	n, err = numbers.Of("s0")
	require.NoError(t, err)
	require.Equal(t, 1, n)
	n, err = numbers.Of("s2")
	require.NoError(t, err)
	require.Equal(t, 2, n)
}
