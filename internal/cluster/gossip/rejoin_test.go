package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func newTestGossiper(self string, seeds ...string) *Gossiper {
	return New(1, DefaultConfig, Process{Addr: self, Kind: KindAgent, Zone: "z"}, seeds, rand.New(rand.NewPCG(1, 2)))
}

func processEntry(addr string, version uint64) Entry {
	return Entry{Key: ProcessPrefix + addr, Version: version, Value: []byte(`{"z":"z"}`)}
}

// callsTo counts the calls of some intervals by address.
func callsTo(g *Gossiper, from, intervals int64) map[string]int {
	calls := make(map[string]int)
	for i := range intervals {
		now := from + i*g.cfg.RejoinInterval
		g.Tick(now)
		for _, call := range g.TakeCalls() {
			calls[call.To]++
			g.HandleResponse(now, call.ID, ExchangeResponse{}, false)
		}
	}
	return calls
}

func TestRejoinRate(t *testing.T) {
	Convey("A lost process is called as often by a few processes as by many", t, func() {
		const intervals = 4000
		for _, processes := range []int{9, 30, 300} {
			g := newTestGossiper("self")
			for i := range processes - 1 {
				g.Put(1, processEntry(fmt.Sprint("live", i), initialVersion), false)
			}
			g.Put(1, processEntry("lost", initialVersion), false)
			g.MarkDead(1, "lost")
			g.Store.TakePending()
			g.Store.TakePending()
			g.TakeCalls()
			byAll := float64(callsTo(g, 1, intervals/4)["lost"]*processes) / (intervals / 4)
			So(byAll, ShouldBeBetween, rejoinCallsOfAll*0.5, rejoinCallsOfAll*1.6)
		}
	})
	Convey("More lost processes than one calls in an interval do not make it call more", t, func() {
		g := newTestGossiper("self")
		for i := range 50 {
			g.Put(1, processEntry(fmt.Sprint("lost", i), initialVersion), false)
			g.MarkDead(1, fmt.Sprint("lost", i))
		}
		g.Tick(g.cfg.RejoinInterval)
		So(len(g.TakeCalls()), ShouldBeLessThanOrEqualTo, rejoinCallsOfOne+1)
	})
}

func TestRejoinCandidates(t *testing.T) {
	Convey("Who is called", t, func() {
		g := newTestGossiper("self", "seed", "self")
		weightOf := func(now int64, addr string) float64 { _, weights := g.rejoinCandidates(now); return weights[addr] }
		Convey("is a seed that is not known to be alive, at any time, and not this process", func() {
			So(weightOf(1, "seed"), ShouldEqual, 1)
			So(weightOf(1+10*lostFullRate, "seed"), ShouldEqual, 1)
			So(weightOf(1, "self"), ShouldEqual, 0)
			g.Put(2, processEntry("seed", initialVersion), false)
			So(weightOf(3, "seed"), ShouldEqual, 0)
			So(g.hasRejoinCandidates(), ShouldBeFalse)
		})
		Convey("is a lost process, rarely after a long time, also when its tombstone is gone", func() {
			g.Put(2, processEntry("seed", initialVersion), false)
			g.Put(2, processEntry("peer", initialVersion), false)
			g.MarkDead(3, "peer")
			So(weightOf(4, "peer"), ShouldEqual, 1)
			g.Purge(3 + 2*lostFullRate)
			_, known := g.Store.Get(ProcessPrefix + "peer")
			So(known, ShouldBeFalse)
			So(weightOf(3+2*lostFullRate, "peer"), ShouldEqual, 0.5)
			g.Purge(3 + lostForgotten)
			So(g.LostPeers(), ShouldEqual, 0)
		})
		Convey("are no more than are remembered, and the latest lost are", func() {
			for i := range maxLostPeers + 10 {
				g.Put(int64(i), processEntry(fmt.Sprint("p", i), initialVersion+1), false)
				g.apply(int64(i), Entry{Key: ProcessPrefix + fmt.Sprint("p", i), Version: initialVersion + 3}, false)
			}
			So(g.LostPeers(), ShouldEqual, maxLostPeers)
			So(weightOf(999, "p0"), ShouldEqual, 0)
			So(weightOf(999, fmt.Sprint("p", maxLostPeers+9)), ShouldEqual, 1)
		})
	})
}

func TestOwnDeath(t *testing.T) {
	Convey("A process refutes that it is gone, but not once it has announced its end itself", t, func() {
		g := newTestGossiper("self")
		key := ProcessPrefix + "self"
		g.Put(1, Entry{Key: key, Version: initialVersion + 1}, false)
		own, _ := g.Store.Get(key)
		So(own.Deleted(), ShouldBeFalse)
		So(own.Version, ShouldEqual, uint64(initialVersion+2))
		g.AnnounceLeave(2)
		own, _ = g.Store.Get(key)
		g.Put(3, own, false) // it comes back from another process
		own, _ = g.Store.Get(key)
		So(own.Deleted(), ShouldBeTrue)
	})
	Convey("A process that answers someone again is called again at once", t, func() {
		g := newTestGossiper("self")
		g.Put(1, processEntry("peer", initialVersion), false)
		g.CompareChecksums("peer")
		for _, call := range g.TakeCalls() {
			g.HandleResponse(2, call.ID, ExchangeResponse{}, false)
		}
		So(g.Reachable(3, "peer"), ShouldBeFalse)
		g.Put(4, processEntry("peer", initialVersion+2), false)
		So(g.Reachable(5, "peer"), ShouldBeTrue)
	})
}
