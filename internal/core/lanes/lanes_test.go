package lanes

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A lane whose jobs never end leaves a worker and room to wait for another.
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
	require.True(t, l.Push("well", 1))
	job, name, ok := l.Next()
	require.True(t, ok)
	require.Equal(t, "well", name)
	require.Equal(t, 1, job)
	l.Done(name)
	_, _, ok = l.Next()
	require.False(t, ok)
}

// Lanes are bounded, in turn, and lose nothing.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, room := rapid.IntRange(1, 5).Draw(t, "workers"), rapid.IntRange(1, 20).Draw(t, "room")
		l := New[int](workers, room)
		running := map[string]int{}
		pushed, taken, total := 0, 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "lane")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				if l.Push(name, pushed) {
					pushed++
				}
			case 1:
				if _, got, ok := l.Next(); ok {
					taken++
					running[got]++
					total++
				}
			case 2:
				if running[name] > 0 {
					running[name]--
					total--
					l.Done(name)
				}
			}
			if l.Waiting() > room || l.Waiting() != pushed-taken || total > workers || l.Running() != total {
				t.Fatalf("waiting %d of %d, running %d of %d", l.Waiting(), room, total, workers)
			}
			for _, n := range running {
				if workers > 1 && n >= workers {
					t.Fatal("one lane has all workers")
				}
			}
		}
		for { // what waits comes out once workers are free
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
			t.Fatalf("%d of %d came out", taken, pushed)
		}
	})
}
