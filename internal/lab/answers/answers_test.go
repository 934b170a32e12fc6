package answers

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Whatever servers do with answers and connections, no caller gets another's answer, and
// what may run once does. `saddlectl measure answers` plays it at length.
func TestAnswersReachTheirCallers(t *testing.T) {
	Convey("Of thousands of requests to servers that answer in disorder", t, func() {
		p := DefaultPlan
		p.Requests, p.Clients = 4000, 32
		r, err := Run(p)
		So(err, ShouldBeNil)
		t.Log(r.String())
		So(r.WrongAnswers, ShouldBeEmpty)
		So(r.RanTwice, ShouldBeEmpty)
		So(r.FalseRefusals, ShouldBeEmpty)
		So(r.Served, ShouldBeGreaterThan, 1500)
		So(len(r.Faults), ShouldEqual, len(disorders)+1) // each disorder came about
	})
}

// The run bites: with a rule left out it finds what that rule forbids.
func TestRulesLeftOutAreFound(t *testing.T) {
	for name, breaks := range Mutants {
		Convey("Left out: "+name, t, func() {
			p := DefaultPlan
			p.Requests, p.Clients, p.Mutations = 4000, 32, breaks
			r, err := Run(p)
			So(err, ShouldBeNil)
			t.Log(name, r.String())
			So(r.OK(), ShouldBeFalse)
		})
	}
}
