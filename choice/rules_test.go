package choice

import (
	"fmt"
	"testing"
)

// Rule 1: every query gets one final answer in time, whatever the servers do.
func TestSilentServersStillGiveOneFinalAnswerInTime(t *testing.T) {
	for _, class := range []string{"all", "some", "partial", "keyed", "unsafe", "two-step"} {
		t.Run(class, func(t *testing.T) {
			g := listed(t, 2, nil)
			_, evs := g.ask(class, 0, 1)
			acts := g.step(evs...)
			acts = append(acts, g.later(2*sec+g.r.settings.AnswerSlack)...)
			if n := finals(acts); n != 1 {
				t.Fatalf("%d final answers, want 1: %v", n, acts)
			}
			if more := g.later(5 * sec); finals(more)+len(of[Send](more)) != 0 {
				t.Fatalf("after the end: %v", more)
			}
		})
	}
}

func TestNoPartIsSentOnceTheClientLeft(t *testing.T) {
	g := listed(t, 2, nil)
	id, evs := g.ask("all", 0, 1)
	sends := of[Send](g.step(evs...))
	acts := g.step(ClientLeft{ID: id}, Outcome{ID: sends[0].ID, Server: sends[0].Server, Verdict: ServerError})
	if acts = append(acts, g.later(3*sec)...); len(of[Send](acts)) != 0 || finals(acts) != 0 {
		t.Fatalf("after the client left: %v", acts)
	}
}

// Rule 2: an unsafe part is sent again only when no attempt can have run.
func TestUnsafePartIsRepeatedOnlyWhenProvenNotRun(t *testing.T) {
	for verdict, again := range map[Verdict]bool{
		ServerError: false, NoAnswer: false, ConnectionLost: false, Rejected: true, NoConnection: true,
	} {
		g := listed(t, 2, nil)
		_, evs := g.ask("unsafe", 0)
		sends := of[Send](g.step(evs...))
		acts := append(g.end(sends[0], 0, verdict), g.later(3*sec)...)
		if got := len(of[Send](acts)) > 0; got != again {
			t.Errorf("verdict %d: sent again %v, want %v", verdict, got, again)
		}
		if n := len(of[Refuse](acts)); !again && n != 0 {
			t.Errorf("verdict %d: refused though it may have run", verdict)
		}
	}
}

func TestKeyedPartIsNotRepeatedAfterItsMemorySpan(t *testing.T) {
	g := listed(t, 2, nil)
	_, evs := g.ask("keyed", 0)
	sends := of[Send](g.step(evs...))
	g.now += 290 * ms
	if n := len(of[Send](g.end(sends[0], 0, ServerError))); n != 1 {
		t.Fatalf("%d further attempts within the span, want 1", n)
	}
	g = listed(t, 2, nil)
	_, evs = g.ask("keyed", 0)
	sends = of[Send](g.step(evs...))
	g.now += 300 * ms
	acts := append(g.end(sends[0], 0, ServerError), g.later(3*sec)...)
	for _, a := range acts {
		if _, ok := a.(Send); ok {
			t.Fatalf("sent again after the span: %v", acts)
		}
	}
	if len(of[Fail](acts)) != 1 {
		t.Fatalf("want one Fail: %v", acts)
	}
}

func TestNoSecondCopyWhereTwoAtOnceAreForbidden(t *testing.T) {
	g := listed(t, 2, func(s *Settings) { s.ParallelAttempts = false })
	_, evs := g.ask("all", 0)
	g.step(evs...)
	if n := len(of[Send](g.later(2 * sec))); n != 0 {
		t.Fatalf("%d copies while the first was out", n)
	}
}

// Rule 3: nothing new goes to a server told to be draining or gone.
func TestDrainingAndGoneServersGetNothing(t *testing.T) {
	for _, state := range []State{Draining, Gone} {
		g := listed(t, 1, nil)
		row := rows(4, 1)[0]
		row.State = state
		g.step(List{Form: Delta, Servers: []Server{row}})
		for range 50 {
			_, evs := g.ask("all", 0)
			for _, s := range of[Send](g.step(evs...)) {
				if s.Server == row.ID {
					t.Fatalf("state %d: sent to %s", state, s.Server)
				}
				g.now += 10 * ms
				g.end(s, 0, Served)
			}
		}
	}
}

func TestServerMissingFromAFullListIsGone(t *testing.T) {
	g := listed(t, 1, nil)
	g.step(List{Form: Full, Servers: rows(4, 1)[1:]})
	for range 30 {
		_, evs := g.ask("all", 0)
		for _, s := range of[Send](g.step(evs...)) {
			if s.Server == "c0-0" {
				t.Fatal("sent to a server that the full list left out")
			}
			g.end(s, 0, Served)
		}
	}
}

// Rule 4: a server just started gets a small share of what warm ones bear.
func TestColdServerIsNotPushedOver(t *testing.T) {
	g := listed(t, 1, func(s *Settings) { s.Cells, s.Width, s.Shards = 2, 2, 2 })
	g.warm(300, 10*ms, 0)
	fresh := Server{ID: "cold", Cell: 0, State: Ready, Scale: 1, UpSince: g.now}
	g.step(List{Form: Delta, Servers: []Server{fresh}})
	got := map[string]int{}
	for end := g.now + g.r.settings.OverloadWindow; g.now < end; {
		_, evs := g.ask("all", 0)
		for _, s := range of[Send](g.step(evs...)) {
			got[s.Server]++
			g.now += 10 * ms
			g.end(s, 0, Served)
		}
	}
	borne := 100 / 2 * float64(g.r.settings.OverloadWindow) / float64(sec) // by each warm server before
	share := g.r.settings.StartCapacity + (1-g.r.settings.StartCapacity)*float64(g.r.settings.OverloadWindow)/2/float64(g.r.settings.SlowStart)
	limit := g.r.settings.OverloadMultiple * share * borne
	if got["cold"] == 0 || float64(got["cold"]) > limit {
		t.Fatalf("cold server got %d in its first %d us, want 1 to %.0f", got["cold"], g.r.settings.OverloadWindow, limit)
	}
}

// What many routers of different seeds send to one fresh server, each seeing a sliver of the traffic, stays
// under what it can do; a floor of one call per router would be three times that.
func TestManyRoutersTogetherDoNotPushAColdServerOver(t *testing.T) {
	const routers = 60
	var sent, worst, most float64
	for seed := range uint64(routers) {
		g := listed(t, 1, func(s *Settings) {
			s.Routers, s.Cells, s.Width, s.Shards, s.StartCapacity, s.SlowStart = routers, 1, 1, 1, 0.17, 18*sec
		})
		g.r, _ = New(seed, g.r.settings)
		g.step(List{Form: Cached, Servers: rows(1, 2)})
		g.now += Micros(seed) * 50 * ms // a start of its own
		for range 30 {                  // half a part a second and server
			g.warm(1, 10*ms, 0)
			g.now += sec
		}
		worst += 0.5 * float64(g.r.settings.OverloadWindow) / 1e6
		g.step(List{Form: Delta, Servers: []Server{{ID: "fresh", Cell: 0, State: Ready, Scale: 1, UpSince: g.now}}})
		for end := g.now + g.r.settings.OverloadWindow; g.now < end; {
			_, evs := g.ask("all", 0)
			for _, s := range of[Send](g.step(evs...)) {
				if s.Server == "fresh" {
					sent++
				}
				g.now += 490 * ms
				g.end(s, 0, Served)
			}
		}
	}
	set := testSettings()
	most = worst * set.OverloadMultiple * 0.17 // what warm servers bore, at the share a cold one starts with
	if sent == 0 || sent > most {
		t.Fatalf("%d routers sent a fresh server %v in one window, want 1 to %.0f", routers, sent, most)
	}
}

// Rule 5: whole means whole, and no answer comes from under the floor.
func TestAnswersAreHonest(t *testing.T) {
	for _, c := range []struct {
		class  string
		served int
		answer bool
		whole  bool
	}{
		{"all", 3, false, false}, {"all", 4, true, true},
		{"some", 1, false, false}, {"some", 2, true, true},
		{"partial", 1, false, false}, {"partial", 2, true, false}, {"partial", 4, true, true},
	} {
		t.Run(fmt.Sprint(c.class, c.served), func(t *testing.T) {
			g := listed(t, 2, nil)
			_, evs := g.ask(c.class, 0, 1, 2, 3)
			sends := of[Send](g.step(evs...))
			var acts []Action
			for _, s := range sends[:c.served] {
				acts = append(acts, g.end(s, 0, Served)...)
			}
			acts = append(acts, g.later(3*sec)...)
			answers := of[Answer](acts)
			if (len(answers) == 1) != c.answer || c.answer && answers[0].Whole != c.whole {
				t.Fatalf("answers %v, want %v whole %v", answers, c.answer, c.whole)
			}
		})
	}
}

func TestAPartCountsOnceThoughTwoAttemptsServe(t *testing.T) {
	g := listed(t, 2, nil)
	_, evs := g.ask("all", 0, 1)
	first := of[Send](g.step(evs...))
	copies := of[Send](g.later(600 * ms))
	if len(copies) == 0 {
		t.Fatal("no second copy of an overdue part")
	}
	acts := g.end(copies[0], 1, Served)
	for _, s := range first {
		if s.ID == copies[0].ID {
			acts = append(acts, g.end(s, 0, Served)...)
		}
	}
	if len(of[Answer](acts)) != 0 {
		t.Fatal("answered from one part counted twice")
	}
}

// Rule 6: further attempts stay within the told budget over any window.
func TestFurtherAttemptsStayWithinTheBudget(t *testing.T) {
	g := listed(t, 3, func(s *Settings) {
		s.RetryBudget, s.RetryBudgetMin, s.RetryBudgetRatio, s.RetryBudgetWindow = true, 2, 0.1, 10*sec
	})
	taken, extras := 0, 0
	for range 20 {
		_, evs := g.ask("all", 0, 1)
		taken += len(evs)
		for _, s := range of[Send](g.step(evs...)) {
			extras += len(of[Send](g.end(s, 0, ServerError)))
		}
	}
	if limit := 2 + 0.1*float64(taken); extras == 0 || float64(extras) > limit {
		t.Fatalf("%d further attempts, want 1 to %.1f", extras, limit)
	}
}

func TestAttemptsOfAPartStayUnderTheCap(t *testing.T) {
	g := listed(t, 4, nil)
	_, evs := g.ask("all", 0)
	acts := g.step(evs...)
	sent := 0
	for queue := of[Send](acts); len(queue) > 0; queue = queue[1:] {
		more := append(g.end(queue[0], sent, ServerError), g.later(100*ms)...)
		sent++
		queue = append(queue, of[Send](more)...)
	}
	if sent != g.r.settings.AttemptCap {
		t.Fatalf("%d attempts, want the cap of %d", sent, g.r.settings.AttemptCap)
	}
}

// The four rules of the design.

func TestDesignNOfMorePartsThanNeeded(t *testing.T) {
	g := listed(t, 2, nil)
	_, evs := g.ask("some", 0, 1, 2, 3)
	sends := of[Send](g.step(evs...))
	if len(sends) != 3 {
		t.Fatalf("%d parts sent of 4 with 2 needed, want 3", len(sends))
	}
	g.end(sends[2], 0, Served)
	if a := of[Answer](g.end(sends[0], 0, Served)); len(a) != 1 || !a[0].Whole {
		t.Fatalf("answers %v with any 2 served", a)
	}
}

func TestDesignWindowPerServerGrowsByOneOverItselfAndHalves(t *testing.T) {
	g := listed(t, 1, func(s *Settings) { s.Cells, s.Width, s.Shards, s.AttemptCap = 1, 1, 1, 1 })
	s := g.r.servers["c0-0"]
	var sends []Send
	for range 6 {
		_, evs := g.ask("all", 0)
		sends = append(sends, of[Send](g.step(evs...))...)
	}
	if len(sends) != int(initialWindow) {
		t.Fatalf("%d parts out, want the window of %v", len(sends), initialWindow)
	}
	g.now += 10 * ms
	g.end(sends[0], 0, Served)
	if want := initialWindow + 1/initialWindow; s.window != want {
		t.Fatalf("window %v after a served part, want %v", s.window, want)
	}
	before := s.window
	g.end(sends[1], 0, NoConnection)
	g.end(sends[2], 0, NoConnection)
	if s.window != before/2 {
		t.Fatalf("window %v after failures of one round trip, want %v", s.window, before/2)
	}
}

func TestDesignRefusalBeforeAnyPartIsSent(t *testing.T) {
	g := listed(t, 1, func(s *Settings) { s.Width = 1 })
	g.r.servers["c1-0"].reserved = int(initialWindow)
	_, evs := g.ask("all", 0, 1, 2)
	if acts := g.step(evs...); len(of[Refuse](acts)) != 1 || len(of[Send](acts)) != 0 {
		t.Fatalf("one of three shards without room: %v", acts)
	}
}

func TestDesignUniformDrawAmongReplicasWithRoom(t *testing.T) {
	g := listed(t, 4, func(s *Settings) { s.Cells, s.Width, s.Shards = 1, 1, 1 })
	g.r.servers["c0-3"].reserved = int(initialWindow)
	got, rounds := map[string]int{}, 3000
	for range rounds {
		_, evs := g.ask("all", 0)
		for _, s := range of[Send](g.step(evs...)) {
			got[s.Server]++
			g.now += 10 * ms
			g.end(s, 0, Served)
		}
	}
	for _, id := range []string{"c0-0", "c0-1", "c0-2"} {
		if n := got[id]; n < rounds*29/100 || n > rounds*38/100 {
			t.Errorf("%s drawn %d times of %d, want a third", id, n, rounds)
		}
	}
	if got["c0-3"] != 0 {
		t.Errorf("a full server drawn %d times", got["c0-3"])
	}
}

// What a cold server may be sent rests on what a single one was surely seen to bear:
// with one server busy and the others at rest, the mean says a third of it.
func TestBearingIsOfTheServerThatBoreMost(t *testing.T) {
	g := listed(t, 3, nil)
	for _, s := range g.r.servers {
		s.servedInSpan = 4
	}
	g.r.servers["c0-0"].servedInSpan = 400
	span := g.r.settings.OverloadWindow
	g.r.now = g.r.spanStartedAt + span
	g.r.updateObservedRate()
	if want := (400 - 2*20) / (float64(span) / 1e6); g.r.observedRate != want {
		t.Fatalf("bears %v a second, want %v", g.r.observedRate, want)
	}
	g.r.now += span
	for _, s := range g.r.servers { // few on each: the best of them owes it to chance
		s.servedInSpan = 4
	}
	g.r.observedRate = 0
	g.r.updateObservedRate()
	if want := 4 / (float64(span) / 1e6); g.r.observedRate != want {
		t.Fatalf("bears %v a second, want the mean, %v", g.r.observedRate, want)
	}
}

// A query that may come down to a least share is admitted for that where there is no
// room for the whole; without that word it is refused, and nothing is sent.
func TestLeastShareWhereThereIsNoRoom(t *testing.T) {
	for _, least := range []float64{0, 0.5} {
		g := listed(t, 1, func(s *Settings) { s.Width = 1 })
		for _, s := range g.r.servers { // half of the cells have no room
			if s.Cell%2 == 0 {
				s.window, s.reserved = 1, 1
			}
		}
		_, evs := g.ask("partial", 0, 1)
		q := evs[0].(Query)
		q.Least = least
		evs[0] = q
		acts := g.step(evs...)
		if sent := len(of[Send](acts)); (sent > 0) != (least > 0) {
			t.Fatalf("least %v: %d parts sent, actions %+v", least, sent, acts)
		}
	}
}

// setApart tells the router that one server is so many times slower than its peers.
func setApart(g *rig, times float64, ids ...string) {
	for _, id := range ids {
		row := g.r.servers[id].Server
		row.Slow = times
		g.step(List{Form: Delta, Servers: []Server{row}})
	}
}

// A server set apart gets a first send only where no other has room, or in one of the few
// trials that all routers share; while it would be in time, as any suspect does.
func TestSetApartGetsWhatFindsNoRoom(t *testing.T) {
	for _, c := range []struct {
		times       float64
		least, most int
	}{{20, 0, 3}, {2, 2, 40}} {
		g := listed(t, 2, func(s *Settings) { s.Routers = 30 })
		g.warm(20, 100*ms, 0, 1)
		setApart(g, c.times, "c0-0")
		there := 0
		for range 300 {
			_, evs := g.ask("all", 0)
			sends := of[Send](g.step(evs...))
			if len(sends) != 1 {
				t.Fatalf("%d sends", len(sends))
			}
			if sends[0].Server == "c0-0" {
				there++
			}
			g.now += 100 * ms
			g.end(sends[0], 0, Served)
		}
		if there < c.least || there > c.most {
			t.Errorf("%v times slow: %d of 300 first sends went there, want %d to %d", c.times, there, c.least, c.most)
		}
	}
	g := listed(t, 1, nil) // two servers a shard: what finds no room at the sound one goes to the other
	setApart(g, 20, "c1-0")
	there := 0
	for range 12 {
		_, evs := g.ask("all", 0)
		for _, s := range of[Send](g.step(evs...)) {
			if s.Server == "c1-0" {
				there++
			}
		}
	}
	if there == 0 || there == 12 {
		t.Errorf("%d of 12 parts at once went to the one set apart", there)
	}
}

// What misses parts of servers set apart alone is answered in part at once, and honestly:
// not whole. Parts that may be in time, or have another copy out, are waited for.
func TestPartialAtOnceWhenOnlyLaggardsMiss(t *testing.T) {
	ask := func(times float64) (*rig, string, []Send) {
		g := listed(t, 1, func(s *Settings) { s.Width, s.AttemptCap = 1, 1 })
		g.warm(20, 100*ms, 0, 1, 2)
		setApart(g, times, "c2-0")
		id, evs := g.ask("partial", 0, 1, 2)
		sends := of[Send](g.step(evs...))
		if len(sends) != 3 {
			t.Fatalf("%d sends", len(sends))
		}
		return g, id, sends
	}
	end := func(g *rig, sends []Send) (acts []Action) {
		g.now += 100 * ms
		for _, s := range sends {
			if s.Server != "c2-0" {
				acts = append(acts, g.end(s, 0, Served)...)
			}
		}
		return acts
	}
	g, id, sends := ask(20) // twenty times 100 ms is past the aim of a second
	if a := of[Answer](end(g, sends)); len(a) != 1 || a[0].ID != id || a[0].Whole {
		t.Errorf("with a laggard's part missing: %v", a)
	}
	g, _, sends = ask(5)
	if acts := end(g, sends); finals(acts) != 0 {
		t.Errorf("a laggard that may be in time is not waited for: %v", acts)
	}
	if a := of[Answer](g.later(sec)); len(a) != 1 || a[0].Whole {
		t.Errorf("at the aim: %v", a)
	}
	g, _, sends = ask(0)
	if acts := end(g, sends); finals(acts) != 0 {
		t.Errorf("a sound server's part is not waited for: %v", acts)
	}
}
