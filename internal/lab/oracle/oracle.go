// Package oracle provides the policies with which the proxy's own policy is compared:
// one that sees every server's true state, which no proxy can, and one that sees only
// the server list. Both keep the rules: one attempt of a part at a time, no more
// attempts than the cap, retries of unsafe parts only if they never ran, nothing to a
// draining server. It must never be used in a program that serves queries.
package oracle

import (
	"math/rand/v2"
	"slices"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/lab/virtual"
)

type part struct {
	id         string
	q          *query
	shard      int
	weight     float64
	attempts   int
	inFlightAt string // server of the attempt in flight; empty: none
	served     bool
	ran        bool
	tried      map[string]bool
}

type query struct {
	id          string
	number      int64
	class       *choice.Class
	endAt       choice.Micros
	parts       []*part
	servedShare float64
	started     bool
	ended       bool
}

// policy makes the decisions of one proxy.
type policy struct {
	w          *virtual.World
	proxy      int
	set        choice.Settings
	omniscient bool // sees the servers' true state
	rng        *rand.Rand
	now        choice.Micros
	actions    []choice.Action
	classes    map[string]*choice.Class
	cells      [][]string
	states     map[string]choice.State
	queries    map[string]*query
	byNumber   map[int64]*query
	parts      map[string]*part
	timers     map[int64]func()
	lastToken  int64
	watching   bool
	inFlight   map[string]int // this proxy's parts in flight, by server
}

// True returns a policy that sees every server's true state.
func True(w *virtual.World, proxy, life int, seed uint64, set choice.Settings) (exchange.Decider, error) {
	return build(w, proxy, seed, set, true)
}

// Blind returns a policy that selects any replica of the list at random.
func Blind(w *virtual.World, proxy, life int, seed uint64, set choice.Settings) (exchange.Decider, error) {
	return build(w, proxy, seed, set, false)
}

func build(w *virtual.World, proxy int, seed uint64, set choice.Settings, omniscient bool) (exchange.Decider, error) {
	p := &policy{w: w, proxy: proxy, set: set, omniscient: omniscient, rng: rand.New(rand.NewPCG(seed, 1)), classes: make(map[string]*choice.Class),
		cells: make([][]string, set.Cells), states: make(map[string]choice.State), queries: make(map[string]*query),
		byNumber: make(map[int64]*query), parts: make(map[string]*part), timers: make(map[int64]func()), inFlight: make(map[string]int)}
	for i := range set.Classes {
		p.classes[set.Classes[i].Name] = &set.Classes[i]
	}
	return p, nil
}

func (p *policy) emit(a choice.Action) { p.actions = append(p.actions, a) }

func (p *policy) schedule(d choice.Micros, f func()) {
	p.lastToken++
	p.timers[p.lastToken] = f
	p.emit(choice.Wake{Delay: max(d, 1), Token: p.lastToken})
}

// Step handles the events of one instant and returns the actions.
func (p *policy) Step(now choice.Micros, events []choice.Event) []choice.Action {
	p.now, p.actions = now, nil
	if !p.watching {
		p.watching = true
		p.emit(choice.Watch{On: true})
	}
	var newQueries []*query
	for _, ev := range events {
		switch ev := ev.(type) {
		case choice.List:
			p.updateList(ev)
		case choice.Query:
			if q := p.acceptQuery(ev); q != nil {
				newQueries = append(newQueries, q)
			}
		case choice.Part:
			if q := p.byNumber[ev.Number]; q != nil {
				x := &part{id: ev.ID, q: q, shard: ev.Shard, weight: ev.Weight, tried: make(map[string]bool)}
				q.parts = append(q.parts, x)
				p.parts[x.id] = x
			}
		case choice.Outcome:
			p.handleOutcome(ev)
		case choice.ClientLeft:
			if q := p.queries[ev.ID]; q != nil {
				p.finish(q)
			}
		case choice.Elapsed:
			if f := p.timers[ev.Token]; f != nil {
				delete(p.timers, ev.Token)
				f()
			}
		}
	}
	for _, q := range newQueries {
		p.scheduleMore(q)
	}
	return p.actions
}

func (p *policy) updateList(l choice.List) {
	if l.Form == choice.Failed {
		return
	}
	if l.Form != choice.Delta {
		for id := range p.states {
			p.states[id] = choice.Gone
		}
	}
	for _, s := range l.Servers {
		if _, known := p.states[s.ID]; !known {
			p.cells[s.Cell] = append(p.cells[s.Cell], s.ID)
			slices.Sort(p.cells[s.Cell])
		}
		p.states[s.ID] = s.State
	}
}

func (p *policy) acceptQuery(ev choice.Query) *query {
	c := p.classes[ev.Class]
	if c == nil {
		p.emit(choice.Refuse{ID: ev.ID})
		return nil
	}
	q := &query{id: ev.ID, number: ev.Number, class: c, endAt: p.now + ev.Grace - p.set.Resolution}
	p.queries[q.id], p.byNumber[ev.Number] = q, q
	p.schedule(q.endAt-p.now, func() { p.expire(q) })
	// A partial answer is given if the latency target would be missed otherwise.
	if target := p.now + min(c.LatencyTarget, ev.Grace) - 2*p.set.Resolution; target < q.endAt {
		p.schedule(target-p.now, func() { p.answerPartial(q) })
	}
	return q
}

func (p *policy) answerPartial(q *query) {
	if c := q.class; !q.ended && c.MinShare < c.RequiredShare && q.servedShare >= c.MinShare && q.servedShare > 0 {
		p.emit(choice.Answer{ID: q.id})
		p.finish(q)
	}
}

func (p *policy) expire(q *query) {
	if q.ended {
		return
	}
	if p.answerPartial(q); q.ended {
		return
	}
	p.abandon(q)
}

func (p *policy) abandon(q *query) {
	ran := slices.ContainsFunc(q.parts, func(x *part) bool { return x.ran })
	if q.class.Effect != choice.Safe && ran {
		p.emit(choice.Fail{ID: q.id})
	} else {
		p.emit(choice.Refuse{ID: q.id, RetryAfter: min(q.class.LatencyTarget/4, p.set.MaxRetryAfter)})
	}
	p.finish(q)
}

func (p *policy) finish(q *query) {
	if q.ended {
		return
	}
	q.ended = true
	for _, x := range q.parts {
		if x.inFlightAt != "" && p.set.Cancel {
			p.emit(choice.Cancel{ID: x.id, Attempt: x.attempts - 1})
		}
		if x.inFlightAt == "" {
			delete(p.parts, x.id)
		}
	}
	delete(p.queries, q.id)
	delete(p.byNumber, q.number)
}

// scheduleMore sends the parts that are neither in flight nor served and for which a
// server is available.
func (p *policy) scheduleMore(q *query) {
	if q.ended {
		return
	}
	if p.omniscient && !q.started && p.tooLate(q) {
		p.abandon(q)
		return
	}
	q.started = true
	waiting := false
	for _, x := range q.parts {
		if x.served || x.inFlightAt != "" || x.attempts >= p.set.AttemptCap || x.ran && q.class.Effect != choice.Safe {
			continue
		}
		s := p.bestServer(x)
		if s == "" {
			waiting = true
			continue
		}
		x.inFlightAt, x.attempts = s, x.attempts+1
		p.inFlight[s]++
		p.emit(choice.Send{ID: x.id, Server: s, Timeout: q.endAt - p.now})
	}
	if waiting { // a server may become available
		p.schedule(20_000, func() { p.scheduleMore(q) })
	}
}

// tooLate reports whether the parts expected within 70% of the latency target are too
// few for an answer. Such a query is refused at once, since work queued for it in vain
// delays other queries.
func (p *policy) tooLate(q *query) bool {
	inTime := 0.0
	for _, x := range q.parts {
		if s, wait := p.bestServerAndWait(x); s != "" && wait < 0.7*float64(q.class.LatencyTarget)/1e6 {
			inTime += x.weight
		}
	}
	return inTime < min(q.class.RequiredShare, max(q.class.MinShare, 1e-6))-1e-6
}

// bestServer returns the server that would finish a part first by its true state, or
// any server for the policy that sees only the list.
func (p *policy) bestServer(x *part) string {
	s, _ := p.bestServerAndWait(x)
	return s
}

// bestServerAndWait returns bestServer and the expected time there, in seconds.
func (p *policy) bestServerAndWait(x *part) (string, float64) {
	var names []string
	for j := range p.set.Width {
		for _, name := range p.cells[(x.shard+j)%p.set.Cells] {
			if p.states[name] == choice.Ready {
				names = append(names, name)
			}
		}
	}
	if !p.omniscient {
		if len(names) == 0 {
			return "", 0
		}
		return names[p.rng.IntN(len(names))], 0
	}
	best, bestWait := "", 0.0
	for _, i := range p.rng.Perm(len(names)) {
		name := names[i]
		n := p.w.Index[name]
		s := p.w.Servers[n]
		up, _ := s.Running()
		c := s.Capacity()
		if !up || c <= 0 || s.Unavailable(x.q.class.Name) || !p.w.Reachable(p.proxy, n) || s.Pending() >= s.QueueLimit+s.Cores {
			continue
		}
		// A server in slow start gets half of its capacity, since other proxies send too.
		if share := s.CapacityShare(); share < 1 && s.SlowStartHeadroom() < 0.5*s.SlowStart.OverloadMultiple*c*s.SlowStart.OverloadWindow.Seconds() {
			continue
		}
		// The server's state does not include this proxy's parts in flight to it.
		wait := (s.Backlog()+float64(p.inFlight[name])*0.002)/c + p.w.Work[x.q.class.Name].Dist.Mean().Seconds()*float64(s.Cores)/c
		if best == "" || wait < bestWait {
			best, bestWait = name, wait
		}
	}
	return best, bestWait
}

func (p *policy) handleOutcome(ev choice.Outcome) {
	x := p.parts[ev.ID]
	if x == nil || ev.Attempt != x.attempts-1 || x.inFlightAt == "" {
		return
	}
	q := x.q
	p.inFlight[x.inFlightAt]--
	x.inFlightAt = ""
	switch ev.Verdict {
	case choice.Served:
		if !x.served {
			x.served = true
			q.servedShare += x.weight
		}
	case choice.Rejected, choice.NoConnection, choice.NotSent:
	default:
		x.ran = true
	}
	if q.ended {
		delete(p.parts, x.id)
		return
	}
	if q.servedShare >= q.class.RequiredShare-1e-6 {
		p.emit(choice.Answer{ID: q.id, Whole: true})
		p.finish(q)
		return
	}
	possible := 0.0
	for _, y := range q.parts {
		if y.served || y.inFlightAt != "" || y.attempts < p.set.AttemptCap && !(y.ran && q.class.Effect != choice.Safe) {
			possible += y.weight
		}
	}
	required := q.class.RequiredShare
	if q.class.MinShare < required {
		required = q.class.MinShare
	}
	if possible < required-1e-6 {
		p.abandon(q)
		return
	}
	p.scheduleMore(q)
}
