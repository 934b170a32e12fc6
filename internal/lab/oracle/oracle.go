// Package oracle holds the policies that the mixer's own is set beside: one that sees
// every server's true state, which no mixer can, and one that sees nothing but the
// list. They keep the rules: one attempt of a part at a time, the cap, unsafe parts
// only again when they never ran, nothing to a server that drains. It must never be
// wired into a program that serves.
package oracle

import (
	"math/rand/v2"
	"slices"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/lab/virtual"
)

type part struct {
	id       string
	q        *query
	shard    int
	weight   float64
	attempts int
	out      string // the server that has it
	served   bool
	ran      bool
	tried    map[string]bool
}

type query struct {
	id    string
	n     int64
	class *choice.Class
	endAt choice.Micros
	parts []*part
	got   float64
	begun bool
	ended bool
}

// policy decides for one mixer.
type policy struct {
	w       *virtual.World
	n       int
	set     choice.Settings
	sees    bool // the true state
	rng     *rand.Rand
	now     choice.Micros
	acts    []choice.Action
	classes map[string]*choice.Class
	cells   [][]string
	states  map[string]choice.State
	queries map[string]*query
	numbers map[int64]*query
	parts   map[string]*part
	alarms  map[int64]func()
	tokens  int64
	asked   bool
	loads   map[string]int // parts out there, of this mixer
}

// True returns a policy that sees every server's true state.
func True(w *virtual.World, mixer, life int, seed uint64, set choice.Settings) (exchange.Decider, error) {
	return build(w, mixer, seed, set, true)
}

// Blind returns a policy that draws any replica that the list names.
func Blind(w *virtual.World, mixer, life int, seed uint64, set choice.Settings) (exchange.Decider, error) {
	return build(w, mixer, seed, set, false)
}

func build(w *virtual.World, n int, seed uint64, set choice.Settings, sees bool) (exchange.Decider, error) {
	p := &policy{w: w, n: n, set: set, sees: sees, rng: rand.New(rand.NewPCG(seed, 1)), classes: make(map[string]*choice.Class),
		cells: make([][]string, set.Cells), states: make(map[string]choice.State), queries: make(map[string]*query),
		numbers: make(map[int64]*query), parts: make(map[string]*part), alarms: make(map[int64]func()), loads: make(map[string]int)}
	for i := range set.Classes {
		p.classes[set.Classes[i].Name] = &set.Classes[i]
	}
	return p, nil
}

func (p *policy) do(a choice.Action) { p.acts = append(p.acts, a) }

func (p *policy) after(d choice.Micros, f func()) {
	p.tokens++
	p.alarms[p.tokens] = f
	p.do(choice.Wake{Delay: max(d, 1), Token: p.tokens})
}

// Step takes the events of one moment.
func (p *policy) Step(now choice.Micros, events []choice.Event) []choice.Action {
	p.now, p.acts = now, nil
	if !p.asked {
		p.asked = true
		p.do(choice.Watch{On: true})
	}
	var fresh []*query
	for _, ev := range events {
		switch ev := ev.(type) {
		case choice.List:
			p.list(ev)
		case choice.Query:
			if q := p.take(ev); q != nil {
				fresh = append(fresh, q)
			}
		case choice.Part:
			if q := p.numbers[ev.Number]; q != nil {
				x := &part{id: ev.ID, q: q, shard: ev.Shard, weight: ev.Weight, tried: make(map[string]bool)}
				q.parts = append(q.parts, x)
				p.parts[x.id] = x
			}
		case choice.Outcome:
			p.outcome(ev)
		case choice.ClientLeft:
			if q := p.queries[ev.ID]; q != nil {
				p.end(q)
			}
		case choice.Elapsed:
			if f := p.alarms[ev.Token]; f != nil {
				delete(p.alarms, ev.Token)
				f()
			}
		}
	}
	for _, q := range fresh {
		p.pursue(q)
	}
	return p.acts
}

func (p *policy) list(l choice.List) {
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

func (p *policy) take(ev choice.Query) *query {
	c := p.classes[ev.Class]
	if c == nil {
		p.do(choice.Refuse{ID: ev.ID})
		return nil
	}
	q := &query{id: ev.ID, n: ev.Number, class: c, endAt: p.now + ev.Grace - p.set.Resolution}
	p.queries[q.id], p.numbers[ev.Number] = q, q
	p.after(q.endAt-p.now, func() { p.expire(q) })
	// An answer in part is given when the aim would pass otherwise.
	if aim := p.now + min(c.LatencyTarget, ev.Grace) - 2*p.set.Resolution; aim < q.endAt {
		p.after(aim-p.now, func() { p.inPart(q) })
	}
	return q
}

func (p *policy) inPart(q *query) {
	if c := q.class; !q.ended && c.MinShare < c.RequiredShare && q.got >= c.MinShare && q.got > 0 {
		p.do(choice.Answer{ID: q.id})
		p.end(q)
	}
}

func (p *policy) expire(q *query) {
	if q.ended {
		return
	}
	if p.inPart(q); q.ended {
		return
	}
	p.giveUp(q)
}

func (p *policy) giveUp(q *query) {
	ran := slices.ContainsFunc(q.parts, func(x *part) bool { return x.ran })
	if q.class.Effect != choice.Safe && ran {
		p.do(choice.Fail{ID: q.id})
	} else {
		p.do(choice.Refuse{ID: q.id, RetryAfter: min(q.class.LatencyTarget/4, p.set.MaxRetryAfter)})
	}
	p.end(q)
}

func (p *policy) end(q *query) {
	if q.ended {
		return
	}
	q.ended = true
	for _, x := range q.parts {
		if x.out != "" && p.set.Cancel {
			p.do(choice.Cancel{ID: x.id, Attempt: x.attempts - 1})
		}
		if x.out == "" {
			delete(p.parts, x.id)
		}
	}
	delete(p.queries, q.id)
	delete(p.numbers, q.n)
}

// pursue sends what is neither out nor served, where a server for it can be had.
func (p *policy) pursue(q *query) {
	if q.ended {
		return
	}
	if p.sees && !q.begun && p.tooLate(q) {
		p.giveUp(q)
		return
	}
	q.begun = true
	stuck := false
	for _, x := range q.parts {
		if x.served || x.out != "" || x.attempts >= p.set.AttemptCap || x.ran && q.class.Effect != choice.Safe {
			continue
		}
		s := p.best(x)
		if s == "" {
			stuck = true
			continue
		}
		x.out, x.attempts = s, x.attempts+1
		p.loads[s]++
		p.do(choice.Send{ID: x.id, Server: s, Timeout: q.endAt - p.now})
	}
	if stuck { // a server may come back
		p.after(20_000, func() { p.pursue(q) })
	}
}

// tooLate tells whether so much of a query would come after its aim that it is better
// refused at once: what is queued for nothing delays the rest.
func (p *policy) tooLate(q *query) bool {
	inTime := 0.0
	for _, x := range q.parts {
		if s, wait := p.first(x); s != "" && wait < 0.7*float64(q.class.LatencyTarget)/1e6 {
			inTime += x.weight
		}
	}
	return inTime < min(q.class.RequiredShare, max(q.class.MinShare, 1e-6))-1e-6
}

// best is the server where a part would be done first: by the true state, or any.
func (p *policy) best(x *part) string {
	s, _ := p.first(x)
	return s
}

// first is best, and how long it would take there, in seconds.
func (p *policy) first(x *part) (string, float64) {
	var names []string
	for j := range p.set.Width {
		for _, name := range p.cells[(x.shard+j)%p.set.Cells] {
			if p.states[name] == choice.Ready {
				names = append(names, name)
			}
		}
	}
	if !p.sees {
		if len(names) == 0 {
			return "", 0
		}
		return names[p.rng.IntN(len(names))], 0
	}
	best, least := "", 0.0
	for _, i := range p.rng.Perm(len(names)) {
		name := names[i]
		n := p.w.Index[name]
		s := p.w.Servers[n]
		up, _ := s.Running()
		c := s.Capacity()
		if !up || c <= 0 || s.Unavailable(x.q.class.Name) || !p.w.Reachable(p.n, n) || s.Pending() >= s.QueueLimit+s.Cores {
			continue
		}
		// A cold server is let have half of what it bears: other mixers send too.
		if share := s.CapacityShare(); share < 1 && s.SlowStartHeadroom() < 0.5*s.SlowStart.OverloadMultiple*c*s.SlowStart.OverloadWindow.Seconds() {
			continue
		}
		// What this mixer has on its way there is not seen there yet.
		wait := (s.Backlog()+float64(p.loads[name])*0.002)/c + p.w.Work[x.q.class.Name].Dist.Mean().Seconds()*float64(s.Cores)/c
		if best == "" || wait < least {
			best, least = name, wait
		}
	}
	return best, least
}

func (p *policy) outcome(ev choice.Outcome) {
	x := p.parts[ev.ID]
	if x == nil || ev.Attempt != x.attempts-1 || x.out == "" {
		return
	}
	q := x.q
	p.loads[x.out]--
	x.out = ""
	switch ev.Verdict {
	case choice.Served:
		if !x.served {
			x.served = true
			q.got += x.weight
		}
	case choice.Rejected, choice.NoConnection, choice.NotSent:
	default:
		x.ran = true
	}
	if q.ended {
		delete(p.parts, x.id)
		return
	}
	if q.got >= q.class.RequiredShare-1e-6 {
		p.do(choice.Answer{ID: q.id, Whole: true})
		p.end(q)
		return
	}
	possible := 0.0
	for _, y := range q.parts {
		if y.served || y.out != "" || y.attempts < p.set.AttemptCap && !(y.ran && q.class.Effect != choice.Safe) {
			possible += y.weight
		}
	}
	least := q.class.RequiredShare
	if q.class.MinShare < least {
		least = q.class.MinShare
	}
	if possible < least-1e-6 {
		p.giveUp(q)
		return
	}
	p.pursue(q)
}
