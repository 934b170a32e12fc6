// Package modelcheck searches the core's control state (internal/cluster/replica) for schedules that
// break its rules: machines that crash, lose their disks or stall, messages that are lost,
// doubled and delayed, cuts one way and both ways, operators that write and read all the
// while. A schedule is a list of steps drawn from a seed; one that breaks a rule can be
// played again step by step and is shrunk to what matters. It judges by what callers were
// told and by what the disks hold, never by the machines' own word.
package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"saddleport/internal/cluster/antientropy"
	"saddleport/internal/cluster/chain"
	"saddleport/internal/cluster/consensus"
	"saddleport/internal/cluster/replica"
)

// Plan says what is searched.
type Plan struct {
	Machines int // of the first view
	Spare    int // that come later
	Faults   int // disks that may be lost at once
	Wipes    int // in one schedule
	Steps    int
	Bare     bool // no copies are mended: what the chain and the view do is to hold by itself
	Breaks   chain.Breaks
}

// Of is the plan of a seed's schedule: every other one is bare.
func (p Plan) Of(seed uint64) Plan {
	p.Bare = seed%2 == 1
	return p
}

// Kind is what a step does.
type Kind uint8

// The kinds of steps.
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
	kinds
)

var names = [kinds]string{"deliver", "double", "drop", "sync", "tick", "crash", "start", "wipe", "cut", "isolate", "heal", "stall", "put", "get"}

// How often each kind is drawn, before a schedule's own bias: what one schedule does much
// of, another hardly does at all, and what only comes about in quiet comes about too.
var weights = [kinds]float64{120, 6, 6, 90, 50, 3, 14, 2, 1, 2, 2, 1, 16, 14}

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

type node struct {
	addr    string
	up      bool
	stalled bool
	lives   int
	disks   int
	epoch   uint64 // of the view that was looked at last, in this life
	life    int
	m       *replica.Machine
	disk    *replica.Record
	pending []replica.Output
}

type mail struct{ msg chain.Message }

type asked struct {
	floor   uint64 // acknowledged before it was asked
	version uint64 // of a put
	read    bool
}

// World is a schedule at play.
type World struct {
	plan    Plan
	now     int64
	nodes   []*node
	mail    []mail
	cuts    map[[2]int]bool
	asked   map[string]asked
	acked   uint64 // the highest rank acknowledged to a caller
	version uint64
	wipes   int
	views   map[uint64]string
	broken  error
	log     []string
	tell    bool

	// Seen counts what happened, to show that a search reaches what it is meant to.
	Seen Seen
}

// Seen counts what happened in schedules.
type Seen struct {
	Acks, Reads, Views, Wipes, Crashes, Epochs int
}

const step = int64(1000)

// New lays a world out: the machines of the first view, started on empty disks.
func New(p Plan) *World {
	w := &World{plan: p, now: 1, cuts: make(map[[2]int]bool), asked: make(map[string]asked), views: make(map[uint64]string)}
	for i := range p.Machines + p.Spare {
		w.nodes = append(w.nodes, &node{addr: fmt.Sprintf("m%d", i)})
	}
	for i := range p.Machines {
		w.start(i)
	}
	return w
}

func (w *World) seeds() (out []string) {
	for i := range w.plan.Machines {
		out = append(out, w.nodes[i].addr)
	}
	return out
}

func (w *World) start(i int) {
	n := w.nodes[i]
	if n.up {
		return
	}
	n.up, n.lives = true, n.lives+1
	if n.disk == nil {
		r := replica.Record{State: consensus.State{Self: chain.Member{Addr: n.addr, Disk: fmt.Sprint(n.disks)}}}
		if n.disks == 0 && i < w.plan.Machines {
			r.State.View = consensus.Genesis(w.seeds())
		}
		if w.plan.Breaks.KeepDisk && n.disks > 0 { // it takes itself for what it was
			r.State.Self.Disk = consensus.FirstDisk
			r.State.View = consensus.Genesis(w.seeds())
		}
		n.disk = &r
	}
	r := *n.disk
	cfg := replica.Usual(w.plan.Faults)
	if w.plan.Bare {
		cfg.Mend = antientropy.Config{}
	}
	n.m = replica.New(w.now, cfg, r, w.seeds(), fmt.Sprintf("%s-%d", n.addr, n.lives), w.plan.Breaks)
	w.note("start %s as %s, epoch %d, rank %d", n.addr, r.State.Self, r.State.View.Epoch, n.m.Chain.Held().Rank)
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
	if out.Write == nil && len(out.Send) == 0 && len(out.Results) == 0 {
		return
	}
	n.pending = append(n.pending, out)
	v := n.m.Pact.View
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
	if out.Write == nil {
		return
	}
	r := *out.Write
	if r.Entry == nil {
		r.Entry = n.disk.Entry
	}
	n.disk = &r
}

func (w *World) result(r chain.Result) {
	a, known := w.asked[r.ID]
	delete(w.asked, r.ID)
	if !known || !r.OK {
		return
	}
	if a.read {
		w.Seen.Reads++
		w.note("a read finds rank %d", r.Entry.Rank)
		if r.Entry.Rank < a.floor {
			w.fail("a read found rank %d though %d was acknowledged before it was asked", r.Entry.Rank, a.floor)
		}
		return
	}
	w.Seen.Acks++
	w.acked = max(w.acked, a.version<<chain.MarkBits)
	w.note("version %d is acknowledged", a.version)
	holders := 0
	for _, n := range w.nodes {
		if n.disk != nil && n.disk.Entry != nil && chain.Version(n.disk.Entry.Rank) >= a.version {
			holders++
		}
	}
	if may := w.plan.Faults - w.lost(w.newest()); holders <= may { // a disk may go between its word and the caller's
		w.fail("version %d is acknowledged and on %d disks; %d more may be lost", a.version, holders, may)
	}
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
		if x := w.nodes[i]; x.up {
			w.version += uint64(1 + s.B%3)
			e := chain.Entry{Rank: w.version << chain.MarkBits, Raw: []byte(fmt.Sprint(w.version))}
			w.note("put version %d at %s", w.version, x.addr)
			id, out := x.m.Put(w.now, e)
			w.asked[id] = asked{version: w.version}
			w.took(i, out)
		}
	case Get:
		if x := w.nodes[i]; x.up {
			w.note("get at %s", x.addr)
			id, out := x.m.Get(w.now)
			w.asked[id] = asked{read: true, floor: w.acked}
			w.took(i, out)
		}
	}
	return
}

func (w *World) deliver(msg chain.Message) {
	from, to := w.index(msg.From.Addr), w.index(msg.To.Addr)
	if to < 0 || !w.nodes[to].up || w.cuts[[2]int{from, to}] {
		return
	}
	w.took(to, w.nodes[to].m.Got(w.now, msg))
}

func (w *World) tick(d int64) {
	w.now += d
	for i, n := range w.nodes {
		if n.up {
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

// newest is the newest view on any disk.
func (w *World) newest() (v chain.View) {
	for _, n := range w.nodes {
		if n.disk != nil && n.disk.State.View.Epoch > v.Epoch {
			v = n.disk.State.View
		}
	}
	return v
}

// lost counts the machines whose disk was lost and that have not been taken in again.
func (w *World) lost(newest chain.View) (n int) {
	for _, x := range w.nodes {
		if x.disks > 0 && (x.disk == nil || !newest.Has(x.disk.State.Self)) {
			n++
		}
	}
	return n
}

// wipe takes a disk, if so many may be lost: the one before must be made up for. It is
// made up for once the newest view counts on no lost disk, and its chain is synced.
func (w *World) wipe(i int) {
	if w.wipes >= w.plan.Wipes || w.nodes[i].disk == nil {
		return
	}
	newest := w.newest()
	whole, behind := 0, 0
	for _, m := range newest.Members {
		n := w.nodes[w.index(m.Addr)]
		switch {
		case n.disk == nil || n.disk.State.Self != m:
		case n.disk.State.View.Epoch == newest.Epoch:
			whole++
		default:
			behind++
		}
	}
	if whole < len(newest.Members) || behind > 0 {
		return
	}
	if w.lost(newest) > 0 {
		return
	}
	w.wipes++
	w.Seen.Wipes++
	w.crash(i, 0)
	n := w.nodes[i]
	n.disk, n.disks = nil, n.disks+1
	w.note("the disk of %s is lost", n.addr)
}

// Settle heals everything and lets time pass until a read has found what was acknowledged,
// or it is clear that none will.
func (w *World) Settle() (err error) {
	defer func() {
		if x := recover(); x != nil {
			w.fail("%v", x)
		}
		err = w.broken
	}()
	clear(w.cuts)
	for i, n := range w.nodes {
		n.stalled = false
		if n.disk != nil || i < w.plan.Machines {
			w.start(i)
		}
	}
	w.note("all is healed")
	reads := w.Seen.Reads
	for round := 0; round < 400 && w.broken == nil; round++ {
		w.tick(100 * step)
		for range 12 {
			for i := range w.nodes {
				for w.nodes[i].up && len(w.nodes[i].pending) > 0 {
					w.sync(i)
				}
			}
			mail := w.mail
			w.mail = nil
			for _, m := range mail {
				w.deliver(m.msg)
			}
			if len(mail) == 0 {
				break
			}
		}
		if round > 60 && w.Seen.Reads > reads {
			return w.broken
		}
		if round%10 == 0 {
			for i, n := range w.nodes {
				if n.up {
					id, out := n.m.Get(w.now)
					w.asked[id] = asked{read: true, floor: w.acked}
					w.took(i, out)
				}
			}
		}
	}
	w.fail("no read is answered though all is healed: rank %d was acknowledged", w.acked)
	return w.broken
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
