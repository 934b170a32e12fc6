// Package modelcheck searches the core's control state (internal/cluster/replica) for schedules that
// break its rules: machines crash, lose their disks or stall; messages are lost, duplicated and
// delayed; links are cut in one or both directions; operators write and read throughout. A schedule
// is a list of steps generated from a seed. A schedule that breaks a rule can be repeated step by
// step, and is reduced to the steps that matter. The rules are checked against the results that
// callers received and the contents of the disks, never against the state that machines report.
package modelcheck

import (
	"fmt"
	"strings"

	"saddleport/internal/cluster/antientropy"
	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/envelope"
	"saddleport/internal/cluster/replica"
	"saddleport/internal/cluster/views"
)

type node struct {
	addr            string
	up              bool
	removed         bool // removed for good
	stalled         bool
	incarnations    int
	diskCount       int
	seenEpoch       uint64 // epoch of the view that was checked last, in incarnation viewIncarnation
	viewIncarnation int
	m               *replica.Machine
	disk            *replica.Record
	pending         []replica.Output
}

type packet struct{ msg envelope.Message }

// order is a configuration sent by an operator.
type order struct {
	version uint64
	raw     string
}

func (o order) entry() chain.Entry { return chain.NewEntry(o.version, []byte(o.raw)) }

type request struct {
	floor uint64 // highest version acknowledged before the request was sent
	order order
	read  bool
	probe *bool // set once the request succeeds; nil except at the end of a schedule
}

// World is the state of a running schedule.
type World struct {
	plan        Plan
	now         int64
	nodes       []*node
	inFlight    []packet
	cuts        map[[2]int]bool
	requests    map[string]request
	acked       uint64            // highest version acknowledged to a caller
	readContent map[uint64]string // by version: the content that a read returned
	confirmed   map[uint64]string // by version: the content that was confirmed to an operator
	recent      []order           // the last orders sent, at most maxRecent
	version     uint64
	wipes       int
	unrecovered int // machines lost since all machines last caught up
	views       map[uint64]string
	broken      error
	log         []string
	verbose     bool

	// Stats counts events, to show that a search reaches the states it is meant to test.
	Stats Stats
}

// Stats counts events in schedules.
type Stats struct {
	Acks, Reads, Wipes, Replaced, Crashes, Epochs int
}

const step = int64(1000)

// New returns a world in which the machines of the first view have started on empty disks.
func New(p Plan) *World {
	w := &World{plan: p, now: 1, cuts: make(map[[2]int]bool), requests: make(map[string]request), views: make(map[uint64]string),
		readContent: make(map[uint64]string), confirmed: make(map[uint64]string)}
	for i := range p.Machines + p.Spare {
		w.nodes = append(w.nodes, &node{addr: fmt.Sprintf("m%d", i)})
	}
	for i := range p.Machines {
		w.start(i)
	}
	return w
}

// first returns the addresses of the first view's machines; seeds returns those at which other
// machines ask to join.
func (w *World) first() (out []string) {
	for i := range w.plan.Machines {
		out = append(out, w.nodes[i].addr)
	}
	return out
}

func (w *World) seeds() (out []string) {
	for _, n := range w.nodes {
		if !n.removed && n.incarnations > 0 {
			out = append(out, n.addr)
		}
	}
	return out
}

func (w *World) start(i int) {
	n := w.nodes[i]
	if n.up || n.removed {
		return
	}
	n.up, n.incarnations = true, n.incarnations+1
	if n.disk == nil {
		r := replica.Record{State: consensus.State{Self: views.Member{Addr: n.addr, DiskID: fmt.Sprint(n.diskCount)}}}
		if n.diskCount == 0 && i < w.plan.Machines {
			r.State.View = consensus.InitialView(w.first())
		}
		if w.plan.Mutations.LostDiskVotes && n.diskCount > 0 { // the mutation: it keeps the identity that it had before it lost its disk
			r.State.Self.DiskID = consensus.FirstDiskID
			r.State.View = consensus.InitialView(w.first())
		}
		n.disk = &r
	}
	r := *n.disk
	cfg := replica.DefaultConfig(w.plan.Faults)
	if w.plan.NoRepair {
		cfg.Repair = antientropy.Config{}
	}
	n.m = replica.New(w.now, cfg, r, w.seeds(), fmt.Sprintf("%s-%d", n.addr, n.incarnations), w.plan.Mutations)
	w.logf("start %s as %s, epoch %d, version %d", n.addr, r.State.Self, r.State.View.Epoch, n.m.Chain.Stored().Version)
}

func (w *World) logf(format string, args ...any) {
	if w.verbose {
		w.log = append(w.log, fmt.Sprintf("%8d ms  ", w.now/step)+fmt.Sprintf(format, args...))
	}
}

func (w *World) failf(format string, args ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf(format, args...)
		w.logf("rule broken: %v", w.broken)
	}
}

func (w *World) index(addr string) int {
	for i, n := range w.nodes {
		if n.addr == addr {
			return i
		}
	}
	return -1
}

// enqueue queues a machine's output, and checks that each epoch has one view.
func (w *World) enqueue(i int, out replica.Output) {
	n := w.nodes[i]
	if out.Persist == nil && len(out.Send) == 0 && len(out.Results) == 0 {
		return
	}
	n.pending = append(n.pending, out)
	v := n.m.Consensus.View
	if v.Epoch > 0 && (v.Epoch != n.seenEpoch || n.viewIncarnation != n.incarnations) {
		n.seenEpoch, n.viewIncarnation = v.Epoch, n.incarnations
		text := fmt.Sprintf("%v chain %v base %d", v.Members, v.Chain, v.Base)
		if was, known := w.views[v.Epoch]; !known {
			w.views[v.Epoch] = text
			w.Stats.Epochs++
			w.logf("%s adopts epoch %d: %s", n.addr, v.Epoch, text)
		} else if was != text {
			w.failf("two views of epoch %d: %s, and at %s %s", v.Epoch, was, n.addr, text)
		}
	}
}

// sync completes a disk's oldest write, and sends the messages and results that waited for it.
func (w *World) sync(i int) {
	n := w.nodes[i]
	if !n.up || n.stalled || len(n.pending) == 0 {
		return
	}
	out := n.pending[0]
	n.pending = n.pending[1:]
	w.write(n, out)
	for _, msg := range out.Send {
		w.inFlight = append(w.inFlight, packet{msg: msg})
	}
	for _, r := range out.Results {
		w.checkResult(r)
	}
}

func (w *World) write(n *node, out replica.Output) {
	if out.Persist == nil {
		return
	}
	r := *out.Persist
	if r.Entry == nil {
		r.Entry = n.disk.Entry
	}
	n.disk = &r
}

// Do runs one step. A panic in a machine counts as a broken rule.
func (w *World) Do(s Step) (err error) {
	defer func() {
		if x := recover(); x != nil {
			w.failf("%v", x)
		}
		err = w.broken
	}()
	n := len(w.nodes)
	i := s.A % n
	switch s.Kind {
	case Deliver:
		for range 1 + s.B%4 { // heartbeats alone are many: at one message per step most others would never arrive
			if len(w.inFlight) > 0 {
				j := s.A % min(len(w.inFlight), 1+s.B%8) // roughly in the order in which they were sent
				msg := w.inFlight[j].msg
				w.inFlight[j] = w.inFlight[0]
				w.inFlight = w.inFlight[1:]
				w.deliver(msg)
			}
		}
	case Duplicate:
		if len(w.inFlight) > 0 {
			j := s.A % len(w.inFlight)
			w.deliver(w.inFlight[j].msg)
		}
	case Drop:
		if len(w.inFlight) > 0 {
			j := s.A % len(w.inFlight)
			w.inFlight[j] = w.inFlight[0]
			w.inFlight = w.inFlight[1:]
		}
	case Sync:
		for range 1 + s.B%3 {
			w.sync(i)
		}
	case Tick:
		w.tick(int64(20+s.B%300) * step)
	case Crash:
		w.crash(i, s.B)
	case Start:
		w.start(i)
	case Wipe:
		w.wipe(i)
	case Cut:
		if j := s.B % n; i != j {
			w.cuts[[2]int{i, j}] = true
			if s.B%3 > 0 {
				w.cuts[[2]int{j, i}] = true
			}
			w.logf("cut %s from %s", w.nodes[i].addr, w.nodes[j].addr)
		}
	case Isolate: // only one machine: with two isolated ones no majority would remain
		clear(w.cuts)
		for j := range n {
			if i != j {
				w.cuts[[2]int{i, j}], w.cuts[[2]int{j, i}] = true, true
			}
		}
		w.logf("isolate %s", w.nodes[i].addr)
	case Heal:
		clear(w.cuts)
	case Stall:
		w.nodes[i].stalled = !w.nodes[i].stalled && s.B%2 == 0
	case Put:
		w.version += uint64(1 + s.B%3)
		w.put(i, order{w.version, fmt.Sprint(w.version)}, nil)
	case Resend:
		if len(w.recent) > 0 {
			w.put(i, w.recent[s.B%len(w.recent)], nil)
		}
	case Race:
		if w.version > 0 {
			w.put(i, order{w.version, fmt.Sprint(w.version, " of another operator")}, nil)
		}
	case Get:
		w.get(i, nil)
	case Elapse:
		w.runFor(int64(1+s.B%20) * 1000 * step)
	case Recover:
		w.recoverAll()
	case Burst:
		w.burst(50 + s.B%100)
	case Replace:
		w.replace(i, int64(100+s.B%3000)*step)
	case Retire:
		w.retire(i, int64(200+s.B%8000)*step)
	}
	return
}

func (w *World) deliver(msg envelope.Message) {
	from, to := w.index(msg.From.Addr), w.index(msg.To.Addr)
	if to < 0 || !w.nodes[to].up || w.cuts[[2]int{from, to}] {
		return
	}
	w.enqueue(to, w.nodes[to].m.Step(w.now, msg))
}

func (w *World) tick(d int64) {
	w.now += d
	seeds := w.seeds() // as gossip would provide them
	for i, n := range w.nodes {
		if n.up {
			n.m.Consensus.SetSeeds(seeds)
			w.enqueue(i, n.m.Tick(w.now))
		}
	}
}

// crash ends a machine. Some of its oldest writes that were not synced may still reach the disk, as
// keep selects.
func (w *World) crash(i, keep int) {
	n := w.nodes[i]
	if !n.up {
		return
	}
	n.up, n.stalled = false, false
	w.Stats.Crashes++
	for _, out := range n.pending[:keep%(len(n.pending)+1)] {
		w.write(n, out)
	}
	n.pending = nil
	w.logf("crash %s", n.addr)
}

// RunSchedule runs a schedule to its end and settles it. verbose records a log of the steps that
// had an effect.
func RunSchedule(p Plan, steps []Step, verbose bool) (*World, error) {
	w := New(p)
	w.verbose = verbose
	for _, s := range steps {
		if w.Do(s) != nil {
			return w, w.broken
		}
	}
	return w, w.Settle()
}

// Log returns the log, which is empty unless the schedule ran with verbose.
func (w *World) Log() string { return strings.Join(w.log, "\n") }

// Shrink removes steps from a schedule that breaks a rule while it still breaks one.
func Shrink(p Plan, steps []Step) []Step {
	for size := len(steps) / 2; size > 0; {
		shrunk := false
		for start := 0; start+size <= len(steps); {
			reduced := append(append([]Step{}, steps[:start]...), steps[start+size:]...)
			if _, err := RunSchedule(p, reduced, false); err != nil {
				steps, shrunk = reduced, true
			} else {
				start += size
			}
		}
		if !shrunk || size > len(steps) {
			size /= 2
		}
	}
	return steps
}
