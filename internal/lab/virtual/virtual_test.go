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
	doc, err := scenario.Text("test.ini", []byte(text))
	require.NoError(t, err)
	s, err := doc.Scenario(nil)
	require.NoError(t, err)
	p, err := s.Plan(uint64(s.Seed))
	require.NoError(t, err)
	run, err := Run(context.Background(), p, opt)
	require.NoError(t, err)
	return run
}

// Each rule, and a mixer or a rig that breaks it: the judge must see it, and see
// nothing where nothing is broken.
func TestSabotage(t *testing.T) {
	clean := play(t, small, Options{})
	require.Empty(t, clean.Unmet())
	require.Greater(t, clean.Summary.Goodput, 0.99)
	failing := small + "[fault f]\ndo = fail\nat = 2s\nparts = 0.7\n"
	draining := small + "[fault d]\ndo = drain\nat = 2s\nwho = cell 1\n"
	returning := strings.ReplaceAll(small, "rate  = 40", "rate  = 300") + "[fault d]\ndo = die\nat = 2s\nfor = 3s\nwho = cell 1\n"
	told := small + "[members]\nsources = list, consul\n[fault d]\ndo = drain\nsource = consul\nat = 2s\nwho = cell 1\n"
	for _, fair := range []string{failing, draining, returning, told} {
		require.Zero(t, play(t, fair, Options{}).Verdict.Violations(), "%s", play(t, fair, Options{}).Verdict.Faults)
	}
	unsafe := func(s *settings.Settings) {
		for i := range s.Router.Classes {
			s.Router.Classes[i].Effect = choice.Safe
		}
	}
	cases := []struct {
		rule, text string
		how        Sabotage
		seen       func(*record.Run) int
		words      string
	}{
		{"a query gets an answer", small, Sabotage{Final: func(*exchange.Final) *exchange.Final { return nil }},
			func(r *record.Run) int { return r.Verdict.Lost }, "lost: query"},
		{"in time", small, Sabotage{Delay: 3 * time.Second}, func(r *record.Run) int { return r.Verdict.Late }, "late: query"},
		{"one answer", small, Sabotage{Twice: true}, func(r *record.Run) int { return r.Verdict.Doubled }, "was answered twice"},
		{"one attempt at a time", small + "[fault f]\ndo = hang\nat = 2s\nparts = 0.3\n", Sabotage{Settings: func(s *settings.Settings) { s.Router.ParallelAttempts = true }},
			func(r *record.Run) int { return r.Verdict.Doubled }, "was out at"},
		{"the cap on attempts", small + "[fault f]\ndo = busy\nat = 2s\nfor = 5s\n", Sabotage{Settings: func(s *settings.Settings) { s.Router.AttemptCap = 12 }},
			func(r *record.Run) int { return r.Verdict.Capped }, "are allowed"},
		{"unsafe parts once", failing, Sabotage{Settings: unsafe}, func(r *record.Run) int { return r.Verdict.Doubled }, "of book-trip ran"},
		{"nothing new to a drained server", draining, Sabotage{Undrain: true, Settings: func(s *settings.Settings) { s.Router.DrainGrace = 60_000_000 }},
			func(r *record.Run) int { return r.Verdict.Drained }, "after its drain was told"},
		{"also where one source alone told", told, Sabotage{Undrain: true, Settings: func(s *settings.Settings) { s.Router.DrainGrace = 60_000_000 }},
			func(r *record.Run) int { return r.Verdict.Drained }, "after its drain was told"},
		{"nothing to a server that does not hold it", small, Sabotage{Leaves: func(_ int, l exchange.Upstream, _ *exchange.Exchange) exchange.Upstream { return &strayer{Upstream: l} }},
			func(r *record.Run) int { return r.Verdict.Astray }, "which does not hold it"},
		{"whole marks are honest", small, Sabotage{Final: func(f *exchange.Final) *exchange.Final { f.Hits = f.Hits[:min(len(f.Hits), 1)]; return f }},
			func(r *record.Run) int { return r.Verdict.Wrong }, "marked whole with"},
		{"the least share", small, Sabotage{Final: func(f *exchange.Final) *exchange.Final {
			f.Complete, f.Hits = false, f.Hits[:min(len(f.Hits), 1)]
			return f
		}}, func(r *record.Run) int { return r.Verdict.Wrong }, "and the least is"},
		{"values come from servers", small, Sabotage{Value: func(_, v string) string { return v + "!" }},
			func(r *record.Run) int { return r.Verdict.Wrong }, "no leaf server made"},
		{"a refusal promises", failing, Sabotage{Final: func(f *exchange.Final) *exchange.Final {
			if f.Ending == exchange.Failed {
				f.Ending = exchange.Refused
			}
			return f
		}}, func(r *record.Run) int { return r.Verdict.Wrong }, "was refused, and a part of it ran"},
		{"only what was asked for", small, Sabotage{Leaves: func(_ int, l exchange.Upstream, _ *exchange.Exchange) exchange.Upstream { return &renamer{Upstream: l} }},
			func(r *record.Run) int { return r.Verdict.Wrong }, "was asked for by no client"},
	}
	for _, c := range cases {
		t.Run(c.rule, func(t *testing.T) {
			r := play(t, c.text, Options{Sabotage: c.how})
			require.Positive(t, c.seen(r), "%+v", r.Summary)
			require.Contains(t, strings.Join(r.Verdict.Faults, "\n"), c.words)
			require.NotEmpty(t, r.Unmet())
		})
	}
}

// strayer sends now and then a part to the first server that it has seen, whatever that holds.
type strayer struct {
	exchange.Upstream
	first string
	n     int
}

func (s *strayer) Send(list []*exchange.Attempt) {
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

// renamer sends parts under names that nobody gave them.
type renamer struct {
	exchange.Upstream
	n int
}

func (r *renamer) Send(list []*exchange.Attempt) {
	for _, a := range list {
		if r.n++; r.n%50 == 0 {
			a.PartID = strings.Replace(a.PartID, "-", "x-", 1)
		}
	}
	r.Upstream.Send(list)
}

// The same scenario and seed give the same bytes, on one core and on four, and
// another seed gives others.
func TestSameBytes(t *testing.T) {
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
		files, err := play(t, text, Options{Keep: true}).Files()
		require.NoError(t, err)
		return record.Digest(files)
	}
	first := digest(text)
	require.Equal(t, first, digest(text))
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	require.Equal(t, first, digest(text))
	require.NotEqual(t, first, digest(strings.Replace(text, "name   = small", "name   = small\nseed = 2", 1)))
}

// Faults play as scripted: what is cut off or vanished is silent and breaks no rule,
// a mixer that is killed loses what it had and no more, one restarted as planned
// loses nothing, and the list's lies and silence cost no rule.
func TestFaults(t *testing.T) {
	for _, f := range []string{
		"do = vanish\nat = 3s\nfor = 3s\nshare = 0.3", "do = cut\nat = 3s\nfor = 3s\nwho = amman zarqa\nboth = no", "do = pause\nat = 2s\nfor = 500ms\nevery = 1s\nshare = 0.2",
		"do = restart-mixer\nat = 3s\nfor = 1s\napart = 4s", "do = kill-mixer\nat = 3s\nfor = 1s\nwho = mixer 0", "do = list-lie\nat = 3s\nfor = 3s\nshare = 0.5",
		"do = list-silent\nat = 2s\nfor = 5s", "do = release\nat = 2s\nfor = 4s\napart = 2s", "do = busy\nat = 3s\nfor = 3s\nshare = 0.3", "do = slow\nat = 3s\nfor = 4s\nshare = 0.3\nfactor = 20",
	} {
		t.Run(strings.Fields(f)[2], func(t *testing.T) {
			r := play(t, small+"[fault f]\n"+f+"\n", Options{Keep: true})
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

// A run that never ends is stopped and says so; one that is called off ends at once.
func TestEnds(t *testing.T) {
	doc, err := scenario.Text("test.ini", []byte(small))
	require.NoError(t, err)
	s, err := doc.Scenario(nil)
	require.NoError(t, err)
	p, err := s.Plan(1)
	require.NoError(t, err)
	_, err = Run(context.Background(), p, Options{Most: 5000})
	require.ErrorIs(t, err, event.ErrEndless)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p, err = s.Plan(1)
	require.NoError(t, err)
	_, err = Run(ctx, p, Options{})
	require.ErrorIs(t, err, context.Canceled)
}
