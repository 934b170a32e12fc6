package choice

import (
	"fmt"
	"testing"
)

// Rule 1: every query gets exactly one final action in time, whatever the servers do.
func TestUnresponsiveServersStillGiveOneFinalActionInTime(t *testing.T) {
	for _, class := range []string{"all", "some", "partial", "keyed", "unsafe", "two-step"} {
		t.Run(class, func(t *testing.T) {
			h := newListedHarness(t, 2, nil)
			_, events := h.newQuery(class, 0, 1)
			actions := h.step(events...)
			actions = append(actions, h.advance(2*sec+h.router.settings.AnswerSlack)...)
			if n := countFinal(actions); n != 1 {
				t.Fatalf("%d final actions, want 1: %v", n, actions)
			}
			if more := h.advance(5 * sec); countFinal(more)+len(actionsOf[Send](more)) != 0 {
				t.Fatalf("after the end: %v", more)
			}
		})
	}
}

func TestNoPartIsSentOnceTheClientLeft(t *testing.T) {
	h := newListedHarness(t, 2, nil)
	id, events := h.newQuery("all", 0, 1)
	sends := actionsOf[Send](h.step(events...))
	actions := h.step(ClientLeft{ID: id}, Outcome{ID: sends[0].ID, Server: sends[0].Server, Verdict: ServerError})
	if actions = append(actions, h.advance(3*sec)...); len(actionsOf[Send](actions)) != 0 || countFinal(actions) != 0 {
		t.Fatalf("after the client left: %v", actions)
	}
}

// Rule 2: an unsafe part is sent again only when no attempt can have run.
func TestUnsafePartIsRepeatedOnlyWhenProvenNotRun(t *testing.T) {
	for verdict, again := range map[Verdict]bool{
		ServerError: false, NoAnswer: false, ConnectionLost: false, Rejected: true, NoConnection: true,
	} {
		h := newListedHarness(t, 2, nil)
		_, events := h.newQuery("unsafe", 0)
		sends := actionsOf[Send](h.step(events...))
		actions := append(h.finish(sends[0], 0, verdict), h.advance(3*sec)...)
		if got := len(actionsOf[Send](actions)) > 0; got != again {
			t.Errorf("verdict %d: sent again %v, want %v", verdict, got, again)
		}
		if n := len(actionsOf[Refuse](actions)); !again && n != 0 {
			t.Errorf("verdict %d: Refuse though it may have run", verdict)
		}
	}
}

func TestKeyedPartIsNotRepeatedAfterItsDedupWindow(t *testing.T) {
	h := newListedHarness(t, 2, nil)
	_, events := h.newQuery("keyed", 0)
	sends := actionsOf[Send](h.step(events...))
	h.now += 290 * ms
	if n := len(actionsOf[Send](h.finish(sends[0], 0, ServerError))); n != 1 {
		t.Fatalf("%d retries within the window, want 1", n)
	}
	h = newListedHarness(t, 2, nil)
	_, events = h.newQuery("keyed", 0)
	sends = actionsOf[Send](h.step(events...))
	h.now += 300 * ms
	actions := append(h.finish(sends[0], 0, ServerError), h.advance(3*sec)...)
	for _, a := range actions {
		if _, ok := a.(Send); ok {
			t.Fatalf("sent again after the window: %v", actions)
		}
	}
	if len(actionsOf[Fail](actions)) != 1 {
		t.Fatalf("want one Fail: %v", actions)
	}
}

func TestNoHedgeWithoutParallelAttempts(t *testing.T) {
	h := newListedHarness(t, 2, func(s *Settings) { s.ParallelAttempts = false })
	_, events := h.newQuery("all", 0)
	h.step(events...)
	if n := len(actionsOf[Send](h.advance(2 * sec))); n != 0 {
		t.Fatalf("%d hedges while the first attempt was in flight", n)
	}
}

// Rule 3: no new attempt goes to a server listed as draining or gone.
func TestDrainingAndGoneServersGetNothing(t *testing.T) {
	for _, state := range []State{Draining, Gone} {
		h := newListedHarness(t, 1, nil)
		row := testServers(4, 1)[0]
		row.State = state
		h.step(List{Form: Delta, Servers: []Server{row}})
		for range 50 {
			_, events := h.newQuery("all", 0)
			for _, s := range actionsOf[Send](h.step(events...)) {
				if s.Server == row.ID {
					t.Fatalf("state %d: sent to %s", state, s.Server)
				}
				h.now += 10 * ms
				h.finish(s, 0, Served)
			}
		}
	}
}

func TestServerMissingFromAFullListIsGone(t *testing.T) {
	h := newListedHarness(t, 1, nil)
	h.step(List{Form: Full, Servers: testServers(4, 1)[1:]})
	for range 30 {
		_, events := h.newQuery("all", 0)
		for _, s := range actionsOf[Send](h.step(events...)) {
			if s.Server == "c0-0" {
				t.Fatal("sent to a server that the full list left out")
			}
			h.finish(s, 0, Served)
		}
	}
}

// Rule 4: a server that has just started gets a small share of the load that others take.
func TestStartingServerIsNotOverloaded(t *testing.T) {
	h := newListedHarness(t, 1, func(s *Settings) { s.Cells, s.Width, s.Shards = 2, 2, 2 })
	h.serveQueries(300, 10*ms, 0)
	starting := Server{ID: "starting", Cell: 0, State: Ready, Scale: 1, UpSince: h.now}
	h.step(List{Form: Delta, Servers: []Server{starting}})
	got := map[string]int{}
	for end := h.now + h.router.settings.OverloadWindow; h.now < end; {
		_, events := h.newQuery("all", 0)
		for _, s := range actionsOf[Send](h.step(events...)) {
			got[s.Server]++
			h.now += 10 * ms
			h.finish(s, 0, Served)
		}
	}
	before := 100 / 2 * float64(h.router.settings.OverloadWindow) / float64(sec) // load of each server before the start
	share := h.router.settings.StartCapacity + (1-h.router.settings.StartCapacity)*float64(h.router.settings.OverloadWindow)/2/float64(h.router.settings.SlowStart)
	limit := h.router.settings.OverloadMultiple * share * before
	if got["starting"] == 0 || float64(got["starting"]) > limit {
		t.Fatalf("starting server got %d parts in its first %d us, want 1 to %.0f", got["starting"], h.router.settings.OverloadWindow, limit)
	}
}

// Many routers, each with a small part of the traffic, must not overload a starting server together. A floor
// of one call per router would be three times what it can take.
func TestManyRoutersTogetherDoNotOverloadAStartingServer(t *testing.T) {
	const routers = 60
	var sent, normal, limit float64
	for seed := range uint64(routers) {
		h := newListedHarness(t, 1, func(s *Settings) {
			s.Routers, s.Cells, s.Width, s.Shards, s.StartCapacity, s.SlowStart = routers, 1, 1, 1, 0.17, 18*sec
		})
		h.router, _ = New(seed, h.router.settings)
		h.step(List{Form: Cached, Servers: testServers(1, 2)})
		h.now += Micros(seed) * 50 * ms // a different start for each router
		for range 30 {                  // half a part per second and server
			h.serveQueries(1, 10*ms, 0)
			h.now += sec
		}
		normal += 0.5 * float64(h.router.settings.OverloadWindow) / 1e6
		h.step(List{Form: Delta, Servers: []Server{{ID: "fresh", Cell: 0, State: Ready, Scale: 1, UpSince: h.now}}})
		for end := h.now + h.router.settings.OverloadWindow; h.now < end; {
			_, events := h.newQuery("all", 0)
			for _, s := range actionsOf[Send](h.step(events...)) {
				if s.Server == "fresh" {
					sent++
				}
				h.now += 490 * ms
				h.finish(s, 0, Served)
			}
		}
	}
	set := testSettings()
	limit = normal * set.OverloadMultiple * 0.17 // the load of other servers, at the capacity a server starts with
	if sent == 0 || sent > limit {
		t.Fatalf("%d routers sent a starting server %v parts in one window, want 1 to %.0f", routers, sent, limit)
	}
}

// Rule 5: an answer marked as complete is complete, and no answer is made from less than MinShare.
func TestAnswersAreHonest(t *testing.T) {
	for _, c := range []struct {
		class    string
		served   int
		answer   bool
		complete bool
	}{
		{"all", 3, false, false}, {"all", 4, true, true},
		{"some", 1, false, false}, {"some", 2, true, true},
		{"partial", 1, false, false}, {"partial", 2, true, false}, {"partial", 4, true, true},
	} {
		t.Run(fmt.Sprint(c.class, c.served), func(t *testing.T) {
			h := newListedHarness(t, 2, nil)
			_, events := h.newQuery(c.class, 0, 1, 2, 3)
			sends := actionsOf[Send](h.step(events...))
			var actions []Action
			for _, s := range sends[:c.served] {
				actions = append(actions, h.finish(s, 0, Served)...)
			}
			actions = append(actions, h.advance(3*sec)...)
			answers := actionsOf[Answer](actions)
			if (len(answers) == 1) != c.answer || c.answer && answers[0].Whole != c.complete {
				t.Fatalf("answers %v, want %v, complete %v", answers, c.answer, c.complete)
			}
		})
	}
}

func TestAPartCountsOnceThoughTwoAttemptsServe(t *testing.T) {
	h := newListedHarness(t, 2, nil)
	_, events := h.newQuery("all", 0, 1)
	first := actionsOf[Send](h.step(events...))
	hedges := actionsOf[Send](h.advance(600 * ms))
	if len(hedges) == 0 {
		t.Fatal("no hedge of an overdue part")
	}
	actions := h.finish(hedges[0], 1, Served)
	for _, s := range first {
		if s.ID == hedges[0].ID {
			actions = append(actions, h.finish(s, 0, Served)...)
		}
	}
	if len(actionsOf[Answer](actions)) != 0 {
		t.Fatal("answered from one part counted twice")
	}
}

// Rule 6: extra attempts stay within the configured budget over any window.
func TestExtraAttemptsStayWithinTheBudget(t *testing.T) {
	h := newListedHarness(t, 3, func(s *Settings) {
		s.RetryBudget, s.RetryBudgetMin, s.RetryBudgetRatio, s.RetryBudgetWindow = true, 2, 0.1, 10*sec
	})
	arrivals, extraAttempts := 0, 0
	for range 20 {
		_, events := h.newQuery("all", 0, 1)
		arrivals += len(events)
		for _, s := range actionsOf[Send](h.step(events...)) {
			extraAttempts += len(actionsOf[Send](h.finish(s, 0, ServerError)))
		}
	}
	if limit := 2 + 0.1*float64(arrivals); extraAttempts == 0 || float64(extraAttempts) > limit {
		t.Fatalf("%d extra attempts, want 1 to %.1f", extraAttempts, limit)
	}
}

func TestAttemptsOfAPartStayUnderTheCap(t *testing.T) {
	h := newListedHarness(t, 4, nil)
	_, events := h.newQuery("all", 0)
	actions := h.step(events...)
	sent := 0
	for queue := actionsOf[Send](actions); len(queue) > 0; queue = queue[1:] {
		more := append(h.finish(queue[0], sent, ServerError), h.advance(100*ms)...)
		sent++
		queue = append(queue, actionsOf[Send](more)...)
	}
	if sent != h.router.settings.AttemptCap {
		t.Fatalf("%d attempts, want the cap of %d", sent, h.router.settings.AttemptCap)
	}
}

// The four TestDesign tests below check the mechanism that the package comment describes.

func TestDesignSendsMorePartsThanRequired(t *testing.T) {
	h := newListedHarness(t, 2, nil)
	_, events := h.newQuery("some", 0, 1, 2, 3)
	sends := actionsOf[Send](h.step(events...))
	if len(sends) != 3 {
		t.Fatalf("%d parts sent of 4 with 2 required, want 3", len(sends))
	}
	h.finish(sends[2], 0, Served)
	if a := actionsOf[Answer](h.finish(sends[0], 0, Served)); len(a) != 1 || !a[0].Whole {
		t.Fatalf("answers %v with any 2 served", a)
	}
}

func TestDesignWindowPerServerGrowsByOneOverItselfAndHalves(t *testing.T) {
	h := newListedHarness(t, 1, func(s *Settings) { s.Cells, s.Width, s.Shards, s.AttemptCap = 1, 1, 1, 1 })
	s := h.router.servers["c0-0"]
	var sends []Send
	for range 6 {
		_, events := h.newQuery("all", 0)
		sends = append(sends, actionsOf[Send](h.step(events...))...)
	}
	if len(sends) != int(initialWindow) {
		t.Fatalf("%d parts in flight, want the window of %v", len(sends), initialWindow)
	}
	h.now += 10 * ms
	h.finish(sends[0], 0, Served)
	if want := initialWindow + 1/initialWindow; s.window != want {
		t.Fatalf("window %v after a served part, want %v", s.window, want)
	}
	before := s.window
	h.finish(sends[1], 0, NoConnection)
	h.finish(sends[2], 0, NoConnection)
	if s.window != before/2 {
		t.Fatalf("window %v after failures of one round trip, want %v", s.window, before/2)
	}
}

func TestDesignRejectionBeforeAnyPartIsSent(t *testing.T) {
	h := newListedHarness(t, 1, func(s *Settings) { s.Width = 1 })
	h.router.servers["c1-0"].reserved = int(initialWindow)
	_, events := h.newQuery("all", 0, 1, 2)
	if actions := h.step(events...); len(actionsOf[Refuse](actions)) != 1 || len(actionsOf[Send](actions)) != 0 {
		t.Fatalf("one of three shards without capacity: %v", actions)
	}
}

func TestDesignUniformSelectionAmongReplicasWithCapacity(t *testing.T) {
	h := newListedHarness(t, 4, func(s *Settings) { s.Cells, s.Width, s.Shards = 1, 1, 1 })
	h.router.servers["c0-3"].reserved = int(initialWindow)
	got, rounds := map[string]int{}, 3000
	for range rounds {
		_, events := h.newQuery("all", 0)
		for _, s := range actionsOf[Send](h.step(events...)) {
			got[s.Server]++
			h.now += 10 * ms
			h.finish(s, 0, Served)
		}
	}
	for _, id := range []string{"c0-0", "c0-1", "c0-2"} {
		if n := got[id]; n < rounds*29/100 || n > rounds*38/100 {
			t.Errorf("%s selected %d times of %d, want a third", id, n, rounds)
		}
	}
	if got["c0-3"] != 0 {
		t.Errorf("a full server selected %d times", got["c0-3"])
	}
}

// The load that a starting server may get is derived from what a single server was surely seen to take. If
// one server is busy and the others are nearly idle, the mean can be a third of that.
func TestObservedRateIsThatOfTheBusiestServer(t *testing.T) {
	h := newListedHarness(t, 3, nil)
	for _, s := range h.router.servers {
		s.servedInSpan = 4
	}
	h.router.servers["c0-0"].servedInSpan = 400
	span := h.router.settings.OverloadWindow
	h.router.now = h.router.spanStartedAt + span
	h.router.updateObservedRate()
	if want := (400 - 2*20) / (float64(span) / 1e6); h.router.observedRate != want {
		t.Fatalf("observed rate %v per second, want %v", h.router.observedRate, want)
	}
	h.router.now += span
	for _, s := range h.router.servers { // few parts on each server: the best one owes its lead to chance
		s.servedInSpan = 4
	}
	h.router.observedRate = 0
	h.router.updateObservedRate()
	if want := 4 / (float64(span) / 1e6); h.router.observedRate != want {
		t.Fatalf("observed rate %v per second, want the mean, %v", h.router.observedRate, want)
	}
}

// A query with Least set is admitted for that share if there is no capacity for the complete query. Without
// it the query is rejected and nothing is sent.
func TestReducedShareWithoutCapacityForMore(t *testing.T) {
	for _, least := range []float64{0, 0.5} {
		h := newListedHarness(t, 1, func(s *Settings) { s.Width = 1 })
		for _, s := range h.router.servers { // half of the cells have no capacity
			if s.Cell%2 == 0 {
				s.window, s.reserved = 1, 1
			}
		}
		_, events := h.newQuery("partial", 0, 1)
		q := events[0].(Query)
		q.Least = least
		events[0] = q
		actions := h.step(events...)
		if sent := len(actionsOf[Send](actions)); (sent > 0) != (least > 0) {
			t.Fatalf("least %v: %d parts sent, actions %+v", least, sent, actions)
		}
	}
}

// eject makes the list say that the servers are ejected as the given times slower than their peers.
func eject(h *harness, times float64, ids ...string) {
	for _, id := range ids {
		row := h.router.servers[id].Server
		row.Slow = times
		h.step(List{Form: Delta, Servers: []Server{row}})
	}
}

// An ejected server gets a first send only if no other has capacity, or in one of the few trials that all
// routers share. If it would still be in time, it gets trials as any suspect does.
func TestEjectedServerGetsWhatFindsNoCapacity(t *testing.T) {
	for _, c := range []struct {
		times       float64
		least, most int
	}{{20, 0, 3}, {2, 2, 40}} {
		h := newListedHarness(t, 2, func(s *Settings) { s.Routers = 30 })
		h.serveQueries(20, 100*ms, 0, 1)
		eject(h, c.times, "c0-0")
		toEjected := 0
		for range 300 {
			_, events := h.newQuery("all", 0)
			sends := actionsOf[Send](h.step(events...))
			if len(sends) != 1 {
				t.Fatalf("%d sends", len(sends))
			}
			if sends[0].Server == "c0-0" {
				toEjected++
			}
			h.now += 100 * ms
			h.finish(sends[0], 0, Served)
		}
		if toEjected < c.least || toEjected > c.most {
			t.Errorf("%v times slower: %d of 300 first sends went there, want %d to %d", c.times, toEjected, c.least, c.most)
		}
	}
	h := newListedHarness(t, 1, nil) // two servers per shard: what finds no capacity at the healthy one goes to the other
	eject(h, 20, "c1-0")
	toEjected := 0
	for range 12 {
		_, events := h.newQuery("all", 0)
		for _, s := range actionsOf[Send](h.step(events...)) {
			if s.Server == "c1-0" {
				toEjected++
			}
		}
	}
	if toEjected == 0 || toEjected == 12 {
		t.Errorf("%d of 12 parts at once went to the ejected one", toEjected)
	}
}

// A query that lacks only parts of ejected servers is answered partially at once, and not marked as complete.
// Parts that may be in time, or have another attempt in flight, are waited for.
func TestPartialAnswerAtOnceIfOnlyEjectedServersAreLate(t *testing.T) {
	sendQuery := func(times float64) (*harness, string, []Send) {
		h := newListedHarness(t, 1, func(s *Settings) { s.Width, s.AttemptCap = 1, 1 })
		h.serveQueries(20, 100*ms, 0, 1, 2)
		eject(h, times, "c2-0")
		id, events := h.newQuery("partial", 0, 1, 2)
		sends := actionsOf[Send](h.step(events...))
		if len(sends) != 3 {
			t.Fatalf("%d sends", len(sends))
		}
		return h, id, sends
	}
	serveOthers := func(h *harness, sends []Send) (actions []Action) {
		h.now += 100 * ms
		for _, s := range sends {
			if s.Server != "c2-0" {
				actions = append(actions, h.finish(s, 0, Served)...)
			}
		}
		return actions
	}
	h, id, sends := sendQuery(20) // twenty times 100 ms is over the target of a second
	if a := actionsOf[Answer](serveOthers(h, sends)); len(a) != 1 || a[0].ID != id || a[0].Whole {
		t.Errorf("with an ejected server's part missing: %v", a)
	}
	h, _, sends = sendQuery(5)
	if actions := serveOthers(h, sends); countFinal(actions) != 0 {
		t.Errorf("an ejected server that may be in time is not waited for: %v", actions)
	}
	if a := actionsOf[Answer](h.advance(sec)); len(a) != 1 || a[0].Whole {
		t.Errorf("at the latency target: %v", a)
	}
	h, _, sends = sendQuery(0)
	if actions := serveOthers(h, sends); countFinal(actions) != 0 {
		t.Errorf("a healthy server's part is not waited for: %v", actions)
	}
}
