package choice

// How an attempt is sent, when it is overdue, and what follows from its outcome.
//
//   - new connections (chooseConnection): parts sent on idle connections stay unanswered; against idle
//     connections that were dropped silently; costs handshakes.
//   - short timeouts (send): hedges are not permitted and there is time for two attempts; against
//     unresponsive servers; wastes work at slow ones.

// send sends a planned attempt, with its timeout, and sets the timer after which it is overdue.
func (r *Router) send(a *attempt) {
	q := a.part.query
	r.chooseConnection(a)
	timeout, secondAttempt := q.endsAt-r.now, Micros(q.class.upperQuantile*r.settings.OverdueMultiple)
	mayRetry := !r.settings.ParallelAttempts && q.class.Effect != Unsafe &&
		len(a.part.attempts) < r.maxAttempts(q.class)
	// No second attempt may start before this one has ended: the timeout leaves time for it.
	if a.shortTimeout = mayRetry && q.targetAt-r.now > 2*secondAttempt; a.shortTimeout {
		timeout = q.targetAt - r.now - secondAttempt
	}
	r.addAction(Send{ID: a.part.id, Server: a.server.ID, Timeout: max(timeout, r.settings.Resolution)})
	overdue := min(q.class.upperQuantile*a.part.predictionRatio*r.settings.OverdueMultiple,
		float64(q.class.LatencyTarget)*r.settings.OverdueMaxShare)
	// If the query has little time, the attempt is overdue after a share of the step's time.
	available := float64(min(q.targetAt, q.endsAt)-q.stepStartedAt+r.settings.Resolution) *
		r.settings.OverdueMaxShare
	a.earlyOverdue = available < overdue
	r.setTimer(max(Micros(min(overdue, available)), 2*r.settings.Resolution), (*overdueTask)(a))
}

// chooseConnection classifies the connection that an attempt uses by how long the server has sent nothing. A
// connection that was idle is closed first while idle ones prove dead and new ones do not, unless a faulty
// zone explains that.
func (r *Router) chooseConnection(a *attempt) {
	s, c := a.server, a.part.query.class
	idle := r.now - s.lastActiveAt
	if s.lastActiveAt == 0 || idle > r.settings.Keepalive { // the connection will be a new one
		s.lastActiveAt = r.now
	} else if idle > min(Micros(c.upperQuantile),
		Micros(float64(c.LatencyTarget)*r.settings.OverdueMaxShare)) {
		a.connGroup = &r.idleConns
		dead := r.idleConns.worseThan(r.renewedConns.faultShare) && r.faultyGroup(s) != s.groups[0]
		if dead && s.inFlight == 0 && r.now < r.idleConns.nextTrialAt {
			r.addAction(Release{Server: s.ID})
			s.lastActiveAt, a.connGroup = r.now, &r.renewedConns
		} else {
			r.idleConns.nextTrialAt = r.now +
				Micros(float64(c.LatencyTarget)*trialPauseShare*trialOverdueAfter)
		}
	}
	s.inFlight++
}

// handleOverdue handles an attempt that is overdue before its timeout fires. If its server has served others
// of the class meanwhile, only the part is late; if not, the server is late (it hangs, or its link is dead).
func (r *Router) handleOverdue(a *attempt) {
	if a.ended || a.overdue {
		return
	}
	a.overdue = true
	if a.server.lastServedByClass[a.part.query.class.classIndex] < a.sentAt && !a.earlyOverdue {
		if a.server.lastServedAt < a.sentAt {
			r.recordGroups(a, 1)
		}
		if !r.pathFaulty(a) {
			r.recordFault(a, overdueWeight)
		}
	}
	if q := a.part.query; !q.ended && !a.part.served {
		if r.scheduleMore(q); q.waitsOnlyForLate() {
			r.answerPartially(q)
		}
	}
}

// handleOutcome records how an attempt ended, then answers its query or schedules more for it.
func (r *Router) handleOutcome(event Outcome) {
	p := r.parts[event.ID]
	if p == nil || event.Attempt >= len(p.attempts) || p.attempts[event.Attempt].ended {
		return
	}
	a, q := p.attempts[event.Attempt], p.query
	a.ended = true
	a.mayHaveRun = event.Verdict != Rejected && event.Verdict != NoConnection && event.Verdict != NotSent
	if event.Verdict == ConnectionLost && a.server.suspicion(q.class) == 0 {
		q.lostConnections++
	}
	r.recordOutcome(a, event)
	a.server.reserved--
	a.server.inFlight--
	if event.Verdict == Served || event.Verdict == ServerError || event.Verdict == Rejected {
		a.server.lastActiveAt = r.now
	}
	if w := a.server.window; w < 1 { // pauses, so that the server is busy for a fraction w of the time
		a.server.reopensAt = r.now + Micros(float64(r.now-a.sentAt)*(1/w-1))
	}
	if q.ended {
		r.forgetPart(p)
		return
	}
	if event.Verdict == Served && !p.served {
		p.served = true
		q.servedWeight += p.weight
		for _, other := range p.attempts {
			r.cancelAttempt(other)
		}
		if q.servedWeight >= q.requiredWeight-weightTolerance {
			r.answer(q, q.step == 1 || q.firstStepComplete)
			return
		}
		if r.now >= q.partialAt || q.waitsOnlyForLate() {
			r.answerPartially(q)
		}
	}
	if !p.served || q.canary {
		r.scheduleMore(q)
	}
}
