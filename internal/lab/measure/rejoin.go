package measure

import (
	"encoding/json"
	"time"

	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/registry"
)

const (
	defaultSpan   = 15 * time.Second // of a separation: a death is reported after 7 to 11 s, so both sides report it
	startSpan     = 10_000 * ms      // time for a new fleet to start
	announceDelay = 500 * ms         // from the end of a separation to the announcement of the entry that is followed
	rejoinLimit   = 60_000 * ms      // times above it are recorded as this limit
	checkInterval = 50 * ms          // between two checks of which processes know which
	countedSpan   = 10_000 * ms      // after the end of a separation, in which calls are counted
	followedKey   = "followed"
)

// RejoinPlan describes a measurement of separations.
type RejoinPlan struct {
	Processes, Cores, Zones int
	Servers                 int           // servers that all processes know from the start
	Span                    time.Duration // of a separation; 0: 15 s
	Loss                    float64       // share of calls that are lost
	Runs                    int
	Seed                    uint64
	Delays                  Delays
}

// Rejoin is how fast processes find each other again after a separation. Its fields are encoded as
// JSON under their names.
type Rejoin struct {
	Separation Separation
	Reached    Spans   // from an entry that the control plane announces 0.5 s after the end, to all processes
	Met        Spans   // from the end until every process knows every other one
	Never      int     // runs in which either took a minute or more
	MostCalls  float64 // calls per second of the process that makes the most in the 10 s after the end
}

// MeasureRejoin simulates every separation. It skips SeedsGone where all core processes are seeds.
func MeasureRejoin(plan RejoinPlan) (out []Rejoin) {
	for _, separation := range Separations {
		if separation == SeedsGone && plan.Cores <= seedCount {
			continue
		}
		row := Rejoin{Separation: separation}
		for run := range plan.Runs {
			plan.simulate(separation, plan.Seed+uint64(run), &row)
		}
		out = append(out, row)
	}
	return out
}

// simulate runs one separation in a new fleet.
func (plan RejoinPlan) simulate(separation Separation, seed uint64, row *Rejoin) {
	w := newGossipWorld(GossipPlan{Processes: plan.Processes, Cores: plan.Cores, Zones: plan.Zones, Servers: plan.Servers, Loss: plan.Loss, Seed: seed, Delays: plan.Delays})
	for i := range plan.Servers {
		w.after(2000*ms+int64(i)*ms, func() { w.procs[i%w.plan.cores()].storeServer(i, 1, registry.Available) })
	}
	w.until(startSpan, nil)
	span := plan.Span
	if span == 0 {
		span = defaultSpan
	}
	w.separate(separation, int64(span)/micro)
	end := w.now
	met := int64(0)
	w.checkMet(end, &met)
	w.countCalls(end)
	w.until(end+announceDelay, nil)
	w.announce()
	w.measureSpread(func(p *proc) bool { _, known := p.members.Store().Get(followedKey); return known }, nil, &row.Reached)
	w.until(end+rejoinLimit, func() bool { return met == 0 })
	w.until(max(w.now, end+countedSpan), nil)
	if met == 0 || row.Reached[len(row.Reached)-1] >= time.Duration(rejoinLimit*micro) {
		row.Never++
	}
	if met == 0 {
		met = end + rejoinLimit
	}
	row.Met = append(row.Met, time.Duration((met-end)*micro))
	for _, p := range w.procs {
		row.MostCalls = max(row.MostCalls, float64(p.calls)/float64(countedSpan/(1000*ms)))
	}
}

// checkMet polls until every process knows every other one, and sets met to that time.
func (w *gossipWorld) checkMet(end int64, met *int64) {
	w.after(checkInterval, func() {
		if w.everyoneKnown() {
			*met = w.now
		} else if w.now < end+rejoinLimit {
			w.checkMet(end, met)
		}
	})
}

func (w *gossipWorld) countCalls(end int64) {
	for _, p := range w.procs {
		p.calls = 0
	}
	w.counting = true
	w.after(end+countedSpan-w.now, func() { w.counting = false })
}

// announce stores the followed entry at the first control-plane process that is up.
func (w *gossipWorld) announce() {
	for _, p := range w.procs[:w.plan.cores()] {
		if p.up {
			p.members.Put(w.now, gossip.Entry{Key: followedKey, Version: 1, Value: json.RawMessage(`"x"`)})
			p.stepSoon()
			return
		}
	}
}
