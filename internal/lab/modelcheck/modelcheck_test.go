package modelcheck

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var raceEnabled bool // the race detector slows schedules down: few run with it, the full number without it

// No schedule of crashes, lost disks, replacements, stalls, cuts, lost messages and concurrent
// operators may break a rule: nothing acknowledged is lost, reads return it, a revision has one
// content, an epoch has one view, and once all faults are healed, orders are acknowledged in time.
func TestHolds(t *testing.T) {
	for _, p := range []Plan{
		{Machines: 3, Spare: 2, Faults: 1, Wipes: 3, Steps: 600},
		{Machines: 3, Faults: 1, Wipes: 2, Steps: 500},
		{Machines: 5, Spare: 2, Faults: 2, Wipes: 4, Steps: 900},
	} {
		Convey("No schedule breaks a rule", t, func() {
			if raceEnabled {
				found, _, _ := Search(p, 1, 60, nil)
				So(found, ShouldBeNil)
				return
			}
			found, seen, _ := Search(p, 1, 1500, nil)
			if found != nil {
				t.Logf("seed %d of %+v\n%s", found.Seed, p, found.Log)
				So(found.Err, ShouldBeNil)
			}
			So(seen.Acks, ShouldBeGreaterThan, 1500) // the schedules reach the states they are meant to test
			So(seen.Wipes, ShouldBeGreaterThan, 500)
			So(seen.Epochs, ShouldBeGreaterThan, 3000)
		})
	}
}

// With any one rule disabled, the search must find a schedule that breaks a rule. The seeds begin a
// little before the one at which a search from 1 finds it.
func TestBites(t *testing.T) {
	if raceEnabled {
		t.Skip("runs only without the race detector")
	}
	begin := map[string]uint64{"accepted-forgot": 3000}
	for name, breaks := range Mutants {
		Convey("Disabled rule: "+name, t, func() {
			p := Plan{Machines: 3, Spare: 2, Faults: 1, Wipes: 3, Steps: 600, Mutations: breaks}
			if breaks.OrderByVersionOnly { // found with concurrent operators and crashes alone
				p.Spare, p.Wipes = 0, 0
			}
			found, _, completed := Search(p, max(begin[name], 1), 4000, nil)
			So(found, ShouldNotBeNil)
			t.Logf("%s: after %d schedules, %d steps: %v", name, completed, len(found.Steps), found.Err)
		})
	}
}

// Schedules that once broke a rule in released code, by the fault that they showed.
func TestOnceFound(t *testing.T) {
	for what, plan := range map[string]struct {
		Plan
		seed uint64
	}{
		"a learner that was cut off while all members it knew were replaced never learned the new view": {
			Plan{Machines: 3, Spare: 2, Faults: 1, Wipes: 3, Steps: 600}, 1_027_538},
		"a member that was cut off while all members it knew were removed never found the new ones": {
			Plan{Machines: 3, Spare: 2, Faults: 1, Wipes: 3, Steps: 600}, 1_042_141},
		"one content accepted twice, after different orders, was treated as one entry": {
			Plan{Machines: 3, Spare: 2, Faults: 1, Wipes: 3, Steps: 600}, 1_037_537},
		"a replacement next to a dead member left no majority": {
			Plan{Machines: 3, Spare: 2, Faults: 1, Wipes: 3, Steps: 600}, 53},
		"two contents of one revision were both read": {
			Plan{Machines: 3, Faults: 1, Steps: 600}, 373},
	} {
		Convey("Fixed: "+what, t, func() {
			p := plan.Of(plan.seed)
			_, err := RunSchedule(p, Generate(p, plan.seed), false)
			So(err, ShouldBeNil)
		})
	}
}
