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

// GossipPlan describes a measurement of gossip.
type GossipPlan struct {
	Processes int
	Cores     int // core processes among them; 0: a tenth, at least three
	Zones     int
	Servers   int     // servers whose entries are stored from the start
	Loss      float64 // share of calls that are lost
	Runs      int     // drains announced, and processes killed
	Seed      uint64
	Delays    Delays
}

// GossipCost is the result of a gossip measurement.
type GossipCost struct {
	Plan           GossipPlan
	Calls          float64 // per second and process, while the fleet is idle
	Bytes          float64 // per second and process: requests sent and responses received, with headers
	CrossZoneBytes float64 // the part of Bytes that left the zone
	BusiestCalls   float64 // calls per second of the process that makes the most
	Reached        Spans   // time until all processes know a drain
	ReachedHalf    Spans   // time until half of them know it
	Noticed        Spans   // time until all processes know that a killed process is dead
	Joined         Spans   // time until a restarted process has all entries
	FalseDeaths    int     // deaths reported of processes that are alive
}

const (
	headBytes   = 150 // headers of a request
	answerBytes = 110
	callTimeout = 900 * 1000 // microseconds until a lost call is reported as failed
)

type proc struct {
	w            *gossipWorld
	i            int
	addr         string
	zone, region int
	members      *member.Machine
	up           bool
	incarnation  int
	timer        int // number of the current timer; earlier timers are ignored
	calls        int
	bytes        int
}

type gossipWorld struct {
	*sim
	plan           GossipPlan
	procs          []*proc
	byAddr         map[string]*proc
	counting       bool
	crossZoneBytes int
	seeds          []string
	killed         map[string]bool
	falseDeaths    int
	onUpdate       func(p *proc, i gossip.Entry)
	roles          []member.SingletonRole
	isCut          func(p, q *proc) bool // reports whether calls from p to q are lost; nil: none are
}

func jsonSize(v any) int {
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
	p.up, p.incarnation = true, p.incarnation+1
	self := gossip.Process{Addr: p.addr, Name: fmt.Sprint("m", p.i), Kind: kind, Zone: fmt.Sprint("z", p.zone), Region: fmt.Sprint("g", p.region)}
	p.members = member.New(p.w.now, member.DefaultConfig(p.w.roles...), self, p.w.seeds, p.w.rng)
	p.members.OnUpdate = func(i gossip.Entry) {
		if p.w.onUpdate != nil {
			p.w.onUpdate(p, i)
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

// step runs the machine's due work and schedules its next tick.
func (p *proc) step() {
	if !p.up {
		return
	}
	p.members.Tick(p.w.now)
	p.flush()
	p.timer++
	current, incarnation := p.timer, p.incarnation
	p.w.after(max(p.members.NextTick()-p.w.now, ms), func() {
		if p.timer == current && p.incarnation == incarnation {
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
	incarnation := p.incarnation
	for _, o := range out.Calls {
		w.call(p, o.To, jsonSize(o.Request), func(q *proc) (any, int) {
			ans := q.members.HandleExchange(w.now, gossip.PassRequest{ExchangeRequest: o.Request})
			q.stepSoon()
			return ans, jsonSize(ans)
		}, func(ans any, ok bool) {
			if p.incarnation != incarnation {
				return
			}
			a, _ := ans.(gossip.PassResponse)
			p.members.HandleExchangeResult(w.now, o, a, ok)
			p.flush()
			p.stepSoon()
		})
	}
	for _, q := range out.Probes {
		w.probe(p, q, incarnation)
	}
}

// probe delivers a failure-detector probe and the attempt to reach the target that may follow it.
func (w *gossipWorld) probe(p *proc, q failuredetector.Probe, incarnation int) {
	reportResult := func(alive, answered bool) {
		if p.incarnation == incarnation {
			p.members.HandleProbeResult(w.now, q, alive, answered)
		}
	}
	var alive, callTarget bool
	w.call(p, q.To, 40, func(x *proc) (any, int) {
		alive, callTarget = x.members.HandleProbe(w.now, q.Target)
		return nil, 12
	}, func(_ any, ok bool) {
		if !ok || !callTarget {
			reportResult(alive, ok)
			return
		}
		w.call(w.byAddr[q.To], q.Target, 40, func(*proc) (any, int) { return nil, 12 }, func(_ any, ok bool) { reportResult(ok, true) })
	})
}

// stepSoon schedules a step for input that has just arrived.
func (p *proc) stepSoon() {
	incarnation := p.incarnation
	p.w.after(0, func() {
		if p.incarnation == incarnation {
			p.step()
		}
	})
}

// call simulates a call: the request, its handling at the callee, and the response.
func (w *gossipWorld) call(p *proc, to string, bytes int, do func(q *proc) (any, int), done func(ans any, ok bool)) {
	q := w.byAddr[to]
	lost := w.rng.Float64() < w.plan.Loss
	w.account(p, q, bytes+headBytes, true)
	if q == nil || lost || !q.up || w.isCut != nil && w.isCut(p, q) {
		w.after(callTimeout, func() { done(nil, false) })
		return
	}
	d := w.plan.Delays.between(p.zone, p.region, q.zone, q.region)
	w.after(d, func() {
		if !q.up {
			w.after(callTimeout, func() { done(nil, false) })
			return
		}
		ans, n := do(q)
		w.account(q, p, n+answerBytes, false)
		w.after(d, func() { done(ans, true) })
	})
}

func (w *gossipWorld) account(p, q *proc, bytes int, call bool) {
	if !w.counting {
		return
	}
	if call {
		p.calls++
	}
	p.bytes += bytes
	if q != nil && q.zone != p.zone {
		w.crossZoneBytes += bytes
	}
}

// MeasureGossip simulates a fleet that starts, is idle, receives drains and loses processes.
func MeasureGossip(plan GossipPlan) GossipCost {
	w := newGossipWorld(plan)
	for i := range plan.Servers {
		w.after(2000*ms+int64(i)*ms, func() { w.procs[i%plan.cores()].storeServer(i, 1, registry.Available) })
	}
	out := GossipCost{Plan: plan}
	w.until(20_000*ms, nil)
	w.counting = true
	const rest = 30
	w.until(w.now+rest*1000*ms, nil)
	w.counting = false
	calls, bytes := 0, 0
	for _, p := range w.procs {
		calls, bytes = calls+p.calls, bytes+p.bytes
		out.BusiestCalls = max(out.BusiestCalls, float64(p.calls)/rest)
	}
	n := float64(plan.Processes) * rest
	out.Calls, out.Bytes, out.CrossZoneBytes = float64(calls)/n, float64(bytes)/n, float64(w.crossZoneBytes)/n
	for run := range plan.Runs {
		w.drain(&out, run)
	}
	for range plan.Runs {
		w.kill(&out)
	}
	out.FalseDeaths = w.falseDeaths
	return out
}

// newGossipWorld returns a fleet whose processes are scheduled to start.
func newGossipWorld(plan GossipPlan, roles ...member.SingletonRole) *gossipWorld {
	w := &gossipWorld{sim: newSim(plan.Seed), plan: plan, byAddr: make(map[string]*proc), killed: make(map[string]bool), roles: roles}
	for i := range plan.Processes {
		p := &proc{w: w, i: i, addr: fmt.Sprintf("10.%d.%d.%d:7080", i%plan.Zones+1, i/200, i%200+1)}
		p.zone, p.region = locate(i, plan.Zones)
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
	p.stepSoon()
}

// measureSpread simulates until all live processes hold an entry, and appends the times at which
// half and all of them did. A run that takes more than a minute counts as a minute.
func (w *gossipWorld) measureSpread(holds func(p *proc) bool, half, all *Spans) {
	begin, limit := w.now, w.now+60_000*ms
	known, live := make(map[*proc]bool), 0
	for _, p := range w.procs {
		if p.up {
			live++
			known[p] = holds(p)
		}
	}
	knownCount := func() (n int) {
		for _, isKnown := range known {
			if isKnown {
				n++
			}
		}
		return n
	}
	n, halfAt := knownCount(), int64(0)
	w.onUpdate = func(p *proc, _ gossip.Entry) {
		if !known[p] && p.up && holds(p) {
			known[p] = true
			if n++; halfAt == 0 && 2*n >= live {
				halfAt = w.now
			}
		}
	}
	w.until(limit, func() bool { return n < live })
	w.onUpdate = nil
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
	w.measureSpread(func(p *proc) bool { i, _ := p.members.Store().Get(key); return i.Version >= seq<<2 }, &out.ReachedHalf, &out.Reached)
}

// kill ends a process without an announcement, and restarts it once all processes know that it is
// dead.
func (w *gossipWorld) kill(out *GossipCost) {
	x := w.procs[w.rng.IntN(len(w.procs))]
	x.up, w.killed[x.addr] = false, true
	x.incarnation++
	key := gossip.ProcessPrefix + x.addr
	w.measureSpread(func(p *proc) bool { i, exists := p.members.Store().Get(key); return exists && i.Deleted() }, nil, &out.Noticed)
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
