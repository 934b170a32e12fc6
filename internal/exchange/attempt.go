package exchange

// This file contains the life of an attempt: it is created, handed to the upstream side, possibly
// cancelled, and its outcome is recorded.

import (
	"time"

	"saddleport/choice"
	"saddleport/sdk/hookabi"
)

// Attempt is one attempt to execute a part. The exported fields do not change once
// the upstream side has the attempt, except ConnNumber.
type Attempt struct {
	PartID      string
	Server      string
	Index       int // number of the attempt within its part, from 0
	Shard       int
	Text        string
	Deadline    time.Time // when the exchange stops waiting for the attempt
	ExtraFields string    // further options for the frame to the leaf server, ",name=value" each; the upstream side adds the remaining time
	ConnNumber  uint64    // number of the connection that carried the attempt; 0: none. It is owned by the upstream side.

	sentAt        time.Time
	part          *partState
	deadlineTimer *timer
	ended         bool
	cancelling    bool // cancelled; the upstream side reports the outcome or, while hooks run, cancel does

	outcomeDeferred bool // the attempt never ran, and the router has not been notified of that; segments.go says why
	awaitingHooks   bool // hooks are running; the upstream side does not have the attempt yet
	handedOver      bool // the upstream side has received the attempt
	neverRan        bool // the attempt has ended without having run
}

// UpstreamID returns the id that the answer to the attempt must carry.
func (a *Attempt) UpstreamID() string { return a.part.query.UpstreamID }

// QueryID returns the id of the query that the attempt belongs to.
func (a *Attempt) QueryID() string { return a.part.query.ID }

// Earlier returns the earlier attempts of the part, the first one first. It may be called only on the
// exchange's goroutine, for example in Upstream.Send. The slice may be kept: it does not change.
func (a *Attempt) Earlier() []*Attempt { return a.part.attempts[:a.Index:a.Index] }

// FanOut returns Query.FanOut of the query that the attempt belongs to.
func (a *Attempt) FanOut() bool { return a.part.query.FanOut }

// Abandoned reports whether the client of the attempt's query has disconnected. It may
// be called only on the exchange's goroutine, for example in Upstream.Send.
func (a *Attempt) Abandoned() bool { return a.part.query.abandoned }

// NonIdempotent reports whether the query that the attempt belongs to must not be
// executed more than once.
func (a *Attempt) NonIdempotent() bool { return a.part.query.NonIdempotent }

// send creates an attempt for a part and queues it for the upstream side.
func (x *Exchange) send(now time.Time, s choice.Send) {
	p := x.parts[s.ID]
	if p == nil {
		return
	}
	a := &Attempt{PartID: p.wireID, Server: s.Server, Index: len(p.attempts), Shard: p.Shard, Text: p.query.Text,
		sentAt: now, part: p}
	p.attempts = append(p.attempts, a)
	p.inFlight++
	timeout := p.query.deadline.Sub(now)
	if s.Timeout != 0 {
		timeout = min(boundedDelay(s.Timeout), timeout)
	}
	a.Deadline = now.Add(timeout)
	hooked := p.query.hookState != nil && p.query.hookState.Wants(hookabi.Send, p.query.class)
	// The attempt is not sent if the query has ended, the part was dropped or its
	// segment has moved, no time is left, the part has used up its attempts, or another
	// attempt is in flight and the settings do not allow parallel attempts.
	if p.query.ended || p.dropped || p.moved || timeout <= 0 || p.priorAttempts+len(p.attempts) > x.settings.Router.AttemptCap ||
		p.inFlight > 1 && !x.settings.Router.ParallelAttempts {
		x.Counters.Unsent.Add(1)
		x.AttemptEnded(a, choice.NotSent, nil, "")
		return
	}
	a.deadlineTimer = x.startTimer(a.Deadline, func() { x.cancel(a, choice.NoAnswer) })
	if hooked {
		x.callSendHooks(a)
		return
	}
	if p.query.hookState != nil || p.target != nil {
		a.ExtraFields = x.keyFields(p) + x.tagFields(p.query)
	}
	a.handedOver = true
	x.Counters.Sent.Add(1)
	x.pendingSends = append(x.pendingSends, a)
}

// flushSends hands the pending sends to the upstream side in a single call.
func (x *Exchange) flushSends() {
	if len(x.pendingSends) > 0 {
		x.upstream.Send(x.pendingSends)
		x.pendingSends = nil
	}
}

// cancel cancels an attempt. If the upstream side has the attempt, it reports the outcome
// once it has notified the leaf server, so that no further attempt of the part is sent
// before that. Otherwise the exchange reports the outcome itself: the attempt never ran.
func (x *Exchange) cancel(a *Attempt, v choice.Verdict) {
	if a.outcomeDeferred {
		x.reportNeverRan(a)
		return
	}
	if !a.ended && !a.cancelling {
		a.cancelling = true
		if a.awaitingHooks { // the upstream side has not received the attempt and never will
			x.AttemptEnded(a, choice.NotSent, nil, "")
			return
		}
		x.upstream.Cancel(a, v)
	}
}

// recordOutcome records how an attempt ended and notifies the router.
func (x *Exchange) recordOutcome(a *Attempt, v choice.Verdict, load []choice.Reading, value string) {
	if a.ended {
		return
	}
	a.ended = true
	x.stopTimer(a.deadlineTimer)
	a.neverRan = v == choice.Rejected || v == choice.NoConnection || v == choice.NotSent
	p := a.part
	p.inFlight--
	x.Counters.Outcomes[v].Add(1)
	if v == choice.Served && !p.query.ended {
		p.served, p.value = true, value
	} else if v == choice.ServerError {
		p.failureValue = value
	}
	if x.OnAttemptEnd != nil && a.handedOver {
		x.OnAttemptEnd(AttemptResult{Server: a.Server, Class: p.query.class, Latency: x.loop.Now().Sub(a.sentAt), Verdict: v})
	}
	if epoch, moved := movedTo(p, v, load); moved && !p.query.ended {
		x.parkMoved(a, epoch)
		if a.outcomeDeferred { // parkMoved has parked the part
			x.removeIfDone(p)
			return
		}
		v = choice.NotSent // the rejection does not mean that the server is busy
	}
	x.events = append(x.events, choice.Outcome{ID: p.id, Server: a.Server, Delay: x.loop.Now().Sub(a.sentAt).Microseconds(),
		Closed: p.served || p.query.ended, Attempt: a.Index, Verdict: v, Load: load})
	if p.query.hookState != nil && v == choice.Served && !p.query.ended {
		x.callAnsweredHooks(p)
	}
	if p.query.routing != nil && v == choice.Served && !p.query.ended {
		x.finishIfSettled(p.query)
	}
	x.removeIfDone(p)
}
