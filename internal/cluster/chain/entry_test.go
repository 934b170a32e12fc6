package chain

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// An operator's bytes come back as they were, whatever they are; and what an older
// program kept on its disk is read.
func TestEntryForm(t *testing.T) {
	Convey("An entry keeps its bytes", t, func() {
		for _, raw := range []string{"", "{\"a\":\"<\\u00e9>&\u2028\"}\r\n\t", "\xff\xfe not text", "a\x00b", "\ufffd"} {
			text, err := json.Marshal(Entry{Rank: 7, Raw: []byte(raw)})
			So(err, ShouldBeNil)
			var back Entry
			So(json.Unmarshal(text, &back), ShouldBeNil)
			So(back.Rank, ShouldEqual, uint64(7))
			So(string(back.Raw), ShouldEqual, raw)
		}
		var old Entry
		So(json.Unmarshal([]byte(`{"r":9,"w":"eyJhIjoxfQ=="}`), &old), ShouldBeNil)
		So(string(old.Raw), ShouldEqual, `{"a":1}`)
		So(json.Unmarshal([]byte(`{"r":9,"w":"%"}`), &old), ShouldNotBeNil)
	})
}

// An entry goes whole to each member once, however slow the chain is, and again only to one
// that says that it lacks it.
func TestSentOnce(t *testing.T) {
	Convey("Of a chain of four whose tail is silent for a while", t, func() {
		var view View
		machines := make(map[Member]*Machine)
		for i := range 4 {
			x := Member{Addr: fmt.Sprint("m", i), Disk: "d"}
			view.Members = append(view.Members, x)
			machines[x] = New(Config{Resend: 500, Stuck: 1200, Wait: 5000}, x, Entry{}, "n", Breaks{})
		}
		view.Epoch, view.Chain = 1, view.Members
		now, whole := int64(1000), make(map[Kind]int)
		var results []Result
		lost := func(Message) bool { return false }
		run := func(until int64) {
			for ; now < until; now += 50 {
				for more := true; more; {
					more = false
					for _, x := range view.Members {
						msgs, told := machines[x].Take()
						results = append(results, told...)
						for _, msg := range msgs {
							if msg.Entry != nil && msg.From != msg.To {
								whole[msg.Kind]++
							}
							if more = true; !lost(msg) {
								machines[msg.To].Got(now, msg)
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
			machines[x].Adopt(now, view)
		}
		entry := Entry{Rank: 3 << MarkBits, Raw: []byte("three")}
		caller := machines[view.Members[2]]
		Convey("each is sent it once, and the caller is answered", func() {
			lost = func(m Message) bool { return now < 2500 && m.From == view.Tail() }
			caller.Put(now, entry)
			run(2500)
			So(results, ShouldBeEmpty)
			run(4000)
			So(results, ShouldHaveLength, 1)
			So(results[0].OK, ShouldBeTrue)
			So(whole, ShouldResemble, map[Kind]int{Enter: 1, Pass: 3})
			So(machines[view.Tail()].Held(), ShouldResemble, entry)
		})
		Convey("one that answers no rank is sent it whole now and then", func() {
			lost = func(m Message) bool {
				return m.Kind == Pass && m.To == view.Tail() && (m.Entry == nil || now < 2000) || m.Kind == Lacks
			}
			caller.Put(now, entry)
			run(5000)
			So(results, ShouldHaveLength, 1)
			So(results[0].OK, ShouldBeTrue)
			So(whole[Pass], ShouldBeBetweenOrEqual, 4, 9) // a round of three each two seconds
		})
		Convey("what was lost on its way is asked for", func() {
			lost = func(m Message) bool { return now < 1400 && (m.Kind == Pass || m.Kind == Enter) }
			caller.Put(now, entry)
			run(4000)
			So(results, ShouldHaveLength, 1)
			So(results[0].OK, ShouldBeTrue)
			So(whole[Enter], ShouldEqual, 2)
			So(whole[Pass], ShouldEqual, 3)
		})
		Convey("a member that held it alone in an earlier view passes on what its head asks for", func() {
			machines[view.Members[0]].Keep(entry)
			machines[view.Members[2]].Keep(entry)
			view.Epoch = 2
			for _, x := range view.Members {
				machines[x].Adopt(now, view)
			}
			caller.Put(now, entry)
			run(4000)
			So(results, ShouldHaveLength, 1)
			So(results[0].OK, ShouldBeTrue)
			for _, x := range view.Members {
				So(machines[x].Held(), ShouldResemble, entry)
			}
		})
	})
}
