package choice

// What is sent beside first sends: redundant parts, hedges and retries, and their budgets.
//
//   - hedges (scheduleMore, remainingBudget): a part is overdue in a class far below its latency target;
//     against slow or unresponsive replicas; does harm under overload.
//   - canary part (queryOfDeath, admit): a query lost every connection; against queries that crash servers;
//     delays the queries of its class.

import "slices"

const (
	redundantShare      = 0.15 // share of the requirement; more parts are sent if some fail or are late
	queryOfDeathLosses  = 2    // lost connections, with no part served, that suggest a query of death
	defaultHedgeRatio   = 0.20 // hedges per part, where no budget is set
	hedgeBudgetShare    = 0.25 // of the remaining budget: what one query may use of it for hedges
	defaultRetryRatio   = 0.5  // extra attempts of all sorts per part, where no budget is set
	defaultBudgetMin    = 10.0
	defaultBudgetWindow = 10_000_000 // microseconds
	rescheduleDelay     = 0.05       // of the latency target: the delay before unsent parts are tried again
)

// planRedundantParts plans some of the parts beyond the requirement, at servers with ample capacity: at most
// extraWindowShare of a window is used.
func (r *Router) planRedundantParts(q *query, rest []*part) {
	wanted := q.requiredWeight * redundantShare
	// Half a part's weight is subtracted to round to the nearest number of parts, at least one.
	for i := 0; len(rest) > 0 && (i == 0 || wanted > rest[0].weight/2); i++ {
		var planned float64
		_, rest, planned = r.planCall(rest, redundantPart, wanted-rest[0].weight/2)
		wanted -= planned
	}
}

// scheduleMore keeps enough weight in flight for a complete answer. It sends parts not sent yet first, then
// retries of failed ones, then hedges of overdue ones.
func (r *Router) scheduleMore(q *query) {
	if q.ended || r.now >= q.endsAt || len(q.parts) == 0 { // a second step has no parts until they arrive
		return
	}
	if q.lostConnections >= queryOfDeathLosses && q.servedWeight == 0 && q.step == 1 {
		r.queryOfDeath(q)
		return
	}
	expected, possible := q.servedWeight, q.servedWeight
	var unsent, failed, late []*part
	for _, p := range q.parts {
		if p.served {
			continue
		}
		switch inFlight, overdue := p.countInFlight(); {
		case inFlight > overdue:
			expected += p.weight
			possible += p.weight
		case len(p.attempts) == 0:
			if !q.canary || q.servedWeight > 0 {
				unsent = append(unsent, p)
			}
			possible += p.weight
		case inFlight > 0:
			late = append(late, p)
			possible += p.weight
		// A part whose shard has no budget left is not attempted again: a retry by the client, unlike one by
		// the router, is not charged to the budget.
		case r.mayAttemptAgain(p) &&
			(!r.settings.RetryBudgetPerShard || r.remainingBudget(p, admittedPart) >= 1):
			failed = append(failed, p)
			possible += p.weight
		}
	}
	if possible < q.minAnswerWeight()-weightTolerance {
		r.abandonQuery(q)
		return
	}
	r.planNumber++
	expected += r.sendMore(r.orderParts(unsent, true), admittedPart, q.requiredWeight-expected)
	expected += r.sendMore(r.orderParts(failed, false), admittedPart, q.requiredWeight-expected)
	// The rest of the budget goes to queries that a few hedges complete, of classes that are not slow as a
	// whole: there all parts are late, and hedges add work for which the tier lacks capacity.
	few := len(late) > 0 && float64(len(late)) <= max(1, r.remainingBudget(late[0], hedge)*hedgeBudgetShare)
	if few && q.class.median < headroomBelow*float64(q.class.LatencyTarget) {
		expected += r.sendMore(r.orderParts(slices.DeleteFunc(late, r.mayNotAttemptAgain), false), hedge,
			q.requiredWeight-expected)
	}
	if expected < q.requiredWeight-weightTolerance && q.nextScheduleAt <= r.now {
		delay := Micros(float64(q.class.LatencyTarget) * rescheduleDelay)
		q.nextScheduleAt = r.now + delay
		r.setTimer(delay, (*scheduleTask)(q))
	}
}

// queryOfDeath handles a query that may crash every server it reaches: parts lost their connections at
// servers not yet suspected, and none was served. It sends nothing more, and abandons the query once every
// attempt in flight is overdue. For the Deadline of its class from then on, in which the client may retry,
// queries of the class send one part first, as a canary.
func (r *Router) queryOfDeath(q *query) {
	inTime := func(p *part) bool { inFlight, overdue := p.countInFlight(); return inFlight > overdue }
	if !slices.ContainsFunc(q.parts, inTime) {
		q.class.canaryUntil = r.now + q.class.Deadline
		r.abandonQuery(q)
	}
}

// mayAttemptAgain reports whether the limits and the class's effect allow another attempt of p now.
func (r *Router) mayAttemptAgain(p *part) bool {
	if len(p.attempts) >= r.maxAttempts(p.query.class) {
		return false
	}
	inFlight, _ := p.countInFlight()
	if inFlight > 0 && !r.settings.ParallelAttempts {
		return false
	}
	for _, a := range p.attempts {
		if !a.mayHaveRun {
			continue
		}
		switch c := p.query.class; c.Effect {
		case Unsafe:
			return false
		case Keyed:
			return r.now-a.sentAt <= c.DedupWindow-r.settings.Resolution
		}
	}
	return true
}

func (r *Router) mayNotAttemptAgain(p *part) bool { return !r.mayAttemptAgain(p) }

// sendMore sends parts of an admitted query as far as they are wanted and budget and capacity allow. It
// returns the weight sent.
func (r *Router) sendMore(parts []*part, kind sendKind, wanted float64) (sent float64) {
	for len(parts) > 0 && sent < wanted-weightTolerance {
		again := len(parts[0].attempts) > 0
		if again && r.remainingBudget(parts[0], kind) < 1 {
			if !r.settings.RetryBudgetPerShard {
				return sent
			}
			parts = parts[1:]
			continue
		}
		call, rest, planned := r.planCall(parts, kind, wanted-sent)
		for _, p := range call {
			if again {
				log := r.budgetLogOf(p.shard)
				log.extraAttempts = append(log.extraAttempts, r.now)
			}
			r.send(p.attempts[len(p.attempts)-1])
		}
		parts, sent = rest, sent+planned
	}
	return sent
}

// remainingBudget returns how many extra attempts the configured budget, or else the default one, still
// allows now, counted over the last budget window. Without a bound, the extra attempts made during a fault
// would become a fault themselves.
func (r *Router) remainingBudget(p *part, kind sendKind) float64 {
	log := r.budgetLogOf(p.shard)
	window, minimum, ratio := Micros(defaultBudgetWindow), defaultBudgetMin, defaultHedgeRatio
	if kind == admittedPart {
		ratio = defaultRetryRatio
	}
	if r.settings.RetryBudget {
		window, minimum, ratio = r.settings.RetryBudgetWindow, r.settings.RetryBudgetMin,
			r.settings.RetryBudgetRatio
	}
	log.arrivals, log.extraAttempts = dropBefore(log.arrivals, r.now-window+1),
		dropBefore(log.extraAttempts, r.now-window)
	return minimum + ratio*float64(len(log.arrivals)) - float64(len(log.extraAttempts))
}
