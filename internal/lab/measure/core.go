package measure

import (
	"fmt"
	"time"

	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/replica"
	"saddleport/internal/cluster/views"
)

// Loss is what befalls the core.
type Loss string

// The losses. A machine that is cut off lives on, alone.
const (
	HeadLost   Loss = "head lost"
	MiddleLost Loss = "middle lost"
	TailLost   Loss = "tail lost"
	HeadStalls Loss = "disk of the head stalls"
	TailStalls Loss = "disk of the tail stalls"
	HeadCut    Loss = "head cut off"
	TailCut    Loss = "tail cut off"
	OneWay     Loss = "head hears nobody"
	AllKilled  Loss = "all processes killed"
)

// Losses are all of them.
var Losses = []Loss{HeadLost, MiddleLost, TailLost, HeadStalls, TailStalls, HeadCut, TailCut, OneWay, AllKilled}

// CorePlan says what is measured of the core.
type CorePlan struct {
	Machines int
	Faults   int // that may be lost at once
	Runs     int // of each loss
	Seed     uint64
	Delays   Delays
}

// Gap is how long nothing was acknowledged, from a loss to the first acknowledgement of
// what was sent after it.
type Gap struct {
	Loss  Loss
	Spans Spans
	Never int // runs without any within a minute
}

const (
	syncTime = 5 * ms
	tickTime = 100 * ms
	askEvery = 50 * ms
	downTime = 800 * ms // of AllKilled
)

type machine struct {
	addr         string
	zone, region int
	up           bool
	life         int
	stalled      bool
	cutIn        bool // hears nobody
	cutOut       bool // nobody hears it
	m            *replica.Machine
	disk         replica.Record
	queue        []replica.Output
	writing      bool
}

type coreWorld struct {
	*sim
	plan     CorePlan
	ms       []*machine
	byAddr   map[string]*machine
	seeds    []string
	version  uint64
	quiet    bool              // the operator has stopped
	asked    map[string]int64  // when a call was made
	sent     map[string]uint64 // the version of an order
	newest   uint64            // the highest version that was acknowledged to a caller
	acked    func(askedAt int64)
	onResult func(x *machine, res chain.Result) // of what a machine tells its callers; nil: nobody
}

// MeasureCore plays each loss so many times.
func MeasureCore(plan CorePlan) (out []Gap) {
	for _, loss := range Losses {
		g := Gap{Loss: loss}
		for run := range plan.Runs {
			if span, ok := plan.play(loss, plan.Seed+uint64(run)); ok {
				g.Spans = append(g.Spans, span)
			} else {
				g.Never++
			}
		}
		out = append(out, g)
	}
	return out
}

func (p CorePlan) play(loss Loss, seed uint64) (time.Duration, bool) {
	w := p.world(seed)
	at, ackAt := w.now, int64(0)
	w.acked = func(askedAt int64) {
		if askedAt > at && ackAt == 0 {
			ackAt = w.now
		}
	}
	w.suffer(loss)
	w.until(at+60_000*ms, func() bool { return ackAt == 0 })
	return time.Duration((ackAt - at) * micro), ackAt > 0
}

// world is a core that has run for some seconds, while an operator sends versions.
func (p CorePlan) world(seed uint64) *coreWorld {
	w := &coreWorld{sim: newSim(seed), plan: p, byAddr: make(map[string]*machine), asked: make(map[string]int64), sent: make(map[string]uint64)}
	for i := range p.Machines {
		x := &machine{addr: fmt.Sprintf("10.%d.0.1:7080", i+1)}
		x.zone, x.region = place(i, 3)
		w.ms = append(w.ms, x)
		w.byAddr[x.addr] = x
		w.seeds = append(w.seeds, x.addr)
	}
	for _, x := range w.ms {
		x.disk = replica.Record{State: consensus.State{Self: views.Member{Addr: x.addr, DiskID: consensus.FirstDiskID}, View: consensus.InitialView(w.seeds)}}
		w.after(w.rng.Int64N(200*ms), func() { w.start(x) })
	}
	w.after(500*ms, w.ask)
	w.until(5000*ms+w.rng.Int64N(1000*ms), nil)
	return w
}

func (w *coreWorld) suffer(loss Loss) {
	v := w.view()
	head, middle, tail := w.byAddr[v.Head().Addr], w.byAddr[v.Chain[len(v.Chain)/2].Addr], w.byAddr[v.Tail().Addr]
	switch loss {
	case HeadLost:
		w.crash(head)
	case MiddleLost:
		w.crash(middle)
	case TailLost:
		w.crash(tail)
	case HeadStalls:
		head.stalled = true
	case TailStalls:
		tail.stalled = true
	case HeadCut:
		head.cutIn, head.cutOut = true, true
	case TailCut:
		tail.cutIn, tail.cutOut = true, true
	case OneWay:
		head.cutIn = true
	case AllKilled:
		for _, x := range w.ms {
			w.crash(x)
			w.after(downTime+w.rng.Int64N(200*ms), func() { w.start(x) })
		}
	}
}

// view is the newest that a machine is in.
func (w *coreWorld) view() (v views.View) {
	for _, x := range w.ms {
		if x.m.Consensus.View.Epoch > v.Epoch {
			v = x.m.Consensus.View
		}
	}
	return v
}

func (w *coreWorld) start(x *machine) {
	x.up, x.life = true, x.life+1
	x.m = replica.New(w.now, replica.DefaultConfig(w.plan.Faults), x.disk, w.seeds, fmt.Sprint(x.addr, ".", x.life), chain.Mutations{})
	w.tick(x, x.life)
}

func (w *coreWorld) crash(x *machine) {
	x.up, x.queue, x.writing = false, nil, false
	x.life++
}

func (w *coreWorld) tick(x *machine, life int) {
	if x.life != life {
		return
	}
	w.flow(x, x.m.Tick(w.now))
	w.after(tickTime, func() { w.tick(x, life) })
}

// ask has an operator send a version to any machine that it reaches, again and again.
func (w *coreWorld) ask() {
	if w.quiet {
		return
	}
	var up []*machine
	for _, x := range w.ms {
		if x.up && !x.cutIn && !x.cutOut {
			up = append(up, x)
		}
	}
	if len(up) > 0 {
		x := up[w.rng.IntN(len(up))]
		w.version++
		id, out := x.m.Put(w.now, chain.NewEntry(w.version, []byte("x")))
		w.asked[id], w.sent[id] = w.now, w.version
		w.flow(x, out)
	}
	w.after(askEvery, w.ask)
}

// flow queues what a step wants written; what it wants sent waits for that.
func (w *coreWorld) flow(x *machine, out replica.Output) {
	if out.Persist == nil && len(out.Send) == 0 && len(out.Results) == 0 {
		return
	}
	x.queue = append(x.queue, out)
	w.write(x)
}

func (w *coreWorld) write(x *machine) {
	if x.writing || len(x.queue) == 0 {
		return
	}
	batch := x.queue
	x.queue, x.writing = nil, true
	r, dirty := x.disk, false
	for _, out := range batch {
		if out.Persist != nil {
			dirty, r.State, r.StoredEpoch = true, out.Persist.State, out.Persist.StoredEpoch
			if out.Persist.Entry != nil {
				r.Entry = out.Persist.Entry
			}
		}
	}
	life := x.life
	done := func() {
		if x.life != life {
			return
		}
		x.disk, x.writing = r, false
		for _, out := range batch {
			w.send(x, out.Send)
			for _, res := range out.Results {
				if res.OK() {
					w.newest = max(w.newest, w.sent[res.ID])
				}
				delete(w.sent, res.ID)
				if w.onResult != nil {
					w.onResult(x, res)
				}
				if at, known := w.asked[res.ID]; known && res.OK() && w.acked != nil {
					w.acked(at)
				}
				delete(w.asked, res.ID)
			}
		}
		w.write(x)
	}
	switch {
	case !dirty:
		w.after(0, done)
	case !x.stalled:
		w.after(syncTime, done)
	}
}

func (w *coreWorld) send(x *machine, list []envelope.Message) {
	for _, msg := range list {
		to := w.byAddr[msg.To.Addr]
		if to == nil || x.cutOut {
			continue
		}
		w.after(w.plan.Delays.between(x.zone, x.region, to.zone, to.region), func() {
			if to.up && !to.cutIn && !(x.cutIn && x.cutOut) {
				w.flow(to, to.m.Step(w.now, msg))
			}
		})
	}
}
