package modelcheck

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var raced bool // with the race detector schedules are few: they are played elsewhere

// Whatever machines crash, lose their disks, are replaced, stall or are cut off, and whatever
// messages and operators do: nothing acknowledged is lost, reads find it, a number has one
// content, an epoch has one view; and once all is healed, orders are acknowledged in time.
func TestHolds(t *testing.T) {
	for _, p := range []Plan{
		{Machines: 3, Spare: 2, Faults: 1, Wipes: 3, Steps: 600},
		{Machines: 3, Faults: 1, Wipes: 2, Steps: 500},
		{Machines: 5, Spare: 2, Faults: 2, Wipes: 4, Steps: 900},
	} {
		Convey("No schedule breaks a rule", t, func() {
			if raced {
				found, _, _ := Search(p, 1, 60, nil)
				So(found, ShouldBeNil)
				return
			}
			found, seen, _ := Search(p, 1, 1500, nil)
			if found != nil {
				t.Logf("seed %d of %+v\n%s", found.Seed, p, found.Log)
				So(found.Err, ShouldBeNil)
			}
			So(seen.Acks, ShouldBeGreaterThan, 1500) // the schedules reach what they are for
			So(seen.Wipes, ShouldBeGreaterThan, 500)
			So(seen.Epochs, ShouldBeGreaterThan, 3000)
		})
	}
}

// The search bites: with any one rule left out it finds a schedule that shows it. Seeds
// begin a little before where a search from 1 finds one.
func TestBites(t *testing.T) {
	if raced {
		t.Skip("played without the race detector")
	}
	begin := map[string]uint64{"accepted-forgot": 3000}
	for name, breaks := range Mutants {
		Convey("Left out: "+name, t, func() {
			p := Plan{Machines: 3, Spare: 2, Faults: 1, Wipes: 3, Steps: 600, Breaks: breaks}
			if breaks.OrderByVersionOnly { // shown by operators and crashes alone
				p.Spare, p.Wipes = 0, 0
			}
			found, _, played := Search(p, max(begin[name], 1), 4000, nil)
			So(found, ShouldNotBeNil)
			t.Logf("%s: after %d schedules, %d steps: %v", name, played, len(found.Steps), found.Err)
		})
	}
}

// Schedules that once broke a rule of the shipped code, by what they showed.
func TestOnceFound(t *testing.T) {
	for what, plan := range map[string]struct {
		Plan
		seed uint64
	}{
		"a learner whose members were all replaced while it was cut off was never told the view": {
			Plan{Machines: 3, Spare: 2, Faults: 1, Wipes: 3, Steps: 600}, 1_027_538},
		"a member that was cut off while all others that it knew went never met the new ones": {
			Plan{Machines: 3, Spare: 2, Faults: 1, Wipes: 3, Steps: 600}, 1_042_141},
		"one content taken twice, after different orders, passed for one entry": {
			Plan{Machines: 3, Spare: 2, Faults: 1, Wipes: 3, Steps: 600}, 1_037_537},
		"a replacement beside a dead member left no majority": {
			Plan{Machines: 3, Spare: 2, Faults: 1, Wipes: 3, Steps: 600}, 53},
		"two contents of one number were both read": {
			Plan{Machines: 3, Faults: 1, Steps: 600}, 373},
	} {
		Convey("No more: "+what, t, func() {
			p := plan.Of(plan.seed)
			_, err := Play(p, Draw(p, plan.seed), false)
			So(err, ShouldBeNil)
		})
	}
}
