package antientropy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMend(t *testing.T) {
	Convey("A copy found old is mended, not over and over, and never one that is newer", t, func() {
		m := New(DefaultConfig)
		So(m.ShouldRepair(1, "a", 3, 5), ShouldBeTrue)
		So(m.ShouldRepair(2, "a", 3, 5), ShouldBeFalse)
		So(m.ShouldRepair(1+DefaultConfig.RepairInterval, "a", 3, 5), ShouldBeTrue)
		So(m.ShouldRepair(2+DefaultConfig.RepairInterval, "a", 5, 5), ShouldBeFalse) // mended
		So(m.ShouldRepair(3+DefaultConfig.RepairInterval, "a", 5, 6), ShouldBeTrue)  // old again
		So(m.ShouldRepair(3, "b", 9, 5), ShouldBeFalse)
		for i := range 4 * DefaultConfig.MaxTracked {
			m.ShouldRepair(int64(i), fmt.Sprint(i), 1, 2)
		}
		So(len(m.repairedAt), ShouldBeLessThanOrEqualTo, DefaultConfig.MaxTracked)
	})
	Convey("The sweep looks at each copy once a round, whoever comes and goes", t, func() {
		rng := rand.New(rand.NewPCG(1, 1))
		var copies []string
		for i := range 40 {
			copies = append(copies, fmt.Sprintf("%03d", i*7))
		}
		m := New(DefaultConfig)
		looks := make(map[string]int)
		now := int64(0)
		for m.Stats().Rounds < 4 {
			if c, due := m.Sweep(now, copies); due {
				looks[c]++
			}
			now += DefaultConfig.SweepInterval
			extra := fmt.Sprintf("%03d", 1+rng.IntN(250)/7*7)
			if i := slices.Index(copies, extra); i >= 0 {
				copies = slices.Delete(copies, i, i+1)
			} else {
				copies = append(copies, extra)
			}
		}
		for i := range 40 {
			So(looks[fmt.Sprintf("%03d", i*7)], ShouldBeBetweenOrEqual, 3, 5)
		}
		_, due := m.Sweep(now-DefaultConfig.SweepInterval, copies)
		So(due, ShouldBeFalse)
	})
}
