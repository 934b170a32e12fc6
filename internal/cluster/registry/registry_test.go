package registry

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/cluster/gossip"
)

func heartbeat(seq int64, state string) Heartbeat {
	return Heartbeat{Service: "s", Addr: "10.0.0.1:80", Zone: "z", Capacity: 3, State: state, Sequence: seq}
}

// Late heartbeats and late gossip neither restore a deregistered server nor make one unresponsive
// that another machine still hears.
func TestRegistry(t *testing.T) {
	none := gossip.Entry{}
	Convey("A heartbeat is gossiped once, and again only if it changes something", t, func() {
		r := New("k1", 1000)
		first, changed, err := r.HandleHeartbeat(1, "i", heartbeat(1, "available"), none, false)
		So(changed && err == nil, ShouldBeTrue)
		_, changed, _ = r.HandleHeartbeat(2, "i", heartbeat(2, "available"), first, true)
		So(changed, ShouldBeFalse)
		draining, changed, _ := r.HandleHeartbeat(3, "i", heartbeat(3, "draining"), first, true)
		So(changed && draining.Version > first.Version, ShouldBeTrue)
		_, changed, _ = r.HandleHeartbeat(4, "i", heartbeat(2, "available"), draining, true) // delayed
		So(changed, ShouldBeFalse)
		deregistered := r.HandleDeregister("i")
		So(deregistered.Deleted() && deregistered.Version > draining.Version, ShouldBeTrue)
		_, changed, _ = r.HandleHeartbeat(5, "i", heartbeat(9, "available"), deregistered, true)
		So(changed, ShouldBeFalse)
	})
	Convey("A machine that has received a later heartbeat corrects a report that the server is unresponsive", t, func() {
		a, b := New("a", 1000), New("b", 1000)
		first, _, _ := a.HandleHeartbeat(0, "i", heartbeat(1, "available"), none, false)
		moved, changed, _ := b.HandleHeartbeat(900, "i", heartbeat(2, "available"), first, true)
		So(changed, ShouldBeTrue) // the other machine receives its heartbeats now
		unresponsive := a.Tick(1500)
		So(unresponsive, ShouldHaveLength, 1)
		So(unresponsive[0].Version, ShouldBeLessThan, moved.Version)
		_, changed = a.HandleUpdate(1500, moved)
		So(changed, ShouldBeFalse)
		// Also if the report has a higher version than the entry that b gossiped last.
		b.HandleHeartbeat(1600, "i", heartbeat(4, "available"), moved, true)
		report := gossip.Entry{Key: Prefix + "i", Version: 3<<versionShift | unresponsiveBit, Value: []byte(`{"s":"s","t":2,"b":"a"}`)}
		correction, changed := b.HandleUpdate(1700, report)
		So(changed && correction.Version > report.Version, ShouldBeTrue)
	})
	Convey("An invalid heartbeat is rejected", t, func() {
		r := New("k", 1000)
		for _, b := range []Heartbeat{{}, heartbeat(-1, "available"), heartbeat(1, "resting"), {Service: "s", Addr: "nowhere", State: "available"}} {
			_, _, err := r.HandleHeartbeat(1, "i", b, none, false)
			So(err, ShouldNotBeNil)
		}
	})
	Convey("In any order of heartbeats and updates, versions only rise and a deregistered incarnation is not restored", t, func() {
		rng := rand.New(rand.NewPCG(1, 2))
		for range 300 {
			registries := []*Registry{New("a", 500), New("b", 500), New("c", 500)}
			stores := []*gossip.Store{gossip.NewStore(), gossip.NewStore(), gossip.NewStore()}
			seq, now, hasLeft := int64(0), int64(0), false
			for range 60 {
				now += rng.Int64N(200)
				i := rng.IntN(3)
				stored, known := stores[i].Get(Prefix + "i")
				switch rng.IntN(6) {
				case 0, 1:
					seq++
					state := "available"
					if rng.IntN(4) == 0 {
						state = "draining"
					}
					if update, changed, err := registries[i].HandleHeartbeat(now, "i", heartbeat(seq-rng.Int64N(2), state), stored, known); err == nil && changed {
						stores[i].Put(now, update, 1, false)
					}
				case 2:
					for _, update := range registries[i].Tick(now) {
						stores[i].Put(now, update, 1, false)
					}
				case 3:
					if rng.IntN(10) == 0 {
						hasLeft = true
						stores[i].Put(now, registries[i].HandleDeregister("i"), 1, false)
					}
				default:
					if received, ok := stores[rng.IntN(3)].Get(Prefix + "i"); ok && stores[i].Put(now, received, 1, false) {
						if update, changed := registries[i].HandleUpdate(now, received); changed {
							stores[i].Put(now, update, 1, false)
						}
					}
				}
				if after, ok := stores[i].Get(Prefix + "i"); known && (!ok || after.Version < stored.Version || stored.Deleted() && !after.Deleted()) {
					t.Fatalf("entry went back from %+v to %+v", stored, after)
				}
			}
			_ = hasLeft
		}
	})
}
