package compare

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"saddleport/internal/lab/record"
	"saddleport/internal/lab/sweep"
)

func side(n int, of func(seed int) record.Summary) *sweep.Result {
	r := &sweep.Result{}
	for i := range n {
		r.Runs = append(r.Runs, sweep.RunResult{Label: "-", Seed: i, Summary: of(i)})
	}
	return r
}

func verdicts(t *testing.T, a, b *sweep.Result) map[string]string {
	t.Helper()
	rows, err := Compare(a, b)
	require.NoError(t, err)
	out := make(map[string]string)
	for _, r := range rows {
		out[r.Figure] = r.Verdict
		require.LessOrEqual(t, r.Low, r.High)
	}
	return out
}

// A difference that all seeds show is reported; one within their spread is not. Pairing
// removes the variation that the seeds contribute.
func TestVerdicts(t *testing.T) {
	hard := func(seed int) float64 { return float64(seed*7%10) / 100 }
	a := side(12, func(s int) record.Summary {
		return record.Summary{Goodput: 0.9 - hard(s), P99: int64(100000 + s*5000), Asked: 100, Refused: 5, Queries: 1}
	})
	b := side(12, func(s int) record.Summary {
		return record.Summary{Goodput: 0.91 - hard(s) + float64(s%3)/1000, P99: int64(110000 + s*5000), Asked: 100, Refused: int64(5 + s%3 - 1), Queries: 1}
	})
	v := verdicts(t, a, b)
	require.Equal(t, Better, v["goodput"])
	require.Equal(t, Worse, v["p99 ms"])
	require.Equal(t, Inconclusive, v["refused share"])
	require.Equal(t, Same, v["failed share"])
	v = verdicts(t, b, a)
	require.Equal(t, Worse, v["goodput"])
	require.Equal(t, Better, v["p99 ms"])
	few := side(3, func(s int) record.Summary { return record.Summary{Goodput: 0.5} })
	require.Equal(t, Inconclusive, verdicts(t, a, few)["goodput"])
	_, err := Compare(a, &sweep.Result{Runs: []sweep.RunResult{{Label: "-", Seed: 99}}})
	require.ErrorContains(t, err, "in common")
}

// The interval contains the true mean about as often as its level says.
func TestCoverage(t *testing.T) {
	covered := 0
	for i := range 200 {
		var sample []float64
		for k := range 20 {
			// Uniform values in [0, 1), from a linear sequence varied by i.
			x := float64((i*7919+k*104729+k*k*31)%1000) / 1000
			sample = append(sample, x)
		}
		low, high := Bootstrap(sample, 500, 0.95)
		if low <= 0.4995 && 0.4995 <= high {
			covered++
		}
	}
	require.Greater(t, covered, 160, fmt.Sprint(covered))
}
