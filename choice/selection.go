package choice

// Which server a part goes to.
//
//   - nearest first (nearest): the closest of the servers with free capacity; against expensive and slow
//     paths; does harm where the near ones are almost full.
//   - trials (selectReplica): a suspect's pause is over; against never trusting it again; costs the part that
//     is sent as the trial.
//   - last resort (selectReplica): there is no healthy replica; against unreachable shards; costs time at a
//     dead server.
//   - draining (selectReplica): there is no healthy replica, but one that began to drain a moment ago; does
//     harm to parts that it can't finish.

import (
	"cmp"
	"math"
	"slices"
)

const (
	drainingUseShare = 0.5  // of DrainGrace: how long a draining server may be used where no other is healthy
	maxOverfill      = 3.0  // multiple of a window up to which overfillPart may fill it
	overQuotaShare   = 0.5  // a query over its tenant's quota uses at most this share of a window
	overQuotaMin     = 3.0  // or this many parts of the window, whichever is more
	extraWindowShare = 0.25 // redundant parts and hedges use at most this share: first sends go first
)

// sendKind is the purpose of a send. It determines the capacity that the send may use. From admittedPart on,
// a send may go to a server with a full window; selectReplica relies on the order of the constants.
type sendKind int

const (
	firstSend     sendKind = iota // of a query not yet admitted: needs free capacity
	redundantPart                 // beyond the requirement: needs ample capacity, may be a suspect's trial
	hedge                         // a second attempt beside an overdue one: needs ample capacity
	admittedPart                  // of an admitted query: free capacity if there is any, else a full window
	overfillPart                  // of a query that may exceed windows, within bounds, to be admitted
)

// planCall plans one call. The first of the parts goes to the server selected for it, if there is one. Other
// parts whose shards that server stores go in the same call, as far as capacity and wanted weight allow.
func (r *Router) planCall(parts []*part, kind sendKind, wanted float64) (call, rest []*part, weight float64) {
	s := r.selectReplica(parts, kind)
	if s == nil {
		return nil, parts[1:], 0
	}
	call, rest = r.fillCall(s, parts, r.callCapacity(s, kind), wanted)
	s.lastPlan = r.planNumber
	return call, rest, r.planAttempts(call, s)
}

// callCapacity returns how many parts a call to a server may carry. Except for redundant parts and hedges,
// the window does not limit it: exceeding the window costs less than sending the parts in further calls, each
// with its fixed cost. A server in slow start gets as many parts as its tokens allow, at least one.
func (r *Router) callCapacity(s *server, kind sendKind) int {
	if s.slowStartFrom != 0 {
		return max(int(s.slowStartTokens), 1)
	}
	if kind == redundantPart || kind == hedge {
		return min(max(int(s.window*extraWindowShare)-s.reserved, 1), max(r.settings.MaxPartsPerCall, 1))
	}
	return max(r.settings.MaxPartsPerCall, 1)
}

// planAttempts assigns the parts of one call to a server and returns their weight. It sends nothing; see
// send.
func (r *Router) planAttempts(call []*part, s *server) (weight float64) {
	for _, p := range call {
		p.newAttempt(attempt{part: p, server: s, index: len(p.attempts), sentAt: r.now, mayHaveRun: true})
		s.reserved++
		s.slowStartTokens--
		weight += p.weight
	}
	return weight
}

// selectReplica selects a replica for the first of the parts, at random from the first of these lists that is
// not empty and that the kind of the send may use:
//
//   - trial: suspects, or servers of a faulty group, whose trial is due
//   - healthy: not suspected, with free capacity; of these the nearest ones with the fewest calls
//   - full: as healthy, but without free capacity; from admittedPart on
//   - draining: draining but not suspected; not for redundant parts and hedges
//   - suspects: suspected below failureWeight, or in a faulty group, with free capacity
//   - failing: suspected from failureWeight on, with free capacity; only if full is empty
//   - fullSuspects: suspected or in a faulty group, without free capacity; only for overfillPart
//
// A send to suspects or failing counts as a trial, whether or not one is due. Failing replicas come late:
// they answer fast, so their windows always have capacity, and they would attract most of the load.
func (r *Router) selectReplica(parts []*part, kind sendKind) *server {
	p, c := parts[0], parts[0].query.class
	wait, mayTry := Micros(0), kind == firstSend || kind == redundantPart
	if kind == firstSend { // risks a trial only this long after it was due
		wait = Micros(float64(c.LatencyTarget) * trialPauseShare * trialOverdueAfter)
	}
	share, least := 1.0, 0.0 // the usable share of a window, and the parts usable whatever the share
	if kind == redundantPart || kind == hedge {
		share = extraWindowShare
	} else if kind == firstSend && parts[0].query.overQuota { // served while there is capacity to spare
		share, least = overQuotaShare, overQuotaMin
	}
	var buffers [7][6]*server
	healthy, trial, draining, suspects, failing, full, fullSuspects := splitCandidates(&buffers)
	for j := range r.settings.Width {
		for _, s := range r.cells[(p.shard+j)%r.settings.Cells] {
			if p.triedOn(s) || !r.acceptsLoad(s) {
				continue
			}
			limit := max(s.window*share, min(s.window, least))
			// A server without reserved parts has capacity, unless a window below one makes it pause.
			hasCapacity := s.reserved == 0 && r.now >= s.reopensAt || float64(s.reserved+1) <= limit
			group := r.faultyGroup(s)
			switch {
			case s.State == Draining:
				if hasCapacity && !r.isSuspect(s, c) {
					draining = append(draining, s)
				}
			case group != nil && hasCapacity && !r.isSuspect(s, c):
				suspects = append(suspects, s)
				if mayTry && s.reserved == 0 && r.now >= group.nextTrialAt+wait {
					trial = append(trial, s)
				}
			case r.isSuspect(s, c) && hasCapacity:
				if s.suspicion(c) >= failureWeight {
					failing = append(failing, s)
				} else {
					suspects = append(suspects, s)
				}
				s.timesSkipped++
				due := r.now >= s.nextTrialAt+wait*r.trialSpacing(s, c) &&
					(kind == redundantPart || s.timesSkipped > trialOverdueAfter)
				if mayTry && s.reserved == 0 && due {
					trial = append(trial, s)
				}
			case hasCapacity:
				healthy = append(healthy, s)
			case kind == overfillPart && float64(s.reserved) >= s.window*maxOverfill: // not a candidate
			case !r.isSuspect(s, c) && group == nil:
				full = append(full, s)
			default:
				fullSuspects = append(fullSuspects, s)
			}
		}
	}
	switch {
	case len(trial) > 0:
		return r.startTrial(trial, c)
	case len(healthy) > 0:
		healthy = r.fewestCalls(nearest(healthy), parts, kind)
		return healthy[r.rng.IntN(len(healthy))]
	case kind >= admittedPart && len(full) > 0:
		return full[r.rng.IntN(len(full))]
	case len(draining) > 0 && !(kind == redundantPart || kind == hedge):
		return draining[r.rng.IntN(len(draining))]
	case len(suspects) > 0:
		return r.startTrial(suspects, c)
	case len(failing) > 0 && len(full) == 0:
		return r.startTrial(failing, c)
	case kind == overfillPart && len(fullSuspects) > 0:
		return fullSuspects[r.rng.IntN(len(fullSuspects))]
	}
	return nil
}

// nearest keeps those of the servers that have the least distance.
func nearest(from []*server) []*server {
	least := slices.MinFunc(from, func(a, b *server) int { return cmp.Compare(a.Far, b.Far) }).Far
	return slices.DeleteFunc(from, func(s *server) bool { return s.Far > least })
}

// fewestCalls keeps those of the servers with which all the parts need the fewest calls, given that the first
// part goes there. A server that already has a call in this plan needs none.
func (r *Router) fewestCalls(from []*server, parts []*part, kind sendKind) []*server {
	if r.settings.MaxPartsPerCall <= 1 {
		return from
	}
	least, best := math.MaxInt, from[:0]
	for _, s := range from {
		calls := r.countCalls(parts, s, r.callCapacity(s, kind))
		if s.lastPlan != r.planNumber {
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

// startTrial selects a suspect at random and postpones its next trial, and those of its groups.
func (r *Router) startTrial(from []*server, c *class) *server {
	s := from[r.rng.IntN(len(from))]
	s.postponeTrial(r.now, c)
	for _, g := range s.groups {
		g.nextTrialAt = r.now + Micros(float64(c.LatencyTarget)*trialPauseShare)
	}
	return s
}

// postponeTrial sets the pause until a suspect's next trial, counted from a trial or from a recorded fault.
func (s *server) postponeTrial(now Micros, c *class) {
	s.timesSkipped, s.nextTrialAt = 0,
		now+Micros(float64(c.LatencyTarget)*trialPauseShare)*Micros(max(1, s.suspicion(c)))
}
