// Package exchange is where the server side and the client side meet. It owns
// the choice.Router and all that is held for it: queries, their parts, the
// attempts that are out, the timers. One goroutine alone touches these; the two
// sides hand it what happened and are called back with what to do. It must never
// read or write a socket, block on a side, give a query two final answers or an
// attempt two outcomes.
package exchange

import (
	"cmp"
	"container/heap"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"saddleport/choice"
	"saddleport/internal/core/hookrule"
	"saddleport/internal/core/placement"
	"saddleport/internal/logs"
	"saddleport/internal/settings"
	"saddleport/sdk/hookabi"
)

var log = logs.For("exchange")

// Query is a query as the server side took it.
type Query struct {
	ID       string
	Class    string
	Key      string
	Tenant   string
	Text     string // what each part carries, unchanged
	Repeat   bool
	TakenAt  time.Time     // when its first byte was seen
	Patience time.Duration // how long the client waits, from TakenAt
	Parts    []Part
	Gather   bool    // its answer is made of its parts'
	Once     bool    // it may not be repeated
	Least    float64 // share that will do where there is no room for the class's; 0: none less
	// Done gets the one final answer, on the exchange's goroutine: it must not block.
	Done func(Final)
}

// Part is one part of a Query.
type Part struct {
	Shard  int
	Weight float64
	Key    string
	Hinted bool
	Cost   choice.Micros
	Range  placement.Range // where segments are routed by a map: the keys wanted; zero: all
}

// Ending says how a query ended.
type Ending int

// The endings of a query. Only Refused promises that asking again does no harm.
const (
	Answered Ending = iota
	Refused
	Failed
	Expired // failed, for the client's time was up
	Gone    // nobody is there to be answered
)

// Final is the one final answer of a query.
type Final struct {
	Ending     Ending
	Whole      bool
	Hits       []Hit
	RetryAfter time.Duration // 0: no advice
	Reason     string        // a hook's word on a refusal or a failure
	Failure    string        // where there is no answer: the value of the last that a server failed with
	Ran        bool          // an attempt may have run
	Notes      []hookabi.Pair
}

// Hit is the value of one part, as a leaf server gave it.
type Hit struct {
	Shard int
	Value string
	// Where segments are routed by a map: the shards whose hits hold more of this
	// one, and the keys that are in where not all are.
	In     []int
	Covers []placement.Range
}

// Attempt is one attempt of a part. All but the unexported fields are fixed
// before the client side gets it.
type Attempt struct {
	PartID string
	Server string
	Index  int
	Shard  int
	Text   string
	Until  time.Time // when the mixer stops waiting
	Extra  string    // what the frame's list carries beside the time

	sentAt time.Time
	part   *part
	alarm  *timer
	ended  bool
	giving bool // given up: the client side will end it

	withheld bool // the decisions have not been told that it never ran
	asking   bool // hooks are being asked; the client side does not have it
	handed   bool // the client side has had it
	neverRan bool // it has ended, and never ran
}

// QueryID is the id of the query that an attempt is for.
func (a *Attempt) QueryID() string { return a.part.q.ID }

// Gather tells whether the query that an attempt is for has several parts.
func (a *Attempt) Gather() bool { return a.part.q.Gather }

// Abandoned tells whether the client of the attempt's query has left. It is for the
// goroutine that hands attempts to the client side.
func (a *Attempt) Abandoned() bool { return a.part.q.abandoned }

// Once tells whether the query that an attempt is for may not be repeated.
func (a *Attempt) Once() bool { return a.part.q.Once }

// Leaves is the client side. Its methods must not block; each attempt that is
// sent must come back by Ended, once and some seconds after GiveUp at the latest: one
// that is called off may come back as what its late answer says.
type Leaves interface {
	Send([]*Attempt) // of one moment, in order: parts for one server may share a call
	GiveUp(*Attempt, choice.Verdict)
	Probe(server string)
	Release(server string)
	Watch(on bool)
	Fetch()
}

// mostSpare bounds the list kept for what comes in: one burst must not stay.
const mostSpare = 4096

// maxWait bounds every span that a peer or the module names.
const maxWait = 71 * time.Minute

type part struct {
	Part
	id       string // the decisions' name for it
	wire     string // the leaf servers'
	q        *held
	attempts []*Attempt
	out      int
	served   bool
	dropped  bool // a hook does not want it
	value    string
	failure  string // of an attempt that its server failed

	// Where segments are routed by a map.
	target   *placement.Target
	from     *part    // it replaced that one
	leg      string   // in which it goes out
	legs     []string // in which what replaced it went out
	replaced bool
	away     bool // a server did not hold it: not sent under this name any more
	turns    int  // times that it, or what it replaced, was turned away
	prior    int  // attempts of what it replaced
	wanted   int64
	alarm    *timer
}

type held struct {
	*Query
	parts     []*part
	abandoned bool   // its client has left
	class     string // as hooks may have rewritten it
	deadline  time.Time
	alarm     *timer
	ended     bool
	watched   *watched // nil: no hook watches it
	placed    *placed  // nil: it is not routed by a map
	eased     *eased   // nil: there are no levels
}

type timer struct {
	at    time.Time
	fire  func()
	index int // in the heap; below 0: not in it any more
}

type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}
func (t *timers) Push(x any) {
	x.(*timer).index = len(*t)
	*t = append(*t, x.(*timer))
}
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	x.index = -1
	return x
}

// Drive is what an exchange runs on: whose clock it reads, and who is told that
// something has come in. A process that serves has the system's clock and Run's
// goroutine; in virtual time both are its caller's event loop.
type Drive interface {
	// Now is monotonic, and does not go on within a Turn of a virtual drive.
	Now() time.Time
	// Wake asks for a Turn soon. It is called from any goroutine, also from within a
	// Turn, must not block, and must not call Turn itself.
	Wake()
}

// Decider is what decides: a choice.Router where the mixer serves. Step takes the
// events of one moment and returns what to do, in order.
type Decider interface {
	Step(now choice.Micros, events []choice.Event) []choice.Action
}

// system is the drive of a process that serves.
type system struct{ wake chan struct{} }

func (system) Now() time.Time { return time.Now() }

func (s system) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Heard is how an attempt ended, for who only looks on.
type Heard struct {
	Server, Class string
	Took          time.Duration
	Verdict       choice.Verdict
}

// Exchange hands events to the decisions and actions to the two sides.
type Exchange struct {
	Counters Counters
	// Heard is told of each attempt that was handed over, on the exchange's goroutine, and
	// must not block; nil: nobody is. It is set before Run.
	Heard func(Heard)

	set    settings.Settings
	leaves Leaves
	hooks  Hooks // nil: there are none
	// Tags that hooks give go to leaf servers too.
	forwardTags bool
	segments    *segments // nil: shards are what the settings say
	levels      *levels   // nil: there is full service alone
	start       time.Time
	origin      choice.Micros

	mu    sync.Mutex
	in    []func()
	inAt  time.Time // when the first of them came, with levels
	spare []func()  // what in was before, to be used again
	drive Drive
	wake  chan struct{} // of the system's drive; nil: another's
	open  atomic.Int64

	// Owned by the goroutine that runs it.
	router  Decider
	events  []choice.Event
	decided []choice.Event // what events was before, to be used again
	sends   []*Attempt     // not handed over yet
	guards  []func()       // to run once the events at hand have been decided on
	queries map[string]*held
	parts   map[string]*part
	numbers int64
	timers  timers
	seeds   uint64 // of the hooks' random numbers
}

// New returns an exchange on the system's clock; Run starts it.
func New(seed uint64, set settings.Settings) (*Exchange, error) {
	router, err := choice.New(seed, set.Router)
	if err != nil {
		return nil, err
	}
	wake := make(chan struct{}, 1)
	x, err := NewOn(system{wake}, router, seed, set)
	if err == nil {
		x.wake = wake
	}
	return x, err
}

// NewOn returns an exchange on a caller's drive, with what decides; Attach gives it
// its client side, and from then on Turn runs it. The clock handed to the decisions
// starts at the Unix time, so that the list's start times need no origin of their
// own, and from there on it is monotonic.
func NewOn(drive Drive, router Decider, seed uint64, set settings.Settings) (*Exchange, error) {
	for _, c := range set.Router.Classes {
		if c.FetchParts > 0 {
			return nil, fmt.Errorf("setting Classes: %s: Fetch %d: the protocol has no second step", c.Name, c.FetchParts)
		}
	}
	start := drive.Now()
	return &Exchange{
		set:     set,
		start:   start,
		origin:  start.UnixMicro(),
		drive:   drive,
		router:  router,
		seeds:   seed,
		queries: make(map[string]*held),
		parts:   make(map[string]*part),
	}, nil
}

// Clock converts a time to the decisions' clock.
func (x *Exchange) Clock(t time.Time) choice.Micros {
	return x.origin + t.Sub(x.start).Microseconds()
}

// Open counts the queries without a final answer.
func (x *Exchange) Open() int { return int(x.open.Load()) }

// ---- What the sides hand in, from any goroutine.

func (x *Exchange) post(f func()) {
	x.mu.Lock()
	if x.levels != nil && len(x.in) == 0 {
		x.inAt = x.drive.Now()
	}
	x.in = append(x.in, f)
	x.mu.Unlock()
	x.drive.Wake()
}

// Take hands in a query. Its Done is called exactly once.
func (x *Exchange) Take(q *Query) {
	x.open.Add(1)
	x.Counters.Taken.Add(1)
	x.post(func() { x.take(q) })
}

// Left says that the client of a query has gone; a query that has ended is let be.
func (x *Exchange) Left(q *Query) {
	x.post(func() {
		if h := x.queries[q.ID]; h != nil && h.Query == q {
			h.abandoned = true
			x.withdraw(h)
			x.end(h, Final{Ending: Gone})
		}
	})
}

// Ended ends an attempt. Only the first call for an attempt counts.
func (x *Exchange) Ended(a *Attempt, v choice.Verdict, load []choice.Reading, value string) {
	x.post(func() { x.outcome(a, v, load, value) })
}

// Probed ends a probe.
func (x *Exchange) Probed(server string, delay time.Duration, v choice.Verdict, load []choice.Reading) {
	x.post(func() {
		x.events = append(x.events, choice.ProbeResult{Server: server, Delay: delay.Microseconds(), Verdict: v, Load: load})
	})
}

// Listed hands in news of the server list.
func (x *Exchange) Listed(l choice.List) {
	x.post(func() {
		x.events = append(x.events, l)
		if x.levels != nil {
			x.levels.heard(l)
		}
	})
}

// Retune brings all classes anew, for queries that come after it.
func (x *Exchange) Retune(classes []choice.Class) {
	x.post(func() {
		x.set.Router.Classes = classes
		x.events = append(x.events, choice.Classes{List: classes})
	})
}

// Tiered hands in news of the tier.
func (x *Exchange) Tiered(t choice.Tier) {
	x.post(func() { x.events = append(x.events, t) })
}

// ---- The owner's goroutine.

// Run serves until stop is closed. What is open then is left without an answer.
func (x *Exchange) Run(leaves Leaves, stop <-chan struct{}) {
	x.Attach(leaves)
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		select {
		case <-stop:
			return
		case <-x.wake:
		case <-alarm.C:
		}
		next := maxWait
		if at, due := x.Turn(); due {
			next = max(time.Until(at), 0)
		}
		alarm.Reset(next)
	}
}

// Attach gives an exchange its client side.
func (x *Exchange) Attach(leaves Leaves) {
	x.leaves = leaves
	if x.levels != nil {
		x.levels.tick = x.after(x.drive.Now().Add(readEvery), x.read)
		x.drive.Wake()
	}
}

// Turn gathers what has come in and what is due, lets the router decide, and hands
// out what it decided. It tells when something is due next, if anything is. One
// goroutine at a time may call it.
func (x *Exchange) Turn() (next time.Time, due bool) {
	x.mu.Lock()
	in := x.in
	x.in = x.spare[:0]
	if x.levels != nil && len(in) > 0 {
		x.levels.queue = max(x.levels.queue, x.drive.Now().Sub(x.inAt))
	}
	x.mu.Unlock()
	for i, f := range in {
		f()
		in[i] = nil
	}
	if x.spare = in; cap(in) > mostSpare {
		x.spare = nil
	}
	now := x.drive.Now()
	for len(x.timers) > 0 && !x.timers[0].at.After(now) {
		heap.Pop(&x.timers).(*timer).fire()
	}
	if len(x.events) > 0 {
		events := x.events
		x.events = x.decided[:0]
		for _, a := range x.router.Step(x.Clock(now), events) {
			if _, more := a.(choice.Send); !more {
				x.flush()
			}
			x.act(now, a)
		}
		x.flush()
		if clear(events); cap(events) <= mostSpare {
			x.decided = events
		} else {
			x.decided = nil
		}
	}
	guards := x.guards
	x.guards = nil
	for _, f := range guards {
		f()
	}
	if len(x.timers) == 0 {
		return time.Time{}, false
	}
	return x.timers[0].at, true
}

func (x *Exchange) after(at time.Time, fire func()) *timer {
	t := &timer{at: at, fire: fire}
	heap.Push(&x.timers, t)
	return t
}

// drop takes a timer that is not needed any more out of the heap: kept until it
// is due, it would hold on to the text of a query that ended long before.
func (x *Exchange) drop(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&x.timers, t.index)
	}
}

func (x *Exchange) take(q *Query) {
	repeated := x.queries[q.ID] != nil
	for _, p := range q.Parts {
		repeated = repeated || x.parts[partID(q, p)] != nil
	}
	if repeated {
		// A second query of an id that is held, or whose parts are still out, would
		// share its parts' ids: it is no new query, and nothing may go out twice. Of the
		// id it can't be said that it has not run.
		x.Counters.Repeated.Add(1)
		x.final(q, Final{Ending: Failed, Ran: true})
		return
	}
	if x.set.MostHeld > 0 && len(x.queries)+len(x.parts) >= x.set.MostHeld {
		x.Counters.Full.Add(1)
		x.final(q, Final{Ending: Refused, RetryAfter: x.advice(q.Class)})
		return
	}
	h := &held{Query: q, class: q.Class, deadline: q.TakenAt.Add(q.Patience)}
	if err := x.lay(h); err != nil {
		x.Counters.Unrouted.Add(1)
		x.final(q, Final{Ending: Refused, RetryAfter: x.advice(q.Class), Reason: err.Error()})
		return
	}
	for _, p := range h.parts {
		if x.parts[p.id] != nil { // by the map's names it is one that is still out
			x.Counters.Repeated.Add(1)
			x.final(q, Final{Ending: Failed, Ran: true})
			return
		}
	}
	x.queries[q.ID] = h
	for _, p := range h.parts {
		x.parts[p.id] = p
	}
	x.guard(h)
	if x.hooks != nil {
		if k := x.hooks.Begin(q.Class); k != nil {
			h.watched = &watched{Hooked: k}
			x.begin(h)
			return
		}
	}
	x.admit(h)
}

// guard sets the last alarm of a query.
func (x *Exchange) guard(h *held) {
	h.alarm = x.after(h.deadline, func() { x.guards = append(x.guards, func() { x.overdue(h) }) })
}

// admit hands a query to the decisions.
func (x *Exchange) admit(h *held) {
	if x.levels != nil && !x.ease(h) {
		return
	}
	q := h.Query
	x.numbers++
	ev := choice.Query{ID: q.ID, Class: h.class, Number: x.numbers, Key: q.Key, Tenant: q.Tenant,
		Grace:  max(h.deadline.Sub(x.drive.Now()).Microseconds(), 0),
		Repeat: q.Repeat, Parts: len(h.parts), Hinted: true}
	// Where hooks dropped so much that the rest can't be whole, the decisions are to
	// want all of the rest; how the answer is marked is looked at again at its end.
	scale := 1.0
	gone := 0.0
	if h.watched != nil {
		gone = h.watched.gone
	}
	if gone > 0 {
		if need := x.class(h.class).RequiredShare; 1-gone < need {
			scale = need / (1 - gone)
		}
	}
	if ev.Least = q.Least; h.eased != nil {
		ev.Least = h.eased.need
	}
	at := len(x.events)
	x.events = append(x.events, ev) // with the query in front, once its parts are known
	for _, p := range h.parts {
		if p.dropped {
			ev.Parts--
			continue
		}
		ev.Hinted = ev.Hinted && p.Hinted
		ev.Predicted += p.Cost
		x.events = append(x.events, choice.Part{ID: p.id, Class: h.class, Number: ev.Number, Key: p.Key,
			Shard: p.place(), Weight: p.Weight * scale, Hinted: p.Hinted, Predicted: p.Cost})
	}
	if !ev.Hinted {
		ev.Predicted = 0
	}
	// The query and all its parts go into one Step: alone it looks empty.
	x.events[at] = ev
}

func partID(q *Query, p Part) string { return q.ID + "." + strconv.Itoa(p.Shard) }

// overdue is the last guard: a client whose time is up gets an answer though
// the router has not given one.
func (x *Exchange) overdue(h *held) {
	if h.ended {
		return
	}
	if class := x.class(h.class); h.placed != nil && h.watched == nil && class.MinShare < class.RequiredShare && hookrule.MeetsMinShare(class, h.share()) {
		x.answer(h, false) // what was parked did not come in time
		return
	}
	log.Error("overdue", "id", h.ID, "class", h.Class)
	x.Counters.Overdue.Add(1)
	x.end(h, Final{Ending: Expired})
	x.withdraw(h)
	x.post(func() {})
}

// advice tells a client that finds the mixer full when to come back.
func (x *Exchange) advice(class string) time.Duration {
	for _, c := range x.set.Router.Classes {
		if c.Name == class {
			return time.Duration(min(c.LatencyTarget/4, x.set.Router.MaxRetryAfter)) * time.Microsecond
		}
	}
	return 0
}

func (x *Exchange) act(now time.Time, action choice.Action) {
	switch a := action.(type) {
	case choice.Send:
		x.send(now, a)
	case choice.Cancel:
		if p := x.parts[a.ID]; p != nil && a.Attempt < len(p.attempts) {
			x.giveUp(p.attempts[a.Attempt], choice.Cancelled)
		}
	case choice.Answer:
		if h := x.queries[a.ID]; h != nil && h.placed != nil {
			x.legOver(h, a.ID, 0)
		} else if h != nil && h.watched != nil {
			x.decide(h, a.Whole)
		} else if h != nil {
			f := Final{Ending: Answered, Whole: a.Whole, Hits: h.hits()}
			if h.eased != nil && h.eased.need > 0 {
				f = x.easedFinal(h, f)
			}
			x.end(h, f)
		}
	case choice.Refuse:
		if h := x.queries[a.ID]; h != nil && h.placed != nil {
			x.legOver(h, a.ID, time.Duration(a.RetryAfter)*time.Microsecond)
		} else if h != nil {
			x.end(h, Final{Ending: Refused, RetryAfter: time.Duration(a.RetryAfter) * time.Microsecond})
		}
	case choice.Fail:
		if h := x.queries[a.ID]; h != nil && h.placed != nil {
			x.legOver(h, a.ID, 0)
		} else if h != nil {
			x.end(h, Final{Ending: Failed})
		}
	case choice.Wake:
		token := a.Token
		x.after(now.Add(span(a.Delay)), func() { x.events = append(x.events, choice.Elapsed{Token: token}) })
	case choice.Probe:
		x.Counters.Probes.Add(1)
		x.leaves.Probe(a.Server)
	case choice.Release:
		x.leaves.Release(a.Server)
	case choice.Watch:
		x.leaves.Watch(a.On)
	case choice.Fetch:
		x.leaves.Fetch()
	case choice.Log:
		log.Info("decision", "text", a.Text)
	case choice.SendToPeer:
		log.Warn("untold", "err", "this platform has no way between mixers")
	}
}

func span(d choice.Micros) time.Duration {
	return min(time.Duration(max(d, 0))*time.Microsecond, maxWait)
}

func (x *Exchange) send(now time.Time, s choice.Send) {
	p := x.parts[s.ID]
	if p == nil {
		return
	}
	a := &Attempt{PartID: p.wire, Server: s.Server, Index: len(p.attempts), Shard: p.Shard, Text: p.q.Text,
		sentAt: now, part: p}
	p.attempts = append(p.attempts, a)
	p.out++
	left := p.q.deadline.Sub(now)
	if s.Timeout != 0 {
		left = min(span(s.Timeout), left)
	}
	a.Until = now.Add(left)
	hooked := p.q.watched != nil && p.q.watched.Wants(hookabi.Send, p.q.class)
	// Never out: the query has ended, its time has run out, an attempt is still
	// out, or the part has had all its attempts.
	if p.q.ended || p.dropped || p.away || left <= 0 || p.prior+len(p.attempts) > x.set.Router.AttemptCap ||
		p.out > 1 && !x.set.Router.ParallelAttempts {
		x.Counters.Unsent.Add(1)
		x.Ended(a, choice.NotSent, nil, "")
		return
	}
	a.alarm = x.after(a.Until, func() { x.giveUp(a, choice.NoAnswer) })
	if hooked {
		x.askSend(a)
		return
	}
	if p.q.watched != nil || p.target != nil {
		a.Extra = x.names(p) + x.extra(p.q)
	}
	a.handed = true
	x.Counters.Sent.Add(1)
	x.sends = append(x.sends, a)
}

// flush hands over the sends that came in a row.
func (x *Exchange) flush() {
	if len(x.sends) > 0 {
		x.leaves.Send(x.sends)
		x.sends = nil
	}
}

// giveUp stops waiting for an attempt. Its outcome comes once the client side
// has told the leaf server, so that no further attempt goes out before that.
func (x *Exchange) giveUp(a *Attempt, v choice.Verdict) {
	if a.withheld {
		x.release(a)
		return
	}
	if !a.ended && !a.giving {
		a.giving = true
		if a.asking { // nobody has it yet, and nobody will
			x.Ended(a, choice.NotSent, nil, "")
			return
		}
		x.leaves.GiveUp(a, v)
	}
}

func (x *Exchange) outcome(a *Attempt, v choice.Verdict, load []choice.Reading, value string) {
	if a.ended {
		return
	}
	a.ended = true
	x.drop(a.alarm)
	a.neverRan = v == choice.Rejected || v == choice.NoConnection || v == choice.NotSent
	p := a.part
	p.out--
	x.Counters.Outcomes[v].Add(1)
	if v == choice.Served && !p.q.ended {
		p.served, p.value = true, value
	} else if v == choice.ServerError {
		p.failure = value
	}
	if x.Heard != nil && a.handed {
		x.Heard(Heard{Server: a.Server, Class: p.q.class, Took: x.drive.Now().Sub(a.sentAt), Verdict: v})
	}
	if epoch, away := moved(p, v, load); away && !p.q.ended {
		x.turned(a, epoch)
		if a.withheld {
			x.forget(p)
			return
		}
		v = choice.NotSent // no sign of a server that is busy
	}
	x.events = append(x.events, choice.Outcome{ID: p.id, Server: a.Server, Delay: x.drive.Now().Sub(a.sentAt).Microseconds(),
		Closed: p.served || p.q.ended, Attempt: a.Index, Verdict: v, Load: load})
	if p.q.watched != nil && v == choice.Served && !p.q.ended {
		x.askAnswered(p)
	}
	if p.q.placed != nil && v == choice.Served && !p.q.ended {
		x.settle(p.q)
	}
	x.forget(p)
}

// end gives a query its final answer. Its attempts that are still out end as
// they would have: the router cancels them where that is permitted.
func (x *Exchange) end(h *held, f Final) {
	if h.ended {
		return
	}
	h.ended = true
	x.drop(h.alarm)
	delete(x.queries, h.ID)
	for _, p := range h.parts {
		x.forget(p)
	}
	if h.placed != nil {
		x.closeLegs(h)
	}
	if h.watched != nil {
		f.Notes = h.watched.notes
	}
	if f.Ending != Answered {
		f.Ran = mayHaveRun(h)
		for _, p := range h.parts {
			f.Failure = cmp.Or(f.Failure, p.failure)
		}
	}
	if x.levels != nil {
		x.levels.weigh(x, h, f)
	}
	x.final(h.Query, f)
	if h.watched != nil {
		x.endHooks(h, f)
	}
}

func (x *Exchange) forget(p *part) {
	if p.q.ended && p.out == 0 {
		delete(x.parts, p.id)
	}
}

func (x *Exchange) final(q *Query, f Final) {
	x.Counters.Finals[f.Ending].Add(1)
	if f.Ending == Answered && !f.Whole {
		x.Counters.Partial.Add(1)
	}
	q.Done(f)
	x.open.Add(-1)
}
