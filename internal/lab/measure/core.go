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

// Loss is a kind of failure of core machines.
type Loss string

// The losses. A machine that is cut off keeps running without reaching the others.
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

// Losses lists all kinds of loss.
var Losses = []Loss{HeadLost, MiddleLost, TailLost, HeadStalls, TailStalls, HeadCut, TailCut, OneWay, AllKilled}

// CorePlan describes a measurement of the core.
type CorePlan struct {
	Machines int
	Faults   int // machines that may be lost at once
	Runs     int // runs of each loss
	Seed     uint64
	Delays   Delays
}

// Gap is the time from a loss to the first acknowledgement of an order that was sent after it.
type Gap struct {
	Loss  Loss
	Spans Spans
	Never int // runs without such an acknowledgement within a minute
}

const (
	syncDelay    = 5 * ms
	tickInterval = 100 * ms
	callInterval = 50 * ms
	downTime     = 800 * ms // of each machine, for AllKilled
)

type machine struct {
	addr         string
	zone, region int
	up           bool
	incarnation  int
	diskStalled  bool
	inboundCut   bool // it receives no messages
	outboundCut  bool // its messages are lost
	m            *replica.Machine
	disk         replica.Record
	queue        []replica.Output
	writing      bool
}

type coreWorld struct {
	*sim
	plan            CorePlan
	machines        []*machine
	byAddr          map[string]*machine
	seeds           []string
	version         uint64
	operatorStopped bool              // the operator sends no more versions
	sentAt          map[string]int64  // time of each call, by its id
	sentVersions    map[string]uint64 // version of each order, by its id
	newest          uint64            // highest version that was acknowledged to a caller
	onAck           func(askedAt int64)
	onResult        func(x *machine, res chain.Result) // called for each result that a machine returns to its callers; may be nil
}

// MeasureCore simulates each loss plan.Runs times.
func MeasureCore(plan CorePlan) (out []Gap) {
	for _, loss := range Losses {
		g := Gap{Loss: loss}
		for run := range plan.Runs {
			if span, ok := plan.simulate(loss, plan.Seed+uint64(run)); ok {
				g.Spans = append(g.Spans, span)
			} else {
				g.Never++
			}
		}
		out = append(out, g)
	}
	return out
}

func (p CorePlan) simulate(loss Loss, seed uint64) (time.Duration, bool) {
	w := p.world(seed)
	at, ackAt := w.now, int64(0)
	w.onAck = func(askedAt int64) {
		if askedAt > at && ackAt == 0 {
			ackAt = w.now
		}
	}
	w.injectLoss(loss)
	w.until(at+60_000*ms, func() bool { return ackAt == 0 })
	return time.Duration((ackAt - at) * micro), ackAt > 0
}

// world returns a core that has run for 5 to 6 s while an operator sends versions.
func (p CorePlan) world(seed uint64) *coreWorld {
	w := &coreWorld{sim: newSim(seed), plan: p, byAddr: make(map[string]*machine), sentAt: make(map[string]int64), sentVersions: make(map[string]uint64)}
	for i := range p.Machines {
		x := &machine{addr: fmt.Sprintf("10.%d.0.1:7080", i+1)}
		x.zone, x.region = locate(i, 3)
		w.machines = append(w.machines, x)
		w.byAddr[x.addr] = x
		w.seeds = append(w.seeds, x.addr)
	}
	for _, x := range w.machines {
		x.disk = replica.Record{State: consensus.State{Self: views.Member{Addr: x.addr, DiskID: consensus.FirstDiskID}, View: consensus.InitialView(w.seeds)}}
		w.after(w.rng.Int64N(200*ms), func() { w.start(x) })
	}
	w.after(500*ms, w.sendVersions)
	w.until(5000*ms+w.rng.Int64N(1000*ms), nil)
	return w
}

func (w *coreWorld) injectLoss(loss Loss) {
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
		head.diskStalled = true
	case TailStalls:
		tail.diskStalled = true
	case HeadCut:
		head.inboundCut, head.outboundCut = true, true
	case TailCut:
		tail.inboundCut, tail.outboundCut = true, true
	case OneWay:
		head.inboundCut = true
	case AllKilled:
		for _, x := range w.machines {
			w.crash(x)
			w.after(downTime+w.rng.Int64N(200*ms), func() { w.start(x) })
		}
	}
}

// view is the newest view of any machine.
func (w *coreWorld) view() (v views.View) {
	for _, x := range w.machines {
		if x.m.Consensus.View.Epoch > v.Epoch {
			v = x.m.Consensus.View
		}
	}
	return v
}

func (w *coreWorld) start(x *machine) {
	x.up, x.incarnation = true, x.incarnation+1
	x.m = replica.New(w.now, replica.DefaultConfig(w.plan.Faults), x.disk, w.seeds, fmt.Sprint(x.addr, ".", x.incarnation), chain.Mutations{})
	w.tick(x, x.incarnation)
}

func (w *coreWorld) crash(x *machine) {
	x.up, x.queue, x.writing = false, nil, false
	x.incarnation++
}

func (w *coreWorld) tick(x *machine, incarnation int) {
	if x.incarnation != incarnation {
		return
	}
	w.enqueue(x, x.m.Tick(w.now))
	w.after(tickInterval, func() { w.tick(x, incarnation) })
}

// sendVersions sends the operator's next version to a random machine that is reachable, and
// schedules the one after it.
func (w *coreWorld) sendVersions() {
	if w.operatorStopped {
		return
	}
	var up []*machine
	for _, x := range w.machines {
		if x.up && !x.inboundCut && !x.outboundCut {
			up = append(up, x)
		}
	}
	if len(up) > 0 {
		x := up[w.rng.IntN(len(up))]
		w.version++
		id, out := x.m.Put(w.now, chain.NewEntry(w.version, []byte("x")))
		w.sentAt[id], w.sentVersions[id] = w.now, w.version
		w.enqueue(x, out)
	}
	w.after(callInterval, w.sendVersions)
}

// enqueue queues the output of a step. Its messages and results are sent once its record is on
// disk.
func (w *coreWorld) enqueue(x *machine, out replica.Output) {
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
	incarnation := x.incarnation
	done := func() {
		if x.incarnation != incarnation {
			return
		}
		x.disk, x.writing = r, false
		for _, out := range batch {
			w.send(x, out.Send)
			for _, res := range out.Results {
				if res.OK() {
					w.newest = max(w.newest, w.sentVersions[res.ID])
				}
				delete(w.sentVersions, res.ID)
				if w.onResult != nil {
					w.onResult(x, res)
				}
				if at, known := w.sentAt[res.ID]; known && res.OK() && w.onAck != nil {
					w.onAck(at)
				}
				delete(w.sentAt, res.ID)
			}
		}
		w.write(x)
	}
	switch {
	case !dirty:
		w.after(0, done)
	case !x.diskStalled:
		w.after(syncDelay, done)
	}
}

func (w *coreWorld) send(x *machine, list []envelope.Message) {
	for _, msg := range list {
		to := w.byAddr[msg.To.Addr]
		if to == nil || x.outboundCut {
			continue
		}
		w.after(w.plan.Delays.between(x.zone, x.region, to.zone, to.region), func() {
			if to.up && !to.inboundCut && !(x.inboundCut && x.outboundCut) {
				w.enqueue(to, to.m.Step(w.now, msg))
			}
		})
	}
}
