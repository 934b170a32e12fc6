package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var cells = []Cell{{0, []string{"a"}}, {1, []string{"b", "c"}}}

func initialMap(t testing.TB) *Map {
	m, err := (*Map)(nil).Apply(&Update{Epoch: 5, Cells: cells, Segments: []Segment{
		{ID: 2, Range: Range{"amman", "irbid"}, Cell: 1}, {ID: 1, Range: Range{"", "amman"}}, {ID: 3, Range: Range{"irbid", ""}}}})
	require.NoError(t, err)
	return m
}

// Lookup at range bounds; a delta leaves the old map unchanged and remembers the ranges of
// retired segments.
func TestApply(t *testing.T) {
	m := initialMap(t)
	s, ok := m.Lookup("karak")
	require.True(t, ok)
	require.EqualValues(t, 3, s.ID)
	s, _ = m.Lookup("")
	require.EqualValues(t, 1, s.ID)
	s, _ = m.Lookup("amman")
	require.EqualValues(t, 2, s.ID)

	split := &Update{Epoch: 6, Base: 5, Removed: []uint32{2}, Segments: []Segment{
		{ID: 4, Range: Range{"amman", "aqaba"}, Cell: 1}, {ID: 5, Range: Range{"aqaba", "irbid"}, Cell: 0}}}
	n, err := m.Apply(split)
	require.NoError(t, err)
	require.Equal(t, 4, n.Len())
	require.Equal(t, 3, m.Len(), "the old map is unchanged")
	r, active, known := n.Range(2)
	require.Equal(t, Range{"amman", "irbid"}, r)
	require.True(t, known && !active)

	// After a rollback the same id may return for the same range.
	reverted, err := n.Apply(&Update{Epoch: 7, Base: 6, Removed: []uint32{4, 5}, Segments: []Segment{{ID: 2, Range: Range{"amman", "irbid"}}}})
	require.NoError(t, err)
	_, active, _ = reverted.Range(2)
	require.True(t, active)
}

func TestApplyRejects(t *testing.T) {
	for name, c := range map[string]struct {
		u    Update
		want string
	}{
		"old":          {Update{Epoch: 5}, "epoch 5 is not newer than 5"},
		"gap":          {Update{Epoch: 9, Base: 7}, "update is based on epoch 7, but the current epoch is 5"},
		"hole":         {Update{Epoch: 6, Base: 5, Removed: []uint32{2}}, "[amman, irbid): not covered by any segment"},
		"hole end":     {Update{Epoch: 6, Base: 5, Removed: []uint32{3}}, "[irbid, end): not covered by any segment"},
		"overlap":      {Update{Epoch: 6, Base: 5, Segments: []Segment{{ID: 9, Range: Range{"b", "c"}}}}, "[b, irbid): covered by both segment 2 and segment 9"},
		"no server":    {Update{Epoch: 6, Base: 5, Segments: []Segment{{ID: 2, Range: Range{"amman", "irbid"}, Cell: 7}}}, "[amman, irbid): segment 2 is on cell 7, which has no servers"},
		"cell removed": {Update{Epoch: 6, Base: 5, Cells: []Cell{{1, nil}}}, "[amman, irbid): segment 2 is on cell 1, which has no servers"},
		"id reused":    {Update{Epoch: 6, Base: 5, Removed: []uint32{2}, Segments: []Segment{{ID: 3, Range: Range{"amman", ""}}}}, "[amman, end): segment 3 already has range [irbid, end)"},
		"twice":        {Update{Epoch: 6, Base: 5, Segments: []Segment{{ID: 8, Range: Range{"x", "y"}}, {ID: 8, Range: Range{"x", "y"}}}}, "[x, y): segment 8 is listed twice"},
		"empty":        {Update{Epoch: 6, Base: 5, Segments: []Segment{{ID: 8, Range: Range{"y", "x"}}}}, "[y, x): segment 8 has an empty range"},
		"unknown":      {Update{Epoch: 6, Base: 5, Removed: []uint32{77}}, "update: segment 77 is removed but not active"},
		"nothing":      {Update{Epoch: 6, Cells: cells}, "[start, end): not covered by any segment"},
	} {
		t.Run(name, func(t *testing.T) {
			m := initialMap(t)
			_, err := m.Apply(&c.u)
			require.EqualError(t, err, c.want)
			require.EqualValues(t, 5, m.Epoch())
		})
	}
}

// A client with a map several epochs old requests segments that were split, merged and moved since.
func TestRoute(t *testing.T) {
	m := initialMap(t)
	m, err := m.Apply(&Update{Epoch: 6, Base: 5, Removed: []uint32{1, 2}, Segments: []Segment{
		{ID: 4, Range: Range{"", "aqaba"}, Cell: 1}, {ID: 5, Range: Range{"aqaba", "irbid"}}}})
	require.NoError(t, err)
	got, err := m.Route([]PartRequest{{Segment: 1, Weight: 0.5}, {Segment: 2, Weight: 0.3}, {Segment: 3, Weight: 0.2}}, 10)
	require.NoError(t, err)
	require.Equal(t, []Target{
		{4, 1, []Share{{0, Range{"", "amman"}, 0.5}, {1, Range{"amman", "aqaba"}, 0.15}}},
		{5, 0, []Share{{1, Range{"aqaba", "irbid"}, 0.15}}},
		{3, 0, []Share{{2, Range{"irbid", ""}, 0.2}}},
	}, got)
	require.Equal(t, []Range{{"", "aqaba"}}, got[0].Ranges())
	require.InDelta(t, 0.65, got[0].Weight(), 1e-9)
	for want, asks := range map[string][]PartRequest{
		"segment 9 is not known at epoch 6":            {{Segment: 9}},
		"segment 3 holds [irbid, end), not [a, b)":     {{Segment: 3, Range: Range{"a", "b"}}},
		"segments 2 and 5 are asked for the same keys": {{Segment: 2}, {Segment: 5}},
		"would bring more than 2 parts":                {{Segment: 1}, {Segment: 2}, {Segment: 3}},
	} {
		_, err := m.Route(asks, 2)
		require.EqualError(t, err, want)
	}
	_, err = (*Map)(nil).Route([]PartRequest{{Segment: 1}}, 2)
	require.ErrorContains(t, err, "no map")
}

// Ten thousand parts that notice an outdated map at once cause one request; failures back off.
func TestRefresh(t *testing.T) {
	r := Refresh{MinInterval: 50e3, MaxBackoff: 2e6}
	requests := 0
	for range 10000 {
		if r.ObserveEpoch(1000, 7, 5) == 0 {
			requests++
		}
	}
	require.Equal(t, 1, requests)
	require.EqualValues(t, 9999, r.Suppressed)
	r.FetchDone(5)
	require.EqualValues(t, 51000, r.ObserveEpoch(2000, 7, 5), "not before the minimum interval has passed")
	for now := int64(0); now < 60e6; now += 1000 {
		if r.ObserveEpoch(now, 7, 5) == 0 {
			requests++
			r.FetchDone(5)
		}
	}
	require.Less(t, requests, 45)
	require.EqualValues(t, -1, r.ObserveEpoch(61e6, 7, 7))
	require.True(t, AfterRejection(MaxRejections+1, 9, 5, 1e6).Abandon)
	require.EqualValues(t, 15000, AfterRejection(1, 5, 5, 1e6).Delay)
	require.EqualValues(t, 400000, AfterRejection(1, 9, 5, 1e6).Delay)
}

// For any sequence of splits, merges and moves and a client map of any age, each
// requested key is in exactly one target's ranges and the weights add up to 1.
func TestReshapesKeepEveryKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		m, err := (*Map)(nil).Apply(&Update{Epoch: 1, Cells: cells, Segments: []Segment{{ID: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		next := uint32(2)
		everActive := []Segment{{ID: 1}}
		for range rapid.IntRange(0, 12).Draw(t, "reshapes") {
			segments := m.Segments()
			i := rapid.IntRange(0, len(segments)-1).Draw(t, "segment")
			j := min(i+rapid.IntRange(1, 3).Draw(t, "sources"), len(segments))
			sources, span := []uint32{}, Range{segments[i].From, segments[j-1].To}
			for _, s := range segments[i:j] {
				sources = append(sources, s.ID)
			}
			var targets []Segment
			start := span.From
			for _, k := range keys {
				if k > start && span.Contains(k) && rapid.Bool().Draw(t, "split at "+k) {
					targets = append(targets, Segment{ID: next, Range: Range{start, k}, Cell: int(next % 2)})
					start, next = k, next+1
				}
			}
			targets = append(targets, Segment{ID: next, Range: Range{start, span.To}, Cell: int(next % 2)})
			next++
			r, err := m.Plan(1, sources, targets, func(uint32) bool { return false })
			if err != nil {
				t.Fatal(err)
			}
			for r.Start(); !r.Finished(); {
				r.Completed(r.NextAction())
			}
			if m, err = m.Apply(r.Update(m.Epoch())); err != nil {
				t.Fatal(err)
			}
			everActive = append(everActive, m.Segments()...)
		}
		s := rapid.SampledFrom(everActive).Draw(t, "named")
		got, err := m.Route([]PartRequest{{Segment: s.ID, Weight: 1}}, 100)
		if err != nil {
			t.Fatal(err)
		}
		sum := 0.0
		for _, k := range append(keys, "", "zz") {
			n := 0
			for _, target := range got {
				for _, r := range target.Ranges() {
					if r.Contains(k) {
						n++
						if containing, _ := m.Lookup(k); containing.ID != target.Segment || containing.Cell != target.Cell {
							t.Fatalf("%q is routed to segment %d, but segment %d contains it", k, target.Segment, containing.ID)
						}
					}
				}
			}
			if want := map[bool]int{true: 1}[s.Contains(k)]; n != want {
				t.Fatalf("%q is in %d targets, want %d", k, n, want)
			}
		}
		for _, target := range got {
			sum += target.Weight()
		}
		if sum < 0.999 || sum > 1.001 {
			t.Fatalf("weights add up to %v", sum)
		}
	})
}

// Plan rejects targets that do not cover the sources' keys or are on an unknown cell, and
// sources that are not adjacent or are busy. A reshape performs its actions in order; it
// can be aborted at each step before the cutover, and not once it is done.
func TestPlan(t *testing.T) {
	m := initialMap(t)
	free := func(uint32) bool { return false }
	_, err := m.Plan(1, []uint32{2}, []Segment{{ID: 9, Range: Range{"amman", "b"}}}, free)
	require.ErrorContains(t, err, "do not cover the same keys")
	_, err = m.Plan(1, []uint32{1, 3}, []Segment{{ID: 9}}, free)
	require.ErrorContains(t, err, "is not adjacent to")
	_, err = m.Plan(1, []uint32{2}, []Segment{{ID: 2, Range: Range{"amman", "irbid"}, Cell: 9}}, free)
	require.ErrorContains(t, err, "cell 9 has no servers")
	_, err = m.Plan(1, []uint32{2}, []Segment{{ID: 2, Range: Range{"amman", "irbid"}}}, func(id uint32) bool { return id == 2 })
	require.ErrorContains(t, err, "segment 2 is already being reshaped")
	r, err := m.Plan(1, []uint32{2}, []Segment{{ID: 2, Range: Range{"amman", "irbid"}, Cell: 0}}, free)
	require.NoError(t, err)
	var actions []string
	for r.Start(); !r.Finished(); {
		actions = append(actions, r.NextAction().String())
		r.Completed(r.NextAction())
	}
	require.Equal(t, []string{"copy", "fence", "copy-last", "activate", "publish", "drop"}, actions)
	require.Error(t, r.Abort())
	for steps := range 3 { // aborted at each step before the cutover
		r, _ := m.Plan(2, []uint32{2}, []Segment{{ID: 2, Range: Range{"amman", "irbid"}, Cell: 0}}, free)
		r.Start()
		for range steps {
			r.Completed(r.NextAction())
		}
		require.NoError(t, r.Abort())
		require.Equal(t, Unfence, r.NextAction())
		r.Completed(Unfence)
		require.Equal(t, Aborted, r.Step)
	}
}

// mapWithSegments returns a complete map of n segments over 5,000 servers.
func mapWithSegments(n int) *Update {
	u := &Update{Epoch: 1}
	for c := range 2500 {
		u.Cells = append(u.Cells, Cell{c, []string{fmt.Sprintf("s-%d-0", c), fmt.Sprintf("s-%d-1", c)}})
	}
	for i := range n {
		s := Segment{ID: uint32(i + 1), Range: Range{fmt.Sprintf("gov%02d/%08d", i*12/n, i), fmt.Sprintf("gov%02d/%08d", (i+1)*12/n, i+1)}, Cell: i % 2500}
		if i == 0 {
			s.From = ""
		}
		if i == n-1 {
			s.To = ""
		}
		u.Segments = append(u.Segments, s)
	}
	return u
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			u := mapWithSegments(n)
			m, err := (*Map)(nil).Apply(u)
			require.NoError(b, err)
			r := rand.New(rand.NewPCG(1, 2))
			keys := make([]string, 4096)
			for i := range keys {
				keys[i] = u.Segments[r.IntN(n)].From + "x"
			}
			b.ResetTimer()
			for i := range b.N {
				if _, ok := m.Lookup(keys[i%len(keys)]); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}

func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, err := (*Map)(nil).Apply(mapWithSegments(n))
			require.NoError(b, err)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				s := slices.Clone(m.Segments()[i%n : i%n+1])
				s[0].Cell = (s[0].Cell + 1) % 2500
				if m, err = m.Apply(&Update{Epoch: m.Epoch() + 1, Base: m.Epoch(), Segments: s}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkCompleteMap(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			u := mapWithSegments(n)
			b.ReportAllocs()
			for range b.N {
				if _, err := (*Map)(nil).Apply(u); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(n), "segments")
		})
	}
}
