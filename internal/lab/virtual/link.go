package virtual

// The connections of a mixer to a server, as internal/upstream keeps them.

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

// link stands for all connections of a mixer to one server.
type link struct {
	m       *mixer
	server  int
	gen     int // of the connections: what came on older ones counts for nothing
	open    bool
	dialing bool
	waiting []waiter
	out     map[*exchange.Attempt]*flight
	usedAt  time.Duration
	heardAt time.Duration
	lastTo  time.Duration // what goes one way comes in order
	lastFro time.Duration
}

// waiter is an attempt that waits for a connection.
type waiter struct {
	a    *exchange.Attempt
	head bool // of its call
}

// flight is an attempt that is out.
type flight struct {
	l      *link
	a      *exchange.Attempt
	gen    int
	sentAt time.Duration
	job    model.Job
	taken  bool // the server has it
	seen   *judge.Attempt
}

func (m *mixer) link(server int) *link {
	l := m.links[server]
	if l == nil {
		l = &link{m: m, server: server, out: make(map[*exchange.Attempt]*flight)}
		m.links[server] = l
	}
	return l
}

// Send starts attempts.
func (m *mixer) Send(attempts []*exchange.Attempt) {
	calls := make(map[int]int) // by server: parts so far
	for _, a := range attempts {
		i, known := m.w.server(a.Server)
		if stop, told := m.stops[i]; !known || told && m.w.loop.Now() >= stop {
			m.x.AttemptEnded(a, choice.NotSent, nil, "")
			continue
		}
		m.link(i).place(a, calls[i]%max(m.w.plan.Settings.Bundle, 1) == 0)
		calls[i]++
	}
}

// Cancel ends the wait for an attempt, once the server has been told.
func (m *mixer) Cancel(a *exchange.Attempt, v choice.Verdict) {
	i, _ := m.w.server(a.Server)
	l := m.links[i]
	if l == nil {
		return
	}
	if i := slices.IndexFunc(l.waiting, func(x waiter) bool { return x.a == a }); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
		if v == choice.NoAnswer { // it was never sent, so it never ran
			v = choice.NotSent
		}
		m.x.AttemptEnded(a, v, nil, "")
		return
	}
	f := l.out[a]
	if f == nil {
		return
	}
	delete(l.out, a)
	now := m.w.loop.Now()
	f.seen.Finished(m.w.time(), "")
	m.trace(a, "is given up at", fmt.Sprint(v))
	l.carry(func() {
		if f.taken && f.gen == l.gen {
			m.w.Servers[l.server].GiveUp(&f.job)
		}
	}, f.gen)
	if v == choice.NoAnswer && l.heardAt < f.sentAt && l.gen == f.gen {
		l.open = false // it fell silent: the next goes out on a new one
	}
	l.usedAt = now
	m.x.AttemptEnded(a, v, nil, "")
}

func (m *mixer) trace(a *exchange.Attempt, what, more string) {
	if t := m.w.opt.Trace; t != nil {
		ask, _, _ := strings.Cut(a.PartID, "-")
		t(m.w.loop.Now(), ask, fmt.Sprintf("part %s attempt %d %s %s %s", a.PartID, a.Index, what, a.Server, more))
	}
}

// Probe tests a server.
func (m *mixer) Probe(server string) {
	w, life, begun := m.w, m.life, m.w.loop.Now()
	i, _ := w.server(server)
	end := func(after time.Duration, v choice.Verdict) {
		w.loop.Post(after, func() {
			if m.life == life && m.x != nil {
				m.x.ProbeEnded(server, w.loop.Now()-begun, v, nil)
			}
		})
	}
	d, ok := w.net.Delay(m.site, w.sites[i])
	up, _ := w.Servers[i].Running()
	switch {
	case !ok || w.vanish[i] > 0 || w.Servers[i].Effects.Paused > 0:
		end(time.Second, choice.NoAnswer)
	case !up:
		end(2*d, choice.NoConnection)
	default:
		end(2*d, choice.Served)
	}
}

// Release closes the idle connections to a server.
func (m *mixer) Release(server string) {
	i, _ := m.w.server(server)
	if l := m.links[i]; l != nil && len(l.out) == 0 {
		l.open = false
		l.gen++
	}
}

func (l *link) place(a *exchange.Attempt, head bool) {
	now := l.m.w.loop.Now()
	keep := time.Duration(float64(l.m.w.plan.Settings.Keepalive) * idleShare)
	if l.open && len(l.out) == 0 && now-l.usedAt > keep {
		l.open = false
		l.gen++
	}
	if l.open {
		l.transmit(a, head)
		return
	}
	l.waiting = append(l.waiting, waiter{a, head})
	l.dial()
}

// dial opens a connection: a way there, and one back.
func (l *link) dial() {
	if l.dialing {
		return
	}
	l.dialing = true
	w, m, life := l.m.w, l.m, l.m.life
	fail := func(after time.Duration) {
		w.loop.Post(after, func() {
			if m.life != life || m.x == nil {
				return
			}
			l.dialing = false
			waiting := l.waiting
			l.waiting = nil
			for _, x := range waiting {
				m.trace(x.a, "finds no connection to", "")
				m.x.AttemptEnded(x.a, choice.NoConnection, nil, "")
			}
		})
	}
	there, ok := w.net.Delay(m.site, w.sites[l.server])
	if !ok || w.vanish[l.server] > 0 {
		fail(w.plan.Settings.Dial)
		return
	}
	w.loop.Post(there, func() {
		if m.life != life || m.x == nil {
			return
		}
		s := w.Servers[l.server]
		back, ok := w.net.Delay(w.sites[l.server], m.site)
		if !ok || w.vanish[l.server] > 0 {
			fail(max(w.plan.Settings.Dial-there, 0))
			return
		}
		if up, _ := s.Running(); !up {
			fail(back)
			return
		}
		s.Handshake()
		w.loop.Post(back, func() {
			if m.life != life || m.x == nil {
				return
			}
			l.dialing, l.open = false, true
			l.heardAt, l.usedAt = w.loop.Now(), w.loop.Now()
			waiting := l.waiting
			l.waiting = nil
			for _, x := range waiting {
				if stop, told := m.stops[l.server]; told && w.loop.Now() >= stop {
					m.x.AttemptEnded(x.a, choice.NotSent, nil, "")
					continue
				}
				l.transmit(x.a, x.head)
			}
		})
	})
}

// transmit writes an attempt, as the head of a frame or behind it.
func (l *link) transmit(a *exchange.Attempt, head bool) {
	m, w := l.m, l.m.w
	s := w.Servers[l.server]
	class := a.Text
	f := &flight{l: l, a: a, gen: l.gen, sentAt: w.loop.Now(), seen: w.j.ArrivedFrom(m.n, a.PartID, s.Name, w.time())}
	if !w.plan.Holds(l.server, a.Shard) {
		w.j.Misrouted(a.PartID, s.Name)
	}
	ask, rest, _ := strings.Cut(a.PartID, "-")
	_, shard, _ := strings.Cut(rest, ".")
	f.job = model.Job{ID: a.PartID, Ask: ask, Class: class, Shard: a.Shard, Work: w.Work[class].Of(ask, shard), Until: a.Deadline.Sub(epoch),
		Done: l.done, Ran: ran, Tag: f, Call: head}
	if query, _, ok := strings.Cut(a.PartID, "."); ok && m.keys[query] != "" {
		f.job.Key = m.keys[query] + "." + shard
	}
	w.sent[ask]++
	l.out[a] = f
	l.usedAt = w.loop.Now()
	if w.opt.Trace != nil {
		m.trace(a, "goes to", fmt.Sprintf("until %v, work %v", a.Deadline.Sub(epoch), f.job.Work))
	}
	l.carry(func() {
		if f.gen != l.gen {
			return
		}
		if up, _ := s.Running(); !up {
			if w.vanish[l.server] == 0 {
				l.reset()
			}
			return
		}
		f.taken = true
		s.Take(&f.job)
	}, f.gen)
}

func ran(j *model.Job) { j.Tag.(*flight).seen.Ran() }

// carry has something arrive at the server, in order, unless it is lost on the way.
func (l *link) carry(arrive func(), gen int) {
	w := l.m.w
	d, ok := w.net.Delay(l.m.site, w.sites[l.server])
	if !ok || w.vanish[l.server] > 0 {
		return
	}
	at := max(w.loop.Now()+d, l.lastTo)
	l.lastTo = at
	w.loop.Post(at-w.loop.Now(), func() {
		if w.vanish[l.server] == 0 {
			arrive()
		}
	})
}

// done is a server's answer, on its way.
func (l *link) done(j *model.Job, e model.End) {
	f, w, m := j.Tag.(*flight), l.m.w, l.m
	if f.gen != l.gen {
		return
	}
	d, ok := w.net.Delay(w.sites[l.server], m.site)
	if !ok || w.vanish[l.server] > 0 {
		return
	}
	if l.out[f.a] == f {
		value := ""
		if e == model.OK {
			value = valueOf(f.a)
		}
		f.seen.Finished(w.time(), value)
	}
	at := max(w.loop.Now()+d, l.lastFro)
	l.lastFro = at
	w.loop.Post(at-w.loop.Now(), func() { l.answer(f, e) })
}

// valueOf is what a server makes for a part: it names both.
func valueOf(a *exchange.Attempt) string { return a.Server + "/" + a.PartID }

func (l *link) answer(f *flight, e model.End) {
	m := l.m
	if m.x == nil || l.out[f.a] != f || f.gen != l.gen {
		return
	}
	delete(l.out, f.a)
	l.heardAt, l.usedAt = m.w.loop.Now(), m.w.loop.Now()
	if m.w.opt.Trace != nil {
		m.trace(f.a, "is answered by", []string{"ok", "err", "busy"}[e])
	}
	switch e {
	case model.OK:
		m.x.AttemptEnded(f.a, choice.Served, nil, valueOf(f.a))
	case model.Err:
		m.x.AttemptEnded(f.a, choice.ServerError, nil, "")
	default:
		m.x.AttemptEnded(f.a, choice.Rejected, nil, "")
	}
}

// reset: the server's machine says that there is no such connection.
func (l *link) reset() {
	m, w := l.m, l.m.w
	gen := l.gen
	d, ok := w.net.Delay(w.sites[l.server], m.site)
	if !ok {
		return
	}
	w.loop.Post(d, func() {
		if l.gen == gen && m.x != nil {
			l.broken()
		}
	})
}

// broken ends all that is out.
func (l *link) broken() {
	m := l.m
	l.gen++
	l.open = false
	lost := make([]*flight, 0, len(l.out))
	for _, f := range l.out {
		lost = append(lost, f)
	}
	slices.SortFunc(lost, func(a, b *flight) int { return strings.Compare(a.a.PartID, b.a.PartID) })
	clear(l.out)
	for _, f := range lost {
		f.seen.Finished(m.w.time(), "")
		m.trace(f.a, "lost its connection to", "")
		m.x.AttemptEnded(f.a, choice.ConnectionLost, nil, "")
	}
}

// serverGone: the process has ended. A machine that has vanished says nothing.
func (l *link) serverGone() {
	if l.m.w.vanish[l.server] == 0 && (l.open || len(l.out) > 0) {
		l.reset()
	}
}

// serverBack: connections of before are reset once something is sent; here at once.
func (l *link) serverBack() {
	if l.open || len(l.out) > 0 {
		l.reset()
	}
}

// close: the mixer's process has ended; the server gives up what it had from it.
func (l *link) close() {
	w := l.m.w
	out := make([]*flight, 0, len(l.out))
	for _, f := range l.out {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b *flight) int { return strings.Compare(a.a.PartID, b.a.PartID) })
	for _, f := range out {
		f.seen.Finished(w.time(), "")
		if f.taken {
			w.Servers[l.server].GiveUp(&f.job)
		}
	}
	l.gen++
	l.out, l.waiting = make(map[*exchange.Attempt]*flight), nil
}
