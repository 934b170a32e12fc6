package exchange

// Routing by the map of segments (core/placement), where an installation has one.
// This file owns how a client's parts become parts for the segments in force, what
// happens when a server says that it does not hold one, and how values come back
// under the names that the client used. It must never send a part again that may
// have run, put a key into an answer twice, or choose a server: the decisions get
// the cell in place of the shard, and draw there.
//
// A part that is turned away goes out again as a part of a *leg*: a further query
// to the decisions, for those parts alone. What became of the attempt is withheld
// from the first query until the leg is settled: told at once, the decisions would
// give the whole query up.

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"saddleport/choice"
	"saddleport/internal/core/hookrule"
	"saddleport/internal/core/placement"
)

// Segments is the source of maps. It must not block.
type Segments interface {
	// Want says that a server named an epoch beyond the map's.
	Want(epoch int64)
}

// movedReading is the name of the reading by which a server says that it does not
// hold a part now; its value is the server's epoch.
const movedReading = "moved"

// segments is what the exchange holds where it routes by a map.
type segments struct {
	source Segments
	most   int // targets of one query
	now    *placement.Map
	parked map[*part]bool // wait for a newer map, or a moment
}

// placed is what is held for a query that is routed by the map.
type placed struct {
	asks []placement.PartRequest
	legs map[string]bool // open queries of the decisions
	n    int             // legs so far
	wait int             // parts parked
	told time.Duration   // the decisions' advice, where they refused
}

// SetSegments turns routing by a map on. It must be called before Run.
func (x *Exchange) SetSegments(s Segments, most int) {
	x.segments = &segments{source: s, most: most, parked: make(map[*part]bool)}
}

// Placed hands in a newer map.
func (x *Exchange) Placed(m *placement.Map) {
	x.post(func() {
		s := x.segments
		if m.Epoch() <= s.now.Epoch() {
			return
		}
		s.now = m
		for p := range s.parked {
			if p.wanted <= m.Epoch() {
				x.reroute(p)
			}
		}
	})
}

// lay makes a query's parts.
func (x *Exchange) lay(h *held) error {
	if x.segments == nil {
		for _, p := range h.Parts {
			h.parts = append(h.parts, &part{Part: p, id: partID(h.Query, p), wire: partID(h.Query, p), q: h})
		}
		return nil
	}
	k := &placed{legs: map[string]bool{h.ID: true}}
	for _, p := range h.Parts {
		k.asks = append(k.asks, placement.PartRequest{Segment: uint32(p.Shard), Range: p.Range, Weight: p.Weight})
	}
	targets, err := x.segments.now.Route(k.asks, x.segments.most)
	if err != nil {
		return err
	}
	h.placed = k
	for i := range targets {
		h.parts = append(h.parts, x.target(h, &targets[i], ""))
		h.parts[i].leg = h.ID
	}
	return nil
}

// target makes the part for a target; mark sets the decisions' id apart.
func (x *Exchange) target(h *held, t *placement.Target, mark string) *part {
	p := Part{Shard: int(t.Segment), Weight: t.Weight()}
	if len(t.Shares) == 1 { // what the client said of its part holds for this one
		from := h.Parts[t.Shares[0].Request]
		p.Key, p.Hinted, p.Cost = from.Key, from.Hinted, from.Cost
	}
	wire := h.ID + "." + strconv.Itoa(p.Shard)
	return &part{Part: p, id: wire + mark, wire: wire, q: h, target: t}
}

// place is what the decisions take for the part's shard.
func (p *part) place() int {
	if p.target != nil {
		return p.target.Cell
	}
	return p.Shard
}

// names is what a frame's list says of a part's keys: the epoch by which it was
// routed, and the ranges wanted.
func (x *Exchange) names(p *part) string {
	if p.target == nil {
		return ""
	}
	var b strings.Builder
	b.WriteString(",e=" + strconv.FormatInt(x.segments.now.Epoch(), 10) + ",r=")
	for i, r := range p.target.Ranges() {
		if i > 0 {
			b.WriteByte(';')
		}
		b.WriteString(url.QueryEscape(r.From) + ".." + url.QueryEscape(r.To))
	}
	return b.String()
}

// moved tells whether a server said that it does not hold a part, and its epoch.
func moved(p *part, v choice.Verdict, load []choice.Reading) (epoch int64, ok bool) {
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

// turned takes a part that was turned away for not being held: it waits for a newer
// map, or a moment. Its attempt never ran.
func (x *Exchange) turned(a *Attempt, epoch int64) {
	p := a.part
	h := p.q
	x.Counters.Moved.Add(1)
	p.away = true
	p.turns++
	s := x.segments
	have := s.now.Epoch()
	if epoch > have {
		s.source.Want(epoch)
	}
	t := placement.AfterRejection(p.turns, epoch, have, time.Until(h.deadline).Microseconds())
	if t.Abandon || p.prior+len(p.attempts) >= x.set.Router.AttemptCap {
		return
	}
	a.withheld = true
	p.wanted = max(epoch, have)
	if epoch <= have {
		p.wanted = have + 1 // a newer map than the one that did not help
	}
	s.parked[p] = true // bounded by the queries held
	h.placed.wait++
	p.alarm = x.after(x.drive.Now().Add(time.Duration(t.Delay)*time.Microsecond), func() { x.reroute(p) })
}

// reroute sends a parked part out again by the map that is held now.
func (x *Exchange) reroute(p *part) {
	s, h := x.segments, p.q
	if !s.parked[p] {
		return
	}
	delete(s.parked, p)
	x.drop(p.alarm)
	h.placed.wait--
	if h.ended {
		return
	}
	targets, err := s.now.Reroute(p.target, s.most)
	if err != nil || time.Until(h.deadline) <= 0 {
		x.releaseAll(p)
		return
	}
	if h.meets(p, targets) {
		s.parked[p] = true
		h.placed.wait++
		p.alarm = x.after(x.drive.Now().Add(meetPause), func() { x.reroute(p) })
		return
	}
	h.placed.n++
	leg := h.ID + "~" + strconv.Itoa(h.placed.n)
	p.replaced = true
	p.legs = append(p.legs, leg)
	h.placed.legs[leg], x.queries[leg] = true, h
	x.numbers++
	class := x.class(h.class)
	ev := choice.Query{ID: leg, Class: h.class, Number: x.numbers, Key: h.Key, Tenant: h.Tenant,
		Grace: max(time.Until(h.deadline).Microseconds(), 0), Parts: len(targets)}
	x.events = append(x.events, ev)
	weight := p.target.Weight()
	for i := range targets {
		n := x.target(h, &targets[i], "~"+strconv.Itoa(h.placed.n))
		n.leg = leg
		n.prior, n.turns, n.from = p.prior+len(p.attempts), p.turns, p
		h.parts = append(h.parts, n)
		x.parts[n.id] = n
		// A leg wants all of its parts: its weights add up to what the class needs.
		x.events = append(x.events, choice.Part{ID: n.id, Class: h.class, Number: ev.Number, Key: n.Key,
			Shard: n.place(), Weight: class.RequiredShare * n.Weight / weight})
	}
	x.post(func() {}) // the caller may be in the middle of a turn
}

// meetPause is how soon a part looks again whether its segment is free.
const meetPause = 5 * time.Millisecond

// meets tells whether another part of the query is under way to a segment that a part
// would go to now: two segments that were turned away one by one have merged since.
// Both would go out under one name, as a part that has two attempts out at once; so
// the second waits for the first.
func (h *held) meets(p *part, targets []placement.Target) bool {
	for _, o := range h.parts {
		live := o.out > 0 || !o.served && !o.replaced && h.placed.legs[o.leg]
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

// release tells the decisions, late, that an attempt never ran.
func (x *Exchange) release(a *Attempt) {
	if !a.withheld {
		return
	}
	a.withheld = false
	x.events = append(x.events, choice.Outcome{ID: a.part.id, Server: a.Server, Delay: x.drive.Now().Sub(a.sentAt).Microseconds(),
		Closed: a.part.q.ended, Attempt: a.Index, Verdict: choice.NotSent})
	x.post(func() {})
}

func (x *Exchange) releaseAll(p *part) {
	for _, a := range p.attempts {
		x.release(a)
	}
}

// legOver takes the end of one of the decisions' queries.
func (x *Exchange) legOver(h *held, id string, advice time.Duration) {
	k := h.placed
	delete(k.legs, id)
	if id != h.ID {
		delete(x.queries, id)
	}
	k.told = max(k.told, advice)
	for _, p := range h.parts { // a leg that brought nothing: the query it was for may go on
		if len(p.legs) > 0 && p.legs[len(p.legs)-1] == id && !x.brought(h, p) {
			x.releaseAll(p)
		}
	}
	x.settle(h)
}

// brought tells whether all that replaced a part has been served.
func (x *Exchange) brought(h *held, p *part) bool {
	for _, n := range h.parts {
		if n.from == p && !n.served && !(n.replaced && x.brought(h, n)) {
			return false
		}
	}
	return true
}

// share is how much of a query is in.
func (h *held) share() float64 {
	sum := 0.0
	for _, p := range h.parts {
		if p.served && !p.dropped && !p.replaced {
			sum += p.Weight
		}
	}
	return sum
}

// settle ends a query that is routed by the map once enough is in, or nothing more
// can come.
func (x *Exchange) settle(h *held) {
	if h.ended || h.watched != nil && h.watched.answer != nil {
		return
	}
	class, share := x.class(h.class), h.share()
	switch {
	case hookrule.MeetsRequiredShare(class, share):
		x.answer(h, true)
	case len(h.placed.legs) > 0 || h.placed.wait > 0:
	case class.MinShare < class.RequiredShare && hookrule.MeetsMinShare(class, share):
		x.answer(h, false)
	case hookrule.SafeToRefuse(class.Effect, mayHaveRun(h)):
		x.end(h, Final{Ending: Refused, RetryAfter: max(h.placed.told, x.advice(h.class))})
	default:
		x.end(h, Final{Ending: Failed})
	}
}

// answer ends a query with what is in.
func (x *Exchange) answer(h *held, whole bool) {
	if h.watched != nil {
		x.decide(h, whole)
		return
	}
	x.end(h, Final{Ending: Answered, Whole: whole, Hits: h.hits()})
}

// closeLegs ends what a query that has its answer still has with the decisions.
func (x *Exchange) closeLegs(h *held) {
	for id := range h.placed.legs {
		delete(x.queries, id)
		x.events = append(x.events, choice.ClientLeft{ID: id})
	}
	for _, p := range h.parts {
		if x.segments.parked[p] {
			delete(x.segments.parked, p)
			x.drop(p.alarm)
		}
		x.releaseAll(p)
	}
	x.post(func() {})
}

// hits are the values that are in, under the names that the client used.
func (h *held) hits() []Hit {
	if h.placed == nil {
		var out []Hit
		for _, p := range h.parts {
			if p.served && !p.dropped {
				out = append(out, Hit{Shard: p.Shard, Value: p.value})
			}
		}
		return out
	}
	type piece struct {
		r placement.Range
		p *part
	}
	at := make(map[*part]int) // the shard under which a value stands already
	var out []Hit
	for i, ask := range h.Parts {
		var in []piece
		missing := false
		for _, p := range h.parts {
			if p.replaced {
				continue
			}
			for _, s := range p.target.Shares {
				if s.Request != i {
					continue
				}
				if p.served && !p.dropped {
					in = append(in, piece{s.Range, p})
				} else {
					missing = true
				}
			}
		}
		if len(in) == 0 {
			continue
		}
		for j := 1; j < len(in); j++ { // by key; there are few
			for k := j; k > 0 && in[k].r.From < in[k-1].r.From; k-- {
				in[k], in[k-1] = in[k-1], in[k]
			}
		}
		hit := Hit{Shard: ask.Shard}
		var values []string
		for _, x := range in {
			if missing {
				hit.Covers = append(hit.Covers, x.r)
			}
			if shard, stands := at[x.p]; stands {
				if shard != ask.Shard {
					hit.In = append(hit.In, shard)
				}
				continue
			}
			at[x.p] = ask.Shard
			values = append(values, x.p.value)
		}
		hit.Value = strings.Join(values, "\n")
		out = append(out, hit)
	}
	return out
}
