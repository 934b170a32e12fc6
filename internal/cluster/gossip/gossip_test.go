package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func item(key string, rank uint64, body string) Entry {
	return Entry{Key: key, Version: rank, Value: []byte(body)}
}

func TestBook(t *testing.T) {
	Convey("The higher rank counts, whatever the order", t, func() {
		b := NewStore()
		So(b.Put(1, item("k", 5, `1`), 2, true), ShouldBeTrue)
		So(b.Put(2, item("k", 4, `0`), 2, true), ShouldBeFalse)
		So(b.Put(3, item("k", 5, `9`), 2, true), ShouldBeFalse)
		got, _ := b.Get("k")
		So(string(got.Value), ShouldEqual, "1")
		So(b.Put(4, Entry{Key: "k", Version: 6}, 2, true), ShouldBeTrue)
		got, known := b.Get("k")
		So(known && got.Deleted(), ShouldBeTrue)
		b.PurgeTombstones(4 + tombstoneLifetime + 1)
		So(b.Len(), ShouldEqual, 0)
	})
	Convey("Since tells what changed, each key once", t, func() {
		b := NewStore()
		for i := range 500 {
			b.Put(int64(i), item(fmt.Sprint(i%7), uint64(i), `1`), 0, false)
		}
		So(b.ChangedSince(0), ShouldHaveLength, 7)
		at := b.Seq()
		b.Put(999, item("3", 999, `2`), 0, false)
		So(b.ChangedSince(at), ShouldHaveLength, 1)
		So(b.ChangedSince(b.Seq()), ShouldBeEmpty)
	})
	Convey("News is passed on so often, wide news to other zones once, and large news by its rank", t, func() {
		b := NewStore()
		b.Put(1, item("small", 1, `1`), 2, true)
		b.Put(1, item("large", 1, `"`+string(make([]byte, maxInlineValue))+`"`), 2, false)
		near, wide := b.TakePending()
		So(near.Inline, ShouldHaveLength, 1)
		So(near.Advertised, ShouldHaveLength, 1)
		So(wide.Inline, ShouldHaveLength, 1)
		near, wide = b.TakePending()
		So(near.Empty(), ShouldBeFalse)
		So(wide.Empty(), ShouldBeTrue)
		So(b.NothingPending(), ShouldBeTrue)
		So(b.Missing([]EntryVersion{{"small", 1}, {"small", 2}, {"x", 1}}), ShouldResemble, []string{"small", "x"})
	})
	Convey("Two books that compare digests hold the same, and equal ones say nothing", t, func() {
		rng := rand.New(rand.NewPCG(3, 4))
		for range 200 {
			a, b := NewStore(), NewStore()
			for i := range 80 {
				x := item(fmt.Sprint(rng.IntN(60)), rng.Uint64N(9)+1, `1`)
				if x.Version > 7 { // of one rank there is one value
					x.Value = nil
				}
				[]*Store{a, b}[rng.IntN(2)].Put(int64(i), x, 1, false)
			}
			for range 2 { // a asks b, as processes do
				marks, buckets := b.VersionsWhereDifferent(a.Digest())
				news, want := a.Diff(marks, buckets)
				for _, x := range news {
					b.Put(99, x, 1, false)
				}
				for _, x := range b.GetAll(want) {
					a.Put(99, x, 1, false)
				}
			}
			if a.Digest() != b.Digest() {
				t.Fatal("digests still differ")
			}
			marks, buckets := b.VersionsWhereDifferent(a.Digest())
			if len(marks)+len(buckets) > 0 {
				t.Fatal("equal books have something to say")
			}
			a.RangeSorted(func(x Entry) {
				if y, known := b.Get(x.Key); !x.Deleted() && (!known || y.Version != x.Version) {
					t.Fatalf("%v and %v", x, y)
				}
			})
		}
	})
}
