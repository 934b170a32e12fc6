package choice

// When a query is answered, and how a query ends that can't be answered.
//
//   - early end (addQuery, answerPartially, expire, abandonQuery): no more value can be gained, no more parts
//     can be served, or a partial answer still leaves time for the second step; against late failures and
//     late client retries; costs the parts that are missing.

import (
	"cmp"
	"math"
	"slices"
)

const (
	retryAfterShare = 0.25 // of the latency target: after which a rejected client should retry
)

// answer answers a query from the parts served. The first of two steps is followed by the second.
func (r *Router) answer(q *query, complete bool) {
	r.addAction(Answer{ID: q.id, Whole: complete})
	q.onTime = r.now <= q.targetAt
	if q.step == 2 || q.class.FetchParts == 0 {
		r.endQuery(q)
		return
	}
	r.releaseParts(q)
	q.step, q.stepStartedAt, q.firstStepComplete, q.parts, q.servedWeight, q.requiredWeight =
		2, r.now, complete, nil, 0, 1
}

// abandonQuery ends a query that can no longer be answered completely: with a partial answer if the class
// allows it and enough is served, else with a rejection or a failure.
func (r *Router) abandonQuery(q *query) {
	if q.class.MinShare < q.class.RequiredShare && q.servedWeight > 0 && q.servedWeight >= q.class.MinShare {
		r.answer(q, false)
		return
	}
	r.refuse(q)
}

// refuse ends a query without an answer. It promises that a retry is harmless only where that is true.
func (r *Router) refuse(q *query) {
	if q.class.Effect != Safe && (q.step == 2 || q.mayHaveRun()) {
		r.addAction(Fail{ID: q.id})
	} else { // the advice is given whether or not RetryAdvice says that some clients follow it
		r.addAction(Refuse{ID: q.id, RetryAfter: min(Micros(float64(q.class.LatencyTarget)*retryAfterShare),
			r.settings.MaxRetryAfter)})
	}
	r.endQuery(q)
}

// answerPartially gives a partial answer, marked as such, if it is worth more than a late answer. It does
// nothing for a second step that still has time, for a class without partial answers, or if too little is
// served.
func (r *Router) answerPartially(q *query) {
	c := q.class
	if q.ended || q.step == 2 && r.now < q.targetAt || c.MinShare >= c.RequiredShare ||
		q.servedWeight <= 0 || q.servedWeight < c.MinShare {
		return
	}
	if c.PartialValue*math.Pow(q.servedWeight/c.RequiredShare, cmp.Or(c.PartialExponent, 1)) > c.LateValue {
		r.abandonQuery(q)
	}
}

// waitsOnlyForLate reports whether all missing parts are in flight and expected only after partialAt, so that
// waiting for them gains nothing: at ejected servers, which are slower by their factor Slow. Slow is 0 for
// other servers, whose attempts are late only if they were sent after partialAt.
func (q *query) waitsOnlyForLate() bool {
	late := func(a *attempt) bool { return a.sentAt+Micros(a.server.Slow*q.class.median) > q.partialAt }
	return !slices.ContainsFunc(q.parts, func(p *part) bool { return !p.served && !p.allInFlight(late) })
}

// expire ends a query whose time is up, even if attempts are still in flight.
func (r *Router) expire(q *query) {
	if q.ended {
		return
	}
	r.abandonQuery(q)
	if !q.ended { // abandonQuery has answered the first of two steps
		r.addAction(Fail{ID: q.id})
		r.endQuery(q)
	}
}
