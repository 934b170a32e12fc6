package modelcheck

import (
	"fmt"
	"math/rand/v2"

	"saddleport/internal/cluster/chain"
)

// Plan says what is searched.
type Plan struct {
	Machines int // voters of the first view
	Spare    int // machines that come later
	Faults   int // machines that may be lost at once
	Wipes    int // disks lost in one schedule, replacements included
	Steps    int
	Bare     bool // no copies are repaired: what the chain and the view do is to hold by itself
	Breaks   chain.Mutations
}

// Of is the plan of a seed's schedule: every other one is bare.
func (p Plan) Of(seed uint64) Plan {
	p.Bare = seed%2 == 1
	return p
}

// Kind is what a step does.
type Kind uint8

// The kinds of steps. Those up to Stall are adversarial: one message, one sync, one loss at a
// time. Elapse and what follows it let time pass fairly: each machine runs, each message that is
// not cut arrives, each disk that does not stall syncs.
const (
	Deliver Kind = iota
	Double
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
	Resend  // an order that was sent before, to any machine
	Race    // another order under the number of the last one
	Elapse  // fair time under the cuts, stalls and losses there are
	Calm    // all is healed and restarted, and has the time to catch up
	Burst   // many orders in fair time
	Replace // a machine is gone for good; an empty one comes at another address
	Retire  // the same, planned: the new one first, then the old one is told to stop
	kinds
)

var names = [kinds]string{"deliver", "double", "drop", "sync", "tick", "crash", "start", "wipe", "cut", "isolate", "heal", "stall",
	"put", "get", "resend", "race", "elapse", "calm", "burst", "replace", "retire"}

// How often each kind is drawn, before a schedule's own bias: what one schedule does much
// of, another hardly does at all, and what only comes about in quiet comes about too.
var weights = [kinds]float64{120, 6, 6, 90, 50, 3, 14, 2, 1, 2, 2, 1, 16, 14, 4, 3, 4, 2, 0.3, 1.5, 1.5}

var biases = []float64{0.05, 0.3, 1, 1, 3}

// Step is one step. A and B pick what it is done to, modulo what there is.
type Step struct {
	Kind Kind
	A, B int
}

func (s Step) String() string { return fmt.Sprintf("%s %d %d", names[s.Kind], s.A, s.B) }

// Draw makes a schedule of a seed.
func Draw(p Plan, seed uint64) []Step {
	rng := rand.New(rand.NewPCG(seed, 1))
	total, own := 0.0, weights
	for k := range own {
		if Kind(k) != Deliver && Kind(k) != Sync && Kind(k) != Tick {
			own[k] *= biases[rng.IntN(len(biases))]
		}
		total += own[k]
	}
	steps := make([]Step, p.Steps)
	for i := range steps {
		x := rng.Float64() * total
		k := 0
		for ; k < len(own)-1 && x >= own[k]; k++ {
			x -= own[k]
		}
		steps[i] = Step{Kind(k), rng.IntN(1 << 20), rng.IntN(1 << 20)}
	}
	return steps
}
