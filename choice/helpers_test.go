package choice

import (
	"fmt"
	"testing"
)

const (
	ms  Micros = 1_000
	sec Micros = 1_000_000
)

// testSettings are those of a small deployment: four cells, each shard on two
// of them, one class of each sort.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "all", LatencyTarget: sec, Deadline: 2 * sec, Value: 1, RequiredShare: 1, MinShare: 1},
			{Name: "some", LatencyTarget: sec, Deadline: 2 * sec, LateValue: 0.2, Value: 1, RequiredShare: 0.5, MinShare: 0.5},
			{Name: "partial", LatencyTarget: sec, Deadline: 2 * sec, LateValue: 0.1, Value: 1, RequiredShare: 1, MinShare: 0.5, PartialValue: 0.9},
			{Name: "keyed", LatencyTarget: sec, Deadline: 2 * sec, DedupWindow: 300 * ms, Effect: Keyed, Value: 1, RequiredShare: 1, MinShare: 1},
			{Name: "unsafe", LatencyTarget: sec, Deadline: 2 * sec, Effect: Unsafe, Value: 1, RequiredShare: 1, MinShare: 1},
			{Name: "two-step", LatencyTarget: sec, Deadline: 2 * sec, Value: 1, RequiredShare: 1, MinShare: 1, FetchParts: 2},
		},
		Routers: 3, Resolution: 5 * ms, Shards: 8, Cells: 4, Width: 2, MaxPartsPerCall: 1,
		Cancel: true, ParallelAttempts: true, RetryAdvice: true, MaxRetryAfter: sec, AttemptCap: 3,
		AnswerSlack: 20 * ms, DrainGrace: 500 * ms,
		StartCapacity: 0.2, SlowStart: 10 * sec, OverloadMultiple: 2, OverloadWindow: 3 * sec,
	}
}

// rig drives one router by hand.
type rig struct {
	t    *testing.T
	r    *Router
	now  Micros
	next int64
}

func newRig(t *testing.T, change func(*Settings)) *rig {
	t.Helper()
	set := testSettings()
	if change != nil {
		change(&set)
	}
	r, err := New(1, set)
	if err != nil {
		t.Fatal(err)
	}
	return &rig{t: t, r: r, now: 100 * sec}
}

// listed returns a rig that has been told of so many warm servers a cell.
func listed(t *testing.T, perCell int, change func(*Settings)) *rig {
	g := newRig(t, change)
	g.step(List{Form: Cached, Servers: rows(g.r.settings.Cells, perCell)})
	return g
}

func rows(cells, perCell int) []Server {
	var out []Server
	for c := range cells {
		for i := range perCell {
			out = append(out, Server{ID: fmt.Sprintf("c%d-%d", c, i), Cell: c, State: Ready, Scale: 1})
		}
	}
	return out
}

// step gives the events now, after the wakes that were due before.
func (g *rig) step(events ...Event) []Action {
	var acts []Action
	for at := g.r.wakeAt; at > 0 && at < g.now; at = g.r.wakeAt {
		acts = append(acts, g.r.Step(at, []Event{Elapsed{}})...)
	}
	return append(acts, g.r.Step(g.now, events)...)
}

// later moves the clock on in ticks and collects what the timers bring.
func (g *rig) later(d Micros) []Action {
	var acts []Action
	for end := g.now + d; g.now < end; {
		g.now += g.r.settings.Resolution
		acts = append(acts, g.step(Elapsed{})...)
	}
	return acts
}

// ask makes a query of the class with a part for each shard, of equal weight.
func (g *rig) ask(class string, shards ...int) (id string, events []Event) {
	g.next++
	id = fmt.Sprintf("q%d", g.next)
	events = append(events, Query{ID: id, Class: class, Number: g.next, Grace: 2 * sec, Parts: len(shards)})
	for i, s := range shards {
		events = append(events, Part{ID: fmt.Sprintf("%s.%d", id, i), Class: class, Number: g.next, Shard: s,
			Weight: 1 / float64(len(shards))})
	}
	return id, events
}

func (g *rig) end(s Send, attempt int, v Verdict) []Action {
	return g.step(Outcome{ID: s.ID, Server: s.Server, Attempt: attempt, Verdict: v})
}

// warm answers n one-part queries of a shard after d each, to teach latencies.
func (g *rig) warm(n int, d Micros, shards ...int) {
	g.t.Helper()
	for range n {
		for _, shard := range shards {
			_, evs := g.ask("all", shard)
			sends := of[Send](g.step(evs...))
			if len(sends) != 1 {
				g.t.Fatalf("warming: %d sends for one part", len(sends))
			}
			g.now += d
			g.end(sends[0], 0, Served)
		}
	}
}

// crowd makes a class look crowded, with such a share of misses.
func (g *rig) crowd(class string, missed float64) {
	c := g.r.classes[class]
	c.median, g.r.missedShare = float64(c.LatencyTarget), missed
}

// of picks the actions of one type.
func of[A Action](acts []Action) []A {
	var out []A
	for _, a := range acts {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

// finals counts final answers of any sort.
func finals(acts []Action) int {
	return len(of[Answer](acts)) + len(of[Refuse](acts)) + len(of[Fail](acts))
}
