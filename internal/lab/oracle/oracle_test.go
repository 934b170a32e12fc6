package oracle

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"saddleport/internal/lab/record"
	"saddleport/internal/lab/scenario"
	"saddleport/internal/lab/virtual"
)

const returning = `[scenario]
name   = returning
length = 12s
warmup = 1s
[fleet]
cells    = 4
replicas = 3
shards   = 8
cores    = 2
cold-time = 8s
[list]
lag = 300ms
[class free-slots]
rate  = 300
parts = 5
[class book-trip]
rate   = 40
parts  = 1
effect = single_shot
[fault d]
do  = die
at  = 2s
for = 3s
who = cell 1
`

func play(t *testing.T, decide virtual.Decide) *record.Run {
	t.Helper()
	doc, err := scenario.Parse("test.ini", []byte(returning))
	require.NoError(t, err)
	s, err := doc.Scenario(nil)
	require.NoError(t, err)
	p, err := s.Plan(1)
	require.NoError(t, err)
	run, err := virtual.Run(context.Background(), p, virtual.Options{Decide: decide})
	require.NoError(t, err)
	return run
}

// Servers in slow start must not be overloaded. The policy that knows neither windows
// nor slow start breaks this rule, and the judge must detect it. The proxy's policy and
// the policy that sees the true state must keep every rule.
func TestSlowStart(t *testing.T) {
	blind := play(t, Blind)
	require.Positive(t, blind.Verdict.Pushed)
	require.Contains(t, strings.Join(blind.Verdict.Faults, "\n"), "crashed in slow start")
	proxy, omniscient := play(t, virtual.ProxyDecider), play(t, True)
	require.Zero(t, proxy.Verdict.Violations(), "%s", proxy.Verdict.Faults)
	require.Zero(t, omniscient.Verdict.Violations(), "%s", omniscient.Verdict.Faults)
	require.Greater(t, omniscient.Summary.Goodput, blind.Summary.Goodput)
	require.Greater(t, proxy.Summary.Goodput, blind.Summary.Goodput)
}
