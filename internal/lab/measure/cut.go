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
	cutLead   = 500 * ms // callers ask before it, too
	cutSpan   = 20_000 * ms
	cutMargin = 10_000 * ms // after the cut, until it is judged
)

// Place is where in the core the machine stands that is cut off.
type Place string

// The places.
const (
	CutHead    Place = "head"
	CutMiddle  Place = "middle"
	CutTail    Place = "tail"
	CutLearner Place = "learner"
)

// Places are all of them.
var Places = []Place{CutHead, CutMiddle, CutTail, CutLearner}

// CutOff is what a core machine does that is cut off from all others for 20 s.
type CutOff struct {
	Place Place
	// From the cut on: the last answer that it gave to a caller of its own, an order
	// acknowledged or a configuration handed out.
	LastAnswer Spans
	Aware      Spans // until it knows that it is out of touch
	Elsewhere  Spans // until an order that was sent after the cut is acknowledged by another
	Back       Spans // from the end of the cut until it answers again
	Old        int   // configurations handed out that were older than what was acknowledged when asked
	Never      int   // runs in which one of these did not come about
}

// MeasureCut cuts each place off so many times.
func MeasureCut(plan CorePlan) (out []CutOff) {
	for _, place := range Places {
		c := CutOff{Place: place}
		for run := range plan.Runs {
			plan.cut(&c, plan.Seed+uint64(run))
		}
		out = append(out, c)
	}
	return out
}

func (p CorePlan) cut(c *CutOff, seed uint64) {
	w := p.world(seed)
	x := w.at(c.Place)
	begun := w.now + cutLead
	var last, aware, elsewhere, back int64
	w.acked = func(askedAt int64) {
		if askedAt > begun && elsewhere == 0 {
			elsewhere = w.now
		}
	}
	floors := make(map[string]uint64) // of reads: what was acknowledged when they were asked
	w.onResult = func(at *machine, res chain.Result) {
		floor, own := floors[res.ID]
		if at != x || !own || !res.OK() {
			return
		}
		if res.Entry != nil && chain.RevisionOf(res.Entry.Version) < floor {
			c.Old++
		}
		if w.now-begun < cutSpan {
			last = w.now
		} else if back == 0 {
			back = w.now
		}
	}
	var call func()
	call = func() {
		if w.now > begun && aware == 0 && !x.m.Consensus.HasQuorum(w.now) {
			aware = w.now
		}
		get, out := x.m.Get(w.now)
		floors[get] = w.newest
		w.flow(x, out)
		put, out := x.m.Put(w.now, chain.NewEntry(1, []byte("sent before")))
		floors[put] = 0
		w.flow(x, out)
		w.after(askEvery, call)
	}
	w.after(0, call)
	w.after(cutLead, func() { x.cutIn, x.cutOut = true, true })
	w.after(cutLead+cutSpan, func() { x.cutIn, x.cutOut = false, false })
	w.until(begun+cutSpan+cutMargin, nil)
	span := func(at, from int64) time.Duration { return time.Duration(max(at-from, 0) * micro) }
	c.LastAnswer = append(c.LastAnswer, span(last, begun))
	if aware == 0 || elsewhere == 0 || back == 0 {
		c.Never++
		return
	}
	c.Aware = append(c.Aware, span(aware, begun))
	c.Elsewhere = append(c.Elsewhere, span(elsewhere, begun))
	c.Back = append(c.Back, span(back, begun+cutSpan))
}

// at is the machine that stands at a place now.
func (w *coreWorld) at(place Place) *machine {
	v := w.view()
	switch place {
	case CutHead:
		return w.byAddr[v.Head().Addr]
	case CutTail:
		return w.byAddr[v.Tail().Addr]
	case CutMiddle:
		return w.byAddr[v.Chain[len(v.Chain)/2].Addr]
	}
	i := slices.IndexFunc(w.ms, func(x *machine) bool { return !v.Has(x.m.Consensus.Self) })
	return w.ms[max(i, 0)]
}

func cutCommand() *cobra.Command {
	p := CorePlan{Machines: 4, Faults: 1, Runs: 100, Seed: 1, Delays: Usual}
	var asJSON bool
	cmd := &cobra.Command{Use: "cut", Short: "What a core machine does that is cut off from the others for 20 s", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if p.Machines < 2*p.Faults+2 || p.Machines > 15 || p.Faults < 1 || p.Runs < 1 {
				return errors.New("machines: one more than the voters (twice the faults and one) at least, 15 at most; runs: 1 at least")
			}
			var rows []row
			old := 0
			for _, g := range MeasureCut(p) {
				old += g.Old
				rows = append(rows, rowOf(string(g.Place)+": last answer of its own", g.LastAnswer, 0), rowOf(string(g.Place)+": knows that it is out of touch", g.Aware, g.Never),
					rowOf(string(g.Place)+": orders go through elsewhere", g.Elsewhere, g.Never), rowOf(string(g.Place)+": answers again, after the cut", g.Back, g.Never))
			}
			if asJSON {
				return put(c.OutOrStdout(), rows)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d core machines, of which %d may be lost; one is cut off from all others for 20 s; %d old configurations handed out\n\n", p.Machines, p.Faults, old)
			chart(c.OutOrStdout(), rows)
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&p.Machines, "machines", p.Machines, "core machines")
	f.IntVar(&p.Faults, "faults", p.Faults, "that may be lost at once")
	f.IntVar(&p.Runs, "runs", p.Runs, "of each place")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "the first seed")
	f.BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}
