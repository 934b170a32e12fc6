package choice

// Which server a part goes to: the draw.
//
//   - near first (nearest): servers with room that are less far than others with room; against dear and slow
//     ways; hurts where the near ones are about to be full.
//   - trials (draw): a suspect's pause is over; against never trusting again; hurts the part that tries.
//   - last resort (draw): no sound replica; against unreachable shards; costs time at a dead server.
//   - leaving (draw): no sound replica but one that drains since a moment ago; hurts what it can't finish.

import (
	"cmp"
	"math"
	"slices"
)

const (
	leaveShare  = 0.5  // of rules.drain-grace: so long a draining server still stands in for none other
	overMost    = 3.0  // windows: no server is overfilled further for a query not yet admitted
	beyondRoom  = 0.5  // what is over its tenant's share uses this part of a window at most,
	beyondLeast = 3.0  // or so much of one
	spareRoom   = 0.25 // spare parts and copies use this share at most: they don't outbid first sends
)

type use int

const (
	first  use = iota // a first send of a query not yet admitted: needs room
	spare             // a part beyond need: needs ample room, and tries suspects out
	second            // a second copy: needs ample room
	must              // a part of an admitted query: takes room if there is any
	over              // the same of one that may overfill to be admitted, within bounds
)

// call plans one call: the first part of a line goes to a server that is drawn for it, if there is one, and
// what that server holds of the others goes along, as far as there is room and weight is wanted.
func (r *Router) call(line []*part, u use, want float64) (call, rest []*part, weight float64) {
	s := r.draw(line, u)
	if s == nil {
		return nil, line[1:], 0
	}
	call, rest = r.take(s, line, r.room(s, u), want)
	s.plan = r.plans
	return call, rest, r.plan(call, s)
}

// room is how many parts a call to a server may carry. What a call has of its own is worth a window
// overshot by what travels along; a cold server gets no more than was saved up for it.
func (r *Router) room(s *server, u use) int {
	if s.coldFrom != 0 {
		return max(int(s.saved), 1)
	}
	if u == spare || u == second {
		return min(max(int(s.window*spareRoom)-s.out, 1), max(r.set.MaxPartsPerCall, 1))
	}
	return max(r.set.MaxPartsPerCall, 1)
}

// plan puts the parts of one call on a server; send carries it out.
func (r *Router) plan(g []*part, s *server) (weight float64) {
	for _, p := range g {
		p.newAttempt(attempt{p: p, s: s, index: len(p.attempts), sentAt: r.now, ran: true})
		s.out++
		s.saved--
		weight += p.weight
	}
	return weight
}

// draw is the uniform random draw among replicas with room: a sound one, but for a trial that is due, and
// for what the use allows where none has room. Failing ones, always with room, come last: they answer fast.
func (r *Router) draw(line []*part, u use) *server {
	p, c := line[0], line[0].q.class
	wait, tries := Micros(0), u == first || u == spare
	if u == first {
		wait = Micros(float64(c.LatencyTarget) * trialShare * trialPatience)
	}
	share, least := 1.0, 0.0 // of a window; and in it
	if u == spare || u == second {
		share = spareRoom
	} else if u == first && line[0].q.beyond { // while nothing is short it is served
		share, least = beyondRoom, beyondLeast
	}
	var lots [7][6]*server
	sound, trial, leaving, slow, failing, full, jammed := cut(&lots)
	for j := range r.set.Width {
		for _, s := range r.cells[(p.shard+j)%r.set.Cells] {
			if p.tried(s) || !r.bears(s) {
				continue
			}
			mayHold := max(s.window*share, min(s.window, least))
			room := s.out == 0 && r.now >= s.openAt || float64(s.out+1) <= mayHold
			group := r.cutOff(s)
			switch {
			case s.State == Draining:
				if room && !r.suspect(s, c) {
					leaving = append(leaving, s)
				}
			case group != nil && room && !r.suspect(s, c):
				slow = append(slow, s)
				if tries && s.out == 0 && r.now >= group.trialAt+wait {
					trial = append(trial, s)
				}
			case r.suspect(s, c) && room:
				if s.guilt(c) >= failBlame {
					failing = append(failing, s)
				} else {
					slow = append(slow, s)
				}
				s.passed++
				due := r.now >= s.trialAt+wait*r.turns(s, c) && (u == spare || s.passed > trialPatience)
				if tries && s.out == 0 && due {
					trial = append(trial, s)
				}
			case room:
				sound = append(sound, s)
			case u == over && float64(s.out) >= s.window*overMost:
			case !r.suspect(s, c) && group == nil:
				full = append(full, s)
			default:
				jammed = append(jammed, s)
			}
		}
	}
	switch {
	case len(trial) > 0:
		return r.try(trial, c)
	case len(sound) > 0:
		sound = r.fewest(nearest(sound), line, u)
		return sound[r.rng.IntN(len(sound))]
	case u >= must && len(full) > 0:
		return full[r.rng.IntN(len(full))]
	case len(leaving) > 0 && !(u == spare || u == second):
		return leaving[r.rng.IntN(len(leaving))]
	case len(slow) > 0:
		return r.try(slow, c)
	case len(failing) > 0 && len(full) == 0:
		return r.try(failing, c)
	case u == over && len(jammed) > 0:
		return jammed[r.rng.IntN(len(jammed))]
	}
	return nil
}

// nearest leaves of the servers with room those that are least far.
func nearest(from []*server) []*server {
	far := slices.MinFunc(from, func(a, b *server) int { return cmp.Compare(a.Far, b.Far) }).Far
	return slices.DeleteFunc(from, func(s *server) bool { return s.Far > far })
}

// fewest leaves of the servers that a line's first part may go to those with which the whole line costs the
// fewest calls, one that has a call of this plan costing none.
func (r *Router) fewest(from []*server, line []*part, u use) []*server {
	if r.set.MaxPartsPerCall <= 1 {
		return from
	}
	least, best := math.MaxInt, from[:0]
	for _, s := range from {
		calls := r.callsFor(line, s, r.room(s, u))
		if s.plan != r.plans {
			calls++
		}
		if calls < least {
			least, best = calls, best[:0]
		}
		if calls == least {
			best = append(best, s)
		}
	}
	return best
}

// try draws a suspect and sets the pause until its next trial.
func (r *Router) try(from []*server, c *class) *server {
	s := from[r.rng.IntN(len(from))]
	s.pause(r.now, c)
	for _, g := range s.groups {
		g.trialAt = r.now + Micros(float64(c.LatencyTarget)*trialShare)
	}
	return s
}

// pause puts a suspect's next trial off, from its blame as from a trial.
func (s *server) pause(now Micros, c *class) {
	s.passed, s.trialAt = 0, now+Micros(float64(c.LatencyTarget)*trialShare)*Micros(max(1, s.guilt(c)))
}
