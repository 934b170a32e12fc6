package choice

// What goes out beside first sends: spare parts, second copies, further attempts, and their budgets.
//
//   - second copies (pursue, budget): a part is overdue in a class far below its aim; against slow or silent
//     replicas; hurts in overload.
//   - one part ahead (poison, admit): a query lost every connection; against crashing queries; slows a class.

import "slices"

const (
	spareShare = 0.15 // spare parts beyond need, as a share of it; the rest stand by for what is overdue
	poisonLost = 2    // lost connections, with none of its parts served, that make a query look like poison
	copyRatio  = 0.20 // second copies per part taken, where no rule says
	lateShare  = 0.25 // of the budget that is left: what one query may take of it for copies
	retryRatio = 0.5  // all further attempts, the same
	copySpare  = 10.0
	copyWindow = 10_000_000 // microseconds
	retryPause = 0.05       // of the aim: pause before a part that could not be sent is tried again
)

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
		case r.repeatable(p) && (!r.set.RetryBudgetPerShard || r.budget(p, must) >= 1): // a new try costs none
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
	if few && q.class.mid < easyBelow*float64(q.class.LatencyTarget) {
		coming += r.further(r.line(slices.DeleteFunc(late, r.once), false), second, q.need-coming)
	}
	if coming < q.need-weightSlack && q.retryAt <= r.now {
		pause := Micros(float64(q.class.LatencyTarget) * retryPause)
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
	if out > 0 && !r.set.ParallelAttempts {
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
			return r.now-a.sentAt <= c.DedupWindow-r.set.Resolution
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
			if !r.set.RetryBudgetPerShard {
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
	if r.set.RetryBudget {
		span, free, ratio = r.set.RetryBudgetWindow, r.set.RetryBudgetMin, r.set.RetryBudgetRatio
	}
	b.taken, b.extras = since(b.taken, r.now-span+1), since(b.extras, r.now-span)
	return free + ratio*float64(len(b.taken)) - float64(len(b.extras))
}
