package failuredetector

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const second = int64(1_000_000)

// net is processes on a ring in virtual time: beats and questions arrive at once or not
// at all, and a death that one tells is known to all at the next step.
type net struct {
	rng   *rand.Rand
	peers []Peer
	ring  map[string]*Detector
	up    map[string]bool
	cut   map[[2]string]bool // one way
	loss  float64
	now   int64
	dead  map[string]int64 // told, when
	known int
	sent  int
}

func newNet(seed uint64, zones, each int) *net {
	n := &net{rng: rand.New(rand.NewPCG(seed, 1)), ring: make(map[string]*Detector), up: make(map[string]bool), cut: make(map[[2]string]bool), dead: make(map[string]int64)}
	for z := range zones {
		for i := range each {
			p := Peer{fmt.Sprintf("10.%d.0.%d:7080", z, i), fmt.Sprint("z", z)}
			n.peers = append(n.peers, p)
			n.ring[p.Addr] = New(0, DefaultConfig, p)
			n.up[p.Addr] = true
		}
	}
	n.know()
	return n
}

func (n *net) know() {
	live := slices.DeleteFunc(slices.Clone(n.peers), func(p Peer) bool { return n.dead[p.Addr] != 0 })
	for _, m := range n.ring {
		m.SetPeers(n.now, live)
	}
}

func (n *net) reaches(a, b string) bool {
	return n.up[a] && n.up[b] && !n.cut[[2]string{a, b}] && n.rng.Float64() >= n.loss
}

func (n *net) step() {
	n.now += second / 2
	for _, p := range n.peers {
		if !n.up[p.Addr] || n.dead[p.Addr] != 0 {
			continue
		}
		m := n.ring[p.Addr]
		out := m.Tick(n.now)
		for _, to := range out.Heartbeats {
			n.sent++
			if n.reaches(p.Addr, to) {
				n.ring[to].Observe(n.now, p.Addr)
			}
		}
		for _, q := range out.Probes {
			n.sent++
			if !n.reaches(p.Addr, q.To) || !n.reaches(q.To, p.Addr) {
				m.HandleProbeResult(n.now, q, false, false)
				continue
			}
			hears, knows := n.ring[q.To].HandleProbe(n.now, q.Target)
			if !knows {
				n.sent++
				hears = n.reaches(q.To, q.Target) && n.reaches(q.Target, q.To)
			}
			m.HandleProbeResult(n.now, q, hears, true)
		}
		for _, d := range out.Dead {
			n.dead[d] = n.now
		}
	}
	if len(n.dead) != n.known {
		n.known = len(n.dead)
		n.know()
	}
}

func (n *net) run(seconds int64) {
	for end := n.now + seconds*second; n.now < end; {
		n.step()
	}
}

func TestRing(t *testing.T) {
	Convey("Each beats at a few, one of them in another zone, whatever their number", t, func() {
		for _, each := range []int{1, 2, 5, 50} {
			n := newNet(1, 6, each)
			for _, p := range n.peers {
				w := n.ring[p.Addr].Watchers()
				So(w, ShouldHaveLength, 3)
				So(slices.Compact(slices.Sorted(slices.Values(w))), ShouldHaveLength, 3)
				far := slices.IndexFunc(w, func(a string) bool { return a[:5] != p.Addr[:5] })
				So(far, ShouldBeGreaterThanOrEqualTo, 0)
			}
			n.run(30)
			So(len(n.dead), ShouldEqual, 0)
			So(n.sent, ShouldBeLessThanOrEqualTo, 31*len(n.peers))
		}
	})
	Convey("A process that dies is told of within 15 s, no other is", t, func() {
		worst := int64(0)
		for seed := range uint64(40) {
			n := newNet(seed, 3, 5)
			n.run(10)
			x := n.peers[n.rng.IntN(len(n.peers))].Addr
			n.up[x] = false
			at := n.now
			n.run(15)
			So(n.dead[x], ShouldNotEqual, 0)
			So(len(n.dead), ShouldEqual, 1)
			worst = max(worst, n.dead[x]-at)
		}
		So(worst, ShouldBeLessThanOrEqualTo, 11*second)
	})
	Convey("A zone that is lost whole is told of, though its processes watch one another", t, func() {
		for seed := range uint64(20) {
			n := newNet(seed, 3, 6)
			n.run(10)
			for _, p := range n.peers {
				if p.Zone == "z1" {
					n.up[p.Addr] = false
				}
			}
			n.run(30)
			So(len(n.dead), ShouldEqual, 6)
		}
	})
	Convey("One that is cut off calls nobody dead, nor does a tenth of messages lost", t, func() {
		for seed := range uint64(40) {
			n := newNet(seed, 3, 5)
			n.loss = 0.1
			x := n.peers[n.rng.IntN(len(n.peers))].Addr
			for _, p := range n.peers { // it hears nobody, everybody hears it
				n.cut[[2]string{p.Addr, x}] = true
			}
			n.run(60)
			So(len(n.dead), ShouldEqual, 0)
		}
	})
	Convey("Alone with one other there is no second witness: it is given twice the time", t, func() {
		n := newNet(1, 1, 2)
		n.run(5)
		n.up[n.peers[1].Addr] = false
		n.run(12)
		So(len(n.dead), ShouldEqual, 0)
		n.run(14)
		So(len(n.dead), ShouldEqual, 1)
	})
}
