package level

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const sec = Micros(1_000_000)

func settings() Settings {
	return Settings{Levels: []Level{{"lean", []Condition{{"refused", 0.05}, {"cold", 0.3}}}, {"least", []Condition{{"refused", 0.3}}}},
		Evidence: 3 * sec, ExitRatio: 0.5, Calm: 5 * sec, MinStay: 10 * sec, MaxStay: 160 * sec, Trial: 5 * sec, MaxRegression: 0.025, MinSamples: 20}
}

// play has a state read signals once a second for so long, with queries whose loss
// depends on whether they try the better level; it returns all changes.
func play(s *State, from, span Micros, signals func(now Micros, level int) Signals, lost func(now Micros, tried bool) float64) (out []Change) {
	for now := from + sec; now <= from+span; now += sec {
		for i := range 100 {
			tried := s.TrialActive() && i%10 == 0
			s.RecordQuery(tried, 1, lost(now, tried))
		}
		if c, ok := s.Update(now, signals(now, s.Level())); ok {
			out = append(out, c)
		}
	}
	return out
}

// plant is a fleet: demand over what it can do, eased by the level.
func plant(load func(Micros) float64) (func(Micros, int) Signals, func(Micros, bool) float64) {
	ease := []float64{1, 0.7, 0.4}
	over := func(now Micros, level int) float64 { return max(0, 1-1/max(load(now)*ease[level], 1e-9)) }
	var level int
	return func(now Micros, l int) Signals {
			level = l
			return Signals{QueryRate: 100, Refused: over(now, l)}
		}, func(now Micros, tried bool) float64 {
			if tried {
				return over(now, max(level-1, 0))
			}
			return over(now, level)
		}
}

func TestOneChangeInConditions(t *testing.T) {
	s := New(settings(), 0)
	signals, lost := plant(func(now Micros) float64 {
		if now > 60*sec && now < 240*sec {
			return 1.25
		}
		return 0.8
	})
	out := play(s, 0, 600*sec, signals, lost)
	require.Len(t, out, 2, "%+v", out)
	require.Equal(t, 1, out[0].To)
	require.Less(t, out[0].At, 66*sec)
	require.Contains(t, out[0].Reason, "refused 0.2, bound 0.05")
	require.Equal(t, 0, out[1].To)
	require.Contains(t, out[1].Reason, "ended badly")
}

// Load right at the boundary, faults that come and go, a slow ramp: ten minutes each.
func TestDoesNotSwing(t *testing.T) {
	square := func(period Micros) func(Micros) float64 {
		return func(now Micros) float64 {
			if now/(period/2)%2 == 0 {
				return 1.4
			}
			return 0.7
		}
	}
	r := rand.New(rand.NewPCG(1, 2))
	for name, c := range map[string]struct {
		load func(Micros) float64
		most int
	}{
		"hovers at the bound": {func(Micros) float64 { return 1 / (1 - 0.05) * (1 + 0.02*r.NormFloat64()) }, 2},
		"hovers at capacity":  {func(Micros) float64 { return 1 + 0.03*r.NormFloat64() }, 2},
		"every 6 s":           {square(6 * sec), 2},
		"every 20 s":          {square(20 * sec), 8},
		"every 80 s":          {square(80 * sec), 10},
		"slow ramp":           {func(now Micros) float64 { return 0.7 + 0.9*float64(now)/float64(600*sec) }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(settings(), 0)
			signals, lost := plant(c.load)
			out := play(s, 0, 600*sec, signals, lost)
			require.LessOrEqual(t, len(out), c.most, "%+v", out)
		})
	}
}

// Nothing is judged by one reading, by a gap, or by a clock that jumps.
func TestClock(t *testing.T) {
	s := New(settings(), 0)
	_, ok := s.Update(3600*sec, Signals{Refused: 1})
	require.False(t, ok)
	_, ok = s.Update(10*sec, Signals{Refused: 1})
	require.False(t, ok)
	_, ok = s.Update(10*sec, Signals{Refused: 1})
	require.False(t, ok)
	s.Update(11*sec, Signals{Refused: math.Inf(1)})
	require.LessOrEqual(t, s.Level(), 2)
}

func TestPin(t *testing.T) {
	s := New(settings(), 0)
	c, ok := s.Pin(sec, 2, 30*sec)
	require.True(t, ok)
	require.Equal(t, "least", s.Name(c.To))
	require.Equal(t, 2, s.Level())
	_, ok = s.Update(5*sec, Signals{})
	require.False(t, ok)
	require.Equal(t, 30*sec, s.PinnedUntil())
	c, ok = s.Update(30*sec, Signals{})
	require.True(t, ok)
	require.Equal(t, Change{30 * sec, 2, 0, "the pin has expired"}, c)
	s.Pin(31*sec, 1, 90*sec)
	c, ok = s.Release(32 * sec)
	require.True(t, ok)
	require.Zero(t, c.To)
}

// Whatever is read: the level is one of those there are, changes are chained, and one
// is never left upwards without a trial that ended well, nor before its stay.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings()
		s := New(set, 0)
		at, was, entered := 0, false, Micros(0)
		for now := sec; now < 400*sec; now += sec {
			for i := range 30 {
				s.RecordQuery(i%10 == 0 && s.TrialActive(), 1, rapid.SampledFrom([]float64{0, 0, 0, 1}).Draw(t, "lost"))
			}
			was = s.TrialActive()
			c, ok := s.Update(now, Signals{Refused: rapid.SampledFrom([]float64{0, 0, 0.02, 0.06, 0.5, 1}).Draw(t, "refused"), SlowStart: rapid.SampledFrom([]float64{0, 0, 0.4}).Draw(t, "cold")})
			if !ok {
				continue
			}
			if c.From != at || c.To == at || c.To < 0 || c.To > len(set.Levels) || c.Reason == "" {
				t.Fatalf("%+v at level %d", c, at)
			}
			if c.To < at && (!was || c.To != at-1 || now-entered < set.MinStay) {
				t.Fatalf("left level %d for %d without a trial, or after %d s", at, c.To, (now-entered)/sec)
			}
			at, entered = c.To, now
		}
		if s.Stay() > set.MaxStay {
			t.Fatalf("a stay of %d", s.Stay())
		}
	})
}
