package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const sec = int64(1_000_000)

// simulation runs the holders of several proxies and one or two lessors in virtual time. Claims and
// grants are delayed and may be lost.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	now          int64
	allowance    Allowance
	holders      []*Holder
	sides        []int // by proxy: the lessor that the proxy reaches; negative: none
	lessors      []*Lessor
	lossRate     float64
	pendingCalls []func() bool // each delivers its claims and grants when due, and then returns true
	admittedAt   []int64       // when requests were admitted
	requests     int
}

func newSimulation(t *testing.T, proxies int, allowance Allowance, seed uint64) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 37)), now: 100 * sec, allowance: allowance, sides: make([]int, proxies)}
	s.lessors = []*Lessor{s.newLessor(), nil}
	for range proxies {
		s.holders = append(s.holders, s.newHolder())
	}
	return s
}

func (s *simulation) newLessor() *Lessor {
	lessor := NewLessor(s.now, DefaultLeaseConfig, len(s.sides)) // the process knew all proxies before it took the role over
	lessor.SetAllowances([]Allowance{s.allowance})
	return lessor
}

func (s *simulation) newHolder() *Holder {
	holder := NewHolder(DefaultLeaseConfig)
	holder.SetAllowances(s.now, []Allowance{s.allowance})
	holder.SetProxies(len(s.sides))
	return holder
}

func (s *simulation) proxiesOn(side int) (n int) {
	for _, other := range s.sides {
		if other == side {
			n++
		}
	}
	return n
}

// run advances the clock by d and sends requests at a rate to the proxies that pickProxy selects.
func (s *simulation) run(d int64, rate float64, pickProxy func() int) {
	const step = sec / 100
	for end := s.now + d; s.now < end; s.now += step {
		for n := rate / 100; n > s.rng.Float64(); n-- {
			s.requests++
			if ok, retryAfter := s.holders[pickProxy()].Admit(s.now, s.allowance.Name); ok {
				s.admittedAt = append(s.admittedAt, s.now)
			} else if retryAfter <= 0 {
				s.t.Fatal("a request was rejected without a time to retry")
			}
		}
		for i, holder := range s.holders {
			if !holder.Due(s.now) {
				continue
			}
			sent, claims, side := s.now, holder.TakeClaims(s.now), s.sides[i]
			if side < 0 || s.lessors[side] == nil || s.rng.Float64() < s.lossRate {
				continue
			}
			arrives := s.now + s.rng.Int64N(60_000)
			returns := arrives + s.rng.Int64N(60_000)
			lost := s.rng.Float64() < s.lossRate
			var grants []Grant
			delivered := false
			s.pendingCalls = append(s.pendingCalls, func() bool {
				if !delivered && s.now >= arrives && s.lessors[side] != nil {
					grants, delivered = s.lessors[side].HandleClaims(s.now, fmt.Sprint("m", i), s.proxiesOn(side), claims), true
				}
				if s.now < returns {
					return false
				}
				if delivered && !lost && s.holders[i] == holder {
					holder.HandleGrants(s.now, sent, grants)
				}
				return true
			})
		}
		for side, lessor := range s.lessors {
			if lessor != nil {
				lessor.ObserveProxies(s.now, s.proxiesOn(side))
			}
		}
		remaining := s.pendingCalls[:0]
		for _, call := range s.pendingCalls {
			if !call() {
				remaining = append(remaining, call)
			}
		}
		s.pendingCalls = remaining
	}
}

// maxInTenSeconds returns the highest number of requests admitted in any ten seconds since a time.
func (s *simulation) maxInTenSeconds(since int64) (count int) {
	first := 0
	for last, at := range s.admittedAt {
		for s.admittedAt[first] <= at-10*sec {
			first++
		}
		if at >= since && s.admittedAt[first] >= since {
			count = max(count, last-first+1)
		}
	}
	return count
}

func TestAllowance(t *testing.T) {
	allowance := Allowance{Name: "billing", Rate: 50, Burst: 25}
	bound := func(proxies int) int { return 500 + 25 + proxies } // the rate for ten seconds, a burst, and one request per proxy
	Convey("Demand of ten times the allowance is limited to the allowance over all proxies", t, func() {
		for _, proxies := range []int{1, 9, 60} {
			for name, pickProxy := range map[string]func(*simulation) func() int{
				"evenly":     func(s *simulation) func() int { return func() int { return s.rng.IntN(proxies) } },
				"all on one": func(*simulation) func() int { return func() int { return 0 } },
				"hopping":    func(s *simulation) func() int { return func() int { return int(s.now/(4*sec)) % proxies } },
			} {
				s := newSimulation(t, proxies, allowance, uint64(proxies))
				start := s.now
				s.run(60*sec, 500, pickProxy(s))
				maxAdmitted, mean := s.maxInTenSeconds(start), float64(len(s.admittedAt))/60
				t.Logf("%2d proxies, %-10s: at most %d admitted in 10 s, on average %.1f per second of %.0f", proxies, name, maxAdmitted, mean, allowance.Rate)
				So(maxAdmitted, ShouldBeLessThanOrEqualTo, bound(proxies))
				if name == "evenly" || name == "all on one" {
					So(mean, ShouldBeBetween, 0.75*allowance.Rate, 1.02*allowance.Rate)
				}
			}
		}
	})
	Convey("Demand within the allowance is rarely rejected", t, func() {
		s := newSimulation(t, 9, Allowance{Name: "billing", Rate: 50, Burst: 100}, 5)
		s.run(10*sec, 30, func() int { return s.rng.IntN(9) })
		admittedBefore, requestsBefore := len(s.admittedAt), s.requests
		s.run(60*sec, 30, func() int { return s.rng.IntN(9) })
		So(float64(len(s.admittedAt)-admittedBefore)/float64(s.requests-requestsBefore), ShouldBeGreaterThan, 0.95)
	})
	Convey("The limit holds under random faults, including partitions shorter than ProxyMemory", t, func() {
		for seed := range uint64(40) {
			proxies := 2 + int(seed)%12
			s := newSimulation(t, proxies, allowance, seed)
			start := s.now
			s.lossRate = 0.1
			for range 12 {
				switch s.rng.IntN(4) {
				case 0: // the lessor dies; later another one starts without state
					s.lessors[0] = nil
					s.run(s.rng.Int64N(5*sec), 500, func() int { return s.rng.IntN(proxies) })
					s.lessors[0] = s.newLessor()
				case 1: // a proxy restarts
					s.holders[s.rng.IntN(proxies)] = s.newHolder()
				case 2: // the network is partitioned, with a lessor on each side
					s.lessors[1] = s.newLessor()
					for i := range s.sides {
						s.sides[i] = s.rng.IntN(2)
					}
					s.sides[0], s.sides[1] = 0, 1 // the proxies of the lessors' own processes
					s.run(s.rng.Int64N(20*sec), 500, func() int { return s.rng.IntN(proxies) })
					for i := range s.sides {
						s.sides[i] = 0
					}
					s.lessors[1] = nil
				case 3: // one proxy reaches no lessor
					s.sides[s.rng.IntN(proxies)] = -1
				}
				s.run(s.rng.Int64N(6*sec), 500, func() int { return s.rng.IntN(proxies) })
				for i := range s.sides {
					s.sides[i] = 0
				}
			}
			if maxAdmitted := s.maxInTenSeconds(start); maxAdmitted > bound(proxies) {
				t.Fatalf("seed %d: %d requests admitted in ten seconds by %d proxies", seed, maxAdmitted, proxies)
			}
		}
	})
	Convey("A proxy that reaches no lessor keeps its part of the unleased share", t, func() {
		s := newSimulation(t, 9, allowance, 3)
		s.run(10*sec, 500, func() int { return 0 })
		s.sides[0] = -1
		admittedBefore := len(s.admittedAt)
		s.run(20*sec, 500, func() int { return 0 })
		So(len(s.admittedAt)-admittedBefore, ShouldBeBetween, 5, int(3*allowance.Rate)+30)
	})
	Convey("A changed or removed allowance takes effect at once", t, func() {
		s := newSimulation(t, 3, allowance, 4)
		s.run(10*sec, 500, func() int { return s.rng.IntN(3) })
		reduced := Allowance{Name: "billing", Rate: 5, Burst: 5}
		for _, holder := range s.holders {
			holder.SetAllowances(s.now, []Allowance{reduced})
		}
		s.lessors[0].SetAllowances([]Allowance{reduced})
		start := s.now
		s.run(20*sec, 500, func() int { return s.rng.IntN(3) })
		So(s.maxInTenSeconds(start), ShouldBeLessThan, 75)
		So(s.lessors[0].Admitted, ShouldNotBeEmpty)
		s.lessors[0].SetAllowances(nil)
		So(len(s.lessors[0].Admitted)+len(s.lessors[0].Demand), ShouldEqual, 0)
		s.holders[0].SetAllowances(s.now, nil)
		ok, _ := s.holders[0].Admit(s.now, "billing")
		So(ok, ShouldBeTrue)
	})
}
