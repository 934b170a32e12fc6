package choice

// Which servers, and which ways to them, are not trusted.
//
//   - suspects (blame, learn): failed, silent or slower than a query's other parts, by server and by class;
//     against replicas that stay in the draw though they fail; hurts one-part classes.
//   - set apart (suspect, turns, lags): all routers found it slow; against a trial each; delays its return.
//   - groups (mark, cutOff): an equal label fails three times as often as the best; against cut zones, links
//     bad for us alone, failing kinds; hurts a well server there.

import "math"

const (
	mostBlame     = 6   // each level lengthens the pause between trials
	failBlame     = 2   // an error, a rejection, a lost connection, a failed connect, a time-out
	silentBlame   = 1   // overdue and nothing served since it was sent
	slowPace      = 3.0 // a server this many times slower than the class's middle is a suspect too
	paceStep      = 0.3
	trialPatience = 12  // such pauses, and draws that passed it over: then a first send is risked
	trialShare    = 0.5 // pause between trials at level one, as a share of the class's aim
)

// Groups: servers of one zone or kind, for a router that meets each server rarely.
const (
	groupStep  = 0.1 // of one part: about ten decide, which even a quiet router sees in seconds
	groupBad   = 0.3 // a group is suspect when so many of its parts fail or are late
	groupTimes = 3.0 // and its odds are so many times the best other group's: else it is not the way
)

func (r *Router) suspect(s *server, c *class) bool { return s.guilt(c) > 0 || s.pace > slowPace }

// turns is how many pauses lie between trials: where one would be late, all routers share a pause's trial.
func (r *Router) turns(s *server, c *class) Micros {
	if s.Slow*c.mid <= slowShare*float64(c.LatencyTarget) {
		return 1
	}
	return Micros(max(r.set.Routers, 1))
}

func (s *server) guilt(c *class) int { return max(s.blame, s.blames[c.n], min(int(s.Slow), 1)) }

func (r *Router) learn(a *attempt, ev Outcome) {
	s, c := a.s, a.p.q.class
	age := float64(max(r.now-a.sentAt-r.lateBy, 1)) // a late wake is our own trouble, no server's
	whole := age / a.p.stretch
	age /= a.p.q.heaviness(whole / c.mid)
	ratio := age / a.p.stretch / c.mid
	if ev.Verdict != Served && whole > c.mid && a.overdue {
		c.mid = track(c.mid, whole, middle, quantileStep) // it would have taken longer still
	}
	switch ev.Verdict {
	case Served:
		c.learn(whole)
		if !a.overdue {
			r.mark(a, 0)
		} else if a.line != nil { // late, but on no dead connection: its bad mark is taken back
			a.line.unmark()
		}
		a.p.q.pace += math.Log(whole / c.mid)
		a.p.q.paced++
		s.pace += (ratio - s.pace) * paceStep
		s.servedAt, s.served[c.n] = r.now, r.now
		if s.cause != nil && s.cause != c {
			// It serves: what it left unanswered is that class's trouble; forgiving it hid that for good.
			s.blames[s.cause.n], s.blame, s.cause = max(s.blames[s.cause.n], s.blame), 0, nil
		}
		s.bins++
		if age > slowShare*float64(c.LatencyTarget) {
			if r.cutOff(s) != s.groups[0] { // else the way is long, not the server full
				r.shrink(a)
			}
			return
		}
		for _, g := range a.marked { // late beside others, but in good time: no bad way
			g.unmark()
		}
		if ratio < slowPace || a.cancelled { // late beside a copy, but in good time: it was no silence
			s.blame /= 2
			s.blames[c.n] /= 2
		}
		if float64(s.out) >= s.window*growFrom {
			s.window += min(1/s.window, s.window)
		}
	case NoAnswer:
		// Answers lost here and there are no sign of a dead server while it serves others.
		if s.served[c.n] > a.sentAt || a.short {
			return
		}
		if s.servedAt < a.sentAt {
			r.mark(a, 1)
		}
		if !r.wayBad(a) {
			r.blame(a, failBlame)
		}
	case NoConnection, ConnectionLost:
		r.mark(a, 1)
		r.blame(a, failBlame)
		s.cause = nil // no class's trouble: the way or the process
	case ServerError, Rejected:
		r.blame(a, failBlame)
	}
	r.roll()
}

// mark pools what a part says of the way to its server over the servers with an equal label, and over idle
// or renewed connections. A server already blamed says nothing new: one that hangs is no bad zone of four.
func (r *Router) mark(a *attempt, bad float64) {
	if bad > 0 && a.s.guilt(a.p.q.class) > 0 {
		return
	}
	groups := a.s.groups
	if bad > 0 {
		a.marked = groups
	}
	if a.line != nil && r.cutOff(a.s) != a.s.groups[0] {
		groups = append(groups, a.line)
	}
	for _, g := range groups {
		g.bad += (bad - g.bad) * groupStep
	}
	if a.line == &r.idle { // what new ones showed long ago does not count for ever
		r.renewed.bad -= r.renewed.bad * groupStep * groupStep
	}
}

func (g *group) unmark() { g.bad = max(0, (g.bad-groupStep)/(1-groupStep)) }

// worse tells whether a group is bad while another of its sort, with so small a share, is well.
func (g *group) worse(least float64) bool {
	return g.bad > groupBad && g.bad*(1-least) > groupTimes*least*(1-g.bad)
}

// cutOff returns the group of s that is bad while another of its sort is well: a zone cut off or
// behind a slow link, links bad for this router alone, a kind that fails. It hurts its well servers.
func (r *Router) cutOff(s *server) *group {
	for i, all := range [][]*group{r.zones, r.kinds} {
		least := 1.0
		for _, g := range all {
			least = min(least, g.bad)
		}
		if g := s.groups[i]; g.worse(least) {
			return g
		}
	}
	return nil
}

// wayBad tells whether silence is the way's: a bad zone, or an idle connection while those prove dead.
func (r *Router) wayBad(a *attempt) bool {
	return r.cutOff(a.s) == a.s.groups[0] || a.line == &r.idle && r.idle.worse(r.renewed.bad)
}

// heaviness is how much slower than usual the query's parts come back: a heavy query is slow everywhere,
// and no server is to blame. The first part back is the fastest of its query, so it is never slow.
func (q *query) heaviness(own float64) float64 {
	if q.paced > 0 {
		return max(1, math.Exp(q.pace/q.paced))
	}
	if len(q.parts) > 1 {
		return max(1, own)
	}
	return 1
}

// blame raises suspicion and halves the window, once per episode: of the class alone while the server
// serves others, else of the server.
func (r *Router) blame(a *attempt, n int) {
	s, c := a.s, a.p.q.class
	if a.sentAt >= s.episode {
		if s.servedAt > a.sentAt && s.served[c.n] <= a.sentAt {
			s.blames[c.n] = min(s.blames[c.n]+n, mostBlame)
		} else {
			if s.blame == 0 {
				s.cause = c
			} else if s.cause != c {
				s.cause = nil
			}
			s.blame = min(s.blame+n, mostBlame)
		}
	}
	s.pause(r.now, c)
	r.shrink(a)
}
