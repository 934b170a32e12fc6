package plan

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func smallPlan(seed uint64) *Plan {
	return &Plan{Seed: seed, LengthS: 120, Cores: 3, Fronts: 4, Zones: 2, Changes: 5, Routes: 10, Requests: 40}
}

func TestPlan(t *testing.T) {
	Convey("A seed always generates the same plan, which is valid, ends without faults and can be read back", t, func() {
		kinds := make(map[Kind]bool)
		for seed := range uint64(100) {
			one, two := smallPlan(seed), smallPlan(seed)
			one.Generate()
			two.Generate()
			So(one, ShouldResemble, two)
			So(one.Validate(), ShouldBeNil)
			var text strings.Builder
			So(one.Write(&text), ShouldBeNil)
			reread, err := Read(strings.NewReader(text.String()))
			So(err, ShouldBeNil)
			So(reread, ShouldResemble, one)
			for _, f := range one.Faults {
				kinds[f.Kind] = true
				So(f.AtS+f.ForS, ShouldBeLessThanOrEqualTo, one.LengthS-lastFaultS+0.01)
			}
		}
		So(len(kinds), ShouldEqual, len(Kinds))
	})
	Convey("An invalid plan is rejected with the name of the field", t, func() {
		for want, change := range map[string]func(p *Plan){
			"length_s":              func(p *Plan) { p.LengthS = 0 },
			"cores, fronts":         func(p *Plan) { p.Fronts = 200 },
			"zones":                 func(p *Plan) { p.Zones = 0 },
			"changes":               func(p *Plan) { p.Changes = -1 },
			"faults[0].kind":        func(p *Plan) { p.Faults = []Fault{{Kind: "x", Machines: []string{"core-1"}}} },
			"faults[0].machines":    func(p *Plan) { p.Faults = []Fault{{Kind: Wipe, Machines: []string{"front-1"}}} },
			"is no machine":         func(p *Plan) { p.Faults = []Fault{{Kind: Kill, Machines: []string{"core-9"}}} },
			"faults[0].at_s":        func(p *Plan) { p.Faults = []Fault{{Kind: Kill, Machines: []string{"core-1"}, AtS: 999}} },
			"faults[0].program":     func(p *Plan) { p.Faults = []Fault{{Kind: Kill, Machines: []string{"core-1"}, Program: "x"}} },
			"requests: more than 0": func(p *Plan) { p.Requests = 0 },
			"routes: 0 to":          func(p *Plan) { p.Routes = -1 },
		} {
			p := smallPlan(1)
			change(p)
			err := p.Validate()
			So(errors.Is(err, ErrPlan), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, want)
		}
		_, err := Read(strings.NewReader("seed = 1\nlengths = 3\n"))
		So(err.Error(), ShouldContainSubstring, "lengths")
	})
}
