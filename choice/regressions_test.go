package choice

import (
	"fmt"
	"slices"
	"testing"
)

func TestQueryIsRefusedWholeWhenAShardHasNoRoom(t *testing.T) {
	g := listed(t, 1, nil)
	var last []Action
	for range 20 {
		_, evs := g.ask("all", 0, 1, 2)
		last = g.step(evs...)
	}
	if len(of[Refuse](last)) != 1 || len(of[Send](last)) != 0 {
		t.Fatalf("with every window full: %v", last)
	}
	if of[Refuse](last)[0].RetryAfter == 0 {
		t.Fatal("a refusal without advice")
	}
}

func TestRefusedPlanGivesItsRoomBack(t *testing.T) {
	g := listed(t, 1, nil)
	for range 50 {
		_, evs := g.ask("all", 0, 1, 2)
		g.step(evs...)
	}
	for id, s := range g.r.servers {
		if float64(s.reserved) > s.window {
			t.Errorf("%s has %d out over a window of %.1f", id, s.reserved, s.window)
		}
	}
}

func TestAnyNClassSendsMoreThanItNeedsAndAnswersAtN(t *testing.T) {
	g := listed(t, 2, nil)
	_, evs := g.ask("some", 0, 1, 2, 3)
	sends := of[Send](g.step(evs...))
	if len(sends) <= 2 {
		t.Fatalf("%d parts sent, want more than the 2 needed", len(sends))
	}
	g.end(sends[0], 0, Served)
	acts := g.end(sends[1], 0, Served)
	if a := of[Answer](acts); len(a) != 1 || !a[0].Whole || len(of[Cancel](acts)) != len(sends)-2 {
		t.Fatalf("at n: %v", acts)
	}
}

func TestIdleWindowDoesNotGrow(t *testing.T) {
	g := listed(t, 1, nil)
	g.warm(100, 10*ms, 0)
	for id, s := range g.r.servers {
		if s.window > initialWindow {
			t.Errorf("%s: window %.1f after one part at a time", id, s.window)
		}
	}
}

func TestFastErrorsEarnNoTraffic(t *testing.T) {
	g := listed(t, 1, func(s *Settings) { s.AttemptCap = 2 })
	got := map[string]int{}
	for range 300 {
		g.now += 20 * ms
		_, evs := g.ask("all", 0)
		for _, s := range of[Send](g.step(evs...)) {
			got[s.Server]++
			if s.Server != "c0-0" {
				g.now += 5 * ms
				g.end(s, 0, Served)
				continue
			}
			for _, again := range of[Send](g.end(s, 0, ServerError)) {
				g.end(again, 1, Served)
			}
		}
	}
	if got["c0-0"] == 0 || got["c0-0"] > 30 {
		t.Fatalf("the failing server got %d of 300 first sends, want a trickle", got["c0-0"])
	}
}

func TestSilentServerIsSuspectedBeforeItsTimeOut(t *testing.T) {
	g := listed(t, 1, nil)
	_, evs := g.ask("all", 0)
	s := of[Send](g.step(evs...))[0]
	g.later(600 * ms)
	if !g.r.isSuspect(g.r.servers[s.Server], g.r.classes["all"]) {
		t.Fatal("an overdue part with nothing served since raised no suspicion")
	}
}

func TestLatePartDoesNotCondemnAServerThatServes(t *testing.T) {
	g := listed(t, 1, func(s *Settings) { s.Cells, s.Width, s.Shards = 1, 1, 1 })
	_, evs := g.ask("all", 0)
	g.step(evs...)
	for range 30 {
		g.now += 20 * ms
		_, evs := g.ask("all", 0)
		for _, s := range of[Send](g.step(evs...)) {
			g.end(s, 0, Served)
		}
	}
	if g.r.isSuspect(g.r.servers["c0-0"], g.r.classes["all"]) {
		t.Fatal("one heavy part condemned a server that serves others")
	}
}

func TestHeavyQueriesDoNotCondemnServers(t *testing.T) {
	g := listed(t, 1, nil)
	g.warm(50, 20*ms, 0, 1, 2, 3)
	for range 20 {
		_, evs := g.ask("all", 0, 1, 2, 3)
		sends := of[Send](g.step(evs...))
		g.now += 150 * ms
		for _, s := range sends {
			g.end(s, 0, Served)
		}
		g.warm(2, 20*ms, 0, 1, 2, 3)
	}
	for id, s := range g.r.servers {
		if s.latencyRatio > suspectRatio {
			t.Errorf("%s: pace %.1f", id, s.latencyRatio)
		}
	}
}

func TestOverduePartGetsACopyElsewhereAndTheLoserIsCancelled(t *testing.T) {
	g := listed(t, 1, nil)
	_, evs := g.ask("all", 0)
	first := of[Send](g.step(evs...))[0]
	copies := of[Send](g.later(600 * ms))
	if len(copies) != 1 || copies[0].Server == first.Server {
		t.Fatalf("copies %v of %v", copies, first)
	}
	acts := g.end(copies[0], 1, Served)
	if c := of[Cancel](acts); len(c) != 1 || c[0].Attempt != 0 {
		t.Fatalf("the loser was not cancelled: %v", acts)
	}
}

// Where copies go far the settings have them wait longer.
func TestSettingsTellWhenAPartIsOverdue(t *testing.T) {
	for most, want := range map[float64]int{0: 1, 0.8: 0} {
		g := listed(t, 1, func(s *Settings) { s.OverdueMultiple, s.OverdueMaxShare = 2*defaultOverdueMultiple*most/0.8, most })
		_, evs := g.ask("all", 0)
		g.step(evs...)
		if n := len(of[Send](g.later(450 * ms))); n != want {
			t.Errorf("%v of the aim: %d copies after 450 ms", most, n)
		}
	}
	for _, s := range []Settings{{OverdueMultiple: -1}, {OverdueMaxShare: -1}, {OverdueMaxShare: 1.1}} {
		set := testSettings()
		set.OverdueMultiple, set.OverdueMaxShare = s.OverdueMultiple, s.OverdueMaxShare
		if _, err := New(1, set); err == nil {
			t.Errorf("%v, %v were taken", s.OverdueMultiple, s.OverdueMaxShare)
		}
	}
}

// What a part's silence said of its server is taken back by its answer, though another copy
// has served the part: in good time it is; too late to be of use it is not.
func TestAnAnswerTakesBackWhatItsSilenceSaid(t *testing.T) {
	for after, suspect := range map[Micros]bool{500 * ms: false, 700 * ms: true} {
		g := listed(t, 1, nil)
		g.warm(40, 20*ms, 0)
		g.now += 20 * ms
		_, evs := g.ask("all", 0)
		first := of[Send](g.step(evs...))[0]
		late, c := g.r.servers[first.Server], g.r.classes["all"]
		copies := of[Send](g.later(160 * ms))
		if len(copies) != 1 || late.suspicion(c) == 0 {
			t.Fatalf("%d copies, guilt %d", len(copies), late.suspicion(c))
		}
		g.end(copies[0], 1, Served)
		g.later(after - 160*ms)
		g.end(first, 0, Served) // the query has been answered, this part called off
		if got := late.suspicion(c) > 0; got != suspect {
			t.Errorf("answered after %d ms: a suspect: %v", after/ms, got)
		}
	}
}

func TestEveryReplicaSuspectStillLeavesTheShardReachable(t *testing.T) {
	g := listed(t, 1, nil)
	for _, s := range g.r.servers {
		s.faultLevel, s.nextTrialAt = maxFaultLevel, g.now+100*sec
	}
	_, evs := g.ask("all", 0)
	if n := len(of[Send](g.step(evs...))); n != 1 {
		t.Fatalf("%d sends with all replicas suspect, want 1", n)
	}
}

func TestPartsOfOneCallShareAServer(t *testing.T) {
	g := listed(t, 3, func(s *Settings) { s.MaxPartsPerCall = 4 })
	_, evs := g.ask("all", 0, 4) // both on cells 0 and 1
	sends := of[Send](g.step(evs...))
	if len(sends) != 2 || sends[0].Server != sends[1].Server {
		t.Fatalf("sends %v, want one server", sends)
	}
}

func TestSecondStepIsSentThoughWindowsAreFull(t *testing.T) {
	g := listed(t, 1, nil)
	_, evs := g.ask("two-step", 0)
	s := of[Send](g.step(evs...))[0]
	acts := g.end(s, 0, Served)
	if len(of[Answer](acts)) != 1 {
		t.Fatalf("first step: %v", acts)
	}
	for _, server := range g.r.servers {
		server.reserved = 100
	}
	part := Part{ID: "second", Class: "two-step", Number: g.next, Shard: 0, Weight: 1}
	acts = append(g.step(part), g.later(5*ms)...)
	second := of[Send](acts)
	if len(second) != 1 {
		t.Fatalf("second step: %v", acts)
	}
	acts = g.end(second[0], 0, Served)
	if a := of[Answer](acts); len(a) != 1 || !a[0].Whole {
		t.Fatalf("end of the second step: %v", acts)
	}
}

func TestAskedDiscoveryIsAskedAtStartAndAfterAFailure(t *testing.T) {
	g := newRig(t, func(s *Settings) { s.AskDiscovery, s.AskWithin = true, 10*sec })
	if w := of[Watch](g.step(List{Form: Cached, Servers: rows(4, 1)})); len(w) != 1 || !w[0].On {
		t.Fatalf("at start: %v", w)
	}
	g.step(List{Form: Failed})
	if w := of[Watch](g.later(10 * sec)); len(w) == 0 {
		t.Fatal("not asked again within AskWithin of a failure")
	}
	g.step(List{Form: Full, Servers: rows(4, 1)})
	if w := of[Watch](g.later(30 * sec)); len(w) != 0 {
		t.Fatalf("asked %d times while subscribed", len(w))
	}
}

func TestEventsForWhatIsGoneAreIgnored(t *testing.T) {
	g := listed(t, 1, nil)
	acts := g.step(Outcome{ID: "none", Server: "none"}, ClientLeft{ID: "none"}, Elapsed{Token: 9},
		ProbeResult{Server: "none"}, Started{ID: "none"}, PeerMessage{}, Part{ID: "p", Number: 99, Shard: 0})
	if len(acts) != 0 {
		t.Fatalf("acted on what is gone: %v", acts)
	}
	g.step(List{Form: Full})
	_, evs := g.ask("all", 0)
	if acts := g.step(evs...); len(of[Refuse](acts)) != 1 || len(of[Send](acts)) != 0 {
		t.Fatalf("with an empty list: %v", acts)
	}
}

func TestContradictorySettingsAreReported(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no class":         func(s *Settings) { s.Classes = nil },
		"no cell":          func(s *Settings) { s.Cells = 0 },
		"too wide":         func(s *Settings) { s.Width = 5 },
		"no attempt":       func(s *Settings) { s.AttemptCap = 0 },
		"no budget window": func(s *Settings) { s.RetryBudget = true },
		"aim after end":    func(s *Settings) { s.Classes[0].LatencyTarget = 3 * sec },
		"need over all":    func(s *Settings) { s.Classes[0].RequiredShare = 1.5 },
		"floor over need":  func(s *Settings) { s.Classes[1].MinShare = 0.9 },
		"ask at no time":   func(s *Settings) { s.AskDiscovery = true },
	} {
		set := testSettings()
		change(&set)
		if _, err := New(1, set); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Refused for a window that was full, queries went away whose parts would have been back in a tenth of
// their aim. Nothing seen yet, parts not far below their aim, or three windows out: refused as ever.
func TestFullWindowsDoNotRefuseWhatIsFarBelowItsAim(t *testing.T) {
	sent := func(class string, took Micros, windows float64) int {
		g := listed(t, 1, func(s *Settings) { s.Cells, s.Width, s.Shards = 4, 1, 4 })
		if took > 0 {
			g.warm(200, took, 0)
		}
		for _, s := range g.r.servers {
			s.reserved = int(s.window * windows)
		}
		_, evs := g.ask(class, 0, 1)
		acts := g.step(evs...)
		if len(of[Send](acts)) == 0 && len(of[Refuse](acts)) != 1 {
			t.Fatalf("neither sent nor refused: %v", acts)
		}
		return len(of[Send](acts))
	}
	if n := sent("all", 50*ms, 1); n != 2 {
		t.Fatalf("%d of 2 parts sent behind full windows, each a twentieth of its aim", n)
	}
	if n := sent("all", 0, 1) + sent("all", 500*ms, 1) + sent("all", 50*ms, maxOverfill); n != 0 {
		t.Fatalf("%d parts sent unseen, slow, or far over a window", n)
	}
}

// While a class is crowded, queries are refused by chance; those over their tenant's share twice over.
func TestTenantOverItsShareYieldsWhileCrowded(t *testing.T) {
	refused := func(tenant string) (n int) {
		g := listed(t, 1, func(s *Settings) { s.Tenants = []Tenant{{Name: "greedy", QuotaPerS: 0.75}} })
		for range 400 {
			g.crowd("all", 0.5)
			_, evs := g.ask("all", 0)
			q := evs[0].(Query)
			q.Tenant = tenant
			evs[0] = q
			acts := g.step(evs...)
			n += len(of[Refuse](acts))
			for _, s := range of[Send](acts) {
				g.end(s, 0, Served)
			}
		}
		return n
	}
	if within, over := refused(""), refused("greedy"); within < 150 || within > 250 || over < 270 || over > 330 {
		t.Fatalf("of 400 each, %d within and %d over the share refused", within, over)
	}
}

func TestAnswersLostHereAndThereNeitherCondemnNorChill(t *testing.T) {
	g := listed(t, 1, func(s *Settings) { s.Cells, s.Width, s.Shards, s.AttemptCap = 1, 1, 1, 1 })
	server := g.r.servers["c0-0"]
	for range 20 {
		_, lost := g.ask("all", 0)
		gone := of[Send](g.step(lost...))
		g.now += 50 * ms
		g.warm(1, 10*ms, 0)
		if len(gone) != 1 {
			t.Fatalf("%d sends to a server that serves", len(gone))
		}
		g.now += 900 * ms
		g.end(gone[0], 0, NoAnswer)
		if server.slowStartFrom != 0 || server.faultLevel > 0 {
			t.Fatalf("taken for dead: cold %d blame %d", server.slowStartFrom, server.faultLevel)
		}
	}
}

func TestWhatHasJustFailedIsNotTriedAtOnce(t *testing.T) {
	g := listed(t, 2, nil)
	_, evs := g.ask("all", 0)
	bad := of[Send](g.step(evs...))[0]
	g.end(bad, 0, ServerError)
	for range 20 { // within the pause of half an aim
		g.now += 20 * ms
		_, evs := g.ask("all", 0)
		for _, s := range of[Send](g.step(evs...)) {
			if s.Server == bad.Server {
				t.Fatalf("%s drawn as a trial right after its failure", s.Server)
			}
			g.end(s, 0, Served)
		}
	}
}

// zoned lists two cells of many replicas, one half of them in each zone.
func zoned(t *testing.T, labels ...string) *rig {
	g := newRig(t, func(s *Settings) { s.Cells, s.Width, s.Shards = 1, 1, 1 })
	list := rows(1, 40)
	for i := range list {
		list[i].Zone = labels[i%len(labels)]
	}
	g.step(List{Form: Cached, Servers: list})
	return g
}

func TestEvidenceIsPooledOverServersWithAnEqualLabel(t *testing.T) {
	sent := func(labels []string, bad map[string]bool) (late int) {
		g := zoned(t, labels...)
		for i := range 60 {
			_, evs := g.ask("all", 0)
			for _, s := range of[Send](g.step(evs...)) {
				if !bad[g.r.servers[s.Server].Zone] {
					g.now += 10 * ms
					g.end(s, 0, Served)
					continue
				}
				if i >= 30 && g.r.servers[s.Server].faultLevel == 0 {
					late++ // one not met before
				}
				for n, retry := 1, of[Send](g.end(s, 0, NoConnection)); len(retry) > 0 && n < 3; n++ {
					v := Served
					if bad[g.r.servers[retry[0].Server].Zone] {
						v = NoConnection
					}
					retry = of[Send](g.end(retry[0], n, v))
				}
			}
		}
		return late
	}
	if n := sent([]string{"a", "b"}, map[string]bool{"b": true}); n > 3 {
		t.Errorf("%d first sends to unmet servers of a zone known to be cut off", n)
	}
	g := zoned(t, "a")
	g.r.zones[0].faultShare = 1
	if g.r.faultyGroup(g.r.servers["c0-0"]) != nil {
		t.Error("with all labels equal there is nothing to compare with")
	}
	g = zoned(t, "a", "b")
	g.r.zones[0].faultShare, g.r.zones[1].faultShare = 0.8, 0.6
	if g.r.faultyGroup(g.r.servers["c0-0"]) != nil {
		t.Error("where every zone is bad the way to one of them is not to blame")
	}
}

// A zone whose parts are now and then late, but in good time, is no bad way; one whose
// parts come back too late to be of use is.
func TestLateInGoodTimeIsNoBadWay(t *testing.T) {
	for after, bad := range map[Micros]bool{450 * ms: false, 700 * ms: true} {
		g := zoned(t, "a", "b")
		g.warm(20, 20*ms, 0)
		for range 40 { // zone a alone is asked, each time a server not met lately
			_, evs := g.ask("unsafe", 0) // no copies
			s := of[Send](g.step(evs...))[0]
			if g.r.servers[s.Server].Zone != "a" {
				g.end(s, 0, Served)
				continue
			}
			g.later(after)
			g.end(s, 0, Served)
		}
		if got := g.r.zones[0].faultShare > groupFaultShare; got != bad {
			t.Errorf("served after %d ms: the zone is taken for bad: %v (%.2f)", after/ms, got, g.r.zones[0].faultShare)
		}
	}
}

func TestAClassLeftUnansweredIsNotForgivenByOthers(t *testing.T) {
	g := listed(t, 1, func(s *Settings) { s.Cells, s.Width, s.Shards, s.AttemptCap = 1, 1, 1, 1 })
	s, all, keyed := g.r.servers["c0-0"], g.r.classes["all"], g.r.classes["keyed"]
	for range 3 {
		_, evs := g.ask("keyed", 0)
		lost := of[Send](g.step(evs...))
		g.now += sec
		g.end(lost[0], 0, NoAnswer)
		g.warm(4, 10*ms, 0)
	}
	if s.suspicion(keyed) == 0 || s.suspicion(all) != 0 {
		t.Fatalf("blame %d for the class unanswered, %d for the class served", s.suspicion(keyed), s.suspicion(all))
	}
}

func TestScarceBudgetGoesToQueriesThatOneCopyCompletes(t *testing.T) {
	g := listed(t, 2, func(s *Settings) {
		s.RetryBudget, s.RetryBudgetMin, s.RetryBudgetRatio, s.RetryBudgetWindow = true, 2, 0, 10*sec
	})
	g.step()
	used := g.now - 10*sec + 600*ms // both come back when all parts below are late
	g.r.sharedBudget.extraAttempts = []Micros{used, used}
	_, heavy := g.ask("all", 0, 1, 2, 3)
	g.step(heavy...)
	_, near := g.ask("all", 0, 1, 2, 3)
	sends := of[Send](g.step(near...))
	for _, s := range sends[1:] {
		g.end(s, 0, Served)
	}
	copies := of[Send](g.later(900 * ms))
	if len(copies) != 1 || copies[0].ID != sends[0].ID {
		t.Fatalf("copies %v, want one, for the last part of the second query (%s)", copies, sends[0].ID)
	}
}

func TestAFullTierIsRefusedByChanceThoughWindowsHaveRoom(t *testing.T) {
	refused := func(delay Micros) (n int) {
		g := listed(t, 3, nil)
		for range 100 {
			_, evs := g.ask("some", 0, 1, 2, 3)
			acts := g.step(evs...)
			n += len(of[Refuse](acts))
			g.now += delay
			for _, s := range of[Send](acts) {
				g.end(s, 0, Served)
			}
			g.later(2*sec - delay)
		}
		return n
	}
	if n := refused(50 * ms); n != 0 {
		t.Errorf("%d of 100 refused while all are in time", n)
	}
	if n := refused(1200 * ms); n < 30 || n == 100 {
		t.Errorf("%d of 100 refused while all miss their aim, want many but not all", n)
	}
}

// With many routers a window of one at each bounds nothing: after failures the pause between parts grows.
func TestWindowsShrinkBelowOneInALargeTier(t *testing.T) {
	sent := func(routers int) (n int) {
		g := listed(t, 1, func(s *Settings) {
			s.Routers, s.Cells, s.Width, s.Shards, s.AttemptCap = routers, 1, 1, 1, 1
		})
		for range 40 {
			_, evs := g.ask("all", 0)
			for _, s := range of[Send](g.step(evs...)) {
				n++
				g.now += 500 * ms
				g.end(s, 0, NoAnswer)
			}
			g.now += 100 * ms
		}
		return n
	}
	if few, many := sent(3), sent(40); few < 2*many || many == 0 {
		t.Fatalf("%d sends of 40 with 3 routers, %d with 40; want less than half", few, many)
	}
}

func TestPartsThatNeverComeBackCountAsSlow(t *testing.T) {
	g := listed(t, 2, func(s *Settings) { s.AttemptCap = 1 })
	before := g.r.classes["all"].median
	for range 30 {
		_, evs := g.ask("all", 0, 1, 2, 3)
		sends := of[Send](g.step(evs...))
		g.later(900 * ms)
		for _, s := range sends {
			g.end(s, 0, NoAnswer)
		}
	}
	if after := g.r.classes["all"].median; after < 2*before {
		t.Fatalf("middle latency %.0f after 30 queries unanswered, %.0f before", after, before)
	}
}

func TestADeadZoneStandsOutThoughTheOthersAreOverloaded(t *testing.T) {
	g := zoned(t, "a", "b", "c")
	for i, bad := range []float64{0.95, 0.4, 0.45} {
		g.r.zones[i].faultShare = bad
	}
	if g.r.faultyGroup(g.r.servers["c0-0"]) == nil || g.r.faultyGroup(g.r.servers["c0-1"]) != nil {
		t.Error("want the zone that fails nearly always passed over, and it alone")
	}
}

func TestALateWakeIsNoServersTrouble(t *testing.T) {
	g := listed(t, 1, nil)
	g.warm(50, 20*ms, 0)
	before := g.r.classes["all"].median
	for range 5 {
		_, evs := g.ask("all", 0)
		sent := of[Send](g.step(evs...))
		g.now += 900 * ms // the router stands still; the answer has long been there
		g.r.Step(g.now, []Event{Outcome{ID: sent[0].ID, Server: sent[0].Server, Verdict: Served}, Elapsed{}})
		g.warm(1, 20*ms, 0)
	}
	for id, s := range g.r.servers {
		if s.suspicion(g.r.classes["all"]) > 0 || s.latencyRatio > suspectRatio {
			t.Errorf("%s: blame %d, pace %.1f after stalls of the router", id, s.faultLevel, s.latencyRatio)
		}
	}
	if after := g.r.classes["all"].median; after > 2*before {
		t.Errorf("middle latency %.0f, %.0f before the stalls", after, before)
	}
}

func TestServersThatStayGoneAreLetGo(t *testing.T) {
	g := listed(t, 1, nil)
	for i := range 200 {
		row := Server{ID: fmt.Sprintf("n%d", i), Cell: 0, State: Ready, Scale: 1, UpSince: g.now}
		g.step(List{Form: Delta, Servers: []Server{row}})
		g.now += sec
		row.State = Gone
		g.step(List{Form: Delta, Servers: []Server{row}})
	}
	g.later(g.r.settings.SlowStart + sec)
	if n := len(g.r.servers); n != 4 || len(g.r.cells[0]) != 1 || g.r.readyServers != 4 {
		t.Fatalf("%d servers held, %d in the cell, %d ready; want 4, 1, 4", n, len(g.r.cells[0]), g.r.readyServers)
	}
}

// What a router holds after a long run of all sorts of ends is what it held before.
func TestWhatIsHeldStaysBounded(t *testing.T) {
	g := listed(t, 2, nil)
	for i := range 2000 {
		_, evs := g.ask([]string{"all", "some", "partial", "keyed", "unsafe", "two-step"}[i%6], 0, 1)
		for _, s := range of[Send](g.step(evs...)) {
			g.now += 5 * ms
			g.end(s, 0, Verdict(i/6%8))
		}
		if i%50 == 0 {
			g.later(3 * sec)
		}
	}
	for _, a := range of[Send](g.later(10 * sec)) {
		g.end(a, 0, NoAnswer)
	}
	g.later(20 * sec)
	if len(g.r.queries)+len(g.r.queriesByNumber)+len(g.r.timers)+len(g.r.newQueries) != 0 {
		t.Errorf("left: %d queries, %d numbers, %d timers", len(g.r.queries), len(g.r.queriesByNumber), len(g.r.timers))
	}
}

func TestShortPatienceBringsEarlyCopiesAndNoBlame(t *testing.T) {
	g := listed(t, 2, nil)
	_, evs := g.ask("all", 0)
	q := evs[0].(Query)
	q.Grace = 300 * ms // little beside the class's aim of a second
	evs[0] = q
	first := of[Send](g.step(evs...))[0]
	if n := len(of[Send](g.later(200 * ms))); n != 1 {
		t.Fatalf("%d copies within 200 ms of a try that has 300, want 1", n)
	}
	if b := g.r.servers[first.Server].suspicion(g.r.classes["all"]); b != 0 {
		t.Fatalf("blame %d for a part that is not late by its class", b)
	}
}

func TestOneHungServerDoesNotCondemnItsZone(t *testing.T) {
	g := zoned(t, "a", "b")
	hung := g.r.servers["c0-0"]
	for range 10 { // as a client that is sent there again and again would
		_, evs := g.ask("all", 0)
		for _, s := range of[Send](g.step(evs...)) {
			g.now += 10 * ms
			g.end(s, 0, Served)
		}
		a := &attempt{part: &part{query: &query{class: g.r.classes["all"]}, predictionRatio: 1}, server: hung, sentAt: g.now}
		g.r.recordOutcome(a, Outcome{Verdict: NoConnection})
	}
	if g.r.faultyGroup(hung) != nil {
		t.Fatalf("zone shares %.2f and %.2f after one server failed ten times", g.r.zones[0].faultShare, g.r.zones[1].faultShare)
	}
}

func TestALongWayIsNoFullServer(t *testing.T) {
	g := zoned(t, "a", "b")
	g.r.zones[0].faultShare, g.r.zones[1].faultShare = 0.9, 0
	s := g.r.servers["c0-0"]
	a := &attempt{part: &part{query: &query{class: g.r.classes["all"]}, predictionRatio: 1}, server: s, sentAt: g.now}
	g.now += 900 * ms
	g.r.Step(g.now, nil)
	g.r.handleOverdue(a)
	g.r.recordOutcome(a, Outcome{Verdict: Served})
	if s.window < initialWindow || s.suspicion(g.r.classes["all"]) != 0 {
		t.Fatalf("window %.1f, blame %d for a late part in a zone that is late as a whole", s.window, s.faultLevel)
	}
}

// With many routers a tenant's share at one of them is under a query a minute: its bucket never held
// one, so that every query yielded, and large ones were refused by an idle tier.
func TestOverShareQueriesAreServedWhileNothingIsShort(t *testing.T) {
	g := listed(t, 1, func(s *Settings) { s.Routers, s.Tenants = 20, []Tenant{{Name: "t", QuotaPerS: 1}} })
	for i := range 3 {
		for _, s := range g.r.servers {
			s.reserved = int(initialWindow) / 2 // what another query has out: room, but not ample
		}
		_, evs := g.ask("all", 0, 1)
		q := evs[0].(Query)
		q.Tenant = "t"
		evs[0] = q
		if n := len(of[Send](g.step(evs...))); n != 2 {
			t.Errorf("query %d: %d sends, want 2", i, n)
		}
	}
	g.now += 1000 * sec
	if g.step(); !g.r.withinQuota(&query{tenant: "t"}) {
		t.Error("the first query in a thousand seconds is over the share")
	}
}

// Idle connections dropped unseen: what is sent on one is lost, and no server is to blame.
func TestIdleConnectionsThatProveDeadAreClosedBeforeUse(t *testing.T) {
	play := func(dead bool) (released, blamed int) {
		g := listed(t, 2, func(s *Settings) { s.Keepalive = 60 * sec })
		g.warm(20, 50*ms, 0, 1, 2, 3)
		fresh := make(map[string]Micros) // when the server's connection was last of use
		tries := make(map[string]int)
		var lost []Event
		take := func(acts []Action) {
			for _, r := range of[Release](acts) {
				released++
				fresh[r.Server] = g.now
			}
			for _, s := range of[Send](acts) {
				if !dead || g.now-fresh[s.Server] < sec {
					fresh[s.Server] = g.now
					g.end(s, tries[s.ID], Served)
				} else {
					lost = append(lost, Outcome{ID: s.ID, Server: s.Server, Attempt: tries[s.ID], Verdict: NoAnswer})
				}
				tries[s.ID]++
			}
		}
		for range 60 {
			g.now += 2 * sec // longer than any part takes
			_, evs := g.ask("all", 0, 2, 4, 6)
			take(g.step(evs...))
			take(g.later(sec))
			for _, o := range slices.Clone(lost) {
				take(g.step(o))
			}
			lost = nil
		}
		for _, s := range g.r.servers {
			if s.suspicion(g.r.classes["all"]) > 0 {
				blamed++
			}
		}
		return released, blamed
	}
	if released, _ := play(false); released != 0 {
		t.Errorf("%d connections closed though all were well", released)
	}
	if released, blamed := play(true); released < 100 || blamed > 4 {
		t.Errorf("%d connections closed before 240 first sends, %d servers blamed", released, blamed)
	}
}

// A query that crashes every server it meets costs no more servers than its first sends, and its class
// sends one part ahead when the client asks again. One server's death costs its query nothing.
func TestQueryThatCrashesServersIsNotSentOn(t *testing.T) {
	g := listed(t, 3, nil)
	lose := func(sends []Send) (more []Send, ends int) {
		for _, s := range sends {
			acts := g.end(s, 0, ConnectionLost)
			more, ends = append(more, of[Send](acts)...), ends+finals(acts)
		}
		return more, ends
	}
	_, evs := g.ask("all", 0, 1, 2, 3)
	more, ends := lose(of[Send](g.step(evs...)))
	if len(more) > queryOfDeathLosses-1 || ends+len(of[Refuse](g.later(sec))) != 1 {
		t.Fatalf("%d further sends, %d ends after every part lost its connection", len(more), ends)
	}
	_, evs = g.ask("all", 0, 1, 2, 3)
	ahead := of[Send](g.step(evs...))
	if len(ahead) != 1 {
		t.Fatalf("%d parts sent ahead, want 1", len(ahead))
	}
	if more, ends = lose(ahead); len(more) != 0 || ends != 1 {
		t.Fatalf("%d further sends, %d ends after the part ahead lost its connection", len(more), ends)
	}
	_, evs = g.ask("all", 0, 1, 2, 3)
	if rest := of[Send](g.end(of[Send](g.step(evs...))[0], 0, Served)); len(rest) != 3 {
		t.Fatalf("%d parts sent after the part ahead was served, want 3", len(rest))
	}
	g = listed(t, 3, nil)
	_, evs = g.ask("all", 0, 1, 2, 3)
	sends := of[Send](g.step(evs...))
	if more := of[Send](g.end(sends[0], 0, ConnectionLost)); len(more) != 1 {
		t.Fatalf("%d sends after one server died, want 1", len(more))
	}
}

// A client that asks again with less time than first tries have asked long ago: nothing goes out for what
// can earn nothing any more. One that has as much time as they, or whose late answer earns, is served.
func TestLaterTryPastItsAimIsRefusedBeforeAnyPart(t *testing.T) {
	for _, c := range []struct {
		class string
		grace Micros
		want  int
	}{{"all", 1800 * ms, 1}, {"all", 900 * ms, 0}, {"some", 900 * ms, 1}} {
		g := listed(t, 2, nil)
		try := func(grace Micros, repeat bool) []Action {
			_, evs := g.ask(c.class, 0)
			q := evs[0].(Query)
			q.Grace, q.Repeat = grace, repeat
			evs[0] = q
			return g.step(evs...)
		}
		for range 50 {
			g.end(of[Send](try(1600*ms, false))[0], 0, Served)
		}
		if n := len(of[Send](try(c.grace, true))); n != c.want {
			t.Errorf("%s, %d us left of 2 s: %d sends, want %d", c.class, c.grace, n, c.want)
		}
	}
}

// Where two attempts of a part may not be out at once, a silent server would keep it to the end: the first
// attempt times out while another can be in time, unless the class may not be repeated.
func TestSoleAttemptTimesOutWhileAnotherCanBeInTime(t *testing.T) {
	for class, short := range map[string]bool{"all": true, "unsafe": false} {
		g := listed(t, 2, func(s *Settings) { s.ParallelAttempts = false })
		g.warm(20, 100*ms, 0, 1, 2, 3)
		g.r.classes["unsafe"].upperQuantile = g.r.classes["all"].upperQuantile
		_, evs := g.ask(class, 0)
		s := of[Send](g.step(evs...))[0]
		if (s.Timeout < 900*ms) != short {
			t.Fatalf("%s: time-out after %d us of an aim of a second", class, s.Timeout)
		}
		g.later(s.Timeout)
		if n := len(of[Send](g.end(s, 0, NoAnswer))); (n == 1) != short {
			t.Errorf("%s: %d sends after the time-out", class, n)
		}
	}
}

// A class that may be answered in part and then fetches more must be answered in part while there is time
// for the second step: at its aim the part would be worth nothing.
func TestPartOfAnAnswerLeavesTimeForTheSecondStep(t *testing.T) {
	g := listed(t, 2, func(s *Settings) {
		s.Classes[2].LateValue, s.Classes[2].FetchParts, s.ParallelAttempts = 0, 2, false
	})
	id, evs := g.ask("partial", 0, 1, 2)
	start := g.now
	sends := of[Send](g.step(evs...))
	g.now += 50 * ms
	g.end(sends[0], 0, Served)
	g.end(sends[1], 0, Served)
	acts := g.later(sec - 100*ms - g.r.settings.Resolution)
	if a := of[Answer](acts); len(a) != 1 || a[0].Whole || g.now-start > sec {
		t.Fatalf("two of three parts served, %v before the aim", acts)
	}
	more := g.step(Part{ID: "m1", Class: "partial", Number: g.next, Shard: 0, Weight: 0.5},
		Part{ID: "m2", Class: "partial", Number: g.next, Shard: 1, Weight: 0.5})
	more = append(more, g.later(20*ms)...)
	if n := len(of[Send](more)); n != 2 || finals(more) != 0 {
		t.Fatalf("the second step: %v", more)
	}
	for _, s := range of[Send](more) {
		acts = g.end(s, 0, Served)
	}
	if a := of[Answer](acts); len(a) != 1 || a[0].ID != id || a[0].Whole {
		t.Fatalf("at the end: %v", acts)
	}
}

// Nothing is judged between a first answer and the parts of the second step.
func TestTimersBetweenTheStepsDoNotEndTheQuery(t *testing.T) {
	g := listed(t, 2, nil)
	_, evs := g.ask("two-step", 0)
	g.end(of[Send](g.step(evs...))[0], 0, Served)
	for _, q := range g.r.queries {
		g.r.scheduleMore(q)
	}
	if acts := g.step(); finals(acts) != 0 || len(g.r.queries) != 1 {
		t.Fatalf("between the steps: %v", acts)
	}
}

// The second step's parts are overdue by the time that step has, not by that of the whole query.
func TestSecondStepIsPursuedWithinItsOwnTime(t *testing.T) {
	g := listed(t, 2, nil)
	_, evs := g.ask("two-step", 0, 1)
	sends := of[Send](g.step(evs...))
	g.now += 600 * ms
	g.end(sends[0], 0, Served)
	g.end(sends[1], 0, Served)
	g.r.classes["two-step"].upperQuantile = float64(sec) // slow of late: only the time left makes a part overdue
	if n := len(of[Send](g.step(Part{ID: "m", Class: "two-step", Number: g.next, Shard: 0, Weight: 1}))); n != 0 {
		t.Fatalf("%d sends at once, want them with the next tick", n)
	}
	if n := len(of[Send](g.later(200 * ms))); n != 2 {
		t.Fatalf("%d sends in half of the 400 ms left, want the part and a copy", n)
	}
}

// In a jam answers on idle connections come late: that proves the connections, and no window is spared.
func TestLateAnswersAreNoDeadConnections(t *testing.T) {
	g := listed(t, 2, func(s *Settings) { s.Keepalive = 60 * sec })
	g.warm(20, 50*ms, 0, 1, 2, 3)
	released := 0
	for range 30 {
		g.now += 2 * sec
		_, evs := g.ask("some", 0, 2, 4, 6)
		acts := g.step(evs...)
		tries := make(map[string]int)
		released += len(of[Release](acts))
		late := append(acts, g.later(700*ms)...)
		for _, s := range of[Send](late) {
			g.end(s, tries[s.ID], Served)
			tries[s.ID]++
		}
	}
	if released != 0 || g.r.idleConns.faultShare > groupFaultShare {
		t.Errorf("%d connections closed, idle ones taken for %.2f bad", released, g.r.idleConns.faultShare)
	}
	for id, s := range g.r.servers {
		if s.window >= initialWindow && s.lastServedByClass[g.r.classes["some"].classIndex] > 0 {
			t.Errorf("%s keeps a window of %.1f though its parts took 0.7 of their aim", id, s.window)
		}
	}
}

// While crowded it is work that is refused: large queries more often than small ones, none always.
func TestLargeQueriesGiveWayFirstWhileCrowded(t *testing.T) {
	g := listed(t, 3, nil)
	refused := map[int]int{}
	for i := range 400 {
		shards := []int{0}
		if i%2 == 0 {
			shards = []int{0, 1, 2, 3, 4, 5, 6}
		}
		g.crowd("all", 0.4)
		_, evs := g.ask("all", shards...)
		acts := g.step(evs...)
		refused[len(shards)] += len(of[Refuse](acts))
		for _, s := range of[Send](acts) {
			g.end(s, 0, Served)
		}
	}
	if refused[1] > 50 || refused[7] < 100 || refused[7] > 180 {
		t.Fatalf("of 200 each, %d of one part and %d of seven parts refused", refused[1], refused[7])
	}
}

// In a release a shard's one sound replica drains while the other is down: the draining one serves on, and
// queries that were refused for want of it need not be. Only on news that is told now, and not for long.
func TestDrainingServerStandsInForNone(t *testing.T) {
	sent := func(form Form, failed bool, wait Micros, replicas int) int {
		g := listed(t, replicas, func(s *Settings) { s.Width, s.AskDiscovery, s.AskWithin = 1, true, 10*sec })
		g.step(List{Form: Delta}) // the watch stands
		if failed {
			g.step(List{Form: Failed})
		}
		all := rows(g.r.settings.Cells, replicas)
		all[0].State = Draining
		g.step(List{Form: form, Servers: all})
		g.now += wait
		n := 0
		for range 4 {
			_, evs := g.ask("all", 0)
			for _, s := range of[Send](g.step(evs...)) {
				if s.Server == "c0-0" {
					n++
				}
			}
		}
		return n
	}
	grace := testSettings().DrainGrace
	if n := sent(Delta, false, grace/4, 1); n != 4 {
		t.Fatalf("%d of 4 parts sent to the one server of a shard, which drains since a moment ago", n)
	}
	if n := sent(Delta, false, grace/4, 2); n != 0 {
		t.Fatalf("%d parts sent to a draining server while another is sound", n)
	}
	if n := sent(Full, false, grace/4, 1) + sent(Delta, true, grace/4, 1) + sent(Delta, false, grace, 1); n != 0 {
		t.Fatalf("%d parts sent to a server that may have drained for long", n)
	}
}
