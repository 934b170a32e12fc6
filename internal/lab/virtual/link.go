package virtual

// This file models the connections of a proxy to a server; it follows internal/upstream.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/lab/judge"
	"saddleport/internal/lab/model"
)

// link stands for all connections of a proxy to one server.
type link struct {
	proxy       *proxy
	server      int
	generation  int // of the connections; results from older generations are ignored
	open        bool
	dialing     bool
	waiting     []queuedAttempt
	inFlight    map[*exchange.Attempt]*flight
	usedAt      time.Duration
	answeredAt  time.Duration
	lastArrival time.Duration // arrivals at the server stay in order
	lastAnswer  time.Duration // answers stay in order
}

// queuedAttempt is an attempt that waits for a connection.
type queuedAttempt struct {
	a           *exchange.Attempt
	firstOfCall bool // of its call
}

// flight is an attempt that was sent and has not ended.
type flight struct {
	l          *link
	a          *exchange.Attempt
	generation int
	sentAt     time.Duration
	job        model.Job
	delivered  bool // the server has received it
	judged     *judge.Attempt
}

func (p *proxy) link(server int) *link {
	l := p.links[server]
	if l == nil {
		l = &link{proxy: p, server: server, inFlight: make(map[*exchange.Attempt]*flight)}
		p.links[server] = l
	}
	return l
}

// Send starts attempts.
func (p *proxy) Send(attempts []*exchange.Attempt) {
	calls := make(map[int]int) // parts so far, by server
	for _, a := range attempts {
		i, known := p.w.server(a.Server)
		if stop, stopping := p.drainStops[i]; !known || stopping && p.w.loop.Now() >= stop {
			p.exchange.AttemptEnded(a, choice.NotSent, nil, "")
			continue
		}
		p.link(i).sendOrQueue(a, calls[i]%max(p.w.plan.Settings.MaxPartsPerCall, 1) == 0)
		calls[i]++
	}
}

// Cancel cancels an attempt. The server is notified, and the attempt ends at once for the
// exchange.
func (p *proxy) Cancel(a *exchange.Attempt, v choice.Verdict) {
	i, _ := p.w.server(a.Server)
	l := p.links[i]
	if l == nil {
		return
	}
	if i := slices.IndexFunc(l.waiting, func(x queuedAttempt) bool { return x.a == a }); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
		if v == choice.NoAnswer { // it was never sent, so it can't have run
			v = choice.NotSent
		}
		p.exchange.AttemptEnded(a, v, nil, "")
		return
	}
	f := l.inFlight[a]
	if f == nil {
		return
	}
	delete(l.inFlight, a)
	now := p.w.loop.Now()
	f.judged.Finished(p.w.time(), "")
	p.trace(a, "is cancelled at", fmt.Sprint(v))
	l.deliver(func() {
		if f.delivered && f.generation == l.generation {
			p.w.Servers[l.server].Cancel(&f.job)
		}
	}, f.generation)
	if v == choice.NoAnswer && l.answeredAt < f.sentAt && l.generation == f.generation {
		l.open = false // the connection is unresponsive: the next attempt uses a new one
	}
	l.usedAt = now
	p.exchange.AttemptEnded(a, v, nil, "")
}

// trace writes a line to the trace of a query.
func (p *proxy) trace(a *exchange.Attempt, what, detail string) {
	if t := p.w.opt.Trace; t != nil {
		request, _, _ := strings.Cut(a.PartID, "-")
		t(p.w.loop.Now(), request, fmt.Sprintf("part %s attempt %d %s %s %s", a.PartID, a.Index, what, a.Server, detail))
	}
}

// Probe checks whether a server responds.
func (p *proxy) Probe(server string) {
	w, incarnation, started := p.w, p.incarnation, p.w.loop.Now()
	i, _ := w.server(server)
	end := func(after time.Duration, v choice.Verdict) {
		w.loop.Post(after, func() {
			if p.incarnation == incarnation && p.exchange != nil {
				p.exchange.ProbeEnded(server, w.loop.Now()-started, v, nil)
			}
		})
	}
	d, ok := w.net.Delay(p.site, w.sites[i])
	up, _ := w.Servers[i].Running()
	switch {
	case !ok || w.vanished[i] > 0 || w.Servers[i].Effects.Paused > 0:
		end(time.Second, choice.NoAnswer)
	case !up:
		end(2*d, choice.NoConnection)
	default:
		end(2*d, choice.Served)
	}
}

// Release closes the idle connections to a server.
func (p *proxy) Release(server string) {
	i, _ := p.w.server(server)
	if l := p.links[i]; l != nil && len(l.inFlight) == 0 {
		l.open = false
		l.generation++
	}
}

// sendOrQueue sends an attempt, or queues it until a connection is open. A connection that was
// idle for too long is replaced.
func (l *link) sendOrQueue(a *exchange.Attempt, firstOfCall bool) {
	now := l.proxy.w.loop.Now()
	maxIdle := time.Duration(float64(l.proxy.w.plan.Settings.Keepalive) * idleFraction)
	if l.open && len(l.inFlight) == 0 && now-l.usedAt > maxIdle {
		l.open = false
		l.generation++
	}
	if l.open {
		l.transmit(a, firstOfCall)
		return
	}
	l.waiting = append(l.waiting, queuedAttempt{a, firstOfCall})
	l.dial()
}

// dial opens a connection, which takes one round trip.
func (l *link) dial() {
	if l.dialing {
		return
	}
	l.dialing = true
	w, p, incarnation := l.proxy.w, l.proxy, l.proxy.incarnation
	fail := func(after time.Duration) {
		w.loop.Post(after, func() {
			if p.incarnation != incarnation || p.exchange == nil {
				return
			}
			l.dialing = false
			waiting := l.waiting
			l.waiting = nil
			for _, x := range waiting {
				p.trace(x.a, "has no connection to", "")
				p.exchange.AttemptEnded(x.a, choice.NoConnection, nil, "")
			}
		})
	}
	toServer, ok := w.net.Delay(p.site, w.sites[l.server])
	if !ok || w.vanished[l.server] > 0 {
		fail(w.plan.Settings.Dial)
		return
	}
	w.loop.Post(toServer, func() {
		if p.incarnation != incarnation || p.exchange == nil {
			return
		}
		s := w.Servers[l.server]
		toProxy, ok := w.net.Delay(w.sites[l.server], p.site)
		if !ok || w.vanished[l.server] > 0 {
			fail(max(w.plan.Settings.Dial-toServer, 0))
			return
		}
		if up, _ := s.Running(); !up {
			fail(toProxy)
			return
		}
		s.Handshake()
		w.loop.Post(toProxy, func() {
			if p.incarnation != incarnation || p.exchange == nil {
				return
			}
			l.dialing, l.open = false, true
			l.answeredAt, l.usedAt = w.loop.Now(), w.loop.Now()
			waiting := l.waiting
			l.waiting = nil
			for _, x := range waiting {
				if stop, stopping := p.drainStops[l.server]; stopping && w.loop.Now() >= stop {
					p.exchange.AttemptEnded(x.a, choice.NotSent, nil, "")
					continue
				}
				l.transmit(x.a, x.firstOfCall)
			}
		})
	})
}

// transmit sends an attempt, as the first part of a call or a later one.
func (l *link) transmit(a *exchange.Attempt, firstOfCall bool) {
	p, w := l.proxy, l.proxy.w
	s := w.Servers[l.server]
	class := a.Text
	f := &flight{l: l, a: a, generation: l.generation, sentAt: w.loop.Now(), judged: w.judge.ArrivedFrom(p.n, a.PartID, s.Name, w.time())}
	if !w.plan.HasShard(l.server, a.Shard) {
		w.judge.Misrouted(a.PartID, s.Name)
	}
	request, rest, _ := strings.Cut(a.PartID, "-")
	_, shard, _ := strings.Cut(rest, ".")
	f.job = model.Job{ID: a.PartID, Request: request, Class: class, Shard: a.Shard, Work: w.Work[class].Of(request, shard), Deadline: a.Deadline.Sub(epoch),
		Done: l.serverAnswered, OnRun: recordRun, Tag: f, FirstOfCall: firstOfCall}
	if query, _, ok := strings.Cut(a.PartID, "."); ok && p.keys[query] != "" {
		f.job.Key = p.keys[query] + "." + shard
	}
	w.attemptsSent[request]++
	l.inFlight[a] = f
	l.usedAt = w.loop.Now()
	if w.opt.Trace != nil {
		p.trace(a, "goes to", fmt.Sprintf("until %v, work %v", a.Deadline.Sub(epoch), f.job.Work))
	}
	l.deliver(func() {
		if f.generation != l.generation {
			return
		}
		if up, _ := s.Running(); !up {
			if w.vanished[l.server] == 0 {
				l.sendReset()
			}
			return
		}
		f.delivered = true
		s.Submit(&f.job)
	}, f.generation)
}

// recordRun records for the judge that a part has run.
func recordRun(j *model.Job) { j.Tag.(*flight).judged.Ran() }

// deliver runs arrive at the server after the network delay, in order, unless the network
// loses it.
func (l *link) deliver(arrive func(), generation int) {
	w := l.proxy.w
	d, ok := w.net.Delay(l.proxy.site, w.sites[l.server])
	if !ok || w.vanished[l.server] > 0 {
		return
	}
	at := max(w.loop.Now()+d, l.lastArrival)
	l.lastArrival = at
	w.loop.Post(at-w.loop.Now(), func() {
		if w.vanished[l.server] == 0 {
			arrive()
		}
	})
}

// serverAnswered sends a server's answer to the proxy.
func (l *link) serverAnswered(j *model.Job, e model.End) {
	f, w, p := j.Tag.(*flight), l.proxy.w, l.proxy
	if f.generation != l.generation {
		return
	}
	d, ok := w.net.Delay(w.sites[l.server], p.site)
	if !ok || w.vanished[l.server] > 0 {
		return
	}
	if l.inFlight[f.a] == f {
		value := ""
		if e == model.OK {
			value = valueOf(f.a)
		}
		f.judged.Finished(w.time(), value)
	}
	at := max(w.loop.Now()+d, l.lastAnswer)
	l.lastAnswer = at
	w.loop.Post(at-w.loop.Now(), func() { l.receiveAnswer(f, e) })
}

// valueOf returns the value that a server computes for a part; it names both.
func valueOf(a *exchange.Attempt) string { return a.Server + "/" + a.PartID }

// receiveAnswer ends an attempt with the server's answer.
func (l *link) receiveAnswer(f *flight, e model.End) {
	p := l.proxy
	if p.exchange == nil || l.inFlight[f.a] != f || f.generation != l.generation {
		return
	}
	delete(l.inFlight, f.a)
	l.answeredAt, l.usedAt = p.w.loop.Now(), p.w.loop.Now()
	if p.w.opt.Trace != nil {
		p.trace(f.a, "is answered by", []string{"ok", "err", "busy"}[e])
	}
	switch e {
	case model.OK:
		p.exchange.AttemptEnded(f.a, choice.Served, nil, valueOf(f.a))
	case model.Err:
		p.exchange.AttemptEnded(f.a, choice.ServerError, nil, "")
	default:
		p.exchange.AttemptEnded(f.a, choice.Rejected, nil, "")
	}
}

// sendReset resets the connections: the server's machine doesn't know them any more.
func (l *link) sendReset() {
	p, w := l.proxy, l.proxy.w
	gen := l.generation
	d, ok := w.net.Delay(w.sites[l.server], p.site)
	if !ok {
		return
	}
	w.loop.Post(d, func() {
		if l.generation == gen && p.exchange != nil {
			l.failInFlight()
		}
	})
}

// failInFlight ends all attempts in flight with ConnectionLost.
func (l *link) failInFlight() {
	p := l.proxy
	l.generation++
	l.open = false
	lost := make([]*flight, 0, len(l.inFlight))
	for _, f := range l.inFlight {
		lost = append(lost, f)
	}
	slices.SortFunc(lost, func(a, b *flight) int { return strings.Compare(a.a.PartID, b.a.PartID) })
	clear(l.inFlight)
	for _, f := range lost {
		f.judged.Finished(p.w.time(), "")
		p.trace(f.a, "lost its connection to", "")
		p.exchange.AttemptEnded(f.a, choice.ConnectionLost, nil, "")
	}
}

// serverEnded handles the end of the server's process: its machine resets the connections,
// unless it has vanished.
func (l *link) serverEnded() {
	if l.proxy.w.vanished[l.server] == 0 && (l.open || len(l.inFlight) > 0) {
		l.sendReset()
	}
}

// serverRestarted resets the connections to the previous process. A real server resets them
// when something is sent; here it happens at once.
func (l *link) serverRestarted() {
	if l.open || len(l.inFlight) > 0 {
		l.sendReset()
	}
}

// close handles the end of the proxy's process: the server cancels the parts it received from
// it.
func (l *link) close() {
	w := l.proxy.w
	out := make([]*flight, 0, len(l.inFlight))
	for _, f := range l.inFlight {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b *flight) int { return strings.Compare(a.a.PartID, b.a.PartID) })
	for _, f := range out {
		f.judged.Finished(w.time(), "")
		if f.delivered {
			w.Servers[l.server].Cancel(&f.job)
		}
	}
	l.generation++
	l.inFlight, l.waiting = make(map[*exchange.Attempt]*flight), nil
}
