package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// ring returns a rig of a ring of cells of one server each, where a call has a cost of
// its own and a shard is held by three cells in a row.
func ring(t *testing.T, cells int, change func(*Settings)) *rig {
	return listed(t, 1, func(s *Settings) {
		s.Cells, s.Width, s.Shards, s.MaxPartsPerCall, s.PerCallWork = cells, 3, 4*cells, 16, 80*ms
		if change != nil {
			change(s)
		}
	})
}

// calls counts the sends of one moment by server.
func calls(acts []Action) map[string]int {
	out := make(map[string]int)
	for _, s := range of[Send](acts) {
		out[s.Server]++
	}
	return out
}

// Neighbouring blocks have no two replica sets in common, but one server holds several
// of them: a run of six goes out in two calls, wherever on the ring it begins.
func TestNeighboursShareCalls(t *testing.T) {
	for from := range 40 {
		g := ring(t, 10, nil)
		var shards []int
		for i := range 6 {
			shards = append(shards, (from+i)%40)
		}
		_, evs := g.ask("all", shards...)
		got := calls(g.step(evs...))
		if len(got) != 2 {
			t.Fatalf("from %d: a run of six blocks went out as %v, want two calls of three", from, got)
		}
	}
}

// Where the server that holds most is out of the draw the others share what they hold,
// and no part is left out or sent twice.
func TestCallsWithoutTheBestServer(t *testing.T) {
	g := ring(t, 10, nil)
	g.step(List{Form: Delta, Servers: []Server{{ID: "c2-0", Cell: 2, State: Gone}}})
	_, evs := g.ask("all", 0, 1, 2)
	acts := g.step(evs...)
	got := calls(acts)
	if len(of[Send](acts)) != 3 || len(got) != 2 || got["c2-0"] != 0 {
		t.Fatalf("three blocks without their common server went out as %v, want two calls", got)
	}
}

// What is scattered as well as what lies in a row, with servers full, gone and cold:
// each part goes out once, to a server that holds it, in calls no larger than told.
func TestCallsKeepToHoldersAndBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for round := range 400 {
		cells := 4 + rng.IntN(10)
		g := ring(t, cells, func(s *Settings) { s.MaxPartsPerCall = 1 + rng.IntN(4); s.Width = 1 + rng.IntN(min(4, cells)) })
		for _, s := range g.r.servers {
			switch rng.IntN(6) {
			case 0:
				s.reserved = int(s.window)
			case 1:
				s.State = Draining
			case 2:
				s.faultLevel = 2
			}
		}
		shards := rng.Perm(g.r.settings.Shards)[:1+rng.IntN(9)]
		class := []string{"all", "some", "unsafe"}[rng.IntN(3)]
		_, evs := g.ask(class, shards...)
		acts := g.step(evs...)
		seen := make(map[string]bool)
		for _, s := range of[Send](acts) {
			var at int
			fmt.Sscanf(s.ID[len("q1."):], "%d", &at)
			to := g.r.servers[s.Server]
			if seen[s.ID] {
				t.Fatalf("round %d: part %s went out twice at once", round, s.ID)
			}
			seen[s.ID] = true
			if (to.Cell-shards[at]%cells+cells)%cells >= g.r.settings.Width {
				t.Fatalf("round %d: shard %d went to cell %d of %d, width %d", round, shards[at], to.Cell, cells, g.r.settings.Width)
			}
		}
		if class != "some" && len(seen) != 0 && len(seen) != len(shards) {
			t.Fatalf("round %d: %d of %d parts went out, and all are needed", round, len(seen), len(shards))
		}
	}
}

// A cold server is drawn for one part, and gets no more by a call: its budget is in parts.
func TestColdServerGetsNoMoreByACall(t *testing.T) {
	g := ring(t, 10, nil)
	g.step(List{Form: Delta, Servers: []Server{{ID: "c2-0", Cell: 2, State: Ready, Scale: 1, UpSince: g.now}}})
	g.r.servers["c2-0"].slowStartTokens = 1
	_, evs := g.ask("all", 0, 1, 2)
	if got := calls(g.step(evs...)); got["c2-0"] > 1 {
		t.Fatalf("a cold server was sent %d parts at once, want one at most", got["c2-0"])
	}
}

// A booking of two parts in one call whose connection breaks in the middle: neither part
// may go out again, and the client is not told that asking again is harmless.
func TestTwoUnsafePartsOfOneCallAreNotSentAgain(t *testing.T) {
	g := ring(t, 10, nil)
	_, evs := g.ask("unsafe", 4, 5)
	sends := of[Send](g.step(evs...))
	if len(sends) != 2 || sends[0].Server != sends[1].Server {
		t.Fatalf("two neighbouring parts went out as %v, want one call", sends)
	}
	acts := g.step(Outcome{ID: sends[0].ID, Server: sends[0].Server, Verdict: ConnectionLost},
		Outcome{ID: sends[1].ID, Server: sends[1].Server, Verdict: NoConnection})
	acts = append(acts, g.later(2*sec)...)
	for _, s := range of[Send](acts) {
		if s.ID == sends[0].ID {
			t.Fatalf("a part that may have run went out again: %v", s)
		}
	}
	if len(of[Refuse](acts)) != 0 || len(of[Fail](acts)) != 1 {
		t.Fatalf("want a failure and no refusal: %v", acts)
	}
}

// A second copy goes to no server that drains.
func TestNoSecondCopyToADrainingServer(t *testing.T) {
	g := ring(t, 10, nil)
	g.warm(40, 100*ms, 0, 5)
	g.step(List{Form: Delta, Servers: []Server{{ID: "c0-0", Cell: 0, State: Draining}, {ID: "c1-0", Cell: 1, State: Draining}}})
	_, evs := g.ask("all", 0)
	sends := of[Send](g.step(evs...))
	if len(sends) != 1 || sends[0].Server != "c2-0" {
		t.Fatalf("%v, want one part to the server that stays", sends)
	}
	for _, s := range of[Send](g.later(900 * ms)) {
		t.Fatalf("a second copy went to %s, which drains", s.Server)
	}
}

// Where lists are pushed a look that failed is none of the decisions' business: asked to
// ask again, they would have done so without end, for they know no pause there.
func TestFailedLookIsNotAskedAgainWhereListsArePushed(t *testing.T) {
	g := ring(t, 10, nil)
	acts := g.step(List{Form: Failed})
	if acts = append(acts, g.later(sec)...); len(of[Watch](acts)) != 0 || len(of[Wake](acts)) != 0 {
		t.Fatalf("%v, want nothing", acts)
	}
}

// News that may have counted as told for long leaves no time in which a draining server
// stands in.
func TestOldNewsOfADrainLeavesNoTime(t *testing.T) {
	for since, want := range map[Micros]bool{0: true, 400 * ms: false} {
		g := ring(t, 10, nil) // its grace is 500 ms
		var rows []Server
		for _, c := range []int{0, 1, 2} {
			rows = append(rows, Server{ID: fmt.Sprintf("c%d-0", c), Cell: c, State: Draining})
		}
		g.step(List{Form: Delta, Servers: rows, Since: since})
		_, evs := g.ask("all", 0)
		if got := len(of[Send](g.step(evs...))) > 0; got != want {
			t.Fatalf("news %d us old: sent to a server that drains: %v, want %v", since, got, want)
		}
	}
}

// While a class is slow as a whole all its parts are late, and second copies would be
// work that the tier lacks; while it is far below its aim they go out.
func TestNoSecondCopiesOfAClassThatIsSlow(t *testing.T) {
	for mid, want := range map[Micros]bool{100 * ms: true, 400 * ms: false} {
		g := ring(t, 10, nil)
		c := g.r.classes["all"]
		c.median, c.upperQuantile, c.latencySamples = float64(mid), float64(mid)+1, 50
		_, evs := g.ask("all", 0)
		if n := len(of[Send](g.step(evs...))); n != 1 {
			t.Fatalf("%d parts sent, want 1", n)
		}
		if got := len(of[Send](g.later(800*ms))) > 0; got != want {
			t.Fatalf("middle part %d ms of an aim of %d: second copies %v, want %v", mid/ms, c.LatencyTarget/ms, got, want)
		}
	}
}
