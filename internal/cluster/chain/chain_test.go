package chain

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/views"
)

const (
	enter = envelope.Kind("enter")
	pass  = envelope.Kind("pass")
	lacks = envelope.Kind("lacks")
)

func kind(m envelope.Message) envelope.Kind { return m.Body.Kind() }

// carries tells whether a message has an entry with it.
func carries(body envelope.Body) bool {
	switch b := body.(type) {
	case UpdateRequest:
		return b.Entry != nil
	case Forward:
		return b.Entry != nil
	}
	return false
}

// An entry goes whole to each member once, however slow the chain is, and again only to one
// that says that it lacks it.
func TestSentOnce(t *testing.T) {
	Convey("Of a chain of four whose tail is silent for a while", t, func() {
		var view views.View
		machines := make(map[views.Member]*Machine)
		for i := range 4 {
			x := views.Member{Addr: fmt.Sprint("m", i), DiskID: "d"}
			view.Members = append(view.Members, x)
			machines[x] = New(Config{RetryInterval: 500, SuspectTimeout: 1200, CallTimeout: 5000}, x, Entry{}, "n", Mutations{})
		}
		view.Epoch, view.Chain = 1, view.Members
		now, whole := int64(1000), make(map[envelope.Kind]int)
		var results []Result
		lost := func(envelope.Message) bool { return false }
		run := func(until int64) {
			for ; now < until; now += 50 {
				for more := true; more; {
					more = false
					for _, x := range view.Members {
						msgs, told := machines[x].TakeOutput()
						results = append(results, told...)
						for _, msg := range msgs {
							if carries(msg.Body) && msg.From != msg.To {
								whole[msg.Body.Kind()]++
							}
							if more = true; !lost(msg) {
								machines[msg.To].Step(now, msg)
							}
						}
					}
				}
				for _, x := range view.Members {
					machines[x].Tick(now)
				}
			}
		}
		for _, x := range view.Members {
			machines[x].AdoptView(now, view)
		}
		entry := NewEntry(3, []byte("three"))
		caller := machines[view.Members[2]]
		Convey("each is sent it once, and the caller is answered", func() {
			lost = func(m envelope.Message) bool { return now < 2500 && m.From == view.Tail() }
			caller.Put(now, entry)
			run(2500)
			So(results, ShouldBeEmpty)
			run(4000)
			So(results, ShouldHaveLength, 1)
			So(results[0].OK(), ShouldBeTrue)
			So(whole, ShouldResemble, map[envelope.Kind]int{enter: 1, pass: 3})
			So(machines[view.Tail()].Stored().Digest, ShouldEqual, entry.Digest)
		})
		Convey("one that answers no rank is sent it whole now and then", func() {
			lost = func(m envelope.Message) bool {
				return kind(m) == pass && m.To == view.Tail() && (!carries(m.Body) || now < 2000) || kind(m) == lacks
			}
			caller.Put(now, entry)
			run(5000)
			So(results, ShouldHaveLength, 1)
			So(results[0].OK(), ShouldBeTrue)
			So(whole[pass], ShouldBeBetweenOrEqual, 4, 9) // a round of three each two seconds
		})
		Convey("what was lost on its way is asked for", func() {
			lost = func(m envelope.Message) bool { return now < 1400 && (kind(m) == pass || kind(m) == enter) }
			caller.Put(now, entry)
			run(4000)
			So(results, ShouldHaveLength, 1)
			So(results[0].OK(), ShouldBeTrue)
			So(whole[enter], ShouldEqual, 2)
			So(whole[pass], ShouldEqual, 3)
		})
		Convey("a member that held it alone in an earlier view passes on what its head asks for", func() {
			machines[view.Members[0]].Store(entry)
			machines[view.Members[2]].Store(entry)
			view.Epoch = 2
			for _, x := range view.Members {
				machines[x].AdoptView(now, view)
			}
			caller.Put(now, entry)
			run(4000)
			So(results, ShouldHaveLength, 1)
			So(results[0].OK(), ShouldBeTrue)
			for _, x := range view.Members {
				So(machines[x].Stored().Digest, ShouldEqual, entry.Digest)
				So(machines[x].Stored().Epoch, ShouldEqual, uint64(2))
			}
		})
	})
}
