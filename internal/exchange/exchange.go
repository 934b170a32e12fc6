// Package exchange connects the downstream side, which serves clients, with the
// upstream side, which talks to leaf servers. It owns the choice.Router and the state
// behind it: open queries, their parts, the attempts in flight and the timers. A
// single goroutine accesses that state; the two sides post events to it and are called
// back with what to do. The package never reads or writes a socket, never blocks on
// either side, never gives a query two final answers and never gives an attempt two
// outcomes.
//
// Terms: a Query consists of parts, one per shard that it needs. The router
// (choice.Router) decides to which leaf server each part is sent; each send is an
// attempt. An installation may have a map that divides the keys into segments and
// assigns each segment to a cell, a group of servers that store it (core/placement).
// There a query names segments in place of shards; see segments.go.
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

// Query is a query as the downstream side received it. Class names one of the router's
// classes. Key and Tenant are passed to the router and to hooks.
type Query struct {
	ID            string // unique among the queries in progress
	UpstreamID    string // the id that answers of servers must carry; empty: they must carry none; only used by upstream/httpclient
	Class         string
	Key           string
	Tenant        string
	Text          string        // sent with each part, unchanged
	ClientRetry   bool          // the client says that it has sent this query before
	ReceivedAt    time.Time     // when its first byte arrived
	Timeout       time.Duration // how long the client waits, from ReceivedAt
	Parts         []Part
	FanOut        bool    // the answer to the client is merged from the answers of several servers
	NonIdempotent bool    // the query must not be executed more than once
	MinShare      float64 // least share of the answer that is accepted if there is no capacity for Class.RequiredShare; 0: no less than RequiredShare
	// Done gets the final answer. It is called once, on the exchange's goroutine, and must
	// not block.
	Done func(Final)
}

// Part is one part of a Query.
type Part struct {
	Shard  int             // the shard, or the id of the segment if there is a map of segments
	Weight float64         // share of the complete answer; the weights of a query add up to 1
	Key    string          // key of this part, passed to the router
	Hinted bool            // Cost is known
	Cost   choice.Micros   // predicted time that a server takes for the part
	Range  placement.Range // the keys wanted, if there is a map of segments; zero: all keys of the segment
}

// Ending says how a query ended.
type Ending int

// The endings of a query. The client may rely only on Refused to mean that sending the
// query again is safe: either no attempt was executed, or the effect of the class is
// Safe. For the proxy itself, Final.MayHaveRun says whether an attempt may have been
// executed.
const (
	Answered Ending = iota
	Refused
	Failed
	Expired    // failed because the client's timeout was over
	ClientGone // the client has disconnected, so nobody gets the answer
)

// Final is the one final answer of a query.
type Final struct {
	Ending       Ending
	Complete     bool
	Hits         []Hit
	RetryAfter   time.Duration // 0: no advice
	Reason       string        // why the query was refused or failed, where that is known
	FailureValue string        // if Ending is not Answered: the value that came with a server's error
	MayHaveRun   bool          // an attempt may have been executed
	Notes        []hookabi.Pair
}

// Hit is the value of one part, as a leaf server returned it.
type Hit struct {
	Shard int
	Value string
	// AlsoIn and Covers are set only if there is a map of segments. If one server answered
	// for several parts of the query, its value is in the hit of the first of them, and
	// AlsoIn of the others names the Shard of that hit.
	AlsoIn []int
	// Covers lists the key ranges for which the hit has values, if others are missing;
	// nil if none is missing.
	Covers []placement.Range
}

// Upstream is the side that talks to leaf servers. Its methods must not block. Each
// attempt passed to Send must be reported to AttemptEnded exactly once, and within a few
// seconds of Cancel at the latest. If the answer to a cancelled attempt arrives anyway,
// the attempt may be reported with the verdict of that answer.
type Upstream interface {
	// Send sends the attempts of one moment, in order. Attempts for the same server may
	// share one network request.
	Send([]*Attempt)
	// Cancel stops an attempt. The verdict is the one to report for it, unless an answer
	// arrives or the attempt was never sent.
	Cancel(*Attempt, choice.Verdict)
	// Probe sends a probe to a server. ProbeEnded reports its outcome.
	Probe(server string)
	// Release closes the idle connections to a server.
	Release(server string)
	// Watch starts (on) or ends the subscription to the server list. UpdateServers passes
	// on the changes.
	Watch(on bool)
	// Fetch requests the complete server list once.
	Fetch()
}

// maxRetainedCap bounds the capacity of the queues kept for reuse, so that a single
// burst does not pin memory.
const maxRetainedCap = 4096

// maxDelay bounds the durations in the router's actions, and the time that Run sleeps
// if no timer is set.
const maxDelay = 71 * time.Minute

type partState struct {
	Part
	id           string // by which the router knows the part
	wireID       string // by which the leaf servers know the part
	query        *queryState
	attempts     []*Attempt
	inFlight     int
	served       bool
	dropped      bool // by a hook
	value        string
	failureValue string // of an attempt that ended with a server error

	// The fields below are used only if there is a map of segments. The router knows a
	// query by the id of the query and by the ids of its subqueries (see segments.go).
	target         *placement.Target // the segment, its cell and the keys wanted
	replaces       *partState        // the part that this one was rerouted from
	subquery       string            // id of the query or subquery that the router has for this part
	subqueries     []string          // ids of the subqueries with the parts that replace this one; the newest is last
	replaced       bool
	moved          bool  // a server did not have the segment: the part is not sent under this id again
	moveRejections int   // rejections for a moved segment, including those of the replaced parts
	priorAttempts  int   // attempts of the replaced parts
	wantedEpoch    int64 // while the part is parked: the epoch of the map that it waits for
	rerouteTimer   *timer
}

type queryState struct {
	*Query
	parts         []*partState
	abandoned     bool   // the client has disconnected
	class         string // hooks may have rewritten it
	deadline      time.Time
	deadlineTimer *timer
	ended         bool
	hookState     *hookState // nil: no hook watches the query
	routing       *routing   // nil: the query is not routed by a map
	degraded      *degraded  // the level of service applied, full service included; nil: there are no levels, or the query has not been admitted yet
}

type timer struct {
	at    time.Time
	fire  func()
	index int // in the heap; negative once removed
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

// EventLoop provides an exchange with a clock and with a way to schedule its next
// Turn. In production that is the system clock and the goroutine of Run. In a
// simulation the caller's event loop provides both, with a virtual clock.
type EventLoop interface {
	// Now returns a monotonic time. A virtual clock does not advance during a Turn.
	Now() time.Time
	// Wake requests a Turn soon. It is called from any goroutine, also during a Turn.
	// It must not block and must not call Turn itself.
	Wake()
}

// Decider makes the decisions; in production it is a choice.Router. Step takes the
// events of one moment and returns the actions to execute, in order.
type Decider interface {
	Step(now choice.Micros, events []choice.Event) []choice.Action
}

// systemLoop is the event loop of production: the system clock and Run's goroutine.
type systemLoop struct{ wake chan struct{} }

func (systemLoop) Now() time.Time { return time.Now() }

func (s systemLoop) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// AttemptResult describes to an observer how an attempt ended.
type AttemptResult struct {
	Server, Class string
	Latency       time.Duration
	Verdict       choice.Verdict
}

// Exchange passes events to the router and the router's actions to the two sides.
type Exchange struct {
	Counters Counters
	// OnAttemptEnd, if not nil, is called for each attempt that was handed over and has
	// ended. It is called on the exchange's goroutine and must not block. It must be set
	// before Run.
	OnAttemptEnd func(AttemptResult)

	settings settings.Settings
	upstream Upstream
	hooks    Hooks // nil: there are none
	// Tags that hooks set are forwarded to leaf servers.
	forwardTags    bool
	segmentRouting *segmentRouting // nil: the settings define the shards
	levels         *levels         // nil: there is only full service
	start          time.Time       // loop.Now() when the exchange was created
	origin         choice.Micros   // the router's clock at start: Unix time in microseconds

	mu          sync.Mutex
	inbox       []func()
	inboxSince  time.Time // when the first entry of inbox was added; only set with levels
	spareInbox  []func()  // the inbox before, kept for reuse
	loop        EventLoop
	wake        chan struct{} // of systemLoop; nil with another event loop
	openQueries atomic.Int64

	// Owned by the goroutine that calls Turn.
	router         Decider
	events         []choice.Event
	spareEvents    []choice.Event // the events before, kept for reuse
	pendingSends   []*Attempt     // not yet handed to the upstream side
	deadlineChecks []func()       // run after the router has processed the current events
	queries        map[string]*queryState
	parts          map[string]*partState
	lastNumber     int64 // choice.Query.Number of the newest query or subquery
	timers         timers
	hookSeed       uint64 // state of the generator of the hooks' random seeds; SetLevels seeds its generator from it too
}

// New returns an exchange that runs on the system clock; Run starts it.
func New(seed uint64, set settings.Settings) (*Exchange, error) {
	router, err := choice.New(seed, set.Router)
	if err != nil {
		return nil, err
	}
	wake := make(chan struct{}, 1)
	x, err := NewOn(systemLoop{wake}, router, seed, set)
	if err == nil {
		x.wake = wake
	}
	return x, err
}

// NewOn returns an exchange that runs on the caller's event loop and uses the given
// router. Attach sets its upstream side; from then on the caller calls Turn. The clock
// passed to the router starts at the Unix time, so that the start times in the server
// list need no conversion, and is monotonic from there.
func NewOn(loop EventLoop, router Decider, seed uint64, set settings.Settings) (*Exchange, error) {
	for _, c := range set.Router.Classes {
		if c.FetchParts > 0 {
			return nil, fmt.Errorf("setting Classes: %s: Fetch %d: the protocol does not support a second step of a query", c.Name, c.FetchParts)
		}
	}
	start := loop.Now()
	return &Exchange{
		settings: set,
		start:    start,
		origin:   start.UnixMicro(),
		loop:     loop,
		router:   router,
		hookSeed: seed,
		queries:  make(map[string]*queryState),
		parts:    make(map[string]*partState),
	}, nil
}

// Micros converts a time to the router's clock.
func (x *Exchange) Micros(t time.Time) choice.Micros {
	return x.origin + t.Sub(x.start).Microseconds()
}

// Open returns the number of queries without a final answer.
func (x *Exchange) Open() int { return int(x.openQueries.Load()) }

// ---- Events from the two sides; safe to call from any goroutine.

// post queues f to run on the exchange's goroutine.
func (x *Exchange) post(f func()) {
	x.mu.Lock()
	if x.levels != nil && len(x.inbox) == 0 {
		x.inboxSince = x.loop.Now()
	}
	x.inbox = append(x.inbox, f)
	x.mu.Unlock()
	x.loop.Wake()
}

// Submit starts a query. Its Done is called exactly once, unless the exchange is stopped
// before the query has ended.
func (x *Exchange) Submit(q *Query) {
	x.openQueries.Add(1)
	x.Counters.Received.Add(1)
	x.post(func() { x.accept(q) })
}

// ClientLeft reports that the client of a query has disconnected. It has no effect on
// a query that has ended.
func (x *Exchange) ClientLeft(q *Query) {
	x.post(func() {
		if qs := x.queries[q.ID]; qs != nil && qs.Query == q {
			qs.abandoned = true
			x.withdraw(qs)
			x.finish(qs, Final{Ending: ClientGone})
		}
	})
}

// AttemptEnded reports the outcome of an attempt. Only the first call for an attempt counts.
func (x *Exchange) AttemptEnded(a *Attempt, v choice.Verdict, load []choice.Reading, value string) {
	x.post(func() { x.recordOutcome(a, v, load, value) })
}

// ProbeEnded reports the outcome of a probe.
func (x *Exchange) ProbeEnded(server string, delay time.Duration, v choice.Verdict, load []choice.Reading) {
	x.post(func() {
		x.events = append(x.events, choice.ProbeResult{Server: server, Delay: delay.Microseconds(), Verdict: v, Load: load})
	})
}

// UpdateServers passes on the server list or a change of it.
func (x *Exchange) UpdateServers(l choice.List) {
	x.post(func() {
		x.events = append(x.events, l)
		if x.levels != nil {
			x.levels.updateServers(l)
		}
	})
}

// UpdateClasses replaces all classes, for the queries submitted from then on.
func (x *Exchange) UpdateClasses(classes []choice.Class) {
	x.post(func() {
		x.settings.Router.Classes = classes
		x.events = append(x.events, choice.Classes{List: classes})
	})
}

// UpdateTier passes on a change of the tier, the group of routers that share the load.
func (x *Exchange) UpdateTier(t choice.Tier) {
	x.post(func() { x.events = append(x.events, t) })
}

// ---- The exchange's own goroutine.

// Run attaches the upstream side and processes events until stop is closed. Queries that
// are open then get no answer: their Done is not called.
func (x *Exchange) Run(upstream Upstream, stop <-chan struct{}) {
	x.Attach(upstream)
	wakeup := time.NewTimer(0)
	defer wakeup.Stop()
	for {
		select {
		case <-stop:
			return
		case <-x.wake:
		case <-wakeup.C:
		}
		next := maxDelay
		if at, pending := x.Turn(); pending {
			next = max(time.Until(at), 0)
		}
		wakeup.Reset(next)
	}
}

// Attach sets the upstream side of an exchange and, if there are levels, starts to sample
// their signals. SetLevels must therefore be called before it.
func (x *Exchange) Attach(upstream Upstream) {
	x.upstream = upstream
	if x.levels != nil {
		x.levels.sampleTimer = x.startTimer(x.loop.Now().Add(sampleInterval), x.sampleLevels)
		x.loop.Wake()
	}
}

// Turn processes the posted events and the due timers, runs the router and executes
// its actions. It returns the time at which the next timer is due and whether any timer
// is pending. Calls must not overlap.
func (x *Exchange) Turn() (next time.Time, pending bool) {
	x.mu.Lock()
	inbox := x.inbox
	x.inbox = x.spareInbox[:0]
	if x.levels != nil && len(inbox) > 0 {
		x.levels.queueDelay = max(x.levels.queueDelay, x.loop.Now().Sub(x.inboxSince))
	}
	x.mu.Unlock()
	for i, f := range inbox {
		f()
		inbox[i] = nil
	}
	if x.spareInbox = inbox; cap(inbox) > maxRetainedCap {
		x.spareInbox = nil
	}
	now := x.loop.Now()
	for len(x.timers) > 0 && !x.timers[0].at.After(now) {
		heap.Pop(&x.timers).(*timer).fire()
	}
	if len(x.events) > 0 {
		events := x.events
		x.events = x.spareEvents[:0]
		for _, a := range x.router.Step(x.Micros(now), events) {
			if _, isSend := a.(choice.Send); !isSend {
				x.flushSends()
			}
			x.execute(now, a)
		}
		x.flushSends()
		if clear(events); cap(events) <= maxRetainedCap {
			x.spareEvents = events
		} else {
			x.spareEvents = nil
		}
	}
	checks := x.deadlineChecks
	x.deadlineChecks = nil
	for _, f := range checks {
		f()
	}
	if len(x.timers) == 0 {
		return time.Time{}, false
	}
	return x.timers[0].at, true
}

func (x *Exchange) startTimer(at time.Time, fire func()) *timer {
	t := &timer{at: at, fire: fire}
	heap.Push(&x.timers, t)
	return t
}

// stopTimer removes a timer from the heap. A timer left there until it is due would
// keep the text of a query alive that ended long before.
func (x *Exchange) stopTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&x.timers, t.index)
	}
}

// accept registers a new query and passes it to the hooks or to the router.
func (x *Exchange) accept(q *Query) {
	duplicate := x.queries[q.ID] != nil
	for _, p := range q.Parts {
		duplicate = duplicate || x.parts[partID(q, p)] != nil
	}
	if duplicate {
		// A query whose id is already in use, or whose parts still have attempts in
		// flight, would share the ids of those parts. It is not registered, so that nothing
		// is sent twice. Whether the query of that id has run is unknown. The counters
		// include it, in Received, Duplicate and Finals.
		x.Counters.Duplicate.Add(1)
		x.deliver(q, Final{Ending: Failed, MayHaveRun: true})
		return
	}
	if x.settings.MaxInFlight > 0 && len(x.queries)+len(x.parts) >= x.settings.MaxInFlight {
		x.Counters.OverCapacity.Add(1)
		x.deliver(q, Final{Ending: Refused, RetryAfter: x.retryAfter(q.Class)})
		return
	}
	qs := &queryState{Query: q, class: q.Class, deadline: q.ReceivedAt.Add(q.Timeout)}
	if err := x.createParts(qs); err != nil {
		x.Counters.Unrouted.Add(1)
		x.deliver(q, Final{Ending: Refused, RetryAfter: x.retryAfter(q.Class), Reason: err.Error()})
		return
	}
	for _, p := range qs.parts {
		if x.parts[p.id] != nil { // the map gives this part the id of one that is still in flight
			x.Counters.Duplicate.Add(1)
			x.deliver(q, Final{Ending: Failed, MayHaveRun: true})
			return
		}
	}
	x.queries[q.ID] = qs
	for _, p := range qs.parts {
		x.parts[p.id] = p
	}
	x.startDeadlineTimer(qs)
	if x.hooks != nil {
		if h := x.hooks.Begin(q.Class); h != nil {
			qs.hookState = &hookState{QueryHooks: h}
			x.callFirstHooks(qs)
			return
		}
	}
	x.admit(qs)
}

// startDeadlineTimer ensures that a query ends at its deadline even if the router does
// not end it.
func (x *Exchange) startDeadlineTimer(qs *queryState) {
	qs.deadlineTimer = x.startTimer(qs.deadline, func() { x.deadlineChecks = append(x.deadlineChecks, func() { x.enforceDeadline(qs) }) })
}

// admit passes a query to the router.
func (x *Exchange) admit(qs *queryState) {
	if x.levels != nil && !x.applyLevel(qs) {
		return
	}
	q := qs.Query
	x.lastNumber++
	ev := choice.Query{ID: q.ID, Class: qs.class, Number: x.lastNumber, Key: q.Key, Tenant: q.Tenant,
		Grace:  max(x.timeLeft(qs).Microseconds(), 0),
		Repeat: q.ClientRetry, Parts: len(qs.parts), Hinted: true}
	// If hooks dropped so many parts that the remaining ones can't make a complete
	// answer, the weights are scaled so that the router needs all of the remaining parts.
	// Whether the answer is marked complete is checked again when the query ends.
	scale := 1.0
	droppedWeight := 0.0
	if qs.hookState != nil {
		droppedWeight = qs.hookState.droppedWeight
	}
	if droppedWeight > 0 {
		if need := x.class(qs.class).RequiredShare; 1-droppedWeight < need {
			scale = need / (1 - droppedWeight)
		}
	}
	if ev.Least = q.MinShare; qs.degraded != nil {
		ev.Least = qs.degraded.minShare
	}
	at := len(x.events)
	x.events = append(x.events, ev) // replaced below, once the parts are known: the query comes before its parts
	for _, p := range qs.parts {
		if p.dropped {
			ev.Parts--
			continue
		}
		ev.Hinted = ev.Hinted && p.Hinted
		ev.Predicted += p.Cost
		x.events = append(x.events, choice.Part{ID: p.id, Class: qs.class, Number: ev.Number, Key: p.Key,
			Shard: p.routerShard(), Weight: p.Weight * scale, Hinted: p.Hinted, Predicted: p.Cost})
	}
	if !ev.Hinted {
		ev.Predicted = 0
	}
	// The query and all its parts go into the same Step: without its parts the query
	// would look empty.
	x.events[at] = ev
}

func partID(q *Query, p Part) string { return q.ID + "." + strconv.Itoa(p.Shard) }

// enforceDeadline ends a query whose deadline has passed and that the router has not
// ended.
func (x *Exchange) enforceDeadline(qs *queryState) {
	if qs.ended {
		return
	}
	if class := x.class(qs.class); qs.routing != nil && qs.hookState == nil && class.MinShare < class.RequiredShare && hookrule.MeetsMinShare(class, qs.servedShare()) {
		// The served parts are enough for a partial answer, and the parked ones were not
		// served in time. This applies only to routed queries that no hook watches.
		x.answer(qs, false)
		return
	}
	log.Error("overdue", "id", qs.ID, "class", qs.Class)
	x.Counters.DeadlineEnforced.Add(1)
	x.finish(qs, Final{Ending: Expired})
	x.withdraw(qs)
	x.post(func() {}) // requests another Turn: the router has not processed the events added here
}

// retryAfter returns how long a client should wait before it retries a query that was
// refused for lack of capacity: a quarter of the class's latency target, at most
// MaxRetryAfter; 0 for an unknown class.
func (x *Exchange) retryAfter(class string) time.Duration {
	for _, c := range x.settings.Router.Classes {
		if c.Name == class {
			return time.Duration(min(c.LatencyTarget/4, x.settings.Router.MaxRetryAfter)) * time.Microsecond
		}
	}
	return 0
}

// execute executes an action of the router.
func (x *Exchange) execute(now time.Time, action choice.Action) {
	switch a := action.(type) {
	case choice.Send:
		x.send(now, a)
	case choice.Cancel:
		if p := x.parts[a.ID]; p != nil && a.Attempt < len(p.attempts) {
			x.cancel(p.attempts[a.Attempt], choice.Cancelled)
		}
	case choice.Answer:
		if qs := x.queries[a.ID]; qs != nil && qs.routing != nil {
			x.routerQueryEnded(qs, a.ID, 0)
		} else if qs != nil && qs.hookState != nil {
			x.answerDecided(qs, a.Whole)
		} else if qs != nil {
			f := Final{Ending: Answered, Complete: a.Whole, Hits: qs.hits()}
			if qs.degraded != nil && qs.degraded.minShare > 0 {
				f = x.degradedFinal(qs, f)
			}
			x.finish(qs, f)
		}
	case choice.Refuse:
		if qs := x.queries[a.ID]; qs != nil && qs.routing != nil {
			x.routerQueryEnded(qs, a.ID, time.Duration(a.RetryAfter)*time.Microsecond)
		} else if qs != nil {
			x.finish(qs, Final{Ending: Refused, RetryAfter: time.Duration(a.RetryAfter) * time.Microsecond})
		}
	case choice.Fail:
		if qs := x.queries[a.ID]; qs != nil && qs.routing != nil {
			x.routerQueryEnded(qs, a.ID, 0)
		} else if qs != nil {
			x.finish(qs, Final{Ending: Failed})
		}
	case choice.Wake:
		token := a.Token
		x.startTimer(now.Add(boundedDelay(a.Delay)), func() { x.events = append(x.events, choice.Elapsed{Token: token}) })
	case choice.Probe:
		x.Counters.Probes.Add(1)
		x.upstream.Probe(a.Server)
	case choice.Release:
		x.upstream.Release(a.Server)
	case choice.Watch:
		x.upstream.Watch(a.On)
	case choice.Fetch:
		x.upstream.Fetch()
	case choice.Log:
		log.Info("decision", "text", a.Text)
	case choice.SendToPeer:
		log.Warn("untold", "err", "a message of the router to another router was dropped: there is no channel between proxies")
	}
}

func boundedDelay(d choice.Micros) time.Duration {
	return min(time.Duration(max(d, 0))*time.Microsecond, maxDelay)
}

// finish gives a query its final answer. Attempts that are still in flight run on: the
// router cancels them where that is allowed.
func (x *Exchange) finish(qs *queryState, f Final) {
	if qs.ended {
		return
	}
	qs.ended = true
	x.stopTimer(qs.deadlineTimer)
	delete(x.queries, qs.ID)
	for _, p := range qs.parts {
		x.removeIfDone(p)
	}
	if qs.routing != nil {
		x.closeSubqueries(qs)
	}
	if qs.hookState != nil {
		f.Notes = qs.hookState.notes
	}
	if f.Ending != Answered {
		f.MayHaveRun = mayHaveRun(qs)
		for _, p := range qs.parts {
			f.FailureValue = cmp.Or(f.FailureValue, p.failureValue)
		}
	}
	if x.levels != nil {
		x.levels.recordEnding(x, qs, f)
	}
	x.deliver(qs.Query, f)
	if qs.hookState != nil {
		x.endHooks(qs, f)
	}
}

// timeLeft returns the time until the deadline of a query, by the clock of the event loop.
func (x *Exchange) timeLeft(qs *queryState) time.Duration { return qs.deadline.Sub(x.loop.Now()) }

// removeIfDone removes a part once its query has ended and no attempt of it is in flight.
func (x *Exchange) removeIfDone(p *partState) {
	if p.query.ended && p.inFlight == 0 {
		delete(x.parts, p.id)
	}
}

// deliver counts the final answer of a query and passes it to the client.
func (x *Exchange) deliver(q *Query, f Final) {
	x.Counters.Finals[f.Ending].Add(1)
	if f.Ending == Answered && !f.Complete {
		x.Counters.Partial.Add(1)
	}
	q.Done(f)
	x.openQueries.Add(-1)
}
