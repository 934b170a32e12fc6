package virtual

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/lab/event"
	"saddleport/internal/lab/record"
	"saddleport/internal/lab/scenario"
	"saddleport/internal/settings"
)

const small = `[scenario]
name   = small
length = 12s
warmup = 1s
[mixers]
count = 2
[fleet]
cells    = 4
replicas = 3
shards   = 8
cores    = 2
cold-time = 8s
[network]
sites = amman, zarqa
[list]
lag = 300ms
[class free-slots]
rate  = 40
parts = 5
need  = 0.6
floor = 0.4
[class book-trip]
rate   = 40
parts  = 1
effect = single_shot
`

func play(t *testing.T, text string, opt Options) *record.Run {
	t.Helper()
	doc, err := scenario.Parse("test.ini", []byte(text))
	require.NoError(t, err)
	s, err := doc.Scenario(nil)
	require.NoError(t, err)
	p, err := s.Plan(uint64(s.Seed))
	require.NoError(t, err)
	run, err := Run(context.Background(), p, opt)
	require.NoError(t, err)
	return run
}

// For each rule, a mutation of the proxies or the rig breaks it: the judge must detect the
// violation, and must report nothing for the unmutated runs.
func TestJudgeDetectsMutations(t *testing.T) {
	clean := play(t, small, Options{})
	require.Empty(t, clean.Unmet())
	require.Greater(t, clean.Summary.Goodput, 0.99)
	failing := small + "[fault f]\ndo = fail\nat = 2s\nparts = 0.7\n"
	draining := small + "[fault d]\ndo = drain\nat = 2s\nwho = cell 1\n"
	returning := strings.ReplaceAll(small, "rate  = 40", "rate  = 300") + "[fault d]\ndo = die\nat = 2s\nfor = 3s\nwho = cell 1\n"
	drainingByOneSource := small + "[members]\nsources = list, consul\n[fault d]\ndo = drain\nsource = consul\nat = 2s\nwho = cell 1\n"
	for _, unmutated := range []string{failing, draining, returning, drainingByOneSource} {
		require.Zero(t, play(t, unmutated, Options{}).Verdict.Violations(), "%s", play(t, unmutated, Options{}).Verdict.Faults)
	}
	unsafe := func(s *settings.Settings) {
		for i := range s.Router.Classes {
			s.Router.Classes[i].Effect = choice.Safe
		}
	}
	cases := []struct {
		rule, text string
		mutations  Mutations
		count      func(*record.Run) int
		fault      string
	}{
		{"every query is answered", small, Mutations{ReplaceFinal: func(*exchange.Final) *exchange.Final { return nil }},
			func(r *record.Run) int { return r.Verdict.Lost }, "lost: query"},
		{"answers are in time", small, Mutations{AnswerDelay: 3 * time.Second}, func(r *record.Run) int { return r.Verdict.Late }, "late: query"},
		{"a query has one answer", small, Mutations{AnswerTwice: true}, func(r *record.Run) int { return r.Verdict.Doubled }, "was answered twice"},
		{"a part has one attempt at a time", small + "[fault f]\ndo = hang\nat = 2s\nparts = 0.3\n", Mutations{ChangeSettings: func(s *settings.Settings) { s.Router.ParallelAttempts = true }},
			func(r *record.Run) int { return r.Verdict.Doubled }, "was out at"},
		{"attempts are capped", small + "[fault f]\ndo = busy\nat = 2s\nfor = 5s\n", Mutations{ChangeSettings: func(s *settings.Settings) { s.Router.AttemptCap = 12 }},
			func(r *record.Run) int { return r.Verdict.Capped }, "are allowed"},
		{"unsafe parts run once", failing, Mutations{ChangeSettings: unsafe}, func(r *record.Run) int { return r.Verdict.Doubled }, "of book-trip ran"},
		{"a drained server receives nothing new", draining, Mutations{IgnoreDrain: true, ChangeSettings: func(s *settings.Settings) { s.Router.DrainGrace = 60_000_000 }},
			func(r *record.Run) int { return r.Verdict.Drained }, "after its drain was told"},
		{"a drain that one source reports is enough", drainingByOneSource, Mutations{IgnoreDrain: true, ChangeSettings: func(s *settings.Settings) { s.Router.DrainGrace = 60_000_000 }},
			func(r *record.Run) int { return r.Verdict.Drained }, "after its drain was told"},
		{"a part goes only to servers that have its shard", small, Mutations{WrapUpstream: func(_ int, l exchange.Upstream, _ *exchange.Exchange) exchange.Upstream {
			return &misrouter{Upstream: l}
		}},
			func(r *record.Run) int { return r.Verdict.Astray }, "which does not hold it"},
		{"answers marked complete are complete", small, Mutations{ReplaceFinal: func(f *exchange.Final) *exchange.Final { f.Hits = f.Hits[:min(len(f.Hits), 1)]; return f }},
			func(r *record.Run) int { return r.Verdict.Wrong }, "marked whole with"},
		{"partial answers have the minimum share", small, Mutations{ReplaceFinal: func(f *exchange.Final) *exchange.Final {
			f.Complete, f.Hits = false, f.Hits[:min(len(f.Hits), 1)]
			return f
		}}, func(r *record.Run) int { return r.Verdict.Wrong }, "and the least is"},
		{"values come from servers", small, Mutations{ReplaceValue: func(_, v string) string { return v + "!" }},
			func(r *record.Run) int { return r.Verdict.Wrong }, "no leaf server made"},
		{"a rejected query has not run", failing, Mutations{ReplaceFinal: func(f *exchange.Final) *exchange.Final {
			if f.Ending == exchange.Failed {
				f.Ending = exchange.Refused
			}
			return f
		}}, func(r *record.Run) int { return r.Verdict.Wrong }, "was refused, and a part of it ran"},
		{"servers receive only parts that clients requested", small, Mutations{WrapUpstream: func(_ int, l exchange.Upstream, _ *exchange.Exchange) exchange.Upstream {
			return &partRenamer{Upstream: l}
		}},
			func(r *record.Run) int { return r.Verdict.Wrong }, "was asked for by no client"},
	}
	for _, c := range cases {
		t.Run(c.rule, func(t *testing.T) {
			r := play(t, c.text, Options{Mutations: c.mutations})
			require.Positive(t, c.count(r), "%+v", r.Summary)
			require.Contains(t, strings.Join(r.Verdict.Faults, "\n"), c.fault)
			require.NotEmpty(t, r.Unmet())
		})
	}
}

// misrouter sends every 20th part to the first server it has seen, whatever shards that server has.
type misrouter struct {
	exchange.Upstream
	first string
	n     int
}

func (s *misrouter) Send(list []*exchange.Attempt) {
	for _, a := range list {
		if s.first == "" {
			s.first = a.Server
		}
		if s.n++; s.n%20 == 0 {
			a.Server = s.first
		}
	}
	s.Upstream.Send(list)
}

// partRenamer sends every 50th part under a name that no client gave it.
type partRenamer struct {
	exchange.Upstream
	n int
}

func (r *partRenamer) Send(list []*exchange.Attempt) {
	for _, a := range list {
		if r.n++; r.n%50 == 0 {
			a.PartID = strings.Replace(a.PartID, "-", "x-", 1)
		}
	}
	r.Upstream.Send(list)
}

// The same scenario and seed give the same bytes, also on one core, and another seed
// gives different ones.
func TestDeterministicOutput(t *testing.T) {
	text := small + `[fault q]
do = die
at = 3s
for = 2s
share = 0.25
[fault c]
do = cut
at = 6s
for = 2s
who = amman zarqa
[fault k]
do = kill-mixer
at = 8s
for = 1s
who = mixer 1
[clients]
retries = 3
retry-failed = yes
`
	digest := func(text string) string {
		files, err := play(t, text, Options{KeepRows: true}).Files()
		require.NoError(t, err)
		return record.Digest(files)
	}
	first := digest(text)
	require.Equal(t, first, digest(text))
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	require.Equal(t, first, digest(text))
	require.NotEqual(t, first, digest(strings.Replace(text, "name   = small", "name   = small\nseed = 2", 1)))
}

// Faults happen as scripted and break no rule: partitioned and vanished servers are
// unresponsive, a killed proxy loses only its own queries, a gracefully restarted one loses
// nothing, and the list omits servers or stops sending changes.
func TestFaults(t *testing.T) {
	for _, f := range []string{
		"do = vanish\nat = 3s\nfor = 3s\nshare = 0.3", "do = cut\nat = 3s\nfor = 3s\nwho = amman zarqa\nboth = no", "do = pause\nat = 2s\nfor = 500ms\nevery = 1s\nshare = 0.2",
		"do = restart-mixer\nat = 3s\nfor = 1s\napart = 4s", "do = kill-mixer\nat = 3s\nfor = 1s\nwho = mixer 0", "do = list-lie\nat = 3s\nfor = 3s\nshare = 0.5",
		"do = list-silent\nat = 2s\nfor = 5s", "do = release\nat = 2s\nfor = 4s\napart = 2s", "do = busy\nat = 3s\nfor = 3s\nshare = 0.3", "do = slow\nat = 3s\nfor = 4s\nshare = 0.3\nfactor = 20",
	} {
		t.Run(strings.Fields(f)[2], func(t *testing.T) {
			r := play(t, small+"[fault f]\n"+f+"\n", Options{KeepRows: true})
			require.Empty(t, r.Unmet(), "%s", r.Verdict.Faults)
			require.NotEmpty(t, r.Events)
			require.Greater(t, r.Summary.Goodput, 0.8)
			if strings.Contains(f, "restart-mixer") {
				require.Zero(t, r.Summary.Failed)
			}
			if strings.Contains(f, "kill-mixer") {
				died := 0
				for _, c := range r.Verdict.Classes {
					died += c.Died
				}
				require.Positive(t, died)
			}
		})
	}
}

// A run with too many events is stopped with an error; a cancelled run ends at once.
func TestRunEndsEarly(t *testing.T) {
	doc, err := scenario.Parse("test.ini", []byte(small))
	require.NoError(t, err)
	s, err := doc.Scenario(nil)
	require.NoError(t, err)
	p, err := s.Plan(1)
	require.NoError(t, err)
	_, err = Run(context.Background(), p, Options{MaxEvents: 5000})
	require.ErrorIs(t, err, event.ErrTooManyEvents)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p, err = s.Plan(1)
	require.NoError(t, err)
	_, err = Run(ctx, p, Options{})
	require.ErrorIs(t, err, context.Canceled)
}
