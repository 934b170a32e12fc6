package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func newTestEntry(key string, version uint64, value string) Entry {
	return Entry{Key: key, Version: version, Value: []byte(value)}
}

func TestStore(t *testing.T) {
	Convey("The entry with the higher version wins, in any order of arrival", t, func() {
		store := NewStore()
		So(store.Put(1, newTestEntry("k", 5, `1`), 2, true), ShouldBeTrue)
		So(store.Put(2, newTestEntry("k", 4, `0`), 2, true), ShouldBeFalse)
		So(store.Put(3, newTestEntry("k", 5, `9`), 2, true), ShouldBeFalse)
		got, _ := store.Get("k")
		So(string(got.Value), ShouldEqual, "1")
		So(store.Put(4, Entry{Key: "k", Version: 6}, 2, true), ShouldBeTrue)
		got, known := store.Get("k")
		So(known && got.Deleted(), ShouldBeTrue)
		store.PurgeTombstones(4 + tombstoneLifetime + 1)
		So(store.Len(), ShouldEqual, 0)
	})
	Convey("ChangedSince returns each changed key once", t, func() {
		store := NewStore()
		for i := range 500 {
			store.Put(int64(i), newTestEntry(fmt.Sprint(i%7), uint64(i), `1`), 0, false)
		}
		So(store.ChangedSince(0), ShouldHaveLength, 7)
		seq := store.Seq()
		store.Put(999, newTestEntry("3", 999, `2`), 0, false)
		So(store.ChangedSince(seq), ShouldHaveLength, 1)
		So(store.ChangedSince(store.Seq()), ShouldBeEmpty)
	})
	Convey("An entry is forwarded a limited number of times, to other zones once, and a large one only as its version", t, func() {
		store := NewStore()
		store.Put(1, newTestEntry("small", 1, `1`), 2, true)
		store.Put(1, newTestEntry("large", 1, `"`+string(make([]byte, maxInlineValue))+`"`), 2, false)
		sameZone, otherZones := store.TakePending()
		So(sameZone.Inline, ShouldHaveLength, 1)
		So(sameZone.Advertised, ShouldHaveLength, 1)
		So(otherZones.Inline, ShouldHaveLength, 1)
		sameZone, otherZones = store.TakePending()
		So(sameZone.Empty(), ShouldBeFalse)
		So(otherZones.Empty(), ShouldBeTrue)
		So(store.NothingPending(), ShouldBeTrue)
		So(store.Missing([]EntryVersion{{"small", 1}, {"small", 2}, {"x", 1}}), ShouldResemble, []string{"small", "x"})
	})
	Convey("An entry that was removed and is stored again is forwarded once a message", t, func() {
		store := NewStore()
		store.Put(1, newTestEntry("k", 1, `1`), 2, true)
		store.Remove("k")
		So(store.NothingPending(), ShouldBeTrue)
		store.Put(2, newTestEntry("k", 2, `1`), 2, true)
		for range 2 {
			sameZone, _ := store.TakePending()
			So(sameZone.Inline, ShouldHaveLength, 1)
		}
		So(store.NothingPending(), ShouldBeTrue)
	})
	Convey("Two stores that compare digests converge, and equal stores exchange nothing", t, func() {
		rng := rand.New(rand.NewPCG(3, 4))
		for range 200 {
			local, remote := NewStore(), NewStore()
			for i := range 80 {
				entry := newTestEntry(fmt.Sprint(rng.IntN(60)), rng.Uint64N(9)+1, `1`)
				if entry.Version > 7 { // equal versions of a key must have equal values
					entry.Value = nil
				}
				[]*Store{local, remote}[rng.IntN(2)].Put(int64(i), entry, 1, false)
			}
			for range 2 { // local calls remote, as two processes would
				versions, buckets := remote.VersionsWhereDifferent(local.Digest())
				newer, want := local.Diff(versions, buckets)
				for _, entry := range newer {
					remote.Put(99, entry, 1, false)
				}
				for _, entry := range remote.GetAll(want) {
					local.Put(99, entry, 1, false)
				}
			}
			if local.Digest() != remote.Digest() {
				t.Fatal("digests still differ")
			}
			versions, buckets := remote.VersionsWhereDifferent(local.Digest())
			if len(versions)+len(buckets) > 0 {
				t.Fatal("equal stores report differences")
			}
			local.RangeSorted(func(entry Entry) {
				if other, known := remote.Get(entry.Key); !entry.Deleted() && (!known || other.Version != entry.Version) {
					t.Fatalf("%v in the local store and %v in the remote one", entry, other)
				}
			})
		}
	})
}
