package choice

// What a Router holds and how it keeps time; no decision is made here.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

type server struct {
	Server
	window   float64
	out      int     // attempts planned or out
	live     int     // attempts out
	heardAt  Micros  // the last answer of any sort, or the last new connection
	episode  Micros  // the last shrink: attempts sent before it don't shrink again
	blame    int     // for all classes
	cause    *class  // the one class whose parts raised blame, if no other did
	blames   []int   // for one class, by its number: others are served
	pace     float64 // its latencies over the class's middle, smoothed
	trialAt  Micros
	openAt   Micros // with a window below one: when it has room again
	passed   int    // draws that passed it over since
	servedAt Micros
	served   []Micros // the same, by class
	coldFrom Micros   // start of its cold time; 0: warm
	groups   []*group
	bins     float64 // parts served since Router.binAt
	saved    float64 // while cold: the parts it may be sent
	savedAt  Micros
	leaveAt  Micros // while draining: until then it may be drawn, as a last resort
	plan     int    // the last plan that has a call for it
}

// group is all servers with an equal label.
type group struct {
	label   string
	bad     float64 // share of recent parts that failed or came late
	trialAt Micros
}

type class struct {
	Class
	n         int     // its number
	mid, high float64 // quantiles of latency, in microseconds
	hint      float64 // mean hint
	seen      float64 // latencies seen
	patience  Micros  // the least time that first tries had lately
	watchTo   Micros  // a query of it crashed servers: until then, one part goes ahead
}

type query struct {
	id       string
	class    *class
	tenant   string
	number   int64
	at       Micros // the start of its step
	aimAt    Micros
	endAt    Micros
	partAt   Micros
	parts    []*part
	size     int    // parts told of
	slab     []part // where its parts lie
	need     float64
	least    float64 // what it may come down to where there is no room
	got      float64
	step     int
	pace     float64 // product of its served parts' latencies over the class's middle
	paced    float64 // their number
	whole    bool    // the first step's answer was whole
	ended    bool
	inTime   bool // its last answer was
	admitted bool
	canary   bool // one part goes ahead
	beyond   bool // it is over its tenant's share
	lost     int  // attempts that ended with a lost connection
	retryAt  Micros
}

type part struct {
	id       string
	q        *query
	shard    int
	weight   float64
	stretch  float64 // its hint over the class's mean
	served   bool
	attempts []*attempt
	first    attempt     // where the first attempt lies; most parts have one
	one      [1]*attempt // what attempts holds then
}

type attempt struct {
	p         *part
	s         *server
	index     int
	sentAt    Micros
	overdue   bool
	short     bool // it times out while there is time for another attempt
	early     bool // it is overdue early, for want of time: its server is not late
	ended     bool
	ran       bool // it may have executed
	cancelled bool
	marked    []*group // that bear its bad mark
	line      *group   // of the connection it went out on, unless that was in use
}

// bucket is what a tenant has left of its share.
type bucket struct {
	rate, left float64
	at         Micros
}

// timer is what is done at a time.
type timer struct {
	at  Micros
	seq int
	do  doer
}

// doer does one thing. Each is a pointer to what it is done with under another name,
// for a closure for every part would cost more than what most of them do.
type doer interface{ do(*Router) }

type (
	expiry   query
	partial  query
	pursuit  query
	lateness attempt
	call     func()
)

func (q *expiry) do(r *Router)   { r.expire((*query)(q)) }
func (q *partial) do(r *Router)  { r.partNow((*query)(q)) }
func (q *pursuit) do(r *Router)  { r.pursue((*query)(q)) }
func (a *lateness) do(r *Router) { r.overdue((*attempt)(a)) }
func (f call) do(*Router)        { f() }

// timers is a binary heap by time, and at one time by the order of asking. It is
// container/heap without a value boxed for each push and pop.
type timers []timer

func (t timer) before(o timer) bool { return t.at < o.at || t.at == o.at && t.seq < o.seq }

func (t *timers) push(x timer) {
	*t = append(*t, x)
	h := *t
	i := len(h) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if h[parent].at <= x.at { // at one time the later asked is x
			break
		}
		h[i] = h[parent]
		i = parent
	}
	h[i] = x
}

func (t *timers) pop() timer {
	h := *t
	first, last := h[0], len(h)-1
	x := h[last]
	h[last] = timer{}
	h = h[:last]
	*t = h
	if last == 0 {
		return first
	}
	i := 0
	for c := 1; c < last; c = 2*i + 1 {
		if c+1 < last && h[c+1].before(h[c]) {
			c++
		}
		if !h[c].before(x) {
			break
		}
		h[i] = h[c]
		i = c
	}
	h[i] = x
	return first
}

// Router decides for one router. It is not safe for concurrent use.
type Router struct {
	set     Settings
	rng     *rand.Rand
	now     Micros
	acts    []Action
	classes map[string]*class
	servers map[string]*server
	cells   [][]*server
	zones   []*group
	kinds   []*group
	idle    group // sends on connections that had idled
	renewed group // sends on new ones in place of such
	queries map[string]*query
	numbers map[int64]*query
	parts   map[string]*part
	fresh   []*query
	flat    []*part // what line and take returned last
	turned  []*part
	along   []*part
	plans   int // the plan at hand: server.plan tells whether it is part of it

	shares  map[string]*bucket
	timers  timers
	seq     int
	wakeAt  Micros
	lateBy  Micros // this step comes so much later than it was asked for
	started bool
	askAt   Micros
	askGap  Micros

	ledger   ledger   // of all parts, or
	ledgers  []ledger // of each shard's
	free     []int    // numbers of classes that are gone
	numbered int      // numbers given out
	size     float64  // parts of a query, smoothed
	missed   float64  // share of recent queries admitted that missed their aim
	ready    int
	binAt    Micros
	bearing  float64 // parts a second that one server of size 1 was seen to bear
}

// ledger is what a budget of further attempts rests on.
type ledger struct {
	taken  []Micros // queries and parts taken
	extras []Micros // further attempts made
}

// empty is a router that holds nothing yet.
func empty(seed uint64, set Settings) *Router {
	set.OverdueMultiple, set.OverdueMaxShare = cmp.Or(set.OverdueMultiple, overdueBy), cmp.Or(set.OverdueMaxShare, overdueMax)
	return &Router{
		set:     set,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		classes: make(map[string]*class),
		servers: make(map[string]*server),
		cells:   make([][]*server, set.Cells),
		queries: make(map[string]*query),
		numbers: make(map[int64]*query),
		parts:   make(map[string]*part),
		shares:  make(map[string]*bucket),
	}
}

// retune takes classes over: what was learned of a name that stays is kept, and the
// number of one that is gone serves another. Queries of a class that is gone go on.
func (r *Router) retune(list []Class) {
	gone := r.classes
	r.classes = make(map[string]*class, len(list))
	for _, c := range list {
		if old := gone[c.Name]; old != nil {
			old.Class = c
			r.classes[c.Name] = old
			delete(gone, c.Name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(gone)) {
		r.free = append(r.free, gone[name].n)
	}
	for _, c := range list {
		if r.classes[c.Name] == nil {
			r.classes[c.Name] = r.newClass(c)
		}
	}
	r.set.Classes = list
}

// number gives a class its number, one that is free before a new one.
func (r *Router) number() int {
	n := r.numbered
	if last := len(r.free) - 1; last >= 0 {
		n, r.free = r.free[last], r.free[:last]
	} else {
		r.numbered++
	}
	for _, s := range r.servers {
		for len(s.blames) <= n {
			s.blames, s.served = append(s.blames, 0), append(s.served, 0)
		}
		s.blames[n], s.served[n] = 0, 0
	}
	return n
}

// book is the ledger that a part of a shard stands in.
func (r *Router) book(shard int) *ledger {
	if !r.set.RetryBudgetPerShard {
		return &r.ledger
	}
	n := shard % r.set.Cells
	for len(r.ledgers) <= n {
		r.ledgers = append(r.ledgers, ledger{})
	}
	return &r.ledgers[n]
}

func check(set Settings) error {
	switch {
	case len(set.Classes) == 0 && !set.ClassesLater:
		return fmt.Errorf("setting Classes: none told")
	case set.Cells < 1:
		return fmt.Errorf("setting Cells: %d is less than 1", set.Cells)
	case set.Width < 1 || set.Width > set.Cells:
		return fmt.Errorf("setting Width: %d is not within 1 to Cells (%d)", set.Width, set.Cells)
	case set.AttemptCap < 1:
		return fmt.Errorf("setting AttemptCap: %d is less than 1", set.AttemptCap)
	case set.OverdueMultiple < 0 || set.OverdueMaxShare < 0 || set.OverdueMaxShare > 1:
		return fmt.Errorf("OverdueBy, OverdueMax: %v, %v out of range", set.OverdueMultiple, set.OverdueMaxShare)
	case set.RetryBudget && set.RetryBudgetWindow < 1:
		return fmt.Errorf("setting ExtraWindow: %d is less than 1", set.RetryBudgetWindow)
	case set.AskDiscovery && set.AskWithin < 1:
		return fmt.Errorf("setting AskWithin: %d is less than 1", set.AskWithin)
	}
	for _, c := range set.Classes {
		switch {
		case c.LatencyTarget < 1 || c.Deadline < c.LatencyTarget:
			return fmt.Errorf("setting Classes: %s: Aim %d is not within 1 to Deadline (%d)",
				c.Name, c.LatencyTarget, c.Deadline)
		case c.RequiredShare <= 0 || c.RequiredShare > 1:
			return fmt.Errorf("setting Classes: %s: Need %v is not within 0 to 1", c.Name, c.RequiredShare)
		case c.MinShare < 0 || c.MinShare > c.RequiredShare:
			return fmt.Errorf("setting Classes: %s: Floor %v is not within 0 to Need (%v)",
				c.Name, c.MinShare, c.RequiredShare)
		}
	}
	return nil
}

func (r *Router) handle(ev Event) {
	switch ev := ev.(type) {
	case List:
		r.list(ev)
	case Query:
		r.query(ev)
	case Part:
		r.part(ev)
	case Outcome:
		r.outcome(ev)
	case Classes:
		r.retune(ev.List)
	case Tier:
		r.set.Routers, r.set.RetryBudgetMin = ev.Routers, ev.RetryBudgetMin
	case ClientLeft:
		if q := r.queries[ev.ID]; q != nil {
			r.end(q)
		}
	}
}

func (r *Router) do(a Action) { r.acts = append(r.acts, a) }

// end forgets a query and cancels what is out.
func (r *Router) end(q *query) {
	q.ended = true
	if q.admitted {
		miss := 1.0
		if q.inTime {
			miss = 0
		}
		r.missed += (miss - r.missed) * missStep
	}
	r.release(q)
	delete(r.queries, q.id)
	delete(r.numbers, q.number)
}

func (r *Router) release(q *query) {
	for _, p := range q.parts {
		for _, a := range p.attempts {
			r.cancel(a)
		}
		p.served = true
		r.forget(p)
	}
}

func (r *Router) forget(p *part) {
	if out, _ := p.pending(); out == 0 {
		delete(r.parts, p.id)
	}
}

// track moves a quantile estimate by one sample.
func track(q, x, p, step float64) float64 {
	if x > q {
		return q * (1 + step*p)
	}
	return q * (1 - step*(1-p))
}

// tried tells whether an attempt of p at s is out or may have run.
func (p *part) tried(s *server) bool {
	for _, a := range p.attempts {
		if a.s == s && (!a.ended || a.ran) {
			return true
		}
	}
	return false
}

// ran tells whether any part of q may have executed.
func (q *query) ran() bool {
	for _, p := range q.parts {
		for _, a := range p.attempts {
			if a.ran {
				return true
			}
		}
	}
	return false
}

// add takes a new server in, in the order of names, so that the draw doesn't hang on the list's.
func (r *Router) add(row Server) *server {
	n := r.numbered
	s := &server{Server: row, pace: 1, blames: make([]int, n), served: make([]Micros, n)}
	s.groups = []*group{labelled(&r.zones, row.Zone), labelled(&r.kinds, row.Kind)}
	s.State = Gone
	r.become(s, row.State)
	r.servers[row.ID] = s
	cell := r.cells[row.Cell]
	at, _ := slices.BinarySearchFunc(cell, s, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	r.cells[row.Cell] = slices.Insert(cell, at, s)
	return s
}

// absent marks as gone what a complete list left out.
func (r *Router) absent(named map[string]bool) {
	for _, cell := range r.cells {
		for _, s := range cell {
			if !named[s.ID] {
				r.become(s, Gone)
			}
		}
	}
}

// become sets a server's state, counts the ready ones, and lets a server go that stays gone.
func (r *Router) become(s *server, state State) {
	if s.State == Ready {
		r.ready--
	}
	if state == Ready {
		r.ready++
	}
	if state == Gone && s.State != Gone {
		r.after(r.set.SlowStart, func() { r.drop(s) })
	}
	if s.State = state; state != Draining {
		s.leaveAt = 0
	}
}

// drop lets go of a server that is still gone and has nothing out.
func (r *Router) drop(s *server) {
	if s.State != Gone || r.servers[s.ID] != s {
		return
	}
	if s.out > 0 {
		r.after(r.set.SlowStart, func() { r.drop(s) })
		return
	}
	delete(r.servers, s.ID)
	cell := r.cells[s.Cell]
	r.cells[s.Cell] = slices.DeleteFunc(cell, func(o *server) bool { return o == s })
}

// unplan takes back what was planned but not sent, but for so many parts.
func (q *query) unplan(keep int) {
	for _, p := range q.parts {
		if keep -= len(p.attempts); keep >= 0 {
			continue
		}
		for _, a := range p.attempts {
			a.s.out--
			a.s.saved++
		}
		p.attempts = nil
	}
}

// newPart adds a part. All parts that a query was told to have lie side by side.
func (q *query) newPart(p part) *part {
	if q.slab == nil {
		n := min(max(q.size, 1), mostSlab)
		q.slab, q.parts = make([]part, 0, n), make([]*part, 0, n)
	}
	if len(q.slab) == cap(q.slab) { // more came than told
		alone := p
		return &alone
	}
	q.slab = append(q.slab, p)
	return &q.slab[len(q.slab)-1]
}

// mostSlab bounds what a told number of parts has laid out ahead.
const mostSlab = 4096

// newAttempt adds an attempt of a part.
func (p *part) newAttempt(a attempt) {
	if len(p.attempts) > 0 {
		further := a
		p.attempts = append(p.attempts, &further)
		return
	}
	p.first = a
	p.one[0] = &p.first
	p.attempts = p.one[:]
}

// cut makes empty lists for a draw, each with room for the replicas that most
// shards have.
func cut(l *[7][6]*server) (a, b, c, d, e, f, g []*server) {
	return l[0][:0], l[1][:0], l[2][:0], l[3][:0], l[4][:0], l[5][:0], l[6][:0]
}

// line lays parts out in the order in which they are planned. Where a call carries one
// part that order is random; else it is the ring's, so that parts which one server holds
// lie side by side: it begins behind the widest stretch of cells that none begins at.
// What it returns holds until it is called again.
func (r *Router) line(parts []*part, shuffle bool) []*part {
	r.flat = append(r.flat[:0], parts...)
	line := r.flat
	if r.set.MaxPartsPerCall <= 1 && shuffle {
		r.rng.Shuffle(len(line), func(i, j int) { line[i], line[j] = line[j], line[i] })
	}
	if r.set.MaxPartsPerCall <= 1 || len(line) == 0 {
		return line
	}
	cells := r.set.Cells
	slices.SortStableFunc(line, func(a, b *part) int { return cmp.Compare(a.shard%cells, b.shard%cells) })
	from, widest := 0, -1
	for i, p := range line {
		before := line[(i+len(line)-1)%len(line)]
		if gap := (p.shard%cells - before.shard%cells + cells) % cells; gap > widest {
			from, widest = i, gap
		}
	}
	r.turned = append(append(r.turned[:0], line[from:]...), line[:from]...)
	return r.turned
}

// holds tells whether a server holds a part's shard.
func (r *Router) holds(s *server, p *part) bool {
	return (s.Cell-p.shard%r.set.Cells+r.set.Cells)%r.set.Cells < r.set.Width
}

// take cuts from a line, whose first part goes to s anyway, what may go there in the
// same call: up to room parts, and no more weight than wanted. It returns the call and
// moves what is left of the line, in its order, to the front.
func (r *Router) take(s *server, line []*part, room int, want float64) (call, rest []*part) {
	call, rest = r.along[:0], line[:0]
	weight := 0.0
	for i, p := range line {
		if i > 0 && (len(call) >= room || weight >= want-weightSlack || !r.holds(s, p) || p.tried(s)) {
			rest = append(rest, p)
			continue
		}
		call = append(call, p)
		weight += p.weight
	}
	r.along = call
	return call, rest
}

// callsFor is the number of calls that the parts of a line would need were every server
// of their shards to take them, but for those that s would carry.
func (r *Router) callsFor(line []*part, s *server, room int) int {
	calls, from, n, taken := 0, -1, 0, 0
	for i, p := range line {
		if taken < room && (i == 0 || r.holds(s, p) && !p.tried(s)) {
			taken++
			continue
		}
		at := p.shard % r.set.Cells
		if from < 0 || n >= r.set.MaxPartsPerCall || (at-from+r.set.Cells)%r.set.Cells >= r.set.Width {
			calls, from, n = calls+1, at, 0
		}
		n++
	}
	return calls
}

// floorNow is the least weight that still makes an answer.
func (q *query) floorNow() float64 {
	if q.class.MinShare < q.class.RequiredShare {
		return q.class.MinShare
	}
	return q.need
}

// cancel ends the wait on an attempt, once, where that is permitted.
func (r *Router) cancel(a *attempt) {
	if !a.ended && !a.cancelled && r.set.Cancel {
		a.cancelled = true
		r.do(Cancel{ID: a.p.id, Attempt: a.index})
	}
}

// after runs fire once d has passed.
func (r *Router) after(d Micros, fire func()) { r.alarm(d, call(fire)) }

// alarm has something done once d has passed.
func (r *Router) alarm(d Micros, do doer) {
	r.seq++
	r.timers.push(timer{r.now + max(d, 1), r.seq, do})
}

// fireTimers runs what is due, in the order of its time.
func (r *Router) fireTimers() {
	for len(r.timers) > 0 && r.timers[0].at <= r.now {
		r.timers.pop().do.do(r)
	}
}

// wake asks for an Elapsed at the next timer, unless one is already coming.
func (r *Router) wake() {
	if r.wakeAt <= r.now {
		r.wakeAt = math.MaxInt64
	}
	if len(r.timers) > 0 && r.timers[0].at < r.wakeAt {
		r.wakeAt = r.timers[0].at
		r.do(Wake{Delay: r.wakeAt - r.now})
	}
}

// pending counts the attempts of a part that are out, and those of them that are overdue.
func (p *part) pending() (out, overdue int) {
	for _, a := range p.attempts {
		if !a.ended {
			out++
			if a.overdue {
				overdue++
			}
		}
	}
	return out, overdue
}

// out tells whether attempts of a part are out, and all of them such.
func (p *part) out(such func(*attempt) bool) (all bool) {
	for _, a := range p.attempts {
		if !a.ended && !such(a) {
			return false
		}
		all = all || !a.ended
	}
	return all
}

// labelled finds the group of a label, or adds it.
func labelled(groups *[]*group, label string) *group {
	for _, g := range *groups {
		if g.label == label {
			return g
		}
	}
	g := &group{label: label}
	*groups = append(*groups, g)
	return g
}

// since drops the times before from.
func since(times []Micros, from Micros) []Micros {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}

// took notes a query or a part taken. What no budget asks for any more goes before
// the list grows.
func (r *Router) took(b *ledger) {
	if len(b.taken) == cap(b.taken) {
		span := Micros(copyWindow)
		if r.set.RetryBudget {
			span = r.set.RetryBudgetWindow
		}
		live := since(b.taken, r.now-span+1)
		if len(live) <= len(b.taken)/2 {
			b.taken = b.taken[:copy(b.taken, live)]
		}
	}
	b.taken = append(b.taken, r.now)
}

// mostAttempts is how many attempts a part of a class may have.
func (r *Router) mostAttempts(c *class) int {
	if c.Attempts > 0 {
		return min(c.Attempts, r.set.AttemptCap)
	}
	return r.set.AttemptCap
}

// part adds a part to its query; those of a second step are sent by pursue.
func (r *Router) part(ev Part) {
	r.took(r.book(ev.Shard))
	q := r.numbers[ev.Number]
	if q == nil || q.ended {
		return
	}
	p := q.newPart(part{id: ev.ID, q: q, shard: ev.Shard, weight: ev.Weight, stretch: 1})
	if c := q.class; ev.Hinted && ev.Predicted > 0 {
		h := float64(ev.Predicted)
		c.hint = cmp.Or(c.hint, h)
		p.stretch = min(max(h/c.hint, 1/hintSpread), hintSpread)
		c.hint += (h - c.hint) * quantileStep
	}
	q.parts = append(q.parts, p)
	r.parts[p.id] = p
	if q.step == 2 && len(q.parts) == 1 {
		r.alarm(0, (*pursuit)(q))
	}
}
