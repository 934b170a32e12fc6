package antientropy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRepair(t *testing.T) {
	Convey("An outdated replica is repaired once per interval, and a newer one never", t, func() {
		repairer := New(DefaultConfig)
		So(repairer.ShouldRepair(1, "a", 3, 5), ShouldBeTrue)
		So(repairer.ShouldRepair(2, "a", 3, 5), ShouldBeFalse)
		So(repairer.ShouldRepair(1+DefaultConfig.RepairInterval, "a", 3, 5), ShouldBeTrue)
		So(repairer.ShouldRepair(2+DefaultConfig.RepairInterval, "a", 5, 5), ShouldBeFalse) // up to date
		So(repairer.ShouldRepair(3+DefaultConfig.RepairInterval, "a", 5, 6), ShouldBeTrue)  // outdated again
		So(repairer.ShouldRepair(3, "b", 9, 5), ShouldBeFalse)
		for i := range 4 * DefaultConfig.MaxTracked {
			repairer.ShouldRepair(int64(i), fmt.Sprint(i), 1, 2)
		}
		So(len(repairer.repairedAt), ShouldBeLessThanOrEqualTo, DefaultConfig.MaxTracked)
	})
	Convey("The sweep checks each replica once per round while replicas are added and removed", t, func() {
		rng := rand.New(rand.NewPCG(1, 1))
		var replicas []string
		for i := range 40 {
			replicas = append(replicas, fmt.Sprintf("%03d", i*7))
		}
		repairer := New(DefaultConfig)
		checks := make(map[string]int)
		now := int64(0)
		for repairer.Stats().Rounds < 4 {
			if replica, due := repairer.Sweep(now, replicas); due {
				checks[replica]++
			}
			now += DefaultConfig.SweepInterval
			toggled := fmt.Sprintf("%03d", 1+rng.IntN(250)/7*7)
			if i := slices.Index(replicas, toggled); i >= 0 {
				replicas = slices.Delete(replicas, i, i+1)
			} else {
				replicas = append(replicas, toggled)
			}
		}
		for i := range 40 {
			So(checks[fmt.Sprintf("%03d", i*7)], ShouldBeBetweenOrEqual, 3, 5)
		}
		_, due := repairer.Sweep(now-DefaultConfig.SweepInterval, replicas)
		So(due, ShouldBeFalse)
	})
}
