package choice

import (
	"fmt"
	"testing"
)

const (
	ms  Micros = 1_000
	sec Micros = 1_000_000
)

// testSettings returns the settings of a small deployment: four cells, each shard on two of them, and one
// class of each sort.
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

// harness drives one router with the events and the clock of a test.
type harness struct {
	t          *testing.T
	router     *Router
	now        Micros
	queryCount int64
}

func newHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	set := testSettings()
	if change != nil {
		change(&set)
	}
	r, err := New(1, set)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, router: r, now: 100 * sec}
}

// newListedHarness returns a harness whose router has a list with perCell servers per cell, none in slow start.
func newListedHarness(t *testing.T, perCell int, change func(*Settings)) *harness {
	h := newHarness(t, change)
	h.step(List{Form: Cached, Servers: testServers(h.router.settings.Cells, perCell)})
	return h
}

// testServers returns ready servers without zones and kinds: c0-0, c0-1, and so on.
func testServers(cells, perCell int) []Server {
	var out []Server
	for c := range cells {
		for i := range perCell {
			out = append(out, Server{ID: fmt.Sprintf("c%d-%d", c, i), Cell: c, State: Ready, Scale: 1})
		}
	}
	return out
}

// step first delivers the wakes that are due before now, then the events.
func (h *harness) step(events ...Event) []Action {
	var actions []Action
	for at := h.router.wakeAt; at > 0 && at < h.now; at = h.router.wakeAt {
		actions = append(actions, h.router.Step(at, []Event{Elapsed{}})...)
	}
	return append(actions, h.router.Step(h.now, events)...)
}

// advance moves the clock forward in steps of Resolution and returns the actions of the timers that fire.
func (h *harness) advance(duration Micros) []Action {
	var actions []Action
	for end := h.now + duration; h.now < end; {
		h.now += h.router.settings.Resolution
		actions = append(actions, h.step(Elapsed{})...)
	}
	return actions
}

// newQuery returns the events of a query of the class, with one part of equal weight for each shard.
func (h *harness) newQuery(class string, shards ...int) (id string, events []Event) {
	h.queryCount++
	id = fmt.Sprintf("q%d", h.queryCount)
	events = append(events, Query{ID: id, Class: class, Number: h.queryCount, Grace: 2 * sec, Parts: len(shards)})
	for i, s := range shards {
		events = append(events, Part{ID: fmt.Sprintf("%s.%d", id, i), Class: class, Number: h.queryCount, Shard: s,
			Weight: 1 / float64(len(shards))})
	}
	return id, events
}

// finish delivers the outcome of an attempt.
func (h *harness) finish(send Send, attempt int, verdict Verdict) []Action {
	return h.step(Outcome{ID: send.ID, Server: send.Server, Attempt: attempt, Verdict: verdict})
}

// serveQueries sends n queries of one part to each shard and has them served after the given latency, so that
// the router learns it.
func (h *harness) serveQueries(n int, latency Micros, shards ...int) {
	h.t.Helper()
	for range n {
		for _, shard := range shards {
			_, events := h.newQuery("all", shard)
			sends := actionsOf[Send](h.step(events...))
			if len(sends) != 1 {
				h.t.Fatalf("serving queries: %d sends for one part", len(sends))
			}
			h.now += latency
			h.finish(sends[0], 0, Served)
		}
	}
}

// setCrowded sets the state in which the router considers a class crowded, with the given share of missed latency targets.
func (h *harness) setCrowded(class string, missed float64) {
	c := h.router.classes[class]
	c.median, h.router.missedShare = float64(c.LatencyTarget), missed
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](actions []Action) []A {
	var out []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

// countFinal counts the actions that end a query.
func countFinal(actions []Action) int {
	return len(actionsOf[Answer](actions)) + len(actionsOf[Refuse](actions)) + len(actionsOf[Fail](actions))
}
