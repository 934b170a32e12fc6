package breaker

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const second = int64(1e6)

func call(b *Breaker, now int64, failed bool) bool {
	ok, trial := b.Allow(now)
	if ok {
		b.Record(now, trial, failed, "x")
	}
	return ok
}

func TestStreakAndRatio(t *testing.T) {
	b := New(Default, 0)
	for i := range 5 {
		require.True(t, call(b, int64(i), true))
	}
	require.Equal(t, Open, b.State)
	require.Equal(t, "5 failures in a row: x", b.Reason)
	require.False(t, call(b, second/2, false))

	b = New(Default, 0)
	for i := range 25 { // every third call fails, so there are never five failures in a row
		call(b, int64(i)*1000, i%3 == 0)
	}
	require.Equal(t, Open, b.State)
	require.Contains(t, b.Reason, "calls failed")
}

// Failures that have left the window are not counted.
func TestWindow(t *testing.T) {
	b := New(Default, 0)
	for i := range 200 { // one failure in eight calls, over 200 s
		require.True(t, call(b, int64(i)*second, i%8 == 0))
	}
	require.Equal(t, Closed, b.State)
	calls, _ := b.Counts()
	require.LessOrEqual(t, calls, 11)
}

func TestTrials(t *testing.T) {
	b := New(Default, 0)
	for i := range 5 {
		call(b, int64(i), true)
	}
	now := b.Until
	ok, trial := b.Allow(now)
	require.True(t, ok && trial)
	other, _ := b.Allow(now)
	require.False(t, other, "one at a time")
	b.Skip(trial)
	for range Default.TrialSuccesses {
		require.Equal(t, HalfOpen, b.State)
		require.True(t, call(b, now, false))
	}
	require.Equal(t, Closed, b.State)
	// A trial that ends after the breaker has closed has no effect.
	b.Record(now, true, true, "late")
	require.Equal(t, Closed, b.State)
}

// A hook that works for 3 s and fails for 3 s, called 100 times a second for ten
// minutes, must not make the breaker oscillate: each backoff is longer.
func TestFlapping(t *testing.T) {
	b := New(Default, 0)
	for now := int64(0); now < 600*second; now += second / 100 {
		call(b, now, now/(3*second)%2 == 1)
	}
	require.LessOrEqual(t, b.OpenCount, 24)
	require.GreaterOrEqual(t, b.Backoff, 30*second)
}

// Time spent closed reduces the backoff that old failures caused.
func TestBackoffDecays(t *testing.T) {
	b := New(Default, 0)
	fail := func(now int64) {
		for call(b, now, true); b.State != Open; {
			call(b, now, true)
		}
	}
	fail(0)
	for range 4 {
		fail(b.Until)
	}
	require.Equal(t, 16*second, b.Backoff)
	now := b.Until
	for b.State != Closed {
		call(b, now, false)
	}
	fail(now + 10*Default.CalmPeriod)
	require.Equal(t, Default.MinBackoff, b.Backoff)
}

// For any sequence of calls: an open breaker allows no call before its backoff is over,
// a half-open one allows one call at a time, the backoff stays within its limits, and a
// dependency that recovers is allowed again.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Default, 0)
		now, inFlight := int64(0), 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += rapid.Int64Range(0, 3*second).Draw(t, "gap")
			before := *b
			ok, trial := b.Allow(now)
			if before.State == Open && now < before.Until && ok {
				t.Fatal("call allowed while open")
			}
			if trial {
				if inFlight++; inFlight > 1 {
					t.Fatal("two trials at once")
				}
			}
			if !ok {
				continue
			}
			if rapid.Bool().Draw(t, "skip") {
				b.Skip(trial)
			} else {
				b.Record(now, trial, rapid.Bool().Draw(t, "failed"), "x")
			}
			if trial {
				inFlight--
			}
			if b.Backoff != 0 && (b.Backoff < Default.MinBackoff || b.Backoff > Default.MaxBackoff) {
				t.Fatalf("backoff %d", b.Backoff)
			}
		}
		now += Default.MaxBackoff
		for range Default.TrialSuccesses {
			call(b, now, false)
		}
		if b.State != Closed {
			t.Fatalf("state %v after successful trials", b.State)
		}
	})
}
