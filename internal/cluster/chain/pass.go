package chain

import (
	"slices"

	"saddleport/internal/cluster/message"
)

// flight is what was passed on and has no answer.
type flight struct {
	active  bool
	entry   message.Entry
	first   uint64 // the rank that was passed when it last moved
	movedAt int64
	sentAt  int64
	asked   int // times that it was sent since it was sent whole
}

func (m *Machine) place() int { return slices.Index(m.view.Chain, m.self) }

// next is the member behind this one, if there is one.
func (m *Machine) next() (message.Member, bool) {
	if i := m.place(); i >= 0 && i+1 < len(m.view.Chain) {
		return m.view.Chain[i+1], true
	}
	return message.Member{}, false
}

func (m *Machine) isNext(x message.Member) bool {
	n, ok := m.next()
	return ok && n == x
}

func (m *Machine) isPrevious(x message.Member) bool {
	i := m.place()
	return i > 0 && m.view.Chain[i-1] == x
}

// pass sends what is kept here on along the chain; the tail acknowledges it. known: the
// next member most likely holds it, and its rank alone goes there; one that does not says
// so. Entries are large, and links and machines may be slow: sent again whole they would
// hold up themselves.
func (m *Machine) pass(now int64, known bool) {
	if _, ok := m.next(); !ok {
		m.acknowledged(now, m.held.Rank)
		return
	}
	if !m.flight.active {
		m.flight = flight{active: true, first: m.held.Rank, movedAt: now, asked: m.flight.asked}
	}
	m.flight.entry = m.held
	m.sendFlight(now, known)
	if m.breaks.AckEarly && m.place() == 0 {
		m.acknowledged(now, m.held.Rank)
	}
}

func (m *Machine) sendFlight(now int64, known bool) {
	n, _ := m.next()
	e := m.flight.entry
	m.flight.sentAt = now
	body := message.Pass{Rank: e.Rank, Lineage: e.Lineage}
	if m.flight.asked++; !known || m.flight.asked >= mostAsked {
		body.Entry, m.flight.asked = &e, 0
	}
	m.send(n, body)
}

// passed takes what the one before has passed.
func (m *Machine) passed(now int64, from message.Member, p message.Pass) {
	if m.vouched() && p.Rank < m.held.Rank && !m.breaks.RankOnly {
		return // an older one that comes late
	}
	switch {
	case m.flight.active && m.flight.entry.Same(p.Rank, p.Lineage): // on its way, and asked for again from here
	case p.Entry != nil:
		e := *p.Entry
		e.Epoch = m.epoch()
		m.Keep(e)
		m.passOn(now, false)
	case m.held.Same(p.Rank, p.Lineage):
		m.passOn(now, true)
	default:
		m.send(from, message.Lacks{Rank: p.Rank})
	}
}

func (m *Machine) passOn(now int64, known bool) {
	m.vouch()
	m.pass(now, known)
	m.answerReads()
}

// acknowledged notes that all from here to the tail hold a rank, and tells those before.
func (m *Machine) acknowledged(now int64, rank uint64) {
	if !m.vouched() || rank > m.held.Rank {
		return // of what this member does not hold itself nothing may be told
	}
	if rank >= m.flight.entry.Rank {
		m.flight = flight{asked: m.flight.asked}
	} else if rank >= m.flight.first {
		m.flight.movedAt, m.flight.first = now, m.flight.entry.Rank
	}
	m.acked = max(m.acked, rank)
	if i := m.place(); i > 0 {
		m.send(m.view.Chain[i-1], message.Ack{Rank: rank})
		return
	}
	m.answerOrders()
}

// passAgain sends what has no answer again, and complains of who does not move on.
func (m *Machine) passAgain(now int64) {
	n, ok := m.next()
	if !ok || !m.flight.active || m.sealed {
		return
	}
	if now-m.flight.sentAt >= m.cfg.Resend {
		m.sendFlight(now, true)
	}
	if now-m.flight.movedAt >= m.cfg.Stuck {
		m.suspect = Suspect{Member: n, Lacks: m.flight.first}
	}
}
