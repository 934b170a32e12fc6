package answers

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a response that reaches another client and a non-idempotent request that
// runs twice, with servers that respond late, twice, truncated or not at all.
// `saddlectl measure answers` runs it at length.
func TestAnswersReachTheirCallers(t *testing.T) {
	Convey("Thousands of requests to faulty servers each get their own response", t, func() {
		p := DefaultPlan
		p.Requests, p.Clients = 4000, 32
		r, err := Run(p)
		So(err, ShouldBeNil)
		t.Log(r.String())
		So(r.WrongAnswers, ShouldBeEmpty)
		So(r.RanTwice, ShouldBeEmpty)
		So(r.FalseRefusals, ShouldBeEmpty)
		So(r.Served, ShouldBeGreaterThan, 1500)
		So(len(r.Faults), ShouldEqual, len(serverFaults)+1) // each fault occurred
	})
}

// Checks that the run can fail: with a rule switched off it finds the violations that the
// rule prevents.
func TestDisabledRulesAreFound(t *testing.T) {
	for name, mutations := range Mutants {
		Convey("Rule switched off: "+name, t, func() {
			p := DefaultPlan
			p.Requests, p.Clients, p.Mutations = 4000, 32, mutations
			r, err := Run(p)
			So(err, ShouldBeNil)
			t.Log(name, r.String())
			So(r.OK(), ShouldBeFalse)
		})
	}
}
