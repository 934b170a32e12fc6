package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/replica"
	"saddleport/internal/cluster/views"
)

// CatchUp is how long a core machine needs to hold what is in force, after so many orders.
type CatchUp struct {
	Orders    int
	Restarted Spans // a member that was down for half of the orders
	Empty     Spans // one that comes with an empty disk, until it has a vote
	Disk      int   // bytes that a member keeps, beside the configuration itself
	Never     int
}

// CatchUpPlan says what is measured.
type CatchUpPlan struct {
	Core   CorePlan
	Orders []int
	Bytes  int // of a configuration
}

// MeasureCatchUp plays so many orders, with members that restart all along.
func MeasureCatchUp(p CatchUpPlan) (out []CatchUp) {
	for _, n := range p.Orders {
		c := CatchUp{Orders: n}
		for run := range p.Core.Runs {
			p.play(&c, n, p.Core.Seed+uint64(run))
		}
		out = append(out, c)
	}
	return out
}

const (
	orderEvery   = 100 * ms
	restartEvery = 40 // orders
	mostCatchUp  = 60_000 * ms
)

func (p CatchUpPlan) play(c *CatchUp, orders int, seed uint64) {
	w := p.Core.world(seed)
	w.quiet = true
	text := strings.Repeat("x", p.Bytes)
	down := w.byAddr[w.view().Tail().Addr]
	for i := range orders {
		if i == orders/2 {
			w.crash(down)
		}
		if i%restartEvery == restartEvery-1 { // another one comes and goes
			x := w.ms[i/restartEvery%len(w.ms)]
			if x != down && x.up {
				w.crash(x)
				w.after(300*ms, func() { w.start(x) })
			}
		}
		w.version++
		w.putAt(w.version, chain.NewEntry(w.version, []byte(fmt.Sprint(w.version, text))))
		w.until(w.now+orderEvery, nil)
	}
	w.until(w.now+3000*ms, nil)
	w.start(down)
	if span, ok := w.untilHolds(down); ok {
		c.Restarted = append(c.Restarted, span)
	} else {
		c.Never++
	}
	w.crash(down)
	down.disk = replica.Record{State: consensus.State{Self: views.Member{Addr: down.addr, DiskID: "again"}}}
	w.start(down)
	if span, ok := w.untilHolds(down); ok {
		c.Empty = append(c.Empty, span)
	} else {
		c.Never++
	}
	c.Disk = max(c.Disk, p.beside(down))
}

// beside is what a member keeps on its disk beside the configuration's own bytes.
func (p CatchUpPlan) beside(x *machine) int {
	entry, err := json.Marshal(x.disk.Entry)
	if err != nil || x.disk.Entry == nil {
		return 0
	}
	return len(replica.EncodeState(x.disk)) + len(entry) - len(x.disk.Entry.Content)
}

// putAt sends an order to the first machine that runs.
func (w *coreWorld) putAt(version uint64, e chain.Entry) {
	i := slices.IndexFunc(w.ms, func(x *machine) bool { return x.up })
	id, out := w.ms[i].m.Put(w.now, e)
	w.asked[id] = w.now
	w.flow(w.ms[i], out)
}

// untilHolds plays on until a machine has a vote and the newest configuration on its disk.
func (w *coreWorld) untilHolds(x *machine) (time.Duration, bool) {
	begun := w.now
	holds := func() bool {
		return x.m.Consensus.IsMember() && x.disk.Entry != nil && chain.RevisionOf(x.disk.Entry.Version) == w.version
	}
	w.until(begun+mostCatchUp, func() bool { return !holds() })
	return time.Duration((w.now - begun) * micro), holds()
}

func catchUpCommand() *cobra.Command {
	p := CatchUpPlan{Core: CorePlan{Machines: 3, Faults: 1, Runs: 10, Seed: 1, Delays: Usual}, Orders: []int{30, 100, 300, 1000}, Bytes: 10_000}
	cmd := &cobra.Command{Use: "catch-up", Short: "How long a core machine that comes back needs after many orders, and what it keeps", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if slices.Min(p.Orders) < 10 || slices.Max(p.Orders) > 100_000 || p.Core.Runs < 1 {
				return errors.New("orders: 10 to 100000; runs: 1 at least")
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "orders\trestarted, p50\tp99\tempty disk until it votes, p50\tp99\tkept beside the configuration\truns not done\t")
			for _, g := range MeasureCatchUp(p) {
				round := func(s Spans, share float64) time.Duration { return s.At(share).Round(time.Millisecond) }
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d B\t%d of %d\t\n", g.Orders, round(g.Restarted, 0.5), round(g.Restarted, 0.99),
					round(g.Empty, 0.5), round(g.Empty, 0.99), g.Disk, g.Never, p.Core.Runs)
			}
			return w.Flush()
		}}
	f := cmd.Flags()
	f.IntSliceVar(&p.Orders, "orders", p.Orders, "orders before the restart")
	f.IntVar(&p.Core.Runs, "runs", p.Core.Runs, "of each number")
	f.IntVar(&p.Bytes, "bytes", p.Bytes, "of a configuration")
	f.Uint64Var(&p.Core.Seed, "seed", p.Core.Seed, "the first seed")
	return cmd
}
