// Package modelcheck searches the core's control state (internal/cluster/replica) for schedules that
// break its rules: machines that crash, lose their disks or stall, messages that are lost,
// doubled and delayed, cuts one way and both ways, operators that write and read all the
// while. A schedule is a list of steps drawn from a seed; one that breaks a rule can be
// played again step by step and is shrunk to what matters. It judges by what callers were
// told and by what the disks hold, never by the machines' own word.
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
	addr    string
	up      bool
	removed bool // for good
	stalled bool
	lives   int
	disks   int
	epoch   uint64 // of the view that was looked at last, in this life
	life    int
	m       *replica.Machine
	disk    *replica.Record
	pending []replica.Output
}

type mail struct{ msg envelope.Message }

// order is a configuration that an operator sends.
type order struct {
	version uint64
	raw     string
}

func (o order) entry() chain.Entry { return chain.NewEntry(o.version, []byte(o.raw)) }

type asked struct {
	floor uint64 // the version acknowledged before it was asked
	order order
	read  bool
	probe *bool // of the end of a schedule: set once it is answered
}

// World is a schedule at play.
type World struct {
	plan    Plan
	now     int64
	nodes   []*node
	mail    []mail
	cuts    map[[2]int]bool
	asked   map[string]asked
	acked   uint64            // the highest version acknowledged to a caller
	read    map[uint64]string // by version: the content that a read found
	taken   map[uint64]string // by version: the content that was confirmed to its operator
	sent    []order           // the last ones
	version uint64
	wipes   int
	open    int // machines lost since all had the time to catch up
	views   map[uint64]string
	broken  error
	log     []string
	tell    bool

	// Seen counts what happened, to show that a search reaches what it is meant to.
	Seen Seen
}

// Seen counts what happened in schedules.
type Seen struct {
	Acks, Reads, Wipes, Replaced, Crashes, Epochs int
}

const step = int64(1000)

// New lays a world out: the machines of the first view, started on empty disks.
func New(p Plan) *World {
	w := &World{plan: p, now: 1, cuts: make(map[[2]int]bool), asked: make(map[string]asked), views: make(map[uint64]string),
		read: make(map[uint64]string), taken: make(map[uint64]string)}
	for i := range p.Machines + p.Spare {
		w.nodes = append(w.nodes, &node{addr: fmt.Sprintf("m%d", i)})
	}
	for i := range p.Machines {
		w.start(i)
	}
	return w
}

// first are the machines of the first view; seeds are where others ask to be taken in.
func (w *World) first() (out []string) {
	for i := range w.plan.Machines {
		out = append(out, w.nodes[i].addr)
	}
	return out
}

func (w *World) seeds() (out []string) {
	for _, n := range w.nodes {
		if !n.removed && n.lives > 0 {
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
	n.up, n.lives = true, n.lives+1
	if n.disk == nil {
		r := replica.Record{State: consensus.State{Self: views.Member{Addr: n.addr, DiskID: fmt.Sprint(n.disks)}}}
		if n.disks == 0 && i < w.plan.Machines {
			r.State.View = consensus.InitialView(w.first())
		}
		if w.plan.Breaks.LostDiskVotes && n.disks > 0 { // it takes itself for what it was
			r.State.Self.DiskID = consensus.FirstDiskID
			r.State.View = consensus.InitialView(w.first())
		}
		n.disk = &r
	}
	r := *n.disk
	cfg := replica.DefaultConfig(w.plan.Faults)
	if w.plan.Bare {
		cfg.Repair = antientropy.Config{}
	}
	n.m = replica.New(w.now, cfg, r, w.seeds(), fmt.Sprintf("%s-%d", n.addr, n.lives), w.plan.Breaks)
	w.note("start %s as %s, epoch %d, rank %d", n.addr, r.State.Self, r.State.View.Epoch, n.m.Chain.Stored().Version)
}

func (w *World) note(format string, args ...any) {
	if w.tell {
		w.log = append(w.log, fmt.Sprintf("%8d ms  ", w.now/step)+fmt.Sprintf(format, args...))
	}
}

func (w *World) fail(format string, args ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf(format, args...)
		w.note("BROKEN %v", w.broken)
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

// took queues what a machine wants written and sent.
func (w *World) took(i int, out replica.Output) {
	n := w.nodes[i]
	if out.Persist == nil && len(out.Send) == 0 && len(out.Results) == 0 {
		return
	}
	n.pending = append(n.pending, out)
	v := n.m.Consensus.View
	if v.Epoch > 0 && (v.Epoch != n.epoch || n.life != n.lives) {
		n.epoch, n.life = v.Epoch, n.lives
		text := fmt.Sprintf("%v chain %v base %d", v.Members, v.Chain, v.Base)
		if was, known := w.views[v.Epoch]; !known {
			w.views[v.Epoch] = text
			w.Seen.Epochs++
			w.note("%s has epoch %d: %s", n.addr, v.Epoch, text)
		} else if was != text {
			w.fail("two views of epoch %d: %s, and at %s %s", v.Epoch, was, n.addr, text)
		}
	}
}

// sync has a disk finish its oldest write; what waited for it goes out.
func (w *World) sync(i int) {
	n := w.nodes[i]
	if !n.up || n.stalled || len(n.pending) == 0 {
		return
	}
	out := n.pending[0]
	n.pending = n.pending[1:]
	w.write(n, out)
	for _, msg := range out.Send {
		w.mail = append(w.mail, mail{msg: msg})
	}
	for _, r := range out.Results {
		w.result(r)
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

// Do plays one step. A broken invariant of the machines counts as a broken rule.
func (w *World) Do(s Step) (err error) {
	defer func() {
		if x := recover(); x != nil {
			w.fail("%v", x)
		}
		err = w.broken
	}()
	n := len(w.nodes)
	i := s.A % n
	switch s.Kind {
	case Deliver:
		for range 1 + s.B%4 { // beats alone are many: what is slower than they come is never heard
			if len(w.mail) > 0 {
				j := s.A % min(len(w.mail), 1+s.B%8) // mostly about in order
				msg := w.mail[j].msg
				w.mail[j] = w.mail[0]
				w.mail = w.mail[1:]
				w.deliver(msg)
			}
		}
	case Double:
		if len(w.mail) > 0 {
			j := s.A % len(w.mail)
			w.deliver(w.mail[j].msg)
		}
	case Drop:
		if len(w.mail) > 0 {
			j := s.A % len(w.mail)
			w.mail[j] = w.mail[0]
			w.mail = w.mail[1:]
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
			w.note("cut %s from %s", w.nodes[i].addr, w.nodes[j].addr)
		}
	case Isolate: // one alone: two would leave nobody to go on
		clear(w.cuts)
		for j := range n {
			if i != j {
				w.cuts[[2]int{i, j}], w.cuts[[2]int{j, i}] = true, true
			}
		}
		w.note("isolate %s", w.nodes[i].addr)
	case Heal:
		clear(w.cuts)
	case Stall:
		w.nodes[i].stalled = !w.nodes[i].stalled && s.B%2 == 0
	case Put:
		w.version += uint64(1 + s.B%3)
		w.put(i, order{w.version, fmt.Sprint(w.version)}, nil)
	case Resend:
		if len(w.sent) > 0 {
			w.put(i, w.sent[s.B%len(w.sent)], nil)
		}
	case Race:
		if w.version > 0 {
			w.put(i, order{w.version, fmt.Sprint(w.version, " of another operator")}, nil)
		}
	case Get:
		w.get(i, nil)
	case Elapse:
		w.play(int64(1+s.B%20) * 1000 * step)
	case Calm:
		w.calm()
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
	w.took(to, w.nodes[to].m.Step(w.now, msg))
}

func (w *World) tick(d int64) {
	w.now += d
	seeds := w.seeds() // as gossip would tell
	for i, n := range w.nodes {
		if n.up {
			n.m.Consensus.SetSeeds(seeds)
			w.took(i, n.m.Tick(w.now))
		}
	}
}

// crash ends a machine; of what it had not synced, some of the oldest may be on the disk.
func (w *World) crash(i, keep int) {
	n := w.nodes[i]
	if !n.up {
		return
	}
	n.up, n.stalled = false, false
	w.Seen.Crashes++
	for _, out := range n.pending[:keep%(len(n.pending)+1)] {
		w.write(n, out)
	}
	n.pending = nil
	w.note("crash %s", n.addr)
}

// Play plays a schedule to its end. tell has the steps that did something written down.
func Play(p Plan, steps []Step, tell bool) (*World, error) {
	w := New(p)
	w.tell = tell
	for _, s := range steps {
		if w.Do(s) != nil {
			return w, w.broken
		}
	}
	return w, w.Settle()
}

// Log is what was written down.
func (w *World) Log() string { return strings.Join(w.log, "\n") }

// Shrink leaves out of a schedule that breaks a rule what it breaks it without.
func Shrink(p Plan, steps []Step) []Step {
	for size := len(steps) / 2; size > 0; {
		shrunk := false
		for at := 0; at+size <= len(steps); {
			less := append(append([]Step{}, steps[:at]...), steps[at+size:]...)
			if _, err := Play(p, less, false); err != nil {
				steps, shrunk = less, true
			} else {
				at += size
			}
		}
		if !shrunk || size > len(steps) {
			size /= 2
		}
	}
	return steps
}
