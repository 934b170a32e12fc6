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

// simulate updates a state with signals once a second for a time span, with queries
// whose loss depends on whether they are part of a trial. It returns all changes.
func simulate(s *State, from, span Micros, signals func(now Micros, level int) Signals, lost func(now Micros, tried bool) float64) (out []Change) {
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

// loadModel models a fleet by its load relative to capacity, which each level reduces.
func loadModel(load func(Micros) float64) (func(Micros, int) Signals, func(Micros, bool) float64) {
	loadFactor := []float64{1, 0.7, 0.4}
	overload := func(now Micros, level int) float64 { return max(0, 1-1/max(load(now)*loadFactor[level], 1e-9)) }
	var level int
	return func(now Micros, newLevel int) Signals {
			level = newLevel
			return Signals{QueryRate: 100, Refused: overload(now, newLevel)}
		}, func(now Micros, tried bool) float64 {
			if tried {
				return overload(now, max(level-1, 0))
			}
			return overload(now, level)
		}
}

func TestEntersAndLeavesOnce(t *testing.T) {
	s := New(settings(), 0)
	signals, lost := loadModel(func(now Micros) float64 {
		if now > 60*sec && now < 240*sec {
			return 1.25
		}
		return 0.8
	})
	out := simulate(s, 0, 600*sec, signals, lost)
	require.Len(t, out, 2, "%+v", out)
	require.Equal(t, 1, out[0].To)
	require.Less(t, out[0].At, 66*sec)
	require.Contains(t, out[0].Reason, "refused 0.2, bound 0.05")
	require.Equal(t, 0, out[1].To)
	require.Contains(t, out[1].Reason, "of their value, against")
}

// No level oscillates with a load right at the bound, with recurring faults or with a
// slow ramp, over ten minutes each.
func TestDoesNotOscillate(t *testing.T) {
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
		load       func(Micros) float64
		maxChanges int
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
			signals, lost := loadModel(c.load)
			out := simulate(s, 0, 600*sec, signals, lost)
			require.LessOrEqual(t, len(out), c.maxChanges, "%+v", out)
		})
	}
}

// No change follows from a single reading, from a gap, or from a clock that jumps.
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

// For any readings: the level is a configured one, each change starts at the previous
// level, and a better level is entered only after a trial and after the minimum stay.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings()
		s := New(set, 0)
		level, trialActive, entered := 0, false, Micros(0)
		for now := sec; now < 400*sec; now += sec {
			for i := range 30 {
				s.RecordQuery(i%10 == 0 && s.TrialActive(), 1, rapid.SampledFrom([]float64{0, 0, 0, 1}).Draw(t, "lost"))
			}
			trialActive = s.TrialActive()
			c, ok := s.Update(now, Signals{Refused: rapid.SampledFrom([]float64{0, 0, 0.02, 0.06, 0.5, 1}).Draw(t, "refused"), SlowStart: rapid.SampledFrom([]float64{0, 0, 0.4}).Draw(t, "cold")})
			if !ok {
				continue
			}
			if c.From != level || c.To == level || c.To < 0 || c.To > len(set.Levels) || c.Reason == "" {
				t.Fatalf("%+v at level %d", c, level)
			}
			if c.To < level && (!trialActive || c.To != level-1 || now-entered < set.MinStay) {
				t.Fatalf("changed from level %d to %d without a trial, or after only %d s", level, c.To, (now-entered)/sec)
			}
			level, entered = c.To, now
		}
		if s.Stay() > set.MaxStay {
			t.Fatalf("stay %d exceeds MaxStay", s.Stay())
		}
	})
}
