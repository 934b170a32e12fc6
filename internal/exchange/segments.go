package exchange

// This file routes queries by the map of segments (core/placement), for installations
// that have one. A segment is a key range; the map assigns each segment to a cell, a
// group of servers that store it. This file owns how the segments that a client names
// become parts for the segments of the current map, what happens if a server rejects a
// part because it does not have the segment, and how values are returned under the
// segment ids that the client used. A *target* is one part that is sent: a segment, the
// keys wanted from it, and the client's parts that these keys belong to. The file never
// sends a part again that may have run, never puts a key into an answer twice and never
// chooses a server: the router gets the cell in place of the shard and selects a server
// there.
//
// A rejected part is sent again as part of a *subquery*: a further query to the router,
// for the rerouted parts alone. The outcome of the rejected attempt is withheld from the
// first query until the subquery has ended, because the router would abandon the entire
// query if it learned the outcome immediately.

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"saddleport/choice"
	"saddleport/internal/core/hookrule"
	"saddleport/internal/core/placement"
)

// MapSource obtains the maps of segments and passes them to UpdateMap. Its methods must
// not block.
type MapSource interface {
	// RequestEpoch requests a map of at least this epoch, because a server named an epoch
	// newer than the current map's.
	RequestEpoch(epoch int64)
}

// movedReading is the name of the load reading by which a server reports that it does
// not have the segment of a part. The value of the reading is the server's epoch.
const movedReading = "moved"

// segmentRouting is the state of an exchange that routes by a map.
type segmentRouting struct {
	source     MapSource
	maxTargets int // maximum number of targets of one query
	current    *placement.Map
	parked     map[*partState]bool // parts that wait for a newer map or for a timer
}

// routing is the state of a query that is routed by the map.
type routing struct {
	requests   []placement.PartRequest
	open       map[string]bool // ids of the query and its subqueries that the router has not ended
	subqueries int             // subqueries so far
	parked     int             // parts that are parked
	retryAfter time.Duration   // the longest RetryAfter of the router's refusals so far
}

// SetMapSource enables routing by a map. A query gets maxTargets targets at most. It
// must be called before Run.
func (x *Exchange) SetMapSource(s MapSource, maxTargets int) {
	x.segmentRouting = &segmentRouting{source: s, maxTargets: maxTargets, parked: make(map[*partState]bool)}
}

// UpdateMap replaces the map by a newer one.
func (x *Exchange) UpdateMap(m *placement.Map) {
	x.post(func() {
		s := x.segmentRouting
		if m.Epoch() <= s.current.Epoch() {
			return
		}
		s.current = m
		for p := range s.parked {
			if p.wantedEpoch <= m.Epoch() {
				x.reroute(p)
			}
		}
	})
}

// createParts creates the parts of a query: those that the client named or, if there is a
// map of segments, one for each target. It fails if the map cannot route the query.
func (x *Exchange) createParts(qs *queryState) error {
	if x.segmentRouting == nil {
		for _, p := range qs.Parts {
			qs.parts = append(qs.parts, &partState{Part: p, id: partID(qs.Query, p), wireID: partID(qs.Query, p), query: qs})
		}
		return nil
	}
	r := &routing{open: map[string]bool{qs.ID: true}}
	for _, p := range qs.Parts {
		r.requests = append(r.requests, placement.PartRequest{Segment: uint32(p.Shard), Range: p.Range, Weight: p.Weight})
	}
	targets, err := x.segmentRouting.current.Route(r.requests, x.segmentRouting.maxTargets)
	if err != nil {
		return err
	}
	qs.routing = r
	for i := range targets {
		qs.parts = append(qs.parts, x.newTargetPart(qs, &targets[i], ""))
		qs.parts[i].subquery = qs.ID
	}
	return nil
}

// newTargetPart creates the part for a target. idSuffix makes the id for the router
// unique; the id for the leaf servers does not include it.
func (x *Exchange) newTargetPart(qs *queryState, t *placement.Target, idSuffix string) *partState {
	p := Part{Shard: int(t.Segment), Weight: t.Weight()}
	if len(t.Shares) == 1 { // the target serves one part of the client: its key and cost apply
		from := qs.Parts[t.Shares[0].Request]
		p.Key, p.Hinted, p.Cost = from.Key, from.Hinted, from.Cost
	}
	wireID := qs.ID + "." + strconv.Itoa(p.Shard)
	return &partState{Part: p, id: wireID + idSuffix, wireID: wireID, query: qs, target: t}
}

// routerShard returns the number that the router uses as the part's shard: the cell if
// there is a map of segments, otherwise the shard.
func (p *partState) routerShard() int {
	if p.target != nil {
		return p.target.Cell
	}
	return p.Shard
}

// keyFields returns the options of a frame that describe a part's keys: the epoch of the
// map that is current now, and the key ranges wanted. The map may have been replaced
// since the part was routed.
func (x *Exchange) keyFields(p *partState) string {
	if p.target == nil {
		return ""
	}
	var b strings.Builder
	b.WriteString(",e=" + strconv.FormatInt(x.segmentRouting.current.Epoch(), 10) + ",r=")
	for i, r := range p.target.Ranges() {
		if i > 0 {
			b.WriteByte(';')
		}
		b.WriteString(url.QueryEscape(r.From) + ".." + url.QueryEscape(r.To))
	}
	return b.String()
}

// movedTo reports whether a server rejected a part because it does not have the segment,
// and returns the server's epoch.
func movedTo(p *partState, v choice.Verdict, load []choice.Reading) (epoch int64, ok bool) {
	if p.target == nil || v != choice.Rejected {
		return 0, false
	}
	for _, r := range load {
		if r.Name == movedReading {
			return int64(r.Value), true
		}
	}
	return 0, false
}

// parkMoved handles the rejection of a part by a server that does not have the segment.
// If the part may be sent again, it is parked until a newer map or a timer lets it be
// rerouted, and the attempt's outcomeDeferred is set. Otherwise (too many rejections, no
// time left, or no attempts left) it is not parked. In both cases the attempt never ran.
func (x *Exchange) parkMoved(a *Attempt, epoch int64) {
	p := a.part
	qs := p.query
	x.Counters.Moved.Add(1)
	p.moved = true
	p.moveRejections++
	s := x.segmentRouting
	current := s.current.Epoch()
	if epoch > current {
		s.source.RequestEpoch(epoch)
	}
	t := placement.AfterRejection(p.moveRejections, epoch, current, x.timeLeft(qs).Microseconds())
	if t.Abandon || p.priorAttempts+len(p.attempts) >= x.settings.Router.AttemptCap {
		return
	}
	a.outcomeDeferred = true
	p.wantedEpoch = max(epoch, current)
	if epoch <= current {
		p.wantedEpoch = current + 1 // the current map did not help, so wait for a newer one
	}
	s.parked[p] = true // bounded by the parts of the open queries: closeSubqueries removes those of a query that ends
	qs.routing.parked++
	p.rerouteTimer = x.startTimer(x.loop.Now().Add(time.Duration(t.Delay)*time.Microsecond), func() { x.reroute(p) })
}

// reroute sends a parked part again, routed by the current map.
func (x *Exchange) reroute(p *partState) {
	s, qs := x.segmentRouting, p.query
	if !s.parked[p] {
		return
	}
	delete(s.parked, p)
	x.stopTimer(p.rerouteTimer)
	qs.routing.parked--
	if qs.ended {
		return
	}
	targets, err := s.current.Reroute(p.target, s.maxTargets)
	if err != nil || x.timeLeft(qs) <= 0 {
		x.reportDeferredOutcomes(p)
		return
	}
	if qs.segmentInUse(p, targets) {
		s.parked[p] = true
		qs.routing.parked++
		p.rerouteTimer = x.startTimer(x.loop.Now().Add(segmentInUsePause), func() { x.reroute(p) })
		return
	}
	qs.routing.subqueries++
	subquery := qs.ID + "~" + strconv.Itoa(qs.routing.subqueries)
	p.replaced = true
	p.subqueries = append(p.subqueries, subquery)
	qs.routing.open[subquery], x.queries[subquery] = true, qs
	x.lastNumber++
	class := x.class(qs.class)
	ev := choice.Query{ID: subquery, Class: qs.class, Number: x.lastNumber, Key: qs.Key, Tenant: qs.Tenant,
		Grace: max(x.timeLeft(qs).Microseconds(), 0), Parts: len(targets)}
	x.events = append(x.events, ev)
	weight := p.target.Weight()
	for i := range targets {
		n := x.newTargetPart(qs, &targets[i], "~"+strconv.Itoa(qs.routing.subqueries))
		n.subquery = subquery
		n.priorAttempts, n.moveRejections, n.replaces = p.priorAttempts+len(p.attempts), p.moveRejections, p
		qs.parts = append(qs.parts, n)
		x.parts[n.id] = n
		// A subquery needs all of its parts: their weights add up to what the class needs.
		x.events = append(x.events, choice.Part{ID: n.id, Class: qs.class, Number: ev.Number, Key: n.Key,
			Shard: n.routerShard(), Weight: class.RequiredShare * n.Weight / weight})
	}
	x.post(func() {}) // requests another Turn because the caller may be in the middle of one
}

// segmentInUsePause is the interval at which a parked part checks whether its segment is
// still in use by another part of the query.
const segmentInUsePause = 5 * time.Millisecond

// segmentInUse reports whether another live part of the query uses a segment that p would
// now be sent to. That happens when two parts are rejected one after the other and their
// segments have been merged since. Both would be sent under the same id, like a part with
// two attempts in flight, so the second waits for the first.
func (qs *queryState) segmentInUse(p *partState, targets []placement.Target) bool {
	for _, o := range qs.parts {
		live := o.inFlight > 0 || !o.served && !o.replaced && qs.routing.open[o.subquery]
		if o == p || !live {
			continue
		}
		for i := range targets {
			if uint32(o.Shard) == targets[i].Segment {
				return true
			}
		}
	}
	return false
}

// reportNeverRan notifies the router of an attempt that never ran, if that has been
// deferred.
func (x *Exchange) reportNeverRan(a *Attempt) {
	if !a.outcomeDeferred {
		return
	}
	a.outcomeDeferred = false
	x.events = append(x.events, choice.Outcome{ID: a.part.id, Server: a.Server, Delay: x.loop.Now().Sub(a.sentAt).Microseconds(),
		Closed: a.part.query.ended, Attempt: a.Index, Verdict: choice.NotSent})
	x.post(func() {}) // requests another Turn, as in reroute
}

// reportDeferredOutcomes notifies the router of all attempts of a part whose outcome has
// been deferred.
func (x *Exchange) reportDeferredOutcomes(p *partState) {
	for _, a := range p.attempts {
		x.reportNeverRan(a)
	}
}

// routerQueryEnded handles the end, at the router, of a query that is routed by the map or
// of one of its subqueries, whether it was answered, refused or failed.
func (x *Exchange) routerQueryEnded(qs *queryState, id string, retryAfter time.Duration) {
	r := qs.routing
	delete(r.open, id)
	if id != qs.ID {
		delete(x.queries, id)
	}
	r.retryAfter = max(r.retryAfter, retryAfter)
	// If a subquery ended without serving the parts that replace p, the router now learns
	// that the attempts of p never ran, and may send p again or end the query.
	for _, p := range qs.parts {
		if len(p.subqueries) > 0 && p.subqueries[len(p.subqueries)-1] == id && !x.replacementServed(qs, p) {
			x.reportDeferredOutcomes(p)
		}
	}
	x.finishIfSettled(qs)
}

// replacementServed reports whether all parts that replace a part have been served.
func (x *Exchange) replacementServed(qs *queryState, p *partState) bool {
	for _, n := range qs.parts {
		if n.replaces == p && !n.served && !(n.replaced && x.replacementServed(qs, n)) {
			return false
		}
	}
	return true
}

// servedShare returns the sum of the weights of the parts that have been served.
func (qs *queryState) servedShare() float64 {
	sum := 0.0
	for _, p := range qs.parts {
		if p.served && !p.dropped && !p.replaced {
			sum += p.Weight
		}
	}
	return sum
}

// finishIfSettled ends a query that is routed by the map once enough parts have been
// served or no further part can be.
func (x *Exchange) finishIfSettled(qs *queryState) {
	if qs.ended || qs.hookState != nil && qs.hookState.answer != nil {
		return
	}
	class, share := x.class(qs.class), qs.servedShare()
	switch {
	case hookrule.MeetsRequiredShare(class, share):
		x.answer(qs, true)
	case len(qs.routing.open) > 0 || qs.routing.parked > 0: // further parts may still be served
	case class.MinShare < class.RequiredShare && hookrule.MeetsMinShare(class, share):
		x.answer(qs, false)
	case hookrule.SafeToRefuse(class.Effect, mayHaveRun(qs)):
		x.finish(qs, Final{Ending: Refused, RetryAfter: max(qs.routing.retryAfter, x.retryAfter(qs.class))})
	default:
		x.finish(qs, Final{Ending: Failed})
	}
}

// answer ends a query with the parts that have been served.
func (x *Exchange) answer(qs *queryState, complete bool) {
	if qs.hookState != nil {
		x.answerDecided(qs, complete)
		return
	}
	x.finish(qs, Final{Ending: Answered, Complete: complete, Hits: qs.hits()})
}

// closeSubqueries withdraws an ended query and its subqueries from the router and removes
// its parked parts. The event is ClientLeft, also if the client has not disconnected: the
// router has no other event that withdraws a query.
func (x *Exchange) closeSubqueries(qs *queryState) {
	for id := range qs.routing.open {
		delete(x.queries, id)
		x.events = append(x.events, choice.ClientLeft{ID: id})
	}
	for _, p := range qs.parts {
		if x.segmentRouting.parked[p] {
			delete(x.segmentRouting.parked, p)
			x.stopTimer(p.rerouteTimer)
		}
		x.reportDeferredOutcomes(p)
	}
	x.post(func() {}) // requests another Turn, as in reroute
}

// hits returns the values of the parts that have been served, under the shards or segment
// ids that the client used.
func (qs *queryState) hits() []Hit {
	if qs.routing == nil {
		var out []Hit
		for _, p := range qs.parts {
			if p.served && !p.dropped {
				out = append(out, Hit{Shard: p.Shard, Value: p.value})
			}
		}
		return out
	}
	type piece struct {
		keys placement.Range
		part *partState
	}
	returned := make(map[*partState]int) // the shard whose hit contains the value of the part
	var out []Hit
	for i, requested := range qs.Parts {
		var pieces []piece
		missing := false
		for _, p := range qs.parts {
			if p.replaced {
				continue
			}
			for _, s := range p.target.Shares {
				if s.Request != i {
					continue
				}
				if p.served && !p.dropped {
					pieces = append(pieces, piece{s.Range, p})
				} else {
					missing = true
				}
			}
		}
		if len(pieces) == 0 {
			continue
		}
		for j := 1; j < len(pieces); j++ { // insertion sort by key: there are few pieces
			for k := j; k > 0 && pieces[k].keys.From < pieces[k-1].keys.From; k-- {
				pieces[k], pieces[k-1] = pieces[k-1], pieces[k]
			}
		}
		hit := Hit{Shard: requested.Shard}
		var values []string
		for _, pc := range pieces {
			if missing {
				hit.Covers = append(hit.Covers, pc.keys)
			}
			if shard, known := returned[pc.part]; known {
				if shard != requested.Shard {
					hit.AlsoIn = append(hit.AlsoIn, shard)
				}
				continue
			}
			returned[pc.part] = requested.Shard
			values = append(values, pc.part.value)
		}
		hit.Value = strings.Join(values, "\n")
		out = append(out, hit)
	}
	return out
}
