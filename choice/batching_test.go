package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// newRingHarness returns a harness for a ring of cells of one server each. A call has a fixed cost, and a
// shard is stored by three consecutive cells.
func newRingHarness(t *testing.T, cells int, change func(*Settings)) *harness {
	return newListedHarness(t, 1, func(s *Settings) {
		s.Cells, s.Width, s.Shards, s.MaxPartsPerCall, s.PerCallWork = cells, 3, 4*cells, 16, 80*ms
		if change != nil {
			change(s)
		}
	})
}

// partsByServer counts the sends by server.
func partsByServer(actions []Action) map[string]int {
	counts := make(map[string]int)
	for _, s := range actionsOf[Send](actions) {
		counts[s.Server]++
	}
	return counts
}

// The replica sets of adjacent shards all differ, but one server stores several of these shards. Six
// consecutive shards must be sent in two calls, wherever on the ring the first of them is.
func TestNeighboursShareCalls(t *testing.T) {
	for from := range 40 {
		h := newRingHarness(t, 10, nil)
		var shards []int
		for i := range 6 {
			shards = append(shards, (from+i)%40)
		}
		_, events := h.newQuery("all", shards...)
		got := partsByServer(h.step(events...))
		if len(got) != 2 {
			t.Fatalf("from %d: six consecutive shards were sent as %v, want two calls of three", from, got)
		}
	}
}

// When the server that stores most of the shards is gone, the parts are sent in two calls to others, and no
// part is left out or sent twice.
func TestCallsWithoutTheBestServer(t *testing.T) {
	h := newRingHarness(t, 10, nil)
	h.step(List{Form: Delta, Servers: []Server{{ID: "c2-0", Cell: 2, State: Gone}}})
	_, events := h.newQuery("all", 0, 1, 2)
	actions := h.step(events...)
	got := partsByServer(actions)
	if len(actionsOf[Send](actions)) != 3 || len(got) != 2 || got["c2-0"] != 0 {
		t.Fatalf("three shards without their common server were sent as %v, want two calls", got)
	}
}

// With random shards and with full, draining and suspect servers, each part is sent at most once, to a server
// that stores its shard, and either all required parts are sent or none.
func TestPartsGoOnceToServersOfTheirShard(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for round := range 400 {
		cells := 4 + rng.IntN(10)
		h := newRingHarness(t, cells, func(s *Settings) { s.MaxPartsPerCall = 1 + rng.IntN(4); s.Width = 1 + rng.IntN(min(4, cells)) })
		for _, s := range h.router.servers {
			switch rng.IntN(6) {
			case 0:
				s.reserved = int(s.window)
			case 1:
				s.State = Draining
			case 2:
				s.faultLevel = 2
			}
		}
		shards := rng.Perm(h.router.settings.Shards)[:1+rng.IntN(9)]
		class := []string{"all", "some", "unsafe"}[rng.IntN(3)]
		_, events := h.newQuery(class, shards...)
		actions := h.step(events...)
		seen := make(map[string]bool)
		for _, s := range actionsOf[Send](actions) {
			var at int
			fmt.Sscanf(s.ID[len("q1."):], "%d", &at)
			to := h.router.servers[s.Server]
			if seen[s.ID] {
				t.Fatalf("round %d: part %s was sent twice at once", round, s.ID)
			}
			seen[s.ID] = true
			if (to.Cell-shards[at]%cells+cells)%cells >= h.router.settings.Width {
				t.Fatalf("round %d: shard %d was sent to cell %d of %d, width %d", round, shards[at], to.Cell, cells, h.router.settings.Width)
			}
		}
		if class != "some" && len(seen) != 0 && len(seen) != len(shards) {
			t.Fatalf("round %d: %d of %d parts were sent, and all are required", round, len(seen), len(shards))
		}
	}
}

// The tokens of a server in slow start count parts: a call must not carry more parts to it than it has
// tokens.
func TestSlowStartBoundsThePartsOfACall(t *testing.T) {
	h := newRingHarness(t, 10, nil)
	h.step(List{Form: Delta, Servers: []Server{{ID: "c2-0", Cell: 2, State: Ready, Scale: 1, UpSince: h.now}}})
	h.router.servers["c2-0"].slowStartTokens = 1
	_, events := h.newQuery("all", 0, 1, 2)
	if got := partsByServer(h.step(events...)); got["c2-0"] > 1 {
		t.Fatalf("a server in slow start was sent %d parts at once, want one at most", got["c2-0"])
	}
}

// A call with two parts of an unsafe class loses its connection in the middle. The part that may have run
// must not be sent again, and a retry by the client must not be called harmless.
func TestTwoUnsafePartsOfOneCallAreNotSentAgain(t *testing.T) {
	h := newRingHarness(t, 10, nil)
	_, events := h.newQuery("unsafe", 4, 5)
	sends := actionsOf[Send](h.step(events...))
	if len(sends) != 2 || sends[0].Server != sends[1].Server {
		t.Fatalf("two parts of adjacent shards were sent as %v, want one call", sends)
	}
	actions := h.step(Outcome{ID: sends[0].ID, Server: sends[0].Server, Verdict: ConnectionLost},
		Outcome{ID: sends[1].ID, Server: sends[1].Server, Verdict: NoConnection})
	actions = append(actions, h.advance(2*sec)...)
	for _, s := range actionsOf[Send](actions) {
		if s.ID == sends[0].ID {
			t.Fatalf("a part that may have run was sent again: %v", s)
		}
	}
	if len(actionsOf[Refuse](actions)) != 0 || len(actionsOf[Fail](actions)) != 1 {
		t.Fatalf("want Fail and no Refuse: %v", actions)
	}
}

// Hedges must not go to draining servers.
func TestNoHedgeToADrainingServer(t *testing.T) {
	h := newRingHarness(t, 10, nil)
	h.serveQueries(40, 100*ms, 0, 5)
	h.step(List{Form: Delta, Servers: []Server{{ID: "c0-0", Cell: 0, State: Draining}, {ID: "c1-0", Cell: 1, State: Draining}}})
	_, events := h.newQuery("all", 0)
	sends := actionsOf[Send](h.step(events...))
	if len(sends) != 1 || sends[0].Server != "c2-0" {
		t.Fatalf("%v, want one part to the server that does not drain", sends)
	}
	for _, s := range actionsOf[Send](h.advance(900 * ms)) {
		t.Fatalf("a hedge was sent to %s, which drains", s.Server)
	}
}

// Where lists are pushed, a Failed list must not start requests: without AskWithin there is no backoff, so
// they would be repeated endlessly.
func TestFailedListIsNotRequestedAgainWhereListsArePushed(t *testing.T) {
	h := newRingHarness(t, 10, nil)
	actions := h.step(List{Form: Failed})
	if actions = append(actions, h.advance(sec)...); len(actionsOf[Watch](actions)) != 0 || len(actionsOf[Wake](actions)) != 0 {
		t.Fatalf("%v, want nothing", actions)
	}
}

// If the change to Draining may be old (List.Since), the server must not be used as a last resort.
func TestOldDrainChangeAllowsNoLastResort(t *testing.T) {
	for since, want := range map[Micros]bool{0: true, 400 * ms: false} {
		h := newRingHarness(t, 10, nil) // with a DrainGrace of 500 ms
		var rows []Server
		for _, c := range []int{0, 1, 2} {
			rows = append(rows, Server{ID: fmt.Sprintf("c%d-0", c), Cell: c, State: Draining})
		}
		h.step(List{Form: Delta, Servers: rows, Since: since})
		_, events := h.newQuery("all", 0)
		if got := len(actionsOf[Send](h.step(events...))) > 0; got != want {
			t.Fatalf("change %d us old: sent to a server that drains: %v, want %v", since, got, want)
		}
	}
}

// While a class is slow as a whole, all its parts are late, and hedges would add work for which the tier
// lacks capacity. Hedges are sent only while the class is far below its latency target.
func TestNoHedgesOfAClassThatIsSlow(t *testing.T) {
	for median, want := range map[Micros]bool{100 * ms: true, 400 * ms: false} {
		h := newRingHarness(t, 10, nil)
		c := h.router.classes["all"]
		c.median, c.upperQuantile, c.latencySamples = float64(median), float64(median)+1, 50
		_, events := h.newQuery("all", 0)
		if n := len(actionsOf[Send](h.step(events...))); n != 1 {
			t.Fatalf("%d parts sent, want 1", n)
		}
		if got := len(actionsOf[Send](h.advance(800*ms))) > 0; got != want {
			t.Fatalf("median latency %d ms with a target of %d ms: hedges %v, want %v", median/ms, c.LatencyTarget/ms, got, want)
		}
	}
}
