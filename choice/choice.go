// Package choice decides for a client that reads many shards for one query. Its interface, the settings,
// events and actions, is in api.go; what it holds is in state.go; every decision and value is in this file.
//
// The mechanism: the parts of a query go to more shards than it needs where it needs only some, each to a
// replica drawn at random among those with room; the query is answered once enough are in. A window per
// server bounds the parts unanswered there: it grows by one over itself per part served while it is in use,
// and is cut when parts fail, stay away or come late. A query that finds no room, also for the least that
// will do, is refused before any part is sent. Nothing is queued.
//
// The exceptions, each with its trigger, what it guards against and when it hurts (docs/design.md has more):
//
//   - second copies (pursue, budget): a part is overdue in a class far below its aim; against slow or silent
//     replicas; hurts in overload.
//   - suspects (blame, learn): failed, silent or slower than a query's other parts, by server and by class;
//     against replicas that stay in the draw though they fail; hurts one-part classes.
//   - groups (mark, cutOff): an equal label fails three times as often as the best; against cut zones, links
//     bad for us alone, failing kinds; hurts a well server there.
//   - new connections (connect): parts sent on idle ones stay unanswered; against idle connections dropped
//     unseen; costs handshakes.
//   - one part ahead (poison, admit): a query lost every connection; against crashing queries; slows a class.
//   - trials (draw): a suspect's pause is over; against never trusting again; hurts the part that tries.
//   - last resort (draw): no sound replica; against unreachable shards; costs time at a dead server.
//   - leaving (draw): no sound replica but one that drains since a moment ago; hurts what it can't finish.
//   - windows below one (shrink, outcome): failures in a large tier; against all routers holding one part
//     each at a full server; delays learning that a server is well.
//   - crowding (admit): middle latency over a fifth of the aim; against jams of retries; refuses by chance.
//   - short time-outs (send): no second copies allowed and time for two attempts; against silent servers;
//     costs work at slow ones.
//   - overfilling (admit, draw): the last plan of a query far below its aim, retries; hurts in overload.
//   - cold budget (bears, chill): a listed start; against pushing over; refuses if all replicas are new.
//   - tenants (withinShare, draw): bucket empty, tier crowded or windows half full; against crowding out;
//     hurts a one-router tenant.
//   - early end (query, partNow, expire, giveUp): nothing more can be earned, or come, or in part while there
//     is time for a second step; against late failures, late tries; costs what the part lacks.
//   - asking for the list (ask): where told, and after failures; against a stale list; loads the list.
package choice

import (
	"cmp"
	"math"
	"slices"
)

// The window: TCP's additive increase and multiplicative decrease, per server.
const (
	firstWindow = 4.0  // the design's start
	leastWindow = 1.0  // the design's floor, while all routers at it hold no more than one does at the start
	growFrom    = 0.5  // grow only when this share of the window is in use (RFC 7661: else it proves nothing)
	slowShare   = 0.6  // a part that takes more of its aim than this shrinks the window though it was served
	decrease    = 0.5  // the design's halving, for every bad sign: gentler for late parts brought nothing
	planTries   = 4    // draws of a whole plan before a query is refused
	shareBurst  = 4.0  // seconds of its quota that a tenant may save up
	easyBelow   = 0.3  // of the aim: queries whose middle part takes less may overfill windows: see planAll
	leaveShare  = 0.5  // of rules.drain-grace: so long a draining server still stands in for none other
	overMost    = 3.0  // windows: no server is overfilled further for a query not yet admitted
	spareShare  = 0.15 // spare parts beyond need, as a share of it; the rest stand by for what is overdue
	crowdFrom   = 0.4  // of the aim: a class whose middle part takes longer shows a full tier
	missStep    = 0.1  // of one query: the share that misses its aim, over some ten queries
	beyondRoom  = 0.5  // what is over its tenant's share uses this part of a window at most,
	beyondLeast = 3.0  // or so much of one
	spareRoom   = 0.25 // spare parts and copies use this share at most: they don't outbid first sends
)

// Latencies, per class: two quantiles tracked by small steps.
const (
	middle, upper = 0.5, 0.9

	quantileStep = 0.06
	overdueBy    = 1.5 // overdue: this many times the upper quantile
	overdueMax   = 0.4 // but no later than this share of the aim, so that a second copy can still help
	hintSpread   = 4.0 // how far a part's hint may stretch or shrink what is expected of it
	learnFast    = 4   // the first samples move the quantiles far: the step is 1 / (1 + seen / this) at least

	startMiddle, startUpper = 0.125, 0.25 // of the aim: what the quantiles are taken for before any answer
)

// Suspicion.
const (
	mostBlame     = 6   // each level lengthens the pause between trials
	failBlame     = 2   // an error, a rejection, a lost connection, a failed connect, a time-out
	silentBlame   = 1   // overdue and nothing served since it was sent
	slowPace      = 3.0 // a server this many times slower than the class's middle is a suspect too
	paceStep      = 0.3
	trialPatience = 12  // such pauses, and draws that passed it over: then a first send is risked
	trialShare    = 0.5 // pause between trials at level one, as a share of the class's aim
	poisonLost    = 2   // lost connections, with none of its parts served, that make a query look like poison
)

// Groups: servers of one zone or kind, for a router that meets each server rarely.
const (
	groupStep  = 0.1 // of one part: about ten decide, which even a quiet router sees in seconds
	groupBad   = 0.3 // a group is suspect when so many of its parts fail or are late
	groupTimes = 3.0 // and its odds are so many times the best other group's: else it is not the way
)

// Budgets.
const (
	coldSafety  = 0.7  // of the work a cold server is thought to bear: one router's best span overstates it
	bearFade    = 0.95 // per span of rules.fall: how fast the load that servers bore is forgotten
	bearSure    = 2.0  // spreads taken off what the best server bore: the best of many owes it to chance too
	copyRatio   = 0.20 // second copies per part taken, where no rule says
	lateShare   = 0.25 // of the budget that is left: what one query may take of it for copies
	retryRatio  = 0.5  // all further attempts, the same
	copySpare   = 10.0
	copyWindow  = 10_000_000 // microseconds
	weightSlack = 5e-5       // half of what the rule on honest answers lets pass
	askShare    = 0.25       // of rules.ask-within: the longest pause between asks for the list
	askFirst    = 1.0 / 16   // of that: the first pause after a failure; it doubles
	retryPause  = 0.05       // of the aim: pause before a part that could not be sent is tried again
	adviceShare = 0.25       // of the aim: when a refused client should come back
)

// New returns a router for the settings, or an error that names the setting it can't serve.
func New(seed uint64, set Settings) (*Router, error) {
	if err := check(set); err != nil {
		return nil, err
	}
	r := empty(seed, set)
	for _, c := range set.Classes {
		r.classes[c.Name] = r.newClass(c)
	}
	for _, t := range set.Tenants {
		r.shares[t.Name] = &bucket{rate: t.QuotaPerS / float64(max(set.Routers, 1)), left: 1}
	}
	return r, nil
}

func (r *Router) newClass(c Class) *class {
	return &class{Class: c, n: r.number(), mid: startMiddle * float64(c.Aim), high: startUpper * float64(c.Aim)}
}

// Step takes the events of one moment and returns what to do, in order; it holds until the next Step.
func (r *Router) Step(now Micros, events []Event) []Action {
	r.now, r.acts, r.lateBy = now, r.acts[:0], max(now-r.wakeAt, 0)
	if !r.started {
		r.started, r.binAt, r.lateBy = true, r.now, 0
		if r.set.AskDiscovery {
			r.ask()
		}
	}
	for _, ev := range events {
		r.handle(ev)
	}
	r.fireTimers()
	for _, q := range r.fresh {
		if !q.ended {
			r.admit(q)
		}
	}
	r.fresh = r.fresh[:0]
	r.wake()
	return r.acts
}

// ---- Queries: admission, answers, ends.

func (r *Router) query(ev Query) {
	if !r.set.ExtraByShard {
		r.took(&r.ledger)
	}
	c := r.classes[ev.Class]
	if c == nil {
		r.do(Refuse{ID: ev.ID})
		return
	}
	aim := min(c.Aim+Micros(c.AimStretch*float64(ev.Predicted)), c.Deadline)
	if !ev.Repeat {
		c.patience = min(ev.Grace, c.patience+Micros(quantileStep*float64(ev.Grace-c.patience)))
	} else if ev.Grace < c.patience { // less is left than a first try has: the client asked so long ago
		aim -= min(c.Deadline-ev.Grace, aim)
	}
	q := &query{id: ev.ID, class: c, tenant: ev.Tenant, number: ev.Number, need: c.Need, step: 1}
	q.least, q.size, q.at, q.aimAt = cmp.Or(ev.Least, c.Need), ev.Parts, r.now, r.now+aim-r.set.Resolution
	q.endAt = r.now + ev.Grace - r.set.Resolution
	if c.LateWorth == 0 {
		q.endAt = min(q.endAt, q.aimAt)
	}
	r.queries[q.id], r.numbers[q.number] = q, q
	if ev.Repeat && q.endAt-r.now < Micros(c.mid) { // not even half of its parts would be back in time
		r.refuse(q)
		return
	}
	r.fresh = append(r.fresh, q)
	r.alarm(q.endAt-r.now, (*expiry)(q))
	q.partAt = q.aimAt
	if c.Fetch > 0 { // the second step needs its time
		q.partAt -= min(Micros(c.high*overdueBy), (q.aimAt-r.now)/2)
	}
	if q.partAt < q.endAt {
		r.alarm(q.partAt-r.now, (*partial)(q))
	}
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

// admit is the refusal before any part is sent: it plans every part, then sends all or none. A
// plan that fails is drawn anew a few times: one full shard must not refuse a query that fits.
func (r *Router) admit(q *query) {
	r.size += (float64(len(q.parts)) - r.size) * missStep
	room := 1.0
	if q.class.mid >= crowdFrom*float64(q.class.Aim) { // windows of one part bind nothing then
		room -= min(1-missStep, r.missed*float64(len(q.parts))/r.size)
	}
	if q.beyond = !r.withinShare(q); q.beyond {
		room *= room // what is over its tenant's share gives way to what is within
	}
	if len(q.parts) == 0 || r.rng.Float64() >= room {
		r.refuse(q)
		return
	}
	for try := range planTries {
		q.need -= float64(try/(planTries-1)) * (q.need - q.least) // the last: rather in part than not
		if rest, ok := r.planAll(q, try == planTries-1 && r.easy(q.class) && !q.beyond); ok {
			if q.canary = r.now < q.class.watchTo; q.canary {
				q.lost = 1
				q.unplan(1)
			} else {
				r.planSpares(q, rest)
			}
			q.admitted = true
			for _, p := range q.parts {
				for _, a := range p.attempts {
					r.send(a)
				}
			}
			return
		}
	}
	r.refuse(q)
}

// easy tells whether a class was seen to be far below its aim, and few queries miss theirs.
func (r *Router) easy(c *class) bool {
	return r.missed < missStep && c.seen >= learnFast && c.mid < easyBelow*float64(c.Aim)
}

// withinShare takes a query off its tenant's share: a bucket that fills at this router's part of the
// told quota, one query deep at least: with many routers none would ever have saved one up.
func (r *Router) withinShare(q *query) bool {
	b := r.shares[q.tenant]
	if b == nil {
		return true
	}
	b.left = min(b.left+float64(r.now-b.at)/1e6*b.rate, max(1, b.rate*shareBurst))
	b.at = r.now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// planAll finds servers for enough parts, or undoes what it planned. It may be let overfill windows:
// while parts take far less than their aim, a refusal costs more than the wait behind a full window does.
func (r *Router) planAll(q *query, overfill bool) (rest []*part, ok bool) {
	weight, want := 0.0, max(q.need, q.class.Need)
	line := r.line(q.parts, true)
	for r.plans++; len(line) > 0 && weight < want-weightSlack; {
		_, left, got := r.call(line, first, want-weight)
		if got == 0 && overfill {
			_, left, got = r.call(line, over, want-weight)
		}
		line, weight = left, weight+got
	}
	if weight >= q.need-weightSlack {
		q.need = min(weight, want) // where less will do, what found room is still wanted
		return line, true
	}
	q.unplan(0)
	return nil, false
}

// planSpares sends n of more parts than needed: some beyond n, where windows are far from full.
func (r *Router) planSpares(q *query, rest []*part) {
	want := q.need * spareShare
	// The nearest number, one at least.
	for i := 0; len(rest) > 0 && (i == 0 || want > rest[0].weight/2); i++ {
		var got float64
		_, rest, got = r.call(rest, spare, want-rest[0].weight/2)
		want -= got
	}
}

// call plans one call: the first part of a line goes to a server that is drawn for it, if there is one, and
// what that server holds of the others goes along, as far as there is room and weight is wanted.
func (r *Router) call(line []*part, u use, want float64) (call, rest []*part, weight float64) {
	s := r.draw(line, u)
	if s == nil {
		return nil, line[1:], 0
	}
	call, rest = r.take(s, line, r.room(s, u), want)
	s.plan = r.plans
	return call, rest, r.plan(call, s)
}

// room is how many parts a call to a server may carry. What a call has of its own is worth a window
// overshot by what travels along; a cold server gets no more than was saved up for it.
func (r *Router) room(s *server, u use) int {
	if s.coldFrom != 0 {
		return max(int(s.saved), 1)
	}
	if u == spare || u == second {
		return min(max(int(s.window*spareRoom)-s.out, 1), max(r.set.BundleMax, 1))
	}
	return max(r.set.BundleMax, 1)
}

// plan puts the parts of one call on a server; send carries it out.
func (r *Router) plan(g []*part, s *server) (weight float64) {
	for _, p := range g {
		p.newAttempt(attempt{p: p, s: s, index: len(p.attempts), sentAt: r.now, ran: true})
		s.out++
		s.saved--
		weight += p.weight
	}
	return weight
}

func (r *Router) send(a *attempt) {
	q := a.p.q
	r.connect(a)
	timeout, try := q.endAt-r.now, Micros(q.class.high*overdueBy)
	again := !r.set.ParallelTries && q.class.Effect != Unsafe && len(a.p.attempts) < r.mostAttempts(q.class)
	if a.short = again && q.aimAt-r.now > 2*try; a.short { // no other may go out before this one is over
		timeout = q.aimAt - r.now - try
	}
	r.do(Send{ID: a.p.id, Server: a.s.ID, Timeout: max(timeout, r.set.Resolution)})
	late := min(q.class.high*a.p.stretch*overdueBy, float64(q.class.Aim)*overdueMax)
	patience := float64(min(q.aimAt, q.endAt)-q.at+r.set.Resolution) * overdueMax
	a.early = patience < late
	r.alarm(max(Micros(min(late, patience)), 2*r.set.Resolution), (*lateness)(a))
}

// connect judges the connection an attempt goes out on by how long nothing was heard on it. One that idled
// is closed first while such ones prove dead, new ones don't, and no bad zone explains it.
func (r *Router) connect(a *attempt) {
	s, c := a.s, a.p.q.class
	gap := r.now - s.heardAt
	if s.heardAt == 0 || gap > r.set.Keepalive {
		s.heardAt = r.now
	} else if gap > min(Micros(c.high), Micros(float64(c.Aim)*overdueMax)) {
		a.line = &r.idle
		dead := r.idle.worse(r.renewed.bad) && r.cutOff(s) != s.groups[0]
		if dead && s.live == 0 && r.now < r.idle.trialAt {
			r.do(Release{Server: s.ID})
			s.heardAt, a.line = r.now, &r.renewed
		} else {
			r.idle.trialAt = r.now + Micros(float64(c.Aim)*trialShare*trialPatience)
		}
	}
	s.live++
}

// pursue keeps enough weight on its way for a whole answer: parts not yet sent
// first, then failed ones, then second copies of overdue ones.
func (r *Router) pursue(q *query) {
	if q.ended || r.now >= q.endAt || len(q.parts) == 0 { // a second step has none until they come
		return
	}
	if q.lost >= poisonLost && q.got == 0 && q.step == 1 {
		r.poison(q)
		return
	}
	coming, possible := q.got, q.got
	var unsent, failed, late []*part
	for _, p := range q.parts {
		if p.served {
			continue
		}
		switch out, overdue := p.pending(); {
		case out > overdue:
			coming += p.weight
			possible += p.weight
		case len(p.attempts) == 0:
			if !q.canary || q.got > 0 {
				unsent = append(unsent, p)
			}
			possible += p.weight
		case out > 0:
			late = append(late, p)
			possible += p.weight
		case r.repeatable(p):
			failed = append(failed, p)
			possible += p.weight
		}
	}
	if possible < q.floorNow()-weightSlack {
		r.giveUp(q)
		return
	}
	r.plans++
	coming += r.further(r.line(unsent, true), must, q.need-coming)
	coming += r.further(r.line(failed, false), must, q.need-coming)
	// What is left of the budget goes to queries that few copies complete, of classes that are not slow as
	// a whole: there all parts are late, and copies are work that the tier lacks.
	few := len(late) > 0 && float64(len(late)) <= max(1, r.budget(late[0], second)*lateShare)
	if few && q.class.mid < easyBelow*float64(q.class.Aim) {
		coming += r.further(r.line(slices.DeleteFunc(late, r.once), false), second, q.need-coming)
	}
	if coming < q.need-weightSlack && q.retryAt <= r.now {
		pause := Micros(float64(q.class.Aim) * retryPause)
		q.retryAt = r.now + pause
		r.alarm(pause, (*pursuit)(q))
	}
}

// poison holds back a query that may crash every server it meets: parts lost their connection at servers
// not yet blamed, none was served. Given up, it has one part go ahead while its client may ask again.
func (r *Router) poison(q *query) {
	hopeful := func(p *part) bool { out, overdue := p.pending(); return out > overdue }
	if !slices.ContainsFunc(q.parts, hopeful) {
		q.class.watchTo = r.now + q.class.Deadline
		r.giveUp(q)
	}
}

// repeatable tells whether the class's effect lets a further attempt of p out now.
func (r *Router) repeatable(p *part) bool {
	if len(p.attempts) >= r.mostAttempts(p.q.class) {
		return false
	}
	out, _ := p.pending()
	if out > 0 && !r.set.ParallelTries {
		return false
	}
	for _, a := range p.attempts {
		if !a.ran {
			continue
		}
		switch c := p.q.class; c.Effect {
		case Unsafe:
			return false
		case Keyed:
			return r.now-a.sentAt <= c.MemorySpan-r.set.Resolution
		}
	}
	return true
}

// once tells that a part may have no further attempt now.
func (r *Router) once(p *part) bool { return !r.repeatable(p) }

// further sends parts of an admitted query, as far as they are wanted and budget and room allow.
func (r *Router) further(line []*part, u use, want float64) (coming float64) {
	for len(line) > 0 && coming < want-weightSlack {
		again := len(line[0].attempts) > 0
		if again && r.budget(line[0], u) < 1 {
			if !r.set.ExtraByShard {
				return coming
			}
			line = line[1:]
			continue
		}
		g, rest, got := r.call(line, u, want-coming)
		for _, p := range g {
			if again {
				b := r.book(p.shard)
				b.extras = append(b.extras, r.now)
			}
			r.send(p.attempts[len(p.attempts)-1])
		}
		line, coming = rest, coming+got
	}
	return coming
}

// budget is what is left for further attempts of the told budget, or of our own where none is
// told, over any window: copies made in a trouble must not become the trouble.
func (r *Router) budget(p *part, u use) float64 {
	b := r.book(p.shard)
	span, free, ratio := Micros(copyWindow), copySpare, copyRatio
	if u == must {
		ratio = retryRatio
	}
	if r.set.ExtraBudget {
		span, free, ratio = r.set.ExtraWindow, r.set.ExtraSpare, r.set.ExtraRatio
	}
	b.taken, b.extras = since(b.taken, r.now-span+1), since(b.extras, r.now-span)
	return free + ratio*float64(len(b.taken)) - float64(len(b.extras))
}

// overdue judges an attempt before its time-out fires. Late while the server serves
// others is a late part; nothing served since is a late server (a hang, a dead link).
func (r *Router) overdue(a *attempt) {
	if a.ended || a.overdue {
		return
	}
	a.overdue = true
	if a.s.served[a.p.q.class.n] < a.sentAt && !a.early {
		if a.s.servedAt < a.sentAt {
			r.mark(a, 1)
		}
		if !r.wayBad(a) {
			r.blame(a, silentBlame)
		}
	}
	if !a.p.q.ended && !a.p.served {
		r.pursue(a.p.q)
	}
}

// outcome notes how an attempt ended; it answers or pursues its query.
func (r *Router) outcome(ev Outcome) {
	p := r.parts[ev.ID]
	if p == nil || ev.Attempt >= len(p.attempts) || p.attempts[ev.Attempt].ended {
		return
	}
	a, q := p.attempts[ev.Attempt], p.q
	a.ended = true
	a.ran = ev.Verdict != TurnedAway && ev.Verdict != NoConnection && ev.Verdict != NotSent
	if ev.Verdict == ConnectionLost && a.s.guilt(q.class) == 0 {
		q.lost++
	}
	r.learn(a, ev)
	a.s.out--
	a.s.live--
	if ev.Verdict == Served || ev.Verdict == ServerError || ev.Verdict == TurnedAway {
		a.s.heardAt = r.now
	}
	if w := a.s.window; w < 1 { // a window below one is one part for that share of the time
		a.s.openAt = r.now + Micros(float64(r.now-a.sentAt)*(1/w-1))
	}
	if q.ended {
		r.forget(p)
		return
	}
	if ev.Verdict == Served && !p.served {
		p.served = true
		q.got += p.weight
		for _, other := range p.attempts {
			r.cancel(other)
		}
		if q.got >= q.need-weightSlack {
			r.answer(q, q.step == 1 || q.whole)
			return
		}
		if r.now >= q.partAt {
			r.partNow(q)
		}
	}
	if !p.served || q.canary {
		r.pursue(q)
	}
}

// answer answers from what is in; the first step of two goes on to the second.
func (r *Router) answer(q *query, whole bool) {
	r.do(Answer{ID: q.id, Whole: whole})
	q.inTime = r.now <= q.aimAt
	if q.step == 2 || q.class.Fetch == 0 {
		r.end(q)
		return
	}
	r.release(q)
	q.step, q.at, q.whole, q.parts, q.got, q.need = 2, r.now, whole, nil, 0, 1
}

// giveUp ends a query that can't be answered whole any more: with what is in
// where the class allows it, else with a refusal or a failure.
func (r *Router) giveUp(q *query) {
	if q.class.Floor < q.class.Need && q.got > 0 && q.got >= q.class.Floor {
		r.answer(q, false)
		return
	}
	r.refuse(q)
}

// refuse ends a query; it promises that asking again is harmless only where that holds.
func (r *Router) refuse(q *query) {
	if q.class.Effect != Safe && (q.step == 2 || q.ran()) {
		r.do(Fail{ID: q.id})
	} else { // told whether or not RetryAdvice says that some heed it
		advice := Micros(float64(q.class.Aim) * adviceShare)
		r.do(Refuse{ID: q.id, RetryAfter: min(advice, r.set.MaxRetryAfter)})
	}
	r.end(q)
}

// partNow gives an honest part of an answer when waiting on would earn less.
func (r *Router) partNow(q *query) {
	c := q.class
	if q.ended || q.step == 2 && r.now < q.aimAt || c.Floor >= c.Need || q.got <= 0 || q.got < c.Floor {
		return
	}
	if c.Partial*math.Pow(q.got/c.Need, cmp.Or(c.Power, 1)) > c.LateWorth {
		r.giveUp(q)
	}
}

// expire ends a query whose time is up, whatever is still out.
func (r *Router) expire(q *query) {
	if q.ended {
		return
	}
	r.giveUp(q)
	if !q.ended {
		r.do(Fail{ID: q.id})
		r.end(q)
	}
}

// ---- The draw.

type use int

const (
	first  use = iota // a first send of a query not yet admitted: needs room
	spare             // a part beyond need: needs ample room, and tries suspects out
	second            // a second copy: needs ample room
	must              // a part of an admitted query: takes room if there is any
	over              // the same of one that may overfill to be admitted, within bounds
)

// draw is the uniform random draw among replicas with room: a sound one, but for a trial that is due, and
// for what the use allows where none has room. Failing ones, always with room, come last: they answer fast.
func (r *Router) draw(line []*part, u use) *server {
	p, c := line[0], line[0].q.class
	wait, tries := Micros(0), u == first || u == spare
	if u == first {
		wait = Micros(float64(c.Aim) * trialShare * trialPatience)
	}
	share, least := 1.0, 0.0 // of a window; and in it
	if u == spare || u == second {
		share = spareRoom
	} else if u == first && line[0].q.beyond { // while nothing is short it is served
		share, least = beyondRoom, beyondLeast
	}
	var lots [7][6]*server
	sound, trial, leaving, slow, failing, full, jammed := cut(&lots)
	for j := range r.set.Width {
		for _, s := range r.cells[(p.shard+j)%r.set.Cells] {
			if p.tried(s) || !r.bears(s) {
				continue
			}
			mayHold := max(s.window*share, min(s.window, least))
			room := s.out == 0 && r.now >= s.openAt || float64(s.out+1) <= mayHold
			group := r.cutOff(s)
			switch {
			case s.State == Draining:
				if room && !r.suspect(s, c) {
					leaving = append(leaving, s)
				}
			case group != nil && room && !r.suspect(s, c):
				slow = append(slow, s)
				if tries && s.out == 0 && r.now >= group.trialAt+wait {
					trial = append(trial, s)
				}
			case r.suspect(s, c) && room:
				if s.guilt(c) >= failBlame {
					failing = append(failing, s)
				} else {
					slow = append(slow, s)
				}
				s.passed++
				due := r.now >= s.trialAt+wait && (u == spare || s.passed > trialPatience)
				if tries && s.out == 0 && due {
					trial = append(trial, s)
				}
			case room:
				sound = append(sound, s)
			case u == over && float64(s.out) >= s.window*overMost:
			case !r.suspect(s, c) && group == nil:
				full = append(full, s)
			default:
				jammed = append(jammed, s)
			}
		}
	}
	switch {
	case len(trial) > 0:
		return r.try(trial, c)
	case len(sound) > 0:
		sound = r.fewest(nearest(sound), line, u)
		return sound[r.rng.IntN(len(sound))]
	case u >= must && len(full) > 0:
		return full[r.rng.IntN(len(full))]
	case len(leaving) > 0 && !(u == spare || u == second):
		return leaving[r.rng.IntN(len(leaving))]
	case len(slow) > 0:
		return r.try(slow, c)
	case len(failing) > 0 && len(full) == 0:
		return r.try(failing, c)
	case u == over && len(jammed) > 0:
		return jammed[r.rng.IntN(len(jammed))]
	}
	return nil
}

// nearest leaves of the servers with room those that are least far.
func nearest(from []*server) []*server {
	far := slices.MinFunc(from, func(a, b *server) int { return cmp.Compare(a.Far, b.Far) }).Far
	return slices.DeleteFunc(from, func(s *server) bool { return s.Far > far })
}

// fewest leaves of the servers that a line's first part may go to those with which the whole line costs the
// fewest calls, one that has a call of this plan costing none.
func (r *Router) fewest(from []*server, line []*part, u use) []*server {
	if r.set.BundleMax <= 1 {
		return from
	}
	least, best := math.MaxInt, from[:0]
	for _, s := range from {
		calls := r.callsFor(line, s, r.room(s, u))
		if s.plan != r.plans {
			calls++
		}
		if calls < least {
			least, best = calls, best[:0]
		}
		if calls == least {
			best = append(best, s)
		}
	}
	return best
}

// try draws a suspect and sets the pause until its next trial.
func (r *Router) try(from []*server, c *class) *server {
	s := from[r.rng.IntN(len(from))]
	s.pause(r.now, c)
	for _, g := range s.groups {
		g.trialAt = r.now + Micros(float64(c.Aim)*trialShare)
	}
	return s
}

// pause puts a suspect's next trial off, from its blame as from a trial.
func (s *server) pause(now Micros, c *class) {
	s.passed, s.trialAt = 0, now+Micros(float64(c.Aim)*trialShare)*Micros(max(1, s.guilt(c)))
}

func (r *Router) suspect(s *server, c *class) bool { return s.guilt(c) > 0 || s.pace > slowPace }

func (s *server) guilt(c *class) int { return max(s.blame, s.blames[c.n]) }

// bears keeps what is sent to a cold server in any window of rules.fall under what it can do. Each router
// saves up its share of that, from a random start; where nothing is known, all together one part a window.
func (r *Router) bears(s *server) bool {
	if s.State != Ready || s.coldFrom == 0 {
		return s.State == Ready || s.State == Draining && r.now < s.leaveAt
	}
	age := r.now - s.coldFrom - r.set.Fall/2 // capacity in the middle of the window counted
	if age >= r.set.Cold {
		s.coldFrom = 0
		return true
	}
	share := r.set.StartCapacity + (1-r.set.StartCapacity)*float64(max(age, 0))/float64(r.set.Cold)
	rate := coldSafety * r.set.FallMultiple * share * r.bearing * max(s.Scale, 0)
	rate = max(rate, 1e6/float64(r.set.Fall)/float64(max(r.set.Routers, 1)))
	// What one call carries may go at once: else a query of two parts that it alone holds would never fit.
	most := float64(min(r.set.Width, max(r.set.BundleMax, 1)))
	s.saved = min(s.saved+rate*float64(r.now-s.savedAt)/1e6, most)
	s.savedAt = r.now
	return s.saved >= 1
}

// ---- Health.

func (r *Router) learn(a *attempt, ev Outcome) {
	s, c := a.s, a.p.q.class
	age := float64(max(r.now-a.sentAt-r.lateBy, 1)) // a late wake is our own trouble, no server's
	whole := age / a.p.stretch
	age /= a.p.q.heaviness(whole / c.mid)
	ratio := age / a.p.stretch / c.mid
	if ev.Verdict != Served && whole > c.mid && a.overdue {
		c.mid = track(c.mid, whole, middle, quantileStep) // it would have taken longer still
	}
	switch ev.Verdict {
	case Served:
		c.learn(whole)
		if !a.overdue {
			r.mark(a, 0)
		} else if a.line != nil { // late, but on no dead connection: its bad mark is taken back
			a.line.bad = max(0, (a.line.bad-groupStep)/(1-groupStep))
		}
		a.p.q.pace += math.Log(whole / c.mid)
		a.p.q.paced++
		s.pace += (ratio - s.pace) * paceStep
		s.servedAt, s.served[c.n] = r.now, r.now
		if s.cause != nil && s.cause != c {
			// It serves: what it left unanswered is that class's trouble; forgiving it hid that for good.
			s.blames[s.cause.n], s.blame, s.cause = max(s.blames[s.cause.n], s.blame), 0, nil
		}
		s.bins++
		if age > slowShare*float64(c.Aim) {
			if r.cutOff(s) != s.groups[0] { // else the way is long, not the server full
				r.shrink(a)
			}
			return
		}
		if ratio < slowPace {
			s.blame /= 2
			s.blames[c.n] /= 2
		}
		if float64(s.out) >= s.window*growFrom {
			s.window += min(1/s.window, s.window)
		}
	case NoAnswer:
		// Answers lost here and there are no sign of a dead server while it serves others.
		if s.served[c.n] > a.sentAt || a.short {
			return
		}
		if s.servedAt < a.sentAt {
			r.mark(a, 1)
		}
		if !r.wayBad(a) {
			r.blame(a, failBlame)
		}
	case NoConnection, ConnectionLost:
		r.mark(a, 1)
		r.blame(a, failBlame)
		s.cause = nil // no class's trouble: the way or the process
	case ServerError, TurnedAway:
		r.blame(a, failBlame)
	}
	r.roll()
}

// mark pools what a part says of the way to its server over the servers with an equal label, and over idle
// or renewed connections. A server already blamed says nothing new: one that hangs is no bad zone of four.
func (r *Router) mark(a *attempt, bad float64) {
	if bad > 0 && a.s.guilt(a.p.q.class) > 0 {
		return
	}
	groups := a.s.groups
	if a.line != nil && r.cutOff(a.s) != a.s.groups[0] {
		groups = append(groups, a.line)
	}
	for _, g := range groups {
		g.bad += (bad - g.bad) * groupStep
	}
	if a.line == &r.idle { // what new ones showed long ago does not count for ever
		r.renewed.bad -= r.renewed.bad * groupStep * groupStep
	}
}

// worse tells whether a group is bad while another of its sort, with so small a share, is well.
func (g *group) worse(least float64) bool {
	return g.bad > groupBad && g.bad*(1-least) > groupTimes*least*(1-g.bad)
}

// cutOff returns the group of s that is bad while another of its sort is well: a zone cut off or
// behind a slow link, links bad for this router alone, a kind that fails. It hurts its well servers.
func (r *Router) cutOff(s *server) *group {
	for i, all := range [][]*group{r.zones, r.kinds} {
		least := 1.0
		for _, g := range all {
			least = min(least, g.bad)
		}
		if g := s.groups[i]; g.worse(least) {
			return g
		}
	}
	return nil
}

// wayBad tells whether silence is the way's: a bad zone, or an idle connection while those prove dead.
func (r *Router) wayBad(a *attempt) bool {
	return r.cutOff(a.s) == a.s.groups[0] || a.line == &r.idle && r.idle.worse(r.renewed.bad)
}

// heaviness is how much slower than usual the query's parts come back: a heavy query is slow everywhere,
// and no server is to blame. The first part back is the fastest of its query, so it is never slow.
func (q *query) heaviness(own float64) float64 {
	if q.paced > 0 {
		return max(1, math.Exp(q.pace/q.paced))
	}
	if len(q.parts) > 1 {
		return max(1, own)
	}
	return 1
}

// learn moves the quantiles; the first samples move them far.
func (c *class) learn(x float64) {
	c.seen++
	step := max(quantileStep, 1/(1+c.seen/learnFast))
	c.mid = track(c.mid, x, middle, step)
	c.high = track(c.high, x, upper, step)
}

// blame raises suspicion and halves the window, once per episode: of the class alone while the server
// serves others, else of the server.
func (r *Router) blame(a *attempt, n int) {
	s, c := a.s, a.p.q.class
	if a.sentAt >= s.episode {
		if s.servedAt > a.sentAt && s.served[c.n] <= a.sentAt {
			s.blames[c.n] = min(s.blames[c.n]+n, mostBlame)
		} else {
			if s.blame == 0 {
				s.cause = c
			} else if s.cause != c {
				s.cause = nil
			}
			s.blame = min(s.blame+n, mostBlame)
		}
	}
	s.pause(r.now, c)
	r.shrink(a)
}

// shrink cuts the window per server (learn grows it) unless the attempt was sent before the last
// cut: a burst of bad outcomes is one sign, as a round trip is for TCP. Below one it is a pause.
func (r *Router) shrink(a *attempt) {
	if a.sentAt >= a.s.episode {
		a.s.episode = r.now
		a.s.window = max(a.s.window*decrease, min(leastWindow, firstWindow/float64(max(r.set.Routers, 1))))
	}
}

// chill holds a server as cold from its start on.
func (r *Router) chill(s *server, from Micros) {
	if r.set.Cold > 0 && r.set.FallMultiple > 0 && r.now-from < r.set.Cold {
		s.coldFrom, s.saved, s.savedAt = max(from, 1), r.rng.Float64(), r.now
		s.window = leastWindow // to be earned
	}
}

// roll closes a span of rules.fall and notes what the servers were seen to bear in it.
func (r *Router) roll() {
	span := r.now - r.binAt
	if span < max(r.set.Fall, 1) || r.ready == 0 {
		return
	}
	sum, best := 0.0, 0.0
	for _, s := range r.servers {
		sum, best, s.bins = sum+s.bins, max(best, (s.bins-bearSure*math.Sqrt(s.bins))/max(s.Scale, 1)), 0
	}
	r.bearing, r.binAt = max(max(sum/float64(r.ready), best)/(float64(span)/1e6), r.bearing*bearFade), r.now
}

// ---- The server list.

func (r *Router) list(ev List) {
	if ev.Form == Failed {
		if !r.set.AskDiscovery { // what is pushed comes by itself
			return
		}
		r.askGap = min(max(2*r.askGap, 1), Micros(float64(r.set.AskWithin)*askShare))
		r.askAt = r.now + r.askGap
		r.after(r.askGap, r.askDue)
		return
	}
	// On a watch that stands news is told now; other news may have counted as told before.
	fresh := ev.Form == Delta && r.askAt == 0
	if ev.Form != Cached {
		r.askAt, r.askGap = 0, Micros(float64(r.set.AskWithin)*askShare*askFirst)
	}
	named := make(map[string]bool, len(ev.Servers))
	for _, row := range ev.Servers {
		named[row.ID] = true
		r.row(row, ev.Form)
		if s := r.servers[row.ID]; s != nil && fresh && s.State == Draining && s.leaveAt == 0 {
			s.leaveAt = r.now + Micros(leaveShare*float64(r.set.DrainGrace)) - ev.Since
		}
	}
	if ev.Form != Delta {
		r.absent(named)
	}
}

// row takes one line. New servers and restarted ones start cold; the list tells late.
func (r *Router) row(row Server, form Form) {
	s := r.servers[row.ID]
	if s == nil {
		if row.State == Gone || row.Cell >= r.set.Cells {
			return
		}
		s = r.add(row)
		s.window = firstWindow
		from := row.UpSince
		if form == Delta && from == 0 {
			from = r.now
		}
		if from > 0 {
			r.chill(s, from)
		}
		return
	}
	restarted := row.UpSince > s.UpSince
	back := s.State == Gone && row.State == Ready
	r.become(s, row.State)
	if row.State == Gone {
		return
	}
	row.Cell = s.Cell
	s.Server = row
	if restarted {
		s.blame, s.pace = 0, 1
		clear(s.blames)
		r.chill(s, row.UpSince)
	} else if back {
		r.chill(s, r.now)
	}
}

// ask subscribes to the list and looks again later, in case no answer comes.
func (r *Router) ask() {
	r.do(Watch{On: true})
	wait := Micros(float64(r.set.AskWithin) * askShare)
	r.askGap = cmp.Or(r.askGap, Micros(float64(wait)*askFirst))
	r.askAt = r.now + wait
	r.after(wait, r.askDue)
}

func (r *Router) askDue() {
	if r.askAt != 0 && r.now >= r.askAt {
		r.ask()
	}
}
