package membership

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const sec = Micros(1_000_000)

func settings() Settings {
	return Settings{Sources: []Source{{Name: "list", Rank: 0, SilentAfter: 10 * sec, Trusted: true}, {Name: "consul", Rank: 1, SilentAfter: 10 * sec, ForgetAfter: 60 * sec},
		{Name: "dns", Rank: 2, SilentAfter: 10 * sec, ForgetAfter: 60 * sec}}, FloorShare: 0.5, FloorMinServers: 3, RemovalDelay: 20 * sec, FlapHalfLife: 10 * sec, FlapSuppress: 2.5, FlapReuse: 1, ConfirmAfter: 2 * sec}
}

type stage struct {
	t   *testing.T
	m   *Members
	now Micros
	idx int64
}

func begin(t *testing.T, change func(*Settings)) *stage {
	s := settings()
	if change != nil {
		change(&s)
	}
	m, err := New(s)
	require.NoError(t, err)
	return &stage{t: t, m: m, now: sec}
}

func claim(name string, cell int, more ...func(*Claim)) Claim {
	c := Claim{Name: name, Cell: cell, HasCell: true, Addresses: []string{name + ":1"}}
	for _, f := range more {
		f(&c)
	}
	return c
}

func drain(c *Claim)    { c.Drain = true }
func critical(c *Claim) { c.Health = Critical }
func passing(c *Claim)  { c.Health = Passing }

func (s *stage) says(source string, claims ...Claim) {
	s.idx++
	require.NoError(s.t, s.m.Observe(s.now, Observation{Source: source, Index: s.idx, Complete: true, Claims: claims}))
	s.m.Step(s.now)
}

func (s *stage) fails(source string) {
	require.NoError(s.t, s.m.Observe(s.now, Observation{Source: source, Failed: true}))
	s.m.Step(s.now)
}

func (s *stage) wait(d Micros) { s.now += d; s.m.Step(s.now) }

func (s *stage) is(name string, want State, why string) {
	s.t.Helper()
	b, ok := s.m.Explain(s.now, name)
	if !ok {
		require.Equal(s.t, Gone, want, "%s is not known", name)
		return
	}
	require.Equal(s.t, want, b.State, b.Reason)
	require.Contains(s.t, b.Reason, why)
}

// The table of the rule, line by line.
func TestRule(t *testing.T) {
	s := begin(t, nil)
	s.says("list", claim("a", 1), claim("b", 1))
	s.says("dns", claim("a", 1), claim("b", 1), claim("c", 2))
	s.is("a", Ready, "list names it")
	s.is("c", Withheld, "without a first sign")
	s.wait(3 * sec)
	s.says("dns", claim("a", 1), claim("b", 1), claim("c", 2))
	s.is("c", Ready, "dns names it")
	// What the list has dropped, DNS does not keep; what DNS drops, the list keeps.
	s.says("list", claim("a", 1))
	s.is("b", Gone, "list has dropped it")
	s.says("dns", claim("c", 2))
	s.is("a", Ready, "list names it")

	// A drain by any source; lifted by that source alone, and by no older news.
	s.says("consul", claim("a", 1, drain))
	s.is("a", Draining, "told to drain")
	told := s.m.servers["a"].member.DrainSince
	s.wait(sec)
	s.says("list", claim("a", 1, drain))
	require.Equal(t, told, s.m.servers["a"].member.DrainSince)
	require.NoError(t, s.m.Observe(s.now, Observation{Source: "consul", Index: 1, Complete: true, Claims: []Claim{claim("a", 1)}}))
	s.m.Step(s.now)
	s.is("a", Draining, "told to drain")
	s.says("list", claim("a", 1))
	s.is("a", Draining, "told to drain")
	s.says("consul", claim("a", 1))
	s.is("a", Ready, "list names it")

	// Critical withholds, unless a higher one that is heard says passing.
	s.says("dns", claim("a", 1, critical))
	s.is("a", Withheld, "dns says that its checks are critical")
	s.says("consul", claim("a", 1, passing))
	s.is("a", Ready, "")

	// Two cells for one server: withheld until they agree or one is silent.
	s.says("consul", claim("a", 7))
	s.is("a", Withheld, "list says cell 1, consul cell 7")
	s.wait(9 * sec)
	s.says("list", claim("a", 1))
	s.wait(2 * sec)
	s.is("a", Ready, "")
	require.Equal(t, 1, s.m.servers["a"].member.Cell)
}

// Silence: the last word stands, and after its time is forgotten; an answer that
// fails says nothing, not even that it is empty; the address is one source's.
func TestSilence(t *testing.T) {
	s := begin(t, func(s *Settings) { s.FloorShare = 0 })
	s.says("consul", claim("x", 3))
	s.wait(3 * sec)
	s.says("consul", claim("x", 3))
	s.is("x", Ready, "consul names it")
	for range 20 {
		s.wait(2 * sec)
		s.fails("consul")
	}
	s.is("x", Ready, "is silent since")
	s.wait(40 * sec)
	s.is("x", Gone, "")
	s.says("consul", claim("x", 3, func(c *Claim) { c.Addresses = []string{"old:1"} }))
	s.says("list", claim("x", 3, func(c *Claim) { c.Addresses = []string{"new:1", "new:2"} }))
	require.Equal(t, []string{"new:1", "new:2"}, s.m.servers["x"].member.Addresses)
	s.wait(9 * sec)
	s.says("consul", claim("x", 3, func(c *Claim) { c.Addresses = []string{"other:1"} }))
	s.wait(2 * sec) // the list is silent now
	s.m.Step(s.now)
	require.Equal(t, []string{"new:1", "new:2"}, s.m.servers["x"].member.Addresses, "a silent source's address stands until one that is heard is asked")
}

// Consul loses its leader in the middle of a release: what it dropped and drained before
// comes back by the list, which is heard, and by a start after the drain.
func TestSilentInARelease(t *testing.T) {
	s := begin(t, func(s *Settings) {
		s.FloorShare, s.FlapHalfLife = 0, 0
		s.Sources = []Source{{Name: "consul", Rank: 0, SilentAfter: 5 * sec, Trusted: true}, {Name: "list", Rank: 1, SilentAfter: 5 * sec, Trusted: true}}
	})
	all := []Claim{claim("a", 1), claim("b", 1), claim("c", 1)}
	s.says("consul", all...)
	s.says("list", all...)
	s.says("consul", claim("a", 1, drain), claim("c", 1, drain)) // a drains, b has ended
	s.is("b", Gone, "consul has dropped it")
	s.wait(4 * sec)
	s.fails("consul")
	s.wait(2 * sec)
	restarted := func(c *Claim) { c.Since = s.now }
	s.says("list", claim("a", 1, restarted), claim("b", 1), claim("c", 1))
	s.is("a", Ready, "list names it")
	s.is("b", Ready, "list names it")
	s.is("c", Draining, "told to drain") // nobody says that it started anew
	s.says("consul", claim("a", 1, drain), claim("c", 1))
	s.is("a", Draining, "told to drain")
	s.is("b", Gone, "consul has dropped it")
	s.is("c", Ready, "")
}

// An empty answer for two seconds takes nothing; said for long enough it is believed;
// drains go through the floor at once.
func TestFloor(t *testing.T) {
	s := begin(t, nil)
	var all []Claim
	for i := range 10 {
		all = append(all, claim(fmt.Sprint("s", i), i%3))
	}
	s.says("list", all...)
	s.says("list")
	s.is("s0", Ready, "too many go at once")
	require.True(t, s.m.FloorActive)
	s.wait(2 * sec)
	s.says("list", all...)
	require.False(t, s.m.FloorActive)
	s.is("s0", Ready, "list names it")
	drained := slices.Clone(all)
	for i := range drained {
		drain(&drained[i])
	}
	s.says("list", drained...)
	s.is("s9", Draining, "")
	s.says("list", all...)
	s.says("list", all[:2]...)
	for range 3 {
		s.wait(5 * sec)
		s.says("list", all[:2]...)
	}
	s.is("s5", Ready, "too many go at once")
	s.wait(5 * sec)
	s.says("list", all[:2]...)
	s.is("s5", Gone, "")
	s.is("s1", Ready, "")
}

// A server that comes and goes waits longer and longer to come back, and never to go.
func TestFlaps(t *testing.T) {
	s := begin(t, func(s *Settings) { s.FloorShare = 0 })
	base := []Claim{claim("k", 1)}
	back := 0
	for range 10 {
		s.says("list", append(base, claim("f", 1))...)
		if s.m.servers["f"].member.State == Ready {
			back++
		}
		s.wait(sec)
		s.says("list", base...)
		s.is("f", Gone, "")
		s.wait(sec)
	}
	require.Less(t, back, 8)
	require.Positive(t, s.m.Damped)
	s.says("list", append(base, claim("f", 1))...)
	s.is("f", Withheld, "comes and goes")
	for s.m.servers["f"].member.State != Ready {
		require.Positive(t, s.m.Due())
		s.now = s.m.Due()
		s.says("list", append(base, claim("f", 1))...)
		require.Less(t, s.now, 200*sec)
	}
}

// Names: an alias, one address where that is set, the bound on servers, an index
// that begins anew.
func TestIdentity(t *testing.T) {
	s := begin(t, func(s *Settings) { s.ByAddress, s.MaxServers = true, 3 })
	s.says("list", claim("a", 1))
	s.says("consul", Claim{Name: "node-a", Aliases: []string{"a"}, Cell: 1, HasCell: true, Drain: true})
	s.says("dns", Claim{Name: "a.example.org", Addresses: []string{"a:1"}})
	s.is("a", Draining, "")
	b, _ := s.m.Explain(s.now, "a.example.org")
	require.Equal(t, "a", b.Name)
	require.Len(t, b.Reports, 3)
	s.says("list", claim("a", 1), claim("b", 1), claim("c", 1), claim("d", 1))
	require.EqualValues(t, 1, s.m.Rejected)
	require.NoError(t, s.m.Observe(s.now, Observation{Source: "list", Index: 1, Reset: true, Complete: true, Claims: []Claim{claim("a", 1), claim("b", 1), claim("c", 1)}}))
	s.m.Step(s.now)
	require.EqualValues(t, 1, s.m.Sources(s.now)[0].Index)
	require.Error(t, s.m.Observe(s.now, Observation{Source: "rumour"}))
}

// Whatever comes: the order of answers of different sources at one time does not
// matter; a drain told by a source that still says it is never undone, and its time
// is the first; nobody is there whom no source named; no server is to be used whose
// cells disagree.
func TestProperties(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		set := settings()
		if rapid.Bool().Draw(t, "no floor") {
			set.FloorShare = 0
		}
		one, _ := New(set)
		two, _ := New(set)
		named := make(map[string]bool)
		index := map[string]int64{}
		drains := make(map[string]map[string]bool) // by source
		seen := make(map[string]Member)
		now := sec
		for range rapid.IntRange(1, 25).Draw(t, "rounds") {
			now += Micros(rapid.IntRange(1, 8000).Draw(t, "ms")) * 1000
			var round []Observation
			for _, src := range []string{"list", "consul", "dns"} {
				if rapid.IntRange(0, 2).Draw(t, "speaks") == 0 {
					continue
				}
				o := Observation{Source: src, Complete: rapid.Bool().Draw(t, "whole"), Failed: rapid.IntRange(0, 5).Draw(t, "fails") == 0}
				o.Index = max(index[src]+int64(rapid.IntRange(-1, 2).Draw(t, "index")), 0)
				for _, n := range names {
					switch rapid.IntRange(0, 3).Draw(t, n) {
					case 0, 1:
						o.Claims = append(o.Claims, Claim{Name: n, Addresses: []string{n}, Cell: rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "cell"), HasCell: true,
							Drain: rapid.IntRange(0, 4).Draw(t, "drain") == 0, Health: Health(rapid.IntRange(0, 3).Draw(t, "health"))})
					case 2:
						o.Removed = append(o.Removed, n)
					}
				}
				old := o.Index < index[src]
				if !o.Failed && !old {
					index[src] = o.Index
					if drains[src] == nil || o.Complete {
						drains[src] = make(map[string]bool)
					}
					for _, n := range o.Removed {
						delete(drains[src], n)
					}
					for _, c := range o.Claims {
						named[c.Name] = true
						drains[src][c.Name] = c.Drain
					}
				}
				round = append(round, o)
			}
			for _, o := range round {
				one.Observe(now, o)
			}
			for _, o := range slices.Backward(round) {
				two.Observe(now, o)
			}
			for _, m := range one.Step(now) {
				seen[m.Name] = m
			}
			two.Step(now)
			if !slices.EqualFunc(one.All(), two.All(), func(a, b Member) bool { return a.equal(&b) && a.Name == b.Name && a.DrainSince == b.DrainSince }) {
				t.Fatalf("the order of sources matters:\n%+v\n%+v", one.All(), two.All())
			}
			for _, m := range one.All() {
				if !named[m.Name] {
					t.Fatalf("%s was never named", m.Name)
				}
				for _, src := range slices.Sorted(maps.Keys(drains)) {
					if drains[src][m.Name] && m.State == Ready && one.responsive(now, one.sources[one.byName[src]]) {
						t.Fatalf("%s is ready, and %s says that it drains", m.Name, src)
					}
				}
				if was, ok := seen[m.Name]; ok && !was.equal(&m) {
					t.Fatalf("%s changed and was not told: %+v, %+v", m.Name, was, m)
				}
				if m.State == Ready || m.State == Draining {
					cell := -1
					b, _ := one.Explain(now, m.Name)
					for _, w := range b.Reports {
						if w.Dropped || !w.Responsive || !w.HasCell {
							continue
						}
						if cell >= 0 && cell != w.Cell && one.servers[m.Name].floorSince == 0 {
							t.Fatalf("%s is to be used, and its cells disagree: %+v", m.Name, b)
						}
						cell = w.Cell
					}
				}
			}
		}
	})
}

func BenchmarkChurn(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, _ := New(settings())
			var all []Claim
			for i := range n {
				all = append(all, claim(fmt.Sprint("s", i), i%50))
			}
			now := sec
			m.Observe(now, Observation{Source: "list", Index: 1, Complete: true, Claims: all})
			m.Step(now)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 1000
				c := all[i%n]
				c.Drain = i/n%2 == 0
				m.Observe(now, Observation{Source: "list", Index: int64(i + 2), Claims: []Claim{c}})
				m.Step(now)
			}
		})
	}
}
