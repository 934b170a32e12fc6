package choice

// Whether a query is admitted: the admission check, and the plan of all its parts.
//
//   - crowding (admit): the class's median latency is at least 0.4 of its latency target and recent queries
//     missed theirs; against congestion by retries; rejects at random.
//   - overfilling (admit, selectReplica): the last plan of a query whose class is far below its latency
//     target may exceed windows; against retries; does harm under overload.
//   - tenants (withinQuota, selectReplica): the tenant's bucket is empty, and the tier is crowded or windows
//     are half full; against a tenant that crowds out others; does harm to a tenant that uses one router.

import "cmp"

const (
	maxPlans        = 4    // random plans drawn for a query before it is rejected
	quotaBurst      = 4.0  // seconds of its quota that a tenant may accumulate
	headroomBelow   = 0.3  // share of the latency target: a class with a lower median has headroom
	crowdedFrom     = 0.4  // share of the latency target: a higher median shows a tier at capacity
	missSmoothing   = 0.1  // weight of one query in missedShare and meanQuerySize: some ten queries count
	weightTolerance = 5e-5 // half of the 1e-4 that the tests allow an answer's weight to fall short
)

// addQuery registers a query and sets its timers. It rejects a query of an unknown class, and a client's
// retry that has too little time left.
func (r *Router) addQuery(event Query) {
	if !r.settings.RetryBudgetPerShard {
		r.recordArrival(&r.sharedBudget)
	}
	c := r.classes[event.Class]
	if c == nil {
		r.addAction(Refuse{ID: event.ID})
		return
	}
	target := min(c.LatencyTarget+Micros(c.LatencyTargetStretch*float64(event.Predicted)), c.Deadline)
	if !event.Repeat {
		c.firstTryTimeout = min(event.Grace,
			c.firstTryTimeout+Micros(quantileStep*float64(event.Grace-c.firstTryTimeout)))
	} else if event.Grace < c.firstTryTimeout { // the time since the client's first try counts too
		target -= min(c.Deadline-event.Grace, target)
	}
	q := &query{id: event.ID, class: c, tenant: event.Tenant, number: event.Number,
		requiredWeight: c.RequiredShare, step: 1}
	q.reducedWeight, q.expectedParts, q.stepStartedAt, q.targetAt = cmp.Or(event.Least, c.RequiredShare),
		event.Parts, r.now, r.now+target-r.settings.Resolution
	q.endsAt = r.now + event.Grace - r.settings.Resolution
	if c.LateValue == 0 {
		q.endsAt = min(q.endsAt, q.targetAt)
	}
	r.queries[q.id], r.queriesByNumber[q.number] = q, q
	if event.Repeat && q.endsAt-r.now < Micros(c.median) { // not even half of its parts would be in time
		r.refuse(q)
		return
	}
	r.newQueries = append(r.newQueries, q)
	r.setTimer(q.endsAt-r.now, (*expireTask)(q))
	q.partialAt = q.targetAt
	if c.FetchParts > 0 { // leaves time for the second step
		q.partialAt -= min(Micros(c.upperQuantile*defaultOverdueMultiple), (q.targetAt-r.now)/2)
	}
	if q.partialAt < q.endsAt {
		r.setTimer(q.partialAt-r.now, (*partialTask)(q))
	}
}

// admit decides whether to reject a query before any part is sent. It plans every part, then sends all or
// none. A plan that fails is drawn again a few times: one full shard must not reject a query that fits.
func (r *Router) admit(q *query) {
	r.meanQuerySize += (float64(len(q.parts)) - r.meanQuerySize) * missSmoothing
	probability := 1.0
	if q.class.median >= crowdedFrom*float64(q.class.LatencyTarget) {
		// Windows of one part don't bound the load of a server that many routers share.
		probability -= min(1-missSmoothing, r.missedShare*float64(len(q.parts))/r.meanQuerySize)
	}
	if q.overQuota = !r.withinQuota(q); q.overQuota {
		probability *= probability // a query over its tenant's quota gives way to those within theirs
	}
	if len(q.parts) == 0 || r.rng.Float64() >= probability {
		r.refuse(q)
		return
	}
	for plan := range maxPlans {
		// The last plan lowers the requirement: a partial answer is better than none. The integer division
		// yields 0 for each plan before it.
		q.requiredWeight -= float64(plan/(maxPlans-1)) * (q.requiredWeight - q.reducedWeight)
		if rest, ok := r.planAll(q, plan == maxPlans-1 && r.hasHeadroom(q.class) && !q.overQuota); ok {
			if q.canary = r.now < q.class.canaryUntil; q.canary {
				q.lostConnections = 1 // the canary's lost connection alone reaches queryOfDeathLosses
				q.unplan(1)
			} else {
				r.planRedundantParts(q, rest)
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

// hasHeadroom reports whether a class is known to be far below its latency target while few queries miss
// theirs.
func (r *Router) hasHeadroom(c *class) bool {
	return r.missedShare < missSmoothing && c.latencySamples >= fastSamples &&
		c.median < headroomBelow*float64(c.LatencyTarget)
}

// withinQuota takes one query from its tenant's bucket and reports whether the bucket had it. The bucket
// fills at this router's share of the configured quota and holds at least one query: with many routers that
// share is so small that a bucket would otherwise never accumulate one.
func (r *Router) withinQuota(q *query) bool {
	b := r.quotas[q.tenant]
	if b == nil {
		return true
	}
	b.tokens = min(b.tokens+float64(r.now-b.refilledAt)/1e6*b.rate, max(1, b.rate*quotaBurst))
	b.refilledAt = r.now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// planAll selects servers for enough parts, or undoes what it planned. With overfill it may exceed windows:
// while parts take far less than their latency target, a rejection costs more than the wait behind a full
// window.
func (r *Router) planAll(q *query, overfill bool) (rest []*part, ok bool) {
	weight, wanted := 0.0, max(q.requiredWeight, q.class.RequiredShare)
	parts := r.orderParts(q.parts, true)
	for r.planNumber++; len(parts) > 0 && weight < wanted-weightTolerance; {
		_, left, planned := r.planCall(parts, firstSend, wanted-weight)
		if planned == 0 && overfill {
			_, left, planned = r.planCall(parts, overfillPart, wanted-weight)
		}
		parts, weight = left, weight+planned
	}
	if weight >= q.requiredWeight-weightTolerance {
		q.requiredWeight = min(weight, wanted) // a reduced requirement rises to what found capacity
		return parts, true
	}
	q.unplan(0)
	return nil, false
}
