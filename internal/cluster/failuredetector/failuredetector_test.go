package failuredetector

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const second = int64(1_000_000)

// testNetwork runs the detectors of several processes in virtual time. Heartbeats and probes
// arrive at once or not at all; a death that one detector reports is known to all processes at
// the next step.
type testNetwork struct {
	rng          *rand.Rand
	peers        []Peer
	detectors    map[string]*Detector
	alive        map[string]bool
	blocked      map[[2]string]bool // by sender and receiver: one direction
	lossRate     float64
	now          int64
	deadAt       map[string]int64 // when the process was reported dead
	reportedDead int
	sent         int
}

func newNetwork(seed uint64, zones, perZone int) *testNetwork {
	network := &testNetwork{rng: rand.New(rand.NewPCG(seed, 1)), detectors: make(map[string]*Detector), alive: make(map[string]bool), blocked: make(map[[2]string]bool), deadAt: make(map[string]int64)}
	for zone := range zones {
		for i := range perZone {
			peer := Peer{fmt.Sprintf("10.%d.0.%d:7080", zone, i), fmt.Sprint("z", zone)}
			network.peers = append(network.peers, peer)
			network.detectors[peer.Addr] = New(0, DefaultConfig, peer)
			network.alive[peer.Addr] = true
		}
	}
	network.updatePeers()
	return network
}

func (network *testNetwork) updatePeers() {
	alive := slices.DeleteFunc(slices.Clone(network.peers), func(p Peer) bool { return network.deadAt[p.Addr] != 0 })
	for _, detector := range network.detectors {
		detector.SetPeers(network.now, alive)
	}
}

func (network *testNetwork) delivers(from, to string) bool {
	return network.alive[from] && network.alive[to] && !network.blocked[[2]string{from, to}] && network.rng.Float64() >= network.lossRate
}

func (network *testNetwork) step() {
	network.now += second / 2
	for _, peer := range network.peers {
		if !network.alive[peer.Addr] || network.deadAt[peer.Addr] != 0 {
			continue
		}
		detector := network.detectors[peer.Addr]
		out := detector.Tick(network.now)
		for _, to := range out.Heartbeats {
			network.sent++
			if network.delivers(peer.Addr, to) {
				network.detectors[to].Observe(network.now, peer.Addr)
			}
		}
		for _, probe := range out.Probes {
			network.sent++
			if !network.delivers(peer.Addr, probe.To) || !network.delivers(probe.To, peer.Addr) {
				detector.HandleProbeResult(network.now, probe, false, false)
				continue
			}
			heard, knows := network.detectors[probe.To].HandleProbe(network.now, probe.Target)
			if !knows {
				network.sent++
				heard = network.delivers(probe.To, probe.Target) && network.delivers(probe.Target, probe.To)
			}
			detector.HandleProbeResult(network.now, probe, heard, true)
		}
		for _, addr := range out.Dead {
			network.deadAt[addr] = network.now
		}
	}
	if len(network.deadAt) != network.reportedDead {
		network.reportedDead = len(network.deadAt)
		network.updatePeers()
	}
}

func (network *testNetwork) run(seconds int64) {
	for end := network.now + seconds*second; network.now < end; {
		network.step()
	}
}

func TestRing(t *testing.T) {
	Convey("Each process has three watchers, one of them in another zone, at any cluster size", t, func() {
		for _, perZone := range []int{1, 2, 5, 50} {
			network := newNetwork(1, 6, perZone)
			for _, peer := range network.peers {
				watchers := network.detectors[peer.Addr].Watchers()
				So(watchers, ShouldHaveLength, 3)
				So(slices.Compact(slices.Sorted(slices.Values(watchers))), ShouldHaveLength, 3)
				otherZone := slices.IndexFunc(watchers, func(addr string) bool { return addr[:5] != peer.Addr[:5] })
				So(otherZone, ShouldBeGreaterThanOrEqualTo, 0)
			}
			network.run(30)
			So(len(network.deadAt), ShouldEqual, 0)
			So(network.sent, ShouldBeLessThanOrEqualTo, 31*len(network.peers))
		}
	})
	Convey("A dead process is reported within 15 s, and no other process is", t, func() {
		worst := int64(0)
		for seed := range uint64(40) {
			network := newNetwork(seed, 3, 5)
			network.run(10)
			victim := network.peers[network.rng.IntN(len(network.peers))].Addr
			network.alive[victim] = false
			failedAt := network.now
			network.run(15)
			So(network.deadAt[victim], ShouldNotEqual, 0)
			So(len(network.deadAt), ShouldEqual, 1)
			worst = max(worst, network.deadAt[victim]-failedAt)
		}
		So(worst, ShouldBeLessThanOrEqualTo, 11*second)
	})
	Convey("A complete zone that fails is reported, although its processes watch one another", t, func() {
		for seed := range uint64(20) {
			network := newNetwork(seed, 3, 6)
			network.run(10)
			for _, peer := range network.peers {
				if peer.Zone == "z1" {
					network.alive[peer.Addr] = false
				}
			}
			network.run(30)
			So(len(network.deadAt), ShouldEqual, 6)
		}
	})
	Convey("Neither a partitioned process nor a loss of a tenth of the messages causes a false report", t, func() {
		for seed := range uint64(40) {
			network := newNetwork(seed, 3, 5)
			network.lossRate = 0.1
			victim := network.peers[network.rng.IntN(len(network.peers))].Addr
			for _, peer := range network.peers { // the victim receives nothing; the others receive its messages
				network.blocked[[2]string{peer.Addr, victim}] = true
			}
			network.run(60)
			So(len(network.deadAt), ShouldEqual, 0)
		}
	})
	Convey("With only two processes there is no second observer, and the timeout is doubled", t, func() {
		network := newNetwork(1, 1, 2)
		network.run(5)
		network.alive[network.peers[1].Addr] = false
		network.run(12)
		So(len(network.deadAt), ShouldEqual, 0)
		network.run(14)
		So(len(network.deadAt), ShouldEqual, 1)
	})
}
