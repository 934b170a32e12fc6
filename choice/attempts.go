package choice

// How an attempt goes out, when it is overdue, and what its end leads to.
//
//   - new connections (connect): parts sent on idle ones stay unanswered; against idle connections dropped
//     unseen; costs handshakes.
//   - short time-outs (send): no second copies allowed and time for two attempts; against silent servers;
//     costs work at slow ones.

func (r *Router) send(a *attempt) {
	q := a.p.q
	r.connect(a)
	timeout, try := q.endAt-r.now, Micros(q.class.high*r.set.OverdueMultiple)
	again := !r.set.ParallelAttempts && q.class.Effect != Unsafe && len(a.p.attempts) < r.mostAttempts(q.class)
	if a.short = again && q.aimAt-r.now > 2*try; a.short { // no other may go out before this one is over
		timeout = q.aimAt - r.now - try
	}
	r.do(Send{ID: a.p.id, Server: a.s.ID, Timeout: max(timeout, r.set.Resolution)})
	late := min(q.class.high*a.p.stretch*r.set.OverdueMultiple, float64(q.class.LatencyTarget)*r.set.OverdueMaxShare)
	patience := float64(min(q.aimAt, q.endAt)-q.at+r.set.Resolution) * r.set.OverdueMaxShare
	a.early = patience < late
	r.alarm(max(Micros(min(late, patience)), 2*r.set.Resolution), (*lateness)(a))
}

// connect judges the connection an attempt goes out on by how long nothing was heard on it. One that idled
// is closed first while such ones prove dead, new ones don't, and no bad zone explains it.
func (r *Router) connect(a *attempt) {
	s, c := a.s, a.p.q.class
	gap := r.now - s.heardAt
	if s.heardAt == 0 || gap > r.set.Keepalive {
		s.heardAt = r.now
	} else if gap > min(Micros(c.high), Micros(float64(c.LatencyTarget)*r.set.OverdueMaxShare)) {
		a.line = &r.idle
		dead := r.idle.worse(r.renewed.bad) && r.cutOff(s) != s.groups[0]
		if dead && s.live == 0 && r.now < r.idle.trialAt {
			r.do(Release{Server: s.ID})
			s.heardAt, a.line = r.now, &r.renewed
		} else {
			r.idle.trialAt = r.now + Micros(float64(c.LatencyTarget)*trialShare*trialPatience)
		}
	}
	s.live++
}

// overdue judges an attempt before its time-out fires. Late while the server serves
// others is a late part; nothing served since is a late server (a hang, a dead link).
func (r *Router) overdue(a *attempt) {
	if a.ended || a.overdue {
		return
	}
	a.overdue = true
	if a.s.served[a.p.q.class.n] < a.sentAt && !a.early {
		if a.s.servedAt < a.sentAt {
			r.mark(a, 1)
		}
		if !r.wayBad(a) {
			r.blame(a, silentBlame)
		}
	}
	if q := a.p.q; !q.ended && !a.p.served {
		if r.pursue(q); q.lags() {
			r.partNow(q)
		}
	}
}

// outcome notes how an attempt ended; it answers or pursues its query.
func (r *Router) outcome(ev Outcome) {
	p := r.parts[ev.ID]
	if p == nil || ev.Attempt >= len(p.attempts) || p.attempts[ev.Attempt].ended {
		return
	}
	a, q := p.attempts[ev.Attempt], p.q
	a.ended = true
	a.ran = ev.Verdict != Rejected && ev.Verdict != NoConnection && ev.Verdict != NotSent
	if ev.Verdict == ConnectionLost && a.s.guilt(q.class) == 0 {
		q.lost++
	}
	r.learn(a, ev)
	a.s.out--
	a.s.live--
	if ev.Verdict == Served || ev.Verdict == ServerError || ev.Verdict == Rejected {
		a.s.heardAt = r.now
	}
	if w := a.s.window; w < 1 { // a window below one is one part for that share of the time
		a.s.openAt = r.now + Micros(float64(r.now-a.sentAt)*(1/w-1))
	}
	if q.ended {
		r.forget(p)
		return
	}
	if ev.Verdict == Served && !p.served {
		p.served = true
		q.got += p.weight
		for _, other := range p.attempts {
			r.cancel(other)
		}
		if q.got >= q.need-weightSlack {
			r.answer(q, q.step == 1 || q.whole)
			return
		}
		if r.now >= q.partAt || q.lags() {
			r.partNow(q)
		}
	}
	if !p.served || q.canary {
		r.pursue(q)
	}
}
