package measure

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"saddleport/internal/cluster/chain"
)

const (
	cutLead   = 500 * ms // callers already send requests for so long before the cut
	cutSpan   = 20_000 * ms
	cutMargin = 10_000 * ms // from the end of the cut until the result is evaluated
)

// Position is the position in the chain of the machine that is cut off.
type Position string

// The positions.
const (
	CutHead    Position = "head"
	CutMiddle  Position = "middle"
	CutTail    Position = "tail"
	CutLearner Position = "learner"
)

// Positions lists all positions.
var Positions = []Position{CutHead, CutMiddle, CutTail, CutLearner}

// CutResult is the behaviour of a core machine that is cut off from all others for 20 s.
type CutResult struct {
	Position Position
	// From the start of the cut: the last response of the machine to one of its own callers, which
	// is an acknowledged order or a configuration that was read.
	LastAnswer     Spans
	Aware          Spans // until the machine detects that it has no quorum
	AckedElsewhere Spans // until another machine acknowledges an order that was sent after the start of the cut
	Recovered      Spans // from the end of the cut until the machine responds again
	StaleReads     int   // configurations returned that were older than the one acknowledged when the read was sent
	Never          int   // runs in which one of these times was not reached
}

// MeasureCut cuts off the machine at each position plan.Runs times.
func MeasureCut(plan CorePlan) (out []CutResult) {
	for _, position := range Positions {
		c := CutResult{Position: position}
		for run := range plan.Runs {
			plan.cut(&c, plan.Seed+uint64(run))
		}
		out = append(out, c)
	}
	return out
}

func (p CorePlan) cut(c *CutResult, seed uint64) {
	w := p.world(seed)
	x := w.machineAt(c.Position)
	begin := w.now + cutLead
	var last, aware, elsewhere, back int64
	w.onAck = func(askedAt int64) {
		if askedAt > begin && elsewhere == 0 {
			elsewhere = w.now
		}
	}
	floors := make(map[string]uint64) // by read: the version that was acknowledged when the read was sent
	w.onResult = func(at *machine, res chain.Result) {
		floor, own := floors[res.ID]
		if at != x || !own || !res.OK() {
			return
		}
		if res.Entry != nil && chain.RevisionOf(res.Entry.Version) < floor {
			c.StaleReads++
		}
		if w.now-begin < cutSpan {
			last = w.now
		} else if back == 0 {
			back = w.now
		}
	}
	var call func()
	call = func() {
		if w.now > begin && aware == 0 && !x.m.Consensus.HasQuorum(w.now) {
			aware = w.now
		}
		read, out := x.m.Get(w.now)
		floors[read] = w.newest
		w.enqueue(x, out)
		order, out := x.m.Put(w.now, chain.NewEntry(1, []byte("sent before")))
		floors[order] = 0
		w.enqueue(x, out)
		w.after(callInterval, call)
	}
	w.after(0, call)
	w.after(cutLead, func() { x.inboundCut, x.outboundCut = true, true })
	w.after(cutLead+cutSpan, func() { x.inboundCut, x.outboundCut = false, false })
	w.until(begin+cutSpan+cutMargin, nil)
	span := func(at, from int64) time.Duration { return time.Duration(max(at-from, 0) * micro) }
	c.LastAnswer = append(c.LastAnswer, span(last, begin))
	if aware == 0 || elsewhere == 0 || back == 0 {
		c.Never++
		return
	}
	c.Aware = append(c.Aware, span(aware, begin))
	c.AckedElsewhere = append(c.AckedElsewhere, span(elsewhere, begin))
	c.Recovered = append(c.Recovered, span(back, begin+cutSpan))
}

// machineAt returns the machine that is at a position now.
func (w *coreWorld) machineAt(position Position) *machine {
	v := w.view()
	switch position {
	case CutHead:
		return w.byAddr[v.Head().Addr]
	case CutTail:
		return w.byAddr[v.Tail().Addr]
	case CutMiddle:
		return w.byAddr[v.Chain[len(v.Chain)/2].Addr]
	}
	i := slices.IndexFunc(w.machines, func(x *machine) bool { return !v.Has(x.m.Consensus.Self) })
	return w.machines[max(i, 0)]
}

func cutCommand() *cobra.Command {
	p := CorePlan{Machines: 4, Faults: 1, Runs: 100, Seed: 1, Delays: DefaultDelays}
	var asJSON bool
	cmd := &cobra.Command{Use: "cut", Short: "Measure how a core machine behaves that is cut off from the others for 20 s", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if p.Machines < 2*p.Faults+2 || p.Machines > 15 || p.Faults < 1 || p.Runs < 1 {
				return errors.New("--machines: at least twice the faults plus two (the voters and a learner), at most 15; --faults and --runs: at least 1")
			}
			var rows []row
			old := 0
			for _, g := range MeasureCut(p) {
				old += g.StaleReads
				rows = append(rows, newRow(string(g.Position)+": last answer of its own", g.LastAnswer, 0), newRow(string(g.Position)+": knows that it is out of touch", g.Aware, g.Never),
					newRow(string(g.Position)+": orders go through elsewhere", g.AckedElsewhere, g.Never), newRow(string(g.Position)+": answers again, after the cut", g.Recovered, g.Never))
			}
			if asJSON {
				return writeJSON(c.OutOrStdout(), rows)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d core machines, of which %d may be lost; one is cut off from all others for 20 s; %d stale configurations returned\n\n", p.Machines, p.Faults, old)
			chart(c.OutOrStdout(), rows)
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&p.Machines, "machines", p.Machines, "number of core machines")
	f.IntVar(&p.Faults, "faults", p.Faults, "machines that may be lost at once")
	f.IntVar(&p.Runs, "runs", p.Runs, "runs of each position")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "the first seed")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}
