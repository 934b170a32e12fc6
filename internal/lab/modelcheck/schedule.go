package modelcheck

import (
	"fmt"
	"math/rand/v2"

	"saddleport/internal/cluster/chain"
)

// Plan describes the schedules of a search.
type Plan struct {
	Machines  int // voters in the first view
	Spare     int // machines that may join later
	Faults    int // machines that may be lost at once
	Wipes     int // disks lost in one schedule, replacements included
	Steps     int
	NoRepair  bool // without repair by antientropy: the chain and the view must keep the rules by themselves
	Mutations chain.Mutations
}

// Of returns the plan for a seed's schedule. Odd seeds run without repair.
func (p Plan) Of(seed uint64) Plan {
	p.NoRepair = seed%2 == 1
	return p
}

// Kind is the kind of a step.
type Kind uint8

// The kinds of steps. Those up to Stall are adversarial: one message, one sync or one loss at a
// time. Elapse and those after it let time pass fairly: each machine runs, each message that is not
// cut arrives, and each disk that is not stalled syncs.
const (
	Deliver Kind = iota
	Duplicate
	Drop
	Sync
	Tick
	Crash
	Start
	Wipe
	Cut
	Isolate
	Heal
	Stall
	Put
	Get
	Resend  // send an earlier order again, to any machine
	Race    // send another order under the revision of the last one
	Elapse  // fair time, under the present cuts, stalls and losses
	Recover // heal and restart everything, with the time to catch up
	Burst   // send many orders in fair time
	Replace // remove a machine for good; an empty one starts at another address
	Retire  // planned replacement: the new machine starts first, then the old one is asked to stop
	kinds
)

var kindNames = [kinds]string{"deliver", "double", "drop", "sync", "tick", "crash", "start", "wipe", "cut", "isolate", "heal", "stall",
	"put", "get", "resend", "race", "elapse", "calm", "burst", "replace", "retire"}

// The weight of each kind, before a schedule's own biases. The biases make one schedule repeat a
// kind that another hardly uses, so that states which only arise without some faults are reached
// too.
var kindWeights = [kinds]float64{120, 6, 6, 90, 50, 3, 14, 2, 1, 2, 2, 1, 16, 14, 4, 3, 4, 2, 0.3, 1.5, 1.5}

var biases = []float64{0.05, 0.3, 1, 1, 3}

// Step is one step. A and B select its targets and parameters, modulo their number.
type Step struct {
	Kind Kind
	A, B int
}

func (s Step) String() string { return fmt.Sprintf("%s %d %d", kindNames[s.Kind], s.A, s.B) }

// Generate returns the schedule of a seed.
func Generate(p Plan, seed uint64) []Step {
	rng := rand.New(rand.NewPCG(seed, 1))
	total, ownWeights := 0.0, kindWeights
	for k := range ownWeights {
		if Kind(k) != Deliver && Kind(k) != Sync && Kind(k) != Tick {
			ownWeights[k] *= biases[rng.IntN(len(biases))]
		}
		total += ownWeights[k]
	}
	steps := make([]Step, p.Steps)
	for i := range steps {
		x := rng.Float64() * total
		k := 0
		for ; k < len(ownWeights)-1 && x >= ownWeights[k]; k++ {
			x -= ownWeights[k]
		}
		steps[i] = Step{Kind(k), rng.IntN(1 << 20), rng.IntN(1 << 20)}
	}
	return steps
}
