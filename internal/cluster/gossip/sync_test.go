package gossip

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// deliver makes the calls of the caller to the peer until there are none left.
func deliver(now int64, caller, peer *Gossiper) {
	for {
		calls := caller.TakeCalls()
		if len(calls) == 0 {
			return
		}
		for _, call := range calls {
			caller.HandleResponse(now, call.ID, peer.HandleRequest(now, PassRequest{ExchangeRequest: call.Request}), true)
		}
	}
}

// tombstoneAlone stores entries and a tombstone, in whose bucket there is no other entry, and returns the key
// of the tombstone.
func tombstoneAlone(g *Gossiper) string {
	used := make(map[int]bool)
	for i := range 5 {
		entry := newTestEntry(fmt.Sprint("s/live-", i), 1, `1`)
		g.Put(1, entry, false)
		used[bucket(entry.Key)] = true
	}
	used[bucket(ProcessPrefix+"peer")], used[bucket(ProcessPrefix+"self")] = true, true
	for i := 0; ; i++ {
		if key := fmt.Sprint("s/gone-", i); !used[bucket(key)] {
			g.Put(1, Entry{Key: key, Version: 1 << 62}, false)
			return key
		}
	}
}

// Guards against a restarted process that never learns of a deletion, because equal digests do not show that
// it lacks the tombstone.
func TestRestartedProcessLearnsDeletions(t *testing.T) {
	Convey("A process that has just started", t, func() {
		peer, started := newTestGossiper("peer"), newTestGossiper("self", "peer")
		key := tombstoneAlone(peer)
		started.Tick(1)
		Convey("gets the tombstones of a peer, also those that no digest shows", func() {
			deliver(2, started, peer)
			got, known := started.Store.Get(key)
			So(known && got.Deleted(), ShouldBeTrue)
			So(started.mustJoin(), ShouldBeFalse)
		})
		Convey("asks again if its first calls fail, also when others have already sent it processes", func() {
			for _, call := range started.TakeCalls() {
				started.HandleResponse(2, call.ID, PassResponse{}, false)
			}
			started.Put(3, processEntry("peer", initialVersion), false)
			started.Tick(DefaultConfig.JoinRetryMax)
			deliver(DefaultConfig.JoinRetryMax, started, peer)
			_, known := started.Store.Get(key)
			So(known, ShouldBeTrue)
		})
		Convey("is complete only once it has pulled from a peer that is", func() {
			deliver(2, started, peer)
			So(started.IsSynced(2), ShouldBeFalse)
			late := int64(assumeSyncedAfter + 1)
			So(peer.IsSynced(late), ShouldBeTrue) // it has run for long enough
			restarted := New(late, DefaultConfig, Process{Addr: "self", Zone: "z"}, []string{"peer"}, started.rng)
			restarted.Tick(late)
			So(restarted.IsSynced(late), ShouldBeFalse)
			deliver(late, restarted, peer)
			So(restarted.IsSynced(late), ShouldBeTrue)
			_, known := restarted.Store.Get(key)
			So(known, ShouldBeTrue)
		})
		Convey("pulls again when it hears from a peer whose store is complete", func() {
			deliver(2, started, peer)
			peer.sync.complete = true
			started.CompareChecksums("peer")
			deliver(3, started, peer)
			So(started.IsSynced(3), ShouldBeTrue)
		})
	})
}
