package virtual

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"saddleport/internal/lab/record"
)

// ringScenario is a small ring that uses the features of the large shared scenarios.
const ringScenario = `[scenario]
name   = ringed
length = 20s
warmup = 1s
over-share-worth = 0.2
[mixers]
count = 3
[settings]
look = 100ms
per-call-work = 8ms
bundle-max = 16
parallel-tries = yes
send-cap = 3
[fleet]
cells = 9
width = 3
shards = 36
replicas = 1
cores = 2
slots = 4
key-gain = 0.3
cold-time = 8s
cold-window = 1s
[network]
sites = a, b, c
[list]
lag = 300ms
[class overview]
rate = 30
parts = 9
row = yes
keys = 1000
need = 0.75
floor = 0.75
[class fix]
rate = 20
parts = 1
parts-most = 2
row = yes
keys = 1000
effect = single_shot
[tenant big]
usage = 2
quota = 35
[tenant small]
usage = 1
quota = 35
`

// The rules hold with pushed lists, while the agent is silent and while servers drain during
// that time; and a proxy that ignores the agent is detected.
func TestPushedLists(t *testing.T) {
	for _, f := range []string{
		"", "[fault s]\ndo = list-silent\nat = 3s\nfor = 6s\n[fault d]\ndo = drain\nat = 2s\nfor = 9s\nshare = 0.4\napart = 700ms\n",
		"[fault r]\ndo = release\nat = 2s\nfor = 3500ms\nextra = 3s\napart = 1s\nshare = 0.9\n",
	} {
		r := play(t, ringScenario+f, Options{KeepRows: true})
		require.Empty(t, r.Unmet(), "%s", r.Verdict.Faults)
		require.Greater(t, r.Summary.Goodput, 0.9)
		require.LessOrEqual(t, r.Summary.Worst10, r.Summary.Goodput+1e-9)
	}
	r := play(t, ringScenario+"[fault d]\ndo = drain\nat = 2s\nshare = 0.4\n", Options{Mutations: Mutations{IgnoreDrain: true}})
	require.Zero(t, r.Verdict.Drained, "the decisions alone keep to a drain")
}

// Calls have a cost: the same queries with a higher cost per call show more work at the
// servers.
func TestCallsCost(t *testing.T) {
	work := func(text string) (sum int64) {
		for _, s := range play(t, text, Options{KeepRows: true}).Seconds {
			sum += s.Work
		}
		return sum
	}
	free, costly := work(strings.Replace(ringScenario, "per-call-work = 8ms", "per-call-work = 0s", 1)), work(ringScenario)
	require.Greater(t, costly, free)
	// A query of nine consecutive parts takes two or three calls, one of class fix takes one.
	r := play(t, ringScenario, Options{KeepRows: true})
	calls := float64(costly-free) / 8000
	require.Less(t, calls, 0.55*float64(r.Summary.Parts))
}

// The result of the tenants and of the worst ten seconds is recorded; without tenants the
// tenant result is 1.
func TestWorstSpanAndTenant(t *testing.T) {
	r := play(t, ringScenario+"[burst b]\nat = 5s\nfor = 10s\nfactor = 6\ntenant = small\n", Options{KeepRows: true})
	over := 0
	for _, q := range r.Queries {
		if q.Value < 0.5 {
			over++
		}
	}
	require.Positive(t, over)
	var s record.Summary = r.Summary
	require.LessOrEqual(t, s.Tenant, 1.0)
	require.Equal(t, 1.0, play(t, small, Options{}).Summary.Tenant)
}
