package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const sec = int64(1_000_000)

// mixers is tills before banks, on a clock of the test's; claims take a while and may be lost.
type mixersOf struct {
	t      *testing.T
	rng    *rand.Rand
	now    int64
	stated Allowance
	tills  []*Holder
	side   []int // of each mixer: which bank it reaches; below 0: none
	banks  []*Lessor
	loss   float64
	mail   []func() bool // does it once it is due
	spent  []int64       // when requests were admitted
	asked  int
}

func newMixers(t *testing.T, n int, s Allowance, seed uint64) *mixersOf {
	m := &mixersOf{t: t, rng: rand.New(rand.NewPCG(seed, 37)), now: 100 * sec, stated: s, side: make([]int, n)}
	m.banks = []*Lessor{m.bank(), nil}
	for range n {
		m.tills = append(m.tills, m.till())
	}
	return m
}

func (m *mixersOf) bank() *Lessor {
	b := NewLessor(m.now, DefaultLeaseConfig, len(m.side)) // it was there before
	b.SetAllowances([]Allowance{m.stated})
	return b
}

func (m *mixersOf) till() *Holder {
	t := NewHolder(DefaultLeaseConfig)
	t.SetAllowances(m.now, []Allowance{m.stated})
	t.SetProxies(len(m.side))
	return t
}

func (m *mixersOf) reached(side int) (n int) {
	for _, s := range m.side {
		if s == side {
			n++
		}
	}
	return n
}

// play has requests come at a rate to mixers that pick tells.
func (m *mixersOf) play(d int64, rate float64, pick func() int) {
	const step = sec / 100
	for end := m.now + d; m.now < end; m.now += step {
		for n := rate / 100; n > m.rng.Float64(); n-- {
			m.asked++
			if ok, after := m.tills[pick()].Admit(m.now, m.stated.Name); ok {
				m.spent = append(m.spent, m.now)
			} else if after <= 0 {
				m.t.Fatal("a refusal that does not tell when to come back")
			}
		}
		for i, t := range m.tills {
			if !t.Due(m.now) {
				continue
			}
			sent, claims, side := m.now, t.TakeClaims(m.now), m.side[i]
			if side < 0 || m.banks[side] == nil || m.rng.Float64() < m.loss {
				continue
			}
			arrives := m.now + m.rng.Int64N(60_000)
			back := arrives + m.rng.Int64N(60_000)
			lost := m.rng.Float64() < m.loss
			var grants []Grant
			asked := false
			m.mail = append(m.mail, func() bool {
				if !asked && m.now >= arrives && m.banks[side] != nil {
					grants, asked = m.banks[side].HandleClaims(m.now, fmt.Sprint("m", i), m.reached(side), claims), true
				}
				if m.now < back {
					return false
				}
				if asked && !lost && m.tills[i] == t {
					t.HandleGrants(m.now, sent, grants)
				}
				return true
			})
		}
		for side, b := range m.banks {
			if b != nil {
				b.ObserveProxies(m.now, m.reached(side))
			}
		}
		rest := m.mail[:0]
		for _, f := range m.mail {
			if !f() {
				rest = append(rest, f)
			}
		}
		m.mail = rest
	}
}

// worst is the most that was admitted in any ten seconds since a time.
func (m *mixersOf) worst(from int64) (most int) {
	i := 0
	for j, at := range m.spent {
		for m.spent[i] <= at-10*sec {
			i++
		}
		if at >= from && m.spent[i] >= from {
			most = max(most, j-i+1)
		}
	}
	return most
}

func TestAllowance(t *testing.T) {
	stated := Allowance{Name: "billing", Rate: 50, Burst: 25}
	bound := func(n int) int { return 500 + 25 + n } // a rate's ten seconds, a burst, and a request of each mixer
	Convey("Ten times the allowance is held to it by all mixers together", t, func() {
		for _, n := range []int{1, 9, 60} {
			for name, pick := range map[string]func(*mixersOf) func() int{
				"evenly":     func(m *mixersOf) func() int { return func() int { return m.rng.IntN(n) } },
				"all on one": func(*mixersOf) func() int { return func() int { return 0 } },
				"hopping":    func(m *mixersOf) func() int { return func() int { return int(m.now/(4*sec)) % n } },
			} {
				m := newMixers(t, n, stated, uint64(n))
				from := m.now
				m.play(60*sec, 500, pick(m))
				most, mean := m.worst(from), float64(len(m.spent))/60
				t.Logf("%2d mixers, %-10s: %d in the worst 10 s, %.1f a second of %.0f", n, name, most, mean, stated.Rate)
				So(most, ShouldBeLessThanOrEqualTo, bound(n))
				if name == "evenly" || name == "all on one" {
					So(mean, ShouldBeBetween, 0.75*stated.Rate, 1.02*stated.Rate)
				}
			}
		}
	})
	Convey("What is asked within the allowance is hardly ever refused", t, func() {
		m := newMixers(t, 9, Allowance{Name: "billing", Rate: 50, Burst: 100}, 5)
		m.play(10*sec, 30, func() int { return m.rng.IntN(9) })
		before, asked := len(m.spent), m.asked
		m.play(60*sec, 30, func() int { return m.rng.IntN(9) })
		So(float64(len(m.spent)-before)/float64(m.asked-asked), ShouldBeGreaterThan, 0.95)
	})
	Convey("Under troubles the bound holds; while cut in two, that of both sides after a minute", t, func() {
		for seed := range uint64(40) {
			n := 2 + int(seed)%12
			m := newMixers(t, n, stated, seed)
			from := m.now
			m.loss = 0.1
			for range 12 {
				switch m.rng.IntN(4) {
				case 0: // the holder dies; another follows a while after, with nothing
					m.banks[0] = nil
					m.play(m.rng.Int64N(5*sec), 500, func() int { return m.rng.IntN(n) })
					m.banks[0] = m.bank()
				case 1: // a mixer starts anew
					m.tills[m.rng.IntN(n)] = m.till()
				case 2: // cut in two, each with a bank
					m.banks[1] = m.bank()
					for i := range m.side {
						m.side[i] = m.rng.IntN(2)
					}
					m.side[0], m.side[1] = 0, 1 // who holds a bank is on its side
					m.play(m.rng.Int64N(20*sec), 500, func() int { return m.rng.IntN(n) })
					for i := range m.side {
						m.side[i] = 0
					}
					m.banks[1] = nil
				case 3: // one reaches nobody
					m.side[m.rng.IntN(n)] = -1
				}
				m.play(m.rng.Int64N(6*sec), 500, func() int { return m.rng.IntN(n) })
				for i := range m.side {
					m.side[i] = 0
				}
			}
			if most := m.worst(from); most > bound(n) {
				t.Fatalf("seed %d: %d admitted in ten seconds by %d mixers", seed, most, n)
			}
		}
	})
	Convey("A mixer that reaches no bank goes on with its part of the floor", t, func() {
		m := newMixers(t, 9, stated, 3)
		m.play(10*sec, 500, func() int { return 0 })
		m.side[0] = -1
		before := len(m.spent)
		m.play(20*sec, 500, func() int { return 0 })
		So(len(m.spent)-before, ShouldBeBetween, 5, int(3*stated.Rate)+30)
	})
	Convey("An allowance that is changed or gone counts at once", t, func() {
		m := newMixers(t, 3, stated, 4)
		m.play(10*sec, 500, func() int { return m.rng.IntN(3) })
		less := Allowance{Name: "billing", Rate: 5, Burst: 5}
		for _, till := range m.tills {
			till.SetAllowances(m.now, []Allowance{less})
		}
		m.banks[0].SetAllowances([]Allowance{less})
		from := m.now
		m.play(20*sec, 500, func() int { return m.rng.IntN(3) })
		So(m.worst(from), ShouldBeLessThan, 75)
		m.tills[0].SetAllowances(m.now, nil)
		ok, _ := m.tills[0].Admit(m.now, "billing")
		So(ok, ShouldBeTrue)
	})
}
