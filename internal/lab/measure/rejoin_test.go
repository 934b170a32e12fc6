package measure

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Processes that recorded each other as dead must find each other again (issue 52): 5 s after the
// end of a separation machines count as in contact, and what was announced 3 s before must be in
// force.
func TestRejoin(t *testing.T) {
	plans := []struct {
		name string
		RejoinPlan
	}{
		{"a small fleet", RejoinPlan{Processes: 12, Cores: 3, Zones: 3, Runs: 5}},
		{"five core machines", RejoinPlan{Processes: 14, Cores: 5, Zones: 3, Runs: 5}},
		{"longer than deaths are remembered", RejoinPlan{Processes: 14, Cores: 5, Zones: 3, Runs: 2, Span: 150 * time.Second}},
		{"six zones", RejoinPlan{Processes: 65, Cores: 5, Zones: 6, Runs: 2}},
		{"a tenth of the calls lost", RejoinPlan{Processes: 14, Cores: 5, Zones: 3, Runs: 5, Loss: 0.1}},
	}
	for _, c := range plans {
		plan := c.RejoinPlan
		plan.Servers, plan.Seed, plan.Delays = 40, 1, DefaultDelays
		Convey("After each separation all processes receive an announcement in time, and know each other: "+c.name, t, func() {
			for _, row := range MeasureRejoin(plan) {
				t.Logf("%s: %s: reached %v; met %v; never %d; calls %.1f", c.name, row.Separation, row.Reached, row.Met, row.Never, row.MostCalls)
				So(row.Never, ShouldEqual, 0)
				So(row.Reached.At(1), ShouldBeLessThan, 3*time.Second)
				So(row.Met.At(1), ShouldBeLessThan, 10*time.Second)
				So(row.MostCalls, ShouldBeLessThan, 20)
			}
		})
	}
}
