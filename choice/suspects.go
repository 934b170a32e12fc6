package choice

// Which servers, and which paths to them, are not trusted.
//
//   - suspects (recordFault, recordOutcome): servers that failed, got overdue or were slower than a query's
//     other parts, overall and by class; against replicas that stay selectable though they fail; does harm to
//     classes of one part.
//   - ejected servers (isSuspect, trialSpacing, waitsOnlyForLate): all routers together found the server
//     slow; against a trial by each router; delays the server's return.
//   - groups (recordGroups, faultyGroup): the odds that a part fails at servers with one label are over three
//     times those of the best label; against partitioned zones, links that are bad for this router alone, and
//     kinds that fail; does harm to healthy servers of the group.

import "math"

const (
	maxFaultLevel     = 6   // each level lengthens the pause between trials
	failureWeight     = 2   // an error, a rejection, a lost connection, a failed connect, a timeout
	overdueWeight     = 1   // an overdue attempt, if nothing was served since it was sent
	suspectRatio      = 3.0 // a server this many times slower than the class's median is a suspect too
	ratioSmoothing    = 0.3
	trialOverdueAfter = 12  // after this many pauses, and selections that skipped it, a first send is a trial
	trialPauseShare   = 0.5 // pause between trials at level one, as a share of the class's latency target
)

// Groups: the servers of one zone or kind. They help a router that seldom sends to any single server.
const (
	groupSmoothing  = 0.1 // weight of one part: about ten decide, which even a quiet router sees in seconds
	groupFaultShare = 0.3 // a group is faulty if a greater share of its parts fails or is late
	groupOddsRatio  = 3.0 // and its odds over this multiple of the best group's: else its path isn't at fault
)

// isSuspect reports whether a server is not trusted with parts of a class.
func (r *Router) isSuspect(s *server, c *class) bool {
	return s.suspicion(c) > 0 || s.latencyRatio > suspectRatio
}

// trialSpacing returns the factor that lengthens the time after which a first send is a trial of a server. It
// is the number of routers if the server is so slow that the trial would be late: the routers together then
// risk one first send in that time. Trials by redundant parts don't wait: the factor has no effect on them.
func (r *Router) trialSpacing(s *server, c *class) Micros {
	if s.Slow*c.median <= shrinkFrom*float64(c.LatencyTarget) {
		return 1
	}
	return Micros(max(r.settings.Routers, 1))
}

// suspicion returns the fault level of a server for a class: 0 if it is trusted, at least 1 if it is ejected.
func (s *server) suspicion(c *class) int {
	return max(s.faultLevel, s.classFaultLevels[c.classIndex], min(int(s.Slow), 1))
}

// recordOutcome updates from the outcome of an attempt what is known of its class, server and groups.
func (r *Router) recordOutcome(a *attempt, event Outcome) {
	s, c := a.server, a.part.query.class
	age := float64(max(r.now-a.sentAt-r.wakeDelay, 1)) // a late wake is this router's delay, not the server's
	// scaled is corrected for the predicted size of the part, and age from here on for a heavy query. ratio
	// is corrected for both, and relative to the class's median.
	scaled := age / a.part.predictionRatio
	age /= a.part.query.heaviness(scaled / c.median)
	ratio := age / a.part.predictionRatio / c.median
	if event.Verdict != Served && scaled > c.median && a.overdue {
		// The answer would have taken longer still.
		c.median = trackQuantile(c.median, scaled, medianRank, quantileStep)
	}
	switch event.Verdict {
	case Served:
		c.addLatency(scaled)
		if !a.overdue {
			r.recordGroups(a, 0)
		} else if a.connGroup != nil { // late, but the connection is not dead: takes the fault back
			a.connGroup.undoFault()
		}
		a.part.query.logRatioSum += math.Log(scaled / c.median)
		a.part.query.ratioCount++
		s.latencyRatio += (ratio - s.latencyRatio) * ratioSmoothing
		s.lastServedAt, s.lastServedByClass[c.classIndex] = r.now, r.now
		if s.faultClass != nil && s.faultClass != c {
			// The server works, so the unanswered parts are a fault of their class. The fault level moves to
			// that class: if it were reset here, the fault would never be detected.
			s.classFaultLevels[s.faultClass.classIndex], s.faultLevel, s.faultClass =
				max(s.classFaultLevels[s.faultClass.classIndex], s.faultLevel), 0, nil
		}
		s.servedInSpan++
		if age > shrinkFrom*float64(c.LatencyTarget) {
			if r.faultyGroup(s) != s.groups[0] { // in a faulty zone, the path is slow and the server not full
				r.shrinkWindow(a)
			}
			return
		}
		for _, g := range a.faultGroups { // later than others but well within the target: the path is fine
			g.undoFault()
		}
		// A cancelled attempt that is served was slower than its hedge but well within the target: whatever
		// the ratio, the server is responsive.
		if ratio < suspectRatio || a.cancelled {
			s.faultLevel /= 2
			s.classFaultLevels[c.classIndex] /= 2
		}
		if float64(s.reserved) >= s.window*growMinUse {
			s.window += min(1/s.window, s.window)
		}
	case NoAnswer:
		// Lost answers are no sign of a dead server while it serves other parts of the class, and neither is
		// a timeout that this router shortened.
		if s.lastServedByClass[c.classIndex] > a.sentAt || a.shortTimeout {
			return
		}
		if s.lastServedAt < a.sentAt {
			r.recordGroups(a, 1)
		}
		if !r.pathFaulty(a) {
			r.recordFault(a, failureWeight)
		}
	case NoConnection, ConnectionLost:
		r.recordGroups(a, 1)
		r.recordFault(a, failureWeight)
		s.faultClass = nil // a fault of the path or the process, not of a class
	case ServerError, Rejected:
		r.recordFault(a, failureWeight)
	}
	r.updateObservedRate()
}

// recordGroups adds one result (fault is 0 or 1) to the groups of an attempt: the servers with the same
// labels, and the idle or renewed connections. It pools what parts show of the paths to their servers. Faults
// of a server that is a suspect already are not added: one server that hangs must not make a zone of four
// look faulty.
func (r *Router) recordGroups(a *attempt, fault float64) {
	if fault > 0 && a.server.suspicion(a.part.query.class) > 0 {
		return
	}
	groups := a.server.groups
	if fault > 0 {
		a.faultGroups = groups
	}
	if a.connGroup != nil && r.faultyGroup(a.server) != a.server.groups[0] {
		groups = append(groups, a.connGroup)
	}
	for _, g := range groups {
		g.faultShare += (fault - g.faultShare) * groupSmoothing
	}
	if a.connGroup == &r.idleConns { // old results of renewed connections fade, slowly
		r.renewedConns.faultShare -= r.renewedConns.faultShare * groupSmoothing * groupSmoothing
	}
}

// undoFault takes one recorded fault back.
func (g *group) undoFault() { g.faultShare = max(0, (g.faultShare-groupSmoothing)/(1-groupSmoothing)) }

// worseThan reports whether a group is faulty while the best group of its sort is healthy: its fault share is
// over groupFaultShare, and its odds (faulty to good parts) are over groupOddsRatio times those of the best
// group, whose fault share is given.
func (g *group) worseThan(bestShare float64) bool {
	return g.faultShare > groupFaultShare &&
		g.faultShare*(1-bestShare) > groupOddsRatio*bestShare*(1-g.faultShare)
}

// faultyGroup returns the group of s that is faulty while another of its sort is healthy, or nil. It detects
// a zone that is partitioned or behind a slow link, links that are bad for this router alone, and a kind that
// fails. It does harm to healthy servers of the group.
func (r *Router) faultyGroup(s *server) *group {
	for i, groups := range [][]*group{r.zones, r.kinds} {
		least := 1.0
		for _, g := range groups {
			least = min(least, g.faultShare)
		}
		if g := s.groups[i]; g.worseThan(least) {
			return g
		}
	}
	return nil
}

// pathFaulty reports whether the path explains a missing answer: the zone is faulty, or the connection was
// idle and idle ones prove dead.
func (r *Router) pathFaulty(a *attempt) bool {
	return r.faultyGroup(a.server) == a.server.groups[0] ||
		a.connGroup == &r.idleConns && r.idleConns.worseThan(r.renewedConns.faultShare)
}

// heaviness returns by which factor the query's parts are slower than usual, at least 1. A heavy query is
// slow at every server, which is no server's fault. The first part served is the fastest of its query, so it
// never counts as slow. firstRatio is the latency of that first part over the class's median.
func (q *query) heaviness(firstRatio float64) float64 {
	if q.ratioCount > 0 {
		return max(1, math.Exp(q.logRatioSum/q.ratioCount))
	}
	if len(q.parts) > 1 {
		return max(1, firstRatio)
	}
	return 1
}

// recordFault raises the fault level of a server, shrinks its window, and postpones its next trial. For an
// attempt sent before the window was last cut, it only postpones the trial. The fault is attributed to the
// class alone if the server has served other classes, but not this one, since the attempt was sent; else to
// the server.
func (r *Router) recordFault(a *attempt, weight int) {
	s, c := a.server, a.part.query.class
	if a.sentAt >= s.lastShrinkAt {
		if s.lastServedAt > a.sentAt && s.lastServedByClass[c.classIndex] <= a.sentAt {
			s.classFaultLevels[c.classIndex] = min(s.classFaultLevels[c.classIndex]+weight, maxFaultLevel)
		} else {
			if s.faultLevel == 0 {
				s.faultClass = c
			} else if s.faultClass != c {
				s.faultClass = nil
			}
			s.faultLevel = min(s.faultLevel+weight, maxFaultLevel)
		}
	}
	s.postponeTrial(r.now, c)
	r.shrinkWindow(a)
}
