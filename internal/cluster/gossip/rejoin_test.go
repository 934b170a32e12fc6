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

// callsTo counts the calls during a number of intervals by address. All calls fail.
func callsTo(g *Gossiper, start, intervals int64) map[string]int {
	calls := make(map[string]int)
	for i := range intervals {
		now := start + i*g.cfg.RejoinInterval
		g.Tick(now)
		for _, call := range g.TakeCalls() {
			calls[call.To]++
			g.HandleResponse(now, call.ID, PassResponse{}, false)
		}
	}
	return calls
}

func TestRejoinRate(t *testing.T) {
	Convey("The call rate to a lost process does not depend on the number of processes", t, func() {
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
			callsPerInterval := float64(callsTo(g, 1, intervals/4)["lost"]*processes) / (intervals / 4)
			So(callsPerInterval, ShouldBeBetween, rejoinCallsTotal*0.5, rejoinCallsTotal*1.6)
		}
	})
	Convey("Calls per interval are limited, however many processes are lost", t, func() {
		g := newTestGossiper("self")
		for i := range 50 {
			g.Put(1, processEntry(fmt.Sprint("lost", i), initialVersion), false)
			g.MarkDead(1, fmt.Sprint("lost", i))
		}
		g.Tick(g.cfg.RejoinInterval)
		So(len(g.TakeCalls()), ShouldBeLessThanOrEqualTo, maxRejoinCallsPerProcess+1)
	})
}

func TestRejoinCandidates(t *testing.T) {
	Convey("A rejoin candidate", t, func() {
		g := newTestGossiper("self", "seed", "self")
		weightOf := func(now int64, addr string) float64 { _, weights := g.rejoinCandidates(now); return weights[addr] }
		Convey("is any seed except this process, at the full rate, until it is known to be alive", func() {
			So(weightOf(1, "seed"), ShouldEqual, 1)
			So(weightOf(1+10*lostFullRatePeriod, "seed"), ShouldEqual, 1)
			So(weightOf(1, "self"), ShouldEqual, 0)
			g.Put(2, processEntry("seed", initialVersion), false)
			So(weightOf(3, "seed"), ShouldEqual, 0)
			So(g.hasRejoinCandidates(), ShouldBeFalse)
		})
		Convey("is a lost process, at a falling rate, even after its tombstone is purged", func() {
			g.Put(2, processEntry("seed", initialVersion), false)
			g.Put(2, processEntry("peer", initialVersion), false)
			g.MarkDead(3, "peer")
			So(weightOf(4, "peer"), ShouldEqual, 1)
			g.Purge(3 + 2*lostFullRatePeriod)
			_, known := g.Store.Get(ProcessPrefix + "peer")
			So(known, ShouldBeFalse)
			So(weightOf(3+2*lostFullRatePeriod, "peer"), ShouldEqual, 0.5)
			g.Purge(3 + lostPeerLifetime)
			So(g.LostPeers(), ShouldEqual, 0)
		})
		Convey("is one of the most recently lost processes, of which a limited number is remembered", func() {
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
	Convey("A process refutes its own tombstone, unless it has announced that it leaves", t, func() {
		g := newTestGossiper("self")
		key := ProcessPrefix + "self"
		g.Put(1, Entry{Key: key, Version: initialVersion + 1}, false)
		own, _ := g.Store.Get(key)
		So(own.Deleted(), ShouldBeFalse)
		So(own.Version, ShouldEqual, uint64(initialVersion+2))
		g.AnnounceLeave(2)
		own, _ = g.Store.Get(key)
		g.Put(3, own, false) // as another process sends it back
		own, _ = g.Store.Get(key)
		So(own.Deleted(), ShouldBeTrue)
	})
	Convey("A process that has answered another process leaves backoff at once", t, func() {
		g := newTestGossiper("self")
		g.Put(1, processEntry("peer", initialVersion), false)
		g.CompareChecksums("peer")
		for _, call := range g.TakeCalls() {
			g.HandleResponse(2, call.ID, PassResponse{}, false)
		}
		So(g.Reachable(3, "peer"), ShouldBeFalse)
		g.Put(4, processEntry("peer", initialVersion+2), false)
		So(g.Reachable(5, "peer"), ShouldBeTrue)
	})
}
