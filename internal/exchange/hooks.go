package exchange

// This file calls hooks at the points of a query's life. It owns the state of queries
// that hooks watch, the order of the points, and the fallback when no result arrives
// in time. It never blocks: each call has its own timer, and a result that arrives
// after the timer has fired is dropped. Queries that no hook watches don't get here.
//
// Two points have similar names: hookabi.Answered follows each part that was served,
// hookabi.Answer precedes the answer of the complete query. Answered without a package
// is the Ending of a query.

import (
	"slices"
	"time"

	"saddleport/choice"
	"saddleport/internal/core/hookrule"
	"saddleport/sdk/hookabi"
)

const (
	hookMargin = 3 * time.Millisecond // part of a query's time that is reserved for writing the answer
	hookGrace  = 2 * time.Millisecond // added to the timeout of a call; after that the call counts as unanswered
)

// Hooks decides which queries are watched.
type Hooks interface {
	// Begin is called once for each query received, on the exchange's goroutine. It
	// returns nil if no hook watches queries of the class.
	Begin(class string) QueryHooks
}

// QueryHooks is the set of hooks of one query. It stays the same for the life of the
// query. Its methods are called on the exchange's goroutine and must not block.
type QueryHooks interface {
	// Wants reports whether any hook is to be called at a point, and Timeout returns
	// how long all hooks of the point together may take.
	Wants(p hookabi.Point, class string) bool
	Timeout(p hookabi.Point, class string) time.Duration
	// Invoke calls the hooks with a view, which belongs to them from then on. done is
	// called once, from any goroutine, with those requests of the hooks that the rules of
	// core/hookrule grant (nil: none).
	Invoke(v *hookabi.View, within time.Duration, done func(*hookabi.Result))
	// Fallback returns the result to use if the hooks could not be called or did not
	// return in time.
	Fallback(p hookabi.Point, class string) *hookabi.Result
	// End is called once, after the final answer. If v is not nil, hooks may inspect it.
	End(v *hookabi.View)
}

// hookState is the state of a query that hooks watch.
type hookState struct {
	QueryHooks
	tags, notes     []hookabi.Pair
	incomplete      bool    // a hook forbids to mark the answer complete
	admitted        bool    // the router has the query
	decided         bool    // the answer of the query has been decided, by the router or by finishIfSettled
	pendingAnswered int     // calls at the point Answered that are in progress
	answer          *Final  // the answer decided on, without hits, until the hooks of the points Answered and Answer have returned; nil: undecided
	droppedWeight   float64 // sum of the weights of the parts that hooks dropped
}

// SetHooks sets the hooks. With forwardTags, tags set by hooks are forwarded to leaf
// servers. It must be called before Run.
func (x *Exchange) SetHooks(h Hooks, forwardTags bool) { x.hooks, x.forwardTags = h, forwardTags }

// callFirstHooks calls the hooks for a query that has just been received, then admits it.
func (x *Exchange) callFirstHooks(qs *queryState) {
	x.callHooks(qs, hookabi.Taken, nil, 0, func(r *hookabi.Result) {
		if !x.applyResult(qs, nil, r) {
			return
		}
		if r != nil && r.Class != "" {
			qs.class = r.Class
		}
		x.callHooks(qs, hookabi.Admission, nil, 0, func(r *hookabi.Result) {
			if x.applyResult(qs, nil, r) {
				qs.hookState.admitted = true
				x.admit(qs)
			}
		})
	})
}

// callHooks calls the hooks of a point and passes their result to then: immediately if
// there are none, otherwise later, and never once the query has ended.
func (x *Exchange) callHooks(qs *queryState, point hookabi.Point, p *partState, attempt int, then func(*hookabi.Result)) {
	state := qs.hookState
	if !state.Wants(point, qs.class) {
		then(nil)
		return
	}
	within := min(state.Timeout(point, qs.class), x.timeLeft(qs)-hookMargin)
	if within <= 0 {
		x.Counters.HookNoTime.Add(1)
		x.post(func() { // posted because the caller may be in the middle of a Turn
			if !qs.ended {
				then(state.Fallback(point, qs.class))
			}
		})
		return
	}
	x.Counters.HookCalls.Add(1)
	var timeoutTimer *timer
	resolved := false
	resolve := func(r *hookabi.Result) {
		if resolved {
			return
		}
		resolved = true
		x.stopTimer(timeoutTimer)
		if !qs.ended {
			then(r)
		}
	}
	timeoutTimer = x.startTimer(x.loop.Now().Add(within+hookGrace), func() {
		if !resolved {
			x.Counters.HookTimeouts.Add(1)
			resolve(state.Fallback(point, qs.class))
		}
	})
	state.Invoke(x.view(qs, point, p, attempt), within, func(r *hookabi.Result) { x.post(func() { resolve(r) }) })
}

// view returns what hooks see of a query. It is a copy, so that hooks never share
// memory with the exchange.
func (x *Exchange) view(qs *queryState, point hookabi.Point, at *partState, attempt int) *hookabi.View {
	x.hookSeed = x.hookSeed*6364136223846793005 + 1442695040888963407 // Knuth's MMIX generator; one step per view
	v := &hookabi.View{Point: point, ID: qs.ID, Class: qs.class, Key: qs.Key, Tenant: qs.Tenant, Text: qs.Text, Repeat: qs.ClientRetry,
		TakenAt: qs.ReceivedAt.UnixMicro(), Left: max(x.timeLeft(qs).Microseconds(), 0), Seed: x.hookSeed,
		Tags: slices.Clone(qs.hookState.tags), Notes: slices.Clone(qs.hookState.notes), Part: -1, Attempt: attempt,
		Parts: make([]hookabi.PartView, len(qs.parts))}
	share := 0.0
	for i, p := range qs.parts {
		v.Parts[i] = hookabi.PartView{Shard: p.Shard, Weight: p.Weight, Key: p.Key, Attempts: len(p.attempts),
			Served: p.served, Dropped: p.dropped}
		if p == at {
			v.Part = i
		}
		if p.served && (point == hookabi.Answer || point == hookabi.Answered && p == at) {
			v.Parts[i].Value = p.value
		}
		if p.served && !p.dropped {
			share += p.Weight
		}
	}
	if state := qs.hookState; point == hookabi.Answer && state.answer != nil {
		v.Ending, v.Whole, v.Share = endings[Answered], state.answer.Complete && !state.incomplete, share
	}
	return v
}

// applyResult applies a result of the hooks and reports whether the query continues.
// It does not apply Class; the caller does.
func (x *Exchange) applyResult(qs *queryState, at *partState, r *hookabi.Result) bool {
	if r == nil {
		return true
	}
	state := qs.hookState
	state.tags, state.notes = hookrule.Merge(state.tags, r.Tags), hookrule.Merge(state.notes, r.Notes)
	state.incomplete = state.incomplete || r.NotWhole
	if r.Left > 0 {
		// Time has passed since the view was made. Left counts from now, and the
		// deadline is never extended.
		if earlier := x.loop.Now().Add(time.Duration(r.Left) * time.Microsecond); earlier.Before(qs.deadline) {
			qs.deadline = earlier
			x.stopTimer(qs.deadlineTimer)
			x.startDeadlineTimer(qs)
		}
	}
	if len(r.Drop) > 0 {
		x.dropParts(qs, r)
	}
	if !r.Refuse {
		return true
	}
	retryAfter := time.Duration(r.RetryAfter) * time.Microsecond
	if retryAfter == 0 {
		retryAfter = x.retryAfter(qs.class)
	}
	x.Counters.HookRefused.Add(1)
	x.refuse(qs, r.Reason, retryAfter)
	return false
}

// dropParts drops parts of a query as long as the remaining ones still reach the class's
// MinShare. It drops nothing if the effect of the class is not Safe. The hook host has
// checked the result against the view (core/hookrule), but another call for the same
// query may have dropped a part since the view was made.
func (x *Exchange) dropParts(qs *queryState, r *hookabi.Result) {
	state, class := qs.hookState, x.class(qs.class)
	for _, p := range qs.parts {
		if p.dropped || !slices.Contains(r.Drop, p.Shard) || class.Effect != choice.Safe {
			continue
		}
		if !hookrule.MeetsMinShare(class, 1-state.droppedWeight-p.Weight) {
			continue
		}
		p.dropped = true
		state.droppedWeight += p.Weight
		x.Counters.HookDrops.Add(1)
	}
}

// refuse ends a query because hooks refuse it or leave too little of it. If a part with
// side effects may have run, the query fails instead: a refusal guarantees that sending
// the query again is safe, which is then unknown.
func (x *Exchange) refuse(qs *queryState, reason string, retryAfter time.Duration) {
	f := Final{Ending: Refused, RetryAfter: retryAfter, Reason: reason}
	if !hookrule.SafeToRefuse(x.class(qs.class).Effect, mayHaveRun(qs)) {
		f = Final{Ending: Failed, Reason: reason}
	}
	x.finish(qs, f)
	x.withdraw(qs)
}

// withdraw notifies the router that a query has ended that the router has and has not
// answered. A query that hooks watch reaches the router only once it is admitted; any
// other is at the router from the start.
func (x *Exchange) withdraw(qs *queryState) {
	if qs.routing != nil { // finish withdraws the query and its subqueries (closeSubqueries)
		return
	}
	if qs.hookState == nil || qs.hookState.admitted && !qs.hookState.decided {
		x.events = append(x.events, choice.ClientLeft{ID: qs.ID})
	}
}

// mayHaveRun reports whether any attempt of a query was handed over and has not been
// reported as one that never ran.
func mayHaveRun(qs *queryState) bool {
	for _, p := range qs.parts {
		for _, a := range p.attempts {
			if a.handedOver && !a.neverRan {
				return true
			}
		}
	}
	return false
}

// callSendHooks calls the hooks for an attempt, then hands the attempt over.
func (x *Exchange) callSendHooks(a *Attempt) {
	p := a.part
	qs := p.query
	a.awaitingHooks = true
	x.callHooks(qs, hookabi.Send, p, a.Index, func(r *hookabi.Result) {
		if !x.applyResult(qs, p, r) {
			x.recordOutcome(a, choice.NotSent, nil, "") // the upstream side will not receive the attempt
			return
		}
		a.awaitingHooks = false
		if a.cancelling { // cancel has reported the attempt as NotSent
			return
		}
		now := x.loop.Now()
		if p.dropped || !a.Deadline.After(now) {
			x.recordOutcome(a, choice.NotSent, nil, "")
			return
		}
		// The time that the hooks took must not count against the server.
		a.sentAt, a.ExtraFields, a.handedOver = now, x.keyFields(p)+x.tagFields(qs), true
		x.Counters.Sent.Add(1)
		x.pendingSends = append(x.pendingSends, a)
		x.flushSends()
	})
}

// tagFields returns the options of a frame that carry a query's tags.
func (x *Exchange) tagFields(qs *queryState) string {
	if !x.forwardTags || qs.hookState == nil {
		return ""
	}
	var b []byte
	for _, t := range qs.hookState.tags {
		b = append(b, ",t."...)
		b = append(b, t.Name...)
		b = append(b, '=')
		for i := range len(t.Value) { // spaces and the separators of the options would end the value
			if c := t.Value[i]; c > ' ' && c != ',' && c != '=' {
				b = append(b, c)
			} else {
				b = append(b, '_')
			}
		}
	}
	return string(b)
}

// callAnsweredHooks calls the hooks for a part that has been served, with the number of
// its newest attempt, which need not be the one that was served. The router has
// been notified already, so the time that the hooks take delays only this query and is
// not attributed to a server.
func (x *Exchange) callAnsweredHooks(p *partState) {
	qs := p.query
	if !qs.hookState.Wants(hookabi.Answered, qs.class) {
		return
	}
	qs.hookState.pendingAnswered++
	x.callHooks(qs, hookabi.Answered, p, max(len(p.attempts)-1, 0), func(r *hookabi.Result) {
		qs.hookState.pendingAnswered--
		if x.applyResult(qs, p, r) && qs.hookState.answer != nil && qs.hookState.pendingAnswered == 0 {
			x.callAnswerHooks(qs)
		}
	})
}

// answerDecided records that a query that hooks watch is to be answered, as the router or
// finishIfSettled decided. The answer is delivered once all hook calls for its parts and
// those of the point Answer have returned.
func (x *Exchange) answerDecided(qs *queryState, complete bool) {
	qs.hookState.decided, qs.hookState.answer = true, &Final{Ending: Answered, Complete: complete}
	if qs.hookState.pendingAnswered == 0 {
		x.callAnswerHooks(qs)
	}
}

// callAnswerHooks calls the hooks for the answer of a query, then delivers the answer.
func (x *Exchange) callAnswerHooks(qs *queryState) {
	x.callHooks(qs, hookabi.Answer, nil, 0, func(r *hookabi.Result) {
		if x.applyResult(qs, nil, r) {
			x.finishHooked(qs)
		}
	})
}

// finishHooked gives a query that hooks watch its answer, marked complete or not by the
// parts that were served.
func (x *Exchange) finishHooked(qs *queryState) {
	state, class := qs.hookState, x.class(qs.class)
	f, share := *state.answer, 0.0
	f.Hits, share = qs.hits(), qs.servedShare()
	if state.droppedWeight > 0 { // the router has decided on completeness without the dropped parts
		f.Complete = f.Complete && hookrule.MeetsRequiredShare(class, share)
		if !hookrule.MeetsMinShare(class, share) {
			x.refuse(qs, "too little is left of the answer", x.retryAfter(qs.class))
			return
		}
	}
	f.Complete = f.Complete && !state.incomplete
	x.finish(qs, f)
}

// endHooks lets the hooks inspect a query whose final answer has been delivered.
func (x *Exchange) endHooks(qs *queryState, f Final) {
	state := qs.hookState
	if !state.Wants(hookabi.Ended, qs.class) {
		state.End(nil)
		return
	}
	v := x.view(qs, hookabi.Ended, nil, 0)
	v.Ending, v.Whole = endings[f.Ending], f.Complete
	v.Share = qs.servedShare()
	state.End(v)
}

// class returns the settings of a class. A class that is not configured counts as unsafe
// and needs all of the answer.
func (x *Exchange) class(name string) choice.Class {
	for _, c := range x.settings.Router.Classes {
		if c.Name == name {
			return c
		}
	}
	return choice.Class{RequiredShare: 1, MinShare: 1, Effect: choice.Unsafe}
}
