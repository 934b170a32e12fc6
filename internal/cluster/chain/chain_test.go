package chain

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

const (
	updateRequestKind = envelope.Kind("enter")
	forwardKind       = envelope.Kind("pass")
	entryMissingKind  = envelope.Kind("lacks")
)

func kindOf(m envelope.Message) envelope.Kind { return m.Body.Kind() }

// carriesEntry reports whether a body carries an entry.
func carriesEntry(body envelope.Body) bool {
	switch b := body.(type) {
	case UpdateRequest:
		return b.Entry != nil
	case Forward:
		return b.Entry != nil
	}
	return false
}

// Guards against sending large entries repeatedly over a slow chain: each member is sent the
// complete entry once, and again only if it reports that it does not store it.
func TestEntrySentOnce(t *testing.T) {
	Convey("In a chain of four members", t, func() {
		var view views.View
		machines := make(map[views.Member]*Machine)
		for i := range 4 {
			member := views.Member{Addr: fmt.Sprint("m", i), DiskID: "d"}
			view.Members = append(view.Members, member)
			machines[member] = New(Config{RetryInterval: 500, SuspectTimeout: 1200, CallTimeout: 5000}, member, Entry{}, "n", Mutations{})
		}
		view.Epoch, view.Chain = 1, view.Members
		now, fullSends := int64(1000), make(map[envelope.Kind]int)
		var results []Result
		isLost := func(envelope.Message) bool { return false }
		run := func(until int64) {
			for ; now < until; now += 50 {
				for more := true; more; {
					more = false
					for _, member := range view.Members {
						msgs, answered := machines[member].TakeOutput()
						results = append(results, answered...)
						for _, msg := range msgs {
							if carriesEntry(msg.Body) && msg.From != msg.To {
								fullSends[msg.Body.Kind()]++
							}
							if more = true; !isLost(msg) {
								machines[msg.To].Step(now, msg)
							}
						}
					}
				}
				for _, member := range view.Members {
					machines[member].Tick(now)
				}
			}
		}
		for _, member := range view.Members {
			machines[member].AdoptView(now, view)
		}
		entry := NewEntry(3, []byte("three"))
		caller := machines[view.Members[2]]
		Convey("each member is sent the entry once and the caller is answered, although the messages of the tail are lost for a while", func() {
			isLost = func(m envelope.Message) bool { return now < 2500 && m.From == view.Tail() }
			caller.Put(now, entry)
			run(2500)
			So(results, ShouldBeEmpty)
			run(4000)
			So(results, ShouldHaveLength, 1)
			So(results[0].OK(), ShouldBeTrue)
			So(fullSends, ShouldResemble, map[envelope.Kind]int{updateRequestKind: 1, forwardKind: 3})
			So(machines[view.Tail()].Stored().Digest, ShouldEqual, entry.Digest)
		})
		Convey("a member that does not answer sends of the version alone is sent the complete entry occasionally", func() {
			isLost = func(m envelope.Message) bool {
				return kindOf(m) == forwardKind && m.To == view.Tail() && (!carriesEntry(m.Body) || now < 2000) || kindOf(m) == entryMissingKind
			}
			caller.Put(now, entry)
			run(5000)
			So(results, ShouldHaveLength, 1)
			So(results[0].OK(), ShouldBeTrue)
			So(fullSends[forwardKind], ShouldBeBetweenOrEqual, 4, 9) // three complete sends, one per hop, every two seconds
		})
		Convey("an entry that was lost is requested again", func() {
			isLost = func(m envelope.Message) bool {
				return now < 1400 && (kindOf(m) == forwardKind || kindOf(m) == updateRequestKind)
			}
			caller.Put(now, entry)
			run(4000)
			So(results, ShouldHaveLength, 1)
			So(results[0].OK(), ShouldBeTrue)
			So(fullSends[updateRequestKind], ShouldEqual, 2)
			So(fullSends[forwardKind], ShouldEqual, 3)
		})
		Convey("a member that stored the entry in an earlier view forwards it when the head confirms it in the new one", func() {
			machines[view.Members[0]].Store(entry)
			machines[view.Members[2]].Store(entry)
			view.Epoch = 2
			for _, member := range view.Members {
				machines[member].AdoptView(now, view)
			}
			caller.Put(now, entry)
			run(4000)
			So(results, ShouldHaveLength, 1)
			So(results[0].OK(), ShouldBeTrue)
			for _, member := range view.Members {
				So(machines[member].Stored().Digest, ShouldEqual, entry.Digest)
				So(machines[member].Stored().Epoch, ShouldEqual, uint64(2))
			}
		})
	})
}
