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

// CatchUp is how long a core machine needs to store the configuration in force after the given
// number of orders.
type CatchUp struct {
	Orders    int
	Restarted Spans // a member that was down during the second half of the orders
	Empty     Spans // a member with an empty disk, until it may vote
	Disk      int   // bytes that a member stores in addition to the configuration itself
	Never     int
}

// CatchUpPlan describes a measurement of catching up.
type CatchUpPlan struct {
	Core   CorePlan
	Orders []int
	Bytes  int // size of a configuration
}

// MeasureCatchUp simulates each number of orders while members restart.
func MeasureCatchUp(p CatchUpPlan) (out []CatchUp) {
	for _, n := range p.Orders {
		c := CatchUp{Orders: n}
		for run := range p.Core.Runs {
			p.simulate(&c, n, p.Core.Seed+uint64(run))
		}
		out = append(out, c)
	}
	return out
}

const (
	orderInterval  = 100 * ms
	restartEvery   = 40 // orders
	catchUpTimeout = 60_000 * ms
)

func (p CatchUpPlan) simulate(c *CatchUp, orders int, seed uint64) {
	w := p.Core.world(seed)
	w.operatorStopped = true
	text := strings.Repeat("x", p.Bytes)
	down := w.byAddr[w.view().Tail().Addr]
	for i := range orders {
		if i == orders/2 {
			w.crash(down)
		}
		if i%restartEvery == restartEvery-1 { // another member restarts
			x := w.machines[i/restartEvery%len(w.machines)]
			if x != down && x.up {
				w.crash(x)
				w.after(300*ms, func() { w.start(x) })
			}
		}
		w.version++
		w.sendToFirstUp(w.version, chain.NewEntry(w.version, []byte(fmt.Sprint(w.version, text))))
		w.until(w.now+orderInterval, nil)
	}
	w.until(w.now+3000*ms, nil)
	w.start(down)
	if span, ok := w.untilCaughtUp(down); ok {
		c.Restarted = append(c.Restarted, span)
	} else {
		c.Never++
	}
	w.crash(down)
	down.disk = replica.Record{State: consensus.State{Self: views.Member{Addr: down.addr, DiskID: "again"}}}
	w.start(down)
	if span, ok := w.untilCaughtUp(down); ok {
		c.Empty = append(c.Empty, span)
	} else {
		c.Never++
	}
	c.Disk = max(c.Disk, p.overheadBytes(down))
}

// overheadBytes is the number of bytes on a member's disk apart from the configuration's content.
func (p CatchUpPlan) overheadBytes(x *machine) int {
	entry, err := json.Marshal(x.disk.Entry)
	if err != nil || x.disk.Entry == nil {
		return 0
	}
	return len(replica.EncodeState(x.disk)) + len(entry) - len(x.disk.Entry.Content)
}

// sendToFirstUp sends an order to the first machine that is up.
func (w *coreWorld) sendToFirstUp(version uint64, e chain.Entry) {
	i := slices.IndexFunc(w.machines, func(x *machine) bool { return x.up })
	id, out := w.machines[i].m.Put(w.now, e)
	w.sentAt[id] = w.now
	w.enqueue(w.machines[i], out)
}

// untilCaughtUp simulates until a machine may vote and has the newest configuration on its disk.
// It returns the time and whether that happened before the timeout.
func (w *coreWorld) untilCaughtUp(x *machine) (time.Duration, bool) {
	begin := w.now
	caughtUp := func() bool {
		return x.m.Consensus.IsMember() && x.disk.Entry != nil && chain.RevisionOf(x.disk.Entry.Version) == w.version
	}
	w.until(begin+catchUpTimeout, func() bool { return !caughtUp() })
	return time.Duration((w.now - begin) * micro), caughtUp()
}

func catchUpCommand() *cobra.Command {
	p := CatchUpPlan{Core: CorePlan{Machines: 3, Faults: 1, Runs: 10, Seed: 1, Delays: DefaultDelays}, Orders: []int{30, 100, 300, 1000}, Bytes: 10_000}
	cmd := &cobra.Command{Use: "catch-up", Short: "Measure how long a restarted core machine needs to catch up after many orders, and what it stores", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if slices.Min(p.Orders) < 10 || slices.Max(p.Orders) > 100_000 || p.Core.Runs < 1 {
				return errors.New("--orders: 10 to 100000; --runs: at least 1")
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "orders\trestarted, p50\tp99\tempty disk until it votes, p50\tp99\tstored besides the configuration\tincomplete runs\t")
			for _, g := range MeasureCatchUp(p) {
				round := func(s Spans, share float64) time.Duration { return s.At(share).Round(time.Millisecond) }
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d B\t%d of %d\t\n", g.Orders, round(g.Restarted, 0.5), round(g.Restarted, 0.99),
					round(g.Empty, 0.5), round(g.Empty, 0.99), g.Disk, g.Never, p.Core.Runs)
			}
			return w.Flush()
		}}
	f := cmd.Flags()
	f.IntSliceVar(&p.Orders, "orders", p.Orders, "numbers of orders before the restart")
	f.IntVar(&p.Core.Runs, "runs", p.Core.Runs, "runs of each number of orders")
	f.IntVar(&p.Bytes, "bytes", p.Bytes, "size of a configuration in bytes")
	f.Uint64Var(&p.Core.Seed, "seed", p.Core.Seed, "the first seed")
	return cmd
}
