package event

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Events fire in order of time, at the same time in the order in which they were scheduled,
// and a stopped timer never fires.
func TestOrder(t *testing.T) {
	type mark struct {
		at time.Duration
		n  int
	}
	r := rand.New(rand.NewPCG(1, 1))
	l := &Loop{}
	var want, got []mark
	var timers []*Timer
	for n := range 5000 {
		m := mark{time.Duration(r.IntN(200)) * time.Millisecond, n}
		timers = append(timers, l.After(m.at, func() {
			require.Equal(t, m.at, l.Now())
			got = append(got, m)
		}))
		want = append(want, m)
	}
	stopped := make(map[int]bool)
	for range 2000 {
		n := r.IntN(len(timers))
		require.Equal(t, !stopped[n], timers[n].Stop())
		stopped[n] = true
	}
	want = slices.DeleteFunc(want, func(m mark) bool { return stopped[m.n] })
	slices.SortStableFunc(want, func(a, b mark) int { return cmp.Compare(a.at, b.at) })
	require.NoError(t, l.Run(time.Second))
	require.Equal(t, want, got)
	require.Equal(t, time.Second, l.Now())
	require.Zero(t, l.Pending())
}

// A million events at one instant are allowed. A loop that never leaves an instant ends with
// ErrStuck, and one whose events never end with ErrTooManyEvents.
func TestBounds(t *testing.T) {
	l := &Loop{}
	n := 0
	for range 1_000_000 {
		l.Post(time.Millisecond, func() { n++ })
	}
	require.NoError(t, l.Run(time.Second))
	require.Equal(t, 1_000_000, n)

	l = &Loop{MaxPerInstant: 1000}
	var again func()
	again = func() { l.Post(0, again) }
	l.Post(0, again)
	require.ErrorIs(t, l.Run(time.Second), ErrStuck)

	l = &Loop{MaxEvents: 1000}
	again = func() { l.Post(time.Microsecond, again) }
	l.Post(0, again)
	require.ErrorIs(t, l.Run(time.Hour), ErrTooManyEvents)

	stop := errors.New("stop")
	l = &Loop{TickEvery: 10, Tick: func() error { return stop }}
	again = func() { l.Post(time.Microsecond, again) }
	l.Post(0, again)
	require.ErrorIs(t, l.Run(time.Hour), stop)
	require.EqualValues(t, 10, l.Executed())
}

func BenchmarkLoop(b *testing.B) {
	l := &Loop{}
	r := rand.New(rand.NewPCG(1, 1))
	var again func()
	again = func() { l.Post(time.Duration(r.IntN(1_000_000)), again) }
	for range 10_000 {
		again()
	}
	b.ReportAllocs()
	l.MaxEvents = int64(b.N)
	l.Run(1 << 60)
}
