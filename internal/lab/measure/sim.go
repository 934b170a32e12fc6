// Package measure runs the system's state machines in memory, in virtual time, and measures what
// gossip costs and how long it takes at a given number of processes, and how long the core
// acknowledges nothing after a loss. The state machines are those of the programs; the network,
// the disks and the clock are simulated. The same seed gives the same figures.
package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	micro = int64(time.Microsecond)
	ms    = int64(1000) // in units of the state machines' clocks, which count microseconds
)

type event struct {
	at  int64
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// sim is a discrete-event simulation: a clock and a queue of scheduled events.
type sim struct {
	now    int64 // microseconds
	seq    int
	events events
	rng    *rand.Rand
}

func newSim(seed uint64) *sim { return &sim{now: 1, rng: rand.New(rand.NewPCG(seed, 11))} }

func (s *sim) after(d int64, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + max(d, 0), s.seq, run})
}

// until runs events up to the time at, or until continues returns false. If continues is nil, it
// also advances the clock to at.
func (s *sim) until(at int64, continues func() bool) {
	for len(s.events) > 0 && s.events[0].at <= at && (continues == nil || continues()) {
		e := heap.Pop(&s.events).(event)
		s.now = max(s.now, e.at)
		e.run()
	}
	if continues == nil {
		s.now = max(s.now, at)
	}
}

// Delays are one-way network delays: within a zone, between zones of a region, and between regions.
type Delays struct {
	Zone, Zones, Regions time.Duration
}

// DefaultDelays are the delays of the first of the users' sites.
var DefaultDelays = Delays{Zone: 100 * time.Microsecond, Zones: 900 * time.Microsecond, Regions: 20 * time.Millisecond}

// locate returns the zone and region of process i. Zones are assigned in turn; a region has a third
// of the zones, at least one.
func locate(i, zones int) (zone, region int) { return i % zones, i % zones / max(zones/3, 1) }

func (d Delays) between(za, ra, zb, rb int) int64 {
	switch {
	case za == zb:
		return int64(d.Zone) / micro
	case ra == rb:
		return int64(d.Zones) / micro
	}
	return int64(d.Regions) / micro
}

// Spans are the times of several runs.
type Spans []time.Duration

// At returns the q-quantile, or 0 without any times.
func (s Spans) At(q float64) time.Duration {
	if len(s) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func (s Spans) String() string {
	return fmt.Sprintf("p50 %s, p99 %s, most %s", round(s.At(0.5)), round(s.At(0.99)), round(s.At(1)))
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
