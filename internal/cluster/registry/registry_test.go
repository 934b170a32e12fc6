package registry

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/cluster/gossip"
)

func beat(seq int64, state string) Heartbeat {
	return Heartbeat{Service: "s", Addr: "10.0.0.1:80", Zone: "z", Capacity: 3, State: state, Sequence: seq}
}

func TestRoster(t *testing.T) {
	none := gossip.Entry{}
	Convey("A beat is news once; only what changes is news again", t, func() {
		r := New("k1", 1000)
		first, is, err := r.HandleHeartbeat(1, "i", beat(1, "available"), none, false)
		So(is && err == nil, ShouldBeTrue)
		_, is, _ = r.HandleHeartbeat(2, "i", beat(2, "available"), first, true)
		So(is, ShouldBeFalse)
		drain, is, _ := r.HandleHeartbeat(3, "i", beat(3, "draining"), first, true)
		So(is && drain.Version > first.Version, ShouldBeTrue)
		_, is, _ = r.HandleHeartbeat(4, "i", beat(2, "available"), drain, true) // late
		So(is, ShouldBeFalse)
		left := r.HandleDeregister("i")
		So(left.Deleted() && left.Version > drain.Version, ShouldBeTrue)
		_, is, _ = r.HandleHeartbeat(5, "i", beat(9, "available"), left, true)
		So(is, ShouldBeFalse)
	})
	Convey("Silence here is contradicted by whoever has heard a later beat", t, func() {
		a, b := New("a", 1000), New("b", 1000)
		first, _, _ := a.HandleHeartbeat(0, "i", beat(1, "available"), none, false)
		moved, is, _ := b.HandleHeartbeat(900, "i", beat(2, "available"), first, true)
		So(is, ShouldBeTrue) // another hears it now
		silent := a.Tick(1500)
		So(silent, ShouldHaveLength, 1)
		So(silent[0].Version, ShouldBeLessThan, moved.Version)
		_, is = a.HandleUpdate(1500, moved)
		So(is, ShouldBeFalse)
		// Even where the news of silence ranks above what b has said so far.
		b.HandleHeartbeat(1600, "i", beat(4, "available"), moved, true)
		late := gossip.Entry{Key: Prefix + "i", Version: 3<<versionShift | silentBit, Value: []byte(`{"s":"s","t":2,"b":"a"}`)}
		again, is := b.HandleUpdate(1700, late)
		So(is && again.Version > late.Version, ShouldBeTrue)
	})
	Convey("A beat that can't be is refused", t, func() {
		r := New("k", 1000)
		for _, b := range []Heartbeat{{}, beat(-1, "available"), beat(1, "resting"), {Service: "s", Addr: "nowhere", State: "available"}} {
			_, _, err := r.HandleHeartbeat(1, "i", b, none, false)
			So(err, ShouldNotBeNil)
		}
	})
	Convey("Whatever order beats and news come in, ranks only rise and a life that left stays gone", t, func() {
		rng := rand.New(rand.NewPCG(1, 2))
		for range 300 {
			rs := []*Registry{New("a", 500), New("b", 500), New("c", 500)}
			books := []*gossip.Store{gossip.NewStore(), gossip.NewStore(), gossip.NewStore()}
			seq, now, gone := int64(0), int64(0), false
			for range 60 {
				now += rng.Int64N(200)
				i := rng.IntN(3)
				held, known := books[i].Get(Prefix + "i")
				switch rng.IntN(6) {
				case 0, 1:
					seq++
					state := "available"
					if rng.IntN(4) == 0 {
						state = "draining"
					}
					if news, is, err := rs[i].HandleHeartbeat(now, "i", beat(seq-rng.Int64N(2), state), held, known); err == nil && is {
						books[i].Put(now, news, 1, false)
					}
				case 2:
					for _, news := range rs[i].Tick(now) {
						books[i].Put(now, news, 1, false)
					}
				case 3:
					if rng.IntN(10) == 0 {
						gone = true
						books[i].Put(now, rs[i].HandleDeregister("i"), 1, false)
					}
				default:
					if item, ok := books[rng.IntN(3)].Get(Prefix + "i"); ok && books[i].Put(now, item, 1, false) {
						if news, is := rs[i].HandleUpdate(now, item); is {
							books[i].Put(now, news, 1, false)
						}
					}
				}
				if after, ok := books[i].Get(Prefix + "i"); known && (!ok || after.Version < held.Version || held.Deleted() && !after.Deleted()) {
					t.Fatalf("went back from %+v to %+v", held, after)
				}
			}
			_ = gone
		}
	})
}
