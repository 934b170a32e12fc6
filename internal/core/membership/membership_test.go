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

type testMembers struct {
	t       *testing.T
	members *Members
	now     Micros
	index   int64
}

func newTestMembers(t *testing.T, change func(*Settings)) *testMembers {
	s := settings()
	if change != nil {
		change(&s)
	}
	m, err := New(s)
	require.NoError(t, err)
	return &testMembers{t: t, members: m, now: sec}
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

func (s *testMembers) answer(source string, claims ...Claim) {
	s.index++
	require.NoError(s.t, s.members.Observe(s.now, Observation{Source: source, Index: s.index, Complete: true, Claims: claims}))
	s.members.Step(s.now)
}

func (s *testMembers) fail(source string) {
	require.NoError(s.t, s.members.Observe(s.now, Observation{Source: source, Failed: true}))
	s.members.Step(s.now)
}

func (s *testMembers) advance(d Micros) { s.now += d; s.members.Step(s.now) }

func (s *testMembers) requireState(name string, want State, why string) {
	s.t.Helper()
	b, ok := s.members.Explain(s.now, name)
	if !ok {
		require.Equal(s.t, Gone, want, "%s is unknown", name)
		return
	}
	require.Equal(s.t, want, b.State, b.Reason)
	require.Contains(s.t, b.Reason, why)
}

// Checks each line of the merge rule in the package documentation.
func TestRule(t *testing.T) {
	s := newTestMembers(t, nil)
	s.answer("list", claim("a", 1), claim("b", 1))
	s.answer("dns", claim("a", 1), claim("b", 1), claim("c", 2))
	s.requireState("a", Ready, "list names it")
	s.requireState("c", Withheld, "not confirmed yet")
	s.advance(3 * sec)
	s.answer("dns", claim("a", 1), claim("b", 1), claim("c", 2))
	s.requireState("c", Ready, "dns names it")
	// DNS does not keep what the list has dropped; the list keeps what DNS drops.
	s.answer("list", claim("a", 1))
	s.requireState("b", Gone, "list dropped it")
	s.answer("dns", claim("c", 2))
	s.requireState("a", Ready, "list names it")

	// Any source can start a drain; only that source revokes it, and not by an old answer.
	s.answer("consul", claim("a", 1, drain))
	s.requireState("a", Draining, "drain requested")
	drainSince := s.members.servers["a"].member.DrainSince
	s.advance(sec)
	s.answer("list", claim("a", 1, drain))
	require.Equal(t, drainSince, s.members.servers["a"].member.DrainSince)
	require.NoError(t, s.members.Observe(s.now, Observation{Source: "consul", Index: 1, Complete: true, Claims: []Claim{claim("a", 1)}}))
	s.members.Step(s.now)
	s.requireState("a", Draining, "drain requested")
	s.answer("list", claim("a", 1))
	s.requireState("a", Draining, "drain requested")
	s.answer("consul", claim("a", 1))
	s.requireState("a", Ready, "list names it")

	// Critical checks withhold, unless a higher-ranked responsive source reports passing.
	s.answer("dns", claim("a", 1, critical))
	s.requireState("a", Withheld, "dns reports critical checks")
	s.answer("consul", claim("a", 1, passing))
	s.requireState("a", Ready, "")

	// A server with two cells is withheld until the sources agree or one is unresponsive.
	s.answer("consul", claim("a", 7))
	s.requireState("a", Withheld, "list reports cell 1, consul reports cell 7")
	s.advance(9 * sec)
	s.answer("list", claim("a", 1))
	s.advance(2 * sec)
	s.requireState("a", Ready, "")
	require.Equal(t, 1, s.members.servers["a"].member.Cell)
}

// An unresponsive source's last claims stay valid and are forgotten later; a failed
// answer drops nothing; all addresses come from one source.
func TestUnresponsiveSource(t *testing.T) {
	s := newTestMembers(t, func(s *Settings) { s.FloorShare = 0 })
	s.answer("consul", claim("x", 3))
	s.advance(3 * sec)
	s.answer("consul", claim("x", 3))
	s.requireState("x", Ready, "consul names it")
	for range 20 {
		s.advance(2 * sec)
		s.fail("consul")
	}
	s.requireState("x", Ready, "named it earlier and is unresponsive now")
	s.advance(40 * sec)
	s.requireState("x", Gone, "")
	s.answer("consul", claim("x", 3, func(c *Claim) { c.Addresses = []string{"old:1"} }))
	s.answer("list", claim("x", 3, func(c *Claim) { c.Addresses = []string{"new:1", "new:2"} }))
	require.Equal(t, []string{"new:1", "new:2"}, s.members.servers["x"].member.Addresses)
	s.advance(9 * sec)
	s.answer("consul", claim("x", 3, func(c *Claim) { c.Addresses = []string{"other:1"} }))
	s.advance(2 * sec) // the list is unresponsive now
	s.members.Step(s.now)
	require.Equal(t, []string{"new:1", "new:2"}, s.members.servers["x"].member.Addresses, "the address of an unresponsive source is kept")
}

// Consul loses its leader in the middle of a release. Servers that it dropped or
// drained before return through the list, which is responsive, and through a start
// after the drain.
func TestUnresponsiveSourceDuringRelease(t *testing.T) {
	s := newTestMembers(t, func(s *Settings) {
		s.FloorShare, s.FlapHalfLife = 0, 0
		s.Sources = []Source{{Name: "consul", Rank: 0, SilentAfter: 5 * sec, Trusted: true}, {Name: "list", Rank: 1, SilentAfter: 5 * sec, Trusted: true}}
	})
	claims := []Claim{claim("a", 1), claim("b", 1), claim("c", 1)}
	s.answer("consul", claims...)
	s.answer("list", claims...)
	s.answer("consul", claim("a", 1, drain), claim("c", 1, drain)) // a is draining, b has ended
	s.requireState("b", Gone, "consul dropped it")
	s.advance(4 * sec)
	s.fail("consul")
	s.advance(2 * sec)
	restarted := func(c *Claim) { c.Since = s.now }
	s.answer("list", claim("a", 1, restarted), claim("b", 1), claim("c", 1))
	s.requireState("a", Ready, "list names it")
	s.requireState("b", Ready, "list names it")
	s.requireState("c", Draining, "drain requested") // no source reports a later start
	s.answer("consul", claim("a", 1, drain), claim("c", 1))
	s.requireState("a", Draining, "drain requested")
	s.requireState("b", Gone, "consul dropped it")
	s.requireState("c", Ready, "")
}

// An empty answer for two seconds removes nothing; once it was repeated for long enough
// it does. Drains are not delayed by the floor.
func TestFloor(t *testing.T) {
	s := newTestMembers(t, nil)
	var claims []Claim
	for i := range 10 {
		claims = append(claims, claim(fmt.Sprint("s", i), i%3))
	}
	s.answer("list", claims...)
	s.answer("list")
	s.requireState("s0", Ready, "too many servers would leave at once")
	require.True(t, s.members.FloorActive)
	s.advance(2 * sec)
	s.answer("list", claims...)
	require.False(t, s.members.FloorActive)
	s.requireState("s0", Ready, "list names it")
	draining := slices.Clone(claims)
	for i := range draining {
		drain(&draining[i])
	}
	s.answer("list", draining...)
	s.requireState("s9", Draining, "")
	s.answer("list", claims...)
	s.answer("list", claims[:2]...)
	for range 3 {
		s.advance(5 * sec)
		s.answer("list", claims[:2]...)
	}
	s.requireState("s5", Ready, "too many servers would leave at once")
	s.advance(5 * sec)
	s.answer("list", claims[:2]...)
	s.requireState("s5", Gone, "")
	s.requireState("s1", Ready, "")
}

// The return of a flapping server is delayed more and more; its removal never is.
func TestFlaps(t *testing.T) {
	s := newTestMembers(t, func(s *Settings) { s.FloorShare = 0 })
	base := []Claim{claim("k", 1)}
	returns := 0
	for range 10 {
		s.answer("list", append(base, claim("f", 1))...)
		if s.members.servers["f"].member.State == Ready {
			returns++
		}
		s.advance(sec)
		s.answer("list", base...)
		s.requireState("f", Gone, "")
		s.advance(sec)
	}
	require.Less(t, returns, 8)
	require.Positive(t, s.members.Damped)
	s.answer("list", append(base, claim("f", 1))...)
	s.requireState("f", Withheld, "comes and goes")
	for s.members.servers["f"].member.State != Ready {
		require.Positive(t, s.members.Due())
		s.now = s.members.Due()
		s.answer("list", append(base, claim("f", 1))...)
		require.Less(t, s.now, 200*sec)
	}
}

// Server identity: aliases, one address under two names, the limit on servers, and an
// index that is reset.
func TestIdentity(t *testing.T) {
	s := newTestMembers(t, func(s *Settings) { s.ByAddress, s.MaxServers = true, 3 })
	s.answer("list", claim("a", 1))
	s.answer("consul", Claim{Name: "node-a", Aliases: []string{"a"}, Cell: 1, HasCell: true, Drain: true})
	s.answer("dns", Claim{Name: "a.example.org", Addresses: []string{"a:1"}})
	s.requireState("a", Draining, "")
	b, _ := s.members.Explain(s.now, "a.example.org")
	require.Equal(t, "a", b.Name)
	require.Len(t, b.Reports, 3)
	s.answer("list", claim("a", 1), claim("b", 1), claim("c", 1), claim("d", 1))
	require.EqualValues(t, 1, s.members.Rejected)
	require.NoError(t, s.members.Observe(s.now, Observation{Source: "list", Index: 1, Reset: true, Complete: true, Claims: []Claim{claim("a", 1), claim("b", 1), claim("c", 1)}}))
	s.members.Step(s.now)
	require.EqualValues(t, 1, s.members.Sources(s.now)[0].Index)
	require.Error(t, s.members.Observe(s.now, Observation{Source: "unlisted"}))
}

// For any sequence of answers: the order of simultaneous answers from different sources
// does not matter; a drain is not revoked while its source reports it, and keeps its
// first time; no server is listed that no source named; no server is used whose cells
// disagree.
func TestProperties(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		set := settings()
		if rapid.Bool().Draw(t, "no floor") {
			set.FloorShare = 0
		}
		forward, _ := New(set)
		reversed, _ := New(set)
		named := make(map[string]bool)
		index := map[string]int64{}
		drains := make(map[string]map[string]bool) // by source
		reported := make(map[string]Member)
		now := sec
		for range rapid.IntRange(1, 25).Draw(t, "rounds") {
			now += Micros(rapid.IntRange(1, 8000).Draw(t, "ms")) * 1000
			var observations []Observation
			for _, source := range []string{"list", "consul", "dns"} {
				if rapid.IntRange(0, 2).Draw(t, "answers") == 0 {
					continue
				}
				o := Observation{Source: source, Complete: rapid.Bool().Draw(t, "complete"), Failed: rapid.IntRange(0, 5).Draw(t, "fails") == 0}
				o.Index = max(index[source]+int64(rapid.IntRange(-1, 2).Draw(t, "index")), 0)
				for _, n := range names {
					switch rapid.IntRange(0, 3).Draw(t, n) {
					case 0, 1:
						o.Claims = append(o.Claims, Claim{Name: n, Addresses: []string{n}, Cell: rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "cell"), HasCell: true,
							Drain: rapid.IntRange(0, 4).Draw(t, "drain") == 0, Health: Health(rapid.IntRange(0, 3).Draw(t, "health"))})
					case 2:
						o.Removed = append(o.Removed, n)
					}
				}
				old := o.Index < index[source]
				if !o.Failed && !old {
					index[source] = o.Index
					if drains[source] == nil || o.Complete {
						drains[source] = make(map[string]bool)
					}
					for _, n := range o.Removed {
						delete(drains[source], n)
					}
					for _, c := range o.Claims {
						named[c.Name] = true
						drains[source][c.Name] = c.Drain
					}
				}
				observations = append(observations, o)
			}
			for _, o := range observations {
				forward.Observe(now, o)
			}
			for _, o := range slices.Backward(observations) {
				reversed.Observe(now, o)
			}
			for _, m := range forward.Step(now) {
				reported[m.Name] = m
			}
			reversed.Step(now)
			if !slices.EqualFunc(forward.All(), reversed.All(), func(a, b Member) bool { return a.equal(&b) && a.Name == b.Name && a.DrainSince == b.DrainSince }) {
				t.Fatalf("the order of sources matters:\n%+v\n%+v", forward.All(), reversed.All())
			}
			for _, m := range forward.All() {
				if !named[m.Name] {
					t.Fatalf("%s was never named", m.Name)
				}
				for _, source := range slices.Sorted(maps.Keys(drains)) {
					if drains[source][m.Name] && m.State == Ready && forward.responsive(now, forward.sources[forward.byName[source]]) {
						t.Fatalf("%s is ready although %s reports a drain", m.Name, source)
					}
				}
				if was, ok := reported[m.Name]; ok && !was.equal(&m) {
					t.Fatalf("%s changed but was not returned by Step: %+v, %+v", m.Name, was, m)
				}
				if m.State == Ready || m.State == Draining {
					cell := -1
					b, _ := forward.Explain(now, m.Name)
					for _, w := range b.Reports {
						if w.Dropped || !w.Responsive || !w.HasCell {
							continue
						}
						if cell >= 0 && cell != w.Cell && forward.servers[m.Name].floorSince == 0 {
							t.Fatalf("%s is used although its cells disagree: %+v", m.Name, b)
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
			var claims []Claim
			for i := range n {
				claims = append(claims, claim(fmt.Sprint("s", i), i%50))
			}
			now := sec
			m.Observe(now, Observation{Source: "list", Index: 1, Complete: true, Claims: claims})
			m.Step(now)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 1000
				c := claims[i%n]
				c.Drain = i/n%2 == 0
				m.Observe(now, Observation{Source: "list", Index: int64(i + 2), Claims: []Claim{c}})
				m.Step(now)
			}
		})
	}
}
