package outlier

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	ms     = int64(1_000)
	second = int64(1_000_000)
)

// herdOf plays mixers before the servers of some shards, without any network: words are
// heard at once, evidence every half second, unless a mixer is cut off.
type herdOf struct {
	t       *testing.T
	rng     *rand.Rand
	now     int64
	names   [][]string // by shard
	slow    map[string]float64
	cut     map[int]bool
	watches []*Observer
	groups  []*Ejections
	seats   []*AggregatorRole
	holder  int
	epoch   uint64
	moves   []string
}

func newHerd(t *testing.T, mixers, shards, each int, seed uint64) *herdOf {
	h := &herdOf{t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: second, slow: make(map[string]float64), cut: make(map[int]bool)}
	for s := range shards {
		var names []string
		for i := range each {
			names = append(names, fmt.Sprintf("s%d-%d", s, i))
		}
		h.names = append(h.names, names)
	}
	for i := range mixers {
		h.watches = append(h.watches, NewObserver(DefaultConfig))
		h.groups = append(h.groups, NewEjections(DefaultConfig))
		h.seats = append(h.seats, NewAggregatorRole(DefaultConfig, fmt.Sprint("m", i)))
	}
	h.elect(0)
	return h
}

func (h *herdOf) elect(i int) {
	h.seats[h.holder].SetHolder(h.now, 0, false)
	h.holder = i
	h.epoch += 1 << epochHashBits
	h.seats[i].SetHolder(h.now, h.epoch, true)
}

func (h *herdOf) members(shard string) int {
	if shard == Callers {
		return 0
	}
	return len(h.names[0])
}

// took is a healthy answer's time: wide, with a heavy tail and pauses.
func (h *herdOf) took() float64 {
	x := 20_000 * math.Exp(0.47*h.rng.NormFloat64())
	if h.rng.Float64() < 0.02 {
		x *= 4
	}
	if h.rng.Float64() < 0.01 {
		x += h.rng.Float64() * 40_000
	}
	return x
}

// play lets time pass: each mixer asks each shard perSecond times a second.
func (h *herdOf) play(d int64, perSecond float64) {
	const step = 100 * ms
	for end := h.now + d; h.now < end; h.now += step {
		for i, w := range h.watches {
			for s, names := range h.names {
				for n := perSecond * float64(step) / float64(second); n > h.rng.Float64(); n-- {
					name := names[h.rng.IntN(len(names))]
					if h.groups[i].Ratio(name) > 0 && h.rng.IntN(20) > 0 {
						continue // apart: tried now and then
					}
					x := h.took() * max(h.slow[name], 1)
					w.Record(h.now, Sample{Name: name, Shard: fmt.Sprint("s", s), Kind: "sweep", Latency: int64(min(x, 230_000)), Complete: x < 230_000})
				}
			}
		}
		if h.now/step%5 == 0 {
			h.talk()
		}
	}
}

func (h *herdOf) talk() {
	seat := h.seats[h.holder]
	for i, w := range h.watches {
		said, _ := h.groups[i].Assignment(h.now)
		if list := w.TakeEvidence(h.now, said); len(list) > 0 && !h.cut[i] && !h.cut[h.holder] {
			raw, err := json.Marshal(list)
			So(err, ShouldBeNil)
			var got []Evidence
			So(json.Unmarshal(raw, &got), ShouldBeNil)
			seat.AddEvidence(h.now, fmt.Sprint("m", i), got)
		}
	}
	a, rank, say := seat.Step(h.now, len(h.watches), h.members)
	for i, g := range h.groups {
		if say && (!h.cut[i] && !h.cut[h.holder] || i == h.holder) {
			g.Observe(h.now, rank, a)
			h.seats[i].Observe(rank, a)
		}
		for _, c := range g.Step(h.now, h.members, h.watches[i]) {
			h.moves = append(h.moves, fmt.Sprint(i, c.Name, c.Restored))
		}
		h.check(g)
	}
}

// check holds the machines to their bounds at every step.
func (h *herdOf) check(g *Ejections) {
	by := make(map[string]int)
	for _, a := range g.All() {
		if by[a.Shard]++; by[a.Shard] > max(1, int(float64(len(h.names[0]))*DefaultConfig.MaxEjectedShare)) {
			h.t.Fatalf("%d of shard %s are apart", by[a.Shard], a.Shard)
		}
		if len(h.names[0]) < 3 {
			h.t.Fatalf("%s is apart in a shard of %d", a.Name, len(h.names[0]))
		}
	}
}

func (h *herdOf) apart(name string) (n int) {
	for _, g := range h.groups {
		if g.Ratio(name) > 0 {
			n++
		}
	}
	return n
}

func TestHealthy(t *testing.T) {
	Convey("Heavy tails and pauses set nobody apart", t, func() {
		for _, mixers := range []int{1, 9, 40} {
			h := newHerd(t, mixers, 4, 4, uint64(mixers))
			h.play(300*second, 8)
			So(h.moves, ShouldBeEmpty)
		}
	})
}

func TestSlow(t *testing.T) {
	Convey("A server that turns 8 times slow", t, func() {
		h := newHerd(t, 9, 4, 4, 1)
		h.play(30*second, 9)
		h.slow["s1-2"] = 8
		Convey("is set apart by all within seconds, and comes back when it is well", func() {
			h.play(3*second, 9)
			So(h.apart("s1-2"), ShouldEqual, 9)
			So(len(h.moves), ShouldBeLessThan, 30) // and nobody else
			h.slow["s1-2"] = 1
			h.play(25*second, 9)
			So(h.apart("s1-2"), ShouldEqual, 0)
		})
		Convey("stays apart for as long as it is slow", func() {
			h.play(5*second, 9)
			for range 60 {
				h.play(second, 9)
				So(h.apart("s1-2"), ShouldEqual, 9)
			}
		})
		Convey("stays apart when the council passes to another process", func() {
			h.play(5*second, 9)
			for i := 1; i < 5; i++ {
				h.elect(i)
				h.play(4*second, 9)
				So(h.apart("s1-2"), ShouldEqual, 9)
			}
		})
		Convey("with a second one: the slower is apart, of four no more than one", func() {
			h.slow["s1-3"] = 16
			h.play(10*second, 9)
			So(h.apart("s1-3"), ShouldEqual, 9)
			So(h.apart("s1-2"), ShouldEqual, 0)
		})
		Convey("with all of its shard: nobody is apart", func() {
			for i := range 4 {
				h.slow[fmt.Sprint("s1-", i)] = 8
			}
			h.play(20*second, 9)
			So(h.apart("s1-2"), ShouldEqual, 0)
		})
		Convey("with no council: each sets it apart by itself, later, and one of a shard", func() {
			for i := range 9 {
				h.cut[i] = true
			}
			h.play(4*second, 9)
			So(h.apart("s1-2"), ShouldBeLessThanOrEqualTo, 1) // the holder hears itself alone
			most := 0
			for range 20 {
				h.play(second, 9)
				most = max(most, h.apart("s1-2"))
			}
			So(most, ShouldBeGreaterThan, 6)
		})
		Convey("while one mixer is cut off: that one's group lapses, the others' stands", func() {
			h.play(5*second, 9)
			h.cut[7] = true
			h.slow["s1-2"] = 1
			h.play(30*second, 9)
			So(h.apart("s1-2"), ShouldEqual, 0)
		})
	})
	Convey("A server that is slow for one mixer alone is not set apart for the others", t, func() {
		h := newHerd(t, 9, 4, 4, 2)
		h.play(30*second, 9)
		for range 200 {
			h.watches[3].Record(h.now, Sample{Name: "s0-0", Shard: "s0", Kind: "sweep", Latency: 200 * ms, Complete: true})
			h.play(100*ms, 9)
		}
		for i, g := range h.groups {
			if i != 3 {
				So(g.Ratio("s0-0"), ShouldEqual, 0)
			}
		}
		So(h.groups[3].Ratio("s0-0"), ShouldBeGreaterThan, 2)
	})
}

// Servers turn slow and well, mixers are cut off and come back, the council moves, for
// hours: the bounds of check hold at every step, and in the end nobody is apart.
func TestRandomly(t *testing.T) {
	Convey("Bounds hold under random troubles", t, func() {
		moves := 0
		for seed := range uint64(8) {
			h := newHerd(t, 2+int(seed), 3, 1+int(seed), seed)
			for range 60 {
				s, i := h.rng.IntN(3), h.rng.IntN(len(h.names[0]))
				name := h.names[s][i]
				switch h.rng.IntN(5) {
				case 0:
					h.slow[name] = 2 + 10*h.rng.Float64()
				case 1:
					delete(h.slow, name)
				case 2:
					h.cut[h.rng.IntN(len(h.watches))] = h.rng.IntN(2) == 0
				case 3:
					h.elect(h.rng.IntN(len(h.watches)))
				}
				h.play(h.rng.Int64N(5*second), 6)
			}
			clear(h.slow)
			clear(h.cut)
			h.play(60*second, 6)
			for _, g := range h.groups {
				So(g.All(), ShouldBeEmpty)
			}
			moves += len(h.moves)
		}
		So(moves, ShouldBeGreaterThan, 100)
	})
}

func TestSketch(t *testing.T) {
	Convey("Sketches merge, travel and refuse nonsense", t, func() {
		a, b := newSketch(), newSketch()
		for i := range 50 {
			a.add(cell(1 + float64(i)/100))
			b.add(cell(8))
		}
		a.Merge(b)
		So(a.Samples(), ShouldEqual, 100)
		raw, err := json.Marshal(a)
		So(err, ShouldBeNil)
		So(len(raw), ShouldBeLessThan, 300)
		var c Sketch
		So(json.Unmarshal(raw, &c), ShouldBeNil)
		So(c.Samples(), ShouldEqual, 100)
		So(c.Score(), ShouldAlmostEqual, a.Score(), 0.001)
		So(c.Median(), ShouldEqual, a.Median())
		for _, bad := range []string{`[1]`, `[0,1]`, `[1,0]`, `[99999,1]`, `[1,99999]`, `{}`} {
			So(json.Unmarshal([]byte(bad), &c), ShouldNotBeNil)
		}
	})
	Convey("What is held is bounded", t, func() {
		w := NewObserver(DefaultConfig)
		for i := range maxMembers + 100 {
			for range 3 {
				w.Record(second, Sample{Name: fmt.Sprint(i), Shard: "s", Kind: fmt.Sprint("k", i%(maxKinds+9)), Latency: 5 * ms, Complete: true})
			}
		}
		So(len(w.seen), ShouldBeLessThanOrEqualTo, maxMembers)
		So(len(w.kinds), ShouldBeLessThanOrEqualTo, maxKinds)
	})
}
