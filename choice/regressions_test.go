package choice

import (
	"fmt"
	"slices"
	"testing"
)

func TestQueryIsRejectedCompletelyWhenAShardHasNoCapacity(t *testing.T) {
	h := newListedHarness(t, 1, nil)
	var last []Action
	for range 20 {
		_, events := h.newQuery("all", 0, 1, 2)
		last = h.step(events...)
	}
	if len(actionsOf[Refuse](last)) != 1 || len(actionsOf[Send](last)) != 0 {
		t.Fatalf("with every window full: %v", last)
	}
	if actionsOf[Refuse](last)[0].RetryAfter == 0 {
		t.Fatal("Refuse without RetryAfter")
	}
}

func TestFailedPlanReleasesItsReservations(t *testing.T) {
	h := newListedHarness(t, 1, nil)
	for range 50 {
		_, events := h.newQuery("all", 0, 1, 2)
		h.step(events...)
	}
	for id, s := range h.router.servers {
		if float64(s.reserved) > s.window {
			t.Errorf("%s has %d reserved, over a window of %.1f", id, s.reserved, s.window)
		}
	}
}

func TestClassSendsMoreThanRequiredAndIsAnsweredWhenThatIsServed(t *testing.T) {
	h := newListedHarness(t, 2, nil)
	_, events := h.newQuery("some", 0, 1, 2, 3)
	sends := actionsOf[Send](h.step(events...))
	if len(sends) <= 2 {
		t.Fatalf("%d parts sent, want more than the 2 required", len(sends))
	}
	h.finish(sends[0], 0, Served)
	actions := h.finish(sends[1], 0, Served)
	if a := actionsOf[Answer](actions); len(a) != 1 || !a[0].Whole || len(actionsOf[Cancel](actions)) != len(sends)-2 {
		t.Fatalf("with 2 served: %v", actions)
	}
}

func TestIdleWindowDoesNotGrow(t *testing.T) {
	h := newListedHarness(t, 1, nil)
	h.serveQueries(100, 10*ms, 0)
	for id, s := range h.router.servers {
		if s.window > initialWindow {
			t.Errorf("%s: window %.1f after one part at a time", id, s.window)
		}
	}
}

func TestFastErrorsAttractNoTraffic(t *testing.T) {
	h := newListedHarness(t, 1, func(s *Settings) { s.AttemptCap = 2 })
	got := map[string]int{}
	for range 300 {
		h.now += 20 * ms
		_, events := h.newQuery("all", 0)
		for _, s := range actionsOf[Send](h.step(events...)) {
			got[s.Server]++
			if s.Server != "c0-0" {
				h.now += 5 * ms
				h.finish(s, 0, Served)
				continue
			}
			for _, again := range actionsOf[Send](h.finish(s, 0, ServerError)) {
				h.finish(again, 1, Served)
			}
		}
	}
	if got["c0-0"] == 0 || got["c0-0"] > 30 {
		t.Fatalf("the failing server got %d of 300 first sends, want 1 to 30", got["c0-0"])
	}
}

func TestUnresponsiveServerIsSuspectedBeforeItsTimeout(t *testing.T) {
	h := newListedHarness(t, 1, nil)
	_, events := h.newQuery("all", 0)
	s := actionsOf[Send](h.step(events...))[0]
	h.advance(600 * ms)
	if !h.router.isSuspect(h.router.servers[s.Server], h.router.classes["all"]) {
		t.Fatal("an overdue part with nothing served since did not make its server a suspect")
	}
}

func TestLatePartDoesNotMakeAServerThatServesASuspect(t *testing.T) {
	h := newListedHarness(t, 1, func(s *Settings) { s.Cells, s.Width, s.Shards = 1, 1, 1 })
	_, events := h.newQuery("all", 0)
	h.step(events...)
	for range 30 {
		h.now += 20 * ms
		_, events := h.newQuery("all", 0)
		for _, s := range actionsOf[Send](h.step(events...)) {
			h.finish(s, 0, Served)
		}
	}
	if h.router.isSuspect(h.router.servers["c0-0"], h.router.classes["all"]) {
		t.Fatal("one heavy part made a server that serves others a suspect")
	}
}

func TestHeavyQueriesDoNotMakeServersSuspects(t *testing.T) {
	h := newListedHarness(t, 1, nil)
	h.serveQueries(50, 20*ms, 0, 1, 2, 3)
	for range 20 {
		_, events := h.newQuery("all", 0, 1, 2, 3)
		sends := actionsOf[Send](h.step(events...))
		h.now += 150 * ms
		for _, s := range sends {
			h.finish(s, 0, Served)
		}
		h.serveQueries(2, 20*ms, 0, 1, 2, 3)
	}
	for id, s := range h.router.servers {
		if s.latencyRatio > suspectRatio {
			t.Errorf("%s: latency ratio %.1f", id, s.latencyRatio)
		}
	}
}

func TestOverduePartIsHedgedAndTheSlowerAttemptIsCancelled(t *testing.T) {
	h := newListedHarness(t, 1, nil)
	_, events := h.newQuery("all", 0)
	first := actionsOf[Send](h.step(events...))[0]
	hedges := actionsOf[Send](h.advance(600 * ms))
	if len(hedges) != 1 || hedges[0].Server == first.Server {
		t.Fatalf("hedges %v of %v", hedges, first)
	}
	actions := h.finish(hedges[0], 1, Served)
	if c := actionsOf[Cancel](actions); len(c) != 1 || c[0].Attempt != 0 {
		t.Fatalf("the slower attempt was not cancelled: %v", actions)
	}
}

// Settings can delay hedges, for servers that are far away.
func TestSettingsDecideWhenAPartIsOverdue(t *testing.T) {
	for most, want := range map[float64]int{0: 1, 0.8: 0} {
		h := newListedHarness(t, 1, func(s *Settings) { s.OverdueMultiple, s.OverdueMaxShare = 2*defaultOverdueMultiple*most/0.8, most })
		_, events := h.newQuery("all", 0)
		h.step(events...)
		if n := len(actionsOf[Send](h.advance(450 * ms))); n != want {
			t.Errorf("%v of the latency target: %d hedges after 450 ms", most, n)
		}
	}
	for _, s := range []Settings{{OverdueMultiple: -1}, {OverdueMaxShare: -1}, {OverdueMaxShare: 1.1}} {
		set := testSettings()
		set.OverdueMultiple, set.OverdueMaxShare = s.OverdueMultiple, s.OverdueMaxShare
		if _, err := New(1, set); err == nil {
			t.Errorf("%v, %v were accepted", s.OverdueMultiple, s.OverdueMaxShare)
		}
	}
}

// An overdue part makes its server a suspect. The answer must undo that even if a hedge has served the part
// already, provided that it comes well within the latency target.
func TestAnswerUndoesTheFaultOfAnOverduePart(t *testing.T) {
	for after, suspect := range map[Micros]bool{500 * ms: false, 700 * ms: true} {
		h := newListedHarness(t, 1, nil)
		h.serveQueries(40, 20*ms, 0)
		h.now += 20 * ms
		_, events := h.newQuery("all", 0)
		first := actionsOf[Send](h.step(events...))[0]
		late, c := h.router.servers[first.Server], h.router.classes["all"]
		hedges := actionsOf[Send](h.advance(160 * ms))
		if len(hedges) != 1 || late.suspicion(c) == 0 {
			t.Fatalf("%d hedges, suspicion %d", len(hedges), late.suspicion(c))
		}
		h.finish(hedges[0], 1, Served)
		h.advance(after - 160*ms)
		h.finish(first, 0, Served) // the query has been answered and this attempt cancelled
		if got := late.suspicion(c) > 0; got != suspect {
			t.Errorf("answered after %d ms: suspect: %v", after/ms, got)
		}
	}
}

func TestShardIsReachableThoughAllItsReplicasAreSuspects(t *testing.T) {
	h := newListedHarness(t, 1, nil)
	for _, s := range h.router.servers {
		s.faultLevel, s.nextTrialAt = maxFaultLevel, h.now+100*sec
	}
	_, events := h.newQuery("all", 0)
	if n := len(actionsOf[Send](h.step(events...))); n != 1 {
		t.Fatalf("%d sends with only suspect replicas, want 1", n)
	}
}

func TestPartsOfOneCallShareAServer(t *testing.T) {
	h := newListedHarness(t, 3, func(s *Settings) { s.MaxPartsPerCall = 4 })
	_, events := h.newQuery("all", 0, 4) // both are stored by cells 0 and 1
	sends := actionsOf[Send](h.step(events...))
	if len(sends) != 2 || sends[0].Server != sends[1].Server {
		t.Fatalf("sends %v, want one server", sends)
	}
}

func TestSecondStepIsSentThoughWindowsAreFull(t *testing.T) {
	h := newListedHarness(t, 1, nil)
	_, events := h.newQuery("two-step", 0)
	s := actionsOf[Send](h.step(events...))[0]
	actions := h.finish(s, 0, Served)
	if len(actionsOf[Answer](actions)) != 1 {
		t.Fatalf("first step: %v", actions)
	}
	for _, server := range h.router.servers {
		server.reserved = 100
	}
	part := Part{ID: "second", Class: "two-step", Number: h.queryCount, Shard: 0, Weight: 1}
	actions = append(h.step(part), h.advance(5*ms)...)
	second := actionsOf[Send](actions)
	if len(second) != 1 {
		t.Fatalf("second step: %v", actions)
	}
	actions = h.finish(second[0], 0, Served)
	if a := actionsOf[Answer](actions); len(a) != 1 || !a[0].Whole {
		t.Fatalf("end of the second step: %v", actions)
	}
}

func TestListIsRequestedAtStartAndAfterAFailure(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.AskDiscovery, s.AskWithin = true, 10*sec })
	if w := actionsOf[Watch](h.step(List{Form: Cached, Servers: testServers(4, 1)})); len(w) != 1 || !w[0].On {
		t.Fatalf("at start: %v", w)
	}
	h.step(List{Form: Failed})
	if w := actionsOf[Watch](h.advance(10 * sec)); len(w) == 0 {
		t.Fatal("not requested again within AskWithin of a failure")
	}
	h.step(List{Form: Full, Servers: testServers(4, 1)})
	if w := actionsOf[Watch](h.advance(30 * sec)); len(w) != 0 {
		t.Fatalf("requested %d times while subscribed", len(w))
	}
}

func TestEventsForUnknownIDsAreIgnored(t *testing.T) {
	h := newListedHarness(t, 1, nil)
	actions := h.step(Outcome{ID: "none", Server: "none"}, ClientLeft{ID: "none"}, Elapsed{Token: 9},
		ProbeResult{Server: "none"}, Started{ID: "none"}, PeerMessage{}, Part{ID: "p", Number: 99, Shard: 0})
	if len(actions) != 0 {
		t.Fatalf("acted on unknown IDs: %v", actions)
	}
	h.step(List{Form: Full})
	_, events := h.newQuery("all", 0)
	if actions := h.step(events...); len(actionsOf[Refuse](actions)) != 1 || len(actionsOf[Send](actions)) != 0 {
		t.Fatalf("with an empty list: %v", actions)
	}
}

func TestContradictorySettingsAreReported(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no class":                func(s *Settings) { s.Classes = nil },
		"no cell":                 func(s *Settings) { s.Cells = 0 },
		"width over cells":        func(s *Settings) { s.Width = 5 },
		"no attempts":             func(s *Settings) { s.AttemptCap = 0 },
		"no budget window":        func(s *Settings) { s.RetryBudget = true },
		"target after deadline":   func(s *Settings) { s.Classes[0].LatencyTarget = 3 * sec },
		"required share over 1":   func(s *Settings) { s.Classes[0].RequiredShare = 1.5 },
		"min over required share": func(s *Settings) { s.Classes[1].MinShare = 0.9 },
		"no time to ask within":   func(s *Settings) { s.AskDiscovery = true },
	} {
		set := testSettings()
		change(&set)
		if _, err := New(1, set); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Queries were rejected because of a full window although their parts would have taken a twentieth of the
// latency target. They are still rejected if no latency is known yet, if it is not far below the target, or if the
// server already has three windows of parts.
func TestFullWindowsDoNotRejectClassesFarBelowTheirTarget(t *testing.T) {
	sent := func(class string, took Micros, windows float64) int {
		h := newListedHarness(t, 1, func(s *Settings) { s.Cells, s.Width, s.Shards = 4, 1, 4 })
		if took > 0 {
			h.serveQueries(200, took, 0)
		}
		for _, s := range h.router.servers {
			s.reserved = int(s.window * windows)
		}
		_, events := h.newQuery(class, 0, 1)
		actions := h.step(events...)
		if len(actionsOf[Send](actions)) == 0 && len(actionsOf[Refuse](actions)) != 1 {
			t.Fatalf("neither sent nor rejected: %v", actions)
		}
		return len(actionsOf[Send](actions))
	}
	if n := sent("all", 50*ms, 1); n != 2 {
		t.Fatalf("%d of 2 parts sent to full windows though a part takes a twentieth of its target", n)
	}
	if n := sent("all", 0, 1) + sent("all", 500*ms, 1) + sent("all", 50*ms, maxOverfill); n != 0 {
		t.Fatalf("%d parts sent with unknown or long latency, or far over a window", n)
	}
}

// While a class is crowded, queries are rejected at random. The probability to admit a query over its
// tenant's quota is squared.
func TestTenantOverItsQuotaYieldsWhileCrowded(t *testing.T) {
	rejected := func(tenant string) (n int) {
		h := newListedHarness(t, 1, func(s *Settings) { s.Tenants = []Tenant{{Name: "greedy", QuotaPerS: 0.75}} })
		for range 400 {
			h.setCrowded("all", 0.5)
			_, events := h.newQuery("all", 0)
			q := events[0].(Query)
			q.Tenant = tenant
			events[0] = q
			actions := h.step(events...)
			n += len(actionsOf[Refuse](actions))
			for _, s := range actionsOf[Send](actions) {
				h.finish(s, 0, Served)
			}
		}
		return n
	}
	if within, over := rejected(""), rejected("greedy"); within < 150 || within > 250 || over < 270 || over > 330 {
		t.Fatalf("of 400 each, %d within and %d over the quota rejected", within, over)
	}
}

func TestOccasionalLostAnswersCauseNoSuspicionOrSlowStart(t *testing.T) {
	h := newListedHarness(t, 1, func(s *Settings) { s.Cells, s.Width, s.Shards, s.AttemptCap = 1, 1, 1, 1 })
	server := h.router.servers["c0-0"]
	for range 20 {
		_, lost := h.newQuery("all", 0)
		sends := actionsOf[Send](h.step(lost...))
		h.now += 50 * ms
		h.serveQueries(1, 10*ms, 0)
		if len(sends) != 1 {
			t.Fatalf("%d sends to a server that serves", len(sends))
		}
		h.now += 900 * ms
		h.finish(sends[0], 0, NoAnswer)
		if server.slowStartFrom != 0 || server.faultLevel > 0 {
			t.Fatalf("taken for dead: slow start %d, fault level %d", server.slowStartFrom, server.faultLevel)
		}
	}
}

func TestFailedServerGetsNoTrialAtOnce(t *testing.T) {
	h := newListedHarness(t, 2, nil)
	_, events := h.newQuery("all", 0)
	bad := actionsOf[Send](h.step(events...))[0]
	h.finish(bad, 0, ServerError)
	for range 20 { // within the pause of half a latency target
		h.now += 20 * ms
		_, events := h.newQuery("all", 0)
		for _, s := range actionsOf[Send](h.step(events...)) {
			if s.Server == bad.Server {
				t.Fatalf("%s selected for a trial right after its failure", s.Server)
			}
			h.finish(s, 0, Served)
		}
	}
}

// newZonedHarness returns a harness with one cell of 40 replicas, spread evenly over the zones.
func newZonedHarness(t *testing.T, labels ...string) *harness {
	h := newHarness(t, func(s *Settings) { s.Cells, s.Width, s.Shards = 1, 1, 1 })
	list := testServers(1, 40)
	for i := range list {
		list[i].Zone = labels[i%len(labels)]
	}
	h.step(List{Form: Cached, Servers: list})
	return h
}

func TestFaultsArePooledOverServersWithTheSameLabel(t *testing.T) {
	sent := func(labels []string, bad map[string]bool) (late int) {
		h := newZonedHarness(t, labels...)
		for i := range 60 {
			_, events := h.newQuery("all", 0)
			for _, s := range actionsOf[Send](h.step(events...)) {
				if !bad[h.router.servers[s.Server].Zone] {
					h.now += 10 * ms
					h.finish(s, 0, Served)
					continue
				}
				if i >= 30 && h.router.servers[s.Server].faultLevel == 0 {
					late++ // a server not used before
				}
				for n, retry := 1, actionsOf[Send](h.finish(s, 0, NoConnection)); len(retry) > 0 && n < 3; n++ {
					v := Served
					if bad[h.router.servers[retry[0].Server].Zone] {
						v = NoConnection
					}
					retry = actionsOf[Send](h.finish(retry[0], n, v))
				}
			}
		}
		return late
	}
	if n := sent([]string{"a", "b"}, map[string]bool{"b": true}); n > 3 {
		t.Errorf("%d first sends to unused servers of a zone known to be partitioned", n)
	}
	h := newZonedHarness(t, "a")
	h.router.zones[0].faultShare = 1
	if h.router.faultyGroup(h.router.servers["c0-0"]) != nil {
		t.Error("a group was faulty though all labels are equal")
	}
	h = newZonedHarness(t, "a", "b")
	h.router.zones[0].faultShare, h.router.zones[1].faultShare = 0.8, 0.6
	if h.router.faultyGroup(h.router.servers["c0-0"]) != nil {
		t.Error("a zone was faulty though every zone is bad")
	}
}

// A zone whose parts are sometimes overdue but well within the latency target is not faulty. One whose parts
// come too late to be of use is.
func TestOverdueWithinTheTargetIsNoFaultyZone(t *testing.T) {
	for after, bad := range map[Micros]bool{450 * ms: false, 700 * ms: true} {
		h := newZonedHarness(t, "a", "b")
		h.serveQueries(20, 20*ms, 0)
		for range 40 { // only zone a is slow, each time at a server not used recently
			_, events := h.newQuery("unsafe", 0) // no hedges
			s := actionsOf[Send](h.step(events...))[0]
			if h.router.servers[s.Server].Zone != "a" {
				h.finish(s, 0, Served)
				continue
			}
			h.advance(after)
			h.finish(s, 0, Served)
		}
		if got := h.router.zones[0].faultShare > groupFaultShare; got != bad {
			t.Errorf("served after %d ms: the zone is faulty: %v (%.2f)", after/ms, got, h.router.zones[0].faultShare)
		}
	}
}

func TestFaultOfAClassIsNotForgivenWhenOthersAreServed(t *testing.T) {
	h := newListedHarness(t, 1, func(s *Settings) { s.Cells, s.Width, s.Shards, s.AttemptCap = 1, 1, 1, 1 })
	s, all, keyed := h.router.servers["c0-0"], h.router.classes["all"], h.router.classes["keyed"]
	for range 3 {
		_, events := h.newQuery("keyed", 0)
		lost := actionsOf[Send](h.step(events...))
		h.now += sec
		h.finish(lost[0], 0, NoAnswer)
		h.serveQueries(4, 10*ms, 0)
	}
	if s.suspicion(keyed) == 0 || s.suspicion(all) != 0 {
		t.Fatalf("suspicion %d for the unanswered class, %d for the served class", s.suspicion(keyed), s.suspicion(all))
	}
}

func TestScarceBudgetGoesToQueriesThatOneHedgeCompletes(t *testing.T) {
	h := newListedHarness(t, 2, func(s *Settings) {
		s.RetryBudget, s.RetryBudgetMin, s.RetryBudgetRatio, s.RetryBudgetWindow = true, 2, 0, 10*sec
	})
	h.step()
	usedAt := h.now - 10*sec + 600*ms // both leave the budget window when all parts below are late
	h.router.sharedBudget.extraAttempts = []Micros{usedAt, usedAt}
	_, incomplete := h.newQuery("all", 0, 1, 2, 3)
	h.step(incomplete...)
	_, almostComplete := h.newQuery("all", 0, 1, 2, 3)
	sends := actionsOf[Send](h.step(almostComplete...))
	for _, s := range sends[1:] {
		h.finish(s, 0, Served)
	}
	hedges := actionsOf[Send](h.advance(900 * ms))
	if len(hedges) != 1 || hedges[0].ID != sends[0].ID {
		t.Fatalf("hedges %v, want one, for the last part of the second query (%s)", hedges, sends[0].ID)
	}
}

func TestCrowdedTierRejectsAtRandomThoughWindowsHaveCapacity(t *testing.T) {
	rejected := func(delay Micros) (n int) {
		h := newListedHarness(t, 3, nil)
		for range 100 {
			_, events := h.newQuery("some", 0, 1, 2, 3)
			actions := h.step(events...)
			n += len(actionsOf[Refuse](actions))
			h.now += delay
			for _, s := range actionsOf[Send](actions) {
				h.finish(s, 0, Served)
			}
			h.advance(2*sec - delay)
		}
		return n
	}
	if n := rejected(50 * ms); n != 0 {
		t.Errorf("%d of 100 rejected while all are in time", n)
	}
	if n := rejected(1200 * ms); n < 30 || n == 100 {
		t.Errorf("%d of 100 rejected while all miss their latency target, want many but not all", n)
	}
}

// With many routers, a window of one part at each bounds nothing. After failures the pause between parts must
// grow.
func TestWindowsShrinkBelowOneInALargeTier(t *testing.T) {
	sent := func(routers int) (n int) {
		h := newListedHarness(t, 1, func(s *Settings) {
			s.Routers, s.Cells, s.Width, s.Shards, s.AttemptCap = routers, 1, 1, 1, 1
		})
		for range 40 {
			_, events := h.newQuery("all", 0)
			for _, s := range actionsOf[Send](h.step(events...)) {
				n++
				h.now += 500 * ms
				h.finish(s, 0, NoAnswer)
			}
			h.now += 100 * ms
		}
		return n
	}
	if few, many := sent(3), sent(40); few < 2*many || many == 0 {
		t.Fatalf("%d sends of 40 with 3 routers, %d with 40; want less than half", few, many)
	}
}

func TestPartsWithoutAnAnswerCountAsSlow(t *testing.T) {
	h := newListedHarness(t, 2, func(s *Settings) { s.AttemptCap = 1 })
	before := h.router.classes["all"].median
	for range 30 {
		_, events := h.newQuery("all", 0, 1, 2, 3)
		sends := actionsOf[Send](h.step(events...))
		h.advance(900 * ms)
		for _, s := range sends {
			h.finish(s, 0, NoAnswer)
		}
	}
	if after := h.router.classes["all"].median; after < 2*before {
		t.Fatalf("median latency %.0f after 30 unanswered queries, %.0f before", after, before)
	}
}

func TestDeadZoneIsFoundThoughTheOthersAreOverloaded(t *testing.T) {
	h := newZonedHarness(t, "a", "b", "c")
	for i, bad := range []float64{0.95, 0.4, 0.45} {
		h.router.zones[i].faultShare = bad
	}
	if h.router.faultyGroup(h.router.servers["c0-0"]) == nil || h.router.faultyGroup(h.router.servers["c0-1"]) != nil {
		t.Error("want only the zone that nearly always fails to be faulty")
	}
}

func TestLateWakeIsNoFaultOfAServer(t *testing.T) {
	h := newListedHarness(t, 1, nil)
	h.serveQueries(50, 20*ms, 0)
	before := h.router.classes["all"].median
	for range 5 {
		_, events := h.newQuery("all", 0)
		sent := actionsOf[Send](h.step(events...))
		h.now += 900 * ms // the router stalls; the answer arrived long ago
		h.router.Step(h.now, []Event{Outcome{ID: sent[0].ID, Server: sent[0].Server, Verdict: Served}, Elapsed{}})
		h.serveQueries(1, 20*ms, 0)
	}
	for id, s := range h.router.servers {
		if s.suspicion(h.router.classes["all"]) > 0 || s.latencyRatio > suspectRatio {
			t.Errorf("%s: fault level %d, latency ratio %.1f after stalls of the router", id, s.faultLevel, s.latencyRatio)
		}
	}
	if after := h.router.classes["all"].median; after > 2*before {
		t.Errorf("median latency %.0f, %.0f before the stalls", after, before)
	}
}

func TestServersThatStayGoneAreDropped(t *testing.T) {
	h := newListedHarness(t, 1, nil)
	for i := range 200 {
		row := Server{ID: fmt.Sprintf("n%d", i), Cell: 0, State: Ready, Scale: 1, UpSince: h.now, Zone: fmt.Sprint("zone-", i), Kind: fmt.Sprint("kind-", i)}
		h.step(List{Form: Delta, Servers: []Server{row}})
		h.now += sec
		row.State = Gone
		h.step(List{Form: Delta, Servers: []Server{row}})
	}
	h.advance(h.router.settings.SlowStart + sec)
	if n := len(h.router.servers); n != 4 || len(h.router.cells[0]) != 1 || h.router.readyServers != 4 {
		t.Fatalf("%d servers, %d in the cell, %d ready; want 4, 1, 4", n, len(h.router.cells[0]), h.router.readyServers)
	}
	for _, groups := range [][]*group{h.router.zones, h.router.kinds} {
		if len(groups) > 4 {
			t.Errorf("%d groups of 4 servers", len(groups))
		}
	}
}

// After a long run with all kinds of outcomes, a router must hold no more state than before.
func TestStateStaysBounded(t *testing.T) {
	h := newListedHarness(t, 2, nil)
	for i := range 2000 {
		_, events := h.newQuery([]string{"all", "some", "partial", "keyed", "unsafe", "two-step"}[i%6], 0, 1)
		for _, s := range actionsOf[Send](h.step(events...)) {
			h.now += 5 * ms
			h.finish(s, 0, Verdict(i/6%8))
		}
		if i%50 == 0 {
			h.advance(3 * sec)
		}
	}
	for _, a := range actionsOf[Send](h.advance(10 * sec)) {
		h.finish(a, 0, NoAnswer)
	}
	h.advance(20 * sec)
	if len(h.router.queries)+len(h.router.queriesByNumber)+len(h.router.timers)+len(h.router.newQueries) != 0 {
		t.Errorf("left: %d queries, %d numbers, %d timers", len(h.router.queries), len(h.router.queriesByNumber), len(h.router.timers))
	}
}

func TestShortClientTimeoutCausesEarlyHedgesAndNoFault(t *testing.T) {
	h := newListedHarness(t, 2, nil)
	_, events := h.newQuery("all", 0)
	q := events[0].(Query)
	q.Grace = 300 * ms // little compared with the class's latency target of a second
	events[0] = q
	first := actionsOf[Send](h.step(events...))[0]
	if n := len(actionsOf[Send](h.advance(200 * ms))); n != 1 {
		t.Fatalf("%d hedges within 200 ms of a try with 300, want 1", n)
	}
	if b := h.router.servers[first.Server].suspicion(h.router.classes["all"]); b != 0 {
		t.Fatalf("suspicion %d for a part that is not late for its class", b)
	}
}

func TestOneHungServerDoesNotMakeItsZoneFaulty(t *testing.T) {
	h := newZonedHarness(t, "a", "b")
	hung := h.router.servers["c0-0"]
	for range 10 { // as if parts were sent there again and again
		_, events := h.newQuery("all", 0)
		for _, s := range actionsOf[Send](h.step(events...)) {
			h.now += 10 * ms
			h.finish(s, 0, Served)
		}
		a := &attempt{part: &part{query: &query{class: h.router.classes["all"]}, predictionRatio: 1}, server: hung, sentAt: h.now}
		h.router.recordOutcome(a, Outcome{Verdict: NoConnection})
	}
	if h.router.faultyGroup(hung) != nil {
		t.Fatalf("fault shares %.2f and %.2f of the zones after one server failed ten times", h.router.zones[0].faultShare, h.router.zones[1].faultShare)
	}
}

func TestSlowPathIsNoFullServer(t *testing.T) {
	h := newZonedHarness(t, "a", "b")
	h.router.zones[0].faultShare, h.router.zones[1].faultShare = 0.9, 0
	s := h.router.servers["c0-0"]
	a := &attempt{part: &part{query: &query{class: h.router.classes["all"]}, predictionRatio: 1}, server: s, sentAt: h.now}
	h.now += 900 * ms
	h.router.Step(h.now, nil)
	h.router.handleOverdue(a)
	h.router.recordOutcome(a, Outcome{Verdict: Served})
	if s.window < initialWindow || s.suspicion(h.router.classes["all"]) != 0 {
		t.Fatalf("window %.1f, fault level %d for a late part in a zone that is late as a whole", s.window, s.faultLevel)
	}
}

// With many routers, a tenant's quota at one of them is less than a query per minute. If its bucket
// never accumulated one, every query would yield, and an idle tier would reject large ones.
func TestQueriesOverTheQuotaAreServedWhileThereIsCapacity(t *testing.T) {
	h := newListedHarness(t, 1, func(s *Settings) { s.Routers, s.Tenants = 20, []Tenant{{Name: "t", QuotaPerS: 1}} })
	for i := range 3 {
		for _, s := range h.router.servers {
			s.reserved = int(initialWindow) / 2 // in use by another query: there is capacity, but not ample
		}
		_, events := h.newQuery("all", 0, 1)
		q := events[0].(Query)
		q.Tenant = "t"
		events[0] = q
		if n := len(actionsOf[Send](h.step(events...))); n != 2 {
			t.Errorf("query %d: %d sends, want 2", i, n)
		}
	}
	h.now += 1000 * sec
	if h.step(); !h.router.withinQuota(&query{tenant: "t"}) {
		t.Error("the first query in a thousand seconds is over the quota")
	}
}

// Idle connections may be dropped silently. What is sent on one is lost, which is no fault of its server.
func TestIdleConnectionsThatProveDeadAreClosedBeforeUse(t *testing.T) {
	runQueries := func(dead bool) (released, suspected int) {
		h := newListedHarness(t, 2, func(s *Settings) { s.Keepalive = 60 * sec })
		h.serveQueries(20, 50*ms, 0, 1, 2, 3)
		usedAt := make(map[string]Micros) // when the server's connection was last used with success
		attempts := make(map[string]int)
		var lost []Event
		handle := func(actions []Action) {
			for _, r := range actionsOf[Release](actions) {
				released++
				usedAt[r.Server] = h.now
			}
			for _, s := range actionsOf[Send](actions) {
				if !dead || h.now-usedAt[s.Server] < sec {
					usedAt[s.Server] = h.now
					h.finish(s, attempts[s.ID], Served)
				} else {
					lost = append(lost, Outcome{ID: s.ID, Server: s.Server, Attempt: attempts[s.ID], Verdict: NoAnswer})
				}
				attempts[s.ID]++
			}
		}
		for range 60 {
			h.now += 2 * sec // longer than any part takes
			_, events := h.newQuery("all", 0, 2, 4, 6)
			handle(h.step(events...))
			handle(h.advance(sec))
			for _, o := range slices.Clone(lost) {
				handle(h.step(o))
			}
			lost = nil
		}
		for _, s := range h.router.servers {
			if s.suspicion(h.router.classes["all"]) > 0 {
				suspected++
			}
		}
		return released, suspected
	}
	if released, _ := runQueries(false); released != 0 {
		t.Errorf("%d connections closed though all were working", released)
	}
	if released, suspected := runQueries(true); released < 100 || suspected > 4 {
		t.Errorf("%d connections closed before 240 first sends, %d servers suspected", released, suspected)
	}
}

// A query that crashes every server it reaches must cost no more servers than its first sends and the retry
// before it is recognised. Queries of its class then send one canary part first when the client retries. The
// crash of a single server must not end its query.
func TestQueryOfDeathIsNotRetriedElsewhere(t *testing.T) {
	h := newListedHarness(t, 3, nil)
	loseConnections := func(sends []Send) (more []Send, finals int) {
		for _, s := range sends {
			actions := h.finish(s, 0, ConnectionLost)
			more, finals = append(more, actionsOf[Send](actions)...), finals+countFinal(actions)
		}
		return more, finals
	}
	_, events := h.newQuery("all", 0, 1, 2, 3)
	more, finals := loseConnections(actionsOf[Send](h.step(events...)))
	if len(more) > queryOfDeathLosses-1 || finals+len(actionsOf[Refuse](h.advance(sec))) != 1 {
		t.Fatalf("%d more sends, %d final actions after every part lost its connection", len(more), finals)
	}
	_, events = h.newQuery("all", 0, 1, 2, 3)
	canary := actionsOf[Send](h.step(events...))
	if len(canary) != 1 {
		t.Fatalf("%d canary parts, want 1", len(canary))
	}
	if more, finals = loseConnections(canary); len(more) != 0 || finals != 1 {
		t.Fatalf("%d more sends, %d final actions after the canary lost its connection", len(more), finals)
	}
	_, events = h.newQuery("all", 0, 1, 2, 3)
	if rest := actionsOf[Send](h.finish(actionsOf[Send](h.step(events...))[0], 0, Served)); len(rest) != 3 {
		t.Fatalf("%d parts sent after the canary was served, want 3", len(rest))
	}
	h = newListedHarness(t, 3, nil)
	_, events = h.newQuery("all", 0, 1, 2, 3)
	sends := actionsOf[Send](h.step(events...))
	if more := actionsOf[Send](h.finish(sends[0], 0, ConnectionLost)); len(more) != 1 {
		t.Fatalf("%d sends after one server died, want 1", len(more))
	}
}

// A client's retry with less time left than first tries have may be past its latency target. If a late answer
// has no value, nothing must be sent for it. A retry with as much time as first tries, or of a class with a
// late value, is served.
func TestClientRetryPastItsTargetIsRejectedBeforeAnyPart(t *testing.T) {
	for _, c := range []struct {
		class string
		grace Micros
		want  int
	}{{"all", 1800 * ms, 1}, {"all", 900 * ms, 0}, {"some", 900 * ms, 1}} {
		h := newListedHarness(t, 2, nil)
		sendQuery := func(timeout Micros, repeat bool) []Action {
			_, events := h.newQuery(c.class, 0)
			q := events[0].(Query)
			q.Grace, q.Repeat = timeout, repeat
			events[0] = q
			return h.step(events...)
		}
		for range 50 {
			h.finish(actionsOf[Send](sendQuery(1600*ms, false))[0], 0, Served)
		}
		if n := len(actionsOf[Send](sendQuery(c.grace, true))); n != c.want {
			t.Errorf("%s, %d us left of 2 s: %d sends, want %d", c.class, c.grace, n, c.want)
		}
	}
}

// Without parallel attempts, an unresponsive server would keep a part until the end of the query. The first
// attempt must time out while another can still be in time, unless the class is unsafe.
func TestSoleAttemptTimesOutWhileAnotherCanBeInTime(t *testing.T) {
	for class, short := range map[string]bool{"all": true, "unsafe": false} {
		h := newListedHarness(t, 2, func(s *Settings) { s.ParallelAttempts = false })
		h.serveQueries(20, 100*ms, 0, 1, 2, 3)
		h.router.classes["unsafe"].upperQuantile = h.router.classes["all"].upperQuantile
		_, events := h.newQuery(class, 0)
		s := actionsOf[Send](h.step(events...))[0]
		if (s.Timeout < 900*ms) != short {
			t.Fatalf("%s: timeout after %d us with a latency target of a second", class, s.Timeout)
		}
		h.advance(s.Timeout)
		if n := len(actionsOf[Send](h.finish(s, 0, NoAnswer))); (n == 1) != short {
			t.Errorf("%s: %d sends after the timeout", class, n)
		}
	}
}

// A class with partial answers and a second step must be answered partially while there is time for the
// second step. At the latency target a partial answer would be worth nothing.
func TestPartialAnswerLeavesTimeForTheSecondStep(t *testing.T) {
	h := newListedHarness(t, 2, func(s *Settings) {
		s.Classes[2].LateValue, s.Classes[2].FetchParts, s.ParallelAttempts = 0, 2, false
	})
	id, events := h.newQuery("partial", 0, 1, 2)
	start := h.now
	sends := actionsOf[Send](h.step(events...))
	h.now += 50 * ms
	h.finish(sends[0], 0, Served)
	h.finish(sends[1], 0, Served)
	actions := h.advance(sec - 100*ms - h.router.settings.Resolution)
	if a := actionsOf[Answer](actions); len(a) != 1 || a[0].Whole || h.now-start > sec {
		t.Fatalf("two of three parts served, %v before the latency target", actions)
	}
	more := h.step(Part{ID: "m1", Class: "partial", Number: h.queryCount, Shard: 0, Weight: 0.5},
		Part{ID: "m2", Class: "partial", Number: h.queryCount, Shard: 1, Weight: 0.5})
	more = append(more, h.advance(20*ms)...)
	if n := len(actionsOf[Send](more)); n != 2 || countFinal(more) != 0 {
		t.Fatalf("the second step: %v", more)
	}
	for _, s := range actionsOf[Send](more) {
		actions = h.finish(s, 0, Served)
	}
	if a := actionsOf[Answer](actions); len(a) != 1 || a[0].ID != id || a[0].Whole {
		t.Fatalf("at the end: %v", actions)
	}
}

// Timers that fire between the first answer and the parts of the second step must not end the query.
func TestTimersBetweenTheStepsDoNotEndTheQuery(t *testing.T) {
	h := newListedHarness(t, 2, nil)
	_, events := h.newQuery("two-step", 0)
	h.finish(actionsOf[Send](h.step(events...))[0], 0, Served)
	for _, q := range h.router.queries {
		h.router.scheduleMore(q)
	}
	if actions := h.step(); countFinal(actions) != 0 || len(h.router.queries) != 1 {
		t.Fatalf("between the steps: %v", actions)
	}
}

// The parts of the second step are overdue by the time that this step has, not by that of the complete query.
func TestSecondStepIsHedgedWithinItsOwnTime(t *testing.T) {
	h := newListedHarness(t, 2, nil)
	_, events := h.newQuery("two-step", 0, 1)
	sends := actionsOf[Send](h.step(events...))
	h.now += 600 * ms
	h.finish(sends[0], 0, Served)
	h.finish(sends[1], 0, Served)
	h.router.classes["two-step"].upperQuantile = float64(sec) // slow recently: only the remaining time makes a part overdue
	if n := len(actionsOf[Send](h.step(Part{ID: "m", Class: "two-step", Number: h.queryCount, Shard: 0, Weight: 1}))); n != 0 {
		t.Fatalf("%d sends at once, want them when the timer of the part fires", n)
	}
	if n := len(actionsOf[Send](h.advance(200 * ms))); n != 2 {
		t.Fatalf("%d sends in half of the 400 ms left, want the part and a hedge", n)
	}
}

// Under congestion, answers on idle connections are late. That proves that the connections work, and the
// windows must shrink all the same.
func TestLateAnswersAreNoDeadConnections(t *testing.T) {
	h := newListedHarness(t, 2, func(s *Settings) { s.Keepalive = 60 * sec })
	h.serveQueries(20, 50*ms, 0, 1, 2, 3)
	released := 0
	for range 30 {
		h.now += 2 * sec
		_, events := h.newQuery("some", 0, 2, 4, 6)
		actions := h.step(events...)
		attempts := make(map[string]int)
		released += len(actionsOf[Release](actions))
		late := append(actions, h.advance(700*ms)...)
		for _, s := range actionsOf[Send](late) {
			h.finish(s, attempts[s.ID], Served)
			attempts[s.ID]++
		}
	}
	if released != 0 || h.router.idleConns.faultShare > groupFaultShare {
		t.Errorf("%d connections closed, fault share of idle ones %.2f", released, h.router.idleConns.faultShare)
	}
	for id, s := range h.router.servers {
		if s.window >= initialWindow && s.lastServedByClass[h.router.classes["some"].classIndex] > 0 {
			t.Errorf("%s keeps a window of %.1f though its parts took 0.7 of their latency target", id, s.window)
		}
	}
}

// While a class is crowded, large queries are rejected more often than small ones, because they are more
// work, but not always.
func TestLargeQueriesAreRejectedFirstWhileCrowded(t *testing.T) {
	h := newListedHarness(t, 3, nil)
	rejected := map[int]int{}
	for i := range 400 {
		shards := []int{0}
		if i%2 == 0 {
			shards = []int{0, 1, 2, 3, 4, 5, 6}
		}
		h.setCrowded("all", 0.4)
		_, events := h.newQuery("all", shards...)
		actions := h.step(events...)
		rejected[len(shards)] += len(actionsOf[Refuse](actions))
		for _, s := range actionsOf[Send](actions) {
			h.finish(s, 0, Served)
		}
	}
	if rejected[1] > 50 || rejected[7] < 100 || rejected[7] > 180 {
		t.Fatalf("of 200 each, %d of one part and %d of seven parts rejected", rejected[1], rejected[7])
	}
}

// During a release, a shard's only healthy replica may drain while the other is down. Queries were rejected
// then. The draining server is used instead, but only if the change came just now on an established
// subscription, and not for long.
func TestDrainingServerIsUsedIfThereIsNoOther(t *testing.T) {
	sent := func(form Form, failed bool, wait Micros, replicas int) int {
		h := newListedHarness(t, replicas, func(s *Settings) { s.Width, s.AskDiscovery, s.AskWithin = 1, true, 10*sec })
		h.step(List{Form: Delta}) // the subscription is established
		if failed {
			h.step(List{Form: Failed})
		}
		all := testServers(h.router.settings.Cells, replicas)
		all[0].State = Draining
		h.step(List{Form: form, Servers: all})
		h.now += wait
		n := 0
		for range 4 {
			_, events := h.newQuery("all", 0)
			for _, s := range actionsOf[Send](h.step(events...)) {
				if s.Server == "c0-0" {
					n++
				}
			}
		}
		return n
	}
	grace := testSettings().DrainGrace
	if n := sent(Delta, false, grace/4, 1); n != 4 {
		t.Fatalf("%d of 4 parts sent to the only server of a shard, which began to drain a moment ago", n)
	}
	if n := sent(Delta, false, grace/4, 2); n != 0 {
		t.Fatalf("%d parts sent to a draining server while another is healthy", n)
	}
	if n := sent(Full, false, grace/4, 1) + sent(Delta, true, grace/4, 1) + sent(Delta, false, grace, 1); n != 0 {
		t.Fatalf("%d parts sent to a server that may have been draining for long", n)
	}
}
