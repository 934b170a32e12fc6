package lanes

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A lane whose jobs never end leaves a worker and queue capacity for another lane.
func TestOneLaneCannotTakeAll(t *testing.T) {
	l := New[int](4, 10)
	pushed := 0
	for range 100 {
		if l.Push("stuck", 0) {
			pushed++
		}
		l.Next()
	}
	require.Equal(t, 3, l.Running())
	require.Equal(t, 3+5, pushed)
	require.True(t, l.Push("healthy", 1))
	job, name, ok := l.Next()
	require.True(t, ok)
	require.Equal(t, "healthy", name)
	require.Equal(t, 1, job)
	l.Done(name)
	_, _, ok = l.Next()
	require.False(t, ok)
}

// For any sequence of calls: the limits are kept and every job is eventually returned.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, capacity := rapid.IntRange(1, 5).Draw(t, "workers"), rapid.IntRange(1, 20).Draw(t, "capacity")
		l := New[int](workers, capacity)
		running := map[string]int{}
		pushed, taken, inFlight := 0, 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "lane")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				if l.Push(name, pushed) {
					pushed++
				}
			case 1:
				if _, got, ok := l.Next(); ok {
					taken++
					running[got]++
					inFlight++
				}
			case 2:
				if running[name] > 0 {
					running[name]--
					inFlight--
					l.Done(name)
				}
			}
			if l.Waiting() > capacity || l.Waiting() != pushed-taken || inFlight > workers || l.Running() != inFlight {
				t.Fatalf("waiting %d of %d, running %d of %d", l.Waiting(), capacity, inFlight, workers)
			}
			for _, n := range running {
				if workers > 1 && n >= workers {
					t.Fatal("one lane uses all workers")
				}
			}
		}
		for { // waiting jobs are returned once workers are free
			for name, n := range running {
				for range n {
					l.Done(name)
				}
				running[name] = 0
			}
			_, got, ok := l.Next()
			if !ok {
				break
			}
			taken++
			running[got]++
		}
		if taken != pushed {
			t.Fatalf("%d of %d jobs were returned", taken, pushed)
		}
	})
}
