package exchange

// The seam at which hooks stand beside a query's life. This file owns what a
// query that hooks watch holds beyond others, the order of its points, and what
// becomes of it when no ruling comes in time. It must never wait: each ask has an
// alarm of its own, and what comes after that is dropped. A query that no hook
// watches never gets here.

import (
	"slices"
	"time"

	"saddleport/choice"
	"saddleport/internal/core/hookrule"
	"saddleport/sdk/hookabi"
)

const (
	hookMargin = 3 * time.Millisecond // kept of a query's time for the answer itself
	hookGrace  = 2 * time.Millisecond // beyond the time an ask was given: then it counts as unanswered
)

// Hooks decides which queries are watched.
type Hooks interface {
	// Begin is called once for each query taken, on the exchange's goroutine. It
	// returns nil where no hook watches queries of the class.
	Begin(class string) Hooked
}

// Hooked are the hooks of one query. They are the same set for all its life. Its
// methods are called on the exchange's goroutine and must not block.
type Hooked interface {
	// Wants tells whether any hook is asked at a point, and Wait how long they may
	// take together.
	Wants(p hookabi.Point, class string) bool
	Wait(p hookabi.Point, class string) time.Duration
	// Ask shows a view; it is the hooks' from then on. done is called once, from any
	// goroutine, with what was granted (nil: nothing).
	Ask(v *hookabi.View, within time.Duration, done func(*hookabi.Result))
	// Unanswered is what holds where an ask could not be made, or its time is over.
	Unanswered(p hookabi.Point, class string) *hookabi.Result
	// End is called once, after the final answer. With a view, hooks may look at it.
	End(v *hookabi.View)
}

// watched is what is held for a query that hooks watch.
type watched struct {
	Hooked
	tags, notes []hookabi.Pair
	notWhole    bool
	admitted    bool // the decisions have it
	decided     bool // and are done with it
	asking      int  // Answered asks that are out
	answer      *Final
	gone        float64 // weight dropped
}

// SetHooks puts hooks beside the queries taken from then on; tags are passed on
// to leaf servers where that is wanted. It must be called before Run.
func (x *Exchange) SetHooks(h Hooks, forwardTags bool) { x.hooks, x.forwardTags = h, forwardTags }

// begin has the hooks see a query that has just been taken, then admits it.
func (x *Exchange) begin(h *held) {
	x.ask(h, hookabi.Taken, nil, 0, func(r *hookabi.Result) {
		if !x.grant(h, nil, r) {
			return
		}
		if r != nil && r.Class != "" {
			h.class = r.Class
		}
		x.ask(h, hookabi.Admission, nil, 0, func(r *hookabi.Result) {
			if x.grant(h, nil, r) {
				h.watched.admitted = true
				x.admit(h)
			}
		})
	})
}

// ask asks at a point and calls then with the ruling: at once where nobody is to
// be asked, else later, and never once the query has ended.
func (x *Exchange) ask(h *held, point hookabi.Point, p *part, attempt int, then func(*hookabi.Result)) {
	k := h.watched
	if !k.Wants(point, h.class) {
		then(nil)
		return
	}
	within := min(k.Wait(point, h.class), time.Until(h.deadline)-hookMargin)
	if within <= 0 {
		x.Counters.HookShort.Add(1)
		x.post(func() { // the caller may be in the middle of a turn
			if !h.ended {
				then(k.Unanswered(point, h.class))
			}
		})
		return
	}
	x.Counters.HookAsks.Add(1)
	var alarm *timer
	settled := false
	settle := func(r *hookabi.Result) {
		if settled {
			return
		}
		settled = true
		x.drop(alarm)
		if !h.ended {
			then(r)
		}
	}
	alarm = x.after(x.drive.Now().Add(within+hookGrace), func() {
		if !settled {
			x.Counters.HookLate.Add(1)
			settle(k.Unanswered(point, h.class))
		}
	})
	k.Ask(x.view(h, point, p, attempt), within, func(r *hookabi.Result) { x.post(func() { settle(r) }) })
}

// view is what hooks see of a query: a copy, so that nothing they hold is ours.
func (x *Exchange) view(h *held, point hookabi.Point, at *part, attempt int) *hookabi.View {
	x.seeds = x.seeds*6364136223846793005 + 1442695040888963407 // Knuth's MMIX; one for each ask
	v := &hookabi.View{Point: point, ID: h.ID, Class: h.class, Key: h.Key, Tenant: h.Tenant, Text: h.Text, Repeat: h.Repeat,
		TakenAt: h.TakenAt.UnixMicro(), Left: max(time.Until(h.deadline).Microseconds(), 0), Seed: x.seeds,
		Tags: slices.Clone(h.watched.tags), Notes: slices.Clone(h.watched.notes), Part: -1, Attempt: attempt,
		Parts: make([]hookabi.PartView, len(h.parts))}
	got := 0.0
	for i, p := range h.parts {
		v.Parts[i] = hookabi.PartView{Shard: p.Shard, Weight: p.Weight, Key: p.Key, Attempts: len(p.attempts),
			Served: p.served, Dropped: p.dropped}
		if p == at {
			v.Part = i
		}
		if p.served && (point == hookabi.Answer || point == hookabi.Answered && p == at) {
			v.Parts[i].Value = p.value
		}
		if p.served && !p.dropped {
			got += p.Weight
		}
	}
	if k := h.watched; point == hookabi.Answer && k.answer != nil {
		v.Ending, v.Whole, v.Share = endings[Answered], k.answer.Whole && !k.notWhole, got
	}
	return v
}

// grant does what a ruling says and tells whether the query goes on. Class is
// left to the caller.
func (x *Exchange) grant(h *held, at *part, r *hookabi.Result) bool {
	if r == nil {
		return true
	}
	k := h.watched
	k.tags, k.notes = hookrule.Merge(k.tags, r.Tags), hookrule.Merge(k.notes, r.Notes)
	k.notWhole = k.notWhole || r.NotWhole
	if r.Left > 0 {
		// The view was made a moment ago: what is left is counted from now, never up.
		if sooner := x.drive.Now().Add(time.Duration(r.Left) * time.Microsecond); sooner.Before(h.deadline) {
			h.deadline = sooner
			x.drop(h.alarm)
			x.guard(h)
		}
	}
	if len(r.Drop) > 0 {
		x.dropParts(h, r)
	}
	if !r.Refuse {
		return true
	}
	advice := time.Duration(r.RetryAfter) * time.Microsecond
	if advice == 0 {
		advice = x.advice(h.class)
	}
	x.Counters.HookRefused.Add(1)
	x.turnAway(h, r.Reason, advice)
	return false
}

// dropParts takes parts out of a query where what is left still makes an honest
// answer. The rules have been checked on the view; since then another ask of the
// same query may have dropped one too.
func (x *Exchange) dropParts(h *held, r *hookabi.Result) {
	k, class := h.watched, x.class(h.class)
	for _, p := range h.parts {
		if p.dropped || !slices.Contains(r.Drop, p.Shard) || class.Effect != choice.Safe {
			continue
		}
		if !hookrule.MeetsMinShare(class, 1-k.gone-p.Weight) {
			continue
		}
		p.dropped = true
		k.gone += p.Weight
		x.Counters.HookDrops.Add(1)
	}
}

// turnAway ends a query on a hook's word. Where a part that can do harm may have
// run it has failed: a refusal would promise what nobody knows.
func (x *Exchange) turnAway(h *held, reason string, advice time.Duration) {
	f := Final{Ending: Refused, RetryAfter: advice, Reason: reason}
	if !hookrule.SafeToRefuse(x.class(h.class).Effect, mayHaveRun(h)) {
		f = Final{Ending: Failed, Reason: reason}
	}
	x.end(h, f)
	x.withdraw(h)
}

// withdraw tells the decisions that a query of theirs has ended without them.
func (x *Exchange) withdraw(h *held) {
	if h.placed != nil { // its legs are closed with it
		return
	}
	if h.watched == nil || h.watched.admitted && !h.watched.decided {
		x.events = append(x.events, choice.ClientLeft{ID: h.ID})
	}
}

// mayHaveRun tells whether any attempt of a query was handed over and has not
// come back as one that never ran.
func mayHaveRun(h *held) bool {
	for _, p := range h.parts {
		for _, a := range p.attempts {
			if a.handed && !a.neverRan {
				return true
			}
		}
	}
	return false
}

// askSend has the hooks see an attempt before it is handed over.
func (x *Exchange) askSend(a *Attempt) {
	p := a.part
	h := p.q
	a.asking = true
	x.ask(h, hookabi.Send, p, a.Index, func(r *hookabi.Result) {
		a.asking = false
		if !x.grant(h, p, r) || a.giving {
			return
		}
		now := x.drive.Now()
		if p.dropped || !a.Until.After(now) {
			x.outcome(a, choice.NotSent, nil, "")
			return
		}
		// What the hooks took is not the server's doing.
		a.sentAt, a.Extra, a.handed = now, x.names(p)+x.extra(h), true
		x.Counters.Sent.Add(1)
		x.sends = append(x.sends, a)
		x.flush()
	})
}

// extra is what a frame's list carries beside the time.
func (x *Exchange) extra(h *held) string {
	if !x.forwardTags || h.watched == nil {
		return ""
	}
	var b []byte
	for _, t := range h.watched.tags {
		b = append(b, ",t."...)
		b = append(b, t.Name...)
		b = append(b, '=')
		for i := range len(t.Value) { // a list's own marks and spaces would end the word
			if c := t.Value[i]; c > ' ' && c != ',' && c != '=' {
				b = append(b, c)
			} else {
				b = append(b, '_')
			}
		}
	}
	return string(b)
}

// askAnswered has the hooks see a value that is in. The decisions have it already:
// what the hooks take is their query's alone, and no server's.
func (x *Exchange) askAnswered(p *part) {
	h := p.q
	if !h.watched.Wants(hookabi.Answered, h.class) {
		return
	}
	h.watched.asking++
	x.ask(h, hookabi.Answered, p, max(len(p.attempts)-1, 0), func(r *hookabi.Result) {
		h.watched.asking--
		if x.grant(h, p, r) && h.watched.answer != nil && h.watched.asking == 0 {
			x.askAnswer(h)
		}
	})
}

// decide takes the decisions' answer to a query that hooks watch. It goes out
// once what was asked about its parts is settled.
func (x *Exchange) decide(h *held, whole bool) {
	h.watched.decided, h.watched.answer = true, &Final{Ending: Answered, Whole: whole}
	if h.watched.asking == 0 {
		x.askAnswer(h)
	}
}

func (x *Exchange) askAnswer(h *held) {
	x.ask(h, hookabi.Answer, nil, 0, func(r *hookabi.Result) {
		if x.grant(h, nil, r) {
			x.conclude(h)
		}
	})
}

// conclude gives a watched query its answer, marked by what is in it.
func (x *Exchange) conclude(h *held) {
	k, class := h.watched, x.class(h.class)
	f, share := *k.answer, 0.0
	f.Hits, share = h.hits(), h.share()
	if k.gone > 0 { // the decisions' mark did not know of that
		f.Whole = f.Whole && hookrule.MeetsRequiredShare(class, share)
		if !hookrule.MeetsMinShare(class, share) {
			x.turnAway(h, "too little is left of the answer", x.advice(h.class))
			return
		}
	}
	f.Whole = f.Whole && !k.notWhole
	x.end(h, f)
}

// ended lets the hooks look at a query whose final answer is out.
func (x *Exchange) endHooks(h *held, f Final) {
	k := h.watched
	if !k.Wants(hookabi.Ended, h.class) {
		k.End(nil)
		return
	}
	v := x.view(h, hookabi.Ended, nil, 0)
	v.Ending, v.Whole = endings[f.Ending], f.Whole
	v.Share = h.share()
	k.End(v)
}

func (x *Exchange) class(name string) choice.Class {
	for _, c := range x.set.Router.Classes {
		if c.Name == name {
			return c
		}
	}
	return choice.Class{RequiredShare: 1, MinShare: 1, Effect: choice.Unsafe}
}
