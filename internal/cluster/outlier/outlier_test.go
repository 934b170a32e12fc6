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

// simulation runs the outlier detection of several proxies in front of the servers of some shards, in
// virtual time and without a network. Assignments arrive at once and evidence every half second,
// unless a proxy is isolated.
type simulation struct {
	t         *testing.T
	rng       *rand.Rand
	now       int64
	names     [][]string // by shard
	slowdown  map[string]float64
	isolated  map[int]bool
	observers []*Observer
	ejections []*Ejections
	roles     []*AggregatorRole
	holder    int
	epoch     uint64
	changes   []string
}

func newSimulation(t *testing.T, proxies, shards, perShard int, seed uint64) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: second, slowdown: make(map[string]float64), isolated: make(map[int]bool)}
	for s := range shards {
		var names []string
		for i := range perShard {
			names = append(names, fmt.Sprintf("s%d-%d", s, i))
		}
		sim.names = append(sim.names, names)
	}
	for i := range proxies {
		sim.observers = append(sim.observers, NewObserver(DefaultConfig))
		sim.ejections = append(sim.ejections, NewEjections(DefaultConfig))
		sim.roles = append(sim.roles, NewAggregatorRole(DefaultConfig, fmt.Sprint("m", i)))
	}
	sim.elect(0)
	return sim
}

func (sim *simulation) elect(i int) {
	sim.roles[sim.holder].SetHolder(sim.now, 0, false)
	sim.holder = i
	sim.epoch += 1 << epochHashBits
	sim.roles[i].SetHolder(sim.now, sim.epoch, true)
}

func (sim *simulation) members(shard string) int {
	if shard == Callers {
		return 0
	}
	return len(sim.names[0])
}

// latency returns the latency of a healthy answer: widely distributed, with a heavy tail and pauses.
func (sim *simulation) latency() float64 {
	x := 20_000 * math.Exp(0.47*sim.rng.NormFloat64())
	if sim.rng.Float64() < 0.02 {
		x *= 4
	}
	if sim.rng.Float64() < 0.01 {
		x += sim.rng.Float64() * 40_000
	}
	return x
}

// run advances the clock; each proxy sends perSecond requests per second to each shard.
func (sim *simulation) run(duration int64, perSecond float64) {
	const step = 100 * ms
	for end := sim.now + duration; sim.now < end; sim.now += step {
		for i, observer := range sim.observers {
			for shard, names := range sim.names {
				for n := perSecond * float64(step) / float64(second); n > sim.rng.Float64(); n-- {
					name := names[sim.rng.IntN(len(names))]
					if sim.ejections[i].Ratio(name) > 0 && sim.rng.IntN(20) > 0 {
						continue // an ejected member receives one request in twenty
					}
					latency := sim.latency() * max(sim.slowdown[name], 1)
					observer.Record(sim.now, Sample{Name: name, Shard: fmt.Sprint("s", shard), Kind: "sweep", Latency: int64(min(latency, 230_000)), Complete: latency < 230_000})
				}
			}
		}
		if sim.now/step%5 == 0 {
			sim.exchange()
		}
	}
}

func (sim *simulation) exchange() {
	role := sim.roles[sim.holder]
	for i, observer := range sim.observers {
		assignment, _ := sim.ejections[i].Assignment(sim.now)
		if list := observer.TakeEvidence(sim.now, assignment); len(list) > 0 && !sim.isolated[i] && !sim.isolated[sim.holder] {
			raw, err := json.Marshal(list)
			So(err, ShouldBeNil)
			var got []Evidence
			So(json.Unmarshal(raw, &got), ShouldBeNil)
			role.AddEvidence(sim.now, fmt.Sprint("m", i), got)
		}
	}
	assignment, version, publish := role.Step(sim.now, len(sim.observers), sim.members)
	for i, ejections := range sim.ejections {
		if publish && (!sim.isolated[i] && !sim.isolated[sim.holder] || i == sim.holder) {
			ejections.Observe(sim.now, version, assignment)
			sim.roles[i].Observe(version, assignment)
		}
		for _, change := range ejections.Step(sim.now, sim.members, sim.observers[i]) {
			sim.changes = append(sim.changes, fmt.Sprint(i, change.Name, change.Restored))
		}
		sim.checkLimits(ejections)
	}
}

// checkLimits verifies the limits on the ejections of one proxy after each step.
func (sim *simulation) checkLimits(ejections *Ejections) {
	ejectedByShard := make(map[string]int)
	for _, ejection := range ejections.All() {
		if ejectedByShard[ejection.Shard]++; ejectedByShard[ejection.Shard] > max(1, int(float64(len(sim.names[0]))*DefaultConfig.MaxEjectedShare)) {
			sim.t.Fatalf("%d members of shard %s are ejected", ejectedByShard[ejection.Shard], ejection.Shard)
		}
		if len(sim.names[0]) < 3 {
			sim.t.Fatalf("%s is ejected in a shard of %d members", ejection.Name, len(sim.names[0]))
		}
	}
}

func (sim *simulation) ejectedIn(name string) (n int) {
	for _, ejections := range sim.ejections {
		if ejections.Ratio(name) > 0 {
			n++
		}
	}
	return n
}

func TestHealthy(t *testing.T) {
	Convey("Heavy tails and pauses cause no ejection", t, func() {
		for _, proxies := range []int{1, 9, 40} {
			sim := newSimulation(t, proxies, 4, 4, uint64(proxies))
			sim.run(300*second, 8)
			So(sim.changes, ShouldBeEmpty)
		}
	})
}

func TestSlow(t *testing.T) {
	Convey("A server that becomes 8 times slower", t, func() {
		sim := newSimulation(t, 9, 4, 4, 1)
		sim.run(30*second, 9)
		sim.slowdown["s1-2"] = 8
		Convey("is ejected by all proxies within seconds, and restored after it recovers", func() {
			sim.run(3*second, 9)
			So(sim.ejectedIn("s1-2"), ShouldEqual, 9)
			So(len(sim.changes), ShouldBeLessThan, 30) // no other member was ejected
			sim.slowdown["s1-2"] = 1
			sim.run(25*second, 9)
			So(sim.ejectedIn("s1-2"), ShouldEqual, 0)
		})
		Convey("stays ejected as long as it is slow", func() {
			sim.run(5*second, 9)
			for range 60 {
				sim.run(second, 9)
				So(sim.ejectedIn("s1-2"), ShouldEqual, 9)
			}
		})
		Convey("stays ejected when the aggregator role moves to another process", func() {
			sim.run(5*second, 9)
			for i := 1; i < 5; i++ {
				sim.elect(i)
				sim.run(4*second, 9)
				So(sim.ejectedIn("s1-2"), ShouldEqual, 9)
			}
		})
		Convey("with a second one: only the slower one is ejected, at most one of four", func() {
			sim.slowdown["s1-3"] = 16
			sim.run(10*second, 9)
			So(sim.ejectedIn("s1-3"), ShouldEqual, 9)
			So(sim.ejectedIn("s1-2"), ShouldEqual, 0)
		})
		Convey("together with all of its shard: no member is ejected", func() {
			for i := range 4 {
				sim.slowdown[fmt.Sprint("s1-", i)] = 8
			}
			sim.run(20*second, 9)
			So(sim.ejectedIn("s1-2"), ShouldEqual, 0)
		})
		Convey("without an aggregator: each proxy ejects it by itself, later, and one per shard", func() {
			for i := range 9 {
				sim.isolated[i] = true
			}
			sim.run(4*second, 9)
			So(sim.ejectedIn("s1-2"), ShouldBeLessThanOrEqualTo, 1) // the holder of the role receives only its own evidence
			maxEjectedIn := 0
			for range 20 {
				sim.run(second, 9)
				maxEjectedIn = max(maxEjectedIn, sim.ejectedIn("s1-2"))
			}
			So(maxEjectedIn, ShouldBeGreaterThan, 6)
		})
		Convey("while one proxy is isolated: the assignment expires there and stays valid elsewhere", func() {
			sim.run(5*second, 9)
			sim.isolated[7] = true
			sim.slowdown["s1-2"] = 1
			sim.run(30*second, 9)
			So(sim.ejectedIn("s1-2"), ShouldEqual, 0)
		})
	})
	Convey("A server that is slow for one proxy alone is not ejected by the others", t, func() {
		sim := newSimulation(t, 9, 4, 4, 2)
		sim.run(30*second, 9)
		for range 200 {
			sim.observers[3].Record(sim.now, Sample{Name: "s0-0", Shard: "s0", Kind: "sweep", Latency: 200 * ms, Complete: true})
			sim.run(100*ms, 9)
		}
		for i, ejections := range sim.ejections {
			if i != 3 {
				So(ejections.Ratio("s0-0"), ShouldEqual, 0)
			}
		}
		So(sim.ejections[3].Ratio("s0-0"), ShouldBeGreaterThan, 2)
	})
}

// Servers become slow and recover, proxies are isolated and reconnected, and the aggregator role moves.
// The limits of checkLimits must hold after each step, and in the end no member may be ejected.
func TestRandomFaults(t *testing.T) {
	Convey("The limits hold under random faults", t, func() {
		changes := 0
		for seed := range uint64(8) {
			sim := newSimulation(t, 2+int(seed), 3, 1+int(seed), seed)
			for range 60 {
				shard, i := sim.rng.IntN(3), sim.rng.IntN(len(sim.names[0]))
				name := sim.names[shard][i]
				switch sim.rng.IntN(5) {
				case 0:
					sim.slowdown[name] = 2 + 10*sim.rng.Float64()
				case 1:
					delete(sim.slowdown, name)
				case 2:
					sim.isolated[sim.rng.IntN(len(sim.observers))] = sim.rng.IntN(2) == 0
				case 3:
					sim.elect(sim.rng.IntN(len(sim.observers)))
				}
				sim.run(sim.rng.Int64N(5*second), 6)
			}
			clear(sim.slowdown)
			clear(sim.isolated)
			sim.run(60*second, 6)
			for _, ejections := range sim.ejections {
				So(ejections.All(), ShouldBeEmpty)
			}
			changes += len(sim.changes)
		}
		So(changes, ShouldBeGreaterThan, 100)
	})
}

func TestSketch(t *testing.T) {
	Convey("Sketches are merged, encoded and decoded, and invalid ones are rejected", t, func() {
		sketch, other := newSketch(), newSketch()
		for i := range 50 {
			sketch.add(cellOf(1 + float64(i)/100))
			other.add(cellOf(8))
		}
		sketch.Merge(other)
		So(sketch.Samples(), ShouldEqual, 100)
		raw, err := json.Marshal(sketch)
		So(err, ShouldBeNil)
		So(len(raw), ShouldBeLessThan, 300)
		var decoded Sketch
		So(json.Unmarshal(raw, &decoded), ShouldBeNil)
		So(decoded.Samples(), ShouldEqual, 100)
		So(decoded.Score(), ShouldAlmostEqual, sketch.Score(), 0.001)
		So(decoded.Median(), ShouldEqual, sketch.Median())
		for _, invalid := range []string{`[1]`, `[0,1]`, `[1,0]`, `[99999,1]`, `[1,99999]`, `{}`} {
			So(json.Unmarshal([]byte(invalid), &decoded), ShouldNotBeNil)
		}
	})
	Convey("The number of stored members and kinds is limited", t, func() {
		observer := NewObserver(DefaultConfig)
		for i := range maxMembers + 100 {
			for range 3 {
				observer.Record(second, Sample{Name: fmt.Sprint(i), Shard: "s", Kind: fmt.Sprint("k", i%(maxKinds+9)), Latency: 5 * ms, Complete: true})
			}
		}
		So(len(observer.members), ShouldBeLessThanOrEqualTo, maxMembers)
		So(len(observer.kinds), ShouldBeLessThanOrEqualTo, maxKinds)
	})
}
