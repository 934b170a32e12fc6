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

func first(t testing.TB) *Map {
	m, err := (*Map)(nil).Apply(&Update{Epoch: 5, Cells: cells, Segments: []Segment{
		{ID: 2, Range: Range{"amman", "irbid"}, Cell: 1}, {ID: 1, Range: Range{"", "amman"}}, {ID: 3, Range: Range{"irbid", ""}}}})
	require.NoError(t, err)
	return m
}

func TestApply(t *testing.T) {
	m := first(t)
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
	require.Equal(t, 3, m.Len(), "the old map is as it was")
	r, inForce, known := n.Range(2)
	require.Equal(t, Range{"amman", "irbid"}, r)
	require.True(t, known && !inForce)

	// Taken back: the same id may come again for the same range.
	back, err := n.Apply(&Update{Epoch: 7, Base: 6, Removed: []uint32{4, 5}, Segments: []Segment{{ID: 2, Range: Range{"amman", "irbid"}}}})
	require.NoError(t, err)
	_, inForce, _ = back.Range(2)
	require.True(t, inForce)
}

func TestRefused(t *testing.T) {
	for name, c := range map[string]struct {
		u    Update
		want string
	}{
		"old":       {Update{Epoch: 5}, "epoch 5 is not newer than 5"},
		"gap":       {Update{Epoch: 9, Base: 7}, "follows on epoch 7, and 5 is held"},
		"hole":      {Update{Epoch: 6, Base: 5, Removed: []uint32{2}}, "[amman, irbid): no segment holds it"},
		"hole end":  {Update{Epoch: 6, Base: 5, Removed: []uint32{3}}, "[irbid, end): no segment holds it"},
		"overlap":   {Update{Epoch: 6, Base: 5, Segments: []Segment{{ID: 9, Range: Range{"b", "c"}}}}, "[b, irbid): segments 2 and 9 both hold it"},
		"no server": {Update{Epoch: 6, Base: 5, Segments: []Segment{{ID: 2, Range: Range{"amman", "irbid"}, Cell: 7}}}, "[amman, irbid): segment 2 is on cell 7, which names no server"},
		"cell goes": {Update{Epoch: 6, Base: 5, Cells: []Cell{{1, nil}}}, "[amman, irbid): segment 2 is on cell 1, which names no server"},
		"id reused": {Update{Epoch: 6, Base: 5, Removed: []uint32{2}, Segments: []Segment{{ID: 3, Range: Range{"amman", ""}}}}, "[amman, end): segment 3 held [irbid, end) before"},
		"twice":     {Update{Epoch: 6, Base: 5, Segments: []Segment{{ID: 8, Range: Range{"x", "y"}}, {ID: 8, Range: Range{"x", "y"}}}}, "[x, y): segment 8 stands twice"},
		"empty":     {Update{Epoch: 6, Base: 5, Segments: []Segment{{ID: 8, Range: Range{"y", "x"}}}}, "[y, x): segment 8 holds nothing"},
		"unknown":   {Update{Epoch: 6, Base: 5, Removed: []uint32{77}}, "update: segment 77 goes, and is not held"},
		"nothing":   {Update{Epoch: 6, Cells: cells}, "[start, end): no segment holds it"},
	} {
		t.Run(name, func(t *testing.T) {
			m := first(t)
			_, err := m.Apply(&c.u)
			require.EqualError(t, err, c.want)
			require.EqualValues(t, 5, m.Epoch())
		})
	}
}

// A client that is epochs behind names what has split, merged and moved since.
func TestRoute(t *testing.T) {
	m := first(t)
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

// Ten thousand parts that find out at once ask one question; failures make it rarer.
func TestRefresh(t *testing.T) {
	r := Refresh{MinInterval: 50e3, MaxBackoff: 2e6}
	asked := 0
	for range 10000 {
		if r.ObserveEpoch(1000, 7, 5) == 0 {
			asked++
		}
	}
	require.Equal(t, 1, asked)
	require.EqualValues(t, 9999, r.Suppressed)
	r.FetchDone(5)
	require.EqualValues(t, 51000, r.ObserveEpoch(2000, 7, 5), "not before its time")
	for now := int64(0); now < 60e6; now += 1000 {
		if r.ObserveEpoch(now, 7, 5) == 0 {
			asked++
			r.FetchDone(5)
		}
	}
	require.Less(t, asked, 45)
	require.EqualValues(t, -1, r.ObserveEpoch(61e6, 7, 7))
	require.True(t, AfterRejection(MaxRejections+1, 9, 5, 1e6).Abandon)
	require.EqualValues(t, 15000, AfterRejection(1, 5, 5, 1e6).Delay)
	require.EqualValues(t, 400000, AfterRejection(1, 9, 5, 1e6).Delay)
}

// Whatever is split, merged and moved, by however old a client: each key that is
// asked for is in one target's ranges, once, and the weights stay.
func TestReshapesKeepEveryKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		m, err := (*Map)(nil).Apply(&Update{Epoch: 1, Cells: cells, Segments: []Segment{{ID: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		next := uint32(2)
		old := []Segment{{ID: 1}}
		for range rapid.IntRange(0, 12).Draw(t, "reshapes") {
			segs := m.Segments()
			i := rapid.IntRange(0, len(segs)-1).Draw(t, "segment")
			j := min(i+rapid.IntRange(1, 3).Draw(t, "sources"), len(segs))
			sources, span := []uint32{}, Range{segs[i].From, segs[j-1].To}
			for _, s := range segs[i:j] {
				sources = append(sources, s.ID)
			}
			var targets []Segment
			at := span.From
			for _, k := range keys {
				if k > at && span.Contains(k) && rapid.Bool().Draw(t, "cut at "+k) {
					targets = append(targets, Segment{ID: next, Range: Range{at, k}, Cell: int(next % 2)})
					at, next = k, next+1
				}
			}
			targets = append(targets, Segment{ID: next, Range: Range{at, span.To}, Cell: int(next % 2)})
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
			old = append(old, m.Segments()...)
		}
		s := rapid.SampledFrom(old).Draw(t, "named")
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
						if in, _ := m.Lookup(k); in.ID != target.Segment || in.Cell != target.Cell {
							t.Fatalf("%q goes to segment %d, and %d holds it", k, target.Segment, in.ID)
						}
					}
				}
			}
			if want := map[bool]int{true: 1}[s.Contains(k)]; n != want {
				t.Fatalf("%q is asked for %d times, not %d", k, n, want)
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

func TestPlan(t *testing.T) {
	m := first(t)
	free := func(uint32) bool { return false }
	_, err := m.Plan(1, []uint32{2}, []Segment{{ID: 9, Range: Range{"amman", "b"}}}, free)
	require.ErrorContains(t, err, "do not hold the same keys")
	_, err = m.Plan(1, []uint32{1, 3}, []Segment{{ID: 9}}, free)
	require.ErrorContains(t, err, "does not lie beside")
	_, err = m.Plan(1, []uint32{2}, []Segment{{ID: 2, Range: Range{"amman", "irbid"}, Cell: 9}}, free)
	require.ErrorContains(t, err, "cell 9 names no server")
	_, err = m.Plan(1, []uint32{2}, []Segment{{ID: 2, Range: Range{"amman", "irbid"}}}, func(id uint32) bool { return id == 2 })
	require.ErrorContains(t, err, "segment 2 is being reshaped")
	r, err := m.Plan(1, []uint32{2}, []Segment{{ID: 2, Range: Range{"amman", "irbid"}, Cell: 0}}, free)
	require.NoError(t, err)
	var did []string
	for r.Start(); !r.Finished(); {
		did = append(did, r.NextAction().String())
		r.Completed(r.NextAction())
	}
	require.Equal(t, []string{"copy", "fence", "copy-last", "activate", "publish", "drop"}, did)
	require.Error(t, r.Abort())
	for stop := range 3 { // taken back from each step before the cut
		r, _ := m.Plan(2, []uint32{2}, []Segment{{ID: 2, Range: Range{"amman", "irbid"}, Cell: 0}}, free)
		r.Start()
		for range stop {
			r.Completed(r.NextAction())
		}
		require.NoError(t, r.Abort())
		require.Equal(t, Unfence, r.NextAction())
		r.Completed(Unfence)
		require.Equal(t, Aborted, r.Step)
	}
}

// sized makes a map of n segments over 5,000 servers.
func sized(n int) *Update {
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
			u := sized(n)
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
			m, err := (*Map)(nil).Apply(sized(n))
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

func BenchmarkWhole(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			u := sized(n)
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
