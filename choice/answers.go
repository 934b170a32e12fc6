package choice

// When a query is answered, and how one ends that can't be.
//
//   - early end (query, partNow, expire, giveUp): nothing more can be earned, or come, or in part while there
//     is time for a second step; against late failures, late tries; costs what the part lacks.

import (
	"cmp"
	"math"
	"slices"
)

const (
	adviceShare = 0.25 // of the aim: when a refused client should come back
)

// answer answers from what is in; the first step of two goes on to the second.
func (r *Router) answer(q *query, whole bool) {
	r.do(Answer{ID: q.id, Whole: whole})
	q.inTime = r.now <= q.aimAt
	if q.step == 2 || q.class.FetchParts == 0 {
		r.end(q)
		return
	}
	r.release(q)
	q.step, q.at, q.whole, q.parts, q.got, q.need = 2, r.now, whole, nil, 0, 1
}

// giveUp ends a query that can't be answered whole any more: with what is in
// where the class allows it, else with a refusal or a failure.
func (r *Router) giveUp(q *query) {
	if q.class.MinShare < q.class.RequiredShare && q.got > 0 && q.got >= q.class.MinShare {
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
		r.do(Refuse{ID: q.id, RetryAfter: min(Micros(float64(q.class.LatencyTarget)*adviceShare), r.set.MaxRetryAfter)})
	}
	r.end(q)
}

// partNow gives an honest part of an answer when waiting on would earn less.
func (r *Router) partNow(q *query) {
	c := q.class
	if q.ended || q.step == 2 && r.now < q.aimAt || c.MinShare >= c.RequiredShare || q.got <= 0 || q.got < c.MinShare {
		return
	}
	if c.PartialValue*math.Pow(q.got/c.RequiredShare, cmp.Or(c.PartialExponent, 1)) > c.LateValue {
		r.giveUp(q)
	}
}

// lags tells that all that is missing is out at servers set apart and late there: the wait earns nothing.
func (q *query) lags() bool {
	late := func(a *attempt) bool { return a.sentAt+Micros(a.s.Slow*q.class.mid) > q.partAt }
	return !slices.ContainsFunc(q.parts, func(p *part) bool { return !p.served && !p.out(late) })
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
