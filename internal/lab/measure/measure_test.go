package measure

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGossip(t *testing.T) {
	Convey("What gossip costs a process does not grow with their number, and a drain reaches all processes in time", t, func() {
		small := MeasureGossip(GossipPlan{Processes: 14, Zones: 3, Servers: 40, Runs: 20, Seed: 1, Delays: DefaultDelays})
		large := MeasureGossip(GossipPlan{Processes: 65, Zones: 6, Servers: 120, Runs: 10, Seed: 1, Delays: DefaultDelays})
		So(small.Calls, ShouldBeBetween, 0.9, 1.5)
		So(large.Calls, ShouldBeBetween, 0.9, 1.5)
		So(large.Bytes, ShouldBeLessThan, small.Bytes*1.5)
		So(large.BusiestCalls, ShouldBeLessThan, 3)
		for _, n := range []GossipCost{small, large} {
			So(n.FalseDeaths, ShouldEqual, 0)
			So(n.Reached.At(1), ShouldBeLessThan, 3*time.Second)
			So(n.Noticed.At(1), ShouldBeLessThan, 16*time.Second)
			So(n.Joined.At(1), ShouldBeLessThan, 5*time.Second)
			t.Logf("%+v", n)
		}
	})
	Convey("With a tenth of the calls lost no live process is reported dead, and updates still reach all", t, func() {
		n := MeasureGossip(GossipPlan{Processes: 65, Zones: 6, Servers: 60, Loss: 0.1, Runs: 8, Seed: 2, Delays: DefaultDelays})
		So(n.FalseDeaths, ShouldEqual, 0)
		So(n.Reached.At(1), ShouldBeLessThan, 6*time.Second)
		t.Logf("%+v", n)
	})
}

func TestCore(t *testing.T) {
	Convey("After each loss the core acknowledges again within 4 s", t, func() {
		for _, plan := range []CorePlan{{Machines: 3, Faults: 1, Runs: 12, Seed: 1, Delays: DefaultDelays}, {Machines: 6, Faults: 2, Runs: 6, Seed: 1, Delays: DefaultDelays}} {
			for _, g := range MeasureCore(plan) {
				t.Logf("%d machines, %-26s %v", plan.Machines, g.Loss, g.Spans)
				So(g.Never, ShouldEqual, 0)
				So(g.Spans.At(1), ShouldBeLessThan, 4*time.Second)
			}
		}
	})
}

// A core machine that is cut off stops responding to its own callers and detects within 2 s that it
// has no quorum, while the others keep acknowledging orders. TestCatchUp: a machine that comes back
// after hundreds of orders needs no longer than after a few.
func TestCutOff(t *testing.T) {
	Convey("A machine at any position of the chain is cut off for 20 s", t, func() {
		for _, c := range MeasureCut(CorePlan{Machines: 4, Faults: 1, Runs: 5, Seed: 1, Delays: DefaultDelays}) {
			So(c.Never, ShouldEqual, 0)
			So(c.StaleReads, ShouldEqual, 0)
			So(c.LastAnswer.At(1), ShouldBeLessThan, 100*time.Millisecond)
			So(c.Aware.At(1), ShouldBeLessThan, 2*time.Second)
			So(c.AckedElsewhere.At(1), ShouldBeLessThan, 4*time.Second)
			So(c.Recovered.At(1), ShouldBeLessThan, time.Second)
		}
	})
}

func TestCatchUp(t *testing.T) {
	Convey("The time to catch up and the disk do not grow with the orders", t, func() {
		plan := CatchUpPlan{Core: CorePlan{Machines: 3, Faults: 1, Runs: 2, Seed: 1, Delays: DefaultDelays}, Orders: []int{100, 1000}, Bytes: 10_000}
		few, many := MeasureCatchUp(plan)[0], MeasureCatchUp(plan)[1]
		So(few.Never+many.Never, ShouldEqual, 0)
		So(many.Empty.At(1), ShouldBeLessThan, 2*few.Empty.At(1))
		So(many.Restarted.At(1), ShouldBeLessThan, time.Second)
		So(many.Disk, ShouldBeLessThan, 4096)
	})
}

func TestLaggards(t *testing.T) {
	Convey("A server that becomes slow is ejected by all proxies within seconds, a healthy one never", t, func() {
		l := MeasureOutliers(OutlierPlan{Proxies: 9, Zones: 3, Shards: 4, ServersPerShard: 4, Rate: 320, SlowFactor: 8, Runs: 4, HealthySpan: 2 * time.Minute, Seed: 1, Delays: DefaultDelays})
		So(l.FalseEjections, ShouldEqual, 0)
		So(l.IdleBytes, ShouldBeLessThan, 200)
		for _, r := range l.Rows {
			t.Logf("%-34s %v, %d never", r.What, r.Spans, r.Never)
		}
		t.Logf("%.0f bytes a second and proxy while one is slow; stale ejections for %v", l.Bytes, l.StaleFor)
		So(l.Rows[0].Never, ShouldEqual, 0)
		So(l.Rows[0].At(1), ShouldBeLessThan, 5*time.Second)
	})
}

func TestAllow(t *testing.T) {
	Convey("Callers that send ten times their allowances are limited to them by all proxies together", t, func() {
		for _, loss := range []float64{0, 0.1} {
			a := MeasureQuota(QuotaPlan{Proxies: 9, Callers: 10, Rate: 20, Burst: 5, DemandFactor: 10, Span: 15 * time.Second, Loss: loss, Seed: 1})
			t.Logf("%+v", a)
			So(a.Worst, ShouldBeBetween, 0.5, 1)
			So(a.AdmittedShare, ShouldBeBetween, 0.6, 1.05)
			So(a.Calls, ShouldBeBetween, 0.5, 1.5)
			So(a.Bytes, ShouldBeLessThan, 3000)
		}
	})
}
