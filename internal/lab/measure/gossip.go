package measure

import (
	"encoding/json"
	"fmt"
	"time"

	"saddleport/internal/cluster/failuredetector"
	"saddleport/internal/cluster/gossip"
	"saddleport/internal/cluster/member"
	"saddleport/internal/cluster/registry"
)

// GossipPlan says what is measured of gossip.
type GossipPlan struct {
	Processes int
	Cores     int // of the processes, core processes; 0: a tenth, three at least
	Zones     int
	Servers   int     // whose entries are stored from the start
	Loss      float64 // share of calls that are lost on the way or back
	Runs      int     // drains told, and processes killed
	Seed      uint64
	Delays    Delays
}

// GossipCost is what was measured.
type GossipCost struct {
	Plan           GossipPlan
	Calls          float64 // a second and process, at rest
	Bytes          float64 // the same: sent and received answers, with heads
	CrossZoneBytes float64 // of these, bytes that left the zone
	BusiestCalls   float64 // a second, of the process that makes most calls
	Reached        Spans   // a drain to all
	Half           Spans   // and to half
	Noticed        Spans   // a process killed, until all know
	Joined         Spans   // a process started anew, until it holds all
	False          int     // deaths told of processes that live
}

const (
	headBytes   = 150 // of a call
	answerBytes = 110
	lostAfter   = 900 * 1000 // microseconds until a call that is lost counts as failed
)

type proc struct {
	w            *gossipWorld
	i            int
	addr         string
	zone, region int
	members      *member.Machine
	up           bool
	life         int
	timer        int // the number of the timer that counts
	calls        int
	bytes        int
}

type gossipWorld struct {
	*sim
	plan        GossipPlan
	procs       []*proc
	byAddr      map[string]*proc
	count       bool
	beyond      int
	seeds       []string
	killed      map[string]bool
	falseDeaths int
	watch       func(p *proc, i gossip.Entry)
	duties      []member.SingletonRole
	cut         func(p, q *proc) bool // nil: no way is
}

func size(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(b)
}

func (p *proc) start() {
	kind := gossip.KindAgent
	if p.i < p.w.plan.cores() {
		kind = gossip.KindControlPlane
	}
	p.up, p.life = true, p.life+1
	self := gossip.Process{Addr: p.addr, Name: fmt.Sprint("m", p.i), Kind: kind, Zone: fmt.Sprint("z", p.zone), Region: fmt.Sprint("g", p.region)}
	p.members = member.New(p.w.now, member.DefaultConfig(p.w.duties...), self, p.w.seeds, p.w.rng)
	p.members.OnUpdate = func(i gossip.Entry) {
		if p.w.watch != nil {
			p.w.watch(p, i)
		}
	}
	p.step()
}

func (p GossipPlan) cores() int {
	if p.Cores > 0 {
		return p.Cores
	}
	return max(3, p.Processes/10)
}

// step has the machine do what is due, and sets the next alarm.
func (p *proc) step() {
	if !p.up {
		return
	}
	p.members.Tick(p.w.now)
	p.flush()
	p.timer++
	mine, life := p.timer, p.life
	p.w.after(max(p.members.NextTick()-p.w.now, ms), func() {
		if p.timer == mine && p.life == life {
			p.step()
		}
	})
}

func (p *proc) flush() {
	w := p.w
	out := p.members.TakeOutput()
	for _, n := range out.Events {
		if n.Kind == member.ProcessDead && !w.killed[n.Process] {
			w.falseDeaths++
		}
	}
	life := p.life
	for _, o := range out.Calls {
		w.call(p, o.To, size(o.Request), func(q *proc) (any, int) {
			ans := q.members.HandleExchange(w.now, o.Request)
			q.soon()
			return ans, size(ans)
		}, func(ans any, ok bool) {
			if p.life != life {
				return
			}
			a, _ := ans.(gossip.ExchangeResponse)
			p.members.HandleExchangeResult(w.now, o, a, ok)
			p.flush()
			p.soon()
		})
	}
	for _, q := range out.Probes {
		w.ask(p, q, life)
	}
}

// ask carries a question of the ring, and the try that it may lead to.
func (w *gossipWorld) ask(p *proc, q failuredetector.Probe, life int) {
	answer := func(hears, came bool) {
		if p.life == life {
			p.members.HandleProbeResult(w.now, q, hears, came)
		}
	}
	var hears, try bool
	w.call(p, q.To, 40, func(x *proc) (any, int) {
		hears, try = x.members.HandleProbe(w.now, q.Target)
		return nil, 12
	}, func(_ any, ok bool) {
		if !ok || !try {
			answer(hears, ok)
			return
		}
		w.call(w.byAddr[q.To], q.Target, 40, func(*proc) (any, int) { return nil, 12 }, func(_ any, ok bool) { answer(ok, true) })
	})
}

// soon has a process look at what has come in.
func (p *proc) soon() {
	life := p.life
	p.w.after(0, func() {
		if p.life == life {
			p.step()
		}
	})
}

// call plays a call: there, what is done there, and back.
func (w *gossipWorld) call(p *proc, to string, bytes int, do func(q *proc) (any, int), done func(ans any, ok bool)) {
	q := w.byAddr[to]
	lost := w.rng.Float64() < w.plan.Loss
	w.pay(p, q, bytes+headBytes, true)
	if q == nil || lost || !q.up || w.cut != nil && w.cut(p, q) {
		w.after(lostAfter, func() { done(nil, false) })
		return
	}
	d := w.plan.Delays.between(p.zone, p.region, q.zone, q.region)
	w.after(d, func() {
		if !q.up {
			w.after(lostAfter, func() { done(nil, false) })
			return
		}
		ans, n := do(q)
		w.pay(q, p, n+answerBytes, false)
		w.after(d, func() { done(ans, true) })
	})
}

func (w *gossipWorld) pay(p, q *proc, bytes int, call bool) {
	if !w.count {
		return
	}
	if call {
		p.calls++
	}
	p.bytes += bytes
	if q != nil && q.zone != p.zone {
		w.beyond += bytes
	}
}

// MeasureGossip plays a fleet: it comes up, rests, is told of drains, loses processes.
func MeasureGossip(plan GossipPlan) GossipCost {
	w := newGossipWorld(plan)
	for i := range plan.Servers {
		w.after(2000*ms+int64(i)*ms, func() { w.procs[i%plan.cores()].storeServer(i, 1, registry.Available) })
	}
	out := GossipCost{Plan: plan}
	w.until(20_000*ms, nil)
	w.count = true
	const rest = 30
	w.until(w.now+rest*1000*ms, nil)
	w.count = false
	calls, bytes := 0, 0
	for _, p := range w.procs {
		calls, bytes = calls+p.calls, bytes+p.bytes
		out.BusiestCalls = max(out.BusiestCalls, float64(p.calls)/rest)
	}
	n := float64(plan.Processes) * rest
	out.Calls, out.Bytes, out.CrossZoneBytes = float64(calls)/n, float64(bytes)/n, float64(w.beyond)/n
	for run := range plan.Runs {
		w.drain(&out, run)
	}
	for range plan.Runs {
		w.kill(&out)
	}
	out.False = w.falseDeaths
	return out
}

// newGossipWorld has a fleet about to start.
func newGossipWorld(plan GossipPlan, duties ...member.SingletonRole) *gossipWorld {
	w := &gossipWorld{sim: newSim(plan.Seed), plan: plan, byAddr: make(map[string]*proc), killed: make(map[string]bool), duties: duties}
	for i := range plan.Processes {
		p := &proc{w: w, i: i, addr: fmt.Sprintf("10.%d.%d.%d:7080", i%plan.Zones+1, i/200, i%200+1)}
		p.zone, p.region = place(i, plan.Zones)
		w.procs = append(w.procs, p)
		w.byAddr[p.addr] = p
		if i < 3 {
			w.seeds = append(w.seeds, p.addr)
		}
	}
	for _, p := range w.procs {
		w.after(w.rng.Int64N(500*ms), p.start)
	}
	return w
}

func (p *proc) storeServer(server int, seq uint64, state registry.State) {
	s := registry.Server{ID: fmt.Sprint("i-", server), Service: fmt.Sprint("s", server%20), Addr: fmt.Sprintf("10.9.%d.%d:80", server/200, server%200),
		Zone: fmt.Sprint("z", server%p.w.plan.Zones), Revision: "v1", Capacity: 3, State: state, Owner: p.addr}
	body, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	p.members.Put(p.w.now, gossip.Entry{Key: registry.Prefix + s.ID, Version: seq << 2, Value: body})
	p.soon()
}

// spread waits until so many processes hold an entry, and tells when half and all
// did; a run that takes over a minute counts as that.
func (w *gossipWorld) spread(holds func(p *proc) bool, half, all *Spans) {
	begin, most := w.now, w.now+60_000*ms
	know, live := make(map[*proc]bool), 0
	for _, p := range w.procs {
		if p.up {
			live++
			know[p] = holds(p)
		}
	}
	count := func() (n int) {
		for _, is := range know {
			if is {
				n++
			}
		}
		return n
	}
	n, halfAt := count(), int64(0)
	w.watch = func(p *proc, _ gossip.Entry) {
		if !know[p] && p.up && holds(p) {
			know[p] = true
			if n++; halfAt == 0 && 2*n >= live {
				halfAt = w.now
			}
		}
	}
	w.until(most, func() bool { return n < live })
	w.watch = nil
	if half != nil {
		*half = append(*half, time.Duration((halfAt-begin)*micro))
	}
	*all = append(*all, time.Duration((w.now-begin)*micro))
}

func (w *gossipWorld) drain(out *GossipCost, run int) {
	w.until(w.now+w.rng.Int64N(2000*ms), nil)
	server := run % max(w.plan.Servers, 1)
	seq := uint64(run + 2)
	w.procs[w.rng.IntN(w.plan.cores())].storeServer(server, seq, registry.Draining)
	key := registry.Prefix + fmt.Sprint("i-", server)
	w.spread(func(p *proc) bool { i, _ := p.members.Store().Get(key); return i.Version >= seq<<2 }, &out.Half, &out.Reached)
}

// kill ends a process without a word, and starts it anew once all know.
func (w *gossipWorld) kill(out *GossipCost) {
	x := w.procs[w.rng.IntN(len(w.procs))]
	x.up, w.killed[x.addr] = false, true
	x.life++
	key := gossip.ProcessPrefix + x.addr
	w.spread(func(p *proc) bool { i, known := p.members.Store().Get(key); return known && i.Deleted() }, nil, &out.Noticed)
	want := 0
	for _, p := range w.procs {
		if p.up {
			want = max(want, p.members.Store().Len())
		}
	}
	x.start()
	begin := w.now
	w.until(begin+60_000*ms, func() bool { return x.members.Store().Len() < want })
	out.Joined = append(out.Joined, time.Duration((w.now-begin)*micro))
	w.until(w.now+5000*ms, nil)
	w.killed[x.addr] = false
}
