package choice

// Whether a query goes out at all: admission, and the plan of all its parts.
//
//   - crowding (admit): middle latency over a fifth of the aim; against jams of retries; refuses by chance.
//   - overfilling (admit, draw): the last plan of a query far below its aim, retries; hurts in overload.
//   - tenants (withinShare, draw): bucket empty, tier crowded or windows half full; against crowding out;
//     hurts a one-router tenant.

import "cmp"

const (
	planTries   = 4    // draws of a whole plan before a query is refused
	shareBurst  = 4.0  // seconds of its quota that a tenant may save up
	easyBelow   = 0.3  // of the aim: queries whose middle part takes less may overfill windows: see planAll
	crowdFrom   = 0.4  // of the aim: a class whose middle part takes longer shows a full tier
	missStep    = 0.1  // of one query: the share that misses its aim, over some ten queries
	weightSlack = 5e-5 // half of what the rule on honest answers lets pass
)

func (r *Router) query(ev Query) {
	if !r.set.RetryBudgetPerShard {
		r.took(&r.ledger)
	}
	c := r.classes[ev.Class]
	if c == nil {
		r.do(Refuse{ID: ev.ID})
		return
	}
	aim := min(c.LatencyTarget+Micros(c.LatencyTargetStretch*float64(ev.Predicted)), c.Deadline)
	if !ev.Repeat {
		c.patience = min(ev.Grace, c.patience+Micros(quantileStep*float64(ev.Grace-c.patience)))
	} else if ev.Grace < c.patience { // less is left than a first try has: the client asked so long ago
		aim -= min(c.Deadline-ev.Grace, aim)
	}
	q := &query{id: ev.ID, class: c, tenant: ev.Tenant, number: ev.Number, need: c.RequiredShare, step: 1}
	q.least, q.size, q.at, q.aimAt = cmp.Or(ev.Least, c.RequiredShare), ev.Parts, r.now, r.now+aim-r.set.Resolution
	q.endAt = r.now + ev.Grace - r.set.Resolution
	if c.LateValue == 0 {
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
	if c.FetchParts > 0 { // the second step needs its time
		q.partAt -= min(Micros(c.high*overdueBy), (q.aimAt-r.now)/2)
	}
	if q.partAt < q.endAt {
		r.alarm(q.partAt-r.now, (*partial)(q))
	}
}

// admit is the refusal before any part is sent: it plans every part, then sends all or none. A
// plan that fails is drawn anew a few times: one full shard must not refuse a query that fits.
func (r *Router) admit(q *query) {
	r.size += (float64(len(q.parts)) - r.size) * missStep
	room := 1.0
	if q.class.mid >= crowdFrom*float64(q.class.LatencyTarget) { // windows of one part bind nothing then
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
	return r.missed < missStep && c.seen >= learnFast && c.mid < easyBelow*float64(c.LatencyTarget)
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
	weight, want := 0.0, max(q.need, q.class.RequiredShare)
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
